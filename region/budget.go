package region

// What this node may use of each budget: its floor at any time, and what was
// granted to it for a short while.

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// HoldTime is how long the lower of two floors stays in force after a change of
// the inventory, and how long a new process waits for its floor. It covers the
// time that a configuration takes to be in force everywhere.
const HoldTime = 12 * time.Second

// longPause is the pause after which a process may have missed so much of a
// change that it waits for its floor like a new one.
const longPause = HoldTime / 4

// maxPause is the time between two ticks beyond which the process counts as
// having been paused.
const maxPause = 500 * time.Millisecond

// wantMargin is asked for beyond the present demand, in percent.
const wantMargin = 25

// wantFrom is the use of a floor from which more is asked for, in percent.
const wantFrom = 75

// Epoch numbers the terms of the lease that grants come from.
type Epoch uint64

// Grant is an amount of a budget beyond the floor.
type Grant struct {
	ID     inventory.BudgetID
	Amount int64
}

// budget is a budget as one node uses it.
type budget struct {
	inventory.Budget
	floor    int64
	held     int64 // bounds the floor until heldTo
	heldTo   time.Time
	granted  int64 // beyond the floor until grantTo
	grantTo  time.Time
	used     window
	wanted   window
	promised int64 // bytes of answers that are expected
}

// setBudgets takes over the budgets of a new inventory.
func (t *Table) setBudgets(now time.Time) {
	old := t.budgets
	t.budgets = map[inventory.BudgetID]*budget{}
	for _, b := range t.inv.Budgets() {
		t.budgets[b.ID] = t.carryOver(now, old[b.ID], b)
	}
}

func (t *Table) carryOver(now time.Time, old *budget, b inventory.Budget) *budget {
	floor := t.inv.FloorOf(b, t.self)
	if old == nil {
		return &budget{Budget: b, floor: floor, held: 0, heldTo: now.Add(HoldTime), used: newWindow(b.Window), wanted: newWindow(b.Window)}
	}
	if floor != old.floor {
		old.held = old.floorAt(now)
		old.heldTo = now.Add(HoldTime)
	}
	if b.Window != old.Window {
		old.used.restart(max(b.Window, old.Window))
		old.wanted.restart(b.Window)
	}
	old.Budget = b
	old.floor = floor
	return old
}

// floorAt is what the node may use without a grant.
func (b *budget) floorAt(now time.Time) int64 {
	if now.Before(b.heldTo) {
		return min(b.floor, b.held)
	}
	return b.floor
}

// limitAt is what the node may use in all.
func (b *budget) limitAt(now time.Time) int64 {
	limit := b.floorAt(now)
	if now.Before(b.grantTo) {
		limit += b.granted
	}
	return min(limit, b.Limit)
}

// fits reports whether the node may use an amount more.
func (b *budget) fits(now time.Time, amount int64) bool {
	return b.used.count(now)+b.promised+amount <= b.limitAt(now)
}

// Tick notices the passing of time. After a pause of the process, whatever it
// was about to send before goes out only now, and is counted anew.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notice(now)
	t.ticked = now
}

func (t *Table) notice(now time.Time) {
	if t.ticked.IsZero() {
		return
	}
	pause := now.Sub(t.ticked)
	if pause <= maxPause {
		return
	}
	for _, b := range t.budgets {
		b.used.shift(pause)
		if pause > longPause {
			b.held = 0
			b.heldTo = now.Add(HoldTime)
		}
	}
	t.ticked = now
}

// Wants returns what this node would use beyond its floors.
func (t *Table) Wants(now time.Time) []Grant {
	t.mu.Lock()
	defer t.mu.Unlock()
	var wants []Grant
	for id, b := range t.budgets {
		wanted := b.wanted.count(now)
		floor := b.floorAt(now)
		if wanted == 0 || wanted < floor*wantFrom/100 {
			continue
		}
		more := wanted + (wanted*wantMargin+99)/100 - floor
		if more > 0 {
			wants = append(wants, Grant{ID: id, Amount: min(more, b.Pool())})
		}
	}
	return wants
}

// Grant takes in an answer to what Wants returned. The grants hold for ttl from
// asked on, the moment before the question left. It fails with KindEpoch when a
// later term of the lease has been heard of.
func (t *Table) Grant(asked time.Time, ttl time.Duration, epoch Epoch, grants []Grant) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if epoch < t.epoch {
		return &Error{Op: "grant", Kind: KindEpoch, Err: errors.Newf("epoch %d after %d", epoch, t.epoch)}
	}
	t.epoch = epoch
	until := asked.Add(ttl)
	for _, g := range grants {
		b, ok := t.budgets[g.ID]
		if !ok || until.Before(b.grantTo) {
			continue
		}
		b.granted = g.Amount
		b.grantTo = until
	}
	return nil
}

// Epoch returns the latest term of the lease that was heard of.
func (t *Table) Epoch() Epoch {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.epoch
}

// HeardEpoch takes in that a term of the lease has begun. Grants of an earlier
// one end.
func (t *Table) HeardEpoch(epoch Epoch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if epoch <= t.epoch {
		return
	}
	t.epoch = epoch
	for _, b := range t.budgets {
		b.grantTo = time.Time{}
	}
}
