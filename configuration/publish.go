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

// recheckPause is the pause between looks at the head after a lost answer.
const recheckPause = 200 * time.Millisecond

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
// the zero Head and platform.Absent.
func Read(ctx context.Context, store Store) (Head, platform.Version, error) {
	obj, err := store.Get(ctx, HeadName)
	if errors.Is(err, platform.ErrMissing) {
		return Head{}, platform.Absent, nil
	}
	if err != nil {
		return Head{}, "", &Error{Op: "read", Kind: KindUnavailable, Err: err}
	}
	h, err := ParseHead(obj.Value)
	return h, obj.Version, err
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

func putShard(ctx context.Context, store Store, data []byte) (Hash, error) {
	hash := HashOf(data)
	_, err := store.Put(ctx, shardName(hash), data, platform.Absent)
	// A conflict means that the same content is there already.
	if err == nil || errors.Is(err, platform.ErrConflict) {
		return hash, nil
	}
	return "", &Error{Op: "shard", Kind: KindUnavailable, Err: err}
}

func moveHead(ctx context.Context, store Store, next Head, match platform.Version) (Accepted, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return Accepted{}, &Error{Op: "publish", Kind: KindCorrupt, Err: err}
	}
	_, err = store.Put(ctx, HeadName, value, match)
	switch {
	case err == nil:
		return next.Accepted, nil
	case errors.Is(err, platform.ErrUncertain), errors.Is(err, platform.ErrConflict):
		// A conflict may be with our own earlier write, if the transport sent
		// it twice; the nonce tells.
		return settle(ctx, store, next.Nonce)
	default:
		return Accepted{}, &Error{Op: "publish", Kind: KindUnavailable, Err: err}
	}
}

// settle finds out whether the write with the nonce was accepted.
func settle(ctx context.Context, store Store, nonce Nonce) (Accepted, error) {
	for {
		head, _, err := Read(ctx, store)
		if err == nil {
			if a, ok := head.find(nonce); ok {
				return a, nil
			}
			return Accepted{}, lost(head)
		}
		select {
		case <-ctx.Done():
			return Accepted{}, &Error{Op: "publish", Kind: KindUncertain, Err: err}
		case <-time.After(recheckPause):
		}
	}
}

func lost(head Head) error {
	return &Error{Op: "publish", Kind: KindLost, Err: errors.Newf("version %d by %q is in force since %s",
		head.Version, head.Author, head.Time.Format(time.RFC3339))}
}
