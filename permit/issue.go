package permit

// The side of the issuer.

import (
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/roster"
)

// Reason states why no permit was issued.
type Reason string

// The reasons.
const (
	ReasonRate      Reason = "rate"      // the permits of the rate have been issued
	ReasonNotIssuer Reason = "notissuer" // the node that was asked is no issuer of the endpoint
	ReasonNew       Reason = "new"       // the issuer has been one for less than a Window
	// The sender's own reasons.
	ReasonUnasked    Reason = "unasked"    // no issuer has a permit now, as the sender knows
	ReasonUnanswered Reason = "unanswered" // the issuer did not respond
)

// Reply answers a request for a permit. The zero Reason means that it was issued.
type Reply struct {
	Reason Reason
	Wait   time.Duration // until this issuer may issue the next permit
}

// Granted reports whether the permit was issued.
func (r Reply) Granted() bool { return r.Reason == "" }

// bucket paces the permits for one endpoint (generic cell rate algorithm).
type bucket struct {
	next time.Time // when the next permit is due if they are issued at the rate
}

// Issue issues a permit for a request to an endpoint that allows a rate, if one is due.
func (t *Table) Issue(now time.Time, e Endpoint, rate inventory.Rate) Reply {
	t.mu.Lock()
	defer t.mu.Unlock()
	issuers := t.current().issuersOf(e)
	if !roster.Includes(issuers, t.self) {
		return Reply{Reason: ReasonNotIssuer, Wait: failureTime}
	}
	if wait := t.settledIn(now, e); wait > 0 {
		return Reply{Reason: ReasonNew, Wait: wait}
	}
	interval := intervalOf(rate, len(issuers))
	b := t.buckets[e]
	if b == nil {
		b = &bucket{}
		t.buckets[e] = b
	}
	early := time.Duration(burst * float64(interval))
	b.next = earliest(b.next, now.Add(interval+early)) // the rate may have been raised
	if wait := b.next.Add(-early).Sub(now); wait > 0 {
		return Reply{Reason: ReasonRate, Wait: min(wait, maxWait)}
	}
	b.next = latest(b.next, now).Add(interval)
	return Reply{}
}

// intervalOf returns the time between two permits of one issuer.
func intervalOf(rate inventory.Rate, issuers int) time.Duration {
	share := issuerShare
	if issuers < activeIssuers {
		share *= activeIssuers
	}
	return time.Duration(float64(time.Second) / (share * float64(max(rate, MinRate))))
}

// settledIn returns the time until this node has been an issuer of the endpoint for a whole
// Window, by all lists of nodes that were in force in it.
func (t *Table) settledIn(now time.Time, e Endpoint) time.Duration {
	wait := time.Duration(0)
	for _, r := range t.terms[:len(t.terms)-1] {
		if left := Window - now.Sub(r.end); left > 0 && !roster.Includes(r.issuersOf(e), t.self) {
			wait = max(wait, left)
		}
	}
	return wait
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
