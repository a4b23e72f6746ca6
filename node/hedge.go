package node

// Hedges: a second copy of a request that may be repeated, if the first one takes longer than nearly
// all others of its route.

import (
	"context"
	"errors"
	"time"

	"github.com/wasabiwheel/wasabiwheel/endpoint"
	"github.com/wasabiwheel/wasabiwheel/exchange"
	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// maxHedgeUtilization is the utilization of a service up to which copies are sent. Beyond, copies that find the
// object cached and a free slot are rare, and make other requests wait.
const maxHedgeUtilization = 0.5

// errAnsweredElsewhere cancels the copy of a request that is not needed any more.
var errAnsweredElsewhere = errors.New("the other copy was answered")

// denial states why no second copy of a late request is sent.
type denial string

// The denials.
const (
	deniedCaller   denial = "caller"   // the caller has left, or its key may not be used any more
	deniedReach    denial = "reach"    // this node reaches no endpoint, or not all of them
	deniedShort    denial = "short"    // capacity is short
	deniedEndpoint denial = "none"     // there is no other endpoint
	deniedCold     denial = "cold"     // no other endpoint is expected to have the object cached
	deniedWait     denial = "wait"     // the copy would wait for a slot
	deniedLate     denial = "deadline" // it would be answered too late
	deniedShare    denial = "share"    // as many copies were sent as operators allow
	deniedBudget   denial = "budget"   // the retry budget is exhausted
)

// attemptResult is the result of an attempt, in which a request was sent to one endpoint or to two.
type attemptResult struct {
	response response
	sent     int               // endpoints at which it may have arrived
	broken   []endpoint.Choice // endpoints whose connections broke
}

// copyUnderWay is a copy of a request for which an endpoint has not responded yet.
type copyUnderWay struct {
	cancel context.CancelCauseFunc
	ended  chan sentCopy
}

// attempt sends a request to an endpoint, after Table.Start has counted it there, and to a second
// one if the response is late and that is allowed.
func (n *Node) attempt(ctx context.Context, req *request, c endpoint.Choice) attemptResult {
	delay, ok := n.hedgeDelay(time.Now(), req, c)
	if !ok {
		return n.conclude(req, n.exchange(ctx, req, c))
	}
	first := n.launch(ctx, req, c, false)
	defer first.cancel(nil)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case s := <-first.ended:
		return n.conclude(req, s)
	case <-timer.C:
	}
	second, ok := n.startHedge(ctx, req, c)
	if !ok {
		return n.conclude(req, <-first.ended)
	}
	other := n.launch(ctx, req, second, true)
	defer other.cancel(nil)
	return n.awaitBoth(req, first, other)
}

// launch sends a copy of a request without waiting for the response.
func (n *Node) launch(ctx context.Context, req *request, c endpoint.Choice, hedge bool) copyUnderWay {
	ctx, cancel := context.WithCancelCause(ctx)
	u := copyUnderWay{cancel: cancel, ended: make(chan sentCopy, 1)}
	go func() {
		s := n.exchange(ctx, req, c)
		s.hedge = hedge
		u.ended <- s
	}()
	return u
}

// awaitBoth waits until one of two copies has a valid response, and cancels the other one. If the
// first to end has none, the other one still counts.
func (n *Node) awaitBoth(req *request, first, hedge copyUnderWay) attemptResult {
	var a, b sentCopy
	select {
	case a = <-first.ended:
		if a.isValid() {
			hedge.cancel(errAnsweredElsewhere)
		}
		b = <-hedge.ended
	case b = <-hedge.ended:
		if b.isValid() {
			first.cancel(errAnsweredElsewhere)
		}
		a = <-first.ended
	}
	if b.isValid() && !a.isValid() {
		n.metrics.increment("hedge.won")
	}
	return n.conclude(req, a, b)
}

// isValid reports whether there is a response that is not a failure.
func (s sentCopy) isValid() bool { return s.result.Verdict == endpoint.VerdictServed }

// conclude records the copies of an attempt, and returns the result.
func (n *Node) conclude(req *request, copies ...sentCopy) attemptResult {
	var out attemptResult
	best := 0
	for i, s := range copies {
		n.record(req, s)
		if !s.isUnsent() {
			out.sent++
		}
		if s.failed != nil && s.failed.Kind == exchange.KindBroken && !s.isStale() {
			out.broken = append(out.broken, s.choice)
		}
		if s.weight() > copies[best].weight() {
			best = i
		}
	}
	for _, s := range copies {
		n.recordTime(req, s, copies[best].isValid())
	}
	out.response = n.responseTo(req, copies[best])
	return out
}

// weight orders copies by what they say of the request: a response to it, that it may have run, or
// that it did not.
func (s sentCopy) weight() int {
	switch {
	case s.isValid():
		return 3
	case s.failed == nil:
		return 2
	case !exchange.NotRun(s.failed):
		return 1
	default:
		return 0
	}
}

// recordTime records how long a warm run without a wait took. One that timed out, or was canceled
// since the hedge was answered, would have taken longer: without it, slow runs would vanish from what
// is known.
func (n *Node) recordTime(req *request, s sentCopy, answered bool) {
	isCut := s.failed != nil && (s.failed.Kind == exchange.KindTimeout || answered && !s.hedge && s.failed.Kind == exchange.KindAbandoned)
	if n.hedgeShare(req) > 0 && isMeasured(s.choice) && (s.isValid() || isCut) {
		n.hedges.Record(s.start.Add(s.took), req.route.ID, s.took-s.response.DialTime-s.choice.RoundTrip)
	}
}

// isMeasured reports whether a request at an endpoint is expected to be a warm run without a wait.
func isMeasured(c endpoint.Choice) bool { return c.Warm && c.Free && !c.Cold }

// hedgeShares returns the shares that services give.
func hedgeShares(services []inventory.Service) map[inventory.ServiceID]inventory.Share {
	shares := map[inventory.ServiceID]inventory.Share{}
	for _, s := range services {
		if s.Hedge != nil {
			shares[s.ID] = *s.Hedge
		}
	}
	return shares
}

// hedgeShare returns the share of a route's requests that may be sent twice. Requests that may run
// only once have none.
func (n *Node) hedgeShare(req *request) inventory.Share {
	if !req.route.Idempotent {
		return 0
	}
	if req.route.Hedge != nil {
		return *req.route.Hedge
	}
	if s, ok := n.routes.Load().hedges[req.service]; ok {
		return s
	}
	return n.settings.Load().Hedge.Share
}

// hedgeDelay returns the time after which a request is sent to a second endpoint as well, if that
// may be useful.
func (n *Node) hedgeDelay(now time.Time, req *request, c endpoint.Choice) (time.Duration, bool) {
	share := n.hedgeShare(req)
	if share <= 0 {
		return 0, false
	}
	if len(req.attempts) == 0 && req.sent == 0 {
		n.hedges.RecordRequest(now, req.route.ID)
	}
	// The copy counts as an attempt, as the one under way will.
	isLast := req.sent+2 > req.route.Attempts
	if isLast || !isMeasured(c) || req.unbuffered != nil || req.mayCrash() {
		return 0, false
	}
	delay, ok := n.hedges.Delay(now, req.route.ID, share)
	return delay + c.RoundTrip, ok
}

// mayCrash reports whether there is any sign that the request crashes endpoints.
func (req *request) mayCrash() bool {
	return req.isolated || req.probing || req.crashes > 0 || req.fingerprint != "" || req.hasBroken()
}

// startHedge chooses a second endpoint for a late request and counts the request there, if that is
// allowed.
func (n *Node) startHedge(ctx context.Context, req *request, first endpoint.Choice) (endpoint.Choice, bool) {
	now := time.Now()
	c, denied := n.chooseHedge(ctx, now, req, first)
	switch {
	case denied != "":
	case !n.hedges.Allow(now, req.route.ID, n.hedgeShare(req)):
		denied = deniedShare
	case !n.retries.AllowRetry(now, req.service):
		denied = deniedBudget
	case !n.endpoints.Start(now, c):
		denied = deniedEndpoint
	}
	if denied != "" {
		n.metrics.increment("hedge.denied." + string(denied))
		return endpoint.Choice{}, false
	}
	n.metrics.increment("hedge.sent")
	return c, true
}

// chooseHedge chooses a second endpoint for a late request: one that has the object cached and a free
// slot, while capacity is not short.
func (n *Node) chooseHedge(ctx context.Context, now time.Time, req *request, first endpoint.Choice) (endpoint.Choice, denial) {
	switch {
	case isCanceled(ctx) || !n.mayUseKey(req):
		return endpoint.Choice{}, deniedCaller
	case n.reach.DirectShare(now) < 1:
		return endpoint.Choice{}, deniedReach
	case first.Utilization > maxHedgeUtilization || n.admission.IsShort(now, req.service):
		return endpoint.Choice{}, deniedShort
	}
	query := req.query()
	query.Tried = append(query.Tried, first.Endpoint.ID)
	query.Unlimited, query.Hedge = true, true
	c, reason := n.endpoints.Choose(now, query)
	switch {
	case reason != "" || c.LastResort:
		return c, deniedEndpoint
	case !c.Warm && !c.Replica || c.Cold:
		return c, deniedCold
	case !c.Free:
		return c, deniedWait
	case c.Total() >= req.remaining(now):
		return c, deniedLate
	}
	return c, ""
}

// examineAll records what the broken copies of a request show, and reports whether the request may be
// sent to another endpoint.
func (n *Node) examineAll(ctx context.Context, req *request, broken []endpoint.Choice) bool {
	may := true
	for _, c := range broken {
		req.stale = false
		may = n.examine(ctx, req, c) && may
	}
	return may
}
