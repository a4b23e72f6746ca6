// Package retry limits retries to a budget for all nodes together. Nodes do not
// coordinate: in any window, each node may send retries in proportion to its own
// requests, plus its share of the slack.
//
// Nodes come and go, and what one has used of the slack counts in each window of the following
// time. The slack is therefore divided among all nodes that were listed within a window and the time
// for which a node serves on after its entry is gone. With N of them, each node takes at most 1/N in a window
// with the process that was there before it, and at most firstShare/N with those that started in it,
// since a process gets no more in its first window. All nodes together take 1 + firstShare of the usable slack.
//
// # Usage
//
//	b := retry.New(retry.Bounds{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}, time.Now())
//	b.RecordRequest(now, "catalogue")
//	if b.AllowRetry(now, "catalogue") { ... }
package retry

import (
	"sync"
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

const (
	// usableShare is the part of the budget that is used. The rest allows for requests
	// that arrive in a different window from the one they were counted in, and for
	// nodes that share the slack and are not known yet.
	usableShare = 0.7
	// firstShare is the part of its slack that a process reaches at the end of its first window. The process
	// before it, on the same VM, may have used all of that window's, so 1 + firstShare times usableShare is below 1.
	firstShare = 0.4
	buckets    = 10 // number of buckets in a window
)

// Bounds is the retry budget of a service, for all nodes together.
type Bounds struct {
	Ratio  float64 // retries per request
	Slack  float64 // additional retries per window, whatever the number of requests
	Window time.Duration
	Leave  time.Duration // for which a node serves on after its entry is gone
}

// Budget counts the requests and retries of one node. It is safe for concurrent use.
type Budget struct {
	bounds Bounds

	mu       sync.Mutex
	nodes    nodeList
	started  time.Time
	services map[inventory.ServiceID]*window
}

// window is a sliding window of buckets, so that old counts expire one bucket at a time.
type window struct {
	requests, retries [buckets + 1]float64
	current           int64 // number of the current bucket, since the Unix epoch
}

// New returns the budget of a process that starts now and is the only node.
func New(b Bounds, now time.Time) *Budget {
	return &Budget{bounds: b, started: now, services: map[inventory.ServiceID]*window{}}
}

// SetNodes sets the nodes that are listed now.
func (b *Budget) SetNodes(now time.Time, ids []inventory.EntryID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes.set(now, ids)
}

// RecordRequest counts the first attempt of a request.
func (b *Budget) RecordRequest(now time.Time, id inventory.ServiceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, id)
	w.requests[w.bucket()]++
}

// AllowRetry reports whether the budget allows another retry, and counts the retry if so.
func (b *Budget) AllowRetry(now time.Time, id inventory.ServiceID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, id)
	requests, retries := w.sums()
	slack := b.bounds.Slack / float64(b.nodes.count(now, b.bounds.Window+b.bounds.Leave)) * b.startShare(now)
	if retries+1 > usableShare*(b.bounds.Ratio*requests+slack) {
		return false
	}
	w.retries[w.bucket()]++
	return true
}

// startShare returns the part of its slack that a process gets so long after its start.
func (b *Budget) startShare(now time.Time) float64 {
	if age := now.Sub(b.started); age < b.bounds.Window {
		return firstShare * age.Seconds() / b.bounds.Window.Seconds()
	}
	return 1
}

func (b *Budget) window(now time.Time, id inventory.ServiceID) *window {
	w := b.services[id]
	if w == nil {
		w = &window{}
		b.services[id] = w
	}
	w.advance(now.UnixNano() / max(1, int64(b.bounds.Window)/buckets))
	return w
}

// advance moves the window to a bucket and clears the buckets that have expired. It
// clears all of them if the clock went back.
func (w *window) advance(to int64) {
	if to-w.current > buckets || to < w.current {
		*w = window{current: to}
		return
	}
	for w.current < to {
		w.current++
		w.requests[w.bucket()], w.retries[w.bucket()] = 0, 0
	}
}

// bucket returns the index of the current bucket.
func (w *window) bucket() int { return int(w.current % (buckets + 1)) }

func (w *window) sums() (requests, retries float64) {
	for i := range w.requests {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	return requests, retries
}

// SetBounds replaces the bounds of the budget. With a different window, the counts so far
// are lost, so the slack begins at zero again, as in a new process.
func (b *Budget) SetBounds(now time.Time, bounds Bounds) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if bounds.Window != b.bounds.Window {
		b.started = now
		clear(b.services)
	}
	b.bounds = bounds
}
