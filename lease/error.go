package lease

// Kind classifies an Error so that callers can branch on it.
type Kind string

// The kinds of failure.
const (
	KindMessage Kind = "message" // a message that does not decode or is out of bounds
	KindRecord  Kind = "record"  // an object of the store that does not decode
)

// Error is the error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error formats the failure as "op: kind: cause".
func (e *Error) Error() string { return e.Op + ": " + string(e.Kind) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
