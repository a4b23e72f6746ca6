package node

import (
	"bufio"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/caller"
	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// setLimits puts limits in force in place of the harness's.
func (h *harness) setLimits(limits string) {
	h.publish([]byte(strings.Replace(string(testInventory()), "body = 1000", limits, 1)))
	time.Sleep(2 * time.Second)
}

// sendWithHeader sends a request with a header of a size in bytes, and reports whether it
// used a connection that had been used before.
func (h *harness) sendWithHeader(size int) (resp testResponse, reused bool) {
	ctx := httptrace.WithClientTrace(h.t.Context(), &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { reused = i.Reused }})
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.entry("n1").Caller+"/get/1", nil)
	if err != nil {
		h.t.Fatal(err)
	}
	req.Header.Set(caller.Headers.Request, "q")
	req.Header.Set("Filling", strings.Repeat("x", size))
	return h.do(req), reused
}

// TestChangedLimits starts with the limits of the harness: 16 KB of header, 15 s idle.
func TestChangedLimits(t *testing.T) {
	const fewBytes = 10
	cases := map[string]struct {
		before, after string
		header        int           // bytes
		unused        time.Duration // between two requests
		status        int
		kept          bool // whether the connection stays open over that time
	}{
		"idle connections are kept longer":  {before: "idle = \"1s\"", after: "idle = \"30s\"", header: fewBytes, unused: 20 * time.Second, status: http.StatusOK, kept: true},
		"idle connections are closed early": {before: "idle = \"20s\"", after: "idle = \"1s\"", header: fewBytes, unused: 10 * time.Second, status: http.StatusOK},
		"headers may be larger":             {before: "header = 4096", after: "header = 100000", header: 40 << 10, status: http.StatusOK, kept: true},
		"headers must be smaller":           {before: "header = 100000", after: "header = 4096", header: 12 << 10, status: http.StatusRequestHeaderFieldsTooLarge},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				convey.Convey("They apply to connections that are opened afterwards; earlier ones are closed with a response", t, func() {
					h.setLimits(c.before)
					resp, _ := h.sendWithHeader(fewBytes)
					convey.So(resp.status, convey.ShouldEqual, http.StatusOK)
					h.setLimits(c.after)
					h.transport.CloseIdleConnections() // some may already be closed
					resp, _ = h.sendWithHeader(c.header)
					convey.So(resp.status, convey.ShouldEqual, c.status)
					time.Sleep(c.unused)
					resp, reused := h.sendWithHeader(c.header)
					convey.So(resp.status, convey.ShouldEqual, c.status)
					convey.So(reused, convey.ShouldEqual, c.kept)
				})
			})
		})
	}
}

func TestConnectionsOpenedBeforeChangedLimits(t *testing.T) {
	withHarness(t, func(h *harness) {
		convey.Convey("They serve one more request and are closed", t, func() {
			h.setLimits("idle = \"20s\"")
			resp, _ := h.sendWithHeader(0)
			convey.So(resp.closed, convey.ShouldBeFalse)
			h.setLimits("idle = \"10s\"")
			resp, reused := h.sendWithHeader(0)
			convey.So(resp.status, convey.ShouldEqual, http.StatusOK)
			convey.So(reused, convey.ShouldBeTrue)
			convey.So(resp.closed, convey.ShouldBeTrue)
			resp, reused = h.sendWithHeader(0)
			convey.So(resp.status, convey.ShouldEqual, http.StatusOK)
			convey.So(reused, convey.ShouldBeFalse)
			convey.So(resp.closed, convey.ShouldBeFalse)
		})
	})
}

// lateListener is a listener that returns a connection when it is closed.
type lateListener struct {
	conn   chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *lateListener) Accept() (net.Conn, error) {
	<-l.closed
	if c, ok := <-l.conn; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

func (l *lateListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *lateListener) Addr() net.Addr { return &net.TCPAddr{} }

func TestConnectionAcceptedDuringCloseIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("A connection that is accepted while the listener is closed gets a response", t, func() {
			for range 100 {
				near, far := net.Pipe()
				l := &lateListener{conn: make(chan net.Conn, 1), closed: make(chan struct{})}
				l.conn <- far
				close(l.conn)
				var limits atomic.Pointer[inventory.Limits]
				limits.Store(&inventory.Limits{})
				srv := newRequestServer(l, http.NotFoundHandler(), &limits)
				srv.applyLimits()
				go srv.accept()
				ended := make(chan error)
				go func() { ended <- srv.shutdown(t.Context()) }()
				_, err := near.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
				convey.So(err, convey.ShouldBeNil)
				resp, err := http.ReadResponse(bufio.NewReader(near), nil)
				convey.So(err, convey.ShouldBeNil)
				convey.So(resp.StatusCode, convey.ShouldEqual, http.StatusNotFound)
				_ = near.Close()
				convey.So(<-ended, convey.ShouldBeNil)
			}
		})
	})
}

// TestRequestsDuringShutdown has callers send requests after the shutdown has begun.
func TestRequestsDuringShutdown(t *testing.T) {
	cases := map[string]struct {
		before string        // what the caller sends before the shutdown
		after  time.Duration // time from the shutdown until the rest of the request
		served bool
	}{
		"on a new connection":           {after: 400 * time.Millisecond, served: true},
		"on a connection in use":        {before: requestText, after: 400 * time.Millisecond, served: true},
		"after half of the header":      {before: requestText[:20], after: 400 * time.Millisecond, served: true},
		"too late on a new connection":  {after: 600 * time.Millisecond},
		"too late on a used connection": {before: requestText, after: 600 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				convey.Convey("They are served if they arrive within idleDrainTime", t, func() {
					near, far := net.Pipe()
					l := &lateListener{conn: make(chan net.Conn, 1), closed: make(chan struct{})}
					var limits atomic.Pointer[inventory.Limits]
					limits.Store(&inventory.Limits{HeaderTimeout: inventory.Duration{Duration: 3 * time.Second}, IdleTimeout: inventory.Duration{Duration: 15 * time.Second}})
					work := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(time.Second) })
					srv := newRequestServer(l, work, &limits)
					srv.applyLimits()
					srv.mu.Lock()
					s := srv.servers[0]
					srv.mu.Unlock()
					s.openConns.Add(1)
					s.conns <- far
					go srv.accept()
					close(l.conn)
					responses := bufio.NewReader(near)
					_, err := near.Write([]byte(c.before))
					convey.So(err, convey.ShouldBeNil)
					if c.before == requestText {
						_, err := http.ReadResponse(responses, nil)
						convey.So(err, convey.ShouldBeNil)
					}
					ended := make(chan error, 1)
					go func() { ended <- srv.shutdown(t.Context()) }()
					time.Sleep(c.after)
					rest := requestText
					if c.before != requestText {
						rest = strings.TrimPrefix(requestText, c.before)
					}
					go func() { _, _ = near.Write([]byte(rest)) }() // fails if the connection has been closed
					_, err = http.ReadResponse(responses, nil)
					convey.So(err == nil, convey.ShouldEqual, c.served)
					convey.So(<-ended, convey.ShouldBeNil)
					_ = near.Close()
				})
			})
		})
	}
}

const requestText = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
