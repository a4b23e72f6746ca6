package endpoint

// Choice of an endpoint for one request. It is designed for loads that the endpoints can
// serve if each object is served where it is warm, but that far exceed their capacity with
// cold runs.
//
// The first candidates by rendezvous hashing are compared by the time that the request is
// expected to take at each: the round trip, the wait for a slot, and the service time, which
// is several times longer where the object is not warm. A cold run costs more than its own
// time: it takes capacity from other requests, and objects that spread over many endpoints
// stay warm at none of them.

import (
	"math"
	"slices"
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

const (
	noPrimary         = -1  // rank of a primary endpoint that is no candidate
	maxCandidates     = 4   // endpoints compared for one request
	failureCostFactor = 2.0 // cost of a certain failure, in objectives
	// coldCostFactor weights the service time that a request needs beyond that of a warm
	// run, at full utilization of the service: it occupies the slots of later requests.
	// The weight falls steeply with lower utilization, by coldCostExponent, since the use
	// of idle slots costs nothing.
	coldCostFactor    = 6.0
	coldCostExponent  = 6.0
	defaultCold       = 1.5   // cold service time in objectives, before the first sample
	defaultWarm       = 0.5   // warm service time in objectives, before the first sample
	poolSampleWeight  = 0.05  // of one request in the mean service time of a service
	routeSampleWeight = 0.1   // of one request in the mean service times of a route
	slowThreshold     = 2.0   // slowdown from which an endpoint counts as slow
	coldThreshold     = 1.8   // multiple of the warm service time above which a run counts as cold
	fullTolerance     = 0.999 // share of the slots, to allow for rounding of estimates
	// connectionShare is the part of an endpoint's connections that all nodes
	// together use. The rest is for nodes that are not known yet, and for
	// connections that the endpoint still holds after their node closed them.
	connectionShare   = 0.7
	dialTimeoutFactor = 4                      // multiple of the round trip time
	dialTimeoutMargin = 100 * time.Millisecond // for an endpoint under load
	minConnections    = 2                      // from one node to an endpoint
	maxConnections    = 32                     // from one node to an endpoint; endpoints have far fewer slots
)

// Query holds the requirements of a request.
type Query struct {
	Service   inventory.ServiceID
	Route     inventory.RouteID
	Object    Object               // 0: none
	Seed      uint64               // ranks the endpoints if there is no object
	Homes     []inventory.RegionID // regions whose endpoints may be used; empty: all
	Objective time.Duration
	Tried     []inventory.EndpointID // excluded from the choice
	Unlimited bool                   // endpoints with a limit are excluded
	Mixed     bool                   // endpoints with a limit are ranked among the others
	// LastResort admits endpoints that have said for long that they leave, but are still
	// registered as ready.
	LastResort bool
	Isolated   bool // the request may crash the endpoint: few others should be there
	// Hedge marks a second copy of a request. All nodes prefer the same endpoint for those of an
	// object, so that it is cached there after the first one.
	Hedge bool

	within *region // whose endpoints may be used; nil: any
}

// key returns what the endpoints are ranked by.
func (q Query) key() uint64 {
	if q.Object == 0 {
		return q.Seed
	}
	return uint64(q.Object)
}

// Choice is an endpoint for a request, with the estimates behind the choice.
type Choice struct {
	Endpoint   inventory.Endpoint
	Region     inventory.RegionID
	Moved      Move          // why it is not the endpoint that ranks first for the object
	Rank       int           // position among the candidates, from 0
	Warm       bool          // the endpoint is expected to have the object cached
	Cold       bool          // the endpoint may still be cold
	Wait       time.Duration // expected time until a slot is free
	Run        time.Duration // expected round trip and service time
	NominalRun time.Duration // Run without the endpoint's slowdown
	WarmRun    time.Duration // NominalRun if the object is cached
	ColdTotal  time.Duration // Wait plus NominalRun if the object is not cached
	Requests   float64       // estimated requests at the endpoint
	RoundTrip  time.Duration // to the endpoint's failure domain; 0: unknown
	Free       bool          // no wait is expected
	// Utilization is the number of requests per slot of the service.
	Utilization float64
	Limited     bool // the endpoint names a limit: the request needs a permit
	LastResort  bool // the endpoint has said that it leaves, and is registered as ready
	Replica     bool // the object may get a replica there, or has one
	Unmeasured  bool // no request of the route has been served yet, so service times are defaults
	// MaxConnections is the number of connections that this node may have to the endpoint.
	// DialTimeout is the timeout for opening one; 0: unknown.
	MaxConnections int
	DialTimeout    time.Duration

	id           uint64 // identifies the choice
	state        *endpointState
	object       Object
	served       bool    // the endpoint is known to have served the object recently
	replica      bool    // the endpoint ranks after the primary one
	isolated     bool    // other requests avoid the endpoint meanwhile
	noise        float64 // expected slowdown by the endpoint's report
	serviceTimes *serviceTimes
}

// Total returns the time that the request is expected to take.
func (c Choice) Total() time.Duration { return c.Wait + c.Run }

// Reason states why no endpoint can be chosen for a request.
type Reason string

// The reasons.
const (
	ReasonNone    Reason = "none"   // the service has no usable endpoint
	ReasonLeaves  Reason = "leaves" // the remaining endpoints leave, by their own word
	ReasonTried   Reason = "tried"  // all usable endpoints were tried
	ReasonCold    Reason = "cold"   // the remaining endpoints are cold and may get no more from this node at present
	ReasonBackoff Reason = "rest"   // the remaining endpoints are in backoff
	ReasonPause   Reason = "pause"  // the remaining endpoints have asked for a pause
	ReasonLimit   Reason = "limit"  // the remaining endpoints get as many requests as they allow
)

// candidate is an endpoint with its rendezvous score.
type candidate struct {
	state *endpointState
	score float64
}

// Choose returns the endpoint with the lowest expected cost for a request. If there is
// none, it returns the reason.
func (t *Table) Choose(now time.Time, q Query) (Choice, Reason) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.services[q.Service]
	if p == nil {
		return Choice{}, ReasonNone
	}
	c, reason := t.choose(now, p, q)
	if reason == ReasonLeaves {
		q.LastResort = true
		c, reason = t.choose(now, p, q)
	}
	return c, reason
}

func (t *Table) choose(now time.Time, p *pool, q Query) (Choice, Reason) {
	if q.Isolated {
		if c, ok := t.chooseIsolated(now, p, q); ok {
			return c, ""
		}
	}
	ranked, moved, reason := t.rankPlaced(now, p, q)
	if reason != "" {
		return Choice{}, reason
	}
	best := t.preferLocal(now, p, q, ranked.best)
	var chosen, primary estimate
	primaryRank := t.rankOfPrimary(now, q, best)
	rank, lowest := 0, math.Inf(1)
	for i, cand := range best {
		e := t.estimate(now, p, q, cand.state, i == primaryRank)
		cost := e.cost()
		switch {
		case i == primaryRank:
			primary = e
		case q.Hedge && i == 0:
			cost = e.asReplication().cost()
		case i == primaryRank+replicaOffset && p.mayReplicate(now, q, primary, e):
			cost = e.asReplication().cost()
		}
		if cost < lowest {
			chosen, rank, lowest = e, i, cost
		}
	}
	c := t.choice(now, p, q, best[rank].state, rank, chosen)
	if c.Moved = ranked.move(best, rank, primaryRank); c.Moved == "" {
		c.Moved = moved
	}
	c.replica = rank > primaryRank
	c.Replica = q.Hedge && rank == 0 && p.utilization < maxReplicaUtilization
	return c, ""
}

// rankOfPrimary returns the rank of the endpoint that is expected to have served the object
// before. That is the first one, unless it has just started: then its objects were served by
// the next one that has not. The rank is noPrimary if this request was tried there.
func (t *Table) rankOfPrimary(now time.Time, q Query, best []candidate) int {
	tried := q.Tried
	q.Tried = nil
	for _, id := range tried {
		s := t.byID[id]
		if s != nil && s.Service == q.Service && !s.limit.inForce() && t.exclusion(now, s, q) == "" && score(unitHash(q.key(), s), s) > best[0].score {
			return noPrimary
		}
	}
	for i, cand := range best {
		if !cand.state.warmup.active(now) {
			return i
		}
	}
	return 0
}

// ranking holds the usable endpoints of a service with the highest scores for an object.
type ranking struct {
	best     []candidate // in descending order
	limited  candidate   // the first usable endpoint with a limit, if these are ranked apart
	excluded candidate   // the first endpoint that is excluded for a time
	reason   Reason      // why it is
}

// rank returns the usable endpoints with the highest scores. Of those with a
// limit it returns only the first one, and only if that ranks before all without a limit:
// otherwise an object would be cached at many endpoints that may serve it only now and then. If
// all endpoints have limits, they are ranked like others. If none is usable, rank returns the
// reason.
func (t *Table) rank(now time.Time, p *pool, q Query) (r ranking, reason Reason) {
	r = t.scan(now, p, q, q.Mixed)
	switch {
	case len(r.best) == 0 && r.limited.state == nil:
		return r, t.noEndpointReason(now, p, q)
	case len(r.best) == 0:
		r = t.scan(now, p, q, true)
	case r.limited.state != nil && r.limited.score > r.best[0].score:
		r.best = slices.Insert(r.best, 0, r.limited)[:min(len(r.best)+1, maxCandidates)]
	}
	return r, ""
}

// scan ranks the endpoints of a service, those with a limit among the others if mixed is set.
func (t *Table) scan(now time.Time, p *pool, q Query, mixed bool) ranking {
	key := q.key()
	r := ranking{best: make([]candidate, 0, maxCandidates+1)}
	for _, s := range p.endpoints {
		u := unitHash(key, s)
		apart := !mixed && s.limit.inForce()
		lowest := 0.0 // score that the endpoint has to exceed
		switch {
		case apart:
			lowest = r.limited.score
		case len(r.best) == maxCandidates:
			lowest = r.best[maxCandidates-1].score
		}
		// slots/(1-u) is an upper bound of the score and avoids the logarithm.
		if float64(s.Slots) <= lowest*(1-u) {
			continue
		}
		cand := candidate{state: s, score: score(u, s)}
		reason := t.exclusion(now, s, q)
		switch {
		case reason != "":
			r.exclude(cand, reason)
		case cand.score <= lowest:
		case apart:
			r.limited = cand
		default:
			r.best = insert(r.best, cand)
		}
	}
	return r
}

// insert inserts a candidate by its score and keeps the first maxCandidates.
func insert(best []candidate, c candidate) []candidate {
	i := len(best)
	for i > 0 && best[i-1].score < c.score {
		i--
	}
	best = slices.Insert(best, i, c)
	return best[:min(len(best), maxCandidates)]
}

// noEndpointReason returns the most transient reason why an endpoint of a service may not
// get a request.
func (t *Table) noEndpointReason(now time.Time, p *pool, q Query) Reason {
	reason := ReasonNone
	for _, s := range p.endpoints {
		if other := t.exclusion(now, s, q); other != "" {
			reason = moreTransient(reason, other)
		}
	}
	return reason
}

// exclusion returns the reason why an endpoint may not get a request, or "" if it may.
func (t *Table) exclusion(now time.Time, s *endpointState, q Query) Reason {
	switch {
	case s.Draining || s.replaced || t.drained[s.Domain]:
		return ReasonNone
	case t.leaves(now, s, q.LastResort):
		return ReasonLeaves
	case q.within != nil && s.region != q.within:
		return ReasonNone
	case len(q.Homes) > 0 && !slices.Contains(q.Homes, t.regions[s.Domain]):
		return ReasonNone
	case slices.Contains(q.Tried, s.ID):
		return ReasonTried
	case !s.health.usable(now):
		return ReasonBackoff
	case s.covers(now, 0):
		return ReasonPause
	case s.warmup.active(now) && !t.maySendCold(now, s):
		return ReasonCold
	case s.limit.isHeld(now) || q.Unlimited && s.limit.inForce():
		return ReasonLimit
	}
	return ""
}

// Exclusions counts the endpoints of a service that a request may not use, by reason.
type Exclusions struct {
	Leaving int `json:"leaves"` // by their own word
	None    int `json:"none"`   // draining, drained, replaced, or outside the home regions
	Tried   int `json:"tried"`
	Backoff int `json:"rest"`  // not reached recently
	Cold    int `json:"cold"`  // at their rate bound, or reserved for other nodes
	Paused  int `json:"pause"` // they have asked for it
	Limited int `json:"limit"` // no permit for them now
}

// Excluded counts the endpoints that a request may not use, by reason.
func (t *Table) Excluded(now time.Time, q Query) Exclusions {
	t.mu.Lock()
	defer t.mu.Unlock()
	var e Exclusions
	p := t.services[q.Service]
	if p == nil {
		return e
	}
	for _, s := range p.endpoints {
		switch t.exclusion(now, s, q) {
		case ReasonNone:
			e.None++
		case ReasonLeaves:
			e.Leaving++
		case ReasonTried:
			e.Tried++
		case ReasonBackoff:
			e.Backoff++
		case ReasonCold:
			e.Cold++
		case ReasonPause:
			e.Paused++
		case ReasonLimit:
			e.Limited++
		}
	}
	return e
}

// moreTransient returns the reason that is more likely to pass by itself.
func moreTransient(a, b Reason) Reason {
	order := []Reason{ReasonNone, ReasonLeaves, ReasonTried, ReasonBackoff, ReasonCold, ReasonPause, ReasonLimit}
	if slices.Index(order, b) > slices.Index(order, a) {
		return b
	}
	return a
}

// score ranks endpoints by weighted rendezvous hashing: an endpoint ranks first for a share
// of the objects that equals its share of the slots.
func score(u float64, s *endpointState) float64 { return -float64(s.Slots) / math.Log(u) }

// unitHash hashes an object and an endpoint to a number between 0 and 1, exclusive.
func unitHash(key uint64, s *endpointState) float64 {
	return (float64(mix(key^s.hash)>>11) + 0.5) / (1 << 53)
}

// mix spreads the bits of a hash (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// estimate holds the expected times of a request at a candidate, in seconds.
type estimate struct {
	wait        float64 // until a slot is free
	serviceTime float64 // without slowdown
	warm, cold  float64 // service time with the object cached, and without
	roundTrip   float64
	slowdown    float64 // service time relative to that of other endpoints
	noise       float64 // service time relative to the usual one of the endpoint, by its report
	utilization float64 // requests per slot of the service
	failureCost float64 // expected cost of failures and rejections
	requests    float64 // estimated requests at the endpoint
	isWarm      bool    // the object is expected to be cached
}

// estimate returns the expected times of a request at a candidate.
func (t *Table) estimate(now time.Time, p *pool, q Query, s *endpointState, isPrimary bool) estimate {
	objective := q.Objective.Seconds()
	e := estimate{
		roundTrip:   t.roundTrip(s.Domain).Seconds(),
		slowdown:    max(s.health.currentSlowdown(now), s.overdue(now)),
		noise:       s.load.noise(now),
		utilization: p.utilization,
		failureCost: s.health.currentFailureScore(now) * failureCostFactor * objective,
		requests:    s.requests(now),
		isWarm:      q.Object == 0 || isPrimary || p.locations.contains(q.Object, s),
	}
	e.warm, e.cold = t.routeServiceTimes(q.Route).estimates(objective)
	e.serviceTime = e.cold
	if e.isWarm {
		e.serviceTime = e.warm
	}
	if slots := float64(s.Slots); e.requests > slots*fullTolerance-1 {
		e.wait = max(0, e.requests+1-slots) / slots * p.serviceTime.orDefault(e.warm) * e.slowdown * e.noise
	}
	if s.isolating > 0 {
		e.failureCost += isolationCostFactor * objective
	}
	if s.load.isFull(now, e.requests) {
		e.failureCost += rejectionCostFactor * objective
	}
	return e
}

// total returns the time until the answer.
func (e estimate) total() float64 { return e.wait + e.run() }

// run returns the round trip and service time.
func (e estimate) run() float64 { return e.serviceTime*e.slowdown*e.noise + e.roundTrip }

// cost returns the time until the answer plus the cost of failures and of the capacity that
// the request takes from others.
func (e estimate) cost() float64 {
	slowdown := e.slowdown
	if slowdown < slowThreshold {
		slowdown = 1 // within the variation of single requests
	}
	extra := max(0, e.serviceTime*slowdown-e.warm) * coldCostFactor * math.Pow(e.utilization, coldCostExponent)
	return e.total() + extra + e.failureCost
}

func (t *Table) choice(now time.Time, p *pool, q Query, s *endpointState, rank int, e estimate) Choice {
	t.choices++
	return Choice{
		id:             t.choices,
		Endpoint:       s.Endpoint,
		Region:         t.regions[s.Domain],
		Rank:           rank,
		Warm:           e.isWarm,
		Cold:           s.warmup.active(now),
		Wait:           toDuration(e.wait),
		Run:            toDuration(e.run()),
		NominalRun:     toDuration(e.serviceTime + e.roundTrip),
		WarmRun:        toDuration(e.warm + e.roundTrip),
		ColdTotal:      toDuration(e.wait + e.cold + e.roundTrip),
		Requests:       e.requests,
		RoundTrip:      toDuration(e.roundTrip),
		Free:           e.wait == 0,
		Utilization:    e.utilization,
		Limited:        s.limit.inForce(),
		Unmeasured:     !t.routeServiceTimes(q.Route).hasSamples(),
		MaxConnections: t.connectionLimit(p),
		DialTimeout:    t.dialTimeout(s),
		state:          s,
		noise:          e.noise,
		LastResort:     q.LastResort,
		object:         q.Object,
		served:         p.locations.contains(q.Object, s),
		serviceTimes:   t.routeServiceTimes(q.Route),
	}
}

// dialTimeout returns the timeout for opening a connection, a small multiple of the round
// trip time: an endpoint that has lost power never answers.
func (t *Table) dialTimeout(s *endpointState) time.Duration {
	roundTrip, known := t.roundTrips[s.Domain]
	if !known {
		return 0
	}
	return dialTimeoutFactor*roundTrip + dialTimeoutMargin
}

// connectionLimit returns this node's share of the connections that an endpoint accepts.
func (t *Table) connectionLimit(p *pool) int {
	if p.service.Connections == 0 {
		return maxConnections
	}
	share := connectionShare * float64(p.service.Connections) / float64(max(1, len(t.coldSenders.Entries)))
	return min(maxConnections, max(minConnections, int(share)))
}

func toDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
