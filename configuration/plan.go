package configuration

// From what is in force and what an operator wants to the next version: the
// decision, with the rules that a change must keep.

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/platform"
)

// formerKeep is how long a removed entry VM stays known.
const formerKeep = 24 * time.Hour

// Change is what an operator wants to put in force.
type Change struct {
	// Text is the whole inventory as TOML; nil keeps the one in force.
	Text []byte
	// Drain and Undrain are added to and taken from the drains by command.
	Drain, Undrain []inventory.Drain
	// Author names the operator, for others who lose a race.
	Author string
	// Note says in a few words what the change is.
	Note string
	// Base is the version that the operator started from; 0 means whatever is
	// in force now.
	Base inventory.Version
}

// Standing says how the store compares with what nodes have in force.
type Standing string

// The values of Standing.
const (
	StandingCurrent Standing = "current" // nodes have nothing higher
	StandingOlder   Standing = "older"   // the store has come back with an older state
	StandingForked  Standing = "forked"  // nodes have another version of the same number
	StandingCorrupt Standing = "corrupt" // the store's version cannot be read
)

// Present is the version that a change builds on: the highest of the store's
// and of the nodes'.
type Present struct {
	Content
	Head     Head
	Standing Standing
	// Store is the version of the store's head, Nodes the highest that a node
	// told of.
	Store, Nodes inventory.Version

	match  platform.Version // object version of the store's head
	stored Bundle           // parts that the store is known to hold
}

// ReadPresent reads what is in force. Known is the highest version that a live
// node has in force, or the zero Bundle; the change builds on it when the store
// has come back with an older state. It fails with KindUnavailable or
// KindCorrupt.
func ReadPresent(ctx context.Context, store Store, known Bundle) (Present, error) {
	head, match, err := Read(ctx, store)
	p := Present{Store: head.Version, Nodes: known.Head.Version, Standing: standingOf(head, err, known.Head), match: match}
	if p.Standing != StandingCurrent {
		p.Head = known.Head
		p.Content, err = known.Open()
		return p, err
	}
	if err != nil || head.Version == 0 {
		return p, err
	}
	p.Head = head
	p.stored, err = Fetch(ctx, StoreSource{Store: store}, head, known)
	if err == nil {
		p.Content, err = p.stored.Open()
	}
	if known.Head.Version > 0 && isBroken(err) {
		// Nodes refuse the version too. The next one keeps what they have.
		p.Standing, p.stored = StandingCorrupt, Bundle{}
		p.Content, err = known.Open()
	}
	return p, err
}

// isBroken reports whether trying again cannot help.
func isBroken(err error) bool {
	var e *Error
	isBad := errors.As(err, &e) && (e.Kind == KindCorrupt || e.Kind == KindInvalid)
	return isBad || errors.Is(err, platform.ErrMissing)
}

func standingOf(store Head, err error, nodes Head) Standing {
	var e *Error
	switch {
	case nodes.Version == 0:
		return StandingCurrent
	case errors.As(err, &e) && e.Kind == KindCorrupt:
		return StandingCorrupt
	case err != nil || nodes.Version < store.Version:
		return StandingCurrent
	case nodes.Version > store.Version:
		return StandingOlder
	case nodes.Nonce != store.Nonce:
		return StandingForked
	default:
		return StandingCurrent
	}
}

// Plan is the next version, not yet accepted.
type Plan struct {
	Content
	// Dropped are drains by command whose place the new text does not declare.
	Dropped []inventory.Drain
	// Same reports that nothing would change.
	Same bool

	present Present
	shards  []Shard
	meta    Accepted
}

// Plan works out the next version. It fails with KindLost when the base is not
// in force, and with KindInvalid.
func (p Present) Plan(now time.Time, c Change) (Plan, error) {
	if c.Base != 0 && p.Head.Version != c.Base {
		return Plan{}, lost(p.Head)
	}
	if c.Text == nil && p.Head.Version == 0 {
		return Plan{}, invalid(errors.New("no version is in force yet"))
	}
	if len(c.Author) > maxAuthor || len(c.Note) > maxNote {
		return Plan{}, invalid(errors.Newf("the author has more than %d bytes or the note more than %d", maxAuthor, maxNote))
	}
	text := c.Text
	if text == nil {
		text = p.Text
	}
	declared, err := inventory.Parse("inventory", text)
	if err != nil {
		return Plan{}, invalid(err)
	}
	plan := Plan{present: p, shards: split(text)}
	plan.meta = Accepted{Nonce: Nonce(rand.Text()), Author: c.Author, Time: now.UTC(), Note: c.Note}
	drains := p.drains(c, declared, &plan.Dropped)
	index := Index{Drains: drains, Former: p.former(now, declared)}
	for _, s := range plan.shards {
		index.Shards = append(index.Shards, s.Hash)
	}
	plan.Content, err = newContent(index, text)
	if err != nil {
		return Plan{}, err
	}
	plan.Same = slices.Equal(index.Shards, p.Index.Shards) && slices.Equal(drains, p.Index.Drains)
	return plan, p.checkMoves(declared)
}

func invalid(err error) error { return &Error{Op: "plan", Kind: KindInvalid, Err: err} }

// drains returns the drains by command after the change.
func (p Present) drains(c Change, declared *inventory.Inventory, dropped *[]inventory.Drain) []inventory.Drain {
	var next []inventory.Drain
	for _, d := range p.Index.Drains {
		switch {
		case slices.Contains(c.Undrain, d):
		case !declared.Declares(d):
			*dropped = append(*dropped, d)
		default:
			next = append(next, d)
		}
	}
	for _, d := range c.Drain {
		if !slices.Contains(next, d) {
			next = append(next, d)
		}
	}
	return next
}

// former returns the entry VMs that were removed lately, by this change too.
func (p Present) former(now time.Time, declared *inventory.Inventory) []Former {
	var next []Former
	for _, f := range p.Index.Former {
		_, back := declared.Entry(f.ID)
		if !back && now.Sub(f.Removed) < formerKeep {
			next = append(next, f)
		}
	}
	if p.Inventory == nil {
		return next
	}
	for _, e := range p.Inventory.Entries {
		if _, stays := declared.Entry(e.ID); !stays {
			next = append(next, Former{ID: e.ID, Domain: e.Domain, Peer: e.Peer, Removed: now.UTC()})
		}
	}
	return next
}

// checkMoves refuses to give a known id to something else: who owns an endpoint
// is decided on evidence about ids, so a moved endpoint or entry VM needs a new
// one.
func (p Present) checkMoves(next *inventory.Inventory) error {
	for _, f := range p.Index.Former {
		e, back := next.Entry(f.ID)
		if back && (e.Domain != f.Domain || e.Peer != f.Peer) {
			return invalid(errors.Newf("entry %q was removed lately and returns in another domain or with another peer address; it needs a new id", f.ID))
		}
	}
	if p.Inventory == nil {
		return nil
	}
	for _, old := range p.Inventory.Entries {
		if e, ok := next.Entry(old.ID); ok && e != old {
			return invalid(errors.Newf("entry %q changes its domain or addresses; it needs a new id", old.ID))
		}
	}
	domains := map[inventory.EndpointID]inventory.DomainID{}
	for _, old := range p.Inventory.Endpoints {
		domains[old.ID] = old.Domain
	}
	for _, e := range next.Endpoints {
		if d, ok := domains[e.ID]; ok && d != e.Domain {
			return invalid(errors.Newf("endpoint %q changes its domain from %q to %q; it needs a new id", e.ID, d, e.Domain))
		}
	}
	return nil
}

// index returns the encoded index as a part.
func (plan Plan) index() (Shard, error) {
	data, err := json.Marshal(plan.Content.Index)
	if err != nil {
		return Shard{}, invalid(err)
	}
	if len(data) > platform.MaxObject {
		return Shard{}, invalid(errors.Newf("the index has %d bytes, the platform holds %d", len(data), platform.MaxObject))
	}
	return newShard(data), nil
}
