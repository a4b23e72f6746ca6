package endpoint

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// lateShare returns the share of answered requests that exceed the objective.
func (r results) lateShare(objective time.Duration) float64 {
	late := 0
	for _, l := range r.latencies {
		if l > objective {
			late++
		}
	}
	return float64(late) / float64(len(r.latencies))
}

// TestRejectionsByFreeEndpoints lets all endpoints reject a share of their requests although
// they have free slots, for a while. Callers whose requests are sent again should not have to
// wait for cold runs elsewhere.
func TestRejectionsByFreeEndpoints(t *testing.T) {
	const mostLate = 0.01 // of the answered requests, beyond those that are late without rejections
	cases := map[string]struct {
		nodes       int
		load        float64
		rejectShare float64
	}{
		"few nodes, a fifth":                 {10, 0.5, 0.2},
		"few nodes, nearly half, low load":   {10, 0.25, 0.45},
		"many nodes, a fifth":                {200, 0.5, 0.2},
		"many nodes, nearly half":            {200, 0.5, 0.45},
		"many nodes, nearly half, low load":  {200, 0.25, 0.45},
		"many nodes, nearly half, high load": {200, 0.7, 0.45},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("Hardly any answers are later than without them", t, func() {
				run := func(rejectShare float64) float64 {
					sim := simulation{
						topology: topology{3, 1, 12, 6}, nodes: c.nodes, load: c.load, warmup: 20 * time.Second, duration: 40 * time.Second, objects: 1000, neighbours: 6,
						rejectShare: rejectShare, slowFrom: 25 * time.Second, slowTo: 33 * time.Second,
					}
					return sim.run(1).lateShare(sim.query(1).Objective)
				}
				convey.So(run(c.rejectShare)-run(0), convey.ShouldBeLessThanOrEqualTo, mostLate)
			})
		})
	}
}

func TestIsRejectionWithFreeSlots(t *testing.T) {
	cases := map[string]struct {
		result Result
		want   bool
	}{
		"free slots":     {Result{Verdict: VerdictShed, Running: 2, Slots: 3}, true},
		"full":           {Result{Verdict: VerdictShed, Running: 3, Waiting: 6, Slots: 3}, false},
		"no load report": {Result{Verdict: VerdictShed}, false},
		"failed":         {Result{Verdict: VerdictFailed, Running: 1, Slots: 3}, false},
		"unreachable":    {Result{Verdict: VerdictUnreachable}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("Only a rejection by an endpoint that is not full", t, func() {
				convey.So(c.result.IsRejectionWithFreeSlots(), convey.ShouldEqual, c.want)
			})
		})
	}
}

// TestEndpointAfterTriedOne tries an object's primary endpoint in vain and chooses again.
func TestEndpointAfterTriedOne(t *testing.T) {
	cases := map[string]struct {
		verdict Verdict
		warm    bool // whether the next endpoint is expected to have the object cached
	}{
		"rejected":    {verdict: VerdictShed},
		"failed":      {verdict: VerdictFailed},
		"unreachable": {verdict: VerdictUnreachable, warm: true}, // all nodes use the next one
		"replaced":    {verdict: VerdictReplaced, warm: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The next one has the object only if the primary one is out of use", t, func() {
				table := topology{1, 2, 6, 3}.table()
				first, _ := table.Choose(epoch, query(7))
				table.Start(epoch, first)
				table.Finish(epoch, first, Result{Verdict: c.verdict})
				q := query(7)
				q.Tried = []inventory.EndpointID{first.Endpoint.ID}
				second, reason := table.Choose(epoch, q)
				convey.So(reason, convey.ShouldEqual, Reason(""))
				convey.So(second.Warm, convey.ShouldEqual, c.warm)
			})
		})
	}
}
