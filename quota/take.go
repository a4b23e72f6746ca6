package quota

// The side of the node that wants to send a request.

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/roster"
)

// Kind is what is to be done with a request.
type Kind string

// The kinds of decisions.
const (
	KindPaid       Kind = "paid"       // send it
	KindAsk        Kind = "ask"        // ask Issuer for Count tokens, record what came of it, and take again
	KindAwait      Kind = "await"      // take again when Answered is closed
	KindDenied     Kind = "denied"     // the limit is reached; a caller should return after Wait
	KindUnanswered Kind = "unanswered" // no issuer responds, and the fallback share is used
)

// Decision says what is to be done with a request.
type Decision struct {
	Kind     Kind
	Charge   Charge
	Issuer   inventory.EntryID
	Count    int
	Answered <-chan struct{}
	Wait     time.Duration
	Began    bool // the first one that is denied at this node after a time without
	Fallback bool // charged to the fallback share
}

// Charge is a token that a request has used.
type Charge struct {
	Until time.Time // until when it may be given back; zero: there is no limit
}

const (
	failureTime = 2 * time.Second // for which an issuer that did not respond is not asked
	horizon     = 0.25            // seconds for which tokens are asked for ahead
	demandTime  = 1.0             // seconds over which the demand is averaged
	minDemand   = 0.01            // requests a second that count as none
	minWait     = time.Millisecond
	// maxReturn bounds the delay that a caller is told.
	maxReturn = 5 * time.Second
)

// sender is the state of an organisation at a node that has requests of it.
type sender struct {
	grants       []grant
	waits        map[inventory.EntryID]refusal
	call         *call
	waiting      int // requests that got no token from the last call
	demand       demand
	spare        bool // the issuer that replied last has many tokens
	nextFallback time.Time
	callerReturn time.Time // when the next caller that is rejected should return
	denied       time.Time // when a request was last denied
	over         bool
}

// grant is a number of tokens.
type grant struct {
	until time.Time
	count int
}

// refusal is the answer of an issuer that has no token.
type refusal struct {
	until  time.Time
	reason Reason
}

// call is a request for tokens that has not been answered.
type call struct {
	issuer   inventory.EntryID
	since    time.Time
	answered chan struct{}
	waiting  int // requests that wait for it, other than the first
}

// demand is the rate of requests of an organisation at this node.
type demand struct {
	rate float64
	last time.Time
}

func (d *demand) at(now time.Time) float64 {
	return d.rate * math.Exp(-max(0, now.Sub(d.last).Seconds())/demandTime)
}

func (d *demand) add(now time.Time) { d.rate, d.last = d.at(now)+1/demandTime, now }

// ahead returns the number of tokens to ask for beyond those needed now: as many as are expected to be
// used, or fewer if issuers have few, since a token that ends unused is lost.
func (s *sender) ahead(now time.Time) int {
	expected := s.demand.at(now) * horizon
	if s.spare {
		return int(math.Round(expected))
	}
	return int(max(0, expected-math.Sqrt(expected)/2))
}

// RecordRequest counts a request of an organisation, once.
func (t *Table) RecordRequest(now time.Time, id inventory.OrganisationID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o := t.organisations[id]; o != nil {
		o.demand.add(now)
	}
}

// Take decides on a request of an organisation.
func (t *Table) Take(now time.Time, id inventory.OrganisationID) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.organisations[id]
	if o == nil {
		return Decision{Kind: KindPaid}
	}
	if c, ok := o.use(now); ok {
		return Decision{Kind: KindPaid, Charge: c}
	}
	if o.call != nil && now.Sub(o.call.since) > Lifetime { // it was never recorded
		o.endCall(0)
	}
	if o.call != nil {
		o.call.waiting++
		return Decision{Kind: KindAwait, Answered: o.call.answered}
	}
	if issuer, ok := t.nextIssuer(now, o); ok {
		o.call = &call{issuer: issuer, since: now, answered: make(chan struct{})}
		return Decision{Kind: KindAsk, Issuer: issuer, Count: 1 + max(o.waiting, o.ahead(now))}
	}
	if wait, refused := t.refusedFor(now, o); refused {
		return t.deny(now, o, wait)
	}
	return t.fallback(now, o)
}

// use takes a token from the stock, the one that ends first.
func (s *sender) use(now time.Time) (Charge, bool) {
	for len(s.grants) > 0 {
		g := &s.grants[0]
		if g.count > 0 && now.Before(g.until) {
			g.count--
			return Charge{Until: g.until}, true
		}
		s.grants = s.grants[1:]
	}
	return Charge{}, false
}

func (s *sender) stock(now time.Time) (count int) {
	for _, g := range s.grants {
		if now.Before(g.until) {
			count += g.count
		}
	}
	return count
}

func (s *sender) addGrant(g grant) {
	s.grants = append(s.grants, g)
	slices.SortStableFunc(s.grants, func(a, b grant) int { return a.until.Compare(b.until) })
}

// GiveBack returns the charge of a request that was not sent to the stock.
func (t *Table) GiveBack(now time.Time, id inventory.OrganisationID, c Charge) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o := t.organisations[id]; o != nil && now.Before(c.Until) {
		o.addGrant(grant{c.Until, 1})
	}
}

// nextIssuer returns the nearest issuer that responds and may have a token.
func (t *Table) nextIssuer(now time.Time, o *organisation) (inventory.EntryID, bool) {
	own, _ := t.roster.Find(t.self)
	best, bestRank := inventory.EntryID(""), -1
	issuers := t.issuers(o)
	if len(issuers) == 0 {
		return "", false
	}
	first := int(xxhash.Sum64String(string(t.self)) % uint64(len(issuers)))
	for i := range issuers { // nodes begin at different ones of those that are equally near
		p := issuers[(first+i)%len(issuers)]
		if t.hasFailed(now, p.ID) || now.Before(o.waits[p.ID].until) {
			continue
		}
		if rank := nearness(own, p); rank > bestRank {
			best, bestRank = p.ID, rank
		}
	}
	return best, best != ""
}

// nearness orders issuers by their distance from this node.
func nearness(own, p roster.Peer) int {
	switch {
	case own.ID == p.ID:
		return 3
	case own.Domain == p.Domain:
		return 2
	case own.Region == p.Region:
		return 1
	}
	return 0
}

func (t *Table) hasFailed(now time.Time, id inventory.EntryID) bool {
	at, ok := t.failed[id]
	return ok && now.Sub(at) <= failureTime
}

// refusedFor returns the time until the first issuer that has none may have a token. It returns
// false if none has said that the limit is reached.
func (t *Table) refusedFor(now time.Time, o *organisation) (wait time.Duration, refused bool) {
	for _, p := range t.issuers(o) {
		w, known := o.waits[p.ID]
		if left := w.until.Sub(now); known && w.reason == ReasonRate && left > 0 && (!refused || left < wait) {
			wait, refused = left, true
		}
	}
	return wait, refused
}

// deny rejects a request. The callers that are rejected return one after the other at the rate that
// this node may expect, since all but one would be rejected again if they returned at once.
func (t *Table) deny(now time.Time, o *organisation, wait time.Duration) Decision {
	began := !o.over
	o.over, o.denied = true, now
	at := now.Add(wait)
	if o.callerReturn.After(at) {
		at = o.callerReturn
	}
	if at.Sub(now) > maxReturn {
		at = now.Add(maxReturn)
	} else {
		o.callerReturn = at.Add(toDuration(float64(max(1, t.roster.Len())) / o.rate))
	}
	return Decision{Kind: KindDenied, Wait: at.Sub(now), Began: began}
}

// Fallback decides on a request of an organisation as if no issuer responded.
func (t *Table) Fallback(now time.Time, id inventory.OrganisationID) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.organisations[id]
	if o == nil {
		return Decision{Kind: KindPaid}
	}
	return t.fallback(now, o)
}

func (t *Table) fallback(now time.Time, o *organisation) Decision {
	count := t.fallbackCount(o)
	if count == 0 {
		return Decision{Kind: KindUnanswered, Wait: failureTime}
	}
	if wait := o.nextFallback.Sub(now); wait > 0 {
		return Decision{Kind: KindUnanswered, Wait: min(wait, failureTime)}
	}
	o.nextFallback = now.Add(t.bounds.Window / time.Duration(count))
	return Decision{Kind: KindPaid, Charge: Charge{Until: now}, Fallback: true}
}

// fallbackCount returns the number of requests in a window that this node may send without a
// response of an issuer.
func (t *Table) fallbackCount(o *organisation) int {
	nodes := t.roster.Len()
	if nodes == 0 {
		return 0
	}
	all := fallbackExcess*t.bounds.Excess*(o.rate*t.bounds.Window.Seconds()+o.burst) + fallbackSlack*t.bounds.Slack
	if count := int(all) / nodes; count > 0 {
		return count
	}
	if t.roster.Rank(o.key, t.self) < int(all) {
		return 1
	}
	return 0
}

// RecordReply records the reply of an issuer to this node.
func (t *Table) RecordReply(now time.Time, id inventory.OrganisationID, issuer inventory.EntryID, r Reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.failed, issuer)
	o := t.organisations[id]
	if o == nil || o.call == nil || o.call.issuer != issuer {
		return // too late
	}
	if r.Count <= 0 {
		r.Wait = max(r.Wait, minWait) // a wait that was rounded to nothing would be asked for at once, again and again
	}
	if r.Wait > 0 {
		reason := r.Reason
		if reason == "" {
			reason = ReasonRate // it issued fewer than it was asked for
		}
		o.waits[issuer] = refusal{now.Add(min(r.Wait, maxWait)), reason}
	}
	if until := o.call.since.Add(Lifetime); r.Count > 0 && now.Before(until) {
		o.addGrant(grant{until, min(r.Count, maxCount)})
	}
	o.spare = r.Spare
	o.endCall(r.Count)
}

// RecordFailure records that an issuer did not respond.
func (t *Table) RecordFailure(now time.Time, id inventory.OrganisationID, issuer inventory.EntryID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failed[issuer] = now
	if o := t.organisations[id]; o != nil && o.call != nil && o.call.issuer == issuer {
		o.endCall(0)
	}
}

// endCall lets the requests that wait for a call take again.
func (s *sender) endCall(count int) {
	s.waiting = max(0, s.call.waiting-count)
	close(s.call.answered)
	s.call = nil
}
