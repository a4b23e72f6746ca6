package endpoint

// What nodes tell each other about endpoints, and what each makes of it.

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// Plan identifies the part of an inventory that decides who may own the
// endpoints of one region: the ranks, the endpoints' addresses and the
// addresses of the entry VMs.
type Plan uint64

// Announcement is what one node tells another about its endpoints.
type Announcement struct {
	From        inventory.EntryID
	Incarnation inventory.Incarnation
	Number      uint64                // grows with each announcement of the incarnation
	Heard       inventory.Incarnation // of the receiver, as last heard of; 0: never
	Echo        uint64                // newest number that was heard of it
	Plans       []Plan                // in force at the sender
	Holds       []inventory.EndpointID
	Wants       []inventory.EndpointID
	Resigned    bool // takes no more work
}

// peer is what is known of another node's newest incarnation.
type peer struct {
	incarnation inventory.Incarnation
	number      uint64    // newest of its announcements
	first       uint64    // newest announcement of this node when it was first heard
	resigned    bool      // it takes no more work
	clean       bool      // and has none left
	died        time.Time // when one that was not clean was known to be gone
}

// said is what another node's announcement means for one endpoint. The zero value
// stands for no announcement under the plan in force.
type said int

const (
	saidNothing said = iota
	saidHeld
	saidFree
)

// Announcement returns what to tell another node now. It is composed in one step, so
// that it never says "not held" of what is held when it says "heard".
func (t *Table) Announcement(to inventory.EntryID) Announcement {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.number++
	k := t.peers[to]
	w := Announcement{From: t.self, Incarnation: t.incarnation, Number: t.number, Heard: k.incarnation, Echo: k.number, Plans: t.plans, Holds: t.held(), Resigned: t.resigned}
	for _, p := range t.points {
		if t.wants(p) {
			w.Wants = append(w.Wants, p.ID)
		}
	}
	slices.Sort(w.Wants)
	return w
}

// wants reports whether an endpoint would be taken here if those ranked after
// this node gave it up.
func (t *Table) wants(p *point) bool {
	return !p.owned && !t.resigned && t.free(p, saidHeld)
}

// mayOwn reports whether an endpoint has no other owner.
func (t *Table) mayOwn(p *point) bool { return !t.resigned && t.free(p, saidFree) }

// free reports whether all entry VMs ranked before this node are dead and all
// others are dead or have said at least the given.
func (t *Table) free(p *point, least said) bool {
	mine := slices.Index(p.rank, t.self)
	if mine < 0 {
		return false
	}
	for i, id := range p.rank {
		if id == t.self || t.dead[id] || t.passedOver(p, id) {
			continue
		}
		if i < mine || p.said[id] < least {
			return false
		}
	}
	for _, id := range t.formerOf(p) {
		if !t.dead[id] && p.said[id] < least {
			return false
		}
	}
	return true
}

// formerOf lists the entry VMs that may own an endpoint by an earlier inventory
// only.
func (t *Table) formerOf(p *point) []inventory.EntryID {
	region := t.inv.RegionOf(p.Domain)
	var ids []inventory.EntryID
	for f := range t.former {
		if f.region == region && !slices.Contains(p.rank, f.entry) {
			ids = append(ids, f.entry)
		}
	}
	return ids
}

// introduce notes whose announcement this is. It reports false for an announcement of another
// incarnation than the known one that may be older: one that has not heard what
// this node said since the known one spoke first.
func (t *Table) introduce(now time.Time, w Announcement) bool {
	k := t.peers[w.From]
	if k.incarnation != w.Incarnation {
		newer := w.Heard == t.incarnation && w.Echo > k.first
		if k.incarnation != 0 && !t.dead[w.From] && !newer {
			return false
		}
		if !k.clean {
			k.died = now
		}
		k.incarnation = w.Incarnation
		k.number = 0
		k.first = t.number
	}
	k.number = max(k.number, w.Number)
	k.resigned = w.Resigned
	k.clean = w.Resigned && len(w.Holds) == 0
	t.peers[w.From] = k
	return true
}

// hear takes in what an announcement says about one endpoint. It counts only if its
// sender had heard that this incarnation has the plan in force, and has the
// same plan itself.
func (t *Table) hear(p *point, w Announcement) {
	samePlan := slices.Contains(w.Plans, p.plan)
	switch {
	case !samePlan || w.Heard != t.incarnation || w.Echo <= p.since:
		delete(p.said, w.From)
	case slices.Contains(w.Holds, p.ID):
		p.said[w.From] = saidHeld
	default:
		p.said[w.From] = saidFree
	}
	if samePlan && p.before(w.From, t.self) && slices.Contains(w.Wants, p.ID) {
		p.owned = false
	}
}

// plan identifies what decides on the endpoints of a region.
func plan(inv *inventory.Inventory, r inventory.RegionID) Plan {
	h := xxhash.New()
	add := func(parts ...string) {
		for _, s := range parts {
			_, _ = h.WriteString(strconv.Quote(s))
		}
		_, _ = h.WriteString("\n")
	}
	add(string(r))
	for _, e := range inv.Endpoints {
		if inv.RegionOf(e.Domain) != r {
			continue
		}
		add(string(e.ID), e.Address)
		for _, id := range Rank(inv, e) {
			x, _ := inv.Entry(id)
			add(string(id), x.Peer)
		}
	}
	return Plan(h.Sum64())
}
