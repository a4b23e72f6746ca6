package node

import (
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/caller"
	"github.com/wasabiwheel/wasabiwheel/endpoint"
	"github.com/wasabiwheel/wasabiwheel/exchange"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/reach"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

// cutKind is how the links between nodes and endpoints are cut.
type cutKind string

const (
	cutHang   cutKind = "hang"   // connections hang, and new ones are not answered
	cutReset  cutKind = "reset"  // connections are reset, and new ones are refused
	cutRefuse cutKind = "refuse" // connections live on, and new ones are refused
)

// cutEndpoints cuts nodes off from the endpoints that include accepts, or reverts that.
func (h *harness) cutEndpoints(kind cutKind, cut bool, include func(inventory.Endpoint) bool, nodes ...inventory.EntryID) {
	for _, id := range nodes {
		for _, e := range h.inv.Endpoints {
			if !include(e) {
				continue
			}
			there := standin.Path{From: hostOf(h.entry(id).Peer), To: hostOf(e.Address)}
			back := standin.Path{From: there.To, To: there.From}
			switch {
			case kind == cutHang && cut:
				h.network.Cut(there)
				h.network.Cut(back)
			case kind == cutHang:
				h.network.Heal(there)
				h.network.Heal(back)
			case kind == cutReset && cut:
				h.network.SetRefused(there, true)
				h.network.Break(there)
			default:
				h.network.SetRefused(there, cut)
			}
		}
	}
}

func anyEndpoint(inventory.Endpoint) bool { return true }

// TestNodesCutOffFromAllEndpointsServe guards against callers that are served worse at nodes that
// reach no endpoint than at the others.
func TestNodesCutOffFromAllEndpointsServe(t *testing.T) {
	all := []inventory.EntryID{"n1", "n2", "n3", "n4"}
	cases := map[string]struct {
		kind   cutKind
		nodes  []inventory.EntryID
		path   string
		during func(h *harness) // at the start of the cut
	}{
		"one node, hanging":             {kind: cutHang, nodes: all[:1]},
		"one node, reset":               {kind: cutReset, nodes: all[:1]},
		"one node, refused":             {kind: cutRefuse, nodes: all[:1]},
		"a failure domain, hanging":     {kind: cutHang, nodes: all[:2]},
		"a failure domain, refused":     {kind: cutRefuse, nodes: all[:2]},
		"the only node of its region":   {kind: cutHang, nodes: all[3:]},
		"all but one, hanging":          {kind: cutHang, nodes: all[:3]},
		"all but one, reset":            {kind: cutReset, nodes: all[:3]},
		"requests that may run once":    {kind: cutHang, nodes: all[:1], path: "/post/x"},
		"while the store is away":       {kind: cutHang, nodes: all[:2], during: func(h *harness) { h.platform.SetFault(standin.Fault{Silent: true}) }},
		"while another node is stopped": {kind: cutHang, nodes: all[:1], during: func(h *harness) { stopped := h.nodes["n2"]; delete(h.nodes, "n2"); stopped.stop() }},
		"while another node does not answer": {kind: cutHang, nodes: all[:1], during: func(h *harness) {
			one, other := hostOf(h.entry("n1").Peer), hostOf(h.entry("n2").Peer)
			h.network.Cut(standin.Path{From: one, To: other})
			h.network.Cut(standin.Path{From: other, To: one})
		}},
		"while another node is killed": {kind: cutReset, nodes: all[:1], during: func(h *harness) { h.kill("n3") }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				convey.Convey("From ContactS after the cut on, and after it", t, func() {
					path := c.path
					if path == "" {
						path = "/get/x"
					}
					w := h.watch(h.serviceTargets("s")[0])
					w.load(h, 40, 5*time.Second, path, all...)
					h.cutEndpoints(c.kind, true, anyEndpoint, c.nodes...)
					if c.during != nil {
						c.during(h)
					}
					w.load(h, 40, h.nodes[c.nodes[0]].settings.Load().Bounds.Recovery.Duration, path, all...)
					at := w.load(h, 20, 10*time.Second, path, c.nodes...)
					convey.So(served(at), convey.ShouldBeGreaterThanOrEqualTo, len(at)*95/100)
					h.cutEndpoints(c.kind, false, anyEndpoint, c.nodes...)
					w.load(h, 40, 3*time.Second, path, all...)
					at = w.load(h, 20, 5*time.Second, path, c.nodes...)
					convey.So(served(at), convey.ShouldBeGreaterThanOrEqualTo, len(at)*98/100)
					for _, r := range at {
						convey.So(h.runCount(r.id), convey.ShouldBeLessThanOrEqualTo, 1)
					}
				})
			})
		})
	}
}

// TestNodeThatIsBehindForAMomentStaysInUse guards against a node that is left out for seconds since it
// gets a configuration a moment later than the one that is cut off.
func TestNodeThatIsBehindForAMomentStaysInUse(t *testing.T) {
	cases := map[caller.Reason]reach.Help{
		ReasonBehind: reach.Busy, ReasonRoute: reach.Busy,
		ReasonCutOff: reach.Unavail, ReasonBusy: reach.Unavail, ReasonStarting: reach.Unavail, ReasonLeaving: reach.Unavail,
		caller.Reason(exchange.KindUnreachable): reach.NoEndpoint, caller.Reason(endpoint.ReasonBackoff): reach.NoEndpoint,
		ReasonLate: reach.Helped, ReasonQuarantined: reach.Helped, caller.Reason(endpoint.ReasonPause): reach.Helped,
	}
	for reason, want := range cases {
		t.Run(string(reason), func(t *testing.T) {
			convey.Convey("By the reason of its rejection", t, func() {
				convey.So(helpOf(notRun(reason, 0)), convey.ShouldEqual, want)
			})
		})
	}
}

// TestCutOffNodesAccuseNoRequest guards against requests that are taken for the cause of a crash
// since the links of their node were reset.
func TestCutOffNodesAccuseNoRequest(t *testing.T) {
	withHarness(t, func(h *harness) {
		convey.Convey("Resets and refused connections of one node are no evidence", t, func() {
			w := h.watch(h.serviceTargets("s")[0])
			w.load(h, 40, 3*time.Second, "/get/x", "n1", "n2")
			h.setBehaviour(standin.Behaviour{Work: 300 * time.Millisecond})
			for range 4 {
				var wait sync.WaitGroup
				wait.Go(func() { w.load(h, 40, 2*time.Second, "/get/x", "n1", "n2") })
				time.Sleep(time.Second)
				h.cutEndpoints(cutReset, true, anyEndpoint, "n1")
				time.Sleep(2 * time.Second)
				wait.Wait()
				h.cutEndpoints(cutReset, false, anyEndpoint, "n1")
				time.Sleep(3 * time.Second)
			}
			convey.So(h.counter("n1", "attempt.broken"), convey.ShouldBeGreaterThan, 0)
			convey.So(h.counter("n1", "crash.request"), convey.ShouldEqual, 0)
			convey.So(h.counter("n1", "crash.endpoint"), convey.ShouldEqual, 0)
		})
	})
}
