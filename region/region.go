// Package region chooses the place that a request is sent to, and bounds the
// traffic that leaves its home region: by the caps on shifts and by the capacity
// of the links.
//
// Each cap and each direction of a link is a budget: an amount that all nodes
// together may use in any window of its length. Half of it is split into floors,
// of which each entry VM may use its own at any time; the rest is granted for
// short times by the holder of the lease (see package lease). A node counts what
// it uses in a window that slides, so no alignment of windows between nodes
// matters.
//
// # Usage
//
//	t := region.New("mx-1", random)
//	t.SetInventory(now, inv)
//	q := region.Question{Service: s, Home: home, Origin: domain}
//	order, refusal := t.Order(now, q, places)
//	for _, p := range order {
//		passage, refusal := t.Take(now, region.Move{Service: s, From: home, To: p.Region})
//		if refusal == nil {
//			// hand the request over to p.Entry
//			t.Done(now, passage, region.Result{Bytes: size, Took: took})
//		}
//	}
package region

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// Place is a node that owns endpoints of a service.
type Place struct {
	Entry  inventory.EntryID
	Domain inventory.DomainID
	Region inventory.RegionID
	Free   int       // free slots as last heard
	Slots  int       // slots
	Queue  int       // requests waiting
	At     time.Time // of the report
}

// Question is what a place is sought for.
type Question struct {
	Service inventory.ServiceID
	Home    inventory.RegionID // of the caller
	Origin  inventory.DomainID // of this node
	Bytes   int64              // of the request
}

const (
	// farAway is the delay to a place that no declared link leads to.
	farAway = time.Second
	// firstTime stands for the time of a request before one was seen.
	firstTime = 20 * time.Millisecond
)

// Shares of a region's slots that are kept for its own callers, in percent.
const (
	reserveLatency  = 10
	reserveHeadroom = 25
)

// Table chooses places. It is safe for concurrent use.
type Table struct {
	self inventory.EntryID

	mu       sync.Mutex
	random   *rand.Rand
	inv      *inventory.Inventory
	budgets  map[inventory.BudgetID]*budget
	services map[inventory.ServiceID]*service
	sent     map[spot]*sending
	ticked   time.Time
	epoch    Epoch
}

// spot is a service at a node.
type spot struct {
	entry   inventory.EntryID
	service inventory.ServiceID
}

// sending counts what this node sent to a spot after the spot's last report.
type sending struct {
	at    time.Time
	count int
}

// New returns a table for the node on the given entry VM. Choices among equals
// are drawn from random, which the table then owns.
func New(self inventory.EntryID, random *rand.Rand) *Table {
	return &Table{
		self:     self,
		random:   random,
		budgets:  map[inventory.BudgetID]*budget{},
		services: map[inventory.ServiceID]*service{},
		sent:     map[spot]*sending{},
	}
}

// SetInventory puts an inventory in force.
func (t *Table) SetInventory(now time.Time, inv *inventory.Inventory) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inv = inv
	t.setBudgets(now)
}

// candidate is a place with what its choice depends on.
type candidate struct {
	Place
	refused *Refusal
	cost    time.Duration
}

// Order returns the places that a request may be sent to, the best one first.
// A place in another region stands there only while that region has room beyond
// what it keeps for its own callers. When no place remains for that reason, it
// returns a refusal. Of the places to which the request may not move now, one of
// each region stands at the end, so that the demand is counted.
func (t *Table) Order(now time.Time, q Question, places []Place) ([]Place, *Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inv == nil {
		return nil, nil
	}
	places = slices.DeleteFunc(slices.Clone(places), func(p Place) bool { return p.Slots == 0 })
	room := t.estimate(q, places)
	usable := slices.DeleteFunc(slices.Clone(places), func(p Place) bool { return !t.mayServe(q, p, room) })
	if len(usable) == 0 && len(places) > 0 {
		return nil, &Refusal{Reason: ReasonRoom, After: t.service(q.Service).took}
	}
	list := make([]candidate, 0, len(usable))
	refusals := map[inventory.RegionID]*Refusal{}
	for _, p := range usable {
		r, judged := refusals[p.Region]
		if !judged {
			r = t.judge(now, q, p.Region)
			refusals[p.Region] = r
		}
		list = append(list, candidate{Place: p, refused: r, cost: t.cost(q, p)})
	}
	slices.SortStableFunc(list, compare)
	t.mix(list)
	return withoutRepeats(list), nil
}

// withoutRepeats drops the places whose move is refused like that to another
// place of their region.
func withoutRepeats(list []candidate) []Place {
	ordered := make([]Place, 0, len(list))
	refused := map[inventory.RegionID]bool{}
	for _, c := range list {
		if c.refused != nil && refused[c.Region] {
			continue
		}
		refused[c.Region] = c.refused != nil
		ordered = append(ordered, c.Place)
	}
	return ordered
}

// estimate corrects the reported room by what this node has sent since, and
// returns the room of each region beyond its reserve.
func (t *Table) estimate(q Question, places []Place) map[inventory.RegionID]int {
	room := map[inventory.RegionID]int{}
	slots := map[inventory.RegionID]int{}
	for i := range places {
		p := &places[i]
		p.Free -= t.sentSince(spot{p.Entry, q.Service}, p.At)
		room[p.Region] += max(0, p.Free)
		slots[p.Region] += p.Slots
	}
	for r, n := range slots {
		room[r] -= (n*t.reserve() + 99) / 100
	}
	return room
}

func (t *Table) reserve() int {
	if t.inv.Rules.Weigh == inventory.WeighHeadroom {
		return reserveHeadroom
	}
	return reserveLatency
}

// sentSince counts what this node sent after a report.
func (t *Table) sentSince(s spot, report time.Time) int {
	n := t.sent[s]
	if n == nil || report.After(n.at) {
		return 0
	}
	return n.count
}

// Sent counts a request that is sent to a place.
func (t *Table) Sent(service inventory.ServiceID, p Place) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := spot{p.Entry, service}
	n := t.sent[s]
	if n == nil || p.At.After(n.at) {
		n = &sending{at: p.At}
		t.sent[s] = n
	}
	n.count++
}

// mayServe reports whether a place may get the request at all. The home region
// serves its own callers as long as it can; others only with room to spare.
func (t *Table) mayServe(q Question, p Place, room map[inventory.RegionID]int) bool {
	if p.Region == q.Home {
		return true
	}
	return p.Free > 0 && room[p.Region] > 0
}

// judge tells whether a request may move to a region now.
func (t *Table) judge(now time.Time, q Question, to inventory.RegionID) *Refusal {
	m := Move{Service: q.Service, From: q.Home, To: to, Bytes: q.Bytes}
	return refusal(now, t.charges(m, t.service(q.Service).expected()))
}

// cost is the time that a place is expected to add, there and back, with the
// wait in its queue. Where headroom is weighed, places of the same region cost
// the same while they have room, and a wait in the home region is preferred to
// a move.
func (t *Table) cost(q Question, p Place) time.Duration {
	way := 2 * t.delay(q.Origin, p)
	wait := t.wait(q.Service, p)
	if t.inv.Rules.Weigh != inventory.WeighHeadroom {
		return way + wait
	}
	if p.Region == t.inv.RegionOf(q.Origin) {
		return wait
	}
	return way + 2*wait
}

// wait is the expected time in a place's queue.
func (t *Table) wait(id inventory.ServiceID, p Place) time.Duration {
	if p.Free > 0 {
		return 0
	}
	ahead := p.Queue - p.Free + 1
	return t.service(id).took * time.Duration(ahead) / time.Duration(p.Slots)
}

// used is the share of a place's slots in use, above 1 with its queue.
func used(p Place) float64 {
	return float64(p.Slots-p.Free+p.Queue) / float64(p.Slots)
}

// mixed bounds the places of a group of equals that are drawn at random.
const mixed = 3

// mix orders equals by two random choices each, so that nodes with the same
// reports do not all choose the same place.
func (t *Table) mix(list []candidate) {
	for from := 0; from < len(list); {
		to := from + 1
		for to < len(list) && compare(list[from], list[to]) == 0 {
			to++
		}
		for i := from; i < min(to, from+mixed); i++ {
			best := t.better(list, i+t.random.IntN(to-i), i+t.random.IntN(to-i))
			list[i], list[best] = list[best], list[i]
		}
		from = to
	}
}

func (t *Table) better(list []candidate, a, b int) int {
	if used(list[b].Place) < used(list[a].Place) {
		return b
	}
	return a
}

// compare orders candidates: those that may be used before those that may not,
// then by cost.
func compare(a, b candidate) int {
	if (a.refused == nil) != (b.refused == nil) {
		if a.refused == nil {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.cost, b.cost)
}

// delay is the one-way delay from a failure domain to a place.
func (t *Table) delay(origin inventory.DomainID, p Place) time.Duration {
	if p.Domain == origin {
		return 0
	}
	here := t.inv.RegionOf(origin)
	if here == p.Region {
		return t.inv.Rules.DomainDelay.Duration
	}
	if l, ok := t.inv.LinkBetween(here, p.Region); ok {
		return l.Delay.Duration
	}
	return farAway
}
