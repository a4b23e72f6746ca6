package endpoint

// Endpoints that leave, by their own word. One that is about to end says so in all its responses;
// its entry may say so later, or never. Both are sources of one state: an endpoint gets no new
// requests as soon as either says that it leaves. Requests that run or wait there are completed.
//
// What ends it is a new start, an entry that has said ready for a while after it said draining, or a
// response that no longer says so to a request that was sent after the last one that did. An entry that has said
// ready all along proves nothing: the store, or the copy of it, may be behind.

import "time"

const (
	// maxLeaving is how long an endpoint may take to end. One that is still registered as ready
	// then is used again if its service has no other: either of its statements is wrong.
	maxLeaving = time.Minute
	// takeBackTime is how long an entry has to say ready after it said draining: a write from before
	// may take effect late, and the endpoint's next heartbeat corrects it.
	takeBackTime = 2 * time.Second
	// returnTime is how long the registration of an endpoint has to stay after it was removed and is back
	// under the same start. A late write expires without heartbeats after three intervals, 4.5 s.
	returnTime = 6 * time.Second
	// maxLeavingTold bounds the statements in a message, less than 25 bytes each.
	maxLeavingTold = 64
	// maxLeavingAge is the age of a statement beyond which it is of no use to others.
	maxLeavingAge = time.Hour
)

// LeavingReport is a statement of an endpoint whether it leaves, as nodes tell it to each other.
type LeavingReport struct {
	_        struct{} `cbor:",toarray"`
	Endpoint Hash
	Start    int64 // of the endpoint's process, Unix milliseconds; 0: unknown
	Leaving  bool
	Age      int64 // in milliseconds
}

// isValid reports whether a report of another node can be used.
func (r LeavingReport) isValid() bool { return r.Age >= 0 && r.Age <= maxLeavingAge.Milliseconds() }

// knownLeaving is whether an endpoint leaves, as far as a node knows by its responses.
type knownLeaving struct {
	said      bool
	since     time.Time // when it first said so
	at        time.Time // when it last said otherwise than before; zero: it never did
	takenBack time.Time // when its entry said ready after it had said draining; zero: it does not
}

// duration returns for how long the endpoint has said that it leaves, 0 if it does not.
func (k knownLeaving) duration(now time.Time) time.Duration {
	if !k.said {
		return 0
	}
	return now.Sub(k.since)
}

// isContradicted reports whether an endpoint has said for long that it leaves, but is still
// registered as ready.
func (t *Table) isContradicted(now time.Time, s *endpointState) bool {
	return s.leaving.duration(now) > maxLeaving && s.missingSince.IsZero() && t.storeSettled(now)
}

// isTakenBack reports whether the endpoint's entry has taken its leaving back.
func (k knownLeaving) isTakenBack(now time.Time) bool {
	return !k.takenBack.IsZero() && now.Sub(k.takenBack) >= takeBackTime
}

// recordEntry records that the endpoint's entry now says draining, or ready after that.
func (k *knownLeaving) recordEntry(now time.Time, draining bool) {
	k.takenBack = now
	if draining {
		k.takenBack = time.Time{}
	}
}

// leaves reports whether an endpoint gets no requests because it leaves, or has left and a late write
// may have registered it again. lastResort admits those of which that is not certain.
func (t *Table) leaves(now time.Time, s *endpointState, lastResort bool) bool {
	if !lastResort && now.Before(s.unconfirmedUntil) {
		return true
	}
	return s.leaving.said && !s.leaving.isTakenBack(now) && !(lastResort && t.isContradicted(now, s))
}

// RecordLeaving records whether the response to a request that was sent at a time says that its
// endpoint leaves, and reports whether that is news.
func (t *Table) RecordLeaving(now, sent time.Time, c Choice, said bool) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := c.state
	if t.byID[s.ID] != s || !said && !sent.After(s.leaving.at) {
		return false
	}
	if said && !s.leaving.takenBack.IsZero() && sent.After(s.leaving.takenBack) {
		s.leaving = knownLeaving{} // it leaves again
	}
	return t.setLeaving(s, now, said)
}

// setLeaving records a statement made at a time, unless a later one is known, and reports whether
// it changes what is known. Changes are told to other nodes.
func (t *Table) setLeaving(s *endpointState, at time.Time, said bool) (changed bool) {
	if s.leaving.said == said || !s.leaving.at.Before(at) {
		return false
	}
	s.leaving = knownLeaving{said: said, since: at, at: at}
	t.left.append(s)
	t.reports.wake()
	return true
}

// learnLeaving records a statement that another node heard. One of another start of the endpoint is
// ignored.
func (t *Table) learnLeaving(now time.Time, r LeavingReport) {
	s := t.byHash[r.Endpoint]
	if s == nil || s.startMillis() != r.Start || !r.isValid() {
		return
	}
	t.setLeaving(s, now.Add(-time.Duration(r.Age)*time.Millisecond), r.Leaving)
}

// leavingSince returns the statements that changed after a position, at most a message full, and
// the position after them.
func (t *Table) leavingSince(now time.Time, after uint64) (told []LeavingReport, position uint64) {
	changed, position := t.left.since(after, maxLeavingTold)
	for _, s := range changed {
		r := LeavingReport{Endpoint: Hash(s.hash), Start: s.startMillis(), Leaving: s.leaving.said, Age: max(0, now.Sub(s.leaving.at).Milliseconds())}
		if t.byID[s.ID] == s && r.isValid() {
			told = append(told, r)
		}
	}
	return told, position
}
