package node

// Sending blocks of callers to other regions when their own cannot serve them.

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/lookup"
	"github.com/wasabiwheel/wasabiwheel/member"
)

// shiftSettle is how long a new process learns about the others before it
// judges which regions serve.
const shiftSettle = 8 * time.Second

// shiftInterval is the time between steps of the moved blocks.
const shiftInterval = 500 * time.Millisecond

// spareShare is the part of a region's slots that is free when it has room for
// more, in percent.
const spareShare = 25

// lookups is what look-ups are answered from.
type lookups struct {
	index  atomic.Pointer[lookup.Index]
	shifts lookup.Shifts
}

func (l *lookups) setInventory(inv *inventory.Inventory) {
	l.index.Store(lookup.NewIndex(inv))
	l.shifts.SetInventory(inv)
}

// entryIndex is the index of the configuration in force.
func (n *Node) entryIndex(inv *inventory.Inventory) *lookup.Index {
	if ix := n.lookups.index.Load(); ix != nil {
		return ix
	}
	return lookup.NewIndex(inv)
}

// steerBlock changes the region of a look-up to where its block is sent. It
// reports false when the block's own region has no entry VM left and it is not
// the block's turn to move yet.
func (n *Node) steerBlock(id inventory.ServiceID, q *lookup.Question, from string) bool {
	if q.Block == "" {
		host, _, _ := net.SplitHostPort(from)
		q.Block = inventory.BlockID(host)
	}
	home := q.Region
	q.Region = n.lookups.shifts.Region(id, q.Block, home)
	if q.Region != home || !n.lookups.shifts.Settled() {
		return true
	}
	inv := n.config.Inventory()
	return !declaresRegion(inv, home) || n.entryIndex(inv).Serves(home, n.aliveAt(time.Now()))
}

func declaresRegion(inv *inventory.Inventory, id inventory.RegionID) bool {
	for _, r := range inv.Regions {
		if r.ID == id {
			return true
		}
	}
	return false
}

// aliveAt tells which nodes may be named to callers.
func (n *Node) aliveAt(now time.Time) func(inventory.EntryID) bool {
	live := map[inventory.EntryID]bool{n.settings.ID: !n.leaving()}
	for _, m := range n.members.Live(now) {
		live[m.Entry] = !m.Leaving
	}
	return func(id inventory.EntryID) bool { return live[id] }
}

// followShifts lets the moved blocks follow the states of the regions, until
// ctx ends.
func (n *Node) followShifts(ctx context.Context) {
	sleep(ctx, shiftSettle)
	for ctx.Err() == nil {
		now := time.Now()
		if inv := n.config.Inventory(); inv != nil && n.state() == StateServing {
			for _, s := range inv.Services {
				n.lookups.shifts.Tick(now, s.ID, n.regionStates(now, inv, s.ID))
			}
			n.lookups.shifts.Ticked(now)
		}
		sleep(ctx, shiftInterval)
	}
}

// regionStates sums up what the nodes tell of a service.
func (n *Node) regionStates(now time.Time, inv *inventory.Inventory, id inventory.ServiceID) map[inventory.RegionID]lookup.State {
	sums := map[inventory.RegionID]member.Load{}
	for _, p := range n.places(id) {
		l := sums[p.Region]
		l.Free += p.Free
		l.Slots += p.Slots
		l.Queue += p.Queue
		sums[p.Region] = l
	}
	alive := n.aliveAt(now)
	states := map[inventory.RegionID]lookup.State{}
	for _, r := range inv.Regions {
		l := sums[r.ID]
		states[r.ID] = lookup.State{
			Entries: n.entryIndex(inv).Serves(r.ID, alive),
			Slots:   l.Slots > 0,
			Full:    l.Free == 0 && l.Queue > 0,
			Spare:   l.Free*100 > l.Slots*spareShare,
		}
	}
	return states
}
