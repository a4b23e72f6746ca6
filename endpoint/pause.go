package endpoint

// Pauses that endpoints ask for. One that rejects a request may add for how long it wants none of
// this node. It is left out of the choice until then; its objects are served elsewhere, and a
// request that no endpoint may get is rejected with the time at which it may come back.
//
// The load that this is designed for: an overload in which many endpoints ask many nodes for
// pauses. If all requests of a node came back in the moment in which a pause ends, the endpoint
// would be full again at once. So the node sends one request first, and twice as many at a time with
// each response that is no rejection. A node that has few requests for the endpoint is not delayed.

import (
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

const (
	// maxPause is the longest pause that is respected: an endpoint with a wrong value is used again
	// in a time in which operators would notice.
	maxPause = 5 * time.Minute
	// minReturn is the time until a request may come back that exceeds what an endpoint gets after a
	// pause: about that of a response.
	minReturn = 100 * time.Millisecond
)

// pause is the time for which an endpoint wants no requests of this node.
type pause struct {
	at     time.Time // when the endpoint asked for it
	until  time.Time
	window int // requests in flight, at most, after until; 0: not bounded
}

// covers reports whether no request may be sent to the endpoint because of a pause. sent is 1 if it
// is counted as one in flight already.
func (s *endpointState) covers(now time.Time, sent int) bool {
	return now.Before(s.pause.until) || s.pause.window > 0 && s.inFlight-sent >= s.pause.window
}

// recordAfterPause widens the window after a response that is no rejection.
func (s *endpointState) recordAfterPause(now time.Time) {
	if s.pause.window == 0 || now.Before(s.pause.until) {
		return
	}
	if s.pause.window *= 2; s.pause.window >= s.Slots {
		s.pause.window = 0
	}
}

// RecordPause records that an endpoint has asked for a pause, and returns when it ends. A pause
// that ends earlier than a former one shortens nothing.
func (t *Table) RecordPause(now time.Time, c Choice, d time.Duration) (until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := c.state
	end := now.Add(min(d, maxPause))
	if d > 0 && t.byID[s.ID] == s && end.After(s.pause.until) {
		s.pause = pause{at: now, until: end, window: 1}
	}
	return s.pause.until
}

// PauseEnd returns the earliest time at which a request may be sent to an endpoint of a service
// that is in a pause, or false if there is none.
func (t *Table) PauseEnd(now time.Time, q Query) (end time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.paused(now, q) {
		if at := laterOf(now.Add(minReturn), s.pause.until); !ok || at.Before(end) {
			end, ok = at, true
		}
	}
	return end, ok
}

// PausedRate returns the rate at which the endpoints of a service that are in a pause can serve
// requests, in requests a second; 0: unknown.
func (t *Table) PausedRate(now time.Time, q Query) inventory.Rate {
	t.mu.Lock()
	defer t.mu.Unlock()
	slots := 0
	for _, s := range t.paused(now, q) {
		slots += s.Slots
	}
	if p := t.services[q.Service]; slots > 0 && p.serviceTime.count > 0 {
		return inventory.Rate(float64(slots) / p.serviceTime.mean)
	}
	return 0
}

// paused returns the endpoints of a service that a request could use after their pauses.
func (t *Table) paused(now time.Time, q Query) []*endpointState {
	p := t.services[q.Service]
	if p == nil {
		return nil
	}
	var all []*endpointState
	for _, s := range p.endpoints {
		if t.exclusion(now, s, q) == ReasonPause {
			all = append(all, s)
		}
	}
	return all
}
