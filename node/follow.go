package node

// Following the platform's store: configurations, endpoints, drains and entries.

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/wasabiwheel/wasabiwheel/discovery"
	"github.com/wasabiwheel/wasabiwheel/endpoint"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/member"
	"github.com/wasabiwheel/wasabiwheel/platform"
	"github.com/wasabiwheel/wasabiwheel/quarantine"
)

// storeState is the state of the connection to the store, and the collections that are
// not held in other tables.
type storeState struct {
	mu             sync.Mutex
	drained        map[inventory.DomainID]bool
	entries        map[inventory.EntryID]member.Entry
	complete       map[platform.Collection]bool
	configuration  []byte       // spec of the configuration in force; used only by applyConfiguration
	reachedSince   time.Time    // since when the store is reachable, directly or through an upstream node
	lostSince      time.Time    // since when it is not; zero: it is reachable
	era            platform.Era // of the copy, when it was last logged
	lateWrites     uint64       // when they were last logged; used only by the ticks
	configuredOnce sync.Once
}

func newStoreState() storeState {
	return storeState{
		drained:  map[inventory.DomainID]bool{},
		entries:  map[inventory.EntryID]member.Entry{},
		complete: map[platform.Collection]bool{},
	}
}

// Lost reports that this node cannot reach the store. The store counts as reachable as
// long as another node forwards its changes.
func (n *Node) Lost(cause error) {
	n.metrics.increment("store.unreached")
	if n.plan.Load().Upstream == "" {
		n.setStoreReached(false, "cause", cause)
	}
}

// Reached reports that this node can reach the store.
func (n *Node) Reached() { n.setStoreReached(true, "by", "reading") }

// setStoreReached records whether the node's copy of the store is kept up to date.
func (n *Node) setStoreReached(reached bool, key string, value any) {
	now := time.Now()
	n.storeState.mu.Lock()
	wasReached := !n.storeState.reachedSince.IsZero() && n.storeState.lostSince.IsZero()
	outage := time.Duration(0)
	switch {
	case reached && !wasReached:
		if !n.storeState.lostSince.IsZero() {
			outage = now.Sub(n.storeState.lostSince)
		}
		n.storeState.reachedSince, n.storeState.lostSince = now, time.Time{}
	case !reached && n.storeState.lostSince.IsZero():
		n.storeState.lostSince = now
		wasReached = true // also at the start
	}
	n.storeState.mu.Unlock()
	switch {
	case reached == wasReached:
	case reached:
		n.endpoints.StoreReached(now)
		klog.InfoS("store reached", "away", outage, key, value)
	default:
		n.endpoints.StoreLost(now)
		n.metrics.increment("store.lost")
		klog.InfoS("store lost", key, value)
	}
}

// isStoreReached reports whether the node's copy of the store is kept up to date.
func (n *Node) isStoreReached() bool {
	n.storeState.mu.Lock()
	defer n.storeState.mu.Unlock()
	return !n.storeState.reachedSince.IsZero() && n.storeState.lostSince.IsZero()
}

// storeReachedFor returns for how long the store has been reachable without interruption.
func (n *Node) storeReachedFor() time.Duration {
	n.storeState.mu.Lock()
	defer n.storeState.mu.Unlock()
	if n.storeState.reachedSince.IsZero() || !n.storeState.lostSince.IsZero() {
		return 0
	}
	return time.Since(n.storeState.reachedSince)
}

// Failed reports that a call to the store failed.
func (n *Node) Failed(kind platform.Collection, cause error) {
	n.metrics.increment("store.failure")
	klog.InfoS("store call failed", "collection", kind, "cause", cause)
}

// Malformed reports that objects of a collection are left out.
func (n *Node) Malformed(kind platform.Collection, count int) {
	n.metrics.increment("store.malformed")
	klog.InfoS("objects ignored", "collection", kind, "count", count, "cause", "malformed")
}

// Listed logs that a collection was listed by this node.
func (n *Node) Listed(kind platform.Collection, l platform.Listing, known discovery.Position) {
	klog.InfoS("listed", "collection", kind, "count", len(l.Objects), "era", l.Era, "revision", l.At, "known", known.At)
}

// Changed applies the changes of a collection.
func (n *Node) Changed(kind platform.Collection, events []platform.Event) {
	switch kind {
	case platform.Configurations:
		for _, e := range events {
			if !e.Removed {
				n.applyConfiguration(e.Object)
			}
		}
	case platform.Endpoints:
		n.applyEndpoints(events)
	case platform.Drains:
		n.applyDrains(events)
	case platform.Entries:
		n.applyEntries(events)
	}
}

const (
	// maxEndpointLines is the largest number of endpoints that change together and are logged
	// with a line each. More change when a node starts: a line each would exceed the log's
	// burst, so that lines about the start would be dropped.
	maxEndpointLines = 20
	endpointsPerLine = 30 // endpoints in a line beyond that: about 3 KB, less than maxLogWrite
)

// registration is an endpoint's entry at a revision of the store.
type registration struct {
	inventory.Endpoint
	revision platform.Revision
}

// String formats the registration for the log.
func (r registration) String() string {
	return fmt.Sprintf("%s %s %s %s slots %d draining %t cold %s start %d beat %d revision %d", r.ID, r.Service, r.Domain, r.Address, r.Slots, r.Draining, r.ColdRemaining, startMillis(r.Endpoint), r.Beat, r.revision)
}

// startMillis returns the start of an endpoint in Unix milliseconds, 0 if it is unknown.
func startMillis(e inventory.Endpoint) int64 {
	if e.Start.IsZero() {
		return 0
	}
	return e.Start.UnixMilli()
}

// applyEndpoints applies changes of the endpoints' entries.
func (n *Node) applyEndpoints(events []platform.Event) {
	var changed []registration
	for _, e := range events {
		if e.Removed {
			n.removeEndpoint(inventory.EndpointID(e.Object.Name))
			continue
		}
		if registered, ok := n.registerEndpoint(e.Object); ok {
			changed = append(changed, registration{Endpoint: registered, revision: e.Object.Revision})
		}
	}
	logEndpoints(changed)
}

func logEndpoints(changed []registration) {
	if len(changed) <= maxEndpointLines {
		for _, e := range changed {
			klog.InfoS("endpoint", "endpoint", e.ID, "service", e.Service, "domain", e.Domain, "address", e.Address, "slots", e.Slots, "draining", e.Draining, "cold", e.ColdRemaining, "start", startMillis(e.Endpoint), "beat", e.Beat, "revision", e.revision)
		}
		return
	}
	for chunk := range slices.Chunk(changed, endpointsPerLine) {
		var lines []string
		for _, e := range chunk {
			lines = append(lines, e.String())
		}
		klog.InfoS("endpoints", "count", len(changed), "endpoints", lines)
	}
}

// Complete records that a collection has been read in full.
func (n *Node) Complete(kind platform.Collection) {
	n.storeState.mu.Lock()
	n.storeState.complete[kind] = true
	n.storeState.mu.Unlock()
	n.signalConfigured()
}

// signalConfigured lets the node serve once it has read a configuration, the endpoints and
// the drains.
func (n *Node) signalConfigured() {
	n.storeState.mu.Lock()
	complete := n.storeState.complete[platform.Endpoints] && n.storeState.complete[platform.Drains]
	n.storeState.mu.Unlock()
	if complete && n.routes.Load() != nil {
		n.storeState.configuredOnce.Do(func() { close(n.configured) })
	}
}

// applyConfiguration puts a configuration in force unless it is older than the current one.
// After a restore of the store another configuration may be accepted under the version of
// one that the store has lost; the mirror delivers it after that.
func (n *Node) applyConfiguration(o platform.Object) {
	if o.Name != platform.CurrentConfiguration {
		return
	}
	c, err := platform.DecodeConfiguration(o)
	if err != nil {
		n.metrics.increment("configuration.malformed")
		klog.ErrorS(err, "configuration refused")
		return
	}
	before := n.version()
	switch {
	case c.Version < before:
		n.metrics.increment("configuration.older")
		klog.InfoS("configuration refused", "version", c.Version, "inforce", before, "cause", "older")
		return
	case c.Version == before && bytes.Equal(o.Spec, n.storeState.configuration):
		return
	}
	n.storeState.configuration = o.Spec
	n.endpoints.SetServices(c.Services)
	n.limits.Store(&c.Limits)
	if srv := n.requestServer.Load(); srv != nil {
		srv.applyLimits()
	}
	n.setQuotas(c.Organisations)
	n.routes.Store(n.newPolicy(c))
	missing := n.relay.MissingFor(time.Now(), platform.Configurations)
	n.metrics.observe("delay.configuration", missing)
	plan := n.plan.Load()
	klog.InfoS("configuration in force", "version", c.Version, "before", before, "revision", o.Revision, "routes", len(c.Routes), "services", len(c.Services), "organisations", len(c.Organisations),
		"reads", plan.Reads, "feed", plan.Upstream, "missing", roundedSeconds(missing))
	n.signalConfigured()
}

// registerEndpoint applies an endpoint's entry, and reports whether that changes the
// node's state. An endpoint whose entry cannot be decoded is removed.
func (n *Node) registerEndpoint(o platform.Object) (e inventory.Endpoint, changed bool) {
	e, err := platform.DecodeEndpoint(o)
	if err != nil {
		n.metrics.increment("endpoint.malformed")
		klog.InfoS("endpoint ignored", "endpoint", o.Name, "cause", err)
		if known, ok := n.endpoints.Endpoint(inventory.EndpointID(o.Name)); ok && n.endpoints.Malformed(time.Now(), known.ID) {
			n.forgetEndpoint(known, "entry malformed")
		}
		return e, false
	}
	changed = n.endpoints.Register(time.Now(), e)
	if e.Draining {
		n.pool.RemoveEndpoint(e.ID, e.Address)
	}
	return e, changed
}

func (n *Node) removeEndpoint(id inventory.EndpointID) {
	e, known := n.endpoints.Endpoint(id)
	if !known {
		return
	}
	if n.endpoints.Removed(time.Now(), id) {
		n.forgetEndpoint(e, "entry removed")
		return
	}
	klog.InfoS("endpoint kept", "endpoint", id, "cause", "its entry expired while the store was unreachable")
}

// forgetEndpoint closes the unused connections to a removed endpoint.
func (n *Node) forgetEndpoint(e inventory.Endpoint, cause string) {
	n.pool.RemoveEndpoint(e.ID, e.Address)
	klog.InfoS("endpoint gone", "endpoint", e.ID, "cause", cause)
}

// applyDrains applies changes of the drained failure domains.
func (n *Node) applyDrains(events []platform.Event) {
	n.storeState.mu.Lock()
	for _, e := range events {
		if e.Removed {
			delete(n.storeState.drained, inventory.DomainID(e.Object.Name))
			continue
		}
		n.storeState.drained[inventory.DomainID(e.Object.Name)] = true
	}
	n.storeState.mu.Unlock()
	drained := n.drainedDomains()
	back := n.endpoints.SetDrained(time.Now(), drained)
	klog.InfoS("drains in force", "drained", drained, "back", back)
}

// drainedDomains returns the drained failure domains, sorted.
func (n *Node) drainedDomains() []inventory.DomainID {
	n.storeState.mu.Lock()
	defer n.storeState.mu.Unlock()
	var drained []inventory.DomainID
	for d := range n.storeState.drained {
		drained = append(drained, d)
	}
	slices.Sort(drained)
	return drained
}

// applyEntries applies changes of the nodes' entries.
func (n *Node) applyEntries(events []platform.Event) {
	var quarantines []quarantine.Record
	n.storeState.mu.Lock()
	for _, ev := range events {
		id := inventory.EntryID(ev.Object.Name)
		var e storedEntry
		err := json.Unmarshal(ev.Object.Spec, &e)
		if err == nil {
			err = e.Entry.Check(id)
		}
		switch {
		case ev.Removed:
			delete(n.storeState.entries, id)
		case err != nil: // a state from before stays: its node writes it again
			n.metrics.increment("entry.malformed")
			klog.InfoS("entry ignored", "entry", id, "cause", err)
		default:
			n.storeState.entries[id] = e.Entry
			quarantines = append(quarantines, e.Quarantines...)
		}
	}
	var entries []member.Entry
	var peers []discovery.Peer
	for _, e := range n.storeState.entries {
		entries = append(entries, e)
		peers = append(peers, discovery.Peer{ID: e.ID, Domain: e.Domain, Link: e.Link})
	}
	n.storeState.mu.Unlock()
	n.learnQuarantines(quarantines, "store")
	n.members.SetEntries(entries)
	n.setPermitPeers(entries)
	n.setQuotaPeers(entries)
	n.setForwarders(entries)
	n.relay.SetPeers(peers)
	ids := n.members.Entries()
	n.endpoints.SetColdSenders(endpoint.ColdSenders{Self: n.settings.Load().ID, Entries: ids})
	n.endpoints.SetLocalDomain(n.location(entries))
	n.retries.SetNodes(time.Now(), ids)
	klog.InfoS("entries", "count", len(ids), "changed", len(events))
}

// location returns this node's failure domain, with the shares of callers that its nodes and those of
// its region serve. The shares are proportional to their processor shares.
func (n *Node) location(entries []member.Entry) endpoint.LocalDomain {
	settings := n.settings.Load()
	local := endpoint.LocalDomain{Domain: settings.Domain, Share: 1, RegionShare: 1}
	domain, region, all := 0.0, 0.0, 0.0
	for _, e := range entries {
		all += e.Share
		if e.Domain == local.Domain {
			domain += e.Share
		}
		if e.Region == settings.region() {
			region += e.Share
		}
	}
	if domain > 0 {
		local.Share, local.RegionShare = domain/all, region/all
	}
	return local
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
