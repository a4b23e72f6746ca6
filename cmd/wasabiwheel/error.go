package main

import "github.com/cockroachdb/errors"

// Kind classifies an Error.
type Kind string

// The kinds of failure of a command.
const (
	KindNetwork Kind = "network" // something could not be reached
	KindAnswer  Kind = "answer"  // something answered unexpectedly
	KindUsage   Kind = "usage"   // flags that do not go together
	KindFailed  Kind = "failed"  // what was to be shown did not happen
)

// Error is the error of this command.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error formats the failure as "op: cause".
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// errNoBuildInfo says that the program was built without module support.
var errNoBuildInfo = errors.New("the build recorded no version")
