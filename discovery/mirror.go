package discovery

// The local copy of the followed collections, whichever source it came from.

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/wasabiwheel/wasabiwheel/platform"
)

const (
	maxPending    = 16   // batches with retained states that wait for the first list
	maxTombstones = 4000 // removed objects kept per collection, so that a delayed change does not restore them
)

// Sink receives the changes of a Mirror. The calls for one collection are
// sequential.
type Sink interface {
	// Changed reports changes of a collection in the order of their revisions.
	Changed(kind platform.Collection, events []platform.Event)
	// Complete reports that the first list of a collection has been applied.
	Complete(kind platform.Collection)
}

// Mirror holds collections at the highest known revision of the latest known era. Changes
// may come from several sources, delayed or repeated; a change that is older than the known
// state of its object, or of an earlier era, is ignored. Only a full list begins a new era
// (see restore.go). Mirror is safe for concurrent use.
type Mirror struct {
	sink Sink

	mu          sync.Mutex
	collections map[platform.Collection]*collection
	changed     chan struct{} // closed and replaced at each change
}

// collection is the local copy of one collection. The lock deliver keeps the calls
// of the sink in order and is acquired before the mirror's lock. The mirror's lock
// guards the other fields.
type collection struct {
	deliver sync.Mutex

	kind       platform.Collection
	policy     RetentionPolicy
	era        platform.Era // all revisions are of this era, except of what is retained
	objects    map[string]platform.Object
	tombstones map[string]tombstone
	// removedBytes is the size of the states in tombstones.
	removedBytes int
	retained     map[string]retained // newer states than the store has, over objects
	lateWrites   uint64              // over which a newer state was retained
	pending      []Batch             // states to adopt after the first list
	transition   transition          // that began the era
	forgotten    platform.Revision   // tombstones up to this revision may have been dropped
	log          []change
	gaps         []Gap
	// differences are those between the versions of large objects, the oldest first.
	differences     map[string][]Difference
	differenceBytes int
	logStart        platform.Revision // the log names all objects that changed after this revision
	at              platform.Revision // all changes up to this revision are known
	newest          platform.Revision // of the newest known change of this collection
	complete        bool              // a list has been applied
}

// Batch is an update of a collection for another process: a full copy, the changes since a
// revision, or the changes from the last state in an earlier era.
type Batch struct {
	Kind     platform.Collection `cbor:"kind"`
	Era      platform.Era        `cbor:"era,omitempty"`
	Full     bool                `cbor:"whole"`
	From     *Origin             `cbor:"from,omitempty"` // state in an earlier era; nil: none
	At       platform.Revision   `cbor:"at"`
	Events   []platform.Event    `cbor:"events"`
	Retained []Retained          `cbor:"kept,omitempty"` // newer states than the store has
	// Differences lead to objects that are not in Events. Only a process that has asked for them
	// gets them.
	Differences []Difference      `cbor:"diffs,omitempty"`
	Base        platform.Revision `cbor:"base,omitempty"` // all changes up to it have to be known; 0: not told
	Gaps        []Gap             `cbor:"gaps,omitempty"` // after Base
}

// IsAfter reports whether the batch leads beyond a position.
func (b Batch) IsAfter(p Position) bool { return b.Era > p.Era || b.Era == p.Era && b.At > p.At }

// Position is the state of a process's copy of a collection. Revisions count the
// changes of all collections together, so At also grows when this collection does
// not change.
type Position struct {
	Kind   platform.Collection `cbor:"kind"`
	Era    platform.Era        `cbor:"era,omitempty"`
	At     platform.Revision   `cbor:"at"`     // all changes up to this revision are known; 0: the copy is incomplete
	Newest platform.Revision   `cbor:"newest"` // of the newest known change of this collection
}

// NewMirror returns an empty mirror of the collections kinds.
func NewMirror(sink Sink, policy RetentionPolicy, kinds ...platform.Collection) *Mirror {
	m := &Mirror{sink: sink, collections: map[platform.Collection]*collection{}, changed: make(chan struct{})}
	for _, k := range kinds {
		m.collections[k] = &collection{kind: k, policy: policy, objects: map[string]platform.Object{}, tombstones: map[string]tombstone{}, retained: map[string]retained{}, differences: map[string][]Difference{}}
	}
	return m
}

// ApplyListing merges a full list of a collection at a revision. A list of a later era
// replaces the copy; one of an earlier era is ignored.
func (m *Mirror) ApplyListing(kind platform.Collection, l platform.Listing) {
	c := m.collections[kind]
	c.deliver.Lock()
	defer c.deliver.Unlock()
	m.mu.Lock()
	if c.complete && l.Era < c.era {
		m.mu.Unlock()
		return
	}
	restored := c.complete && l.Era > c.era
	first := !c.complete
	var events []platform.Event
	var differences []Difference
	changed := false
	if !first && !restored { // computed without the lock; deliver excludes other changes
		m.mu.Unlock()
		differences = m.prepare(c, eventsOf(l))
		m.mu.Lock()
	}
	if restored {
		events = c.restore(time.Now(), l)
	} else {
		c.era = l.Era
		c.skipHistory(l.At)
		events = c.diff(l)
		if l.At < c.at { // delayed
			events = c.current(events)
		}
		events, changed = c.merge(time.Now(), events, l.At)
		c.keep(differences)
	}
	c.complete = true
	if first {
		c.logStart = l.At // removals before the list are not in the log
		for _, b := range c.pending {
			if b.Era == c.era {
				events = append(events, c.adopt(time.Now(), b.Retained)...)
			}
		}
		c.pending = nil
	}
	m.notifyWaiters(changed || first || restored)
	m.mu.Unlock()
	m.notifySink(kind, events)
	if first {
		m.sink.Complete(kind)
	}
}

// ApplyChanges merges changes of a collection. Those of another era than the copy are
// ignored: changes may be missing in between.
func (m *Mirror) ApplyChanges(kind platform.Collection, changes platform.Changes) {
	c := m.collections[kind]
	c.deliver.Lock()
	defer c.deliver.Unlock()
	changes.Events = newestOfLarge(changes.Events)
	m.applyChanges(c, changes, m.prepare(c, changes.Events))
}

// applyChanges merges changes, of which differences are known. The caller holds deliver.
func (m *Mirror) applyChanges(c *collection, changes platform.Changes, differences []Difference) {
	m.mu.Lock()
	if changes.Era != c.era {
		m.mu.Unlock()
		return
	}
	told, changed := c.merge(time.Now(), c.current(changes.Events), changes.At)
	c.keep(differences)
	m.notifyWaiters(changed)
	m.mu.Unlock()
	m.notifySink(c.kind, told)
}

// Receive merges a batch from another process. A batch of a collection that is not
// followed is ignored. It fails with KindBase, and then applies nothing of the batch.
func (m *Mirror) Receive(b Batch) error {
	c := m.collections[b.Kind]
	if c == nil {
		return nil
	}
	switch {
	case b.From != nil:
		m.followTransition(c, b)
	case b.Full:
		l := platform.Listing{Era: b.Era, At: b.At}
		for _, e := range b.Events {
			l.Objects = append(l.Objects, e.Object)
		}
		m.ApplyListing(b.Kind, l)
	case len(b.Differences) > 0 || b.Base > 0:
		if err := m.receiveDifferences(c, b); err != nil {
			return err
		}
	case len(b.Events) > 0 || b.At > 0:
		m.ApplyChanges(b.Kind, platform.Changes{Events: b.Events, Era: b.Era, At: b.At})
	}
	if len(b.Retained) > 0 {
		m.adopt(c, b)
	}
	return nil
}

// followTransition applies the changes from the last state in an earlier era. A process that
// has another state finds out that it is behind and lists the collection.
func (m *Mirror) followTransition(c *collection, b Batch) {
	m.mu.Lock()
	l, ok := c.follow(b)
	m.mu.Unlock()
	if ok {
		m.ApplyListing(b.Kind, l)
	}
}

// adopt retains what the sender of a batch retains.
func (m *Mirror) adopt(c *collection, b Batch) {
	c.deliver.Lock()
	defer c.deliver.Unlock()
	m.mu.Lock()
	var events []platform.Event
	switch {
	case !c.complete && len(c.pending) < maxPending && c.pendingBytes()+specBytes(b.Retained) <= maxPendingBytes:
		c.pending = append(c.pending, Batch{Kind: b.Kind, Era: b.Era, Retained: b.Retained})
	case !c.complete: // connections are opened again, and tell it then
	case b.Era == c.era:
		events = c.adopt(time.Now(), b.Retained)
	}
	m.mu.Unlock()
	m.notifySink(b.Kind, events)
}

func (m *Mirror) notifySink(kind platform.Collection, events []platform.Event) {
	if len(events) > 0 {
		m.sink.Changed(kind, events)
	}
}

// notifyWaiters wakes the goroutines that wait for a change. The caller holds the
// lock.
func (m *Mirror) notifyWaiters(changed bool) {
	if changed {
		close(m.changed)
		m.changed = make(chan struct{})
	}
}

func eventsOf(l platform.Listing) []platform.Event {
	events := make([]platform.Event, 0, len(l.Objects))
	for _, o := range l.Objects {
		events = append(events, platform.Event{Object: o})
	}
	return events
}

// diff returns the listed objects as changes, and a removal for each known object
// that is not listed and did not change after the list was made.
func (c *collection) diff(l platform.Listing) []platform.Event {
	events := eventsOf(l)
	listed := make(map[string]bool, len(l.Objects))
	for _, o := range l.Objects {
		listed[o.Name] = true
	}
	for name, o := range c.objects {
		if !listed[name] && o.Revision <= l.At {
			o.Revision = l.At
			events = append(events, platform.Event{Object: o, Removed: true})
		}
	}
	return events
}

// merge applies the events that are newer than the known state, and reports whether there are any. It
// returns those that the sink is told of, in the order of their revisions: neither late writes nor
// removals of objects that the sink does not know. All changes up to revision at are known afterwards.
func (c *collection) merge(now time.Time, events []platform.Event, at platform.Revision) (told []platform.Event, changed bool) {
	sorted := slices.Clone(events)
	slices.SortFunc(sorted, compareEvents)
	for _, e := range sorted {
		if !c.isNewer(e) { // compared one at a time, since one batch may create and remove an object
			continue
		}
		_, wasKnown := c.objects[e.Object.Name]
		_, wasRetained := c.retained[e.Object.Name]
		isTold := c.supersede(now, e)
		c.apply(e)
		c.newest = max(c.newest, e.Object.Revision)
		changed = true
		if isTold && (!e.Removed || wasKnown || wasRetained) {
			told = append(told, e)
		}
	}
	c.at = max(c.at, at)
	return told, changed
}

// current drops the changes of unknown objects that this copy must have known: these have been
// removed since. There may be no tombstone, if a source has read neither change.
func (c *collection) current(events []platform.Event) []platform.Event {
	if !c.complete {
		return events
	}
	var kept []platform.Event
	for _, e := range events {
		if _, ok := c.objects[e.Object.Name]; ok || e.Removed || e.Object.Revision > c.at {
			kept = append(kept, e)
		}
	}
	return kept
}

// compareEvents orders events of one era by their revisions.
func compareEvents(a, b platform.Event) int {
	return cmp.Or(cmp.Compare(a.Object.Revision, b.Object.Revision), strings.Compare(a.Object.Name, b.Object.Name))
}

// isNewer reports whether an event is newer than what is known of its object. The removal of an
// unknown object is: another process may send only the last of several changes, and the earlier
// ones may still arrive from elsewhere.
func (c *collection) isNewer(e platform.Event) bool {
	name := e.Object.Name
	if known, ok := c.objects[name]; ok {
		return e.Object.Revision > known.Revision || e.Removed && e.Object.Revision == known.Revision
	}
	return e.Object.Revision > max(c.tombstones[name].at, c.forgotten)
}

func (c *collection) apply(e platform.Event) {
	name := e.Object.Name
	last, wasKnown := c.objects[name]
	c.dropTombstone(name)
	if e.Removed {
		r, wasRetained := c.retained[name]
		switch {
		case wasRetained:
			last = r.Object
			delete(c.retained, name)
		case !wasKnown:
			last = e.Object
		}
		c.tombstones[name] = tombstone{last: last, at: e.Object.Revision}
		c.removedBytes += len(last.Spec)
		delete(c.objects, name)
		c.forgetTombstones()
	} else {
		c.objects[name] = e.Object
	}
	c.log = append(c.log, change{name: name, revision: e.Object.Revision})
	if len(c.log) > 2*maxLog {
		c.compactLog()
	}
}

// At returns the revision up to which all changes of a collection are known, or 0
// if the copy is incomplete.
func (m *Mirror) At(kind platform.Collection) platform.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.collections[kind]
	if !c.complete {
		return 0
	}
	return c.at
}

// Position returns the position of a collection.
func (m *Mirror) Position(kind platform.Collection) Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.collections[kind].position(kind)
}

func (c *collection) position(kind platform.Collection) Position {
	p := Position{Kind: kind, Era: c.era, At: c.at, Newest: c.newest}
	if !c.complete {
		p.At = 0
	}
	return p
}

// Positions returns the position of each collection.
func (m *Mirror) Positions() []Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []Position
	for kind, c := range m.collections {
		all = append(all, c.position(kind))
	}
	slices.SortFunc(all, func(a, b Position) int { return strings.Compare(string(a.Kind), string(b.Kind)) })
	return all
}

// NextChange returns a channel that is closed at the next change.
func (m *Mirror) NextChange() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Since returns the update for a process whose copy is at position p. It returns
// false if this copy is incomplete or of an earlier era, or the collection is not followed.
func (m *Mirror) Since(p Position) (Batch, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.collections[p.Kind]
	if c == nil || !c.complete || c.era < p.Era {
		return Batch{}, false
	}
	b := Batch{Kind: p.Kind, Era: c.era, At: c.at}
	if t := c.transition; p.At > 0 && p.Era != c.era && p.Era == t.from.Era && p.At >= t.from.Newest {
		b.From, b.At, b.Events, b.Retained = &t.from, t.at, t.changes, c.retainedStates(time.Now())
		return b, true
	}
	if p.At == 0 || p.Era != c.era || p.At < c.logStart || c.isInGap(p.At) {
		b.Full, b.Retained = true, c.retainedStates(time.Now())
		for _, o := range c.objects {
			b.Events = append(b.Events, platform.Event{Object: o})
		}
		return b, true
	}
	for _, entry := range c.log {
		if entry.revision <= p.At {
			continue
		}
		e, ok := c.event(entry)
		if !ok {
			continue
		}
		b.Events = append(b.Events, e)
		if s, isRetained := c.retainedState(time.Now(), entry.name); isRetained {
			b.Retained = append(b.Retained, s)
		}
	}
	return b, true
}
