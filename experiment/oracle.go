package experiment

// The way of steering that all others are compared with: it knows each
// endpoint's slots in use at once and everywhere.

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/lookup"
)

// oracle hands out the nearest free slot, or the next one that is freed. Its
// queue is bounded to about one request for each slot.
type oracle struct {
	r *run

	mu      sync.Mutex
	busy    map[inventory.EndpointID]int
	waiting map[inventory.ServiceID][]chan inventory.Endpoint
}

func startOracle(_ context.Context, r *run) error {
	o := &oracle{r: r, busy: map[inventory.EndpointID]int{}, waiting: map[inventory.ServiceID][]chan inventory.Endpoint{}}
	return r.serveEntries(lookup.NewIndex(r.inv), o.serve)
}

func (o *oracle) serve(from inventory.Entry, client *http.Client, j job) verdict {
	p, ok := o.acquire(from, j)
	if !ok {
		return verdict{}
	}
	v := forward(client, p, j)
	if v.status == 0 {
		// It may run there until its deadline, and some time for the way.
		time.AfterFunc(time.Until(j.deadline)+callerDelay, func() { o.release(p) })
		return v
	}
	o.release(p)
	return v
}

func (o *oracle) acquire(from inventory.Entry, j job) (inventory.Endpoint, bool) {
	p, ready := o.takeOrWait(from, j.service.ID)
	if ready == nil {
		return p, p.ID != ""
	}
	timer := time.NewTimer(time.Until(j.deadline) - work - spread)
	defer timer.Stop()
	select {
	case p := <-ready:
		return p, true
	case <-timer.C:
		return o.giveUp(j.service.ID, ready)
	}
}

// takeOrWait takes the nearest free slot, or a place in the queue, or nothing
// when the queue is full.
func (o *oracle) takeOrWait(from inventory.Entry, s inventory.ServiceID) (inventory.Endpoint, chan inventory.Endpoint) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if p, ok := o.nearest(from, s); ok {
		o.busy[p.ID]++
		return p, nil
	}
	if len(o.waiting[s]) >= o.slots(s) {
		return inventory.Endpoint{}, nil
	}
	ready := make(chan inventory.Endpoint, 1)
	o.waiting[s] = append(o.waiting[s], ready)
	return inventory.Endpoint{}, ready
}

func (o *oracle) slots(s inventory.ServiceID) int {
	sum := 0
	for _, p := range o.r.inv.EndpointsOf(s) {
		sum += p.Slots
	}
	return sum
}

// giveUp leaves the queue, unless a slot was handed out meanwhile.
func (o *oracle) giveUp(s inventory.ServiceID, ready chan inventory.Endpoint) (inventory.Endpoint, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.waiting[s] = slices.DeleteFunc(o.waiting[s], func(c chan inventory.Endpoint) bool { return c == ready })
	select {
	case p := <-ready:
		return p, true
	default:
		return inventory.Endpoint{}, false
	}
}

func (o *oracle) nearest(from inventory.Entry, s inventory.ServiceID) (inventory.Endpoint, bool) {
	var best inventory.Endpoint
	least := time.Duration(-1)
	for _, p := range o.r.inv.EndpointsOf(s) {
		if o.busy[p.ID] >= p.Slots || o.r.isLost(hostOf(p.Address)) {
			continue
		}
		if d := o.delay(from, p); least < 0 || d < least {
			best, least = p, d
		}
	}
	return best, least >= 0
}

func (o *oracle) delay(from inventory.Entry, p inventory.Endpoint) time.Duration {
	inv := o.r.inv
	a, b := inv.RegionOf(from.Domain), inv.RegionOf(p.Domain)
	if l, ok := inv.LinkBetween(a, b); ok && a != b {
		return l.Delay.Duration
	}
	if from.Domain != p.Domain {
		return inv.Rules.DomainDelay.Duration
	}
	return 0
}

func (o *oracle) release(p inventory.Endpoint) {
	o.mu.Lock()
	defer o.mu.Unlock()
	queue := o.waiting[p.Service]
	if len(queue) > 0 && !o.r.isLost(hostOf(p.Address)) {
		o.waiting[p.Service] = queue[1:]
		queue[0] <- p
		return
	}
	o.busy[p.ID]--
}
