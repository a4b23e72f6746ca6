package soak

// The links of a node process to the endpoints, which can be cut: connections hang, are reset, or
// live on while new ones are refused. A proxy can't do that, since it accepts connections itself.
// So the process opens its connections through Links, which read the fault from a file.

import (
	"context"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/wasabiwheel/wasabiwheel/node"
)

// Cut is how the links of a node to all endpoints are cut.
type Cut string

// The cuts.
const (
	CutNone   Cut = ""
	CutHang   Cut = "hang"   // connections stay silent, and new ones are not answered
	CutReset  Cut = "reset"  // connections are reset, and new ones are refused
	CutRefuse Cut = "refuse" // connections live on, and new ones are refused
)

// cutPollInterval is the time between readings of the file.
const cutPollInterval = 20 * time.Millisecond

// Links is the node.Network of a process whose links to the endpoints can be cut.
type Links struct {
	node.TCP
	file      string // that holds the Cut
	endpoints string // prefix of the addresses of endpoints
	source    net.TCPAddr

	mu      sync.Mutex
	cut     Cut
	changed chan struct{} // closed and replaced when the cut changes
	conns   map[*linkConn]bool
}

// NewLinks returns the links of a process that connects to endpoints from a source address. They
// are cut as the file says.
func NewLinks(file, endpoints, source string) *Links {
	l := &Links{file: file, endpoints: endpoints, changed: make(chan struct{}), conns: map[*linkConn]bool{}}
	l.source.IP = net.ParseIP(source)
	go l.follow()
	return l
}

// follow applies the cut in the file as long as the process runs.
func (l *Links) follow() {
	for {
		if data, err := os.ReadFile(l.file); err == nil { // there is none before the first cut
			l.apply(Cut(data))
		}
		time.Sleep(cutPollInterval)
	}
}

func (l *Links) apply(c Cut) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut == c {
		return
	}
	l.cut = c
	close(l.changed)
	l.changed = make(chan struct{})
	if c != CutReset {
		return
	}
	for conn := range l.conns {
		_ = conn.SetLinger(0)
		_ = conn.TCPConn.Close()
	}
}

// state returns the cut and a channel that is closed when it changes.
func (l *Links) state() (Cut, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut, l.changed
}

// DialContext opens a connection, unless it is to an endpoint and the links are cut.
func (l *Links) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if !strings.HasPrefix(address, l.endpoints) {
		return l.TCP.DialContext(ctx, network, address)
	}
	switch cut, _ := l.state(); cut {
	case CutReset, CutRefuse:
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	case CutHang:
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	}
	dialer := net.Dialer{LocalAddr: &l.source}
	raw, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	conn := &linkConn{TCPConn: raw.(*net.TCPConn), links: l, moved: make(chan struct{})} // network is tcp
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[conn] = true
	return conn, nil
}

// linkConn is a connection to an endpoint. Reads and writes wait while the links hang.
type linkConn struct {
	*net.TCPConn
	links *Links

	mu       sync.Mutex
	deadline time.Time
	moved    chan struct{} // closed and replaced when the deadline changes, or the connection is closed
	closed   bool
}

// Read reads from the connection.
func (c *linkConn) Read(p []byte) (int, error) {
	if err := c.awaitLink(); err != nil {
		return 0, err
	}
	n, err := c.TCPConn.Read(p)
	if waitErr := c.awaitLink(); waitErr != nil {
		return 0, waitErr
	}
	return n, err
}

// Write writes to the connection.
func (c *linkConn) Write(p []byte) (int, error) {
	if err := c.awaitLink(); err != nil {
		return 0, err
	}
	return c.TCPConn.Write(p)
}

// SetDeadline sets the deadline of reads and writes.
func (c *linkConn) SetDeadline(t time.Time) error {
	c.wake(func() { c.deadline = t })
	return c.TCPConn.SetDeadline(t)
}

// Close closes the connection.
func (c *linkConn) Close() error {
	c.wake(func() { c.closed = true })
	c.links.mu.Lock()
	delete(c.links.conns, c)
	c.links.mu.Unlock()
	return c.TCPConn.Close()
}

// wake applies a change and lets waiting reads and writes see it.
func (c *linkConn) wake(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
	close(c.moved)
	c.moved = make(chan struct{})
}

// awaitLink waits while the links hang, until the deadline or the end of the connection.
func (c *linkConn) awaitLink() error {
	for {
		cut, changed := c.links.state()
		if cut != CutHang {
			return nil
		}
		c.mu.Lock()
		deadline, moved, closed := c.deadline, c.moved, c.closed
		c.mu.Unlock()
		if closed {
			return net.ErrClosed
		}
		if !deadline.IsZero() && !time.Now().Before(deadline) {
			return os.ErrDeadlineExceeded
		}
		wait := time.Minute
		if !deadline.IsZero() {
			wait = time.Until(deadline)
		}
		timer := time.NewTimer(wait)
		select {
		case <-changed:
		case <-moved:
		case <-timer.C:
		}
		timer.Stop()
	}
}
