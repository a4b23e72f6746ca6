package admission_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/admission"
	"github.com/wasabiwheel/wasabiwheel/endpoint"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

// simulation simulates the peak hours of the smaller of the users' deployments without
// a network. Nodes use their own requests and the endpoints' load reports. Endpoints
// start with an empty cache and keep a few objects. Callers retry once if they are
// rejected or get no answer.
type simulation struct {
	load   func(at time.Duration) float64 // share of the endpoints' capacity when all objects are warm
	decide func(admission.Request, admission.Estimate) admission.Verdict

	rng        *rand.Rand
	events     standin.EventQueue
	nodes      []*endpoint.Table
	servers    map[inventory.EndpointID]*server
	byPriority [3]results
}

const (
	servers   = 14
	slots     = 3
	maxQueue  = 9
	objects   = 90
	cacheSize = 25                     // objects that an endpoint keeps
	warmTime  = 264 * time.Millisecond // service time
	coldTime  = 880 * time.Millisecond
	objective = 600 * time.Millisecond

	routeTimeout  = 1500 * time.Millisecond
	callerTimeout = 4 * time.Second
	duration      = 24 * time.Second
	lateValue     = 0.2 // value of an answer after the objective, relative to one within it
	urgentShare   = 0.3 // share of requests on a route of priority 0; the others have priority 2
)

var epoch = time.Unix(1_700_000_000, 0)

// results counts the requests of callers and their answers.
type results struct{ requests, inObjective, late int }

// value returns the total value of the answers, as a share of the maximum.
func (r results) value() float64 {
	return (float64(r.inObjective) + lateValue*float64(r.late)) / float64(max(1, r.requests))
}

// answered returns the share of requests that were answered.
func (r results) answered() float64 {
	return float64(r.inObjective+r.late) / float64(max(1, r.requests))
}

func (r results) add(other results) results {
	return results{r.requests + other.requests, r.inObjective + other.inObjective, r.late + other.late}
}

// server is the actual state of an endpoint, of which nodes have only estimates.
type server struct {
	running int
	queue   []*attempt
	cache   []endpoint.Object // least recently used first
}

// attempt is the first request of a caller or its retry.
type attempt struct {
	object          endpoint.Object
	priority        inventory.Priority
	arrivedAt       time.Time // of the caller's first request
	startedAt, sent time.Time // start of this attempt, and when it was sent to an endpoint
	isRetry         bool
	node            int
	choice          endpoint.Choice
	done            bool
}

// run runs the simulation and returns the results of all requests.
func (s *simulation) run(seed uint64) (all results) {
	s.rng = rand.New(rand.NewPCG(seed, 1))
	s.servers = map[inventory.EndpointID]*server{}
	regions := endpoint.Regions{"d0": "r", "d1": "r"}
	for range 8 {
		s.nodes = append(s.nodes, endpoint.New(regions, endpoint.Bounds{}))
	}
	for i := range servers {
		e := inventory.Endpoint{ID: inventory.EndpointID(fmt.Sprint("e", i)), Service: "s", Domain: inventory.DomainID(fmt.Sprint("d", i%2)), Slots: slots, Address: fmt.Sprintf("10.0.0.%d:80", i+1)}
		s.servers[e.ID] = &server{}
		for _, t := range s.nodes {
			t.Register(epoch, e)
		}
	}
	for at := time.Duration(0); at < duration; {
		rate := s.load(at) * servers * slots / warmTime.Seconds()
		at += time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second))
		a := &attempt{object: endpoint.Object(1 + s.rng.IntN(objects)), arrivedAt: epoch.Add(at), node: s.rng.IntN(len(s.nodes))}
		if s.rng.Float64() >= urgentShare {
			a.priority = 2
		}
		s.events.At(a.arrivedAt, func(now time.Time) {
			s.byPriority[a.priority].requests++
			s.try(now, a)
		})
	}
	for at := time.Duration(0); at < duration; at += 250 * time.Millisecond {
		s.events.At(epoch.Add(at), func(now time.Time) {
			for _, t := range s.nodes {
				t.Tick(now)
			}
		})
	}
	s.events.Run()
	return s.byPriority[0].add(s.byPriority[2])
}

func (s *simulation) try(now time.Time, a *attempt) {
	a.startedAt = now
	left := min(routeTimeout, callerTimeout-now.Sub(a.arrivedAt))
	t := s.nodes[a.node]
	c, _ := t.Choose(now, endpoint.Query{Service: "s", Route: inventory.RouteID(fmt.Sprint(a.priority)), Object: a.object, Objective: objective})
	verdict := s.decide(
		admission.Request{Priority: a.priority, Objective: objective, Left: left},
		admission.Estimate{Wait: c.Wait, Run: c.NominalRun, WarmRun: c.WarmRun})
	if !verdict.Admit || !t.Start(now, c) {
		s.retry(now, a, verdict.RetryAfter)
		return
	}
	a.choice, a.sent = c, now
	e := s.servers[c.Endpoint.ID]
	switch {
	case e.running < slots:
		s.serve(now, a, e)
	case len(e.queue) < maxQueue:
		e.queue = append(e.queue, a)
	default:
		s.finish(now, a, e, endpoint.VerdictShed)
		s.retry(now, a, admission.RetryAfter(0, left))
		return
	}
	s.events.At(now.Add(left), func(now time.Time) { s.timeOut(now, a, e) })
}

// retry schedules the retry of a caller that has not retried yet, if it starts within
// the caller's timeout.
func (s *simulation) retry(now time.Time, a *attempt, after time.Duration) {
	next := &attempt{object: a.object, priority: a.priority, arrivedAt: a.arrivedAt, isRetry: true, node: s.rng.IntN(len(s.nodes))}
	if at := now.Add(after); !a.isRetry && at.Sub(a.arrivedAt) < callerTimeout {
		s.events.At(at, func(now time.Time) { s.try(now, next) })
	}
}

// timeOut ends an attempt that has not been answered in time.
func (s *simulation) timeOut(now time.Time, a *attempt, e *server) {
	if a.done {
		return
	}
	s.finish(now, a, e, endpoint.VerdictTimeout)
	if i := slices.Index(e.queue, a); i >= 0 {
		e.queue = slices.Delete(e.queue, i, i+1)
	} else {
		s.release(now, e)
	}
	s.retry(now, a, 0)
}

func (s *simulation) finish(now time.Time, a *attempt, e *server, verdict endpoint.Verdict) {
	a.done = true
	s.nodes[a.node].Finish(now, a.choice, endpoint.Result{
		Verdict: verdict, Took: now.Sub(a.sent), Running: e.running, Waiting: len(e.queue), Slots: slots,
	})
}

func (s *simulation) serve(now time.Time, a *attempt, e *server) {
	e.running++
	took := coldTime
	if e.access(a.object) {
		took = warmTime
	}
	took = time.Duration(float64(took) * (0.85 + 0.3*s.rng.Float64()))
	s.events.At(now.Add(took), func(now time.Time) {
		if a.done {
			return
		}
		s.finish(now, a, e, endpoint.VerdictServed)
		if now.Sub(a.arrivedAt) <= objective {
			s.byPriority[a.priority].inObjective++
		} else {
			s.byPriority[a.priority].late++
		}
		s.release(now, e)
	})
}

// release frees a slot and serves the next request in the queue.
func (s *simulation) release(now time.Time, e *server) {
	e.running--
	if len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		s.serve(now, next, e)
	}
}

// access reports whether an object is cached and makes it the most recently used one.
func (e *server) access(o endpoint.Object) bool {
	i := slices.Index(e.cache, o)
	if i >= 0 {
		e.cache = slices.Delete(e.cache, i, i+1)
	}
	e.cache = append(e.cache, o)
	if len(e.cache) > cacheSize {
		e.cache = e.cache[1:]
	}
	return i >= 0
}

// withoutLatencyBound admits every request that can be answered before its timeout.
func withoutLatencyBound(r admission.Request, e admission.Estimate) admission.Verdict {
	r.Objective = r.Left
	return admission.Decide(r, e)
}

// TestAdmissionUnderOverload guards against queues that make all answers late. It
// compares the value of the answers with that of admission without the latency bound.
// Without overload, the share of answered requests must reach the goal of package
// experiment.
func TestAdmissionUnderOverload(t *testing.T) {
	const goal = 0.95 // share of answered requests
	cases := map[string]struct {
		load     func(at time.Duration) float64
		overload bool // the load, with cold runs, exceeds what endpoints can serve
	}{
		"20% of capacity":               {load: steady(0.2)},
		"40% of capacity, empty caches": {load: steady(0.4)},
		"90% of capacity":               {load: steady(0.9), overload: true},
		"120% of capacity":              {load: steady(1.2), overload: true},
		"a burst": {overload: true, load: func(at time.Duration) float64 {
			if at > 10*time.Second && at < 16*time.Second {
				return 1.1
			}
			return 0.5
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The value of answers is higher, and highest on urgent routes", t, func() {
				var all, urgent, others, unbounded results
				for seed := range uint64(4) {
					sim := simulation{load: c.load, decide: admission.Decide}
					all = all.add(sim.run(seed))
					urgent, others = urgent.add(sim.byPriority[0]), others.add(sim.byPriority[2])
					unbounded = unbounded.add((&simulation{load: c.load, decide: withoutLatencyBound}).run(seed))
				}
				t.Logf("value %.3f (urgent %.3f, others %.3f, answered %.3f), without latency bound %.3f", all.value(), urgent.value(), others.value(), all.answered(), unbounded.value())
				if !c.overload {
					convey.So(all.answered(), convey.ShouldBeGreaterThanOrEqualTo, goal)
					return
				}
				convey.So(all.value(), convey.ShouldBeGreaterThan, unbounded.value())
				convey.So(urgent.value(), convey.ShouldBeGreaterThan, others.value())
			})
		})
	}
}

func steady(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}
