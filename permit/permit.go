// Package permit keeps the requests of all nodes together within the rate that an endpoint
// allows. A node that wants to send a request to an endpoint with a limit first obtains a permit
// for it from one of the endpoint's issuers.
//
// Issuers are nodes: three for each start of an endpoint, chosen by rendezvous hashing over the
// nodes in the store, in different regions if possible. Two of them issue permits at
// issuerShare of the rate each. The third takes the place of one that does not respond.
// Nothing is agreed on between them: even if all three issue, as they may when nodes disagree
// on which of them respond, the sum stays within Excess times the rate, plus Slack requests.
//
// An issuer does not know what it or others issued before it started, or before it became an
// issuer. It therefore issues nothing until a whole Window has passed in which it was one.
//
// The package does no I/O and starts no goroutines. Methods take the current time as an argument
// and are safe for concurrent use. A table has one lock.
//
// # Usage
//
//	t := permit.New("edge-1")
//	t.SetPeers(now, peers)
//	issuer, ok := t.Issuer(now, endpoint)      // as the sender of a request
//	reply := t.Issue(now, endpoint, rate)      // as the issuer
//	t.RecordReply(now, endpoint, issuer, reply) // as the sender
package permit

import (
	"slices"
	"sync"
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/roster"
)

const (
	// Window is the time in which the requests to an endpoint are bounded.
	Window = 4 * time.Second
	// Excess is the multiple of the rate that an endpoint may get in a Window.
	Excess = 1.5
	// Slack is the number of requests beyond Excess that it may get in a Window.
	Slack = 5
	// Lifetime is how long a permit is valid: the request is sent at once, but the reply of
	// the issuer has been on its way.
	Lifetime = 250 * time.Millisecond
	// MinRate is the rate for an endpoint with a lower one. Its limit may have been raised
	// since, which only a response to a request shows.
	MinRate inventory.Rate = 0.25

	activeIssuers = 2 // that issue permits as long as both respond
	maxIssuers    = activeIssuers + 1
	// issuerShare is the part of the rate at which one of two issuers issues permits. With
	// three, the part issued in a Window and a Lifetime stays below Excess.
	issuerShare = 0.45
	// burst is the number of permits, beyond one, that an issuer issues at once after a time
	// without requests.
	burst       = 0.5
	maxWait     = 10 * time.Second // longest wait that a reply states
	failureTime = 3 * time.Second  // for which an issuer that did not respond is not asked
	idleTime    = 30 * time.Second // after which what is known of an unused endpoint is dropped
)

// Endpoint identifies one start of an endpoint.
type Endpoint uint64

// Peer is a node that may be an issuer.
type Peer = roster.Peer

// Table holds what one node knows as an issuer and as a sender.
type Table struct {
	self inventory.EntryID

	mu      sync.Mutex
	terms   []*term // the current one last, before it those that ended within the last Window
	buckets map[Endpoint]*bucket
	waits   map[Endpoint]*waits
	failed  map[inventory.EntryID]time.Time // when an issuer last did not respond
}

// New returns the table of a node without peers.
func New(self inventory.EntryID) *Table {
	return &Table{
		self:    self,
		terms:   []*term{newTerm(nil)},
		buckets: map[Endpoint]*bucket{},
		waits:   map[Endpoint]*waits{},
		failed:  map[inventory.EntryID]time.Time{},
	}
}

// SetPeers replaces the nodes that may be issuers, including this one.
func (t *Table) SetPeers(now time.Time, peers []Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := newTerm(peers)
	last := t.current()
	if last.Equal(next.Roster) {
		return
	}
	last.end = now
	t.terms = append(t.terms, next)
	clear(t.waits)
}

// current returns the nodes that may be issuers now.
func (t *Table) current() *term { return t.terms[len(t.terms)-1] }

// Paused records that the process did not run for a while: others may have issued permits in
// its place, so it starts anew as an issuer.
func (t *Table) Paused(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	none := newTerm(nil)
	none.end = now
	t.terms = []*term{none, t.current()}
	clear(t.buckets)
	clear(t.waits)
}

// Tick drops what is no longer needed.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.terms = slices.DeleteFunc(t.terms, func(r *term) bool { return !r.end.IsZero() && now.Sub(r.end) > Window })
	for e, b := range t.buckets {
		if now.Sub(b.next) > idleTime {
			delete(t.buckets, e)
		}
	}
	for e, w := range t.waits {
		if now.Sub(w.used) > idleTime {
			delete(t.waits, e)
		}
	}
	for id, at := range t.failed {
		if now.Sub(at) > failureTime {
			delete(t.failed, id)
		}
	}
}
