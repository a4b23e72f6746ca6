package caller

// The protocol between callers, nodes and endpoints: paths, headers and outcomes.

import "github.com/wasabiwheel/wasabiwheel/exchange"

// Paths of lookups and of the readiness check of a node.
const (
	PathLookup = "/lookup"
	PathReady  = "/ready"
)

// Headers of responses that a node generates itself.
const (
	HeaderOutcome = "Wasabiwheel-Outcome"
	HeaderReason  = "Wasabiwheel-Reason"
)

// Headers names the headers of requests and of endpoints' responses.
var Headers = exchange.HeaderNames{
	Request:   "Wasabiwheel-Request",
	Deadline:  "Wasabiwheel-Timeout",
	Object:    "Wasabiwheel-Object",
	Endpoint:  "Wasabiwheel-Endpoint",
	Signature: "Wasabiwheel-Signature",
	NotRun:    "Wasabiwheel-Not-Run",
	Load:      "Wasabiwheel-Load",
	Limit:     "Wasabiwheel-Limit",
	Leaving:   "Wasabiwheel-Leaving",
	Cold:      "Wasabiwheel-Cold",
	Instance:  "Wasabiwheel-Instance",

	Organisation: "Wasabiwheel-Organisation",
	KeyScheme:    "Bearer",
}

// LookupResponse is the response to a lookup.
type LookupResponse struct {
	Entries []string `json:"entries"` // addresses of entry VMs for requests
	TTL     float64  `json:"ttl"`     // seconds for which the response may be cached
}

// Outcome is the result of a request.
type Outcome string

// The outcomes.
const (
	OutcomeRan      Outcome = "ran"     // an endpoint returned a complete response
	OutcomeNotRun   Outcome = "not-run" // the request did not run and will not run
	OutcomeUnknown  Outcome = "unknown" // the request may have run
	OutcomeCanceled Outcome = "left"    // the caller disconnected; no response is sent
)

// Reason is why a request got no response from an endpoint. docs/OPERATIONS.md
// lists the reasons.
type Reason string
