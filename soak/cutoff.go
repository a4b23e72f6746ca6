package soak

// Nodes that are cut off from all endpoints for a while, and the check that their callers are served
// nearly as often as those of the others.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"time"
)

const (
	cutStream   = 3               // of random numbers
	cutsInRun   = 2               // cuts of a run, of which each has another kind
	minCutTime  = 5 * time.Second // longer than the recovery bound
	cutTimeSpan = 3 * time.Second // of a random addition
	// The bound of the check: the share of the requests of cut-off nodes that have to be served, as
	// a part of that of the others, and the failures that are allowed nevertheless.
	cutServedShare   = 2.0 / 3
	cutFailures      = 10
	cutFailuresShare = 1.0 / 50 // of all requests
)

// cutNodesOff cuts a random share of the nodes off from the endpoints, a few times in a run. The
// faults of the plan go on meanwhile.
func (h *harness) cutNodesOff(ctx context.Context, run time.Duration) {
	random := rand.New(rand.NewPCG(h.seed, cutStream))
	cuts := []Cut{CutHang, CutReset, CutRefuse}
	random.Shuffle(len(cuts), func(i, j int) { cuts[i], cuts[j] = cuts[j], cuts[i] })
	for _, cut := range cuts[:cutsInRun] {
		if !sleep(ctx, run/8+time.Duration(random.Int64N(int64(run/8+1)))) {
			return
		}
		nodes := random.Perm(len(h.processes))[:1+random.IntN(len(h.processes))]
		h.cutOff(ctx, cut, nodes, minCutTime+time.Duration(random.Int64N(int64(cutTimeSpan))))
	}
}

// cutOff cuts nodes off for a time, and checks afterwards what their callers got.
func (h *harness) cutOff(ctx context.Context, cut Cut, nodes []int, d time.Duration) {
	_, _ = fmt.Fprintf(h.events, "%7.3f nodes %v cut off from all endpoints (%s) for %s\n", time.Since(h.checker.began).Seconds(), nodes, cut, d.Round(time.Millisecond)) // informative
	from := time.Now()
	h.setCut(cut, nodes)
	sleep(ctx, d)
	to := time.Now()
	h.setCut(CutNone, nodes)
	if sleep(ctx, routeTimeout+lateBound) { // until the requests have ended
		h.checker.CheckCutOff(time.Now(), nodes, len(h.processes), from, to)
	}
}

func (h *harness) setCut(cut Cut, nodes []int) {
	for _, n := range nodes {
		if err := os.WriteFile(h.processes[n].linksFile, []byte(cut), 0o600); err != nil {
			h.checker.RecordViolation(time.Now(), "start", err.Error())
		}
	}
}

// servedCount counts requests, and those of them that were served.
type servedCount struct{ sent, served int }

func (s servedCount) plus(r *requestState) servedCount {
	s.sent++
	if r.served {
		s.served++
	}
	return s
}

// nodeHolds reports whether a node had no fault from the recovery bound before a request to its end.
func (c *Checker) nodeHolds(n int, r *requestState) bool {
	return c.undisturbed(r.Sent, r.ended, ScopeOfNode(n), scopeOfStop(n))
}

// othersHold reports whether a node that is not cut off had no fault during a request.
func (c *Checker) othersHold(isCut map[int]bool, count int, r *requestState) bool {
	for n := range count {
		if !isCut[n] && c.nodeHolds(n, r) {
			return true
		}
	}
	return false
}

// CheckCutOff checks that the requests to nodes that were cut off between two times were served
// nearly as often as those to other nodes in the same seconds: other faults come and go meanwhile.
// Nodes with faults of their own don't count, nor do times at which each of the others has one:
// nobody could serve then. Faults of the store, which affects all alike, do.
func (c *Checker) CheckCutOff(now time.Time, nodes []int, count int, from, to time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isCut := map[int]bool{}
	for _, n := range nodes {
		isCut[n] = true
	}
	from = from.Add(c.bounds.Recovery.Duration)
	cut, others := map[int]servedCount{}, map[int]servedCount{}
	for _, r := range c.states {
		if r.Route == keyedRoute || r.Sent.Before(from) || !r.Sent.Before(to) || r.ended.IsZero() || !c.nodeHolds(r.Node, r) || !c.othersHold(isCut, count, r) {
			continue
		}
		second := int(r.Sent.Sub(from).Seconds())
		if isCut[r.Node] {
			cut[second] = cut[second].plus(r)
		} else {
			others[second] = others[second].plus(r)
		}
	}
	var sum, all servedCount
	expected := 0.0 // served, if these nodes serve like the others
	for second, own := range cut {
		if other := others[second]; other.sent > 0 {
			sum.sent, sum.served = sum.sent+own.sent, sum.served+own.served
			all.sent += own.sent + other.sent
			expected += float64(own.sent) * float64(other.served) / float64(other.sent)
		}
	}
	failed, allowed := float64(sum.sent-sum.served), cutFailures+cutFailuresShare*float64(all.sent)
	if float64(sum.served) < cutServedShare*expected && failed > allowed {
		c.addViolation(now, "cutoff", "nodes %v, cut off from all endpoints since %s, served %d of %d requests; like the others they would have served %.0f", nodes, from.Sub(c.began), sum.served, sum.sent, expected)
	}
}
