package endpoint

// Locality. An object has one primary endpoint for all nodes, which may be in another
// region: a copy in each failure domain would need a cold run in each of them and evict
// other objects. On routes whose objective is so short that the round trip is a large part
// of it, the round trip costs more than that. There, objects have a primary endpoint in
// each failure domain, as far as the domain has slots for the requests of its callers. On routes for which
// the way to other regions is long, objects have a primary endpoint in each region, as far as it has room:
// what goes far also arrives later, so that a region's requests seem to change regions when they begin or end.

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// localThreshold is the share of the objective from which a round trip counts as long. On
// the users' sites, primary endpoints in each failure domain served callers better when the
// round trip was 0.23 of the objective, and worse when it was 0.14.
const localThreshold = 0.2

const (
	// regionThreshold is the share of the objective from which a round trip between regions counts as
	// long: objects have a primary endpoint in each region, as far as it has room.
	regionThreshold = 0.08
	// regionHysteresis keeps objects from moving on every small change of utilization.
	regionHysteresis = 0.25
	// callersShare is the part of a region's slots for its own callers. The rest is for objects that have
	// their only primary endpoint there.
	callersShare = 0.8
	// A region has room for that part up to a utilization of roomyUtilization, and for none from
	// fullUtilization on.
	roomyUtilization = 0.3
	fullUtilization  = 0.7
)

// LocalDomain describes the failure domain of this node.
type LocalDomain struct {
	Domain      inventory.DomainID
	Share       float64 // share of all callers that the nodes of the domain serve
	RegionShare float64 // share of all callers that the nodes of its region serve; 0: unknown
}

// SetLocalDomain sets the failure domain of this node.
func (t *Table) SetLocalDomain(d LocalDomain) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.local = d
}

// locality is the part of a route's objects whose requests run near this node. It follows what the round
// trips, the objective, the slots and the callers call for within the bound on shifts.
type locality struct {
	requests recentCount // of the route, at this node
	domain   localPart   // in its failure domain
	region   localPart   // in its region
}

const (
	// objectGroups is the number of groups of a route's objects. They move one after the other, each in parts
	// by the seeds of its requests.
	objectGroups = 16
	// minGroupCount is the number of requests that a group counts for at least: those of an object may not
	// have been seen yet.
	minGroupCount = 0.5
)

// localPart is a part of a route's objects: the first groups, and a part of the requests for the next one.
type localPart struct {
	part   float64
	least  time.Duration             // that has to be saved
	groups [objectGroups]recentCount // of the requests that change their region with their group
}

// maxLocalities bounds the routes of which the locality is remembered, some 1,200 bytes each.
const maxLocalities = 4096

// locality returns the locality of a route. A new route, which may replace another one, begins with that of the
// route with the most requests.
func (t *Table) locality(now time.Time, r inventory.RouteID) *locality {
	l := t.localities[r]
	if l == nil && len(t.localities) >= maxLocalities {
		return &locality{} // the route has none
	}
	if l == nil {
		l = &locality{}
		if most := t.mostRequested(now); most != nil {
			*l = *most
			l.requests = recentCount{}
		}
		t.localities[r] = l
	}
	return l
}

// mostRequested returns the locality of the route with the most requests, nil if there is none.
func (t *Table) mostRequested(now time.Time) *locality {
	var most *locality
	for _, l := range t.localities {
		if most == nil || l.requests.value(now) > most.requests.value(now) {
			most = l
		}
	}
	return most
}

// forgetLocalities forgets the routes that are rarely requested if there are too many.
func (t *Table) forgetLocalities(now time.Time) {
	if len(t.localities) < maxLocalities {
		return
	}
	for id, l := range t.localities {
		if l.requests.value(now) < minPlacedLoad {
			delete(t.localities, id)
		}
	}
}

// isLong reports whether the longest round trip exceeds that within this node's failure domain by a
// duration.
func (t *Table) isLong(least time.Duration) bool {
	longest := time.Duration(0)
	for _, measured := range t.roundTrips {
		longest = max(longest, measured)
	}
	return longest-t.roundTrip(t.local.Domain) >= max(least, 1)
}

// follow moves a part towards a target, which is rounded to whole groups.
func (l *localPart) follow(now time.Time, b *shifts, target float64) {
	target = math.Round(target*objectGroups) / objectGroups
	for l.part != target {
		group, end := l.next(target)
		share := b.shareOf(now, max(minGroupCount, l.groups[group].value(now)))
		l.part = b.step(now, l.part, end, share*objectGroups)
		if l.part != end {
			return
		}
	}
}

// next returns the group that moves next on the way to a target, and the part when it has moved.
func (l *localPart) next(target float64) (group int, end float64) {
	at := l.part * objectGroups
	if target > l.part {
		group = int(math.Floor(at))
		return group, float64(group+1) / objectGroups
	}
	group = int(math.Ceil(at)) - 1
	return group, float64(group) / objectGroups
}

// includes reports whether a request belongs to the part.
func (l *localPart) includes(q Query) bool {
	return l.part*objectGroups-float64(q.group()) > uniform(q.Seed^regionSalt)
}

// group returns the group of a request's object.
func (q Query) group() int { return int(uniform(uint64(q.Object)^uniformSalt) * objectGroups) }

// preferRegion returns this node's region if a request is to run there, else the region of its placement.
func (t *Table) preferRegion(now time.Time, p *pool, q Query, r *region) *region {
	home := t.regionTable.of(t.local.Domain)
	if q.Object == 0 || t.local.RegionShare == 0 {
		return r
	}
	l := t.locality(now, q.Route)
	if r != home {
		l.region.groups[q.group()].add(now)
	}
	if len(q.Homes) > 0 && !slices.Contains(q.Homes, home.id) {
		return r
	}
	least := time.Duration(regionThreshold * float64(q.Objective))
	isLong := t.isLong(least)
	if !isLong && l.region.part == 0 {
		return r
	}
	room := p.rooms[home]
	if room.share == 0 {
		l.region.part = 0 // its endpoints are lost; the requests return within the bound
		return r
	}
	target := 0.0
	if isLong {
		target = room.part() * min(1, callersShare*room.share/t.local.RegionShare)
	}
	if target > 0 && math.Abs(target-l.region.part) < regionHysteresis {
		target = l.region.part
	}
	l.region.follow(now, &t.shifts, target)
	if l.region.includes(q) {
		return home
	}
	return r
}

// room is what a service has in a region.
type room struct {
	share       float64 // of its slots
	utilization float64 // smoothed requests per slot
}

// part returns the part of the requests for which there is room.
func (r room) part() float64 {
	return min(1, max(0, (fullUtilization-r.utilization)/(fullUtilization-roomyUtilization)))
}

// ranksInDomain reports whether an endpoint in a failure domain is ranked.
func (p *pool) ranksInDomain(d inventory.DomainID) bool {
	return slices.ContainsFunc(p.endpoints, func(s *endpointState) bool { return s.ranked && s.Domain == d })
}

// updateRooms counts the slots and the requests of a service by region.
func (p *pool) updateRooms(now time.Time) {
	slots, requests, all := map[*region]float64{}, map[*region]float64{}, 0.0
	for _, s := range p.endpoints {
		if s.ranked {
			slots[s.region] += float64(s.Slots)
			requests[s.region] += s.requests(now)
			all += float64(s.Slots)
		}
	}
	former := p.rooms
	p.rooms = map[*region]room{}
	for r, count := range slots {
		last := former[r].utilization
		p.rooms[r] = room{share: count / all, utilization: last + utilizationWeight*(requests[r]/count-last)}
	}
}

// preferLocal puts the object's primary endpoint in this node's failure domain first, if
// the round trip that it saves is long enough. It does so for a part of the objects that
// matches the domain's slots and callers. The other candidates are then those of the domain's region.
func (t *Table) preferLocal(now time.Time, p *pool, q Query, best []candidate) []candidate {
	if q.Object == 0 {
		return best
	}
	route := t.locality(now, q.Route)
	route.requests.add(now)
	l := &route.domain
	l.groups[q.group()].add(now)
	least := time.Duration(localThreshold * float64(q.Objective))
	isLong := t.isLong(least)
	if !isLong && l.part == 0 {
		return best
	}
	q.within = nil
	primary, share := t.localPrimary(now, p, q)
	if primary.state == nil {
		if !p.ranksInDomain(t.local.Domain) {
			l.part = 0 // they are lost; the requests return within the bound
		}
		return best
	}
	target := 0.0
	if isLong {
		target, l.least = min(1, share/t.local.Share), least
	}
	l.follow(now, &t.shifts, target)
	saved := t.roundTrip(best[0].state.Domain) - t.roundTrip(t.local.Domain)
	if saved < l.least || primary.state == best[0].state || !l.includes(q) {
		return best
	}
	q.within = t.regionTable.of(t.local.Domain)
	ranked, reason := t.rank(now, p, q)
	if reason != "" {
		return best
	}
	reordered := append(make([]candidate, 0, len(ranked.best)+1), primary)
	for _, cand := range ranked.best {
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

// uniform maps a key to [0, 1) uniformly.
func uniform(key uint64) float64 { return float64(mix(key)>>11) / (1 << 53) }

const uniformSalt = 0x9e3779b97f4a7c15 // any value that the ranking does not use

// maxLocalitiesTold bounds the routes in a message, some 50 bytes each.
const maxLocalitiesTold = 64

// LocalityReport is the part of a route's objects whose requests run in the region of the node that tells
// it. It is told once to each subscriber, so that a node that starts serves its callers' requests where the
// others of its region do.
type LocalityReport struct {
	_      struct{} `cbor:",toarray"`
	Region inventory.RegionID
	Route  inventory.RouteID
	Part   float64
}

// localityReports returns the routes of which a part runs in this node's region, at most a message full.
func (t *Table) localityReports() []LocalityReport {
	var all []LocalityReport
	for id, l := range t.localities {
		if l.region.part > 0 {
			all = append(all, LocalityReport{Region: t.regions[t.local.Domain], Route: id, Part: l.region.part})
		}
	}
	slices.SortFunc(all, func(a, b LocalityReport) int { return cmp.Compare(b.Part, a.Part) })
	return all[:min(len(all), maxLocalitiesTold)]
}

// learnLocality takes over the part of a route that another node of the region tells, unless this node has
// served requests of the route.
func (t *Table) learnLocality(now time.Time, r LocalityReport) {
	if r.Region != t.regions[t.local.Domain] || !(r.Part >= 0 && r.Part <= 1) {
		return
	}
	if l := t.locality(now, r.Route); l.requests.value(now) < 1 {
		l.region.part = max(l.region.part, r.Part)
	}
}
