package soak

// The observations of callers, endpoints and the operator, and the guarantees that are
// checked on each of them. Nothing here reads a clock or a process: each method gets
// the time of its observation.

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/wasabiwheel/wasabiwheel/caller"
	"github.com/wasabiwheel/wasabiwheel/exchange"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/node"
)

// The bounds that the users' pages state and that are not in a node's settings.
const (
	applyBound       = 2 * time.Second        // from the confirmation of a configuration until it is in force
	drainBound       = 5 * time.Second        // until a drained failure domain receives no requests
	revertBound      = 250 * time.Millisecond // from the first use of a version until no request is handled by an older one
	closeRaceBound   = 200 * time.Millisecond // age up to which a request may be lost because its idle connection closes as it is sent
	lateBound        = 500 * time.Millisecond // by which an answer may exceed its route's timeout
	deadNodeBound    = 3 * time.Second        // after the recovery bound, until lookups no longer return a dead node
	recoverBound     = 15 * time.Second       // from the end of all faults until requests are served again
	recoverShare     = 0.9                    // share of requests that are served after recoverBound
	deadTolerance    = 3                      // lookups that may return a dead node without a violation
	lateTolerance    = 8                      // answers that may be late without a violation
	requestRetention = time.Minute            // time for which ended requests are kept
)

// Scope is the part of the system that a fault affects.
type Scope string

// The scopes that are not one node or endpoint.
const (
	ScopeAll   Scope = "all" // the machine that runs the soak
	ScopeStore Scope = "store"
)

// ScopeOfNode returns the scope of one node and its links.
func ScopeOfNode(n int) Scope { return Scope(fmt.Sprint("node ", n)) }

// ScopeOfEndpoint returns the scope of one endpoint and its link.
func ScopeOfEndpoint(e inventory.EndpointID) Scope { return Scope("endpoint " + string(e)) }

// Violation reports when and how a guarantee was violated.
type Violation struct {
	Guarantee string // its short name, such as "dead"
	At        time.Duration
	Text      string
}

// Request describes a request that a caller sends.
type Request struct {
	ID          string
	Route       inventory.RouteID
	Node        int // index of the node that it is sent to
	Incarnation int // number of that node's process, from 1
	Sent        time.Time
	Timeout     time.Duration
}

// requestState is a request with its observed progress.
type requestState struct {
	Request
	sender   int // node that last sent it to an endpoint; unknownSender: unknown
	arrivals int // at endpoints
	runs     int
	ended    time.Time
	served   bool
}

// faultInterval is the time of a fault; a zero end means that it is still active.
type faultInterval struct{ from, to time.Time }

// version is a configuration, identified by the service that the probe route goes to.
type version struct {
	service         inventory.ServiceID
	sent, confirmed time.Time // a zero confirmed means that it may or may not be in force
}

// appliedVersion is the newest configuration that a process is known to have used.
type appliedVersion struct {
	incarnation int
	version     int // index in Checker.versions
	at          time.Time
}

// arrival is the arrival of a request at an endpoint of a service.
type arrival struct {
	at    time.Time
	extra bool // not the first arrival of its request
}

// exitTime is the time at which a node's process exited; zero: it runs.
type exitTime time.Time

// Checker records observations and checks the guarantees. It is safe for concurrent
// use.
type Checker struct {
	began     time.Time
	bounds    node.Bounds
	routes    map[inventory.RouteID]inventory.Route
	coldRates map[inventory.ServiceID]float64

	mu            sync.Mutex
	states        map[string]*requestState
	onceRuns      map[string]int // runs of each request that may run only once; never dropped
	refused       map[string]bool
	faults        map[Scope][]faultInterval
	versions      []version
	applied       map[int]appliedVersion
	drained       map[inventory.DomainID]time.Time
	leaving       map[inventory.EndpointID]time.Time
	coldUntil     map[inventory.EndpointID]time.Time // time until which each endpoint is cold
	sent          map[inventory.ServiceID][]time.Time
	arrivals      map[inventory.ServiceID][]arrival
	coldArrivals  map[inventory.EndpointID][]time.Time
	limitedSince  map[inventory.EndpointID]time.Time // since when each endpoint names a limit
	limitArrivals map[inventory.EndpointID][]time.Time
	toldLeaving   map[link]told
	pauses        map[link]*pauseAsked
	incarnations  map[int]int // starts of each node
	exited        map[int]exitTime
	deadLookups   int
	lateAnswers   int
	violations    []Violation
	Totals        Totals
}

// Totals counts the requests, lookups and faults of a run.
type Totals struct {
	Sent, Served, Refused, Unknown, Unanswered, Lookups, Faults int
}

// NewChecker returns a checker without observations.
func NewChecker(began time.Time, b node.Bounds, conf inventory.Configuration) *Checker {
	c := &Checker{
		began: began, bounds: b,
		routes: map[inventory.RouteID]inventory.Route{}, coldRates: map[inventory.ServiceID]float64{},
		states: map[string]*requestState{}, onceRuns: map[string]int{}, refused: map[string]bool{},
		faults: map[Scope][]faultInterval{}, applied: map[int]appliedVersion{},
		drained: map[inventory.DomainID]time.Time{}, leaving: map[inventory.EndpointID]time.Time{},
		coldUntil: map[inventory.EndpointID]time.Time{}, sent: map[inventory.ServiceID][]time.Time{},
		arrivals: map[inventory.ServiceID][]arrival{}, coldArrivals: map[inventory.EndpointID][]time.Time{},
		limitedSince: map[inventory.EndpointID]time.Time{}, limitArrivals: map[inventory.EndpointID][]time.Time{},
		toldLeaving: map[link]told{}, pauses: map[link]*pauseAsked{}, incarnations: map[int]int{},
		exited: map[int]exitTime{},
	}
	for _, r := range conf.Routes {
		c.routes[r.ID] = r
	}
	for _, s := range conf.Services {
		c.coldRates[s.ID] = float64(s.ColdRate)
	}
	return c
}

// Violations returns the violations so far.
func (c *Checker) Violations() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}

func (c *Checker) addViolation(at time.Time, guarantee, format string, args ...any) {
	c.violations = append(c.violations, Violation{Guarantee: guarantee, At: at.Sub(c.began), Text: fmt.Sprintf(format, args...)})
}

// RecordViolation records a violation that was detected elsewhere.
func (c *Checker) RecordViolation(at time.Time, guarantee, text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(at, guarantee, "%s", text)
}

// BeginFault records that a fault affects a scope from now on. endFault records its end.
func (c *Checker) BeginFault(now time.Time, s Scope) (endFault func(time.Time)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := len(c.faults[s])
	c.faults[s] = append(c.faults[s], faultInterval{from: now})
	return func(then time.Time) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.faults[s][i].to = then
	}
}

// RecordFault records a fault that has ended.
func (c *Checker) RecordFault(s Scope, from, to time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults[s] = append(c.faults[s], faultInterval{from, to})
}

// undisturbed reports whether no fault affected any of the scopes between two times,
// nor during the recovery bound before the first.
func (c *Checker) undisturbed(from, to time.Time, scopes ...Scope) bool {
	from = from.Add(-c.bounds.Recovery.Duration)
	for _, s := range append(scopes, ScopeAll) {
		for _, d := range c.faults[s] {
			if d.from.Before(to) && (d.to.IsZero() || d.to.After(from)) {
				return false
			}
		}
	}
	return true
}

// boundsHold reports whether the time bounds apply to a node between two times.
func (c *Checker) boundsHold(n int, from, to time.Time) bool {
	return c.undisturbed(from, to, ScopeOfNode(n), ScopeStore, scopeOfStop(n))
}

// pathHolds reports whether the time bounds apply, between two times, to the nodes that a request
// passes: one that is cut off forwards it to another, which sends it to an endpoint.
func (c *Checker) pathHolds(r *requestState, from, to time.Time) bool {
	return c.boundsHold(r.Node, from, to) && (r.sender == unknownSender || r.sender == r.Node || c.boundsHold(r.sender, from, to))
}

// scopeOfStop returns the scope of the planned stop of a node. The time bounds
// don't apply during it, but no request may be lost.
func scopeOfStop(n int) Scope { return Scope(fmt.Sprint("stop ", n)) }

// RecordSent records a request that is about to be sent.
func (c *Checker) RecordSent(r Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Totals.Sent++
	c.states[r.ID] = &requestState{Request: r, sender: unknownSender}
	route := c.routes[r.Route]
	if !route.Idempotent {
		c.onceRuns[r.ID] = 0
	}
	for _, s := range c.servicesOf(route) {
		c.sent[s] = append(timesFrom(c.sent[s], r.Sent.Add(-2*c.bounds.Retry.Window.Duration)), r.Sent)
	}
}

// servicesOf returns the services that requests of a route may go to now.
func (c *Checker) servicesOf(r inventory.Route) []inventory.ServiceID {
	if r.ID == probeRoute && len(c.versions) > 0 {
		return []inventory.ServiceID{c.versions[len(c.versions)-1].service}
	}
	var all []inventory.ServiceID
	for _, p := range r.TrafficSplit {
		all = append(all, p.Service)
	}
	return all
}

// timesFrom returns the sorted times from a time on.
func timesFrom(times []time.Time, from time.Time) []time.Time {
	i, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	return times[i:]
}

// EndpointInfo is the endpoint at which a request arrives or runs.
type EndpointInfo struct {
	ID      inventory.EndpointID
	Domain  inventory.DomainID
	Service inventory.ServiceID
}

// RecordArrival records the arrival of a request at the endpoint that it is addressed
// to.
func (c *Checker) RecordArrival(now time.Time, id string, e EndpointInfo) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.states[id]
	if r == nil {
		c.addViolation(now, "unasked", "request %q at %s was not sent by any caller", id, e.ID)
		return
	}
	r.arrivals++
	if c.refused[id] {
		c.addViolation(now, "refused", "request %s arrived at %s after it was answered not-run", id, e.ID)
	}
	c.checkBudget(now, e.Service, r.arrivals > 1)
	c.checkCold(now, r, e)
	c.checkLimit(now, r, e)
	c.checkDrain(now, r, e)
}

// RecordRun records that an endpoint starts to process a request.
func (c *Checker) RecordRun(now time.Time, id string, e EndpointInfo) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if runs, is := c.onceRuns[id]; is {
		c.onceRuns[id]++
		if runs > 0 {
			c.addViolation(now, "twice", "request %s, which may run only once, ran again at %s", id, e.ID)
		}
	}
	if c.refused[id] {
		c.addViolation(now, "refused", "request %s ran at %s after it was answered not-run", id, e.ID)
	}
	r := c.states[id]
	if r == nil {
		return // reported by RecordArrival
	}
	r.runs++
	if limit := c.routes[r.Route].Attempts; r.runs > limit {
		c.addViolation(now, "attempts", "request %s ran at %d endpoints; the limit is %d", id, r.runs, limit)
	}
	if r.Route == probeRoute {
		c.checkVersion(now, r, e)
	}
}

// RecordAnswer records how a request ended for its caller. err is the error of its
// connection if there was no complete answer; cancelled says that the caller cancelled
// it.
func (c *Checker) RecordAnswer(now time.Time, id string, reply caller.Reply, err error, cancelled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.states[id]
	r.ended = now
	switch {
	case cancelled:
	case err != nil:
		c.Totals.Unanswered++
		c.checkLoss(now, r, err)
	case reply.Outcome == caller.OutcomeNotRun || exchange.MeansNotRun(reply.Status):
		c.Totals.Refused++
		c.refused[id] = true
		if r.runs > 0 {
			c.addViolation(now, "refused", "request %s ran and was answered not-run (%d, %s)", id, reply.Status, reply.Reason)
		}
	case reply.Outcome == caller.OutcomeUnknown:
		c.Totals.Unknown++
	default:
		r.served = reply.Status < 500
		if r.served {
			c.Totals.Served++
		}
	}
	if now.Sub(r.Sent) > r.Timeout+lateBound && !cancelled && c.undisturbed(r.Sent, now, ScopeOfNode(r.Node)) {
		c.lateAnswers++
		if c.lateAnswers > lateTolerance {
			c.addViolation(now, "late", "request %s at node %d ended after %s; the timeout of its route is %s", id, r.Node, now.Sub(r.Sent), r.Timeout)
		}
	}
}

// RecordMismatch records an answer that does not match its request.
func (c *Checker) RecordMismatch(now time.Time, id, text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(now, "mixed", "request %s: %s", id, text)
}

// RecordLookup records which nodes a node returned in a lookup.
func (c *Checker) RecordLookup(now time.Time, n int, returned []int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Totals.Lookups++
	running, dead := 0, -1
	for _, i := range returned {
		since := time.Time(c.exited[i])
		switch {
		case since.IsZero():
			running++
		case now.Sub(since) > c.bounds.Recovery.Duration+deadNodeBound:
			dead = i
		}
	}
	if dead < 0 || running == 0 || !c.boundsHold(n, now, now) {
		return
	}
	c.deadLookups++
	if c.deadLookups > deadTolerance {
		c.addViolation(now, "dead", "a lookup at node %d returned node %d, which exited at %s", n, dead, time.Time(c.exited[dead]).Sub(c.began))
	}
}

// SetRunning records whether a node's process runs.
func (c *Checker) SetRunning(now time.Time, n int, running bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if running {
		c.incarnations[n]++
		delete(c.exited, n)
		return
	}
	c.exited[n] = exitTime(now)
}

// RecordPublish records that a configuration is about to be sent to the store. confirm
// records its confirmation.
func (c *Checker) RecordPublish(now time.Time, s inventory.ServiceID) (confirm func(time.Time)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := len(c.versions)
	c.versions = append(c.versions, version{service: s, sent: now})
	return func(then time.Time) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.versions[i].confirmed = then
	}
}

// SetDrained records that the store has confirmed a drain or, with a zero time, that
// it is about to be reverted.
func (c *Checker) SetDrained(d inventory.DomainID, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drained[d] = since
}

// SetLeaving records that the store has confirmed that an endpoint is leaving or, with
// a zero time, that it starts again.
func (c *Checker) SetLeaving(id inventory.EndpointID, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving[id] = since
	if since.IsZero() {
		c.forgetTold(id)
	}
}

// SetCold records until when an endpoint is cold.
func (c *Checker) SetCold(id inventory.EndpointID, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.coldUntil[id] = until
}

// DropOldRequests drops the requests that ended more than requestRetention ago. The
// records behind the run-once and not-run guarantees are kept.
func (c *Checker) DropOldRequests(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, r := range c.states {
		if !r.ended.IsZero() && now.Sub(r.ended) > requestRetention {
			delete(c.states, id)
		}
	}
}
