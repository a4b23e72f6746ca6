package discovery

// Selects the processes that read the store. One process of each failure domain
// does. The others in the domain receive the changes from it, at no cost to the
// store and without traffic between domains. They form a tree by their order, best links first, which
// bounds the number of processes that each one sends to, however large the domain
// is. A process that receives no heartbeat from an up-to-date process ahead of it in
// the order reads the store itself, so the result does not depend on which processes
// are assumed to be running.
//
// The store may send no changes to a reader while it responds to others. Processes
// therefore also compare their positions: one that remains behind a neighbour reads
// the store itself, or requests everything again if it does so already.
//
// The store may also reject some processes and respond to others. A process that
// cannot reach the store therefore receives the changes from any process that can,
// preferably one of its own domain, and keeps retrying the store meanwhile. If there is none, the
// processes may have got different changes before the store went away: one that is behind receives those
// that it lacks from one that is ahead, which does not make it up to date.
//
// A process that starts reads the store until its copy is complete, because the
// processes that it would follow may be starting too. If it cannot reach the store
// it has no list of the other processes, and connects to the seeds in its settings.

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/platform"
)

const (
	// UpdateInterval is the time between two messages to a downstream process if there
	// are no changes.
	UpdateInterval = 250 * time.Millisecond
	// upstreamTimeout is the time without a message after which an upstream process
	// counts as failed: two messages. A drain leaves two seconds to detect that and to
	// read the store.
	upstreamTimeout      = 2*UpdateInterval + 100*time.Millisecond
	fanOut               = 16                     // downstream processes of one: their heartbeats, 1 KB/s each, fit a node's budget
	lagTimeout           = 700 * time.Millisecond // for which a neighbour may be ahead: its changes are being propagated
	directReadTime       = 5 * time.Second        // for which a process that was behind reads the store itself
	transitTTL           = 2 * UpdateInterval     // for which a part of a large version is a sign that the rest follows
	maxTransit           = 3 * time.Second        // for which a change may be missing while parts arrive: a whole version to 16 others takes that at 10 Mbit/s
	heartbeatTTL         = time.Second            // validity of a heartbeat: two heartbeat intervals
	fallbackDelay        = 300 * time.Millisecond // without the store until another process is used: one failed read
	startupFallbackDelay = upstreamTimeout        // the same at startup: where all processes start, none is up to date
)

// Peer is another process, in the own failure domain or near it.
type Peer struct {
	ID     inventory.EntryID
	Domain inventory.DomainID
	Link   float64 // Mbit/s of its network link; UnknownLink if it does not know, 0 if it can't tell
}

// UnknownLink is the link of a process that does not know it. It comes after all others.
const UnknownLink = -1

// Relay decides for one process whether it reads the store, and which upstream process
// it receives the changes from if not. It is safe for concurrent use.
type Relay struct {
	self Peer

	mu               sync.Mutex
	predecessors     []inventory.EntryID // processes of the own domain ahead of this one in the reader order
	upstream         inventory.EntryID   // process that this one receives the changes from in the tree; "": none
	domain           []inventory.EntryID // all processes of the own domain
	heartbeats       map[inventory.EntryID]heartbeat
	missing          map[platform.Collection]missingChange // for collections in which a neighbour is ahead
	transitAt        time.Time                             // when a part of a large version was last seen on its way here
	readUntil        time.Time                             // until when this process reads the store regardless of others
	unreachableSince time.Time                             // since when it reads without reaching the store; zero: it reaches it, or does not read
	fallback         inventory.EntryID                     // upstream process while this one does not reach the store; "": none
	ahead            inventory.EntryID                     // see Plan.Ahead
}

// heartbeat is the last message of a process.
type heartbeat struct {
	at        time.Time
	hops      Hops
	positions []Position
}

// missingChange is a change that neighbours have received and this process has not.
type missingChange struct {
	position Position  // of the neighbour that is ahead most
	since    time.Time // start of the current period of lagTimeout
	first    time.Time // since when changes of the collection have been missing
}

// Hops is the number of processes between the store and an up-to-date process.
type Hops int

const (
	// HopsReader is the value of a process that reads the store and reaches it.
	HopsReader Hops = 0
	// HopsNone is the value of a process that is not kept up to date.
	HopsNone Hops = -1
	// maxHops is the depth of the tree: 1 + 16 + 256 processes of a domain. Each hop
	// adds up to upstreamTimeout to the time until the loss of a reader is detected.
	maxHops Hops = 2
)

// canForward reports whether a process with this number of hops may be upstream of
// another one.
func (h Hops) canForward() bool { return h >= HopsReader && h < maxHops }

// NewRelay returns the relay of a process without peers.
func NewRelay(self Peer) *Relay {
	return &Relay{self: self, heartbeats: map[inventory.EntryID]heartbeat{}, missing: map[platform.Collection]missingChange{}}
}

// SetPeers replaces the known processes.
func (r *Relay) SetPeers(peers []Peer) {
	var members []Peer // of the own domain
	var domain []inventory.EntryID
	for _, p := range peers {
		if p.Domain == r.self.Domain {
			domain = append(domain, p.ID)
			if p.ID != r.self.ID {
				members = append(members, p)
			}
		}
	}
	members = append(members, r.self)
	compare := compareReaders
	if !slices.ContainsFunc(members, func(p Peer) bool { return p.Link == 0 }) {
		compare = compareLinks
	}
	slices.SortFunc(members, compare)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.domain, r.predecessors = domain, nil
	for _, p := range members[:slices.Index(members, r.self)] {
		r.predecessors = append(r.predecessors, p.ID)
	}
}

// compareLinks orders the processes of a domain by their links, and those of the same link like
// compareReaders: one that passes a version on sends it to up to 16 others. Builds that don't know
// of links order all by compareReaders, so the domain keeps that order as long as there is one.
func compareLinks(a, b Peer) int {
	return cmp.Or(cmp.Compare(b.Link, a.Link), compareReaders(a, b))
}

// compareReaders orders the processes of a domain by their ids. The order is the same in every
// process.
func compareReaders(a, b Peer) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(string(a.ID)), xxhash.Sum64String(string(b.ID))), cmp.Compare(a.ID, b.ID))
}

// RecordHeartbeat records the heartbeat of a process.
func (r *Relay) RecordHeartbeat(now time.Time, id inventory.EntryID, h Hops, positions []Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heartbeats[id] = heartbeat{at: now, hops: h, positions: positions}
}

// RecordTransit records that a part of a large version has arrived here or at the upstream process.
// Whoever waits for the rest does not turn to the store, which would send the same again.
func (r *Relay) RecordTransit(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.transitAt = now
}

// IsInTransit reports whether a large version is on its way here.
func (r *Relay) IsInTransit(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isInTransit(now)
}

func (r *Relay) isInTransit(now time.Time) bool {
	return !r.transitAt.IsZero() && now.Sub(r.transitAt) <= transitTTL
}

// Predecessors returns the processes that are preferred to this one as readers, in
// order.
func (r *Relay) Predecessors() []inventory.EntryID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.predecessors)
}

// Candidates returns the processes that may be upstream of this one, which therefore
// subscribes to their heartbeats: its parent in the tree and a process next to the
// parent. This process reads the store when it has lost both.
func (r *Relay) Candidates() []inventory.EntryID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.candidates()
}

func (r *Relay) candidates() []inventory.EntryID {
	index := len(r.predecessors)
	if index == 0 {
		return nil
	}
	parent := (index - 1) / fanOut
	all := []inventory.EntryID{r.predecessors[parent]}
	switch {
	case parent > 0:
		all = append(all, r.predecessors[parent-1])
	case index > 1:
		all = append(all, r.predecessors[1])
	}
	return all
}

// Hops returns the number of hops between this process and the store. reaches
// states whether it reads the store and reaches it.
func (r *Relay) Hops(now time.Time, reaches bool) Hops {
	if reaches {
		return HopsReader
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	hb, ok := r.heartbeats[r.upstream]
	if !ok || now.Sub(hb.at) > upstreamTimeout || !hb.hops.canForward() {
		return HopsNone
	}
	return hb.hops + 1
}

// DiscardHeartbeats discards all heartbeats, because this process was paused for a while and
// they are stale.
func (r *Relay) DiscardHeartbeats() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.heartbeats)
}

// RemovePeer discards the heartbeat of a process that has ended.
func (r *Relay) RemovePeer(id inventory.EntryID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.heartbeats, id)
}

// Plan states how a process obtains the collections.
type Plan struct {
	Upstream     inventory.EntryID // process that it receives the changes from; "": none
	Reads        bool              // it reads the store itself
	Ahead        inventory.EntryID // process that has changes which this one lacks, while neither reaches the store; "": none
	ContactSeeds bool              // its copy is incomplete and the store is unreachable: it also connects to the seeds
	Refresh      bool              // it reads the store and has missed a change: it requests everything again
}

// Plan decides how this process obtains the collections. own holds its positions;
// reaches states whether it reads the store and reaches it.
func (r *Relay) Plan(now time.Time, own []Position, reaches bool) Plan {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := Plan{Reads: true}
	complete := isComplete(own)
	if complete || r.isUnreachableFor(now, startupFallbackDelay) {
		p = r.follow(now)
	}
	r.upstream = p.Upstream // excludes a fallback, which may be downstream of this process
	switch {
	case p.Reads && !reaches:
		p.Upstream = r.selectFallback(now)
		if p.Upstream == "" && r.isUnreachableFor(now, fallbackDelay) {
			p.Ahead = r.selectAhead(now, own)
		}
		p.ContactSeeds = !complete && r.isUnreachableFor(now, startupFallbackDelay)
	case reaches || complete:
		r.unreachableSince, r.fallback = time.Time{}, ""
	}
	if r.checkLag(now, own) {
		p.Refresh = p.Reads && p.Upstream == ""
		r.readUntil = now.Add(directReadTime)
	}
	if now.Before(r.readUntil) {
		p.Reads = true
	}
	return p
}

// follow returns the plan to use a candidate as the upstream process, or to read the
// store if no candidate qualifies.
func (r *Relay) follow(now time.Time) Plan {
	for _, id := range r.candidates() {
		if hb, ok := r.heartbeats[id]; ok && hb.hops.canForward() && now.Sub(hb.at) <= upstreamTimeout {
			return Plan{Upstream: id}
		}
	}
	return Plan{Reads: true}
}

// isUnreachableFor reports whether this process has read the store without reaching
// it for at least d.
func (r *Relay) isUnreachableFor(now time.Time, d time.Duration) bool {
	return !r.unreachableSince.IsZero() && now.Sub(r.unreachableSince) >= d
}

// isComplete reports whether the copies of all collections are complete. They may be
// stale.
func isComplete(positions []Position) bool {
	return !slices.ContainsFunc(positions, func(p Position) bool { return p.At == 0 })
}

// selectFallback returns a process that reaches the store, once this one has not
// reached it for fallbackDelay; "" if there is none. The current fallback is kept as
// long as it qualifies, so that subscriptions do not change without need.
func (r *Relay) selectFallback(now time.Time) inventory.EntryID {
	if r.unreachableSince.IsZero() {
		r.unreachableSince = now
	}
	if !r.isUnreachableFor(now, fallbackDelay) || r.isFallback(now, r.fallback) {
		return r.fallback
	}
	r.fallback = ""
	for id := range r.heartbeats {
		if r.isFallback(now, id) && (r.fallback == "" || r.compareFallbacks(id, r.fallback) < 0) {
			r.fallback = id
		}
	}
	return r.fallback
}

// selectAhead returns a process that has changes which this one lacks. The current one is kept while it
// has some.
func (r *Relay) selectAhead(now time.Time, own []Position) inventory.EntryID {
	if hb, ok := r.heartbeats[r.ahead]; ok && hb.isAhead(now, own) {
		return r.ahead
	}
	r.ahead = ""
	for id, hb := range r.heartbeats {
		if hb.isAhead(now, own) && (r.ahead == "" || r.compareFallbacks(id, r.ahead) < 0) {
			r.ahead = id
		}
	}
	return r.ahead
}

// isAhead reports whether a valid heartbeat names a change that is missing at one of the positions.
func (hb heartbeat) isAhead(now time.Time, own []Position) bool {
	return now.Sub(hb.at) <= heartbeatTTL && slices.ContainsFunc(hb.positions, func(p Position) bool {
		return p.At > 0 && p.isAhead(newestOf(own, p.Kind))
	})
}

// isFallback reports whether a process qualifies as a fallback: it reads the store,
// reaches it, and its heartbeat is valid.
func (r *Relay) isFallback(now time.Time, id inventory.EntryID) bool {
	hb, ok := r.heartbeats[id]
	return ok && hb.hops == HopsReader && now.Sub(hb.at) <= heartbeatTTL
}

// compareFallbacks orders processes of the own domain first. The order of the others
// differs between processes, which spreads the load over them.
func (r *Relay) compareFallbacks(a, b inventory.EntryID) int {
	if local := slices.Contains(r.domain, a); local != slices.Contains(r.domain, b) {
		if local {
			return -1
		}
		return 1
	}
	return cmp.Compare(r.rank(a), r.rank(b))
}

func (r *Relay) rank(id inventory.EntryID) uint64 {
	return xxhash.Sum64String(string(r.self.ID) + "/" + string(id))
}

// checkLag reports whether a change that a neighbour has received has been missing here for
// at least lagTimeout, and then starts the period anew. A process that lags while
// changes keep arriving is not reported.
func (r *Relay) checkLag(now time.Time, own []Position) bool {
	reported, lagging := r.newestReported(now), false
	maps.DeleteFunc(r.missing, func(kind platform.Collection, _ missingChange) bool {
		_, isReported := reported[kind]
		return !isReported
	})
	for kind, newest := range reported {
		known := newestOf(own, kind)
		m, isMissing := r.missing[kind]
		switch {
		case !newest.isAhead(known):
			delete(r.missing, kind)
		case !isMissing || !m.position.isAhead(known):
			r.missing[kind] = missingChange{position: newest, since: now, first: now}
		case r.isInTransit(now) && now.Sub(m.first) < maxTransit:
			m.since = now
			r.missing[kind] = m
		case now.Sub(m.since) >= lagTimeout:
			r.missing[kind] = missingChange{position: newest, since: now, first: m.first}
			lagging = true
		}
	}
	return lagging
}

// isAhead reports whether the newest change of a position is missing at another one.
func (p Position) isAhead(other Position) bool {
	return p.Era > other.Era || p.Era == other.Era && p.Newest > other.Newest
}

// MissingFor returns for how long this process has lacked a change of a collection that a
// neighbour has reported, 0 if it lacked none when the last plan was made.
func (r *Relay) MissingFor(now time.Time, kind platform.Collection) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, isMissing := r.missing[kind]
	if !isMissing {
		return 0
	}
	return now.Sub(m.first)
}

// newestReported returns the newest change of each collection that any neighbour has
// reported.
func (r *Relay) newestReported(now time.Time) map[platform.Collection]Position {
	all := map[platform.Collection]Position{}
	for _, hb := range r.heartbeats {
		if hb.hops == HopsNone || now.Sub(hb.at) > heartbeatTTL {
			continue
		}
		for _, p := range hb.positions {
			if p.isAhead(all[p.Kind]) {
				all[p.Kind] = p
			}
		}
	}
	return all
}

// newestOf returns the position of a collection. All changes up to its revision are known.
func newestOf(positions []Position, kind platform.Collection) Position {
	for _, p := range positions {
		if p.Kind == kind {
			p.Newest = max(p.At, p.Newest)
			return p
		}
	}
	return Position{Kind: kind}
}
