// Package configuration publishes versions of the inventory to the platform's
// store and decides which version counts at a node.
//
// A version is a tree of objects that are named by the hash of their content:
// a head names an index, and the index names the shards of the operators' text.
// Moving the one head object by a conditional update is the acceptance of the
// version; whatever else fails before or after it does not change the outcome.
// All other objects are immutable, so one change writes the shards that differ,
// the index and the head, whatever the size of the inventory.
//
// Drains that operators make by command stand in the index, apart from the
// text, and stay in force when a text is published that does not know them.
//
// A node only ever moves to a higher version (see Table), wherever it hears of
// it, from the store or from another node, and fetches only shards that it
// lacks.
//
// # Usage
//
//	present, err := configuration.ReadPresent(ctx, store, configuration.Bundle{})
//	plan, err := present.Plan(configuration.Change{Text: text, Author: "ana"})
//	accepted, err := plan.Publish(ctx, store)
//
//	table := configuration.New()
//	bundle, err := configuration.Fetch(ctx, configuration.StoreSource{Store: store}, head, table.Bundle())
//	err = table.Offer(bundle)
package configuration

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// HeadName is the name of the one object whose update accepts a version.
const HeadName = "head"

// Bounds of a head.
const (
	acceptedLog = 64  // past acceptances that a head remembers
	maxAuthor   = 64  // bytes
	maxNote     = 160 // bytes
)

// Nonce marks one operator's attempt to publish, so that it can recognise its
// own write after a lost answer.
type Nonce string

// Accepted is an acceptance.
type Accepted struct {
	Version inventory.Version `json:"version"`
	Nonce   Nonce             `json:"nonce"`
	Author  string            `json:"author"`
	Time    time.Time         `json:"time"`
	Note    string            `json:"note"`
	Index   Hash              `json:"index"`
}

// Head is the value of the head object.
type Head struct {
	Accepted
	// Log holds the acceptances before this one, newest first.
	Log []Accepted `json:"log"`
}

// envelope is the stored form of a head, with the hash of its text.
type envelope struct {
	Sum  Hash            `json:"sum"`
	Head json.RawMessage `json:"head"`
}

// Encode returns the value of the head object.
func (h Head) Encode() ([]byte, error) {
	text, err := json.Marshal(h)
	if err != nil {
		return nil, &Error{Op: "head", Kind: KindInvalid, Err: err}
	}
	value, err := json.Marshal(envelope{Sum: HashOf(text), Head: text})
	if err != nil {
		return nil, &Error{Op: "head", Kind: KindInvalid, Err: err}
	}
	return value, nil
}

// ParseHead decodes and checks the value of the head object. It fails with
// KindCorrupt.
func ParseHead(value []byte) (Head, error) {
	var e envelope
	if err := json.Unmarshal(value, &e); err != nil {
		return Head{}, corrupt("head", err)
	}
	if HashOf(e.Head) != e.Sum {
		return Head{}, corrupt("head", errors.New("it has another hash"))
	}
	var h Head
	if err := json.Unmarshal(e.Head, &h); err != nil {
		return Head{}, corrupt("head", err)
	}
	if err := h.check(); err != nil {
		return Head{}, corrupt("head", err)
	}
	return h, nil
}

func (h Head) check() error {
	if h.Version == 0 || h.Nonce == "" {
		return errors.New("no version or no nonce")
	}
	if !h.Index.valid() {
		return errors.New("the index is not a hash")
	}
	if len(h.Log) > acceptedLog {
		return errors.Newf("%d entries in the log", len(h.Log))
	}
	above := h.Version
	for _, a := range h.Log {
		if a.Version == 0 || a.Version >= above || !a.Index.valid() {
			return errors.Newf("version %d in the log below %d", a.Version, above)
		}
		above = a.Version
	}
	return nil
}

// next returns the head that follows h.
func (h Head) next(a Accepted) Head {
	a.Version = h.Version + 1
	log := h.Log
	if h.Version > 0 {
		log = append([]Accepted{h.Accepted}, log...)
	}
	if len(log) > acceptedLog {
		log = log[:acceptedLog]
	}
	return Head{Accepted: a, Log: log}
}

// Find returns the acceptance of a version, as far as the log reaches back.
func (h Head) Find(v inventory.Version) (Accepted, bool) {
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
