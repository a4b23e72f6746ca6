package caller

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// newScriptedEntry returns the address of an entry VM that sends a text in response to each
// request, and closes the connection.
func newScriptedEntry(t *testing.T, text string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // closed
			}
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, text)
			}
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

// TestIncompleteRepliesAreErrors guards against part of a response that is returned as all of it,
// and against values that no entry VM sends.
func TestIncompleteRepliesAreErrors(t *testing.T) {
	cases := map[string]struct {
		response string
		complete bool
	}{
		"length":             {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true},
		"chunks":             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true},
		"no content":         {"HTTP/1.1 204 No Content\r\n\r\n", true},
		"cut":                {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", false},
		"no length":          {"HTTP/1.1 200 OK\r\n\r\nok", false},
		"no length, nothing": {"HTTP/1.1 200 OK\r\n\r\n", false},
		"space before colon": {"HTTP/1.1 200 OK\r\nContent-Length : 1\r\n\r\nok", false},
		"space in a name":    {"HTTP/1.1 200 OK\r\nBad Name: 1\r\nContent-Length: 2\r\n\r\nok", false},
		"status 050":         {"HTTP/1.1 050 X\r\nContent-Length: 2\r\n\r\nok", false},
		"status 999":         {"HTTP/1.1 999 X\r\nContent-Length: 2\r\n\r\nok", false},
		"too long":           {"HTTP/1.1 200 OK\r\nContent-Length: 16777217\r\n\r\n" + strings.Repeat("x", maxReply+1), false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("A call returns a complete response or an error", t, func() {
				address := newScriptedEntry(t, c.response)
				client := New(Options{})
				_, err := client.CallAt(t.Context(), address, Operation{Method: http.MethodPost, Path: "/a", Body: []byte("x")})
				convey.So(err == nil, convey.ShouldEqual, c.complete)
			})
		})
	}
}

// TestIncompleteLookups guards against part of a list of entry VMs that is taken for all of it.
func TestIncompleteLookups(t *testing.T) {
	const found = `{"entries":["a:1"],"ttl":2}`
	cases := map[string]struct {
		response string
		complete bool
	}{
		"length":    {"HTTP/1.1 200 OK\r\nContent-Length: 27\r\n\r\n" + found, true},
		"no length": {"HTTP/1.1 200 OK\r\n\r\n" + found, false},
		"more":      {"HTTP/1.1 200 OK\r\nContent-Length: 28\r\n\r\n" + found + "}", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("A lookup returns a complete response or an error", t, func() {
				_, err := New(Options{Nodes: []string{newScriptedEntry(t, c.response)}}).Lookup(t.Context())
				convey.So(err == nil, convey.ShouldEqual, c.complete)
			})
		})
	}
}

// TestRetryAfterOfReplies guards against delays that don't fit a time.Duration, whose conversion
// depends on the kind of machine.
func TestRetryAfterOfReplies(t *testing.T) {
	for text, want := range map[string]float64{"0.25": 0.25, "-1": 0, "NaN": 0, "Inf": 0, "1e300": 0, "soon": 0} {
		t.Run(text, func(t *testing.T) {
			convey.Convey("They count as none", t, func() {
				r := Reply{Header: http.Header{HeaderOutcome: {string(OutcomeNotRun)}, "Retry-After": {text}}}
				r.readOutcome()
				convey.So(r.RetryAfter.Seconds(), convey.ShouldEqual, want)
			})
		})
	}
}

// TestOutcomeOfReplies guards against a status that means "not run" of which no node says so.
func TestOutcomeOfReplies(t *testing.T) {
	cases := map[string]struct {
		response string
		want     Outcome
	}{
		"endpoint":            {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", OutcomeRan},
		"endpoint's failure":  {"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", OutcomeRan},
		"408 of nobody":       {"HTTP/1.1 408 Late\r\nContent-Length: 0\r\n\r\n", OutcomeUnknown},
		"421 of nobody":       {"HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n", OutcomeUnknown},
		"429 of nobody":       {"HTTP/1.1 429 Many\r\nContent-Length: 0\r\n\r\n", OutcomeUnknown},
		"503 of nobody":       {"HTTP/1.1 503 Busy\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n", OutcomeUnknown},
		"503 of a node":       {"HTTP/1.1 503 Busy\r\nWasabiwheel-Outcome: not-run\r\nContent-Length: 0\r\n\r\n", OutcomeNotRun},
		"502 of a node":       {"HTTP/1.1 502 Bad\r\nWasabiwheel-Outcome: unknown\r\nContent-Length: 0\r\n\r\n", OutcomeUnknown},
		"endpoint's redirect": {"HTTP/1.1 304 Same\r\n\r\n", OutcomeRan},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("It is unknown", t, func() {
				r, err := New(Options{}).CallAt(t.Context(), newScriptedEntry(t, c.response), Operation{Method: http.MethodPost, Path: "/a", Body: []byte("x")})
				convey.So(err, convey.ShouldBeNil)
				convey.So(r.Outcome, convey.ShouldEqual, c.want)
			})
		})
	}
}
