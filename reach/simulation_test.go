package reach

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// fleet is a deployment of which some nodes are cut off from all endpoints.
type fleet struct {
	nodes []Node
	cut   map[inventory.EntryID]bool
}

// newFleet returns nodes in three regions with three failure domains each, and cuts off those for
// which cutOff says so.
func newFleet(count int, cutOff func(i int, n Node) bool) fleet {
	f := fleet{cut: map[inventory.EntryID]bool{}}
	for i := range count {
		n := Node{ID: inventory.EntryID(fmt.Sprint("n", i)), Domain: inventory.DomainID(fmt.Sprint("d", i%9)), Region: inventory.RegionID(fmt.Sprint("r", i%3))}
		f.nodes = append(f.nodes, n)
		f.cut[n.ID] = cutOff(i, n)
	}
	return f
}

// way chooses the node to which another one forwards its k-th request.
type way func(f fleet, from *Forwarders, now time.Time, tried []inventory.EntryID) (inventory.EntryID, bool)

func chosenWay(_ fleet, from *Forwarders, now time.Time, tried []inventory.EntryID) (inventory.EntryID, bool) {
	return from.Choose(now, Query{Service: "s", Tried: tried})
}

// neighbourWay forwards to the next node in the list, then the one after it.
func neighbourWay(f fleet, from *Forwarders, _ time.Time, tried []inventory.EntryID) (inventory.EntryID, bool) {
	for i, n := range f.nodes {
		if n.ID == from.self.ID {
			return f.nodes[(i+1+len(tried))%len(f.nodes)].ID, true
		}
	}
	return "", false
}

// anyWay draws from all nodes, and remembers nothing.
func anyWay(f fleet, _ *Forwarders, _ time.Time, _ []inventory.EntryID) (inventory.EntryID, bool) {
	return f.nodes[rand.IntN(len(f.nodes))].ID, true
}

// load is what became of the requests that were forwarded.
type load struct {
	served  float64 // share
	tries   float64 // nodes asked for each
	busiest float64 // requests that the node with the most got, relative to an even distribution over those left
	abroad  float64 // share that went to another region
}

// forwardAll lets each node that is cut off forward requests for two seconds, each of which takes 100 ms.
func (f fleet) forwardAll(choose way) load {
	// maxSenders bounds the nodes that forward, for the time of the test.
	const maxSenders = 300
	const tries, perNode, interval, takes = 8, 40, 50 * time.Millisecond, 100 * time.Millisecond
	regions := map[inventory.EntryID]inventory.RegionID{}
	left := 0
	for _, n := range f.nodes {
		regions[n.ID] = n.Region
		if !f.cut[n.ID] {
			left++
		}
	}
	counts := map[inventory.EntryID]int{}
	sent, served, asked, abroad := 0, 0, 0, 0
	senders := 0
	for _, n := range f.nodes {
		if senders++; !f.cut[n.ID] || senders > maxSenders {
			continue
		}
		from := NewForwarders(n)
		from.SetNodes(f.nodes)
		type running struct {
			to  inventory.EntryID
			end time.Time
		}
		var inFlight []running
		for k := range perNode {
			now := epoch.Add(time.Duration(k) * interval)
			for len(inFlight) > 0 && !inFlight[0].end.After(now) {
				from.Done(now, inFlight[0].to, "s", Helped)
				inFlight = inFlight[1:]
			}
			sent++
			var tried []inventory.EntryID
			for range tries {
				to, ok := choose(f, from, now, tried)
				if !ok {
					break
				}
				asked++
				tried = append(tried, to)
				if f.cut[to] {
					from.Done(now, to, "s", Unavail)
					continue
				}
				served++
				counts[to]++
				if regions[to] != n.Region {
					abroad++
				}
				inFlight = append(inFlight, running{to, now.Add(takes)})
				break
			}
		}
	}
	most := 0
	for _, c := range counts {
		most = max(most, c)
	}
	return load{
		served: float64(served) / float64(sent), tries: float64(asked) / float64(sent),
		busiest: float64(most) * float64(left) / float64(max(1, served)), abroad: float64(abroad) / float64(max(1, served)),
	}
}

// TestLoadThatMovesFromCutOffNodes guards against requests that find no node that is left, and against
// a few nodes that get nearly all of them.
func TestLoadThatMovesFromCutOffNodes(t *testing.T) {
	cuts := map[string]func(i int, n Node) bool{
		"three in five":      func(i int, _ Node) bool { return i%5 < 3 },
		"a failure domain":   func(_ int, n Node) bool { return n.Domain == "d0" },
		"a region":           func(_ int, n Node) bool { return n.Region == "r0" },
		"all but one in ten": func(i int, _ Node) bool { return i%10 != 9 },
	}
	for name, cut := range cuts {
		for _, count := range []int{10, 200, 2000} {
			t.Run(fmt.Sprint(name, ", ", count, " nodes"), func(t *testing.T) {
				convey.Convey("Beside other ways to forward them", t, func() {
					f := newFleet(count, cut)
					chosen, neighbour, anyNode := f.forwardAll(chosenWay), f.forwardAll(neighbourWay), f.forwardAll(anyWay)
					t.Logf("%s, %d nodes: chosen %.3f, next %.3f, any %.3f", name, count, chosen, neighbour, anyNode)
					convey.So(chosen.served, convey.ShouldBeGreaterThan, 2.0/3)
				})
			})
		}
	}
}
