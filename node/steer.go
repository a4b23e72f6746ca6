package node

// Steering one request: choose a place, try it, and try another one while that
// is safe and there is time.

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/wasabiwheel/wasabiwheel/endpoint"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/region"
)

// maxAttempts bounds the places tried for one request.
const maxAttempts = 3

// steer serves a request at the best place. For an operation that may run at
// most once it never tries again after an unknown outcome.
func (n *Node) steer(ctx context.Context, q *request) answer {
	last := notRun(ReasonNoPlace, 0)
	places, refusal := n.order(q)
	if refusal != nil {
		last = notRun(Reason(refusal.Reason), refusal.After)
	}
	n.retries.First()
	tried := 0
	began := time.Now()
	if len(places) > 0 {
		last, tried = n.tryFirst(ctx, q, places)
	}
	for tried > 0 && tried < len(places) && last.mayRetry(q) && n.mayTry(tried, places[tried], last) {
		p := places[tried]
		last = n.track(q, func() answer { return n.attempt(ctx, p, q) })
		tried++
	}
	if last.outcome == OutcomeRan && tried == 1 { // else it is not known which took how long
		n.pace.Took(q.service.ID, time.Since(began))
	}
	if last.outcome == OutcomeNotRun {
		n.counters.refusal(last.reason)
	}
	return last
}

// places lists the nodes that own endpoints of a service, this one among them.
func (n *Node) places(id inventory.ServiceID) []region.Place {
	inv := n.config.Inventory()
	now := time.Now()
	places := []region.Place{n.ownPlace(now, inv, id)}
	for _, m := range n.members.Live(now) {
		e, ok := inv.Entry(m.Entry)
		if !ok || m.Leaving {
			continue
		}
		for _, l := range m.Loads {
			if l.Service == id {
				places = append(places, region.Place{Entry: e.ID, Domain: e.Domain, Region: inv.RegionOf(e.Domain), Free: l.Free, Slots: l.Slots, Queue: l.Queue, At: m.Last})
			}
		}
	}
	return places
}

func (n *Node) ownPlace(now time.Time, inv *inventory.Inventory, id inventory.ServiceID) region.Place {
	p := region.Place{Entry: n.settings.ID, Domain: n.settings.Domain, Region: inv.RegionOf(n.settings.Domain), At: now}
	for _, l := range n.endpoints.Loads(now) {
		if l.Service == id {
			p.Free, p.Slots, p.Queue = l.Free, l.Slots, l.Queue
		}
	}
	return p
}

// attempt tries one place.
func (n *Node) attempt(ctx context.Context, p region.Place, q *request) answer {
	return n.moveTo(p, q, func() answer {
		if p.Entry == n.settings.ID {
			return n.serveHere(ctx, q)
		}
		return n.handOver(ctx, p.Entry, q)
	})
}

// serveHere serves a request at an endpoint that this node owns.
func (n *Node) serveHere(ctx context.Context, q *request) answer {
	v := n.endpoints.Admit(time.Now(), q.service.ID, q.waitLimit())
	switch {
	case v.Refusal != nil:
		return notRun(Reason(v.Refusal.Reason), v.Refusal.After)
	case v.Ticket != nil:
		slot, ok := n.await(ctx, v.Ticket, q.waitLimit())
		if !ok {
			return notRun(Reason(endpoint.ReasonLate), 0)
		}
		return n.sendToTarget(ctx, slot, q)
	default:
		return n.sendToTarget(ctx, *v.Slot, q)
	}
}

// returnMargin is kept for the way back of an answer to another node, so that it
// arrives before that node gives up.
const returnMargin = 50 * time.Millisecond

// returnShare bounds the margin to a part of the time that is left.
const returnShare = 4

// waitLimit is until when a request that had to wait for a slot should be done.
func (q *request) waitLimit() time.Time {
	if !q.handed {
		return q.deadline
	}
	left := max(0, time.Until(q.deadline))
	return q.deadline.Add(-min(returnMargin, left/returnShare))
}

// await waits for a slot until the deadline.
func (n *Node) await(ctx context.Context, k *endpoint.Ticket, deadline time.Time) (endpoint.Slot, bool) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case s, ok := <-k.Ready:
		return s, ok
	case <-timer.C:
	case <-ctx.Done():
	}
	n.endpoints.Cancel(time.Now(), k)
	return endpoint.Slot{}, false
}

// sendToTarget runs a request at an endpoint. Once it is sent it goes on also
// when its sender leaves: that frees the slot when the answer comes, and not as
// late as the deadline, since nobody says when a cancelled request has ended.
func (n *Node) sendToTarget(ctx context.Context, s endpoint.Slot, q *request) answer {
	if now := time.Now(); ctx.Err() != nil || !n.endpoints.MayStart(now, s) {
		n.endpoints.Release(now, s, 0)
		return notRun(ReasonPaused, 0)
	}
	done := make(chan answer, 1)
	go func() { done <- n.runAtTarget(context.WithoutCancel(ctx), s, q) }()
	select {
	case a := <-done:
		return a
	case <-ctx.Done():
		return unknown(ReasonDeadline)
	}
}

// runAtTarget occupies the slot until the request cannot be running there any
// more: when its answer is whole, or else at its deadline, which the target
// knows.
func (n *Node) runAtTarget(ctx context.Context, s endpoint.Slot, q *request) answer {
	began := time.Now()
	a := send(ctx, n.targets, "http://"+s.Address+q.path, q).fromTarget()
	n.noteSignal(s.Endpoint, a)
	a = n.judge(s, q, a)
	switch a.outcome {
	case OutcomeUnknown:
		time.AfterFunc(time.Until(q.deadline)+endpoint.Transit, func() { n.endpoints.Release(time.Now(), s, 0) })
	case OutcomeNotRun:
		n.endpoints.Release(time.Now(), s, 0)
	default:
		n.endpoints.Release(time.Now(), s, time.Since(began))
	}
	return a
}

// dialTimeout bounds the making of a connection. net/http goes on with it when
// the request that needed it was given up.
const dialTimeout = 2 * time.Second

func dialWithin(limit time.Duration, over Network) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		return over.DialContext(ctx, network, address)
	}
}

// newTransport returns a transport for one kind of next hop. Unused connections
// are closed before a server is likely to close them, since a request that
// meets a closing connection ends as unknown.
func newTransport(over Network, perHost int) *http.Transport {
	return &http.Transport{
		DialContext:         dialWithin(dialTimeout, over),
		MaxConnsPerHost:     perHost,
		MaxIdleConnsPerHost: perHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeader,
	}
}
