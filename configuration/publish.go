package configuration

// The operator's side: writing a version, and learning what became of it when
// answers are lost or operators race.

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

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

// Publish checks a change and puts it in force, on top of what the store holds.
// It fails with KindInvalid, KindLost, KindUnavailable, KindCorrupt or
// KindUncertain; only in the last case may the change be in force nevertheless,
// or come into force later.
func Publish(ctx context.Context, store Store, c Change) (Accepted, error) {
	present, err := ReadPresent(ctx, store, Bundle{})
	if err != nil {
		return Accepted{}, err
	}
	plan, err := present.Plan(time.Now(), c)
	if err != nil {
		return Accepted{}, err
	}
	return plan.Publish(ctx, store)
}

// Publish writes the parts that the store lacks and then moves the head. It
// fails as the function of the same name does.
func (plan Plan) Publish(ctx context.Context, store Store) (Accepted, error) {
	index, err := plan.index()
	if err != nil {
		return Accepted{}, err
	}
	plan.meta.Index = index.Hash
	next := plan.present.Head.next(plan.meta)
	parts := Bundle{Shards: append([]Shard{index}, plan.shards...)}
	missing := plan.present.stored.lacks(append([]Hash{index.Hash}, plan.Index.Shards...))
	for _, s := range parts.Pick(missing) {
		if err := putShard(ctx, store, s); err != nil {
			return Accepted{}, err
		}
	}
	return moveHead(ctx, store, next, plan.present.match)
}

// putShard repeats the write of a shard until it is there or ctx ends.
func putShard(ctx context.Context, store Store, s Shard) error {
	pause := newBackOff()
	for {
		_, err := store.Put(ctx, shardName(s.Hash), s.Data, platform.Absent)
		// A conflict means that the same content is there already.
		if err == nil || errors.Is(err, platform.ErrConflict) {
			return nil
		}
		if !pause.Wait(ctx) {
			return &Error{Op: "shard", Kind: KindUnavailable, Err: err}
		}
	}
}

// moveHead makes next the head if the head's object version still is match. An
// unanswered write may take effect at any later time, as long as the head has
// not moved; so the same write is repeated until one is answered. Whichever of
// them takes effect moves the head, and the others then fail on the condition:
// the change is accepted at most once.
func moveHead(ctx context.Context, store Store, next Head, match platform.Version) (Accepted, error) {
	value, err := next.Encode()
	if err != nil {
		return Accepted{}, err
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
	a, known := head.Find(next.Version)
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
