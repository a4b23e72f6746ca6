package region

// Moves of requests from their home region to another.

import (
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// Move is one request of a service on its way to a region. To may be its home.
type Move struct {
	Service  inventory.ServiceID
	From, To inventory.RegionID // its home, and where it is to be served
	Bytes    int64              // of the request
}

// Passage is a move that was counted. Who got it gives it back with Done.
type Passage struct {
	Move
	answer int64 // bytes expected
}

// Result is what is known of a move at its end.
type Result struct {
	Bytes int64         // of the answer
	Took  time.Duration // 0: it says nothing about the service
	Lost  bool          // the answer is lost, and may still cross the link
}

// Refusal says why traffic may not move, and when to ask again.
type Refusal struct {
	Reason Reason
	After  time.Duration
}

// Reason of a refusal.
type Reason string

// The reasons.
const (
	ReasonCap  Reason = "cap"  // the cap on the shift is used up
	ReasonLink Reason = "link" // the link between the regions is used up
	ReasonRoom Reason = "room" // the other regions keep their room for their own callers
)

// firstAnswer stands for the size of an answer before one was seen, in bytes.
const firstAnswer = 8 << 10

// smoothing is the weight of the newest answer in running means.
const smoothing = 0.1

// service is what was learnt of a service.
type service struct {
	answer float64       // mean size, in bytes
	took   time.Duration // mean time
}

func (t *Table) service(id inventory.ServiceID) *service {
	s, ok := t.services[id]
	if !ok {
		s = &service{answer: firstAnswer, took: firstTime}
		t.services[id] = s
	}
	return s
}

// expected is the size of the next answer; it is never 0.
func (s *service) expected() int64 { return int64(s.answer) + 1 }

// charge is an amount of one budget that a move needs: sent at once, and
// expected back later.
type charge struct {
	*budget
	sent, back int64
	reason     Reason
}

// charges lists what a move needs: one of the cap's requests, and room on each
// link that it crosses, both ways.
func (t *Table) charges(m Move, answer int64) []charge {
	var list []charge
	if b := t.budgets[inventory.BudgetID{Service: m.Service, From: m.From, To: m.To}]; b != nil && m.From != m.To {
		list = append(list, charge{budget: b, sent: 1, reason: ReasonCap})
	}
	list = t.linkCharges(list, m.From, t.here(), m.Bytes, answer)
	return t.linkCharges(list, t.here(), m.To, m.Bytes, answer)
}

func (t *Table) linkCharges(list []charge, from, to inventory.RegionID, request, answer int64) []charge {
	if b := t.budgets[inventory.BudgetID{From: from, To: to}]; b != nil {
		list = addCharge(list, charge{budget: b, sent: request, reason: ReasonLink})
	}
	if b := t.budgets[inventory.BudgetID{From: to, To: from}]; b != nil {
		list = addCharge(list, charge{budget: b, back: answer, reason: ReasonLink})
	}
	return list
}

// addCharge keeps one charge for each budget.
func addCharge(list []charge, c charge) []charge {
	for i := range list {
		if list[i].budget == c.budget {
			list[i].sent += c.sent
			list[i].back += c.back
			return list
		}
	}
	return append(list, c)
}

// here is the region of this node.
func (t *Table) here() inventory.RegionID {
	e, _ := t.inv.Entry(t.self)
	return t.inv.RegionOf(e.Domain)
}

// Take asks whether one request may move now, and counts it if so. When it may
// not, nothing is counted but the demand.
func (t *Table) Take(now time.Time, m Move) (Passage, *Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inv == nil {
		return Passage{Move: m}, nil
	}
	t.notice(now)
	p := Passage{Move: m, answer: t.service(m.Service).expected()}
	list := t.charges(m, p.answer)
	for _, c := range list {
		c.wanted.add(now, c.sent+c.back)
	}
	if r := refusal(now, list); r != nil {
		return p, r
	}
	for _, c := range list {
		c.used.add(now, c.sent)
		c.promised += c.back
	}
	return p, nil
}

func refusal(now time.Time, list []charge) *Refusal {
	for _, c := range list {
		if !c.fits(now, c.sent+c.back) {
			return &Refusal{Reason: c.reason, After: c.used.left(now)}
		}
	}
	return nil
}

// Done counts what a move brought back.
func (t *Table) Done(now time.Time, p Passage, r Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inv == nil {
		return
	}
	back := r.Bytes
	if r.Lost {
		back = max(back, p.answer)
	}
	for _, c := range t.charges(p.Move, p.answer) {
		if c.back == 0 {
			continue
		}
		c.promised = max(0, c.promised-c.back)
		c.used.add(now, back)
	}
	t.learn(p.Service, r)
}

// learn adds to the running means of a service.
func (t *Table) learn(id inventory.ServiceID, r Result) {
	if r.Lost || r.Took <= 0 {
		return
	}
	s := t.service(id)
	s.answer += smoothing * (float64(r.Bytes) - s.answer)
	s.took += time.Duration(smoothing * float64(r.Took-s.took))
}
