// Package region chooses the place that a request is sent to: the order of the
// nodes that own endpoints of its service, by distance and room, and whether
// the traffic may move from its home region to another.
//
// # Usage
//
//	t := region.New("mx-1")
//	t.SetInventory(now, inv)
//	for _, p := range t.Order(origin, places) {
//		if t.Take(now, region.Move{Service: s, From: home, To: p.Region}) == nil {
//			// hand the request over to p.Entry
//		}
//	}
package region

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// Place is a node that owns endpoints of a service.
type Place struct {
	Entry  inventory.EntryID
	Domain inventory.DomainID
	Region inventory.RegionID
	Free   int // free slots as last heard
	Slots  int // slots
	Queue  int // requests waiting
}

// farAway is the cost of a place that no declared link leads to.
const farAway = time.Second

// Table chooses places. It is safe for concurrent use.
type Table struct {
	self inventory.EntryID

	mu  sync.Mutex
	inv *inventory.Inventory
}

// New returns a table for the node on the given entry VM.
func New(self inventory.EntryID) *Table { return &Table{self: self} }

// SetInventory puts an inventory in force.
func (t *Table) SetInventory(_ time.Time, inv *inventory.Inventory) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inv = inv
}

// Order returns the places that have slots, the best one first, as seen from a
// failure domain.
func (t *Table) Order(origin inventory.DomainID, places []Place) []Place {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inv == nil {
		return nil
	}
	ordered := slices.DeleteFunc(slices.Clone(places), func(p Place) bool { return p.Slots == 0 })
	slices.SortStableFunc(ordered, func(a, b Place) int { return t.compare(origin, a, b) })
	return ordered
}

func (t *Table) compare(origin inventory.DomainID, a, b Place) int {
	if a.Free > 0 != (b.Free > 0) {
		if a.Free > 0 {
			return -1
		}
		return 1
	}
	ca, cb := t.delay(origin, a), t.delay(origin, b)
	switch {
	case ca < cb:
		return -1
	case ca > cb:
		return 1
	case a.Free != b.Free:
		return b.Free - a.Free
	case a.Queue != b.Queue:
		return a.Queue - b.Queue
	default:
		return strings.Compare(string(a.Entry), string(b.Entry))
	}
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

// Move is traffic of a service that leaves its home region.
type Move struct {
	Service  inventory.ServiceID
	From, To inventory.RegionID
}

// Refusal says why traffic may not move, and when to ask again.
type Refusal struct {
	Reason Reason
	After  time.Duration
}

// Reason of a refusal.
type Reason string

// The reasons.
const (
	ReasonCap Reason = "cap"
)

// Take asks whether one request may move now, and counts it if so. It returns
// nil when it may.
func (t *Table) Take(_ time.Time, m Move) *Refusal {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inv == nil || m.From == m.To {
		return nil
	}
	if c, ok := t.inv.CapOn(m.Service, m.From, m.To); ok && c.Rate == 0 {
		return &Refusal{Reason: ReasonCap, After: time.Second}
	}
	return nil
}
