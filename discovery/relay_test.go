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

// domain returns the processes of a failure domain in the order of readers: each
// has as many before it as its place says.
func domain(count int) []discovery.Peer {
	var all []discovery.Peer
	for i := range count {
		all = append(all, discovery.Peer{ID: inventory.EntryID(fmt.Sprint("n", i)), Domain: "a"})
	}
	sorted := make([]discovery.Peer, count)
	for _, p := range all {
		r := discovery.NewRelay(p)
		r.SetPeers(all)
		sorted[len(r.Ahead())] = p
	}
	return sorted
}

func at(newest platform.Revision) []discovery.Position {
	return []discovery.Position{{Kind: things, At: newest, Newest: newest}}
}

func TestWhoReadsTheStore(t *testing.T) {
	order := domain(4)
	cases := map[string]struct {
		self  int
		away  bool // it does not reach the store itself
		tell  func(r *discovery.Relay)
		after time.Duration
		want  discovery.Plan
	}{
		"the first":            {0, false, func(*discovery.Relay) {}, 0, discovery.Plan{Reads: true}},
		"nobody is heard":      {2, false, func(*discovery.Relay) {}, 0, discovery.Plan{Reads: true}},
		"the first reads":      {2, false, func(r *discovery.Relay) { r.Hear(epoch, order[0].ID, discovery.HopsReader, at(5)) }, 0, discovery.Plan{Feed: order[0].ID}},
		"the first is late":    {2, false, func(r *discovery.Relay) { r.Hear(epoch, order[0].ID, discovery.HopsReader, at(5)) }, 500 * time.Millisecond, discovery.Plan{Feed: order[0].ID}},
		"the first is silent":  {2, false, func(r *discovery.Relay) { r.Hear(epoch, order[0].ID, discovery.HopsReader, at(5)) }, 700 * time.Millisecond, discovery.Plan{Reads: true}},
		"the first is gone":    {2, false, func(r *discovery.Relay) { r.Hear(epoch, order[0].ID, discovery.HopsReader, at(5)); r.Gone(order[0].ID) }, 0, discovery.Plan{Reads: true}},
		"we did not run":       {2, false, func(r *discovery.Relay) { r.Hear(epoch, order[0].ID, discovery.HopsReader, at(5)); r.Doubt() }, 0, discovery.Plan{Reads: true}},
		"the first is cut off": {2, false, func(r *discovery.Relay) { r.Hear(epoch, order[0].ID, discovery.HopsNone, at(5)) }, 0, discovery.Plan{Reads: true}},
		"the second takes over": {2, false, func(r *discovery.Relay) {
			r.Hear(epoch, order[0].ID, discovery.HopsNone, at(5))
			r.Hear(epoch, order[1].ID, discovery.HopsReader, at(5))
		}, 0, discovery.Plan{Feed: order[1].ID}},
		"one behind us reads":           {2, false, func(r *discovery.Relay) { r.Hear(epoch, order[3].ID, discovery.HopsReader, at(5)) }, 0, discovery.Plan{Reads: true}},
		"one of another domain does":    {2, false, func(r *discovery.Relay) { r.Hear(epoch, "other", discovery.HopsReader, at(5)) }, 0, discovery.Plan{Reads: true}},
		"cut off, nobody is heard":      {0, true, func(*discovery.Relay) {}, 0, discovery.Plan{Reads: true}},
		"cut off, one behind reads":     {0, true, func(r *discovery.Relay) { r.Hear(epoch, order[2].ID, discovery.HopsReader, at(5)) }, 0, discovery.Plan{Feed: order[2].ID, Reads: true}},
		"cut off, so is one behind":     {0, true, func(r *discovery.Relay) { r.Hear(epoch, order[2].ID, discovery.HopsNone, at(5)) }, 0, discovery.Plan{Reads: true}},
		"cut off, one behind was heard": {0, true, func(r *discovery.Relay) { r.Hear(epoch, order[2].ID, discovery.HopsReader, at(5)) }, 1100 * time.Millisecond, discovery.Plan{Reads: true}},
		"cut off, one elsewhere reads":  {0, true, func(r *discovery.Relay) { r.Hear(epoch, "other", discovery.HopsReader, at(9)) }, 0, discovery.Plan{Feed: "other", Reads: true}},
		"cut off, the own domain first": {0, true, func(r *discovery.Relay) {
			r.Hear(epoch, "other", discovery.HopsReader, at(5))
			r.Hear(epoch, order[3].ID, discovery.HopsReader, at(5))
		}, 0, discovery.Plan{Feed: order[3].ID, Reads: true}},
		"told by one that is told": {2, false, func(r *discovery.Relay) { r.Hear(epoch, order[0].ID, 1, at(5)) }, 0, discovery.Plan{Feed: order[0].ID}},
		"the tree ends":            {2, false, func(r *discovery.Relay) { r.Hear(epoch, order[0].ID, 2, at(5)) }, 0, discovery.Plan{Reads: true}},
		"cut off, one ahead reads": {2, true, func(r *discovery.Relay) { r.Hear(epoch, order[0].ID, discovery.HopsReader, at(5)) }, 0, discovery.Plan{Feed: order[0].ID}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The plan", t, func() {
				r := discovery.NewRelay(order[c.self])
				r.SetPeers(append(order, discovery.Peer{ID: "other", Domain: "b"}))
				r.Plan(epoch.Add(-time.Second), at(5), !c.away)
				c.tell(r)
				convey.So(r.Plan(epoch.Add(c.after), at(5), !c.away), convey.ShouldResemble, c.want)
			})
		})
	}
}

// TestWhoStartsReads has a process that knows nothing yet and hears the one that it
// would follow.
func TestWhoStartsReads(t *testing.T) {
	order := domain(3)
	cases := map[string]struct {
		reaches bool
		after   time.Duration
		want    discovery.Plan
	}{
		"at once":                       {false, 0, discovery.Plan{Reads: true}},
		"it reaches the store":          {true, 2 * time.Second, discovery.Plan{Reads: true}},
		"the store may be slow":         {false, 200 * time.Millisecond, discovery.Plan{Reads: true}},
		"it does not, and is told, too": {false, 700 * time.Millisecond, discovery.Plan{Feed: order[0].ID, Reads: true}},
		"until it knows all":            {false, 2 * time.Second, discovery.Plan{Feed: order[0].ID, Reads: true}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The plan", t, func() {
				r := discovery.NewRelay(order[2])
				r.SetPeers(order)
				var plan discovery.Plan
				for after := time.Duration(0); after <= c.after; after += 100 * time.Millisecond {
					r.Hear(epoch.Add(after), order[0].ID, discovery.HopsReader, at(5))
					plan = r.Plan(epoch.Add(after), at(0), c.reaches)
				}
				convey.So(plan, convey.ShouldResemble, c.want)
			})
		})
	}
}

func TestOneReaderForEachDomain(t *testing.T) {
	convey.Convey("Whatever its size", t, func() {
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
					r.Hear(epoch, other, hops[other], at(5))
				}
				reads := r.Plan(epoch, at(5), true).Reads
				if reads {
					readers++
				}
				hops[self.ID] = r.Hops(epoch, reads)
			}
			convey.So(readers, convey.ShouldEqual, 1)
			for _, n := range followers {
				convey.So(n, convey.ShouldBeLessThanOrEqualTo, 3*16) // the second has its own, the first's and the third's
			}
		}
	})
}

func TestWhoStaysBehindAsksAgain(t *testing.T) {
	order := domain(3)
	convey.Convey("One that is told reads for itself", t, func() {
		r := discovery.NewRelay(order[1])
		r.SetPeers(order)
		now := epoch
		plan := discovery.Plan{}
		for range 6 {
			r.Hear(now, order[0].ID, discovery.HopsReader, at(5))
			r.Hear(now, "other", discovery.HopsReader, at(9))
			plan = r.Plan(now, at(5), true)
			now = now.Add(200 * time.Millisecond)
		}
		convey.So(plan, convey.ShouldResemble, discovery.Plan{Feed: order[0].ID, Reads: true})
	})
	convey.Convey("One that reads asks all again, once for each time", t, func() {
		r := discovery.NewRelay(order[0])
		r.SetPeers(order)
		doubts, now := 0, epoch
		for range 9 {
			r.Hear(now, "other", discovery.HopsReader, at(9))
			if r.Plan(now, at(5), true).Doubt {
				doubts++
			}
			now = now.Add(200 * time.Millisecond)
		}
		convey.So(doubts, convey.ShouldEqual, 2)
		convey.So(r.Plan(now, at(9), true), convey.ShouldResemble, discovery.Plan{Reads: true})
	})
}

// TestNewsUnderWay has changes come all the time, each a while later here than at a
// neighbour.
func TestNewsUnderWay(t *testing.T) {
	const drains platform.Collection = "drains"
	order := domain(2)
	cases := map[string]struct {
		late  time.Duration
		lacks bool // a change of another collection
		want  time.Duration
	}{
		"in time":                   {late: 400 * time.Millisecond},
		"late":                      {late: 1500 * time.Millisecond, want: 700 * time.Millisecond},
		"in time, but for one kind": {late: 400 * time.Millisecond, lacks: true, want: 700 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("Who gets all in time reads nothing", t, func() {
				r := discovery.NewRelay(order[1])
				r.SetPeers(order)
				var read time.Duration // the first time; 0: never
				for past := time.Duration(0); past < 5*time.Second; past += 100 * time.Millisecond {
					newest := platform.Revision(10_000 + past/time.Millisecond)
					heard, own := at(newest), at(newest-platform.Revision(c.late/time.Millisecond))
					own = append(own, discovery.Position{Kind: drains, At: 5, Newest: 5})
					if c.lacks {
						heard = append(heard, discovery.Position{Kind: drains, At: 9, Newest: 9})
					}
					r.Hear(epoch.Add(past), order[0].ID, discovery.HopsReader, heard)
					if r.Plan(epoch.Add(past), own, true).Reads && read == 0 {
						read = past
					}
				}
				convey.So(read, convey.ShouldEqual, c.want)
			})
		})
	}
}

// TestAChangeThatNobodyTellsOfAnyMore has a process not run for a while, after it has
// heard of a change.
func TestAChangeThatNobodyTellsOfAnyMore(t *testing.T) {
	order := domain(2)
	convey.Convey("It is not lacked from then on", t, func() {
		r := discovery.NewRelay(order[1])
		r.SetPeers(order)
		for _, past := range []time.Duration{0, 3 * time.Second} {
			r.Hear(epoch.Add(past), order[0].ID, discovery.HopsReader, at(9))
			convey.So(r.Plan(epoch.Add(past), at(5), true), convey.ShouldResemble, discovery.Plan{Feed: order[0].ID})
			r.Doubt()
			r.Plan(epoch.Add(past+time.Second), at(5), true)
		}
	})
}
