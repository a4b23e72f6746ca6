package reach

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

var epoch = time.Unix(1_700_000_000, 0)

// world is what a node could reach, in tests that advance a detector step by step.
type world struct {
	reachable func(at time.Duration) bool // whether connections can be opened
	responds  func(at time.Duration) bool // whether endpoints respond on kept connections
	attempts  bool                        // whether requests are sent every 50 ms, which take 100 ms
	failing   int                         // endpoints to which attempts can't be opened, although others can
}

// run advances a detector for a time and returns its states by the time at which they began, and the
// number of connections that probes opened.
func (w world) run(d *Detector, length time.Duration) (changes []string, probes int) {
	const step = 50 * time.Millisecond
	last := StateConnected
	waiting := map[Attempt]time.Duration{}
	for at := time.Duration(0); at < length; at += step {
		now := epoch.Add(at)
		if w.attempts {
			id := Attempt(at/step + 1)
			d.Begin(now, id)
			waiting[id] = at
			if !w.reachable(at) {
				d.Failed(now, inventory.EndpointID(fmt.Sprint("e", id%5)))
			}
		}
		for i := range w.failing {
			d.Failed(now, inventory.EndpointID(fmt.Sprint("f", i)))
		}
		for id, since := range waiting {
			if at-since >= 100*time.Millisecond && w.responds(at) {
				d.Heard(now)
				d.End(id)
				delete(waiting, id)
			}
		}
		if count := d.Probes(now); count > 0 {
			probes += count
			connected := 0
			if w.reachable(at) {
				connected = count
			}
			d.RecordProbes(now, connected, count)
		}
		if s, _ := d.State(now); s != last {
			changes, last = append(changes, fmt.Sprintf("%s at %s", s, at)), s
		}
	}
	return changes, probes
}

func TestDetector(t *testing.T) {
	always := func(time.Duration) bool { return true }
	until := func(limit time.Duration) func(time.Duration) bool {
		return func(at time.Duration) bool { return at < limit }
	}
	except := func(from, to time.Duration) func(time.Duration) bool {
		return func(at time.Duration) bool { return at < from || at >= to }
	}
	cases := map[string]struct {
		world     world
		changes   []string
		maxProbes int
	}{
		"all well":                    {world{always, always, true, 0}, nil, 0},
		"no requests":                 {world{until(0), until(0), false, 0}, nil, 0},
		"links hang":                  {world{until(2 * time.Second), until(2 * time.Second), true, 0}, []string{"cutoff at 2.05s"}, 70},
		"new connections are refused": {world{until(2 * time.Second), always, true, 0}, []string{"cutoff at 2.05s"}, 70},
		"links hang and are back":     {world{except(2*time.Second, 4*time.Second), except(2*time.Second, 4*time.Second), true, 0}, []string{"cutoff at 2.05s", "returning at 4.05s", "connected at 6.05s"}, 30},
		"a failure domain has failed": {world{always, always, true, 6}, nil, 30},
		"all of a service is slow":    {world{always, until(2 * time.Second), true, 0}, nil, 10},
		"links flap once a second":    {world{func(at time.Duration) bool { return at%(2*time.Second) < time.Second }, always, true, 0}, []string{"cutoff at 1.05s", "returning at 2.05s", "cutoff at 3.05s", "returning at 4.05s", "cutoff at 5.05s", "returning at 6.05s", "cutoff at 7.05s", "returning at 8.05s", "cutoff at 9.05s"}, 80},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The states, and few probes", t, func() {
				changes, probes := c.world.run(New(epoch), 10*time.Second)
				convey.So(changes, convey.ShouldResemble, c.changes)
				convey.So(probes, convey.ShouldBeLessThanOrEqualTo, c.maxProbes)
			})
		})
	}
}

func TestSilentNodeIsDetectedWithinASecond(t *testing.T) {
	convey.Convey("One request waits on a kept connection, and probes get no answer", t, func() {
		d := New(epoch)
		d.Heard(epoch.Add(9 * time.Second))
		d.Begin(epoch.Add(10*time.Second), 1)
		at := func(ms int) time.Time { return epoch.Add(10*time.Second + time.Duration(ms)*time.Millisecond) }
		convey.So(d.Probes(at(350)), convey.ShouldEqual, 0)
		convey.So(d.Probes(at(400)), convey.ShouldEqual, firstProbes)
		convey.So(d.Probes(at(450)), convey.ShouldEqual, 0)
		convey.So(d.RecordProbes(at(700), 0, firstProbes), convey.ShouldBeFalse)
		convey.So(d.Probes(at(700)), convey.ShouldEqual, confirmProbes)
		convey.So(d.RecordProbes(at(1000), 0, confirmProbes), convey.ShouldBeTrue)
		convey.So(d.DirectShare(at(1000)), convey.ShouldEqual, 0)
		convey.So(d.IsSilent(at(1000)), convey.ShouldBeTrue)
		convey.Convey("Requests return over two seconds when one endpoint is reached", func() {
			convey.So(d.RecordProbes(at(2000), 1, returnProbes), convey.ShouldBeTrue)
			convey.So(d.DirectShare(at(2500)), convey.ShouldEqual, 0.25)
			convey.So(d.DirectShare(at(4000)), convey.ShouldEqual, 1)
		})
	})
}

func TestForwarders(t *testing.T) {
	nodes := []Node{{"n1", "a", "r"}, {"n2", "a", "r"}, {"n3", "b", "r"}, {"n4", "c", "q"}}
	at := func(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }
	cases := map[string]struct {
		before func(f *Forwarders)
		query  Query
		want   []inventory.EntryID // in any order; empty: none
	}{
		"the own region":          {func(*Forwarders) {}, Query{}, []inventory.EntryID{"n2", "n3"}},
		"homes":                   {func(*Forwarders) {}, Query{Homes: []inventory.RegionID{"q"}}, []inventory.EntryID{"n4"}},
		"tried":                   {func(*Forwarders) {}, Query{Tried: []inventory.EntryID{"n2"}}, []inventory.EntryID{"n3"}},
		"tried in the own region": {func(*Forwarders) {}, Query{Tried: []inventory.EntryID{"n2", "n3"}}, []inventory.EntryID{"n4"}},
		"all tried":               {func(*Forwarders) {}, Query{Tried: []inventory.EntryID{"n2", "n3", "n4"}}, nil},
		"cut off by its own word": {func(f *Forwarders) { f.Avoid(epoch, "n2") }, Query{}, []inventory.EntryID{"n3"}},
		"cut off before":          {func(f *Forwarders) { f.Avoid(at(-2), "n2") }, Query{}, []inventory.EntryID{"n2", "n3"}},
		"could not be reached":    {func(f *Forwarders) { f.Done(epoch, "n3", "s", Unavail) }, Query{}, []inventory.EntryID{"n2"}},
		"could not take one":      {func(f *Forwarders) { f.Done(epoch, "n3", "s", Busy) }, Query{}, []inventory.EntryID{"n2", "n3"}},
		"could not, and helped":   {func(f *Forwarders) { f.Done(epoch, "n3", "s", Unavail); f.Done(epoch, "n3", "s", Helped) }, Query{}, []inventory.EntryID{"n2", "n3"}},
		"one has no endpoint":     {func(f *Forwarders) { f.Done(epoch, "n3", "s", NoEndpoint); f.Done(epoch, "n3", "s", NoEndpoint) }, Query{Service: "s"}, []inventory.EntryID{"n2", "n3"}},
		"two have no endpoint":    {func(f *Forwarders) { f.Done(epoch, "n2", "s", NoEndpoint); f.Done(epoch, "n3", "s", NoEndpoint) }, Query{Service: "s"}, nil},
		"two had none, long ago":  {func(f *Forwarders) { f.Done(at(-1), "n2", "s", NoEndpoint); f.Done(at(-1), "n3", "s", NoEndpoint) }, Query{Service: "s"}, []inventory.EntryID{"n2", "n3"}},
		"of another service":      {func(f *Forwarders) { f.Done(epoch, "n2", "t", NoEndpoint); f.Done(epoch, "n3", "t", NoEndpoint) }, Query{Service: "s"}, []inventory.EntryID{"n2", "n3"}},
		"removed":                 {func(f *Forwarders) { f.SetNodes(nodes[:2]) }, Query{}, []inventory.EntryID{"n2"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The nodes that are chosen", t, func() {
				f := NewForwarders(nodes[0])
				f.SetNodes(nodes)
				c.before(f)
				got := map[inventory.EntryID]int{}
				for range 200 {
					if id, ok := f.Choose(epoch, c.query); ok {
						got[id]++
					}
				}
				convey.So(len(got), convey.ShouldEqual, len(c.want))
				for _, id := range c.want {
					convey.So(got[id], convey.ShouldBeGreaterThan, 200/len(c.want)*8/10)
				}
			})
		})
	}
}

func TestNodeThatDoesNotAnswerGetsFewRequests(t *testing.T) {
	convey.Convey("One every half second until it answers", t, func() {
		f := NewForwarders(Node{"n1", "a", "r"})
		f.SetNodes([]Node{{"n2", "a", "r"}})
		at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
		sent := func(from, to int) (count int) {
			for ms := from; ms < to; ms += 50 {
				if _, ok := f.Choose(at(ms), Query{}); ok {
					count++
				}
			}
			return count
		}
		convey.So(sent(0, 700), convey.ShouldEqual, 14)
		convey.So(sent(700, 2700), convey.ShouldEqual, 4)
		f.Done(at(2700), "n2", "s", Silent)
		convey.So(sent(2700, 3700), convey.ShouldBeLessThanOrEqualTo, 2)
		f.Done(at(3700), "n2", "s", Helped)
		convey.So(sent(3700, 4200), convey.ShouldEqual, 10)
	})
}
