package soak

// Kind classifies an Error.
type Kind string

// The kinds of errors.
const (
	KindStart    Kind = "start"  // a process, proxy or stand-in did not start
	KindViolated Kind = "broken" // a guarantee was violated
)

// Error holds the operation that failed, the kind of failure and its cause.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error formats the error as "op: kind: cause".
func (e *Error) Error() string { return e.Op + ": " + string(e.Kind) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
