package node

// Withdrawn keys: proofs that this node's copy of the configuration is recent enough, how they are
// obtained and passed on, and what happens to requests with keys without one.

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"github.com/wasabiwheel/wasabiwheel/discovery"
	"github.com/wasabiwheel/wasabiwheel/freshness"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/member"
	"github.com/wasabiwheel/wasabiwheel/organisation"
	"github.com/wasabiwheel/wasabiwheel/platform"
)

const (
	// proofShare is the share of the bound on withdrawn keys for which a proof is valid. The rest
	// covers the way of a request to its endpoint.
	proofShare = 0.7
	// agingShare is the share from which the node asks the store itself, if the node that it gets
	// changes from passes no proofs on: above the age at two hops from a slow store, 2.7 s of 5 s, with
	// time left for a call.
	agingShare = 0.56
	// proofWatchShare is the share of the bound for which a watch of the configuration waits.
	proofWatchShare = 0.125
	// promptShare is the share from which a watch does not wait: that of a node that begins to read. With
	// a slow store the proof of one that reads is 1.3 s of 5 s old then.
	promptShare     = 0.3
	proveInterval   = 100 * time.Millisecond // between checks of the age
	noBoundInterval = time.Second            // between checks whether there is a bound
	promptUpdates   = 2                      // after a new era: one for each hop
	promptInterval  = 50 * time.Millisecond  // between them
	proveTimeout    = time.Second            // of a call to the store
	minProveBackoff = 500 * time.Millisecond // between calls that failed: all nodes may make them
	maxProveBackoff = 4 * time.Second
	clockInterval   = 2 * time.Second // between clocks on a connection: two clocks drift by less than 1 ms meanwhile
	maxClockBytes   = 1 << 10         // of a message with a clock
)

// clockMessage is a message of a subscriber, which the sender of updates returns with its proof.
type clockMessage struct {
	Clock time.Duration `cbor:"clock"`
}

// proofLimit returns for how long proofs are valid; 0: keys are accepted without.
func (b Bounds) proofLimit() time.Duration {
	return time.Duration(proofShare * float64(b.Revocation.Duration))
}

// storeProofs implements discovery.ProofObserver.
type storeProofs struct{ *Node }

// Clock returns the time on a clock that counts suspension of the VM.
func (n storeProofs) Clock() time.Duration { return n.clock() }

// WatchWait returns how long a watch of the configuration may wait.
func (n storeProofs) WatchWait() time.Duration {
	bound := n.settings.Load().Bounds.Revocation.Duration
	if bound <= 0 {
		return time.Hour
	}
	if age, ok := n.proofAge(); !ok || age > time.Duration(promptShare*float64(bound)) {
		return 0
	}
	return time.Duration(proofWatchShare * float64(bound))
}

// Proven records a proof from the store.
func (n storeProofs) Proven(p discovery.Proof) {
	n.recordProof(freshness.Proof{Position: freshness.Position{Era: uint64(p.Era), At: uint64(p.At)}, Moment: freshness.Moment(p.Sent)})
}

// clock returns the time on a clock that counts suspension of the VM, if there is one.
func (n *Node) clock() time.Duration {
	if n.sinceBoot != nil {
		if d := n.sinceBoot(); d > 0 {
			return d
		}
	}
	return time.Since(n.started)
}

// recordProof records a proof if this node's copy has reached its position and is in force.
func (n *Node) recordProof(p freshness.Proof) bool {
	return n.freshness.Record(freshness.Moment(n.clock()), p, n.configurationPosition())
}

// configurationPosition returns the position of the copy of the configuration that is in force.
func (n *Node) configurationPosition() freshness.Position {
	known := n.mirror.Delivered(platform.Configurations)
	return freshness.Position{Era: uint64(known.Era), At: uint64(known.At)}
}

// isProven reports whether this node can decide on keys.
func (n *Node) isProven() bool {
	return n.freshness.IsFresh(freshness.Moment(n.clock()), uint64(n.mirror.Era(platform.Configurations)))
}

// saysProven reports whether this node tells others that it can decide on keys, where that needs proof.
func (n *Node) saysProven() bool { return n.freshness.Limit() > 0 && n.isProven() }

// proofAge returns the age of the proof; false if there is none.
func (n *Node) proofAge() (time.Duration, bool) {
	return n.freshness.Age(freshness.Moment(n.clock()), uint64(n.mirror.Era(platform.Configurations)))
}

// proofSeconds returns the age of the proof in seconds; -1: there is none.
func (n *Node) proofSeconds() float64 {
	age, ok := n.proofAge()
	if !ok {
		return -1
	}
	return roundedSeconds(age)
}

// isAging reports whether a bound is set and the proof will soon be too old.
func (n *Node) isAging() bool {
	bound := n.settings.Load().Bounds.Revocation.Duration
	age, ok := n.proofAge()
	return bound > 0 && (!ok || age > time.Duration(agingShare*float64(bound)))
}

// maintainProof asks the store for a proof when the nodes that this one gets changes from pass none
// on, and logs when the node can't decide on keys and when it can again.
func (n *Node) maintainProof(ctx context.Context) {
	backoff := platform.Backoff{Min: minProveBackoff, Max: maxProveBackoff}
	was := true
	for ctx.Err() == nil {
		if n.freshness.Limit() <= 0 {
			sleep(ctx, noBoundInterval) // settings may be reloaded
			continue
		}
		sleep(ctx, proveInterval)
		if proven := n.isProven(); proven != was && n.routes.Load() != nil {
			was = proven
			n.metrics.increment(map[bool]string{true: "proof.regained", false: "proof.lost"}[proven])
			klog.InfoS("proof of a current configuration", "valid", proven, "age", n.proofSeconds(), "feed", n.plan.Load().Upstream, "reads", n.plan.Load().Reads)
		}
		if n.plan.Load().Reads || !n.isAging() || n.routes.Load() == nil {
			continue
		}
		n.metrics.increment("proof.asked")
		callCtx, cancel := context.WithTimeout(ctx, proveTimeout)
		err := n.follower.Prove(callCtx)
		cancel()
		if err != nil {
			n.Failed(platform.Configurations, err)
			backoff.Wait(ctx)
			continue
		}
		backoff.Reset()
	}
}

// subscriberClock is the clock that a subscriber sent last.
type subscriberClock struct {
	mu       sync.Mutex
	clock    freshness.Clock
	known    bool
	returned freshness.Proof // that it was sent last
	era      platform.Era    // of the copy when an update was sent last
	prompt   int             // updates that are sent early, since the era has changed
}

// readClocks receives the clocks of a subscriber until it disconnects, and ends the context then. Old
// builds send none.
func (n *Node) readClocks(ctx context.Context, c *websocket.Conn, to *subscriberClock) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	c.SetReadLimit(maxClockBytes)
	go func() {
		defer cancel()
		for {
			_, data, err := c.Read(ctx)
			if err != nil {
				return
			}
			var m clockMessage
			if cbor.Unmarshal(data, &m) != nil {
				n.metrics.increment("proof.malformed")
				return
			}
			to.mu.Lock()
			to.clock, to.known = freshness.Clock{Sent: m.Clock, Received: freshness.Moment(n.clock())}, true
			to.mu.Unlock()
		}
	}()
	return ctx
}

// takesClocks reports whether a subscriber has to be told that this node returns clocks.
func (n *Node) takesClocks(from *subscriberClock) bool {
	from.mu.Lock()
	defer from.mu.Unlock()
	return !from.known && n.freshness.Limit() > 0
}

// untilUpdate returns the time until the next update for a subscriber: less if a new era of the store has just
// begun, whose proof follows the copy within a moment at each hop.
func (n *Node) untilUpdate(interval time.Duration, to *subscriberClock) time.Duration {
	era := n.mirror.Era(platform.Configurations)
	to.mu.Lock()
	defer to.mu.Unlock()
	if !to.known || n.freshness.Limit() <= 0 {
		return interval
	}
	if to.era != era {
		to.era, to.prompt = era, promptUpdates
	}
	if to.prompt == 0 {
		return interval
	}
	to.prompt--
	return min(interval, promptInterval)
}

// proofFor returns this node's proof for a subscriber; nil: there is none that it lacks, or it has not
// sent its clock. It is determined before the changes that the subscriber gets with it.
func (n *Node) proofFor(to *subscriberClock) *freshness.Echo {
	p, ok := n.freshness.Proof()
	to.mu.Lock()
	defer to.mu.Unlock()
	if !ok || !to.known || p == to.returned || n.freshness.Limit() <= 0 {
		return nil
	}
	to.returned = p
	e := p.Echo(to.clock)
	return &e
}

// clockReceiver is what a subscriber knows of a node that it may send its clock to.
type clockReceiver struct {
	accepts bool      // it has said that it takes clocks
	sent    time.Time // the last clock; zero: none
}

// sendClock sends this node's clock to a node that returns it with its proof: the one that sends it
// changes, and all while its proof is old.
func (n *Node) sendClock(ctx context.Context, c *websocket.Conn, s subscription, m peerUpdate, to *clockReceiver) error {
	to.accepts = to.accepts || m.Echoes
	if !to.accepts || n.freshness.Limit() <= 0 || !s.feed && !n.isAging() || !to.sent.IsZero() && time.Since(to.sent) < clockInterval {
		return nil
	}
	to.sent = time.Now()
	data, err := cbor.Marshal(clockMessage{Clock: n.clock()})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, member.HeartbeatTimeout)
	defer cancel()
	return c.Write(ctx, websocket.MessageBinary, data)
}

// learnProof records the proof in an update, after its changes have been applied.
func (n *Node) learnProof(m peerUpdate) {
	if n.freshness.Limit() <= 0 {
		return
	}
	n.freshness.Reach(n.configurationPosition())
	if m.Proof != nil && !n.recordProof(m.Proof.Proof()) {
		n.metrics.increment("proof.early")
	}
}

// mayUseKey reports whether a request may be sent: its key belongs to its organisation in a
// configuration that is known to be recent.
func (n *Node) mayUseKey(req *request) bool {
	return req.organisation == nil || n.isProven() && req.holdsKey(n.routes.Load().organisations)
}

// holdsKey reports whether the key of a request belongs to its organisation.
func (req *request) holdsKey(table *organisation.Table) bool {
	o, found := table.Find(req.key)
	return found && o.ID == req.organisation.ID || !table.IsRequired()
}

// checkKeyAgain decides on a request whose key this node may not use now: another node with a proof
// serves it, or it is rejected.
func (n *Node) checkKeyAgain(ctx context.Context, req *request, last response) (resp response, decided bool) {
	if req.organisation == nil {
		return response{}, false
	}
	proven := n.isProven() // before the configuration is read
	table := n.routes.Load().organisations
	switch {
	case proven && req.holdsKey(table):
		return response{}, false
	case proven:
		return mergeResponses(last, *n.rejectKey(req, table, keyUnknown)), true
	}
	if req.forwarded == nil && req.sent == 0 {
		req.unproven = true
		if resp, decided := n.forward(ctx, req); decided {
			return mergeResponses(last, resp), true
		}
	}
	return mergeResponses(last, *n.rejectKey(req, table, keyUnproven)), true
}

// mayForward reports whether a request may be sent to another node: to any if this one can decide on
// the key, else only to one that does. Old builds don't check keys.
func (n *Node) mayForward(req *request, to inventory.EntryID) bool {
	return n.mayUseKey(req) || slices.Contains(n.members.Proven(time.Now()), to)
}

// rejectUnproven rejects a request at once if neither this node nor another one that it knows of can
// decide on its key.
func (n *Node) rejectUnproven(req *request, table *organisation.Table) *response {
	if n.isProven() || req.forwarded == nil && len(n.members.Proven(time.Now())) > 0 {
		return nil
	}
	return n.rejectKey(req, table, keyUnproven)
}

// provenNodes returns the nodes among which one may serve a request whose key this node can't check.
func (n *Node) provenNodes(now time.Time, req *request) (among []inventory.EntryID, restricted bool) {
	if !req.unproven {
		return nil, false
	}
	return n.members.Proven(now), true
}
