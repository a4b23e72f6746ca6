package node

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/examples"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/region"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

// movesCap is the cap of each service from each region to each other, in
// requests a second, for tests of moves.
const movesCap = 40

func cappedAt(rate int) []byte {
	return bytes.ReplaceAll(examples.Lumbre, []byte("rate = 200"), []byte(fmt.Sprint("rate = ", rate)))
}

// flood is callers of a lost region that send to the entry VMs of the others
// more than may move.
type flood struct {
	r    *rig
	wait sync.WaitGroup

	mu       sync.Mutex
	served   map[inventory.RegionID][]int // at the end of each step, all that were served so far
	ran      int
	refused  int // by the caps or for lack of room
	reasons  map[Reason]int
	slowest  time.Duration // refusal
	noReturn int           // refusals with no Retry-After
}

const floodStep = 10 * time.Millisecond

// pour sends one request in each step.
func (f *flood) pour(d time.Duration, to ...inventory.EntryID) {
	for i := range int(d / floodStep) {
		f.wait.Go(func() { f.send(to[i%len(to)]) })
		time.Sleep(floodStep)
		f.sample()
	}
}

func (f *flood) send(to inventory.EntryID) {
	e, _ := f.r.inv.Entry(to)
	req, err := http.NewRequestWithContext(f.r.t.Context(), http.MethodGet, "http://"+e.Caller+"/serve/catalogue/x", nil)
	if err != nil {
		return
	}
	req.Header.Set(HeaderRegion, "norte")
	began := time.Now()
	resp, err := f.r.caller.Do(req)
	if err != nil {
		return
	}
	_ = resp.Body.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	if resp.Header.Get(HeaderOutcome) == "" {
		f.ran++
		return
	}
	f.reasons[Reason(resp.Header.Get(HeaderReason))]++
	switch Reason(resp.Header.Get(HeaderReason)) {
	case Reason(region.ReasonCap), Reason(region.ReasonRoom), Reason(region.ReasonLink):
	default:
		return // by another hop, such as one that was cut off
	}
	f.refused++
	f.slowest = max(f.slowest, time.Since(began))
	if resp.Header.Get("Retry-After") == "" {
		f.noReturn++
	}
}

// sample notes what the targets of each region have served.
func (f *flood) sample() {
	sums := map[inventory.RegionID]int{}
	for _, e := range f.r.inv.Endpoints {
		sums[f.r.inv.RegionOf(e.Domain)] += f.r.targets[e.ID].Ledger().Served
	}
	for r, sum := range sums {
		f.served[r] = append(f.served[r], sum)
	}
}

// worst is the most that one region served in any second of the last steps.
func (f *flood) worst(last time.Duration) int {
	worst, span := 0, int(time.Second/floodStep)
	for _, sums := range f.served {
		for i := max(span, len(sums)-int(last/floodStep)); i < len(sums); i++ {
			worst = max(worst, sums[i]-sums[i-span])
		}
	}
	return worst
}

// since counts what was served in all regions over the last steps.
func (f *flood) since(d time.Duration) int {
	n, steps := 0, int(d/floodStep)
	for _, sums := range f.served {
		n += sums[len(sums)-1] - sums[len(sums)-1-steps]
	}
	return n
}

// holder is the node that may grant.
func (r *rig) holder() inventory.EntryID {
	for id, n := range r.nodes {
		if _, may := n.grants.lease.MayGrant(time.Now()); may {
			return id
		}
	}
	return ""
}

// cutOff takes a node's connections to the platform and to the other nodes away,
// or gives them back; callers still reach it.
func (r *rig) cutOff(id inventory.EntryID, cut bool) {
	e, _ := r.inv.Entry(id)
	own := hostOf(e.Peer)
	others := []string{rigPlatformIP}
	for _, other := range r.inv.Entries {
		if other.ID != id {
			others = append(others, hostOf(other.Peer))
		}
	}
	change := r.network.Heal
	if cut {
		change = r.network.Cut
	}
	for _, other := range others {
		change(standin.Path{From: own, To: other})
		change(standin.Path{From: other, To: own})
	}
}

func TestMovesStayUnderCapWhenARegionIsLost(t *testing.T) {
	to := []inventory.EntryID{"lumbre-4", "lumbre-5", "lumbre-6", "lumbre-7", "lumbre-8", "lumbre-9"}
	const ms = time.Millisecond
	deadline := 2 * time.Second // of the service: a hop that is cut off holds a request that long
	faults := map[string]struct {
		strike func(r *rig)
		flows  int           // at least that many in the last second
		cap    int           // at the end
		wait   time.Duration // for a refusal, at most
	}{
		"none":                 {func(*rig) {}, movesCap, movesCap, 50 * ms},
		"store down":           {func(r *rig) { r.platform.SetFault(standin.Fault{Down: true}) }, 16, movesCap, 50 * ms},
		"lost answers":         {func(r *rig) { r.platform.SetFault(standin.Fault{LoseAnswer: 4}) }, movesCap, movesCap, 50 * ms},
		"holder dies":          {func(r *rig) { r.kill(r.holder()) }, 12, movesCap, 50 * ms},
		"holder is cut off":    {func(r *rig) { r.cutOff(r.holder(), true) }, 12, movesCap, deadline + 50*ms},
		"cap is lowered":       {func(r *rig) { r.publish(cappedAt(movesCap / 2)) }, 16, movesCap / 2, 50 * ms},
		"cap is raised":        {func(r *rig) { r.publish(cappedAt(2 * movesCap)) }, movesCap, 2 * movesCap, 50 * ms},
		"a node has old rules": {func(r *rig) { r.cutOff("lumbre-8", true); r.publish(cappedAt(movesCap / 2)) }, 10, movesCap, deadline + 50*ms},
	}
	for name, c := range faults {
		t.Run(name, func(t *testing.T) {
			bubble(t, cappedAt(movesCap), func(r *rig) {
				convey.Convey(name, r.t, func() {
					time.Sleep(region.HoldTime) // until the floors are in force
					convey.So(r.holder(), convey.ShouldNotBeEmpty)
					for _, id := range []inventory.EntryID{"lumbre-1", "lumbre-2", "lumbre-3"} {
						r.kill(id)
					}
					f := &flood{r: r, served: map[inventory.RegionID][]int{}, reasons: map[Reason]int{}}
					f.sample()
					f.pour(2*time.Second, to...)
					if r.holder() == "" { // it was lost with its region
						time.Sleep(17 * time.Second)
						f.pour(2*time.Second, to...)
					}
					c.strike(r)
					f.pour(3*time.Second, to...)
					f.wait.Wait()
					for _, id := range to {
						r.cutOff(id, false)
					}
					convey.So(f.worst(time.Hour), convey.ShouldBeLessThanOrEqualTo, max(movesCap, c.cap))
					convey.So(f.worst(time.Second), convey.ShouldBeLessThanOrEqualTo, c.cap)
					convey.So(f.since(time.Second), convey.ShouldBeGreaterThanOrEqualTo, c.flows)
					convey.So(f.refused, convey.ShouldBeGreaterThan, 0)
					convey.So(f.noReturn, convey.ShouldEqual, 0)
					convey.So(f.slowest, convey.ShouldBeLessThan, c.wait)
				})
			})
		})
	}
}
