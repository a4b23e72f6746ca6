// Package configuration publishes versions of the inventory to the platform's
// store and decides which version counts at a node.
//
// A version is a head that names immutable shards by the hash of their content.
// Moving the one head object by a conditional update is the acceptance of the
// version; whatever else fails before or after it does not change the outcome.
// A node only ever moves to a higher version (see Table), wherever it hears of
// it, from the store or from another node.
//
// # Usage
//
//	head, err := configuration.Publish(ctx, store, configuration.Change{Text: text, Author: "ana"})
//
//	table := configuration.New()
//	bundle, err := configuration.Fetch(ctx, store, obj)
//	err = table.Offer(bundle)
package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// HeadName is the name of the one object whose update accepts a version.
const HeadName = "head"

// acceptedLog bounds how many past acceptances a head remembers.
const acceptedLog = 64

// Hash is the SHA-256 of a shard's content in hexadecimal digits.
type Hash string

// Nonce marks one operator's attempt to publish, so that it can recognise its
// own write after a lost answer.
type Nonce string

// Accepted is a past acceptance.
type Accepted struct {
	Version inventory.Version `json:"version"`
	Nonce   Nonce             `json:"nonce"`
	Author  string            `json:"author"`
	Time    time.Time         `json:"time"`
	Shards  []Hash            `json:"shards"`
}

// Head is the value of the head object.
type Head struct {
	Accepted
	// Log holds the acceptances before this one, newest first.
	Log []Accepted `json:"log"`
}

// Shard is an immutable part of a version.
type Shard struct {
	Hash Hash   `json:"hash"`
	Data []byte `json:"data"`
}

// Bundle is a version with all of its shards, as nodes pass it to each other.
type Bundle struct {
	Head   Head    `json:"head"`
	Shards []Shard `json:"shards"`
}

// HashOf returns the hash of a shard's content.
func HashOf(data []byte) Hash {
	sum := sha256.Sum256(data)
	return Hash(hex.EncodeToString(sum[:]))
}

// shardName is the store's name for a shard.
func shardName(h Hash) string { return "shard." + string(h) }

// next returns the head that follows h.
func (h Head) next(nonce Nonce, author string, now time.Time, shards []Hash) Head {
	log := h.Log
	if h.Version > 0 {
		log = append([]Accepted{h.Accepted}, log...)
	}
	if len(log) > acceptedLog {
		log = log[:acceptedLog]
	}
	return Head{
		Accepted: Accepted{Version: h.Version + 1, Nonce: nonce, Author: author, Time: now, Shards: shards},
		Log:      log,
	}
}

// find returns the acceptance of a version, as far as the log reaches back.
func (h Head) find(v inventory.Version) (Accepted, bool) {
	if h.Version == v && v > 0 {
		return h.Accepted, true
	}
	for _, a := range h.Log {
		if a.Version == v {
			return a, true
		}
	}
	return Accepted{}, false
}

// ParseHead decodes the value of the head object.
func ParseHead(value []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(value, &h); err != nil {
		return Head{}, &Error{Op: "head", Kind: KindCorrupt, Err: err}
	}
	if h.Version == 0 {
		return Head{}, &Error{Op: "head", Kind: KindCorrupt, Err: errors.New("version 0")}
	}
	return h, nil
}

// Inventory checks the bundle's shards against their hashes and parses them.
func (b Bundle) Inventory() (*inventory.Inventory, error) {
	byHash := map[Hash][]byte{}
	for _, s := range b.Shards {
		if HashOf(s.Data) != s.Hash {
			return nil, &Error{Op: "bundle", Kind: KindCorrupt, Err: errors.Newf("shard %s has another hash", s.Hash)}
		}
		byHash[s.Hash] = s.Data
	}
	var text []byte
	for _, h := range b.Head.Shards {
		data, ok := byHash[h]
		if !ok {
			return nil, &Error{Op: "bundle", Kind: KindCorrupt, Err: errors.Newf("shard %s is missing", h)}
		}
		text = append(text, data...)
	}
	inv, err := inventory.Parse("configuration", text)
	if err != nil {
		return nil, &Error{Op: "bundle", Kind: KindInvalid, Err: err}
	}
	return inv, nil
}
