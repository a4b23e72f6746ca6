// Package node implements the process of an entry VM: it connects the decisions of the
// other packages to HTTP and to the platform.
//
// A node listens for requests, lookups, readiness checks, other nodes and operators. It
// serves callers once it has read a configuration, the endpoints and the drains.
//
// Nodes exchange heartbeats, the changes of the store, news of endpoints, permits for endpoints
// that name a limit, and reports of requests that crash endpoints. Each node decides on its callers'
// requests independently; one that reaches no endpoint forwards them to others.
//
// The tables (endpoints, members, retries, hedges, permits, quotas, quarantines, forwarders, connections) each have their own lock, and none
// calls another, so at most one of these locks is held at a time.
//
// # Usage
//
//	s, err := node.ReadSettings("node.toml")
//	n := node.New(s, node.Options{})
//	err = n.Run(ctx) // until ctx ends, then shuts down gracefully
package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/looplab/fsm"
	"k8s.io/klog/v2"

	"github.com/wasabiwheel/wasabiwheel/admission"
	"github.com/wasabiwheel/wasabiwheel/budget"
	"github.com/wasabiwheel/wasabiwheel/caller"
	"github.com/wasabiwheel/wasabiwheel/discovery"
	"github.com/wasabiwheel/wasabiwheel/endpoint"
	"github.com/wasabiwheel/wasabiwheel/exchange"
	"github.com/wasabiwheel/wasabiwheel/freshness"
	"github.com/wasabiwheel/wasabiwheel/hedge"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/lookup"
	"github.com/wasabiwheel/wasabiwheel/member"
	"github.com/wasabiwheel/wasabiwheel/permit"
	"github.com/wasabiwheel/wasabiwheel/platform"
	"github.com/wasabiwheel/wasabiwheel/quarantine"
	"github.com/wasabiwheel/wasabiwheel/quota"
	"github.com/wasabiwheel/wasabiwheel/reach"
	"github.com/wasabiwheel/wasabiwheel/retry"
)

const (
	tickInterval = 250 * time.Millisecond // between updates that depend on time only
	// minLoggedDelay is the delay of a tick from which it is logged: about the time that a
	// change of the store takes to reach a node.
	minLoggedDelay = 200 * time.Millisecond
	// storeGrace is how long entries that expired while the store was unreachable are kept
	// after it is reachable again: endpoints register again within about two seconds.
	storeGrace = 2200 * time.Millisecond
)

// State is the stage of the lifecycle that a node is in.
type State string

// The states.
const (
	StateStarting State = "starting"
	StateServing  State = "serving"
	StateLeaving  State = "leaving"
	StateStopped  State = "stopped"
)

var lifecycleEvents = fsm.Events{
	{Name: "serve", Src: []string{string(StateStarting)}, Dst: string(StateServing)},
	{Name: "leave", Src: []string{string(StateStarting), string(StateServing)}, Dst: string(StateLeaving)},
	{Name: "stop", Src: []string{string(StateLeaving)}, Dst: string(StateStopped)},
}

// Network opens the listeners and connections of a node. Tests replace it.
type Network interface {
	Listen(network, address string) (net.Listener, error)
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// TCP is the Network of the VM.
type TCP struct{ net.Dialer }

// Listen listens on a local address.
func (*TCP) Listen(network, address string) (net.Listener, error) {
	return net.Listen(network, address)
}

// Protocol defines the headers, the lookup and the readiness check that callers and
// endpoints use. There are two: NativeProtocol and platform.Protocol.
type Protocol interface {
	// HeaderNames returns the names of the headers that extend HTTP.
	HeaderNames() exchange.HeaderNames
	// Lookup and Ready register the handlers of lookups and of readiness checks.
	Lookup(mux *http.ServeMux, answer func(lookup.Query) lookup.Answer)
	Ready(mux *http.ServeMux, ready func() bool)
}

// Options replaces parts of a node; the zero value is for production.
type Options struct {
	Network  Network  // nil: TCP
	Protocol Protocol // nil: NativeProtocol
	Store    Store    // nil: the platform's store at the address in the settings
	// SinceBoot returns the time since boot, including suspension of the VM; nil: not available.
	SinceBoot func() time.Duration
}

// Store is the part of the platform's store that a node uses.
type Store interface {
	discovery.Store
	Create(ctx context.Context, kind platform.Collection, name string, spec any) (platform.Written, error)
	Replace(ctx context.Context, kind platform.Collection, name string, spec any, at platform.Revision) (platform.Written, error)
	Find(ctx context.Context, kind platform.Collection, name string) (platform.Written, error)
	Delete(ctx context.Context, kind platform.Collection, name string, at platform.Revision) error
}

// Node is the process of an entry VM.
type Node struct {
	settings    atomic.Pointer[Settings]
	started     time.Time
	network     Network
	protocol    Protocol
	headerNames exchange.HeaderNames
	store       Store
	sinceBoot   func() time.Duration
	metrics     nodeMetrics
	lifecycle   *fsm.FSM

	routes        atomic.Pointer[policy]
	limits        atomic.Pointer[inventory.Limits]
	connections   *connections // that others have opened
	responses     *budget.Responses
	listenerLost  atomic.Bool                   // a listener was lost, so that the node can't serve
	requestServer atomic.Pointer[requestServer] // nil until requests are accepted
	endpoints     *endpoint.Table
	members       *member.Table
	retries       *retry.Budget
	hedges        *hedge.Table
	returns       *admission.Returns
	admission     *admission.Controller
	permits       *permit.Table
	quotas        *quota.Table
	peerClient    *http.Client
	quarantine    *quarantine.Table
	crashChecks   crashChecks
	pool          *exchange.Pool
	reach         *reach.Detector
	attempts      directAttempts
	regions       regionCounts
	forwarders    *reach.Forwarders
	forwardPool   *exchange.Pool // connections to other nodes
	mirror        *discovery.Mirror
	follower      *discovery.Follower
	relay         *discovery.Relay
	sending       *sending // of large changes to other nodes
	storeState    storeState
	freshness     *freshness.Table

	ctx        context.Context // canceled when the node has left
	cancel     context.CancelFunc
	background sync.WaitGroup
	inFlight   atomic.Int64                   // requests in flight
	forwarded  atomic.Int64                   // those of other nodes
	tickDelay  atomic.Int64                   // of the last tick, a time.Duration
	leaveEnd   atomic.Int64                   // when the node exits at the latest, a time.Duration after started; 0: it does not leave
	plan       atomic.Pointer[discovery.Plan] // how the node currently obtains the changes of the store
	configured chan struct{}
}

// New returns a node that has not started yet.
func New(s Settings, o Options) *Node {
	if o.Network == nil {
		o.Network = &TCP{}
	}
	if o.Protocol == nil {
		o.Protocol = NativeProtocol{}
	}
	if o.Store == nil {
		o.Store = platform.New(platform.Options{Address: s.Platform})
	}
	now := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		started:     now,
		network:     o.Network,
		protocol:    o.Protocol,
		headerNames: o.Protocol.HeaderNames(),
		store:       o.Store,
		sinceBoot:   o.SinceBoot,
		metrics:     newNodeMetrics(),
		lifecycle:   fsm.NewFSM(string(StateStarting), lifecycleEvents, nil),
		retries:     retry.New(s.Bounds.retryBounds(), now),
		ctx:         ctx,
		cancel:      cancel,
		configured:  make(chan struct{}),
	}
	n.settings.Store(&s)
	n.connections = newConnections(budget.New(s.VM.limits()), n.metrics)
	n.responses = budget.NewResponses()
	n.connections.limitsBuffers = s.VM.Memory > 0
	n.plan.Store(&discovery.Plan{})
	n.endpoints = endpoint.New(s.regions(), s.Bounds.endpointBounds())
	n.members = member.New(n.entry())
	n.hedges = hedge.New()
	n.returns, n.admission = admission.NewReturns(), admission.NewController()
	n.permits = permit.New(s.ID)
	n.quotas = quota.New(s.ID)
	n.peerClient = newPeerClient(n.network)
	n.quarantine = quarantine.New()
	n.crashChecks.checks = map[inventory.EndpointID]*crashCheck{}
	receiving := exchange.NewReceiving(s.VM.maxReceiving())
	n.pool = exchange.New(exchange.Options{HeaderNames: n.headerNames, Dialer: n.network, Receiving: receiving})
	n.reach = reach.New(now)
	n.attempts.waiting = map[reach.Attempt]context.CancelCauseFunc{}
	n.forwarders = reach.NewForwarders(reach.Node{ID: s.ID, Domain: s.Domain, Region: s.region()})
	betweenNodes := n.headerNames
	betweenNodes.Outcome = caller.HeaderOutcome
	n.forwardPool = exchange.New(exchange.Options{HeaderNames: betweenNodes, Dialer: n.network, Receiving: receiving})
	n.storeState = newStoreState()
	n.freshness = freshness.New(s.Bounds.proofLimit())
	followed := []platform.Collection{platform.Configurations, platform.Endpoints, platform.Drains, platform.Entries}
	n.mirror = discovery.NewMirror(n, retentionPolicy{}, followed...)
	n.follower = discovery.New(n.store, n.mirror, n, platform.Drains, followed...)
	n.follower.ObserveProofs(platform.Configurations, storeProofs{n})
	n.relay = discovery.NewRelay(discovery.Peer{ID: s.ID, Domain: s.Domain, Link: s.VM.link()})
	n.sending = newSending(s.VM.link())
	return n
}

func (b Bounds) retryBounds() retry.Bounds {
	return retry.Bounds{Ratio: b.Retry.Ratio, Slack: b.Retry.Slack, Window: b.Retry.Window.Duration, Leave: b.Grace.Duration}
}

func (b Bounds) endpointBounds() endpoint.Bounds {
	return endpoint.Bounds{Excess: b.Cold.Excess, Slack: b.Cold.Slack, Grace: storeGrace, Shift: b.Shift, Recovery: b.Recovery.Duration}
}

func (s Settings) regions() endpoint.Regions {
	regions := endpoint.Regions{}
	for _, d := range s.Domains {
		regions[d.ID] = d.Region
	}
	return regions
}

// entry returns this node's entry for the store.
func (n *Node) entry() member.Entry {
	s := n.settings.Load()
	return member.Entry{
		ID:            s.ID,
		Domain:        s.Domain,
		Region:        s.region(),
		CallerAddress: s.Caller,
		PeerAddress:   s.AdvertisedPeer,
		AdminAddress:  s.Admin,
		Share:         s.VM.Share,
		Start:         n.started.UnixNano(),
		Link:          s.VM.link(),
	}
}

// Run serves until ctx ends, then shuts down gracefully: it removes itself from lookups,
// waits until callers have moved, completes the requests in flight, and returns. It fails
// with an *Error if an address cannot be bound, or if requests were aborted.
func (n *Node) Run(ctx context.Context) error {
	defer n.cancel()
	s := n.settings.Load()
	klog.InfoS("start", "entry", s.ID, "domain", s.Domain, "region", s.region(), "caller", s.Caller, "platform", s.Platform, "shift", s.Bounds.Shift)
	auxiliary, err := n.listenAuxiliary()
	if err != nil {
		return err
	}
	n.background.Go(func() { n.follower.Run(n.ctx) })
	n.background.Go(func() { n.tick(n.ctx) })
	n.background.Go(func() { n.maintainSubscriptions(n.ctx) })
	n.background.Go(func() { n.maintainEntry(n.ctx) })
	n.background.Go(func() { n.watchReach(n.ctx) })
	n.background.Go(func() { n.maintainProof(n.ctx) })
	select {
	case <-n.configured:
	case <-ctx.Done():
		return n.leave(nil, auxiliary)
	}
	requests, err := n.listenForRequests()
	if err != nil {
		closeServers(auxiliary)
		return err
	}
	n.transition("serve")
	klog.InfoS("serving", "version", n.version(), "endpoints", n.endpoints.Len(), "after", time.Since(n.started))
	<-ctx.Done()
	return n.leave(requests, auxiliary)
}

// tick runs what depends on the passing of time.
func (n *Node) tick(ctx context.Context) {
	detector := newPauseDetector(time.Now(), n.sinceBoot)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		n.recordTick(now.Sub(last))
		last = now
		if gap := detector.check(now); gap > 0 {
			n.metrics.increment("pause")
			klog.InfoS("paused", "for", gap)
			n.relay.DiscardHeartbeats()
			n.endpoints.Paused(gap)
			n.permits.Paused(now)
			n.quotas.Paused(n.quotaTime())
			n.follower.Refresh()
		}
		for _, e := range n.endpoints.Tick(now) {
			n.forgetEndpoint(e, "not registered again after the store recovered")
		}
		n.logRegions(n.regions.tick(now))
		n.mirror.Tick(now)
		n.sending.discardEncoded(now)
		n.quarantine.Tick(now)
		n.checkEra()
		n.checkLateWrites()
		n.permits.Tick(now)
		n.tickQuotas()
		n.pool.CloseExpired(now)
		n.forwardPool.CloseExpired(now)
	}
}

// recordTick records the time since the last tick. A tick that comes late shows that the node's
// goroutines wait for the processor, so that its state may be stale.
func (n *Node) recordTick(gap time.Duration) {
	delay := max(0, gap-tickInterval)
	n.tickDelay.Store(int64(delay))
	n.metrics.observe("delay.tick", delay)
	if delay >= minLoggedDelay {
		klog.InfoS("delayed", "for", roundedSeconds(delay), "inflight", n.inFlight.Load())
	}
}

// transition changes the state of the node's lifecycle.
func (n *Node) transition(event string) {
	if err := n.lifecycle.Event(context.Background(), event); err != nil {
		n.metrics.increment("invariant.life")
		klog.ErrorS(err, "invariant broken", "what", "life")
	}
}

func (n *Node) state() State { return State(n.lifecycle.Current()) }

// isReady reports whether callers may use this node.
func (n *Node) isReady() bool { return n.state() == StateServing && !n.listenerLost.Load() }

func (n *Node) version() inventory.Version {
	if t := n.routes.Load(); t != nil {
		return t.Version
	}
	return 0
}
