package experiment

// Kind classifies an Error.
type Kind string

// The kinds of failure.
const (
	KindSetup Kind = "setup" // the run could not be set up
	KindReady Kind = "ready" // the nodes did not become ready
)

// Error holds the operation that failed, the kind of failure and its cause.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error formats the failure as "op: kind: cause".
func (e *Error) Error() string { return e.Op + ": " + string(e.Kind) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
