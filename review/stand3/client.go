//go:build review

package main

// Stand-ins of clients.

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client gets; Status is 0 if it gets none.
type answer struct {
	Status    int
	Signature string
	Body      string
	Close     bool
	Err       error
}

// String formats the answer for the record.
func (a answer) String() string {
	if a.Err != nil {
		return fmt.Sprintf("no answer: %v", a.Err)
	}
	return fmt.Sprintf("%d, signature %q, %d bytes", a.Status, a.Signature, len(a.Body))
}

// newID returns the id of an attempt.
func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// ask sends one request on a connection of its own and returns the answer.
func (d *deployment) ask(front, method, path, id, body string, budget time.Duration) answer {
	d.note("sent", "%s %s %s", id, method, path)
	a := ask(front, method, path, id, body, budget)
	d.note("answer", "%s %s", id, a)
	return a
}

func ask(front, method, path, id, body string, budget time.Duration) answer {
	c, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return answer{Err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(budget + time.Second)) // fails only on a closed connection
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nCookie: Affinity-Key=%s\r\n", method, path, host, id, budget.Milliseconds(), id)
	if body != "" {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
	}
	head.WriteString("\r\n" + body)
	if _, err := io.WriteString(c, head.String()); err != nil {
		return answer{Err: err}
	}
	return readAnswer(bufio.NewReader(c), method)
}

// readAnswer reads one answer.
func readAnswer(r *bufio.Reader, method string) answer {
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return answer{Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{Err: err}
	}
	return answer{Status: resp.StatusCode, Close: resp.Close, Signature: resp.Header.Get("Response-Signature"), Body: string(data)}
}
