package quota

// Claims: a node that becomes an issuer issues nothing until those that it replaces have confirmed
// that they know it.

import (
	"slices"
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/roster"
)

// maxClaim is how long a claim lasts if a replaced issuer can't be reached. Then it has been lost or
// was cut off, and the share is issued again.
const maxClaim = 2 * time.Minute

// claim is a share that this node has been given and does not issue yet. It is kept if the
// node loses the share meanwhile: the next issuer must wait for the previous one too.
type claim struct {
	since time.Time
	until time.Time // before which nothing is issued
	// pending holds the replaced issuers that have not confirmed. The time is until when one that
	// is no longer listed may issue; zero: it is listed and has to confirm.
	pending map[inventory.EntryID]time.Time
}

// isSettled reports whether nothing stands against a claim, apart from one node.
func (c *claim) isSettled(now time.Time, except inventory.EntryID) bool {
	if now.Sub(c.since) > maxClaim {
		return true
	}
	for id, until := range c.pending {
		if id != except && (until.IsZero() || now.Before(until)) {
			return false
		}
	}
	return !now.Before(c.until)
}

// claimAll claims all shares of this node, which does not know what it has issued itself, before a start or
// while it was paused. Those that would be issuers without it may not know it yet.
func (t *Table) claimAll(now time.Time) {
	if !t.configured || t.roster.Len() == 0 {
		return
	}
	var others *roster.Roster
	for _, o := range t.organisations {
		if !roster.Includes(t.issuers(o), t.self) {
			continue
		}
		if others == nil {
			others = t.roster.Without(t.self)
		}
		t.claimShare(now, o, others.Choose(o.key, o.places))
		o.issued = t.inherited(now, o)
	}
}

// claimShare claims the share of an organisation of which this node has become an issuer.
func (t *Table) claimShare(now time.Time, o *organisation, before []roster.Peer) {
	after := t.issuers(o)
	if !roster.Includes(after, t.self) || roster.Includes(before, t.self) {
		return
	}
	o.bucket = bucket{at: now, made: now}
	replaced := slices.DeleteFunc(slices.Clone(before), func(p roster.Peer) bool { return roster.Includes(after, p.ID) })
	if len(replaced) == 0 { // there are more issuers than before, each with a smaller share
		replaced = before
	}
	if len(replaced) == 0 {
		return
	}
	c := t.claim(now, o)
	for _, p := range replaced {
		if _, listed := t.roster.Find(p.ID); listed {
			c.pending[p.ID] = time.Time{}
		} else {
			c.pending[p.ID] = now.Add(t.bounds.Window)
		}
	}
}

// claim returns the claim of an organisation, which begins anew.
func (t *Table) claim(now time.Time, o *organisation) *claim {
	c := t.claims[o.id]
	if c == nil {
		c = &claim{pending: map[inventory.EntryID]time.Time{}}
		t.claims[o.id] = c
	}
	c.since = now
	return c
}

// releaseUnlisted gives replaced issuers that are no longer listed a window to stop.
func (t *Table) releaseUnlisted(now time.Time) {
	for _, c := range t.claims {
		for id, until := range c.pending {
			if _, listed := t.roster.Find(id); !listed && until.IsZero() {
				c.pending[id] = now.Add(t.bounds.Window)
			}
		}
	}
}

// settle ends the claims that nothing stands against any more.
func (t *Table) settle(now time.Time) {
	for id, c := range t.claims {
		if c.isSettled(now, "") {
			delete(t.claims, id)
			o := t.organisations[id]
			o.bucket = bucket{at: now, made: now, issued: o.issued}
		}
	}
}

// Claim is a question to a node whether it still issues tokens of organisations.
type Claim struct {
	To            inventory.EntryID
	Organisations []inventory.OrganisationID
}

// Claims returns the questions to other nodes that are open.
func (t *Table) Claims() []Claim {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Claim
	for id, c := range t.claims {
		for to, until := range c.pending {
			if !until.IsZero() {
				continue
			}
			i := slices.IndexFunc(all, func(c Claim) bool { return c.To == to })
			if i < 0 {
				i, all = len(all), append(all, Claim{To: to})
			}
			all[i].Organisations = append(all[i].Organisations, id)
		}
	}
	return all
}

// Release answers a question of another node: it returns the organisations of which that node is an
// issuer by the list of this one, which does not issue tokens in its place.
func (t *Table) Release(now time.Time, by inventory.EntryID, asked []inventory.OrganisationID) []inventory.OrganisationID {
	t.mu.Lock()
	defer t.mu.Unlock()
	var released []inventory.OrganisationID
	for _, id := range asked {
		if t.releases(now, by, id) {
			released = append(released, id)
		}
	}
	return released
}

func (t *Table) releases(now time.Time, by inventory.EntryID, id inventory.OrganisationID) bool {
	o := t.organisations[id]
	if o == nil {
		return t.configured
	}
	issuers := t.issuers(o)
	if !roster.Includes(issuers, by) {
		return false
	}
	c := t.claims[id]
	return roster.Includes(issuers, t.self) || c == nil || c.isSettled(now, by)
}

// RecordRelease records the answer of a node to a question.
func (t *Table) RecordRelease(now time.Time, from inventory.EntryID, released []inventory.OrganisationID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range released {
		if c := t.claims[id]; c != nil {
			delete(c.pending, from)
		}
	}
	t.settle(now)
}
