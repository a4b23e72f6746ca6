package discovery

// Differences between the versions of large objects, for processes that have an earlier version.
// A difference is computed once, where the new version arrives from the store, and passed on as it
// is. A mirror keeps few of them and no earlier versions.

import (
	"fmt"

	"github.com/wasabiwheel/wasabiwheel/delta"
	"github.com/wasabiwheel/wasabiwheel/platform"
)

const (
	minDifferenceSize  = 4 << 10   // bytes of the objects of which differences are kept: smaller ones are sent as they are
	maxDifferences     = 64        // of one object
	maxDifferenceBytes = 256 << 10 // of a collection
)

// Difference leads from one version of an object to a later one of the same era.
type Difference struct {
	Name string            `cbor:"name"`
	From platform.Revision `cbor:"from"`
	To   platform.Revision `cbor:"to"`
	Data []byte            `cbor:"data"` // see package delta
}

// Kind classifies an Error so that callers can branch on it.
type Kind string

// KindBase is a batch that leads on from a state that this process does not have, or a damaged
// difference. The sender has to be asked for whole objects.
const KindBase Kind = "base"

// Error reports a batch that can't be applied.
type Error struct {
	Op   string
	Kind Kind
	Name string // of the object
	Err  error  // may be nil
}

// Error formats the failure as "discovery: op name: kind: cause".
func (e *Error) Error() string {
	return fmt.Sprintf("discovery: %s %s: %s: %v", e.Op, e.Name, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Size returns the bytes of the states and differences in a batch.
func (b Batch) Size() int {
	sum := specBytes(b.Retained)
	for _, e := range b.Events {
		sum += len(e.Object.Spec)
	}
	for _, d := range b.Differences {
		sum += len(d.Data)
	}
	return sum
}

// DifferencesSince is like Since for a process that understands differences.
func (m *Mirror) DifferencesSince(p Position) (Batch, bool) {
	b, ok := m.Since(p)
	if !ok || b.Full || b.From != nil {
		return b, ok
	}
	b.Base = p.At
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.collections[p.Kind]
	for _, g := range c.gaps {
		if g.Before > p.At {
			b.Gaps = append(b.Gaps, g)
		}
	}
	var events []platform.Event
	for _, e := range b.Events {
		chain := c.chain(p.At, e)
		if chain == nil {
			events = append(events, e)
		}
		b.Differences = append(b.Differences, chain...)
	}
	b.Events = events
	return b, true
}

// chain returns the differences that lead from the version that was the newest at revision at to
// that of an event, nil if they are missing or not much shorter than the object.
func (c *collection) chain(at platform.Revision, e platform.Event) []Difference {
	all := c.differences[e.Object.Name]
	if e.Removed || len(all) == 0 || all[len(all)-1].To != e.Object.Revision {
		return nil
	}
	size := 0
	for i := len(all) - 1; i >= 0; i-- {
		if size += len(all[i].Data); size > len(e.Object.Spec)/2 {
			return nil
		}
		if all[i].From <= at {
			return all[i:]
		}
	}
	return nil
}

// prepare computes the differences that the large objects of changes lead to. It takes 10 ms for
// 1 MB on a whole core, so the caller holds deliver, which excludes other changes, and not the lock.
func (m *Mirror) prepare(c *collection, events []platform.Event) []Difference {
	var all []Difference
	for _, e := range events {
		m.mu.Lock()
		base, ok := c.objects[e.Object.Name]
		m.mu.Unlock()
		if !ok || e.Removed || base.Revision >= e.Object.Revision || !isLarge(base) || !isLarge(e.Object) {
			continue
		}
		diff := delta.Make(base.Spec, e.Object.Spec)
		all = append(all, Difference{Name: e.Object.Name, From: base.Revision, To: e.Object.Revision, Data: diff})
	}
	return all
}

func isLarge(o platform.Object) bool { return len(o.Spec) >= minDifferenceSize }

// newestOfLarge drops the events of large objects that a later one of the same object replaces.
// Others are kept: what is small may be a state that the sink acts upon.
func newestOfLarge(events []platform.Event) []platform.Event {
	last := map[string]platform.Revision{}
	for _, e := range events {
		last[e.Object.Name] = max(last[e.Object.Name], e.Object.Revision)
	}
	var kept []platform.Event
	for _, e := range events {
		if e.Removed || !isLarge(e.Object) || last[e.Object.Name] == e.Object.Revision {
			kept = append(kept, e)
		}
	}
	return kept
}

// keep adds differences to those kept, and drops the oldest beyond the limits. One that does not
// continue those of its object replaces them.
func (c *collection) keep(differences []Difference) {
	for _, d := range differences {
		o, ok := c.objects[d.Name]
		all := c.differences[d.Name]
		switch {
		case !ok || o.Revision < d.To || len(d.Data) > maxDifferenceBytes:
			continue
		case len(all) > 0 && all[len(all)-1].To != d.From:
			c.dropDifferences(d.Name, len(all))
		case len(all) >= maxDifferences:
			c.dropDifferences(d.Name, len(all)-maxDifferences+1)
		}
		c.differences[d.Name] = append(c.differences[d.Name], d)
		c.differenceBytes += len(d.Data)
		for other := range c.differences {
			if c.differenceBytes > maxDifferenceBytes && other != d.Name {
				c.dropDifferences(other, len(c.differences[other]))
			}
		}
		for c.differenceBytes > maxDifferenceBytes {
			c.dropDifferences(d.Name, 1)
		}
	}
}

// dropDifferences drops the oldest differences of an object.
func (c *collection) dropDifferences(name string, count int) {
	all := c.differences[name]
	for _, d := range all[:count] {
		c.differenceBytes -= len(d.Data)
	}
	if count == len(all) {
		delete(c.differences, name)
		return
	}
	c.differences[name] = append([]Difference(nil), all[count:]...)
}

// receiveDifferences merges a batch that leads on from a state of this process.
func (m *Mirror) receiveDifferences(c *collection, b Batch) error {
	c.deliver.Lock()
	defer c.deliver.Unlock()
	p := m.Position(b.Kind)
	switch {
	case p.Era != b.Era:
		return nil // ignored, like other changes of another era
	case p.At < b.Base || isInGap(b.Gaps, p.At):
		return &Error{Op: "receive", Kind: KindBase, Name: string(b.Kind), Err: fmt.Errorf("after revision %d, known %d", b.Base, p.At)}
	}
	resolved, err := m.resolve(c, b)
	if err != nil {
		return err
	}
	events := newestOfLarge(b.Events)
	differences := append(m.prepare(c, events), b.Differences...)
	m.mu.Lock()
	for _, g := range b.Gaps {
		if g.Before > c.at {
			c.addGap(g)
		}
	}
	m.mu.Unlock()
	m.applyChanges(c, platform.Changes{Events: append(resolved, events...), Era: b.Era, At: b.At}, differences)
	return nil
}

// resolve returns the objects that the differences of a batch lead to, as changes. Nothing of a
// batch may be applied if one fails, since its position says that all changes are known.
func (m *Mirror) resolve(c *collection, b Batch) ([]platform.Event, error) {
	states := map[string]platform.Object{}
	var names []string
	for _, d := range b.Differences {
		o, ok := states[d.Name]
		if !ok {
			m.mu.Lock()
			o = c.objects[d.Name]
			m.mu.Unlock()
			names = append(names, d.Name)
		}
		if o.Revision < d.To { // newer ones are known from elsewhere
			if o.Revision != d.From {
				return nil, &Error{Op: "receive", Kind: KindBase, Name: d.Name, Err: fmt.Errorf("from revision %d, known %d", d.From, o.Revision)}
			}
			spec, err := delta.Apply(o.Spec, d.Data)
			if err != nil {
				return nil, &Error{Op: "receive", Kind: KindBase, Name: d.Name, Err: err}
			}
			o = platform.Object{Name: d.Name, Revision: d.To, Spec: spec}
		}
		states[d.Name] = o
	}
	var events []platform.Event
	for _, name := range names {
		events = append(events, platform.Event{Object: states[name]})
	}
	return events, nil
}
