package member

// Which nodes read for others, so that the platform serves a number of readers
// that grows with the failure domains and not with the fleet.

import (
	"github.com/cespare/xxhash/v2"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// readersPerDomain is how many nodes of a failure domain read for all of it.
const readersPerDomain = 2

// Reads reports whether the node on an entry VM is one of those that read for
// its failure domain: the first two by rendezvous hashing among those that live.
func Reads(inv *inventory.Inventory, self inventory.EntryID, lives func(inventory.EntryID) bool) bool {
	own, ok := inv.Entry(self)
	if !ok {
		return true
	}
	before := 0
	for _, e := range inv.Entries {
		if e.Domain == own.Domain && e.ID != self && weight(e.ID) > weight(self) && lives(e.ID) {
			before++
		}
	}
	return before < readersPerDomain
}

// weight is the rendezvous weight of an entry VM as a reader.
func weight(id inventory.EntryID) uint64 { return xxhash.Sum64String("reader\x00" + string(id)) }
