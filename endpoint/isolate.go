package endpoint

// Choice of an endpoint for a request that may crash the one that runs it. All requests that
// run there would be lost, so it is sent where there are fewest, although its object is not
// cached there; and not to the failure domains of endpoints where it was tried: if one of these
// has failed, the request is innocent, and a further crash would count against it.

import (
	"slices"
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// isolationCostFactor is the cost, in objectives, of sending a request to an endpoint that may
// crash any moment.
const isolationCostFactor = 1.0

// isolation orders endpoints for a request that may crash them, the best first.
type isolation struct {
	tried    bool    // its failure domain has an endpoint where the request was tried
	shared   bool    // another request that may crash it is there
	requests float64 // estimated requests there
}

func (i isolation) isBetter(other isolation) bool {
	switch {
	case i.tried != other.tried:
		return !i.tried
	case i.shared != other.shared:
		return !i.shared
	default:
		return i.requests < other.requests
	}
}

// chooseIsolated returns the endpoint for a request that may crash it. It returns false if no
// endpoint without a limit is usable.
func (t *Table) chooseIsolated(now time.Time, p *pool, q Query) (Choice, bool) {
	q.Unlimited = true
	domains := t.triedDomains(q)
	var best *endpointState
	var bestRank isolation
	for _, s := range p.endpoints {
		if t.exclusion(now, s, q) != "" {
			continue
		}
		rank := isolation{tried: slices.Contains(domains, s.Domain), shared: s.isolating > 0, requests: s.requests(now) / float64(s.Slots)}
		if best == nil || rank.isBetter(bestRank) {
			best, bestRank = s, rank
		}
	}
	if best == nil {
		return Choice{}, false
	}
	c := t.choice(now, p, q, best, 0, t.estimate(now, p, q, best, false))
	c.isolated, c.replica, c.Moved = true, true, MoveIsolated
	return c, true
}

func (t *Table) triedDomains(q Query) []inventory.DomainID {
	var all []inventory.DomainID
	for _, id := range q.Tried {
		if s := t.byID[id]; s != nil {
			all = append(all, s.Domain)
		}
	}
	return all
}
