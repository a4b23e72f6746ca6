package configuration

// A version with all of its parts, and what it says.

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// maxText bounds the operators' text, in bytes.
const maxText = 64 << 20

// Former is an entry VM that was declared in an earlier version. Nodes that
// start later still need to know it.
type Former struct {
	ID      inventory.EntryID  `json:"id"`
	Domain  inventory.DomainID `json:"domain"`
	Peer    string             `json:"peer"`    // address for other nodes
	Removed time.Time          `json:"removed"` // when the version without it was made
}

// Index names the parts of a version.
type Index struct {
	Shards []Hash            `json:"shards"` // of the text, in order
	Drains []inventory.Drain `json:"drains"` // made by command
	Former []Former          `json:"former"`
}

func parseIndex(data []byte) (Index, error) {
	var x Index
	if err := json.Unmarshal(data, &x); err != nil {
		return x, corrupt("index", err)
	}
	for _, h := range x.Shards {
		if !h.valid() {
			return x, corrupt("index", errors.Newf("%q is not a hash", h))
		}
	}
	return x, nil
}

// Bundle is a version with all of its parts: the index and its shards.
type Bundle struct {
	Head   Head
	Shards []Shard
}

// Content is what a bundle says, checked.
type Content struct {
	Index     Index
	Text      []byte               // the operators' file
	Inventory *inventory.Inventory // of the text with the drains made by command
}

// Open checks the parts against their hashes and parses them. It fails with
// KindCorrupt or KindInvalid.
func (b Bundle) Open() (Content, error) {
	parts := b.parts()
	for h, data := range parts {
		if HashOf(data) != h {
			return Content{}, corrupt("bundle", errors.Newf("part %s has another hash", h))
		}
	}
	data, ok := parts[b.Head.Index]
	if !ok {
		return Content{}, corrupt("bundle", errors.Newf("index %s is missing", b.Head.Index))
	}
	index, err := parseIndex(data)
	if err != nil {
		return Content{}, err
	}
	text, err := index.join(parts)
	if err != nil {
		return Content{}, err
	}
	return newContent(index, text)
}

func (b Bundle) parts() map[Hash][]byte {
	parts := make(map[Hash][]byte, len(b.Shards))
	for _, s := range b.Shards {
		parts[s.Hash] = s.Data
	}
	return parts
}

// join puts the text together.
func (x Index) join(parts map[Hash][]byte) ([]byte, error) {
	var text []byte
	for _, h := range x.Shards {
		data, ok := parts[h]
		if !ok {
			return nil, corrupt("bundle", errors.Newf("shard %s is missing", h))
		}
		if len(text)+len(data) > maxText {
			return nil, corrupt("bundle", errors.Newf("the text has more than %d bytes", maxText))
		}
		text = append(text, data...)
	}
	return text, nil
}

// newContent parses a text and adds the drains of the index.
func newContent(index Index, text []byte) (Content, error) {
	inv, err := inventory.Parse("inventory", text)
	if err != nil {
		return Content{}, &Error{Op: "content", Kind: KindInvalid, Err: err}
	}
	inv, err = inv.WithDrains(index.Drains)
	if err != nil {
		return Content{}, &Error{Op: "content", Kind: KindInvalid, Err: err}
	}
	return Content{Index: index, Text: text, Inventory: inv}, nil
}

// Pick returns those of the wanted parts that the bundle has.
func (b Bundle) Pick(want []Hash) []Shard {
	parts := b.parts()
	var found []Shard
	for _, h := range want {
		if data, ok := parts[h]; ok {
			found = append(found, Shard{Hash: h, Data: data})
		}
	}
	return found
}

// lacks returns those of the wanted parts that the bundle does not have, each
// once.
func (b Bundle) lacks(want []Hash) []Hash {
	parts := b.parts()
	var missing []Hash
	for _, h := range want {
		if _, ok := parts[h]; !ok {
			missing = append(missing, h)
		}
	}
	slices.Sort(missing)
	return slices.Compact(missing)
}
