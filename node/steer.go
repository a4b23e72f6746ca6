package node

// Steering of a request: choose an endpoint, send the request, and retry at another
// endpoint if that is safe, within the retry budget, and still useful.

import (
	"context"
	"errors"
	"time"

	"github.com/wasabiwheel/wasabiwheel/admission"
	"github.com/wasabiwheel/wasabiwheel/caller"
	"github.com/wasabiwheel/wasabiwheel/endpoint"
	"github.com/wasabiwheel/wasabiwheel/exchange"
	"github.com/wasabiwheel/wasabiwheel/inventory"
)

const (
	// maxUnsentAttempts bounds the attempts of a request that failed before anything was
	// sent. They do not count against the attempts of the route.
	maxUnsentAttempts = 4
	// defaultRetryAfter is the time until a caller should retry if no endpoint could be
	// used. It equals the first backoff of an unreachable endpoint.
	defaultRetryAfter = 500 * time.Millisecond
)

// steer serves a request at the best endpoint. A non-idempotent request is not sent
// again once it may have run.
func (n *Node) steer(ctx context.Context, req *request) response {
	var last response
	sent := 0 // by this node; req.sent counts those of another one, too
	for range req.route.Attempts + maxUnsentAttempts + maxDeniedInAll {
		now := time.Now()
		if isCanceled(ctx) {
			return n.callerLeft()
		}
		if resp, decided := n.checkKeyAgain(ctx, req, last); decided {
			return resp
		}
		if n.isForwarded(now, req) {
			if resp, done := n.steerElsewhere(ctx, now, req, last); done {
				return resp
			}
		}
		n.countRequest(req)
		choice, refused := n.chooseEndpoint(now, req)
		if refused != nil {
			return n.forwardOr(ctx, req, preferPrevious(last, *refused))
		}
		if choice.Limited && !n.obtainPermit(ctx, req, choice) {
			continue
		}
		if sent > 0 && !n.retries.AllowRetry(now, req.service) {
			n.metrics.increment("retry.refused")
			return last
		}
		if !n.endpoints.Start(now, choice) {
			continue // the endpoint began to drain, or it is cold and has reached its rate meanwhile
		}
		next := n.attempt(ctx, req, choice)
		last = mergeResponses(last, next.response)
		sent += next.sent
		req.sent += next.sent
		if isBroken(next.response) && !n.examineAll(ctx, req, next.broken) || !n.mayRetry(req, last) || req.sent >= req.route.Attempts {
			return last
		}
		if req.unreached() >= maxUnreached {
			if resp := n.forwardOr(ctx, req, last); resp.reason != last.reason {
				return resp
			}
		}
		n.metrics.increment("retry." + string(last.reason))
	}
	if last.outcome == "" {
		return notRun(caller.Reason(endpoint.ReasonNone), admission.RetryAfter(defaultRetryAfter, req.remaining(time.Now())))
	}
	return last
}

// countRequest counts a request in the retry budget, once.
func (n *Node) countRequest(req *request) {
	if !req.counted {
		req.counted = true
		n.retries.RecordRequest(req.received, req.service)
	}
}

// mergeResponses returns the response after one more attempt. If an earlier attempt may
// have run, a later attempt that did not run does not change the outcome.
func mergeResponses(last, next response) response {
	mayHaveRun := last.outcome == caller.OutcomeUnknown || last.outcome == caller.OutcomeRan
	if mayHaveRun && next.outcome == caller.OutcomeNotRun {
		return last
	}
	return next
}

// preferPrevious returns the response of the last attempt, or the rejection if nothing
// has been attempted. A rejection that says when endpoints end their pauses tells more than that of
// one endpoint.
func preferPrevious(last, refused response) response {
	if last.outcome == "" || last.outcome == caller.OutcomeNotRun && refused.reason == caller.Reason(endpoint.ReasonPause) {
		return refused
	}
	return last
}

// callerLeft returns the response to a request whose caller has disconnected.
func (n *Node) callerLeft() response {
	n.metrics.increment("caller.left")
	return response{outcome: caller.OutcomeCanceled, reason: caller.Reason(exchange.KindCanceled)}
}

// chooseEndpoint returns an endpoint for a request, or the response that rejects it.
func (n *Node) chooseEndpoint(now time.Time, req *request) (endpoint.Choice, *response) {
	remaining := req.remaining(now)
	if remaining <= 0 {
		resp := notRun(ReasonDeadline, admission.RetryAfter(0, remaining))
		return endpoint.Choice{}, &resp
	}
	query := req.query()
	choice, reason := n.endpoints.Choose(now, query)
	if reason == endpoint.ReasonLimit && query.Unlimited && req.deniedPermits < maxDeniedInAll {
		query.Unlimited = false
		choice, reason = n.endpoints.Choose(now, query)
	}
	if reason != "" {
		req.excluded = n.endpoints.Excluded(now, query)
		resp := n.noEndpointResponse(now, req, query, reason)
		return endpoint.Choice{}, &resp
	}
	decision := n.admit(now, req, choice)
	if !decision.Admit {
		if spare, ok := n.chooseLimited(now, req, query); ok && decision.Reason == admission.ReasonLate {
			return spare, nil
		}
		refused := newAttempt(choice, "refused", 0)
		req.refused, req.expectedTime, req.allowedTime = &refused, decision.Takes, decision.Bound
		resp := notRun(caller.Reason(decision.Reason), decision.RetryAfter)
		return endpoint.Choice{}, &resp
	}
	return choice, nil
}

// query returns what an endpoint for the request has to meet.
func (req *request) query() endpoint.Query {
	return endpoint.Query{
		Service:   req.service,
		Route:     req.route.ID,
		Object:    req.object,
		Seed:      req.seed,
		Homes:     req.homes,
		Objective: req.route.Objective.Duration,
		Tried:     req.triedEndpoints(),
		Unlimited: req.deniedPermits >= maxDeniedPermits,
		Isolated:  req.isolated,
	}
}

// noEndpointResponse rejects a request for which no endpoint can be used now.
func (n *Node) noEndpointResponse(now time.Time, req *request, q endpoint.Query, reason endpoint.Reason) response {
	switch reason {
	case endpoint.ReasonLimit:
		return n.limitedResponse(now, req, q)
	case endpoint.ReasonPause:
		return n.pausedResponse(now, req, q)
	}
	return notRun(caller.Reason(reason), admission.RetryAfter(defaultRetryAfter, req.remaining(now)))
}

// pausedResponse rejects a request whose endpoints have asked for pauses. Callers are told to return
// after the first pause that ends, one after the other at the rate at which they can be served.
func (n *Node) pausedResponse(now time.Time, req *request, q endpoint.Query) response {
	wait := defaultRetryAfter
	if end, ok := n.endpoints.PauseEnd(now, q); ok {
		wait = end.Sub(now)
	}
	rate := n.endpoints.PausedRate(now, q) / inventory.Rate(max(1, len(n.members.Entries())))
	return notRun(caller.Reason(endpoint.ReasonPause), max(wait, n.returns.Schedule(now, req.service, wait, rate)))
}

// chooseLimited returns an endpoint with a limit for a request that would be late at those
// without one, if there may be a permit.
func (n *Node) chooseLimited(now time.Time, req *request, q endpoint.Query) (endpoint.Choice, bool) {
	if req.deniedPermits > maxDeniedPermits {
		return endpoint.Choice{}, false
	}
	q.Unlimited, q.Mixed = false, true
	c, reason := n.endpoints.Choose(now, q)
	if reason != "" || !c.Limited || !admission.Decide(req.requirements(now), estimateOf(c)).Admit {
		return endpoint.Choice{}, false
	}
	return c, true
}

// sentCopy is a copy of a request that was sent to an endpoint, or should have been, and how that
// ended.
type sentCopy struct {
	choice   endpoint.Choice
	hedge    bool // it was sent since another one was late
	start    time.Time
	took     time.Duration
	response exchange.Response
	failed   *exchange.Error // nil: there is a response
	result   endpoint.Result
}

// exchange sends a request to an endpoint, after Table.Start has counted it there, and waits until
// that ends. It changes nothing in the request, of which two copies may be under way.
func (n *Node) exchange(ctx context.Context, req *request, c endpoint.Choice) sentCopy {
	ofCaller := ctx
	ctx, cancel := req.context(ctx)
	defer cancel()
	ctx, done := n.track(ctx, req)
	defer done()
	start := time.Now()
	n.recordRegion(start, c)
	if c.LastResort {
		n.metrics.increment("leaving.doubted")
	}
	endpointResponse, err := n.pool.Do(ctx, exchange.Request{
		ID:              req.id,
		Method:          req.method,
		URI:             req.uri,
		Host:            req.host,
		Header:          n.endpointHeader(req),
		Body:            req.payload(),
		Endpoint:        c.Endpoint.ID,
		Address:         c.Endpoint.Address,
		Deadline:        req.deadline,
		FreshConnection: !req.route.Idempotent,
		MaxConnections:  c.MaxConnections,
		DialTimeout:     c.DialTimeout,
		Memory:          req.memory,
		MaySend: func() bool {
			return !isCanceled(ofCaller) && n.mayUseKey(req) && n.endpoints.MaySend(time.Now(), c)
		},
	})
	now := time.Now()
	var failed *exchange.Error
	if err != nil && !errors.As(err, &failed) {
		failed = &exchange.Error{Op: "exchange", Kind: exchange.KindBroken, Err: err}
	}
	if failed != nil && failed.Kind == exchange.KindCanceled && wasGivenUp(ctx) {
		failed.Kind = exchange.KindAbandoned
	}
	n.recordReach(now, c, endpointResponse, failed)
	if failed == nil && endpointResponse.DialTime > 0 {
		n.endpoints.RecordRoundTrip(c, endpointResponse.DialTime)
	}
	result := resultOf(endpointResponse, failed, now.Sub(start)-endpointResponse.DialTime)
	if failed != nil && n.wasCutOff(now, start) {
		result.Verdict = endpoint.VerdictInconclusive
	}
	n.endpoints.Finish(now, c, result)
	return sentCopy{choice: c, start: start, took: now.Sub(start), response: endpointResponse, failed: failed, result: result}
}

// wasGivenUp reports whether the node canceled an exchange, and not the caller.
func wasGivenUp(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return errors.Is(cause, errCutOff) || errors.Is(cause, errAnsweredElsewhere)
}

// recordSize records the size of a response, also of one for which there was no memory.
func (n *Node) recordSize(req *request, resp exchange.Response, failed *exchange.Error) {
	switch {
	case failed == nil:
		n.responses.Record(req.route.ID, int64(resp.Body.Len()))
	case failed.Kind == exchange.KindMemory && failed.Length > 0:
		n.responses.Record(req.route.ID, failed.Length)
	}
}

// record records what a copy shows, and the attempt in the request.
func (n *Node) record(req *request, s sentCopy) {
	n.recordSize(req, s.response, s.failed)
	now := s.start.Add(s.took)
	n.recordShort(now, req, s.result)
	n.recordSignals(now, s.start, req, s.choice, signalsOf(s.response, s.failed))
	req.stale = s.isStale()
	n.recordAttempt(req, s, s.result.IsRejectionWithFreeSlots() || s.failed != nil && s.failed.Kind == exchange.KindWithdrawn)
}

// isStale reports whether the connection had been closed before the request was sent, by all
// appearances.
func (s sentCopy) isStale() bool {
	return s.failed != nil && s.failed.Reused && s.took < s.choice.RoundTrip+staleMargin
}

// isUnsent reports whether nothing was sent.
func (s sentCopy) isUnsent() bool { return s.failed != nil && isUnsent(s.failed.Kind) }

// responseTo returns the response to a request after a copy.
func (n *Node) responseTo(req *request, s sentCopy) response {
	switch {
	case s.failed == nil:
		n.clearSuspect(req)
		return ran(s.response)
	case s.failed.Kind == exchange.KindCanceled:
		return n.callerLeft()
	case exchange.NotRun(s.failed):
		return notRun(caller.Reason(s.failed.Kind), admission.RetryAfter(defaultRetryAfter, req.remaining(time.Now())))
	default:
		return unknown(s.failed.Kind)
	}
}

// isUnsent reports whether nothing was sent in an attempt that ended in a way.
func isUnsent(k exchange.Kind) bool {
	return k == exchange.KindUnreachable || k == exchange.KindConnLimit || k == exchange.KindWithdrawn || k == exchange.KindUnsent
}

func resultOf(resp exchange.Response, err *exchange.Error, took time.Duration) endpoint.Result {
	load := signalsOf(resp, err).Load
	return endpoint.Result{Verdict: verdictOf(resp, err), Took: took, Running: load.Running, Waiting: load.Waiting, Slots: load.Slots, Slowdown: load.Slowdown}
}

// recordAttempt records an attempt for the log, and reports a dead connection to the pool.
func (n *Node) recordAttempt(req *request, s sentCopy, repeatable bool) {
	c, failed, result := s.choice, s.failed, "answered"
	if failed != nil {
		result = string(failed.Kind)
		if failed.Reused && (failed.Kind == exchange.KindBroken || failed.Kind == exchange.KindUnsent) {
			n.pool.RecordDead(c.Endpoint.ID, c.Endpoint.Address, failed.IdleTime)
		}
		// The endpoint closed the connection before the request arrived, or the connection is silent.
		if req.stale || failed.Kind == exchange.KindTimeout && failed.Reused && !failed.Heard {
			n.metrics.increment("connection.dropped")
			n.pool.RecordDropped(failed.IdleTime)
		}
	}
	n.metrics.increment("attempt." + result)
	a := newAttempt(c, result, s.took)
	a.repeatable, a.hedge = repeatable, s.hedge
	if failed != nil && failed.Err != nil {
		a.cause = failed.Err.Error()
	}
	req.attempts = append(req.attempts, a)
}

// mayRetry reports whether the request may be sent to another endpoint.
func (n *Node) mayRetry(req *request, resp response) bool {
	if k := exchange.Kind(resp.reason); req.unbuffered != nil && (!isUnsent(k) || k == exchange.KindUnsent) {
		return false // part of the unbuffered body may have been consumed
	}
	switch resp.outcome {
	case caller.OutcomeNotRun:
		return true
	case caller.OutcomeUnknown:
		hasMemory := resp.reason != caller.Reason(exchange.KindMemory) // there would be none for the next response either
		return hasMemory && req.route.Idempotent && req.remaining(time.Now()) > 0
	case caller.OutcomeRan:
		return req.route.Idempotent && resp.status >= 500 && req.remaining(time.Now()) > req.route.Objective.Duration/2
	default:
		return false
	}
}
