package endpoint

// The endpoints to which a connection shows whether this node's own links work.

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// probeRank orders endpoints for probes, the best first: a failed endpoint, service or domain must
// not be taken for a fault of this node's links.
type probeRank struct {
	newService bool // none of its service has been chosen
	answered   bool // it has responded a moment ago
	newDomain  bool // none of its failure domain has been chosen
	usable     bool // it is not in backoff
}

func (r probeRank) isBetter(other probeRank) bool {
	switch {
	case r.newService != other.newService:
		return r.newService
	case r.answered != other.answered:
		return r.answered
	case r.newDomain != other.newDomain:
		return r.newDomain
	default:
		return r.usable && !other.usable
	}
}

// recentAnswer is how long ago an endpoint may have responded to be probed before others.
const recentAnswer = 2 * time.Second

// ProbeTargets returns endpoints to which a connection shows whether this node reaches any, at most
// count. They exclude one endpoint, and its failure domain where possible.
func (t *Table) ProbeTargets(now time.Time, count int, exclude inventory.EndpointID) []inventory.Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	var left []*endpointState
	for _, s := range t.byID {
		if s.ID != exclude && !s.Draining && !s.replaced && !s.leaving.said {
			left = append(left, s)
		}
	}
	rand.Shuffle(len(left), func(i, j int) { left[i], left[j] = left[j], left[i] })
	services, domains := map[inventory.ServiceID]bool{}, map[inventory.DomainID]bool{}
	if s := t.byID[exclude]; s != nil {
		domains[s.Domain] = true
	}
	var chosen []inventory.Endpoint
	for len(chosen) < count && len(left) > 0 {
		best, bestRank := -1, probeRank{}
		for i, s := range left {
			rank := probeRank{!services[s.Service], now.Sub(s.health.answeredAt) < recentAnswer, !domains[s.Domain], s.health.usable(now)}
			if best < 0 || rank.isBetter(bestRank) {
				best, bestRank = i, rank
			}
		}
		s := left[best]
		left = slices.Delete(left, best, best+1)
		chosen = append(chosen, s.Endpoint)
		services[s.Service], domains[s.Domain] = true, true
	}
	return chosen
}
