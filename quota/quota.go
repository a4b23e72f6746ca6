// Package quota keeps the requests of an organisation within its limit over all nodes. A node
// charges each request with a token, which it obtains from one of the organisation's issuers.
//
// Issuers are nodes: up to six for each organisation, chosen by package roster. Each has a token
// bucket with an equal share of the rate and the burst. A node asks the nearest one for the requests
// that wait and for those that it expects in the next 0.15 s, and the next one if that
// has no token. An issuer that has none says when to ask again. Nothing is agreed on between issuers.
//
// # The bound
//
// In a window W an organisation with rate R and burst B may send (R W + B)(1 + E) + S requests, E
// being the excess and S the slack (5 s, 0.1 and 20 if the settings give none). What may be sent:
//
//   - Tokens live for L = 0.2 s from the moment before they were asked for, so those used in a window
//     were issued in W + L. An issuer has a token bucket of its share of p R and B, p being 1.01, with up
//     to two tokens more, so that a token that comes while a small bucket is full is not lost. While it
//     is empty, B is issued evenly as well, at up to 1.25 B / W, unless the issuer does not know
//     what was issued in the last W. In no W + L an issuer issues more than its share of
//     1.05 (R W + B) + 0.3 S, with B = R this is 6.3 R + 6.
//   - A node to which no issuer responds uses its fallback share. The shares of all nodes are
//     0.15 E (R W + B) + 0.4 S, 0.075 R + 0.015 B + 8. A share under one request belongs to as many
//     nodes as there are requests, by their rank, and its uses are spaced by W or a part of it, so
//     that no window has more. A node that starts waits for W before.
//   - What is left of 6.6 R + 20, 0.21 R + 6, is for requests that take longer than others from their
//     charge to their endpoint. A node that is frozen between the charge and the write of a request
//     sends that late: such requests count here.
//   - An issuer that starts, or was paused, doesn't know what it issued before, and all may start at
//     once. It begins with an empty bucket, issues R only for W, and counts the most that it may have
//     issued in the last W: B at the end, R and 1.25 B / W before that, as far as an issuer issues in a
//     window. Meanwhile the limit of a window counts 1 + 0.75 E times in place of 1.05, which leaves
//     0.06 R + 6 for late requests. With B = R it issues 0.2 R in the first 0.8 s, and then R.
//   - An issuer that has been given the share of another one begins with an empty bucket and issues R
//     only for W: with what the other issued before, B stored and 1.25 B / W for a while, a window has at
//     most 0.83 B more than R W + B of that share.
//   - A retry and a forwarded request are not charged again. A charge that is given back since nothing
//     was sent may be used within its lifetime only, so it never counts in a later window.
//
// Two issuers for the same share would exceed this for large organisations, whose slack is small
// against a sixth of the rate. A node that becomes an issuer therefore issues nothing until those that
// it replaces have confirmed that they know (a claim); one that is no longer listed has a window to
// stop. If 35% of the nodes have an old list while the fleet grows by 18%, about 0.15 of the issuers
// change, and 0.35 of the replaced ones don't know: without claims 0.05 of the rate would be issued twice
// on average and a sixth in the worst of three cases, with them it is issued once, to those
// nodes that still have the old list. Three cases remain, in which one share overlaps: a listed node that is removed while it
// runs and is cut off from the store for longer than W; a replaced issuer that can't be reached for
// maxClaim; and a limit that is raised so far that the number of issuers changes (for W).
//
// A limit that is lowered applies at an issuer with the configuration that contains it. Tokens that were
// issued before live for L.
//
// Times are from a clock that counts the suspension of the VM, so tokens end and buckets fill in a
// suspension as they do elsewhere. With a clock that doesn't count it, Paused discards the tokens.
//
// The package does no I/O and starts no goroutines. Methods take the current time as an argument
// and are safe for concurrent use. A table has one lock.
//
// # Usage
//
//	t := quota.New("edge-1")
//	t.SetPeers(now, roster.New(peers))
//	t.SetLimits(now, organisations, bounds)
//	d := t.Take(now, organisation)                     // as the sender of a request
//	reply := t.Issue(now, organisation, d.Count)       // as the issuer d.Issuer
//	t.RecordReply(now, organisation, d.Issuer, reply)  // as the sender
package quota

import (
	"slices"
	"sync"
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/roster"
)

const (
	// Lifetime is how long a token may be used, from the moment before it was asked for.
	Lifetime = 200 * time.Millisecond
	// AskTime is how long a sender waits for an issuer: several round trips between regions.
	AskTime = 150 * time.Millisecond

	maxIssuers = 6
	minIssuers = 2 // one that doesn't respond costs its share of the rate
	// maxPace is the rate of all issuers over the limit: it makes up for tokens that end unused.
	maxPace = 1.01
	// maxLimit bounds rates and bursts, which the store may give in any size.
	maxLimit = 1e9
	// The shares of excess and slack, see the package comment.
	paceExcess     = 0.75
	fallbackExcess = 0.15
	extraSlack     = 0.3
	fallbackSlack  = 0.4
)

// Bounds are the guarantees of the deployment.
type Bounds struct {
	Window time.Duration
	Excess float64 // share of the limit that may be exceeded in a Window
	Slack  float64 // requests on top
}

// Table holds what one node knows as an issuer and as a sender.
type Table struct {
	self inventory.EntryID

	mu            sync.Mutex
	bounds        Bounds
	configured    bool // SetLimits was called
	roster        *roster.Roster
	organisations map[inventory.OrganisationID]*organisation // those with a limit
	claims        map[inventory.OrganisationID]*claim
	failed        map[inventory.EntryID]time.Time // when an issuer last did not respond
}

// organisation is the state of an organisation with a limit.
type organisation struct {
	id          inventory.OrganisationID
	key         roster.Key
	rate, burst float64
	places      int // issuers, if there are enough nodes

	bucket
	sender
}

// New returns the table of a node without peers.
func New(self inventory.EntryID) *Table {
	return &Table{
		self:          self,
		roster:        roster.New(nil),
		organisations: map[inventory.OrganisationID]*organisation{},
		claims:        map[inventory.OrganisationID]*claim{},
		failed:        map[inventory.EntryID]time.Time{},
	}
}

// SetPeers replaces the nodes that may be issuers, including this one.
func (t *Table) SetPeers(now time.Time, next *roster.Roster) {
	t.mu.Lock()
	defer t.mu.Unlock()
	last := t.roster
	if last.Equal(next) {
		return
	}
	t.roster = next
	if last.Len() == 0 {
		t.claimAll(now)
		return
	}
	t.releaseUnlisted(now)
	for _, o := range t.organisations {
		t.claimShare(now, o, last.Choose(o.key, o.places))
		clear(o.waits)
	}
}

// SetLimits replaces the organisations. One without a rate has no limit.
func (t *Table) SetLimits(now time.Time, all []inventory.Organisation, b Bounds) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bounds = b
	known := map[inventory.OrganisationID]bool{}
	for _, o := range all {
		if o.Rate > 0 {
			known[o.ID] = true
			t.setLimit(now, o)
		}
	}
	for id := range t.organisations {
		if !known[id] {
			delete(t.organisations, id)
			delete(t.claims, id)
		}
	}
	if !t.configured {
		t.configured = true
		t.claimAll(now)
	}
}

// SetBounds changes the bounds. The number of issuers follows with the next limits, so that it changes
// on all nodes with the configuration.
func (t *Table) SetBounds(b Bounds) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bounds = b
}

// setLimit applies the limit of one organisation.
func (t *Table) setLimit(now time.Time, limit inventory.Organisation) {
	rate, burst := min(float64(limit.Rate), maxLimit), 0.0
	if limit.Burst > 0 { // and a number
		burst = min(limit.Burst, maxLimit)
	}
	places := placesOf(rate, burst, t.bounds.Slack)
	o := t.organisations[limit.ID]
	if o == nil {
		o = &organisation{id: limit.ID, key: roster.KeyOf("quota " + string(limit.ID)), rate: rate, burst: burst, places: places}
		o.bucket = bucket{at: now, made: now}
		o.sender = sender{waits: map[inventory.EntryID]refusal{}, nextFallback: now.Add(t.bounds.Window)}
		t.organisations[limit.ID] = o
		o.level = t.depth(o) // nobody has issued any before; at the start claimAll empties it
		return
	}
	t.refill(now, o)
	before := t.roster.Choose(o.key, o.places)
	o.rate, o.burst, o.places = rate, burst, places
	o.level = min(o.level, t.depth(o))
	if after := t.issuers(o); len(before) != len(after) && !roster.Includes(before, t.self) {
		o.bucket = bucket{at: now, made: now}
		t.claim(now, o).until = now.Add(t.bounds.Window)
	}
}

// placesOf returns the number of issuers of an organisation. Each has at least one token.
func placesOf(rate, burst, slack float64) int {
	places := min(maxIssuers, max(minIssuers, int(max(rate, burst))))
	return max(1, min(places, int(burst+extraSlack*slack)))
}

// issuers returns the issuers of an organisation.
func (t *Table) issuers(o *organisation) []roster.Peer { return t.roster.Choose(o.key, o.places) }

// Issuers returns the issuers of an organisation by the current list of nodes.
func (t *Table) Issuers(id inventory.OrganisationID) []inventory.EntryID {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []inventory.EntryID
	if o := t.organisations[id]; o != nil {
		for _, p := range t.issuers(o) {
			ids = append(ids, p.ID)
		}
	}
	return ids
}

// Paused records that the process did not run for a while: others may have become issuers in its
// place, so it starts anew as an issuer, and discards its tokens.
func (t *Table) Paused(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, o := range t.organisations {
		o.grants = nil
		clear(o.waits)
	}
	clear(t.failed)
	t.claimAll(now)
}

// Tick drops what is no longer needed, and returns the organisations whose callers no longer exceed
// the limit at this node.
func (t *Table) Tick(now time.Time) (ended []inventory.OrganisationID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settle(now)
	for _, o := range t.organisations {
		if o.over && now.Sub(o.denied) > t.bounds.Window {
			o.over = false
			ended = append(ended, o.id)
		}
		for id, w := range o.waits {
			if now.After(w.until) {
				delete(o.waits, id)
			}
		}
	}
	for id, at := range t.failed {
		if now.Sub(at) > failureTime {
			delete(t.failed, id)
		}
	}
	slices.Sort(ended)
	return ended
}

// Status is the state of an organisation at this node.
type Status struct {
	Organisation inventory.OrganisationID `json:"organisation"`
	Rate         float64                  `json:"rate"`    // of the limit
	Burst        float64                  `json:"burst"`   // of the limit
	Issuers      []inventory.EntryID      `json:"issuers"` // by the list of nodes here
	Issues       bool                     `json:"issues"`  // this node issues tokens
	Level        float64                  `json:"level"`   // tokens that it may issue now
	Stock        int                      `json:"stock"`   // tokens for requests of this node
	Over         bool                     `json:"over"`    // callers have exceeded the limit lately
}

// Status returns the state of the organisations that have requests or tokens here.
func (t *Table) Status(now time.Time) []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Status
	for _, o := range t.organisations {
		s := Status{Organisation: o.id, Rate: o.rate, Burst: o.burst, Over: o.over, Stock: o.stock(now)}
		for _, p := range t.issuers(o) {
			s.Issuers = append(s.Issuers, p.ID)
		}
		s.Issues = slices.Contains(s.Issuers, t.self) && t.claims[o.id] == nil
		if s.Issues {
			t.refill(now, o)
			s.Level = o.level
		}
		if s.Issues || s.Over || o.demand.at(now) > minDemand {
			all = append(all, s)
		}
	}
	slices.SortFunc(all, func(a, b Status) int {
		if a.Organisation < b.Organisation {
			return -1
		}
		return 1
	})
	return all
}
