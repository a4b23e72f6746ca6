// Package experiment compares traffic steering systems: complete nodes, simple
// baselines, and an oracle with global knowledge. All run with the same load, the
// same in-memory network and the same faults.
//
// Targets serve an object faster if they have served it recently, as the users'
// targets do, so the choice of the endpoint determines the service time.
//
// It uses the clock of package time, so it runs in real time from a command, and on
// the fake clock of a synctest bubble in tests. Everything that Run starts has stopped
// when it returns.
//
// # Usage
//
//	m, err := experiment.Run(ctx, experiment.Options{
//		Inventory: examples.Lumbre,
//		Scenario:  "domain lost",
//		System:    "wasabiwheel",
//		Duration:  10 * time.Second,
//		Seed:      1,
//	})
//	fmt.Println(m.P99, m.InObjective)
package experiment

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

// Load, service times and limits of a run.
const (
	serviceTime      = 200 * time.Millisecond // time to serve a request whose object is not warm
	warmSaving       = 0.7                    // share of serviceTime that a warm object saves
	warmObjects      = 30                     // objects that a target keeps warm
	objectsPerRoute  = 40
	warmup           = 10 * time.Second // time before measuring
	faultAfter       = 3 * time.Second  // time from the start of measuring to the fault
	callersPerDomain = 8
	sampleInterval   = 20 * time.Millisecond
	callerDelay      = 8 * time.Millisecond // one-way delay between callers and entry VMs
	queueLength      = 9                    // maximum number of requests that wait at a target
	callerTimeout    = 4 * time.Second      // of a caller's request; also for connecting, request headers and idle connections
	generousLimit    = 100                  // idle connections per host; store calls per second and endpoint
)

// Scenario names a load and the faults during it.
type Scenario string

// System names a traffic steering system.
type System string

// scenario is a load and the faults during it.
type scenario struct {
	load         float64      // share of the capacity with all objects warm
	loss         float64      // share of lost segments between regions
	misleadEvery int          // every n-th target reports no load; 0: none
	slowEvery    int          // every n-th target is slower by slowFactor; 0: none
	fault        func(r *run) // injected after faultAfter; nil: none
}

// Scenarios lists the scenarios in the order of the table.
var Scenarios = []Scenario{"steady", "high load", "double load", "slow targets", "domain lost", "region lost", "lossy link", "misleading reports"}

var scenarios = map[Scenario]scenario{
	"steady":             {load: 0.4},
	"high load":          {load: 0.8},
	"double load":        {load: 2},
	"slow targets":       {load: 0.4, slowEvery: 5},
	"domain lost":        {load: 0.4, fault: isolateFirstDomain},
	"region lost":        {load: 0.4, fault: isolateFirstRegion},
	"lossy link":         {load: 0.4, loss: 0.05},
	"misleading reports": {load: 0.4, misleadEvery: 3},
}

// Systems lists the systems in the order of the table.
var Systems = []System{"oracle", "wasabiwheel", "hashing", "two choices", "least load", "random"}

var systems = map[System]func(ctx context.Context, r *run) error{
	"wasabiwheel": startNodes,
	"random":      startBaseline(pickRandom),
	"least load":  startBaseline(pickLeastLoaded),
	"two choices": startBaseline(pickBetterOfTwo),
	"hashing":     startBaseline(pickHashed),
	"oracle":      startOracle,
}

// Options configures a run.
type Options struct {
	Inventory []byte // TOML
	Scenario  Scenario
	System    System
	Duration  time.Duration // measured time
	Seed      uint64
}

// Measurement is the result of one run. Latencies are those of successful requests, as
// seen by the callers.
type Measurement struct {
	P50          time.Duration  `json:"p50"` // nanoseconds
	P99          time.Duration  `json:"p99"`
	Sent         int            `json:"sent"`
	Good         int            `json:"good"`    // requests answered with status 200
	InObjective  float64        `json:"aim"`     // share of the sent requests answered within the route's objective
	Goodput      float64        `json:"rate"`    // good requests per second
	PeakEndpoint float64        `json:"peak"`    // maximum of running and waiting requests at an endpoint, divided by its slots
	PeakRegion   float64        `json:"region"`  // maximum of requests in a region, divided by its slots
	Shed         int            `json:"shed"`    // requests that endpoints rejected
	Refused      int            `json:"refused"` // requests that were rejected, as seen by callers
	Other        int            `json:"other"`   // requests with an unknown outcome or an error
	Duplicates   int            `json:"twice"`   // non-idempotent requests that ran more than once
	Reasons      map[string]int `json:"reasons"` // counts by the reason of rejections and of other outcomes
}

// run holds the deployment, the load and the measurements of one run.
type run struct {
	*deployment
	scenario scenario
	duration time.Duration
	random   *rand.Rand
	callers  []callerClient

	mu            sync.Mutex
	isolated      map[string]bool         // isolated VMs, by IP address
	latencies     *hdrhistogram.Histogram // microseconds
	inObjective   int                     // requests answered within the objective
	shedInWarmup  int                     // requests that endpoints rejected before measuring
	nonIdempotent []string                // ids of non-idempotent requests
	measurement   Measurement
}

// Run runs one scenario on one system. It fails with KindSetup or KindReady.
func Run(ctx context.Context, o Options) (Measurement, error) {
	s, scenarioKnown := scenarios[o.Scenario]
	start, systemKnown := systems[o.System]
	if !scenarioKnown || !systemKnown {
		return Measurement{}, &Error{Op: "run", Kind: KindSetup, Err: errors.Newf("unknown scenario %q or unknown system %q", o.Scenario, o.System)}
	}
	r := &run{
		scenario:    s,
		duration:    o.Duration,
		random:      rand.New(rand.NewPCG(o.Seed, o.Seed)),
		isolated:    map[string]bool{},
		latencies:   hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
		measurement: Measurement{Reasons: map[string]int{}},
	}
	var err error
	if r.deployment, err = newDeployment(ctx, o.Inventory, o.Seed, s.loss); err != nil {
		return Measurement{}, err
	}
	defer r.close()
	r.configureTargets()
	r.makeCallers()
	if err := start(ctx, r); err != nil {
		return Measurement{}, err
	}
	r.sendLoad(ctx)
	return r.result(), nil
}

func (r *run) result() Measurement {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.measurement
	m.P50 = time.Duration(r.latencies.ValueAtQuantile(50)) * time.Microsecond
	m.P99 = time.Duration(r.latencies.ValueAtQuantile(99)) * time.Microsecond
	m.Goodput = float64(m.Good) / r.duration.Seconds()
	m.InObjective = float64(r.inObjective) / float64(max(1, m.Sent))
	m.Shed = r.shed() - r.shedInWarmup
	ran := map[string]int{}
	for _, e := range r.inv.Endpoints {
		stats := r.targets[e.ID].Stats()
		m.PeakEndpoint = max(m.PeakEndpoint, float64(stats.Peak)/float64(e.Slots))
		for id, times := range stats.Runs {
			ran[id] += times
		}
	}
	for _, id := range r.nonIdempotent {
		if ran[id] > 1 {
			m.Duplicates++
		}
	}
	return m
}
