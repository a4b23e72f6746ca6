package node

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/caller"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

const (
	deadlyPath  = "/get/deadly"
	crashDelay  = 30 * time.Millisecond
	restartTime = 3 * time.Second
)

// crashes counts what requests of a path do to the endpoints that run them.
type crashes struct {
	mu      sync.Mutex
	crashed int
	ran     map[string]bool // ids of requests
}

func (c *crashes) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashed
}

func (c *crashes) hasRun(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ran[id]
}

// crashOn lets requests of a path crash the endpoints that run them. They start again soon.
func (h *harness) crashOn(path string) *crashes {
	c := &crashes{ran: map[string]bool{}}
	for _, t := range h.targets {
		b := standin.Behaviour{Work: crashDelay, Slots: t.endpoint.Slots, CrashPath: path}
		t.endpoint.OnRun = func(id string) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.ran[id] = true
		}
		t.endpoint.OnCrash = func() {
			c.mu.Lock()
			c.crashed++
			c.mu.Unlock()
			time.Sleep(restartTime)
			if h.t.Context().Err() == nil {
				t.endpoint.End()
				_ = t.endpoint.Start(b, 0)
			}
		}
		t.SetBehaviour(b)
		t.OnRun, t.OnCrash = t.endpoint.OnRun, t.endpoint.Crash
	}
	return c
}

// TestRequestThatCrashesEndpointsIsQuarantined guards against a request that crashes endpoint
// after endpoint, at whichever nodes it comes.
func TestRequestThatCrashesEndpointsIsQuarantined(t *testing.T) {
	const (
		bound   = 4 * time.Second // from the third crash until no more than allowed reach endpoints
		allowed = 3
	)
	cases := map[string]struct {
		gap     time.Duration // between the requests
		at      []inventory.EntryID
		disturb func(h *harness)
	}{
		"at all nodes in turn":         {gap: 700 * time.Millisecond, at: []inventory.EntryID{"n1", "n2", "n3", "n4"}},
		"at one node":                  {gap: 700 * time.Millisecond, at: []inventory.EntryID{"n2"}},
		"in quick succession":          {gap: 40 * time.Millisecond, at: []inventory.EntryID{"n1", "n2", "n3", "n4"}},
		"seldom":                       {gap: 5 * time.Second, at: []inventory.EntryID{"n1", "n3", "n4"}},
		"while the store is away":      {gap: 700 * time.Millisecond, at: []inventory.EntryID{"n1", "n2", "n3", "n4"}, disturb: func(h *harness) { h.platform.SetFault(standin.Fault{Down: true}) }},
		"while a node, a judge, ended": {gap: 700 * time.Millisecond, at: []inventory.EntryID{"n2", "n3", "n4"}, disturb: func(h *harness) { h.kill("n1") }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				convey.Convey("It soon reaches no more endpoints, and no caller is told a lie", t, func() {
					seen := h.crashOn(deadlyPath)
					if c.disturb != nil {
						c.disturb(h)
					}
					var third time.Time
					late, rejected := 0, 0
					for i := range 25 {
						time.Sleep(c.gap)
						before := seen.count()
						resp := h.send(h.t.Context(), c.at[i%len(c.at)], testRequest{path: deadlyPath})
						if third.IsZero() && seen.count() >= 3 {
							third = time.Now()
						}
						if !third.IsZero() && time.Since(third) > bound {
							late += seen.count() - before
						}
						if seen.hasRun(resp.id) {
							convey.So(resp.outcome, convey.ShouldEqual, caller.OutcomeUnknown)
						}
						if resp.reason == string(ReasonQuarantined) {
							rejected++
							convey.So(resp.status, convey.ShouldEqual, http.StatusServiceUnavailable)
							convey.So(resp.took, convey.ShouldBeLessThan, 100*time.Millisecond)
						}
					}
					convey.So(third.IsZero(), convey.ShouldBeFalse)
					convey.So(late, convey.ShouldBeLessThanOrEqualTo, allowed)
					convey.So(seen.count(), convey.ShouldBeLessThanOrEqualTo, 6)
					convey.So(rejected, convey.ShouldBeGreaterThan, 0)
					convey.So(h.send(h.t.Context(), "n2", testRequest{path: "/get/other"}).status, convey.ShouldEqual, http.StatusOK)
				})
			})
		})
	}
}

// TestStartedNodeRejectsQuarantinedRequests guards against nodes that start and send a request
// on that has crashed endpoints before.
func TestStartedNodeRejectsQuarantinedRequests(t *testing.T) {
	withHarness(t, func(h *harness) {
		convey.Convey("Until an operator lifts the quarantine at any node", t, func() {
			seen := h.crashOn(deadlyPath)
			h.kill("n4")
			for range 8 {
				h.send(h.t.Context(), "n1", testRequest{path: deadlyPath})
				time.Sleep(700 * time.Millisecond)
			}
			h.start("n4")
			time.Sleep(4 * time.Second)
			before := seen.count()
			resp := h.send(h.t.Context(), "n4", testRequest{path: deadlyPath})
			convey.So(resp.reason, convey.ShouldEqual, string(ReasonQuarantined))
			convey.So(seen.count(), convey.ShouldEqual, before)

			records := h.nodes["n3"].quarantine.Records(time.Now())
			convey.So(records, convey.ShouldHaveLength, 1)
			convey.So(records[0].Sample.URI, convey.ShouldEqual, deadlyPath)
			lift := httptest.NewRequest(http.MethodPost, PathQuarantine+"?"+ParameterRequest+"="+records[0].Fingerprint.String(), nil)
			w := httptest.NewRecorder()
			h.nodes["n3"].adminHandler().ServeHTTP(w, lift)
			convey.So(w.Code, convey.ShouldEqual, http.StatusOK)
			time.Sleep(3 * time.Second)
			for _, target := range h.targets {
				target.endpoint.Target().SetBehaviour(standin.Behaviour{Work: defaultWork})
			}
			for id := range h.nodes {
				convey.So(h.send(h.t.Context(), id, testRequest{path: deadlyPath}).status, convey.ShouldEqual, http.StatusOK)
			}
		})
	})
}

// TestInnocentRequestsAreServedOnDaysOfCrashes guards against requests that are rejected because
// endpoints crash or break connections under them.
func TestInnocentRequestsAreServedOnDaysOfCrashes(t *testing.T) {
	crashSome := func(h *harness, chosen func(id inventory.EndpointID, d inventory.DomainID) bool) {
		for id, target := range h.targets {
			if chosen(id, target.endpoint.Domain) {
				h.crash(id)
				go func() {
					time.Sleep(time.Second)
					_ = target.endpoint.Start(standin.Behaviour{Work: defaultWork, Slots: 3}, 0)
				}()
			}
		}
	}
	cases := map[string]func(h *harness, round int){
		"a failure domain": func(h *harness, round int) {
			crashSome(h, func(_ inventory.EndpointID, d inventory.DomainID) bool {
				return d == []inventory.DomainID{"a", "b", "c"}[round%3]
			})
		},
		"a share of the endpoints": func(h *harness, round int) {
			crashSome(h, func(id inventory.EndpointID, _ inventory.DomainID) bool {
				return strings.HasSuffix(string(id), fmt.Sprint(1+round%9))
			})
		},
		"connections are reset": func(h *harness, _ int) {
			for _, target := range h.targets {
				target.SetBehaviour(standin.Behaviour{Work: defaultWork, Slots: 3, DropAnswer: true})
			}
			time.Sleep(300 * time.Millisecond)
			for _, target := range h.targets {
				target.SetBehaviour(standin.Behaviour{Work: defaultWork, Slots: 3})
			}
		},
	}
	for name, disturb := range cases {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				convey.Convey("None is in quarantine, none rejected as suspected", t, func() {
					for round := range 8 {
						go h.sendLoad(time.Second)
						go h.sendLoad(time.Second)
						time.Sleep(200 * time.Millisecond)
						disturb(h, round)
						time.Sleep(2 * time.Second)
					}
					for _, n := range h.nodes {
						_, quarantined := n.quarantine.Counts(time.Now())
						convey.So(quarantined, convey.ShouldEqual, 0)
						counters := n.metrics.counterValues()
						convey.So(counters["refusal."+string(ReasonQuarantined)]+counters["refusal."+string(ReasonSuspected)], convey.ShouldEqual, 0)
					}
				})
			})
		})
	}
}
