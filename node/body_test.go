package node

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/caller"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

// stalledBody is a body that stalls after a part of it, until it is released.
type stalledBody struct {
	part    io.Reader
	release <-chan struct{}
}

// Read reads the part, then blocks.
func (s stalledBody) Read(p []byte) (int, error) {
	n, err := s.part.Read(p)
	if err == io.EOF {
		<-s.release
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// TestStalledRequestBodies has callers stall in the middle of a body. The response must
// come within the route's timeout of 2 s.
func TestStalledRequestBodies(t *testing.T) {
	const (
		short = 100
		long  = 4 * maxBufferedBody
	)
	cases := map[string]struct {
		length, sent int
		behaviour    standin.Behaviour
		status       int
		outcome      caller.Outcome
		within       time.Duration
		arrived      int // requests at endpoints
	}{
		"a short body":                   {length: short, sent: short / 2, status: http.StatusRequestTimeout, outcome: caller.OutcomeNotRun, within: 2200 * time.Millisecond},
		"a short body of unknown length": {length: -1, sent: short / 2, status: http.StatusRequestTimeout, outcome: caller.OutcomeNotRun, within: 2200 * time.Millisecond},
		"a long body":                    {length: long, sent: long / 2, status: http.StatusBadGateway, outcome: caller.OutcomeUnknown, within: 2200 * time.Millisecond, arrived: 1},
		"a long body, early response":    {length: long, sent: long / 2, behaviour: standin.Behaviour{Early: true}, status: http.StatusOK, outcome: caller.OutcomeRan, within: 300 * time.Millisecond, arrived: 1},
		"a long body, rejected":          {length: long, sent: long / 2, behaviour: standin.Behaviour{Shed: true}, status: http.StatusServiceUnavailable, outcome: caller.OutcomeNotRun, within: 300 * time.Millisecond, arrived: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				convey.Convey("The response comes within the route's timeout", t, func() {
					h.publish([]byte(strings.Replace(string(testInventory()), "body = 1000", "body = 10000000", 1)))
					time.Sleep(2 * time.Second)
					h.setBehaviour(c.behaviour)
					before := h.arrivals("")
					release := make(chan struct{})
					defer close(release)
					body := stalledBody{bytes.NewReader(make([]byte, c.sent)), release}
					ctx, cancel := context.WithTimeout(h.t.Context(), 10*time.Second)
					defer cancel()
					req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.entry("n1").Caller+"/post/1", body)
					convey.So(err, convey.ShouldBeNil)
					req.ContentLength = int64(c.length)
					req.Header.Set(caller.Headers.Request, "q")
					resp := h.do(req)
					convey.So(resp.err, convey.ShouldBeNil)
					convey.So(resp.status, convey.ShouldEqual, c.status)
					convey.So(resp.outcome, convey.ShouldEqual, c.outcome)
					convey.So(resp.took, convey.ShouldBeLessThan, c.within)
					convey.So(h.arrivals("")-before, convey.ShouldEqual, c.arrived)
				})
			})
		})
	}
}
