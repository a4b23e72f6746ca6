package inventory

// Budgets: what may cross from one region to another, and how it is split into
// a floor for each entry VM and a pool for all of them. It follows from the
// declarations alone, so all nodes with the same inventory agree on it.

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// bytesPerMbit converts a data rate.
const bytesPerMbit = 1e6 / 8

// BudgetID names a budget. With a service it counts the requests that a cap
// bounds; without one it counts the bytes on the link in that direction.
type BudgetID struct {
	Service ServiceID `cbor:"service"`
	From    RegionID  `cbor:"from"`
	To      RegionID  `cbor:"to"`
}

// IsLink reports whether the budget counts bytes on a link.
func (id BudgetID) IsLink() bool { return id.Service == "" }

// Budget bounds an amount in any window of a length.
type Budget struct {
	ID     BudgetID
	Limit  int64 // requests, or bytes of a link
	Window time.Duration
}

// Budgets returns the budgets that caps and links set.
func (inv *Inventory) Budgets() []Budget {
	budgets := make([]Budget, 0, len(inv.Caps)+2*len(inv.Links))
	for _, c := range inv.Caps {
		budgets = append(budgets, c.budget())
	}
	for _, l := range inv.Links {
		budgets = append(budgets, l.budget(l.From, l.To), l.budget(l.To, l.From))
	}
	return budgets
}

// budget counts whole requests: a rate of at least one a second in windows of
// one second, a lower one as one request in a longer window. A fraction of a
// request is never carried over.
func (c Cap) budget() Budget {
	b := Budget{ID: BudgetID{Service: c.Service, From: c.From, To: c.To}, Limit: int64(c.Rate), Window: time.Second}
	if c.Rate > 0 && c.Rate < 1 {
		b.Limit = 1
		b.Window = time.Duration(float64(time.Second) / float64(c.Rate))
	}
	return b
}

func (l Link) budget(from, to RegionID) Budget {
	return Budget{ID: BudgetID{From: from, To: to}, Limit: int64(float64(l.Mbit) * bytesPerMbit), Window: time.Second}
}

// Floors is the part of the limit that is split evenly over entry VMs.
func (b Budget) Floors() int64 { return b.Limit / 2 }

// Pool is the part of the limit that is granted by demand.
func (b Budget) Pool() int64 { return b.Limit - b.Floors() }

// FloorOf is what an entry VM may use of a budget without asking anybody: its
// share among the entry VMs of the two regions, in whole units. What remains of
// the division goes to those whose hash is lowest.
func (inv *Inventory) FloorOf(b Budget, id EntryID) int64 {
	n := int64(len(inv.near[b.ID.From]) + len(inv.near[b.ID.To]))
	home := inv.RegionOf(inv.entries[id].Domain)
	if n == 0 || home != b.ID.From && home != b.ID.To {
		return 0
	}
	floor, rest := b.Floors()/n, b.Floors()%n
	if rest > 0 && inv.lower(b.ID, id) < rest {
		floor++
	}
	return floor
}

// lower counts the entry VMs of both regions whose hash is below that of one.
func (inv *Inventory) lower(b BudgetID, id EntryID) int64 {
	count, own := int64(0), b.score(id)
	for _, region := range []RegionID{b.From, b.To} {
		for _, e := range inv.near[region] {
			if s := b.score(e); s < own || (s == own && e < id) {
				count++
			}
		}
	}
	return count
}

func (id BudgetID) score(e EntryID) uint64 {
	return xxhash.Sum64String(string(id.Service) + "\x00" + string(id.From) + "\x00" + string(id.To) + "\x00" + string(e))
}
