package soak

// Limits that endpoints name for a part of a run, and their check.

import (
	"context"
	"strconv"
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/permit"
)

const (
	namedLimit   inventory.Rate = 2               // requests a second
	limitToldIn                 = 4 * time.Second // until the nodes have to keep a limit
	limitDivisor                = 3               // one in this many endpoints names a limit
)

// nameLimits lets some endpoints name a limit from a quarter to three quarters of the run. The
// faults of the plan go on meanwhile.
func (h *harness) nameLimits(ctx context.Context, run time.Duration) {
	if !sleep(ctx, run/4) {
		return
	}
	for i, t := range h.endpoints {
		if (i/len(serviceIDs)+int(h.seed%limitDivisor))%limitDivisor == 0 {
			t.nameLimit(true)
			defer t.nameLimit(false)
		}
	}
	sleep(ctx, run/2)
}

// nameLimit lets an endpoint begin or cease to name a limit in its answers.
func (t *testEndpoint) nameLimit(named bool) {
	if !named {
		t.checker.SetLimited(t.ID, time.Time{})
	}
	t.limited.Store(named)
	t.Target().SetBehaviour(t.normalBehaviour())
	if named {
		t.checker.SetLimited(t.ID, time.Now())
	}
}

// limitText returns the limit that the endpoint names now; "": none.
func (t *testEndpoint) limitText() string {
	if !t.limited.Load() {
		return ""
	}
	return strconv.FormatFloat(float64(namedLimit), 'f', -1, 64)
}

// SetLimited records since when an endpoint names a limit; the zero time: it names none.
func (c *Checker) SetLimited(id inventory.EndpointID, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limitedSince[id] = since
	delete(c.limitArrivals, id)
}

// checkLimit checks the requests at an endpoint that names a limit. It counts those of nodes
// without faults, while the endpoint has none: some of its faults hide the limit.
func (c *Checker) checkLimit(now time.Time, r *requestState, e EndpointInfo) {
	since := c.limitedSince[e.ID]
	from := now.Add(-permit.Window)
	if since.IsZero() || from.Before(since.Add(limitToldIn)) || !c.pathHolds(r, from, now) || !c.undisturbed(from, now, ScopeOfEndpoint(e.ID)) {
		return
	}
	recent := append(timesFrom(c.limitArrivals[e.ID], from), now)
	c.limitArrivals[e.ID] = recent
	if bound := permit.Excess*float64(namedLimit)*permit.Window.Seconds() + permit.Slack; float64(len(recent)) > bound {
		c.addViolation(now, "limit", "%d requests within %s arrived at %s, which has named a limit since %s", len(recent), permit.Window, e.ID, since.Sub(c.began))
	}
}
