package quota_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/quota"
	"github.com/wasabiwheel/wasabiwheel/roster"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

var (
	epoch  = time.Unix(1_700_000_000, 0)
	bounds = quota.Bounds{Window: 5 * time.Second, Excess: 0.1, Slack: 20}
)

const (
	warmUp       = 2 * time.Second // until all shares are confirmed after all nodes have started at once
	simRegions   = 3
	simDomains   = 6
	tick         = 250 * time.Millisecond
	maxLag       = 3 * time.Second // until a node has a changed list or limit
	downTime     = 2 * time.Second
	restartTime  = 100 * time.Millisecond // until all nodes are back after they were killed at once
	maxFailures  = 2                      // issuers that one request asks in vain
	organisation = inventory.OrganisationID("o")
)

// simulation simulates the requests of one organisation to many nodes, without a network.
type simulation struct {
	nodes       int
	rate, burst float64
	demand      float64       // requests a second, as a multiple of the rate
	uneven      float64       // exponent of the choice of a node; 0: all are equal
	moves       bool          // the nodes with most requests change
	kills       int           // nodes that are killed and start again
	stops       int           // nodes that leave the list, stop, and join again
	freezes     int           // nodes that are frozen for downTime
	uncounted   bool          // the clocks of nodes don't count freezes
	restart     time.Duration // when all nodes are killed and start again; 0: never
	issuers     bool          // kills, stops and freezes concern issuers
	cut         float64       // share of the nodes that reach only each other, and get no list, in the middle half
	added       float64       // share of nodes added in the second quarter
	lost        float64       // share of messages that are lost
	lowered     float64       // the limit from the middle on, as a multiple; 0: unchanged
	pulse       time.Duration // requests come only in every other period of this length; 0: always
	duration    time.Duration // 0: 30 s

	rng     *rand.Rand
	events  standin.EventQueue
	lists   []list
	running []*process
	sent    []time.Duration
	asked   int // requests
	calls   int
	unknown int // requests rejected since no issuer responded
	denied  int
	ideal   struct { // one token bucket with the limit that is asked directly
		level  float64
		at     time.Time
		denied int
	}
}

// process is a node.
type process struct {
	*quota.Table
	id          inventory.EntryID
	list        int // index of its list
	lowered     bool
	downUntil   time.Duration
	frozenUntil time.Duration
	frozen      time.Duration // in all
	resumed     bool
	waiting     []func(time.Time)
}

type list struct {
	from   time.Duration
	roster *roster.Roster
}

func simPeer(n int) roster.Peer {
	return roster.Peer{ID: simID(n), Domain: inventory.DomainID(fmt.Sprint("d", n%simDomains)), Region: inventory.RegionID(fmt.Sprint("r", n%simRegions))}
}

func simID(n int) inventory.EntryID { return inventory.EntryID(fmt.Sprint("n", n)) }

func simPeers(count int) []roster.Peer {
	var all []roster.Peer
	for n := range count {
		all = append(all, simPeer(n))
	}
	return all
}

func since(now time.Time) time.Duration { return now.Sub(epoch) }

func (sim *simulation) total() int { return sim.nodes + int(sim.added*float64(sim.nodes)) }

func (sim *simulation) run(seed uint64) {
	sim.rng = rand.New(rand.NewPCG(seed, 11))
	sim.events, sim.running, sim.sent, sim.asked, sim.calls, sim.unknown, sim.denied = standin.EventQueue{}, nil, nil, 0, 0, 0, 0
	sim.ideal.level, sim.ideal.at, sim.ideal.denied = 0, epoch, 0
	if sim.duration == 0 {
		sim.duration = 30 * time.Second
	}
	all := simPeers(sim.nodes)
	sim.lists = []list{{0, roster.New(all)}}
	for n := sim.nodes; n < sim.total(); n++ {
		all = append(all, simPeer(n))
		at := sim.duration/4 + time.Duration(float64(sim.duration/8)*float64(n-sim.nodes)/float64(sim.total()-sim.nodes))
		if n%8 == 0 || n == sim.total()-1 {
			sim.lists = append(sim.lists, list{at, roster.New(all)})
		}
	}
	for n := range sim.total() {
		p := &process{id: simID(n)}
		sim.running = append(sim.running, p)
		if n >= sim.nodes {
			p.downUntil = sim.duration / 4
		}
		sim.start(epoch, n)
		sim.events.At(epoch.Add(time.Duration(sim.rng.Int64N(int64(tick)))), func(now time.Time) { sim.tick(now, n) })
	}
	sim.disturb()
	sim.events.At(epoch, sim.arrive)
	sim.events.Run()
	slices.Sort(sim.sent)
}

// start starts a new process of a node.
func (sim *simulation) start(now time.Time, n int) {
	p := sim.running[n]
	p.Table, p.list, p.waiting = quota.New(p.id), -1, nil
	p.SetLimits(now, sim.limits(1), bounds)
	p.lowered = false
	sim.update(now, n)
}

func (sim *simulation) limits(factor float64) []inventory.Organisation {
	return []inventory.Organisation{{ID: organisation, Rate: inventory.Rate(sim.rate * factor), Burst: sim.burst * factor}}
}

// update gives a node the list and the limit that have reached it.
func (sim *simulation) update(now time.Time, n int) {
	p, at := sim.running[n], since(now)-time.Duration(float64(maxLag)*float64(n*31%17)/17)
	if sim.isCut(now, n) {
		at = min(at, sim.duration/4)
	}
	index := sort.Search(len(sim.lists), func(i int) bool { return sim.lists[i].from > at }) - 1
	if index = max(index, 0); index != p.list {
		p.list = index
		p.SetPeers(sim.clock(now, n), sim.lists[index].roster)
	}
	if sim.lowered > 0 && at > sim.duration/2 && !p.lowered {
		p.lowered = true
		p.SetLimits(sim.clock(now, n), sim.limits(sim.lowered), bounds)
	}
}

// clock returns the time by the clock of a node.
func (sim *simulation) clock(now time.Time, n int) time.Time {
	if sim.uncounted {
		return now.Add(-sim.running[n].frozen)
	}
	return now
}

// at runs a function at a node, later if it is frozen and not at all if it is down.
func (sim *simulation) at(when time.Time, n int, run func(now time.Time)) {
	sim.events.At(when, func(now time.Time) {
		switch p := sim.running[n]; {
		case since(now) < p.downUntil:
		case since(now) < p.frozenUntil:
			sim.at(epoch.Add(p.frozenUntil), n, run)
		default:
			run(now)
		}
	})
}

func (sim *simulation) isCut(now time.Time, n int) bool {
	at := since(now)
	return at > sim.duration/4 && at < sim.duration*3/4 && float64(n*7919%sim.total()) < sim.cut*float64(sim.total())
}

// send delivers a message from a node to another one, or reports that it was lost.
func (sim *simulation) send(now time.Time, from, to int, deliver, lost func(time.Time)) {
	delay := 12 * time.Millisecond
	switch {
	case from == to:
		delay = 0
	case from%simDomains == to%simDomains:
		delay = time.Millisecond
	case from%simRegions == to%simRegions:
		delay = 5400 * time.Microsecond
	}
	delay += time.Duration(sim.rng.Int64N(int64(delay/4) + 1))
	if from != to && (sim.isCut(now, from) != sim.isCut(now, to) || sim.rng.Float64() < sim.lost) || since(now) < sim.running[to].downUntil {
		sim.at(now.Add(quota.AskTime), from, lost)
		return
	}
	sim.at(now.Add(delay), to, deliver)
}

func (sim *simulation) tick(now time.Time, n int) {
	if since(now) < sim.duration {
		sim.events.At(now.Add(tick), func(now time.Time) { sim.tick(now, n) })
	}
	p := sim.running[n]
	if since(now) < p.downUntil || since(now) < p.frozenUntil {
		return
	}
	local := sim.clock(now, n)
	if p.resumed {
		p.resumed = false
		p.Paused(local)
	}
	sim.update(now, n)
	p.Tick(local)
	for _, c := range p.Claims() {
		to := sim.index(c.To)
		sim.send(now, n, to, func(now time.Time) {
			released := sim.running[to].Release(sim.clock(now, to), p.id, c.Organisations)
			sim.send(now, to, n, func(now time.Time) { sim.running[n].RecordRelease(sim.clock(now, n), c.To, released) }, func(time.Time) {})
		}, func(time.Time) {})
	}
}

func (sim *simulation) index(id inventory.EntryID) int {
	var n int
	if _, err := fmt.Sscanf(string(id), "n%d", &n); err != nil {
		panic(err)
	}
	return n
}

// disturb schedules the kills, stops and freezes.
func (sim *simulation) disturb() {
	victims := sim.rng.Perm(sim.nodes)
	if sim.issuers {
		var first []int
		for _, id := range sim.running[0].Issuers(organisation) {
			first = append(first, sim.index(id))
		}
		victims = append(first, victims...)
	}
	for n := range sim.nodes {
		if sim.restart > 0 {
			sim.events.At(epoch.Add(sim.restart), func(time.Time) { sim.running[n].downUntil = sim.restart + restartTime })
			sim.events.At(epoch.Add(sim.restart+restartTime), func(now time.Time) { sim.start(now, n) })
		}
	}
	count := sim.kills + sim.stops + sim.freezes
	for i := range count {
		n := victims[i]
		at := warmUp + time.Duration(float64(sim.duration-2*warmUp-downTime)*(float64(i)+sim.rng.Float64())/float64(count))
		switch {
		case i < sim.kills+sim.stops:
			if i >= sim.kills {
				last := sim.lists[len(sim.lists)-1].roster
				sim.lists = append(sim.lists, list{at, last.Without(simID(n))}, list{at + downTime, last})
			}
			sim.events.At(epoch.Add(at), func(time.Time) { sim.running[n].downUntil = at + downTime })
			sim.events.At(epoch.Add(at+downTime), func(now time.Time) { sim.start(now, n) })
		default:
			sim.events.At(epoch.Add(at), func(time.Time) {
				p := sim.running[n]
				p.frozenUntil, p.frozen, p.resumed = at+downTime, p.frozen+downTime, true
			})
		}
	}
}

// arrive lets a request arrive at a node.
func (sim *simulation) arrive(now time.Time) {
	if since(now) > sim.duration {
		return
	}
	sim.events.At(now.Add(time.Duration(sim.rng.ExpFloat64()/(sim.demand*sim.rate)*float64(time.Second))), sim.arrive)
	if sim.pulse > 0 && since(now)/sim.pulse%2 == 0 {
		return
	}
	n := int(math.Pow(sim.rng.Float64(), 1+sim.uneven) * float64(sim.total()))
	if sim.moves {
		n = (n + int(since(now)/(7*time.Second))*sim.total()/3) % sim.total()
	}
	sim.asked++
	sim.askIdeal(now)
	sim.at(now, n, func(now time.Time) {
		sim.running[n].RecordRequest(sim.clock(now, n), organisation)
		sim.take(now, n, 0)
	})
}

func (sim *simulation) askIdeal(now time.Time) {
	b := &sim.ideal
	b.level, b.at = min(sim.burst, b.level+sim.rate*now.Sub(b.at).Seconds()), now
	if b.level >= 1 {
		b.level--
	} else if since(now) > warmUp {
		b.denied++
	}
}

// take charges a request.
func (sim *simulation) take(now time.Time, n, failures int) {
	p, local := sim.running[n], sim.clock(now, n)
	d := p.Take(local, organisation)
	if failures >= maxFailures && d.Kind == quota.KindAsk {
		p.RecordFailure(local, organisation, d.Issuer)
		d = p.Fallback(local, organisation)
	}
	switch d.Kind {
	case quota.KindPaid:
		sim.sent = append(sim.sent, since(now)+time.Duration(1+sim.rng.IntN(30))*time.Millisecond)
	case quota.KindAwait:
		p.waiting = append(p.waiting, func(now time.Time) { sim.take(now, n, failures) })
	case quota.KindAsk:
		sim.ask(now, n, d, failures)
	case quota.KindDenied:
		if since(now) > warmUp {
			sim.denied++
		}
	case quota.KindUnanswered:
		if since(now) > warmUp {
			sim.unknown++
		}
	}
}

// ask asks an issuer for tokens.
func (sim *simulation) ask(now time.Time, n int, d quota.Decision, failures int) {
	asking, to := sim.running[n].Table, sim.index(d.Issuer)
	if to != n {
		sim.calls++
	}
	done := false
	finish := func(now time.Time, failed bool, r quota.Reply) {
		p := sim.running[n]
		if done || p.Table != asking {
			return
		}
		done = true
		if failed {
			p.RecordFailure(sim.clock(now, n), organisation, d.Issuer)
			failures++
		} else {
			p.RecordReply(sim.clock(now, n), organisation, d.Issuer, r)
		}
		waiting := append([]func(time.Time){func(now time.Time) { sim.take(now, n, failures) }}, p.waiting...)
		p.waiting = nil
		for _, w := range waiting {
			w(now)
		}
	}
	fail := func(now time.Time) { finish(now, true, quota.Reply{}) }
	sim.send(now, n, to, func(now time.Time) {
		r := sim.running[to].Issue(sim.clock(now, to), organisation, d.Count)
		sim.send(now, to, n, func(now time.Time) { finish(now, false, r) }, func(time.Time) {})
	}, fail)
	if to != n {
		sim.at(now.Add(quota.AskTime), n, fail)
	}
}

// worst returns the largest excess over the bound in any window: 0 or less keeps it.
func (sim *simulation) worst() int {
	worst := math.MinInt
	for i, from := range sim.sent {
		count := sort.Search(len(sim.sent), func(j int) bool { return sim.sent[j] >= from+bounds.Window }) - i
		factor := 1.0
		if sim.lowered > 0 && from > sim.duration/2+maxLag+quota.Lifetime {
			factor = sim.lowered
		}
		bound := factor*(sim.rate*bounds.Window.Seconds()+sim.burst)*(1+bounds.Excess) + bounds.Slack
		worst = max(worst, int(math.Ceil(float64(count)-bound)))
	}
	return worst
}

// used returns the part of the limit that was used after all nodes had started.
func (sim *simulation) used() float64 {
	count := len(sim.sent) - sort.Search(len(sim.sent), func(i int) bool { return sim.sent[i] >= warmUp })
	return float64(count) / (sim.rate * (sim.duration - warmUp).Seconds())
}

// organisations of different size: the smallest of deployment A, a usual one and the largest.
var sizes = []struct{ rate, burst float64 }{{3, 3}, {40, 40}, {800, 800}}

var simulations = map[string]simulation{
	"calm":                     {demand: 2},
	"bursts":                   {demand: 7, pulse: 3 * time.Second},
	"uneven bursts":            {demand: 7, uneven: 4, pulse: 6 * time.Second},
	"at the limit":             {demand: 1.05},
	"far over":                 {demand: 7},
	"uneven":                   {demand: 2, uneven: 2},
	"moving":                   {demand: 2, uneven: 2, moves: true},
	"kills":                    {demand: 2, kills: 4},
	"stops":                    {demand: 2, stops: 4},
	"issuers are killed":       {demand: 2, kills: 3, issuers: true},
	"issuers stop":             {demand: 2, stops: 3, issuers: true},
	"issuers freeze":           {demand: 2, freezes: 3, issuers: true},
	"freezes are not counted":  {demand: 2, freezes: 6, issuers: true, uncounted: true},
	"35% are cut":              {demand: 2, cut: 0.35},
	"35% are cut, 18% added":   {demand: 2, cut: 0.35, added: 0.18},
	"all but few are cut":      {demand: 2, cut: 0.9},
	"bursts, 35% cut, 18% new": {demand: 7, pulse: 6 * time.Second, cut: 0.35, added: 0.18},
	"bursts, issuers restart":  {demand: 7, pulse: 6 * time.Second, kills: 6, issuers: true},
	"18% are added":            {demand: 2, added: 0.18},
	"messages are lost":        {demand: 2, lost: 0.02},
	"no message arrives":       {demand: 4, lost: 1},
	"the limit is lowered":     {demand: 3, lowered: 0.5},
	"lowered to fewer issuers": {demand: 7, lowered: 0.1},
	"all at once":              {demand: 7, uneven: 1, moves: true, kills: 3, stops: 2, freezes: 3, issuers: true, cut: 0.35, added: 0.18, lost: 0.05, lowered: 0.6},
}

func (sim *simulation) String() string {
	return fmt.Sprintf("worst %+d, used %.3f, calls for each request %.3f, of %d denied %d (ideal %d), unanswered %d",
		sim.worst(), sim.used(), float64(sim.calls)/float64(sim.asked), sim.asked, sim.denied, sim.ideal.denied, sim.unknown)
}

// TestLimitIsKept guards against organisations that send more than their limit over all nodes. The
// load is 1.05 to 7 times the limit.
func TestLimitIsKept(t *testing.T) {
	for name, sim := range simulations {
		for _, nodes := range []int{10, 60, 110} {
			for _, size := range sizes {
				if size.rate > 100 && (nodes != 60 || !strings.Contains(name, "bursts") && name != "all at once") {
					continue // those in which most tokens are at hand
				}
				t.Run(fmt.Sprint(name, " ", nodes, " nodes ", size.rate), func(t *testing.T) {
					convey.Convey("In any window", t, func() {
						s := sim
						s.nodes, s.rate, s.burst = nodes, size.rate, size.burst
						s.run(1)
						t.Log(&s)
						convey.So(s.worst(), convey.ShouldBeLessThanOrEqualTo, 0)
					})
				})
			}
		}
	}
}

// TestLimitIsKeptWhenAllNodesStart guards against issuers that issue the whole rate after a kill of all
// nodes, although the former ones have used up the burst just before.
func TestLimitIsKeptWhenAllNodesStart(t *testing.T) {
	sizes := map[string]struct{ rate, burst float64 }{
		"burst of a third": {90, 30}, "equal": {100, 100}, "large, equal": {800, 800}, "small": {3, 9},
		"twice": {100, 200}, "three times": {100, 300}, "large, three times": {800, 2400}, "ten times": {40, 400}, "no burst": {100, 0},
	}
	const quiet = 10 * time.Second
	for name, size := range sizes {
		for _, nodes := range []int{3, 10, 60} {
			t.Run(fmt.Sprint(name, " ", nodes, " nodes"), func(t *testing.T) {
				convey.Convey("In any window, whenever they are killed, and the limit is used after that", t, func() {
					for _, after := range []time.Duration{200 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second, 5 * time.Second} {
						s := simulation{nodes: nodes, rate: size.rate, burst: size.burst, demand: 4.6, pulse: quiet, restart: quiet + after, duration: 2 * quiet}
						s.run(1)
						t.Log(after, &s)
						convey.So(s.worst(), convey.ShouldBeLessThanOrEqualTo, 0)
						last := sort.Search(len(s.sent), func(i int) bool { return s.sent[i] >= 2*quiet-time.Second })
						convey.So(float64(len(s.sent)-last), convey.ShouldBeGreaterThan, 0.5*size.rate-2)
					}
				})
			})
		}
	}
}
