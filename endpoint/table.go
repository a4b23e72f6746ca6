// Package endpoint decides which node owns an endpoint, and admits requests to
// the slots of the endpoints that its own node owns.
//
// Only the owner of an endpoint sends it work, so the work in flight there is
// known exactly and never exceeds the endpoint's slots. The entry VMs that may
// own an endpoint are ranked (see Rank). A node takes an endpoint when
//
//   - each candidate ranked before it is known to be dead, and
//   - each candidate ranked after it has told this incarnation that it does not
//     hold the endpoint, or is known to be dead.
//
// It gives the endpoint up as soon as it hears from a candidate ranked before
// it, and keeps saying that it holds it until its last request there has ended.
// Silence is not death: a frozen owner keeps its endpoints, which then serve
// nobody, and may go on when it wakes. Two owners would need a message that
// says "not held" while it is held, or evidence of death of a live process.
//
// A node that leaves resigns: it takes no new work, and a candidate that has
// resigned and does not hold an endpoint is passed over.
//
// What an earlier owner left behind may still run at the endpoint after it
// died. A node that takes an endpoint therefore sends it work only when the
// service's deadline has passed since the last event that may have left work
// behind: a candidate's death, the replacement of one that had not resigned, or
// a change of the candidates.
//
// # Usage
//
//	t := endpoint.New("mx-1")
//	t.SetInventory(now, inv)
//	t.Heard(now, "mx-2", true, holds) // from a heartbeat
//	t.Dead(now, "mx-3", since)        // its address refused a connection
//	v := t.Admit(now, "catalogue", deadline)
package endpoint

import (
	"slices"
	"sync"
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// point is an endpoint as its own node sees it.
type point struct {
	inventory.Endpoint
	rank    []inventory.EntryID
	cleared map[inventory.EntryID]bool // candidates that do not hold it
	owned   bool
	changed time.Time // when it was declared or its candidates changed
	usable  time.Time // when an earlier owner's work has ended
	busy    int       // slots in use
	drained bool
}

// Table holds the endpoints that its node may own, their slots, and the
// requests that wait for one. It is safe for concurrent use.
type Table struct {
	self inventory.EntryID

	mu     sync.Mutex
	inv    *inventory.Inventory
	points map[inventory.EndpointID]*point
	dead   map[inventory.EntryID]bool
	heard  map[inventory.EntryID]time.Time // newest message
	queues map[inventory.ServiceID]*queue

	claims   map[Source][]inventory.EndpointID // endpoints that leave
	peers    map[inventory.EntryID]peer
	pause    pause
	resigned bool // this node takes no new work
}

// New returns a table for the node on the given entry VM.
func New(self inventory.EntryID) *Table {
	return &Table{
		self:   self,
		points: map[inventory.EndpointID]*point{},
		dead:   map[inventory.EntryID]bool{},
		heard:  map[inventory.EntryID]time.Time{},
		queues: map[inventory.ServiceID]*queue{},
		claims: map[Source][]inventory.EndpointID{},
		peers:  map[inventory.EntryID]peer{},
	}
}

// SetInventory puts an inventory in force. An endpoint that is gone keeps its
// place until its last request has ended, so that it still counts as held.
func (t *Table) SetInventory(now time.Time, inv *inventory.Inventory) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inv = inv
	declared := map[inventory.EndpointID]bool{}
	for _, e := range inv.Endpoints {
		rank := Rank(inv, e)
		if !slices.Contains(rank, t.self) {
			continue
		}
		declared[e.ID] = true
		t.place(now, e, rank)
	}
	for id, p := range t.points {
		if declared[id] {
			continue
		}
		p.drained = true
		if p.busy == 0 {
			delete(t.points, id)
		}
	}
	for _, s := range inv.Services {
		t.queueOf(s.ID).limit = s.Queue
	}
	t.assess(now)
}

func (t *Table) place(now time.Time, e inventory.Endpoint, rank []inventory.EntryID) {
	p, ok := t.points[e.ID]
	if !ok {
		p = &point{cleared: map[inventory.EntryID]bool{}}
		t.points[e.ID] = p
	}
	if e.Address != p.Address || !slices.Equal(rank, p.rank) {
		p.changed = now
	}
	p.Endpoint = e
	p.rank = rank
	p.drained = t.inv.Drained(e)
}

// Heard takes in what another node says. heardUs tells whether it knows this
// incarnation; holds lists the endpoints that it holds.
func (t *Table) Heard(now time.Time, from inventory.EntryID, heardUs bool, holds []inventory.EndpointID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.dead, from)
	t.heard[from] = now
	for id, p := range t.points {
		if heardUs && !slices.Contains(holds, id) {
			p.cleared[from] = true
		} else {
			delete(p.cleared, from)
		}
		if p.before(from, t.self) && !t.passedOver(p, from) {
			p.owned = false
		}
	}
	t.assess(now)
}

// Dead takes in evidence, gathered from since onwards, that the process of an
// entry VM is gone. Silence is no such evidence. A message that arrived after
// since is newer and wins: a new process may have started meanwhile.
func (t *Table) Dead(now time.Time, id inventory.EntryID, since time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if last, ok := t.heard[id]; ok && !last.Before(since) {
		return
	}
	t.lost(now, id)
	t.dead[id] = true
	for _, p := range t.points {
		// Whatever runs there next starts with nothing held, and takes nothing
		// over from a candidate that lives.
		p.cleared[id] = true
	}
	t.assess(now)
}

// before reports whether candidate a ranks before b.
func (p *point) before(a, b inventory.EntryID) bool {
	i, j := slices.Index(p.rank, a), slices.Index(p.rank, b)
	return i >= 0 && i < j
}

// assess takes the endpoints that have become free for this node.
func (t *Table) assess(now time.Time) {
	for _, p := range t.points {
		if p.owned || !t.mayOwn(p) {
			continue
		}
		p.owned = true
		p.usable = t.clearAt(p)
	}
	t.dispatch(now)
}

func (t *Table) mayOwn(p *point) bool {
	if t.resigned {
		return false
	}
	mine := slices.Index(p.rank, t.self)
	for i, id := range p.rank {
		switch {
		case id == t.self || t.dead[id]:
		case i > mine && p.cleared[id]:
		case t.passedOver(p, id):
		default:
			return false
		}
	}
	return mine >= 0
}

func (t *Table) deadlineOf(id inventory.ServiceID) time.Duration {
	s, _ := t.inv.Service(id)
	return s.Deadline.Duration
}

// Holds lists the endpoints that this node sends work to or has work at.
func (t *Table) Holds() []inventory.EndpointID {
	t.mu.Lock()
	defer t.mu.Unlock()
	var held []inventory.EndpointID
	for id, p := range t.points {
		if p.owned || p.busy > 0 {
			held = append(held, id)
		}
	}
	slices.Sort(held)
	return held
}

// Load is what this node can take of a service.
type Load struct {
	Service inventory.ServiceID
	Free    int // free slots
	Slots   int // slots of the owned, usable endpoints
	Queue   int // requests waiting
}

// Loads returns the load of each service, in the order of the inventory.
func (t *Table) Loads(now time.Time) []Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inv == nil {
		return nil
	}
	loads := make([]Load, 0, len(t.inv.Services))
	for _, s := range t.inv.Services {
		loads = append(loads, t.load(now, s.ID))
	}
	return loads
}

func (t *Table) load(now time.Time, id inventory.ServiceID) Load {
	l := Load{Service: id, Queue: len(t.queueOf(id).waiting)}
	for _, p := range t.points {
		if p.Service == id && p.usableAt(now) && !t.leaves(p.ID) {
			l.Slots += p.Slots
			l.Free += max(0, p.Slots-p.busy)
		}
	}
	return l
}

func (p *point) usableAt(now time.Time) bool {
	return p.owned && !p.drained && !now.Before(p.usable)
}
