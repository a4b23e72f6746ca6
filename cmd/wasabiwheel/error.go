package main

// Kind classifies an Error.
type Kind string

// The kinds of failure of a command.
const (
	KindNetwork Kind = "network" // something could not be reached
	KindAnswer  Kind = "answer"  // something answered unexpectedly
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
