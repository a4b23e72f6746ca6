package main

// Rollout status: which nodes registered in the store have a version in force.

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/member"
	"github.com/wasabiwheel/wasabiwheel/node"
	"github.com/wasabiwheel/wasabiwheel/platform"
)

const rolloutPollInterval = 100 * time.Millisecond

// rollout groups the registered nodes by whether they have a version in force.
type rollout struct {
	InForce     []inventory.EntryID `json:"inforce"`
	Pending     []inventory.EntryID `json:"laggards"` // responding, with an older version in force
	Unreachable []inventory.EntryID `json:"silent"`   // registered in the store, not responding
}

// readEntries returns the entries of the nodes registered in the store.
func readEntries(ctx context.Context, address string) ([]member.Entry, error) {
	l, err := platform.New(platform.Options{Address: address}).List(ctx, platform.Entries)
	if err != nil {
		return nil, err
	}
	var entries []member.Entry
	for _, o := range l.Objects {
		var e member.Entry
		if err := json.Unmarshal(o.Spec, &e); err != nil {
			return nil, &Error{Op: "entries", Kind: KindResponse, Err: errors.Newf("entry %s: %v", o.Name, err)}
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// awaitRollout polls all nodes until one has the version in force and no responding
// node has an older one, or ctx ends. The error is that of the last attempt to read the
// list of nodes.
func awaitRollout(ctx context.Context, address string, v inventory.Version) (rollout, error) {
	for {
		r, err := queryRollout(ctx, address, v)
		if len(r.Pending) == 0 && len(r.InForce) > 0 || ctx.Err() != nil {
			return r, err
		}
		time.Sleep(rolloutPollInterval)
	}
}

// queryRollout queries all nodes once. It fails if the list of nodes cannot be read.
func queryRollout(ctx context.Context, address string, v inventory.Version) (rollout, error) {
	entries, err := readEntries(ctx, address)
	if err != nil {
		return rollout{}, &Error{Op: "wait", Kind: KindNetwork, Err: errors.Wrap(err, "the nodes cannot be read from the store")}
	}
	var (
		mu sync.Mutex
		r  rollout
		wg sync.WaitGroup
	)
	for _, e := range entries {
		wg.Go(func() {
			s, err := node.FetchStatus(e.AdminAddress, queryTimeout)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil || s.Entry != e.ID:
				r.Unreachable = append(r.Unreachable, e.ID)
			case s.Version >= v:
				r.InForce = append(r.InForce, e.ID)
			default:
				r.Pending = append(r.Pending, e.ID)
			}
		})
	}
	wg.Wait()
	for _, ids := range [][]inventory.EntryID{r.InForce, r.Pending, r.Unreachable} {
		slices.Sort(ids)
	}
	return r, nil
}

func (r rollout) print(v inventory.Version) {
	fmt.Fprintf(output, "version %d is in force at %d nodes\n", v, len(r.InForce))
	if len(r.Pending) > 0 {
		fmt.Fprintf(output, "not yet at: %s\n", joinIDs(r.Pending))
	}
	if len(r.Unreachable) > 0 {
		fmt.Fprintf(output, "registered but not responding: %s\n", joinIDs(r.Unreachable))
	}
}

func joinIDs(ids []inventory.EntryID) string {
	var texts []string
	for _, id := range ids {
		texts = append(texts, string(id))
	}
	return strings.Join(texts, ", ")
}

// checkInForce fails unless all responding nodes have the version in force.
func (r rollout) checkInForce(v inventory.Version) error {
	switch {
	case len(r.Pending) > 0:
		return &Error{Op: "wait", Kind: KindFailed, Err: errors.Newf("version %d is not in force at %s", v, joinIDs(r.Pending))}
	case len(r.InForce) == 0:
		return &Error{Op: "wait", Kind: KindFailed, Err: errors.New("no node responds")}
	default:
		return nil
	}
}
