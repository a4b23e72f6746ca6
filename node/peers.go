package node

// What nodes tell each other, over WebSockets: heartbeats to whoever follows
// them, and what they read of the store to those they are a feed of.

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"github.com/wasabiwheel/wasabiwheel/discovery"
	"github.com/wasabiwheel/wasabiwheel/exchange"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/lookup"
	"github.com/wasabiwheel/wasabiwheel/member"
)

const (
	pathBeats    = "/beats"
	beatDial     = 500 * time.Millisecond // to connect to a neighbour
	messageSize  = 16 << 20               // bytes of a message, at most: all collections at once
	beatRetry    = 500 * time.Millisecond // between tries to reach a neighbour
	maxFollowers = 128                    // connections of those that follow this node: several times its neighbours
	peersRefresh = 200 * time.Millisecond // between looks at who is to be followed, and how
)

// hello is the first message of a follower: what it wants to hear.
type hello struct {
	Feed      bool                 `cbor:"feed"`      // collections of the store too
	Positions []discovery.Position `cbor:"positions"` // how far it knows them
}

// news is a message to a follower.
type news struct {
	Beat      member.Beat          `cbor:"beat"`
	Hops      discovery.Hops       `cbor:"hops"` // how the node is kept up to date
	Positions []discovery.Position `cbor:"positions"`
	Batches   []discovery.Batch    `cbor:"batches,omitempty"`
}

func (n *Node) peerHandler() http.Handler {
	var followers atomic.Int64
	mux := http.NewServeMux()
	mux.HandleFunc(pathBeats, func(w http.ResponseWriter, r *http.Request) {
		if followers.Add(1) > maxFollowers {
			followers.Add(-1)
			n.counters.add("beats.refused")
			http.Error(w, "too many followers", http.StatusTooManyRequests)
			return
		}
		defer followers.Add(-1)
		n.serveFollower(w, r)
	})
	return mux
}

// serveFollower sends news to a follower until it leaves.
func (n *Node) serveFollower(w http.ResponseWriter, r *http.Request) {
	c, err := websocket.Accept(w, r, nil)
	if err != nil {
		return // Accept has answered
	}
	defer func() { _ = c.CloseNow() }()
	var h hello
	if err := receive(r.Context(), c, beatDial, &h); err != nil {
		return
	}
	ctx := c.CloseRead(r.Context())
	interval := member.Interval
	if h.Feed {
		interval = discovery.FeedInterval
	}
	for ctx.Err() == nil && n.ctx.Err() == nil {
		changed := n.mirror.Wait()
		if n.send(ctx, c, &h) != nil {
			return
		}
		if !h.Feed {
			changed = nil
		}
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
		case <-n.ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// send sends a heartbeat, and to a feed what it lacks.
func (n *Node) send(ctx context.Context, c *websocket.Conn, h *hello) error {
	m := news{
		Beat:      member.Beat{Entry: n.settings.Load().ID, Ready: n.isReady(), Version: n.version()},
		Hops:      n.relay.Hops(time.Now(), n.follower.IsReading()),
		Positions: n.mirror.Positions(),
	}
	if m.Hops == discovery.HopsReader {
		m.Beat.Reached = n.storeHeld()
	}
	for i, p := range h.Positions {
		if b, ok := n.mirror.Since(p); ok && h.Feed && b.At > p.At {
			m.Batches = append(m.Batches, b)
			h.Positions[i].At = b.At
		}
	}
	data, err := cbor.Marshal(m)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, member.SilentAfter)
	defer cancel()
	return c.Write(ctx, websocket.MessageBinary, data)
}

func receive(ctx context.Context, c *websocket.Conn, limit time.Duration, out any) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	_, data, err := c.Read(ctx)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(data, out)
}

// following is a node to be followed, and whether as a feed. Of a seed nothing is known
// but its address.
type following struct {
	entry member.Entry
	feed  bool
}

// isSeed reports whether the node is known by the settings only.
func (f following) isSeed() bool { return f.entry.ID == "" }

// followPeers follows the present neighbours, and has the store read by this node
// or its feed.
func (n *Node) followPeers(ctx context.Context) {
	loops := map[following]context.CancelFunc{}
	last := discovery.Plan{}
	for ctx.Err() == nil {
		plan := n.relay.Plan(time.Now(), n.mirror.Positions(), n.follower.IsReading())
		n.carryOut(plan, last)
		last = plan
		wanted := n.wanted(plan)
		for f, cancel := range loops {
			if !slices.Contains(wanted, f) {
				cancel()
				delete(loops, f)
			}
		}
		for _, f := range wanted {
			if loops[f] == nil {
				loop, cancel := context.WithCancel(ctx)
				loops[f] = cancel
				n.background.Go(func() { n.followPeer(loop, f) })
			}
		}
		sleep(ctx, peersRefresh)
	}
}

// carryOut reads the store, or relies on a feed.
func (n *Node) carryOut(plan, last discovery.Plan) {
	n.follower.Read(plan.Reads)
	if plan.Doubt {
		n.counters.add("store.behind")
		klog.InfoS("behind a neighbour, asking the store again")
		n.follower.Doubt()
	}
	n.fed.Store(plan.Feed != "")
	if plan.Feed != "" {
		n.setReached(true, "by", plan.Feed)
	}
	if plan.Feed != last.Feed || plan.Reads != last.Reads || plan.Starts != last.Starts {
		klog.InfoS("store", "reads", plan.Reads, "feed", plan.Feed, "starts", plan.Starts)
	}
}

// wanted returns the nodes to follow.
func (n *Node) wanted(plan discovery.Plan) []following {
	var all []following
	if plan.Starts {
		all = n.seeds()
	}
	candidates := n.relay.Candidates()
	neighbours := n.members.Neighbours()
	if plan.Reads && !n.follower.IsReading() {
		neighbours = append(neighbours, n.members.Far()...)
	}
	for _, e := range n.members.List() {
		isNeighbour := slices.ContainsFunc(neighbours, func(other member.Entry) bool { return other.ID == e.ID })
		if isNeighbour || slices.Contains(candidates, e.ID) {
			all = append(all, following{entry: e, feed: e.ID == plan.Feed})
		}
	}
	return all
}

// seeds returns the nodes that the settings name, but this one.
func (n *Node) seeds() []following {
	var all []following
	own := n.settings.Load()
	for _, s := range own.Seeds {
		if s != own.Announce {
			all = append(all, following{entry: member.Entry{Peer: s}, feed: true})
		}
	}
	return all
}

// followPeer hears one node until ctx ends.
func (n *Node) followPeer(ctx context.Context, f following) {
	dialer := exchange.Bounded{Dialer: n.network, Limit: beatDial}
	client := &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}
	for ctx.Err() == nil {
		err := n.hear(ctx, client, f)
		if errors.Is(err, syscall.ECONNREFUSED) && !f.isSeed() {
			n.lostPeer(f.entry.ID)
		}
		sleep(ctx, beatRetry)
	}
}

// lostPeer notes that a node's process is gone.
func (n *Node) lostPeer(id inventory.EntryID) {
	n.relay.Gone(id)
	if n.members.Refused(id) {
		n.counters.add("member.gone")
		klog.InfoS("neighbour gone", "entry", id, "cause", "refused")
	}
}

func (n *Node) hear(ctx context.Context, client *http.Client, f following) error {
	dial, cancel := context.WithTimeout(ctx, beatDial)
	defer cancel()
	c, _, err := websocket.Dial(dial, "ws://"+f.entry.Peer+pathBeats, &websocket.DialOptions{HTTPClient: client})
	if err != nil {
		return err
	}
	defer func() { _ = c.CloseNow() }()
	c.SetReadLimit(messageSize)
	first, err := cbor.Marshal(hello{Feed: f.feed, Positions: n.mirror.Positions()})
	if err != nil {
		return err
	}
	if err := c.Write(dial, websocket.MessageBinary, first); err != nil {
		return err
	}
	for {
		var m news
		if err := receive(ctx, c, member.SilentAfter, &m); err != nil {
			return err
		}
		if m.Beat.Entry == f.entry.ID || f.isSeed() {
			n.takeNews(m)
		}
	}
}

// takeNews takes over what a node said.
func (n *Node) takeNews(m news) {
	now := time.Now()
	for _, b := range m.Batches {
		n.mirror.Receive(b)
	}
	n.relay.Hear(now, m.Beat.Entry, m.Hops, m.Positions)
	n.endpoints.StoreHeld(now, m.Beat.Reached)
	if n.members.Hear(now, m.Beat) {
		klog.InfoS("neighbour", "entry", m.Beat.Entry, "ready", m.Beat.Ready, "version", m.Beat.Version)
	}
}

// lookUp answers a caller that asks which entry VMs to use.
func (n *Node) lookUp(q lookup.Question) lookup.Answer {
	n.counters.add("lookup")
	var alive []lookup.Place
	if n.isReady() {
		alive = append(alive, place(n.entry()))
	}
	for _, e := range n.members.Alive(time.Now()) {
		alive = append(alive, place(e))
	}
	return lookup.Answer{Addresses: lookup.Choose(q, alive), TTL: min(lookupTTL, n.settings.Load().Bounds.TTL.Duration)}
}

// lookupTTL is how long a caller may keep an answer: about the time in which a
// neighbour's death is noticed.
const lookupTTL = 2 * time.Second

func place(e member.Entry) lookup.Place {
	return lookup.Place{ID: e.ID, Address: e.Caller, Domain: e.Domain, Region: e.Region, Share: e.Share}
}
