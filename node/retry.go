package node

// Attempts after a failed one, and what the answers of targets mean.

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/wasabiwheel/wasabiwheel/endpoint"
	"github.com/wasabiwheel/wasabiwheel/region"
)

// mayRetry reports whether a request may be tried again after an answer.
func (a answer) mayRetry(q *request) bool {
	if a.outcome == OutcomeRan || time.Now().After(q.deadline) {
		return false
	}
	return a.outcome == OutcomeNotRun || !q.once
}

// costly reports whether an attempt may have taken time of a target. The others
// cost a message between nodes.
func (a answer) costly() bool {
	return a.outcome == OutcomeUnknown || a.reason == ReasonShed || a.reason == ReasonTarget
}

// mayTry reports whether a place may be tried after the attempts before it, and
// counts the retry. One that has free slots is tried without budget if what
// went before cost no target anything.
func (n *Node) mayTry(attempt int, p region.Place, last answer) bool {
	if attempt == maxAttempts {
		return false
	}
	if (last.costly() || p.Free <= 0) && !n.retries.Take() {
		n.counters.add("retry.refused." + string(last.reason))
		return false
	}
	n.counters.retry(last.reason)
	return true
}

// judge tells the endpoint table what an answer says of the target's health,
// and turns the answer by which the target says that it did not run the request
// into a refusal.
func (n *Node) judge(s endpoint.Slot, q *request, a answer) answer {
	now := time.Now()
	switch {
	case a.outcome == OutcomeNotRun && a.reason == ReasonUnreachable:
		n.endpoints.Note(now, s, endpoint.ResultRefused)
		return notRun(ReasonTarget, a.after)
	case a.outcome == OutcomeNotRun:
		return a
	case a.outcome == OutcomeUnknown && a.reason == ReasonBroken:
		n.endpoints.Note(now, s, endpoint.ResultUnanswered)
		return a
	case a.outcome == OutcomeUnknown:
		return a // the time that callers give says nothing of the target
	}
	shed := slices.Contains(q.service.Shed, a.status)
	if shed || (a.status == http.StatusServiceUnavailable && a.header.Get("Retry-After") != "") {
		n.counters.add("target.shed")
		n.endpoints.Note(now, s, endpoint.ResultShed)
	} else {
		n.endpoints.Note(now, s, endpoint.ResultFine)
	}
	if shed {
		seconds, _ := strconv.ParseUint(a.header.Get("Retry-After"), 10, 16)
		return notRun(ReasonShed, time.Duration(seconds)*time.Second)
	}
	return a
}
