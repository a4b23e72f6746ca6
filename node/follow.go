package node

// Following the configuration: from the platform's store by a watch, and from
// other nodes when they have a higher version.

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/wasabiwheel/wasabiwheel/configuration"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/platform"
)

// Timing of the follower. The longest back-off bounds how late a node hears of
// a version that is accepted right after an outage of the store.
const (
	watchWait     = 20 * time.Second
	minBackOff    = 250 * time.Millisecond
	maxBackOff    = time.Second
	peerTimeout   = time.Second      // for another node's head
	partsTimeout  = 10 * time.Second // for the parts, once it has answered
	peerFollowers = 2                // so that one node that does not answer holds up nobody
)

// Waiting says why a node has no configuration yet.
type Waiting string

// The reasons.
const (
	WaitingStore   Waiting = "the platform's store does not answer and no bootstrap peer has a configuration"
	WaitingPublish Waiting = "no configuration has been accepted yet"
	WaitingCorrupt Waiting = "the configuration found is not whole or not valid"
)

// follower is what following needs to remember.
type follower struct {
	mu      sync.Mutex
	waiting Waiting
	store   inventory.Version // last seen in the store
}

// followStore puts in force what the store accepts, until ctx ends. At first it
// asks the bootstrap peers, so that a store with an older state does not make a
// new node serve by it.
func (n *Node) followStore(ctx context.Context) {
	n.bootstrap(ctx)
	pause := platform.BackOff{Min: minBackOff, Max: maxBackOff}
	var seen platform.Version
	for ctx.Err() == nil {
		var err error
		if seen, err = n.watchHead(ctx, seen); err == nil {
			pause.Reset()
			continue
		}
		if ctx.Err() != nil {
			return
		}
		n.counters.add("store.failure")
		klog.V(1).InfoS("store not followed", "err", err)
		n.bootstrap(ctx)
		n.noteWaiting(err)
		pause.Wait(ctx)
	}
}

// watchHead waits for the next head and puts it in force. It returns the object
// version to wait after, which is none after a failure or a wait for nothing:
// a store that comes back older may give out a version once more, and a watch
// that waits after that one would sleep through the change.
func (n *Node) watchHead(ctx context.Context, seen platform.Version) (platform.Version, error) {
	obj, err := n.store.Watch(ctx, configuration.HeadName, seen, n.headWait(ctx))
	if err != nil || obj.Name == "" {
		return platform.Absent, err
	}
	head, err := configuration.ParseHead(obj.Value)
	if err != nil {
		n.counters.add("configuration.refused")
		return platform.Absent, err
	}
	n.noteStore(head.Version)
	if err := n.config.Compare(head); err != nil {
		n.noteOldHead(head, err)
		return obj.Version, nil
	}
	err = n.fetchAndApply(ctx, configuration.StoreSource{Store: n.store}, head)
	if isBad(err) {
		// To fetch it again would give the same.
		klog.ErrorS(err, "store holds a configuration that is not whole or not valid", "version", head.Version)
		n.noteWaiting(err)
		n.bootstrap(ctx)
		return obj.Version, nil
	}
	if err != nil {
		return platform.Absent, err
	}
	return obj.Version, nil
}

// isBad reports whether a configuration was refused for what it is.
func isBad(err error) bool {
	var e *configuration.Error
	return errors.As(err, &e) && (e.Kind == configuration.KindCorrupt || e.Kind == configuration.KindInvalid)
}

// fetchAndApply puts the version of a head in force.
func (n *Node) fetchAndApply(ctx context.Context, from configuration.Source, head configuration.Head) error {
	b, err := configuration.Fetch(ctx, from, head, n.config.Bundle())
	if err != nil {
		return err
	}
	return n.apply(b)
}

// noteOldHead reports a store that came back with an older state.
func (n *Node) noteOldHead(head configuration.Head, err error) {
	var e *configuration.Error
	if errors.As(err, &e) && e.Kind == configuration.KindForked {
		n.counters.add("configuration.forked")
		klog.ErrorS(err, "store holds another configuration of the same version; apply once more with the nodes at hand")
		return
	}
	if head.Version == n.config.Version() {
		return
	}
	n.counters.add("configuration.older")
	klog.InfoS("store holds an older configuration", "store", head.Version, "applied", n.config.Version())
}

// noteStore remembers what the store holds, for the status.
func (n *Node) noteStore(v inventory.Version) {
	n.follower.mu.Lock()
	defer n.follower.mu.Unlock()
	n.follower.store = v
}

// noteWaiting reports, once for each reason, why there is no configuration.
func (n *Node) noteWaiting(err error) {
	why := waitingFor(err)
	if n.config.Version() > 0 {
		why = ""
	}
	n.follower.mu.Lock()
	changed := why != n.follower.waiting
	n.follower.waiting = why
	n.follower.mu.Unlock()
	if changed && why != "" {
		klog.InfoS("no configuration yet", "why", why, "err", err)
	}
}

func waitingFor(err error) Waiting {
	switch {
	case errors.Is(err, platform.ErrMissing):
		return WaitingPublish
	case isBad(err):
		return WaitingCorrupt
	default:
		return WaitingStore
	}
}

// followed returns the version last seen in the store and why the node waits.
func (n *Node) followed() (inventory.Version, Waiting) {
	n.follower.mu.Lock()
	defer n.follower.mu.Unlock()
	if n.config.Version() > 0 {
		return n.follower.store, ""
	}
	return n.follower.store, n.follower.waiting
}

// apply puts a version in force. The lock keeps the tables in step with the
// highest version.
func (n *Node) apply(b configuration.Bundle) error {
	n.applying.Lock()
	defer n.applying.Unlock()
	before := n.config.Version()
	err := n.config.Offer(b)
	n.checkVersion(before)
	var e *configuration.Error
	if errors.As(err, &e) && e.Kind == configuration.KindOld {
		return nil
	}
	if err != nil {
		n.counters.add("configuration.refused")
		return err
	}
	now := time.Now()
	inv := n.config.Inventory()
	n.regions.SetInventory(now, inv)
	n.grants.granter.SetInventory(inv)
	n.lookups.setInventory(inv)
	n.endpoints.SetInventory(now, inv)
	n.followNeighbours(inv)
	klog.InfoS("configuration applied", "version", b.Head.Version, "author", b.Head.Author)
	return nil
}

// checkVersion asserts that the applied version never goes down.
func (n *Node) checkVersion(before inventory.Version) {
	if after := n.config.Version(); after < before {
		n.check("version", errors.Newf("version %d follows %d", after, before))
	}
}

// wakeFollower has the configuration fetched from a node that has a higher one.
func (n *Node) wakeFollower(from inventory.EntryID) {
	select {
	case n.newer <- from:
	default:
	}
}

// followPeers fetches higher versions from other nodes, until ctx ends.
func (n *Node) followPeers(ctx context.Context) {
	var workers sync.WaitGroup
	for range peerFollowers {
		workers.Go(func() { n.followPeer(ctx) })
	}
	workers.Wait()
}

func (n *Node) followPeer(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case id := <-n.newer:
			n.fetchFromEntry(ctx, id)
		}
	}
}

// fetchFromEntry fetches from a node whose address the inventory tells.
func (n *Node) fetchFromEntry(ctx context.Context, id inventory.EntryID) {
	inv := n.config.Inventory()
	if inv == nil {
		return
	}
	if e, ok := inv.Entry(id); ok {
		n.fetchFrom(ctx, e.Peer)
	}
}

// bootstrap asks the configured peers while there is no configuration, all at
// the same time, and puts the highest of theirs in force.
func (n *Node) bootstrap(ctx context.Context) {
	if n.config.Version() > 0 {
		return
	}
	heads := make([]configuration.Head, len(n.settings.Bootstrap))
	var asked sync.WaitGroup
	for i, address := range n.settings.Bootstrap {
		asked.Go(func() { heads[i] = n.headOf(ctx, address) })
	}
	asked.Wait()
	for n.config.Version() == 0 {
		best := highest(heads)
		if best < 0 {
			return
		}
		n.fetchFrom(ctx, n.settings.Bootstrap[best])
		heads[best] = configuration.Head{}
	}
}

// headOf returns the head that a node has in force, the zero Head when it does
// not tell.
func (n *Node) headOf(ctx context.Context, address string) configuration.Head {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	h, err := n.peerAt(address).Head(ctx)
	if err != nil {
		klog.V(1).InfoS("no configuration from peer", "peer", address, "err", err)
		return configuration.Head{}
	}
	return h
}

// highest returns the index of the highest version, -1 when there is none.
func highest(heads []configuration.Head) int {
	best := -1
	for i, h := range heads {
		if h.Version > 0 && (best < 0 || h.Version > heads[best].Version) {
			best = i
		}
	}
	return best
}

func (n *Node) peerAt(address string) configuration.Peer {
	return configuration.Peer{HTTP: n.peers, URL: "http://" + address + PathConfiguration}
}

// fetchFrom puts in force what the node at an address has, if it is higher.
func (n *Node) fetchFrom(ctx context.Context, address string) {
	head := n.headOf(ctx, address)
	if n.config.Compare(head) != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, partsTimeout)
	defer cancel()
	if err := n.fetchAndApply(ctx, n.peerAt(address), head); err != nil {
		klog.V(1).InfoS("configuration not fetched", "peer", address, "err", err)
	}
}
