package configuration

// Reading a version: from the store or from a node, and only what is missing.

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/wasabiwheel/wasabiwheel/platform"
)

// Source gives the parts of versions. It fails when it lacks one of them.
type Source interface {
	Parts(ctx context.Context, want []Hash) ([]Shard, error)
}

// StoreSource is the Source that reads the platform's store.
type StoreSource struct{ Store Store }

// Parts reads one object for each part.
func (s StoreSource) Parts(ctx context.Context, want []Hash) ([]Shard, error) {
	var found []Shard
	for _, h := range want {
		obj, err := s.Store.Get(ctx, shardName(h))
		if err != nil {
			return nil, &Error{Op: "fetch", Kind: KindUnavailable, Err: err}
		}
		found = append(found, Shard{Hash: h, Data: obj.Value})
	}
	return found, nil
}

// Fetch reads the version of a head. It asks for no part that have contains.
func Fetch(ctx context.Context, from Source, head Head, have Bundle) (Bundle, error) {
	index, err := fetchParts(ctx, from, []Hash{head.Index}, have)
	if err != nil {
		return Bundle{}, err
	}
	x, err := parseIndex(index[0].Data)
	if err != nil {
		return Bundle{}, err
	}
	shards, err := fetchParts(ctx, from, x.Shards, have)
	if err != nil {
		return Bundle{}, err
	}
	return Bundle{Head: head, Shards: append(index, shards...)}, nil
}

// fetchParts returns all wanted parts and checks those that it had to ask for.
func fetchParts(ctx context.Context, from Source, want []Hash, have Bundle) ([]Shard, error) {
	all := Bundle{Shards: have.Pick(want)}
	missing := have.lacks(want)
	if len(missing) > 0 {
		got, err := from.Parts(ctx, missing)
		if err != nil {
			return nil, err
		}
		all.Shards = append(all.Shards, got...)
	}
	for _, s := range all.Shards {
		if HashOf(s.Data) != s.Hash {
			return nil, corrupt("fetch", errors.Newf("part %s has another hash", s.Hash))
		}
	}
	if still := all.lacks(want); len(still) > 0 {
		return nil, corrupt("fetch", errors.Newf("part %s is missing", still[0]))
	}
	return all.Pick(want), nil
}

// Read returns the head with its object version; a store with no head yields
// the zero Head and platform.Absent. It tries again until ctx ends. It fails
// with KindUnavailable, or with KindCorrupt and the object version.
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
