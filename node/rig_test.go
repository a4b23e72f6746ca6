package node

// A rig for tests of whole nodes in a synctest bubble: a platform, targets and
// nodes on a network in memory, with the paused clock of the bubble.

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
	rigStoreIP    = "10.0.0.1"
	rigCallerIP   = "10.0.0.2"
	rigOperatorIP = "10.0.0.3"
	rigTargetIP   = "10.0.0.4" // from where endpoints register
	rigStore      = rigStoreIP + ":9000"
	rigDelay      = 2 * time.Millisecond
	rigWork       = 10 * time.Millisecond
)

// rigText is an inventory of two regions, two failure domains in the first.
func rigText() []byte {
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

// rig is everything around the nodes, and the nodes.
type rig struct {
	t         *testing.T
	inv       *inventory.Inventory
	network   *standin.Network
	platform  *standin.Platform
	operator  *platform.Client
	register  *platform.Client
	targets   map[inventory.EndpointID]*rigTarget
	nodes     map[inventory.EntryID]*rigNode
	started   []*rigNode // all that ever ran
	transport *http.Transport
	caller    *http.Client
	servers   []*http.Server
	sequence  atomic.Int64
}

// rigTarget is one running endpoint.
type rigTarget struct {
	*standin.Target
	endpoint *standin.Endpoint
}

// rigNode is one running node.
type rigNode struct {
	*Node
	stop    context.CancelFunc
	done    chan struct{}
	mayFail bool
	failure error
}

// bubble runs a test of a rig on a paused clock. The inventory is in force, the
// endpoints are registered and the nodes serve when body begins.
func bubble(t *testing.T, body func(r *rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, rigText())
		defer r.close()
		for _, e := range r.inv.Entries {
			r.start(e.ID)
		}
		time.Sleep(8 * time.Second) // all know each other
		body(r)
	})
}

func newRig(t *testing.T, text []byte) *rig {
	r := emptyRig(t, text)
	for _, e := range r.inv.Endpoints {
		r.startTarget(e)
	}
	r.publish(text)
	return r
}

// emptyRig is a rig whose store knows nothing yet.
func emptyRig(t *testing.T, text []byte) *rig {
	inv, err := inventory.Parse("rig", text)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{
		t:        t,
		inv:      inv,
		network:  standin.NewNetwork(1, func(standin.Path) standin.Quality { return standin.Quality{Delay: rigDelay} }),
		platform: standin.NewPlatform(),
		targets:  map[inventory.EndpointID]*rigTarget{},
		nodes:    map[inventory.EntryID]*rigNode{},
	}
	r.transport = &http.Transport{DialContext: r.network.VM(rigCallerIP).DialContext, DisableCompression: true}
	r.caller = &http.Client{Transport: r.transport}
	r.serve(rigStore, r.platform)
	r.operator = platform.New(platform.Options{Address: rigStore, Dialer: r.network.VM(rigOperatorIP), Calls: 1e6})
	r.register = platform.New(platform.Options{Address: rigStore, Dialer: r.network.VM(rigTargetIP), Calls: 1e6})
	return r
}

func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}

// serve runs a stand-in on an address of the network.
func (r *rig) serve(address string, h http.Handler) *http.Server {
	l, err := r.network.VM(hostOf(address)).Listen("tcp", address)
	if err != nil {
		r.t.Fatal(err)
	}
	s := &http.Server{Handler: h}
	r.servers = append(r.servers, s)
	go func() { _ = s.Serve(l) }()
	return s
}

// startTarget runs an endpoint that registers itself.
func (r *rig) startTarget(e inventory.Endpoint) *rigTarget {
	served := &standin.Endpoint{Endpoint: e, Dialect: caller.Dialect, Store: r.register, Listen: r.network.VM(hostOf(e.Address)).Listen}
	if err := served.Start(standin.Behaviour{Work: rigWork, Slots: e.Slots}, e.Cold); err != nil {
		r.t.Fatal(err)
	}
	r.targets[e.ID] = &rigTarget{Target: served.Target(), endpoint: served}
	return r.targets[e.ID]
}

// crash ends an endpoint at once. Its entry stays.
func (r *rig) crash(id inventory.EndpointID) { r.targets[id].endpoint.End() }

func (r *rig) desk() *configuration.Desk { return configuration.New(r.operator) }

func (r *rig) publish(text []byte) configuration.Release {
	rel, err := r.desk().Publish(r.t.Context(), configuration.Change{Text: text, Author: "rig"})
	if err != nil {
		r.t.Fatal(err)
	}
	return rel
}

func (r *rig) entry(id inventory.EntryID) inventory.Entry {
	for _, e := range r.inv.Entries {
		if e.ID == id {
			return e
		}
	}
	r.t.Fatalf("no entry %s", id)
	return inventory.Entry{}
}

// start runs a new process on an entry VM.
func (r *rig) start(id inventory.EntryID) *rigNode {
	return r.startWith(SettingsOf(r.inv, r.entry(id), rigStore))
}

func (r *rig) startWith(s Settings) *rigNode {
	vm := r.network.VM(hostOf(s.Peer))
	ctx, stop := context.WithCancel(context.Background())
	store := platform.New(platform.Options{Address: rigStore, Dialer: vm})
	n := &rigNode{Node: New(s, Options{Network: vm, Store: store}), stop: stop, done: make(chan struct{})}
	r.nodes[s.ID] = n
	r.started = append(r.started, n)
	go func() {
		defer close(n.done)
		n.failure = n.Run(ctx)
		if n.failure != nil && !n.mayFail {
			r.t.Error(n.failure)
		}
	}()
	return n
}

// kill ends a process at once: its connections break, its addresses refuse, and
// nothing that it still does reaches anybody.
func (r *rig) kill(id inventory.EntryID) {
	n := r.nodes[id]
	r.network.Kill(hostOf(r.entry(id).Peer))
	n.mayFail = true
	n.cancel()
	n.stop()
	delete(r.nodes, id)
}

// close ends everything, so that the bubble can end.
func (r *rig) close() {
	for _, n := range r.nodes {
		n.stop()
	}
	for _, n := range r.started {
		<-n.done
		n.store.Close()
	}
	for _, t := range r.targets {
		t.endpoint.End()
	}
	for _, s := range r.servers {
		_ = s.Close()
	}
	r.transport.CloseIdleConnections()
	r.operator.Close()
	r.register.Close()
	time.Sleep(time.Minute)
	r.network.Close()
	time.Sleep(time.Minute)
	r.checkInvariants()
}

// checkInvariants fails the test if a node met a fault of its own program.
func (r *rig) checkInvariants() {
	for _, n := range r.started {
		for name, count := range n.counters.snapshot() {
			if strings.HasPrefix(name, "invariant.") && count > 0 {
				r.t.Errorf("%s is %d", name, count)
			}
		}
	}
}

// reply is what a caller got. err is set when there was no whole answer.
type reply struct {
	id      string
	status  int
	outcome caller.Outcome
	reason  string
	header  http.Header
	echo    standin.Echo
	took    time.Duration
	closed  bool // the node asked for the end of the connection
	err     error
}

// ask is one request of a test.
type ask struct {
	method, path, body, object string
	timeout                    time.Duration
}

// send sends one request to an entry VM as a caller.
func (r *rig) send(ctx context.Context, to inventory.EntryID, a ask) reply {
	if a.method == "" {
		a.method = http.MethodGet
	}
	if a.path == "" {
		a.path = "/get/x"
	}
	var body io.Reader
	if a.body != "" {
		body = bytes.NewReader([]byte(a.body))
	}
	req, err := http.NewRequestWithContext(ctx, a.method, "http://"+r.entry(to).Caller+a.path, body)
	if err != nil {
		return reply{err: err}
	}
	req.GetBody = nil

	id := fmt.Sprintf("q%d", r.sequence.Add(1))
	req.Header.Set(caller.Dialect.Request, id)
	if a.object != "" {
		req.AddCookie(&http.Cookie{Name: caller.Dialect.Object, Value: a.object})
	}
	if a.timeout > 0 {
		req.Header.Set(caller.Dialect.Deadline, fmt.Sprint(a.timeout.Milliseconds()))
	}
	p := r.do(req)
	p.id = id
	return p
}

func (r *rig) do(req *http.Request) reply {
	began := time.Now()
	resp, err := r.caller.Do(req)
	if err != nil {
		return reply{err: err, took: time.Since(began)}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	p := reply{status: resp.StatusCode, outcome: caller.Outcome(resp.Header.Get(caller.HeaderOutcome)), reason: resp.Header.Get(caller.HeaderReason), header: resp.Header, closed: resp.Close, err: err, took: time.Since(began)}
	if p.outcome == "" {
		p.outcome = caller.OutcomeRan
		_ = json.Unmarshal(data, &p.echo)
	}
	return p
}

// timesRun counts how often the targets ran a request.
func (r *rig) timesRun(id string) int {
	sum := 0
	for _, t := range r.targets {
		sum += t.Ledger().Runs[id]
	}
	return sum
}

// behave changes how all targets serve.
func (r *rig) behave(b standin.Behaviour) {
	for _, t := range r.targets {
		own := b
		if own.Slots == 0 {
			own.Slots = t.endpoint.Slots
		}
		t.SetBehaviour(own)
	}
}

// served counts the requests that reached the endpoints of a failure domain, or
// of all with "".
func (r *rig) served(domain inventory.DomainID) int {
	sum := 0
	for _, t := range r.targets {
		if domain == "" || t.endpoint.Domain == domain {
			sum += len(t.Ledger().Arrivals)
		}
	}
	return sum
}
