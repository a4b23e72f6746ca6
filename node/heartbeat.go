package node

// Heartbeats: one WebSocket to each other node, on which this node sends its
// own state at an interval and gets the other's state back.

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/coder/websocket"
	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	"github.com/wasabiwheel/wasabiwheel/endpoint"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/member"
)

// beatLoop is a running heartbeat loop to an address.
type beatLoop struct {
	peer string
	stop context.CancelFunc
}

// neighbours keeps one heartbeat loop running for each other entry VM.
type neighbours struct {
	loops map[inventory.EntryID]beatLoop
}

// followNeighbours starts and ends loops so that there is one for each entry VM
// of the inventory, and for those left out that are still awaited. It is called
// under the node's configuration lock.
func (n *Node) followNeighbours(inv *inventory.Inventory) {
	awaited := n.endpoints.Awaited()
	for id, old := range n.neighbours.loops {
		e, ok := inv.Entry(id)
		if (ok && e.Peer != old.peer) || (!ok && !slices.Contains(awaited, id)) {
			old.stop()
			delete(n.neighbours.loops, id)
		}
	}
	for _, e := range inv.Entries {
		if _, running := n.neighbours.loops[e.ID]; running || e.ID == n.settings.ID {
			continue
		}
		ctx, stop := context.WithCancel(n.ctx)
		n.neighbours.loops[e.ID] = beatLoop{peer: e.Peer, stop: stop}
		n.background.Go(func() { n.beatLoop(ctx, e) })
	}
}

// beatLoop exchanges heartbeats with one neighbour until ctx ends.
func (n *Node) beatLoop(ctx context.Context, e inventory.Entry) {
	for ctx.Err() == nil {
		n.beatConnection(ctx, e)
		sleep(ctx, member.Interval)
	}
}

// beatStream is a connection for heartbeats with what was sent and received on
// it before. Requests and answers take turns on it.
type beatStream struct {
	conn     *websocket.Conn
	sender   member.Sender
	receiver member.Receiver
}

func newBeatStream(conn *websocket.Conn) *beatStream {
	conn.SetReadLimit(member.MaxMessage)
	return &beatStream{conn: conn}
}

func (s *beatStream) close() { _ = s.conn.CloseNow() }

// beatConnection exchanges heartbeats on one connection until it fails.
func (n *Node) beatConnection(ctx context.Context, e inventory.Entry) {
	began := time.Now()
	dialCtx, cancel := context.WithTimeout(ctx, member.SuspectAfter)
	defer cancel()
	conn, resp, err := websocket.Dial(dialCtx, "ws://"+e.Peer+pathMember, &websocket.DialOptions{HTTPClient: n.beats})
	if resp != nil && resp.Body != nil {
		defer func() { _ = resp.Body.Close() }()
	}
	if err != nil {
		if isRefused(err) && !n.moved(e) {
			n.dead(e.ID, began)
		}
		return
	}
	beats := newBeatStream(conn)
	defer beats.close()
	for ctx.Err() == nil {
		if err := n.beat(ctx, beats, e.ID); err != nil {
			klog.V(1).InfoS("heartbeat failed", "entry", e.ID, "err", err)
			return
		}
		n.news.await(ctx, member.Interval)
	}
}

// beat sends one heartbeat and takes in the answer.
func (n *Node) beat(ctx context.Context, beats *beatStream, to inventory.EntryID) error {
	ctx, cancel := context.WithTimeout(ctx, member.SuspectAfter)
	defer cancel()
	asked := time.Now()
	if err := n.sendHeartbeat(ctx, beats, to); err != nil {
		return err
	}
	h, err := n.readHeartbeat(ctx, beats)
	if err == nil && !h.Stale && h.Version <= n.config.Version() {
		n.endpoints.Resume(time.Now(), asked)
	}
	return err
}

// acceptMember answers the heartbeats of one neighbour.
func (n *Node) acceptMember(w http.ResponseWriter, r *http.Request) {
	if !n.beatRoom() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer n.beatConns.Add(-1)
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	beats := newBeatStream(conn)
	defer beats.close()
	limit := rate.NewLimiter(beatRate, beatRate)
	for n.ctx.Err() == nil {
		if !limit.Allow() {
			n.counters.add("access.rate")
			return
		}
		if err := n.answerHeartbeat(beats); err != nil {
			return
		}
	}
}

func (n *Node) answerHeartbeat(beats *beatStream) error {
	ctx, cancel := context.WithTimeout(n.ctx, member.SuspectAfter)
	defer cancel()
	h, err := n.readHeartbeat(ctx, beats)
	if err != nil {
		return err
	}
	return n.sendHeartbeat(ctx, beats, h.Entry)
}

func (n *Node) sendHeartbeat(ctx context.Context, beats *beatStream, to inventory.EntryID) error {
	data, err := beats.sender.Encode(n.heartbeat(to))
	if err != nil {
		return err
	}
	n.counters.add("member.messages")
	n.counters.addN("member.bytes", int64(len(data)))
	return beats.conn.Write(ctx, websocket.MessageBinary, data)
}

func (n *Node) readHeartbeat(ctx context.Context, beats *beatStream) (member.Heartbeat, error) {
	_, data, err := beats.conn.Read(ctx)
	if err != nil {
		return member.Heartbeat{}, err
	}
	h, err := beats.receiver.Decode(data)
	if err != nil {
		return h, err
	}
	n.heard(h)
	return h, nil
}

// heartbeat is this node's state, as told to another node.
func (n *Node) heartbeat(to inventory.EntryID) member.Heartbeat {
	now := time.Now()
	h := member.Heartbeat{
		Entry:       n.settings.ID,
		Incarnation: n.incarnation,
		Period:      uint32(n.bookings.Token(now).Period),
		Sequence:    n.sequence.Add(1),
		Leaving:     n.leaving() || n.unlisted(),
		Stale:       n.endpoints.Held(now),
		Version:     n.config.Version(),
		Targets:     n.endpoints.Claims(),
	}
	putAnnouncement(&h, n.endpoints.Announcement(to))
	for _, l := range n.endpoints.Loads(now) {
		h.Loads = append(h.Loads, member.Load(l))
	}
	return h
}

// heard takes in another node's state.
func (n *Node) heard(h member.Heartbeat) {
	now := time.Now()
	if !n.members.Heard(now, h) {
		n.counters.add("member.late")
		return
	}
	n.endpoints.Leaving(now, endpoint.Source(h.Entry), h.Targets)
	n.endpoints.Heard(now, announcementOf(h))
	if h.Version > n.config.Version() {
		n.wakeFollower(h.Entry)
	}
}

// moved reports whether the configuration has changed the address of an entry
// VM, so that what the old one shows means nothing.
func (n *Node) moved(e inventory.Entry) bool {
	x, ok := n.config.Inventory().Entry(e.ID)
	return ok && x.Peer != e.Peer
}

// dead takes in evidence, gathered since then, that a neighbour's process is
// gone.
func (n *Node) dead(id inventory.EntryID, since time.Time) {
	if n.members.Dead(id, since) {
		klog.V(1).InfoS("neighbour is dead", "entry", id)
	}
	n.endpoints.Dead(time.Now(), id, since)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
