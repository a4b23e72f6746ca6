package node

// The experiment: the same load and the same faults on whole nodes and on ways
// of steering that serve as baselines, in a bubble with the paused clock.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wasabiwheel/wasabiwheel/caller"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/region"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

// Load and work of the experiment.
const (
	experimentWork    = 60 * time.Millisecond // least time of a request
	experimentSpread  = 40 * time.Millisecond // mean of the exponential addition
	experimentWarm    = 4 * time.Second       // before measuring
	experimentFault   = 3 * time.Second       // after the start of measuring
	experimentBlocks  = 8                     // callers of each region
	experimentSample  = 20 * time.Millisecond
	experimentDelay   = 8 * time.Millisecond // one way between callers and entry VMs
	experimentBacklog = 8                    // requests that may wait at a target
	callerSubnet      = "10.1."              // followed by the region's number
)

// scenario is load and what goes wrong.
type scenario struct {
	load  float64 // of the capacity
	cold  int     // requests of each target on a cold cache
	loss  float64 // of segments between regions
	lie   int     // each how many-th target reports no load; 0: none
	fault func(x *experiment)
}

var scenarios = map[string]scenario{
	"steady":      {load: 0.6},
	"double load": {load: 2},
	"cold caches": {load: 0.6, cold: 20},
	"domain lost": {load: 0.5, fault: func(x *experiment) { x.lose(func(d inventory.DomainID) bool { return d == x.r.inv.Domains[0].ID }) }},
	"region lost": {load: 0.5, fault: func(x *experiment) {
		x.lose(func(d inventory.DomainID) bool { return x.r.inv.RegionOf(d) == x.r.inv.Regions[0].ID })
	}},
	"lossy link":         {load: 0.6, loss: 0.05},
	"misleading reports": {load: 0.6, lie: 3},
}

// measure is what one run showed. Latency is of answered requests, as the
// callers saw it.
type measure struct {
	P50, P99   time.Duration
	Sent, Good int     // requests; answered in time
	Rate       float64 // good per second
	Peak       float64 // most requests at an endpoint, by its slots
	Region     float64 // most requests in a region, by its slots
	Refused    int
	Other      int // unknown or broken
	Twice      int // once-only operations that ran more than once
}

// experiment is one run.
type experiment struct {
	r        *rig
	random   *rand.Rand
	scenario scenario
	duration time.Duration
	callers  map[inventory.RegionID][]*caller.Client
	lost     map[string]bool // addresses

	mu    sync.Mutex
	times *hdrhistogram.Histogram // microseconds
	m     measure
}

// system is a way of steering.
type system func(x *experiment)

// runExperiment runs one scenario on one system.
func runExperiment(t *testing.T, text []byte, s scenario, sys system, duration time.Duration, seed uint64) measure {
	t.Helper()
	var m measure
	synctest.Test(t, func(t *testing.T) {
		x := &experiment{
			random:   rand.New(rand.NewPCG(seed, seed)),
			scenario: s,
			duration: duration,
			callers:  map[inventory.RegionID][]*caller.Client{},
			lost:     map[string]bool{},
			times:    hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
		}
		x.r = newRigOn(t, text, x.network(t, text, seed))
		defer x.r.close()
		x.prepare()
		sys(x)
		x.run()
		m = x.result()
	})
	return m
}

// network gives each path the delay that the inventory declares.
func (x *experiment) network(t *testing.T, text []byte, seed uint64) *standin.Network {
	inv, err := inventory.Parse("experiment", text)
	if err != nil {
		t.Fatal(err)
	}
	places := map[string]inventory.DomainID{}
	for _, e := range inv.Entries {
		places[hostOf(e.Peer)] = e.Domain
	}
	for _, e := range inv.Endpoints {
		places[hostOf(e.Address)] = e.Domain
	}
	return standin.NewNetwork(seed, func(p standin.Path) standin.Quality { return x.quality(inv, places, p) })
}

func (x *experiment) quality(inv *inventory.Inventory, places map[string]inventory.DomainID, p standin.Path) standin.Quality {
	from, to := places[p.From], places[p.To]
	a, b := regionOfIP(inv, p.From, from), regionOfIP(inv, p.To, to)
	q := standin.Quality{}
	switch {
	case a == "" || b == "" || from != "" && from == to:
		q.Delay = 250 * time.Microsecond
	case a == b:
		q.Delay = inv.Rules.DomainDelay.Duration
	default:
		l, _ := inv.LinkBetween(a, b)
		q = standin.Quality{Delay: l.Delay.Duration, Jitter: l.Delay.Duration / 10, Loss: x.scenario.loss, Resend: 2*l.Delay.Duration + 10*time.Millisecond}
	}
	if strings.HasPrefix(p.From, callerSubnet) || strings.HasPrefix(p.To, callerSubnet) {
		q.Delay += experimentDelay
	}
	return q
}

// regionOfIP is the region of a VM, or of the callers that send from it.
func regionOfIP(inv *inventory.Inventory, ip string, d inventory.DomainID) inventory.RegionID {
	for i, r := range inv.Regions {
		if strings.HasPrefix(ip, fmt.Sprint(callerSubnet, i, ".")) {
			return r.ID
		}
	}
	return inv.RegionOf(d)
}

// prepare sets the targets' behaviour and makes the callers.
func (x *experiment) prepare() {
	for i, e := range x.r.inv.Endpoints {
		x.r.targets[e.ID].SetBehaviour(standin.Behaviour{
			Work: experimentWork, Spread: experimentSpread,
			Slots: e.Slots, Backlog: experimentBacklog,
			Cold: x.scenario.cold, Mislead: x.scenario.lie > 0 && i%x.scenario.lie == 0,
		})
	}
	for i, place := range x.r.inv.Regions {
		var nodes []string
		for _, e := range x.r.inv.Entries {
			nodes = append(nodes, e.Caller)
		}
		for k := range experimentBlocks {
			ip := fmt.Sprint(callerSubnet, i, ".", k+1)
			client := &http.Client{Transport: newTransport(x.r.network.VM(ip), 0)}
			block := inventory.BlockID(fmt.Sprint(place.ID, "-", k))
			c := caller.New(caller.Options{Nodes: nodes, Block: block, Region: place.ID, HTTP: client})
			x.callers[place.ID] = append(x.callers[place.ID], c)
			x.r.clients = append(x.r.clients, client)
		}
	}
}

// wholeNodes is the system itself.
func wholeNodes(x *experiment) {
	x.r.startAll()
	x.r.settle()
	time.Sleep(region.HoldTime) // until new processes may use their floors
}

// run sends open-loop load with exponential gaps, and the fault in between.
func (x *experiment) run() {
	gap := time.Duration(float64(time.Second) / x.rate())
	end := time.Now().Add(experimentWarm + x.duration)
	measured := time.Now().Add(experimentWarm)
	if x.scenario.fault != nil {
		time.AfterFunc(experimentWarm+experimentFault, func() { x.scenario.fault(x) })
	}
	done := make(chan struct{})
	go x.sample(done)
	var wait sync.WaitGroup
	for i := 0; time.Now().Before(end); i++ {
		time.Sleep(time.Duration(x.random.ExpFloat64() * float64(gap)))
		op, client := x.next(i)
		counted := time.Now().After(measured)
		wait.Go(func() { x.send(client, op, counted) })
	}
	wait.Wait()
	close(done)
}

// rate is the offered load in requests per second.
func (x *experiment) rate() float64 {
	slots := 0
	for _, e := range x.r.inv.Endpoints {
		slots += e.Slots
	}
	return x.scenario.load * float64(slots) / (experimentWork + experimentSpread).Seconds()
}

// next draws a request: service by its share of the slots, any region.
func (x *experiment) next(i int) (caller.Operation, *caller.Client) {
	endpoint := x.r.inv.Endpoints[x.random.IntN(len(x.r.inv.Endpoints))]
	home := x.r.inv.Regions[x.random.IntN(len(x.r.inv.Regions))].ID
	client := x.callers[home][x.random.IntN(experimentBlocks)]
	op := caller.Operation{Service: endpoint.Service, Method: http.MethodGet, Path: fmt.Sprint("/", i)}
	if endpoint.Service != x.r.inv.Services[0].ID {
		op.Method, op.Once = http.MethodPost, true
	}
	return op, client
}

func (x *experiment) send(client *caller.Client, op caller.Operation, counted bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	began := time.Now()
	r, err := client.Call(ctx, op)
	took := time.Since(began)
	x.mu.Lock()
	defer x.mu.Unlock()
	if !counted {
		return
	}
	x.m.Sent++
	switch {
	case err == nil && r.Outcome == OutcomeRan && r.Status == http.StatusOK:
		x.m.Good++
		_ = x.times.RecordValue(took.Microseconds())
	case err == nil && (r.Outcome == OutcomeNotRun || r.Status == http.StatusServiceUnavailable):
		x.m.Refused++
	default:
		x.m.Other++
	}
}

// sample notes the most that was under way at each endpoint and region.
func (x *experiment) sample(done chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(experimentSample):
			x.samplePeaks()
		}
	}
}

func (x *experiment) samplePeaks() {
	busy := map[inventory.RegionID]int{}
	slots := map[inventory.RegionID]int{}
	for _, e := range x.r.inv.Endpoints {
		place := x.r.inv.RegionOf(e.Domain)
		busy[place] += x.r.targets[e.ID].Busy()
		slots[place] += e.Slots
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for place, n := range busy {
		x.m.Region = max(x.m.Region, float64(n)/float64(slots[place]))
	}
}

func (x *experiment) result() measure {
	x.mu.Lock()
	defer x.mu.Unlock()
	m := x.m
	m.P50 = time.Duration(x.times.ValueAtQuantile(50)) * time.Microsecond
	m.P99 = time.Duration(x.times.ValueAtQuantile(99)) * time.Microsecond
	m.Rate = float64(m.Good) / x.duration.Seconds()
	for _, e := range x.r.inv.Endpoints {
		m.Peak = max(m.Peak, float64(x.r.targets[e.ID].Ledger().Peak)/float64(e.Slots))
	}
	m.Twice = x.ranTwice()
	return m
}

// ranTwice counts the once-only operations that ran more than once.
func (x *experiment) ranTwice() int {
	ran := map[string]int{}
	for _, t := range x.r.targets {
		for key, times := range t.Ledger().Keys {
			ran[key] += times
		}
	}
	twice := 0
	for _, times := range ran {
		if times > 1 {
			twice++
		}
	}
	return twice
}

// lose makes all VMs of some failure domains silent, as when a building loses
// power: nothing refuses, nothing answers.
func (x *experiment) lose(lost func(inventory.DomainID) bool) {
	var gone []string
	for _, e := range x.r.inv.Entries {
		if lost(e.Domain) {
			gone = append(gone, hostOf(e.Peer))
		}
	}
	for _, e := range x.r.inv.Endpoints {
		if lost(e.Domain) {
			gone = append(gone, hostOf(e.Address))
		}
	}
	x.mu.Lock()
	for _, ip := range gone {
		x.lost[ip] = true
	}
	x.mu.Unlock()
	for _, ip := range gone {
		x.r.network.Isolate(ip)
	}
}

func (x *experiment) isLost(ip string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.lost[ip]
}
