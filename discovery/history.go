package discovery

// What a mirror keeps in addition to the newest state of each object, for processes that catch up
// and against delayed changes. All of it is bounded in bytes.

import (
	"slices"

	"github.com/wasabiwheel/wasabiwheel/platform"
)

const (
	maxLog = 2000 // changes of a collection kept for other processes that catch up
	// maxTombstoneBytes, maxPendingBytes and maxRetainedBytes bound the states kept in addition
	// to the objects themselves. An object has up to 1 MB, and a node may have 136 MB for all.
	maxTombstoneBytes = 2 << 20
	maxPendingBytes   = 4 << 20
	maxRetainedBytes  = 8 << 20 // of states adopted from other processes
	maxGaps           = 8
)

// change is an entry of the log. The state itself is in objects or tombstones, as long as the
// object has not changed again: the log keeps no versions that a newer one has replaced.
type change struct {
	name     string
	revision platform.Revision
}

// Gap is a part of the history that was skipped by a list: objects that were created and removed
// in between are not known. A copy from inside the gap may have them, and needs all objects.
type Gap struct {
	After  platform.Revision `cbor:"after"`
	Before platform.Revision `cbor:"before"`
}

func (g Gap) contains(at platform.Revision) bool { return g.After < at && at < g.Before }

// skipHistory records that a list at a revision follows on the state of the copy.
func (c *collection) skipHistory(at platform.Revision) {
	if c.complete && at > c.at {
		c.addGap(Gap{After: c.at, Before: at})
	}
}

func (c *collection) addGap(g Gap) {
	if slices.Contains(c.gaps, g) {
		return
	}
	c.gaps = append(c.gaps, g)
	if len(c.gaps) > maxGaps {
		c.logStart = max(c.logStart, c.gaps[0].Before)
		c.gaps = slices.Clone(c.gaps[1:])
	}
}

func (c *collection) isInGap(at platform.Revision) bool { return isInGap(c.gaps, at) }

func isInGap(gaps []Gap, at platform.Revision) bool {
	return slices.ContainsFunc(gaps, func(g Gap) bool { return g.contains(at) })
}

// event returns the change that an entry of the log stands for. It returns false if the object
// has changed again, so that a later entry stands for it.
func (c *collection) event(entry change) (platform.Event, bool) {
	if o, ok := c.objects[entry.name]; ok {
		return platform.Event{Object: o}, o.Revision == entry.revision
	}
	t, ok := c.tombstones[entry.name]
	if !ok || t.at != entry.revision {
		return platform.Event{}, false
	}
	e := platform.Event{Object: t.last, Removed: true}
	e.Object.Revision = t.at
	return e, true
}

// compactLog drops the entries that a later one of the same object replaces, and then the
// oldest. A process whose copy is from before those gets all objects.
func (c *collection) compactLog() {
	var kept []change
	for _, entry := range c.log {
		if _, ok := c.event(entry); ok {
			kept = append(kept, entry)
		}
	}
	excess := max(0, len(kept)-maxLog)
	for _, entry := range kept[:excess] {
		c.logStart = max(c.logStart, entry.revision)
	}
	c.log = slices.Clone(kept[excess:])
}

// forgetTombstones drops the older half of the tombstones until they are within their limits. A
// change up to their revisions of an object that isn't known is ignored from then on: the copy is
// complete, so the object has been removed. The log begins after them, since it can't tell others
// of these removals any more.
func (c *collection) forgetTombstones() {
	for len(c.tombstones) > maxTombstones || c.removedBytes > maxTombstoneBytes {
		var revisions []platform.Revision
		for _, t := range c.tombstones {
			revisions = append(revisions, t.at)
		}
		slices.Sort(revisions)
		c.forgotten = max(c.forgotten, revisions[len(revisions)/2])
		for name, t := range c.tombstones {
			if t.at <= c.forgotten {
				c.dropTombstone(name)
			}
		}
		c.logStart = max(c.logStart, c.forgotten)
	}
}

func (c *collection) dropTombstone(name string) {
	c.removedBytes -= len(c.tombstones[name].last.Spec)
	delete(c.tombstones, name)
}

// HeldBytes returns the bytes of all states of objects that the mirror holds. States that several
// tables share count once for each.
func (m *Mirror) HeldBytes() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	sum := 0
	for _, c := range m.collections {
		for _, o := range c.objects {
			sum += len(o.Spec)
		}
		for _, e := range c.transition.changes {
			sum += len(e.Object.Spec)
		}
		sum += c.differenceBytes + c.removedBytes + c.retainedBytes() + c.pendingBytes()
	}
	return sum
}
