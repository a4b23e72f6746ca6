package endpoint

import (
	"math"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// limitOf returns the limit of the endpoint of a choice in force at a table, nil if there is none.
func limitOf(t *Table, id inventory.EndpointID) *inventory.Rate {
	for _, s := range t.Status(epoch) {
		if s.ID == id {
			return s.Limit
		}
	}
	return nil
}

func rate(r inventory.Rate) *inventory.Rate { return &r }

func TestLimitsOfResponses(t *testing.T) {
	one, two, zero, none := Limit{Rate: 1, Named: true}, Limit{Rate: 2, Named: true}, Limit{Named: true}, Limit{}
	cases := map[string]struct {
		said    []Limit
		restart bool // the endpoint starts again before the last response, which a former process sent
		want    *inventory.Rate
		changes int
	}{
		"none":              {[]Limit{none, none}, false, nil, 0},
		"named":             {[]Limit{one, one}, false, rate(1), 1},
		"raised":            {[]Limit{one, two}, false, rate(2), 2},
		"lowered to zero":   {[]Limit{one, zero}, false, rate(0), 2},
		"withdrawn":         {[]Limit{one, none}, false, nil, 2},
		"named again":       {[]Limit{one, none, two}, false, rate(2), 3},
		"of a past process": {[]Limit{one, two}, true, nil, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The last response of the process that runs counts", t, func() {
				topo := topology{1, 1, 2, 3}
				table := topo.table()
				choice, _ := table.Choose(epoch, query(1))
				changes := 0
				for i, l := range c.said {
					if c.restart && i == len(c.said)-1 {
						again := choice.Endpoint
						again.Start = again.Start.Add(time.Minute)
						table.Register(epoch, again)
					}
					if table.RecordLimit(epoch.Add(time.Duration(i+1)*time.Second), choice, l) {
						changes++
					}
				}
				convey.So(limitOf(table, choice.Endpoint.ID), convey.ShouldResemble, c.want)
				convey.So(changes, convey.ShouldEqual, c.changes)
			})
		})
	}
}

func TestLimitsOfOtherNodes(t *testing.T) {
	report := func(topo topology) LimitReport {
		table := topo.table()
		c, _ := table.Choose(epoch, query(1))
		table.RecordLimit(epoch, c, Limit{Rate: 1, Named: true})
		return table.LimitReport(epoch, c)
	}
	cases := map[string]struct {
		own    *Limit // said by the endpoint three seconds before; nil: nothing
		change func(r *LimitReport)
		want   *inventory.Rate
	}{
		"news":              {nil, func(*LimitReport) {}, rate(1)},
		"newer":             {&Limit{Rate: 5, Named: true}, func(r *LimitReport) { r.Age = 1000 }, rate(1)},
		"older":             {&Limit{Rate: 5, Named: true}, func(r *LimitReport) { r.Age = 4000 }, rate(5)},
		"older than an end": {&Limit{}, func(r *LimitReport) { r.Age = 4000 }, nil},
		"an older end":      {&Limit{Rate: 5, Named: true}, func(r *LimitReport) { r.Age, r.Named = 4000, false }, rate(5)},
		"a newer end":       {&Limit{Rate: 5, Named: true}, func(r *LimitReport) { r.Age, r.Named = 1000, false }, nil},
		"another process":   {nil, func(r *LimitReport) { r.Start++ }, nil},
		"another endpoint":  {nil, func(r *LimitReport) { r.Endpoint++ }, nil},
		"from the future":   {nil, func(r *LimitReport) { r.Age = -1 }, nil},
		"very old":          {nil, func(r *LimitReport) { r.Age = 2 * time.Hour.Milliseconds() }, nil},
		"negative":          {nil, func(r *LimitReport) { r.Rate = -1 }, nil},
		"not a number":      {nil, func(r *LimitReport) { r.Rate = math.NaN() }, nil},
		"infinite":          {nil, func(r *LimitReport) { r.Rate = math.Inf(1) }, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The newest statement of the endpoint counts", t, func() {
				topo := topology{1, 1, 2, 3}
				table := topo.table()
				choice, _ := table.Choose(epoch, query(1))
				if c.own != nil {
					table.RecordLimit(epoch.Add(-10*time.Second), choice, Limit{Rate: 9, Named: true})
					table.RecordLimit(epoch.Add(-3*time.Second), choice, *c.own)
				}
				r := report(topo)
				c.change(&r)
				table.Learn(epoch, Gossip{Limits: []LimitReport{r}})
				convey.So(limitOf(table, choice.Endpoint.ID), convey.ShouldResemble, c.want)
			})
		})
	}
}

func TestLimitsAreTold(t *testing.T) {
	topo := topology{1, 2, 100, 3}
	convey.Convey("Each change reaches nodes that are no neighbours, in bounded messages", t, func() {
		first, second, third := topo.table(), topo.table(), topo.table()
		var toSecond, toThird GossipPosition
		tell := func(from, to *Table, position *GossipPosition) {
			var g Gossip
			g, *position = from.GossipSince(epoch, *position)
			convey.So(len(g.Limits), convey.ShouldBeLessThanOrEqualTo, maxLimitsTold)
			to.Learn(epoch, g)
		}
		limited := map[inventory.EndpointID]bool{}
		for o := range Object(400) {
			if c, _ := first.Choose(epoch, query(o+1)); !c.Limited {
				first.RecordLimit(epoch.Add(-time.Second), c, Limit{Rate: 2, Named: true})
				limited[c.Endpoint.ID] = true
			}
		}
		for range 10 {
			tell(first, second, &toSecond)
			tell(second, third, &toThird)
		}
		convey.So(len(limited), convey.ShouldBeGreaterThan, 2*maxLimitsTold)
		for id := range limited {
			convey.So(limitOf(third, id), convey.ShouldResemble, rate(2))
		}
		g, _ := third.GossipSince(epoch, GossipPosition{})
		convey.So(len(g.Limits), convey.ShouldEqual, maxLimitsTold)
		g, _ = first.GossipSince(epoch, toSecond)
		convey.So(g.Limits, convey.ShouldBeEmpty)
	})
}

func TestLimitsAgeWhilePaused(t *testing.T) {
	convey.Convey("A statement from before a pause does not replace one made meanwhile", t, func() {
		topo := topology{1, 1, 2, 3}
		paused, other := topo.table(), topo.table()
		c, _ := paused.Choose(epoch, query(1))
		paused.RecordLimit(epoch, c, Limit{Rate: 1, Named: true})
		own, _ := other.Choose(epoch, query(1))
		other.RecordLimit(epoch.Add(5*time.Second), own, Limit{Rate: 3, Named: true})
		paused.Paused(20 * time.Second) // not counted by the clock of the paused process
		g, _ := paused.GossipSince(epoch.Add(6*time.Second), GossipPosition{})
		other.Learn(epoch.Add(6*time.Second), g)
		convey.So(limitOf(other, c.Endpoint.ID), convey.ShouldResemble, rate(3))
	})
}

func TestEndpointsWithoutPermitAreNotChosen(t *testing.T) {
	topo := topology{1, 1, 4, 3}
	convey.Convey("What exceeds a limit goes to the same other endpoint", t, func() {
		table := topo.table()
		home, _ := table.Choose(epoch, query(1))
		convey.So(home.Limited, convey.ShouldBeFalse)
		table.RecordLimit(epoch, home, Limit{Rate: 1, Named: true})
		again, _ := table.Choose(epoch, query(1))
		convey.So(again.Endpoint.ID, convey.ShouldEqual, home.Endpoint.ID)
		convey.So(again.Limited, convey.ShouldBeTrue)
		table.Hold(again, epoch.Add(time.Second))
		next, reason := table.Choose(epoch, query(1))
		convey.So(reason, convey.ShouldEqual, Reason(""))
		convey.So(next.Endpoint.ID, convey.ShouldNotEqual, home.Endpoint.ID)
		convey.So(next.Limited, convey.ShouldBeFalse)
		convey.So(next.Warm, convey.ShouldBeTrue)
		q := query(1)
		q.Unlimited = true
		for _, now := range []time.Time{epoch, epoch.Add(2 * time.Second)} {
			other, _ := table.Choose(now, q)
			convey.So(other.Endpoint.ID, convey.ShouldEqual, next.Endpoint.ID)
		}
		back, _ := table.Choose(epoch.Add(time.Second), query(1))
		convey.So(back.Endpoint.ID, convey.ShouldEqual, home.Endpoint.ID)
	})
	convey.Convey("If all endpoints have limits, those are chosen for which there may be a permit", t, func() {
		table := topo.table()
		var held []Choice
		for range 4 {
			c, reason := table.Choose(epoch, query(1))
			convey.So(reason, convey.ShouldEqual, Reason(""))
			table.RecordLimit(epoch, c, Limit{Rate: 2, Named: true})
			table.Hold(c, epoch.Add(time.Duration(5-len(held))*time.Second))
			held = append(held, c)
		}
		_, reason := table.Choose(epoch, query(1))
		convey.So(reason, convey.ShouldEqual, ReasonLimit)
		convey.So(table.Excluded(epoch, query(1)), convey.ShouldResemble, Exclusions{Limited: 4})
		next, ok := table.NextPermit(epoch, query(1))
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(next, convey.ShouldEqual, epoch.Add(2*time.Second))
		convey.So(table.LimitedRate(epoch, query(1)), convey.ShouldEqual, 8)
		c, _ := table.Choose(next, query(1))
		convey.So(c.Endpoint.ID, convey.ShouldEqual, held[3].Endpoint.ID)
	})
}
