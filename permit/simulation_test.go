package permit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/permit"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

// simulation simulates the requests of many nodes to one endpoint with a limit, without a
// network. Nodes learn of changes of their list late, and messages take their time.
type simulation struct {
	nodes    int
	rate     inventory.Rate // limit of the endpoint
	demand   float64        // requests a second that nodes want to send there
	burst    float64        // multiple of the demand in every other period of burstPeriod; 0: none
	kills    int            // nodes that are killed and start again, one after the other
	stops    int            // nodes that leave the list, stop, and join again
	cut      float64        // share of the nodes that reach no other node from a third to two thirds of the time
	lost     float64        // share of the messages between nodes that are lost
	issuers  bool           // kills, stops and cuts concern the issuers first
	raisedTo inventory.Rate // limit in the second half; 0: unchanged
	way      func(*simulation) way

	rng      *rand.Rand
	events   standin.EventQueue
	peers    []permit.Peer
	lists    []list
	down     map[int]time.Duration // until when nodes do not run
	arrivals []time.Duration
}

// way decides whether a node may send a request. allow calls send, at once or later, if it may.
type way interface {
	allow(now time.Time, node int, send func(now time.Time))
	restart(now time.Time, node int)
}

// list is the list of nodes from a time on.
type list struct {
	from  time.Duration
	peers []permit.Peer
}

var epoch = time.Unix(1_700_000_000, 0)

const (
	simDuration = 90 * time.Second
	simEndpoint = permit.Endpoint(0x5eed)
	burstPeriod = 5 * time.Second
	downFor     = 2 * time.Second
	maxListLag  = 3 * time.Second // until a node has a changed list
	regions     = 3
	domains     = 9
)

func (sim *simulation) rateAt(now time.Time) inventory.Rate {
	if sim.raisedTo > 0 && now.Sub(epoch) > simDuration/2 {
		return sim.raisedTo
	}
	return sim.rate
}

func id(node int) inventory.EntryID { return inventory.EntryID(fmt.Sprint("n", node)) }

// delay is the time that a message takes.
func (sim *simulation) delay() time.Duration {
	return time.Duration(1+sim.rng.IntN(40)) * time.Millisecond
}

func (sim *simulation) run(seed uint64) {
	sim.rng = rand.New(rand.NewPCG(seed, 7))
	sim.down, sim.arrivals, sim.events, sim.peers = map[int]time.Duration{}, nil, standin.EventQueue{}, nil
	for n := range sim.nodes {
		sim.peers = append(sim.peers, permit.Peer{ID: id(n), Domain: inventory.DomainID(fmt.Sprint("d", n%domains)), Region: inventory.RegionID(fmt.Sprint("r", n%regions))})
	}
	sim.lists = []list{{0, sim.peers}}
	w := sim.way(sim)
	sim.disturb(w)
	for at := time.Duration(0); at < simDuration; {
		demand := sim.demand
		if sim.burst > 0 && at/burstPeriod%2 == 1 {
			demand *= sim.burst
		}
		at += time.Duration(sim.rng.ExpFloat64() / demand * float64(time.Second))
		node := sim.rng.IntN(sim.nodes)
		sim.events.At(epoch.Add(at), func(now time.Time) {
			if now.Sub(epoch) < sim.down[node] {
				return
			}
			w.allow(now, node, func(now time.Time) { sim.arrivals = append(sim.arrivals, now.Sub(epoch)+sim.delay()) })
		})
	}
	sim.events.Run()
	slices.Sort(sim.arrivals)
}

// disturb schedules the kills and stops.
func (sim *simulation) disturb(w way) {
	victims := sim.rng.Perm(sim.nodes)
	if sim.issuers {
		victims = append(sim.issuerNodes(), victims...)
	}
	for i := range sim.kills + sim.stops {
		node, at := victims[i], time.Duration(float64(simDuration)*(float64(i)+0.2+0.6*sim.rng.Float64())/float64(sim.kills+sim.stops))
		if i%2 == 0 && sim.stops > i/2 || i/2 >= sim.kills {
			without := slices.DeleteFunc(slices.Clone(sim.lists[len(sim.lists)-1].peers), func(p permit.Peer) bool { return p.ID == id(node) })
			sim.lists = append(sim.lists, list{at, without}, list{at + downFor, sim.peers})
		}
		sim.events.At(epoch.Add(at), func(now time.Time) {
			sim.down[node] = at + downFor
			w.restart(now.Add(downFor), node)
		})
	}
}

func (sim *simulation) issuerNodes() []int {
	t := permit.New("")
	t.SetPeers(epoch, sim.peers)
	var all []int
	for _, p := range t.Issuers(simEndpoint) {
		all = append(all, slices.IndexFunc(sim.peers, func(other permit.Peer) bool { return other.ID == p }))
	}
	return all
}

// isCut reports whether a node reaches no other one.
func (sim *simulation) isCut(now time.Time, node int) bool {
	since := now.Sub(epoch)
	if sim.cut == 0 || since < simDuration/3 || since > simDuration*2/3 {
		return false
	}
	if sim.issuers && slices.Index(sim.issuerNodes(), node) == 0 {
		return true
	}
	return float64(node*7919%sim.nodes) < sim.cut*float64(sim.nodes)
}

// listAt returns the list that a node has: the newest one that is older than its delay.
func (sim *simulation) listAt(now time.Time, node int) list {
	lag := time.Duration(float64(maxListLag) * float64(node*31%17) / 17)
	since := now.Sub(epoch)
	if sim.isCut(now, node) {
		since = min(since, simDuration/3)
	}
	i := sort.Search(len(sim.lists), func(i int) bool { return sim.lists[i].from+lag > since }) - 1
	return sim.lists[max(0, i)]
}

// worst returns the largest excess over the bound on any window: 0 or less keeps it.
func (sim *simulation) worst() int {
	worst := -permit.Slack
	for i := range sim.arrivals {
		until := sim.arrivals[i] + permit.Window
		count := sort.Search(len(sim.arrivals), func(j int) bool { return sim.arrivals[j] >= until }) - i
		bound := int(permit.Excess*float64(max(sim.rateAt(epoch.Add(sim.arrivals[i])), sim.rateAt(epoch.Add(until))))*permit.Window.Seconds() + permit.Slack)
		worst = max(worst, count-bound)
	}
	return worst
}

// used returns the part of the limit that was used.
func (sim *simulation) used() float64 {
	mean := (float64(sim.rate) + float64(max(sim.rate, sim.raisedTo))) / 2
	if sim.raisedTo == 0 {
		mean = float64(sim.rate)
	}
	return float64(len(sim.arrivals)) / (mean * simDuration.Seconds())
}

// alone lets each node keep to a part of the limit by its own count.
type alone struct {
	sim  *simulation
	part float64
	next map[int]time.Time
}

func eachAlone(sim *simulation) way { return &alone{sim, 1, map[int]time.Time{}} }
func divided(sim *simulation) way {
	return &alone{sim, 1 / float64(sim.nodes), map[int]time.Time{}}
}

func (a *alone) allow(now time.Time, node int, send func(time.Time)) {
	if now.Before(a.next[node]) {
		return
	}
	a.next[node] = now.Add(time.Duration(float64(time.Second) / (a.part * float64(a.sim.rateAt(now)))))
	send(now)
}

func (a *alone) restart(_ time.Time, node int) { delete(a.next, node) }

// senders lets two chosen nodes send, each a half of the limit.
type senders struct{ alone }

func twoSenders(sim *simulation) way { return &senders{alone{sim, 0.5, map[int]time.Time{}}} }

func (s *senders) allow(now time.Time, node int, send func(time.Time)) {
	t := permit.New("")
	t.SetPeers(epoch, s.sim.listAt(now, node).peers)
	if i := slices.Index(t.Issuers(simEndpoint), id(node)); i == 0 || i == 1 {
		s.alone.allow(now, node, send)
	}
}

// permits obtains a permit for each request.
type permits struct {
	sim    *simulation
	tables map[int]*permit.Table
	lists  map[int]time.Duration // start of the list that each node has
}

func withPermits(sim *simulation) way {
	return &permits{sim, map[int]*permit.Table{}, map[int]time.Duration{}}
}

// table returns the table of a node with the list that the node has.
func (p *permits) table(now time.Time, node int) *permit.Table {
	t := p.tables[node]
	if t == nil {
		t = permit.New(id(node))
		p.tables[node], p.lists[node] = t, 0
		t.SetPeers(epoch.Add(-time.Minute), p.sim.lists[0].peers)
	}
	if l := p.sim.listAt(now, node); l.from != p.lists[node] {
		p.lists[node] = l.from
		t.SetPeers(now, l.peers)
	}
	t.Tick(now)
	return t
}

func (p *permits) restart(now time.Time, node int) {
	t := permit.New(id(node))
	l := p.sim.listAt(now, node)
	t.SetPeers(now, l.peers)
	p.tables[node], p.lists[node] = t, l.from
}

func (p *permits) allow(now time.Time, node int, send func(time.Time)) {
	t := p.table(now, node)
	issuer, ok := t.Issuer(now, simEndpoint)
	if !ok {
		return
	}
	at := slices.IndexFunc(p.sim.peers, func(other permit.Peer) bool { return other.ID == issuer })
	if at == node {
		p.finish(now, node, issuer, t.Issue(now, simEndpoint, p.sim.rateAt(now)), send)
		return
	}
	p.sim.events.At(now.Add(p.sim.delay()), func(arrived time.Time) {
		since := arrived.Sub(epoch)
		if since < p.sim.down[at] || p.sim.isCut(arrived, at) || p.sim.isCut(arrived, node) || p.sim.rng.Float64() < p.sim.lost {
			p.sim.events.At(now.Add(permit.Lifetime), func(now time.Time) { p.table(now, node).RecordFailure(now, issuer) })
			return
		}
		reply := p.table(arrived, at).Issue(arrived, simEndpoint, p.sim.rateAt(arrived))
		p.sim.events.At(arrived.Add(p.sim.delay()), func(now time.Time) { p.finish(now, node, issuer, reply, send) })
	})
}

func (p *permits) finish(now time.Time, node int, issuer inventory.EntryID, r permit.Reply, send func(time.Time)) {
	p.table(now, node).RecordReply(now, simEndpoint, issuer, r)
	if r.Granted() && now.Sub(epoch) >= p.sim.down[node] {
		send(now)
	}
}

var simulations = map[string]simulation{
	"calm":                  {demand: 6},
	"bursts":                {demand: 4, burst: 5},
	"kills":                 {demand: 6, kills: 6},
	"stops":                 {demand: 6, stops: 6},
	"issuers end":           {demand: 6, kills: 3, stops: 3, issuers: true},
	"a fifth is cut":        {demand: 6, cut: 0.2},
	"an issuer is cut":      {demand: 6, cut: 0.05, issuers: true},
	"messages are lost":     {demand: 6, lost: 0.1},
	"all at once":           {demand: 4, burst: 4, kills: 3, stops: 3, cut: 0.1, lost: 0.05, issuers: true},
	"raised":                {demand: 8, raisedTo: 4},
	"less demand than rate": {demand: 0.5},
}

// TestEndpointLimitIsKept guards against endpoints that get more requests than the limit that
// they name for all nodes together.
func TestEndpointLimitIsKept(t *testing.T) {
	cases := []struct {
		nodes int
		rate  inventory.Rate
		seeds uint64
	}{{10, 0.3, 5}, {10, 1, 5}, {10, 20, 2}, {200, 0.3, 2}, {200, 1, 2}, {200, 20, 1}, {2000, 1, 1}}
	for name, sim := range simulations {
		for _, c := range cases {
			t.Run(fmt.Sprint(name, " ", c.nodes, " nodes ", c.rate), func(t *testing.T) {
				convey.Convey("In any window", t, func() {
					for seed := range c.seeds {
						s := sim
						s.nodes, s.rate, s.way = c.nodes, c.rate, withPermits
						s.demand *= float64(max(1, c.rate))
						s.raisedTo *= c.rate
						s.run(seed)
						convey.So(s.worst(), convey.ShouldBeLessThanOrEqualTo, 0)
					}
				})
			})
		}
	}
}

// TestEndpointLimitIsUsed guards against permits that are not issued although the limit allows
// them. The bounds are what two issuers, and one of two, may issue, less a tenth.
func TestEndpointLimitIsUsed(t *testing.T) {
	cases := map[string]float64{"calm": 0.8, "bursts": 0.8, "a fifth is cut": 0.7, "kills": 0.7, "issuers end": 0.6, "raised": 0.7}
	for name, want := range cases {
		for _, nodes := range []int{10, 200, 2000} {
			t.Run(fmt.Sprint(name, " ", nodes, " nodes"), func(t *testing.T) {
				convey.Convey("With more demand than the limit", t, func() {
					s := simulations[name]
					s.nodes, s.rate, s.way = nodes, 1, withPermits
					s.run(1)
					convey.So(s.used(), convey.ShouldBeGreaterThanOrEqualTo, want)
				})
			})
		}
	}
}

// TestWaysToKeepLimit prints the table in docs/DESIGN.md.
func TestWaysToKeepLimit(t *testing.T) {
	ways := map[string]func(*simulation) way{"alone": eachAlone, "divided": divided, "two senders": twoSenders, "permits": withPermits}
	for _, name := range []string{"calm", "bursts", "issuers end", "all at once"} {
		for wayName, w := range ways {
			for _, nodes := range []int{10, 200, 2000} {
				s := simulations[name]
				s.nodes, s.rate, s.way = nodes, 1, w
				s.run(1)
				t.Logf("%s, %s, %d nodes: used %.2f, worst window %+d", name, wayName, nodes, s.used(), s.worst())
			}
		}
	}
}
