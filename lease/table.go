// Package lease decides who hands out grants, and how much to whom.
//
// One object in the platform's store is the lease. Its holder renews it by
// conditional updates; each term has an epoch that only grows. The holder counts
// its term from the moment before it sent the update. Another node takes the
// lease over when it has seen the same version of the object for longer than a
// term, on its own clock and with a margin for drift. No two nodes therefore
// hold it at the same time while clocks drift by no more than 1%, and a holder
// that was paused finds its term over when it looks.
//
// An update whose answer is lost is settled by reading the object again: each
// update has a nonce of its own.
//
// What was granted outlives a term. A new holder therefore grants nothing until
// all that an earlier one may have granted has lapsed (see Granter).
//
// # Usage
//
//	t := lease.New("mx-1", random)
//	switch a := t.Next(now, candidate); a.Do {
//	case lease.Read:
//		t.Observed(now, version, record) // or t.Absent(now)
//	case lease.Write:
//		t.Written(now, version) // or t.Failed()
//	}
//	if t.MayGrant(now) { ... }
package lease

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// Timing of a lease.
const (
	// Term is how long a holder may act after an update.
	Term = 10 * time.Second
	// renewEvery is the time between updates of the holder.
	renewEvery = 3 * time.Second
	// readEvery is the time between looks of the others.
	readEvery = 2 * time.Second
	// driftMargin lengthens what is waited for on another node's clock, in
	// thousandths: 1% for either clock, and some.
	driftMargin = 30
)

// withMargin is a time on another node's clock as it is to be waited for.
func withMargin(d time.Duration) time.Duration { return d + d*driftMargin/1000 }

// Epoch numbers the terms of different holders, from 1 upwards.
type Epoch uint64

// Nonce identifies one update.
type Nonce uint64

// Version is the store's version of the object.
type Version string

// Record is the value of the object.
type Record struct {
	Epoch    Epoch             `json:"epoch"`
	Holder   inventory.EntryID `json:"holder"`
	Nonce    Nonce             `json:"nonce"`
	Released bool              `json:"released,omitempty"`
}

// Do says what a node is to do.
type Do int

// What to do.
const (
	Wait  Do = iota // nothing now
	Read            // read the object
	Write           // update the object on the condition of its version
)

// Action is what a node is to do about the lease.
type Action struct {
	Do     Do
	Record Record  // to write
	Match  Version // that the object must still have; "" if it must not exist
}

// update is the last update that was sent.
type update struct {
	record  Record
	sent    time.Time
	settled bool
	taking  bool // begins a new term
	blind   bool // no earlier term was seen to lapse
}

// Table is one node's view of the lease. It is safe for concurrent use.
type Table struct {
	self inventory.EntryID

	mu        sync.Mutex
	random    *rand.Rand
	known     bool // the object was read, or written, and not doubted since
	read      time.Time
	version   Version
	record    Record
	since     time.Time // when this version was first seen
	highest   Epoch     // heard of from anybody
	last      update
	until     time.Time // end of the own term
	grantFrom time.Time
}

// New returns a table for the node on the given entry VM. Nonces are drawn from
// random, which the table then owns.
func New(self inventory.EntryID, random *rand.Rand) *Table {
	return &Table{self: self, random: random, last: update{settled: true}}
}

// Next says what to do now. Only a candidate takes the lease.
func (t *Table) Next(now time.Time, candidate bool) Action {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.last.settled || !t.known {
		return Action{Do: Read}
	}
	if t.holds(now) {
		if now.Sub(t.last.sent) < renewEvery {
			return Action{}
		}
		return t.write(now, Record{Epoch: t.record.Epoch}, update{})
	}
	if !candidate {
		return Action{}
	}
	if t.free(now) {
		return t.write(now, Record{Epoch: max(t.record.Epoch, t.highest) + 1}, update{taking: true, blind: t.version == ""})
	}
	if now.Sub(t.read) >= readEvery {
		return Action{Do: Read}
	}
	return Action{}
}

// free reports whether no other node can hold the lease any more.
func (t *Table) free(now time.Time) bool {
	return t.version == "" || t.record.Released || now.Sub(t.since) > withMargin(Term)
}

func (t *Table) write(now time.Time, r Record, u update) Action {
	r.Holder = t.self
	r.Nonce = Nonce(t.random.Uint64())
	u.record = r
	u.sent = now
	t.last = u
	return Action{Do: Write, Record: r, Match: t.version}
}

// Written takes in that the last update took effect.
func (t *Table) Written(now time.Time, v Version) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.took(now, v)
}

// Failed takes in that the last update failed or its answer is lost. The next
// look at the object settles it.
func (t *Table) Failed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.known = false
}

func (t *Table) took(now time.Time, v Version) {
	u := &t.last
	u.settled = true
	t.known = true
	t.see(now, v, u.record)
	if u.record.Released {
		return
	}
	t.until = u.sent.Add(Term)
	if u.taking {
		t.grantFrom = now.Add(waitOut)
		if u.blind {
			t.grantFrom = t.grantFrom.Add(withMargin(Term))
		}
	}
}

func (t *Table) see(now time.Time, v Version, r Record) {
	t.read = now
	if v != t.version || t.since.IsZero() {
		t.since = now
	}
	t.version = v
	t.record = r
	t.highest = max(t.highest, r.Epoch)
}

// Observed takes in a look at the object.
func (t *Table) Observed(now time.Time, v Version, r Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.known = true
	if !t.last.settled && r.Nonce == t.last.record.Nonce {
		t.took(now, v)
		return
	}
	t.last.settled = true
	if v != t.version {
		t.until = time.Time{} // another update took the place of the own one
	}
	t.see(now, v, r)
}

// Absent takes in that the object does not exist.
func (t *Table) Absent(now time.Time) { t.Observed(now, "", Record{}) }

// Release ends the own term. When the node holds the lease, it is to carry out
// the update that Release returns.
func (t *Table) Release(now time.Time) Action {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.holds(now) {
		return Action{}
	}
	t.until = time.Time{}
	return t.write(now, Record{Epoch: t.record.Epoch, Released: true}, update{})
}

// HeardEpoch takes in that a term is known to somebody. A later one than the
// own ends the own.
func (t *Table) HeardEpoch(e Epoch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.highest = max(t.highest, e)
	if e > t.record.Epoch {
		t.until = time.Time{}
	}
}

func (t *Table) holds(now time.Time) bool { return now.Before(t.until) }

// Holds reports whether the node holds the lease.
func (t *Table) Holds(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.holds(now)
}

// MayGrant reports whether the node holds the lease and all that an earlier
// holder may have granted has lapsed. It returns the epoch to grant under.
func (t *Table) MayGrant(now time.Time) (Epoch, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.record.Epoch, t.holds(now) && !now.Before(t.grantFrom)
}

// Seen returns the latest record that was seen.
func (t *Table) Seen() Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.record
}
