// Package lookup answers callers that ask which entry VM to use.
//
// The answer depends on the inventory, the block of the caller and who is
// alive. Blocks spread over the entry VMs of their region by rendezvous hashing,
// so all nodes give the same answer without talking to each other, and when one
// entry VM leaves, its blocks spread over all the others.
//
// When a region can not serve its callers any more, their blocks move to other
// regions in steps (see Shifts).
//
// # Usage
//
//	ix := lookup.NewIndex(inv)
//	order := ix.Order(lookup.Question{Block: "desk-17", Region: "mx"}, alive)
package lookup

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// TTL is how long a caller may keep an answer.
const TTL = time.Second

// maxEntries bounds the entry VMs in an answer.
const maxEntries = 4

// unknown stands for a region that is not declared.
const unknown inventory.RegionID = ""

// farAway is the delay between regions with no declared link.
const farAway = time.Hour

// Question is what a caller asks.
type Question struct {
	Block  inventory.BlockID
	Region inventory.RegionID // of the caller
}

// Entry is an entry VM in an answer, with the token for once-only operations.
type Entry struct {
	ID      inventory.EntryID `json:"id"`
	Address string            `json:"address"`
	Token   string            `json:"token"`
}

// Answer is what a caller gets: entry VMs, the one to use first. TTL is in
// seconds.
type Answer struct {
	Entries []Entry `json:"entries"`
	TTL     float64 `json:"ttl"`
}

// indexed is an entry VM with the hash of its id.
type indexed struct {
	inventory.Entry
	hash uint64
}

// Index holds the entry VMs of an inventory by region, without those that are
// drained. It does not change and is safe for concurrent use.
type Index struct {
	entries map[inventory.RegionID][]indexed
	near    map[inventory.RegionID][]inventory.RegionID // all regions, the nearest first
}

// NewIndex returns the index of an inventory.
func NewIndex(inv *inventory.Inventory) *Index {
	ix := &Index{entries: map[inventory.RegionID][]indexed{}, near: map[inventory.RegionID][]inventory.RegionID{}}
	for _, e := range inv.Entries {
		if !inv.EntryDrained(e) {
			r := inv.RegionOf(e.Domain)
			ix.entries[r] = append(ix.entries[r], indexed{Entry: e, hash: xxhash.Sum64String(string(e.ID))})
		}
	}
	for _, r := range inv.Regions {
		ix.near[r.ID] = nearest(inv, r.ID)
	}
	ix.near[unknown] = nearest(inv, unknown)
	return ix
}

// nearest lists all regions by their delay from one, which stands first.
func nearest(inv *inventory.Inventory, from inventory.RegionID) []inventory.RegionID {
	regions := make([]inventory.RegionID, 0, len(inv.Regions))
	delays := map[inventory.RegionID]time.Duration{}
	for _, r := range inv.Regions {
		regions = append(regions, r.ID)
		delays[r.ID] = farAway
		if l, ok := inv.LinkBetween(from, r.ID); ok {
			delays[r.ID] = l.Delay.Duration
		}
	}
	delays[from] = -1 // before any other
	slices.SortFunc(regions, func(a, b inventory.RegionID) int {
		return cmp.Or(cmp.Compare(delays[a], delays[b]), strings.Compare(string(a), string(b)))
	})
	return regions
}

// Serves reports whether an entry VM of a region lives.
func (ix *Index) Serves(r inventory.RegionID, alive func(inventory.EntryID) bool) bool {
	return slices.ContainsFunc(ix.entries[r], func(e indexed) bool { return alive(e.ID) })
}

// Order returns the entry VMs for a caller, the one to use first: those of its
// region by rendezvous hashing of its block, then those of the nearest other
// regions.
func (ix *Index) Order(q Question, alive func(inventory.EntryID) bool) []inventory.Entry {
	block := xxhash.Sum64String(string(q.Block))
	found := make([]inventory.Entry, 0, maxEntries)
	near, ok := ix.near[q.Region]
	if !ok {
		near = ix.near[unknown]
	}
	for _, r := range near {
		found = ix.highest(found, r, block, alive)
		if len(found) == maxEntries {
			break
		}
	}
	return found
}

// choice is an entry VM with its rendezvous weight for a block.
type choice struct {
	weight uint64
	at     int
}

// highest appends the living entry VMs of a region with the highest weights.
func (ix *Index) highest(found []inventory.Entry, r inventory.RegionID, block uint64, alive func(inventory.EntryID) bool) []inventory.Entry {
	var best [maxEntries]choice
	kept, room := 0, maxEntries-len(found)
	entries := ix.entries[r]
	for i := range entries {
		c := choice{weight: mix(block ^ entries[i].hash), at: i}
		if kept == room && c.weight <= best[kept-1].weight || !alive(entries[i].ID) {
			continue
		}
		if kept < room {
			kept++
		}
		at := kept - 1
		for at > 0 && best[at-1].weight < c.weight {
			best[at] = best[at-1]
			at--
		}
		best[at] = c
	}
	for _, c := range best[:kept] {
		found = append(found, entries[c.at].Entry)
	}
	return found
}

// mix spreads the bits of a hash (the finalizer of SplitMix64).
func mix(h uint64) uint64 {
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}
