package configuration

// Which version counts at a node: the decision and nothing else.

import (
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// Table holds the version in force at one node. Its version never goes down.
// It is safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	bundle Bundle
	inv    *inventory.Inventory
}

// New returns a table with no version in force.
func New() *Table { return &Table{} }

// Offer puts a version in force if it is whole, valid and higher than the one
// in force. It fails with KindOld, KindCorrupt or KindInvalid, and then nothing
// has changed.
func (t *Table) Offer(b Bundle) error {
	inv, err := b.Inventory()
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if b.Head.Version <= t.bundle.Head.Version {
		return &Error{Op: "offer", Kind: KindOld, Err: errors.Newf("version %d is in force, %d was offered", t.bundle.Head.Version, b.Head.Version)}
	}
	t.bundle = b
	t.inv = inv
	return nil
}

// Version returns the version in force, 0 when there is none.
func (t *Table) Version() inventory.Version {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bundle.Head.Version
}

// Inventory returns the inventory in force, nil when there is none.
func (t *Table) Inventory() *inventory.Inventory {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inv
}

// Bundle returns the version in force with its shards.
func (t *Table) Bundle() Bundle {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bundle
}
