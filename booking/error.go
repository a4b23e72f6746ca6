package booking

// Kind classifies an Error so that callers can branch on it.
type Kind string

// The kinds of failure.
const (
	KindMalformed Kind = "malformed" // a key in another form
	KindForeign   Kind = "foreign"   // a key of another incarnation
	KindState     Kind = "state"     // a step that the operation's state does not allow
)

// Error is the error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error formats the failure as "op: kind: cause".
func (e *Error) Error() string {
	s := e.Op + ": " + string(e.Kind)
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
