package main

// The try command, which runs an example deployment end to end in one process:
// stand-ins for the platform and the targets, all nodes of the Lumbre example,
// and callers.

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/wasabiwheel/wasabiwheel/caller"
	"github.com/wasabiwheel/wasabiwheel/configuration"
	"github.com/wasabiwheel/wasabiwheel/examples"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/node"
	"github.com/wasabiwheel/wasabiwheel/platform"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

const (
	tryReadyTimeout = 30 * time.Second // until all nodes have all endpoints
	tryPollInterval = 100 * time.Millisecond
	tryServiceTime  = 10 * time.Millisecond
	tryMaxLatency   = 10_000_000 // microseconds, upper bound of the histogram
	tryObjects      = 20         // distinct objects requested
)

// tryKeys are keys of the organisations of the example, of which each caller uses one.
var tryKeys = []string{"example-key-branches-1", "example-key-branches-2"}

// tryInventory returns the Lumbre example with its organisations and with addresses in this
// run's subnet.
func tryInventory() []byte {
	return bytes.ReplaceAll(slices.Concat(examples.Lumbre, examples.Organisations), []byte("127.20."), []byte(trySubnet()))
}

type tryCommand struct {
	Callers  int `long:"desks" default:"12" description:"number of callers"`
	Requests int `long:"requests" default:"50" description:"requests sent by each caller; every fifth is a reservation"`
}

// trial is one end-to-end run.
type trial struct {
	inv     *inventory.Inventory
	targets map[inventory.EndpointID]*standin.Target

	mu           sync.Mutex
	latencies    *hdrhistogram.Histogram // microseconds
	outcomes     map[string]int
	served       map[string]int
	reservations []string // ids of the reservations that were served
}

// Execute runs the trial. It fails unless all requests were served and each
// reservation ran once.
func (c *tryCommand) Execute([]string) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	t, err := newTrial(ctx)
	if err != nil {
		return err
	}
	if err := t.awaitReady(ctx); err != nil {
		return err
	}
	t.runCallers(c.Callers, c.Requests)
	return t.report(c.Callers * c.Requests)
}

func newTrial(ctx context.Context) (*trial, error) {
	inv, err := inventory.Parse("lumbre.toml", tryInventory())
	if err != nil {
		return nil, err
	}
	if err := serveStandin(ctx, tryPlatform(), standin.NewPlatform()); err != nil {
		return nil, err
	}
	targets, err := serveTargets(ctx, inv, tryPlatform(), standin.Behaviour{Work: tryServiceTime})
	if err != nil {
		return nil, err
	}
	manager := configuration.New(platform.New(platform.Options{Address: tryPlatform()}))
	if _, err := manager.Publish(ctx, configuration.Change{Text: tryInventory(), Author: "try"}); err != nil {
		return nil, err
	}
	for _, e := range inv.Entries {
		n := node.New(node.SettingsOf(inv, e, tryPlatform()), node.Options{})
		go func() { _ = n.Run(ctx) }()
	}
	return &trial{
		inv:       inv,
		targets:   targets,
		latencies: hdrhistogram.New(1, tryMaxLatency, 3),
		outcomes:  map[string]int{},
		served:    map[string]int{},
	}, nil
}

// awaitReady waits until all nodes serve and have all endpoints. It fails after
// tryReadyTimeout.
func (t *trial) awaitReady(ctx context.Context) error {
	fmt.Fprintf(output, "%d nodes, %d endpoints; waiting until all nodes have all endpoints\n", len(t.inv.Entries), len(t.inv.Endpoints))
	deadline := time.Now().Add(tryReadyTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if t.readyCount() == len(t.inv.Entries) {
			return nil
		}
		time.Sleep(tryPollInterval)
	}
	return &Error{Op: "try", Kind: KindFailed, Err: errors.Newf("%d of %d nodes ready after %s", t.readyCount(), len(t.inv.Entries), tryReadyTimeout)}
}

func (t *trial) readyCount() int {
	count := 0
	for _, e := range t.inv.Entries {
		s, err := node.FetchStatus(e.Admin, queryTimeout)
		if err == nil && s.Serves(len(t.inv.Endpoints)) {
			count++
		}
	}
	return count
}

func (t *trial) runCallers(callers, requests int) {
	var wg sync.WaitGroup
	for i := range callers {
		domain := t.inv.Domains[i%len(t.inv.Domains)]
		wg.Go(func() { t.runCaller(i, domain, requests) })
	}
	wg.Wait()
}

// reservationEvery makes one request in five a reservation, which must run once.
const reservationEvery = 5

func (t *trial) runCaller(index int, domain inventory.Domain, requests int) {
	client := caller.New(caller.Options{Nodes: []string{t.inv.Entries[0].Lookup}, Region: domain.Region, Domain: domain.ID, Key: tryKeys[index%len(tryKeys)]})
	for i := range requests {
		op := caller.Operation{Method: http.MethodGet, Path: "/serve/catalogue/", Idempotent: true}
		if i%reservationEvery == 0 {
			op = caller.Operation{Method: http.MethodPost, Path: "/serve/reservations/"}
		}
		op.Object = strconv.Itoa(i % tryObjects)
		op.Body = []byte(fmt.Sprintf("%d-%d", index, i))
		op.Path += "lamps/" + op.Object
		t.request(client, op)
	}
}

func (t *trial) request(client *caller.Client, op caller.Operation) {
	start := time.Now()
	r, err := client.Call(context.Background(), op)
	took := time.Since(start)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case err != nil:
		t.outcomes[err.Error()]++
	case r.Outcome != caller.OutcomeRan:
		t.outcomes[string(r.Outcome)+" ("+string(r.Reason)+")"]++
	default:
		t.recordReply(r, op, took)
	}
}

// recordReply counts a reply after checking that it belongs to the request. The
// caller holds the lock.
func (t *trial) recordReply(r caller.Reply, op caller.Operation, took time.Duration) {
	var echo standin.Echo
	if json.Unmarshal(r.Body, &echo) != nil || echo.Body != string(op.Body) || echo.Request != r.RequestID {
		t.outcomes["wrong response"]++
		return
	}
	t.outcomes["served"]++
	t.served[echo.Target]++
	_ = t.latencies.RecordValue(took.Microseconds())
	if !op.Idempotent {
		t.reservations = append(t.reservations, r.RequestID)
	}
}

// report prints the results. It fails unless all requests were served and each
// reservation ran once.
func (t *trial) report(want int) error {
	for _, e := range t.inv.Endpoints {
		stats := t.targets[e.ID].Stats()
		fmt.Fprintf(output, "%-16s %-9s served %4d, at most %d concurrent in %d slots\n", e.ID, e.Domain, t.served[string(e.ID)], stats.Peak, e.Slots)
	}
	for _, o := range sortedKeys(t.outcomes) {
		fmt.Fprintf(output, "%s: %d\n", o, t.outcomes[o])
	}
	fmt.Fprintf(output, "latency: p50 %.1f ms, p99 %.1f ms, max %.1f ms\n",
		float64(t.latencies.ValueAtQuantile(50))/1000, float64(t.latencies.ValueAtQuantile(99))/1000, float64(t.latencies.Max())/1000)
	if err := t.checkReservations(); err != nil {
		return err
	}
	if t.outcomes["served"] != want {
		return &Error{Op: "try", Kind: KindFailed, Err: errors.Newf("%d of %d requests served", t.outcomes["served"], want)}
	}
	return nil
}

func (t *trial) checkReservations() error {
	ran := map[string]int{}
	for _, target := range t.targets {
		for id, times := range target.Stats().Runs {
			ran[id] += times
		}
	}
	for _, id := range t.reservations {
		if ran[id] != 1 {
			return &Error{Op: "try", Kind: KindFailed, Err: errors.Newf("reservation %s ran %d times", id, ran[id])}
		}
	}
	fmt.Fprintf(output, "%d reservations, each ran once\n", len(t.reservations))
	return nil
}
