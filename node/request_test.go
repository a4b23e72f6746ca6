package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/caller"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

func TestRequestsAreServed(t *testing.T) {
	withHarness(t, func(h *harness) {
		convey.Convey("At each node and on each route, an object is always served by the same endpoint", t, func() {
			at := map[string]string{}
			for _, e := range h.inv.Entries {
				for _, path := range []string{"/get/1", "/post/2", "/other/3"} {
					method := http.MethodGet
					if strings.HasPrefix(path, "/post") {
						method = http.MethodPost
					}
					resp := h.send(h.t.Context(), e.ID, testRequest{method: method, path: path + "?full=%20", body: "hello", object: "7"})
					convey.So(resp.err, convey.ShouldBeNil)
					convey.So(resp.status, convey.ShouldEqual, http.StatusOK)
					convey.So(resp.echo.Path, convey.ShouldEqual, path+"?full=%20")
					convey.So(resp.echo.Body, convey.ShouldEqual, "hello")
					convey.So(resp.echo.Request, convey.ShouldEqual, resp.id)
					convey.So(resp.header.Get(caller.Headers.Signature), convey.ShouldEqual, resp.echo.Target+"."+resp.id)
					if at[path] != "" {
						convey.So(resp.echo.Target, convey.ShouldEqual, at[path])
					}
					at[path] = resp.echo.Target
				}
			}
		})
	})
}

func TestImmediateErrorResponses(t *testing.T) {
	cases := map[string]struct {
		prepare func(h *harness)
		request testRequest
		status  int
		outcome caller.Outcome
		reason  string
	}{
		"no route":           {request: testRequest{path: "/nowhere/"}, status: 404, outcome: caller.OutcomeNotRun, reason: "route"},
		"too large":          {request: testRequest{method: "POST", path: "/post/", body: strings.Repeat("x", 2000)}, status: 413, outcome: caller.OutcomeNotRun, reason: "request"},
		"all shed":           {prepare: func(h *harness) { h.setBehaviour(standin.Behaviour{Shed: true}) }, status: 503, outcome: caller.OutcomeNotRun, reason: "shed"},
		"all have crashed":   {prepare: func(h *harness) { h.crashAll() }, status: 503, outcome: caller.OutcomeNotRun, reason: "unreached"},
		"all lose responses": {prepare: func(h *harness) { h.setBehaviour(standin.Behaviour{DropAnswer: true}) }, request: testRequest{method: "POST", path: "/post/"}, status: 502, outcome: caller.OutcomeUnknown, reason: "broken"},
		"no signature":       {prepare: func(h *harness) { h.setBehaviour(standin.Behaviour{Unsigned: true}) }, request: testRequest{method: "POST", path: "/post/"}, status: 502, outcome: caller.OutcomeUnknown, reason: "unsigned"},
		"endpoint's failure": {prepare: func(h *harness) { h.setBehaviour(standin.Behaviour{Fail: 1}) }, request: testRequest{method: "POST", path: "/post/"}, status: 500, outcome: caller.OutcomeRan},
		"drained":            {prepare: func(h *harness) { h.drainAll() }, status: 503, outcome: caller.OutcomeNotRun, reason: "none"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				convey.Convey("The response names the outcome and the reason", t, func() {
					if c.prepare != nil {
						c.prepare(h)
					}
					resp := h.send(h.t.Context(), "n1", c.request)
					convey.So(resp.err, convey.ShouldBeNil)
					convey.So(resp.status, convey.ShouldEqual, c.status)
					convey.So(resp.outcome, convey.ShouldEqual, c.outcome)
					convey.So(resp.reason, convey.ShouldEqual, c.reason)
					convey.So(resp.took, convey.ShouldBeLessThan, 300*time.Millisecond)
					convey.So(resp.status != 503 || resp.header.Get("Retry-After") != "", convey.ShouldBeTrue)
				})
			})
		})
	}
}

func (h *harness) crashAll() {
	for id := range h.targets {
		h.crash(id)
	}
}

func (h *harness) drainAll() {
	for _, d := range h.inv.Domains {
		if err := h.configurations().Drain(h.t.Context(), d.ID); err != nil {
			h.t.Error(err)
		}
	}
	time.Sleep(2 * time.Second)
}

func TestOnlyIdempotentRequestsRunTwice(t *testing.T) {
	const signedHead = "HTTP/1.1 200 OK\r\nWasabiwheel-Request: {id}\r\nWasabiwheel-Signature: s\r\n"
	cases := map[string]struct {
		behaviour standin.Behaviour
		method    string
		path      string
		runs      int // maximum
		status    int
	}{
		"idempotent, response lost":         {standin.Behaviour{DropAnswer: true}, "GET", "/get/1", 2, 502},
		"idempotent, truncated":             {standin.Behaviour{Truncate: true}, "GET", "/get/1", 2, 502},
		"idempotent, failure":               {standin.Behaviour{Fail: 1}, "GET", "/get/1", 2, 500},
		"idempotent, not HTTP":              {standin.Behaviour{Raw: "nonsense\r\n\r\n"}, "GET", "/get/1", 2, 502},
		"once, response lost":               {standin.Behaviour{DropAnswer: true}, "POST", "/post/1", 1, 502},
		"once, truncated":                   {standin.Behaviour{Truncate: true}, "POST", "/post/1", 1, 502},
		"once, failure":                     {standin.Behaviour{Fail: 1}, "POST", "/post/1", 1, 500},
		"once, not HTTP":                    {standin.Behaviour{Raw: "nonsense\r\n\r\n"}, "POST", "/post/1", 1, 502},
		"once, response to another request": {standin.Behaviour{Raw: "HTTP/1.1 200 OK\r\nWasabiwheel-Request: other\r\nContent-Length: 0\r\n\r\n"}, "POST", "/post/1", 1, 502},
		"once, two responses":               {standin.Behaviour{Trailing: "HTTP/1.1 200 OK\r\nWasabiwheel-Request: {id}\r\nContent-Length: 0\r\n\r\n"}, "POST", "/post/1", 1, 200},
		"once, response without a length":   {standin.Behaviour{NoLength: true}, "POST", "/post/1", 1, 200},
		"idempotent, malformed":             {standin.Behaviour{Raw: signedHead + "Bad Name: 1\r\nContent-Length: 0\r\n\r\n"}, "GET", "/get/1", 2, 502},
		"once, malformed":                   {standin.Behaviour{Raw: signedHead + "Bad Name: 1\r\nContent-Length: 0\r\n\r\n"}, "POST", "/post/1", 1, 502},
		"once, length with a space":         {standin.Behaviour{Raw: signedHead + "Content-Length : 0\r\n\r\n"}, "POST", "/post/1", 1, 502},
		"once, malformed rejection":         {standin.Behaviour{Raw: "HTTP/1.1 503 Busy\r\nWasabiwheel-Request: {id}\r\nWasabiwheel-Not-Run: 1\r\nBad Name: 1\r\nContent-Length: 0\r\n\r\n"}, "POST", "/post/1", 1, 502},
		"once, no status of the protocol":   {standin.Behaviour{Raw: "HTTP/1.1 050 X\r\n\r\n" + signedHead + "Content-Length: 0\r\n\r\n"}, "POST", "/post/1", 1, 502},
		"once, stalled":                     {standin.Behaviour{Stall: true}, "POST", "/post/1", 1, 504},
		"once, slower than the route":       {standin.Behaviour{Work: 5 * time.Second}, "POST", "/post/1", 1, 504},
		"idempotent, slow":                  {standin.Behaviour{Work: 5 * time.Second}, "GET", "/get/1", 2, 504},
		"once, rejected by all endpoints":   {standin.Behaviour{Shed: true}, "POST", "/post/1", 0, 503},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				convey.Convey("The number of runs and the status", t, func() {
					h.warmUp()
					h.setBehaviour(c.behaviour)
					for i := range 8 {
						resp := h.send(h.t.Context(), h.inv.Entries[i%4].ID, testRequest{method: c.method, path: c.path})
						convey.So(resp.err, convey.ShouldBeNil)
						convey.So(h.runCount(resp.id), convey.ShouldBeLessThanOrEqualTo, c.runs)
						h.checkPromise(resp)
						if resp.outcome == caller.OutcomeNotRun {
							convey.So(h.runCount(resp.id), convey.ShouldEqual, 0)
							continue
						}
						convey.So(resp.status, convey.ShouldEqual, c.status)
						convey.So(resp.took, convey.ShouldBeLessThan, 2200*time.Millisecond)
					}
				})
			})
		})
	}
}

// warmUp sends a few requests through each node, so that connections are pooled and the
// retry budget is filled.
func (h *harness) warmUp() {
	for i := range 200 {
		h.send(h.t.Context(), h.inv.Entries[i%4].ID, testRequest{})
		time.Sleep(20 * time.Millisecond)
	}
}

func TestCallerDisconnects(t *testing.T) {
	cases := map[string]struct {
		request testRequest
		ended   int // requests that run to completion
	}{
		"idempotent work is canceled":   {testRequest{path: "/get/1"}, 0},
		"non-idempotent work completes": {testRequest{method: "POST", path: "/post/1"}, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				convey.Convey("Half a second after it disconnects", t, func() {
					h.setBehaviour(standin.Behaviour{Work: time.Second})
					ctx, cancel := context.WithTimeout(h.t.Context(), 200*time.Millisecond)
					defer cancel()
					resp := h.send(ctx, "n1", c.request)
					convey.So(resp.err, convey.ShouldNotBeNil)
					time.Sleep(500 * time.Millisecond)
					busy, ended := 0, 0
					for _, target := range h.targets {
						busy += target.Busy()
					}
					convey.So(busy, convey.ShouldEqual, c.ended)
					time.Sleep(time.Second)
					for _, target := range h.targets {
						ended += target.Stats().Ended
					}
					convey.So(ended, convey.ShouldEqual, c.ended)
				})
			})
		})
	}
}

func TestDeadlineIsPropagated(t *testing.T) {
	cases := map[string]struct {
		timeout time.Duration
		took    time.Duration
	}{
		"the caller's is shorter": {500 * time.Millisecond, 500 * time.Millisecond},
		"the route's is shorter":  {5 * time.Second, 2 * time.Second},
		"the caller gives none":   {0, 2 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				convey.Convey("The response comes at the shorter one", t, func() {
					h.setBehaviour(standin.Behaviour{Work: time.Minute, IgnoreCancel: true})
					resp := h.send(h.t.Context(), "n1", testRequest{method: "POST", path: "/post/1", timeout: c.timeout})
					convey.So(resp.status, convey.ShouldEqual, http.StatusGatewayTimeout)
					convey.So(resp.took, convey.ShouldBeBetween, c.took, c.took+50*time.Millisecond)
				})
			})
		})
	}
}

func TestLookUpsReturnLiveNodes(t *testing.T) {
	withHarness(t, func(h *harness) {
		convey.Convey("A failed entry VM is removed within the bound, a leaving one immediately", t, func() {
			convey.So(h.lookUp("n1", "a"), convey.ShouldResemble, []string{"10.0.1.1:7000", "10.0.1.2:7000"})
			h.kill("n2")
			time.Sleep(2 * time.Second)
			convey.So(h.lookUp("n1", "a"), convey.ShouldResemble, []string{"10.0.1.1:7000", "10.0.1.3:7000"})
			h.start("n2")
			time.Sleep(3 * time.Second)
			convey.So(h.lookUp("n1", "a"), convey.ShouldResemble, []string{"10.0.1.1:7000", "10.0.1.2:7000"})
			n := h.nodes["n2"]
			n.stop()
			time.Sleep(time.Second)
			convey.So(h.lookUp("n1", "a"), convey.ShouldResemble, []string{"10.0.1.1:7000", "10.0.1.3:7000"})
			<-n.done
			delete(h.nodes, "n2")
			h.network.Isolate("10.0.1.3")
			time.Sleep(3 * time.Second)
			convey.So(h.lookUp("n1", "a"), convey.ShouldResemble, []string{"10.0.1.1:7000"})
			h.nodes["n3"].mayFail = true
		})
	})
}

// lookUp returns the addresses that a node gives to a caller in a failure domain.
func (h *harness) lookUp(node inventory.EntryID, domain string) []string {
	resp, err := h.caller.Get("http://" + h.entry(node).Lookup + caller.PathLookup + "?region=r&domain=" + domain)
	if err != nil {
		h.t.Error(err)
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var f caller.LookupResponse
	if err := json.NewDecoder(resp.Body).Decode(&f); err != nil {
		h.t.Error(err)
	}
	slices.Sort(f.Entries)
	return f.Entries
}

func TestShutdownLosesNoRequests(t *testing.T) {
	cases := map[string]time.Duration{"quick work": 20 * time.Millisecond, "slow work": 1500 * time.Millisecond}
	for name, work := range cases {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				convey.Convey("Each request that was read gets a response", t, func() {
					h.setBehaviour(standin.Behaviour{Work: work})
					gap := max(20*time.Millisecond, work/6) // the route has 18 slots; a third of them are in use
					before := int(2 * time.Second / gap)
					var wait sync.WaitGroup
					replies := make([]testResponse, 2*before) // as many after the signal: callers still use the node then
					for i := range replies {
						method, path := "GET", "/get/1"
						if i%2 == 0 {
							method, path = "POST", "/post/1"
						}
						if i == before {
							h.nodes["n1"].stop()
						}
						wait.Go(func() { replies[i] = h.send(h.t.Context(), "n1", testRequest{method: method, path: path}) })
						time.Sleep(gap)
					}
					wait.Wait()
					for _, resp := range replies {
						convey.So(resp.err, convey.ShouldBeNil)
						convey.So(resp.outcome, convey.ShouldEqual, caller.OutcomeRan)
					}
					convey.So(replies[len(replies)-1].closed, convey.ShouldBeTrue)
					<-h.nodes["n1"].done
					convey.So(h.nodes["n1"].failure, convey.ShouldBeNil)
				})
			})
		})
	}
}

// TestLongRequestsDuringShutdownAreNotCut guards against requests that a leaving node accepts
// although it exits before they end.
func TestLongRequestsDuringShutdownAreNotCut(t *testing.T) {
	for name, method := range map[string]string{"repeatable": "GET /get/1", "once only": "POST /post/1"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				convey.Convey("Each gets a response, and at once if it can't be served", t, func() {
					h := newHarness(t, bytes.ReplaceAll(testInventory(), []byte(`timeout = "2s"`), []byte(`timeout = "5s"`)))
					defer h.close()
					for _, e := range h.inv.Entries {
						h.start(e.ID)
					}
					time.Sleep(8 * time.Second)
					h.setBehaviour(standin.Behaviour{Work: 4500 * time.Millisecond})
					h.nodes["n1"].mayFail = true
					h.nodes["n1"].stop()
					var wait sync.WaitGroup
					verb, path, _ := strings.Cut(method, " ")
					replies := make([]testResponse, 4)
					for i := range replies {
						wait.Go(func() {
							time.Sleep(100*time.Millisecond + time.Duration(i)*730*time.Millisecond)
							replies[i] = h.send(h.t.Context(), "n1", testRequest{method: verb, path: path})
						})
					}
					wait.Wait()
					for _, resp := range replies {
						convey.So(resp.err, convey.ShouldBeNil)
						if resp.outcome != caller.OutcomeRan {
							convey.So(resp.outcome, convey.ShouldEqual, caller.OutcomeNotRun)
							convey.So(resp.took, convey.ShouldBeLessThan, 100*time.Millisecond)
						}
					}
					<-h.nodes["n1"].done
					convey.So(h.nodes["n1"].failure, convey.ShouldBeNil)
				})
			})
		})
	}
}

// TestResponsesDuringShutdownCloseConnections has requests in flight when the node is
// stopped. If a connection stayed open after its response, a later request on it would fail.
func TestResponsesDuringShutdownCloseConnections(t *testing.T) {
	withHarness(t, func(h *harness) {
		convey.Convey("It closes its connection", t, func() {
			h.setBehaviour(standin.Behaviour{Work: time.Second})
			var resp testResponse
			var wait sync.WaitGroup
			wait.Go(func() { resp = h.send(h.t.Context(), "n1", testRequest{}) })
			time.Sleep(100 * time.Millisecond)
			h.nodes["n1"].stop()
			wait.Wait()
			convey.So(resp.status, convey.ShouldEqual, http.StatusOK)
			convey.So(resp.closed, convey.ShouldBeTrue)
			<-h.nodes["n1"].done
		})
	})
}

// TestFirstRequestsAreNotRejectedByEstimates sends simultaneous requests for one object,
// before any response has shown how long they take.
func TestFirstRequestsAreNotRejectedByEstimates(t *testing.T) {
	withHarness(t, func(h *harness) {
		convey.Convey("None is rejected", t, func() {
			var wait sync.WaitGroup
			replies := make([]testResponse, 60)
			for i := range replies {
				wait.Go(func() { replies[i] = h.send(h.t.Context(), "n1", testRequest{path: "/get/1", object: "lamp"}) })
			}
			wait.Wait()
			for _, resp := range replies {
				convey.So(resp.status, convey.ShouldEqual, http.StatusOK)
			}
		})
	})
}

// TestNotRunIsNeverReturnedForRequestsThatRan has one endpoint after the other lose its
// responses while all others reject, so that a request may run and then be rejected.
func TestNotRunIsNeverReturnedForRequestsThatRan(t *testing.T) {
	cases := map[string]standin.Behaviour{
		"truncated body": {Truncate: true},
		"response lost":  {DropAnswer: true},
		"failure":        {Fail: 1},
		"status 408":     {Fail: 1, FailStatus: http.StatusRequestTimeout},
		"status 429":     {Fail: 1, FailStatus: http.StatusTooManyRequests},
		"status 503":     {Fail: 1, FailStatus: http.StatusServiceUnavailable},
		"not HTTP":       {Raw: "nonsense\r\n\r\n"},
	}
	for name, first := range cases {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				convey.Convey("Whichever attempt ran it", t, func() {
					h.warmUp()
					outcomes := map[caller.Outcome]int{}
					for _, target := range h.targets {
						h.setBehaviour(standin.Behaviour{Shed: true})
						first.Slots = target.endpoint.Slots
						target.SetBehaviour(first)
						for i := range 20 {
							resp := h.send(h.t.Context(), h.inv.Entries[i%4].ID, testRequest{object: fmt.Sprint(i)})
							convey.So(resp.err, convey.ShouldBeNil)
							outcomes[resp.outcome]++
							h.checkPromise(resp)
							if resp.outcome == caller.OutcomeNotRun {
								convey.So(h.runCount(resp.id), convey.ShouldEqual, 0)
							}
						}
						time.Sleep(5 * time.Second)
					}
					convey.So(outcomes[caller.OutcomeNotRun], convey.ShouldBeGreaterThan, 0)
					convey.So(outcomes[caller.OutcomeUnknown]+outcomes[caller.OutcomeRan], convey.ShouldBeGreaterThan, 0)
				})
			})
		})
	}
}

// TestRequestRejectedByFreeEndpoint lets the endpoint that has an object cached reject all
// requests although it has free slots.
func TestRequestRejectedByFreeEndpoint(t *testing.T) {
	withHarness(t, func(h *harness) {
		convey.Convey("A request is sent there once more, since it is cold elsewhere, but not forever", t, func() {
			h.warmUp()
			send := func() testResponse { return h.send(h.t.Context(), "n1", testRequest{object: "a"}) }
			for range 3 {
				convey.So(send().status, convey.ShouldEqual, http.StatusOK)
			}
			before := map[inventory.EndpointID]int{}
			for id, target := range h.targets {
				before[id] = target.Stats().Served
			}
			convey.So(send().status, convey.ShouldEqual, http.StatusOK)
			var primary *testTarget
			for id, target := range h.targets {
				if target.Stats().Served > before[id] {
					primary = target
				}
			}
			primary.SetBehaviour(standin.Behaviour{Shed: true, Slots: primary.endpoint.Slots})
			resp := send()
			convey.So(resp.outcome, convey.ShouldEqual, caller.OutcomeNotRun)
			convey.So(primary.Stats().Shed, convey.ShouldEqual, 2)
			served := 0
			for range 10 {
				if send().status == http.StatusOK {
					served++
				}
			}
			convey.So(served, convey.ShouldBeGreaterThanOrEqualTo, 8)
		})
	})
}
