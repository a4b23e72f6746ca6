package endpoint

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// TestColdEndpointRateBound guards against nodes that together exceed the rate bound of a
// cold endpoint because they have different lists of nodes. Each node sends as many
// requests as it is allowed.
func TestColdEndpointRateBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		count := rapid.IntRange(1, 40).Draw(rt, "nodes")
		var all []inventory.EntryID
		for i := range count {
			all = append(all, inventory.EntryID(fmt.Sprintf("n%d", i)))
		}
		older := all[:rapid.IntRange(0, count).Draw(rt, "older list")]
		nodes := make([]*Table, count)
		start := func(i int) {
			nodes[i] = topology{1, 1, 1, 6}.table()
			e := topology{1, 1, 1, 6}.endpoint(0, 0, 0)
			e.Start, e.ColdRemaining = epoch, time.Hour
			nodes[i].Register(epoch, e)
			list := all
			if rapid.Bool().Draw(rt, "knows the older list") {
				list = older
			}
			nodes[i].SetColdSenders(ColdSenders{Self: all[i], Entries: list})
		}
		for i := range nodes {
			start(i)
		}
		var sent []time.Time
		now := epoch
		for range 30 {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(rt, "pause")) * time.Millisecond)
			for _, n := range nodes {
				for range 6 {
					c, reason := n.Choose(now, query(7))
					if reason == "" && n.Start(now, c) {
						sent = append(sent, now)
						n.Finish(now, c, Result{Verdict: VerdictServed, Took: time.Millisecond})
					}
				}
			}
			within := 0
			for _, at := range sent {
				if now.Sub(at) < time.Second {
					within++
				}
			}
			if within > 17 { // 8 a second times 1.5, plus 5
				rt.Fatalf("%d requests in a second", within)
			}
		}
	})
}

func TestColdEndpointSenders(t *testing.T) {
	convey.Convey("Two nodes may send to a cold endpoint, and all nodes once it is warm", t, func() {
		all := []inventory.EntryID{"a", "b", "c", "d"}
		senders := 0
		for _, self := range all {
			table := topology{1, 1, 1, 6}.table()
			e := topology{1, 1, 1, 6}.endpoint(0, 0, 0)
			e.Start, e.ColdRemaining = epoch, 2*time.Second
			table.Register(epoch, e)
			table.SetColdSenders(ColdSenders{Self: self, Entries: all})
			if _, reason := table.Choose(epoch, query(7)); reason == "" {
				senders++
			}
			_, reason := table.Choose(epoch.Add(3*time.Second), query(7))
			convey.So(reason, convey.ShouldEqual, Reason(""))
		}
		convey.So(senders, convey.ShouldEqual, 2)
	})
}

func TestUndrainedDomainIsCold(t *testing.T) {
	convey.Convey("After a drain, the endpoints are treated as cold", t, func() {
		table := topology{1, 2, 1, 6}.table()
		table.SetDrained(epoch, []inventory.DomainID{"d0-1"})
		undrained := table.SetDrained(epoch, nil)
		convey.So(undrained, convey.ShouldResemble, []inventory.DomainID{"d0-1"})
		for _, s := range table.Status(epoch) {
			convey.So(s.Cold, convey.ShouldEqual, s.Domain == "d0-1")
		}
	})
}

// TestEndpointsOfUndrainedDomainStayCold guards against endpoints of a failure domain whose drain has just
// ended that count as warm, since they register later, or at a node that starts later.
func TestEndpointsOfUndrainedDomainStayCold(t *testing.T) {
	const domain = "d0-1"
	topo := topology{1, 2, 1, 6}
	drain := func(table *Table, from, to time.Time) {
		table.SetDrained(from, []inventory.DomainID{domain})
		table.SetDrained(to, nil)
	}
	cases := map[string]struct {
		table func() *Table
		at    time.Time
		cold  bool
	}{
		"registered again after the drain": {cold: true, at: at(1), table: func() *Table {
			table := topo.table()
			table.SetDrained(at(-5), []inventory.DomainID{domain})
			table.Removed(at(-1), topo.endpoint(0, 1, 0).ID)
			table.SetDrained(at(0), nil)
			table.Register(at(1), topo.endpoint(0, 1, 0))
			return table
		}},
		"registered long after the drain": {at: at(60), table: func() *Table {
			table := topo.table()
			table.Removed(at(-1), topo.endpoint(0, 1, 0).ID)
			drain(table, at(-5), at(0))
			table.Register(at(60), topo.endpoint(0, 1, 0))
			return table
		}},
		"the node started after the drain": {cold: true, at: at(1), table: func() *Table {
			other := topo.table()
			drain(other, at(-5), at(0))
			table := topo.table()
			told, _ := other.GossipSince(at(1), GossipPosition{})
			table.Learn(at(1), told)
			return table
		}},
		"it heard of the drain from a node that started, too": {cold: true, at: at(1.5), table: func() *Table {
			others := []*Table{topo.table(), topo.table(), topo.table()}
			drain(others[0], at(-5), at(0))
			for i := range 2 {
				told, _ := others[i].GossipSince(at(1), GossipPosition{})
				others[i+1].Learn(at(1), told)
			}
			return others[2]
		}},
		"it has heard of the drain for long": {at: at(30), table: func() *Table {
			other := topo.table()
			drain(other, at(-5), at(0))
			table := topo.table()
			for i := range 30 {
				told, _ := other.GossipSince(at(float64(i)), GossipPosition{})
				table.Learn(at(float64(i)), told)
			}
			return table
		}},
		"an age from the future": {at: at(1), table: func() *Table {
			table := topo.table()
			table.Learn(at(1), Gossip{Undrained: []UndrainReport{{Domain: domain, Age: -100_000}}})
			return table
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("Only the endpoints of the domain, while they may be cold", t, func() {
				for _, s := range c.table().Status(c.at) {
					convey.So(s.Cold, convey.ShouldEqual, c.cold && s.Domain == domain)
				}
			})
		})
	}
}

func TestRestartWithSameIDIsCold(t *testing.T) {
	convey.Convey("The state from before the restart is discarded", t, func() {
		table := topology{1, 1, 1, 6}.table()
		c, _ := table.Choose(epoch, query(7))
		table.Start(epoch, c)
		e := c.Endpoint
		e.Start, e.ColdRemaining = epoch, 3*time.Second
		convey.So(table.Register(epoch, e), convey.ShouldBeTrue)
		s := table.Status(epoch)[0]
		convey.So(s.Cold, convey.ShouldBeTrue)
		convey.So(s.InFlight, convey.ShouldEqual, 0)
		table.Finish(epoch, c, Result{Verdict: VerdictFailed}) // from the previous process
		convey.So(table.Status(epoch)[0].InFlight, convey.ShouldEqual, 0)
	})
}

func TestStartedEndpointHasNoObjectsCached(t *testing.T) {
	const warm, cold = 200 * time.Millisecond, 640 * time.Millisecond
	cases := map[string]struct {
		after    time.Duration // after the endpoint registered
		returned bool          // an endpoint that had served the objects before
		moved    bool
	}{
		"just started":               {},
		"near the end of its warmup": {after: 2900 * time.Millisecond},
		"after its warmup":           {after: 3400 * time.Millisecond, moved: true},
		"served the object before":   {returned: true, moved: true},
	}
	topo := topology{1, 2, 3, 3}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("Its objects stay where they were served until it has warmed up", t, func() {
				table, now, moved := topo.table(), epoch, 0
				added := inventory.Endpoint{ID: "new", Service: "s", Domain: "d0-0", Address: "10.9.9.9:80", Slots: 3, Start: epoch}
				previous := map[Object]inventory.EndpointID{}
				if c.returned {
					table.Register(now, added)
				}
				for o := Object(1); o <= 100; o++ {
					for _, took := range []time.Duration{cold, warm} {
						choice, _ := table.Choose(now, query(o))
						serve(table, now, choice, took)
						previous[o] = choice.Endpoint.ID
						now = now.Add(time.Second)
					}
				}
				added.ColdRemaining = 3 * time.Second
				table.Register(now, added)
				table.SetColdSenders(ColdSenders{Self: "n", Entries: []inventory.EntryID{"n"}})
				now = now.Add(c.after)
				for o := Object(1); o <= 100; o++ {
					choice, _ := table.Choose(now, query(o))
					if choice.Endpoint.ID == "new" {
						moved++
						continue
					}
					convey.So(choice.Endpoint.ID, convey.ShouldEqual, previous[o])
				}
				convey.So(moved > 0, convey.ShouldEqual, c.moved)
			})
		})
	}
}
