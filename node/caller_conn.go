package node

// A caller's connection, with what net/http leaves open:
//
//   - net/http bounds the time from opening a connection to the end of the first header by
//     the limit for headers. Clients open connections that they use only later, and expect
//     them to stay open like any idle connection; a request that is sent as the server
//     closes one is lost. A connection is therefore idle until its first byte arrives.
//   - Clients may send further requests before the first response. net/http serves them
//     one after the other, but stops watching the connection when the first byte of the
//     next request arrives, so that it would still serve requests of a caller that has left.
//   - The kernel resets a connection that is closed with unread bytes, such as requests
//     behind a response that closes the connection, and the response may be lost with it.

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	maxReadAhead   = 16 << 10               // bytes received on a connection while a request is served
	readAheadChunk = 1 << 10                // bytes of one such read
	lingerTime     = 500 * time.Millisecond // for which a closing connection waits until the caller has closed it
	maxLingerBytes = 256 << 10              // discarded meanwhile
)

// callerConn is a connection of a caller. Only one goroutine reads at a time.
type callerConn struct {
	net.Conn
	idle     time.Duration // limit until the first byte; 0: none
	header   time.Duration // limit from the first byte to the end of the first header; 0: none
	aborting *atomic.Bool  // the server closes all connections at once

	serving atomic.Bool // a request has been read and its response is not complete

	// Used by the reader only.
	received   bool   // whether a byte has arrived
	ahead      []byte // bytes received while a request was served
	head       head   // of the request that is being received
	aheadTaken int64  // bytes of memory that are counted for ahead
	ended      bool   // no more bytes will arrive

	mu       sync.Mutex
	draining bool // a drain deadline is in force, which the limits must not extend
}

// Read returns what was read ahead, or reads from the connection under the limit in force.
func (c *callerConn) Read(p []byte) (int, error) {
	if c.serving.Load() {
		if len(p) == 1 {
			return c.watch(p)
		}
		return c.read(p)
	}
	n, err := c.read(p)
	if !c.countHead(p[:n]) {
		return 0, errHeadTooLarge
	}
	return n, err
}

func (c *callerConn) read(p []byte) (int, error) {
	switch {
	case len(c.ahead) > 0:
		n := copy(p, c.ahead)
		c.ahead = c.ahead[n:]
		return n, nil
	case c.received:
		return c.receive(p)
	}
	c.limitRead(c.idle)
	n, err := c.receive(p)
	if n > 0 {
		c.received = true
		c.limitRead(c.header)
	}
	return n, err
}

// receive reads from the connection. After the process stood still, a deadline may have passed
// although a request had arrived before, and the runtime then doesn't read it. Bytes that have been
// received before a request is complete are therefore read whatever the time.
func (c *callerConn) receive(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && !c.serving.Load() {
		if n := readNow(c.Conn, p); n > 0 {
			return n, nil
		}
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.ended = true
	}
	return n, err
}

// watch reads ahead until the connection ends, a read deadline passes, or maxReadAhead bytes
// have been received. It is the read of one byte that net/http has pending while a handler
// runs, and that cancels the handler's context if it fails.
func (c *callerConn) watch(p []byte) (int, error) {
	buffer := p
	for len(c.ahead) < maxReadAhead {
		n, err := c.receive(buffer)
		c.ahead = append(c.ahead, buffer[:n]...)
		if err != nil {
			return 0, err
		}
		if len(buffer) == 1 { // only now, since few callers send requests ahead
			if c.aheadTaken == 0 {
				if !countedOf(c).take(maxReadAhead) {
					break
				}
				c.aheadTaken = maxReadAhead
			}
			buffer = make([]byte, readAheadChunk)
		}
	}
	n := copy(p, c.ahead)
	c.ahead = c.ahead[n:]
	return n, nil
}

// Close closes the connection. After a response it first waits until the caller has closed
// its side, and discards what it receives, so that the response isn't lost to a reset.
func (c *callerConn) Close() error {
	if c.serving.Load() && !c.aborting.Load() && !c.ended && c.CloseWrite() == nil {
		_ = c.SetReadDeadline(time.Now().Add(lingerTime))                  // fails only if the connection is closed
		_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, maxLingerBytes)) // whatever ends it, the connection is closed
	}
	return c.Conn.Close()
}

// CloseWrite closes the sending side of the connection.
func (c *callerConn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return half.CloseWrite()
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

// setDrainDeadline ends reads at t unless a request has arrived.
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

// readNow reads what has been received on a connection, regardless of deadlines. It returns 0 if
// there is nothing, or if the connection has no descriptor.
func readNow(c net.Conn, p []byte) int {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	sys, err := raw.SyscallConn()
	if err != nil {
		return 0
	}
	received := 0
	if sys.Control(func(fd uintptr) {
		received, _, _ = syscall.Recvfrom(int(fd), p, syscall.MSG_DONTWAIT) // an error means that there is nothing to read
	}) != nil {
		return 0 // it has been closed
	}
	return max(0, received)
}
