package caller

// The protocol between callers and nodes: headers, and what a caller is told.

// Headers of requests and answers.
const (
	HeaderOutcome = "Wasabiwheel-Outcome" // on each answer that the system gives itself
	HeaderReason  = "Wasabiwheel-Reason"  // why, beside the outcome
	HeaderTimeout = "Wasabiwheel-Timeout" // of a request, in milliseconds
	HeaderBlock   = "Wasabiwheel-Block"   // the caller's block
	HeaderRegion  = "Wasabiwheel-Region"  // the caller's region
	HeaderToken   = "Wasabiwheel-Token"   // for new once-only operations
	HeaderKey     = "Idempotency-Key"     // of a once-only operation
)

// Outcome says what became of a request.
type Outcome string

// The outcomes.
const (
	OutcomeRan     Outcome = "ran"     // a target gave a whole answer
	OutcomeNotRun  Outcome = "not-run" // it did not run, and will not
	OutcomeUnknown Outcome = "unknown" // it may have run
)

// Reason says why a request got no answer from a target. The reasons are listed
// where they are given, in the packages node, endpoint and region.
type Reason string
