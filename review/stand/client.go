//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// connectTime is what a client allows for a new connection.
const connectTime = time.Second

// request is one client attempt.
type request struct {
	id, method, host, path string
	object                 string // value of the cookie Affinity-Key; "": none
	budget                 time.Duration
	body                   []byte
}

// newID returns the id of a client attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// answer is what a client got; status is 0 if it got no complete answer.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
	took   time.Duration
}

// client is one connection of a client, which it keeps.
type client struct {
	net.Conn
	in *bufio.Reader
}

func dial(address string) (*client, error) {
	c, err := net.DialTimeout("tcp", address, connectTime)
	if err != nil {
		return nil, err
	}
	return &client{Conn: c, in: bufio.NewReader(c)}, nil
}

// do sends a request and waits for its answer until the time budget has passed.
func (c *client) do(q request) answer {
	began := time.Now()
	_ = c.SetDeadline(began.Add(q.budget))
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", q.method, q.path, q.host, headerRequest, q.id, headerDeadline, q.budget.Milliseconds())
	if q.object != "" {
		fmt.Fprintf(&head, "Cookie: Affinity-Key=%s\r\n", q.object)
	}
	if q.method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(q.body))
	}
	head.WriteString("\r\n")
	if _, err := c.Write(append([]byte(head.String()), q.body...)); err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	resp, err := http.ReadResponse(c.in, &http.Request{Method: q.method})
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	var body bytes.Buffer
	if _, err := io.Copy(&body, resp.Body); err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	if resp.Close {
		_ = c.Close()
	}
	return answer{status: resp.StatusCode, header: resp.Header, body: body.Bytes(), took: time.Since(began)}
}

// text formats an answer for the record.
func (a answer) text() string {
	if a.err != nil {
		return fmt.Sprintf("no answer after %.3f s: %v", a.took.Seconds(), a.err)
	}
	return fmt.Sprintf("%d after %.3f s signature=%q reason=%q", a.status, a.took.Seconds(), a.header.Get(headerSignature), a.header.Get("Retry-After"))
}
