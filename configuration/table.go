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
	mu      sync.Mutex
	bundle  Bundle
	content Content
}

// New returns a table with no version in force.
func New() *Table { return &Table{} }

// Offer puts a version in force if it is whole, valid and higher than the one
// in force. It fails with KindOld, KindForked, KindCorrupt or KindInvalid, and
// then nothing has changed.
func (t *Table) Offer(b Bundle) error {
	if err := t.Compare(b.Head); err != nil {
		return err
	}
	content, err := b.Open()
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.compare(b.Head); err != nil {
		return err
	}
	t.bundle = b
	t.content = content
	return nil
}

// Compare reports with an error why the version of a head would not be put in
// force: KindOld, or KindForked for a different version of the same number,
// which exists when a store came back older and was then written to by an
// operator who did not know.
func (t *Table) Compare(h Head) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.compare(h)
}

func (t *Table) compare(h Head) error {
	now := t.bundle.Head
	if h.Version > now.Version {
		return nil
	}
	if h.Version == now.Version && h.Nonce != now.Nonce {
		return &Error{Op: "offer", Kind: KindForked, Err: errors.Newf("version %d by %q is in force, another by %q was offered", now.Version, now.Author, h.Author)}
	}
	return &Error{Op: "offer", Kind: KindOld, Err: errors.Newf("version %d is in force, %d was offered", now.Version, h.Version)}
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
	return t.content.Inventory
}

// Former returns the entry VMs that were removed lately.
func (t *Table) Former() []Former {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.content.Index.Former
}

// Bundle returns the version in force with its parts.
func (t *Table) Bundle() Bundle {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bundle
}
