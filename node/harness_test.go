package node

// A harness for tests of whole nodes in a synctest bubble: a platform, targets and nodes
// on an in-memory network, with the fake clock of the bubble.

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wasabiwheel/wasabiwheel/caller"
	"github.com/wasabiwheel/wasabiwheel/configuration"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/platform"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

const (
	storeIP      = "10.0.0.1"
	callerIP     = "10.0.0.2"
	operatorIP   = "10.0.0.3"
	targetIP     = "10.0.0.4" // from which endpoints register
	storeAddress = storeIP + ":9000"
	networkDelay = 2 * time.Millisecond
	defaultWork  = 10 * time.Millisecond
)

// testInventory returns an inventory of two regions, with two failure domains in the first.
func testInventory() []byte {
	var b strings.Builder
	b.WriteString("[limits]\nbody = 1000\n[[region]]\nid = \"r\"\n[[region]]\nid = \"q\"\n")
	for _, d := range []string{"a r", "b r", "c q"} {
		domain, region, _ := strings.Cut(d, " ")
		fmt.Fprintf(&b, "[[domain]]\nid = %q\nregion = %q\n", domain, region)
	}
	for _, s := range []string{"s", "t"} {
		fmt.Fprintf(&b, "[[service]]\nid = %q\nhealth = \"/health\"\nconnections = 100\nwarmup = \"3s\"\npace = 8\n", s)
	}
	for _, r := range []string{"get s true", "post s false", "other t true"} {
		f := strings.Fields(r)
		fmt.Fprintf(&b, "[[route]]\nid = %q\nprefix = \"/%s/\"\nidempotent = %s\ntimeout = \"2s\"\nobjective = \"400ms\"\nattempts = 2\nsticky = true\n[[route.part]]\nservice = %q\nweight = 1\n", f[0], f[0], f[2], f[1])
	}
	number := 0
	for _, d := range []string{"a", "b", "c"} {
		for _, s := range []string{"s", "s", "t"} {
			number++
			fmt.Fprintf(&b, "[[endpoint]]\nid = \"%s-%d\"\nservice = %q\ndomain = %q\naddress = \"10.0.2.%d:80\"\nslots = 3\n", s, number, s, d, number)
		}
	}
	for i, d := range []string{"a", "a", "b", "c"} {
		ip := fmt.Sprintf("10.0.1.%d", i+1)
		fmt.Fprintf(&b, "[[entry]]\nid = \"n%d\"\ndomain = %q\ncaller = \"%s:7000\"\nlookup = \"%s:7003\"\npeer = \"%s:7001\"\nadmin = \"%s:7002\"\n", i+1, d, ip, ip, ip, ip)
	}
	return []byte(b.String())
}

// harness is a platform, targets, callers and nodes on one network.
type harness struct {
	t              *testing.T
	inv            *inventory.Inventory
	network        *standin.Network
	platform       *standin.Platform
	operatorClient *platform.Client
	targetClient   *platform.Client
	targets        map[inventory.EndpointID]*testTarget
	nodes          map[inventory.EntryID]*testNode
	started        []*testNode // all that were ever started
	transport      *http.Transport
	caller         *http.Client
	servers        []*http.Server
	sequence       atomic.Int64
	options        Options              // of nodes that are started, beside their network and store
	primary        inventory.EndpointID // which a test has found to serve its object
}

// testTarget is a running endpoint.
type testTarget struct {
	*standin.Target
	endpoint *standin.Endpoint
}

// testNode is a running node, and the error with which it ends.
type testNode struct {
	*Node
	stop    context.CancelFunc
	done    chan struct{}
	mayFail bool
	failure error
}

// withHarness runs a test in a bubble. When body begins, the inventory is in force, the
// endpoints are registered and the nodes serve.
func withHarness(t *testing.T, body func(h *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, testInventory())
		defer h.close()
		h.startAll()
		body(h)
	})
}

// startAll starts all nodes and waits until they have the entries of the others.
func (h *harness) startAll() {
	for _, e := range h.inv.Entries {
		h.start(e.ID)
	}
	time.Sleep(8 * time.Second)
}

func newHarness(t *testing.T, text []byte) *harness {
	h := newEmptyHarness(t, text)
	for _, e := range h.inv.Endpoints {
		h.startTarget(e)
	}
	h.publish(text)
	return h
}

// newEmptyHarness returns a harness whose store is empty.
func newEmptyHarness(t *testing.T, text []byte) *harness {
	inv, err := inventory.Parse("rig", text)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{
		t:        t,
		inv:      inv,
		network:  standin.NewNetwork(1, func(standin.Path) standin.Quality { return standin.Quality{Delay: networkDelay} }),
		platform: standin.NewPlatform(),
		targets:  map[inventory.EndpointID]*testTarget{},
		nodes:    map[inventory.EntryID]*testNode{},
	}
	h.transport = &http.Transport{DialContext: h.network.VM(callerIP).DialContext, DisableCompression: true}
	h.caller = &http.Client{Transport: h.transport}
	h.serve(storeAddress, h.platform)
	h.operatorClient = platform.New(platform.Options{Address: storeAddress, Dialer: h.network.VM(operatorIP), CallsPerSecond: 1e6})
	h.targetClient = platform.New(platform.Options{Address: storeAddress, Dialer: h.network.VM(targetIP), CallsPerSecond: 1e6})
	return h
}

func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}

// serve runs a handler on an address of the network.
func (h *harness) serve(address string, handler http.Handler) *http.Server {
	l, err := h.network.VM(hostOf(address)).Listen("tcp", address)
	if err != nil {
		h.t.Fatal(err)
	}
	s := &http.Server{Handler: handler}
	h.servers = append(h.servers, s)
	go func() { _ = s.Serve(l) }()
	return s
}

// startTarget starts an endpoint that registers itself.
func (h *harness) startTarget(e inventory.Endpoint) *testTarget {
	served := &standin.Endpoint{Endpoint: e, HeaderNames: caller.Headers, Store: h.targetClient, Listen: h.network.VM(hostOf(e.Address)).Listen}
	if err := served.Start(standin.Behaviour{Work: defaultWork, Slots: e.Slots}, e.ColdRemaining); err != nil {
		h.t.Fatal(err)
	}
	h.targets[e.ID] = &testTarget{Target: served.Target(), endpoint: served}
	return h.targets[e.ID]
}

// crash ends an endpoint immediately. Its entry stays in the store.
func (h *harness) crash(id inventory.EndpointID) { h.targets[id].endpoint.End() }

func (h *harness) configurations() *configuration.Manager { return configuration.New(h.operatorClient) }

func (h *harness) publish(text []byte) configuration.Release {
	rel, err := h.configurations().Publish(h.t.Context(), configuration.Change{Text: text, Author: "rig"})
	if err != nil {
		h.t.Fatal(err)
	}
	return rel
}

func (h *harness) entry(id inventory.EntryID) inventory.Entry {
	for _, e := range h.inv.Entries {
		if e.ID == id {
			return e
		}
	}
	h.t.Fatalf("no entry %s", id)
	return inventory.Entry{}
}

// start starts a new process on an entry VM.
func (h *harness) start(id inventory.EntryID) *testNode {
	return h.startWith(SettingsOf(h.inv, h.entry(id), storeAddress))
}

func (h *harness) startWith(s Settings) *testNode {
	vm := h.network.VM(hostOf(s.Peer))
	ctx, stop := context.WithCancel(context.Background())
	store := platform.New(platform.Options{Address: storeAddress, Dialer: vm})
	n := &testNode{Node: New(s, Options{Network: vm, Store: store, SinceBoot: h.options.SinceBoot}), stop: stop, done: make(chan struct{})}
	h.nodes[s.ID] = n
	h.started = append(h.started, n)
	go func() {
		defer close(n.done)
		n.failure = n.Run(ctx)
		if n.failure != nil && !n.mayFail {
			h.t.Error(n.failure)
		}
	}()
	return n
}

// kill ends a process immediately: its connections break, its addresses refuse, and
// nothing that it sends later is delivered.
func (h *harness) kill(id inventory.EntryID) {
	n := h.nodes[id]
	h.network.Kill(hostOf(h.entry(id).Peer))
	n.mayFail = true
	n.cancel()
	n.stop()
	delete(h.nodes, id)
}

// close stops everything, so that the bubble can end.
func (h *harness) close() {
	for _, n := range h.nodes {
		n.stop()
	}
	for _, n := range h.started {
		<-n.done
		n.store.Close()
	}
	for _, t := range h.targets {
		t.endpoint.End()
	}
	for _, s := range h.servers {
		_ = s.Close()
	}
	h.transport.CloseIdleConnections()
	h.operatorClient.Close()
	h.targetClient.Close()
	time.Sleep(time.Minute)
	h.network.Close()
	time.Sleep(time.Minute)
	h.checkInvariants()
}

// checkInvariants fails the test if a node reported a broken invariant.
func (h *harness) checkInvariants() {
	for _, n := range h.started {
		for name, count := range n.metrics.counterValues() {
			if strings.HasPrefix(name, "invariant.") && count > 0 {
				h.t.Errorf("%s is %d", name, count)
			}
		}
	}
}

// testResponse is the response to a request. err is set if it is not complete.
type testResponse struct {
	id      string
	status  int
	outcome caller.Outcome
	reason  string
	header  http.Header
	echo    standin.Echo
	took    time.Duration
	closed  bool // whether the response has the header Connection: close
	err     error
}

// testRequest holds the parameters of a request that a test sends.
type testRequest struct {
	method, path, body, object string
	timeout                    time.Duration
}

// send sends a request to an entry VM as a caller.
func (h *harness) send(ctx context.Context, to inventory.EntryID, request testRequest) testResponse {
	return h.sendAs(ctx, to, request, func(string) {})
}

// sendAs sends a request like send, and reports its id before.
func (h *harness) sendAs(ctx context.Context, to inventory.EntryID, request testRequest, report func(id string)) testResponse {
	if request.method == "" {
		request.method = http.MethodGet
	}
	if request.path == "" {
		request.path = "/get/x"
	}
	var body io.Reader
	if request.body != "" {
		body = bytes.NewReader([]byte(request.body))
	}
	req, err := http.NewRequestWithContext(ctx, request.method, "http://"+h.entry(to).Caller+request.path, body)
	if err != nil {
		return testResponse{err: err}
	}
	req.GetBody = nil

	id := fmt.Sprintf("q%d", h.sequence.Add(1))
	report(id)
	req.Header.Set(caller.Headers.Request, id)
	if request.object != "" {
		req.AddCookie(&http.Cookie{Name: caller.Headers.Object, Value: request.object})
	}
	if request.timeout > 0 {
		req.Header.Set(caller.Headers.Deadline, fmt.Sprint(request.timeout.Milliseconds()))
	}
	resp := h.do(req)
	resp.id = id
	return resp
}

func (h *harness) do(req *http.Request) testResponse {
	start := time.Now()
	resp, err := h.caller.Do(req)
	if err != nil {
		return testResponse{err: err, took: time.Since(start)}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	out := testResponse{status: resp.StatusCode, outcome: caller.Outcome(resp.Header.Get(caller.HeaderOutcome)), reason: resp.Header.Get(caller.HeaderReason), header: resp.Header, closed: resp.Close, err: err, took: time.Since(start)}
	if out.outcome == "" {
		out.outcome = caller.OutcomeRan
		_ = json.Unmarshal(data, &out.echo)
	}
	return out
}

// runCount returns how often the targets ran a request.
func (h *harness) runCount(id string) int {
	sum := 0
	for _, t := range h.targets {
		sum += t.Stats().Runs[id]
	}
	return sum
}

// setBehaviour changes the behaviour of all targets.
func (h *harness) setBehaviour(b standin.Behaviour) {
	for _, t := range h.targets {
		own := b
		if own.Slots == 0 {
			own.Slots = t.endpoint.Slots
		}
		t.SetBehaviour(own)
	}
}

// arrivals returns the number of requests that reached the endpoints of a failure domain,
// or of all domains with "".
func (h *harness) arrivals(domain inventory.DomainID) int {
	sum := 0
	for _, t := range h.targets {
		if domain == "" || t.endpoint.Domain == domain {
			sum += len(t.Stats().Arrivals)
		}
	}
	return sum
}
