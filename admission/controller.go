package admission

import (
	"math"
	"sync"
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

const (
	// shortWindow is the time constant of the decay of what shows that capacity is short.
	shortWindow = time.Second
	// minShort is the part of the requests of a service that were late, or rejected by endpoints that
	// are full, from which capacity counts as short also where no wait is expected: a node
	// hears of most endpoints only every few seconds.
	minShort = 0.05
	// returnShare is the part of the rate of admitted requests at which callers are told to return.
	// The rest is for first requests.
	returnShare = 0.3
	// minReturns is the lowest rate of returns, a second.
	minReturns = 2.0
)

// Claim is what a request is ranked by while capacity is short.
type Claim struct {
	Service      inventory.ServiceID
	Organisation inventory.OrganisationID // "": none
	Weight       float64                  // of the organisation: its limit; 0: none
	Key          Key                      // of what it asks for; 0: unknown
	Counted      bool                     // a decision on it was made before
}

// Controller decides who is served while capacity is short: more urgent requests of a service first,
// then organisations by their shares, and those who return early last. It is safe for concurrent
// use.
type Controller struct {
	shares  *Shares
	order   *Order
	returns *Returns
	early   early

	mu    sync.Mutex
	short map[inventory.ServiceID]shortage
}

// shortage is the number of requests of a service lately, and of those that were admitted and those
// that found no capacity.
type shortage struct {
	requests, admitted, short float64
	at                        time.Time
}

// current returns the numbers as of now.
func (s shortage) current(now time.Time) shortage {
	factor := math.Exp(-max(0, now.Sub(s.at).Seconds()) / shortWindow.Seconds())
	return shortage{requests: s.requests * factor, admitted: s.admitted * factor, short: s.short * factor, at: now}
}

// NewController returns a controller that has seen no requests.
func NewController() *Controller {
	return &Controller{
		shares: NewShares(), order: NewOrder(), returns: NewReturns(),
		early: early{rejected: map[Key]expected{}}, short: map[inventory.ServiceID]shortage{},
	}
}

// Decide admits a request, or says why it is rejected and when its caller should return.
func (c *Controller) Decide(now time.Time, cl Claim, r Request, e Estimate) Verdict {
	class := Class{Service: cl.Service, Priority: r.Priority}
	v := c.decide(now, class, cl, r, e)
	if !cl.Counted {
		c.record(now, class, cl, v.Admit)
	}
	if v.Admit {
		return v
	}
	if v.Reason == ReasonLate || v.Reason == ReasonOrder {
		c.RecordShort(now, cl.Service)
	}
	if v.RetryAfter == 0 {
		v.RetryAfter = c.retryAfter(now, cl.Service, v.Takes-v.Bound, r.Left)
	}
	if v.Reason != ReasonEarly { // otherwise one rejection could reject all that ask for the same, one by one
		c.early.record(now, cl.Key, now.Add(v.RetryAfter))
	}
	return v
}

func (c *Controller) decide(now time.Time, class Class, cl Claim, r Request, e Estimate) Verdict {
	maxWait := c.order.MaxWait(now, class, r.maxWait(e), max(0, r.Objective-e.WarmRun))
	if v := Decide(r, e); !v.Admit {
		v.RetryAfter = 0
		return v
	}
	isShort := c.IsShort(now, cl.Service)
	if e.Wait > maxWait && isShort {
		return Verdict{Takes: e.Wait, Bound: maxWait, Reason: ReasonOrder}
	}
	if e.Wait == 0 && !isShort {
		return Verdict{Admit: true}
	}
	if cl.Organisation != "" && c.shares.IsOver(now, class, cl.Organisation, e.Wait > 0) {
		return Verdict{Takes: e.Wait + e.Run, Reason: ReasonShare}
	}
	if e.Wait == 0 || cl.Counted {
		return Verdict{Admit: true}
	}
	if until, ok := c.early.take(now, cl.Key); ok {
		return Verdict{RetryAfter: max(minRetryAfter, min(until.Sub(now), r.Left/3)), Takes: e.Wait + e.Run, Reason: ReasonEarly}
	}
	return Verdict{Admit: true}
}

// RecordShort records that a request found no capacity: it would have been late, or its endpoint was
// full.
func (c *Controller) RecordShort(now time.Time, s inventory.ServiceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.short[s].current(now)
	known.short++
	c.short[s] = known
}

// record records the first decision on a request.
func (c *Controller) record(now time.Time, class Class, cl Claim, admitted bool) {
	c.mu.Lock()
	known := c.short[cl.Service].current(now)
	known.requests++
	if admitted {
		known.admitted++
	}
	c.short[cl.Service] = known
	c.mu.Unlock()
	if cl.Organisation != "" {
		c.shares.Record(now, class, cl.Organisation, cl.Weight, admitted)
	}
}

// IsShort reports whether requests of a service found no capacity lately.
func (c *Controller) IsShort(now time.Time, s inventory.ServiceID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.short[s].current(now)
	return known.short > minShort*max(1, known.requests)
}

// admittedRate returns the number of requests of a service that were admitted lately, a second.
func (c *Controller) admittedRate(now time.Time, s inventory.ServiceID) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.short[s].current(now).admitted / shortWindow.Seconds()
}

// retryAfter returns the delay before a caller should return. Callers return one after the other, at
// a part of the rate at which requests are admitted. Those who would return too late for that return
// at a random time within what they may be told.
func (c *Controller) retryAfter(now time.Time, s inventory.ServiceID, wait, left time.Duration) time.Duration {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	rate := max(minReturns, returnShare*c.admittedRate(now, s))
	return RetryAfter(c.returns.Schedule(now, s, wait, inventory.Rate(rate)), left)
}
