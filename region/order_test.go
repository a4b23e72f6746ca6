package region

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/examples"
	"github.com/wasabiwheel/wasabiwheel/inventory"
)

var orderStart = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// ready returns a table of a process that has run long enough for its floors.
func ready(t *testing.T, text []byte, self inventory.EntryID) (*Table, time.Time) {
	inv, err := inventory.Parse("test", text)
	if err != nil {
		t.Fatal(err)
	}
	table := New(self, rand.New(rand.NewPCG(1, 1)))
	table.SetInventory(orderStart, inv)
	return table, orderStart.Add(HoldTime)
}

func place(entry, domain, region string, free, queue int) Place {
	return Place{Entry: inventory.EntryID(entry), Domain: inventory.DomainID(domain), Region: inventory.RegionID(region), Free: free, Slots: 8, Queue: queue, At: orderStart}
}

func TestOrderOfPlaces(t *testing.T) {
	own := func(free, queue int) Place { return place("lumbre-1", "norte-a", "norte", free, queue) }
	near := func(free, queue int) Place { return place("lumbre-2", "norte-b", "norte", free, queue) }
	far := func(free int) Place { return place("lumbre-4", "centro-a", "centro", free, 0) }
	cases := map[string]struct {
		weigh  inventory.Weigh
		places []Place
		want   string
	}{
		"own failure domain first":            {inventory.WeighLatency, []Place{far(8), near(8, 0), own(1, 0)}, "[lumbre-1 lumbre-2 lumbre-4]"},
		"own region before another":           {inventory.WeighLatency, []Place{far(8), near(1, 0), own(0, 20)}, "[lumbre-2 lumbre-4 lumbre-1]"},
		"a short wait before a spill":         {inventory.WeighLatency, []Place{far(8), own(0, 2)}, "[lumbre-1 lumbre-4]"},
		"a spill before a long wait":          {inventory.WeighLatency, []Place{far(8), own(0, 20)}, "[lumbre-4 lumbre-1]"},
		"room kept in the other region":       {inventory.WeighLatency, []Place{far(1), own(0, 20)}, "[lumbre-1]"},
		"more room kept for headroom":         {inventory.WeighHeadroom, []Place{far(2), own(0, 20)}, "[lumbre-1]"},
		"headroom balances the own region":    {inventory.WeighHeadroom, []Place{far(8), own(1, 0), near(7, 0)}, "[lumbre-2 lumbre-1 lumbre-4] or [lumbre-1 lumbre-2 lumbre-4]"},
		"headroom waits before it spills":     {inventory.WeighHeadroom, []Place{far(8), own(0, 7)}, "[lumbre-1 lumbre-4]"},
		"nowhere to go when a region is lost": {inventory.WeighLatency, []Place{far(1)}, "[]"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey(name, t, func() {
				table, now := ready(t, examples.Lumbre, "lumbre-1")
				table.inv.Rules.Weigh = c.weigh
				q := Question{Service: "catalogue", Home: "norte", Origin: "norte-a"}
				got, refusal := table.Order(now, q, c.places)
				convey.So(strings.Split(c.want, " or "), convey.ShouldContain, entries(got))
				convey.So(refusal != nil, convey.ShouldEqual, len(got) == 0)
			})
		})
	}
}

func entries(places []Place) string {
	ids := []inventory.EntryID{}
	for _, p := range places {
		ids = append(ids, p.Entry)
	}
	return fmt.Sprint(ids)
}

func TestEqualPlacesAreNotHerded(t *testing.T) {
	convey.Convey("Given one report of four equal places and 28 requests before the next", t, func() {
		table, now := ready(t, examples.Lumbre, "lumbre-4")
		var places []Place
		for i := range 4 {
			places = append(places, place(fmt.Sprint("x-", i), "centro-b", "centro", 8, 0))
		}
		sent := map[inventory.EntryID]int{}
		for range 28 {
			got, _ := table.Order(now, Question{Service: "catalogue", Home: "centro", Origin: "centro-a"}, places)
			table.Sent("catalogue", got[0])
			sent[got[0].Entry]++
		}
		convey.Convey("No place gets more than it reported free", func() {
			convey.So(sent, convey.ShouldHaveLength, 4)
			for _, n := range sent {
				convey.So(n, convey.ShouldBeLessThanOrEqualTo, 8)
			}
		})
	})
}

func TestLinkIsCountedInBothDirections(t *testing.T) {
	convey.Convey("Given a link of 280 Mbit/s, 35 MB/s, of which a node's floor is a sixth of half", t, func() {
		table, now := ready(t, examples.Lumbre, "lumbre-1")
		floor := int64(35_000_000 / 2 / 6)
		move := Move{Service: "unbounded", From: "norte", To: "centro", Bytes: 1000}
		convey.Convey("Requests fill their direction", func() {
			move.Bytes = floor / 4
			convey.So(passages(table, now, move, 0), convey.ShouldEqual, 4)
			_, r := table.Take(now, move)
			convey.So(r.Reason, convey.ShouldEqual, ReasonLink)
		})
		convey.Convey("Answers fill the other, as soon as their size is known", func() {
			convey.So(passages(table, now, move, floor/4), convey.ShouldEqual, 4)
			_, r := table.Take(now, move)
			convey.So(r.Reason, convey.ShouldEqual, ReasonLink)
			convey.So(r.After, convey.ShouldBeBetweenOrEqual, time.Second, 2*time.Second)
		})
		convey.Convey("Answers that are expected count before they come", func() {
			passages(table, now, move, floor/4)
			now = now.Add(2 * time.Second)
			table.Tick(now)
			taken := 0
			for range 100 {
				if _, r := table.Take(now, move); r == nil {
					taken++
				}
			}
			convey.So(taken, convey.ShouldBeBetween, 4, 20)
		})
	})
}

// passages counts the moves that fit, each with an answer of a size.
func passages(table *Table, now time.Time, m Move, answer int64) int {
	for n := 0; ; n++ {
		p, r := table.Take(now, m)
		if r != nil {
			return n
		}
		table.Done(now, p, Result{Bytes: answer, Took: time.Millisecond})
	}
}

func TestGrantOfAnEarlierEpochIsRefused(t *testing.T) {
	convey.Convey("Given a node that has heard of epoch 7", t, func() {
		table, now := ready(t, examples.Lumbre, "lumbre-1")
		id := inventory.BudgetID{Service: "catalogue", From: "norte", To: "centro"}
		move := Move{Service: "catalogue", From: "norte", To: "centro"}
		floor := passages(table, now, move, 0)
		convey.So(table.Grant(now, time.Second, 6, []Grant{{ID: id, Amount: 10}}), convey.ShouldBeNil)
		table.HeardEpoch(7)
		convey.Convey("What epoch 6 granted has ended, and it grants nothing more", func() {
			convey.So(table.Grant(now, time.Second, 6, []Grant{{ID: id, Amount: 10}}), convey.ShouldNotBeNil)
			convey.So(passages(table, now, move, 0), convey.ShouldEqual, 0)
			convey.So(floor, convey.ShouldBeBetweenOrEqual, 16, 17)
		})
		convey.Convey("What epoch 7 grants counts beyond the floor, for its time", func() {
			convey.So(table.Grant(now, time.Second, 7, []Grant{{ID: id, Amount: 10}}), convey.ShouldBeNil)
			convey.So(passages(table, now, move, 0), convey.ShouldEqual, 10)
			convey.So(passages(table, now.Add(1100*time.Millisecond), move, 0), convey.ShouldEqual, floor)
		})
	})
}
