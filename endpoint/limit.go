package endpoint

// Limits that endpoints name. An endpoint in need names in its responses the rate of requests
// that it takes from all nodes together, for as long as it says so. A limit belongs to one start
// of the endpoint: after a restart it is forgotten.
//
// This file holds what a node knows of the limits: from responses to its own requests, and from
// other nodes. The newest statement of the endpoint counts, whoever heard it. A request to an
// endpoint with a limit needs a permit, see package permit, which keeps the sum over all nodes.
// An endpoint for which there is none now is left out of the choice until there may be one.

import (
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

const (
	// maxLimitAge is the age of a statement beyond which it is of no use to others.
	maxLimitAge = time.Hour
	// refreshLimitAge is the age from which a limit that is heard again is told again, so that
	// what others know of it does not grow old.
	refreshLimitAge = 20 * time.Second
	// maxLimitRate is the rate above which a limit restricts nothing.
	maxLimitRate inventory.Rate = 1e6
)

// Limit is what a response says about the limit of its endpoint. The zero Limit withdraws it.
type Limit struct {
	Rate  inventory.Rate // requests a second, of all nodes together
	Named bool
}

// LimitReport is a statement of an endpoint about its limit, as nodes tell it to each other.
type LimitReport struct {
	_        struct{} `cbor:",toarray"`
	Endpoint Hash
	Start    int64 // of the endpoint's process, Unix milliseconds; 0: unknown
	Named    bool
	Rate     float64 // requests a second
	Age      int64   // in milliseconds
}

// IsValid reports whether a report of another node can be used.
func (r LimitReport) IsValid() bool {
	return r.Rate >= 0 && r.Rate <= float64(maxLimitRate) && r.Age >= 0 && r.Age <= maxLimitAge.Milliseconds()
}

// knownLimit is the limit of an endpoint as far as a node knows it.
type knownLimit struct {
	Limit
	at        time.Time // when the endpoint said so; zero: it never named a limit
	toldAt    time.Time // when the endpoint made the statement that was last told to other nodes
	heldUntil time.Time // until when there is no permit for this node
}

// inForce reports whether a request needs a permit.
func (k knownLimit) inForce() bool { return k.Named && k.Rate <= maxLimitRate }

// isHeld reports whether there is no permit for this node now.
func (k knownLimit) isHeld(now time.Time) bool { return k.inForce() && now.Before(k.heldUntil) }

// named returns the limit in force, nil if there is none.
func (k knownLimit) named() *inventory.Rate {
	if !k.Named {
		return nil
	}
	return &k.Rate
}

// startMillis returns the start of the endpoint's process as nodes tell it to each other.
func (s *endpointState) startMillis() int64 {
	if s.Start.IsZero() {
		return 0
	}
	return s.Start.UnixMilli()
}

// RecordLimit records what a response said about the limit of its endpoint, and reports whether
// that changes the limit.
func (t *Table) RecordLimit(now time.Time, c Choice, l Limit) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := c.state
	if t.byID[s.ID] != s {
		return false // the endpoint has restarted or left
	}
	return t.setLimit(s, now, l)
}

// setLimit records a statement of an endpoint made at a time, and reports whether it changes the
// limit. Statements that change it, and from time to time those that confirm it, are told on.
func (t *Table) setLimit(s *endpointState, at time.Time, l Limit) (changed bool) {
	if !s.limit.at.Before(at) || s.limit.at.IsZero() && !l.Named {
		return false
	}
	changed = s.limit.Limit != l
	s.limit.Limit, s.limit.at = l, at
	if changed {
		s.limit.heldUntil = time.Time{}
	}
	if changed || l.Named && at.Sub(s.limit.toldAt) >= refreshLimitAge {
		s.limit.toldAt = at
		t.limits.append(s)
		t.reports.wake()
	}
	return changed
}

// Hold leaves an endpoint with a limit out of the choice until a time.
func (t *Table) Hold(c Choice, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.state.limit.heldUntil = until
}

// limited returns the endpoints of a service that a request may use if there is a permit.
func (t *Table) limited(now time.Time, q Query) []*endpointState {
	p := t.services[q.Service]
	if p == nil {
		return nil
	}
	var all []*endpointState
	for _, s := range p.endpoints {
		if reason := t.exclusion(now, s, q); s.limit.inForce() && (reason == "" || reason == ReasonLimit) {
			all = append(all, s)
		}
	}
	return all
}

// NextPermit returns the earliest time at which there may be a permit for an endpoint of a
// service that a request may use, or false if no such endpoint has a limit.
func (t *Table) NextPermit(now time.Time, q Query) (next time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.limited(now, q) {
		if at := laterOf(now, s.limit.heldUntil); !ok || at.Before(next) {
			next, ok = at, true
		}
	}
	return next, ok
}

// LimitedRate returns the sum of the limits of the endpoints of a service that a request may
// use, in requests a second.
func (t *Table) LimitedRate(now time.Time, q Query) inventory.Rate {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := inventory.Rate(0)
	for _, s := range t.limited(now, q) {
		sum += s.limit.Rate
	}
	return sum
}

// NewestLimit returns the newest statement of an endpoint that this node knows: the given one or
// its own.
func (t *Table) NewestLimit(now time.Time, r LimitReport) LimitReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.byHash[r.Endpoint]
	if s == nil || s.startMillis() != r.Start || s.limit.at.IsZero() || now.Sub(s.limit.at).Milliseconds() >= r.Age {
		return r
	}
	return s.limitReport(now)
}

// LimitReport returns the newest statement of the endpoint of a choice.
func (t *Table) LimitReport(now time.Time, c Choice) LimitReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	return c.state.limitReport(now)
}

func (s *endpointState) limitReport(now time.Time) LimitReport {
	return LimitReport{Endpoint: Hash(s.hash), Start: s.startMillis(), Named: s.limit.Named, Rate: float64(s.limit.Rate), Age: max(0, now.Sub(s.limit.at).Milliseconds())}
}

// StartHash identifies the start of an endpoint that a report is about.
func (r LimitReport) StartHash() Hash { return Hash(mix(uint64(r.Endpoint) ^ mix(uint64(r.Start)))) }

// learnLimit records a statement that another node heard. One that cannot be used, or of another
// start of the endpoint, is ignored.
func (t *Table) learnLimit(now time.Time, r LimitReport) {
	s := t.byHash[r.Endpoint]
	if s == nil || s.startMillis() != r.Start || !r.IsValid() {
		return
	}
	t.setLimit(s, now.Add(-time.Duration(r.Age)*time.Millisecond), Limit{Rate: inventory.Rate(r.Rate), Named: r.Named})
}

// limitsSince returns the limits that changed after a position, at most a message full, and the
// position after them.
func (t *Table) limitsSince(now time.Time, after uint64) (told []LimitReport, position uint64) {
	changed, position := t.limits.since(after, maxLimitsTold)
	for _, s := range changed {
		if r := s.limitReport(now); t.byID[s.ID] == s && r.IsValid() {
			told = append(told, r)
		}
	}
	return told, position
}
