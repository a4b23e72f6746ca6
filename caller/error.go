package caller

// Kind classifies an Error so that users of a Client can branch on it.
type Kind string

// The kinds of failure.
const (
	KindLookup   Kind = "lookup" // no node answered the lookup
	KindNoAnswer Kind = "broken" // no entry VM returned a complete response
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
