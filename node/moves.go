package node

// The choice of a place for a request, and the counting of what moves.

import (
	"math/rand/v2"
	"time"

	"github.com/wasabiwheel/wasabiwheel/region"
)

// newRandom returns random numbers that differ from process to process.
func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// order lists the places to try for a request, or says why there is none.
func (n *Node) order(q *request) ([]region.Place, *region.Refusal) {
	question := region.Question{Service: q.service.ID, Home: q.home, Origin: n.settings.Domain, Bytes: int64(len(q.body))}
	return n.regions.Order(time.Now(), question, n.places(q.service.ID))
}

// moveTo runs an attempt at a place if the request may move there, and counts
// what it moved.
func (n *Node) moveTo(p region.Place, q *request, attempt func() answer) answer {
	began := time.Now()
	move := region.Move{Service: q.service.ID, From: q.home, To: p.Region, Bytes: int64(len(q.body))}
	passage, refusal := n.regions.Take(began, move)
	if refusal != nil {
		return notRun(Reason(refusal.Reason), refusal.After)
	}
	n.regions.Sent(q.service.ID, p)
	a := attempt()
	n.regions.Done(time.Now(), passage, a.result(began))
	return a
}

// result is what an answer says of a move.
func (a answer) result(began time.Time) region.Result {
	r := region.Result{Bytes: int64(len(a.body)), Lost: a.outcome == OutcomeUnknown}
	if a.outcome == OutcomeRan {
		r.Took = time.Since(began)
	}
	return r
}
