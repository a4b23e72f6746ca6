// Package endpoint decides which node owns an endpoint, and admits requests to
// the slots of the endpoints that its own node owns.
//
// Only the owner of an endpoint sends it work, so the work in flight there is
// known exactly and never exceeds the endpoint's slots. The entry VMs of its
// region are ranked for each endpoint (see Rank). A node takes an endpoint when
//
//   - each one ranked before it is known to be dead, and
//   - each one ranked after it is known to be dead, or has said that it does
//     not hold the endpoint.
//
// The node gives it up when one ranked before it wants it, that is, would take
// it if only this node let go; it says that it holds it until its last request
// there has ended. Silence is not death: a frozen owner keeps its endpoints,
// which then serve nobody, and may go on when it wakes.
//
// A node that leaves resigns: it takes no new work, and one that has resigned and
// does not hold an endpoint is passed over.
//
// # Why there are never two owners
//
// An announcement counts only if its sender had heard that the receiver's
// present incarnation has its present plan (ranks and addresses), and has that
// plan itself. Death counts only if it was observed after the last
// announcement: a process listens on its peer address before it hears or says
// anything, until it can send no work any more, so a refused connection means
// that the process that spoke last is gone. Then of any two live processes:
//
//   - Under one plan, let X rank before Y. Y takes only when X's entry VM is
//     dead, so before X began. X takes only on Y's announcement, which is given
//     after Y heard X; from then on Y does not believe X dead, and until it let
//     go it says that it holds. If instead Y was dead, Y began after X, and sees
//     it alive. It does not matter how long any message was under way, or whose
//     incarnation was heard in between. A resignation counts like a death, but
//     only in an announcement of the newest incarnation: one that had not spoken
//     before is taken for newer when it has heard what was said to the one
//     before.
//   - Under two plans, each has put the other's entry VM among those whose
//     announcement it needs, and needs the announcement of a later plan after
//     its own last change. What the other took before that announcement, the
//     announcement says; what it takes after it needs an announcement in return.
//     Entry VMs that a new plan leaves out stay among those whose announcement
//     is needed (Awaited) until they are dead.
//
// This relies on three things. A process starts with the newest plan of those
// that are in force in its region. An entry VM leaves the inventory after its
// process has ended, or no process starts in its region until then. And an
// address does not pass to another region.
//
// What an earlier owner left behind may still run at the endpoint after it
// died. A node that takes an endpoint therefore sends it work only when the
// longest deadline that the rules allow has passed since the last event that may
// have left work behind: a candidate's death, the replacement of one that had
// not resigned, or a change of the candidates.
//
// # Usage
//
//	t := endpoint.New("mx-1", incarnation)
//	t.SetInventory(now, inv)
//	t.Heard(now, a)            // from a heartbeat; answer with t.Announcement(a.From)
//	t.Dead(now, "mx-3", since) // its address refused a connection
//	v := t.Admit(now, "catalogue", deadline)
package endpoint

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// Transit bounds the time that a request is under way to an endpoint before
// its deadline, told in milliseconds left, begins to run there.
const Transit = 250 * time.Millisecond

// point is an endpoint as its own node sees it.
type point struct {
	inventory.Endpoint
	rank    []inventory.EntryID
	plan    Plan
	since   uint64                     // newest announcement of this node before the plan
	said    map[inventory.EntryID]said // by others since then
	owned   bool
	changed time.Time // when it was declared or its candidates changed
	usable  time.Time // when an earlier owner's work has ended
	busy    int       // slots in use
	drained bool
	health
}

// former is an entry VM as an earlier inventory declared it.
type former struct {
	entry  inventory.EntryID
	region inventory.RegionID
}

// Table holds the endpoints that its node may own, their slots, and the
// requests that wait for one. It is safe for concurrent use.
type Table struct {
	self        inventory.EntryID
	incarnation inventory.Incarnation

	mu     sync.Mutex
	inv    *inventory.Inventory
	plans  []Plan
	number uint64            // of the newest announcement
	points map[string]*point // by address
	dead   map[inventory.EntryID]bool
	heard  map[inventory.EntryID]time.Time // newest message
	peers  map[inventory.EntryID]peer
	former map[former]bool // that may still run
	queues map[inventory.ServiceID]*queue

	claims   map[Source][]inventory.EndpointID // endpoints that leave
	pause    pause
	resigned bool // this node takes no new work
}

// New returns a table for an incarnation of the node on the given entry VM.
func New(self inventory.EntryID, incarnation inventory.Incarnation) *Table {
	return &Table{
		self:        self,
		incarnation: incarnation,
		points:      map[string]*point{},
		dead:        map[inventory.EntryID]bool{},
		heard:       map[inventory.EntryID]time.Time{},
		peers:       map[inventory.EntryID]peer{},
		former:      map[former]bool{},
		queues:      map[inventory.ServiceID]*queue{},
		claims:      map[Source][]inventory.EndpointID{},
	}
}

// SetInventory puts an inventory in force. An endpoint that is gone keeps its
// place until its last request has ended, so that it still counts as held.
func (t *Table) SetInventory(now time.Time, inv *inventory.Inventory) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.inv
	if old != nil {
		t.compareEntries(now, inv)
	}
	t.inv = inv
	plans := map[inventory.RegionID]Plan{}
	t.plans = nil
	for _, r := range inv.Regions {
		plans[r.ID] = plan(inv, r.ID)
		t.plans = append(t.plans, plans[r.ID])
	}
	declared := map[string]bool{}
	for _, e := range inv.Endpoints {
		if rank := Rank(inv, e); slices.Contains(rank, t.self) {
			declared[e.Address] = true
			t.begin(now, t.place(now, e, rank, plans[inv.RegionOf(e.Domain)]), old)
		}
	}
	for address, p := range t.points {
		if !declared[address] {
			t.withdraw(p)
		}
	}
	for _, s := range inv.Services {
		t.queueOf(s.ID).limit = s.Queue
	}
	t.assess(now)
}

// compareEntries notes the entry VMs that a new inventory leaves out, and drops
// the evidence against those whose address changes: it was gathered at the old
// one.
func (t *Table) compareEntries(now time.Time, inv *inventory.Inventory) {
	for _, old := range t.inv.Entries {
		region := t.inv.RegionOf(old.Domain)
		x, ok := inv.Entry(old.ID)
		if (!ok || inv.RegionOf(x.Domain) != region) && !t.dead[old.ID] {
			t.former[former{old.ID, region}] = true
		}
		if ok && x.Peer != old.Peer {
			delete(t.dead, old.ID)
			t.heard[old.ID] = now
		}
	}
}

// place puts an endpoint's declaration in force. Its address is what it is
// known by: another id there means the same process.
func (t *Table) place(now time.Time, e inventory.Endpoint, rank []inventory.EntryID, plan Plan) *point {
	p, ok := t.points[e.Address]
	if !ok {
		p = &point{}
		t.points[e.Address] = p
	}
	if !slices.Equal(rank, p.rank) {
		p.changed = now
	}
	if p.plan != plan {
		p.plan = plan
		p.since = t.number
		p.said = map[inventory.EntryID]said{}
	}
	p.Endpoint = e
	p.rank = rank
	p.drained = t.inv.Drained(e)
	return p
}

// withdraw gives up an endpoint that this node may not own any more.
func (t *Table) withdraw(p *point) {
	p.drained = true
	p.owned = false
	if p.busy == 0 {
		delete(t.points, p.Address)
	}
}

// Heard takes in what another node says, unless it is the late announcement of an
// incarnation that was replaced.
func (t *Table) Heard(now time.Time, w Announcement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.introduce(now, w) {
		return
	}
	delete(t.dead, w.From)
	t.heard[w.From] = now
	for _, p := range t.points {
		t.hear(p, w)
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
	maps.DeleteFunc(t.former, func(f former, _ bool) bool { return f.entry == id })
	for _, p := range t.points {
		delete(p.said, id)
	}
	t.assess(now)
}

// Awaited lists the entry VMs without whose announcement or death this node does not
// take some endpoint, those that are declared no more among them.
func (t *Table) Awaited() []inventory.EntryID {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []inventory.EntryID
	for _, p := range t.points {
		for _, id := range slices.Concat(p.rank, t.formerOf(p)) {
			if id != t.self && !t.dead[id] && p.said[id] == saidNothing && !slices.Contains(ids, id) {
				ids = append(ids, id)
			}
		}
	}
	slices.Sort(ids)
	return ids
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

// Holds lists the endpoints that this node sends work to or has work at.
func (t *Table) Holds() []inventory.EndpointID {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.held()
}

func (t *Table) held() []inventory.EndpointID {
	var held []inventory.EndpointID
	for _, p := range t.points {
		if p.owned || p.busy > 0 {
			held = append(held, p.ID)
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
			slots := p.allowed(now)
			l.Slots += slots
			l.Free += max(0, slots-p.busy)
		}
	}
	return l
}

func (p *point) usableAt(now time.Time) bool {
	return p.owned && !p.drained && !now.Before(p.usable)
}
