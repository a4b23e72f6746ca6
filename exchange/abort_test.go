package exchange_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/exchange"
)

// slowReader accepts connections and reads nothing until read is closed. It then sends what it could
// read of each connection to received.
type slowReader struct {
	net.Listener
	read     chan struct{}
	received chan string
}

func newSlowReader(t *testing.T) *slowReader {
	// A small receive buffer leaves the rest of a request in the sender's kernel.
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 2<<10)
		})
		if err != nil {
			return err
		}
		return failed
	}}
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &slowReader{Listener: l, read: make(chan struct{}), received: make(chan string, 1)}
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		<-s.read
		text, _ := io.ReadAll(c) // fails if the sender resets the connection
		s.received <- string(text)
	}()
	return s
}

// TestGivenUpRequestIsNotSentLater guards against a request that reaches an endpoint seconds after it was
// given up, since the kernel goes on sending what was written to a connection that is closed in order.
func TestGivenUpRequestIsNotSentLater(t *testing.T) {
	const end = "the end of the request"
	cases := map[string]struct {
		length   int64
		deadline time.Duration // 0: the caller cancels
	}{
		"canceled by the caller": {length: 12 << 10},
		"canceled, in chunks":    {length: -1},
		"timed out":              {length: 12 << 10, deadline: 500 * time.Millisecond},
		"timed out, in chunks":   {length: -1, deadline: 500 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The endpoint never gets the whole of it", t, func() {
				s := newSlowReader(t)
				p := exchange.New(exchange.Options{HeaderNames: headerNames})
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				deadline := time.Now().Add(time.Minute)
				if c.deadline > 0 {
					deadline = time.Now().Add(c.deadline)
				} else {
					time.AfterFunc(500*time.Millisecond, cancel)
				}
				text := strings.Repeat("x", 12<<10-len(end)) + end
				_, err := p.Do(ctx, exchange.Request{ID: "q", Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{},
					Body:     exchange.Body{Reader: strings.NewReader(text), Length: c.length},
					Endpoint: "e", Address: s.Addr().String(), Deadline: deadline})
				convey.So(err, convey.ShouldNotBeNil)
				convey.So(exchange.NotRun(err), convey.ShouldBeFalse)
				close(s.read)
				convey.So(<-s.received, convey.ShouldNotContainSubstring, end)
			})
		})
	}
}
