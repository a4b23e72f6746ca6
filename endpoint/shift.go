package endpoint

// The bound on requests that change the region in which they run.
//
// Each node bounds the share of its own requests that change their region. The requests of a region are
// the sum of what its nodes serve, so the share of these that changes is the mean of the nodes' shares,
// weighted by their requests, and within the same bound, for any number of nodes, without messages
// between them. What a node pays for is what its own requests show: an object that moves costs its share of
// the node's requests of the last seconds. So the bound holds for objects of any popularity. One whose share is
// larger than what is left moves in parts, by the seeds of its requests.

import (
	"math"
	"time"
)

const (
	// The parts of the bound that are refilled in a window, and that may be saved up: for objects that move,
	// and for single requests that run elsewhere, which may be back in the next window. What may change
	// from one window to the next is moveRate + moveDepth + spillRate + spillDepth. The rest allows for
	// nodes that learn of a change at different times.
	moveRate   = 0.5
	moveDepth  = 0.2
	spillRate  = 0.1
	spillDepth = 0.05
	// shiftWindowLength is the window of the bound.
	shiftWindowLength = 2 * time.Second
	// shareTime is the time constant of the decay of counts of requests: several windows, so that counts
	// of single objects are no matter of chance.
	shareTime = 8 * time.Second
	// minCounted is the number of requests below which a node knows no shares: a single one would count as
	// all.
	minCounted = 8
)

// recentCount is a number of requests that decays.
type recentCount struct {
	count float64
	at    time.Time
}

// value returns the count as of now.
func (c recentCount) value(now time.Time) float64 {
	return c.count * math.Exp(-max(0, now.Sub(c.at).Seconds())/shareTime.Seconds())
}

// add counts a request.
func (c *recentCount) add(now time.Time) { c.count, c.at = c.value(now)+1, now }

// shifts holds how much of a node's requests may change regions now.
type shifts struct {
	bound    float64 // share in a window; 0: not bounded
	moves    allowance
	spills   allowance
	requests recentCount // of this node
	inParts  *placement  // the one that moves in parts; nil: none
}

// allowance is a share of the requests that becomes available over time.
type allowance struct {
	left float64
	at   time.Time
}

// refill adds what has become available: the rate in each window, up to the depth.
func (a *allowance) refill(now time.Time, rate, depth float64) {
	if elapsed := now.Sub(a.at); elapsed > 0 {
		a.left = min(depth, a.left+rate*elapsed.Seconds()/shiftWindowLength.Seconds())
		a.at = now
	}
}

// take takes up to a share from what objects may move now, and returns what it got.
func (b *shifts) take(now time.Time, share float64) float64 {
	if b.bound == 0 {
		return share
	}
	b.moves.refill(now, moveRate*b.bound, moveDepth*b.bound)
	got := min(share, b.moves.left)
	b.moves.left -= got
	return got
}

// mayMove reports whether objects with a share of the requests may move now.
func (b *shifts) mayMove(now time.Time, share float64) bool {
	b.moves.refill(now, moveRate*b.bound, moveDepth*b.bound)
	return b.bound == 0 || b.moves.left >= share
}

// spill reports whether a single request may run in another region than its object, and counts it if so.
func (b *shifts) spill(now time.Time) bool {
	if b.bound == 0 {
		return true
	}
	share := b.shareOf(now, 1)
	b.spills.refill(now, spillRate*b.bound, max(share, spillDepth*b.bound))
	if b.spills.left < share {
		return false
	}
	b.spills.left -= share
	return true
}

// record counts a request of a placement.
func (b *shifts) record(now time.Time, l *placement) {
	b.requests.add(now)
	l.requests.add(now)
}

// shareOf returns the share of a number of requests.
func (b *shifts) shareOf(now time.Time, requests float64) float64 {
	return requests / max(b.requests.value(now), minCounted)
}

// step returns the value after one step towards a target, as far as the bound allows, if the whole way
// from 0 to 1 changes the region of a share of the requests.
func (b *shifts) step(now time.Time, value, target, share float64) float64 {
	way := math.Abs(target - value)
	if share <= 0 {
		return target
	}
	got := b.take(now, way*share) / share
	if got >= way {
		return target
	}
	return value + math.Copysign(got, target-value)
}

// mayBegin reports whether a placement may begin to move: as a whole, when that is possible, or in parts if
// it is too large for that, one after the other.
func (b *shifts) mayBegin(now time.Time, l *placement, share float64) bool {
	if b.bound == 0 || share <= moveDepth*b.bound {
		return b.mayMove(now, share)
	}
	if other := b.inParts; other != nil && other.part > 0 && other.requests.value(now) >= minPlacedLoad {
		return false
	}
	b.inParts = l
	return true
}

// move moves a placement towards a region: at once if its own is failing or it has none, else within the bound.
func (b *shifts) move(now time.Time, l *placement, want *region, failing bool) {
	if l.from == nil || failing && want != l.from {
		l.settle(want)
	}
	if l.part == 0 {
		l.to = want
	}
	if l.from == l.to {
		return
	}
	share := b.shareOf(now, l.requests.value(now))
	if l.part == 0 && !b.mayBegin(now, l, share) {
		return
	}
	target := math.Round(l.part) // a move to a third region begins when the one under way has ended
	switch want {
	case l.from:
		target = 0
	case l.to:
		target = 1
	}
	if l.part = b.step(now, l.part, target, share); l.part == 1 {
		l.settle(l.to)
	}
}
