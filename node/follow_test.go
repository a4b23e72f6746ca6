package node

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/platform"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

// sendLoad sends requests one after the other to all nodes for a duration.
func (h *harness) sendLoad(d time.Duration) {
	until := time.Now().Add(d)
	for i := 0; time.Now().Before(until); i++ {
		if n := h.inv.Entries[i%len(h.inv.Entries)].ID; h.nodes[n] != nil {
			h.send(h.t.Context(), n, testRequest{object: fmt.Sprint(i % 200)})
		}
	}
}

func TestDrainingEndpointReceivesNoRequests(t *testing.T) {
	nodes := []string{"10.0.1.1", "10.0.1.2", "10.0.1.3", "10.0.1.4"}
	cases := map[string]struct {
		leave func(h *harness, target *testTarget)
		fault standin.Fault // set before the endpoint leaves, and cleared after a second
	}{
		"reported":               {leave: (*harness).drainTarget},
		"entry removed":          {leave: (*harness).removeTarget},
		"compacted history":      {leave: func(h *harness, target *testTarget) { h.drainTarget(target); h.platform.Compact() }},
		"slow store":             {leave: (*harness).drainTarget, fault: standin.Fault{Delay: 240 * time.Millisecond}},
		"watches without events": {leave: (*harness).drainTarget, fault: standin.Fault{HangWatches: true}},
		"nodes are rejected":     {leave: (*harness).drainTarget, fault: standin.Fault{Busy: true, OnlyClients: nodes}},
		"removed, nodes reset":   {leave: (*harness).removeTarget, fault: standin.Fault{Reset: true, OnlyClients: nodes}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				convey.Convey("From two seconds after it reported to leave, three more after a fault", t, func() {
					target := h.targets["s-1"]
					h.sendLoad(2 * time.Second)
					convey.So(len(target.Stats().Arrivals), convey.ShouldBeGreaterThan, 0)
					h.platform.SetFault(c.fault)
					c.leave(h, target)
					bound := 2 * time.Second
					if c.fault.Delay == 0 && (c.fault.HangWatches || len(c.fault.OnlyClients) > 0) {
						h.sendLoad(time.Second)
						h.platform.Compact()
						h.platform.SetFault(standin.Fault{})
						bound += 3 * time.Second
					}
					h.sendLoad(bound)
					before := len(target.Stats().Arrivals)
					h.sendLoad(4 * time.Second)
					convey.So(len(target.Stats().Arrivals), convey.ShouldEqual, before)
				})
			})
		})
	}
}

func (h *harness) drainTarget(t *testTarget) {
	if err := t.endpoint.Drain(h.t.Context()); err != nil {
		h.t.Error(err)
	}
}

func (h *harness) removeTarget(t *testTarget) {
	if err := t.endpoint.Remove(h.t.Context()); err != nil {
		h.t.Error(err)
	}
}

func TestDrainedDomainReceivesNoRequests(t *testing.T) {
	withHarness(t, func(h *harness) {
		convey.Convey("Until it is undrained, and then at a limited rate", t, func() {
			h.sendLoad(2 * time.Second)
			convey.So(h.configurations().Drain(h.t.Context(), "a"), convey.ShouldBeNil)
			h.sendLoad(2 * time.Second)
			before := h.arrivals("a")
			h.sendLoad(5 * time.Second)
			convey.So(h.arrivals("a"), convey.ShouldEqual, before)
			convey.So(h.configurations().Undrain(h.t.Context(), "a"), convey.ShouldBeNil)
			h.sendLoad(2 * time.Second)
			for _, target := range h.targets {
				if target.endpoint.Domain == "a" {
					convey.So(maxPerSecond(target.Stats().Arrivals, time.Now().Add(-2*time.Second)), convey.ShouldBeLessThanOrEqualTo, 17)
				}
			}
			h.sendLoad(5 * time.Second)
			convey.So(h.arrivals("a"), convey.ShouldBeGreaterThan, before)
		})
	})
}

// maxPerSecond returns the largest number of arrivals in any second that starts after a time.
func maxPerSecond(arrivals []time.Time, since time.Time) int {
	most := 0
	for i, at := range arrivals {
		count := 0
		for _, later := range arrivals[i:] {
			if later.Sub(at) < time.Second {
				count++
			}
		}
		if at.After(since) {
			most = max(most, count)
		}
	}
	return most
}

func TestConfigurationTakesEffectInTime(t *testing.T) {
	cases := map[string]standin.Fault{
		"calm":          {},
		"slow":          {Delay: 240 * time.Millisecond},
		"answers lost":  {LoseAnswer: 2},
		"stale answers": {Stale: 6 * time.Second},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				convey.Convey("Within two seconds of its acceptance, at each node", t, func() {
					h.platform.SetFault(fault)
					rel := h.publish(bytes.ReplaceAll(testInventory(), []byte("/other/"), []byte("/moved/")))
					time.Sleep(2 * time.Second)
					for id, n := range h.nodes {
						convey.So(n.version(), convey.ShouldEqual, rel.Version)
						convey.So(h.send(h.t.Context(), id, testRequest{path: "/moved/1"}).status, convey.ShouldEqual, http.StatusOK)
						convey.So(h.send(h.t.Context(), id, testRequest{path: "/other/1"}).status, convey.ShouldEqual, http.StatusNotFound)
					}
				})
			})
		})
	}
}

func TestOlderConfigurationIsRejected(t *testing.T) {
	withHarness(t, func(h *harness) {
		convey.Convey("A store that returns an older version changes nothing", t, func() {
			h.publish(testInventory())
			time.Sleep(2 * time.Second)
			old := h.inv.Configuration(1)
			_, err := h.operatorClient.Replace(h.t.Context(), platform.Configurations, platform.CurrentConfiguration, platform.EncodeConfiguration(old), 0)
			convey.So(err, convey.ShouldBeNil)
			time.Sleep(2 * time.Second)
			for _, n := range h.nodes {
				convey.So(n.version(), convey.ShouldEqual, inventory.Version(2))
				convey.So(n.metrics.counterValues()["configuration.older"], convey.ShouldBeGreaterThan, 0)
			}
		})
	})
}

func TestEntriesExpiredDuringStoreOutageAreKept(t *testing.T) {
	withHarness(t, func(h *harness) {
		convey.Convey("Requests are served throughout; endpoints that do not register again are removed", t, func() {
			h.platform.SetFault(standin.Fault{Silent: true})
			time.Sleep(5 * time.Second)
			for id := range h.targets {
				h.platform.Expire(string(platform.Endpoints), string(id))
			}
			h.targets["t-3"].endpoint.StopHeartbeats() // the endpoint ends without deleting its entry
			for range 20 {
				convey.So(h.send(h.t.Context(), "n1", testRequest{}).status, convey.ShouldEqual, http.StatusOK)
			}
			h.platform.SetFault(standin.Fault{})
			for range 100 {
				convey.So(h.send(h.t.Context(), "n1", testRequest{}).status, convey.ShouldEqual, http.StatusOK)
				time.Sleep(100 * time.Millisecond)
			}
			for _, n := range h.nodes {
				convey.So(n.endpoints.Len(), convey.ShouldEqual, len(h.targets)-1)
			}
		})
	})
}

func TestMalformedEndpointsAreIgnored(t *testing.T) {
	withHarness(t, func(h *harness) {
		convey.Convey("They add no endpoint", t, func() {
			for name, spec := range map[string]any{"bad-1": "text", "bad-2": map[string]any{"Address": 7}, "bad-3": nil} {
				_, err := h.operatorClient.Create(h.t.Context(), platform.Endpoints, name, spec)
				convey.So(err, convey.ShouldBeNil)
			}
			time.Sleep(2 * time.Second)
			convey.So(h.nodes["n1"].endpoints.Len(), convey.ShouldEqual, len(h.targets))
			convey.So(h.nodes["n1"].metrics.counterValues()["endpoint.malformed"], convey.ShouldBeGreaterThanOrEqualTo, 3)
			convey.So(h.send(h.t.Context(), "n1", testRequest{}).status, convey.ShouldEqual, http.StatusOK)
		})
	})
}

func TestNewEndpointWarmsUp(t *testing.T) {
	withHarness(t, func(h *harness) {
		convey.Convey("The request rate is limited while it is cold, and normal afterwards", t, func() {
			e := h.inv.Endpoints[0]
			e.ID, e.Address, e.ColdRemaining = "s-new", "10.0.2.50:80", 3*time.Second
			target := h.startTarget(e)
			h.sendLoad(3 * time.Second)
			cold := target.Stats().Arrivals
			convey.So(maxPerSecond(cold, time.Time{}), convey.ShouldBeLessThanOrEqualTo, 17)
			h.sendLoad(6 * time.Second)
			convey.So(len(target.Stats().Arrivals)-len(cold), convey.ShouldBeGreaterThan, 20)
		})
	})
}

func TestAddressReusedByAnotherEndpoint(t *testing.T) {
	withHarness(t, func(h *harness) {
		convey.Convey("Requests are rejected there and run at other endpoints", t, func() {
			h.warmUp()
			old := h.targets["s-1"]
			h.crash("s-1")
			other := standin.NewTarget("t-new", h.nodes["n1"].headerNames, standin.Behaviour{Work: defaultWork})
			h.serve(old.endpoint.Address, other)
			for i := range 120 {
				resp := h.send(h.t.Context(), h.inv.Entries[i%4].ID, testRequest{object: fmt.Sprint(i)})
				convey.So(resp.status, convey.ShouldEqual, http.StatusOK)
			}
			convey.So(other.Stats().Served, convey.ShouldEqual, 0)
			convey.So(other.Stats().Misplaced, convey.ShouldBeBetween, 0, 10)
		})
	})
}

func TestCrashedEndpointIsAvoided(t *testing.T) {
	withHarness(t, func(h *harness) {
		convey.Convey("No request fails", t, func() {
			h.warmUp()
			h.crash("s-1")
			failed := 0
			for i := range 100 {
				resp := h.send(h.t.Context(), h.inv.Entries[i%4].ID, testRequest{object: string(rune('a' + i%20))})
				if resp.status != http.StatusOK {
					failed++
				}
			}
			convey.So(failed, convey.ShouldEqual, 0)
		})
	})
}

func TestStatusAndMetrics(t *testing.T) {
	withHarness(t, func(h *harness) {
		convey.Convey("They contain the state, counters and latencies", t, func() {
			h.warmUp()
			resp, err := h.caller.Get("http://" + h.entry("n1").Admin + PathStatus)
			convey.So(err, convey.ShouldBeNil)
			var s Status
			convey.So(json.NewDecoder(resp.Body).Decode(&s), convey.ShouldBeNil)
			_ = resp.Body.Close()
			convey.So(s.State, convey.ShouldEqual, StateServing)
			convey.So(len(s.Endpoints), convey.ShouldEqual, len(h.targets))
			convey.So(s.Alive, convey.ShouldResemble, []inventory.EntryID{"n2", "n3"})
			resp, err = h.caller.Get("http://" + h.entry("n1").Admin + PathMetrics)
			convey.So(err, convey.ShouldBeNil)
			var text bytes.Buffer
			_, err = text.ReadFrom(resp.Body)
			convey.So(err, convey.ShouldBeNil)
			_ = resp.Body.Close()
			for _, want := range []string{"outcome.ran 50\n", "latency.ran.count 50\n", "latency.ran.p99 ", "attempt.answered 50\n"} {
				convey.So(text.String(), convey.ShouldContainSubstring, want)
			}
		})
	})
}

// TestNodesWithoutStoreAccessReceiveChanges has the store reject some nodes and serve the
// others, which forward drains and configurations to them.
func TestNodesWithoutStoreAccessReceiveChanges(t *testing.T) {
	cases := map[string]struct {
		fault  standin.Fault
		nodes  []int
		domain inventory.DomainID // the domain that is drained
	}{
		"one of a domain":        {standin.Fault{Busy: true}, []int{1}, "a"},
		"the other one":          {standin.Fault{Reset: true}, []int{2}, "a"},
		"all of a domain":        {standin.Fault{Silent: true}, []int{1, 2}, "b"},
		"all of a region":        {standin.Fault{Down: true}, []int{1, 2, 3}, "c"},
		"one domain of a region": {standin.Fault{Busy: true}, []int{3}, "b"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				convey.Convey("A change is in force two seconds after its acceptance", t, func() {
					for _, n := range c.nodes {
						c.fault.OnlyClients = append(c.fault.OnlyClients, fmt.Sprintf("10.0.1.%d", n))
					}
					h.platform.SetFault(c.fault)
					h.sendLoad(3 * time.Second)
					convey.So(h.configurations().Drain(h.t.Context(), c.domain), convey.ShouldBeNil)
					rel := h.publish(bytes.ReplaceAll(testInventory(), []byte("/other/"), []byte("/moved/")))
					h.sendLoad(2 * time.Second)
					before := h.arrivals(c.domain)
					for _, n := range h.nodes {
						convey.So(n.version(), convey.ShouldEqual, rel.Version)
						convey.So(n.isStoreReached(), convey.ShouldBeTrue)
					}
					h.sendLoad(5 * time.Second)
					convey.So(h.arrivals(c.domain), convey.ShouldEqual, before)
					h.platform.SetFault(standin.Fault{})
					h.sendLoad(3 * time.Second)
					for _, n := range h.nodes {
						convey.So(n.isStoreReached(), convey.ShouldBeTrue)
					}
				})
			})
		})
	}
}
