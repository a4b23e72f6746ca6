package node

// Kind classifies an Error so that callers can branch on it.
type Kind string

// The kinds of failure.
const (
	KindSettings Kind = "settings" // the settings do not pass their checks
	KindNetwork  Kind = "network"  // an address could not be bound or reached
	KindPeer     Kind = "peer"     // another node answered something unexpected
	KindTarget   Kind = "target"   // a target's answer is not whole or too large
	KindCut      Kind = "cut"      // a stop ended with requests in flight
	KindRequest  Kind = "request"  // a caller's request is not acceptable
)

// Error is the error of this package. Status is the HTTP status for a caller,
// where one applies.
type Error struct {
	Op     string
	Kind   Kind
	Status int
	Err    error
}

// Error formats the failure as "op: kind: cause".
func (e *Error) Error() string { return e.Op + ": " + string(e.Kind) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
