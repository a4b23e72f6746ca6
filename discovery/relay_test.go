package discovery_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/discovery"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/platform"
)

var epoch = time.Unix(1_700_000_000, 0)

// domain returns the processes of a failure domain in the reader order: the index of
// each is the number of its predecessors.
func domain(count int) []discovery.Peer {
	var all []discovery.Peer
	for i := range count {
		all = append(all, discovery.Peer{ID: inventory.EntryID(fmt.Sprint("n", i)), Domain: "a"})
	}
	sorted := make([]discovery.Peer, count)
	for _, p := range all {
		r := discovery.NewRelay(p)
		r.SetPeers(all)
		sorted[len(r.Predecessors())] = p
	}
	return sorted
}

func at(newest platform.Revision) []discovery.Position {
	return []discovery.Position{{Kind: things, At: newest, Newest: newest}}
}

func TestPlan(t *testing.T) {
	order := domain(4)
	cases := map[string]struct {
		self        int
		unreachable bool // the process does not reach the store
		receive     func(r *discovery.Relay)
		after       time.Duration
		want        discovery.Plan
	}{
		"first in the order": {0, false, func(*discovery.Relay) {}, 0, discovery.Plan{Reads: true}},
		"no heartbeats":      {2, false, func(*discovery.Relay) {}, 0, discovery.Plan{Reads: true}},
		"first reads":        {2, false, func(r *discovery.Relay) { r.RecordHeartbeat(epoch, order[0].ID, discovery.HopsReader, at(5)) }, 0, discovery.Plan{Upstream: order[0].ID}},
		"first is delayed":   {2, false, func(r *discovery.Relay) { r.RecordHeartbeat(epoch, order[0].ID, discovery.HopsReader, at(5)) }, 500 * time.Millisecond, discovery.Plan{Upstream: order[0].ID}},
		"first times out":    {2, false, func(r *discovery.Relay) { r.RecordHeartbeat(epoch, order[0].ID, discovery.HopsReader, at(5)) }, 700 * time.Millisecond, discovery.Plan{Reads: true}},
		"first has ended": {2, false, func(r *discovery.Relay) {
			r.RecordHeartbeat(epoch, order[0].ID, discovery.HopsReader, at(5))
			r.RemovePeer(order[0].ID)
		}, 0, discovery.Plan{Reads: true}},
		"own process was paused": {2, false, func(r *discovery.Relay) {
			r.RecordHeartbeat(epoch, order[0].ID, discovery.HopsReader, at(5))
			r.DiscardHeartbeats()
		}, 0, discovery.Plan{Reads: true}},
		"first is not up to date": {2, false, func(r *discovery.Relay) { r.RecordHeartbeat(epoch, order[0].ID, discovery.HopsNone, at(5)) }, 0, discovery.Plan{Reads: true}},
		"second reads": {2, false, func(r *discovery.Relay) {
			r.RecordHeartbeat(epoch, order[0].ID, discovery.HopsNone, at(5))
			r.RecordHeartbeat(epoch, order[1].ID, discovery.HopsReader, at(5))
		}, 0, discovery.Plan{Upstream: order[1].ID}},
		"a successor reads":                     {2, false, func(r *discovery.Relay) { r.RecordHeartbeat(epoch, order[3].ID, discovery.HopsReader, at(5)) }, 0, discovery.Plan{Reads: true}},
		"one of another domain reads":           {2, false, func(r *discovery.Relay) { r.RecordHeartbeat(epoch, "other", discovery.HopsReader, at(5)) }, 0, discovery.Plan{Reads: true}},
		"unreachable, no heartbeats":            {0, true, func(*discovery.Relay) {}, 0, discovery.Plan{Reads: true}},
		"unreachable, a successor reads":        {0, true, func(r *discovery.Relay) { r.RecordHeartbeat(epoch, order[2].ID, discovery.HopsReader, at(5)) }, 0, discovery.Plan{Upstream: order[2].ID, Reads: true}},
		"unreachable, successor not up to date": {0, true, func(r *discovery.Relay) { r.RecordHeartbeat(epoch, order[2].ID, discovery.HopsNone, at(5)) }, 0, discovery.Plan{Reads: true}},
		"unreachable, one without it is ahead":  {0, true, func(r *discovery.Relay) { r.RecordHeartbeat(epoch, order[2].ID, discovery.HopsNone, at(6)) }, 0, discovery.Plan{Reads: true, Ahead: order[2].ID}},
		"unreachable, one ahead has timed out":  {0, true, func(r *discovery.Relay) { r.RecordHeartbeat(epoch, order[2].ID, discovery.HopsNone, at(6)) }, 1100 * time.Millisecond, discovery.Plan{Reads: true}},
		"unreachable, one ahead and one that reads": {0, true, func(r *discovery.Relay) {
			r.RecordHeartbeat(epoch, order[2].ID, discovery.HopsNone, at(6))
			r.RecordHeartbeat(epoch, order[3].ID, discovery.HopsReader, at(5))
		}, 0, discovery.Plan{Upstream: order[3].ID, Reads: true}},
		"reachable, one without it is ahead":       {0, false, func(r *discovery.Relay) { r.RecordHeartbeat(epoch, order[2].ID, discovery.HopsNone, at(6)) }, 0, discovery.Plan{Reads: true}},
		"unreachable, successor timed out":         {0, true, func(r *discovery.Relay) { r.RecordHeartbeat(epoch, order[2].ID, discovery.HopsReader, at(5)) }, 1100 * time.Millisecond, discovery.Plan{Reads: true}},
		"unreachable, one of another domain reads": {0, true, func(r *discovery.Relay) { r.RecordHeartbeat(epoch, "other", discovery.HopsReader, at(9)) }, 0, discovery.Plan{Upstream: "other", Reads: true}},
		"unreachable, own domain preferred": {0, true, func(r *discovery.Relay) {
			r.RecordHeartbeat(epoch, "other", discovery.HopsReader, at(5))
			r.RecordHeartbeat(epoch, order[3].ID, discovery.HopsReader, at(5))
		}, 0, discovery.Plan{Upstream: order[3].ID, Reads: true}},
		"upstream is one hop from the store": {2, false, func(r *discovery.Relay) { r.RecordHeartbeat(epoch, order[0].ID, 1, at(5)) }, 0, discovery.Plan{Upstream: order[0].ID}},
		"maximum depth":                      {2, false, func(r *discovery.Relay) { r.RecordHeartbeat(epoch, order[0].ID, 2, at(5)) }, 0, discovery.Plan{Reads: true}},
		"unreachable, a predecessor reads":   {2, true, func(r *discovery.Relay) { r.RecordHeartbeat(epoch, order[0].ID, discovery.HopsReader, at(5)) }, 0, discovery.Plan{Upstream: order[0].ID}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The plan", t, func() {
				r := discovery.NewRelay(order[c.self])
				r.SetPeers(append(order, discovery.Peer{ID: "other", Domain: "b"}))
				r.Plan(epoch.Add(-time.Second), at(5), !c.unreachable)
				c.receive(r)
				convey.So(r.Plan(epoch.Add(c.after), at(5), !c.unreachable), convey.ShouldResemble, c.want)
			})
		})
	}
}

// TestPlanAtStartup starts a process with an empty copy that receives heartbeats from
// its predecessor.
func TestPlanAtStartup(t *testing.T) {
	order := domain(3)
	cases := map[string]struct {
		reaches bool
		after   time.Duration
		want    discovery.Plan
	}{
		"immediately":                      {false, 0, discovery.Plan{Reads: true}},
		"store reachable":                  {true, 2 * time.Second, discovery.Plan{Reads: true}},
		"store may be slow":                {false, 200 * time.Millisecond, discovery.Plan{Reads: true}},
		"store unreachable, upstream used": {false, 700 * time.Millisecond, discovery.Plan{Upstream: order[0].ID, Reads: true}},
		"until its copy is complete":       {false, 2 * time.Second, discovery.Plan{Upstream: order[0].ID, Reads: true}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The plan", t, func() {
				r := discovery.NewRelay(order[2])
				r.SetPeers(order)
				var plan discovery.Plan
				for after := time.Duration(0); after <= c.after; after += 100 * time.Millisecond {
					r.RecordHeartbeat(epoch.Add(after), order[0].ID, discovery.HopsReader, at(5))
					plan = r.Plan(epoch.Add(after), at(0), c.reaches)
				}
				convey.So(plan, convey.ShouldResemble, c.want)
			})
		})
	}
}

func TestOneReaderPerFailureDomain(t *testing.T) {
	convey.Convey("For any size of the domain", t, func() {
		for _, count := range []int{1, 2, 8, 40, 182, 273} {
			order := domain(count)
			readers := 0
			hops := map[inventory.EntryID]discovery.Hops{}
			followers := map[inventory.EntryID]int{}
			for _, self := range order {
				r := discovery.NewRelay(self)
				r.SetPeers(order)
				for _, other := range r.Candidates() {
					followers[other]++
					r.RecordHeartbeat(epoch, other, hops[other], at(5))
				}
				reads := r.Plan(epoch, at(5), true).Reads
				if reads {
					readers++
				}
				hops[self.ID] = r.Hops(epoch, reads)
			}
			convey.So(readers, convey.ShouldEqual, 1)
			for _, n := range followers {
				convey.So(n, convey.ShouldBeLessThanOrEqualTo, 3*16) // the second may be upstream of its own children and those of the first and the third
			}
		}
	})
}

func TestLaggingProcessReadsAgain(t *testing.T) {
	order := domain(3)
	convey.Convey("A process with an upstream process reads the store itself", t, func() {
		r := discovery.NewRelay(order[1])
		r.SetPeers(order)
		now := epoch
		plan := discovery.Plan{}
		for range 6 {
			r.RecordHeartbeat(now, order[0].ID, discovery.HopsReader, at(5))
			r.RecordHeartbeat(now, "other", discovery.HopsReader, at(9))
			plan = r.Plan(now, at(5), true)
			now = now.Add(200 * time.Millisecond)
		}
		convey.So(plan, convey.ShouldResemble, discovery.Plan{Upstream: order[0].ID, Reads: true})
	})
	convey.Convey("A process that reads requests everything again, once per period", t, func() {
		r := discovery.NewRelay(order[0])
		r.SetPeers(order)
		refreshes, now := 0, epoch
		for range 9 {
			r.RecordHeartbeat(now, "other", discovery.HopsReader, at(9))
			if r.Plan(now, at(5), true).Refresh {
				refreshes++
			}
			now = now.Add(200 * time.Millisecond)
		}
		convey.So(refreshes, convey.ShouldEqual, 2)
		convey.So(r.Plan(now, at(9), true), convey.ShouldResemble, discovery.Plan{Reads: true})
	})
}

// TestPropagationDelayIsNotLag guards against a process that reads the store because
// of changes that are still being propagated. Changes arrive continuously, each some
// time after a neighbour has received it.
func TestPropagationDelayIsNotLag(t *testing.T) {
	const drains platform.Collection = "drains"
	order := domain(2)
	cases := map[string]struct {
		delay   time.Duration
		missing bool          // a change of another collection does not arrive
		want    time.Duration // until the first read; 0: none
	}{
		"within the timeout":              {delay: 400 * time.Millisecond},
		"late":                            {delay: 1500 * time.Millisecond, want: 700 * time.Millisecond},
		"within the timeout, one missing": {delay: 400 * time.Millisecond, missing: true, want: 700 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("A process that receives all changes in time does not read the store", t, func() {
				r := discovery.NewRelay(order[1])
				r.SetPeers(order)
				var read time.Duration // time of the first read; 0: none
				for elapsed := time.Duration(0); elapsed < 5*time.Second; elapsed += 100 * time.Millisecond {
					newest := platform.Revision(10_000 + elapsed/time.Millisecond)
					reported, own := at(newest), at(newest-platform.Revision(c.delay/time.Millisecond))
					own = append(own, discovery.Position{Kind: drains, At: 5, Newest: 5})
					if c.missing {
						reported = append(reported, discovery.Position{Kind: drains, At: 9, Newest: 9})
					}
					r.RecordHeartbeat(epoch.Add(elapsed), order[0].ID, discovery.HopsReader, reported)
					if r.Plan(epoch.Add(elapsed), own, true).Reads && read == 0 {
						read = elapsed
					}
				}
				convey.So(read, convey.ShouldEqual, c.want)
			})
		})
	}
}

// TestMissingChangeIsDroppedAfterPause guards against a process that counts a change as
// missing across a pause. A heartbeat reports the change, then the process is paused and
// its heartbeats are discarded.
func TestMissingChangeIsDroppedAfterPause(t *testing.T) {
	order := domain(2)
	convey.Convey("The change does not count as missing afterwards", t, func() {
		r := discovery.NewRelay(order[1])
		r.SetPeers(order)
		for _, elapsed := range []time.Duration{0, 3 * time.Second} {
			r.RecordHeartbeat(epoch.Add(elapsed), order[0].ID, discovery.HopsReader, at(9))
			convey.So(r.Plan(epoch.Add(elapsed), at(5), true), convey.ShouldResemble, discovery.Plan{Upstream: order[0].ID})
			r.DiscardHeartbeats()
			r.Plan(epoch.Add(elapsed+time.Second), at(5), true)
		}
	})
}

func TestMissingFor(t *testing.T) {
	order := domain(2)
	convey.Convey("From the neighbour's report until the change has arrived, across periods of the timeout", t, func() {
		r := discovery.NewRelay(order[1])
		r.SetPeers(order)
		now := epoch
		for range 10 {
			r.RecordHeartbeat(now, order[0].ID, discovery.HopsReader, at(9))
			r.Plan(now, at(5), true)
			convey.So(r.MissingFor(now, things), convey.ShouldEqual, now.Sub(epoch))
			now = now.Add(200 * time.Millisecond)
		}
		r.Plan(now, at(9), true)
		convey.So(r.MissingFor(now, things), convey.ShouldEqual, 0)
	})
}
