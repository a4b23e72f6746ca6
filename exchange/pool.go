package exchange

// Persistent connections to endpoints.

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// Limits of connections.
const (
	dialTimeout        = 400 * time.Millisecond // several round trips between the farthest regions; a lost SYN packet costs seconds
	defaultIdleTimeout = 4 * time.Second        // for endpoints that state none; common servers keep idle connections for 5 s and more
	idleMargin         = 1 * time.Second        // a connection is closed this long before its endpoint would close it
	// maxUnstatedIdle is the idle time after which a request that cannot be retried uses a new
	// connection, if the endpoint has not stated for how long it keeps idle ones.
	maxUnstatedIdle = 1 * time.Second
	// minTellingIdle is the shortest idle time that tells of an endpoint's idle limit if the
	// connection is then found closed: one used a moment ago ended for another reason.
	minTellingIdle = 50 * time.Millisecond
	// droppedMemory is how long a pool avoids idle connections of an age at which one was found
	// closed, for requests that cannot be retried.
	droppedMemory   = time.Minute
	defaultMaxConns = 16      // connections to an endpoint whose limit is unknown
	headBufferSize  = 1 << 10 // initial bytes for the head of a request
	bufferSize      = 4 << 10 // bytes of the read and the write buffer
)

// Dialer opens connections. *net.Dialer implements it.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// TimeoutDialer is a dialer with a timeout. net/http continues to open a connection after
// the request that needed it has been canceled.
type TimeoutDialer struct {
	Dialer
	Timeout time.Duration
}

// DialContext opens a connection. It fails after Timeout.
func (d TimeoutDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.Timeout)
	defer cancel()
	return d.Dialer.DialContext(ctx, network, address)
}

// ResetDialer is a dialer whose connections are reset when they are closed, also by the end of the
// process. After an ordinary close the kernel goes on sending what was written: a request that was given
// up would arrive when its path is open again, seconds later.
type ResetDialer struct{ Dialer }

// DialContext opens a connection.
func (d ResetDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if err := setLinger(c, 0); err != nil {
		_ = c.Close() // nothing was sent
		return nil, err
	}
	return c, nil
}

// setLinger sets what the kernel does at Close with bytes that are not sent: discard them after 0
// seconds, or send them, if negative.
func setLinger(c net.Conn, seconds int) error {
	l, ok := c.(interface{ SetLinger(seconds int) error })
	if !ok {
		return nil
	}
	return l.SetLinger(seconds)
}

// Options configures a Pool.
type Options struct {
	HeaderNames HeaderNames
	Dialer      Dialer // nil: a net.Dialer
	// MaxReceiving bounds the memory for responses that are being received, in bytes; 0: a default.
	MaxReceiving int64
	// Receiving, if set, is that bound for several pools together, in place of MaxReceiving.
	Receiving *Receiving
}

// Pool holds connections to endpoints. It is safe for concurrent use; its lock is not
// held during I/O.
type Pool struct {
	headerNames HeaderNames
	dialer      Dialer
	receiving   *Receiving

	mu           sync.Mutex
	destinations map[destination]*connSet
	stats        Stats
	dropped      dropped
}

// dropped is the shortest idle time lately after which an endpoint had closed a connection without
// this node having been told in time. Endpoints of one deployment are configured alike, so it counts
// for all of them, and each request that is lost to it counts only once.
type dropped struct {
	idle time.Duration
	at   time.Time
}

// record records a connection that was found closed after an idle time.
func (d *dropped) record(now time.Time, idle time.Duration) {
	if idle < minTellingIdle {
		return
	}
	if d.idle == 0 || idle < d.idle || now.Sub(d.at) > droppedMemory {
		d.idle = idle
	}
	d.at = now
}

// isSafe reports whether a connection that was idle for a time is unlikely to have been closed.
func (d *dropped) isSafe(now time.Time, idle time.Duration) bool {
	return d.idle == 0 || now.Sub(d.at) > droppedMemory || idle <= d.idle/2
}

// Stats counts the opened and the reused connections of a pool.
type Stats struct{ Dials, Reuses int64 }

// destination is an endpoint and its address. The key includes both, since an address
// is assigned to another endpoint after one has ended.
type destination struct {
	endpoint inventory.EndpointID
	address  string
}

// connSet holds the connections to one destination.
type connSet struct {
	idle    []*conn // in the order of their last use
	count   int     // in use, being opened, or idle
	removed bool    // the endpoint has been removed; connections are closed after use
	// receiving is the memory of the exchanges that counts in Receiving, which guards it.
	receiving int64
	// minDeadIdle is the shortest idle time after which a connection was found dead;
	// 0: none was.
	minDeadIdle time.Duration
}

// New returns a pool without connections.
func New(o Options) *Pool {
	if o.Dialer == nil {
		o.Dialer = &net.Dialer{}
	}
	if o.Receiving == nil {
		o.Receiving = NewReceiving(o.MaxReceiving)
	}
	return &Pool{headerNames: o.HeaderNames, dialer: o.Dialer, receiving: o.Receiving, destinations: map[destination]*connSet{}}
}

// conn is a connection to an endpoint, used by one request at a time.
type conn struct {
	net.Conn
	set        *connSet
	receiving  *Receiving // of the pool
	memory     exchangeMemory
	input      *input
	output     *output
	reader     *bufio.Reader // of input
	writer     *bufio.Writer
	headBuffer []byte
	fields     fieldBuffer
	dialTime   time.Duration // time to open the connection
	uses       int
	answered   bool          // the last request was written completely and has its response
	lastUsed   time.Time     // end of the last exchange
	idleTime   time.Duration // before the current exchange
	maxIdle    time.Duration // after which the connection is closed
	statesIdle bool          // maxIdle follows from what the endpoint states
}

// mayCarryOnce reports whether the connection, idle for a time, is likely open still, so that it may
// carry a request that cannot be retried.
func (c *conn) mayCarryOnce(now time.Time, d *dropped) bool {
	idle := now.Sub(c.lastUsed)
	return (c.statesIdle || idle <= maxUnstatedIdle) && d.isSafe(now, idle)
}

// output is what a connection writes to. It counts the bytes of a request that the kernel has taken:
// if there are none, the request has not been sent.
type output struct {
	io.Writer
	sent int64
}

// Write writes to the connection.
func (o *output) Write(p []byte) (int, error) {
	n, err := o.Writer.Write(p)
	o.sent += int64(n)
	return n, err
}

// interrupt aborts pending reads and writes of the connection.
func (c *conn) interrupt() { _ = c.SetDeadline(time.Unix(1, 0)) }

func (c *conn) buffered() int { return c.reader.Buffered() }

// isReusable reports whether the connection may be reused after a response, and sets
// maxIdle from it.
func (c *conn) isReusable(resp *http.Response) bool {
	c.maxIdle, c.statesIdle = defaultIdleTimeout, false
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Request.Method != http.MethodHead && resp.StatusCode != http.StatusNoContent && resp.StatusCode != http.StatusNotModified {
		return false // the end of the connection delimits the body
	}
	for _, field := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(text); err == nil && s >= 0 {
			c.maxIdle, c.statesIdle = time.Duration(s)*time.Second-idleMargin, true
		}
	}
	return c.maxIdle > 0
}

// newError returns an error that includes the state of the connection.
func (c *conn) newError(op string, k Kind, cause error) *Error {
	return &Error{Op: op, Kind: k, Reused: c.uses > 0, IdleTime: c.idleTime, Err: cause}
}

// isAlive reports whether an idle connection is open and has received no data. Data
// would belong to no request.
func (c *conn) isAlive() bool {
	if c.buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	sys, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = sys.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData = n < 0 && (errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK))
		return true
	})
	return err == nil && noData
}

// RemoveEndpoint removes an endpoint and closes its idle connections.
func (p *Pool) RemoveEndpoint(id inventory.EndpointID, address string) {
	p.mu.Lock()
	set := p.destinations[destination{id, address}]
	delete(p.destinations, destination{id, address})
	var idle []*conn
	if set != nil {
		set.removed = true
		idle, set.idle = set.idle, nil
	}
	p.mu.Unlock()
	closeAll(idle)
}

// CloseExpired closes the connections whose idle time has expired.
func (p *Pool) CloseExpired(now time.Time) {
	var expired []*conn
	p.mu.Lock()
	for _, set := range p.destinations {
		expired = append(expired, set.expire(now)...)
	}
	p.mu.Unlock()
	closeAll(expired)
}

// Stats returns the counts since the pool was created.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// close closes a connection. An endpoint that has all it was sent sees an ordinary end; otherwise the
// connection is reset.
func (c *conn) close() {
	if c.answered || c.uses == 0 && c.output.sent == 0 {
		_ = setLinger(c.Conn, -1) // fails only if the connection has failed
	}
	_ = c.Close()
}

func closeAll(conns []*conn) {
	for _, c := range conns {
		c.close()
	}
}

func (p *Pool) connsTo(at destination) *connSet {
	set := p.destinations[at]
	if set == nil {
		set = &connSet{}
		p.destinations[at] = set
	}
	return set
}

// expire removes and returns the connections whose idle time has expired.
func (s *connSet) expire(now time.Time) []*conn {
	var expired []*conn
	remaining := s.idle[:0]
	for _, c := range s.idle {
		if s.isExpired(c, now) {
			expired = append(expired, c)
			continue
		}
		remaining = append(remaining, c)
	}
	s.idle = remaining
	s.count -= len(expired)
	return expired
}

func (s *connSet) isExpired(c *conn, now time.Time) bool {
	idle := now.Sub(c.lastUsed)
	return idle > c.maxIdle || s.minDeadIdle > 0 && idle > s.minDeadIdle/2
}

// acquire returns a connection for a request: the most recently used one if it may be
// reused, else a new one.
func (p *Pool) acquire(ctx context.Context, r Request) (*conn, error) {
	at := destination{r.Endpoint, r.Address}
	for {
		c, set, err := p.reserve(at, r)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.dial(ctx, set, r)
		}
		if c.isAlive() {
			return c, nil
		}
		p.release(c, false)
	}
}

// reserve takes an idle connection. If there is none that the request may use, it
// returns a nil connection and counts a new one, which the caller opens.
func (p *Pool) reserve(at destination, r Request) (c *conn, set *connSet, err error) {
	now := time.Now()
	var surplus []*conn
	defer func() { closeAll(surplus) }()
	p.mu.Lock()
	defer p.mu.Unlock()
	set = p.connsTo(at)
	surplus = set.expire(now)
	if n := len(set.idle); n > 0 {
		c := set.idle[n-1]
		if !r.FreshConnection || c.mayCarryOnce(now, &p.dropped) {
			set.idle = set.idle[:n-1]
			c.idleTime = now.Sub(c.lastUsed)
			p.stats.Reuses++
			return c, set, nil
		}
	}
	limit := r.MaxConnections
	if limit == 0 {
		limit = defaultMaxConns
	}
	if set.count >= limit {
		if len(set.idle) == 0 {
			return nil, nil, &Error{Op: "connect", Kind: KindConnLimit}
		}
		surplus = append(surplus, set.idle[0])
		set.idle = set.idle[1:]
		set.count--
	}
	set.count++
	p.stats.Dials++
	return nil, set, nil
}

func (p *Pool) dial(ctx context.Context, set *connSet, r Request) (*conn, error) {
	limit := min(dialTimeout, time.Until(r.Deadline))
	if r.DialTimeout > 0 {
		limit = min(limit, r.DialTimeout)
	}
	began := time.Now()
	raw, err := TimeoutDialer{ResetDialer{p.dialer}, limit}.DialContext(ctx, "tcp", r.Address)
	if err != nil {
		p.freeSlot(set)
		kind := KindUnreachable
		if ctx.Err() != nil {
			kind = KindWithdrawn // which says nothing of the endpoint
		}
		return nil, &Error{Op: "connect", Kind: kind, Err: err}
	}
	in, out := &input{Reader: raw, left: math.MaxInt64}, &output{Writer: raw}
	return &conn{
		Conn:       raw,
		set:        set,
		receiving:  p.receiving,
		dialTime:   time.Since(began),
		input:      in,
		output:     out,
		reader:     bufio.NewReaderSize(in, bufferSize),
		writer:     bufio.NewWriterSize(out, bufferSize),
		headBuffer: make([]byte, 0, headBufferSize),
		maxIdle:    defaultIdleTimeout,
	}, nil
}

// freeSlot decrements the number of connections.
func (p *Pool) freeSlot(set *connSet) {
	p.mu.Lock()
	defer p.mu.Unlock()
	set.count--
}

// release returns a connection after an exchange. It is closed unless it is reusable.
func (p *Pool) release(c *conn, reusable bool) {
	c.dropMemory()
	if !reusable || !p.keepIdle(c) {
		c.close()
		p.freeSlot(c.set)
	}
}

// keepIdle adds a connection to the idle ones, unless its endpoint has been removed.
func (p *Pool) keepIdle(c *conn) bool {
	_ = c.SetDeadline(time.Time{})
	c.uses++
	c.lastUsed = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.set.removed {
		return false
	}
	c.set.idle = append(c.set.idle, c)
	return true
}

// RecordDead records that a connection was dead after it had been idle for a time, so
// that other connections to the endpoint are closed earlier.
func (p *Pool) RecordDead(id inventory.EndpointID, address string, idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	set := p.destinations[destination{id, address}]
	if set == nil {
		return // the endpoint has been removed meanwhile
	}
	if idle > 0 && (set.minDeadIdle == 0 || idle < set.minDeadIdle) {
		set.minDeadIdle = idle
	}
}

// RecordDropped records that a connection failed as if its endpoint had closed or forgotten it
// while it was idle. Requests that cannot be retried avoid connections of such an age, to all
// endpoints, for droppedMemory.
func (p *Pool) RecordDropped(idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropped.record(time.Now(), idle)
}
