package admission

// Shares of organisations while capacity is short. What a node admits is divided by max-min fairness
// among the organisations that ask: each gets what it asks for, up to a level that is the same for
// all in proportion to their weights, so that one that asks for a multiple of its usual rate is
// rejected before others are.
//
// Each node decides by the requests that it saw itself. Callers spread their requests over the nodes,
// so an organisation's part of what a node sees is an estimate of its part of all. With 110 nodes,
// a node sees some ten requests of a service a second: small organisations are within one request of
// their share by chance, which is therefore allowed.

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

const (
	// shareWindow is the time constant of the decay of counts: long enough for some tens of requests
	// on a node, and short against the seconds for which an organisation asks for more than usual.
	shareWindow = 2 * time.Second
	// shareSlack is the number of requests by which an organisation may exceed its share, and
	// freeTolerance the part of its share by which it may where no request is known to wait:
	// otherwise capacity would stay free that nobody else asks for.
	shareSlack    = 1.0
	freeTolerance = 0.25
	// shortageShare is the part of the requests that are not admitted from which capacity is short.
	shortageShare = 0.03
	// minCount is the count below which an organisation is forgotten.
	minCount = 0.02
)

// Class holds the requests that compete as equals.
type Class struct {
	Service  inventory.ServiceID
	Priority inventory.Priority
}

// Shares counts what organisations asked for and got. It is safe for concurrent use.
type Shares struct {
	mu      sync.Mutex
	classes map[Class]map[inventory.OrganisationID]*use
}

// use is what an organisation asked for and got lately, as counts that decay.
type use struct {
	asked, admitted, weight float64
	at                      time.Time
}

// NewShares returns shares without counts.
func NewShares() *Shares {
	return &Shares{classes: map[Class]map[inventory.OrganisationID]*use{}}
}

// Record counts a request of an organisation. A weight of 0 stands for the mean of the others.
func (s *Shares) Record(now time.Time, c Class, id inventory.OrganisationID, weight float64, admitted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	uses := s.classes[c]
	if uses == nil {
		uses = map[inventory.OrganisationID]*use{}
		s.classes[c] = uses
	}
	u := uses[id]
	if u == nil {
		u = &use{at: now}
		uses[id] = u
	}
	u.decay(now)
	u.weight = weight
	u.asked++
	if admitted {
		u.admitted++
	}
}

// IsOver reports whether an organisation has got its share of what was admitted lately, while others
// were not admitted. waits states that the request would wait.
func (s *Shares) IsOver(now time.Time, c Class, id inventory.OrganisationID, waits bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	uses := s.current(now, c)
	u := uses[id]
	if u == nil || u.admitted <= shareSlack {
		return false
	}
	level, short := levelOf(uses)
	share := level * u.weight
	if !waits {
		share *= 1 + freeTolerance
	}
	return short && u.asked > share && u.admitted > share+shareSlack
}

// current returns the uses of a class as of now, and drops those that are nearly zero.
func (s *Shares) current(now time.Time, c Class) map[inventory.OrganisationID]*use {
	uses := s.classes[c]
	sum, known := 0.0, 0.0
	for id, u := range uses {
		u.decay(now)
		if u.asked < minCount {
			delete(uses, id)
			continue
		}
		if u.weight > 0 {
			sum, known = sum+u.weight, known+1
		}
	}
	for _, u := range uses {
		if u.weight <= 0 {
			u.weight = 1
			if known > 0 {
				u.weight = sum / known
			}
		}
	}
	return uses
}

// levelOf returns what each unit of weight gets of the admitted requests, and whether more was asked
// for than admitted.
func levelOf(uses map[inventory.OrganisationID]*use) (level float64, short bool) {
	asked, left, weights := 0.0, 0.0, 0.0
	ordered := make([]*use, 0, len(uses))
	for _, u := range uses {
		asked, left, weights = asked+u.asked, left+u.admitted, weights+u.weight
		ordered = append(ordered, u)
	}
	if left >= asked*(1-shortageShare) {
		return 0, false
	}
	slices.SortFunc(ordered, func(a, b *use) int { return cmp.Compare(a.asked/a.weight, b.asked/b.weight) })
	for _, u := range ordered {
		level = left / weights
		if u.asked > level*u.weight {
			break // this one and all that follow get the level
		}
		left, weights = left-u.asked, weights-u.weight
	}
	return level, true
}

// decay brings counts up to now.
func (u *use) decay(now time.Time) {
	factor := math.Exp(-max(0, now.Sub(u.at).Seconds()) / shareWindow.Seconds())
	u.asked, u.admitted, u.at = u.asked*factor, u.admitted*factor, now
}
