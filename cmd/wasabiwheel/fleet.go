package main

// Waiting until all live nodes have a version in force.

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/node"
)

const fleetPoll = 100 * time.Millisecond

// fleet is what the nodes of an inventory say of a version.
type fleet struct {
	InForce  []inventory.EntryID `json:"inForce"`
	Laggards []inventory.EntryID `json:"laggards"` // live, and not at the version
	Silent   []inventory.EntryID `json:"silent"`   // not heard of by anyone
}

// awaitFleet asks until there are no laggards or the time is up.
func awaitFleet(inv *inventory.Inventory, v inventory.Version, key string, patience time.Duration) fleet {
	limit := time.Now().Add(patience)
	for {
		f := askFleet(inv, v, key)
		if f.complete() || time.Now().After(limit) {
			return f
		}
		time.Sleep(fleetPoll)
	}
}

func (f fleet) complete() bool { return len(f.Laggards) == 0 && len(f.InForce) > 0 }

// askFleet asks all nodes once. One that does not answer is live when another
// node counts it among the live members.
func askFleet(inv *inventory.Inventory, v inventory.Version, key string) fleet {
	statuses := make([]node.Status, len(inv.Entries))
	var asked sync.WaitGroup
	for i, e := range inv.Entries {
		asked.Go(func() { statuses[i], _ = getStatus(e.Admin, key) })
	}
	asked.Wait()
	heardOf := map[inventory.EntryID]bool{}
	for _, s := range statuses {
		for _, m := range s.Members {
			heardOf[m] = true
		}
	}
	var f fleet
	for i, e := range inv.Entries {
		s := statuses[i]
		switch {
		case s.Entry == e.ID && s.Version >= v:
			f.InForce = append(f.InForce, e.ID)
		case s.Entry == e.ID || heardOf[e.ID]:
			f.Laggards = append(f.Laggards, e.ID)
		default:
			f.Silent = append(f.Silent, e.ID)
		}
	}
	return f
}

func (f fleet) print(v inventory.Version) {
	fmt.Fprintf(output, "version %d is in force at %d nodes\n", v, len(f.InForce))
	if len(f.Laggards) > 0 {
		fmt.Fprintf(output, "not yet at: %s\n", names(f.Laggards))
	}
	if len(f.Silent) > 0 {
		fmt.Fprintf(output, "not heard of: %s\n", names(f.Silent))
	}
}

func names(ids []inventory.EntryID) string {
	var all []string
	for _, id := range ids {
		all = append(all, string(id))
	}
	return strings.Join(all, ", ")
}

// err fails unless all live nodes have the version in force.
func (f fleet) err(v inventory.Version) error {
	switch {
	case len(f.Laggards) > 0:
		return &Error{Op: "wait", Kind: KindFailed, Err: errors.Newf("version %d is not in force at %s", v, names(f.Laggards))}
	case len(f.InForce) == 0:
		return &Error{Op: "wait", Kind: KindFailed, Err: errors.New("no node answers")}
	default:
		return nil
	}
}
