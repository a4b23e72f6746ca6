package node

import (
	"context"
	"maps"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/endpoint"
	"github.com/wasabiwheel/wasabiwheel/exchange"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

// withHedges runs a test with an inventory in which requests of the service s may be sent twice.
func withHedges(t *testing.T, share string, body func(h *harness)) {
	withHarness(t, func(h *harness) {
		text := strings.Replace(string(testInventory()), "id = \"s\"\n", "id = \"s\"\nhedge = "+share+"\n", 1)
		h.publish([]byte(text))
		time.Sleep(2 * time.Second)
		body(h)
	})
}

// prepare lets the node know the usual times, and two endpoints that have an object cached. It returns
// the one that serves it.
func (h *harness) prepare(method, path string) inventory.EndpointID {
	var at inventory.EndpointID
	for range 60 {
		at = inventory.EndpointID(h.send(h.t.Context(), "n1", testRequest{method: method, path: path, object: "7"}).echo.Target)
		time.Sleep(20 * time.Millisecond)
	}
	return at
}

// slowDown lets an endpoint take a time.
func (h *harness) slowDown(id inventory.EndpointID, work time.Duration) {
	h.targets[id].SetBehaviour(standin.Behaviour{Work: work, Slots: 3})
}

func (n *testNode) hedgeCounts() map[string]int64 {
	counts := map[string]int64{}
	for name, count := range n.metrics.counterValues() {
		if strings.HasPrefix(name, "hedge.") {
			counts[strings.TrimPrefix(name, "hedge.")] = int64(count)
		}
	}
	return counts
}

// TestSlowEndpointIsHedged guards against answers that come late although another endpoint could have
// given them, against copies that run on after they are of no use or count against their endpoint, and
// against copies of requests that may run only once.
func TestSlowEndpointIsHedged(t *testing.T) {
	cases := map[string]struct {
		share     string
		method    string
		path      string
		change    func(h *harness)
		counts    map[string]int64
		runs      int
		longest   time.Duration
		timeout   time.Duration
		abandoned int // copies that this node canceled
	}{
		"the other endpoint answers":    {share: "1", path: "/get/x", counts: map[string]int64{"sent": 1, "won": 1}, runs: 2, longest: 120 * time.Millisecond, abandoned: 1},
		"may run only once":             {share: "1", method: http.MethodPost, path: "/post/x", runs: 1, longest: 550 * time.Millisecond},
		"hedges are off":                {share: "0", path: "/get/x", runs: 1, longest: 550 * time.Millisecond},
		"the share is spent":            {share: "0.001", path: "/get/x", counts: map[string]int64{"denied.share": 1}, runs: 1, longest: 550 * time.Millisecond},
		"the copy would be late":        {share: "1", path: "/get/x", timeout: 35 * time.Millisecond, counts: map[string]int64{"denied.deadline": 1}, runs: 1, longest: 60 * time.Millisecond},
		"the retry budget is used":      {share: "1", path: "/get/x", change: func(h *harness) { h.spendRetries() }, counts: map[string]int64{"denied.budget": 1}, runs: 1, longest: 550 * time.Millisecond},
		"capacity is short":             {share: "1", path: "/get/x", change: func(h *harness) { h.fillEndpoints() }, counts: map[string]int64{"denied.short": 1}, runs: 1, longest: 550 * time.Millisecond},
		"the other one fails":           {share: "1", path: "/get/x", change: func(h *harness) { h.failOthers(standin.Behaviour{DropAnswer: true, Slots: 3}) }, counts: map[string]int64{"sent": 1}, runs: 2, longest: 550 * time.Millisecond},
		"the other one fails with 429":  {share: "1", path: "/get/x", change: func(h *harness) { h.failOthers(standin.Behaviour{Fail: 1, FailStatus: 429, Slots: 3}) }, counts: map[string]int64{"sent": 1}, runs: 2, longest: 550 * time.Millisecond},
		"the other one rejects":         {share: "1", path: "/get/x", change: func(h *harness) { h.failOthers(standin.Behaviour{Shed: true, Slots: 3}) }, counts: map[string]int64{"sent": 1}, runs: 1, longest: 550 * time.Millisecond},
		"the other one is slow as well": {share: "1", path: "/get/x", change: func(h *harness) { h.failOthers(standin.Behaviour{Work: time.Second, Slots: 3}) }, counts: map[string]int64{"sent": 1}, runs: 2, longest: 550 * time.Millisecond, abandoned: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withHedges(t, c.share, func(h *harness) {
				convey.Convey("The answer, the copies, and what is left", t, func() {
					primary := h.prepare(c.method, c.path)
					h.setBehaviour(standin.Behaviour{Work: defaultWork})
					h.slowDown(primary, 500*time.Millisecond)
					h.primary = primary
					if c.change != nil {
						c.change(h)
					}
					before := h.nodes["n1"].hedgeCounts()
					resp := h.send(h.t.Context(), "n1", testRequest{method: c.method, path: c.path, object: "7", timeout: c.timeout})
					convey.So(resp.err, convey.ShouldBeNil)
					if c.timeout == 0 {
						convey.So(resp.status, convey.ShouldEqual, http.StatusOK)
					}
					convey.So(resp.took, convey.ShouldBeLessThan, c.longest)
					convey.So(h.runCount(resp.id), convey.ShouldEqual, c.runs)
					after := h.nodes["n1"].hedgeCounts()
					maps.DeleteFunc(after, func(k string, v int64) bool { return v == before[k] })
					for k := range after {
						after[k] -= before[k]
					}
					convey.So(h.nodes["n1"].metrics.counterValues()["attempt.abandoned"], convey.ShouldEqual, c.abandoned)
					convey.So(len(after), convey.ShouldEqual, len(c.counts))
					for k, v := range c.counts {
						convey.So(after[k], convey.ShouldEqual, v)
					}
					time.Sleep(100 * time.Millisecond)
					convey.So(h.busy(), convey.ShouldEqual, 0) // endpoints notice that a copy was canceled
					for _, s := range h.nodes["n1"].endpoints.Status(time.Now()) {
						convey.So(s.InFlight, convey.ShouldEqual, 0)
						convey.So(s.ID != primary || s.FailureScore == 0 || c.timeout > 0, convey.ShouldBeTrue)
					}
				})
			})
		})
	}
}

// failOthers changes the behaviour of all endpoints but that which serves the object.
func (h *harness) failOthers(b standin.Behaviour) {
	for id, target := range h.targets {
		if id != h.primary {
			target.SetBehaviour(b)
		}
	}
}

// spendRetries uses the retry budget of a node for the service s.
func (h *harness) spendRetries() {
	for h.nodes["n1"].retries.AllowRetry(time.Now(), "s") {
	}
}

// fillEndpoints lets a node count ten requests that met full endpoints.
func (h *harness) fillEndpoints() {
	for range 10 {
		h.nodes["n1"].admission.RecordShort(time.Now(), "s")
	}
}

func (h *harness) busy() int {
	sum := 0
	for _, target := range h.targets {
		sum += target.Busy()
	}
	return sum
}

// TestCallerOfHedgedRequestDisconnects guards against copies that run on without a caller.
func TestCallerOfHedgedRequestDisconnects(t *testing.T) {
	withHedges(t, "1", func(h *harness) {
		convey.Convey("Both copies are canceled", t, func() {
			h.prepare(http.MethodGet, "/get/x")
			h.setBehaviour(standin.Behaviour{Work: time.Second})
			ctx, cancel := context.WithTimeout(h.t.Context(), 200*time.Millisecond)
			defer cancel()
			resp := h.send(ctx, "n1", testRequest{path: "/get/x", object: "7"})
			convey.So(resp.err, convey.ShouldNotBeNil)
			time.Sleep(100 * time.Millisecond)
			convey.So(h.nodes["n1"].hedgeCounts()["sent"], convey.ShouldEqual, 1)
			convey.So(h.busy(), convey.ShouldEqual, 0)
		})
	})
}

// TestHedgeShares guards against a share that is not the one that operators have set: that of the route
// goes before that of the service, and that before the one of the node's settings.
func TestHedgeShares(t *testing.T) {
	share := func(s inventory.Share) *inventory.Share { return &s }
	cases := map[string]struct {
		route, service *inventory.Share
		settings       inventory.Share
		once           bool
		share          inventory.Share
	}{
		"none":                {},
		"of the settings":     {settings: 0.03, share: 0.03},
		"of the service":      {service: share(0.02), settings: 0.03, share: 0.02},
		"off for the service": {service: share(0), settings: 0.03},
		"of the route":        {route: share(0.01), service: share(0.02), share: 0.01},
		"off for the route":   {route: share(0), service: share(0.02), settings: 0.03},
		"may run only once":   {route: share(0.01), settings: 0.03, once: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The share", t, func() {
				s, err := ParseSettings("t", []byte(goodSettings))
				convey.So(err, convey.ShouldBeNil)
				s.Hedge.Share = c.settings
				n := New(s, Options{})
				defer n.cancel()
				defer n.store.Close()
				n.routes.Store(n.newPolicy(inventory.Configuration{
					Services: []inventory.Service{{ID: "s", Hedge: c.service}},
					Routes:   []inventory.Route{{ID: "r", Prefix: "/", Idempotent: !c.once, Hedge: c.route, TrafficSplit: []inventory.ServiceWeight{{Service: "s", Weight: 1}}}},
				}))
				req := &request{route: n.routes.Load().Find("", "/"), service: "s"}
				convey.So(n.hedgeShare(req), convey.ShouldEqual, c.share)
			})
		})
	}
}

// TestHedgesStayInHomeRegions guards against copies in a region that may not serve the request.
func TestHedgesStayInHomeRegions(t *testing.T) {
	withHarness(t, func(h *harness) {
		convey.Convey("The copy goes to the other endpoint of the region", t, func() {
			text := strings.Replace(string(testInventory()), "prefix = \"/get/\"\n", "prefix = \"/get/\"\nhedge = 1\nhomes = [\"q\"]\n", 1)
			h.publish([]byte(text))
			time.Sleep(2 * time.Second)
			primary := h.prepare(http.MethodGet, "/get/x")
			h.slowDown(primary, 500*time.Millisecond)
			resp := h.send(h.t.Context(), "n1", testRequest{path: "/get/x", object: "7"})
			convey.So(h.nodes["n1"].hedgeCounts()["won"], convey.ShouldEqual, 1)
			at := inventory.EndpointID(resp.echo.Target)
			convey.So(at, convey.ShouldNotEqual, primary)
			convey.So(h.targets[at].endpoint.Domain, convey.ShouldEqual, inventory.DomainID("c"))
		})
	})
}

// TestRequestsWithoutHedges guards against copies of requests that may crash endpoints or whose body
// can't be sent twice, of runs that are expected to take long, and beyond the attempts of a route.
func TestRequestsWithoutHedges(t *testing.T) {
	warm := endpoint.Choice{Warm: true, Free: true, RoundTrip: 5 * time.Millisecond}
	cases := map[string]struct {
		req    request
		choice endpoint.Choice
		ok     bool
	}{
		"first attempt, warm":   {choice: warm, ok: true},
		"last attempt":          {req: request{sent: 1}, choice: warm},
		"isolated":              {req: request{isolated: true}, choice: warm},
		"probe of a suspect":    {req: request{probing: true}, choice: warm},
		"crashed an endpoint":   {req: request{crashes: 1}, choice: warm},
		"in quarantine":         {req: request{fingerprint: "f"}, choice: warm},
		"broke a connection":    {req: request{attempts: []attempt{{result: string(exchange.KindBroken)}}}, choice: warm},
		"streamed body":         {req: request{unbuffered: strings.NewReader("x")}, choice: warm},
		"run without the cache": {choice: endpoint.Choice{Free: true}},
		"wait for a slot":       {choice: endpoint.Choice{Warm: true}},
		"cold endpoint":         {choice: endpoint.Choice{Warm: true, Free: true, Cold: true}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The delay", t, func() {
				s, err := ParseSettings("t", []byte(goodSettings))
				convey.So(err, convey.ShouldBeNil)
				n := New(s, Options{})
				defer n.cancel()
				defer n.store.Close()
				share, now := inventory.Share(0.04), time.Now()
				n.routes.Store(n.newPolicy(inventory.Configuration{Routes: []inventory.Route{{
					ID: "r", Prefix: "/", Idempotent: true, Attempts: 2, Hedge: &share, TrafficSplit: []inventory.ServiceWeight{{Service: "s", Weight: 1}},
				}}}))
				for range 100 {
					n.hedges.RecordRequest(now, "r")
					n.hedges.Record(now, "r", 100*time.Millisecond)
				}
				c.req.route = n.routes.Load().Find("", "/")
				delay, ok := n.hedgeDelay(now, &c.req, c.choice)
				convey.So(ok, convey.ShouldEqual, c.ok)
				convey.So(!ok || delay > 155*time.Millisecond, convey.ShouldBeTrue)
			})
		})
	}
}
