package node

import (
	"bytes"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/caller"
	"github.com/wasabiwheel/wasabiwheel/endpoint"
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
			if resp.status == http.StatusOK {
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

// nameLimits lets the first endpoints of a service name a limit in the text of a header; "": none.
func (h *harness) nameLimits(s inventory.ServiceID, count int, limit string) {
	for _, target := range h.serviceTargets(s)[:count] {
		target.SetBehaviour(standin.Behaviour{Work: defaultWork, Slots: 3, Limit: limit})
	}
}

// arrivalsIn returns the number of arrivals at the first endpoints of a service while requests
// are sent.
func (h *harness) arrivalsIn(s inventory.ServiceID, count int, d time.Duration) int {
	before := 0
	for _, target := range h.serviceTargets(s)[:count] {
		before -= len(target.Stats().Arrivals)
	}
	h.loadConcurrently(20, d)
	for _, target := range h.serviceTargets(s)[:count] {
		before += len(target.Stats().Arrivals)
	}
	return before
}

// TestChangedLimitIsFollowed guards against limits that stay in force after an endpoint has
// raised or withdrawn them, and against text that is taken for a limit or for its end.
func TestChangedLimitIsFollowed(t *testing.T) {
	const limited, period = 3, 10 * time.Second
	cases := map[string]struct {
		first, next string
		least, most int // arrivals at the endpoints in a period, once the next limit is known
	}{
		"raised":              {"0.5", "100", 60, 200},
		"lowered":             {"100", "0.5", 3, 30},
		"withdrawn":           {"0.5", "", 60, 200},
		"withdrawn from zero": {"0", "", 60, 200},
		"malformed from none": {"", "few", 60, 200},
		"malformed":           {"0.5", "few", 3, 30},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				convey.Convey("By all nodes", t, func() {
					h.loadConcurrently(20, 5*time.Second)
					h.nameLimits("s", limited, c.first)
					h.loadConcurrently(20, 20*time.Second)
					h.nameLimits("s", limited, c.next)
					h.loadConcurrently(20, 20*time.Second)
					convey.So(h.arrivalsIn("s", limited, period), convey.ShouldBeBetweenOrEqual, c.least, c.most)
				})
			})
		})
	}
}

// TestRestartedEndpointHasNoLimit guards against a limit that outlives the process that named it.
func TestRestartedEndpointHasNoLimit(t *testing.T) {
	withHarness(t, func(h *harness) {
		convey.Convey("It gets requests like the others", t, func() {
			h.nameLimits("s", 1, "0")
			h.loadConcurrently(20, 10*time.Second)
			id := h.serviceTargets("s")[0].endpoint.ID
			h.crash(id)
			time.Sleep(time.Second)
			for _, e := range h.inv.Endpoints {
				if e.ID == id {
					h.startTarget(e)
				}
			}
			h.loadConcurrently(20, 8*time.Second)
			convey.So(h.arrivalsIn("s", 1, 10*time.Second), convey.ShouldBeGreaterThan, 15)
		})
	})
}

// TestRejectedCallersReturnInTurn guards against callers that are told to return at a time when
// they would be rejected again.
func TestRejectedCallersReturnInTurn(t *testing.T) {
	withHarness(t, func(h *harness) {
		convey.Convey("All endpoints have limits: what exceeds them is rejected at once", t, func() {
			h.nameLimits("s", 6, "0.5")
			h.loadConcurrently(20, 10*time.Second)
			time.Sleep(15 * time.Second) // until no caller is expected to return
			rejected := 0
			var delays []float64
			for i := range 40 {
				resp := h.send(h.t.Context(), "n1", testRequest{object: fmt.Sprint(i)})
				if resp.status == http.StatusOK {
					continue
				}
				rejected++
				convey.So(resp.outcome, convey.ShouldEqual, caller.OutcomeNotRun)
				convey.So(resp.reason, convey.ShouldEqual, string(endpoint.ReasonLimit))
				convey.So(resp.took, convey.ShouldBeLessThan, 200*time.Millisecond)
				after, err := strconv.ParseFloat(resp.header.Get("Retry-After"), 64)
				convey.So(err, convey.ShouldBeNil)
				delays = append(delays, after)
			}
			convey.So(rejected, convey.ShouldBeGreaterThan, 40-16) // each of two issuers has a permit for each of six endpoints, and few more meanwhile
			convey.So(slices.Max(delays), convey.ShouldBeGreaterThan, 4*slices.Min(delays))
			convey.So(slices.Max(delays), convey.ShouldBeLessThanOrEqualTo, 10)
		})
	})
}

func TestMalformedPermitRequests(t *testing.T) {
	withHarness(t, func(h *harness) {
		convey.Convey("They are rejected and counted, and change nothing", t, func() {
			encode := func(r endpoint.LimitReport) []byte {
				data, err := cbor.Marshal(permitRequest{Limit: r})
				convey.So(err, convey.ShouldBeNil)
				return data
			}
			bodies := [][]byte{nil, []byte("text"), bytes.Repeat([]byte{0xff}, 2*maxPermitBytes),
				encode(endpoint.LimitReport{Named: true, Rate: -1}), encode(endpoint.LimitReport{Named: true, Rate: math.NaN()}), encode(endpoint.LimitReport{Age: -1})}
			for _, body := range bodies {
				resp, err := h.caller.Post("http://"+h.entry("n1").Peer+pathPermits, "", bytes.NewReader(body))
				convey.So(err, convey.ShouldBeNil)
				_ = resp.Body.Close()
				convey.So(resp.StatusCode, convey.ShouldEqual, http.StatusBadRequest)
			}
			convey.So(h.nodes["n1"].metrics.counterValues()["permit.malformed"], convey.ShouldEqual, len(bodies))
		})
	})
}
