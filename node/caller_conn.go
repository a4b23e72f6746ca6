package node

// A caller's connection before its first request. net/http bounds the time from opening a
// connection to the end of the first header by the limit for headers. Clients open
// connections that they use only later, if at all, and expect them to stay open like any
// idle connection; a request that is sent as the server closes one is lost. A connection is
// therefore idle until its first byte arrives, and the limit for headers applies from there.

import (
	"net"
	"sync"
	"time"
)

// callerConn is a connection of a caller. Only one goroutine reads at a time.
type callerConn struct {
	net.Conn
	idle   time.Duration // limit until the first byte; 0: none
	header time.Duration // limit from the first byte to the end of the first header; 0: none

	received bool // whether a byte has arrived; used by the reader only

	mu       sync.Mutex
	draining bool // a drain deadline is in force, which the limits must not extend
}

func (c *callerConn) Read(p []byte) (int, error) {
	if c.received {
		return c.Conn.Read(p)
	}
	c.limitRead(c.idle)
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.received = true
		c.limitRead(c.header)
	}
	return n, err
}

// limitRead sets the time until which reads may block, unless a drain deadline is in force.
func (c *callerConn) limitRead(limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining {
		return
	}
	deadline := time.Time{}
	if limit > 0 {
		deadline = time.Now().Add(limit)
	}
	_ = c.SetReadDeadline(deadline) // fails only if the connection is closed
}

// setDrainDeadline closes the connection for reads unless a request arrives before t.
func (c *callerConn) setDrainDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	_ = c.SetReadDeadline(t) // fails only if the connection is closed
}

// endDrainDeadline lifts the drain deadline, since a request has arrived.
func (c *callerConn) endDrainDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = false
	_ = c.SetReadDeadline(time.Time{}) // fails only if the connection is closed
}
