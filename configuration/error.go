package configuration

// Kind classifies an Error so that callers can branch on it.
type Kind string

// The kinds of failure.
const (
	KindLost        Kind = "lost"        // another operator's version was accepted first
	KindUnavailable Kind = "unavailable" // the store could not be reached; nothing changed
	KindUncertain   Kind = "uncertain"   // whether the version was accepted could not be learnt
	KindCorrupt     Kind = "corrupt"     // a stored object does not decode or has another hash
	KindOld         Kind = "old"         // a version that is not higher than the one in force
	KindForked      Kind = "forked"      // another version with the number of the one in force
	KindInvalid     Kind = "invalid"     // the inventory does not pass its checks
)

// Error is the error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
	// Standing is the version that stands, with KindLost.
	Standing Accepted
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

func corrupt(op string, err error) error { return &Error{Op: op, Kind: KindCorrupt, Err: err} }
