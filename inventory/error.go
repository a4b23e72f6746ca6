package inventory

import (
	"strconv"
	"strings"
)

// Kind classifies an Error so that callers can branch on it.
type Kind string

// The kinds of error.
const (
	KindSyntax    Kind = "syntax"    // not TOML, or a value of the wrong type
	KindUnknown   Kind = "unknown"   // an unknown key
	KindDangling  Kind = "dangling"  // a reference to an id that is not declared
	KindRange     Kind = "range"     // a value outside its allowed range
	KindDuplicate Kind = "duplicate" // an id, address, link or route prefix that is declared twice
	KindEmpty     Kind = "empty"     // a service whose endpoints are all drained, or a route without a weight
	KindRead      Kind = "read"      // the file could not be read
)

// Error reports what is wrong with a file, and where. Line is 1-based, 0 when unknown.
type Error struct {
	Op   string
	Kind Kind
	File string
	Line int
	Key  string
	Err  error
}

// Error formats the error as "file:line: key: cause".
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(e.File)
	if e.Line > 0 {
		b.WriteString(":" + strconv.Itoa(e.Line))
	}
	if e.Key != "" {
		b.WriteString(": " + e.Key)
	}
	b.WriteString(": " + e.Err.Error())
	return b.String()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
