package endpoint

// Which entry VMs may own an endpoint, and in which order of preference.

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// score is the rendezvous weight of an entry VM for an endpoint.
func score(entry inventory.EntryID, e inventory.EndpointID) uint64 {
	return xxhash.Sum64String(string(entry) + "\x00" + string(e))
}

// Rank returns the entry VMs that may own an endpoint, the preferred one
// first: those of its own failure domain, then those of its region, each group
// by rendezvous hashing. When the region has none, all entry VMs are eligible.
// Every node that has the same inventory computes the same order.
func Rank(inv *inventory.Inventory, e inventory.Endpoint) []inventory.EntryID {
	region := inv.RegionOf(e.Domain)
	ranked := slices.Clone(inv.Entries)
	near := func(x inventory.Entry) bool { return inv.RegionOf(x.Domain) == region }
	if slices.ContainsFunc(ranked, near) {
		ranked = slices.DeleteFunc(ranked, func(x inventory.Entry) bool { return !near(x) })
	}
	slices.SortFunc(ranked, func(a, b inventory.Entry) int { return compare(e, a, b) })
	ids := make([]inventory.EntryID, 0, len(ranked))
	for _, x := range ranked {
		ids = append(ids, x.ID)
	}
	return ids
}

func compare(e inventory.Endpoint, a, b inventory.Entry) int {
	if aOwn, bOwn := a.Domain == e.Domain, b.Domain == e.Domain; aOwn != bOwn {
		if aOwn {
			return -1
		}
		return 1
	}
	sa, sb := score(a.ID, e.ID), score(b.ID, e.ID)
	if sa != sb {
		if sa > sb {
			return -1
		}
		return 1
	}
	return strings.Compare(string(a.ID), string(b.ID))
}
