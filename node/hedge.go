package node

// Hedging: a read that takes unusually long is sent to a second place.

import (
	"context"
	"net/http"
	"time"

	"github.com/wasabiwheel/wasabiwheel/region"
)

// reasonHedge counts the second attempts beside a first one that goes on.
const reasonHedge Reason = "hedge"

// tryFirst tries the first place, and the second beside it when a read takes
// longer than usual. Whether the second has room is its own decision. It returns
// how many were tried.
func (n *Node) tryFirst(ctx context.Context, q *request, places []region.Place) (answer, int) {
	usual, known := n.pace.Usual(q.service.ID)
	if !known || !q.mayHedge() || len(places) < 2 {
		return n.track(q, func() answer { return n.attempt(ctx, places[0], q) }), 1
	}
	ctx, cancel := context.WithCancel(ctx) // of the one that loses
	defer cancel()
	answers := make(chan answer, 2)
	go func() { answers <- n.attempt(ctx, places[0], q) }()
	timer := time.NewTimer(usual)
	defer timer.Stop()
	select {
	case a := <-answers:
		return a, 1
	case <-timer.C:
	}
	if !n.retries.Take() {
		n.counters.add("retry.refused." + string(reasonHedge))
		return <-answers, 1
	}
	n.counters.retry(reasonHedge)
	go func() { answers <- n.attempt(ctx, places[1], q) }()
	a := <-answers
	if a.outcome != OutcomeRan {
		a = <-answers
	}
	return a, 2
}

func (q *request) mayHedge() bool {
	return !q.once && !q.booked && (q.method == http.MethodGet || q.method == http.MethodHead)
}
