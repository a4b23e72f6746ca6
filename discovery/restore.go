package discovery

// The copy of a collection after the store was restored from an older copy of its own. The
// store then lacks its newest changes and assigns their revisions again, which begins a new
// era. Its silence proves nothing: an object that it lacks may have been written before the
// restore, and one that it has may have been removed. Whoever wrote there writes it again,
// each in its own time.
//
// So what a process knows from before is retained where it is newer: the last known state of
// an object whose writer says in it that it is newer, or that the store lacks; or its removal.
// Retained is a layer over the store's objects. It ends when the object changes in the new
// era, unless that state is older by its writer's own word, or after a time.

import (
	"maps"
	"slices"
	"time"

	"github.com/wasabiwheel/wasabiwheel/platform"
)

// RetentionPolicy decides what is retained of a collection when the store returns from an
// older copy, or a write takes effect late.
type RetentionPolicy interface {
	// Supersedes reports whether state a of an object is newer than state b by what their
	// writer says in them. Their revisions can't be compared.
	Supersedes(kind platform.Collection, a, b platform.Object) bool
	// Same reports whether two states of an object mean the same.
	Same(kind platform.Collection, a, b platform.Object) bool
	// Retention returns for how long the last known state of an object is retained if the
	// store lacks it or, with removed, its removal if the store has an older state of it.
	Retention(kind platform.Collection, o platform.Object, removed bool) time.Duration
	// IsLate reports whether a state o that the store has last was written before the known state,
	// after which the object may have been removed, and for how long the known state or the removal
	// is retained over it; 0: until the object changes again. Both states are of one era.
	IsLate(kind platform.Collection, known, o platform.Object, removed bool) (late bool, hold time.Duration)
}

// Retained is the state of an object before the store was restored, or before a late write.
type Retained struct {
	platform.Event
	Left time.Duration `cbor:"left,omitempty"` // for which it is retained; 0: until it is superseded
}

// retained is a Retained of a collection.
type retained struct {
	platform.Event
	until time.Time // zero: until it is superseded
}

// tombstone is a removed object.
type tombstone struct {
	last platform.Object   // last known state
	at   platform.Revision // of the removal
}

// Era returns the era of the copy of a collection.
func (m *Mirror) Era(kind platform.Collection) platform.Era {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.collections[kind].era
}

// transition is the difference between the last state of a collection in an era and its first
// one in a later era. It lets processes with the same last state follow without a full copy,
// which would be sent to all of them at once.
type transition struct {
	from    Origin
	at      platform.Revision // in the later era
	changes []platform.Event
}

// Origin is the state that a transition leads on from.
type Origin struct {
	Era    platform.Era      `cbor:"era"`
	Newest platform.Revision `cbor:"newest"` // of the newest change of the collection
}

// transitionTo returns the transition to a list of a later era.
func (c *collection) transitionTo(l platform.Listing) transition {
	t := transition{from: Origin{Era: c.era, Newest: c.newest}, at: l.At}
	listed := make(map[string]bool, len(l.Objects))
	for _, o := range l.Objects {
		listed[o.Name] = true
		if k, exists := c.objects[o.Name]; !exists || k.Revision != o.Revision || !c.policy.Same(c.kind, k, o) {
			t.changes = append(t.changes, platform.Event{Object: o})
		}
	}
	for name, k := range c.objects {
		if !listed[name] {
			t.changes = append(t.changes, platform.Event{Object: k, Removed: true})
		}
	}
	return t
}

// follow returns the list that a transition leads to, and whether it leads on from the state
// of this copy.
func (c *collection) follow(b Batch) (platform.Listing, bool) {
	if !c.complete || c.era != b.From.Era || c.at < b.From.Newest || c.newest > b.From.Newest {
		return platform.Listing{}, false
	}
	next := maps.Clone(c.objects)
	for _, e := range b.Events {
		if e.Removed {
			delete(next, e.Object.Name)
		} else {
			next[e.Object.Name] = e.Object
		}
	}
	return platform.Listing{Era: b.Era, At: b.At, Objects: slices.Collect(maps.Values(next))}, true
}

// restore replaces the copy by a list of a later era, and returns the changes for the sink.
func (c *collection) restore(now time.Time, l platform.Listing) []platform.Event {
	known, removed := c.visible(), c.removed()
	t := c.transitionTo(l)
	c.reset(l)
	c.transition = t
	var events []platform.Event
	for name, k := range known {
		o, exists := c.objects[name]
		keep := c.policy.Retention(c.kind, k, false)
		switch {
		case exists && c.policy.Same(c.kind, k, o):
		case exists && c.policy.Supersedes(c.kind, k, o):
			c.retained[name] = retained{Event: platform.Event{Object: k}}
		case exists:
			events = append(events, platform.Event{Object: o})
		case keep > 0:
			c.retained[name] = retained{Event: platform.Event{Object: k}, until: now.Add(keep)}
		default:
			events = append(events, platform.Event{Object: k, Removed: true})
		}
	}
	for name, o := range c.objects {
		if _, wasKnown := known[name]; wasKnown {
			continue
		}
		if t, wasRemoved := removed[name]; wasRemoved && c.retainRemoval(now, t.last, o) {
			continue
		}
		events = append(events, platform.Event{Object: o})
	}
	slices.SortFunc(events, compareEvents)
	return events
}

// reset replaces the store's objects by a list.
func (c *collection) reset(l platform.Listing) {
	c.objects, c.tombstones, c.retained = map[string]platform.Object{}, map[string]tombstone{}, map[string]retained{}
	c.forgotten, c.removedBytes, c.log, c.logStart = 0, 0, nil, l.At
	c.gaps, c.differences, c.differenceBytes = nil, map[string][]Difference{}, 0
	c.era, c.at, c.newest = l.Era, l.At, 0
	for _, o := range l.Objects {
		c.objects[o.Name] = o
		c.newest = max(c.newest, o.Revision)
	}
}

// visible returns the objects as the sink knows them.
func (c *collection) visible() map[string]platform.Object {
	all := maps.Clone(c.objects)
	for name, r := range c.retained {
		if r.Removed {
			delete(all, name)
		} else {
			all[name] = r.Object
		}
	}
	return all
}

// removed returns the objects that are known to be removed.
func (c *collection) removed() map[string]tombstone {
	all := maps.Clone(c.tombstones)
	for name, r := range c.retained {
		if r.Removed {
			all[name] = tombstone{last: r.Object}
		}
	}
	return all
}

// retainRemoval retains the removal of an object, last known in a state, if the store has it
// from before its removal, and reports whether it does. A state that was written since the
// restore may have the revision of an older one; its writer's word goes before that.
func (c *collection) retainRemoval(now time.Time, last, o platform.Object) bool {
	keep := c.policy.Retention(c.kind, o, true)
	if keep <= 0 || o.Revision > last.Revision || c.policy.Supersedes(c.kind, o, last) {
		return false
	}
	c.retained[o.Name] = retained{Event: platform.Event{Object: last, Removed: true}, until: now.Add(keep)}
	return true
}

// expire ends what has been retained for long enough, and returns the changes for the sink.
func (c *collection) expire(now time.Time) []platform.Event {
	var told []platform.Event
	for name, r := range c.retained {
		if r.until.IsZero() || now.Before(r.until) {
			continue
		}
		delete(c.retained, name)
		if o, exists := c.objects[name]; exists {
			told = append(told, platform.Event{Object: o})
		} else {
			told = append(told, platform.Event{Object: r.Object, Removed: true})
		}
	}
	slices.SortFunc(told, compareEvents)
	return told
}

// adopt retains what another process of the same era retains and this one does not know, and
// returns the changes for the sink.
func (c *collection) adopt(now time.Time, states []Retained) []platform.Event {
	var told []platform.Event
	held := c.retainedBytes()
	for _, s := range states {
		name := s.Object.Name
		o, exists := c.objects[name]
		own, isRetained := c.retained[name]
		_, isRemoved := c.tombstones[name]
		r := retained{Event: s.Event}
		if s.Left > 0 {
			r.until = now.Add(s.Left)
		}
		switch {
		case isRetained && !c.policy.Supersedes(c.kind, s.Object, own.Object), isRemoved, s.Left < 0:
			continue
		case s.Removed:
			if !exists || !c.isLate(s, o) && !c.retainRemoval(now, s.Object, o) {
				continue
			}
		case exists && !c.policy.Supersedes(c.kind, s.Object, o) && !c.isLate(s, o), !exists && s.Left == 0:
			continue
		case held+len(s.Object.Spec) > maxRetainedBytes: // the own ones are at most a copy
			continue
		}
		c.retained[name] = r
		held += len(s.Object.Spec)
		told = append(told, s.Event)
	}
	return told
}

// isLate reports whether a state of an object was written before one that another process retains.
func (c *collection) isLate(s Retained, o platform.Object) bool {
	late, _ := c.policy.IsLate(c.kind, s.Object, o, s.Removed)
	return late
}

func (c *collection) retainedBytes() int {
	sum := 0
	for _, r := range c.retained {
		sum += len(r.Object.Spec)
	}
	return sum
}

func (c *collection) pendingBytes() int {
	sum := 0
	for _, b := range c.pending {
		sum += specBytes(b.Retained)
	}
	return sum
}

func specBytes(states []Retained) int {
	sum := 0
	for _, s := range states {
		sum += len(s.Object.Spec)
	}
	return sum
}

// retainedStates returns what is retained, for another process.
func (c *collection) retainedStates(now time.Time) []Retained {
	var all []Retained
	for name := range c.retained {
		if s, ok := c.retainedState(now, name); ok {
			all = append(all, s)
		}
	}
	slices.SortFunc(all, func(a, b Retained) int { return compareEvents(a.Event, b.Event) })
	return all
}

// retainedState returns what is retained of an object, for another process.
func (c *collection) retainedState(now time.Time, name string) (Retained, bool) {
	r, ok := c.retained[name]
	if !ok {
		return Retained{}, false
	}
	s := Retained{Event: r.Event}
	if !r.until.IsZero() {
		s.Left = r.until.Sub(now)
	}
	return s, r.until.IsZero() || s.Left > 0
}

// Tick ends what has been retained for long enough.
func (m *Mirror) Tick(now time.Time) {
	for kind, c := range m.collections {
		c.deliver.Lock()
		m.mu.Lock()
		events := c.expire(now)
		m.mu.Unlock()
		m.notifySink(kind, events)
		c.deliver.Unlock()
	}
}

// Retained returns what is retained of each collection, for a process that may lack it.
func (m *Mirror) Retained(now time.Time) []Batch {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []Batch
	for kind, c := range m.collections {
		if states := c.retainedStates(now); len(states) > 0 {
			all = append(all, Batch{Kind: kind, Era: c.era, Retained: states})
		}
	}
	return all
}

// Stored returns an object as the store has it, without what is retained; exists tells
// whether it does. ok is false if the copy is from before a write of the object.
func (m *Mirror) Stored(kind platform.Collection, written platform.Written) (o platform.Object, exists, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.collections[kind]
	if !c.complete || c.era < written.Era || c.era == written.Era && c.at < written.Revision {
		return platform.Object{}, false, false
	}
	o, exists = c.objects[written.Name]
	return o, exists, true
}
