package delta

import "fmt"

// Kind classifies an Error so that callers can branch on it.
type Kind string

// The kinds of failure.
const (
	KindBase    Kind = "base"    // the difference was made from another version
	KindCorrupt Kind = "corrupt" // the difference is damaged
)

// Error reports a difference that can't be applied.
type Error struct {
	Op   string
	Kind Kind
}

// Error formats the failure as "delta: op: kind".
func (e *Error) Error() string { return fmt.Sprintf("delta: %s: %s", e.Op, e.Kind) }
