package permit

// The side of the node that wants to send a request.

import (
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// waits holds until when the issuers of an endpoint have no permit for this node.
type waits struct {
	until [maxIssuers]time.Time // by the order of the issuers
	used  time.Time
}

// Issuer returns the issuer to ask for a permit: one that responds and may have one, this node
// itself or one of its region first. It returns false if there is none at present.
func (t *Table) Issuer(now time.Time, e Endpoint) (inventory.EntryID, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	issuers := t.current().issuersOf(e)
	best, bestRank := inventory.EntryID(""), 0
	for _, i := range t.active(now, issuers) {
		if w := t.waits[e]; w != nil && now.Before(w.until[i]) {
			continue
		}
		if rank := t.nearness(issuers[i]); best == "" || rank > bestRank {
			best, bestRank = issuers[i].ID, rank
		}
	}
	return best, best != ""
}

// active returns the indices of the issuers that this node may ask: the first two, or the
// substitute in the place of those that do not respond.
func (t *Table) active(now time.Time, issuers []Peer) []int {
	var all []int
	for i, p := range issuers {
		if t.hasFailed(now, p.ID) {
			continue
		}
		if all = append(all, i); len(all) == activeIssuers {
			break
		}
	}
	return all
}

func (t *Table) hasFailed(now time.Time, id inventory.EntryID) bool {
	at, ok := t.failed[id]
	return ok && now.Sub(at) <= failureTime
}

// nearness orders issuers by their distance from this node.
func (t *Table) nearness(p Peer) int {
	if p.ID == t.self {
		return 2
	}
	if own, listed := t.current().Find(t.self); listed && own.Region == p.Region {
		return 1
	}
	return 0
}

// NextPermit returns the time from which an issuer may have a permit, as far as this node knows;
// the zero time if one may have one now.
func (t *Table) NextPermit(now time.Time, e Endpoint) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := now.Add(failureTime) // if no issuer responds
	for n, i := range t.active(now, t.current().issuersOf(e)) {
		w := t.waits[e]
		if w == nil || !now.Before(w.until[i]) {
			return time.Time{}
		}
		if n == 0 || w.until[i].Before(next) {
			next = w.until[i]
		}
	}
	return next
}

// RecordReply records the reply of an issuer to this node.
func (t *Table) RecordReply(now time.Time, e Endpoint, issuer inventory.EntryID, r Reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.failed, issuer)
	if r.Granted() {
		return
	}
	for i, p := range t.current().issuersOf(e) {
		if p.ID == issuer {
			w := t.waits[e]
			if w == nil {
				w = &waits{}
				t.waits[e] = w
			}
			w.until[i], w.used = now.Add(min(max(r.Wait, 0), maxWait)), now
		}
	}
}

// RecordFailure records that an issuer did not respond.
func (t *Table) RecordFailure(now time.Time, issuer inventory.EntryID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failed[issuer] = now
}
