package caller

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// closingServer is an entry VM that responds to the first request of its first
// connection, and closes each connection after it has read another request.
type closingServer struct {
	listener net.Listener
	requests atomic.Int64
}

func newClosingServer(t *testing.T) *closingServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &closingServer{listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // closed
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *closingServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return // the client closed it
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if s.requests.Add(1) > 1 {
			return
		}
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}

// TestCallAtSendsOnce guards against implicit retries by net/http. An entry VM closes
// a reused connection after it has read a request; net/http would send it again.
func TestCallAtSendsOnce(t *testing.T) {
	cases := map[string]Operation{
		"get, no body":    {Method: http.MethodGet, Path: "/a", Idempotent: true},
		"get with body":   {Method: http.MethodGet, Path: "/a", Body: []byte("x"), Idempotent: true},
		"head":            {Method: http.MethodHead, Path: "/a", Idempotent: true},
		"options":         {Method: http.MethodOptions, Path: "/a", Idempotent: true},
		"change":          {Method: http.MethodPost, Path: "/a", Body: []byte("x")},
		"change, no body": {Method: http.MethodPost, Path: "/a"},
		"put, no body":    {Method: http.MethodPut, Path: "/a", Idempotent: true},
		"put with body":   {Method: http.MethodPut, Path: "/a", Body: []byte("x"), Idempotent: true},
	}
	for name, op := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The request arrives once", t, func() {
				s := newClosingServer(t)
				transport := &http.Transport{}
				defer transport.CloseIdleConnections()
				c := New(Options{HTTP: &http.Client{Transport: transport}})
				address := s.listener.Addr().String()
				_, err := c.CallAt(t.Context(), address, Operation{Method: http.MethodGet, Path: "/first"})
				convey.So(err, convey.ShouldBeNil)
				_, err = c.CallAt(t.Context(), address, op)
				convey.So(err, convey.ShouldNotBeNil)
				convey.So(s.requests.Load(), convey.ShouldEqual, 2)
			})
		})
	}
}

// TestCallerThatGivesUpBlamesNoAddress cancels a call and a lookup that wait for a response.
func TestCallerThatGivesUpBlamesNoAddress(t *testing.T) {
	cases := map[string]struct {
		cached bool // the entry VMs are known, so that the call waits, not the lookup
	}{
		"during the call":   {cached: true},
		"during the lookup": {},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The address is not avoided afterwards", t, func() {
				release := make(chan struct{})
				defer close(release)
				waiting := make(chan struct{}, 1)
				l, err := net.Listen("tcp", "127.0.0.1:0")
				convey.So(err, convey.ShouldBeNil)
				defer func() { _ = l.Close() }()
				go func() {
					_ = http.Serve(l, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
						waiting <- struct{}{}
						<-release
					}))
				}()
				address := l.Addr().String()
				client := New(Options{Nodes: []string{address}})
				if c.cached {
					client.store(LookupResponse{Entries: []string{address}, TTL: 60})
				}
				ctx, cancel := context.WithCancel(t.Context())
				go func() {
					<-waiting
					cancel()
				}()
				_, err = client.Call(ctx, Operation{Method: http.MethodGet, Path: "/", Idempotent: true})
				convey.So(err, convey.ShouldNotBeNil)
				convey.So(client.failedUntil, convey.ShouldBeEmpty)
			})
		})
	}
}
