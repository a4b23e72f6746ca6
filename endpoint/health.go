package endpoint

// Passive health checks. Registrations lag and health check answers can be wrong, so the
// results of requests decide: an endpoint that cannot be reached gets no requests for a
// backoff that doubles, and one that fails or sheds requests is chosen less often the
// more it does so.

import (
	"math"
	"time"
)

const (
	minBackoff       = 500 * time.Millisecond // first backoff of an unreachable endpoint
	maxBackoff       = 4 * time.Second        // longest backoff; a restart takes about as long
	failureHalfLife  = 2 * time.Second        // half-life of the failure score
	failureStep      = 0.25                   // weight of one failure in the score
	maxFailureScore  = 0.95                   // below 1, so that failures alone never exclude an endpoint
	slowdownHalfLife = 4 * time.Second        // half-life of the slowdown, so that a slow endpoint is tried again
	slowdownWeight   = 0.3                    // of one request in the slowdown
	minSlowdown      = 0.2                    // bounds of the slowdown: a value beyond them has another cause
	maxSlowdown      = 20.0
	overdueThreshold = 2.0 // multiple of the expected time after which a pending request indicates a slow endpoint
	maxTimeouts      = 3   // consecutive timeouts after which an endpoint counts as unreachable
)

// health holds what the results of requests show of one endpoint.
type health struct {
	backoffUntil   time.Time     // the endpoint gets no requests before
	backoff        time.Duration // length of the last backoff
	timeouts       int           // consecutive timeouts
	unreachable    bool          // until it answers again; it then counts as cold
	failureScore   float64       // weight of recent failures, from 0 to 1
	failureScoreAt time.Time     // time of the last change of failureScore
	failures       int64
	answeredAt     time.Time // when it last answered, whatever
	slowdown       float64   // service time relative to that of other endpoints; 0: unknown
	slowdownAt     time.Time // time of the last change of slowdown
}

// usable reports whether the endpoint is not in backoff.
func (h *health) usable(now time.Time) bool { return !now.Before(h.backoffUntil) }

// currentFailureScore returns the failure score, which decays over time.
func (h *health) currentFailureScore(now time.Time) float64 {
	if h.failureScore == 0 {
		return 0
	}
	return h.failureScore * math.Exp2(-now.Sub(h.failureScoreAt).Seconds()/failureHalfLife.Seconds())
}

// recordFailure records a failed request.
func (h *health) recordFailure(now time.Time) {
	score := h.currentFailureScore(now)
	h.failureScore, h.failureScoreAt = min(maxFailureScore, score+failureStep*(1-score)), now
	h.failures++
}

// recordUnreachable records that the endpoint cannot be reached and starts a backoff.
func (h *health) recordUnreachable(now time.Time) {
	h.recordFailure(now)
	h.unreachable = true
	h.backoff = min(maxBackoff, max(minBackoff, 2*h.backoff))
	h.backoffUntil = now.Add(h.backoff)
}

// recordTimeout records a request that was not answered at all.
func (h *health) recordTimeout(now time.Time) {
	h.timeouts++
	h.recordFailure(now)
	if h.timeouts >= maxTimeouts {
		h.recordUnreachable(now)
	}
}

// recordAnswer records that the endpoint can be reached.
func (h *health) recordAnswer(now time.Time) { h.timeouts, h.backoff, h.answeredAt = 0, 0, now }

// currentSlowdown returns the slowdown, which decays to 1 over time.
func (h *health) currentSlowdown(now time.Time) float64 {
	if h.slowdown == 0 {
		return 1
	}
	return 1 + (h.slowdown-1)*math.Exp2(-now.Sub(h.slowdownAt).Seconds()/slowdownHalfLife.Seconds())
}

// recordSlowdown records the service time of a request relative to that of other
// endpoints.
func (h *health) recordSlowdown(now time.Time, ratio float64) {
	ratio = min(maxSlowdown, max(minSlowdown, ratio))
	last := h.currentSlowdown(now)
	h.slowdown, h.slowdownAt = last+slowdownWeight*(ratio-last), now
}

// recordMinSlowdown records a lower bound of the slowdown, from a request that was not
// answered.
func (h *health) recordMinSlowdown(now time.Time, ratio float64) {
	if ratio > h.currentSlowdown(now) {
		h.slowdown, h.slowdownAt = min(maxSlowdown, ratio), now
	}
}

// recordSuccess records a request that was served.
func (h *health) recordSuccess(now time.Time) {
	h.recordAnswer(now)
	score := h.currentFailureScore(now)
	h.failureScore, h.failureScoreAt = score*(1-failureStep), now
}
