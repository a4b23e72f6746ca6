package standin

// A proxy between processes on loopback that injects faults into its connections, as
// Network does between nodes in one process.

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// LinkFault is a fault that a proxy injects into its connections.
type LinkFault struct {
	Delay   time.Duration // added to data in both directions
	Reset   bool          // existing and new connections are reset
	Cut     bool          // data reaches the server, and its answer is replaced by a reset
	HoldIn  bool          // data to the server is held back
	HoldOut bool          // data from the server is held back
	Mute    bool          // existing connections stay silent permanently; new ones work
}

const (
	proxyDialTimeout = time.Second
	proxyBufferSize  = 32 << 10 // bytes
)

// Proxy forwards connections from one address to another.
type Proxy struct {
	listener net.Listener
	dialer   net.Dialer
	server   string
	keeps    bool // the source addresses of connections

	mu      sync.Mutex
	fault   LinkFault
	changed chan struct{} // closed and replaced when the fault changes or the proxy is closed
	conns   map[*proxyConn]bool
	closed  bool
}

// proxyConn is a connection through a proxy.
type proxyConn struct {
	client, server net.Conn
	mute           bool
}

// NewProxy forwards connections from address to server. from is the source IP address
// of the connections to server, by which it can identify the proxy; "": any.
func NewProxy(address, server, from string) (*Proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, server: server, changed: make(chan struct{}), conns: map[*proxyConn]bool{}}
	p.dialer.Timeout = proxyDialTimeout
	if from != "" {
		p.dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(from)}
	}
	go p.serve()
	return p, nil
}

// KeepSource lets the server see the IP addresses of the clients, on loopback. It is called before the
// first connection.
func (p *Proxy) KeepSource() { p.keeps = true }

func (p *Proxy) serve() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return // the listener is closed
		}
		go p.forward(client)
	}
}

// SetFault replaces the fault.
func (p *Proxy) SetFault(f LinkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	for c := range p.conns {
		if f.Reset {
			c.reset()
		}
		c.mute = c.mute || f.Mute
	}
	p.notify()
}

// notify wakes the goroutines that wait for a change. The caller holds the lock.
func (p *Proxy) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Close closes the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for c := range p.conns {
		c.reset()
	}
	p.notify()
}

func (c *proxyConn) reset() {
	for _, side := range []net.Conn{c.client, c.server} {
		if tcp, ok := side.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = side.Close()
	}
}

func (p *Proxy) forward(client net.Conn) {
	dialer := p.dialer
	if address, ok := client.RemoteAddr().(*net.TCPAddr); ok && p.keeps {
		dialer.LocalAddr = &net.TCPAddr{IP: address.IP}
	}
	server, err := dialer.Dial("tcp", p.server)
	if err != nil {
		(&proxyConn{client: client, server: client}).reset() // as for a port without a listener
		return
	}
	c := &proxyConn{client: client, server: server}
	p.mu.Lock()
	p.conns[c] = true
	if p.fault.Reset || p.closed {
		c.reset()
	}
	p.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { p.pump(c, client, server, true) })
	directions.Go(func() { p.pump(c, server, client, false) })
	directions.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// pump forwards one direction until it ends, then closes both sides.
func (p *Proxy) pump(c *proxyConn, from, to net.Conn, toServer bool) {
	buffer := make([]byte, proxyBufferSize)
	for {
		size, err := from.Read(buffer)
		if !p.awaitOpen(c, toServer) {
			return
		}
		if !toServer && p.resetsAnswers() {
			c.reset()
			return
		}
		if size > 0 {
			if _, failed := to.Write(buffer[:size]); failed != nil {
				err = failed
			}
		}
		if errors.Is(err, syscall.ECONNRESET) {
			c.reset() // a close would make a response without a length complete
			return
		}
		if err != nil {
			_ = c.client.Close()
			_ = c.server.Close()
			return
		}
	}
}

func (p *Proxy) resetsAnswers() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault.Cut
}

// awaitOpen waits until the direction is not held back, plus its delay, and reports
// whether the proxy is still open.
func (p *Proxy) awaitOpen(c *proxyConn, toServer bool) bool {
	for {
		p.mu.Lock()
		f, changed, closed, mute := p.fault, p.changed, p.closed, c.mute
		p.mu.Unlock()
		if closed {
			return false
		}
		if !mute && !(toServer && f.HoldIn) && !(!toServer && f.HoldOut) {
			time.Sleep(f.Delay)
			return true
		}
		<-changed
	}
}
