package member

import "github.com/wasabiwheel/wasabiwheel/inventory"

// Kind classifies an Error so that callers can branch on it.
type Kind string

// KindMalformed is the kind of an entry that can't be used.
const KindMalformed Kind = "malformed"

// Error reports why an entry can't be used.
type Error struct {
	Op    string
	Kind  Kind
	Entry inventory.EntryID
	Err   error
}

// Error formats the failure as "member: op entry: kind: cause".
func (e *Error) Error() string {
	return "member: " + e.Op + " " + string(e.Entry) + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
