// Package lookup answers callers that ask which entry VM to use.
//
// The answer depends only on the inventory, the block of the caller and who is
// alive, so all nodes give the same one without talking to each other. Blocks
// spread over the entry VMs of their region by rendezvous hashing; when one of
// them leaves, its blocks spread over all the others.
//
// # Usage
//
//	order := lookup.Order(inv, lookup.Question{Block: "desk-17"}, alive)
package lookup

import (
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

// Order returns the entry VMs for a caller, the one to use first: those of its
// region by rendezvous hashing of its block, then those of other regions by the
// delay of the link, of which the nearest stand first.
func Order(inv *inventory.Inventory, q Question, alive func(inventory.EntryID) bool) []inventory.Entry {
	usable := slices.DeleteFunc(slices.Clone(inv.Entries), func(e inventory.Entry) bool {
		return inv.EntryDrained(e) || !alive(e.ID)
	})
	slices.SortFunc(usable, func(a, b inventory.Entry) int { return compare(inv, q, a, b) })
	if len(usable) > maxEntries {
		usable = usable[:maxEntries]
	}
	return usable
}

func compare(inv *inventory.Inventory, q Question, a, b inventory.Entry) int {
	da, db := delay(inv, q.Region, a), delay(inv, q.Region, b)
	if da != db {
		return int(da - db)
	}
	sa, sb := score(q.Block, a.ID), score(q.Block, b.ID)
	if sa != sb {
		if sa > sb {
			return -1
		}
		return 1
	}
	return strings.Compare(string(a.ID), string(b.ID))
}

// delay of an entry VM's region; an unknown region is as far as any.
func delay(inv *inventory.Inventory, from inventory.RegionID, e inventory.Entry) time.Duration {
	to := inv.RegionOf(e.Domain)
	if from == to || from == "" {
		return 0
	}
	if l, ok := inv.LinkBetween(from, to); ok {
		return l.Delay.Duration
	}
	return time.Hour
}

func score(b inventory.BlockID, e inventory.EntryID) uint64 {
	return xxhash.Sum64String(string(b) + "\x00" + string(e))
}
