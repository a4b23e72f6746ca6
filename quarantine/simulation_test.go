package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/quarantine"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

// simulation simulates requests of many nodes at the endpoints of one service, without a
// network. Some of the requests crash the endpoints; failure domains and single endpoints fail
// by themselves, too. A request whose endpoint crashes is sent to one more endpoint.
type simulation struct {
	nodes   int
	deadly  float64       // deadly requests a second, all the same
	domains time.Duration // between crashes of a failure domain; 0: none
	singles time.Duration // between crashes of an endpoint; 0: none
	hot     float64       // share of the innocent requests that are one popular request
	way     way

	random    *rand.Rand
	events    standin.EventQueue
	tables    map[int]*quarantine.Table
	endpoints []*simEndpoint
	result    result
	third     time.Time // of the crashes by deadly requests; zero: not yet
}

// way is a way to find deadly requests.
type way struct {
	report bool // nodes report crashes to judges; otherwise each counts those that it sees
	probe  bool // one node at a time tries a suspected request
}

type result struct {
	crashes  int // of endpoints, by deadly requests
	late     int // deadly requests sent later than simContact after the third crash
	lost     int // innocent requests whose endpoints crashed twice
	innocent int // innocent requests that were rejected
	messages int // reports of crashes and of responses, and questions, to judges
}

type simEndpoint struct {
	index   int
	downTo  time.Time
	crash   int // counts its crashes
	running []*simRequest
}

// simRequest is a request at a node.
type simRequest struct {
	uri      string
	node     int
	deadly   bool
	attempts int
	asked    int
	probe    bool
}

const (
	simDuration  = 60 * time.Second
	simEndpoints = 60
	simDomains   = 6
	simRate      = 120.0 // innocent requests a second
	simDelay     = 20 * time.Millisecond
	simWork      = 300 * time.Millisecond
	simDown      = 3 * time.Second
	simJudges    = 3
	simContact   = 3 * time.Second // the shortest of the users' deployments
	maxLate      = 3               // sends that they allow
)

func (s *simulation) run() result {
	s.random, s.tables = rand.New(rand.NewPCG(1, 2)), map[int]*quarantine.Table{}
	for i := range simEndpoints {
		s.endpoints = append(s.endpoints, &simEndpoint{index: i})
	}
	s.every(simRate, func(now time.Time, i int) {
		r := &simRequest{uri: fmt.Sprint("/", i), node: s.random.IntN(s.nodes)}
		if s.random.Float64() < s.hot {
			r.uri = "/hot"
		}
		s.arrive(now, r)
	})
	s.every(s.deadly, func(now time.Time, _ int) {
		s.arrive(now, &simRequest{uri: "/deadly", node: s.random.IntN(s.nodes), deadly: true})
	})
	s.every(rateOf(s.domains), func(now time.Time, _ int) {
		domain := s.random.IntN(simDomains)
		for _, e := range s.endpoints {
			if e.index%simDomains == domain {
				s.events.At(now.Add(time.Duration(s.random.Int64N(int64(simDelay)))), func(now time.Time) { s.crash(now, e) })
			}
		}
	})
	s.every(rateOf(s.singles), func(now time.Time, _ int) { s.crash(now, s.endpoints[s.random.IntN(simEndpoints)]) })
	s.events.Run()
	return s.result
}

func rateOf(interval time.Duration) float64 {
	if interval == 0 {
		return 0
	}
	return 1 / interval.Seconds()
}

// every schedules a task at random times.
func (s *simulation) every(rate float64, task func(now time.Time, i int)) {
	if rate == 0 {
		return
	}
	count := 0
	for at := time.Duration(0); at < simDuration; at += time.Duration(s.random.ExpFloat64() / rate * float64(time.Second)) {
		count++
		i := count
		s.events.At(epoch.Add(at), func(now time.Time) { task(now, i) })
	}
}

func (s *simulation) table(node int) *quarantine.Table {
	if s.tables[node] == nil {
		s.tables[node] = quarantine.New()
	}
	return s.tables[node]
}

// judges are the last nodes, so that with many nodes they see few requests themselves.
func (s *simulation) judge(i int) *quarantine.Table { return s.table(max(0, s.nodes-1-i)) }

// arrive sends a request to an endpoint unless it may not be sent.
func (s *simulation) arrive(now time.Time, r *simRequest) {
	status := s.table(r.node).Status(now, request(r.uri))
	switch {
	case status.Quarantined > 0:
		s.reject(r)
	case status.IsSuspect() && s.way.probe && !s.mayProbe(now, r):
		if r.asked++; r.asked > 5 {
			switch {
			case r.attempts > 0 && !r.deadly:
				s.result.lost++
			case r.attempts > 0:
			case status.IsAlmostProven():
				s.reject(r)
			default:
				s.send(now, r)
			}
			return
		}
		s.events.At(now.Add(200*time.Millisecond), func(now time.Time) { s.arrive(now, r) })
	default:
		s.send(now, r)
	}
}

func (s *simulation) mayProbe(now time.Time, r *simRequest) bool {
	s.result.messages++
	f := request(r.uri).Fingerprint()
	g := s.judge(0).Grant(now, f, inventory.EntryID(fmt.Sprint(r.node)))
	if g == quarantine.GrantFree {
		s.table(r.node).Clear(now, f)
	}
	r.probe = g == quarantine.GrantProbe
	return g != quarantine.GrantDenied
}

func (s *simulation) reject(r *simRequest) {
	if !r.deadly {
		s.result.innocent++
	}
}

func (s *simulation) send(now time.Time, r *simRequest) {
	e := s.endpoints[s.random.IntN(simEndpoints)]
	for e.downTo.After(now) {
		e = s.endpoints[s.random.IntN(simEndpoints)]
	}
	r.attempts++
	if r.deadly && !s.third.IsZero() && now.Sub(s.third) > simContact {
		s.result.late++
	}
	e.running = append(e.running, r)
	crashes := e.crash
	s.events.At(now.Add(time.Duration(s.random.ExpFloat64()*float64(simWork))), func(now time.Time) {
		switch {
		case e.crash != crashes:
		case r.deadly:
			if s.result.crashes++; s.result.crashes == 3 {
				s.third = now
			}
			s.crash(now, e)
		default:
			e.running = slices.DeleteFunc(e.running, func(other *simRequest) bool { return other == r })
			s.answered(now, r)
		}
	})
}

// crash ends all requests at an endpoint.
func (s *simulation) crash(now time.Time, e *simEndpoint) {
	if e.downTo.After(now) {
		return
	}
	e.downTo = now.Add(simDown)
	e.crash++
	lost := e.running
	e.running = nil
	for _, r := range lost {
		s.events.At(now.Add(simDelay), func(now time.Time) { s.broken(now, r, e) })
	}
}

func (s *simulation) broken(now time.Time, r *simRequest, e *simEndpoint) {
	c := crash(r.uri, fmt.Sprint(e.index, "/", e.crash), now)
	c.Probe = r.probe || !s.way.probe
	own := s.table(r.node)
	own.RecordCrash(now, c, !s.way.report)
	if s.way.report {
		for i := range simJudges {
			s.result.messages++
			if status, issued := s.judge(i).RecordCrash(now, c, true); issued != nil {
				s.tell(now, *issued)
			} else {
				own.RecordTold(c.Fingerprint, status.Evidence)
			}
		}
	}
	if r.attempts > 1 {
		if !r.deadly {
			s.result.lost++
		}
		return
	}
	s.events.At(now.Add(2*simDelay), func(now time.Time) { s.arrive(now, r) })
}

// tell tells all nodes of a quarantine, as the store does.
func (s *simulation) tell(now time.Time, r quarantine.Record) {
	s.events.At(now.Add(600*time.Millisecond), func(now time.Time) {
		for node := range s.nodes {
			s.table(node).Learn(now, []quarantine.Record{r})
		}
	})
}

func (s *simulation) answered(now time.Time, r *simRequest) {
	f := request(r.uri).Fingerprint()
	if !s.table(r.node).Clear(now, f) || !s.way.report {
		return
	}
	for i := range simJudges {
		s.result.messages++
		s.judge(i).Clear(now, f)
	}
}

// TestDeadlyRequestsOnManyNodes compares ways to find deadly requests. The chosen one rejects no
// innocent request, however endpoints crash, and does not depend on the number of nodes.
func TestDeadlyRequestsOnManyNodes(t *testing.T) {
	loads := map[string]simulation{
		"deadly requests":                       {deadly: 2},
		"deadly requests, crashes of all kinds": {deadly: 2, domains: 7 * time.Second, singles: 2 * time.Second, hot: 0.3},
		"a failure domain every 3 s":            {domains: 3 * time.Second, hot: 0.3},
		"three endpoints a second":              {singles: 300 * time.Millisecond, hot: 0.3},
	}
	ways := map[string]way{"each alone": {}, "judges": {report: true}, "judges, one at a time (chosen)": {report: true, probe: true}}
	for name, load := range loads {
		for wayName, w := range ways {
			for _, nodes := range []int{10, 200, 2000} {
				t.Run(fmt.Sprintf("%s/%s/%d nodes", name, wayName, nodes), func(t *testing.T) {
					s := load
					s.nodes, s.way = nodes, w
					got := s.run()
					t.Logf("%+v", got)
					if !w.probe {
						return
					}
					convey.Convey("Deadly requests reach no endpoints soon, and all innocent ones are served", t, func() {
						convey.So(got.innocent, convey.ShouldEqual, 0)
						convey.So(got.late, convey.ShouldBeLessThanOrEqualTo, maxLate)
					})
				})
			}
		}
	}
}
