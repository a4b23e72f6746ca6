package endpoint

// What nodes tell each other about endpoints. A node knows only its own requests: with many
// nodes, each of them sees too few to know the state of the endpoints under high load.
//
// Replicas: requests for an object that would wait at its primary endpoint are sent to the
// next ones, which then have the object cached, too. A node that does not know them sends
// requests to wait, or to be rejected, while a warm endpoint is free. A replica is told once,
// so the messages grow with the number of replicas, not with that of requests.
//
// Full endpoints: a node that does not know that an endpoint is full sends it a request that
// waits until it times out, where it could be sent elsewhere, or be rejected at once. Since
// the work on requests that time out is wasted, an overload would sustain itself. Only reports
// of endpoints where requests wait are told, so there are few under low load.
//
// Limits that endpoints name: a node that has not heard of one would send as many requests as
// before (limit.go). Each change is told. So is whether an endpoint leaves (leaving.go), which may
// be known from nothing but its responses.
//
// All are told to neighbours, and passed on by nodes to which they are new. The logs of a
// node and its messages are bounded; what exceeds the bounds is lost, and found out by
// requests.

import (
	"slices"
	"time"
)

const (
	maxGossipLog = 256 // replicas, and reports, that a node keeps to tell its neighbours
	// maxGossipTold bounds the replicas and the reports of a message, less than 20 bytes each:
	// a neighbour is sent at most 6 KB/s.
	maxGossipTold = 32
	maxLimitsTold = 64 // limits in a message, less than 30 bytes each, while they change
	// minReportAge is the age of a known report from which a newer one of the same endpoint is
	// told. It is shorter than the time constant of the decay of reports.
	minReportAge = 250 * time.Millisecond
	maxReportAge = 2 * time.Second // after which a report is not told any more
)

// GossipInterval is the time between two messages while endpoints are full.
const GossipInterval = 200 * time.Millisecond

// Gossip is a message of one node to another.
type Gossip struct {
	Replicas []Replica       `cbor:"copies,omitempty"`
	Full     []LoadReport    `cbor:"full,omitempty"`
	Limits   []LimitReport   `cbor:"limits,omitempty"`
	Leaving  []LeavingReport `cbor:"leaving,omitempty"`
	Noise    []NoiseReport   `cbor:"noise,omitempty"`
	// Undrained holds failure domains of which the drain has ended lately.
	Undrained []UndrainReport `cbor:"undrained,omitempty"`
	// Localities holds what a node that starts can't know: the part of routes that runs in the region.
	Localities []LocalityReport `cbor:"local,omitempty"`
}

// Replica is an endpoint other than an object's primary one that has the object cached.
type Replica struct {
	_        struct{} `cbor:",toarray"`
	Object   Object
	Endpoint Hash
}

// LoadReport is the number of requests, running or waiting, at an endpoint where requests
// wait, a time ago.
type LoadReport struct {
	_        struct{} `cbor:",toarray"`
	Endpoint Hash
	Requests int
	Age      int64 // in milliseconds
}

// Hash is the hash of the id of an endpoint.
type Hash uint64

// GossipPosition is what a node has been told of another one's log. The zero value: nothing.
type GossipPosition struct {
	replicas, reports, limits, leaving, noise, undrained uint64
	localities                                           bool
}

// replicaLog holds the latest replicas that a node has learned of.
type replicaLog struct {
	replicas []Replica
	end      uint64 // position after the last one
}

func (l *replicaLog) append(r Replica) {
	if len(l.replicas) == maxGossipLog {
		l.replicas = l.replicas[1:]
	}
	l.replicas = append(l.replicas, r)
	l.end++
}

// since returns the replicas after a position, at most a message full, and the position
// after them.
func (l *replicaLog) since(after uint64) ([]Replica, uint64) {
	start := l.end - uint64(len(l.replicas))
	after = min(max(after, start), l.end)
	end := min(after+maxGossipTold, l.end)
	return slices.Clone(l.replicas[after-start : end-start]), end
}

// report is a load report of an endpoint that was full.
type report struct {
	endpoint Hash
	requests int
	at       time.Time
}

// reportLog holds the latest reports of full endpoints, one for each endpoint.
type reportLog struct {
	reports []report
	end     uint64        // position after the last one
	changed chan struct{} // closed and replaced when a report is added
}

func (l *reportLog) append(r report) {
	if len(l.reports) == maxGossipLog {
		l.reports = l.reports[1:]
	}
	l.reports = append(l.reports, r)
	l.end++
	l.wake()
}

// wake wakes the goroutines that wait for the next report.
func (l *reportLog) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// since returns the recent reports after a position, the newest ones if there are more than
// a message can hold, and the position after them.
func (l *reportLog) since(now time.Time, after uint64) ([]LoadReport, uint64) {
	var told []LoadReport
	start := l.end - uint64(len(l.reports))
	for i := len(l.reports) - 1; i >= 0 && start+uint64(i) >= after && len(told) < maxGossipTold; i-- {
		r := l.reports[i]
		if age := now.Sub(r.at); age <= maxReportAge {
			told = append(told, LoadReport{Endpoint: r.endpoint, Requests: r.requests, Age: age.Milliseconds()})
		}
	}
	return told, l.end
}

// GossipSince returns what is new after a position, and the position after it.
func (t *Table) GossipSince(now time.Time, after GossipPosition) (Gossip, GossipPosition) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var g Gossip
	g.Replicas, after.replicas = t.replicas.since(after.replicas)
	g.Full, after.reports = t.reports.since(now, after.reports)
	g.Limits, after.limits = t.limitsSince(now, after.limits)
	g.Leaving, after.leaving = t.leavingSince(now, after.leaving)
	g.Noise, after.noise = t.noiseSince(now, after.noise)
	g.Undrained, after.undrained = t.undrainsSince(now, after.undrained)
	if !after.localities {
		g.Localities = t.localityReports()
		after.localities = len(g.Localities) > 0
	}
	return g, after
}

// NextReport returns a channel that is closed when a full endpoint, a changed limit, or an
// endpoint that leaves has been reported.
func (t *Table) NextReport() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reports.changed
}

// WakeSubscribers sends the next message to other nodes now.
func (t *Table) WakeSubscribers() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reports.wake()
}

// Learn records what another node tells. What is new to this node is passed on. Unknown
// endpoints are ignored.
func (t *Table) Learn(now time.Time, g Gossip) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range g.Replicas[:min(len(g.Replicas), maxGossipTold)] {
		s := t.byHash[r.Endpoint]
		if s == nil || r.Object == 0 || s.pool.locations.contains(r.Object, s) {
			continue
		}
		s.pool.locations.learn(r.Object, s)
		t.replicas.append(r)
	}
	for _, r := range g.Full[:min(len(g.Full), maxGossipTold)] {
		s := t.byHash[r.Endpoint]
		if s == nil || r.Requests <= s.Slots || r.Age < 0 || r.Age > maxReportAge.Milliseconds() {
			continue
		}
		at := now.Add(-time.Duration(r.Age) * time.Millisecond)
		if s.load.reportedAt.Before(at) {
			t.tellReport(s, r.Requests, at)
			s.load.recordReport(at, r.Requests, s.inFlight)
		}
	}
	for _, r := range g.Limits[:min(len(g.Limits), maxLimitsTold)] {
		t.learnLimit(now, r)
	}
	for _, r := range g.Noise[:min(len(g.Noise), maxNoiseTold)] {
		t.learnNoise(now, r)
	}
	for _, r := range g.Undrained[:min(len(g.Undrained), maxUndrainsTold)] {
		t.learnUndrain(now, r)
	}
	for _, r := range g.Localities[:min(len(g.Localities), maxLocalitiesTold)] {
		t.learnLocality(now, r)
	}
	for _, r := range g.Leaving[:min(len(g.Leaving), maxLeavingTold)] {
		t.learnLeaving(now, r)
	}
}

// recordReplica adds a replica that a request of this node has created to the log.
func (t *Table) recordReplica(o Object, s *endpointState) {
	t.replicas.append(Replica{Object: o, Endpoint: Hash(s.hash)})
}

// tellReport adds a report to the log if requests wait at the endpoint and the last report
// that was told is not recent.
func (t *Table) tellReport(s *endpointState, total int, at time.Time) {
	if total <= s.Slots || at.Sub(s.load.toldAt) < minReportAge {
		return
	}
	s.load.toldAt = at
	t.reports.append(report{endpoint: Hash(s.hash), requests: total, at: at})
}
