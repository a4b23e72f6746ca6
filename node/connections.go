package node

// The connections that others open to this node, counted in its budget.

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/wasabiwheel/wasabiwheel/budget"
)

// connections holds the open connections of all listeners.
type connections struct {
	budget  *budget.Table
	metrics nodeMetrics
	// limitsBuffers states whether the kernel's buffers of callers' connections are bounded, since the
	// memory of the machine is known.
	limitsBuffers bool

	mu   sync.Mutex
	open map[budget.ID]*countedConn
}

func newConnections(b *budget.Table, m nodeMetrics) *connections {
	return &connections{budget: b, metrics: m, open: map[budget.ID]*countedConn{}}
}

// countedConn is a connection that is counted in the budget until it is closed.
type countedConn struct {
	net.Conn
	id    budget.ID
	class budget.Class
	of    *connections
	once  sync.Once
}

// admit counts a new connection. If the budget has no room, it closes another one for it, or closes
// the new one and returns nil.
func (s *connections) admit(now time.Time, class budget.Class, c net.Conn) net.Conn {
	if s.limitsBuffers && class == budget.Requests {
		limitBuffers(c)
	}
	opened := s.budget.Open(now, class)
	counted := &countedConn{Conn: c, id: opened.ID, class: class, of: s}
	s.mu.Lock()
	s.open[opened.ID] = counted
	s.mu.Unlock()
	if opened.Admit || s.closeOne(opened.Close) {
		return counted
	}
	_ = counted.Close() // the caller is told by it
	return nil
}

// closeOne closes the first connection on which nothing has been received that was not read, and
// reports whether there was one. A request that has arrived would be lost with its connection.
func (s *connections) closeOne(ids []budget.ID) bool {
	for _, id := range ids {
		s.mu.Lock()
		c := s.open[id]
		s.mu.Unlock()
		if c != nil && !hasInput(c.Conn) {
			s.metrics.increment("connection.displaced." + string(c.class))
			_ = c.Close() // its reader gets the error
			return true
		}
	}
	return false
}

// closeSurplus closes connections without a request, since descriptors have run out.
func (s *connections) closeSurplus(now time.Time) {
	for _, class := range []budget.Class{budget.Requests, budget.Lookups} {
		for _, id := range s.budget.Surplus(now, class) {
			s.closeOne([]budget.ID{id})
		}
	}
}

// socketBuffer is what the kernel may hold for a connection in each direction, in bytes: more than a link
// of 10 Mbit/s carries in a round trip of 100 ms. Left to itself the kernel would hold several megabytes.
const socketBuffer = 128 << 10

// limitBuffers bounds what the kernel holds for a connection.
func limitBuffers(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = errors.Join(tcp.SetWriteBuffer(socketBuffer), tcp.SetReadBuffer(socketBuffer)) // fails only if it has been closed
	}
}

// Close closes the connection and gives its place back.
func (c *countedConn) Close() error {
	c.once.Do(func() {
		c.of.mu.Lock()
		delete(c.of.open, c.id)
		c.of.mu.Unlock()
		c.of.budget.Close(c.id)
	})
	return c.Conn.Close()
}

// CloseWrite closes the sending side of the connection.
func (c *countedConn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return half.CloseWrite()
}

// SyscallConn returns the descriptor of the connection. It fails if there is none.
func (c *countedConn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return raw.SyscallConn()
}

// Read reads from the connection and records what the caller has sent.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.of.budget.Move(time.Now(), c.id, n)
	return n, err
}

// Write writes to the connection and records what the caller has taken.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.of.budget.Move(time.Now(), c.id, n)
	return n, err
}

// take asks for bytes of memory. A nil connection is not counted.
func (c *countedConn) take(bytes int64) bool {
	if c == nil || bytes <= 0 {
		return true
	}
	taken := c.of.budget.Take(time.Now(), c.id, bytes)
	c.of.closeAll(taken.Close)
	if !taken.Admit {
		c.of.metrics.increment("memory.refused")
	}
	return taken.Admit
}

// await asks for bytes of memory, again and again while connections that are being closed will return some. A nil
// connection is not counted.
func (c *countedConn) await(bytes int64, until time.Time) bool {
	if c == nil || bytes <= 0 {
		return true
	}
	for {
		taken := c.of.budget.Take(time.Now(), c.id, bytes)
		c.of.closeAll(taken.Close)
		if taken.Admit {
			return true
		}
		if !taken.Freeing || !time.Now().Before(until) {
			c.of.metrics.increment("memory.refused")
			return false
		}
		time.Sleep(memoryPoll)
	}
}

// giveBack returns bytes that were taken.
func (c *countedConn) giveBack(bytes int64) {
	if c != nil && bytes > 0 {
		c.of.budget.Return(c.id, bytes)
	}
}

func (c *countedConn) setPhase(p budget.Phase) {
	if c != nil {
		c.of.budget.SetPhase(time.Now(), c.id, p)
	}
}

// closeAll closes connections since memory is short.
func (s *connections) closeAll(ids []budget.ID) {
	for _, id := range ids {
		s.mu.Lock()
		c := s.open[id]
		s.mu.Unlock()
		if c != nil {
			s.metrics.increment("memory.displaced." + string(c.class))
			_ = c.Close() // its reader or writer gets the error
		}
	}
}

// connectionKey is the key of the connection in the context of a request.
type connectionKey struct{}

// withConnection adds the connection to the context of its requests.
func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, countedOf(c))
}

// connectionOf returns the connection that a request came on; nil: it is not counted.
func connectionOf(ctx context.Context) *countedConn {
	c, _ := ctx.Value(connectionKey{}).(*countedConn)
	return c
}

// countedOf returns the counted connection under a connection; nil: none.
func countedOf(c net.Conn) *countedConn {
	if caller, ok := c.(*callerConn); ok {
		c = caller.Conn
	}
	counted, _ := c.(*countedConn)
	return counted
}

// trackPhase records the state that net/http reports of a connection.
func trackPhase(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew, http.StateIdle:
		countedOf(c).setPhase(budget.Idle)
	case http.StateActive, http.StateHijacked:
		countedOf(c).setPhase(budget.Running)
	}
}

// hasInput reports whether bytes have been received on a connection that have not been read.
func hasInput(c net.Conn) bool {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	sys, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	received := 0
	err = sys.Control(func(fd uintptr) {
		var b [1]byte
		received, _, _ = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT) // an error means that there is nothing to read
	})
	return err == nil && received > 0
}
