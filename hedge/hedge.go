// Package hedge decides when a second copy of a request that may be repeated is worth sending,
// and keeps such copies within a share of the requests.
//
// A few answers take several times as long as the others, since the endpoint's machine is busy
// with something else or the run is a straggler. A second copy at another endpoint that has the
// object cached is then likely to be answered first. The share is spent on the slowest answers: the
// delay is the quantile of the times of warm runs without waits that leaves as many requests
// unanswered as the share allows.
//
// Times are recorded without the round trip to the endpoint, by route: a node sends too few
// requests to one endpoint to know the quantiles of each.
//
// # Usage
//
//	t := hedge.New()
//	t.RecordRequest(now, route)
//	delay, ok := t.Delay(now, route, share)
//	if ok && unanswered(delay + roundTrip) && t.Allow(now, route, share) { send a second copy }
//	t.Record(now, route, took-roundTrip)
package hedge

import (
	"math"
	"sync"
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

const (
	// window is the time constant of the decay of what was recorded: some hundred requests of a
	// route at one node, and shorter than the load changes in a day.
	window = 30 * time.Second
	// minSamples is the number of times from which quantiles are used. With fewer, the slowest one in
	// 25 is not known.
	minSamples = 25
	// minMedians is the shortest delay in medians. The copy takes about a median, so that it would
	// rarely be first after a shorter delay.
	minMedians = 1.5
	// maxTail is the largest part of the times that counts as slow, however many copies are allowed.
	maxTail = 0.25
	// maxRoutes is the number of routes of which something is known: a history has 1.3 KB, and
	// routes come and go.
	maxRoutes = 1024
	// maxCredit is the number of copies that may be sent at once after a time without any.
	maxCredit = 4
)

// Table holds the times that requests of each route took at one node, and the copies that were sent.
// It is safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	routes map[inventory.RouteID]*history
}

// history is what is known of a route.
type history struct {
	times    histogram
	requests float64 // decayed like the times
	unspent  float64 // requests for which no copy was sent; a copy uses 1/share of them
	at       time.Time
}

// New returns a table without history.
func New() *Table { return &Table{routes: map[inventory.RouteID]*history{}} }

// RecordRequest counts a request of a route, of which a share may be sent twice.
func (t *Table) RecordRequest(now time.Time, r inventory.RouteID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.history(now, r)
	h.requests++
	h.unspent++
}

// Record records the time that a warm run took that did not wait. For one that was canceled it is
// the time until then: it would have taken longer.
func (t *Table) Record(now time.Time, r inventory.RouteID, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history(now, r).times.add(took)
}

// Delay returns the time after which a second copy of a request may be sent if copies of a share of
// the requests are allowed, less the round trip to the endpoint. It reports false if none is
// allowed or too little is known.
func (t *Table) Delay(now time.Time, r inventory.RouteID, s inventory.Share) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.history(now, r)
	if s <= 0 || h.times.total < minSamples {
		return 0, false
	}
	tail := min(maxTail, float64(s)*h.requests/h.times.total)
	median := h.times.quantile(0.5)
	return max(h.times.quantile(1-tail), time.Duration(minMedians*float64(median))), true
}

// Allow reports whether another copy is within the share, and counts it if so.
func (t *Table) Allow(now time.Time, r inventory.RouteID, s inventory.Share) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.history(now, r)
	if s <= 0 || h.unspent*float64(s) < 1 {
		return false
	}
	h.unspent = min(h.unspent, maxCredit/float64(s)) - 1/float64(s)
	return true
}

// history returns what is known of a route as of now.
func (t *Table) history(now time.Time, r inventory.RouteID) *history {
	h := t.routes[r]
	if h == nil {
		t.makeRoom()
		h = &history{at: now}
		t.routes[r] = h
	}
	if passed := now.Sub(h.at); passed > 0 {
		factor := math.Exp(-passed.Seconds() / window.Seconds())
		h.requests *= factor
		h.times.scale(factor)
		h.at = now
	}
	return h
}

// makeRoom removes the history that has not been used for the longest time if there are too many.
func (t *Table) makeRoom() {
	if len(t.routes) < maxRoutes {
		return
	}
	var oldest inventory.RouteID
	var at time.Time
	for r, h := range t.routes {
		if at.IsZero() || h.at.Before(at) {
			oldest, at = r, h.at
		}
	}
	delete(t.routes, oldest)
}
