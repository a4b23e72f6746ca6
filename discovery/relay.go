package discovery

// Which processes read the store. One in each failure domain does; the others
// there are told, which costs the store nothing and crosses no domain. They form a
// tree by their order, so that none has to tell more than a few however large the
// domain is. One that hears of nobody before itself who is kept up to date reads by
// itself, so that nothing depends on who is thought to live.
//
// A reader may be told nothing by a store that answers others, so processes also
// compare how far they are: one that stays behind a neighbour reads for itself, or
// asks everything again if it does already.
//
// The store may also turn away some processes and answer others. One that does not
// reach it is therefore told by any other that does, in its own domain if there is
// one, and tries on meanwhile.
//
// A process that starts reads until it knows all: those that it would follow may be
// starting, too. If it doesn't reach the store it knows of no others, and asks those that
// its settings name.

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
	// FeedInterval is the time between two messages of a feed that has no news.
	FeedInterval = 250 * time.Millisecond
	// feedSilent is the silence after which a feed is not relied upon: two
	// messages. A drain leaves two seconds for noticing that, and for reading.
	feedSilent = 2*FeedInterval + 100*time.Millisecond
	fan        = 16                     // processes that one tells: their heartbeats, 1 KB/s each, fit a node's budget
	behindTime = 700 * time.Millisecond // for which a neighbour may be ahead: its news is under way
	holdTime   = 5 * time.Second        // for which a process that was behind reads for itself
	heardTime  = time.Second            // for which a heartbeat counts: two of them
	awayTime   = 300 * time.Millisecond // without the store after which another process is asked: one failed read
	startTime  = feedSilent             // the same for one that starts: where all do, none can tell another
)

// Peer is another process of the own failure domain or near to it.
type Peer struct {
	ID     inventory.EntryID
	Domain inventory.DomainID
}

// Relay decides for one process whether it reads the store, and who tells it if
// not. It is safe for concurrent use.
type Relay struct {
	self Peer

	mu     sync.Mutex
	ahead  []inventory.EntryID // processes of the own domain before this one in the order of readers
	feed   inventory.EntryID   // who tells this process in the tree; "": nobody
	domain []inventory.EntryID // all processes of the own domain
	told   map[inventory.EntryID]telling
	lacks  map[platform.Collection]lack // of the collections in which a neighbour is ahead
	hold   time.Time                    // until when this process reads whoever else does
	away   time.Time                    // since when it reads and does not reach the store; zero: it does, or does not read
	helper inventory.EntryID            // who tells this process while it is away; "": nobody
}

// telling is what a process last said.
type telling struct {
	at        time.Time
	hops      Hops
	positions []Position
}

// lack is a change that neighbours know and this process does not.
type lack struct {
	revision platform.Revision
	since    time.Time
}

// Hops is how many processes lie between the store and one that is kept up to date.
type Hops int

const (
	// HopsReader is a process that reads the store, and reaches it.
	HopsReader Hops = 0
	// HopsNone is a process that is not kept up to date.
	HopsNone Hops = -1
	// mostHops is where the tree ends: 1 + 16 + 256 processes of a domain. Each hop
	// adds up to feedSilent to the time in which the loss of a reader is noticed.
	mostHops Hops = 2
)

// feeds reports whether a process with so many hops may tell another one.
func (h Hops) feeds() bool { return h >= HopsReader && h < mostHops }

// NewRelay returns the relay of a process that knows nobody.
func NewRelay(self Peer) *Relay {
	return &Relay{self: self, told: map[inventory.EntryID]telling{}, lacks: map[platform.Collection]lack{}}
}

// SetPeers says which processes there may be.
func (r *Relay) SetPeers(peers []Peer) {
	var ahead []Peer
	var domain []inventory.EntryID
	for _, p := range peers {
		if p.Domain == r.self.Domain {
			domain = append(domain, p.ID)
		}
		if p.Domain == r.self.Domain && p.ID != r.self.ID && compareReaders(p, r.self) < 0 {
			ahead = append(ahead, p)
		}
	}
	slices.SortFunc(ahead, compareReaders)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.domain, r.ahead = domain, nil
	for _, p := range ahead {
		r.ahead = append(r.ahead, p.ID)
	}
}

// compareReaders orders the processes of a domain the same way everywhere.
func compareReaders(a, b Peer) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(string(a.ID)), xxhash.Sum64String(string(b.ID))), cmp.Compare(a.ID, b.ID))
}

// Hear takes over what a process says of itself.
func (r *Relay) Hear(now time.Time, id inventory.EntryID, h Hops, positions []Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.told[id] = telling{at: now, hops: h, positions: positions}
}

// Ahead returns the processes that read rather than this one.
func (r *Relay) Ahead() []inventory.EntryID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.ahead)
}

// Candidates returns the processes that may become this one's feed, and whose
// heartbeats it therefore follows: its parent in the tree and one beside that. When
// both are gone, this process reads.
func (r *Relay) Candidates() []inventory.EntryID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.candidates()
}

func (r *Relay) candidates() []inventory.EntryID {
	place := len(r.ahead)
	if place == 0 {
		return nil
	}
	parent := (place - 1) / fan
	all := []inventory.EntryID{r.ahead[parent]}
	switch {
	case parent > 0:
		all = append(all, r.ahead[parent-1])
	case place > 1:
		all = append(all, r.ahead[1])
	}
	return all
}

// Hops returns how far this process is from the store, given whether it reads and
// reaches it.
func (r *Relay) Hops(now time.Time, reaches bool) Hops {
	if reaches {
		return HopsReader
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.told[r.feed]
	if !ok || now.Sub(t.at) > feedSilent || !t.hops.feeds() {
		return HopsNone
	}
	return t.hops + 1
}

// Doubt says that this process did not run for a while: what it was told is old.
func (r *Relay) Doubt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.told)
}

// Gone says that a process is not there any more.
func (r *Relay) Gone(id inventory.EntryID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.told, id)
}

// Plan says what a process does now.
type Plan struct {
	Feed   inventory.EntryID // who is to tell it; "": nobody
	Reads  bool              // it reads the store itself
	Starts bool              // it lacks something and does not reach the store: it asks whomever it can
	Doubt  bool              // it has missed something and asks all again
}

// Plan decides, given how far the process is itself, and whether it reaches the
// store if it reads.
func (r *Relay) Plan(now time.Time, own []Position, reaches bool) Plan {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := Plan{Reads: true}
	whole := isWhole(own)
	if whole || r.isAway(now, startTime) {
		p = r.follow(now)
	}
	r.feed = p.Feed // a helper isn't: it may be told by this process's own
	switch {
	case p.Reads && !reaches:
		p.Feed = r.help(now)
		p.Starts = !whole && r.isAway(now, startTime)
	case reaches || whole:
		r.away, r.helper = time.Time{}, ""
	}
	if r.stays(now, own) {
		p.Doubt = p.Reads && p.Feed == ""
		r.hold = now.Add(holdTime)
	}
	if now.Before(r.hold) {
		p.Reads = true
	}
	return p
}

// follow returns the plan of a process that may rely on another one, if it hears one
// that it may follow.
func (r *Relay) follow(now time.Time) Plan {
	for _, id := range r.candidates() {
		if t, ok := r.told[id]; ok && t.hops.feeds() && now.Sub(t.at) <= feedSilent {
			return Plan{Feed: id}
		}
	}
	return Plan{Reads: true}
}

// isAway reports whether this process has read without reaching the store for so long.
func (r *Relay) isAway(now time.Time, d time.Duration) bool {
	return !r.away.IsZero() && now.Sub(r.away) >= d
}

// isWhole reports whether all collections are known, however old.
func isWhole(positions []Position) bool {
	return !slices.ContainsFunc(positions, func(p Position) bool { return p.At == 0 })
}

// help returns a process that reaches the store, once this one has not for a while;
// "" if none is heard. One that helped goes on, so that feeds don't change for nothing.
func (r *Relay) help(now time.Time) inventory.EntryID {
	if r.away.IsZero() {
		r.away = now
	}
	if !r.isAway(now, awayTime) || r.helps(now, r.helper) {
		return r.helper
	}
	r.helper = ""
	for id := range r.told {
		if r.helps(now, id) && (r.helper == "" || r.compareHelpers(id, r.helper) < 0) {
			r.helper = id
		}
	}
	return r.helper
}

func (r *Relay) helps(now time.Time, id inventory.EntryID) bool {
	t, ok := r.told[id]
	return ok && t.hops == HopsReader && now.Sub(t.at) <= heardTime
}

// compareHelpers puts processes of the own domain first, and the others in an order
// that differs from process to process, so that not all ask the same one.
func (r *Relay) compareHelpers(a, b inventory.EntryID) int {
	if near := slices.Contains(r.domain, a); near != slices.Contains(r.domain, b) {
		if near {
			return -1
		}
		return 1
	}
	return cmp.Compare(r.rank(a), r.rank(b))
}

func (r *Relay) rank(id inventory.EntryID) uint64 {
	return xxhash.Sum64String(string(r.self.ID) + "/" + string(id))
}

// stays reports whether this process has lacked a change that a neighbour knows for too
// long, once for each time. To be behind is no fault while changes keep coming.
func (r *Relay) stays(now time.Time, own []Position) bool {
	heard, stays := r.heard(now), false
	maps.DeleteFunc(r.lacks, func(kind platform.Collection, _ lack) bool { return heard[kind] == 0 })
	for kind, newest := range heard {
		known := newestOf(own, kind)
		l, lacks := r.lacks[kind]
		switch {
		case known >= newest:
			delete(r.lacks, kind)
		case !lacks || known >= l.revision:
			r.lacks[kind] = lack{revision: newest, since: now}
		case now.Sub(l.since) >= behindTime:
			r.lacks[kind] = lack{revision: newest, since: now}
			stays = true
		}
	}
	return stays
}

// heard returns the newest change of each collection that any neighbour knows.
func (r *Relay) heard(now time.Time) map[platform.Collection]platform.Revision {
	all := map[platform.Collection]platform.Revision{}
	for _, t := range r.told {
		if t.hops == HopsNone || now.Sub(t.at) > heardTime {
			continue
		}
		for _, p := range t.positions {
			all[p.Kind] = max(all[p.Kind], p.Newest)
		}
	}
	return all
}

func newestOf(positions []Position, kind platform.Collection) platform.Revision {
	for _, p := range positions {
		if p.Kind == kind {
			return max(p.At, p.Newest)
		}
	}
	return 0
}
