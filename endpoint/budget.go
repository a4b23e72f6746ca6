package endpoint

// How many attempts may follow a failed one.

import "sync"

// Size of the budget.
const (
	retryShare = 0.08 // attempts that each first try allows
	retryBurst = 10   // attempts that may be saved up
)

// Budget bounds the attempts that follow failed ones to a share of the first
// tries, so that they cannot feed an overload. It is safe for concurrent use.
type Budget struct {
	mu   sync.Mutex
	left float64
}

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{left: retryBurst} }

// First counts a first try.
func (b *Budget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(b.left+retryShare, retryBurst)
}

// Take asks for another attempt, and reports whether it may be made.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
