package configuration

// The operator's side: writing a version, and learning what became of it when
// answers are lost or operators race.

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/platform"
)

// Pauses between tries of one call.
const (
	minPause = 100 * time.Millisecond
	maxPause = time.Second
)

// Store is the part of the platform's client that is needed here.
type Store interface {
	Get(ctx context.Context, name string) (platform.Object, error)
	Put(ctx context.Context, name string, value []byte, match platform.Version) (platform.Version, error)
}

// Change is what an operator wants to put in force.
type Change struct {
	// Text is the whole inventory as TOML.
	Text []byte
	// Author names the operator, for others who lose a race.
	Author string
	// Base is the version that the operator started from; 0 means whatever is
	// in force now.
	Base inventory.Version
}

// Read returns the head with its object version; a store with no head yields
// the zero Head and platform.Absent. It tries again until ctx ends.
func Read(ctx context.Context, store Store) (Head, platform.Version, error) {
	pause := newBackOff()
	for {
		obj, err := store.Get(ctx, HeadName)
		if err == nil {
			h, err := ParseHead(obj.Value)
			return h, obj.Version, err
		}
		if errors.Is(err, platform.ErrMissing) {
			return Head{}, platform.Absent, nil
		}
		if !pause.Wait(ctx) {
			return Head{}, "", &Error{Op: "read", Kind: KindUnavailable, Err: err}
		}
	}
}

// Fetch reads the shards that the head names.
func Fetch(ctx context.Context, store Store, h Head) (Bundle, error) {
	b := Bundle{Head: h}
	for _, hash := range h.Shards {
		obj, err := store.Get(ctx, shardName(hash))
		if err != nil {
			return Bundle{}, &Error{Op: "fetch", Kind: KindUnavailable, Err: err}
		}
		b.Shards = append(b.Shards, Shard{Hash: hash, Data: obj.Value})
	}
	return b, nil
}

// Publish checks a change and puts it in force. It returns the accepted head.
// It fails with KindInvalid, KindLost, KindUnavailable or KindUncertain; only
// in the last case may the change be in force nevertheless.
func Publish(ctx context.Context, store Store, c Change) (Accepted, error) {
	if _, err := inventory.Parse("inventory", c.Text); err != nil {
		return Accepted{}, &Error{Op: "publish", Kind: KindInvalid, Err: err}
	}
	head, version, err := Read(ctx, store)
	if err != nil {
		return Accepted{}, err
	}
	if c.Base != 0 && head.Version != c.Base {
		return Accepted{}, lost(head)
	}
	hash, err := putShard(ctx, store, c.Text)
	if err != nil {
		return Accepted{}, err
	}
	next := head.next(Nonce(rand.Text()), c.Author, time.Now().UTC(), []Hash{hash})
	return moveHead(ctx, store, next, version)
}

// putShard repeats the write of a shard until it is there or ctx ends.
func putShard(ctx context.Context, store Store, data []byte) (Hash, error) {
	hash := HashOf(data)
	pause := newBackOff()
	for {
		_, err := store.Put(ctx, shardName(hash), data, platform.Absent)
		// A conflict means that the same content is there already.
		if err == nil || errors.Is(err, platform.ErrConflict) {
			return hash, nil
		}
		if !pause.Wait(ctx) {
			return "", &Error{Op: "shard", Kind: KindUnavailable, Err: err}
		}
	}
}

// moveHead makes next the head if the head's object version still is match. An
// unanswered write may take effect at any later time, as long as the head has
// not moved; so the same write is repeated until one is answered. Whichever of
// them takes effect moves the head, and the others then fail on the condition:
// the change is accepted at most once.
func moveHead(ctx context.Context, store Store, next Head, match platform.Version) (Accepted, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return Accepted{}, &Error{Op: "publish", Kind: KindCorrupt, Err: err}
	}
	pause := newBackOff()
	unanswered := false
	for {
		_, err := store.Put(ctx, HeadName, value, match)
		switch {
		case err == nil:
			return next.Accepted, nil
		case errors.Is(err, platform.ErrConflict):
			return settle(ctx, store, next, unanswered)
		case errors.Is(err, platform.ErrUncertain):
			unanswered = true
		}
		if !pause.Wait(ctx) {
			return Accepted{}, unsettled(unanswered, err)
		}
	}
}

// unsettled is the failure of a write that was never answered.
func unsettled(unanswered bool, err error) error {
	if unanswered {
		return &Error{Op: "publish", Kind: KindUncertain, Err: err}
	}
	return &Error{Op: "publish", Kind: KindUnavailable, Err: err}
}

// settle finds out who moved the head: an unanswered write of next or another
// operator's.
func settle(ctx context.Context, store Store, next Head, unanswered bool) (Accepted, error) {
	head, _, err := Read(ctx, store)
	if err != nil {
		return Accepted{}, unsettled(unanswered, err)
	}
	a, known := head.find(next.Version)
	switch {
	case known && a.Nonce == next.Nonce:
		return a, nil
	case known || !unanswered:
		return Accepted{}, lost(head)
	default:
		// The store's log does not reach back to the version, or the store
		// has come back with an older state.
		return Accepted{}, &Error{Op: "publish", Kind: KindUncertain, Err: errors.Newf("the store's log does not show version %d", next.Version)}
	}
}

func newBackOff() *platform.BackOff {
	return &platform.BackOff{Min: minPause, Max: maxPause}
}

func lost(head Head) error {
	cause := errors.Newf("version %d by %q is in force since %s", head.Version, head.Author, head.Time.Format(time.RFC3339))
	return &Error{Op: "publish", Kind: KindLost, Err: cause, Standing: head.Accepted}
}
