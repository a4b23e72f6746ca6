package main

// The command that runs the whole path in one process: stand-ins of the
// platform and of the targets, all nodes of the Lumbre example, and callers.

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
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
	tryReady   = 15 * time.Second // for the nodes to own their endpoints
	tryPoll    = 100 * time.Millisecond
	tryWork    = 10 * time.Millisecond
	tryMaxTime = 10_000_000 // microseconds, of the histogram
)

// trySubnet begins all addresses of this run, so that several runs can go on at
// the same time on one machine.
var trySubnet = fmt.Sprintf("127.%d.", 30+os.Getpid()%200)

var tryPlatform = trySubnet + "0.1:9000"

// tryKey is known to the nodes of this run.
var tryKey = rand.Text()

// tryInventory is the Lumbre example on the addresses of this run.
func tryInventory() []byte {
	return bytes.ReplaceAll(examples.Lumbre, []byte("127.20."), []byte(trySubnet))
}

type tryCommand struct {
	Desks    int `long:"desks" default:"12" description:"callers"`
	Requests int `long:"requests" default:"50" description:"requests of each caller; each fifth is a reservation"`
}

// trial is one run of the whole path.
type trial struct {
	inv     *inventory.Inventory
	targets map[inventory.EndpointID]*standin.Target

	mu       sync.Mutex
	times    *hdrhistogram.Histogram // microseconds
	outcomes map[string]int
	served   map[string]int
	keys     map[string]bool // of reservations that were answered
}

// Execute runs the trial and fails unless everything was served, once.
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
	t.runDesks(c.Desks, c.Requests)
	return t.report(c.Desks * c.Requests)
}

func newTrial(ctx context.Context) (*trial, error) {
	inv, err := inventory.Parse("lumbre.toml", tryInventory())
	if err != nil {
		return nil, err
	}
	t := &trial{
		inv:      inv,
		targets:  map[inventory.EndpointID]*standin.Target{},
		times:    hdrhistogram.New(1, tryMaxTime, 3),
		outcomes: map[string]int{},
		served:   map[string]int{},
		keys:     map[string]bool{},
	}
	if err := serveStandin(ctx, tryPlatform, standin.NewPlatform()); err != nil {
		return nil, err
	}
	if err := t.startTargets(ctx); err != nil {
		return nil, err
	}
	store := platform.New(platform.Options{Base: "http://" + tryPlatform})
	if _, err := configuration.Publish(ctx, store, configuration.Change{Text: tryInventory(), Author: "try"}); err != nil {
		return nil, err
	}
	t.startNodes(ctx)
	return t, nil
}

func (t *trial) startTargets(ctx context.Context) error {
	for _, e := range t.inv.Endpoints {
		target := standin.NewTarget(string(e.ID), standin.Behaviour{Work: tryWork})
		t.targets[e.ID] = target
		if err := serveStandin(ctx, e.Address, target); err != nil {
			return err
		}
	}
	return nil
}

func (t *trial) startNodes(ctx context.Context) {
	for _, e := range t.inv.Entries {
		s := node.Settings{ID: e.ID, Domain: e.Domain, Caller: e.Caller, Peer: e.Peer, Admin: e.Admin, Platform: "http://" + tryPlatform, Keys: []string{tryKey}}
		go func() { _ = node.New(s, node.Options{}).Run(ctx) }()
	}
}

// awaitReady waits until each endpoint is owned and usable.
func (t *trial) awaitReady(ctx context.Context) error {
	fmt.Fprintf(output, "%d nodes, %d endpoints; waiting until each endpoint has an owner\n", len(t.inv.Entries), len(t.inv.Endpoints))
	want := 0
	for _, e := range t.inv.Endpoints {
		want += e.Slots
	}
	limit := time.Now().Add(tryReady)
	for time.Now().Before(limit) && ctx.Err() == nil {
		if t.slots() == want {
			return nil
		}
		time.Sleep(tryPoll)
	}
	return &Error{Op: "try", Kind: KindFailed, Err: errors.Newf("%d of %d slots owned after %s", t.slots(), want, tryReady)}
}

// slots is the number of slots with an owner that every node knows of.
func (t *trial) slots() int {
	least := -1
	for _, e := range t.inv.Entries {
		s, err := getStatus(e.Admin, tryKey)
		if err != nil {
			return 0
		}
		if n := reachOf(s); least < 0 || n < least {
			least = n
		}
	}
	return least
}

// reachOf is the number of slots that a node knows of.
func reachOf(s node.Status) int {
	sum := 0
	for _, l := range s.Reach {
		sum += l.Slots
	}
	return sum
}

func (t *trial) runDesks(desks, requests int) {
	var wait sync.WaitGroup
	for i := range desks {
		block := t.inv.Blocks[i%len(t.inv.Blocks)].ID
		wait.Go(func() { t.runDesk(block, requests) })
	}
	wait.Wait()
}

// reservationEvery is the share of once-only requests: one in five.
const reservationEvery = 5

func (t *trial) runDesk(block inventory.BlockID, requests int) {
	desk := caller.New(caller.Options{Nodes: []string{t.inv.Entries[0].Caller}, Block: block})
	for i := range requests {
		op := caller.Operation{Service: "catalogue", Method: http.MethodGet}
		if i%reservationEvery == 0 {
			op = caller.Operation{Service: "reservations", Method: http.MethodPost, Once: true}
		}
		op.Body = []byte(fmt.Sprintf("%s-%d", block, i))
		op.Path = "/lamps/" + string(op.Body)
		t.request(desk, op)
	}
}

func (t *trial) request(desk *caller.Client, op caller.Operation) {
	began := time.Now()
	r, err := desk.Call(context.Background(), op)
	took := time.Since(began)
	switch {
	case err != nil:
		t.note(err.Error(), "", "", took)
	case r.Outcome != node.OutcomeRan:
		t.note(string(r.Outcome)+" ("+string(r.Reason)+")", "", "", took)
	default:
		t.noteAnswer(r, string(op.Body), took)
	}
}

// noteAnswer checks that a desk got the answer to its own request.
func (t *trial) noteAnswer(r caller.Reply, body string, took time.Duration) {
	var echo standin.Echo
	if json.Unmarshal(r.Body, &echo) != nil || echo.Body != body {
		t.note("wrong answer", "", "", took)
		return
	}
	t.note("served", echo.Target, r.Key, took)
}

func (t *trial) note(outcome, target, key string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes[outcome]++
	if target != "" {
		t.served[target]++
		_ = t.times.RecordValue(took.Microseconds())
	}
	if key != "" {
		t.keys[key] = true
	}
}

// report prints what happened and fails unless all requests were served and
// each reservation ran once.
func (t *trial) report(want int) error {
	for _, e := range t.inv.Endpoints {
		l := t.targets[e.ID].Ledger()
		fmt.Fprintf(output, "%-16s %-9s served %4d, at most %d of %d slots in use\n", e.ID, e.Domain, t.served[string(e.ID)], l.Peak, e.Slots)
		if l.Peak > e.Slots {
			return &Error{Op: "try", Kind: KindFailed, Err: errors.Newf("%s had %d requests in %d slots", e.ID, l.Peak, e.Slots)}
		}
	}
	for _, o := range sortedKeys(t.outcomes) {
		fmt.Fprintf(output, "%s: %d\n", o, t.outcomes[o])
	}
	fmt.Fprintf(output, "latency: p50 %.1f ms, p99 %.1f ms, max %.1f ms\n",
		float64(t.times.ValueAtQuantile(50))/1000, float64(t.times.ValueAtQuantile(99))/1000, float64(t.times.Max())/1000)
	if err := t.checkOnce(); err != nil {
		return err
	}
	if t.outcomes["served"] != want {
		return &Error{Op: "try", Kind: KindFailed, Err: errors.Newf("%d of %d requests were served", t.outcomes["served"], want)}
	}
	return nil
}

func (t *trial) checkOnce() error {
	ran := map[string]int{}
	for _, target := range t.targets {
		for key, times := range target.Ledger().Keys {
			ran[key] += times
		}
	}
	for key := range t.keys {
		if ran[key] != 1 {
			return &Error{Op: "try", Kind: KindFailed, Err: errors.Newf("reservation %s ran %d times", key, ran[key])}
		}
	}
	fmt.Fprintf(output, "%d reservations, each ran once\n", len(t.keys))
	return nil
}
