package node

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

const (
	limitWindow = 4 * time.Second // in which the requests to an endpoint with a limit are counted
	limitExcess = 1.5             // multiple of the limit that they may reach in it
	limitSlack  = 5               // requests beyond that
	limitToldIn = 4 * time.Second // after the first response that names a limit
)

// loadConcurrently sends requests to all running nodes at a rate for a duration, and returns
// the number that were served.
func (h *harness) loadConcurrently(rate int, d time.Duration) (served int) {
	var wait sync.WaitGroup
	var mu sync.Mutex
	for i := range rate * int(d/time.Second) {
		time.Sleep(time.Second / time.Duration(rate))
		e := h.inv.Entries[i%len(h.inv.Entries)].ID
		if h.nodes[e] == nil {
			continue
		}
		wait.Go(func() {
			resp := h.send(h.t.Context(), e, testRequest{object: fmt.Sprint(i % 100)})
			mu.Lock()
			defer mu.Unlock()
			if resp.status == 200 {
				served++
			}
		})
	}
	wait.Wait()
	return served
}

// mostInWindow returns the largest number of arrivals in a window that starts after a time.
func mostInWindow(arrivals []time.Time, after time.Time) int {
	most := 0
	slices.SortFunc(arrivals, time.Time.Compare)
	for i, at := range arrivals {
		if at.Before(after) {
			continue
		}
		n := 0
		for _, later := range arrivals[i:] {
			if later.Sub(at) < limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// serviceTargets returns the targets of a service, sorted by id.
func (h *harness) serviceTargets(s inventory.ServiceID) []*testTarget {
	var all []*testTarget
	for _, e := range h.inv.Endpoints {
		if e.Service == s {
			all = append(all, h.targets[e.ID])
		}
	}
	return all
}

// TestEndpointWithLimitIsNotOverrun guards against an endpoint that gets more requests from all
// nodes together than the limit that it names.
func TestEndpointWithLimitIsNotOverrun(t *testing.T) {
	var stopped *testNode
	cases := map[string]struct {
		limit    float64
		limited  int              // endpoints of the service that name the limit, of six
		down, up func(h *harness) // begin and end a fault of three seconds; nil: none
	}{
		"one a second":   {limit: 1, limited: 4},
		"three a second": {limit: 3, limited: 3},
		"zero":           {limit: 0, limited: 3},
		"a node is killed": {limit: 1, limited: 4,
			down: func(h *harness) { h.kill("n2") },
			up:   func(h *harness) { h.start("n2") }},
		"a node stops and starts": {limit: 1, limited: 4,
			down: func(h *harness) { stopped = h.nodes["n3"]; delete(h.nodes, "n3"); stopped.stop() },
			up:   func(h *harness) { <-stopped.done; h.start("n3") }},
		"the store is away": {limit: 1, limited: 4,
			down: func(h *harness) { h.platform.SetFault(standin.Fault{Silent: true}) },
			up:   func(h *harness) { h.platform.SetFault(standin.Fault{}) }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				convey.Convey("In any four seconds, and requests are served elsewhere", t, func() {
					const rate = 20 // requests a second
					h.loadConcurrently(rate, 10*time.Second)
					limited := h.serviceTargets("s")[:c.limited]
					for _, target := range limited {
						target.SetBehaviour(standin.Behaviour{Work: defaultWork, Slots: 3, Limit: fmt.Sprint(c.limit)})
					}
					since := time.Now().Add(limitToldIn)
					served := h.loadConcurrently(rate, 12*time.Second)
					if c.down != nil {
						c.down(h)
						served += h.loadConcurrently(rate, 3*time.Second)
						c.up(h)
					}
					served += h.loadConcurrently(rate, 15*time.Second)
					bound := int(limitExcess*c.limit*limitWindow.Seconds()) + limitSlack
					for _, target := range limited {
						convey.So(mostInWindow(target.Stats().Arrivals, since), convey.ShouldBeLessThanOrEqualTo, bound)
					}
					convey.So(served, convey.ShouldBeGreaterThan, rate*27*8/10)
				})
			})
		})
	}
}
