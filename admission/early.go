package admission

// Callers that return before the time that they were told. Their requests would take what others
// could get that ask for the first time, or that waited as they were told.

import (
	"sync"
	"time"
)

// maxEarly bounds the rejected requests that are remembered, some 50 bytes each. A node that serves
// 33 requests a second rejects fewer within the longest delay.
const maxEarly = 2048

// sweepInterval is the time between two searches for what may be forgotten, which look at all.
const sweepInterval = 100 * time.Millisecond

// Key identifies what a request asks for, whatever its id: a caller's next attempt has another id,
// and may be the same in all else.
type Key uint64

// early remembers rejected requests until their callers may return.
type early struct {
	mu       sync.Mutex
	rejected map[Key]expected
	sweptAt  time.Time
}

// expected is the number of callers that were told to return for the same, the last of them at a time.
type expected struct {
	count int
	until time.Time
}

// record records that a caller was told to return at a time.
func (e *early) record(now time.Time, k Key, until time.Time) {
	if k == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.rejected) >= maxEarly && now.Sub(e.sweptAt) >= sweepInterval {
		e.sweptAt = now
		for other, x := range e.rejected {
			if !now.Before(x.until) {
				delete(e.rejected, other)
			}
		}
	}
	if len(e.rejected) >= maxEarly {
		return
	}
	x := e.rejected[k]
	if !now.Before(x.until) {
		x = expected{}
	}
	if until.After(x.until) {
		x.until = until
	}
	x.count++
	e.rejected[k] = x
}

// take reports whether a request is one that was told to return later. It counts for one of them, so
// that other callers who ask for the same are not taken for it.
func (e *early) take(now time.Time, k Key) (until time.Time, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x := e.rejected[k]
	if x.count == 0 || !now.Before(x.until) {
		return time.Time{}, false
	}
	x.count--
	e.rejected[k] = x
	return x.until, true
}
