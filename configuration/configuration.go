// Package configuration publishes inventories for operators, and reads past
// versions for a rollback.
//
// A version is accepted by one conditional update of one object in the platform's
// store, so of several concurrent operators exactly one succeeds. If the response
// to the update is lost, the update is retried on the same condition until the
// store responds. The first update that takes effect makes all others fail,
// however late they arrive. The content of the object then identifies the version
// that was accepted.
//
// The store may be restored from an older copy and lose its newest versions, which may still
// be in force at nodes. The first version that is published after a restore therefore skips
// numbers, so that it is higher than each of them.
//
// Each accepted file is stored as a release, so that it can be published again.
// Drains are separate objects and persist across versions. A drain is removed on the condition that
// it is the one that was read, and draining again changes it: so a removal that takes effect
// late never ends a drain that was confirmed after it. A creation can't have a condition; a drain therefore
// names the calls that may create it once more, and whoever removes it waits for them.
//
// # Usage
//
//	m := configuration.New(store)
//	r, err := m.Publish(ctx, configuration.Change{Text: text, Author: "ana"})
//	fmt.Println(r.Version)
package configuration

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/platform"
)

// Bounds of the backoff between retries of a store call.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// restoreSkip is the number of versions that are skipped for each restore of the store. It is
// more than are published in the minutes that a copy may lack.
const restoreSkip = 1000

// maxUnrecorded is the number of consecutive versions that may not be recorded, as while
// several operators publish.
const maxUnrecorded = 16

// Store is the part of the platform's store client that a Manager uses.
type Store interface {
	List(ctx context.Context, kind platform.Collection) (platform.Listing, error)
	Get(ctx context.Context, kind platform.Collection, name string) (platform.Written, error)
	Find(ctx context.Context, kind platform.Collection, name string) (platform.Written, error)
	Create(ctx context.Context, kind platform.Collection, name string, spec any) (platform.Written, error)
	Replace(ctx context.Context, kind platform.Collection, name string, spec any, at platform.Revision) (platform.Written, error)
	Delete(ctx context.Context, kind platform.Collection, name string, at platform.Revision) error
}

// Manager reads and changes configurations and drains in the store for operators.
type Manager struct{ store Store }

// New returns a Manager that uses store.
func New(store Store) *Manager { return &Manager{store: store} }

// Change is an inventory that an operator publishes.
type Change struct {
	Text   []byte            // content of the inventory file
	Base   inventory.Version // version that must be in force; 0: any
	Author string
	Note   string
}

// Release is an accepted version with the content of its file.
type Release struct {
	Version inventory.Version `json:"version"`
	Time    time.Time         `json:"time"`
	Author  string            `json:"author"`
	Note    string            `json:"note"`
	Era     platform.Era      `json:"era,omitempty"` // of the store, when the version was accepted
	Text    []byte            `json:"text,omitempty"`
}

// Current is the configuration that is in force.
type Current struct {
	Configuration inventory.Configuration
	revision      platform.Revision // 0: there is none
	era           platform.Era
}

// Current reads the configuration that is in force. Version 0 means that there is
// none. It fails with KindStore.
func (m *Manager) Current(ctx context.Context) (Current, error) {
	var current Current
	err := m.retry(ctx, func() error {
		o, err := m.store.Get(ctx, platform.Configurations, platform.CurrentConfiguration)
		if platform.IsKind(err, platform.KindNotFound) {
			current = Current{era: o.Era}
			return nil
		}
		if err != nil {
			return err
		}
		c, err := platform.DecodeConfiguration(o.Object)
		current = Current{Configuration: c, revision: o.Revision, era: o.Era}
		return err
	})
	if err != nil {
		return Current{}, &Error{Op: "read", Kind: KindStore, Err: err}
	}
	return current, nil
}

// Publish puts a change in force as the next version. It fails with an
// *inventory.Error, or with KindBaseMismatch, KindConflict, KindUncertain,
// KindStore or KindRecord.
func (m *Manager) Publish(ctx context.Context, c Change) (Release, error) {
	inv, err := inventory.Parse("inventory", c.Text)
	if err != nil {
		return Release{}, err
	}
	current, err := m.Current(ctx)
	if err != nil {
		return Release{}, err
	}
	if c.Base != 0 && c.Base != current.Configuration.Version {
		return Release{}, &Error{Op: "publish", Kind: KindBaseMismatch, Err: errors.Newf("version %d is in force, not %d", current.Configuration.Version, c.Base)}
	}
	version, err := m.nextVersion(ctx, current)
	if err != nil {
		return Release{}, err
	}
	next := inv.Configuration(version)
	if err := m.accept(ctx, next, current); err != nil {
		return Release{}, err
	}
	r := Release{Version: next.Version, Time: time.Now().UTC(), Author: c.Author, Note: c.Note, Era: current.era, Text: c.Text}
	return r, m.record(ctx, r)
}

// nextVersion returns the version after the current one. If the newest recorded version was
// accepted in another era of the store, later ones may have been lost.
func (m *Manager) nextVersion(ctx context.Context, current Current) (inventory.Version, error) {
	version := current.Configuration.Version
	for recent := version; recent > 0 && version-recent < maxUnrecorded; recent-- {
		r, err := m.release(ctx, recent)
		switch {
		case err != nil:
			return 0, err
		case r.Version == 0: // not recorded yet, or its operator failed to
			continue
		}
		return version + 1 + skipped(r.Era, current.era), nil
	}
	if version < maxUnrecorded && current.era <= 1 { // the store was never restored
		return version + 1, nil
	}
	return version + 1 + skipped(0, current.era), nil
}

// skipped returns the number of versions to skip in an era after one that was accepted in an
// earlier era: the eras in between may all have been lost.
func skipped(before, now platform.Era) inventory.Version {
	switch {
	case now == before:
		return 0
	case now < before:
		return restoreSkip
	default:
		return restoreSkip * inventory.Version(now-before)
	}
}

// release returns the release of a version, with version 0 if there is none.
func (m *Manager) release(ctx context.Context, v inventory.Version) (Release, error) {
	var r Release
	err := m.do(ctx, "read", func() error {
		o, err := m.store.Get(ctx, platform.Releases, releaseName(v))
		if platform.IsKind(err, platform.KindNotFound) {
			return nil
		}
		if err != nil {
			return err
		}
		return json.Unmarshal(o.Spec, &r)
	})
	return r, err
}

// accept writes a version on the condition that the object is still the current one.
func (m *Manager) accept(ctx context.Context, c inventory.Configuration, current Current) error {
	spec := platform.EncodeConfiguration(c)
	uncertain := false
	var written platform.Written
	err := m.retry(ctx, func() error {
		var err error
		if current.revision == 0 {
			written, err = m.store.Create(ctx, platform.Configurations, platform.CurrentConfiguration, spec)
		} else {
			written, err = m.store.Replace(ctx, platform.Configurations, platform.CurrentConfiguration, spec, current.revision)
		}
		uncertain = uncertain || platform.IsKind(err, platform.KindUncertain)
		return err
	})
	switch {
	case err == nil && written.Era != current.era: // the revision may have been another version's
		return &Error{Op: "publish", Kind: KindUncertain, Err: errors.Newf("the store was restored from an older copy meanwhile; version %d may be older than the one in force", c.Version)}
	case err == nil:
		return nil
	case platform.IsKind(err, platform.KindConflict):
		return m.resolveConflict(ctx, c.Version, spec, uncertain)
	case uncertain:
		return &Error{Op: "publish", Kind: KindUncertain, Err: errors.Newf("version %d may be in force, or may come into force later: %v", c.Version, err)}
	default:
		return &Error{Op: "publish", Kind: KindStore, Err: err}
	}
}

// resolveConflict determines after a conflict whether an earlier attempt of the
// same write, whose response was lost, took effect. If a later version is in force,
// only the history can show who wrote this one.
func (m *Manager) resolveConflict(ctx context.Context, own inventory.Version, spec any, uncertain bool) error {
	var current platform.Written
	err := m.retry(ctx, func() (err error) {
		current, err = m.store.Get(ctx, platform.Configurations, platform.CurrentConfiguration)
		return err
	})
	if err != nil {
		return &Error{Op: "publish", Kind: KindUncertain, Err: err}
	}
	c, err := platform.DecodeConfiguration(current.Object)
	if err != nil {
		return &Error{Op: "publish", Kind: KindStore, Err: err}
	}
	conflict := &Error{Op: "publish", Kind: KindConflict, Err: errors.Newf("version %d was accepted first", c.Version)}
	switch {
	case !uncertain:
		return conflict
	case c.Version == own && sameSpec(spec, current.Spec):
		return nil
	case c.Version == own:
		return conflict
	}
	if _, err := m.FindRelease(ctx, own); err == nil {
		return conflict // another operator recorded it; this one has not recorded it yet
	}
	return &Error{Op: "publish", Kind: KindUncertain, Err: errors.Newf("version %d may have been in force before version %d", own, c.Version)}
}

// sameSpec reports whether a written spec equals the current one in the store.
func sameSpec(spec any, current json.RawMessage) bool {
	own, err := json.Marshal(spec)
	if err != nil {
		return false
	}
	var a, b bytes.Buffer
	return json.Compact(&a, own) == nil && json.Compact(&b, current) == nil && bytes.Equal(a.Bytes(), b.Bytes())
}

// record stores the file of an accepted version. The version stays in force if
// this fails.
func (m *Manager) record(ctx context.Context, r Release) error {
	err := m.retry(ctx, func() error {
		_, err := m.store.Create(ctx, platform.Releases, releaseName(r.Version), r)
		if platform.IsKind(err, platform.KindConflict) {
			return nil // an earlier attempt took effect and its response was lost
		}
		return err
	})
	if err != nil {
		return &Error{Op: "record", Kind: KindRecord, Err: errors.Newf("version %d is in force, but its file is not in the history: %v", r.Version, err)}
	}
	return nil
}

func releaseName(v inventory.Version) string { return strconv.FormatUint(uint64(v), 10) }

// History returns all releases, newest first. It fails with KindStore.
func (m *Manager) History(ctx context.Context) ([]Release, error) {
	var l platform.Listing
	err := m.retry(ctx, func() (err error) {
		l, err = m.store.List(ctx, platform.Releases)
		return err
	})
	if err != nil {
		return nil, &Error{Op: "history", Kind: KindStore, Err: err}
	}
	var all []Release
	for _, o := range l.Objects {
		var r Release
		if err := json.Unmarshal(o.Spec, &r); err != nil {
			return nil, &Error{Op: "history", Kind: KindStore, Err: errors.Newf("release %s: %v", o.Name, err)}
		}
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b Release) int { return cmp.Compare(b.Version, a.Version) })
	return all, nil
}

// FindRelease returns the release of a version. It fails with KindStore or KindNotFound.
func (m *Manager) FindRelease(ctx context.Context, v inventory.Version) (Release, error) {
	all, err := m.History(ctx)
	if err != nil {
		return Release{}, err
	}
	for _, r := range all {
		if r.Version == v {
			return r, nil
		}
	}
	return Release{}, &Error{Op: "history", Kind: KindNotFound, Err: errors.Newf("version %d is not in the history", v)}
}

// Drained returns the failure domains that are drained. It fails with KindStore.
func (m *Manager) Drained(ctx context.Context) ([]inventory.DomainID, error) {
	var all []inventory.DomainID
	err := m.do(ctx, "drains", func() error {
		l, err := m.store.List(ctx, platform.Drains)
		all = nil
		for _, o := range l.Objects {
			all = append(all, inventory.DomainID(o.Name))
		}
		return err
	})
	return all, err
}

// change retries a write and wraps its error. If the response to an attempt was lost, the
// write may have taken effect or may do so later, whatever later attempts returned.
func (m *Manager) change(ctx context.Context, op string, call func() error) error {
	kind := KindStore
	err := m.retry(ctx, func() error {
		err := call()
		if platform.IsKind(err, platform.KindUncertain) {
			kind = KindUncertain
		}
		return err
	})
	if platform.IsKind(err, platform.KindConflict) {
		return &Error{Op: op, Kind: KindConflict, Err: errors.New("another operator's change was accepted meanwhile")}
	}
	if err != nil {
		return &Error{Op: op, Kind: kind, Err: err}
	}
	return nil
}

// do retries a read and wraps its error.
func (m *Manager) do(ctx context.Context, op string, call func() error) error {
	if err := m.retry(ctx, call); err != nil {
		return &Error{Op: op, Kind: KindStore, Err: err}
	}
	return nil
}

// retry repeats a call while the store is unavailable, overloaded, its response is lost, or an object
// has changed since it was read, until ctx ends. The call must be idempotent.
func (m *Manager) retry(ctx context.Context, call func() error) error {
	backoff := platform.Backoff{Min: minBackoff, Max: maxBackoff}
	for {
		err := call()
		transient := platform.IsKind(err, platform.KindUnavailable) || platform.IsKind(err, platform.KindUncertain) || platform.IsKind(err, platform.KindBusy) || errors.Is(err, errChanged)
		if !transient || !backoff.Wait(ctx) {
			return err
		}
	}
}
