package configuration

// Kind classifies an Error so that callers can branch on it.
type Kind string

// The kinds of failure.
const (
	KindBaseMismatch Kind = "base"      // the version in force is not the base of the change
	KindConflict     Kind = "lost"      // another operator's change was accepted first; this one has no effect
	KindUncertain    Kind = "uncertain" // the change may be in force, or may come into force later
	KindStore        Kind = "store"     // a store call failed; nothing was published
	KindRecord       Kind = "record"    // the change is in force, but its file is not in the history
	KindNotFound     Kind = "missing"   // the version is not in the history
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
