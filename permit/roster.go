package permit

// The issuers of an endpoint among a list of nodes.

import (
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/roster"
)

// term is a list of nodes that was in force until end.
type term struct {
	*roster.Roster
	end time.Time // zero: it is in force
}

func newTerm(peers []Peer) *term { return &term{Roster: roster.New(peers)} }

// issuersOf returns the issuers of an endpoint, the third of which is the substitute.
func (t *term) issuersOf(e Endpoint) []Peer { return t.Choose(roster.Key(e), maxIssuers) }

// Issuers returns the issuers of an endpoint by the current list of nodes: those that issue
// permits, and the substitute.
func (t *Table) Issuers(e Endpoint) []inventory.EntryID {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []inventory.EntryID
	for _, p := range t.current().issuersOf(e) {
		ids = append(ids, p.ID)
	}
	return ids
}
