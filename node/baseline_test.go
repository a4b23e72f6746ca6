package node

// Ways of steering to compare with: each is a simple entry VM that chooses an
// endpoint itself, by lagging reports of load or by knowing everything.

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/wasabiwheel/wasabiwheel/booking"
	"github.com/wasabiwheel/wasabiwheel/configuration"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/lookup"
)

const reportInterval = 500 * time.Millisecond

// chooser picks an endpoint from those that are thought to live.
type chooser func(b *baseline, from inventory.Entry, points []inventory.Endpoint) inventory.Endpoint

// baseline is a set of simple entry VMs.
type baseline struct {
	x      *experiment
	choose chooser
	config *configuration.Table
	oracle *oracle

	mu      sync.Mutex
	random  *rand.Rand
	reports map[inventory.EndpointID]int
}

// baselineOf returns a system whose entry VMs use a chooser.
func baselineOf(c chooser) system {
	return func(x *experiment) {
		b := &baseline{x: x, choose: c, config: x.r.anyConfig(), random: rand.New(rand.NewPCG(7, 7)), reports: map[inventory.EndpointID]int{}}
		go b.poll()
		for _, e := range x.r.inv.Entries {
			b.serve(e)
		}
	}
}

func (b *baseline) serve(e inventory.Entry) {
	vm := b.x.r.network.VM(hostOf(e.Peer))
	client := &http.Client{Transport: newTransport(vm, 0)}
	b.x.r.clients = append(b.x.r.clients, client)
	mux := http.NewServeMux()
	mux.HandleFunc(pathLookup, func(w http.ResponseWriter, r *http.Request) { b.serveLookup(w, r) })
	mux.HandleFunc(servePrefix, func(w http.ResponseWriter, r *http.Request) { b.serveRequest(w, r, e, client) })
	b.x.r.serve(hostOf(e.Peer), e.Caller, mux)
}

func (b *baseline) serveLookup(w http.ResponseWriter, r *http.Request) {
	inv := b.x.r.inv
	q := lookup.Question{Block: inventory.BlockID(r.URL.Query().Get("block")), Region: inventory.RegionID(r.URL.Query().Get("region"))}
	alive := func(id inventory.EntryID) bool {
		e, _ := inv.Entry(id)
		return !b.x.isLost(hostOf(e.Peer))
	}
	a := lookup.Answer{TTL: lookup.TTL.Seconds()}
	for _, e := range lookup.NewIndex(inv).Order(q, alive) {
		a.Entries = append(a.Entries, lookup.Entry{ID: e.ID, Address: e.Caller, Token: booking.Token{Entry: e.ID, Incarnation: 1}.String()})
	}
	_ = json.NewEncoder(w).Encode(a)
}

// serveRequest tries up to three endpoints, another one only after a refusal or
// for what may run again.
func (b *baseline) serveRequest(w http.ResponseWriter, r *http.Request, e inventory.Entry, client *http.Client) {
	n := &Node{config: b.config, settings: Settings{Domain: e.Domain}}
	q, err := n.readRequest(w, r)
	if err != nil {
		writeError(w, r, err)
		return
	}
	if b.oracle != nil {
		b.oracle.serve(r, e, client, q).write(w)
		return
	}
	last := notRun(ReasonNoPlace, time.Second)
	for range maxAttempts {
		p := b.pick(e, q.service.ID)
		last = send(r.Context(), client, "http://"+p.Address+q.path, q)
		shed := last.outcome == OutcomeRan && last.status == http.StatusServiceUnavailable
		if last.outcome == OutcomeRan && !shed || last.outcome == OutcomeUnknown && q.once {
			break
		}
	}
	last.write(w)
}

func (b *baseline) pick(from inventory.Entry, s inventory.ServiceID) inventory.Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	inv := b.x.r.inv
	var near, all []inventory.Endpoint
	for _, p := range inv.EndpointsOf(s) {
		if _, reported := b.reports[p.ID]; !reported {
			continue
		}
		all = append(all, p)
		if inv.RegionOf(p.Domain) == inv.RegionOf(from.Domain) {
			near = append(near, p)
		}
	}
	if len(near) == 0 {
		near = all
	}
	if len(near) == 0 {
		return inv.EndpointsOf(s)[0]
	}
	return b.choose(b, from, near)
}

// poll takes the reports of all targets at an interval. A lost target's report
// is missing from then on.
func (b *baseline) poll() {
	for b.x.r.t.Context().Err() == nil {
		b.mu.Lock()
		for _, e := range b.x.r.inv.Endpoints {
			if b.x.isLost(hostOf(e.Address)) {
				delete(b.reports, e.ID)
				continue
			}
			b.reports[e.ID] = b.x.r.targets[e.ID].Load()
		}
		b.mu.Unlock()
		sleep(b.x.r.t.Context(), reportInterval)
	}
}

// use is the reported load by slots.
func (b *baseline) use(p inventory.Endpoint) float64 {
	return float64(b.reports[p.ID]) / float64(p.Slots)
}

func chooseRandom(b *baseline, _ inventory.Entry, points []inventory.Endpoint) inventory.Endpoint {
	return points[b.random.IntN(len(points))]
}

func chooseLeast(b *baseline, _ inventory.Entry, points []inventory.Endpoint) inventory.Endpoint {
	best := points[0]
	for _, p := range points[1:] {
		if b.use(p) < b.use(best) {
			best = p
		}
	}
	return best
}

func chooseTwo(b *baseline, e inventory.Entry, points []inventory.Endpoint) inventory.Endpoint {
	p, q := chooseRandom(b, e, points), chooseRandom(b, e, points)
	if b.use(q) < b.use(p) {
		return q
	}
	return p
}

// oracle knows each endpoint's slots in use at once and everywhere, and hands
// out the nearest free slot, or the next one that is freed.
type oracle struct {
	x *experiment

	mu      sync.Mutex
	busy    map[inventory.EndpointID]int
	waiting map[inventory.ServiceID][]chan inventory.Endpoint
}

// withOracle is the system that all others are compared with.
func withOracle(x *experiment) {
	b := &baseline{x: x, config: x.r.anyConfig(), reports: map[inventory.EndpointID]int{}}
	b.oracle = &oracle{x: x, busy: map[inventory.EndpointID]int{}, waiting: map[inventory.ServiceID][]chan inventory.Endpoint{}}
	for _, e := range x.r.inv.Entries {
		b.serve(e)
	}
}

func (o *oracle) serve(r *http.Request, from inventory.Entry, client *http.Client, q *request) answer {
	p, ok := o.acquire(from, q)
	if !ok {
		return notRun(ReasonDeadline, time.Second)
	}
	defer o.release(p)
	return send(r.Context(), client, "http://"+p.Address+q.path, q)
}

func (o *oracle) acquire(from inventory.Entry, q *request) (inventory.Endpoint, bool) {
	o.mu.Lock()
	if p, ok := o.nearest(from, q.service.ID); ok {
		o.busy[p.ID]++
		o.mu.Unlock()
		return p, true
	}
	if len(o.waiting[q.service.ID]) >= o.slots(q.service.ID) {
		o.mu.Unlock()
		return inventory.Endpoint{}, false
	}
	ready := make(chan inventory.Endpoint, 1)
	o.waiting[q.service.ID] = append(o.waiting[q.service.ID], ready)
	o.mu.Unlock()
	select {
	case p := <-ready:
		return p, true
	case <-time.After(time.Until(q.deadline) - experimentWork - experimentSpread):
	}
	return o.giveUp(q.service.ID, ready)
}

// slots bounds the queue of a service, so that its wait is about one request.
func (o *oracle) slots(s inventory.ServiceID) int {
	sum := 0
	for _, p := range o.x.r.inv.EndpointsOf(s) {
		sum += p.Slots
	}
	return sum
}

// giveUp leaves the queue, unless a slot was handed out meanwhile.
func (o *oracle) giveUp(s inventory.ServiceID, ready chan inventory.Endpoint) (inventory.Endpoint, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.waiting[s] = slices.DeleteFunc(o.waiting[s], func(c chan inventory.Endpoint) bool { return c == ready })
	select {
	case p := <-ready:
		return p, true
	default:
		return inventory.Endpoint{}, false
	}
}

func (o *oracle) nearest(from inventory.Entry, s inventory.ServiceID) (inventory.Endpoint, bool) {
	var best inventory.Endpoint
	least := time.Duration(-1)
	for _, p := range o.x.r.inv.EndpointsOf(s) {
		if o.busy[p.ID] >= p.Slots || o.x.isLost(hostOf(p.Address)) {
			continue
		}
		if d := o.delay(from, p); least < 0 || d < least {
			best, least = p, d
		}
	}
	return best, least >= 0
}

func (o *oracle) delay(from inventory.Entry, p inventory.Endpoint) time.Duration {
	inv := o.x.r.inv
	a, b := inv.RegionOf(from.Domain), inv.RegionOf(p.Domain)
	if l, ok := inv.LinkBetween(a, b); ok && a != b {
		return l.Delay.Duration
	}
	if from.Domain != p.Domain {
		return inv.Rules.DomainDelay.Duration
	}
	return 0
}

func (o *oracle) release(p inventory.Endpoint) {
	o.mu.Lock()
	defer o.mu.Unlock()
	queue := o.waiting[p.Service]
	if len(queue) > 0 && !o.x.isLost(hostOf(p.Address)) {
		o.waiting[p.Service] = queue[1:]
		queue[0] <- p
		return
	}
	o.busy[p.ID]--
}
