package discovery

// Writes that take effect late. A writer whose call got no response has moved on by the time the
// call takes effect, so the state that the store has last may be older than the one before it, and
// an object may exist again after its removal. Where writers number their states, the numbers go
// before the revisions: the newer state, or the removal after it, is retained over the late one
// until the object changes again, or for a time if the order is uncertain.

import (
	"time"

	"github.com/wasabiwheel/wasabiwheel/platform"
)

// lastKnown returns the newest known state of an object, and whether it was removed after that.
func (c *collection) lastKnown(name string) (o platform.Object, removed, ok bool) {
	if r, isRetained := c.retained[name]; isRetained {
		return r.Object, r.Removed, true
	}
	if o, exists := c.objects[name]; exists {
		return o, false, true
	}
	t, wasRemoved := c.tombstones[name]
	return t.last, true, wasRemoved
}

// supersede updates what is retained of an object for a change of the store, before that is applied,
// and reports whether the sink is told of the change: not if a newer state is retained, or the
// removal after one.
func (c *collection) supersede(now time.Time, e platform.Event) (told bool) {
	name := e.Object.Name
	r, isRetained := c.retained[name]
	if e.Removed {
		return !isRetained || !r.Removed
	}
	if isRetained && !r.Removed && c.policy.Supersedes(c.kind, r.Object, e.Object) {
		return false
	}
	known, removed, ok := c.lastKnown(name)
	if !ok {
		return true
	}
	late, hold := c.policy.IsLate(c.kind, known, e.Object, removed)
	switch {
	case !late:
		delete(c.retained, name)
		return true
	case !isRetained: // what is retained already is not retained for longer
		r = retained{Event: platform.Event{Object: known, Removed: removed}}
		if hold > 0 {
			r.until = now.Add(hold)
		}
		c.retained[name] = r
		c.lateWrites++
	}
	return false
}

// LateWrites returns the number of late writes over which a newer state was retained so far, and
// what is retained now if they are more than another process has been told of: it may have missed the
// newer states, and read only the late ones.
func (m *Mirror) LateWrites(now time.Time, told uint64) (count uint64, retained []Batch) {
	m.mu.Lock()
	for _, c := range m.collections {
		count += c.lateWrites
	}
	m.mu.Unlock()
	if count > told {
		retained = m.Retained(now)
	}
	return count, retained
}
