package endpoint

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// boundedTable returns the table of a node that has served each of the objects from 1 on.
func boundedTable(topo topology, objects int) *Table {
	t := topo.table()
	t.SetBounds(Bounds{Excess: 1.5, Slack: 5, Shift: 0.15, Recovery: 3 * time.Second})
	for range 5 {
		for o := range objects {
			if c, reason := t.Choose(epoch, query(spread(o))); reason == "" {
				serve(t, epoch, c, 100*time.Millisecond)
			}
		}
	}
	return t
}

func spread(o int) Object { return Object(mix(uint64(o + 1))) }

// served returns the number of objects whose requests run in a region, and of those that are rejected.
func served(t *Table, now time.Time, objects int, r inventory.RegionID) (here, rejected int) {
	for o := range objects {
		switch c, reason := t.Choose(now, query(spread(o))); {
		case reason != "":
			rejected++
		case c.Region == r:
			here++
		}
	}
	return here, rejected
}

// TestLostRegionsAreLeftAtOnce guards against a bound on shifts that keeps requests where nothing serves them.
func TestLostRegionsAreLeftAtOnce(t *testing.T) {
	topo := topology{3, 2, 3, 6}
	all := func(do func(e inventory.Endpoint)) {
		for d := range topo.domains {
			for i := range topo.endpoints {
				do(topo.endpoint(0, d, i))
			}
		}
	}
	cases := map[string]func(table *Table, now time.Time){
		"unreachable": func(table *Table, now time.Time) {
			all(func(e inventory.Endpoint) { table.byID[e.ID].health.recordUnreachable(now) })
		},
		"gone": func(table *Table, now time.Time) {
			all(func(e inventory.Endpoint) { table.Removed(now, e.ID) })
		},
		"draining": func(table *Table, now time.Time) {
			all(func(e inventory.Endpoint) { e.Draining = true; table.Register(now, e) })
		},
		"drained by operators": func(table *Table, now time.Time) {
			table.SetDrained(now, []inventory.DomainID{"d0-0", "d0-1"})
		},
	}
	for name, lose := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("All requests run in other regions at once", t, func() {
				const objects = 300
				table := boundedTable(topo, objects)
				here, _ := served(table, epoch, objects, "r0")
				convey.So(here, convey.ShouldBeGreaterThan, objects/5)
				now := epoch.Add(time.Second)
				lose(table, now)
				here, rejected := served(table, now, objects, "r0")
				convey.So(here, convey.ShouldEqual, 0)
				convey.So(rejected, convey.ShouldEqual, 0)
			})
		})
	}
}

// TestRegionWithoutRoomIsLeftWithinBound guards against all requests of a region running elsewhere as soon as its
// endpoints may get none for a time.
func TestRegionWithoutRoomIsLeftWithinBound(t *testing.T) {
	cases := map[string]func(table *Table, now time.Time, s *endpointState){
		"pauses": func(table *Table, now time.Time, s *endpointState) {
			table.RecordPause(now, Choice{state: s}, time.Minute)
		},
		"limits": func(table *Table, now time.Time, s *endpointState) {
			table.RecordLimit(now, Choice{state: s}, Limit{Rate: 1, Named: true})
			table.Hold(Choice{state: s}, now.Add(time.Minute))
		},
	}
	for name, stop := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("Few requests leave the region, the others are rejected", t, func() {
				topo := topology{3, 2, 3, 6}
				const objects = 300
				table := boundedTable(topo, objects)
				before, _ := served(table, epoch, objects, "r0")
				now := epoch.Add(time.Second)
				for d := range topo.domains {
					for i := range topo.endpoints {
						stop(table, now, table.byID[topo.endpoint(0, d, i).ID])
					}
				}
				here, rejected := served(table, now, objects, "r0")
				convey.So(here, convey.ShouldEqual, 0)
				convey.So(rejected, convey.ShouldBeBetween, before-objects/20, before+1)
			})
		})
	}
}

// TestNodesThatStartTakeOverTheLocality guards against callers of a node that starts being served in
// other regions than those of its neighbours.
func TestNodesThatStartTakeOverTheLocality(t *testing.T) {
	cases := map[string]struct {
		told LocalityReport
		want float64
	}{
		"neighbour of the region": {LocalityReport{Region: "r0", Route: "r", Part: 0.75}, 0.75},
		"node of another region":  {LocalityReport{Region: "r1", Route: "r", Part: 0.75}, 0},
		"more than all":           {LocalityReport{Region: "r0", Route: "r", Part: 1.5}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The part of the route", t, func() {
				table := topology{3, 1, 2, 3}.table()
				table.SetLocalDomain(LocalDomain{Domain: "d0-0", Share: 1, RegionShare: 1})
				table.Learn(epoch, Gossip{Localities: []LocalityReport{c.told}})
				convey.So(table.locality(epoch, "r").region.part, convey.ShouldEqual, c.want)
			})
		})
	}
}

// TestObjectsWithoutARegionGetOneAtOnce guards against objects that were first requested while no endpoint could
// serve them having no region for long.
func TestObjectsWithoutARegionGetOneAtOnce(t *testing.T) {
	convey.Convey("All requests run in the region that ranks first once there is one", t, func() {
		topo := topology{3, 2, 3, 6}
		const objects = 300
		table := topo.table()
		table.SetBounds(Bounds{Excess: 1.5, Slack: 5, Shift: 0.15})
		homes := []inventory.RegionID{"r0", "r1"}
		table.SetDrained(epoch, []inventory.DomainID{"d0-0", "d0-1", "d1-0", "d1-1"})
		for o := range objects {
			q := query(spread(o))
			q.Homes = homes
			_, reason := table.Choose(epoch, q)
			convey.So(reason, convey.ShouldEqual, ReasonNone)
		}
		table.SetDrained(epoch, nil)
		now := epoch.Add(time.Minute) // they are warm
		table.Tick(now)
		for o := range objects {
			q := query(spread(o))
			q.Homes = homes
			c, reason := table.Choose(now, q)
			convey.So(reason, convey.ShouldEqual, Reason(""))
			convey.So(c.Moved, convey.ShouldNotEqual, MoveHeld)
		}
	})
}

// TestSlotsThatChangeChangeTheRanking guards against objects that stay where they ranked first before the slots or the
// failure domain of an endpoint changed, while nodes that start place them elsewhere.
func TestSlotsThatChangeChangeTheRanking(t *testing.T) {
	topo := topology{3, 2, 3, 6}
	changes := map[string]func(e *inventory.Endpoint){
		"slots":          func(e *inventory.Endpoint) { e.Slots *= 10 },
		"failure domain": func(e *inventory.Endpoint) { e.Domain = "d1-0" },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			convey.Convey("A node that has served the objects places them as one that starts", t, func() {
				const objects = 300
				table, fresh := topo.table(), topo.table()
				for o := range objects {
					table.Choose(epoch, query(spread(o)))
				}
				for i := range topo.endpoints {
					e := topo.endpoint(0, 0, i)
					change(&e)
					table.Register(epoch, e)
					fresh.Register(epoch, e)
				}
				for o := range objects {
					c, _ := table.Choose(epoch, query(spread(o)))
					want, _ := fresh.Choose(epoch, query(spread(o)))
					convey.So(c.Region, convey.ShouldEqual, want.Region)
				}
			})
		})
	}
}

// TestColdServiceIsUsedInAllRegions guards against requests that are rejected since the cold endpoints of their region
// get no more, while others could serve them: cold endpoints are ranked only if all of their service are cold.
func TestColdServiceIsUsedInAllRegions(t *testing.T) {
	convey.Convey("Requests for one object use the rate bound of all endpoints", t, func() {
		topo := topology{3, 2, 3, 6}
		table := topo.table()
		table.SetBounds(Bounds{Excess: 1.5, Slack: 5, Shift: 0.15})
		table.SetServices([]inventory.Service{{ID: query(0).Service, ColdRate: 6}})
		table.SetColdSenders(ColdSenders{Self: "n", Entries: []inventory.EntryID{"n"}})
		for _, s := range table.byID {
			s.warmup.extend(epoch, time.Minute)
		}
		byRegion := map[inventory.RegionID]int{}
		for range 100 {
			if c, reason := table.Choose(epoch, query(7)); reason == "" {
				table.Start(epoch, c)
				byRegion[c.Region]++
			}
		}
		bound := (6*3 + 5*2) / 2 / (sendersPerEndpoint * senderSets) // 6 a second, 1.5 times and 5 more
		for _, r := range []inventory.RegionID{"r0", "r1", "r2"} {
			convey.So(byRegion[r], convey.ShouldEqual, topo.domains*topo.endpoints*bound)
		}
	})
}
