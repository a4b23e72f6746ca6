package admission

// Returns of rejected callers. Endpoints that name limits serve a known number of requests a
// second. Callers that are rejected for lack of a permit are told to return one after the other at
// that rate: if all returned for the next permit, all but one would be rejected again.

import (
	"sync"
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

const (
	// maxReturn bounds the delay that a caller is told: endpoints change or withdraw their
	// limits within seconds.
	maxReturn = 10 * time.Second
	// minReturnRate bounds the time between two returns, in requests a second.
	minReturnRate = 0.1
)

// Returns schedules the returns of the callers that one node rejects. It is safe for concurrent
// use.
type Returns struct {
	mu   sync.Mutex
	next map[inventory.ServiceID]time.Time
}

// NewReturns returns an empty schedule.
func NewReturns() *Returns { return &Returns{next: map[inventory.ServiceID]time.Time{}} }

// Schedule returns the delay until a caller should return: after wait at the earliest, and after
// the callers that were rejected before. rate is the rate at which callers of this node that
// return can be served.
func (r *Returns) Schedule(now time.Time, s inventory.ServiceID, wait time.Duration, rate inventory.Rate) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := now.Add(max(wait, minRetryAfter))
	if r.next[s].After(at) {
		at = r.next[s]
	}
	if at.Sub(now) > maxReturn {
		return maxReturn
	}
	r.next[s] = at.Add(time.Duration(float64(time.Second) / max(float64(rate), minReturnRate)))
	return at.Sub(now)
}
