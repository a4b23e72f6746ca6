// Package freshness decides whether a copy of the configuration is known to be recent
// enough to accept the keys in it.
//
// A Proof names a moment at which the store had no change beyond a position: the moment
// just before a call was sent whose response led to that position. A copy that has reached
// the position contains everything that the store had confirmed by then. All moments are on
// one process's own clock, which also counts suspension of its VM, so that a process that
// was frozen finds its proof too old.
//
// Proofs are passed on between processes without a common clock. A process sends its own
// clock, and the other one returns it with the age that its proof had when that arrived. The
// moment of the proof is then the returned clock less the age, however long either message
// took: a longer transit makes the proof look older, never newer.
//
// # Usage
//
//	t := freshness.New(limit)
//	t.Record(freshness.Proof{Position: p, Moment: sent}, copied)
//	if !t.IsFresh(now, copied.Era) { serve elsewhere or reject }
package freshness

import (
	"slices"
	"sync"
	"time"
)

// Moment is a time on the process's clock that counts suspension.
type Moment time.Duration

// Position is a state of the copy: all changes up to a revision of an era of the store.
type Position struct{ Era, At uint64 }

// Proof states that the store had no change beyond a position at a moment.
type Proof struct {
	Position
	Moment Moment
}

// Echo is a Proof for another process: the clock that it sent last, and how much older the
// proof was when that clock arrived; negative if it is newer.
type Echo struct {
	_       struct{} `cbor:",toarray"` // sent often
	Era, At uint64
	Clock   time.Duration
	Age     time.Duration
}

// Proof returns the proof that an echo is for the process whose clock it returns.
func (e Echo) Proof() Proof {
	return Proof{Position: Position{Era: e.Era, At: e.At}, Moment: Moment(e.Clock - e.Age)}
}

// Clock is a clock that another process sent, and when it arrived.
type Clock struct {
	Sent     time.Duration
	Received Moment
}

// Echo returns a proof for the process that sent a clock.
func (p Proof) Echo(c Clock) Echo {
	return Echo{Era: p.Era, At: p.At, Clock: c.Sent, Age: time.Duration(c.Received - p.Moment)}
}

// Table holds the newest proof of a process. It is safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	limit  time.Duration
	proof  Proof
	proven bool
	// pending holds proofs for later positions than the copy has reached: a large change takes several
	// updates, and others begin meanwhile.
	pending []Proof
}

// maxPending bounds the pending proofs. Each update brings one at most, and older ones than the limit are
// of no use.
const maxPending = 32

// New returns a table without a proof. A copy is fresh while its proof is younger than limit;
// 0: always.
func New(limit time.Duration) *Table { return &Table{limit: limit} }

// SetLimit replaces the limit.
func (t *Table) SetLimit(limit time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit = limit
}

// Limit returns the limit.
func (t *Table) Limit() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limit
}

// Record records a proof, which counts from when the copy has reached its position. It reports whether
// the copy has. A moment after now can only be an error.
func (t *Table) Record(now Moment, p Proof, copied Position) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p.Moment > now {
		return false
	}
	if !p.isReached(copied) {
		t.pending = append(t.pending[max(0, len(t.pending)+1-maxPending):], p)
		return false
	}
	t.adopt(p)
	return true
}

// Reach records the position of the copy, so that proofs which waited for it count.
func (t *Table) Reach(copied Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pending = slices.DeleteFunc(t.pending, func(p Proof) bool {
		if p.isReached(copied) {
			t.adopt(p)
		}
		return p.isReached(copied) || p.Era < copied.Era
	})
}

// isReached reports whether a copy has all that the proof is about.
func (p Proof) isReached(copied Position) bool { return p.Era == copied.Era && p.At <= copied.At }

// adopt keeps the newer proof. The caller holds the lock.
func (t *Table) adopt(p Proof) {
	if !t.proven || p.Era > t.proof.Era || p.Era == t.proof.Era && p.Moment > t.proof.Moment {
		t.proof, t.proven = p, true
	}
}

// Proof returns the newest proof, for another process; false if there is none.
func (t *Table) Proof() (Proof, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.proof, t.proven
}

// Age returns the age of the proof of a copy of an era; false if there is none.
func (t *Table) Age(now Moment, era uint64) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(now - t.proof.Moment), t.proven && t.proof.Era == era
}

// IsFresh reports whether a copy of an era is known to be recent enough.
func (t *Table) IsFresh(now Moment, era uint64) bool {
	if t.Limit() <= 0 {
		return true
	}
	age, ok := t.Age(now, era)
	return ok && age < t.Limit()
}
