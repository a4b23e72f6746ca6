package node

// Steering one request: choose an endpoint, try it, and try another one while
// that is safe, allowed and of use.

import (
	"context"
	"errors"
	"time"

	"github.com/wasabiwheel/wasabiwheel/admission"
	"github.com/wasabiwheel/wasabiwheel/caller"
	"github.com/wasabiwheel/wasabiwheel/endpoint"
	"github.com/wasabiwheel/wasabiwheel/exchange"
)

const (
	// freeTries bounds the endpoints that may turn out unreachable for one request:
	// nothing was sent to them, so they count as no attempt.
	freeTries = 4
	// restAfter is when to come back if no endpoint could be reached: the first
	// rest of one.
	restAfter = 500 * time.Millisecond
)

// steer serves a request at the best endpoint. A request that may run once is
// never sent again after it may have run.
func (n *Node) steer(ctx context.Context, q *request) answer {
	n.retries.First(q.began, q.service)
	var last answer
	sent := 0
	for range q.route.Attempts + freeTries {
		now := time.Now()
		if leftBy(ctx) {
			return n.gaveUp()
		}
		choice, refused := n.choose(now, q)
		if refused != nil {
			return earlier(last, *refused)
		}
		if sent > 0 && !n.retries.Take(now, q.service) {
			n.counters.add("retry.refused")
			return last
		}
		if !n.endpoints.Start(now, choice) {
			continue // it began to leave, or is cold and was fed by now
		}
		next, free := n.attempt(ctx, q, choice)
		last = firmer(last, next)
		if !free {
			sent++
		}
		if !n.mayRetry(q, last) || sent >= q.route.Attempts {
			return last
		}
		n.counters.add("retry." + string(last.reason))
	}
	if last.outcome == "" {
		return notRun(caller.Reason(endpoint.ReasonNone), admission.After(restAfter, q.left(time.Now())))
	}
	return last
}

// firmer returns what a request is told after one more attempt. If an earlier one
// may have run, a refusal of this one says nothing of the request.
func firmer(last, next answer) answer {
	mayHaveRun := last.outcome == caller.OutcomeUnknown || last.outcome == caller.OutcomeRan
	if mayHaveRun && next.outcome == caller.OutcomeNotRun {
		return last
	}
	return next
}

// earlier keeps what came of an attempt when there is no place for another one.
func earlier(last, refused answer) answer {
	if last.outcome == "" {
		return refused
	}
	return last
}

// gaveUp is the end of a request whose caller has left.
func (n *Node) gaveUp() answer {
	n.counters.add("caller.left")
	return answer{outcome: caller.OutcomeLeft, reason: caller.Reason(exchange.KindUnanswered)}
}

// choose returns an endpoint for a request, or why it is refused.
func (n *Node) choose(now time.Time, q *request) (endpoint.Choice, *answer) {
	left := q.left(now)
	if left <= 0 {
		a := notRun(ReasonDeadline, 0)
		return endpoint.Choice{}, &a
	}
	query := endpoint.Query{
		Service:   q.service,
		Route:     q.route.ID,
		Object:    q.object,
		Seed:      q.seed,
		Homes:     q.route.Homes,
		Objective: q.route.Objective.Duration,
		Tried:     q.tried(),
	}
	choice, why := n.endpoints.Choose(now, query)
	if why != "" {
		q.excluded = n.endpoints.Excluded(now, query)
		a := notRun(caller.Reason(why), admission.After(restAfter, left))
		return endpoint.Choice{}, &a
	}
	v := admission.Decide(
		admission.Request{Priority: q.route.Priority, Objective: q.route.Objective.Duration, Left: left},
		admission.Estimate{Wait: choice.Wait, Run: choice.Usual, Least: choice.Least, Guess: choice.Guess})
	if !v.Admit {
		refused := attemptAt(choice, "refused", 0)
		q.refused, q.takes, q.bound = &refused, v.Takes, v.Bound
		a := notRun(ReasonLate, v.After)
		return endpoint.Choice{}, &a
	}
	return choice, nil
}

// attempt sends a request to an endpoint that Start has counted it at. free says
// that nothing was sent.
func (n *Node) attempt(ctx context.Context, q *request, c endpoint.Choice) (a answer, free bool) {
	ctx, cancel := q.context(ctx)
	defer cancel()
	began := time.Now()
	own, err := n.pool.Do(ctx, exchange.Request{
		ID:       q.id,
		Method:   q.method,
		URI:      q.uri,
		Host:     q.host,
		Header:   q.header,
		Body:     q.payload(),
		Endpoint: c.Endpoint.ID,
		Address:  c.Endpoint.Address,
		Deadline: q.deadline,
		Fresh:    !q.route.Idempotent,
		Limit:    c.Connections,
		Patience: c.Patience,
	})
	now := time.Now()
	var failed *exchange.Error
	if err != nil && !errors.As(err, &failed) {
		failed = &exchange.Error{Op: "exchange", Kind: exchange.KindBroken, Err: err}
	}
	if failed == nil && own.Opened > 0 {
		n.endpoints.NoteDelay(c, own.Opened)
	}
	n.endpoints.Finish(now, c, resultOf(own, failed, now.Sub(began)-own.Opened))
	n.note(q, c, failed, now.Sub(began))
	switch {
	case failed == nil:
		return ran(own), false
	case failed.Kind == exchange.KindUnanswered:
		return n.gaveUp(), false
	case exchange.NotRun(failed):
		free = failed.Kind == exchange.KindUnreached || failed.Kind == exchange.KindFull
		return notRun(caller.Reason(failed.Kind), admission.After(max(failed.After, restAfter), q.left(now))), free
	default:
		return unknown(failed.Kind), false
	}
}

func resultOf(a exchange.Answer, err *exchange.Error, took time.Duration) endpoint.Result {
	load := a.Load
	if err != nil {
		load = err.Load
	}
	return endpoint.Result{Verdict: verdictOf(a, err), Took: took, Running: load.Running, Waiting: load.Waiting, Slots: load.Slots}
}

// note keeps an attempt for the log, and what its connection showed.
func (n *Node) note(q *request, c endpoint.Choice, failed *exchange.Error, took time.Duration) {
	result := "answered"
	if failed != nil {
		result = string(failed.Kind)
		if failed.Kind == exchange.KindBroken && failed.Reused {
			n.pool.NoteDead(c.Endpoint.ID, c.Endpoint.Address, failed.Idle)
		}
	}
	n.counters.add("attempt." + result)
	a := attemptAt(c, result, took)
	if failed != nil && failed.Err != nil {
		a.cause = failed.Err.Error()
	}
	q.attempts = append(q.attempts, a)
}

// mayRetry reports whether another endpoint may be tried.
func (n *Node) mayRetry(q *request, a answer) bool {
	if q.rest != nil && a.reason != caller.Reason(exchange.KindUnreached) && a.reason != caller.Reason(exchange.KindFull) {
		return false // a part of its body is gone
	}
	switch a.outcome {
	case caller.OutcomeNotRun:
		return true
	case caller.OutcomeUnknown:
		return q.route.Idempotent && q.left(time.Now()) > 0
	case caller.OutcomeRan:
		return q.route.Idempotent && a.status >= 500 && q.left(time.Now()) > q.route.Objective.Duration/2
	default:
		return false
	}
}
