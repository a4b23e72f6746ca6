package node

import (
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/endpoint"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

// TestLeavingEndpointGetsNoLaterRequests guards against requests to an endpoint that has said in a
// response that it leaves.
func TestLeavingEndpointGetsNoLaterRequests(t *testing.T) {
	all := []inventory.EntryID{"n1", "n2", "n3", "n4"}
	cases := map[string]struct {
		behaviour standin.Behaviour
		during    func(h *harness, w *witness) // after it began to leave
	}{
		"its entry says it is ready": {behaviour: standin.Behaviour{}},
		"in rejections":              {behaviour: standin.Behaviour{Shed: true}},
		"in failures":                {behaviour: standin.Behaviour{Fail: 1}},
		"in responses cut short":     {behaviour: standin.Behaviour{Truncate: true}},
		"the store is away": {during: func(h *harness, _ *witness) {
			h.platform.SetFault(standin.Fault{Silent: true})
		}},
		"its entry is registered again": {during: func(h *harness, _ *witness) {
			id := h.serviceTargets("s")[0].endpoint.ID
			h.platform.Expire("servers", string(id))
		}},
		"a node is cut off from the store and the other nodes": {during: func(h *harness, _ *witness) {
			ip := hostOf(h.entry("n2").Peer)
			h.cutFromStore([]string{ip}, true)
			for _, e := range h.inv.Entries {
				h.network.Cut(standin.Path{From: ip, To: hostOf(e.Peer)})
				h.network.Cut(standin.Path{From: hostOf(e.Peer), To: ip})
			}
		}},
		"a node restarts": {during: func(h *harness, w *witness) {
			h.kill("n2")
			w.forget("n2")
			time.Sleep(time.Second)
			h.start("n2")
			time.Sleep(5 * time.Second)
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				convey.Convey("From any node, and other endpoints serve", t, func() {
					target := h.serviceTargets("s")[0]
					w := h.watch(target)
					w.load(h, 20, 5*time.Second, "/get/x", all...)
					b := c.behaviour
					b.Work, b.Slots, b.Leaving = defaultWork, 3, "1"
					target.SetBehaviour(b)
					w.load(h, 20, 3*time.Second, "/get/x", all...)
					if c.during != nil {
						c.during(h, w)
					}
					after := w.load(h, 20, 10*time.Second, "/get/x", all...)
					convey.So(len(w.told), convey.ShouldBeGreaterThan, 0)
					convey.So(w.late(h.nodes["n1"].settings.Load().Bounds.Drain.Duration), convey.ShouldEqual, 0)
					convey.So(served(after), convey.ShouldBeGreaterThanOrEqualTo, len(after)*98/100)
				})
			})
		})
	}
}

// TestEndpointGetsNoRequestsInItsPause guards against requests to an endpoint that has asked a node
// for a pause.
func TestEndpointGetsNoRequestsInItsPause(t *testing.T) {
	cases := map[string]struct {
		pause  string
		during func(h *harness) // after it began to ask
	}{
		"four seconds":   {pause: "4"},
		"with fractions": {pause: "2.75"},
		"the store is away": {pause: "4", during: func(h *harness) {
			h.platform.SetFault(standin.Fault{Silent: true})
		}},
		"its entry is registered again": {pause: "30", during: func(h *harness) {
			h.platform.Expire("servers", string(h.serviceTargets("s")[0].endpoint.ID))
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				convey.Convey("Beyond two, and other endpoints serve", t, func() {
					target := h.serviceTargets("s")[0]
					w := h.watch(target)
					w.watchPauses(target, c.pause)
					w.load(h, 40, 5*time.Second, "/get/x", "n1", "n2")
					target.SetBehaviour(standin.Behaviour{Work: defaultWork, Slots: 3, Shed: true, Pause: c.pause})
					w.load(h, 40, 2*time.Second, "/get/x", "n1", "n2")
					if c.during != nil {
						c.during(h)
					}
					after := w.load(h, 40, 15*time.Second, "/get/x", "n1", "n2")
					convey.So(len(w.pauses), convey.ShouldBeGreaterThan, 0)
					convey.So(w.mostInPause(), convey.ShouldBeLessThanOrEqualTo, pauseRequests)
					convey.So(served(after), convey.ShouldBeGreaterThanOrEqualTo, len(after)*98/100)
				})
			})
		})
	}
}

// TestPausesOfAllEndpointsAreNotWaitedFor guards against callers that wait until their deadline, or
// come back in vain, while all endpoints of a service have asked for a pause.
func TestPausesOfAllEndpointsAreNotWaitedFor(t *testing.T) {
	withHarness(t, func(h *harness) {
		convey.Convey("They are rejected at once with a delay after which they are served", t, func() {
			w := h.watch(h.serviceTargets("s")[0])
			w.load(h, 20, 5*time.Second, "/get/x", "n1")
			for _, target := range h.serviceTargets("s") {
				target.SetBehaviour(standin.Behaviour{Work: defaultWork, Slots: 3, Shed: true, Pause: "3"})
			}
			w.load(h, 20, 2*time.Second, "/get/x", "n1")
			for _, target := range h.serviceTargets("s") {
				target.SetBehaviour(standin.Behaviour{Work: defaultWork, Slots: 3})
			}
			for range 5 {
				resp := h.send(h.t.Context(), "n1", testRequest{object: "a"})
				if resp.status == http.StatusOK {
					break
				}
				convey.So(resp.reason, convey.ShouldEqual, string(endpoint.ReasonPause))
				convey.So(resp.took, convey.ShouldBeLessThan, 100*time.Millisecond)
				after, err := strconv.ParseFloat(resp.header.Get("Retry-After"), 64)
				convey.So(err, convey.ShouldBeNil)
				time.Sleep(time.Duration(after * float64(time.Second)))
				convey.So(h.send(h.t.Context(), "n1", testRequest{object: "a"}).status, convey.ShouldEqual, http.StatusOK)
			}
		})
	})
}

func TestMetricsCountWhatEndpointsSay(t *testing.T) {
	withHarness(t, func(h *harness) {
		convey.Convey("By the entry, by responses, and of pauses", t, func() {
			targets := h.serviceTargets("s")
			w := h.watch(targets[0])
			targets[0].SetBehaviour(standin.Behaviour{Work: defaultWork, Slots: 3, Leaving: "1"})
			targets[1].SetBehaviour(standin.Behaviour{Work: defaultWork, Slots: 3, Shed: true, Pause: "60"})
			convey.So(targets[2].endpoint.Drain(h.t.Context()), convey.ShouldBeNil)
			w.load(h, 40, 5*time.Second, "/get/x", "n1")
			resp, err := h.caller.Get("http://" + h.entry("n1").Admin + PathMetrics)
			convey.So(err, convey.ShouldBeNil)
			defer func() { _ = resp.Body.Close() }()
			text, err := io.ReadAll(resp.Body)
			convey.So(err, convey.ShouldBeNil)
			convey.So(string(text), convey.ShouldStartWith, "endpoints.draining 1\nendpoints.leaving 1\nendpoints.paused 1\n")
		})
	})
}

// TestSignalsThatCannotBeRead guards against a service that is lost to what its endpoints say by
// mistake.
func TestSignalsThatCannotBeRead(t *testing.T) {
	cases := map[string]struct {
		behaviour standin.Behaviour
		counter   string
	}{
		"leaving is text":     {standin.Behaviour{Leaving: "soon"}, "leaving.malformed"},
		"pause is text":       {standin.Behaviour{Shed: true, Pause: "a while"}, "pause.malformed"},
		"pause is negative":   {standin.Behaviour{Shed: true, Pause: "-4"}, "pause.malformed"},
		"pause is not finite": {standin.Behaviour{Shed: true, Pause: "Inf"}, "pause.malformed"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				convey.Convey("It is counted, and changes nothing", t, func() {
					w := h.watch(h.serviceTargets("s")[0])
					c.behaviour.Work = defaultWork
					h.setBehaviour(c.behaviour)
					w.load(h, 20, 2*time.Second, "/get/x", "n1")
					h.setBehaviour(standin.Behaviour{Work: defaultWork})
					time.Sleep(10 * time.Second) // until the failure scores have decayed
					after := w.load(h, 20, 5*time.Second, "/get/x", "n1")
					convey.So(served(after), convey.ShouldEqual, len(after))
					convey.So(h.nodes["n1"].metrics.counterValues()[c.counter], convey.ShouldBeGreaterThan, 0)
				})
			})
		})
	}
}
