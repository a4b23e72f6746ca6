package endpoint

// Limits that endpoints name. An endpoint in need names in its responses the rate of requests
// that it takes from all nodes together, for as long as it says so. A limit belongs to one start
// of the endpoint: after a restart it is forgotten. Package permit keeps the sum over all nodes
// within the limit; this file holds what a node knows of the limits themselves.

import (
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// Limit is what a response says about the limit of its endpoint. The zero Limit withdraws it.
type Limit struct {
	Rate  inventory.Rate // requests a second, of all nodes together
	Named bool
}

// knownLimit is the limit of an endpoint as far as a node knows it.
type knownLimit struct {
	Limit
	at time.Time // when the endpoint said so; zero: it never named a limit
}

// RecordLimit records what a response said about the limit of its endpoint, and reports whether
// that changes the limit.
func (t *Table) RecordLimit(now time.Time, c Choice, l Limit) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := c.state
	if t.byID[s.ID] != s {
		return false // the endpoint has restarted or left
	}
	changed = s.limit.Limit != l
	s.limit = knownLimit{Limit: l, at: now}
	return changed
}

// named returns the limit in force, nil if there is none.
func (k knownLimit) named() *inventory.Rate {
	if !k.Named {
		return nil
	}
	return &k.Rate
}
