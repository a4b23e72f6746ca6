package endpoint

// What the answers of an endpoint say of its health. They only ever reduce what
// is sent to it; the node's own count of slots is what admits.

import (
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// Timing of what an endpoint may take.
const (
	rampTime  = 10 * time.Second // from one slot to all of them
	firstRest = time.Second      // after an attempt without a connection
	maxRest   = 8 * time.Second  // after several in a row
	// reducedFor ends a reduction that no answers have ended.
	reducedFor = 10 * time.Second
)

// Result is what an attempt says of its endpoint.
type Result int

// The results.
const (
	ResultFine       Result = iota // a whole answer
	ResultShed                     // the endpoint refused
	ResultUnanswered               // no whole answer
	ResultRefused                  // no connection
)

// health is what an endpoint may take by what it has shown.
type health struct {
	limit float64       // slots that it did not shed at; 0: all
	shed  time.Time     // when the limit was lowered last
	born  time.Time     // when it was new or came back; zero: not since this node began
	until time.Time     // rests until then
	rest  time.Duration // of the newest rest
}

// Note takes in the result of an attempt. An endpoint that sheds, or breaks off,
// gets half as many requests at a time, with each answer a little more again,
// and all after a while. One that accepts no connection gets none for a while.
func (t *Table) Note(now time.Time, s Slot, r Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := s.point
	h := &p.health
	if !h.reduced(now) || h.limit > float64(p.Slots) {
		h.limit = float64(p.Slots)
	}
	switch r {
	case ResultFine:
		h.limit = min(h.limit+1/h.limit, float64(p.Slots))
		h.rest = 0
	case ResultShed, ResultUnanswered:
		h.limit = max(h.limit/2, 1)
		h.shed = now
	case ResultRefused:
		h.rest = min(max(2*h.rest, firstRest), maxRest)
		h.until = now.Add(h.rest)
	}
}

// reduced reports whether the limit holds.
func (h health) reduced(now time.Time) bool {
	return h.limit > 0 && now.Sub(h.shed) < reducedFor
}

// allowed is how many requests an endpoint may have at a time now.
func (p *point) allowed(now time.Time) int {
	n := p.Slots
	if p.reduced(now) {
		n = min(n, int(p.limit))
	}
	since := now.Sub(p.born)
	if !p.born.IsZero() && since < rampTime {
		n = min(n, 1+int(int64(p.Slots)*int64(since)/int64(rampTime)))
	}
	if now.Before(p.until) {
		return 0
	}
	return max(n, 1)
}

// begin starts the ramp of an endpoint that an inventory adds or brings back
// from a drain, if its service has others.
func (t *Table) begin(now time.Time, p *point, old *inventory.Inventory) {
	if old == nil {
		return
	}
	others := false
	for _, e := range t.inv.EndpointsOf(p.Service) {
		if e.Address == p.Address {
			continue
		}
		others = others || !t.inv.Drained(e)
	}
	for _, e := range old.Endpoints {
		if e.Address == p.Address && !old.Drained(e) {
			return
		}
	}
	if others {
		p.born = now
	}
}
