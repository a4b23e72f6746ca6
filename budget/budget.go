// Package budget decides which connections of callers may hold descriptors and memory of a node.
//
// A node's descriptors are divided between its listeners and its own work (files, the store, other
// nodes, endpoints), so that callers never take those that the node needs itself. When a listener has
// as many connections as it may, one that is of least use is closed for a new one: the one that has
// waited longest for its first request, else any that waits for a further one, else the one that has moved the fewest bytes while the node waited
// for its caller. A connection whose caller waits for the node is never closed for another one.
//
// Of a node's memory, callers may take a share. Each connection counts with what every connection costs,
// and with what it asks for on top: for a large head, a body, requests sent ahead, or a response, from its
// first byte until the caller has read it. When less than a quarter of the share is left, the connections that
// hold most bytes for the rate at which their callers move them are closed. When nothing is left, requests for
// bytes are refused.
//
// Connections to close are chosen among a few of them, so that the time of a decision doesn't grow with
// their number.
//
// # Usage
//
//	table := budget.New(budget.Limits{Descriptors: 4100})
//	opened := table.Open(now, budget.Requests)
//	// close one of opened.Close, or refuse the connection if !opened.Admit
//	table.SetPhase(now, opened.ID, budget.Sending)
//	taken := table.Take(now, opened.ID, 64<<10)
//	// close all of taken.Close; the bytes may be used if taken.Admit
//	table.Return(opened.ID, 64<<10)
//	table.Close(opened.ID)
package budget

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Class is a kind of connection that others open to a node.
type Class string

// The classes, one for each listener.
const (
	Requests Class = "requests"
	Lookups  Class = "lookups"
	Ready    Class = "ready"
	Peers    Class = "peers"
	Admin    Class = "admin"
)

// shares are the shares of the descriptors that the connections of a class may take. The rest, 20%,
// is left for the node's own connections: to the store, to other nodes and to endpoints.
var shares = map[Class]float64{Requests: 0.6, Lookups: 0.08, Ready: 0.02, Peers: 0.08, Admin: 0.02}

const (
	// fileDescriptors are left for files: the platform counts them in the limit of a process.
	fileDescriptors = 200
	minConnections  = 4 // of each class
	maxCandidates   = 8 // connections that are offered to be closed for a new one
	// maxExamined is the number of connections among which those to close are chosen. The range over a map begins
	// anywhere, so the worst of them is among the worst few in a hundred of all.
	maxExamined = 64
)

const (
	// memoryShare is the share of the memory that callers may take. The live memory of a node is about
	// twice what is live in its heap until the collector runs, and a third is the node's own.
	memoryShare = 0.25
	tightShare  = 0.75 // of the callers' share, from which connections are closed
	// ConnectionBytes is what a connection costs: two stacks, two buffers and a small head.
	ConnectionBytes = 16 << 10
	minTaken        = 16 << 10 // bytes on top, from which a connection is closed for the memory that it holds
)

// Phase is what a connection waits for.
type Phase int

// The phases.
const (
	Idle    Phase = iota // for a request
	Sending              // for the caller to send the rest of a request
	Running              // for the node
	Reading              // for the caller to read the response
)

// ID identifies a connection in a Table.
type ID uint64

// Limits are the resources of a process; 0: unknown, and not limited.
type Limits struct {
	Descriptors int
	Memory      int64 // bytes
}

// bytes returns how many bytes callers may take; 0: any number.
func (l Limits) bytes() int64 { return int64(memoryShare * float64(max(0, l.Memory))) }

// connections returns how many connections of a class may be open; 0: any number.
func (l Limits) connections(c Class) int {
	if l.Descriptors <= 0 {
		return 0
	}
	sockets := l.Descriptors - min(fileDescriptors, l.Descriptors/4)
	return max(minConnections, int(shares[c]*float64(sockets)))
}

// Opened is the decision on a new connection.
type Opened struct {
	ID    ID
	Admit bool // there is room without closing another connection
	Close []ID // otherwise: connections of which one is closed for it, in the order of preference
}

// Taken is the decision on bytes that a connection asks for.
type Taken struct {
	Admit   bool
	Close   []ID // connections that are closed since memory is short
	Freeing bool // refused, but connections that are being closed will return bytes
}

// holder is an open connection, or a closed one whose bytes have not been returned.
type holder struct {
	id    ID
	class Class
	phase Phase
	since time.Time // of the phase
	moved int64     // bytes in this phase
	taken int64     // bytes on top of ConnectionBytes

	isUsed              bool // it has had a request
	isClosed, isClosing bool
	in                  holders // the set of connections that may be closed for a new one; nil: none
}

// holders is a set of connections.
type holders map[ID]*holder

// tier is a reason to close a connection for a new one, the best first.
type tier int

// The tiers.
const (
	unused tier = iota // it has never had a request
	idle               // it waits for a further one
	moving             // the node waits for its caller
	tiers
)

// Table holds the open connections of a node. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	limits   Limits
	last     ID
	holders  holders
	open     map[Class]int
	closable map[Class]*[tiers]holders
	large    holders // open connections that hold minTaken bytes or more on top
	taken    int64   // bytes of all connections
	freeing  int64   // bytes on top of ConnectionBytes of those that are being closed
}

// New returns a table without connections.
func New(l Limits) *Table {
	return &Table{limits: l, holders: holders{}, open: map[Class]int{}, closable: map[Class]*[tiers]holders{}, large: holders{}}
}

// Open records a new connection, which has no request yet. If it may not stay open without another
// one being closed, the decision names candidates.
func (t *Table) Open(now time.Time, c Class) Opened {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := t.limits.connections(c)
	bytes := t.limits.bytes()
	opened := Opened{Admit: (limit == 0 || t.open[c] < limit) && (bytes == 0 || t.taken+ConnectionBytes <= bytes)}
	if !opened.Admit {
		opened.Close = t.candidates(now, c)
	}
	t.last++
	opened.ID = t.last
	h := &holder{id: t.last, class: c, since: now}
	t.holders[t.last] = h
	t.open[c]++
	t.taken += ConnectionBytes
	t.file(h)
	return opened
}

// file puts a connection into the sets that it belongs to now.
func (t *Table) file(h *holder) {
	ends := h.isClosed || h.isClosing
	var in holders
	if !ends && h.phase != Running {
		sets := t.closable[h.class]
		if sets == nil {
			sets = &[tiers]holders{{}, {}, {}}
			t.closable[h.class] = sets
		}
		in = sets[h.tier()]
	}
	delete(h.in, h.id)
	if h.in = in; in != nil {
		in[h.id] = h
	}
	if !ends && h.taken >= minTaken {
		t.large[h.id] = h
	} else {
		delete(t.large, h.id)
	}
}

// tier returns the tier of a connection that does not run.
func (h *holder) tier() tier {
	switch {
	case h.phase != Idle:
		return moving
	case h.isUsed:
		return idle
	}
	return unused
}

// add counts bytes of a connection, which may be negative.
func (t *Table) add(h *holder, bytes int64) {
	h.taken += bytes
	t.taken += bytes
	if h.isClosed || h.isClosing {
		t.freeing += bytes
	}
	t.file(h)
}

// Surplus returns connections of a class to close since descriptors have run out: a sixteenth of
// those without a request.
func (t *Table) Surplus(now time.Time, c Class) []ID {
	t.mu.Lock()
	defer t.mu.Unlock()
	idle := t.waiting(now, c)
	return ids(idle[:(len(idle)+15)/16])
}

// SetPhase records what a connection waits for from now on.
func (t *Table) SetPhase(now time.Time, id ID, p Phase) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h := t.holders[id]; h != nil && h.phase != p {
		h.isUsed = h.isUsed || p == Running
		h.phase, h.since, h.moved = p, now, 0
		t.file(h)
	}
}

// Move records bytes that a caller has sent or read. With the first one, a request begins.
func (t *Table) Move(now time.Time, id ID, bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.holders[id]
	if h == nil || bytes <= 0 {
		return
	}
	if h.phase == Idle {
		h.phase, h.since, h.moved = Sending, now, 0
		t.file(h)
	}
	h.moved += int64(bytes)
}

// Close removes a connection.
func (t *Table) Close(id ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h := t.holders[id]; h != nil {
		if h.isClosed {
			return
		}
		if !h.isClosing {
			t.freeing += h.taken
		}
		h.isClosed = true
		t.open[h.class]--
		t.taken -= ConnectionBytes
		t.file(h)
		t.remove(h)
	}
}

// remove forgets a connection that is closed and has returned its bytes.
func (t *Table) remove(h *holder) {
	if h.isClosed && h.taken <= 0 {
		delete(t.holders, h.id)
	}
}

// Take asks for bytes for a connection.
func (t *Table) Take(now time.Time, id ID, bytes int64) Taken {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, limit := t.holders[id], t.limits.bytes()
	if h == nil || h.isClosed || h.isClosing {
		return Taken{}
	}
	taken := Taken{Admit: limit == 0 || t.taken+bytes <= limit}
	if limit > 0 && t.taken+bytes > int64(tightShare*float64(limit)) {
		taken.Close = t.largest(now, h, t.taken+bytes-int64(tightShare*float64(limit)))
	}
	if taken.Admit {
		t.add(h, bytes)
	}
	taken.Freeing = !taken.Admit && t.freeing > 0
	return taken
}

// Return gives bytes back that were taken or charged.
func (t *Table) Return(id ID, bytes int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h := t.holders[id]; h != nil {
		t.add(h, -min(bytes, h.taken))
		t.remove(h)
	}
}

// Bytes returns what callers take.
func (t *Table) Bytes() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.taken
}

// largest returns connections to close that hold at least a number of bytes together: those with the
// most bytes for the rate at which their callers move them, but only ones that are worse than the
// connection that asks. What is being returned by others counts.
func (t *Table) largest(now time.Time, asks *holder, bytes int64) []ID {
	if bytes -= t.freeing; bytes <= 0 {
		return nil
	}
	var found []*holder
	examined := 0
	for _, h := range t.large {
		if examined++; examined > maxExamined {
			break
		}
		if h != asks && (h.phase == Sending || h.phase == Reading) && h.burden(now) > asks.burden(now) {
			found = append(found, h)
		}
	}
	slices.SortFunc(found, func(a, b *holder) int { return cmp.Compare(b.burden(now), a.burden(now)) })
	var out []ID
	for _, h := range found {
		if bytes <= 0 {
			break
		}
		h.isClosing = true
		bytes -= h.taken
		t.freeing += h.taken
		t.file(h)
		out = append(out, h.id)
	}
	return out
}

// burden returns for how many seconds a connection will hold its bytes at the rate of its caller.
func (h *holder) burden(now time.Time) float64 { return float64(h.taken) / h.rate(now) }

// Count returns the number of open connections of a class.
func (t *Table) Count(c Class) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open[c]
}

// candidates returns connections of a class to be closed for a new one, the best first.
func (t *Table) candidates(now time.Time, c Class) []ID {
	var best []*holder
	sets := t.closable[c]
	if sets == nil {
		return nil
	}
	for _, set := range sets {
		var found []*holder
		examined := 0
		for _, h := range set {
			if examined++; examined > maxExamined {
				break
			}
			if now.After(h.since) {
				found = append(found, h)
			}
		}
		slices.SortFunc(found, func(a, b *holder) int { return a.compare(b, now) })
		best = append(best, found[:min(len(found), maxCandidates-len(best))]...)
	}
	return ids(best)
}

// waiting returns the connections of a class that wait for a request, in the order of compare.
func (t *Table) waiting(now time.Time, c Class) []*holder {
	sets := t.closable[c]
	if sets == nil {
		return nil
	}
	var found []*holder
	for _, set := range sets[:moving] {
		for _, h := range set {
			found = append(found, h)
		}
	}
	slices.SortFunc(found, func(a, b *holder) int { return a.compare(b, now) })
	return found
}

// compare orders connections, first by tier, by how soon they are closed for others: those that have never had a request
// first, the longest wait first; then those that wait for a further request, in an order that does not
// depend on their wait; then those with the fewest bytes a second. If the longest wait came first
// throughout, callers that are a few more than there is room for and use their connections in turn
// would each lose theirs just before its next use.
func (h *holder) compare(b *holder, now time.Time) int {
	switch {
	case h.phase != Idle || b.phase != Idle:
		return cmp.Or(cmp.Compare(btoi(h.phase != Idle), btoi(b.phase != Idle)), cmp.Compare(h.rate(now), b.rate(now)))
	case h.isUsed && b.isUsed:
		return cmp.Compare(h.order(now), b.order(now))
	default:
		return cmp.Or(cmp.Compare(btoi(h.isUsed), btoi(b.isUsed)), h.since.Compare(b.since))
	}
}

// order returns a number that is evenly distributed over the connections and differs from one time to
// the next.
func (h *holder) order(now time.Time) uint64 {
	x := (uint64(h.id) ^ uint64(now.UnixNano())) * 0x9e3779b97f4a7c15
	return (x ^ x>>29) * 0xbf58476d1ce4e5b9
}

const (
	// minRateTime is the time over which the rate of a connection is at least averaged.
	minRateTime = time.Second
	// linkRate is the rate in bytes a second that a caller is given for what is left of minRateTime:
	// that of the slowest link, 10 Mbit/s.
	linkRate = 10e6 / 8
)

// rate returns the bytes a second that the caller has moved since the phase began.
func (h *holder) rate(now time.Time) float64 {
	since := now.Sub(h.since)
	moved := float64(h.moved+1) + linkRate*max(0, minRateTime-since).Seconds()
	return moved / max(since, minRateTime).Seconds()
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

func ids(all []*holder) []ID {
	var out []ID
	for _, h := range all {
		out = append(out, h.id)
	}
	return out
}
