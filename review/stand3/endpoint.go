//go:build review

package main

// Stand-ins of endpoints. What one does with a request is up to the case.

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// endpoint is a stand-in that registers itself in the store.
type endpoint struct {
	*deployment
	id       string
	service  string
	zone     string
	slots    int
	listener net.Listener
	born     int64
	serve    func(e *endpoint, c *endpointConn, r *received)

	running atomic.Int64
	beat    atomic.Int64

	mu    sync.Mutex
	state string // "": it does not register
}

// endpointConn is a connection of a node.
type endpointConn struct {
	net.Conn
	mu sync.Mutex // writes of whole responses
}

// received is a request that an endpoint has received.
type received struct {
	*http.Request
	body []byte
	at   time.Time
	conn int64
}

func (r *received) id() string { return r.Header.Get("Request-Id") }

// startEndpoint starts an endpoint and registers it.
func (d *deployment) startEndpoint(id, service, zone string, serve func(*endpoint, *endpointConn, *received)) (*endpoint, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{deployment: d, id: id, service: service, zone: zone, slots: 3, listener: l, born: time.Now().Add(-time.Minute).UnixMilli(), serve: serve, state: "ready"}
	e.register()
	go e.accept()
	go func() {
		for range time.Tick(beatTime) {
			e.register()
		}
	}()
	return e, nil
}

// setSlots sets how many requests the endpoint runs at once.
func (e *endpoint) setSlots(slots int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slots = slots
}

// register writes the endpoint's entry.
func (e *endpoint) register() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state == "" {
		return
	}
	e.store.put("servers", e.id, map[string]any{
		"Address": e.listener.Addr().String(), "born": e.born,
		"Info":   map[string]any{"Service": e.service, "ConfigVersion": "1", "Zone": e.zone, "Slots": e.slots},
		"Status": map[string]any{"State": e.state, "Seq": e.beat.Add(1), "ColdLeftS": 0},
	})
}

func (e *endpoint) accept() {
	for number := int64(1); ; number++ {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.handle(&endpointConn{Conn: c}, number)
	}
}

// handle serves the requests of a connection one at a time.
func (e *endpoint) handle(c *endpointConn, number int64) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		e.serve(e, c, &received{Request: req, body: body, at: time.Now(), conn: number})
	}
}

// run runs a request and answers it.
func (e *endpoint) run(c *endpointConn, r *received, work time.Duration) {
	e.running.Add(1)
	e.note("run", "%s runs %s, connection %d", e.id, r.id(), r.conn)
	time.Sleep(work)
	e.running.Add(-1)
	c.send(e.response(r, "200 OK", "Response-Signature: 3e1b.07.5a2."+r.id()+"\r\n", "answer to "+r.id()))
}

// response returns the bytes of a response. All name the load.
func (e *endpoint) response(r *received, status, fields, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nRequest-Id: %s\r\nServer-Load: %d,0,%d\r\n%sContent-Length: %d\r\n\r\n%s", status, r.id(), e.running.Load(), e.slots, fields, len(body), body)
}

// send writes the bytes of a response at once.
func (c *endpointConn) send(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = io.WriteString(c.Conn, text) // the node may have closed the connection
}
