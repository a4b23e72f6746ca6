// Package admission decides whether a request is taken on, and when a refused
// one should come back.
//
// It answers days on which more is asked than can be done. What cannot be
// answered in time is refused at once: held requests take the room of those that
// could still be served, and their callers learn nothing.
//
// An answer long after the objective is worth little, and a queue that makes one
// request late does so to all behind it: served in the order of their coming, all
// are late in the end, and work on those that give up is lost. A request is therefore
// also refused if its wait alone makes it much later than the objective. Less urgent
// routes bear less of it, so they are refused first.
//
// # Usage
//
//	v := admission.Decide(admission.Request{...}, admission.Estimate{Wait: w, Run: r, Least: l})
//	if !v.Admit { answer "not run", come back after v.After }
package admission

import (
	"math/rand/v2"
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

const (
	soonest     = 100 * time.Millisecond // shortest time to come back: a request's work
	latest      = 2 * time.Second        // longest: load changes faster than estimates beyond
	afterSpread = 0.5                    // share of the time to come back that is random, so that callers don't return together
	leftShare   = 0.9                    // of the time left that an answer may be expected to take; the rest is for errors of estimates
	// Objectives that a request may take which has to wait: of the most urgent routes,
	// less for each further rank of priority, and at the least. Chosen by the play of
	// TestWhatCallersGetWhenTooMuchIsAsked, whose table is in docs/DESIGN.md.
	mostObjectives  = 2.0
	rankObjectives  = 0.4
	leastObjectives = 1.0
)

// Request is what a route and its caller ask.
type Request struct {
	Priority  inventory.Priority
	Objective time.Duration
	Left      time.Duration // until the caller or the route gives up
}

// Estimate is what a request would take at the best endpoint: the wait for a
// slot, and then the way and the work at usual speed. Endpoints that are slow just
// now are chosen last, but no reason to refuse: when all of them seem slow, only
// requests can show that they no longer are. Least is Run if the endpoint has the
// object: a request that brings it there may take longer, since later ones gain by it.
// Guess says that no request of its kind has been answered yet, so that these are guesses.
type Estimate struct {
	Wait, Run, Least time.Duration
	Guess            bool
}

// Verdict is the decision on a request.
type Verdict struct {
	Admit bool
	After time.Duration // when to come back
	// Takes and Bound say why a request is refused: what it would take, and what it may.
	Takes, Bound time.Duration
}

// Decide admits a request if it is likely to be answered in time, and not much later
// than its objective.
func Decide(r Request, e Estimate) Verdict {
	if e.Wait == 0 && e.Run <= r.Left {
		return Verdict{Admit: true}
	}
	limit := time.Duration(float64(r.Left) * leftShare)
	takes, bound := e.Wait+e.Run, limit
	if late := e.Wait + e.Least; !e.Guess && late-r.bears() > takes-bound {
		takes, bound = late, r.bears()
	}
	if takes <= bound {
		return Verdict{Admit: true}
	}
	return Verdict{After: After(takes-bound, r.Left), Takes: takes, Bound: bound}
}

// bears is how long a request may take that has to wait.
func (r Request) bears() time.Duration {
	objectives := max(leastObjectives, mostObjectives-rankObjectives*float64(r.Priority))
	return time.Duration(objectives * float64(r.Objective))
}

// After spreads the time to come back, within what the caller will wait.
func After(wait, left time.Duration) time.Duration {
	wait = min(max(wait, soonest), latest)
	spread := time.Duration(float64(wait) * afterSpread)
	wait += rand.N(max(1, spread))
	return max(soonest, min(wait, left/3))
}
