// Package member tracks which other nodes are running.
//
// Every node writes an entry into the platform's store when it starts, so all nodes
// have the list of nodes that may exist. Each node determines which of them are alive
// from the heartbeats of a bounded number of neighbours: its successors on a hash ring,
// in its own failure domain and in the rest of its region. It reports only nodes from
// which it received heartbeats itself.
//
// # Usage
//
//	t := member.New(self)
//	t.SetEntries(entries)
//	for _, e := range t.Neighbours() { ... follow its heartbeats }
//	t.RecordHeartbeat(now, beat)
//	alive := t.Alive(now)
package member

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

const (
	// HeartbeatInterval is the time between heartbeats.
	HeartbeatInterval = 500 * time.Millisecond
	// HeartbeatTimeout is the time without a heartbeat after which a neighbour no longer
	// counts as alive. It is three intervals, so that one late or lost heartbeat has
	// no effect.
	HeartbeatTimeout    = 3 * HeartbeatInterval
	maxDomainNeighbours = 6 // neighbours in the node's own failure domain
	maxRegionNeighbours = 2 // neighbours in other failure domains of the region
	maxRemoteNodes      = 2 // nodes of other regions that a node follows while it cannot reach the store
)

// Entry is the record that a node writes into the store about itself.
type Entry struct {
	ID            inventory.EntryID  `json:"id" cbor:"id"`
	Domain        inventory.DomainID `json:"domain" cbor:"domain"`
	Region        inventory.RegionID `json:"region" cbor:"region"`
	CallerAddress string             `json:"caller" cbor:"caller"` // address for requests
	PeerAddress   string             `json:"peer" cbor:"peer"`     // address for other nodes
	AdminAddress  string             `json:"admin" cbor:"admin"`   // address for operators
	Share         float64            `json:"share" cbor:"share"`   // of a processor
	Start         int64              `json:"start" cbor:"start"`   // of the process, Unix nanoseconds
	// Link is the Mbit/s of its network link; negative: unknown, 0: the build does not tell.
	Link float64 `json:"link,omitempty" cbor:"link,omitempty"`
}

// maxShare bounds the share of a processor in an entry: it weights what a node gets.
const maxShare = 1024

// Check checks an entry that was stored under an id. It fails with KindMalformed.
func (e Entry) Check(id inventory.EntryID) error {
	if err := e.check(id); err != nil {
		return &Error{Op: "check", Kind: KindMalformed, Entry: id, Err: err}
	}
	return nil
}

func (e Entry) check(id inventory.EntryID) error {
	if e.ID != id {
		return errors.Newf("it is of %q", e.ID)
	}
	for _, address := range []string{e.CallerAddress, e.PeerAddress, e.AdminAddress} {
		if err := inventory.CheckAddress(address); err != nil {
			return err
		}
	}
	if !(e.Share > 0 && e.Share <= maxShare) {
		return errors.Newf("share of a processor of %g", e.Share)
	}
	return nil
}

// Heartbeat is the message that a running node sends periodically to its subscribers.
type Heartbeat struct {
	Entry           inventory.EntryID `cbor:"entry"`
	Ready           bool              `cbor:"ready"` // the node serves callers and is not shutting down
	Version         inventory.Version `cbor:"version"`
	CutOff          bool              `cbor:"cutoff,omitempty"` // the node reaches no endpoint
	Proven          bool              `cbor:"proven,omitempty"` // the node can decide on keys; old builds don't say so
	StoreReachedFor time.Duration     `cbor:"reached"`          // time for which the node has reached the store without interruption
}

// Table holds the entries in the store and the last heartbeat received from each node.
// It is safe for concurrent use.
type Table struct {
	self Entry

	mu      sync.Mutex
	entries []Entry // all entries in the store, sorted by id
	beats   map[inventory.EntryID]received
}

// received is the last heartbeat of a node.
type received struct {
	at   time.Time
	beat Heartbeat
}

// New returns a table without other nodes.
func New(self Entry) *Table {
	return &Table{self: self, beats: map[inventory.EntryID]received{}}
}

// SetEntries replaces the list of entries with the entries in the store.
func (t *Table) SetEntries(entries []Entry) {
	entries = slices.Clone(entries)
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries = entries
}

// Entries returns the ids of all entries in the store, sorted.
func (t *Table) Entries() []inventory.EntryID {
	t.mu.Lock()
	defer t.mu.Unlock()
	ids := make([]inventory.EntryID, 0, len(t.entries))
	for _, e := range t.entries {
		ids = append(ids, e.ID)
	}
	return ids
}

// Neighbours returns the nodes to whose heartbeats this node subscribes.
func (t *Table) Neighbours() []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var domain, region []Entry
	for _, e := range t.entries {
		switch {
		case e.ID == t.self.ID:
		case e.Domain == t.self.Domain:
			domain = append(domain, e)
		case e.Region == t.self.Region:
			region = append(region, e)
		}
	}
	return append(t.successors(domain, maxDomainNeighbours), t.successors(region, maxRegionNeighbours)...)
}

// RemoteNodes returns nodes of other regions. A node that cannot reach the store follows
// them as well, since its whole region may be unable to reach the store.
func (t *Table) RemoteNodes() []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var remote []Entry
	for _, e := range t.entries {
		if e.Region != t.self.Region {
			remote = append(remote, e)
		}
	}
	return t.successors(remote, maxRemoteNodes)
}

// successors returns the first count entries that follow this node on a ring of hashes.
// It reorders entries.
func (t *Table) successors(entries []Entry, count int) []Entry {
	start := ringPosition(t.self.ID)
	slices.SortFunc(entries, func(a, b Entry) int {
		return cmp.Compare(ringPosition(a.ID)-start, ringPosition(b.ID)-start) // the unsigned difference is the distance on the ring
	})
	return entries[:min(count, len(entries))]
}

func ringPosition(id inventory.EntryID) uint64 { return xxhash.Sum64String(string(id)) }

// RecordHeartbeat records a heartbeat and reports whether it changes the set of live nodes.
func (t *Table) RecordHeartbeat(now time.Time, b Heartbeat) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	last, known := t.beats[b.Entry]
	t.beats[b.Entry] = received{at: now, beat: b}
	return !known || last.beat.Ready != b.Ready || now.Sub(last.at) > HeartbeatTimeout
}

// RecordRefusal records that a neighbour refused a connection, which means that its process
// has ended. It reports whether the table held a heartbeat of the neighbour.
func (t *Table) RecordRefusal(id inventory.EntryID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, known := t.beats[id]
	delete(t.beats, id)
	return known
}

// Alive returns the nodes of the own region that reported themselves ready in a
// heartbeat within HeartbeatTimeout, sorted by id.
func (t *Table) Alive(now time.Time) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var alive []Entry
	for _, e := range t.entries {
		last, ok := t.beats[e.ID]
		if ok && e.Region == t.self.Region && last.beat.Ready && now.Sub(last.at) <= HeartbeatTimeout {
			alive = append(alive, e)
		}
	}
	return alive
}

// Proven returns the nodes that are ready and said so in a heartbeat within HeartbeatTimeout that they
// can decide on keys.
func (t *Table) Proven(now time.Time) []inventory.EntryID {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []inventory.EntryID
	for _, e := range t.entries {
		last, ok := t.beats[e.ID]
		if ok && last.beat.Ready && last.beat.Proven && now.Sub(last.at) <= HeartbeatTimeout {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

// PeerAddress returns the address at which other nodes reach a node, and whether it is known.
func (t *Table) PeerAddress(id inventory.EntryID) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i, ok := slices.BinarySearchFunc(t.entries, id, func(e Entry, id inventory.EntryID) int { return cmp.Compare(e.ID, id) })
	if !ok {
		return "", false
	}
	return t.entries[i].PeerAddress, true
}

// List returns all entries in the store, sorted by id.
func (t *Table) List() []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.entries)
}
