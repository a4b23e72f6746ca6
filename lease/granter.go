package lease

// Handing out grants of the pools.

import (
	"sync"
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// Timing of grants.
const (
	// GrantTime is how long a grant holds, from the moment that its receiver
	// asked, on the receiver's clock.
	GrantTime = 2 * time.Second
	// sweepEvery is the time between looks for what has lapsed.
	sweepEvery = 100 * time.Millisecond
	// demandTime is how long a demand counts when it is not repeated.
	demandTime = 3 * time.Second
)

// waitOut is how long a new holder grants nothing: until the last grant of an
// earlier holder has ended and left a window of one second.
var waitOut = withMargin(GrantTime + time.Second)

// Asker is one process that asks for grants.
type Asker struct {
	Entry       inventory.EntryID
	Incarnation inventory.Incarnation
}

// claim is an amount that an asker may be using.
type claim struct {
	amount int64
	until  time.Time
}

// account is what one asker wants and has of a pool.
type account struct {
	demand   int64
	demandTo time.Time
	claims   []claim
	counted  int64 // largest claim as it stands in the pool's sum
}

// pool is the part of a budget that is granted.
type pool struct {
	inventory.Budget
	accounts map[Asker]*account
	demand   int64 // sum over the accounts
	claimed  int64 // sum over the accounts
	swept    time.Time
}

// Granter hands out the pools of all budgets for one term of the lease. It is
// safe for concurrent use.
type Granter struct {
	mu    sync.Mutex
	epoch Epoch
	from  time.Time // first grant of this term
	pools map[inventory.BudgetID]*pool
}

// NewGranter returns a granter with nothing to grant.
func NewGranter() *Granter { return &Granter{pools: map[inventory.BudgetID]*pool{}} }

// SetInventory puts the budgets of an inventory in force. What has been granted
// still counts, also of a budget that is gone and comes back.
func (g *Granter) SetInventory(inv *inventory.Inventory) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.pools {
		p.Limit = 0
	}
	for _, b := range inv.Budgets() {
		p := g.pools[b.ID]
		if p == nil {
			p = &pool{accounts: map[Asker]*account{}}
			g.pools[b.ID] = p
		}
		p.Budget = b
	}
}

// Grant answers an asker's wants under an epoch. Each amount replaces the one
// granted before. A demand that the pool cannot meet gets its share of it.
func (g *Granter) Grant(now time.Time, epoch Epoch, asker Asker, wants []Grant) []Grant {
	g.mu.Lock()
	defer g.mu.Unlock()
	if epoch != g.epoch {
		g.epoch = epoch
		g.from = now
		for _, p := range g.pools {
			p.accounts = map[Asker]*account{}
			p.demand, p.claimed = 0, 0
		}
	}
	grants := make([]Grant, 0, len(wants))
	for _, w := range wants {
		if p := g.pools[w.ID]; p != nil && w.Amount > 0 && !now.Before(g.ready(p)) {
			grants = append(grants, Grant{ID: w.ID, Amount: p.grant(now, asker, w.Amount)})
		}
	}
	return grants
}

// ready is when a pool may be granted from: an earlier holder's grants stay in
// windows of more than a second for longer than waitOut.
func (g *Granter) ready(p *pool) time.Time {
	return g.from.Add(withMargin(max(0, p.Window-time.Second)))
}

func (p *pool) grant(now time.Time, asker Asker, want int64) int64 {
	p.sweep(now)
	a := p.accounts[asker]
	if a == nil {
		a = &account{}
		p.accounts[asker] = a
	}
	p.demand += want - a.demand
	a.demand, a.demandTo = want, now.Add(demandTime)
	amount := min(p.share(want), p.Pool()-(p.claimed-a.counted))
	if amount <= 0 {
		return 0
	}
	a.claims = append(a.claims, claim{amount: amount, until: now.Add(withMargin(GrantTime + p.Window))})
	p.recount(a)
	return amount
}

// share is the part of the pool that a demand gets: all of it while all demands
// fit, else in proportion, and at least one.
func (p *pool) share(want int64) int64 {
	if p.demand <= p.Pool() {
		return want
	}
	return max(1, int64(float64(p.Pool())*float64(want)/float64(p.demand)))
}

// recount puts an account's largest claim into the sum. An asker may use its
// claims one after the other within a window, but never two at a time.
func (p *pool) recount(a *account) {
	largest := int64(0)
	for _, c := range a.claims {
		largest = max(largest, c.amount)
	}
	p.claimed += largest - a.counted
	a.counted = largest
}

// sweep drops what has lapsed. Between sweeps lapsed claims still count, which
// grants less, never more.
func (p *pool) sweep(now time.Time) {
	if now.Sub(p.swept) < sweepEvery {
		return
	}
	p.swept = now
	for asker, a := range p.accounts {
		for len(a.claims) > 0 && !now.Before(a.claims[0].until) {
			a.claims = a.claims[1:]
		}
		p.recount(a)
		if a.demand > 0 && now.After(a.demandTo) {
			p.demand -= a.demand
			a.demand = 0
		}
		if len(a.claims) == 0 && a.demand == 0 {
			delete(p.accounts, asker)
		}
	}
}
