//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval  = 1500 * time.Millisecond // HeartbeatS
	endpointIdleTime   = 10 * time.Second
	endpointQueue      = 9
	headerRequest      = "Request-Id"
	headerDeadline     = "Deadline-Ms"
	headerInstance     = "Target-Instance"
	headerNotExecuted  = "Not-Executed"
	headerSignature    = "Response-Signature"
	headerLoad         = "Server-Load"
	headerInstanceSelf = "Instance-Id"
)

// endpoint is a stand-in of a server, by PROTOCOL.md: it checks the instance, runs as many
// requests as it has slots, queues a few, and rejects the rest.
type endpoint struct {
	id, service, zone string
	slots             int
	work              func(*http.Request) time.Duration
	record            *record

	listener net.Listener
	mu       sync.Mutex
	running  int
	waiting  int
	free     *sync.Cond
}

// start serves and registers the endpoint.
func (e *endpoint) start(s *store, ip string, born time.Time) error {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return err
	}
	e.listener, e.free = l, sync.NewCond(&e.mu)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	go func() {
		for seq := 1; ; seq++ {
			s.put("servers", e.id, map[string]any{
				"Address": l.Addr().String(), "born": born.UnixMilli(),
				"Info":   map[string]any{"Service": e.service, "ConfigVersion": "v1", "Zone": e.zone, "Slots": e.slots},
				"Status": map[string]any{"State": "ready", "Seq": seq, "ColdLeftS": 0},
			})
			time.Sleep(heartbeatInterval)
		}
	}()
	return nil
}

// serve handles the requests of a connection one after the other.
func (e *endpoint) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(endpointIdleTime))
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		received := time.Now()
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		if _, err := io.WriteString(c, e.handle(r, received)); err != nil {
			return
		}
	}
}

// handle runs or rejects a request and returns the answer.
func (e *endpoint) handle(r *http.Request, received time.Time) string {
	id := r.Header.Get(headerRequest)
	if want := r.Header.Get(headerInstance); want != "" && want != e.id {
		return e.answer(421, id, headerInstanceSelf+": "+e.id+"\r\n", "")
	}
	if id == "" {
		return e.answer(400, id, headerNotExecuted+": 1\r\n", "")
	}
	budget := time.Hour
	if ms, err := strconv.Atoi(r.Header.Get(headerDeadline)); err == nil {
		budget = time.Duration(ms) * time.Millisecond
	}
	if !e.enter() {
		e.record.line("rejected endpoint=%s request=%s full", e.id, id)
		return e.answer(503, id, headerNotExecuted+": 1\r\n", "")
	}
	defer e.leave()
	if time.Since(received) >= budget {
		return e.answer(503, id, headerNotExecuted+": 1\r\n", "")
	}
	e.record.ran(e, r)
	work := e.work(r)
	if left := budget - time.Since(received); work > left {
		time.Sleep(left)
		return e.answer(504, id, headerSignature+": "+e.id+"."+id+"\r\n", "")
	}
	time.Sleep(work)
	return e.answer(200, id, headerSignature+": "+e.id+"."+id+"\r\n", "ran "+id+" at "+e.id)
}

// enter waits for a slot; it reports false if the queue is full.
func (e *endpoint) enter() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running >= e.slots && e.waiting >= endpointQueue {
		return false
	}
	e.waiting++
	for e.running >= e.slots {
		e.free.Wait()
	}
	e.waiting--
	e.running++
	return true
}

func (e *endpoint) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.free.Signal()
}

func (e *endpoint) answer(status int, id, header, body string) string {
	e.mu.Lock()
	load := fmt.Sprintf("%d,%d,%d", e.running, e.waiting, e.slots)
	e.mu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", headerRequest, id)
	}
	fmt.Fprintf(&b, "%s: %s\r\n%sContent-Length: %d\r\nKeep-Alive: timeout=%d\r\n\r\n%s", headerLoad, load, header, len(body), int(endpointIdleTime.Seconds()), body)
	return b.String()
}
