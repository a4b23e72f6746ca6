package endpoint

// Results of requests and their effect on the state of endpoints.

import (
	"slices"
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// Verdict classifies the result of a request at an endpoint.
type Verdict string

// The verdicts.
const (
	VerdictServed       Verdict = "served"    // a complete answer that is not a failure
	VerdictFailed       Verdict = "failed"    // a failure of the endpoint, or an incomplete answer
	VerdictShed         Verdict = "shed"      // the endpoint rejected the request
	VerdictUnreachable  Verdict = "unreached" // no connection could be established
	VerdictReplaced     Verdict = "replaced"  // another endpoint uses the address
	VerdictTimeout      Verdict = "silent"    // no answer before the timeout
	VerdictInconclusive Verdict = "dropped"   // the caller left or its request was invalid; no information about the endpoint
)

// Result describes how a request to an endpoint ended.
type Result struct {
	Verdict Verdict
	Took    time.Duration // from sending to the complete answer
	// Running, Waiting and Slots are the endpoint's load report. It is absent if Slots
	// is 0.
	Running, Waiting, Slots int
	// Slowdown is how long work takes on the endpoint's machine now, relative to the usual time,
	// as the endpoint reports it; 0: not reported.
	Slowdown float64
}

// IsRejectionWithFreeSlots reports whether the endpoint rejected the request although it had
// free slots. Such a rejection says nothing about the next request there, which still finds
// the object cached, unless its failure score shows that the endpoint rejects many.
func (r Result) IsRejectionWithFreeSlots() bool {
	return r.Verdict == VerdictShed && r.Running+r.Waiting < r.Slots
}

// Start records that a request is about to be sent, and reports whether the choice is still
// valid. If it is not, nothing is recorded and the request must not be sent.
func (t *Table) Start(now time.Time, c Choice) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := c.state
	if !t.maySend(now, c, 0) {
		return false
	}
	if s.warmup.active(now) {
		if !t.maySendCold(now, s) {
			return false
		}
		s.warmup.record(now)
	}
	s.inFlight++
	if c.isolated {
		s.isolating++
	}
	s.pending = append(s.pending, pending{id: c.id, sentAt: now, expected: c.ColdTotal})
	return true
}

// MaySend reports whether a request that was started may still be sent: it may have waited for a
// connection meanwhile.
func (t *Table) MaySend(now time.Time, c Choice) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.maySend(now, c, 1)
}

// maySend reports whether the endpoint of a choice is still in use, and has not said that it
// wants no requests. sent is 1 if the request is counted as one in flight already.
func (t *Table) maySend(now time.Time, c Choice, sent int) bool {
	s := c.state
	return t.byID[s.ID] == s && !s.Draining && !s.replaced && !t.drained[s.Domain] && !t.leaves(now, s, c.LastResort) && !s.covers(now, sent)
}

// pending is a request of this node that is not answered yet.
type pending struct {
	id       uint64
	sentAt   time.Time
	expected time.Duration
}

// overdue returns the largest ratio of elapsed to expected time among the pending requests
// that are overdue, or 1 if none is.
func (s *endpointState) overdue(now time.Time) float64 {
	worst := 1.0
	for _, p := range s.pending {
		if ratio := now.Sub(p.sentAt).Seconds() / max(p.expected, time.Millisecond).Seconds(); ratio > overdueThreshold {
			worst = max(worst, ratio)
		}
	}
	return worst
}

// removePending removes a request that has ended from the pending ones.
func (s *endpointState) removePending(id uint64) {
	for i, p := range s.pending {
		if p.id == id {
			s.pending = slices.Delete(s.pending, i, i+1)
			return
		}
	}
}

// Finish records the result of a request that was started.
func (t *Table) Finish(now time.Time, c Choice, r Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := c.state
	if r.Slots > 0 {
		t.tellReport(s, r.Running+r.Waiting, now)
		s.load.recordReport(now, r.Running+r.Waiting, s.inFlight)
		t.recordNoise(now, s, r.Slowdown, r.Waiting > 0)
	}
	s.inFlight--
	if c.isolated {
		s.isolating--
	}
	s.removePending(c.id)
	if r.Verdict == VerdictServed || r.Verdict == VerdictFailed {
		s.recordAfterPause(now)
	}
	switch r.Verdict {
	case VerdictServed:
		s.health.recordSuccess(now)
		t.recordLatency(now, c, r)
	case VerdictFailed:
		s.health.recordAnswer(now)
		s.health.recordFailure(now)
	case VerdictShed:
		s.health.recordAnswer(now)
		s.health.recordFailure(now)
		s.load.recordRejection(now, r.Running+r.Waiting, s.Slots)
	case VerdictUnreachable:
		s.health.recordUnreachable(now)
	case VerdictTimeout:
		s.health.recordTimeout(now)
		s.health.recordMinSlowdown(now, r.Took.Seconds()/max(c.Total(), time.Millisecond).Seconds())
	case VerdictReplaced:
		s.replaced = true
	case VerdictInconclusive:
	}
	if r.Verdict != VerdictUnreachable && r.Verdict != VerdictTimeout && r.Verdict != VerdictInconclusive && s.health.unreachable {
		s.health.unreachable = false
		s.warmup.assumeRestart(now, s.pool.service.Warmup.Duration)
	}
}

// RecordCrash records that an endpoint refuses connections after it has broken one.
func (t *Table) RecordCrash(now time.Time, c Choice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.state.health.usable(now) {
		c.state.health.recordUnreachable(now)
	}
}

// recordLatency records the time that a request took, and that the endpoint now has the
// object cached.
func (t *Table) recordLatency(now time.Time, c Choice, r Result) {
	s, p := c.state, c.state.pool
	took := (r.Took - t.roundTrips[s.Domain]).Seconds()
	if took <= 0 {
		took = r.Took.Seconds()
	}
	if c.object != 0 {
		if c.replica && !c.served {
			t.recordReplica(c.object, s)
		}
		p.locations.record(now, c.object, s)
	}
	if !c.Free || c.Cold || r.Waiting > 0 {
		return // the time includes a wait or a cold start
	}
	slowdown := s.health.currentSlowdown(now)
	quiet := c.withoutNoise(now, took, max(1, r.Slowdown, c.noise))
	c.serviceTimes.record(quiet/slowdown, c.Warm)
	p.serviceTime.add(quiet, poolSampleWeight)
	warm, cold := c.serviceTimes.estimates(0)
	if c.served && warm > 0 {
		p.recordLoss(quiet > warm*slowdown*coldThreshold && quiet <= cold*slowdown*coldThreshold)
	}
	expected := warm
	if quiet > warm*slowdown*coldThreshold && !c.Warm {
		expected = cold
	}
	if expected > 0 {
		s.health.recordSlowdown(now, quiet/expected)
	}
}

// roundTrip returns the round trip time to a failure domain. If none was measured, it
// returns the mean of those to other domains, or 0.
func (t *Table) roundTrip(d inventory.DomainID) time.Duration {
	if measured, ok := t.roundTrips[d]; ok || len(t.roundTrips) == 0 {
		return measured
	}
	sum := time.Duration(0)
	for _, other := range t.roundTrips {
		sum += other
	}
	return sum / time.Duration(len(t.roundTrips))
}

// RecordRoundTrip records the time that it took to open a connection to an endpoint, as a
// sample of the round trip time to its failure domain.
func (t *Table) RecordRoundTrip(c Choice, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	last, known := t.roundTrips[c.Endpoint.Domain]
	if !known || took < last {
		t.roundTrips[c.Endpoint.Domain] = took
		return
	}
	t.roundTrips[c.Endpoint.Domain] = last + (took-last)/roundTripSmoothing
}

// roundTripSmoothing is the divisor by which a longer sample moves the estimate: most of
// the excess comes from load, not from the network.
const roundTripSmoothing = 16
