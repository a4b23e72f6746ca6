package node

// Communication between nodes, over WebSockets: heartbeats to all subscribers, and the
// changes of the store to those subscribers that request them.

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	"github.com/wasabiwheel/wasabiwheel/discovery"
	"github.com/wasabiwheel/wasabiwheel/endpoint"
	"github.com/wasabiwheel/wasabiwheel/exchange"
	"github.com/wasabiwheel/wasabiwheel/freshness"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/lookup"
	"github.com/wasabiwheel/wasabiwheel/member"
	"github.com/wasabiwheel/wasabiwheel/platform"
	"github.com/wasabiwheel/wasabiwheel/quarantine"
)

const (
	pathHeartbeats    = "/beats"
	peerDialTimeout   = 500 * time.Millisecond // timeout to connect to another node
	maxMessageBytes   = 16 << 20               // bytes of a message, at most: all collections at once
	peerRetryInterval = 500 * time.Millisecond // between attempts to connect to another node
	maxSubscribers    = 128                    // connections of nodes that subscribe to this one: several times its neighbours
	remoteContactTime = 3 * time.Second        // after the start, for which nodes of other regions are neighbours: the store may have been restored
	suspicionDelay    = 20 * time.Millisecond  // so that the suspicions of one crash are one message
	planInterval      = 200 * time.Millisecond // between updates of the plan and the subscriptions
)

// subscribeRequest is the first message of a subscriber.
type subscribeRequest struct {
	Feed      bool                 `cbor:"feed"`      // whether to send changes of the store
	Positions []discovery.Position `cbor:"positions"` // revisions that the subscriber has
	// Parts and Differences state whether it understands large changes in parts, and differences.
	Parts       bool    `cbor:"parts,omitempty"`
	Differences bool    `cbor:"diffs,omitempty"`
	Whole       bool    `cbor:"whole,omitempty"` // whole objects first, since it could not apply differences
	Link        float64 `cbor:"link,omitempty"`  // Mbit/s of its link; 0 and less: unknown
}

// subscriber is a node that receives updates, and what it has been sent.
type subscriber struct {
	subscribeRequest
	gossip     endpoint.GossipPosition
	records    uint64 // position in the log of quarantines
	suspicions uint64 // position in the log of suspicions
	greeted    bool   // whether it has received the first update
	lateWrites uint64 // as of the last update
	limiter    *rate.Limiter
	transfer   *transfer                    // of a large change; nil: none
	whole      map[platform.Collection]bool // collections of which it has been sent whole objects
	clock      subscriberClock
}

// peerUpdate is a message to a subscriber.
type peerUpdate struct {
	Beat      member.Heartbeat     `cbor:"beat"`
	Hops      discovery.Hops       `cbor:"hops"` // number of nodes between this node and the store; -1: it is not kept up to date
	Positions []discovery.Position `cbor:"positions"`
	Batches   []discovery.Batch    `cbor:"batches,omitempty"`
	Gossip    endpoint.Gossip      `cbor:"gossip"`
	Part      *part                `cbor:"part,omitempty"`    // of a large change
	Transit   bool                 `cbor:"transit,omitempty"` // a large change is on its way to this node, or to the subscriber

	Quarantines []quarantine.Record    `cbor:"quarantines,omitempty"`
	Suspicions  []quarantine.Suspicion `cbor:"suspicions,omitempty"`

	Echoes bool            `cbor:"echoes,omitempty"` // the sender takes clocks; old builds don't say so
	Proof  *freshness.Echo `cbor:"proof,omitempty"`  // of the copy of the configuration
}

func (n *Node) peerHandler() http.Handler {
	var subscribers atomic.Int64
	mux := http.NewServeMux()
	mux.HandleFunc(pathHeartbeats, func(w http.ResponseWriter, r *http.Request) {
		if subscribers.Add(1) > maxSubscribers {
			subscribers.Add(-1)
			n.metrics.increment("beats.refused")
			http.Error(w, "too many followers", http.StatusTooManyRequests)
			return
		}
		defer subscribers.Add(-1)
		n.serveSubscriber(w, r)
	})
	mux.HandleFunc("POST "+pathPermits, n.servePermit)
	mux.HandleFunc("POST "+pathCrashes, n.serveCrash)
	mux.HandleFunc("POST "+pathQuota, n.serveQuota)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerForward) != "" { // any method and path
			n.serveForwarded(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// serveSubscriber sends updates to a subscriber until it disconnects.
func (n *Node) serveSubscriber(w http.ResponseWriter, r *http.Request) {
	c, err := websocket.Accept(w, r, nil)
	if err != nil {
		return // Accept has responded
	}
	defer func() { _ = c.CloseNow() }()
	var to subscriber
	if err := readMessage(r.Context(), c, peerDialTimeout, &to.subscribeRequest); err != nil {
		return
	}
	to.limiter, to.whole = newBulkLimiter(to.Link), map[platform.Collection]bool{}
	ctx := n.readClocks(r.Context(), c, &to.clock)
	interval := member.HeartbeatInterval
	if to.Feed {
		interval = discovery.UpdateInterval
	}
	for ctx.Err() == nil && n.ctx.Err() == nil {
		changed, full, suspected := n.mirror.NextChange(), n.endpoints.NextReport(), n.quarantine.NextSuspicion()
		if n.sendUpdate(ctx, c, &to) != nil {
			return
		}
		if !to.Feed {
			changed = nil
		}
		timer := time.NewTimer(n.untilUpdate(to.untilNext(time.Now(), interval), &to.clock))
		select {
		case <-ctx.Done():
		case <-n.ctx.Done():
		case <-changed:
		case <-suspected:
			sleep(ctx, suspicionDelay)
		case <-full:
			sleep(ctx, endpoint.GossipInterval)
		case <-timer.C:
		}
		timer.Stop()
	}
}

// sendUpdate sends a heartbeat, news of endpoints and, if the subscriber requested them, the
// changes of the store that it does not have.
func (n *Node) sendUpdate(ctx context.Context, c *websocket.Conn, to *subscriber) error {
	m := peerUpdate{
		Echoes:    n.takesClocks(&to.clock),
		Proof:     n.proofFor(&to.clock), // before the changes
		Beat:      member.Heartbeat{Entry: n.settings.Load().ID, Ready: n.isReady(), Version: n.version(), CutOff: n.isCutOff(), Proven: n.saysProven()},
		Hops:      n.relay.Hops(time.Now(), n.follower.IsReading()),
		Positions: n.mirror.Positions(),
	}
	if m.Hops == discovery.HopsReader {
		m.Beat.StoreReachedFor = n.storeReachedFor()
	}
	m.Quarantines, to.records = n.quarantine.Since(to.records)
	m.Suspicions, to.suspicions = n.quarantine.SuspicionsSince(to.suspicions)
	m.Gossip, to.gossip = n.endpoints.GossipSince(time.Now(), to.gossip)
	if err := n.addChanges(time.Now(), to, &m); err != nil {
		return err
	}
	count, retained := n.mirror.LateWrites(time.Now(), to.lateWrites)
	if !to.greeted { // a node that starts has only what the store has
		retained = n.mirror.Retained(time.Now())
	}
	m.Batches = append(m.Batches, retained...)
	to.greeted, to.lateWrites = true, count
	data, err := cbor.Marshal(m)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, member.HeartbeatTimeout)
	defer cancel()
	return c.Write(ctx, websocket.MessageBinary, data)
}

func readMessage(ctx context.Context, c *websocket.Conn, limit time.Duration, out any) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	_, data, err := c.Read(ctx)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(data, out)
}

// subscription is a node to subscribe to, and whether it sends changes of the store too.
// The entry of a seed has only an address.
type subscription struct {
	entry member.Entry
	feed  bool
}

// isSeed reports whether the node is known from the settings only.
func (s subscription) isSeed() bool { return s.entry.ID == "" }

// maintainSubscriptions keeps subscriptions to the current neighbours, and applies the
// plan by which the store is read: by this node or by its upstream node.
func (n *Node) maintainSubscriptions(ctx context.Context) {
	running := map[subscription]context.CancelFunc{}
	last := discovery.Plan{}
	for ctx.Err() == nil {
		if n.follower.IsReceiving() {
			n.relay.RecordTransit(time.Now())
		}
		plan := n.relay.Plan(time.Now(), n.mirror.Positions(), n.follower.IsReading())
		n.applyPlan(plan, last)
		last = plan
		wanted := n.subscriptions(plan)
		for s, cancel := range running {
			if !slices.Contains(wanted, s) {
				cancel()
				delete(running, s)
			}
		}
		for _, s := range wanted {
			if running[s] == nil {
				loopCtx, cancel := context.WithCancel(ctx)
				running[s] = cancel
				n.background.Go(func() { n.runSubscription(loopCtx, s) })
			}
		}
		sleep(ctx, planInterval)
	}
}

// applyPlan starts or stops reading the store, and records the upstream node.
func (n *Node) applyPlan(plan, last discovery.Plan) {
	n.follower.SetReading(plan.Reads)
	if plan.Refresh {
		n.metrics.increment("store.behind")
		klog.InfoS("behind a neighbour, asking the store again", "missing", n.missingChanges())
		n.follower.Refresh()
	}
	n.plan.Store(&plan)
	if plan.Upstream != "" {
		n.setStoreReached(true, "by", plan.Upstream)
	}
	if plan.Upstream != last.Upstream || plan.Reads != last.Reads || plan.ContactSeeds != last.ContactSeeds || plan.Ahead != last.Ahead {
		klog.InfoS("store", "reads", plan.Reads, "feed", plan.Upstream, "ahead", plan.Ahead, "starts", plan.ContactSeeds)
	}
}

// missingChanges returns the collections of which a neighbour has a newer state, each with the
// seconds for which it has been missing.
func (n *Node) missingChanges() []string {
	var all []string
	for _, p := range n.mirror.Positions() {
		if d := n.relay.MissingFor(time.Now(), p.Kind); d > 0 {
			all = append(all, fmt.Sprintf("%s after revision %d for %g s", p.Kind, p.Newest, roundedSeconds(d)))
		}
	}
	return all
}

// subscriptions returns the nodes to subscribe to.
func (n *Node) subscriptions(plan discovery.Plan) []subscription {
	var all []subscription
	if plan.ContactSeeds {
		all = n.seedSubscriptions()
	}
	candidates := n.relay.Candidates()
	neighbours := n.members.Neighbours()
	if plan.Reads && !n.follower.IsReading() || time.Since(n.started) < remoteContactTime {
		neighbours = append(neighbours, n.members.RemoteNodes()...)
	}
	for _, e := range n.members.List() {
		isNeighbour := slices.ContainsFunc(neighbours, func(other member.Entry) bool { return other.ID == e.ID })
		if isNeighbour || slices.Contains(candidates, e.ID) {
			all = append(all, subscription{entry: e, feed: e.ID == plan.Upstream || e.ID == plan.Ahead})
		}
	}
	return all
}

// seedSubscriptions returns the nodes that the settings name, except this one.
func (n *Node) seedSubscriptions() []subscription {
	var all []subscription
	settings := n.settings.Load()
	for _, seed := range settings.Seeds {
		if seed != settings.AdvertisedPeer {
			all = append(all, subscription{entry: member.Entry{PeerAddress: seed}, feed: true})
		}
	}
	return all
}

// runSubscription receives updates from a node until ctx ends, and reconnects after a failure.
func (n *Node) runSubscription(ctx context.Context, s subscription) {
	dialer := exchange.TimeoutDialer{Dialer: n.network, Timeout: peerDialTimeout}
	client := &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, MaxResponseHeaderBytes: exchange.MaxHeadSize}}
	whole := false // whether the last changes could not be applied since they were differences
	for ctx.Err() == nil {
		err := n.receiveUpdates(ctx, client, s, whole)
		if errors.Is(err, syscall.ECONNREFUSED) && !s.isSeed() {
			n.peerRefused(s.entry.ID)
		}
		if whole = isBaseMissing(err); whole {
			n.metrics.increment("beats.base")
			klog.InfoS("whole objects requested", "entry", s.entry.ID, "cause", err)
		}
		pauseBeforeRetry(ctx, err)
	}
}

// peerRefused records that a node refused a connection: its process has ended.
func (n *Node) peerRefused(id inventory.EntryID) {
	n.relay.RemovePeer(id)
	if n.members.RecordRefusal(id) {
		n.metrics.increment("member.gone")
		klog.InfoS("neighbour gone", "entry", id, "cause", "refused")
	}
}

func (n *Node) receiveUpdates(ctx context.Context, client *http.Client, s subscription, whole bool) error {
	dialCtx, cancel := context.WithTimeout(ctx, peerDialTimeout)
	defer cancel()
	c, _, err := websocket.Dial(dialCtx, "ws://"+s.entry.PeerAddress+pathHeartbeats, &websocket.DialOptions{HTTPClient: client})
	if err != nil {
		return err
	}
	defer func() { _ = c.CloseNow() }()
	c.SetReadLimit(maxMessageBytes)
	first, err := cbor.Marshal(subscribeRequest{Feed: s.feed, Positions: n.mirror.Positions(), Parts: true, Differences: true, Whole: whole, Link: n.settings.Load().VM.Link})
	if err != nil {
		return err
	}
	if err := c.Write(dialCtx, websocket.MessageBinary, first); err != nil {
		return err
	}
	var parts receivedParts
	var clocks clockReceiver
	for {
		var m peerUpdate
		if err := readMessage(ctx, c, member.HeartbeatTimeout, &m); err != nil {
			return err
		}
		if m.Beat.Entry == s.entry.ID || s.isSeed() {
			if err := n.applyUpdate(m, &parts, s.feed); err != nil {
				return err
			}
		}
		if err := n.sendClock(ctx, c, s, m, &clocks); err != nil {
			return err
		}
	}
}

// applyChanges applies the changes of the store in an update.
func (n *Node) applyChanges(m peerUpdate, parts *receivedParts) error {
	for _, b := range m.Batches {
		if err := n.mirror.Receive(b); err != nil {
			return err
		}
	}
	if m.Part == nil {
		return nil
	}
	b, done, err := parts.add(m.Part)
	if err != nil || !done {
		return err
	}
	return n.mirror.Receive(b)
}

// applyUpdate applies an update from another node, which may send changes of the store. It fails
// if these can't be applied.
func (n *Node) applyUpdate(m peerUpdate, parts *receivedParts, feed bool) error {
	now := time.Now()
	if feed && (m.Transit || m.Part != nil) {
		n.relay.RecordTransit(now)
	}
	err := n.applyChanges(m, parts)
	n.learnProof(m)
	n.endpoints.Learn(now, m.Gossip)
	n.learnQuarantines(m.Quarantines, m.Beat.Entry)
	n.quarantine.Suspect(now, m.Suspicions)
	if m.Beat.CutOff {
		n.forwarders.Avoid(now, m.Beat.Entry)
	}
	n.relay.RecordHeartbeat(now, m.Beat.Entry, m.Hops, m.Positions)
	n.endpoints.StoreReachedElsewhere(now, m.Beat.StoreReachedFor)
	if n.members.RecordHeartbeat(now, m.Beat) {
		if m.Beat.Ready && !m.Beat.CutOff {
			n.forwarders.Readmit(m.Beat.Entry)
		}
		klog.InfoS("neighbour", "entry", m.Beat.Entry, "ready", m.Beat.Ready, "version", m.Beat.Version)
	}
	return err
}

// answerLookup returns the entry VMs that a caller should use.
func (n *Node) answerLookup(q lookup.Query) lookup.Answer {
	n.metrics.increment("lookup")
	var alive []lookup.EntryVM
	if n.isReady() {
		alive = append(alive, lookupEntry(n.entry()))
	}
	for _, e := range n.members.Alive(time.Now()) {
		alive = append(alive, lookupEntry(e))
	}
	return lookup.Answer{Addresses: lookup.Choose(q, alive), TTL: min(lookupTTL, n.settings.Load().Bounds.TTL.Duration)}
}

// lookupTTL is how long a caller may cache a lookup: about the time in which the failure
// of a neighbour is detected.
const lookupTTL = 2 * time.Second

func lookupEntry(e member.Entry) lookup.EntryVM {
	return lookup.EntryVM{ID: e.ID, Address: e.CallerAddress, Domain: e.Domain, Region: e.Region, Share: e.Share}
}
