package node

// Kind classifies an Error so that callers can branch on it.
type Kind string

// The kinds of failure.
const (
	KindNetwork Kind = "network" // an address cannot be bound
	KindAborted Kind = "cut"     // the grace period ended before all requests completed
	KindWrite   Kind = "write"   // settings cannot be written to a file
	KindStatus  Kind = "status"  // the status of a node cannot be fetched
)

// Error holds the operation that failed, the kind of failure and its cause.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error formats the failure as "node: op: kind: cause".
func (e *Error) Error() string {
	if e.Err == nil {
		return "node: " + e.Op + ": " + string(e.Kind)
	}
	return "node: " + e.Op + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
