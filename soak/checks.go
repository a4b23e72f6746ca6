package soak

// The guarantees that depend on more than one observation.

import (
	"slices"
	"time"

	"github.com/wasabiwheel/wasabiwheel/caller"
	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// checkBudget checks the arrivals beyond the first of each request against the retry
// budget.
func (c *Checker) checkBudget(now time.Time, s inventory.ServiceID, extra bool) {
	b := c.bounds.Retry
	window := b.Window.Duration
	all := append(c.arrivals[s], arrival{now, extra})
	for len(all) > 0 && now.Sub(all[0].at) > window {
		all = all[1:]
	}
	c.arrivals[s] = all
	if !extra {
		return
	}
	extras := 0
	for _, a := range all {
		if a.extra {
			extras++
		}
	}
	firsts := max(c.count(s, now.Add(-window), now), c.count(s, now.Add(-2*window), now.Add(-window)),
		c.count(s, now.Add(-window-window/2), now.Add(-window/2)))
	if limit := b.Ratio*float64(firsts) + b.Slack; float64(extras) > limit {
		c.addViolation(now, "budget", "%d further attempts for %s in %s, with %d requests", extras, s, window, firsts)
	}
}

// count returns how many requests for a service were sent between two times.
func (c *Checker) count(s inventory.ServiceID, from, to time.Time) int {
	return len(timesFrom(c.sent[s], from)) - len(timesFrom(c.sent[s], to))
}

// checkCold checks the rate of arrivals at a cold endpoint against its limit. It
// counts only requests that were sent at most a second before they arrived.
func (c *Checker) checkCold(now time.Time, r *requestState, e EndpointInfo) {
	rate := c.coldRates[e.Service]
	if rate == 0 || now.After(c.coldUntil[e.ID]) || now.Sub(r.Sent) > time.Second || !c.undisturbed(now, now, ScopeOfEndpoint(e.ID)) {
		return
	}
	recent := append(timesFrom(c.coldArrivals[e.ID], now.Add(-time.Second)), now)
	c.coldArrivals[e.ID] = recent
	if limit := rate*c.bounds.Cold.Excess + c.bounds.Cold.Slack; float64(len(recent)) > limit {
		c.addViolation(now, "cold", "%d requests within a second arrived at %s, which is cold until %s", len(recent), e.ID, c.coldUntil[e.ID].Sub(c.began))
	}
}

// checkDrain checks arrivals against drained failure domains and leaving endpoints.
func (c *Checker) checkDrain(now time.Time, r *requestState, e EndpointInfo) {
	if since := c.drained[e.Domain]; !since.IsZero() && now.Sub(since) > drainBound && c.pathUndisturbed(r, since, now, e) {
		c.addViolation(now, "drain", "request %s arrived at %s from node %d, %s after %s was drained", r.ID, e.ID, r.Node, now.Sub(since), e.Domain)
	}
	if since := c.leaving[e.ID]; !since.IsZero() && now.Sub(since) > c.bounds.Drain.Duration && c.pathUndisturbed(r, since, now, e) {
		c.addViolation(now, "leave", "request %s arrived at %s from node %d, %s after the endpoint began to leave", r.ID, e.ID, r.Node, now.Sub(since))
	}
}

// pathUndisturbed reports whether no fault affected the path of a request, from a
// confirmation to its arrival at an endpoint.
func (c *Checker) pathUndisturbed(r *requestState, since, now time.Time, e EndpointInfo) bool {
	return c.pathHolds(r, since, now) && c.undisturbed(r.Sent, now, ScopeOfEndpoint(e.ID))
}

// checkVersion derives the configuration that a node used from the service that ran a
// probe. It checks that this configuration is in force, and not older than one that
// the process has used before.
func (c *Checker) checkVersion(now time.Time, r *requestState, e EndpointInfo) {
	last := len(c.versions) - 1
	for last >= 0 && c.versions[last].sent.After(now) {
		last--
	}
	first := 0
	for i := range last + 1 {
		if confirmed := c.versions[i].confirmed; !confirmed.IsZero() && confirmed.Add(applyBound).Before(r.Sent) {
			first = i
		}
	}
	if last < 0 || !c.pathHolds(r, r.Sent, now) {
		return
	}
	used := slices.IndexFunc(c.versions[first:last+1], func(v version) bool { return v.service == e.Service })
	if used < 0 {
		c.addViolation(now, "apply", "node %d routed probe %s, sent at %s, to %s; version %d was confirmed at %s",
			r.Node, r.ID, r.Sent.Sub(c.began), e.Service, first, c.versions[first].confirmed.Sub(c.began))
		return
	}
	known := c.applied[r.Node]
	if known.incarnation == r.Incarnation && r.Sent.After(known.at.Add(revertBound)) && !slices.ContainsFunc(c.versions[known.version:last+1], func(v version) bool { return v.service == e.Service }) {
		c.addViolation(now, "revert", "node %d routed probe %s to %s, which only versions before %d do", r.Node, r.ID, e.Service, known.version)
	}
	if oldest := first + used; known.incarnation != r.Incarnation || oldest > known.version {
		c.applied[r.Node] = appliedVersion{r.Incarnation, oldest, now}
	}
}

// checkLoss checks that a request without an answer was sent to a node that a fault
// affected. A planned stop is not such a fault.
func (c *Checker) checkLoss(now time.Time, r *requestState, err error) {
	if !c.undisturbed(r.Sent, now, ScopeOfNode(r.Node)) {
		return
	}
	if r.arrivals == 0 && (now.Sub(r.Sent) < closeRaceBound || caller.IsUnsent(err)) {
		return // its idle connection closed as it was sent, or no connection could be opened
	}
	c.addViolation(now, "lost", "request %s to node %d got no answer after %s: %v", r.ID, r.Node, now.Sub(r.Sent), err)
}

// CheckStop checks that a node that got a signal to stop at a time exits cleanly
// within its grace. code is its exit code; negative: it did not exit by itself.
func (c *Checker) CheckStop(now time.Time, n int, began time.Time, code int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if code != 0 && c.undisturbed(began, now, ScopeOfNode(n)) {
		c.addViolation(now, "stop", "node %d did not stop cleanly within %s of the signal; exit code %d", n, now.Sub(began), code)
	}
}

// CheckRecovery checks that the required share of the requests sent from a time on is
// served. It is called when all faults have ended.
func (c *Checker) CheckRecovery(now, from time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sent, served := 0, 0
	for _, r := range c.states {
		if r.Route == keyedRoute || r.Sent.Before(from) || r.ended.IsZero() { // some of its keys are withdrawn
			continue
		}
		sent++
		if r.served {
			served++
		}
	}
	if sent == 0 || float64(served) < recoverShare*float64(sent) {
		c.addViolation(now, "recover", "%d of %d requests were served since %s", served, sent, from.Sub(c.began))
	}
}
