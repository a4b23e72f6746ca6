package endpoint

import (
	"cmp"
	"fmt"
	"math"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

const (
	shiftWindow  = 2 * time.Second
	shiftWindows = 14
	shiftMax     = 0.15                   // the bound
	shiftEvent   = 10*time.Second + 1     // when the event of a case takes place
	shiftNear    = time.Millisecond       // round trip within a region
	shiftFar     = 70 * time.Millisecond  // between regions
	shiftWarm    = 100 * time.Millisecond // service time
	shiftCold    = 330 * time.Millisecond
)

var shiftRegions = []inventory.RegionID{"r0", "r1", "r2"}

// shiftSimulation simulates nodes in three regions without a network. In each window each node sends the
// same requests, so that nothing but decisions changes where they run.
type shiftSimulation struct {
	nodes   int // in each region
	objects int
	rate    int     // requests of a node in a window for each object
	popular int     // multiple of the requests for the first object
	load    int     // requests of a region in a window, spread over its nodes; 0: by rate
	slots   int     // of an endpoint; 0: 20 for each node of a region
	tight   bool    // 2 slots of an endpoint for each node of a region
	counts  []int   // endpoints of a service in a domain of each region; nil: 3, 1, 3
	bound   float64 // setting; 0: shiftMax
	service func(now time.Duration, o int) inventory.ServiceID
	goal    func(now time.Duration) time.Duration // objective; nil: 600 ms
	event   func(s *shiftSimulation, now time.Time)
	adapt   func(now time.Duration, q *Query)       // changes requests; nil: none
	again   func(now time.Duration, q *Query) bool  // whether a request is sent again, as changed; nil: none
	times   func(now time.Duration, region int) int // multiple of the requests of a region; nil: 1

	tables  []*Table
	events  standin.EventQueue
	ignored int                         // first windows that are not checked
	shares  [3][shiftWindows][3]float64 // requests by caller's region, window, and region
}

func (s *shiftSimulation) endpoint(service inventory.ServiceID, region, domain, number int) inventory.Endpoint {
	slots := cmp.Or(s.slots, 20*s.nodes)
	if s.tight {
		slots = 2 * s.nodes
	}
	e := topology{slots: slots}.endpoint(region, domain, number)
	e.ID += inventory.EndpointID("-" + service)
	e.Service = service
	return e
}

// start registers 6, 2 and 6 endpoints of each of two services, half of them in each of two domains.
func (s *shiftSimulation) start() {
	regions := Regions{}
	for r, id := range shiftRegions {
		for d := range 2 {
			regions[inventory.DomainID(fmt.Sprintf("d%d-%d", r, d))] = id
		}
	}
	for i := range 3 * s.nodes {
		s.tables = append(s.tables, s.table(regions, i))
	}
}

// table returns the table of a node that starts.
func (s *shiftSimulation) table(regions Regions, node int) *Table {
	t := New(regions, Bounds{Excess: 1.5, Slack: 5, Grace: 2 * time.Second, Shift: cmp.Or(s.bound, shiftMax)})
	t.SetServices([]inventory.Service{{ID: "s"}, {ID: "u"}})
	t.SetLocalDomain(shiftLocation(node, 1.0/6))
	for _, service := range []inventory.ServiceID{"s", "u"} {
		counts := s.counts
		if counts == nil {
			counts = []int{3, 1, 3}
		}
		for r, count := range counts {
			for d := range 2 {
				for number := range count {
					t.Register(epoch, s.endpoint(service, r, d, number))
				}
			}
		}
	}
	return t
}

// shiftLocation returns the location of a node, with the share of callers of its failure domain.
func shiftLocation(node int, share float64) LocalDomain {
	return LocalDomain{Domain: inventory.DomainID(fmt.Sprintf("d%d-%d", node%3, node/3%2)), Share: share, RegionShare: 1.0 / 3}
}

// all applies a change to all nodes.
func (s *shiftSimulation) all(change func(t *Table)) {
	for _, t := range s.tables {
		change(t)
	}
}

func (s *shiftSimulation) run() {
	s.start()
	for w := range shiftWindows {
		s.events.At(epoch.Add(time.Duration(w)*shiftWindow), func(time.Time) { s.sendWindow(w) })
	}
	for at := time.Duration(0); at < shiftWindows*shiftWindow; at += 250 * time.Millisecond {
		s.events.At(epoch.Add(at), func(now time.Time) { s.all(func(t *Table) { t.Tick(now) }) })
	}
	if s.event != nil {
		s.events.At(epoch.Add(shiftEvent), func(now time.Time) { s.event(s, now) })
	}
	s.events.Run()
}

// sendWindow schedules the requests of all nodes in a window.
func (s *shiftSimulation) sendWindow(w int) {
	for k := range 3 * s.load {
		i, n := k%3, k/3
		node := i + 3*(n*s.nodes/s.load)
		s.events.At(epoch.Add(time.Duration(w)*shiftWindow+time.Duration(n)*shiftWindow/time.Duration(s.load)), func(now time.Time) {
			s.send(now, node, n%s.objects, uint64(n)+uint64(w)<<32)
		})
	}
	if s.load > 0 {
		return
	}
	for i := range s.tables {
		n := 0
		for o := range s.objects {
			rate := s.rate
			if o == 0 {
				rate *= max(1, s.popular)
			}
			if s.times != nil {
				rate *= s.times(time.Duration(w)*shiftWindow, i%3)
			}
			for k := range rate {
				n++
				at := time.Duration(w)*shiftWindow + time.Duration((float64(k)+float64(o)/float64(s.objects))/float64(rate)*float64(shiftWindow))
				seed := uint64(n) + uint64(w)<<32
				s.events.At(epoch.Add(at), func(now time.Time) { s.send(now, i, o, seed) })
			}
		}
	}
}

// send sends a request of a node.
func (s *shiftSimulation) send(now time.Time, node, o int, seed uint64) {
	age := now.Sub(epoch)
	q := Query{Service: "s", Route: "r", Object: Object(mix(uint64(o + 1))), Seed: mix(seed<<8 | uint64(node)), Objective: 600 * time.Millisecond}
	if s.service != nil {
		q.Service = s.service(age, o)
	}
	if s.goal != nil {
		q.Objective = s.goal(age)
	}
	if s.adapt != nil {
		s.adapt(age, &q)
	}
	c, ok := s.attempt(now, node, q)
	if ok && s.again != nil && s.again(age, &q) {
		q.Tried = []inventory.EndpointID{c.Endpoint.ID}
		s.attempt(now, node, q)
	}
}

// attempt sends a request to an endpoint, if a node finds one.
func (s *shiftSimulation) attempt(now time.Time, node int, q Query) (Choice, bool) {
	t := s.tables[node]
	c, reason := t.Choose(now, q)
	if reason != "" || !t.Start(now, c) {
		return c, false
	}
	from, to := node%3, slices.Index(shiftRegions, c.Region)
	s.shares[from][int(now.Sub(epoch)/shiftWindow)][to]++
	took := shiftNear
	if from != to {
		took = shiftFar
	}
	t.RecordRoundTrip(c, took)
	if c.Warm {
		took += shiftWarm
	} else {
		took += shiftCold
	}
	s.events.At(now.Add(took), func(now time.Time) {
		t.Finish(now, c, Result{Verdict: VerdictServed, Took: took, Running: 1, Slots: c.Endpoint.Slots})
	})
	return c, true
}

// largest returns the largest share of the requests of a region that changes from one window to the next.
func (s *shiftSimulation) largest() (share float64, where string) {
	for from := range 3 {
		for w := s.ignored + 1; w < shiftWindows; w++ {
			a, b := s.shares[from][w-1], s.shares[from][w]
			totalA, totalB, changed := a[0]+a[1]+a[2], b[0]+b[1]+b[2], 0.0
			for r := range 3 {
				changed += math.Abs(a[r]/totalA-b[r]/totalB) / 2
			}
			if changed > share {
				share, where = changed, fmt.Sprintf("from r%d at %d s: %.0f to %.0f", from, 2*w, a, b)
			}
		}
	}
	return share, where
}

// joining returns an event in which endpoints of the first service join in a region.
func joining(region, count int) func(s *shiftSimulation, now time.Time) {
	return func(s *shiftSimulation, now time.Time) {
		s.all(func(t *Table) {
			for i := range count {
				t.Register(now, s.endpoint("s", region, i%2, 10+i))
			}
		})
	}
}

// leaving returns an event in which two of three endpoints of the first service in a region begin to drain.
func leaving(region int) func(s *shiftSimulation, now time.Time) {
	return func(s *shiftSimulation, now time.Time) {
		s.all(func(t *Table) {
			for d := range 2 {
				for i := range 2 {
					e := s.endpoint("s", region, d, i)
					e.Draining = true
					t.Register(now, e)
				}
			}
		})
	}
}

// TestRegionsChangeInStepsAtAllNodes guards against many of a region's requests changing their region at once.
func TestRegionsChangeInStepsAtAllNodes(t *testing.T) {
	cases := map[string]shiftSimulation{
		"copies nearby become known":                   {slots: 3, objects: 24, rate: 10},
		"endpoints join in one region":                 {event: joining(1, 12)},
		"endpoints leave in one region":                {event: leaving(0)},
		"a popular object moves":                       {popular: 60, event: joining(1, 40)},
		"weights move to a service":                    {service: func(now time.Duration, _ int) inventory.ServiceID { return splitAt(now, "s", "u") }},
		"an objective becomes short":                   {goal: func(now time.Duration) time.Duration { return goalAt(now, 600*time.Millisecond, 300*time.Millisecond) }},
		"an objective becomes long":                    {goal: func(now time.Duration) time.Duration { return goalAt(now, 300*time.Millisecond, 600*time.Millisecond) }},
		"the share of callers falls":                   {goal: func(time.Duration) time.Duration { return 300 * time.Millisecond }, event: shareOfCallers(0.02)},
		"a quarter of the nodes start":                 {event: restarts},
		"the drain of a domain ends":                   {event: drainEnds},
		"a smaller bound in the setting":               {bound: 0.06, event: joining(1, 12)},
		"a route is replaced":                          {adapt: replacedRoute},
		"home regions are lifted":                      {adapt: liftedHomes},
		"all requests get second copies":               {again: func(now time.Duration, q *Query) bool { q.Hedge = true; return now > shiftEvent }},
		"all requests are tried again":                 {again: func(now time.Duration, _ *Query) bool { return now > shiftEvent }},
		"callers move":                                 {times: movedCallers},
		"a burst and its end":                          {tight: true, times: burst},
		"endpoints of a region pause":                  {event: pauses(0)},
		"endpoints of a region have no permits":        {event: limits(0)},
		"endpoints of a region return":                 {event: lossEnds},
		"a region has no endpoints":                    {counts: []int{3, 0, 3}, event: leaving(0)},
		"a quarter of the nodes hear late":             {event: lateNews},
		"a quarter of the nodes start without news":    {event: lonelyRestarts},
		"a quarter of the nodes start with stale news": {event: misledRestarts},
	}
	simulations := map[string]*shiftSimulation{}
	for name, s := range cases {
		for _, nodes := range []int{4, 60} {
			s := s
			s.nodes, s.objects, s.rate = nodes, cmp.Or(s.objects, 90), cmp.Or(s.rate, 1)
			simulations[fmt.Sprintf("%s, %d nodes", name, 3*nodes)] = &s
		}
	}
	checkShifts(t, simulations)
}

// TestRegionsChangeInStepsAtNodesWithFewRequests guards against a bound that holds for each node, but not for
// the same load on more of them.
func TestRegionsChangeInStepsAtNodesWithFewRequests(t *testing.T) {
	cases := map[string]shiftSimulation{
		"endpoints join in one region": {event: joining(1, 12)},
		"an objective becomes short":   {goal: func(now time.Duration) time.Duration { return goalAt(now, 600*time.Millisecond, 300*time.Millisecond) }},
		"a quarter of the nodes start": {event: restarts},
	}
	simulations := map[string]*shiftSimulation{}
	for name, s := range cases {
		for _, nodes := range []int{4, 67, 667} {
			s := s
			s.nodes, s.objects, s.load, s.slots = nodes, 90, 5400, 1200
			simulations[fmt.Sprintf("%s, %d nodes", name, 3*nodes)] = &s
		}
	}
	checkShifts(t, simulations)
}

// checkShifts runs simulations and checks the bound of each.
func checkShifts(t *testing.T, simulations map[string]*shiftSimulation) {
	var running sync.WaitGroup
	free := make(chan struct{}, runtime.GOMAXPROCS(0))
	for _, s := range simulations {
		running.Go(func() {
			free <- struct{}{}
			s.run()
			<-free
		})
	}
	running.Wait()
	for name, s := range simulations {
		t.Run(name, func(t *testing.T) {
			share, where := s.largest()
			convey.Convey("The largest share that changes from one window to the next", t, func() {
				t.Logf("%s: %.3f %s", name, share, where)
				convey.So(share, convey.ShouldBeLessThanOrEqualTo, cmp.Or(s.bound, shiftMax))
			})
		})
	}
}

// splitAt returns the service of a request: the first one, and the second one from the event on.
func splitAt(now time.Duration, first, second inventory.ServiceID) inventory.ServiceID {
	if now < shiftEvent {
		return first
	}
	return second
}

func goalAt(now, first, second time.Duration) time.Duration {
	if now < shiftEvent {
		return first
	}
	return second
}

// shareOfCallers returns an event in which nodes of other failure domains join, so that the share of
// callers that a node's failure domain serves changes.
func shareOfCallers(share float64) func(s *shiftSimulation, now time.Time) {
	return func(s *shiftSimulation, _ time.Time) {
		for i, t := range s.tables {
			t.SetLocalDomain(shiftLocation(i, share))
		}
	}
}

// restarts is the event in which the first nodes of each region start again, and subscribe to others.
func restarts(s *shiftSimulation, now time.Time) {
	for i := range 3 * (s.nodes / 4) {
		told, _ := s.tables[len(s.tables)-3+i%3].GossipSince(now, GossipPosition{})
		s.tables[i] = s.table(s.tables[i].regions, i)
		s.tables[i].Learn(now, told)
	}
}

// lonelyRestarts is the event in which the first nodes of each region start again, and hear of no others.
func lonelyRestarts(s *shiftSimulation, _ time.Time) {
	for i := range 3 * (s.nodes / 4) {
		s.tables[i] = s.table(s.tables[i].regions, i)
	}
}

// misledRestarts is the event in which the first nodes of each region start again, and hear that all of a route's objects
// run in their region.
func misledRestarts(s *shiftSimulation, now time.Time) {
	lonelyRestarts(s, now)
	for i := range 3 * (s.nodes / 4) {
		s.tables[i].Learn(now, Gossip{Localities: []LocalityReport{{Region: shiftRegions[i%3], Route: "r", Part: 1}}})
	}
}

// lateNews is the event in which endpoints join, of which the first nodes of each region hear three windows later.
func lateNews(s *shiftSimulation, now time.Time) {
	all := s.tables
	s.tables = all[3*(s.nodes/4):]
	joining(1, 12)(s, now)
	s.tables = all
	s.events.At(now.Add(3*shiftWindow), func(now time.Time) { joining(1, 12)(s, now) })
}

// replacedRoute sends the requests to another route from the event on.
func replacedRoute(now time.Duration, q *Query) {
	if now >= shiftEvent {
		q.Route = "other"
	}
}

// liftedHomes restricts the requests to two regions until the event.
func liftedHomes(now time.Duration, q *Query) {
	if now < shiftEvent {
		q.Homes = []inventory.RegionID{"r0", "r1"}
	}
}

// movedCallers moves most callers of the first region to the second one.
func movedCallers(now time.Duration, region int) int {
	switch {
	case region == 2:
		return 2
	case (region == 0) == (now < shiftEvent-1):
		return 4
	}
	return 1
}

// burst multiplies the requests for three windows.
func burst(now time.Duration, _ int) int {
	if now >= shiftEvent-1 && now < shiftEvent-1+3*shiftWindow {
		return 3
	}
	return 1
}

// half applies a change to the endpoints of the first service in a failure domain of a region, at all nodes.
func (s *shiftSimulation) half(region int, change func(t *Table, e *endpointState)) {
	s.all(func(t *Table) {
		for i := range 3 {
			change(t, t.byID[s.endpoint("s", region, 0, i).ID])
		}
	})
}

// pauses returns an event in which half of the endpoints in a region ask for a pause of three windows.
func pauses(region int) func(s *shiftSimulation, now time.Time) {
	return func(s *shiftSimulation, now time.Time) {
		s.half(region, func(t *Table, e *endpointState) { t.RecordPause(now, Choice{state: e}, 3*shiftWindow) })
	}
}

// limits returns an event in which half of the endpoints in a region name a limit, and there are no permits for
// three windows.
func limits(region int) func(s *shiftSimulation, now time.Time) {
	return func(s *shiftSimulation, now time.Time) {
		s.half(region, func(t *Table, e *endpointState) {
			t.RecordLimit(now, Choice{state: e}, Limit{Rate: 1, Named: true})
			t.Hold(Choice{state: e}, now.Add(3*shiftWindow))
		})
	}
}

// lossEnds is the event in which a region's endpoints, which were lost before, are registered again, cold for two
// windows.
func lossEnds(s *shiftSimulation, now time.Time) {
	each := func(do func(t *Table, e inventory.Endpoint)) {
		s.all(func(t *Table) {
			for d := range 2 {
				for i := range 3 {
					do(t, s.endpoint("s", 0, d, i))
				}
			}
		})
	}
	each(func(t *Table, e inventory.Endpoint) { t.Removed(now, e.ID) })
	s.events.At(now.Add(shiftWindow), func(now time.Time) {
		each(func(t *Table, e inventory.Endpoint) {
			e.ColdRemaining = 2 * shiftWindow
			t.Register(now, e)
		})
	})
	s.ignoreUntil(shiftEvent + shiftWindow)
}

// ignoreUntil leaves windows up to a time out of the check.
func (s *shiftSimulation) ignoreUntil(at time.Duration) { s.ignored = int(at/shiftWindow) + 1 }

// drainEnds is the event in which a region's endpoints, which were drained before, are used again.
func drainEnds(s *shiftSimulation, now time.Time) {
	domains := []inventory.DomainID{"d0-0", "d0-1"}
	s.all(func(t *Table) { t.SetDrained(now, domains) })
	s.events.At(now.Add(3*shiftWindow), func(now time.Time) {
		s.all(func(t *Table) { t.SetDrained(now, nil) })
	})
	s.ignoreUntil(shiftEvent + shiftWindow) // evacuated domains are left at once: only the end of the drain counts
}
