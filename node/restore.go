package node

// What is retained of each collection when the store is restored from an older copy, and the
// node's own entry, which has to be written again then.

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/wasabiwheel/wasabiwheel/member"
	"github.com/wasabiwheel/wasabiwheel/platform"
	"github.com/wasabiwheel/wasabiwheel/quarantine"
)

const (
	// endpointRetention is how long an endpoint whose entry the store lacks is retained:
	// endpoints write their entries again within about two seconds, and the change takes up
	// to 0.6 s to reach a node.
	endpointRetention = 2600 * time.Millisecond
	// endpointRemovalRetention is how long the removal of an endpoint is retained that the
	// store has again. An entry expires after three heartbeat intervals, 4.5 s, without one.
	endpointRemovalRetention = 6 * time.Second
	// drainRetention is how long a drain that the store lacks is retained: operators write
	// theirs again.
	drainRetention = 20 * time.Second
	// entryRetention is how long a node's entry is retained: until it has been written again,
	// also if there are many nodes and the store is slow. Budgets are divided by the entries.
	entryRetention = time.Minute
	// configurationRetention is practically until another one is written.
	configurationRetention = 24 * time.Hour

	minEntryBackoff = 300 * time.Millisecond // between attempts to write the own entry
	maxEntryBackoff = 3 * time.Second
	// entryWriteTime is the mean time between the writes of all nodes that write their entries
	// again: half of the smallest rate of writes that the store accepts.
	entryWriteTime = 5 * time.Millisecond
	// entryCheckInterval is the time between checks of the own entry.
	entryCheckInterval = 250 * time.Millisecond
)

// retentionPolicy implements discovery.RetentionPolicy by what the objects say themselves.
type retentionPolicy struct{}

// Supersedes compares the versions of configurations, the starts of nodes, and the registrations of
// endpoints.
func (retentionPolicy) Supersedes(kind platform.Collection, a, b platform.Object) bool {
	switch kind {
	case platform.Configurations:
		return supersedesConfiguration(a, b)
	case platform.Endpoints:
		return supersedesEndpoint(a, b)
	case platform.Entries:
		return supersedesEntry(a, b)
	}
	return false
}

// Same compares what the objects mean: an endpoint's entry also counts its heartbeats.
func (retentionPolicy) Same(kind platform.Collection, a, b platform.Object) bool {
	if kind != platform.Endpoints || bytes.Equal(a.Spec, b.Spec) {
		return bytes.Equal(a.Spec, b.Spec)
	}
	x, err := platform.DecodeEndpoint(a)
	y, otherErr := platform.DecodeEndpoint(b)
	x.Beat, y.Beat = 0, 0
	return err == nil && otherErr == nil && x == y
}

func supersedesConfiguration(a, b platform.Object) bool {
	before, err := platform.DecodeConfiguration(b)
	after, afterErr := platform.DecodeConfiguration(a)
	return afterErr == nil && (err != nil || after.Version > before.Version)
}

func supersedesEntry(a, b platform.Object) bool {
	var before, after member.Entry
	if json.Unmarshal(a.Spec, &after) != nil || json.Unmarshal(b.Spec, &before) != nil {
		return false
	}
	return after.Start > before.Start
}

// Retention returns how long the last known state, or the removal, of an object is retained.
// The removal of a drain is not: the operators, who removed it, remove it again, and until
// then other failure domains serve.
func (retentionPolicy) Retention(kind platform.Collection, o platform.Object, removed bool) time.Duration {
	switch {
	case kind == platform.Configurations:
		return configurationRetention
	case kind == platform.Entries:
		return entryRetention
	case kind == platform.Endpoints && removed:
		return endpointRemovalRetention
	case kind == platform.Endpoints && !isDraining(o):
		return endpointRetention
	case kind == platform.Drains && !removed:
		return drainRetention
	}
	return 0
}

func isDraining(o platform.Object) bool {
	e, err := platform.DecodeEndpoint(o)
	return err == nil && e.Draining
}

// checkEra logs that the store was restored from an older copy.
func (n *Node) checkEra() {
	era := n.mirror.Era(platform.Configurations)
	n.storeState.mu.Lock()
	before := n.storeState.era
	n.storeState.era = era
	n.storeState.mu.Unlock()
	if before == era || before == 0 {
		return
	}
	counts := map[platform.Collection]int{}
	for _, b := range n.mirror.Retained(time.Now()) {
		counts[b.Kind] = len(b.Retained)
	}
	n.metrics.increment("store.restored")
	klog.InfoS("store restored", "era", era, "before", before, "version", n.version(), "retained", counts)
}

// storedEntry is a node's entry with the quarantines that it has issued, for all nodes.
type storedEntry struct {
	member.Entry
	Quarantines []quarantine.Record `json:"quarantines,omitempty"`
}

// maintainEntry writes this node's entry to the store, and again if the store has lost it or
// a late write has replaced it. After a restore of the store all nodes may have to write
// theirs: each waits for a random part of the time that the store needs for all.
func (n *Node) maintainEntry(ctx context.Context) {
	backoff := platform.Backoff{Min: minEntryBackoff, Max: maxEntryBackoff}
	var written *platform.Written // nil: not yet
	version := uint64(0)          // of the quarantines in it
	for ctx.Err() == nil && !n.isLeaving() {
		switch {
		case written != nil && n.quarantineVersion() != version:
			written = nil
		case written != nil && n.isEntryStored(*written):
			sleep(ctx, entryCheckInterval)
		case written != nil:
			n.metrics.increment("entry.lost")
			klog.InfoS("entry lost", "entry", written.Name, "era", written.Era, "now", n.mirror.Era(platform.Entries))
			written = nil
			sleep(ctx, rand.N(entryWriteTime*time.Duration(1+len(n.members.Entries()))))
		case !n.isStoreReached():
			backoff.Wait(ctx)
		default:
			e := storedEntry{Entry: n.entry()}
			e.Quarantines, version = n.quarantine.Issued()
			w, err := n.writeEntry(ctx, e)
			if err != nil {
				n.Failed(platform.Entries, err)
				backoff.Wait(ctx)
				continue
			}
			written = &w
			backoff.Reset()
		}
	}
}

func (n *Node) isLeaving() bool {
	s := n.state()
	return s == StateLeaving || s == StateStopped
}

// isEntryStored reports whether the store has the entry of this process, as far as is known.
func (n *Node) isEntryStored(written platform.Written) bool {
	o, exists, ok := n.mirror.Stored(platform.Entries, written)
	if !ok {
		return true
	}
	e, ok := decodeEntry(o)
	issued, _ := n.quarantine.Issued()
	return exists && ok && e.Start == n.started.UnixNano() && len(e.Quarantines) == len(issued)
}

// decodeEntry returns the entry of a node in an object of the store, if it can be read.
func decodeEntry(o platform.Object) (e storedEntry, ok bool) {
	return e, json.Unmarshal(o.Spec, &e) == nil
}

func (n *Node) quarantineVersion() uint64 {
	_, version := n.quarantine.Issued()
	return version
}

// writeEntry writes this node's entry, whatever the store has in its place. The condition keeps a write
// that takes effect late from replacing the entry of this node's next process.
func (n *Node) writeEntry(ctx context.Context, e storedEntry) (platform.Written, error) {
	w, err := n.store.Create(ctx, platform.Entries, string(e.ID), e)
	if platform.IsKind(err, platform.KindConflict) {
		known, readErr := n.store.Find(ctx, platform.Entries, string(e.ID))
		if readErr != nil {
			return w, readErr
		}
		w, err = n.store.Replace(ctx, platform.Entries, string(e.ID), e, known.Revision)
	}
	w.Name = string(e.ID)
	return w, err
}
