package experiment

// The oracle, to which the other systems are compared. All its entry VMs share the exact,
// current load and warm objects of each endpoint, and the set of isolated VMs.

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// oracle sends each request to the endpoint that will respond first.
type oracle struct {
	r *run

	mu     sync.Mutex
	freeAt map[inventory.EndpointID][]time.Time // time at which each slot is free
	warm   map[inventory.EndpointID][]string    // warm objects, the most recently used first
}

func startOracle(_ context.Context, r *run) error {
	o := &oracle{r: r, freeAt: map[inventory.EndpointID][]time.Time{}, warm: map[inventory.EndpointID][]string{}}
	for _, e := range r.inv.Endpoints {
		o.freeAt[e.ID] = make([]time.Time, e.Slots)
	}
	return r.serveEntries(o.serve)
}

func (o *oracle) serve(from inventory.Entry, client *http.Client, req request) result {
	p, ok := o.reserve(from, req)
	if !ok {
		return result{}
	}
	return forward(client, p, req)
}

// reserve occupies a slot of the best endpoint. It returns false if no endpoint would
// respond before the deadline.
func (o *oracle) reserve(from inventory.Entry, req request) (inventory.Endpoint, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var best inventory.Endpoint
	var start, end time.Time
	for _, p := range o.r.endpointsOf(req.service()) {
		if o.r.isIsolated(hostOf(p.Address)) {
			continue
		}
		delay := o.delay(from, p)
		begin := latest(time.Now().Add(delay), slices.MinFunc(o.freeAt[p.ID], time.Time.Compare))
		done := begin.Add(o.serviceTimeAt(p, req))
		if arrival := done.Add(delay); end.IsZero() || arrival.Before(end) {
			best, start, end = p, begin, arrival
		}
	}
	if best.ID == "" || end.After(req.deadline) {
		return inventory.Endpoint{}, false
	}
	o.occupy(best, req, start)
	return best, true
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// serviceTimeAt returns the service time of a request at an endpoint.
func (o *oracle) serviceTimeAt(p inventory.Endpoint, req request) time.Duration {
	d := serviceTime
	if slices.Contains(o.warm[p.ID], req.object) {
		d = time.Duration(float64(serviceTime) * (1 - warmSaving))
	}
	if i := slices.IndexFunc(o.r.inv.Endpoints, func(e inventory.Endpoint) bool { return e.ID == p.ID }); o.r.scenario.slowEvery > 0 && i%o.r.scenario.slowEvery == 0 {
		d *= slowFactor
	}
	return d
}

// occupy occupies the slot that is free first, and marks the object as warm.
func (o *oracle) occupy(p inventory.Endpoint, req request, start time.Time) {
	slots := o.freeAt[p.ID]
	first := 0
	for i := range slots {
		if slots[i].Before(slots[first]) {
			first = i
		}
	}
	slots[first] = start.Add(o.serviceTimeAt(p, req))
	recent := slices.DeleteFunc(o.warm[p.ID], func(x string) bool { return x == req.object })
	recent = append([]string{req.object}, recent...)
	o.warm[p.ID] = recent[:min(len(recent), warmObjects)]
}

// delay returns the one-way delay between an entry VM and an endpoint.
func (o *oracle) delay(from inventory.Entry, p inventory.Endpoint) time.Duration {
	inv := o.r.inv
	a, b := inv.RegionOf(from.Domain), inv.RegionOf(p.Domain)
	if a != b {
		d, _ := inv.DelayBetween(a, b)
		return d.Duration
	}
	if from.Domain != p.Domain {
		return inv.Delay.Duration
	}
	return 0
}
