package endpoint

// What a node forgets of endpoints when it finds out that its own links were cut.

import "time"

// Forgive drops what requests have shown of failures of endpoints since a time.
func (t *Table) Forgive(since time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.byID {
		s.health.forgive(since)
	}
}

// forgive drops failures since a time.
func (h *health) forgive(since time.Time) {
	if !h.failureScoreAt.Before(since) {
		h.failureScore, h.timeouts, h.backoff = 0, 0, 0
		h.backoffUntil, h.unreachable = time.Time{}, false
	}
	if !h.slowdownAt.Before(since) {
		h.slowdown = 0
	}
}
