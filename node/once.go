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
	if a.outcome == OutcomeNotRun && a.reason == ReasonUnreachable {
		// Not this receipt, but an earlier one of the same key may have run.
		return unknown(ReasonOwnerGone)
	}
	return a
}

// book runs an operation that this incarnation owns, or tells what became of
// it.
func (n *Node) book(ctx context.Context, q *request) answer {
	v := n.bookings.Begin(time.Now(), *q.key, q.digest())
	switch v.Action {
	case booking.Start:
		n.work.Add(1)
		go n.runOnce(q)
		return n.awaitBooking(ctx, q)
	case booking.Join:
		return n.awaitBooking(ctx, q)
	case booking.Replay:
		return replay(v)
	case booking.Full:
		return full(v)
	case booking.Differs:
		return answer{outcome: OutcomeNotRun, reason: ReasonDiffers, status: http.StatusUnprocessableEntity}
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
// is counted as work before it is started.
func (n *Node) runOnce(q *request) {
	defer n.work.Add(-1)
	q.booked = true
	a := n.steer(context.Background(), q)
	end := booking.Answer{Status: a.status, Header: a.header, Body: a.body, Reason: string(a.reason), After: a.after}
	var err error
	switch a.outcome {
	case OutcomeRan:
		err = n.bookings.Finish(*q.key, end)
	case OutcomeNotRun:
		err = n.bookings.Seal(*q.key, end)
	default:
		err = n.bookings.Lose(*q.key, end)
	}
	n.check("booking", err)
}

// track runs one attempt of a booked operation. The operation counts as sent
// before anything can leave this process, and as new again when the next hop
// says that it did not run.
func (n *Node) track(q *request, attempt func() answer) answer {
	if !q.booked {
		return attempt()
	}
	n.check("booking", n.bookings.Send(*q.key))
	a := attempt()
	if a.outcome == OutcomeNotRun {
		n.check("booking", n.bookings.Return(*q.key))
	}
	return a
}

// bookingGrace lets an operation that ends at its deadline be recorded first.
const bookingGrace = 20 * time.Millisecond

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
	return replay(v)
}

// replay repeats what became of an operation.
func replay(v booking.Verdict) answer {
	end := v.Answer
	switch v.State {
	case booking.StateDone:
		return answer{outcome: OutcomeRan, status: end.Status, header: http.Header(end.Header).Clone(), body: end.Body}
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
