package standin

// An in-memory network for tests in a synctest bubble. Its connections between VMs
// have a delay; VMs can be cut off from each other and killed.

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"
)

// The capacity of a connection for data in transit.
const (
	segmentSize = 32 << 10 // bytes
	maxSegments = 4096     // per direction of a connection
)

// Path is the direction from one VM to another, by their IP addresses.
type Path struct{ From, To string }

// Quality is the quality of a path. Loss is the probability that a segment is
// retransmitted, which adds Resend to its delay.
type Quality struct {
	Delay  time.Duration // one way
	Jitter time.Duration // bound of a uniformly distributed additional delay
	Loss   float64
	Resend time.Duration
}

// Network connects VMs. It is safe for concurrent use.
type Network struct {
	quality func(Path) Quality

	mu           sync.Mutex
	random       *rand.Rand
	listeners    map[string]*listener // by address
	links        map[*link]bool
	cut          map[Path]bool
	refused      map[Path]bool
	isolated     map[string]bool // by IP address
	kills        map[string]int  // number of calls of Kill, by IP address
	cutsChanged  chan struct{}   // closed and replaced when cut or isolated changes
	carriedBytes map[Path]int64
}

// NewNetwork returns a network with the quality that the function returns for each
// path; nil means no delay. The seed determines jitter and loss.
func NewNetwork(seed uint64, quality func(Path) Quality) *Network {
	if quality == nil {
		quality = func(Path) Quality { return Quality{} }
	}
	return &Network{
		quality:      quality,
		random:       rand.New(rand.NewPCG(seed, seed)),
		listeners:    map[string]*listener{},
		links:        map[*link]bool{},
		cut:          map[Path]bool{},
		refused:      map[Path]bool{},
		isolated:     map[string]bool{},
		kills:        map[string]int{},
		cutsChanged:  make(chan struct{}),
		carriedBytes: map[Path]int64{},
	}
}

// VM is the access of a process on a VM to the network. It opens no connections after
// Kill.
type VM struct {
	network      *Network
	ip           string
	killsAtStart int // value of Network.kills when it was created
}

// VM returns the access of a new process on the VM with an IP address.
func (n *Network) VM(ip string) *VM {
	n.mu.Lock()
	defer n.mu.Unlock()
	return &VM{network: n, ip: ip, killsAtStart: n.kills[ip]}
}

// isDead reports whether the process was killed.
func (v *VM) isDead() bool {
	v.network.mu.Lock()
	defer v.network.mu.Unlock()
	return v.network.kills[v.ip] != v.killsAtStart
}

// Cut holds back all data on a path, in that direction only.
func (n *Network) Cut(p Path) { n.setCut(p, true) }

// Heal reverts Cut. Data that was held back is delivered.
func (n *Network) Heal(p Path) { n.setCut(p, false) }

// SetRefused sets whether new connections on a path are refused. Open ones live on.
func (n *Network) SetRefused(p Path, refused bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refused[p] = refused
}

// Break closes the open connections on a path.
func (n *Network) Break(p Path) {
	n.mu.Lock()
	var broken []*link
	for l := range n.links {
		if l.path == p {
			broken = append(broken, l)
		}
	}
	n.mu.Unlock()
	for _, l := range broken {
		l.close()
	}
}

// Isolate permanently cuts a VM off from all others, as a power failure does.
func (n *Network) Isolate(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[ip] = true
	close(n.cutsChanged)
	n.cutsChanged = make(chan struct{})
}

func (n *Network) setCut(p Path, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[p] = cut
	close(n.cutsChanged)
	n.cutsChanged = make(chan struct{})
}

// Kill closes all listeners and connections of an IP address, as the exit of a
// process does: its connections break, its addresses refuse new ones, and the process
// can open no connections.
func (n *Network) Kill(ip string) {
	n.mu.Lock()
	n.kills[ip]++
	var broken []*link
	for l := range n.links {
		if l.path.From == ip || l.path.To == ip {
			broken = append(broken, l)
		}
	}
	var closed []*listener
	for _, l := range n.listeners {
		if host(l.address) == ip {
			closed = append(closed, l)
		}
	}
	n.mu.Unlock()
	for _, l := range closed {
		_ = l.Close()
	}
	for _, l := range broken {
		l.close()
	}
}

// Close closes all connections, also those on cut paths.
func (n *Network) Close() {
	n.mu.Lock()
	var links []*link
	for l := range n.links {
		links = append(links, l)
	}
	n.mu.Unlock()
	for _, l := range links {
		l.close()
	}
}

func host(address string) string {
	h, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return h
}

// Listen listens on an address of this VM.
func (v *VM) Listen(network, address string) (net.Listener, error) {
	n := v.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.kills[v.ip] != v.killsAtStart {
		return nil, &net.OpError{Op: "listen", Net: network, Err: net.ErrClosed}
	}
	if _, taken := n.listeners[address]; taken {
		return nil, &net.OpError{Op: "listen", Net: network, Err: syscall.EADDRINUSE}
	}
	l := &listener{network: n, address: address, accept: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// DialContext connects to an address. An address without a listener refuses the
// connection; one behind a cut path does not answer.
func (v *VM) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	n := v.network
	path := Path{From: v.ip, To: host(address)}
	if err := n.traverse(ctx, path); err != nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: err}
	}
	n.mu.Lock()
	l := n.listeners[address]
	if n.refused[path] {
		l = nil
	}
	n.mu.Unlock()
	if err := n.traverse(ctx, Path{From: path.To, To: path.From}); err != nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: err}
	}
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	}
	near, far := n.connect(path, address)
	if v.isDead() {
		_ = near.Close()
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ENETDOWN}
	}
	select {
	case l.accept <- far:
		return near, nil
	case <-l.done:
		_ = near.Close()
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	case <-ctx.Done():
		_ = near.Close()
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	}
}

// traverse waits for the time that one segment takes on a path.
func (n *Network) traverse(ctx context.Context, p Path) error {
	if !waitUntil(time.Now().Add(n.delay(p)), ctx.Done()) {
		return ctx.Err()
	}
	for {
		cut, changed := n.isCut(p)
		if !cut {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (n *Network) isCut(p Path) (bool, chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[p] || n.isolated[p.From] || n.isolated[p.To], n.cutsChanged
}

func (n *Network) delay(p Path) time.Duration {
	q := n.quality(p)
	n.mu.Lock()
	defer n.mu.Unlock()
	d := q.Delay
	if q.Jitter > 0 {
		d += time.Duration(n.random.Int64N(int64(q.Jitter)))
	}
	for q.Loss > 0 && n.random.Float64() < q.Loss {
		d += q.Resend
	}
	return d
}

func (n *Network) count(p Path, size int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.carriedBytes[p] += int64(size)
}

// Carried returns the bytes sent on each path so far, including those of closed
// connections.
func (n *Network) Carried() map[Path]int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.carriedBytes)
}

// connect creates a connection, with goroutines for each of its two directions.
func (n *Network) connect(p Path, address string) (near, far net.Conn) {
	nearApp, nearNet := net.Pipe()
	farApp, farNet := net.Pipe()
	l := &link{network: n, path: p, near: nearNet, far: farNet, done: make(chan struct{})}
	n.mu.Lock()
	n.links[l] = true
	n.mu.Unlock()
	l.pump(p, nearNet, farNet)
	l.pump(Path{From: p.To, To: p.From}, farNet, nearNet)
	return &conn{Conn: nearApp, local: p.From, remote: address}, &conn{Conn: farApp, local: address, remote: p.From}
}

// link is a connection in the network.
type link struct {
	network   *Network
	path      Path
	near, far net.Conn
	once      sync.Once
	done      chan struct{}
}

type segment struct {
	due  time.Time
	data []byte
}

// pump forwards one direction and keeps the order of the segments.
func (l *link) pump(p Path, from, to net.Conn) {
	queue := make(chan segment, maxSegments)
	go func() {
		defer close(queue)
		buffer := make([]byte, segmentSize)
		for {
			size, err := from.Read(buffer)
			if size > 0 {
				data := append([]byte(nil), buffer[:size]...)
				l.network.count(p, size)
				queue <- segment{due: time.Now().Add(l.network.delay(p)), data: data}
			}
			if err != nil {
				return
			}
		}
	}()
	go func() {
		for s := range queue {
			if !l.awaitDelivery(p, s.due) {
				break
			}
			if _, err := to.Write(s.data); err != nil {
				break
			}
		}
		l.awaitClose(p)
		l.close()
		for range queue { // drain the queue so that the reader can return
		}
	}()
}

// awaitDelivery waits until a segment is due and its path is not cut.
func (l *link) awaitDelivery(p Path, due time.Time) bool {
	if !waitUntil(due, l.done) {
		return false
	}
	for {
		cut, changed := l.network.isCut(p)
		if !cut {
			return true
		}
		select {
		case <-changed:
		case <-l.done:
			return false
		}
	}
}

// waitUntil waits for a time and reports whether done stayed open. It creates no timer
// for a time that has passed: in a bubble, with the race detector, the runtime
// occasionally crashes when it runs such a timer in a select.
func waitUntil(due time.Time, done <-chan struct{}) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-done:
		return false
	}
}

// awaitClose delays the end of a direction as long as data.
func (l *link) awaitClose(p Path) { l.awaitDelivery(p, time.Now().Add(l.network.quality(p).Delay)) }

func (l *link) close() {
	l.once.Do(func() {
		close(l.done)
		_ = l.near.Close()
		_ = l.far.Close()
		l.network.mu.Lock()
		delete(l.network.links, l)
		l.network.mu.Unlock()
	})
}

// conn is a pipe with the addresses of a TCP connection.
type conn struct {
	net.Conn
	local, remote string
}

func (c *conn) LocalAddr() net.Addr  { return address(c.local) }
func (c *conn) RemoteAddr() net.Addr { return address(c.remote) }

// address is a net.Addr.
type address string

func (address) Network() string  { return "tcp" }
func (a address) String() string { return string(a) }

// listener is a net.Listener.
type listener struct {
	network *Network
	address string
	accept  chan net.Conn
	once    sync.Once
	done    chan struct{}
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close stops listening.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.network.mu.Lock()
		delete(l.network.listeners, l.address)
		l.network.mu.Unlock()
	})
	return nil
}

// Addr returns the address that the listener listens on.
func (l *listener) Addr() net.Addr { return address(l.address) }
