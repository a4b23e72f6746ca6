package admission

// Order of requests of one service by priority. Routes have different objectives, so a less urgent
// request with a long objective could wait where a more urgent one with a short objective is
// rejected, and the queue that it makes would be the reason. A request may therefore wait only for a
// part of the time for which more urgent ones can wait and still meet their objective.

import (
	"sync"
	"time"
)

const (
	// orderStep is the part of the wait of more urgent requests that a request may have. The
	// difference covers the error of estimates.
	orderStep = 0.8
	// orderWindow is how long requests of a priority count after the last one. A node that sees a
	// hundredth of the load gets several in that time.
	orderWindow = 5 * time.Second
	orderWeight = 0.2 // of one request in the mean wait at a priority
)

// Order knows how long requests of each priority can wait. It is safe for concurrent use.
type Order struct {
	mu    sync.Mutex
	waits map[Class]inTime
}

// inTime is the mean wait with which requests meet their objective.
type inTime struct {
	mean time.Duration
	at   time.Time
}

// NewOrder returns an order without requests.
func NewOrder() *Order { return &Order{waits: map[Class]inTime{}} }

// MaxWait returns the time that a request may wait, given what its own limits allow and the wait with
// which it meets its objective.
func (o *Order) MaxWait(now time.Time, c Class, allowed, meets time.Duration) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	w := o.waits[c]
	if now.Sub(w.at) > orderWindow {
		w.mean = meets
	}
	w.mean += time.Duration(orderWeight * float64(meets-w.mean))
	w.at = now
	o.waits[c] = w
	for other, w := range o.waits {
		if other.Service != c.Service || other.Priority >= c.Priority {
			continue
		}
		if now.Sub(w.at) > orderWindow {
			delete(o.waits, other)
			continue
		}
		allowed = min(allowed, time.Duration(orderStep*float64(w.mean)))
	}
	return allowed
}
