package reach

// The nodes that serve the requests of a node that is cut off. Any other node may: those that have
// helped are preferred, then those of the own region, and of these one of two drawn at random, the one
// with fewer requests of this node, so that the load spreads over all that are left. A node that can't be reached, is cut off itself, or
// has no processor time left is left out for a while. Nobody forwards what was forwarded to it.

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

const (
	// avoidTime is how long a node that could not help is left out.
	avoidTime = 2 * time.Second
	// helpfulTime is how long a node that has helped is preferred: if most nodes are cut off, one
	// drawn from all of them mostly is.
	helpfulTime = 5 * time.Second
	// enoughHelpful is the number of helpful nodes from which others are tried rarely.
	enoughHelpful = 6
	// exploreShare is the share of requests that are not sent to the helpful nodes if few of these are of
	// the own region: others there may have recovered.
	exploreShare = 1.0 / 16
	// maxNearTries is the number of nodes of the own region that are tried for a request before those
	// of others.
	maxNearTries = 3
	// maxDraws is the number of random draws for a usable node before all are looked through.
	maxDraws = 16
	// silentTime is how long nothing is heard of a node while it has requests of this one until it gets
	// no more but one every silentInterval: it may stand still.
	silentTime     = 700 * time.Millisecond
	silentInterval = 500 * time.Millisecond
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
	near     []Node // of the own region
	far      []Node
	inFlight map[inventory.EntryID]pending
	avoided  map[inventory.EntryID]time.Time // until when
	helpful  map[inventory.EntryID]helper
	failed   map[inventory.ServiceID]failedService
}

// pending holds the requests of this node that another one has.
type pending struct {
	count    int
	silent   time.Time // since when nothing was heard of it
	lastSent time.Time
}

// mayHang reports whether the node may stand still, and got a request a moment ago.
func (p pending) mayHang(now time.Time) bool {
	return p.count > 0 && now.Sub(p.silent) >= silentTime && now.Sub(p.lastSent) < silentInterval
}

// helper is a node that has helped.
type helper struct {
	Node
	at time.Time
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
		inFlight: map[inventory.EntryID]pending{},
		avoided:  map[inventory.EntryID]time.Time{},
		helpful:  map[inventory.EntryID]helper{},
		failed:   map[inventory.ServiceID]failedService{},
	}
}

// SetNodes replaces the list of nodes, which may include this one.
func (f *Forwarders) SetNodes(nodes []Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.near, f.far = nil, nil
	known := map[inventory.EntryID]bool{}
	for _, n := range nodes {
		known[n.ID] = true
		switch {
		case n.ID == f.self.ID:
		case n.Region == f.self.Region:
			f.near = append(f.near, n)
		default:
			f.far = append(f.far, n)
		}
	}
	maps.DeleteFunc(f.avoided, func(id inventory.EntryID, _ time.Time) bool { return !known[id] })
	maps.DeleteFunc(f.helpful, func(id inventory.EntryID, _ helper) bool { return !known[id] })
}

// Query holds the requirements of a request to be forwarded.
type Query struct {
	Service inventory.ServiceID
	Homes   []inventory.RegionID // regions in which its body may be; empty: all
	Tried   []inventory.EntryID
	// Among are the only nodes that can serve it, if Restricted is set.
	Among      []inventory.EntryID
	Restricted bool
}

// Choose returns the node to forward a request to, and counts the request there until Done. It
// returns false if no node can help.
func (f *Forwarders) Choose(now time.Time, q Query) (inventory.EntryID, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.failed[q.Service]; len(s.nodes) >= maxUnhelpful && now.Sub(s.at) < unhelpfulTime {
		return "", false
	}
	for _, nodes := range f.groups(now, q) {
		if chosen, ok := f.drawTwo(now, q, nodes); ok {
			p := f.inFlight[chosen.ID]
			if p.count == 0 {
				p.silent = now
			}
			p.count, p.lastSent = p.count+1, now
			f.inFlight[chosen.ID] = p
			return chosen.ID, true
		}
	}
	return "", false
}

// groups returns nodes in the order in which they are tried.
func (f *Forwarders) groups(now time.Time, q Query) [][]Node {
	near, far := f.helpers(now, q)
	groups := [][]Node{f.near, f.far}
	if f.triedNear(q) >= maxNearTries {
		groups = [][]Node{f.far, f.near}
	}
	switch {
	case len(near) >= enoughHelpful:
		return append([][]Node{near}, groups...)
	case len(near)+len(far) >= enoughHelpful && rand.Float64() >= exploreShare:
		return append([][]Node{near, far}, groups...)
	}
	return groups
}

// helpers returns the nodes that have helped lately and may serve a request.
func (f *Forwarders) helpers(now time.Time, q Query) (near, far []Node) {
	for id, h := range f.helpful {
		switch {
		case now.Sub(h.at) >= helpfulTime:
			delete(f.helpful, id)
		case !f.isUsable(now, q, h.Node):
		case h.Region == f.self.Region:
			near = append(near, h.Node)
		default:
			far = append(far, h.Node)
		}
	}
	return near, far
}

// triedNear returns the number of nodes of the own region that were tried.
func (f *Forwarders) triedNear(q Query) int {
	count := 0
	for _, id := range q.Tried {
		if slices.ContainsFunc(f.near, func(n Node) bool { return n.ID == id }) {
			count++
		}
	}
	return count
}

func (f *Forwarders) isUsable(now time.Time, q Query, n Node) bool {
	return !now.Before(f.avoided[n.ID]) && !f.inFlight[n.ID].mayHang(now) && !slices.Contains(q.Tried, n.ID) && (!q.Restricted || slices.Contains(q.Among, n.ID)) && (len(q.Homes) == 0 || slices.Contains(q.Homes, n.Region))
}

// drawTwo draws two usable nodes and returns the one that has fewer requests of this node.
func (f *Forwarders) drawTwo(now time.Time, q Query, nodes []Node) (Node, bool) {
	one, ok := f.draw(now, q, nodes)
	if !ok {
		return Node{}, false
	}
	if other, ok := f.draw(now, q, nodes); ok && f.inFlight[other.ID].count < f.inFlight[one.ID].count {
		return other, true
	}
	return one, true
}

// draw returns a usable node at random.
func (f *Forwarders) draw(now time.Time, q Query, nodes []Node) (Node, bool) {
	if len(nodes) == 0 {
		return Node{}, false
	}
	for range maxDraws {
		if n := nodes[rand.IntN(len(nodes))]; f.isUsable(now, q, n) {
			return n, true
		}
	}
	start := rand.IntN(len(nodes))
	for i := range nodes {
		if n := nodes[(start+i)%len(nodes)]; f.isUsable(now, q, n) {
			return n, true
		}
	}
	return Node{}, false
}

// Help is what came of a forwarded request.
type Help string

// The results.
const (
	Helped     Help = "yes"        // the node has decided on the request, whatever the outcome
	Unavail    Help = "node"       // the node can't be reached, is cut off or overloaded
	Busy       Help = "busy"       // the node can't take this request, but may take the next one
	Silent     Help = "silent"     // it did not answer in time
	NoEndpoint Help = "noendpoint" // the node reaches no endpoint of the service either
)

// Done records the result of a request that was forwarded.
func (f *Forwarders) Done(now time.Time, id inventory.EntryID, s inventory.ServiceID, h Help) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.inFlight[id]
	if p.count--; h != Silent {
		p.silent = now
	}
	f.inFlight[id] = p
	if p.count <= 0 {
		delete(f.inFlight, id)
	}
	switch h {
	case Helped:
		delete(f.avoided, id)
		delete(f.failed, s)
		f.recordHelp(now, id)
	case Unavail:
		f.avoided[id] = now.Add(avoidTime)
		delete(f.helpful, id)
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

// recordHelp records that a node has helped.
func (f *Forwarders) recordHelp(now time.Time, id inventory.EntryID) {
	if known, ok := f.helpful[id]; ok {
		f.helpful[id] = helper{known.Node, now}
		return
	}
	for _, nodes := range [][]Node{f.near, f.far} {
		if i := slices.IndexFunc(nodes, func(n Node) bool { return n.ID == id }); i >= 0 {
			f.helpful[id] = helper{nodes[i], now}
		}
	}
}

// Readmit uses a node again that was left out: it has started, or is ready again.
func (f *Forwarders) Readmit(id inventory.EntryID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.avoided, id)
}

// Avoid leaves a node out that is cut off by its own word.
func (f *Forwarders) Avoid(now time.Time, id inventory.EntryID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.avoided[id] = now.Add(avoidTime)
	delete(f.helpful, id)
}
