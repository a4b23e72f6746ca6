// Package lookup chooses the entry VMs that a node returns to a caller.
//
// A node returns itself and those of its neighbours from which it receives heartbeats
// directly, so an answer never depends on second-hand information about which nodes are
// alive. It prefers the caller's failure domain, then the caller's region. Entry VMs
// with more capacity are returned more often.
//
// # Usage
//
//	addresses := lookup.Choose(lookup.Query{Domain: "norte-a", Region: "norte"}, alive)
package lookup

import (
	"math/rand/v2"
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

const (
	minAddresses = 2  // entry VMs in an answer, if the region has so many: a caller needs another one when one fails
	maxAddresses = 16 // entry VMs in an answer; callers choose among them at random
)

// Query holds the location of a caller.
type Query struct {
	Domain inventory.DomainID
	Region inventory.RegionID
}

// Answer is the response to a caller. An answer without addresses means that the queried
// node has no live entry VM to return.
type Answer struct {
	Addresses []string
	TTL       time.Duration // how long the answer may be cached
}

// EntryVM describes an entry VM that is alive.
type EntryVM struct {
	ID      inventory.EntryID
	Address string // for requests
	Domain  inventory.DomainID
	Region  inventory.RegionID
	Share   float64 // of a processor, used as its weight
}

// Choose returns the addresses for a caller, in no particular order.
func Choose(q Query, alive []EntryVM) []string {
	var local, region, rest []EntryVM
	for _, vm := range alive {
		switch {
		case vm.Domain == q.Domain:
			local = append(local, vm)
		case vm.Region == q.Region:
			region = append(region, vm)
		default:
			rest = append(rest, vm)
		}
	}
	addresses := sampleByShare(local)
	if len(addresses) < minAddresses {
		addresses = append(addresses, pickRandom(sampleByShare(region), minAddresses-len(addresses))...)
	}
	if len(addresses) == 0 {
		addresses = sampleByShare(rest)
	}
	return pickRandom(addresses, maxAddresses)
}

// pickRandom returns at most count addresses, chosen at random. It may reorder
// addresses.
func pickRandom(addresses []string, count int) []string {
	if len(addresses) <= count {
		return addresses
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:count]
}

// sampleByShare returns addresses of entry VMs, each with a probability proportional to
// its share. Those with the largest share are always included.
func sampleByShare(vms []EntryVM) []string {
	largest := 0.0
	for _, vm := range vms {
		largest = max(largest, vm.Share)
	}
	var addresses []string
	for _, vm := range vms {
		if vm.Share >= largest || rand.Float64()*largest < vm.Share {
			addresses = append(addresses, vm.Address)
		}
	}
	return addresses
}
