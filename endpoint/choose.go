package endpoint

// The choice of an endpoint for one request. It answers days on which the work
// offered is about what the endpoints can do if each object is served where it
// is warm, and far more than they can do cold.
//
// The first candidates by rendezvous hashing are compared by the time that the
// request would take at each: the way there, the wait for a slot, and the work,
// which is several times longer where the object is not warm. A cold run costs more
// than itself: it takes room from others, and objects that spread over many
// endpoints are warm at none.

import (
	"math"
	"slices"
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

const (
	candidates   = 4   // endpoints compared for one request
	failurePrice = 2.0 // objectives that a certain failure is worth
	// copyPrice is how many times itself the work is taken to cost, when all slots of
	// the service are in use, that a request needs beyond what it would need where its
	// object is warm: it takes the slots of requests that come later. The price falls
	// steeply with the use, since slots that would be free cost nobody.
	copyPrice     = 6.0
	copyPower     = 6.0
	coldGuess     = 1.5   // cold work by the objective, before any was seen
	warmGuess     = 0.5   // warm work by the objective, before any was seen
	workWeight    = 0.05  // of one request in the mean work of a service
	sampleWeight  = 0.1   // of one request in the mean work of a route
	slowMark      = 2.0   // speed from which an endpoint counts as slow
	coldMark      = 1.8   // times the warm work above which a run counts as cold
	fullTolerance = 0.999 // of the slots, for the rounding of estimates
	// connectionShare is the part of an endpoint's connections that all nodes
	// together use. The rest is for nodes that are not known yet, and for
	// connections that the endpoint still holds after their node closed them.
	connectionShare = 0.7
	dialTimes       = 4
	dialMargin      = 100 * time.Millisecond // for an endpoint that is busy
	fewConnections  = 2                      // to an endpoint from one node, at the least
	manyConnections = 32                     // to an endpoint from one node, at the most; slots are far fewer
)

// Query is what a request needs.
type Query struct {
	Service   inventory.ServiceID
	Route     inventory.RouteID
	Object    Object // 0: none
	Seed      uint64 // ranks the endpoints when there is no object
	Homes     []inventory.RegionID
	Objective time.Duration
	Tried     []inventory.EndpointID
}

// Choice is an endpoint for a request, with what decided.
type Choice struct {
	Endpoint inventory.Endpoint
	Region   inventory.RegionID
	Rank     int           // in the order by hashing, from 0
	Warm     bool          // it is believed to have the object
	Cold     bool          // it started lately
	Wait     time.Duration // expected until a slot is free
	Run      time.Duration // expected on the way and at work
	Usual    time.Duration // the same at an endpoint of usual speed
	Least    time.Duration // the same if the object is there
	Longest  time.Duration // the wait, the way, and the work if the object is not warm after all
	Busy     float64       // requests there, by the estimate
	Free     bool          // no wait was expected
	Guess    bool          // no request of the route has been served yet, so times of work are guesses
	// Connections is how many this node may have to the endpoint, and Patience how
	// long it should wait for a new one; 0: not known.
	Connections int
	Patience    time.Duration

	number uint64 // tells it from other choices
	state  *state
	object Object
	seen   bool // this node has seen the endpoint serve the object lately
	work   *work
}

// Total is the time that the request is expected to take.
func (c Choice) Total() time.Duration { return c.Wait + c.Run }

// Reason says why there is no endpoint for a request.
type Reason string

// The reasons.
const (
	ReasonNone  Reason = "none"  // the service has no endpoint that may be used
	ReasonTried Reason = "tried" // all of them were tried
	ReasonCold  Reason = "cold"  // those that are left are cold and get what they can bear
	ReasonRest  Reason = "rest"  // those that are left were not reached just now
)

// work is what is known of the work of a route's requests.
type work struct{ warm, cold average }

func (w *work) isKnown() bool { return w.warm.count > 0 || w.cold.count > 0 }

// ranked is a candidate.
type ranked struct {
	state *state
	score float64
}

// Choose returns the endpoint where a request is expected to be served soonest.
func (t *Table) Choose(now time.Time, q Query) (Choice, Reason) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.services[q.Service]
	if g == nil {
		return Choice{}, ReasonNone
	}
	best, reason := t.rank(now, g, q)
	if len(best) == 0 {
		return Choice{}, reason
	}
	best = t.nearFirst(now, g, q, best)
	var chosen, home estimate
	place, lowest := 0, math.Inf(1)
	for i, r := range best {
		e := t.estimate(now, g, q, r.state, i)
		price := e.price()
		switch {
		case i == 0:
			home = e
		case i == secondHome && g.mayCopy(now, q, home, e):
			price = e.asCopy().price()
		}
		if price < lowest {
			chosen, place, lowest = e, i, price
		}
	}
	c := t.choice(now, g, q, best[place].state, place, chosen)
	t.chosen++
	c.number = t.chosen
	return c, ""
}

// rank returns the first usable endpoints in the order by hashing. If there is
// none, it tells why.
func (t *Table) rank(now time.Time, g *group, q Query) (best []ranked, reason Reason) {
	key := uint64(q.Object)
	if key == 0 {
		key = q.Seed
	}
	best = make([]ranked, 0, candidates+1)
	for _, s := range g.members {
		u := unit(key, s)
		full := len(best) == candidates
		// A score is at most slots/(1-u), which costs no logarithm.
		if full && float64(s.Slots) <= best[candidates-1].score*(1-u) {
			continue
		}
		if t.excluded(now, s, q) != "" {
			continue
		}
		r := ranked{state: s, score: score(u, s)}
		if full && r.score <= best[candidates-1].score {
			continue
		}
		i := len(best)
		for i > 0 && best[i-1].score < r.score {
			i--
		}
		best = slices.Insert(best, i, r)
		best = best[:min(len(best), candidates)]
	}
	if len(best) == 0 {
		reason = t.reason(now, g, q)
	}
	return best, reason
}

// reason tells why a service has no endpoint for a request.
func (t *Table) reason(now time.Time, g *group, q Query) Reason {
	reason := ReasonNone
	for _, s := range g.members {
		if why := t.excluded(now, s, q); why != "" {
			reason = worse(reason, why)
		}
	}
	return reason
}

// excluded tells why an endpoint may not get a request, "" if it may.
func (t *Table) excluded(now time.Time, s *state, q Query) Reason {
	switch {
	case s.Draining || s.replaced || t.drained[s.Domain]:
		return ReasonNone
	case len(q.Homes) > 0 && !slices.Contains(q.Homes, t.regions[s.Domain]):
		return ReasonNone
	case slices.Contains(q.Tried, s.ID):
		return ReasonTried
	case !s.health.usable(now):
		return ReasonRest
	case s.cold.is(now) && !t.mayFeed(now, s):
		return ReasonCold
	}
	return ""
}

// Exclusions counts the endpoints of a service that a request may not go to, by
// the reason.
type Exclusions struct {
	None  int `json:"none"` // leaving, drained, replaced, or outside the homes
	Tried int `json:"tried"`
	Rest  int `json:"rest"` // not reached just now
	Cold  int `json:"cold"` // they get what they can bear, or from other nodes
}

// Excluded counts why a request has no endpoint.
func (t *Table) Excluded(now time.Time, q Query) Exclusions {
	t.mu.Lock()
	defer t.mu.Unlock()
	var e Exclusions
	g := t.services[q.Service]
	if g == nil {
		return e
	}
	for _, s := range g.members {
		switch t.excluded(now, s, q) {
		case ReasonNone:
			e.None++
		case ReasonTried:
			e.Tried++
		case ReasonRest:
			e.Rest++
		case ReasonCold:
			e.Cold++
		}
	}
	return e
}

// worse keeps the reason that tells most: one that passes by itself.
func worse(a, b Reason) Reason {
	order := []Reason{ReasonNone, ReasonTried, ReasonRest, ReasonCold}
	if slices.Index(order, b) > slices.Index(order, a) {
		return b
	}
	return a
}

// score ranks endpoints by weighted rendezvous hashing: an endpoint is first for
// a share of the objects that is its share of the slots.
func score(u float64, s *state) float64 { return -float64(s.Slots) / math.Log(u) }

// unit is a number between 0 and 1, exclusive, for an object and an endpoint.
func unit(key uint64, s *state) float64 {
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

// estimate is what a request would take at a candidate, in seconds.
type estimate struct {
	wait       float64 // for a slot
	work       float64 // in the slot, at usual speed
	warm, cold float64 // what work is with the object and without it
	way        float64 // there and back
	speed      float64 // time that work takes there, by what it takes elsewhere
	use        float64 // of the service
	trouble    float64 // what failures and refusals cost, times their likelihood
	busy       float64 // requests there
	held       bool    // the object is believed to be there
}

// estimate returns what a request would take at a candidate.
func (t *Table) estimate(now time.Time, g *group, q Query, s *state, rank int) estimate {
	objective := q.Objective.Seconds()
	e := estimate{
		way:     t.delay(s.Domain).Seconds(),
		speed:   max(s.health.pace(now), s.overdue(now)),
		use:     g.use,
		trouble: s.health.level(now) * failurePrice * objective,
		busy:    s.busy(now),
		held:    q.Object == 0 || rank == 0 || g.memory.holds(q.Object, s),
	}
	e.warm, e.cold = t.workOf(q.Route).estimates(objective)
	e.work = e.cold
	if e.held {
		e.work = e.warm
	}
	if slots := float64(s.Slots); e.busy > slots*fullTolerance-1 {
		e.wait = max(0, e.busy+1-slots) / slots * g.work.or(e.warm) * e.speed
	}
	if s.load.isFull(now, e.busy) {
		e.trouble += boundPrice * objective
	}
	return e
}

// total is the time until the answer.
func (e estimate) total() float64 { return e.wait + e.run() }

// run is the time on the way and at work.
func (e estimate) run() float64 { return e.work*e.speed + e.way }

// price is the time until the answer, and what the request costs others.
func (e estimate) price() float64 {
	slow := e.speed
	if slow < slowMark {
		slow = 1 // within what single requests differ by
	}
	extra := max(0, e.work*slow-e.warm) * copyPrice * math.Pow(e.use, copyPower)
	return e.total() + extra + e.trouble
}

// choice returns a candidate as a choice.
func (t *Table) choice(now time.Time, g *group, q Query, s *state, rank int, e estimate) Choice {
	return Choice{
		Endpoint:    s.Endpoint,
		Region:      t.regions[s.Domain],
		Rank:        rank,
		Warm:        e.held,
		Cold:        s.cold.is(now),
		Wait:        toDuration(e.wait),
		Run:         toDuration(e.run()),
		Usual:       toDuration(e.work + e.way),
		Least:       toDuration(e.warm + e.way),
		Longest:     toDuration(e.wait + e.cold + e.way),
		Busy:        e.busy,
		Free:        e.wait == 0,
		Guess:       !t.workOf(q.Route).isKnown(),
		Connections: t.connections(g),
		Patience:    t.patience(s),
		state:       s,
		object:      q.Object,
		seen:        g.memory.holds(q.Object, s),
		work:        t.workOf(q.Route),
	}
}

// patience is how long to wait for a new connection: a few times as long as it
// takes, since an endpoint that lost its power never answers.
func (t *Table) patience(s *state) time.Duration {
	usual, known := t.delays[s.Domain]
	if !known {
		return 0
	}
	return dialTimes*usual + dialMargin
}

// connections is this node's share of those that an endpoint accepts.
func (t *Table) connections(g *group) int {
	if g.service.Connections == 0 {
		return manyConnections
	}
	share := connectionShare * float64(g.service.Connections) / float64(max(1, len(t.feeders.Entries)))
	return min(manyConnections, max(fewConnections, int(share)))
}

func (t *Table) workOf(id inventory.RouteID) *work {
	w := t.work[id]
	if w == nil {
		w = &work{}
		t.work[id] = w
	}
	return w
}

func toDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// estimates returns the seconds of work where an object is warm and where it is
// not.
func (w *work) estimates(objective float64) (warm, cold float64) {
	warm = w.warm.or(warmGuess * objective)
	return warm, max(warm, w.cold.or(max(warm, coldGuess*objective)))
}

// note takes over how long a request took that did not wait.
func (w *work) note(seconds float64, believedWarm bool) {
	if believedWarm && (w.warm.count == 0 || seconds < w.warm.mean*coldMark) {
		w.warm.add(seconds, sampleWeight)
		return
	}
	if w.warm.count > 0 && seconds < w.warm.mean*coldMark {
		return // warm after all, thanks to another node
	}
	w.cold.add(seconds, sampleWeight)
}
