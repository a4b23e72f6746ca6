package endpoint

// How long requests take, to tell which one takes unusually long.

import (
	"sync"
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// Weights of the newest request, and the deviations that are usual (RFC 6298).
const (
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	usualDeviations = 4
	// paceSamples must be seen before anything is told.
	paceSamples = 20
)

// Pace keeps the times that requests take, by service. It is safe for
// concurrent use.
type Pace struct {
	mu       sync.Mutex
	services map[inventory.ServiceID]*pace
}

type pace struct {
	samples         int
	mean, deviation time.Duration
}

// NewPace returns an empty table.
func NewPace() *Pace { return &Pace{services: map[inventory.ServiceID]*pace{}} }

// Took takes in the time of an answered request.
func (t *Pace) Took(id inventory.ServiceID, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.services[id]
	if !ok {
		p = &pace{mean: d, deviation: d / 2}
		t.services[id] = p
	}
	p.samples++
	off := (d - p.mean).Abs()
	p.deviation += time.Duration(deviationWeight * float64(off-p.deviation))
	p.mean += time.Duration(meanWeight * float64(d-p.mean))
}

// Usual returns the time within which almost all requests of a service are
// answered. It reports false while too few were seen.
func (t *Pace) Usual(id inventory.ServiceID) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.services[id]
	if !ok || p.samples < paceSamples {
		return 0, false
	}
	return p.mean + usualDeviations*p.deviation, true
}
