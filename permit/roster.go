package permit

// The issuers of an endpoint among a list of nodes. All nodes with the same list find the same
// issuers. A node that joins or leaves changes the issuers of few endpoints.

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// maxCachedEndpoints bounds the endpoints whose issuers a roster remembers.
const maxCachedEndpoints = 4096

// roster is a list of nodes that was in force until end.
type roster struct {
	end     time.Time // zero: it is in force
	peers   []Peer    // sorted by id
	hashes  []uint64  // of the ids of peers
	issuers map[Endpoint][]Peer
}

func newRoster(peers []Peer) *roster {
	r := &roster{peers: slices.Clone(peers), issuers: map[Endpoint][]Peer{}}
	slices.SortFunc(r.peers, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	for _, p := range r.peers {
		r.hashes = append(r.hashes, xxhash.Sum64String(string(p.ID)))
	}
	return r
}

// issuersOf returns the issuers of an endpoint, the third of which is the substitute.
func (r *roster) issuersOf(e Endpoint) []Peer {
	if known, ok := r.issuers[e]; ok {
		return known
	}
	if len(r.issuers) >= maxCachedEndpoints {
		clear(r.issuers)
	}
	var chosen []Peer
	for len(chosen) < min(maxIssuers, len(r.peers)) {
		chosen = append(chosen, r.best(e, chosen))
	}
	r.issuers[e] = chosen
	return chosen
}

// best returns the node to choose after the chosen ones: one of another region, else of another
// failure domain, and the one with the highest hash among these.
func (r *roster) best(e Endpoint, chosen []Peer) Peer {
	var best Peer
	bestDistance, bestScore := -1, uint64(0)
	for i, p := range r.peers {
		d := distance(p, chosen)
		if d < 0 || d < bestDistance {
			continue
		}
		score := mix(uint64(e) ^ r.hashes[i])
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

func includes(peers []Peer, id inventory.EntryID) bool {
	return slices.ContainsFunc(peers, func(p Peer) bool { return p.ID == id })
}

// Issuers returns the issuers of an endpoint by the current list of nodes: those that issue
// permits, and the substitute.
func (t *Table) Issuers(e Endpoint) []inventory.EntryID {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []inventory.EntryID
	for _, p := range t.current().issuersOf(e) {
		ids = append(ids, p.ID)
	}
	return ids
}
