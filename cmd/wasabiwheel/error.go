package main

import "github.com/cockroachdb/errors"

// Kind classifies an Error.
type Kind string

// The kinds of errors.
const (
	KindNetwork  Kind = "network" // a network operation failed
	KindResponse Kind = "answer"  // a response was invalid or unexpected
	KindUsage    Kind = "usage"   // invalid combination of flags or arguments
	KindFailed   Kind = "failed"  // the command did not reach its goal
)

// Error holds the operation that failed, the kind of failure and its cause.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error formats the error as "op: cause".
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// errNoBuildInfo reports that the binary was built without module support.
var errNoBuildInfo = errors.New("binary contains no build information")
