package node

// Following the configuration: from the platform's store by a watch, and from
// other nodes when they have a higher version.

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/wasabiwheel/wasabiwheel/configuration"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/platform"
)

// Timing of the follower.
const (
	watchWait   = 20 * time.Second
	minBackOff  = 250 * time.Millisecond
	maxBackOff  = 5 * time.Second
	peerTimeout = 2 * time.Second
)

// maxBundle bounds a version with its shards, in bytes.
const maxBundle = 64 << 20

// followStore puts in force what the store accepts, until ctx ends.
func (n *Node) followStore(ctx context.Context) {
	var seen platform.Version
	backOff := minBackOff
	for ctx.Err() == nil {
		version, err := n.watchHead(ctx, seen)
		if err == nil {
			seen = version
			backOff = minBackOff
			continue
		}
		klog.V(1).InfoS("store not followed", "err", err)
		n.counters.add("store.failure")
		n.bootstrap(ctx)
		sleep(ctx, backOff/2+rand.N(backOff))
		backOff = min(2*backOff, maxBackOff)
	}
}

// watchHead waits for the next head and puts it in force.
func (n *Node) watchHead(ctx context.Context, seen platform.Version) (platform.Version, error) {
	obj, err := n.store.Watch(ctx, configuration.HeadName, seen, watchWait)
	if err != nil || obj.Name == "" {
		return seen, err
	}
	head, err := configuration.ParseHead(obj.Value)
	if err != nil {
		return seen, err
	}
	if head.Version <= n.config.Version() {
		n.noteOldHead(head)
		return obj.Version, nil
	}
	bundle, err := configuration.Fetch(ctx, n.store, head)
	if err != nil {
		return seen, err
	}
	return obj.Version, n.apply(bundle)
}

// noteOldHead reports a store that came back with an older state.
func (n *Node) noteOldHead(head configuration.Head) {
	if head.Version == n.config.Version() {
		return
	}
	n.counters.add("configuration.older")
	klog.InfoS("store holds an older configuration", "store", head.Version, "applied", n.config.Version())
}

// apply puts a version in force. The lock keeps the tables in step with the
// highest version.
func (n *Node) apply(b configuration.Bundle) error {
	n.applying.Lock()
	defer n.applying.Unlock()
	err := n.config.Offer(b)
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

// wakeFollower has the configuration fetched from a node that has a higher one.
func (n *Node) wakeFollower(from inventory.EntryID) {
	select {
	case n.newer <- from:
	default:
	}
}

// followPeers fetches higher versions from other nodes, until ctx ends.
func (n *Node) followPeers(ctx context.Context) {
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

// bootstrap asks the configured peers while there is no configuration.
func (n *Node) bootstrap(ctx context.Context) {
	if n.config.Version() > 0 {
		return
	}
	for _, address := range n.settings.Bootstrap {
		n.fetchFrom(ctx, address)
	}
}

func (n *Node) fetchFrom(ctx context.Context, address string) {
	b, err := n.fetchBundle(ctx, address)
	if err == nil {
		err = n.apply(b)
	}
	if err != nil {
		klog.V(1).InfoS("configuration not fetched", "peer", address, "err", err)
	}
}

func (n *Node) fetchBundle(ctx context.Context, address string) (configuration.Bundle, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var b configuration.Bundle
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+pathConfiguration, nil)
	if err != nil {
		return b, &Error{Op: "fetch", Kind: KindPeer, Err: err}
	}
	resp, err := n.peers.Do(req)
	if err != nil {
		return b, &Error{Op: "fetch", Kind: KindNetwork, Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return b, &Error{Op: "fetch", Kind: KindPeer, Err: errors.New(resp.Status)}
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxBundle)).Decode(&b); err != nil {
		return b, &Error{Op: "fetch", Kind: KindPeer, Err: err}
	}
	return b, nil
}
