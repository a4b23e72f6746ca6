package endpoint

// Admission: a free slot, a place in the queue, or a refusal at once.

import (
	"slices"
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// Reason says why a request was refused.
type Reason string

// The reasons.
const (
	ReasonNone Reason = "none" // no endpoint of the service is owned here and usable
	ReasonFull Reason = "full" // the queue is at its bound
	ReasonLate Reason = "late" // the wait ahead would not leave enough time
)

// firstEstimate stands for the time a request takes before one was seen.
const firstEstimate = 20 * time.Millisecond

// smoothing is the weight of the newest request in the running mean.
const smoothing = 0.1

// spare is how many means must be left after the wait, one for the request and
// one since the wait is an estimate, so that few are refused after they waited.
const spare = 2

// tight is the part of a mean that must be left beyond one when a wait ends,
// since a request that has begun and runs into its deadline ends as unknown.
const tight = 4

// Slot is the right to have one request in flight at an endpoint. Who holds it
// must give it back with Release.
type Slot struct {
	Endpoint inventory.EndpointID
	Address  string
	point    *point
}

// Ticket is a place in the queue. Ready yields the slot, or is closed when the
// request cannot be answered in time any more.
type Ticket struct {
	Ready    chan Slot
	service  inventory.ServiceID
	deadline time.Time
}

// Refusal says why nothing was started, and when to come back.
type Refusal struct {
	Reason Reason
	After  time.Duration
}

// Verdict is the outcome of Admit: exactly one field is set.
type Verdict struct {
	Slot    *Slot
	Ticket  *Ticket
	Refusal *Refusal
}

// queue holds the requests that wait for a slot of one service.
type queue struct {
	waiting []*Ticket
	limit   int
	mean    time.Duration // that a request occupies a slot
}

func (t *Table) queueOf(id inventory.ServiceID) *queue {
	q, ok := t.queues[id]
	if !ok {
		q = &queue{mean: firstEstimate}
		t.queues[id] = q
	}
	return q
}

// Admit decides on a request that must be answered by deadline.
func (t *Table) Admit(now time.Time, service inventory.ServiceID, deadline time.Time) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := t.queueOf(service)
	l := t.load(now, service)
	if l.Slots == 0 || t.resigned {
		return refuse(ReasonNone, t.deadlineOrZero(service))
	}
	if len(q.waiting) == 0 {
		if s, ok := t.take(now, service); ok {
			return Verdict{Slot: &s}
		}
	}
	wait := q.mean * time.Duration(len(q.waiting)+1) / time.Duration(l.Slots)
	if len(q.waiting) >= q.limit {
		return refuse(ReasonFull, wait)
	}
	if now.Add(wait + spare*q.mean).After(deadline) {
		return refuse(ReasonLate, wait)
	}
	ticket := &Ticket{Ready: make(chan Slot, 1), service: service, deadline: deadline}
	q.waiting = append(q.waiting, ticket)
	return Verdict{Ticket: ticket}
}

func refuse(r Reason, after time.Duration) Verdict {
	return Verdict{Refusal: &Refusal{Reason: r, After: after}}
}

func (t *Table) deadlineOrZero(id inventory.ServiceID) time.Duration {
	if t.inv == nil {
		return 0
	}
	s, _ := t.inv.Service(id)
	return s.Deadline.Duration
}

// take occupies a slot of the least used endpoint of a service.
func (t *Table) take(now time.Time, service inventory.ServiceID) (Slot, bool) {
	if !t.awake(now) {
		return Slot{}, false
	}
	var best *point
	for _, p := range t.points {
		if p.Service != service || !p.usableAt(now) || p.busy >= p.allowed(now) || t.leaves(p.ID) {
			continue
		}
		if best == nil || p.less(best) {
			best = p
		}
	}
	if best == nil {
		return Slot{}, false
	}
	best.busy++
	return Slot{Endpoint: best.ID, Address: best.Address, point: best}, true
}

// less orders endpoints by the share of slots in use, then by id.
func (p *point) less(q *point) bool {
	a, b := p.busy*q.Slots, q.busy*p.Slots
	if a != b {
		return a < b
	}
	return p.ID < q.ID
}

// Release gives a slot back after it was occupied for the given time; 0 means
// that the time says nothing about the service.
func (t *Table) Release(now time.Time, s Slot, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := s.point
	p.busy--
	if took > 0 {
		q := t.queueOf(p.Service)
		q.mean += time.Duration(smoothing * float64(took-q.mean))
	}
	if p.busy == 0 && !t.mine(p.Address) {
		delete(t.points, p.Address)
	}
	t.dispatch(now)
}

// mine reports whether this node may own the endpoint at an address.
func (t *Table) mine(address string) bool {
	return slices.ContainsFunc(t.inv.Endpoints, func(e inventory.Endpoint) bool {
		return e.Address == address && slices.Contains(Rank(t.inv, e), t.self)
	})
}

// Cancel takes a request out of the queue. When its slot has been handed out
// already, it is given back.
func (t *Table) Cancel(now time.Time, k *Ticket) {
	t.mu.Lock()
	q := t.queueOf(k.service)
	q.waiting = slices.DeleteFunc(q.waiting, func(x *Ticket) bool { return x == k })
	t.mu.Unlock()
	select {
	case s, ok := <-k.Ready:
		if ok {
			t.Release(now, s, 0)
		}
	default:
	}
}

// Tick hands out what has become usable by the passing of time alone.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.awake(now)
	t.pause.ticked = now
	t.dispatch(now)
	t.yield()
}

// dispatch hands free slots to the requests that wait, the oldest first, and
// refuses those that cannot be answered in time any more.
func (t *Table) dispatch(now time.Time) {
	for id, q := range t.queues {
		for len(q.waiting) > 0 {
			next := q.waiting[0]
			if now.Add(q.mean + q.mean/tight).After(next.deadline) {
				q.waiting = q.waiting[1:]
				close(next.Ready)
				continue
			}
			s, ok := t.take(now, id)
			if !ok {
				break
			}
			q.waiting = q.waiting[1:]
			next.Ready <- s
		}
	}
}
