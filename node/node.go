// Package node runs one entry VM's part of the system: it wires the decisions
// of the other packages to HTTP, WebSocket and the platform.
//
// A node listens on three addresses: for callers (look-ups and requests), for
// other nodes (heartbeats, requests handed over, configuration) and for
// operators (status). It starts serving callers when it has a configuration.
//
// The tables (configuration, members, regions, endpoints, bookings) each have
// their own lock, and none calls another, so at most one of these locks is held
// at a time. Above them stands the lock that orders the putting in force of
// configurations; it is taken first.
//
// # Usage
//
//	s, err := node.ReadSettings("node.toml")
//	n := node.New(s, node.Options{})
//	err = n.Run(ctx) // until ctx ends, then leaves in order
package node

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/looplab/fsm"
	"k8s.io/klog/v2"

	"github.com/wasabiwheel/wasabiwheel/booking"
	"github.com/wasabiwheel/wasabiwheel/configuration"
	"github.com/wasabiwheel/wasabiwheel/endpoint"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/member"
	"github.com/wasabiwheel/wasabiwheel/platform"
	"github.com/wasabiwheel/wasabiwheel/region"
)

// Timing of a node.
const (
	idleTimeout   = 30 * time.Second       // of an unused connection
	headerTimeout = 5 * time.Second        // to receive a request's header
	tickInterval  = 100 * time.Millisecond // of what changes by time alone
	targetConns   = 330                    // to one endpoint
)

// State of a node's life.
type State string

// The states.
const (
	StateStarting State = "starting"
	StateServing  State = "serving"
	StateLeaving  State = "leaving"
	StateStopped  State = "stopped"
)

var life = fsm.Events{
	{Name: "serve", Src: []string{string(StateStarting)}, Dst: string(StateServing)},
	{Name: "leave", Src: []string{string(StateStarting), string(StateServing)}, Dst: string(StateLeaving)},
	{Name: "stop", Src: []string{string(StateLeaving)}, Dst: string(StateStopped)},
}

// Network is how a node reaches others. Tests put another one in its place.
type Network interface {
	Listen(network, address string) (net.Listener, error)
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// TCP is the Network of the machine.
type TCP struct{ net.Dialer }

// Listen announces on the local address.
func (*TCP) Listen(network, address string) (net.Listener, error) {
	return net.Listen(network, address)
}

// Options changes what a node is made of; the zero value is for production.
type Options struct {
	Network  Network // nil: TCP
	Bookings booking.Limits
}

// Node is one entry VM's process.
type Node struct {
	settings    Settings
	incarnation inventory.Incarnation
	network     Network
	counters    counters
	life        *fsm.FSM

	config    *configuration.Table
	members   *member.Table
	vms       *member.List
	regions   *region.Table
	endpoints *endpoint.Table
	bookings  *booking.Table
	retries   *endpoint.Budget
	pace      *endpoint.Pace

	store   *platform.Client
	targets *http.Client
	peers   *http.Client
	beats   *http.Client

	ctx        context.Context // ends when the node has left
	cancel     context.CancelFunc
	aborted    context.Context // ends when a stop is to end at once
	abort      context.CancelFunc
	sequence   atomic.Uint64 // of heartbeats
	beatConns  atomic.Int64  // heartbeat connections that were accepted
	background sync.WaitGroup
	work       atomic.Int64 // requests and operations in flight
	newer      chan inventory.EntryID

	grants     grants
	follower   follower
	lookups    lookups
	applying   sync.Mutex
	neighbours neighbours
	news       *news
}

// New returns a node that does nothing yet.
func New(s Settings, o Options) *Node {
	if o.Network == nil {
		o.Network = &TCP{}
	}
	ctx, cancel := context.WithCancel(context.Background())
	aborted, abort := context.WithCancel(context.Background())
	n := &Node{
		settings:    s,
		incarnation: newIncarnation(),
		network:     o.Network,
		counters:    newCounters(),
		life:        fsm.NewFSM(string(StateStarting), life, nil),
		config:      configuration.New(),
		members:     member.New(s.ID),
		vms:         member.NewList(s.Lag.Duration),
		regions:     region.New(s.ID, newRandom()),
		targets:     &http.Client{Transport: newTransport(o.Network, targetConns), CheckRedirect: keepRedirect},
		peers:       &http.Client{Transport: sign(newPeerTransport(o.Network), s.Keys), CheckRedirect: keepRedirect},
		beats:       &http.Client{Transport: sign(newTransport(o.Network, 0), s.Keys)},
		store:       platform.New(platform.Options{Base: s.Platform, HTTP: &http.Client{Transport: newTransport(o.Network, 0)}}),
		ctx:         ctx,
		cancel:      cancel,
		aborted:     aborted,
		abort:       abort,
		newer:       make(chan inventory.EntryID, 1),
		news:        newNews(),
		neighbours:  neighbours{loops: map[inventory.EntryID]beatLoop{}},
	}
	n.grants = newGrants(s.ID)
	n.endpoints = endpoint.New(s.ID, n.incarnation)
	n.retries = endpoint.NewBudget()
	n.pace = endpoint.NewPace()
	n.bookings = booking.New(s.ID, n.incarnation, o.Bookings, time.Now())
	return n
}

// keepRedirect passes a target's redirect on to the caller.
func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// incarnationBits is the size of the random part of an incarnation.
const incarnationBits = 16

func newIncarnation() inventory.Incarnation {
	var b [incarnationBits / 8]byte
	_, _ = rand.Read(b[:]) // never fails
	start := uint64(time.Now().UnixMilli()) << incarnationBits
	return inventory.Incarnation(start | uint64(binary.BigEndian.Uint16(b[:])))
}

// newPeerTransport speaks HTTP/2 without encryption between nodes.
func newPeerTransport(over Network) *http.Transport {
	t := newTransport(over, 0)
	t.Protocols = new(http.Protocols)
	t.Protocols.SetUnencryptedHTTP2(true)
	t.HTTP2 = &http.HTTP2Config{SendPingTimeout: member.Interval, PingTimeout: member.SuspectAfter}
	return t
}

// server is one listening address with what serves it.
type server struct {
	http     *http.Server
	listener net.Listener
}

func (n *Node) listen(address string, h http.Handler) (server, error) {
	l, err := n.network.Listen("tcp", address)
	if err != nil {
		return server{}, &Error{Op: "listen", Kind: KindNetwork, Err: err}
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: 2 * idleTimeout, MaxHeaderBytes: peerHeader}
	s.Protocols = new(http.Protocols)
	s.Protocols.SetHTTP1(true)
	s.Protocols.SetUnencryptedHTTP2(true)
	return server{http: s, listener: l}, nil
}

// Run serves until ctx ends, then leaves: it takes itself out of look-ups,
// waits until callers know, finishes what is in flight, and returns. It fails
// with an *Error when an address cannot be bound, or when the stop was cut short.
func (n *Node) Run(ctx context.Context) error {
	defer n.cancel()
	defer n.abort()
	servers, err := n.open()
	if err != nil {
		return err
	}
	for _, s := range servers {
		n.background.Go(func() { _ = s.http.Serve(s.listener) })
	}
	n.background.Go(func() { n.followStore(n.ctx) })
	n.background.Go(func() { n.followPeers(n.ctx) })
	n.background.Go(func() { n.followVMs(n.ctx) })
	n.background.Go(func() { n.followHealth(n.ctx) })
	n.background.Go(func() { n.tick(n.ctx) })
	n.background.Go(func() { n.followLease(n.ctx) })
	n.background.Go(func() { n.followGrants(n.ctx) })
	n.background.Go(func() { n.followShifts(n.ctx) })
	klog.InfoS("node started", "entry", n.settings.ID, "caller", n.settings.Caller, "peer", n.settings.Peer)
	<-ctx.Done()
	return n.leave(servers)
}

// open binds the addresses, callers first. The peer address is bound before
// this node says anything to another one: a refused connection means death.
func (n *Node) open() ([]server, error) {
	var servers []server
	for _, b := range []struct {
		address string
		handler http.Handler
	}{
		{n.settings.Caller, n.closing(n.callerHandler())},
		{n.settings.Admin, n.guard(n.settings.Admin, n.adminHandler())},
		{n.settings.Peer, n.guard(n.settings.Peer, n.peerHandler())},
	} {
		s, err := n.listen(b.address, b.handler)
		if err != nil {
			closeAll(servers)
			return nil, err
		}
		servers = append(servers, s)
	}
	return servers, nil
}

func closeAll(servers []server) {
	for _, s := range servers {
		_ = s.listener.Close()
	}
}

// tick does what is due by the passing of time.
func (n *Node) tick(ctx context.Context) {
	for ctx.Err() == nil {
		n.endpoints.Tick(time.Now())
		n.regions.Tick(time.Now())
		n.news.note(n.endpoints.Loads(time.Now()))
		if n.config.Version() > 0 && n.state() == StateStarting {
			n.move("serve")
		}
		sleep(ctx, tickInterval)
	}
}

// move takes a step in the node's life.
func (n *Node) move(event string) { n.check("life", n.life.Event(context.Background(), event)) }

func (n *Node) state() State { return State(n.life.Current()) }

func (n *Node) leaving() bool {
	s := n.state()
	return s == StateLeaving || s == StateStopped
}

// check reports a broken invariant. It is a fault of this program.
func (n *Node) check(what string, err error) {
	if err == nil {
		return
	}
	n.counters.add("invariant." + what)
	klog.ErrorS(err, "invariant broken", "what", what)
}
