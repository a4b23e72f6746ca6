package experiment

// Load that does not wait for answers, faults, and what is seen of both.

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

// sender is a caller as the load uses it.
type sender interface {
	Call(ctx context.Context, op caller.Operation) (caller.Reply, error)
}

// setTargets gives the targets their behaviour.
func (r *run) setTargets() {
	for i, e := range r.inv.Endpoints {
		r.targets[e.ID].SetBehaviour(standin.Behaviour{
			Work:    work,
			Spread:  spread,
			Slots:   e.Slots,
			Backlog: backlog,
			Cold:    r.scenario.cold,
			Mislead: r.scenario.lie > 0 && i%r.scenario.lie == 0,
		})
	}
}

// makeCallers makes the callers of each region, each on a VM of its own.
func (r *run) makeCallers() {
	var nodes []string
	for _, e := range r.inv.Entries {
		nodes = append(nodes, e.Caller)
	}
	for i, home := range r.inv.Regions {
		for k := range blocks {
			c := caller.New(caller.Options{
				Nodes:  nodes,
				Block:  inventory.BlockID(fmt.Sprint(home.ID, "-", k)),
				Region: home.ID,
				HTTP:   r.client(fmt.Sprint(callerSubnet, i, ".", k+1)),
			})
			r.callers[home.ID] = append(r.callers[home.ID], c)
		}
	}
}

// load sends requests with exponential gaps, with the fault in between.
func (r *run) load(ctx context.Context) {
	gap := float64(time.Second) / r.rate()
	measured := time.Now().Add(warm)
	end := measured.Add(r.duration)
	if r.scenario.fault != nil {
		fault := time.AfterFunc(warm+faultAfter, func() { r.scenario.fault(r) })
		defer fault.Stop()
	}
	sampling, done := context.WithCancel(ctx)
	go r.sample(sampling)
	var wait sync.WaitGroup
	for i := 0; time.Now().Before(end) && ctx.Err() == nil; i++ {
		pause(ctx, time.Duration(r.random.ExpFloat64()*gap))
		op, from := r.next(i)
		counted := time.Now().After(measured)
		wait.Go(func() { r.send(from, op, counted) })
	}
	wait.Wait()
	done()
}

// rate is the offered load in requests per second.
func (r *run) rate() float64 {
	slots := 0
	for _, e := range r.inv.Endpoints {
		slots += e.Slots
	}
	return r.scenario.load * float64(slots) / (work + spread).Seconds()
}

// next draws a request: a service by its endpoints, and any region.
func (r *run) next(i int) (caller.Operation, sender) {
	service := r.inv.Endpoints[r.random.IntN(len(r.inv.Endpoints))].Service
	home := r.inv.Regions[r.random.IntN(len(r.inv.Regions))].ID
	op := caller.Operation{Service: service, Method: http.MethodGet, Path: fmt.Sprint("/", i)}
	if service != r.inv.Services[0].ID {
		op.Method, op.Once = http.MethodPost, true
	}
	return op, r.callers[home][r.random.IntN(blocks)]
}

func (r *run) send(from sender, op caller.Operation, counted bool) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	began := time.Now()
	reply, err := from.Call(ctx, op)
	took := time.Since(began)
	if !counted {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.m.Sent++
	switch {
	case err == nil && reply.Outcome == caller.OutcomeRan && reply.Status == http.StatusOK:
		r.m.Good++
		_ = r.times.RecordValue(took.Microseconds())
	case err == nil && (reply.Outcome == caller.OutcomeNotRun || reply.Status == http.StatusServiceUnavailable):
		r.m.Refused++
		r.m.Reasons[string(reply.Reason)]++
	default:
		r.m.Other++
		r.m.Reasons[string(reply.Outcome)+" "+string(reply.Reason)]++
	}
}

// sample notes the most that was under way in each region.
func (r *run) sample(ctx context.Context) {
	for ctx.Err() == nil {
		r.sampleRegions()
		pause(ctx, sampleEvery)
	}
}

func (r *run) sampleRegions() {
	busy := map[inventory.RegionID]int{}
	slots := map[inventory.RegionID]int{}
	for _, e := range r.inv.Endpoints {
		place := r.inv.RegionOf(e.Domain)
		busy[place] += r.targets[e.ID].Busy()
		slots[place] += e.Slots
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for place, n := range busy {
		r.m.Region = max(r.m.Region, float64(n)/float64(slots[place]))
	}
}

func loseDomain(r *run) {
	r.lose(func(d inventory.DomainID) bool { return d == r.inv.Domains[0].ID })
}

func loseRegion(r *run) {
	r.lose(func(d inventory.DomainID) bool { return r.inv.RegionOf(d) == r.inv.Regions[0].ID })
}

// lose makes all VMs of some failure domains silent, as when a building loses
// power: nothing refuses, nothing answers.
func (r *run) lose(isLost func(inventory.DomainID) bool) {
	for ip, d := range placesOf(r.inv) {
		if isLost(d) {
			r.loseVM(ip)
		}
	}
}

func (r *run) loseVM(ip string) {
	r.mu.Lock()
	r.lost[ip] = true
	r.mu.Unlock()
	r.network.Isolate(ip)
}

func (r *run) isLost(ip string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lost[ip]
}
