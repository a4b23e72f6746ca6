// Package soak is a randomised fault soak. It runs nodes as separate processes with
// callers, endpoints and a store, injects faults by a plan that is drawn from a seed, and
// checks the observations of callers and endpoints against the guarantees of the system:
//
//   - an answer is complete and belongs to its request;
//   - a request that may run only once does, and a refused request never runs;
//   - no request runs at more endpoints than its route allows, further attempts stay
//     within their budget, and cold endpoints get no more than their limit;
//   - all nodes that no fault affects apply drains, leaving endpoints, configurations and
//     the failure of nodes in time;
//   - requests are lost only by faults, and a planned stop is not a fault;
//   - after all faults have ended, requests are served again;
//   - an endpoint that has told a node that it leaves gets no later requests from it, and one
//     that has asked it for a pause gets none in the pause;
//   - callers of nodes that are cut off from all endpoints are served nearly like others;
//   - no request runs with a key that was withdrawn longer ago than the bound, and no key that is
//     valid gets 401;
//   - no process exits by itself, exceeds its memory limit or logs a violated invariant.
//
// Processes are stopped, frozen, killed and reloaded by signals. Connections go through
// proxies on loopback that delay, reset, hold back or silence them. The endpoints and the
// store run in the process of the soak. A seed always gives the same plan, but not the
// same run, because the timing of the processes varies.
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
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiwheel/wasabiwheel/configuration"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/node"
	"github.com/wasabiwheel/wasabiwheel/platform"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

const (
	lookupInterval = 50 * time.Millisecond // between the lookups that check nodes
	recoveryWindow = 3 * time.Second       // over which recovery is measured
	startTimeout   = 30 * time.Second      // until all nodes serve
	stallTick      = 20 * time.Millisecond
	stallThreshold = 150 * time.Millisecond // time between ticks above which the machine is too busy to check time bounds
	checkInterval  = time.Second
	callRate       = 400 // calls a second that the endpoints' and the operator's clients may make
	requestRate    = 150 // requests a second, within the capacity of a few endpoints
)

// Options configures a run. Seed, For and Binary are required.
type Options struct {
	Seed   uint64
	For    time.Duration // time within which faults begin; the run takes about 20 s longer
	Binary string        // path of the program that the nodes run
	Nodes  int           // 0: drawn from the seed
	Dir    string        // for settings and logs
	Subnet string        // prefix of all addresses, such as "127.40."
	Events io.Writer     // receives a line for each fault; nil: none
}

// Report is the result of a run.
type Report struct {
	Size       Size
	Totals     Totals
	Violations []Violation
}

// harness is the system under test with its environment.
type harness struct {
	seed           uint64
	dir            string
	binary         string
	subnet         string
	inventory      *inventory.Inventory
	checker        *Checker
	platform       *standin.Platform
	operator       *configuration.Manager
	processes      []*process
	endpoints      []*testEndpoint
	proxies        []*standin.Proxy
	proxyAddresses map[string]string // addresses of proxies, by the addresses of nodes
	nodeByAddress  map[string]int    // indexes of nodes, by their addresses for callers
	events         io.Writer

	operatorMu    sync.Mutex // serialises the operator's changes
	keys          keyLog
	keyRequests   atomic.Int64       // with keys that were answered
	probedService int                // index of the service that probes go to
	drained       inventory.DomainID // the failure domain that is drained; "": none
	storeMu       sync.Mutex         // held during a fault of the store
	drainMu       sync.Mutex         // held while a failure domain is drained
}

// Run runs a soak. It fails with KindStart, or with KindViolated if a guarantee was
// violated.
func Run(ctx context.Context, o Options) (Report, error) {
	size := NewSize(o.Seed)
	if o.Nodes > 0 {
		size.Nodes = max(o.Nodes, size.Domains)
	}
	h, err := newHarness(o, size)
	if err != nil {
		return Report{}, err
	}
	defer h.close()
	if err := h.awaitNodes(ctx); err != nil {
		return Report{}, err
	}
	h.runPlan(ctx, NewPlan(o.Seed, o.For, size))
	r := Report{Size: size, Totals: h.checker.Totals, Violations: h.checker.Violations()}
	if len(r.Violations) > 0 {
		v := r.Violations[0]
		return r, &Error{Op: "soak", Kind: KindViolated, Err: errors.Newf("seed %d: %d violations, the first at %s: %s: %s", o.Seed, len(r.Violations), v.At.Round(time.Millisecond), v.Guarantee, v.Text)}
	}
	return r, nil
}

// runPlan generates load while it executes the plan and until the system has had
// recoverBound to recover.
func (h *harness) runPlan(ctx context.Context, plan []Event) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var running, faults sync.WaitGroup
	duration := time.Duration(0)
	if len(plan) > 0 {
		duration = plan[len(plan)-1].At
	}
	for _, task := range []func(context.Context){
		func(ctx context.Context) { h.generateLoad(ctx, requestRate) }, h.checkLookups, h.sendKeys, h.watchStalls, h.watchProcesses,
		func(ctx context.Context) { h.nameLimits(ctx, duration) },
		func(ctx context.Context) { h.restoreStore(ctx, duration) },
		func(ctx context.Context) { h.cutNodesOff(ctx, duration) },
		func(ctx context.Context) { h.askForPauses(ctx, duration) },
		func(ctx context.Context) { h.leaveUnregistered(ctx, duration) },
		func(ctx context.Context) { h.writeOddEntries(ctx, duration) },
		func(ctx context.Context) { h.freezeBeyondBound(ctx, duration) },
	} {
		running.Go(func() { task(ctx) })
	}
	began := time.Now()
	for _, e := range plan {
		if !sleep(ctx, time.Until(began.Add(e.At))) {
			break
		}
		h.checker.mu.Lock()
		h.checker.Totals.Faults++
		h.checker.mu.Unlock()
		_, _ = fmt.Fprintf(h.events, "%7.3f %s\n", time.Since(h.checker.began).Seconds(), e) // the log of events is only informative
		faults.Go(func() { h.inject(e) })
	}
	faults.Wait()
	sleep(ctx, recoverBound)
	from := time.Now()
	sleep(ctx, recoveryWindow)
	h.checker.CheckRecovery(time.Now(), from)
	cancel()
	running.Wait()
}

// sleep waits for d and reports whether ctx is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// watchStalls records the times when this machine was too busy to run the soak on
// time. Time bounds are not checked then.
func (h *harness) watchStalls(ctx context.Context) {
	for last := time.Now(); ctx.Err() == nil; {
		time.Sleep(stallTick)
		now := time.Now()
		if now.Sub(last) > stallThreshold {
			h.checker.RecordFault(ScopeAll, last, now)
			_, _ = fmt.Fprintf(h.events, "%7.3f stalled for %s\n", now.Sub(h.checker.began).Seconds(), now.Sub(last))
		}
		last = now
	}
}

func (h *harness) watchProcesses(ctx context.Context) {
	for sleep(ctx, checkInterval) {
		for _, p := range h.processes {
			p.checkMemory()
		}
		h.checker.DropOldRequests(time.Now())
	}
}

// newHarness starts the store, the endpoints and the nodes.
func newHarness(o Options, size Size) (*harness, error) {
	h := &harness{seed: o.Seed, dir: o.Dir, binary: o.Binary, subnet: o.Subnet, platform: standin.NewPlatform(), proxyAddresses: map[string]string{}, nodeByAddress: map[string]int{}, events: o.Events}
	if h.events == nil {
		h.events = io.Discard
	}
	var err error
	if h.inventory, err = inventory.Parse("soak", []byte(h.inventoryText(size, 0, 0))); err != nil {
		return nil, err
	}
	h.checker = NewChecker(time.Now(), node.DefaultBounds(), h.inventory.Configuration(1))
	steps := []func() error{h.startStore, h.startEndpoints, h.publishInitial, h.startNodes}
	for _, step := range steps {
		if err := step(); err != nil {
			h.close()
			return nil, err
		}
	}
	return h, nil
}

// The roles of hosts. Each role has its own range of addresses in the subnet.
const (
	hostNode = 1 + iota // third byte of an address
	hostCaller
	hostPeer
	hostStore
	hostEndpoint
	hostEndpointListen
	hostStoreSource
	hostNodeSource
)

const (
	portCaller = 7000 + iota
	portPeer
	portAdmin
	portLookup
	portEndpoint
)

func (h *harness) ip(host, n int) string { return fmt.Sprintf("%s%d.%d", h.subnet, host, n+1) }

func (h *harness) address(host, n, port int) string { return fmt.Sprintf("%s:%d", h.ip(host, n), port) }

func (h *harness) storeAddress() string { return h.subnet + "0.1:9000" }

// serviceIDs are the services of the soak. Probes go to one of them at a time.
var serviceIDs = []inventory.ServiceID{"browsing", "booking", "third"}

// inventoryText returns the inventory. Probes are routed to the service at index
// probed. The organisation has the key at index key.
func (h *harness) inventoryText(size Size, probed, key int) string {
	var b strings.Builder
	b.WriteString("[limits]\nidle = \"10s\"\n[[region]]\nid = \"one\"\n[[region]]\nid = \"two\"\n[[link]]\nfrom = \"one\"\nto = \"two\"\n")
	for i := range size.Domains {
		fmt.Fprintf(&b, "[[domain]]\nid = \"d%d\"\nregion = %q\n", i, []string{"one", "two"}[i%2])
	}
	for _, s := range serviceIDs {
		fmt.Fprintf(&b, "[[service]]\nid = %q\nhealth = \"/health\"\nconnections = 400\nwarmup = \"2s\"\npace = 20\n", s)
	}
	for _, r := range []struct {
		id         inventory.RouteID
		service    inventory.ServiceID
		idempotent bool
	}{{browseRoute, serviceIDs[0], true}, {bookRoute, serviceIDs[1], false}, {probeRoute, serviceIDs[probed], true}} {
		fmt.Fprintf(&b, "[[route]]\nid = %q\nprefix = \"/%s/\"\nidempotent = %t\ntimeout = %q\nobjective = \"500ms\"\nsticky = true\nopen = true\n[[route.part]]\nservice = %q\nweight = 1\n",
			r.id, r.id, r.idempotent, routeTimeout, r.service)
	}
	for i := range size.Endpoints {
		fmt.Fprintf(&b, "[[endpoint]]\nid = \"e%d\"\nservice = %q\ndomain = \"d%d\"\naddress = %q\nslots = 4\n",
			i, serviceIDs[i%len(serviceIDs)], i/len(serviceIDs), h.address(hostEndpoint, i, portEndpoint))
	}
	for i := range size.Nodes {
		fmt.Fprintf(&b, "[[entry]]\nid = \"n%d\"\ndomain = \"d%d\"\ncaller = %q\nlookup = %q\npeer = %q\nadmin = %q\n", i, i%size.Domains,
			h.address(hostNode, i, portCaller), h.address(hostNode, i, portLookup), h.address(hostNode, i, portPeer), h.address(hostNode, i, portAdmin))
	}
	b.WriteString(organisationText(key))
	return b.String()
}

func (h *harness) startStore() error {
	if _, err := standin.Serve(h.storeAddress(), h.platform); err != nil {
		return &Error{Op: "store", Kind: KindStart, Err: err}
	}
	h.operator = configuration.New(platform.New(platform.Options{Address: h.storeAddress(), CallsPerSecond: callRate}))
	return nil
}

func (h *harness) proxy(address, server, from string) (*standin.Proxy, error) {
	p, err := standin.NewProxy(address, server, from)
	if err != nil {
		return nil, &Error{Op: "proxy", Kind: KindStart, Err: err}
	}
	h.proxies = append(h.proxies, p)
	return p, nil
}

func (h *harness) startEndpoints() error {
	client := platform.New(platform.Options{Address: h.storeAddress(), CallsPerSecond: callRate})
	warmup := h.inventory.Services[0].Warmup.Duration
	for i, e := range h.inventory.Endpoints {
		t := newTestEndpoint(e, h.address(hostEndpointListen, i, portEndpoint), client, h.checker, h.senderOf)
		t.warmup = warmup
		var err error
		if t.proxy, err = h.proxy(e.Address, t.ListenAddress, ""); err != nil {
			return err
		}
		t.proxy.KeepSource()
		if err := t.start(false); err != nil {
			return err
		}
		h.endpoints = append(h.endpoints, t)
	}
	return nil
}

func (h *harness) publishInitial() error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	confirm := h.checker.RecordPublish(time.Now(), serviceIDs[0])
	key, accept := h.keys.begin(time.Now())
	_, err := h.operator.Publish(ctx, configuration.Change{Text: []byte(h.inventoryText(h.size(), 0, key)), Author: "soak"})
	confirm(time.Now())
	accept(time.Now())
	return err
}

func (h *harness) size() Size {
	return Size{Nodes: len(h.inventory.Entries), Endpoints: len(h.inventory.Endpoints), Domains: len(h.inventory.Domains)}
}

func (h *harness) startNodes() error {
	for i, e := range h.inventory.Entries {
		s := node.SettingsOf(h.inventory, e, h.address(hostStore, i, portAdmin))
		s.Bounds.Revocation.Duration = revokeBound
		s.AdvertisedPeer = h.address(hostPeer, i, portPeer)
		for k := range s.Seeds {
			s.Seeds[k] = h.address(hostPeer, k, portPeer)
		}
		p := &process{index: i, settingsFile: filepath.Join(h.dir, string(e.ID)+".toml"), linksFile: filepath.Join(h.dir, string(e.ID)+".links"),
			endpoints: h.subnet + strconv.Itoa(hostEndpoint) + ".", source: h.ip(hostNodeSource, i), checker: h.checker, settings: s}
		var err error
		for _, l := range []struct {
			to                    **standin.Proxy
			address, server, from string
		}{
			{&p.caller, h.address(hostCaller, i, portCaller), e.Caller, ""},
			{&p.lookup, h.address(hostCaller, i, portLookup), e.Lookup, ""},
			{&p.peer, s.AdvertisedPeer, e.Peer, ""},
			{&p.store, s.Platform, h.storeAddress(), h.ip(hostStoreSource, i)},
		} {
			if *l.to, err = h.proxy(l.address, l.server, l.from); err != nil {
				return err
			}
		}
		h.proxyAddresses[e.Caller], h.proxyAddresses[e.Lookup] = h.address(hostCaller, i, portCaller), h.address(hostCaller, i, portLookup)
		h.nodeByAddress[e.Caller] = i
		if err := s.Write(p.settingsFile); err != nil {
			return &Error{Op: "settings", Kind: KindStart, Err: err}
		}
		if p.log, err = os.Create(filepath.Join(h.dir, string(e.ID)+".log")); err != nil {
			return &Error{Op: "log", Kind: KindStart, Err: err}
		}
		h.processes = append(h.processes, p)
		if err := p.start(h.binary); err != nil {
			return &Error{Op: "node", Kind: KindStart, Err: err}
		}
	}
	return nil
}

// awaitNodes waits until each node serves and has all endpoints.
func (h *harness) awaitNodes(ctx context.Context) error {
	for limit := time.Now().Add(startTimeout); time.Now().Before(limit) && ctx.Err() == nil; {
		ready := 0
		for _, p := range h.processes {
			if s, err := node.FetchStatus(p.settings.Admin, checkInterval); err == nil && s.Serves(len(h.inventory.Endpoints)) {
				ready++
			}
		}
		if ready == len(h.processes) {
			return nil
		}
		time.Sleep(checkInterval / 4)
	}
	return &Error{Op: "start", Kind: KindStart, Err: errors.Newf("not all nodes serve after %s", startTimeout)}
}

// close stops the nodes, the endpoints and the proxies.
func (h *harness) close() {
	for _, p := range h.processes {
		p.End()
	}
	for _, t := range h.endpoints {
		t.End()
	}
	for _, p := range h.proxies {
		p.Close()
	}
}
