// Package member keeps what a node knows of the other nodes: who lives, in
// which incarnation, with how much room, and with which configuration.
//
// Two kinds of knowledge are kept apart. Silence makes a member suspect: it
// leaves the look-ups and gets no work, which costs little if it was a mistake.
// Evidence that a process is dead (its address refuses connections, or see List)
// is needed before anybody takes over what it owned; see package endpoint.
//
// # Usage
//
//	t := member.New("mx-1")
//	t.Heard(now, heartbeat)
//	for _, m := range t.Live(now) {
//		fmt.Println(m.Entry, m.Loads)
//	}
package member

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// Timing of heartbeats.
const (
	// Interval is the pause between heartbeats to a neighbour.
	Interval = 500 * time.Millisecond
	// SuspectAfter is the silence after which a member gets no more work.
	SuspectAfter = 2 * time.Second
	// forgetAfter is the silence after which an incarnation with a lower number
	// is believed again: the clock of a VM that was replaced may be behind.
	forgetAfter = 10 * time.Second
)

// Member is what is known of another node.
type Member struct {
	Heartbeat
	Last time.Time // when the heartbeat arrived
	Dead bool      // there was evidence of its death after that
}

// Table holds the members. It is safe for concurrent use.
type Table struct {
	self inventory.EntryID

	mu      sync.Mutex
	members map[inventory.EntryID]Member
}

// New returns a table for the node on the given entry VM, which itself is
// never among the members.
func New(self inventory.EntryID) *Table {
	return &Table{self: self, members: map[inventory.EntryID]Member{}}
}

// Heard records a heartbeat. It reports false for one that is late: of an
// incarnation before the known one, or overtaken on another connection. What a
// late one says must not be believed.
func (t *Table) Heard(now time.Time, h Heartbeat) bool {
	if h.Entry == t.self {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if m, ok := t.members[h.Entry]; ok && m.overtakes(now, h) {
		return false
	}
	t.members[h.Entry] = Member{Heartbeat: h, Last: now}
	return true
}

// overtakes reports whether what is known is newer than a heartbeat that has
// just arrived.
func (m Member) overtakes(now time.Time, h Heartbeat) bool {
	if m.Incarnation == h.Incarnation {
		return m.Sequence >= h.Sequence
	}
	return m.Incarnation > h.Incarnation && now.Sub(m.Last) < forgetAfter
}

// Dead records evidence, gathered from since onwards, that a member's process is
// gone. A heartbeat that arrived later than that is newer knowledge and wins. It
// reports whether the member now counts as dead.
func (t *Table) Dead(id inventory.EntryID, since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.members[id]
	if ok && !m.Last.Before(since) {
		return false
	}
	m.Entry = id
	m.Dead = true
	t.members[id] = m
	return true
}

// Get returns a member, live or not.
func (t *Table) Get(id inventory.EntryID) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.members[id]
	return m, ok
}

// Lives reports whether a member was heard of lately.
func (t *Table) Lives(now time.Time, id inventory.EntryID) bool {
	m, _ := t.Get(id)
	return m.liveAt(now)
}

// Incarnation returns a member's last known incarnation, 0 when unknown.
func (t *Table) Incarnation(id inventory.EntryID) inventory.Incarnation {
	m, _ := t.Get(id)
	return m.Incarnation
}

// Live returns the members heard of lately, ordered by id.
func (t *Table) Live(now time.Time) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var live []Member
	for _, m := range t.members {
		if m.liveAt(now) {
			live = append(live, m)
		}
	}
	slices.SortFunc(live, func(a, b Member) int { return strings.Compare(string(a.Entry), string(b.Entry)) })
	return live
}

func (m Member) liveAt(now time.Time) bool {
	return !m.Dead && m.Incarnation != 0 && now.Sub(m.Last) < SuspectAfter
}
