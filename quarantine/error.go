package quarantine

import "fmt"

// Kind classifies an Error so that callers can branch on it.
type Kind string

// KindMalformed is the kind of text that is no fingerprint.
const KindMalformed Kind = "malformed"

// Error reports text that cannot be parsed.
type Error struct {
	Op   string
	Kind Kind
	Text string
}

// Error formats the failure as "quarantine: op: kind: text".
func (e *Error) Error() string {
	return fmt.Sprintf("quarantine: %s: %s: %q", e.Op, e.Kind, e.Text)
}
