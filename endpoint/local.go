package endpoint

// Locality. An object has one primary endpoint for all nodes, which may be in another
// region: a copy in each failure domain would need a cold run in each of them and evict
// other objects. On routes whose objective is so short that the round trip is a large part
// of it, the round trip costs more than that. There, objects have a primary endpoint in
// each failure domain, as far as the domain has slots for the requests of its callers.

import (
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// localThreshold is the share of the objective from which a round trip counts as long. On
// the users' sites, primary endpoints in each failure domain served callers better when the
// round trip was 0.23 of the objective, and worse when it was 0.14.
const localThreshold = 0.2

// LocalDomain describes the failure domain of this node.
type LocalDomain struct {
	Domain inventory.DomainID
	Share  float64 // share of all callers that the nodes of the domain serve
}

// SetLocalDomain sets the failure domain of this node.
func (t *Table) SetLocalDomain(d LocalDomain) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.local = d
}

// preferLocal puts the object's primary endpoint in this node's failure domain first, if
// the round trip that it saves is long enough. It does so for a share of the objects that
// matches the domain's slots and callers.
func (t *Table) preferLocal(now time.Time, p *pool, q Query, best []candidate) []candidate {
	saved := t.roundTrip(best[0].state.Domain) - t.roundTrip(t.local.Domain)
	if q.Object == 0 || saved.Seconds() < localThreshold*q.Objective.Seconds() {
		return best
	}
	primary, share := t.localPrimary(now, p, q)
	if primary.state == nil || primary.state == best[0].state || uniform(q.Object) >= share/t.local.Share {
		return best
	}
	reordered := append(make([]candidate, 0, len(best)+1), primary)
	for _, cand := range best {
		if cand.state != primary.state {
			reordered = append(reordered, cand)
		}
	}
	return reordered
}

// localPrimary returns the primary endpoint of an object in this node's failure domain, and
// the domain's share of the service's slots. Only endpoints that may get the request count.
func (t *Table) localPrimary(now time.Time, p *pool, q Query) (primary candidate, share float64) {
	local, all := 0.0, 0.0
	for _, s := range p.endpoints {
		if t.exclusion(now, s, q) != "" {
			continue
		}
		all += float64(s.Slots)
		if s.Domain != t.local.Domain {
			continue
		}
		local += float64(s.Slots)
		if cand := (candidate{state: s, score: score(unitHash(uint64(q.Object), s), s)}); primary.state == nil || cand.score > primary.score {
			primary = cand
		}
	}
	if all == 0 {
		return primary, 0
	}
	return primary, local / all
}

// uniform maps an object to [0, 1) uniformly and independently of its ranking.
func uniform(o Object) float64 {
	return float64(mix(uint64(o)^uniformSalt)>>11) / (1 << 53)
}

const uniformSalt = 0x9e3779b97f4a7c15 // any value that the ranking does not use
