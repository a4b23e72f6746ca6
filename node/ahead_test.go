package node

// Requests that callers send before the first response.

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// aheadServer serves requests on a loopback socket. A request for /slow is answered when
// release is closed; each response repeats the path and the body of its request.
type aheadServer struct {
	*requestServer
	t       *testing.T
	limits  atomic.Pointer[inventory.Limits]
	release chan struct{}
	started chan string   // paths of the requests that the handler gets
	left    chan struct{} // closed when the context of a request for /slow ends
	leaving atomic.Bool

	mu     sync.Mutex
	served []string // paths of the requests that were served for a caller that is still there
}

func newAheadServer(t *testing.T) *aheadServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &aheadServer{t: t, release: make(chan struct{}), started: make(chan string, 1000), left: make(chan struct{})}
	s.limits.Store(&inventory.Limits{MaxHeaderBytes: 4 << 10, HeaderTimeout: inventory.Duration{Duration: 3 * time.Second}, IdleTimeout: inventory.Duration{Duration: 15 * time.Second}})
	s.requestServer = newRequestServer(listener, s, &s.limits)
	s.applyLimits()
	go s.accept()
	t.Cleanup(s.closeAll)
	return s
}

func (s *aheadServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.started <- r.URL.Path
	body, err := io.ReadAll(r.Body)
	if err != nil {
		s.t.Error(err)
	}
	if r.URL.Path == "/slow" {
		select {
		case <-s.release:
		case <-r.Context().Done():
			close(s.left)
		}
	}
	if r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	s.served = append(s.served, r.URL.Path)
	s.mu.Unlock()
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	_, _ = fmt.Fprintf(w, "%s %s", r.URL.Path, body)
}

func (s *aheadServer) servedPaths() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.served, " ")
}

// dial opens a connection and sends a request for /slow, and then text.
func (s *aheadServer) dial(text string) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	s.write(conn, getRequest("/slow"))
	if path := <-s.started; path != "/slow" {
		s.t.Fatal(path)
	}
	s.write(conn, text)
	return conn, bufio.NewReader(conn)
}

func (s *aheadServer) write(conn net.Conn, text string) {
	if _, err := io.WriteString(conn, text); err != nil {
		s.t.Fatal(err)
	}
}

func getRequest(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n" }

func postRequest(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

// readResponses returns the statuses and bodies of all responses on a connection until it
// ends, or until there are count.
func readResponses(r *bufio.Reader, count int) (responses []string, err error) {
	for range count {
		if _, err := r.Peek(1); err != nil {
			return responses, err
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return responses, err
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return responses, err
		}
		responses = append(responses, fmt.Sprintf("%d %s", resp.StatusCode, strings.TrimSpace(string(body))))
	}
	return responses, nil
}

func TestRequestsSentAhead(t *testing.T) {
	const closed = "closed" // the connection ends without another response
	cases := map[string]struct {
		text      string // behind the request for /slow
		leaving   bool   // the server stops before it answers /slow
		reload    bool   // other limits come in force before it answers /slow
		responses []string
		served    string
	}{
		"several": {
			text:      getRequest("/1") + getRequest("/2") + getRequest("/3"),
			responses: []string{"200 /slow", "200 /1", "200 /2", "200 /3"},
			served:    "/slow /1 /2 /3",
		},
		"with a body among them": {
			text:      getRequest("/1") + postRequest("/2", "GET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n") + getRequest("/3"),
			responses: []string{"200 /slow", "200 /1", "200 /2 GET /smuggled HTTP/1.1\r\nHost: x", "200 /3"},
			served:    "/slow /1 /2 /3",
		},
		"malformed in the middle": {
			text:      getRequest("/1") + "no request\r\n\r\n" + getRequest("/3"),
			responses: []string{"200 /slow", "200 /1", "400 400 Bad Request", closed},
			served:    "/slow /1",
		},
		"oversized in the middle": {
			text:      getRequest("/1") + "GET /2 HTTP/1.1\r\nHost: x\r\nFilling: " + strings.Repeat("x", 12<<10) + "\r\n\r\n" + getRequest("/3"),
			responses: []string{"200 /slow", "200 /1", "431 431 Request Header Fields Too Large", closed},
			served:    "/slow /1",
		},
		"during a stop": {
			text:      getRequest("/1") + getRequest("/2"),
			leaving:   true,
			responses: []string{"200 /slow", closed},
			served:    "/slow",
		},
		"during a reload": {
			text:      getRequest("/1") + getRequest("/2"),
			reload:    true,
			responses: []string{"200 /slow", "200 /1", closed}, // the first had begun
			served:    "/slow /1",
		},
		"more than is read ahead, during a stop": {
			text:      strings.Repeat(getRequest("/1"), 2*maxReadAhead/len(getRequest("/1"))),
			leaving:   true,
			responses: []string{"200 /slow", closed},
			served:    "/slow",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("They are answered in order, each as a whole, until a response closes the connection", t, func() {
				s := newAheadServer(t)
				_, reader := s.dial(c.text)
				s.leaving.Store(c.leaving)
				if c.reload {
					s.limits.Store(&inventory.Limits{MaxHeaderBytes: 8 << 10})
					s.applyLimits()
				}
				close(s.release)
				responses, err := readResponses(reader, len(c.responses))
				if err != nil {
					convey.So(err, convey.ShouldEqual, io.EOF) // not a reset
					responses = append(responses, closed)
				}
				convey.So(responses, convey.ShouldResemble, c.responses)
				convey.So(s.servedPaths(), convey.ShouldEqual, c.served)
			})
		})
	}
}

// TestResponseIsNotLostToReset sends requests ahead at any moment around a response that
// closes the connection.
func TestResponseIsNotLostToReset(t *testing.T) {
	convey.Convey("The response arrives as a whole whenever further requests arrive", t, func() {
		for range 50 {
			s := newAheadServer(t)
			s.leaving.Store(true)
			conn, reader := s.dial("")
			go close(s.release)
			for range 200 {
				if _, err := io.WriteString(conn, getRequest("/1")); err != nil {
					break // the server has given up reading
				}
			}
			responses, err := readResponses(reader, 1)
			convey.So(err, convey.ShouldBeNil)
			convey.So(responses, convey.ShouldResemble, []string{"200 /slow"})
			convey.So(s.servedPaths(), convey.ShouldEqual, "/slow")
		}
	})
}

func TestCallerLeavesAfterSendingAhead(t *testing.T) {
	convey.Convey("All requests are canceled, those behind the first are not served", t, func() {
		s := newAheadServer(t)
		conn, _ := s.dial(getRequest("/1") + getRequest("/2"))
		convey.So(conn.Close(), convey.ShouldBeNil)
		select {
		case <-s.left:
		case <-time.After(5 * time.Second):
			t.Fatal("the first request is not canceled")
		}
		for s.servers[0].openConns.Load() > 0 {
			runtime.Gosched()
		}
		convey.So(s.servedPaths(), convey.ShouldEqual, "")
	})
}

func TestReadAheadIsBounded(t *testing.T) {
	convey.Convey("A caller that sends requests without end is not read beyond the bound", t, func() {
		near, far := net.Pipe()
		c := &callerConn{Conn: far, received: true, aborting: new(atomic.Bool)}
		c.serving.Store(true)
		done := make(chan int, 1)
		go func() {
			n, _ := c.Read(make([]byte, 1))
			done <- n
		}()
		sent := 0
		for sent < maxReadAhead {
			n, err := near.Write([]byte(getRequest("/1")))
			convey.So(err, convey.ShouldBeNil)
			sent += n
			if len(done) > 0 {
				break
			}
		}
		convey.So(<-done, convey.ShouldEqual, 1)
		convey.So(len(c.ahead), convey.ShouldBeLessThan, maxReadAhead+readAheadChunk)
		_ = near.Close()
	})
}
