package endpoint

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

var epoch = time.Unix(1_700_000_000, 0)

// topology describes a deployment for tests of the choice.
type topology struct {
	regions, domains, endpoints, slots int // domains per region, endpoints per domain
}

func (topo topology) table() *Table {
	regions := Regions{}
	for r := range topo.regions {
		for d := range topo.domains {
			regions[inventory.DomainID(fmt.Sprintf("d%d-%d", r, d))] = inventory.RegionID(fmt.Sprintf("r%d", r))
		}
	}
	t := New(regions, Bounds{Excess: 1.5, Slack: 5, Grace: 2 * time.Second})
	t.SetServices([]inventory.Service{{ID: "s", ColdRate: 8, Warmup: inventory.Duration{Duration: 3 * time.Second}}})
	for r := range topo.regions {
		for d := range topo.domains {
			for i := range topo.endpoints {
				t.Register(epoch, topo.endpoint(r, d, i))
			}
		}
	}
	return t
}

func (topo topology) endpoint(region, domain, number int) inventory.Endpoint {
	return inventory.Endpoint{
		ID:      inventory.EndpointID(fmt.Sprintf("e%d-%d-%d", region, domain, number)),
		Service: "s",
		Domain:  inventory.DomainID(fmt.Sprintf("d%d-%d", region, domain)),
		Address: fmt.Sprintf("10.%d.%d.%d:80", region, domain, number+1),
		Slots:   topo.slots,
		Start:   epoch.Add(-time.Hour),
	}
}

func query(o Object) Query {
	return Query{Service: "s", Route: "r", Object: o, Objective: 400 * time.Millisecond}
}

// serve lets the endpoint of a choice serve a request in the given time.
func serve(t *Table, now time.Time, c Choice, took time.Duration) {
	t.Start(now, c)
	t.Finish(now.Add(took), c, Result{Verdict: VerdictServed, Took: took})
}

func TestObjectAffinity(t *testing.T) {
	topologies := map[string]topology{
		"one endpoint":          {1, 1, 1, 3},
		"one region":            {1, 2, 4, 3},
		"three regions":         {3, 2, 3, 6},
		"one slot":              {2, 2, 4, 1},
		"one domain per region": {3, 1, 5, 4},
	}
	for name, topo := range topologies {
		t.Run(name, func(t *testing.T) {
			convey.Convey("All nodes choose the same endpoint for an object while it has free slots", t, func() {
				first, second := topo.table(), topo.table()
				for o := Object(1); o <= 50; o++ {
					a, reason := first.Choose(epoch, query(o))
					convey.So(reason, convey.ShouldEqual, Reason(""))
					b, _ := second.Choose(epoch, query(o))
					convey.So(a.Endpoint.ID, convey.ShouldEqual, b.Endpoint.ID)
					convey.So(a.Rank, convey.ShouldEqual, 0)
					serve(first, epoch, a, 200*time.Millisecond)
				}
			})
		})
	}
}

func TestObjectsWeightedBySlots(t *testing.T) {
	convey.Convey("An endpoint with three times the slots is chosen for about three times the objects", t, func() {
		table := topology{1, 1, 8, 2}.table()
		big := topology{1, 1, 1, 6}.endpoint(0, 0, 0)
		table.Register(epoch, big)
		count := map[inventory.EndpointID]int{}
		for o := Object(1); o <= 4000; o++ {
			c, _ := table.Choose(epoch, query(Object(mix(uint64(o)))))
			count[c.Endpoint.ID]++
		}
		convey.So(count[big.ID], convey.ShouldBeBetween, 1050, 1350) // 6 of 20 slots
	})
}

func TestBusyEndpointOverflow(t *testing.T) {
	cases := map[string]struct {
		busy int // requests at the object's primary endpoint
		rank int
	}{
		"free":           {0, 0},
		"full":           {3, 0},  // the wait is shorter than a cold run
		"a long queue":   {6, 0},  // about as long as a cold run
		"a longer queue": {30, 1}, // far longer
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The rank of the choice", t, func() {
				table := topology{1, 1, 4, 3}.table()
				train(table, 200*time.Millisecond, 650*time.Millisecond)
				first, _ := table.Choose(epoch, query(7))
				table.Start(epoch, first)
				table.Finish(epoch, first, Result{Verdict: VerdictServed, Took: 200 * time.Millisecond, Running: min(c.busy, 3), Waiting: max(0, c.busy-3), Slots: 3})
				next, _ := table.Choose(epoch, query(7))
				convey.So(next.Rank, convey.ShouldEqual, c.rank)
			})
		})
	}
}

// train provides samples of warm and cold service times.
func train(t *Table, warm, cold time.Duration) {
	for i := range 40 {
		o := Object(1000 + i)
		c, _ := t.Choose(epoch, query(o))
		serve(t, epoch, c, warm)
		second, _ := t.Choose(epoch, Query{Service: "s", Route: "r", Object: o, Objective: 400 * time.Millisecond, Tried: []inventory.EndpointID{c.Endpoint.ID}})
		second.Warm = false
		serve(t, epoch, second, cold)
	}
}

func TestSlowEndpointAvoided(t *testing.T) {
	convey.Convey("After a few slow answers, its objects move", t, func() {
		table := topology{1, 1, 6, 3}.table()
		train(table, 200*time.Millisecond, 650*time.Millisecond)
		first, _ := table.Choose(epoch, query(7))
		now, movedAfter := epoch, -1
		for i := range 20 {
			now = now.Add(time.Second)
			c, _ := table.Choose(now, query(7))
			if c.Endpoint.ID != first.Endpoint.ID {
				movedAfter = i
				break
			}
			serve(table, now, c, 2*time.Second)
		}
		convey.So(movedAfter, convey.ShouldBeBetween, 0, 8)
	})
}

func TestExclusionReasons(t *testing.T) {
	cases := map[string]struct {
		change func(t *Table, e inventory.Endpoint)
		want   Reason
	}{
		"nothing":        {func(*Table, inventory.Endpoint) {}, ""},
		"draining":       {func(t *Table, e inventory.Endpoint) { e.Draining = true; t.Register(epoch, e) }, ReasonNone},
		"domain drained": {func(t *Table, e inventory.Endpoint) { t.SetDrained(epoch, []inventory.DomainID{e.Domain}) }, ReasonNone},
		"gone":           {func(t *Table, e inventory.Endpoint) { t.Removed(epoch, e.ID) }, ReasonNone},
		"replaced":       {func(t *Table, _ inventory.Endpoint) { finish(t, VerdictReplaced) }, ReasonNone},
		"unreached":      {func(t *Table, _ inventory.Endpoint) { finish(t, VerdictUnreachable) }, ReasonBackoff},
		"failed once":    {func(t *Table, _ inventory.Endpoint) { finish(t, VerdictFailed) }, ""},
		"cold, not a sender": {func(t *Table, e inventory.Endpoint) {
			e.Start = epoch
			e.ColdRemaining = time.Second
			t.Register(epoch, e)
		}, ReasonCold},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The reason why the only endpoint is excluded", t, func() {
				table := topology{1, 1, 1, 3}.table()
				c.change(table, topology{1, 1, 1, 3}.endpoint(0, 0, 0))
				_, reason := table.Choose(epoch, query(7))
				convey.So(reason, convey.ShouldEqual, c.want)
			})
		})
	}
	convey.Convey("Home regions and tried endpoints", t, func() {
		table := topology{2, 1, 1, 3}.table()
		q := query(7)
		q.Homes = []inventory.RegionID{"r1"}
		c, _ := table.Choose(epoch, q)
		convey.So(c.Region, convey.ShouldEqual, inventory.RegionID("r1"))
		q.Tried = []inventory.EndpointID{c.Endpoint.ID}
		_, reason := table.Choose(epoch, q)
		convey.So(reason, convey.ShouldEqual, ReasonTried)
	})
}

// finish sends a request that ends with a verdict.
func finish(t *Table, v Verdict) {
	c, _ := t.Choose(epoch, query(7))
	t.Start(epoch, c)
	t.Finish(epoch, c, Result{Verdict: v, Took: time.Millisecond})
}

func TestUnreachableEndpointBackoff(t *testing.T) {
	convey.Convey("The backoff doubles, and the endpoint is then cold", t, func() {
		table := topology{1, 1, 1, 3}.table()
		now := epoch
		var backoffs []time.Duration
		for range 5 {
			c, reason := table.Choose(now, query(7))
			convey.So(reason, convey.ShouldEqual, Reason(""))
			table.Start(now, c)
			table.Finish(now, c, Result{Verdict: VerdictUnreachable})
			start := now
			for reason = ReasonBackoff; reason != ""; {
				now = now.Add(50 * time.Millisecond)
				_, reason = table.Choose(now, query(7))
			}
			backoffs = append(backoffs, now.Sub(start))
		}
		convey.So(backoffs, convey.ShouldResemble, []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 4 * time.Second})
		c, _ := table.Choose(now, query(7))
		serve(table, now, c, time.Millisecond)
		convey.So(table.Status(now)[0].Cold, convey.ShouldBeTrue)
	})
}

func TestStartRejectsDraining(t *testing.T) {
	convey.Convey("An endpoint that starts to drain after the choice", t, func() {
		table := topology{1, 1, 1, 3}.table()
		c, _ := table.Choose(epoch, query(7))
		e := c.Endpoint
		e.Draining = true
		table.Register(epoch, e)
		convey.So(table.Start(epoch, c), convey.ShouldBeFalse)
	})
}

func TestOldLoadReportsDoNotCount(t *testing.T) {
	cases := map[string]struct {
		pause  time.Duration // between a report of ten requests and the next one
		total  int           // requests in the next report
		lowest float64
		most   float64
	}{
		"none much later":    {pause: time.Minute, total: 0, most: 0.1},
		"some much later":    {pause: time.Minute, total: 4, lowest: 1.9, most: 2.1},
		"none soon after":    {pause: time.Millisecond, total: 0, lowest: 4.9, most: 5.1},
		"as many soon after": {pause: time.Millisecond, total: 10, lowest: 9.9, most: 10.1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The estimate starts from what is left of the last one", t, func() {
				var l load
				l.recordReport(epoch, 10, 0)
				now := epoch.Add(c.pause)
				l.recordReport(now, c.total, 0)
				convey.So(l.decayed(now), convey.ShouldBeBetweenOrEqual, c.lowest, c.most)
			})
		})
	}
}
