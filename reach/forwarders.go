package reach

// The nodes that serve the requests of a node that is cut off. Any other node may: the nearest are
// preferred, and of these one of two drawn at random, the one with fewer requests of this node, so
// that the load spreads over all that are left. A node that can't be reached, is cut off itself, or
// has no processor time left is left out for a while. Nobody forwards what was forwarded to it.

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

const (
	// avoidTime is how long a node that could not help is left out.
	avoidTime = time.Second
	// unhelpfulTime is how long requests of a service are not forwarded for which other nodes had no
	// endpoint either.
	unhelpfulTime = time.Second
	// maxUnhelpful is the number of nodes without an endpoint from which the service counts as failed.
	maxUnhelpful = 2
)

// Node is a node that may serve requests of another one.
type Node struct {
	ID     inventory.EntryID
	Domain inventory.DomainID
	Region inventory.RegionID
}

// Forwarders holds the other nodes, and what this node knows of their help. It is safe for
// concurrent use.
type Forwarders struct {
	self Node

	mu       sync.Mutex
	nodes    []Node
	inFlight map[inventory.EntryID]int
	avoided  map[inventory.EntryID]time.Time // until when
	failed   map[inventory.ServiceID]failedService
}

// failedService is a service for which other nodes had no endpoint.
type failedService struct {
	nodes []inventory.EntryID
	at    time.Time
}

// NewForwarders returns the forwarders of a node that knows no other one.
func NewForwarders(self Node) *Forwarders {
	return &Forwarders{
		self:     self,
		inFlight: map[inventory.EntryID]int{},
		avoided:  map[inventory.EntryID]time.Time{},
		failed:   map[inventory.ServiceID]failedService{},
	}
}

// SetNodes replaces the list of nodes, which may include this one.
func (f *Forwarders) SetNodes(nodes []Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes = slices.DeleteFunc(slices.Clone(nodes), func(n Node) bool { return n.ID == f.self.ID })
	for id := range f.avoided {
		if !slices.ContainsFunc(f.nodes, func(n Node) bool { return n.ID == id }) {
			delete(f.avoided, id)
		}
	}
}

// Query holds the requirements of a request to be forwarded.
type Query struct {
	Service inventory.ServiceID
	Homes   []inventory.RegionID // regions in which its body may be; empty: all
	Tried   []inventory.EntryID
}

// Choose returns the node to forward a request to, and counts the request there until Done. It
// returns false if no node can help.
func (f *Forwarders) Choose(now time.Time, q Query) (inventory.EntryID, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.failed[q.Service]; len(s.nodes) >= maxUnhelpful && now.Sub(s.at) < unhelpfulTime {
		return "", false
	}
	nearest := f.nearest(now, q)
	if len(nearest) == 0 {
		return "", false
	}
	chosen := nearest[rand.IntN(len(nearest))].ID
	if other := nearest[rand.IntN(len(nearest))].ID; f.inFlight[other] < f.inFlight[chosen] {
		chosen = other
	}
	f.inFlight[chosen]++
	return chosen, true
}

// nearest returns the nodes that may serve a request: those of the own region if there are any.
func (f *Forwarders) nearest(now time.Time, q Query) []Node {
	var near, far []Node
	for _, n := range f.nodes {
		switch {
		case now.Before(f.avoided[n.ID]) || slices.Contains(q.Tried, n.ID):
		case len(q.Homes) > 0 && !slices.Contains(q.Homes, n.Region):
		case n.Region == f.self.Region:
			near = append(near, n)
		default:
			far = append(far, n)
		}
	}
	if len(near) > 0 {
		return near
	}
	return far
}

// Help is what came of a forwarded request.
type Help string

// The results.
const (
	Helped     Help = "yes"        // the node has decided on the request, whatever the outcome
	Unavail    Help = "node"       // the node can't be reached, is cut off or overloaded
	NoEndpoint Help = "noendpoint" // the node reaches no endpoint of the service either
)

// Done records the result of a request that was forwarded.
func (f *Forwarders) Done(now time.Time, id inventory.EntryID, s inventory.ServiceID, h Help) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.inFlight[id]--; f.inFlight[id] <= 0 {
		delete(f.inFlight, id)
	}
	switch h {
	case Helped:
		delete(f.avoided, id)
		delete(f.failed, s)
	case Unavail:
		f.avoided[id] = now.Add(avoidTime)
	case NoEndpoint:
		known := f.failed[s]
		if now.Sub(known.at) >= unhelpfulTime {
			known.nodes = nil
		}
		if !slices.Contains(known.nodes, id) {
			known.nodes = append(known.nodes, id)
		}
		f.failed[s] = failedService{nodes: known.nodes, at: now}
	}
}

// Avoid leaves a node out that is cut off by its own word.
func (f *Forwarders) Avoid(now time.Time, id inventory.EntryID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.avoided[id] = now.Add(avoidTime)
}
