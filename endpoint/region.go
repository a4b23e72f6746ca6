package endpoint

// The region in which a request runs. All nodes see the same registrations, round trips, weights and
// drains at nearly the same moment, so a region that follows from these alone changes for all requests at
// once. Here the region of an object is state, which follows them at a bounded rate (shift.go).
//
// An object begins in the region of the endpoint that ranks first for it. All nodes rank alike, so nodes that
// start agree with the others unless a change is under way. In a service to which its route sends requests from
// now on, or with other home regions, it begins in the region where it was.
//
// Within its region, a request goes to the endpoint of the lowest cost. Requests that find no usable
// endpoint in their region leave it at once.

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

const (
	// maxPlaced bounds the objects of a service whose regions are remembered, some 150 bytes each.
	maxPlaced = 4096
	// minPlacedLoad is the count of requests below which an object is forgotten if there are too many.
	minPlacedLoad = 0.05
	// placedSweepTime is the time between two searches for what may be forgotten, which look at all.
	placedSweepTime = time.Second
	// anonymousKeys is the number of keys that stand for the objects of requests without one.
	anonymousKeys = 256
	// maxHomes bounds the sets of home regions that are remembered.
	maxHomes   = 16
	regionSalt = 0xd1342543de82ef95 // any value that other hashes of objects do not use
)

// region is a region of the deployment. Regions are compared by identity.
type region struct{ id inventory.RegionID }

// regionTable holds the regions of the failure domains.
type regionTable struct {
	byDomain   map[inventory.DomainID]*region
	undeclared *region // of all failure domains that the settings don't name
	count      int     // without undeclared
}

func newRegionTable(of Regions) regionTable {
	rt := regionTable{byDomain: map[inventory.DomainID]*region{}, undeclared: &region{}}
	byID := map[inventory.RegionID]*region{}
	for d, id := range of {
		if byID[id] == nil {
			byID[id] = &region{id: id}
		}
		rt.byDomain[d] = byID[id]
	}
	rt.count = len(byID)
	return rt
}

// of returns the region of a failure domain.
func (rt regionTable) of(d inventory.DomainID) *region {
	if r := rt.byDomain[d]; r != nil {
		return r
	}
	return rt.undeclared
}

// placementKey identifies an object among the requests with the same home regions.
type placementKey uint64

// homesKey identifies a set of home regions.
type homesKey uint64

// homesKey returns the key of the home regions of a request.
func (q Query) homesKey() homesKey {
	if len(q.Homes) == 0 {
		return 0
	}
	var homes strings.Builder
	for _, h := range q.Homes {
		homes.WriteString(string(h) + "\x00")
	}
	return homesKey(xxhash.Sum64String(homes.String()))
}

// placementKey returns the key of a request's object among requests with some home regions. Requests without an
// object are spread over some keys.
func (q Query) placementKey(homes homesKey) placementKey {
	key := uint64(q.Object)
	if q.Object == 0 {
		key = q.Seed % anonymousKeys
	}
	return placementKey(key ^ uint64(homes))
}

// recordHomes records the home regions of a request, as far as there is room.
func (t *Table) recordHomes(k homesKey) {
	if len(t.homes) < maxHomes && !slices.Contains(t.homes, k) {
		t.homes = append(t.homes, k)
	}
}

// placement is the region of an object's requests. While it moves, a part of them runs in the next one.
type placement struct {
	from, to *region
	part     float64      // of the requests that run in to
	requests recentCount  // of this node
	first    *region      // of the endpoint that ranks first, as of ranking
	ranking  rankingCount // of the service
}

// rankingCount counts the changes of the endpoints of a service that are ranked first.
type rankingCount uint64

// settle places all requests in a region.
func (l *placement) settle(r *region) { l.from, l.to, l.part = r, r, 0 }

// region returns the region of a request.
func (l *placement) region(seed uint64) *region {
	if l.part > 0 && uniform(seed^regionSalt) < l.part {
		return l.to
	}
	return l.from
}

// place returns the region in which a request runs, and why it is not the region that ranks first; nil:
// any region.
func (t *Table) place(now time.Time, p *pool, q Query) (*region, Move) {
	if t.regionTable.count < 2 || len(q.Homes) == 1 || q.Isolated {
		return nil, ""
	}
	if p.isStale {
		t.refreshRanking(now, p)
	}
	l := t.placement(now, p, q)
	if l == nil || l.first == nil {
		return nil, ""
	}
	t.shifts.record(now, l)
	t.shifts.move(now, l, l.first, p.isFailing(now, l.from, t.bounds.Recovery))
	switch r := t.preferRegion(now, p, q, l.region(q.Seed)); r {
	case l.first:
		return r, ""
	case t.regionTable.of(t.local.Domain):
		return r, MoveLocal
	default:
		return r, MoveHeld
	}
}

// placement returns the placement of a request; nil: too many others are remembered.
func (t *Table) placement(now time.Time, p *pool, q Query) *placement {
	homes := q.homesKey()
	key := q.placementKey(homes)
	l := p.placements[key]
	if l != nil {
		if l.ranking != p.ranking {
			l.first, l.ranking = t.firstRegion(p, q), p.ranking
		}
		return l
	}
	if len(p.placements) >= maxPlaced && !p.forgetPlacements(now) {
		return nil
	}
	l = &placement{first: t.firstRegion(p, q), ranking: p.ranking}
	l.settle(l.first)
	t.recordHomes(homes)
	if former := t.formerRegion(now, p, q); former != nil {
		l.settle(former)
	}
	p.placements[key] = l
	return l
}

// formerRegion returns the region of an object where it was requested most, in another service or with other home
// regions, if this request may run there; else nil.
func (t *Table) formerRegion(now time.Time, p *pool, q Query) *region {
	var former *region
	most := 0.0
	for _, other := range t.services {
		for _, homes := range t.homes {
			l := other.placements[q.placementKey(homes)]
			if l != nil && l.requests.value(now) > most && q.mayRunIn(l.from) && p.ranksIn(l.from) {
				former, most = l.from, l.requests.value(now)
			}
		}
	}
	return former
}

// mayRunIn reports whether a region is one of the home regions of a request.
func (q Query) mayRunIn(r *region) bool {
	return len(q.Homes) == 0 || r != nil && slices.Contains(q.Homes, r.id)
}

// forgetPlacements forgets objects that are rarely requested, and reports whether there is room.
func (p *pool) forgetPlacements(now time.Time) bool {
	if now.Sub(p.placementsSweptAt) < placedSweepTime {
		return false
	}
	p.placementsSweptAt = now
	for key, l := range p.placements {
		if l.requests.value(now) < minPlacedLoad {
			delete(p.placements, key)
		}
	}
	return len(p.placements) < maxPlaced
}

// firstRegion returns the region of the endpoint that ranks first for a request, nil if there is none.
func (t *Table) firstRegion(p *pool, q Query) *region {
	if q.Object == 0 {
		q.Seed = mix(q.Seed%anonymousKeys ^ regionSalt)
	}
	var first candidate
	for _, s := range p.endpoints {
		if !s.ranked || !q.mayRunIn(s.region) {
			continue
		}
		if u := unitHash(q.key(), s); float64(s.Slots) > first.score*(1-u) {
			if sc := score(u, s); sc > first.score {
				first = candidate{state: s, score: sc}
			}
		}
	}
	if first.state == nil {
		return nil
	}
	return first.state.region
}

// ranksIn reports whether an endpoint in a region is ranked.
func (p *pool) ranksIn(r *region) bool {
	return slices.ContainsFunc(p.endpoints, func(s *endpointState) bool { return s.ranked && s.region == r })
}

// isLeaving reports whether the endpoint leaves in order.
func (s *endpointState) isLeaving() bool { return s.Draining || s.leaving.said }

// mayRank reports whether an endpoint is ranked. What passes within a moment, as a pause or a limit,
// does not change that.
func (t *Table) mayRank(now time.Time, s *endpointState) bool {
	return !s.isLeaving() && !s.replaced && !t.drained[s.Domain] && s.health.usable(now) && !s.warmup.active(now)
}

// refreshRanking determines the endpoints of a service that are ranked. If none is fit, all are.
func (t *Table) refreshRanking(now time.Time, p *pool) {
	p.isStale = false
	some := slices.ContainsFunc(p.endpoints, func(s *endpointState) bool { return t.mayRank(now, s) })
	for _, s := range p.endpoints {
		ranked := !some || t.mayRank(now, s)
		if ranked == s.ranked {
			continue
		}
		if !ranked && !s.isLeaving() {
			p.recordFailure(now, s.region)
		}
		s.ranked = ranked
		p.ranking++
	}
}

// recordFailure records that endpoints in a region were lost that did not leave in order.
func (p *pool) recordFailure(now time.Time, r *region) { p.failedAt[r] = now }

// isFailing reports whether endpoints in a region were lost lately. Objects whose first endpoint is
// elsewhere now leave it at once.
func (p *pool) isFailing(now time.Time, r *region, recovery time.Duration) bool {
	at, ok := p.failedAt[r]
	return ok && now.Sub(at) < recovery
}

// forgetRank records that an endpoint is no longer in the table.
func (s *endpointState) forgetRank(now time.Time) {
	if !s.ranked {
		return
	}
	s.pool.ranking++
	if !s.isLeaving() {
		s.pool.recordFailure(now, s.region)
	}
}

// rankPlaced ranks the usable endpoints of the region in which a request runs. If it has none, the
// request leaves the region: within the bound if they only pause or have limits, else at once. Cold endpoints are
// ranked only if all of the service are cold, so that no other region has warm ones.
func (t *Table) rankPlaced(now time.Time, p *pool, q Query) (ranking, Move, Reason) {
	r, move := t.place(now, p, q)
	q.within = r
	ranked, reason := t.rank(now, p, q)
	if r == nil || reason == "" {
		return ranked, move, reason
	}
	q.within = nil
	elsewhere, none := t.rank(now, p, q)
	if none != "" {
		return elsewhere, move, none
	}
	switch reason {
	case ReasonPause, ReasonLimit:
		if !t.shifts.spill(now) {
			return ranked, move, reason
		}
	case ReasonTried, ReasonCold:
	default:
		if l := p.placements[q.placementKey(q.homesKey())]; l.region(q.Seed) == r {
			l.settle(elsewhere.best[0].state.region)
		}
	}
	return elsewhere, Move(reason), ""
}
