package experiment

// Open-loop load, faults, and their measurement.

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/wasabiwheel/wasabiwheel/caller"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

// slowFactor is the service time of a slow target as a multiple of the normal one.
const slowFactor = 4

// callerClient is the part of caller.Client that the load uses.
type callerClient interface {
	Call(ctx context.Context, op caller.Operation) (caller.Reply, error)
}

// configureTargets sets the behaviour of the targets.
func (r *run) configureTargets() {
	for i, e := range r.inv.Endpoints {
		b := standin.Behaviour{
			Work:         serviceTime,
			Slots:        e.Slots,
			Backlog:      queueLength,
			WarmObjects:  warmObjects,
			WarmGain:     warmSaving,
			ReportNoLoad: r.scenario.misleadEvery > 0 && i%r.scenario.misleadEvery == 0,
		}
		if r.scenario.slowEvery > 0 && i%r.scenario.slowEvery == 0 {
			b.SlowFactor = slowFactor
		}
		r.targets[e.ID].SetBehaviour(b)
	}
}

// makeCallers creates the callers of each failure domain, each on a separate VM.
func (r *run) makeCallers() {
	for i, d := range r.inv.Domains {
		for k := range callersPerDomain {
			r.callers = append(r.callers, caller.New(caller.Options{
				Nodes:  r.lookups(d.ID),
				Region: d.Region,
				Domain: d.ID,
				HTTP:   r.newClient(fmt.Sprint(callerSubnet, i, ".", k+1)),
			}))
		}
	}
}

// lookups returns the lookup addresses of all entry VMs, those in failure domain d
// first.
func (r *run) lookups(d inventory.DomainID) []string {
	var local, remote []string
	for _, e := range r.inv.Entries {
		if e.Domain == d {
			local = append(local, e.Lookup)
			continue
		}
		remote = append(remote, e.Lookup)
	}
	return append(local, remote...)
}

// sendLoad sends requests at exponentially distributed intervals, without waiting for
// responses, and injects the fault.
func (r *run) sendLoad(ctx context.Context) {
	meanInterval := float64(time.Second) / r.offeredRate()
	measureStart := time.Now().Add(warmup)
	end := measureStart.Add(r.duration)
	if r.scenario.fault != nil {
		fault := time.AfterFunc(warmup+faultAfter, func() { r.scenario.fault(r) })
		defer fault.Stop()
	}
	startTimer := time.AfterFunc(warmup, r.startMeasuring)
	defer startTimer.Stop()
	sampling, stopSampling := context.WithCancel(ctx)
	go r.sampleLoad(sampling)
	var requests sync.WaitGroup
	for i := 0; time.Now().Before(end) && ctx.Err() == nil; i++ {
		pause(ctx, time.Duration(r.random.ExpFloat64()*meanInterval))
		route, op := r.nextOperation(i)
		from := r.callers[r.random.IntN(len(r.callers))]
		counted := time.Now().After(measureStart)
		requests.Go(func() { r.send(from, route, op, counted) })
	}
	requests.Wait()
	stopSampling()
}

// startMeasuring excludes the requests that endpoints rejected during the warm-up,
// while all of them were cold.
func (r *run) startMeasuring() {
	shed := r.shed()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shedInWarmup = shed
}

// shed returns the number of requests that endpoints have rejected.
func (r *run) shed() int {
	sum := 0
	for _, t := range r.targets {
		sum += t.Stats().Shed
	}
	return sum
}

// offeredRate returns the offered load in requests per second.
func (r *run) offeredRate() float64 {
	slots := 0
	for _, e := range r.inv.Endpoints {
		slots += e.Slots
	}
	return r.scenario.load * float64(slots) / (serviceTime.Seconds() * (1 - warmSaving))
}

// nextOperation returns a random request: a route weighted by the number of
// endpoints of its service, and a uniformly distributed object.
func (r *run) nextOperation(i int) (inventory.Route, caller.Operation) {
	route := r.inv.Routes[r.random.IntN(len(r.inv.Routes))]
	for drawn := r.inv.Endpoints[r.random.IntN(len(r.inv.Endpoints))].Service; route.TrafficSplit[0].Service != drawn; {
		route = r.inv.Routes[r.random.IntN(len(r.inv.Routes))]
	}
	op := caller.Operation{
		Method:     http.MethodGet,
		Path:       fmt.Sprint(route.Prefix, i),
		Object:     fmt.Sprint(r.random.IntN(objectsPerRoute)),
		Idempotent: route.Idempotent,
	}
	if !route.Idempotent {
		op.Method = http.MethodPost
	}
	return route, op
}

func (r *run) send(from callerClient, route inventory.Route, op caller.Operation, counted bool) {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	start := time.Now()
	reply, err := from.Call(ctx, op)
	latency := time.Since(start)
	if !counted {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.measurement.Sent++
	if !route.Idempotent && reply.RequestID != "" {
		r.nonIdempotent = append(r.nonIdempotent, reply.RequestID)
	}
	switch {
	case err == nil && reply.Outcome == caller.OutcomeRan && reply.Status == http.StatusOK:
		r.measurement.Good++
		_ = r.latencies.RecordValue(latency.Microseconds())
		if latency <= route.Objective.Duration {
			r.inObjective++
		}
	case err == nil && (reply.Outcome == caller.OutcomeNotRun || reply.Status == http.StatusServiceUnavailable):
		r.measurement.Refused++
		r.measurement.Reasons[string(reply.Reason)]++
	default:
		r.measurement.Other++
		r.measurement.Reasons[string(reply.Outcome)+" "+string(reply.Reason)]++
	}
}

// sampleLoad records the maximum load of any region at an interval.
func (r *run) sampleLoad(ctx context.Context) {
	for ctx.Err() == nil {
		r.sampleRegions()
		pause(ctx, sampleInterval)
	}
}

func (r *run) sampleRegions() {
	busy := map[inventory.RegionID]int{}
	slots := map[inventory.RegionID]int{}
	for _, e := range r.inv.Endpoints {
		region := r.inv.RegionOf(e.Domain)
		busy[region] += r.targets[e.ID].Busy()
		slots[region] += e.Slots
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for region, n := range busy {
		r.measurement.PeakRegion = max(r.measurement.PeakRegion, float64(n)/float64(slots[region]))
	}
}

func isolateFirstDomain(r *run) {
	r.isolateDomains(func(d inventory.DomainID) bool { return d == r.inv.Domains[0].ID })
}

func isolateFirstRegion(r *run) {
	r.isolateDomains(func(d inventory.DomainID) bool { return r.inv.RegionOf(d) == r.inv.Regions[0].ID })
}

// isolateDomains isolates all VMs of some failure domains, as in a power failure:
// connections are neither refused nor answered.
func (r *run) isolateDomains(matches func(inventory.DomainID) bool) {
	for ip, d := range domainsByIP(r.inv) {
		if matches(d) {
			r.isolate(ip)
		}
	}
}

func (r *run) isolate(ip string) {
	r.mu.Lock()
	r.isolated[ip] = true
	r.mu.Unlock()
	r.network.Isolate(ip)
}

func (r *run) isIsolated(ip string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isolated[ip]
}
