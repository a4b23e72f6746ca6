// Package admission decides whether to accept a request, and when the caller of a
// rejected one should retry.
//
// It limits the effects of overload. A request that cannot be answered in time is
// rejected at once: queued requests take capacity from those that could still be
// served, and their callers get no answer to act on.
//
// An answer long after the latency objective is worth little, and a queue that delays
// one request past its objective delays all requests behind it: in FIFO order all of
// them are late in the end, and the work on requests whose callers give up is wasted.
// A request is therefore also rejected if its wait alone would make its answer much later
// than the objective. Routes of lower priority may exceed it by less, so they are rejected
// first.
//
// While capacity is short, a Controller decides among those that would be in time: more urgent
// requests of a service come first (Order), among equals each organisation gets its share (Shares),
// and callers who return before they were told come last.
//
// # Usage
//
//	c := admission.NewController()
//	v := c.Decide(now, admission.Claim{...}, admission.Request{...}, admission.Estimate{Wait: w, Run: r, WarmRun: warm})
//	if !v.Admit { answer "not run" for v.Reason, retry after v.RetryAfter }
//	c.RecordShort(now, service) // an endpoint was full
package admission

import (
	"math/rand/v2"
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

const (
	minRetryAfter = 100 * time.Millisecond // about the service time of a request
	maxRetryAfter = 2 * time.Second        // beyond this, load changes faster than the estimates
	retryJitter   = 0.5                    // random part of the retry delay, as a share of it, so that callers don't retry at the same time
	leftShare     = 0.9                    // share of the time left that an answer may be expected to take; the rest allows for estimation errors
	// The total time allowed to a request that has to wait, in objectives: at priority 0,
	// the reduction for each further priority value, and the minimum.
	maxObjectives      = 2.0
	priorityObjectives = 0.4
	minObjectives      = 1.0
)

// Request holds the requirements of a request, from its route and its caller.
type Request struct {
	Priority  inventory.Priority
	Objective time.Duration
	Left      time.Duration // until the timeout of the caller or the route
}

// Estimate holds the expected times of a request at the best endpoint. Wait is the time
// until a slot is free. Run is the round trip and the service time without any slowdown
// of the endpoint: endpoints that are slow at present are chosen last, but are no reason
// to reject a request, since if all of them appear slow, only requests can show that they
// have recovered. WarmRun is Run if the endpoint has the object cached: a request that loads
// the object may take longer, since later requests benefit from it. Unmeasured is set if no
// request of the route has been answered yet, so that the times are defaults.
type Estimate struct {
	Wait, Run, WarmRun time.Duration
	Unmeasured         bool
}

// Verdict is the admission decision for a request.
type Verdict struct {
	Admit      bool
	RetryAfter time.Duration // delay before the caller should retry
	// Takes and Bound give the reason for a rejection: the time that the request would
	// take, and the time that it is allowed.
	Takes, Bound time.Duration
	Reason       Reason // "" if it is admitted
}

// Reason states why a request is rejected.
type Reason string

// The reasons.
const (
	ReasonLate  Reason = "late"  // it would be answered too late
	ReasonOrder Reason = "order" // more urgent requests of the service would wait longer
	ReasonShare Reason = "share" // its organisation has got its share
	ReasonEarly Reason = "early" // its caller returned before the time that it was told
)

// Decide admits a request if it is expected to be answered before its timeout, and not
// much later than its objective.
func Decide(r Request, e Estimate) Verdict {
	if e.Wait == 0 && e.Run <= r.Left {
		return Verdict{Admit: true}
	}
	limit := time.Duration(float64(r.Left) * leftShare)
	takes, bound := e.Wait+e.Run, limit
	if warm := e.Wait + e.WarmRun; !e.Unmeasured && warm-r.latencyBound() > takes-bound {
		takes, bound = warm, r.latencyBound()
	}
	if takes <= bound {
		return Verdict{Admit: true}
	}
	return Verdict{RetryAfter: RetryAfter(takes-bound, r.Left), Takes: takes, Bound: bound, Reason: ReasonLate}
}

// latencyBound returns the total time allowed to a request that has to wait.
func (r Request) latencyBound() time.Duration {
	objectives := max(minObjectives, maxObjectives-priorityObjectives*float64(r.Priority))
	return time.Duration(objectives * float64(r.Objective))
}

// maxWait returns the time that a request may wait for a slot.
func (r Request) maxWait(e Estimate) time.Duration {
	wait := time.Duration(float64(r.Left)*leftShare) - e.Run
	if !e.Unmeasured {
		wait = min(wait, r.latencyBound()-e.WarmRun)
	}
	return max(0, wait)
}

// RetryAfter returns the delay before a caller should retry: wait within its limits, with a random
// part, and at most a third of the time left unless that is below the minimum.
func RetryAfter(wait, left time.Duration) time.Duration {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	wait += randomPart(wait)
	if limit := left / 3; wait > limit {
		wait = limit - randomPart(limit)
	}
	return max(minRetryAfter, wait)
}

// randomPart returns a random part of a delay.
func randomPart(d time.Duration) time.Duration {
	return rand.N(max(1, time.Duration(float64(d)*retryJitter)))
}
