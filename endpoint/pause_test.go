package endpoint

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

func TestPausesOfEndpoints(t *testing.T) {
	again := func(table *Table, now time.Time, c Choice, start time.Time) {
		e := c.Endpoint
		e.Start = start
		table.Register(now, e)
	}
	started := epoch.Add(-time.Hour)
	cases := map[string]struct {
		asked time.Duration
		then  func(table *Table, c Choice) // at 2 s
		from  float64                      // seconds from when requests may be sent, at the earliest
	}{
		"as asked":         {4 * time.Second, func(*Table, Choice) {}, 4},
		"renewed":          {4 * time.Second, func(table *Table, c Choice) { table.RecordPause(at(2), c, 4*time.Second) }, 6},
		"a shorter one":    {4 * time.Second, func(table *Table, c Choice) { table.RecordPause(at(2), c, time.Second) }, 4},
		"zero":             {0, func(*Table, Choice) {}, 0},
		"zero after one":   {4 * time.Second, func(table *Table, c Choice) { table.RecordPause(at(2), c, 0) }, 4},
		"beyond the bound": {time.Hour, func(*Table, Choice) {}, maxPause.Seconds()},
		"an answer since": {4 * time.Second, func(table *Table, c Choice) {
			table.Finish(at(2), c, Result{Verdict: VerdictServed, Took: time.Second})
		}, 4},
		"the process paused":            {4 * time.Second, func(table *Table, _ Choice) { table.Paused(3 * time.Second) }, 1},
		"a start before, heard of late": {4 * time.Second, func(table *Table, c Choice) { again(table, at(2), c, at(-0.5)) }, 4},
		"a later start":                 {4 * time.Second, func(table *Table, c Choice) { again(table, at(2), c, at(1)) }, 0},
		"its entry was removed and is back": {4 * time.Second, func(table *Table, c Choice) {
			table.Removed(at(2), c.Endpoint.ID)
			again(table, at(2), c, started)
		}, 4},
		"it drains and takes that back": {4 * time.Second, func(table *Table, c Choice) {
			e := c.Endpoint
			e.Draining = true
			table.Register(at(2), e)
			again(table, at(2), c, started)
		}, 4},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("Requests come back a few at a time when it has ended", t, func() {
				table := topology{1, 1, 1, 3}.table()
				choice, _ := table.Choose(epoch, query(1))
				if name == "an answer since" {
					table.Start(epoch, choice)
				}
				table.RecordPause(epoch, choice, c.asked)
				c.then(table, choice)
				if c.from > 2 {
					_, reason := table.Choose(at(c.from-0.01), query(1))
					convey.So(reason, convey.ShouldEqual, ReasonPause)
				}
				now := at(max(2, c.from))
				if c.from < 2 && c.from != 1 {
					convey.So(startAll(table, now), convey.ShouldHaveLength, 10)
					return
				}
				for _, window := range []int{1, 2, 10} {
					started := startAll(table, now)
					convey.So(started, convey.ShouldHaveLength, window)
					convey.So(table.MaySend(now, started[0]), convey.ShouldBeTrue)
					for _, choice := range started {
						table.Finish(now, choice, Result{Verdict: VerdictServed, Took: time.Second})
					}
				}
			})
		})
	}
}

// startAll starts requests until the endpoints accept no more, at most ten.
func startAll(t *Table, now time.Time) (started []Choice) {
	for o := range Object(10) {
		c, reason := t.Choose(now, query(o+1))
		if reason != "" || !t.Start(now, c) {
			break
		}
		started = append(started, c)
	}
	return started
}

func TestRejectionAfterAPausePausesAgain(t *testing.T) {
	convey.Convey("One request at a time is sent until one is not rejected", t, func() {
		table := topology{1, 1, 1, 3}.table()
		c, _ := table.Choose(epoch, query(1))
		table.RecordPause(epoch, c, 3*time.Second)
		for i := range 3 {
			now := at(3 * float64(i+1))
			started := startAll(table, now)
			convey.So(started, convey.ShouldHaveLength, 1)
			table.Finish(now, started[0], Result{Verdict: VerdictShed})
			table.RecordPause(now, started[0], 3*time.Second)
			convey.So(startAll(table, now.Add(2*time.Second)), convey.ShouldBeEmpty)
		}
	})
}

func TestRequestsInPausesOfAll(t *testing.T) {
	convey.Convey("The delay is that of the first pause that ends", t, func() {
		table := topology{1, 1, 4, 3}.table()
		for i, id := range []inventory.EndpointID{"e0-0-0", "e0-0-1", "e0-0-2", "e0-0-3"} {
			table.RecordPause(epoch, Choice{state: table.byID[id]}, time.Duration(3+i)*time.Second)
		}
		_, reason := table.Choose(at(1), query(1))
		convey.So(reason, convey.ShouldEqual, ReasonPause)
		convey.So(table.Excluded(at(1), query(1)).Paused, convey.ShouldEqual, 4)
		end, ok := table.PauseEnd(at(1), query(1))
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(end, convey.ShouldEqual, at(3))
		c, reason := table.Choose(end, query(1))
		convey.So(reason, convey.ShouldEqual, Reason(""))
		convey.So(table.Start(end, c), convey.ShouldBeTrue)
		end, _ = table.PauseEnd(at(3), query(1))
		convey.So(end, convey.ShouldEqual, at(3).Add(minReturn))
	})
}

// TestPausesInAnOverload guards against requests in pauses, and against callers that are served
// worse when requests come back one after the other than all at once.
func TestPausesInAnOverload(t *testing.T) {
	for nodes, asks := range map[int][]time.Duration{10: {time.Second, 3 * time.Second}, 200: {3 * time.Second}} {
		for _, ask := range asks {
			t.Run(fmt.Sprint(nodes, " nodes, pauses of ", ask), func(t *testing.T) {
				convey.Convey("Beside nodes that ignore them, and those where all come back at once", t, func() {
					sim := simulation{
						topology: topology{1, 2, 6, 3}, nodes: nodes, neighbours: min(8, nodes-1), load: 0.5, admission: true, timeout: 4 * time.Second,
						warmup: 20 * time.Second, duration: 45 * time.Second, slowFrom: 25 * time.Second, slowTo: 31 * time.Second, burst: 4,
						pause: ask, returning: true,
					}
					ignore, atOnce, chosen := sim, sim, sim
					ignore.ignorePauses, atOnce.returnAtOnce = true, true
					before, herd, now := ignore.run(1), atOnce.run(1), chosen.run(1)
					t.Logf("%d requests; in time: %d ignored, %d all at once, %d now; in pauses: %d ignored", now.requests, before.inTime, herd.inTime, now.inTime, before.inPauses)
					convey.So(now.inPauses, convey.ShouldEqual, 0)
					convey.So(float64(now.inTime), convey.ShouldBeGreaterThan, float64(herd.inTime)-0.03*float64(herd.requests))
				})
			})
		}
	}
}
