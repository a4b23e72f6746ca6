package node

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/caller"
	"github.com/wasabiwheel/wasabiwheel/exchange"
	"github.com/wasabiwheel/wasabiwheel/reach"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

// checkPromise checks that a request whose response says that it did not run did not run.
func (h *harness) checkPromise(resp testResponse) {
	if exchange.MeansNotRun(resp.status) {
		convey.So(h.runCount(resp.id), convey.ShouldEqual, 0)
	}
}

// TestFailuresDoNotPassForRejections guards against callers that are told that a request has not run by
// the status of an endpoint that ran it and failed.
func TestFailuresDoNotPassForRejections(t *testing.T) {
	const statement = "Wasabiwheel-Not-Run: 1"
	cases := map[string]struct {
		behaviour standin.Behaviour
		body      int // bytes
		want      int
	}{
		"408":                           {behaviour: standin.Behaviour{FailStatus: 408}, want: 502},
		"429":                           {behaviour: standin.Behaviour{FailStatus: 429}, want: 502},
		"503":                           {behaviour: standin.Behaviour{FailStatus: 503}, want: 502},
		"503, after a while":            {behaviour: standin.Behaviour{FailStatus: 503, FailHeader: "Retry-After: 0.1"}, want: 502},
		"503, unsigned":                 {behaviour: standin.Behaviour{FailStatus: 503, Unsigned: true}, want: 502},
		"503, to a long body":           {behaviour: standin.Behaviour{FailStatus: 503}, body: 700_000, want: 502},
		"503, empty statement":          {behaviour: standin.Behaviour{FailStatus: 503, FailHeader: "Wasabiwheel-Not-Run:"}, want: 502},
		"503, outcome of a node":        {behaviour: standin.Behaviour{FailStatus: 503, FailHeader: caller.HeaderOutcome + ": not-run"}, want: 502},
		"success with a statement":      {behaviour: standin.Behaviour{FailStatus: 200, FailHeader: statement}, want: 502},
		"500 with a statement":          {behaviour: standin.Behaviour{FailStatus: 500, FailHeader: statement}, want: 502},
		"400 with a statement":          {behaviour: standin.Behaviour{FailStatus: 400, FailHeader: statement}, want: 400},
		"404 that promises nothing":     {behaviour: standin.Behaviour{FailStatus: 404}, want: 404},
		"504 that promises nothing":     {behaviour: standin.Behaviour{FailStatus: 504}, want: 504},
		"a failure of its own as usual": {behaviour: standin.Behaviour{FailStatus: 500}, want: 500},
	}
	for name, c := range cases {
		for _, via := range []string{"directly", "over another node"} {
			t.Run(name+", "+via, func(t *testing.T) {
				withHarness(t, func(h *harness) {
					convey.Convey("The outcome is unknown, and the response is the node's", t, func() {
						h.publish(bytes.Replace(testInventory(), []byte("body = 1000"), []byte("body = 1000000"), 1))
						w := h.watch(h.serviceTargets("s")[0])
						w.load(h, 40, 5*time.Second, "/get/x", "n1", "n2", "n3", "n4")
						if via != "directly" {
							h.cutEndpoints(cutHang, true, anyEndpoint, "n1")
							w.load(h, 40, 3*time.Second, "/get/x", "n1")
							convey.So(h.nodes["n1"].Status().Reach, convey.ShouldEqual, reach.StateCutOff)
						}
						c.behaviour.Fail = 1
						h.setBehaviour(c.behaviour)
						for _, r := range []testRequest{{method: http.MethodPost, path: "/post/x"}, {path: "/get/x"}} {
							r.body = strings.Repeat("b", c.body)
							resp := h.send(h.t.Context(), "n1", r)
							convey.So(resp.err, convey.ShouldBeNil)
							convey.So(resp.status, convey.ShouldEqual, c.want)
							runs := h.runCount(resp.id)
							convey.So(runs, convey.ShouldBeGreaterThan, 0)
							convey.So(r.method != http.MethodPost || runs == 1, convey.ShouldBeTrue)
							if c.behaviour.FailStatus == c.want {
								convey.So(resp.header.Get(caller.Headers.Signature), convey.ShouldNotBeEmpty)
								continue
							}
							convey.So(resp.outcome, convey.ShouldEqual, caller.OutcomeUnknown)
							convey.So(resp.reason, convey.ShouldEqual, string(exchange.KindConflicting))
							convey.So(resp.header.Get(caller.Headers.Signature), convey.ShouldBeEmpty)
							convey.So(resp.header.Get("Retry-After"), convey.ShouldBeEmpty)
						}
					})
				})
			})
		}
	}
}

// TestResponsesOfOldBuildsPassedOn guards against the status of an endpoint that another node passes on as it is,
// as builds did that left the promise to the endpoint.
func TestResponsesOfOldBuildsPassedOn(t *testing.T) {
	for _, status := range []int{408, 429, 503} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			withHarness(t, func(h *harness) {
				convey.Convey("The outcome is unknown, and that of the node itself counts", t, func() {
					passOn := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						w.Header().Set(caller.Headers.Request, r.Header.Get(caller.Headers.Request))
						if r.Method == http.MethodGet {
							w.Header().Set(caller.HeaderOutcome, string(caller.OutcomeNotRun))
							w.Header().Set(caller.HeaderReason, string(ReasonBehind))
						}
						w.WriteHeader(status)
					})
					h.serve("10.0.9.9:80", passOn)
					send := func(method string) forwarded {
						resp, err := h.nodes["n1"].forwardPool.Do(h.t.Context(), exchange.Request{
							ID: "q", Method: method, URI: "/post/x", Address: "10.0.9.9:80", Deadline: time.Now().Add(time.Second),
						})
						failed, _ := err.(*exchange.Error)
						return forwardResult(&request{deadline: time.Now().Add(time.Second)}, resp, failed)
					}
					got := send(http.MethodPost)
					convey.So(got.outcome, convey.ShouldEqual, caller.OutcomeUnknown)
					convey.So(got.status, convey.ShouldEqual, http.StatusBadGateway)
					convey.So(got.isFinal(), convey.ShouldBeTrue)
					got = send(http.MethodGet)
					convey.So(got.outcome, convey.ShouldEqual, caller.OutcomeNotRun)
					convey.So(got.status, convey.ShouldEqual, status)
					convey.So(got.help, convey.ShouldEqual, reach.Busy)
				})
			})
		})
	}
}

// TestStatusOfEndpointIsLogged guards against an answer of the node's whose cause the log doesn't show.
func TestStatusOfEndpointIsLogged(t *testing.T) {
	withLoggedHarness(t, func(h *harness, out *blockingWriter) {
		convey.Convey("The line of a request has the status that was sent, and that of the endpoint", t, func() {
			h.setBehaviour(standin.Behaviour{Fail: 1, FailStatus: http.StatusServiceUnavailable})
			resp := h.send(h.t.Context(), "n1", testRequest{method: http.MethodPost, path: "/post/x"})
			time.Sleep(3 * time.Second) // until it is written
			var line struct {
				Status   int
				Outcome  caller.Outcome
				Attempts []string
			}
			for _, text := range out.lines() {
				if strings.Contains(text, `"request":"`+resp.id+`"`) {
					convey.So(json.Unmarshal([]byte(text), &line), convey.ShouldBeNil)
				}
			}
			convey.So(line.Status, convey.ShouldEqual, http.StatusBadGateway)
			convey.So(line.Outcome, convey.ShouldEqual, caller.OutcomeUnknown)
			convey.So(len(line.Attempts), convey.ShouldEqual, 1)
			convey.So(line.Attempts[0], convey.ShouldContainSubstring, "conflicting")
			convey.So(line.Attempts[0], convey.ShouldEndWith, "status 503 without Wasabiwheel-Not-Run")
		})
	})
}
