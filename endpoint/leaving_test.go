package endpoint

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// at returns a time after the epoch, in seconds.
func at(seconds float64) time.Time { return epoch.Add(toDuration(seconds)) }

func TestWhatShowsThatAnEndpointLeaves(t *testing.T) {
	registered := func(table *Table, now time.Time, c Choice, change func(*inventory.Endpoint)) {
		e := c.Endpoint
		change(&e)
		table.Register(now, e)
	}
	cases := map[string]struct {
		then   func(table *Table, c Choice) // after it said so in a response at 1 s, to a request sent at 0.9 s
		leaves bool
	}{
		"its response":                    {func(*Table, Choice) {}, true},
		"it said ready all along":         {func(table *Table, c Choice) { registered(table, at(2), c, func(*inventory.Endpoint) {}) }, true},
		"an older response comes late":    {func(table *Table, c Choice) { table.RecordLeaving(at(2), at(0.95), c, false) }, true},
		"a later response says otherwise": {func(table *Table, c Choice) { table.RecordLeaving(at(2), at(1.5), c, false) }, false},
		"a later start": {func(table *Table, c Choice) {
			registered(table, at(2), c, func(e *inventory.Endpoint) { e.Start = at(1.5) })
		}, false},
		"a start before, heard of late": {func(table *Table, c Choice) {
			registered(table, at(2), c, func(e *inventory.Endpoint) { e.Start = at(-5) })
		}, true},
		"another address": {func(table *Table, c Choice) {
			registered(table, at(2), c, func(e *inventory.Endpoint) { e.Address = "10.9.9.9:80" })
		}, false},
		"its drain was taken back": {func(table *Table, c Choice) {
			registered(table, at(1.5), c, func(e *inventory.Endpoint) { e.Draining = true })
			registered(table, at(2), c, func(*inventory.Endpoint) {})
		}, false},
		"its drain was taken back a moment ago": {func(table *Table, c Choice) {
			registered(table, at(2), c, func(e *inventory.Endpoint) { e.Draining = true })
			registered(table, at(3), c, func(*inventory.Endpoint) {})
		}, true},
		"an older write of its entry took effect late": {func(table *Table, c Choice) {
			registered(table, at(1.2), c, func(e *inventory.Endpoint) { e.Draining = true })
			registered(table, at(1.5), c, func(*inventory.Endpoint) {})
			registered(table, at(3), c, func(e *inventory.Endpoint) { e.Draining = true })
			registered(table, at(3.5), c, func(*inventory.Endpoint) {})
		}, true},
		"its drain was taken back, and it leaves again": {func(table *Table, c Choice) {
			registered(table, at(1.2), c, func(e *inventory.Endpoint) { e.Draining = true })
			registered(table, at(1.5), c, func(*inventory.Endpoint) {})
			table.RecordLeaving(at(2), at(1.9), c, true)
		}, true},
		"its entry was removed and is back": {func(table *Table, c Choice) {
			table.Removed(at(2), c.Endpoint.ID)
			registered(table, at(3), c, func(*inventory.Endpoint) {})
		}, true},
		"removed and started again": {func(table *Table, c Choice) {
			table.Removed(at(2), c.Endpoint.ID)
			registered(table, at(3), c, func(e *inventory.Endpoint) { e.Start = at(2.5) })
		}, false},
		"removed for long": {func(table *Table, c Choice) {
			table.Removed(at(2), c.Endpoint.ID)
			table.Tick(at(3).Add(formerTime))
			registered(table, at(4).Add(formerTime), c, func(*inventory.Endpoint) {})
		}, false},
		"a neighbour heard an older response": {func(table *Table, c Choice) {
			table.Learn(at(2), Gossip{Leaving: []LeavingReport{{Endpoint: Hash(c.state.hash), Start: c.state.startMillis(), Age: 1500}}})
		}, true},
		"a neighbour heard otherwise since": {func(table *Table, c Choice) {
			table.Learn(at(2), Gossip{Leaving: []LeavingReport{{Endpoint: Hash(c.state.hash), Start: c.state.startMillis(), Age: 500}}})
		}, false},
		"a neighbour heard a former start": {func(table *Table, c Choice) {
			table.Learn(at(2), Gossip{Leaving: []LeavingReport{{Endpoint: Hash(c.state.hash), Start: c.state.startMillis() + 1, Age: 500}}})
		}, true},
		"a neighbour's age is invalid": {func(table *Table, c Choice) {
			table.Learn(at(2), Gossip{Leaving: []LeavingReport{{Endpoint: Hash(c.state.hash), Start: c.state.startMillis(), Age: -500}}})
		}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The latest word of the process that runs counts", t, func() {
				table := topology{1, 1, 2, 3}.table()
				choice, _ := table.Choose(epoch, query(1))
				e := choice.Endpoint
				e.Start = epoch
				table.Register(epoch, e)
				choice, _ = table.Choose(epoch, query(1))
				convey.So(table.RecordLeaving(at(1), at(0.9), choice, true), convey.ShouldBeTrue)
				c.then(table, choice)
				next, _ := table.Choose(at(4), query(1))
				convey.So(next.Endpoint.ID != choice.Endpoint.ID, convey.ShouldEqual, c.leaves)
				convey.So(table.MaySend(at(4), next), convey.ShouldBeTrue)
				if c.leaves {
					convey.So(table.MaySend(at(4), choice), convey.ShouldBeFalse)
					convey.So(table.Start(at(4), choice), convey.ShouldBeFalse)
				}
			})
		})
	}
}

func TestServiceThatLeavesAsAWhole(t *testing.T) {
	convey.Convey("Its endpoints get no requests for a minute; then those still registered as ready do", t, func() {
		table := topology{1, 1, 3, 3}.table()
		for o := range Object(100) {
			c, reason := table.Choose(epoch, query(o+1))
			if reason == "" {
				table.RecordLeaving(at(1), epoch, c, true)
			}
		}
		_, reason := table.Choose(at(50), query(1))
		convey.So(reason, convey.ShouldEqual, ReasonLeaves)
		convey.So(table.Excluded(at(50), query(1)).Leaving, convey.ShouldEqual, 3)
		c, reason := table.Choose(at(62), query(1))
		convey.So(reason, convey.ShouldEqual, Reason(""))
		convey.So(c.LastResort, convey.ShouldBeTrue)
		convey.So(table.Start(at(62), c), convey.ShouldBeTrue)
		convey.Convey("Not while the store is away, whose word contradicts theirs", func() {
			table.StoreLost(at(63))
			_, reason := table.Choose(at(64), query(1))
			convey.So(reason, convey.ShouldEqual, ReasonLeaves)
		})
		convey.Convey("Not if another one is usable", func() {
			e := c.Endpoint
			e.ID, e.Address = "new", "10.9.9.9:80"
			table.Register(at(63), e)
			for o := range Object(100) {
				other, _ := table.Choose(at(64), query(o+1))
				convey.So(other.Endpoint.ID, convey.ShouldEqual, e.ID)
			}
		})
	})
}

func TestKeptStatementsAreBounded(t *testing.T) {
	convey.Convey("The oldest are dropped", t, func() {
		table := topology{1, 1, 1, 3}.table()
		c, _ := table.Choose(epoch, query(1))
		for i := range maxFormer + 10 {
			e := c.Endpoint
			e.ID, e.Start = inventory.EndpointID(fmt.Sprint("former", i)), epoch
			now := epoch.Add(time.Duration(i) * time.Millisecond)
			table.Register(now, e)
			table.RecordLeaving(now, now.Add(-time.Second), Choice{state: table.byID[e.ID]}, true)
			table.Removed(now, e.ID)
		}
		convey.So(len(table.former), convey.ShouldEqual, maxFormer)
	})
}
