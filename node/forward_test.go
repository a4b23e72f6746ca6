package node

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/caller"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/reach"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

// counter returns a counter of a node.
func (h *harness) counter(id inventory.EntryID, name string) int64 {
	return h.nodes[id].metrics.counterValues()[name]
}

// TestFailedEndpointsAreNotTakenForOwnFault guards against nodes that count as cut off although it
// is the endpoints that fail.
func TestFailedEndpointsAreNotTakenForOwnFault(t *testing.T) {
	all := []inventory.EntryID{"n1", "n2", "n3", "n4"}
	cases := map[string]struct {
		failed func(inventory.Endpoint) bool
		path   string // of a service that has endpoints left
	}{
		"one":              {func(e inventory.Endpoint) bool { return e.ID == "s-1" }, "/get/x"},
		"a failure domain": {func(e inventory.Endpoint) bool { return e.Domain == "a" }, "/get/x"},
		"a region":         {func(e inventory.Endpoint) bool { return e.Domain != "c" }, "/get/x"},
		"all of a service": {func(e inventory.Endpoint) bool { return e.Service == "s" }, "/other/x"},
		"all but two":      {func(e inventory.Endpoint) bool { return e.ID != "t-9" && e.ID != "t-3" }, "/other/x"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				convey.Convey("For links that hang, and for connections that are refused", t, func() {
					w := h.watch(h.serviceTargets("s")[0])
					w.load(h, 40, 5*time.Second, "/get/x", all...)
					w.load(h, 40, 5*time.Second, "/other/x", all...)
					for _, kind := range []cutKind{cutHang, cutReset} {
						h.cutEndpoints(kind, true, c.failed, all...)
						w.load(h, 40, 5*time.Second, "/get/x", all...)
						w.load(h, 40, 3*time.Second, c.path, all...)
						at := w.load(h, 40, 5*time.Second, c.path, all...)
						convey.So(served(at), convey.ShouldBeGreaterThanOrEqualTo, len(at)*95/100)
						h.cutEndpoints(kind, false, c.failed, all...)
						w.load(h, 40, 6*time.Second, "/get/x", all...)
					}
					if name == "all but two" {
						return // which nodes draw one of them for a probe is chance
					}
					for _, id := range all {
						convey.So(h.counter(id, "reach."+string(reach.StateCutOff)), convey.ShouldEqual, 0)
					}
				})
			})
		})
	}
}

// TestPartOfTheEndpointsOutOfReach guards against requests that are rejected since this node does
// not reach the endpoints of their service, though another one does.
func TestPartOfTheEndpointsOutOfReach(t *testing.T) {
	for _, kind := range []cutKind{cutHang, cutReset} {
		t.Run(string(kind), func(t *testing.T) {
			withHarness(t, func(h *harness) {
				convey.Convey("They are served by another node, the others by this one", t, func() {
					w := h.watch(h.serviceTargets("s")[0])
					w.load(h, 20, 5*time.Second, "/get/x", "n1")
					ofService := func(e inventory.Endpoint) bool { return e.Service == "s" }
					h.cutEndpoints(kind, true, ofService, "n1")
					w.load(h, 20, 3*time.Second, "/get/x", "n1")
					at := w.load(h, 20, 5*time.Second, "/get/x", "n1")
					convey.So(served(at), convey.ShouldBeGreaterThanOrEqualTo, len(at)*95/100)
					at = w.load(h, 20, 5*time.Second, "/other/x", "n1")
					convey.So(served(at), convey.ShouldEqual, len(at))
					h.cutEndpoints(kind, false, ofService, "n1")
				})
			})
		})
	}
}

// TestAllNodesCutOffRejectAtOnce guards against callers that wait while no node reaches an endpoint.
func TestAllNodesCutOffRejectAtOnce(t *testing.T) {
	all := []inventory.EntryID{"n1", "n2", "n3", "n4"}
	withHarness(t, func(h *harness) {
		convey.Convey("Rejections are immediate and say when to come back; then requests are served", t, func() {
			w := h.watch(h.serviceTargets("s")[0])
			w.load(h, 40, 5*time.Second, "/get/x", all...)
			h.cutEndpoints(cutHang, true, anyEndpoint, all...)
			w.load(h, 40, 3*time.Second, "/get/x", all...)
			for _, r := range w.load(h, 40, 5*time.Second, "/get/x", all...) {
				convey.So(r.outcome, convey.ShouldEqual, caller.OutcomeNotRun)
				convey.So(r.reason, convey.ShouldEqual, string(ReasonCutOff))
				convey.So(r.took, convey.ShouldBeLessThan, 100*time.Millisecond)
				convey.So(r.header.Get("Retry-After"), convey.ShouldNotBeEmpty)
			}
			h.cutEndpoints(cutHang, false, anyEndpoint, all...)
			w.load(h, 40, 3*time.Second, "/get/x", all...)
			at := w.load(h, 40, 5*time.Second, "/get/x", all...)
			convey.So(served(at), convey.ShouldEqual, len(at))
		})
	})
}

// TestLinksThatFlap guards against callers that are not served while the links to the endpoints come
// and go.
func TestLinksThatFlap(t *testing.T) {
	withHarness(t, func(h *harness) {
		convey.Convey("Most requests are served, none twice that may run once", t, func() {
			w := h.watch(h.serviceTargets("s")[0])
			w.load(h, 20, 5*time.Second, "/get/x", "n1")
			var all []testResponse
			for i := range 8 {
				kind := []cutKind{cutHang, cutReset, cutRefuse}[i%3]
				h.cutEndpoints(kind, true, anyEndpoint, "n1")
				all = append(all, w.load(h, 20, 1500*time.Millisecond, "/post/x", "n1")...)
				h.cutEndpoints(kind, false, anyEndpoint, "n1")
				all = append(all, w.load(h, 20, time.Second, "/post/x", "n1")...)
			}
			for _, r := range all {
				runs := h.runCount(r.id)
				convey.So(runs, convey.ShouldBeLessThanOrEqualTo, 1)
				if r.outcome == caller.OutcomeNotRun {
					convey.So(runs, convey.ShouldEqual, 0)
				}
			}
			convey.So(served(all), convey.ShouldBeGreaterThan, len(all)*70/100)
		})
	})
}

// TestForwardedRequests guards against requests that change, run twice or are lost on their way over
// another node.
func TestForwardedRequests(t *testing.T) {
	// Each endpoint has slots for all of them, since the nodes that choose don't know of each other's requests.
	const concurrent = 12
	// concurrently sends requests that may run once, and lets something happen while they run.
	concurrently := func(h *harness, during func()) (all []testResponse) {
		h.setBehaviour(standin.Behaviour{Work: time.Second, Slots: concurrent})
		responses := make(chan testResponse, concurrent)
		for range concurrent {
			go func() {
				responses <- h.send(h.t.Context(), "n1", testRequest{method: http.MethodPost, path: "/post/x", body: "b"})
			}()
		}
		time.Sleep(300 * time.Millisecond)
		during()
		for range concurrent {
			all = append(all, <-responses)
		}
		return all
	}
	cases := map[string]func(h *harness, w *witness){
		"method, path, query and body arrive as they were sent": func(h *harness, _ *witness) {
			resp := h.send(h.t.Context(), "n1", testRequest{method: http.MethodPost, path: "/post//a/../b%20c?d=%2F&e", body: "body"})
			convey.So(resp.status, convey.ShouldEqual, http.StatusOK)
			convey.So(resp.echo.Path, convey.ShouldEqual, "/post//a/../b%20c?d=%2F&e")
			convey.So(resp.echo.Body, convey.ShouldEqual, "body")
			convey.So(h.runCount(resp.id), convey.ShouldEqual, 1)
		},
		"what the endpoint answers is answered": func(h *harness, _ *witness) {
			h.setBehaviour(standin.Behaviour{Work: defaultWork, Fail: 1})
			resp := h.send(h.t.Context(), "n1", testRequest{method: http.MethodPost, path: "/post/x", body: "b"})
			convey.So(resp.status, convey.ShouldEqual, http.StatusInternalServerError)
			convey.So(resp.outcome, convey.ShouldEqual, caller.OutcomeRan)
		},
		"a node that is killed leaves the outcome unknown": func(h *harness, _ *witness) {
			for _, r := range concurrently(h, func() { h.kill("n2") }) {
				runs := h.runCount(r.id)
				convey.So(runs, convey.ShouldBeLessThanOrEqualTo, 1)
				if r.outcome == caller.OutcomeNotRun {
					convey.So(runs, convey.ShouldEqual, 0)
				}
			}
		},
		"a node that stops completes those that it has, and takes no new ones": func(h *harness, w *witness) {
			stop := func() {
				stopped := h.nodes["n2"]
				delete(h.nodes, "n2")
				stopped.stop()
			}
			for _, r := range concurrently(h, stop) {
				convey.So(r.status, convey.ShouldEqual, http.StatusOK)
			}
			h.setBehaviour(standin.Behaviour{Work: defaultWork})
			at := w.load(h, 20, 5*time.Second, "/get/x", "n1")
			convey.So(served(at), convey.ShouldEqual, len(at))
		},
		"a caller that leaves cancels them": func(h *harness, _ *witness) {
			h.setBehaviour(standin.Behaviour{Work: 1500 * time.Millisecond})
			ctx, cancel := context.WithTimeout(h.t.Context(), 300*time.Millisecond)
			defer cancel()
			h.send(ctx, "n1", testRequest{})
			time.Sleep(100 * time.Millisecond)
			for _, target := range h.targets {
				convey.So(target.Busy(), convey.ShouldEqual, 0)
			}
		},
		"a body that is too large is refused": func(h *harness, _ *witness) {
			resp := h.send(h.t.Context(), "n1", testRequest{method: http.MethodPost, path: "/post/x", body: strings.Repeat("b", 2000)})
			convey.So(resp.status, convey.ShouldEqual, http.StatusRequestEntityTooLarge)
		},
		"a body that is streamed reaches one node only, as a whole": func(h *harness, w *witness) {
			h.cutEndpoints(cutRefuse, true, anyEndpoint, "n2", "n3")
			w.load(h, 40, 3*time.Second, "/get/x", "n2", "n3")
			for range 20 {
				resp := h.send(h.t.Context(), "n1", testRequest{method: http.MethodPost, path: "/post/x", body: strings.Repeat("b", maxBufferedBody+1000)})
				if resp.outcome == caller.OutcomeRan {
					convey.So(len(resp.echo.Body), convey.ShouldEqual, maxBufferedBody+1000)
				}
				convey.So(h.runCount(resp.id), convey.ShouldBeLessThanOrEqualTo, 1)
			}
		},
		"nobody forwards them once more": func(h *harness, w *witness) {
			h.cutEndpoints(cutHang, true, anyEndpoint, "n2", "n3", "n4")
			w.load(h, 40, 3*time.Second, "/get/x", "n2", "n3", "n4")
			before := len(w.arrivals)
			resp := h.send(h.t.Context(), "n1", testRequest{})
			convey.So(resp.reason, convey.ShouldEqual, string(ReasonCutOff))
			convey.So(len(w.arrivals), convey.ShouldEqual, before)
		},
	}
	for name, check := range cases {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				convey.Convey("While the node that received them is cut off", t, func() {
					w := h.watch(h.serviceTargets("s")[0])
					if strings.Contains(name, "streamed") {
						h.publish(bytes.Replace(testInventory(), []byte("body = 1000"), []byte("body = 1000000"), 1))
					}
					w.load(h, 40, 5*time.Second, "/get/x", "n1", "n2", "n3", "n4")
					h.cutEndpoints(cutHang, true, anyEndpoint, "n1")
					w.load(h, 40, 3*time.Second, "/get/x", "n1")
					convey.So(h.nodes["n1"].Status().Reach, convey.ShouldEqual, reach.StateCutOff)
					check(h, w)
				})
			})
		})
	}
}

func TestMalformedForwardedRequests(t *testing.T) {
	withHarness(t, func(h *harness) {
		convey.Convey("They are rejected and counted", t, func() {
			texts := []string{"n2", "n2 1 true", "n2 -1 true 1", "n2 256 true 1", "n2 1 maybe 1", "n2 1 true x", "n2 1 true 1 1"}
			for _, text := range texts {
				req, err := http.NewRequestWithContext(h.t.Context(), http.MethodGet, "http://"+h.entry("n1").Peer+"/get/x", nil)
				convey.So(err, convey.ShouldBeNil)
				req.Header.Set(headerForward, text)
				resp, err := h.caller.Do(req)
				convey.So(err, convey.ShouldBeNil)
				_ = resp.Body.Close()
				convey.So(resp.StatusCode, convey.ShouldEqual, http.StatusBadRequest)
				convey.So(resp.Header.Get(caller.HeaderOutcome), convey.ShouldEqual, string(caller.OutcomeNotRun)) // else it would pass for an endpoint's
			}
			convey.So(helpOf(rejected(ReasonMalformed, http.StatusBadRequest)), convey.ShouldEqual, reach.Unavail)
			convey.So(h.counter("n1", "forward.malformed"), convey.ShouldEqual, len(texts))
			convey.Convey("One of a newer configuration is rejected as not run", func() {
				req, err := http.NewRequestWithContext(h.t.Context(), http.MethodGet, "http://"+h.entry("n1").Peer+"/get/x", nil)
				convey.So(err, convey.ShouldBeNil)
				req.Header.Set(headerForward, fmt.Sprint(forwardedRequest{from: "n2", version: h.nodes["n1"].version() + 1}))
				resp := h.do(req)
				convey.So(resp.outcome, convey.ShouldEqual, caller.OutcomeNotRun)
				convey.So(resp.reason, convey.ShouldEqual, string(ReasonBehind))
			})
		})
	})
}
