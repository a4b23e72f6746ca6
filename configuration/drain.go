package configuration

// Drains. Each is an object of its own, which exists while the failure domain is drained.

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/platform"
)

const (
	// maxLateness is how long after it was sent a write without an answer may take effect.
	maxLateness = 10 * time.Second
	// latePoll is the time between checks whether a drain was created once more.
	latePoll = 300 * time.Millisecond
)

// drain is the spec of a drain. Drains of other writers have none of the fields.
type drain struct {
	Calls      []string  `json:"calls,omitempty"`     // the operators' calls that may create it
	Unanswered time.Time `json:"unanswered,omitzero"` // when one of them last got no answer
	Renewed    time.Time `json:"renewed,omitzero"`    // when the failure domain was drained again
}

// decodeDrain returns the spec of a drain; an empty one if it can't be read.
func decodeDrain(o platform.Object) (d drain) {
	if json.Unmarshal(o.Spec, &d) != nil {
		return drain{}
	}
	return d
}

// mayReturn reports whether a call may still create the drain once more.
func (d drain) mayReturn(now time.Time) bool { return now.Before(d.Unanswered.Add(maxLateness)) }

// includes reports whether another drain was created by one of the calls of this one.
func (d drain) includes(other drain) bool {
	return slices.ContainsFunc(other.Calls, func(call string) bool { return slices.Contains(d.Calls, call) })
}

// errChanged is returned if an object has changed since it was read.
var errChanged = errors.New("the object has changed meanwhile")

// Drain stops new requests to the endpoints of a failure domain. It fails with
// KindStore, or with KindUncertain.
func (m *Manager) Drain(ctx context.Context, id inventory.DomainID) error {
	d := drain{Calls: []string{rand.Text()}}
	return m.change(ctx, "drain", func() error {
		_, err := m.store.Create(ctx, platform.Drains, string(id), d)
		if platform.IsKind(err, platform.KindConflict) {
			err = m.renewDrain(ctx, id, d)
		}
		if platform.IsKind(err, platform.KindUncertain) {
			d.Unanswered = time.Now().UTC()
		}
		return err
	})
}

// renewDrain changes a drain, so that it has another revision than the one that an outstanding
// removal may be about to remove.
func (m *Manager) renewDrain(ctx context.Context, id inventory.DomainID, d drain) error {
	known, err := m.store.Find(ctx, platform.Drains, string(id))
	if err == nil {
		before := decodeDrain(known.Object)
		d.Renewed = time.Now().UTC()
		if before.mayReturn(d.Renewed) {
			d.Calls = append(slices.Clone(d.Calls), before.Calls...)
			d.Unanswered = slices.MaxFunc([]time.Time{d.Unanswered, before.Unanswered}, time.Time.Compare)
		}
		_, err = m.store.Replace(ctx, platform.Drains, string(id), d, known.Revision)
	}
	if platform.IsKind(err, platform.KindNotFound) || platform.IsKind(err, platform.KindConflict) {
		return errChanged
	}
	return err
}

// Undrain removes the drain of a failure domain. If a call that drained it got no answer lately, it waits until that call
// can't take effect any more, and removes what it creates. It fails with KindStore, with KindUncertain, or with
// KindConflict if the failure domain was drained again meanwhile.
func (m *Manager) Undrain(ctx context.Context, id inventory.DomainID) error {
	known, err := m.findDrain(ctx, id)
	if err != nil || known.Name == "" {
		return err
	}
	if err := m.removeDrain(ctx, id, known.Revision); err != nil {
		return err
	}
	for d := decodeDrain(known.Object); d.mayReturn(time.Now()); {
		select {
		case <-time.After(latePoll):
		case <-ctx.Done():
			return &Error{Op: "undrain", Kind: KindUncertain, Err: errors.New("a call that drained the failure domain got no answer, and may still take effect")}
		}
		late, err := m.findDrain(ctx, id)
		if err != nil {
			return err
		}
		if late.Name != "" && d.includes(decodeDrain(late.Object)) {
			if err := m.removeDrain(ctx, id, late.Revision); err != nil {
				return err
			}
		}
	}
	return nil
}

// findDrain returns the drain of a failure domain, with no name if there is none.
func (m *Manager) findDrain(ctx context.Context, id inventory.DomainID) (known platform.Written, err error) {
	err = m.do(ctx, "undrain", func() (err error) {
		known, err = m.store.Find(ctx, platform.Drains, string(id))
		if platform.IsKind(err, platform.KindNotFound) {
			known = platform.Written{}
			return nil
		}
		known.Name = string(id)
		return err
	})
	return known, err
}

func (m *Manager) removeDrain(ctx context.Context, id inventory.DomainID, at platform.Revision) error {
	return m.change(ctx, "undrain", func() error { return m.store.Delete(ctx, platform.Drains, string(id), at) })
}
