package soak

// Callers. Half of them look up a node for each request; the others keep a node until
// a connection to it fails.

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/wasabiwheel/wasabiwheel/caller"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

const (
	callerCount  = 40              // callers that send requests
	objectCount  = 300             // distinct objects of requests
	cancelShare  = 0.03            // share of requests that the caller cancels early
	routeTimeout = 2 * time.Second // timeout of all routes
)

// testCaller is a caller with its own client.
type testCaller struct {
	client  *caller.Client
	pinned  bool // keeps its node between requests
	harness *harness

	mu          sync.Mutex
	currentNode string // address of the node that a pinned caller uses; "": look up
}

// newCallers returns callers in all failure domains in turn. Every second one is pinned.
func (h *harness) newCallers() []*testCaller {
	var callers []*testCaller
	for i := range callerCount {
		domain := h.inventory.Domains[i%len(h.inventory.Domains)]
		transport := &http.Transport{DialContext: h.dial, MaxIdleConnsPerHost: 8}
		callers = append(callers, &testCaller{
			harness: h,
			pinned:  i%2 == 0,
			client: caller.New(caller.Options{
				Nodes:  h.lookupAddresses(i),
				Region: domain.Region,
				Domain: domain.ID,
				HTTP:   &http.Client{Transport: transport},
			}),
		})
	}
	return callers
}

// dial connects to a node through the proxy in front of its address.
func (h *harness) dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: time.Second}
	return d.DialContext(ctx, network, h.proxyAddresses[address])
}

// generateLoad sends requests with exponential gaps until ctx ends, and waits for the
// last to end. rate is in requests a second.
func (h *harness) generateLoad(ctx context.Context, rate float64) {
	random := rand.New(rand.NewPCG(h.seed, 1))
	callers := h.newCallers()
	var running sync.WaitGroup
	for ctx.Err() == nil {
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		c, draw := callers[random.IntN(len(callers))], random.Uint64()
		running.Go(func() { c.request(rand.New(rand.NewPCG(draw, draw))) })
	}
	running.Wait()
}

// lookupAddresses returns the lookup addresses of all nodes, starting with that of
// node first.
func (h *harness) lookupAddresses(first int) []string {
	var addresses []string
	for i := range h.processes {
		addresses = append(addresses, h.inventory.Entries[(first+i)%len(h.processes)].Lookup)
	}
	return addresses
}

// chooseNode returns the address of the node to use.
func (c *testCaller) chooseNode(ctx context.Context) (string, bool) {
	c.mu.Lock()
	node := c.currentNode
	c.mu.Unlock()
	if c.pinned && node != "" {
		return node, true
	}
	found, err := c.client.Lookup(ctx)
	if err != nil {
		return "", false // without a node no request is sent, so there is nothing to record
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.currentNode = found[0]
	return found[0], true
}

// dropNode makes a pinned caller look up a node for its next request.
func (c *testCaller) dropNode() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.currentNode = ""
}

// The routes; each is also the first segment of its paths.
const (
	browseRoute inventory.RouteID = "browse"
	bookRoute   inventory.RouteID = "book"
	probeRoute  inventory.RouteID = "probe"
)

func newOperation(r *rand.Rand) (caller.Operation, inventory.RouteID) {
	op := caller.Operation{ID: strconv.FormatUint(r.Uint64(), 36), Method: http.MethodGet, Object: strconv.Itoa(r.IntN(objectCount))}
	route := browseRoute
	switch r.IntN(10) {
	case 0, 1, 2:
		route, op.Method, op.Body = bookRoute, http.MethodPost, []byte(op.ID+" books")
	case 3:
		route = probeRoute
	}
	op.Path = "/" + string(route) + "/" + op.Object + "?by=" + op.ID
	return op, route
}

// request sends one request without retries and records its result.
func (c *testCaller) request(r *rand.Rand) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*routeTimeout)
	defer cancel()
	address, ok := c.chooseNode(ctx)
	if !ok {
		return
	}
	op, route := newOperation(r)
	if r.Float64() < cancelShare {
		var cancelEarly context.CancelFunc
		ctx, cancelEarly = context.WithTimeout(ctx, time.Duration(r.Int64N(int64(4*meanWork))))
		defer cancelEarly()
	}
	n := c.harness.nodeByAddress[address]
	sent := Request{ID: op.ID, Route: route, Node: n, Incarnation: c.harness.processes[n].Incarnation(), Sent: time.Now(), Timeout: routeTimeout}
	c.harness.checker.RecordSent(sent)
	reply, err := c.client.CallAt(ctx, address, op)
	if err != nil {
		c.dropNode()
	}
	if err == nil && reply.Outcome == caller.OutcomeRan {
		if mismatch := standin.EchoMismatch(op, reply); mismatch != "" {
			c.harness.checker.RecordMismatch(time.Now(), op.ID, mismatch)
		}
	}
	cancelled := ctx.Err() != nil
	c.harness.checker.RecordAnswer(time.Now(), op.ID, reply, err, cancelled)
}

// checkLookups sends lookups to random nodes until ctx ends, and records the nodes
// that they return.
func (h *harness) checkLookups(ctx context.Context) {
	random := rand.New(rand.NewPCG(h.seed, 2))
	transport := &http.Transport{DialContext: h.dial, DisableKeepAlives: true}
	for ctx.Err() == nil {
		time.Sleep(lookupInterval)
		n := random.IntN(len(h.processes))
		e := h.inventory.Entries[n]
		domain := h.inventory.Domains[random.IntN(len(h.inventory.Domains))]
		client := caller.New(caller.Options{Nodes: []string{e.Lookup}, Region: domain.Region, Domain: domain.ID, HTTP: &http.Client{Transport: transport}})
		found, err := client.Lookup(ctx)
		if err != nil {
			continue // the node may be down
		}
		var returned []int
		for _, address := range found {
			returned = append(returned, h.nodeByAddress[address])
		}
		h.checker.RecordLookup(time.Now(), n, returned)
	}
}
