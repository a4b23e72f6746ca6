// Package soak runs nodes as processes of their own, with callers, endpoints and a
// store around them, harms all of it from outside by a plan that a seed draws, and
// checks meanwhile what callers and endpoints see against what the system promises:
//
//   - an answer is whole and belongs to its request;
//   - a request that may run once does, and one that was refused never runs;
//   - no request runs at more endpoints than its route allows, further attempts keep
//     within their budget, and cold endpoints get no more than they bear;
//   - drained failure domains, leaving endpoints, configurations and dead nodes are
//     heeded in time by all nodes that nothing disturbs;
//   - no request is lost but by a fault, and a planned stop is none;
//   - when everything is well again, requests are served again;
//   - no process ends by itself, outgrows its memory or logs a fault of its own.
//
// Processes are stopped, frozen, killed and reloaded by signals; connections go
// through proxies on loopback that delay, reset, hold back or silence them. The
// endpoints and the store run in the process of the soak. A seed gives the same plan
// each time, not the same run: processes take their own time.
//
// # Usage
//
//	report, err := soak.Run(ctx, soak.Options{Seed: 7, For: time.Minute, Binary: "wasabiwheel"})
package soak

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiwheel/wasabiwheel/configuration"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/node"
	"github.com/wasabiwheel/wasabiwheel/platform"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

const (
	askGap      = 50 * time.Millisecond // between look-ups of the soak's own
	settle      = 3 * time.Second       // for which recovery is measured
	startWait   = 30 * time.Second      // for all nodes to serve
	stallTick   = 20 * time.Millisecond
	stallAfter  = 150 * time.Millisecond // by which a tick is late when the machine is too busy to judge bounds of time
	checkGap    = time.Second
	callsASec   = 400 // of the endpoints' and the operator's clients
	requestRate = 150 // requests a second, for the size of a few endpoints
)

// Options configures a run. Seed, For and Binary are required.
type Options struct {
	Seed   uint64
	For    time.Duration // in which faults begin; the run takes 20 s more
	Binary string        // program of the nodes
	Nodes  int           // 0: drawn by the seed
	Dir    string        // for settings and logs
	Subnet string        // that all addresses begin with, such as "127.40."
	Events io.Writer     // gets a line for each fault; nil: nobody does
}

// Report is what a run came to.
type Report struct {
	Size       Size
	Totals     Totals
	Violations []Violation
}

// world is everything that runs.
type world struct {
	seed      uint64
	dir       string
	binary    string
	subnet    string
	inv       *inventory.Inventory
	evidence  *Evidence
	platform  *standin.Platform
	desk      *configuration.Desk
	processes []*process
	fields    []*field
	proxies   []*standin.Proxy
	proxied   map[string]string // addresses of proxies, by those of nodes
	nodeAt    map[string]int    // by the address for requests
	events    io.Writer

	mu       sync.Mutex // of the operator, who makes one change at a time
	services int        // number of the service that probes go to
	store    sync.Mutex // held while the store misbehaves
	draining sync.Mutex // held while a failure domain is drained
}

// Run runs a soak. It fails with KindStart, or with KindBroken if a promise was
// broken.
func Run(ctx context.Context, o Options) (Report, error) {
	size := NewSize(o.Seed)
	if o.Nodes > 0 {
		size.Nodes = max(o.Nodes, size.Domains)
	}
	w, err := newWorld(o, size)
	if err != nil {
		return Report{}, err
	}
	defer w.close()
	if err := w.awaitNodes(ctx); err != nil {
		return Report{}, err
	}
	w.play(ctx, NewPlan(o.Seed, o.For, size))
	r := Report{Size: size, Totals: w.evidence.Totals, Violations: w.evidence.Violations()}
	if len(r.Violations) > 0 {
		v := r.Violations[0]
		return r, &Error{Op: "soak", Kind: KindBroken, Err: errors.Newf("seed %d: %d violations, the first at %s: %s: %s", o.Seed, len(r.Violations), v.At.Round(time.Millisecond), v.Promise, v.Text)}
	}
	return r, nil
}

// play puts load on the nodes while the plan goes on, and until they had the time
// to recover.
func (w *world) play(ctx context.Context, plan []Event) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var running, faults sync.WaitGroup
	for _, task := range []func(context.Context){
		func(ctx context.Context) { w.load(ctx, requestRate) }, w.ask, w.watchStalls, w.watchProcesses,
	} {
		running.Go(func() { task(ctx) })
	}
	began := time.Now()
	for _, e := range plan {
		if !sleep(ctx, time.Until(began.Add(e.At))) {
			break
		}
		w.evidence.mu.Lock()
		w.evidence.Totals.Faults++
		w.evidence.mu.Unlock()
		_, _ = fmt.Fprintf(w.events, "%7.3f %s\n", time.Since(w.evidence.began).Seconds(), e) // only for reading
		faults.Go(func() { w.inflict(e) })
	}
	faults.Wait()
	sleep(ctx, recoverBound)
	from := time.Now()
	sleep(ctx, settle)
	w.evidence.CheckRecovery(time.Now(), from)
	cancel()
	running.Wait()
}

// sleep waits and reports whether ctx goes on.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// watchStalls notes when this machine was too busy to run the soak on time: bounds
// of time say nothing then.
func (w *world) watchStalls(ctx context.Context) {
	for last := time.Now(); ctx.Err() == nil; {
		time.Sleep(stallTick)
		now := time.Now()
		if now.Sub(last) > stallAfter {
			w.evidence.Disturbed(ScopeAll, last, now)
			_, _ = fmt.Fprintf(w.events, "%7.3f stalled for %s\n", now.Sub(w.evidence.began).Seconds(), now.Sub(last))
		}
		last = now
	}
}

func (w *world) watchProcesses(ctx context.Context) {
	for sleep(ctx, checkGap) {
		for _, p := range w.processes {
			p.checkMemory()
		}
		w.evidence.Forget(time.Now())
	}
}

// newWorld starts the store, the endpoints and the nodes.
func newWorld(o Options, size Size) (*world, error) {
	w := &world{seed: o.Seed, dir: o.Dir, binary: o.Binary, subnet: o.Subnet, platform: standin.NewPlatform(), proxied: map[string]string{}, nodeAt: map[string]int{}, events: o.Events}
	if w.events == nil {
		w.events = io.Discard
	}
	var err error
	if w.inv, err = inventory.Parse("soak", []byte(w.text(size, 0))); err != nil {
		return nil, err
	}
	w.evidence = NewEvidence(time.Now(), node.DefaultBounds(), w.inv.Configuration(1))
	steps := []func() error{w.startStore, w.startEndpoints, w.publishFirst, w.startNodes}
	for _, step := range steps {
		if err := step(); err != nil {
			w.close()
			return nil, err
		}
	}
	return w, nil
}

// Numbers of hosts in the subnet.
const (
	hostNode = 1 + iota // the third part of an address
	hostCaller
	hostPeer
	hostStore
	hostEndpoint
	hostReal
	hostSource
)

const (
	portCaller = 7000 + iota
	portPeer
	portAdmin
	portLookup
	portEndpoint
)

func (w *world) ip(host, n int) string { return fmt.Sprintf("%s%d.%d", w.subnet, host, n+1) }

func (w *world) address(host, n, port int) string { return fmt.Sprintf("%s:%d", w.ip(host, n), port) }

func (w *world) storeAddress() string { return w.subnet + "0.1:9000" }

// services are those of the soak; probes go to one of them by turns.
var services = []inventory.ServiceID{"browsing", "booking", "third"}

// text is the inventory, with the service that probes go to.
func (w *world) text(size Size, probed int) string {
	var b strings.Builder
	b.WriteString("[limits]\nidle = \"10s\"\n[[region]]\nid = \"one\"\n[[region]]\nid = \"two\"\n[[link]]\nfrom = \"one\"\nto = \"two\"\n")
	for i := range size.Domains {
		fmt.Fprintf(&b, "[[domain]]\nid = \"d%d\"\nregion = %q\n", i, []string{"one", "two"}[i%2])
	}
	for _, s := range services {
		fmt.Fprintf(&b, "[[service]]\nid = %q\nhealth = \"/health\"\nconnections = 400\nwarmup = \"2s\"\npace = 20\n", s)
	}
	for _, r := range []struct {
		id         inventory.RouteID
		service    inventory.ServiceID
		idempotent bool
	}{{browseRoute, services[0], true}, {bookRoute, services[1], false}, {probeRoute, services[probed], true}} {
		fmt.Fprintf(&b, "[[route]]\nid = %q\nprefix = \"/%s/\"\nidempotent = %t\ntimeout = %q\nobjective = \"500ms\"\nsticky = true\n[[route.part]]\nservice = %q\nweight = 1\n",
			r.id, r.id, r.idempotent, routeTime, r.service)
	}
	for i := range size.Endpoints {
		fmt.Fprintf(&b, "[[endpoint]]\nid = \"e%d\"\nservice = %q\ndomain = \"d%d\"\naddress = %q\nslots = 4\n",
			i, services[i%len(services)], i/len(services), w.address(hostEndpoint, i, portEndpoint))
	}
	for i := range size.Nodes {
		fmt.Fprintf(&b, "[[entry]]\nid = \"n%d\"\ndomain = \"d%d\"\ncaller = %q\nlookup = %q\npeer = %q\nadmin = %q\n", i, i%size.Domains,
			w.address(hostNode, i, portCaller), w.address(hostNode, i, portLookup), w.address(hostNode, i, portPeer), w.address(hostNode, i, portAdmin))
	}
	return b.String()
}

func (w *world) startStore() error {
	if _, err := standin.Serve(w.storeAddress(), w.platform); err != nil {
		return &Error{Op: "store", Kind: KindStart, Err: err}
	}
	w.desk = configuration.New(platform.New(platform.Options{Address: w.storeAddress(), Calls: callsASec}))
	return nil
}

func (w *world) proxy(address, server, from string) (*standin.Proxy, error) {
	p, err := standin.NewProxy(address, server, from)
	if err != nil {
		return nil, &Error{Op: "proxy", Kind: KindStart, Err: err}
	}
	w.proxies = append(w.proxies, p)
	return p, nil
}

func (w *world) startEndpoints() error {
	client := platform.New(platform.Options{Address: w.storeAddress(), Calls: callsASec})
	warmup := w.inv.Services[0].Warmup.Duration
	for i, e := range w.inv.Endpoints {
		f := newField(e, w.address(hostReal, i, portEndpoint), client, w.evidence)
		f.warmup = warmup
		var err error
		if f.proxy, err = w.proxy(e.Address, f.Own, ""); err != nil {
			return err
		}
		if err := f.start(false); err != nil {
			return err
		}
		w.fields = append(w.fields, f)
	}
	return nil
}

func (w *world) publishFirst() error {
	ctx, cancel := context.WithTimeout(context.Background(), startWait)
	defer cancel()
	confirm := w.evidence.Publishing(time.Now(), services[0])
	_, err := w.desk.Publish(ctx, configuration.Change{Text: []byte(w.text(w.size(), 0)), Author: "soak"})
	confirm(time.Now())
	return err
}

func (w *world) size() Size {
	return Size{Nodes: len(w.inv.Entries), Endpoints: len(w.inv.Endpoints), Domains: len(w.inv.Domains)}
}

func (w *world) startNodes() error {
	for i, e := range w.inv.Entries {
		s := node.SettingsOf(w.inv, e, w.address(hostStore, i, portAdmin))
		s.Announce = w.address(hostPeer, i, portPeer)
		for k := range s.Seeds {
			s.Seeds[k] = w.address(hostPeer, k, portPeer)
		}
		p := &process{index: i, file: filepath.Join(w.dir, string(e.ID)+".toml"), evidence: w.evidence, settings: s}
		var err error
		for _, l := range []struct {
			to                    **standin.Proxy
			address, server, from string
		}{
			{&p.caller, w.address(hostCaller, i, portCaller), e.Caller, ""},
			{&p.lookup, w.address(hostCaller, i, portLookup), e.Lookup, ""},
			{&p.peer, s.Announce, e.Peer, ""},
			{&p.store, s.Platform, w.storeAddress(), w.ip(hostSource, i)},
		} {
			if *l.to, err = w.proxy(l.address, l.server, l.from); err != nil {
				return err
			}
		}
		w.proxied[e.Caller], w.proxied[e.Lookup] = w.address(hostCaller, i, portCaller), w.address(hostCaller, i, portLookup)
		w.nodeAt[e.Caller] = i
		if err := s.Write(p.file); err != nil {
			return &Error{Op: "settings", Kind: KindStart, Err: err}
		}
		if p.log, err = os.Create(filepath.Join(w.dir, string(e.ID)+".log")); err != nil {
			return &Error{Op: "log", Kind: KindStart, Err: err}
		}
		w.processes = append(w.processes, p)
		if err := p.start(w.binary); err != nil {
			return &Error{Op: "node", Kind: KindStart, Err: err}
		}
	}
	return nil
}

// awaitNodes waits until each node serves and knows all endpoints.
func (w *world) awaitNodes(ctx context.Context) error {
	for limit := time.Now().Add(startWait); time.Now().Before(limit) && ctx.Err() == nil; {
		ready := 0
		for _, p := range w.processes {
			if s, err := node.AskStatus(p.settings.Admin, checkGap); err == nil && s.Serves(len(w.inv.Endpoints)) {
				ready++
			}
		}
		if ready == len(w.processes) {
			return nil
		}
		time.Sleep(checkGap / 4)
	}
	return &Error{Op: "start", Kind: KindStart, Err: errors.Newf("not all nodes serve after %s", startWait)}
}

// close ends everything.
func (w *world) close() {
	for _, p := range w.processes {
		p.End()
	}
	for _, f := range w.fields {
		f.End()
	}
	for _, p := range w.proxies {
		p.Close()
	}
}
