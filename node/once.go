package node

// Operations that run at most once: the one incarnation that the key names
// runs them; every other node passes them on to it.

import (
	"context"
	"net/http"
	"time"

	"github.com/wasabiwheel/wasabiwheel/booking"
)

// serveOnce serves an operation with a key.
func (n *Node) serveOnce(ctx context.Context, q *request) answer {
	if q.key.Entry == n.settings.ID && q.key.Incarnation == n.incarnation {
		return n.book(ctx, q)
	}
	m, ok := n.members.Get(q.key.Entry)
	if !ok || m.Dead || m.Incarnation != q.key.Incarnation {
		return unknown(ReasonOwnerGone)
	}
	a := n.passToOwner(ctx, q)
	if a.outcome != OutcomeNotRun || a.stated {
		return a
	}
	// This receipt did not reach the owner, but another one of the same key may
	// have.
	if a.reason == ReasonDeadline {
		return unknown(ReasonDeadline)
	}
	return unknown(ReasonOwnerGone)
}

// bookForPeer runs an operation that another node passed on. Whether it may run
// at most once was decided there.
func (n *Node) bookForPeer(ctx context.Context, q *request) answer {
	key, err := booking.ParseKey(q.header.Get(HeaderKey))
	if err != nil {
		return answer{outcome: OutcomeUnknown, reason: ReasonRequest, status: http.StatusBadRequest}
	}
	q.key = &key
	q.once = true
	return n.book(ctx, q)
}

// book runs an operation that this incarnation owns, or tells what became of
// it.
func (n *Node) book(ctx context.Context, q *request) answer {
	v := n.bookings.Begin(time.Now(), *q.key, q.digest())
	switch v.Action {
	case booking.Start:
		first := make(chan answer, 1)
		n.work.Add(1)
		go n.runOnce(q, first)
		return awaitFirst(ctx, q, first)
	case booking.Join:
		return n.awaitBooking(ctx, q)
	case booking.Replay:
		return replay(q, v)
	case booking.Full:
		return full(v)
	case booking.Differs:
		return answer{outcome: OutcomeNotRun, reason: ReasonDiffers, status: http.StatusUnprocessableEntity}
	case booking.Foreign:
		return unknown(ReasonOwnerGone)
	default:
		return unknown(ReasonExpired)
	}
}

func full(v booking.Verdict) answer {
	if v.State == booking.StateUnknown {
		return unknown(ReasonMemory)
	}
	return notRun(ReasonMemory, 0)
}

// runOnce carries an operation to its end, whether or not its caller stays. It
// is counted as work before it is started, and its answer goes out after it is
// recorded, so that repeats say the same.
func (n *Node) runOnce(q *request, first chan<- answer) {
	defer n.work.Add(-1)
	q.booked = true
	a := n.steer(context.Background(), q)
	if err := n.record(q, a); err != nil {
		n.check("booking", err)
		a = unknown(ReasonBroken)
	}
	first <- a
}

// record keeps what became of an operation.
func (n *Node) record(q *request, a answer) error {
	end := booking.Answer{Status: a.status, Header: a.header, Body: a.body, Reason: string(a.reason), After: a.after}
	switch a.outcome {
	case OutcomeRan:
		return n.bookings.Finish(*q.key, end)
	case OutcomeNotRun:
		return n.bookings.Seal(*q.key, end)
	default:
		return n.bookings.Lose(*q.key, end)
	}
}

// track runs one attempt of a booked operation. The operation counts as sent
// before anything can leave this process, and as new again when the next hop
// says that it did not run.
func (n *Node) track(q *request, attempt func() answer) answer {
	if !q.booked {
		return attempt()
	}
	if err := n.bookings.Send(*q.key); err != nil {
		n.check("booking", err)
		return unknown(ReasonBroken)
	}
	a := attempt()
	if a.outcome == OutcomeNotRun {
		n.check("booking", n.bookings.Return(*q.key))
	}
	return a
}

// bookingGrace lets an operation that ends at its deadline be recorded first.
const bookingGrace = 20 * time.Millisecond

// awaitFirst waits for the answer to the receipt that started the operation.
func awaitFirst(ctx context.Context, q *request, first <-chan answer) answer {
	timer := time.NewTimer(time.Until(q.deadline) + bookingGrace)
	defer timer.Stop()
	select {
	case a := <-first:
		return a
	case <-timer.C:
	case <-ctx.Done():
	}
	return unknown(ReasonDeadline)
}

// awaitBooking waits until the operation is over or its time is up.
func (n *Node) awaitBooking(ctx context.Context, q *request) answer {
	timer := time.NewTimer(time.Until(q.deadline) + bookingGrace)
	defer timer.Stop()
	v := n.bookings.Look(*q.key)
	for v.Action == booking.Join {
		select {
		case <-v.Done:
		case <-timer.C:
			return unknown(ReasonDeadline)
		case <-ctx.Done():
			return unknown(ReasonDeadline)
		}
		v = n.bookings.Look(*q.key)
	}
	return replay(q, v)
}

// replay repeats what became of an operation.
func replay(q *request, v booking.Verdict) answer {
	end := v.Answer
	switch v.State {
	case booking.StateDone:
		if end.Dropped {
			return unknown(ReasonMemory)
		}
		return answer{outcome: OutcomeRan, status: end.Status, header: http.Header(end.Header).Clone(), body: end.Body, bare: isBare(q.method, end.Status)}
	case booking.StateSealed:
		return notRun(reasonOr(end.Reason, ReasonSealed), end.After)
	default:
		return unknown(reasonOr(end.Reason, ReasonBroken))
	}
}

func reasonOr(kept string, other Reason) Reason {
	if kept == "" {
		return other
	}
	return Reason(kept)
}
