// Package roster ranks nodes for tasks. All nodes with the same list of nodes choose the same ones
// for a task, in different regions and failure domains if possible, and a node that joins or leaves
// changes the choice for few tasks (rendezvous hashing).
//
// A roster does not change, apart from the choices that it remembers, and is safe for concurrent use.
//
// # Usage
//
//	r := roster.New(peers)
//	issuers := r.Choose(roster.KeyOf("organisation"), 3)
package roster

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// maxCachedKeys bounds the tasks whose nodes a roster remembers.
const maxCachedKeys = 4096

// Key identifies a task. Its bits are uniform.
type Key uint64

// KeyOf returns the key of a task with a name.
func KeyOf(name string) Key { return Key(xxhash.Sum64String(name)) }

// Peer is a node that may be chosen.
type Peer struct {
	ID     inventory.EntryID
	Domain inventory.DomainID
	Region inventory.RegionID
}

// Roster is a list of nodes.
type Roster struct {
	peers  []Peer   // sorted by id
	hashes []uint64 // of the ids of peers

	mu     sync.Mutex
	chosen map[Key][]Peer
}

// New returns the roster of a list of nodes.
func New(peers []Peer) *Roster {
	r := &Roster{peers: slices.Clone(peers), chosen: map[Key][]Peer{}}
	slices.SortFunc(r.peers, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	for _, p := range r.peers {
		r.hashes = append(r.hashes, xxhash.Sum64String(string(p.ID)))
	}
	return r
}

// Equal reports whether two rosters have the same nodes.
func (r *Roster) Equal(other *Roster) bool { return slices.Equal(r.peers, other.peers) }

// Len returns the number of nodes.
func (r *Roster) Len() int { return len(r.peers) }

// Find returns a node by its id.
func (r *Roster) Find(id inventory.EntryID) (Peer, bool) {
	i, found := slices.BinarySearchFunc(r.peers, id, func(p Peer, id inventory.EntryID) int { return cmp.Compare(p.ID, id) })
	if !found {
		return Peer{}, false
	}
	return r.peers[i], true
}

// Without returns the roster without a node.
func (r *Roster) Without(id inventory.EntryID) *Roster {
	return New(slices.DeleteFunc(slices.Clone(r.peers), func(p Peer) bool { return p.ID == id }))
}

// Choose returns the first count nodes for a task, or all if there are fewer. The first ones are the
// same for any count.
func (r *Roster) Choose(k Key, count int) []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	count = min(count, len(r.peers))
	known := r.chosen[k]
	if len(known) < count {
		if len(r.chosen) >= maxCachedKeys {
			clear(r.chosen)
		}
		known = slices.Clone(known)
		for len(known) < count {
			known = append(known, r.best(k, known))
		}
		r.chosen[k] = known
	}
	return known[:count:count]
}

// Rank returns how many nodes come before a node for a task, by their hashes alone.
func (r *Roster) Rank(k Key, id inventory.EntryID) int {
	own, rank := mix(uint64(k)^xxhash.Sum64String(string(id))), 0
	for _, h := range r.hashes {
		if mix(uint64(k)^h) > own {
			rank++
		}
	}
	return rank
}

// best returns the node to choose after the chosen ones: one of another region, else of another
// failure domain, and the one with the highest hash among these.
func (r *Roster) best(k Key, chosen []Peer) Peer {
	var best Peer
	bestDistance, bestScore := -1, uint64(0)
	for i, p := range r.peers {
		d := distance(p, chosen)
		if d < 0 || d < bestDistance {
			continue
		}
		score := mix(uint64(k) ^ r.hashes[i])
		if d > bestDistance || score > bestScore {
			best, bestDistance, bestScore = p, d, score
		}
	}
	return best
}

// distance returns how far a node is from the chosen ones: 2 in another region, 1 in another
// failure domain, 0 in the same one, and -1 if it is one of them.
func distance(p Peer, chosen []Peer) int {
	d := 2
	for _, c := range chosen {
		switch {
		case c.ID == p.ID:
			return -1
		case c.Domain == p.Domain:
			d = 0
		case c.Region == p.Region:
			d = min(d, 1)
		}
	}
	return d
}

// mix spreads the bits of a hash (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Includes reports whether a node is among others.
func Includes(peers []Peer, id inventory.EntryID) bool {
	return slices.ContainsFunc(peers, func(p Peer) bool { return p.ID == id })
}
