package soak

// Callers: many that ask for look-ups as they should, and some that keep a node for
// as long as it takes their connections.

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
	desks     = 40  // callers
	objects   = 300 // that requests concern
	giveUp    = 0.03
	routeTime = 2 * time.Second // timeout of all routes
)

// desk is one caller.
type desk struct {
	client *caller.Client
	loyal  bool // keeps its node
	world  *world

	mu     sync.Mutex
	chosen string // node of a loyal one
}

// newDesks returns the callers.
func (w *world) newDesks() []*desk {
	var all []*desk
	for i := range desks {
		domain := w.inv.Domains[i%len(w.inv.Domains)]
		transport := &http.Transport{DialContext: w.dial, MaxIdleConnsPerHost: 8}
		all = append(all, &desk{
			world: w,
			loyal: i%2 == 0,
			client: caller.New(caller.Options{
				Nodes:  w.lookups(i),
				Region: domain.Region,
				Domain: domain.ID,
				HTTP:   &http.Client{Transport: transport},
			}),
		})
	}
	return all
}

// dial connects to a node through the proxy before the address.
func (w *world) dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: time.Second}
	return d.DialContext(ctx, network, w.proxied[address])
}

// load sends requests at random moments until ctx ends, and waits for the last.
func (w *world) load(ctx context.Context, rate float64) {
	random := rand.New(rand.NewPCG(w.seed, 1))
	all := w.newDesks()
	var running sync.WaitGroup
	for ctx.Err() == nil {
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		d, draw := all[random.IntN(len(all))], random.Uint64()
		running.Go(func() { d.request(rand.New(rand.NewPCG(draw, draw))) })
	}
	running.Wait()
}

// lookups returns the addresses to ask, in an order of the caller's own.
func (w *world) lookups(first int) []string {
	var all []string
	for i := range w.processes {
		all = append(all, w.inv.Entries[(first+i)%len(w.processes)].Lookup)
	}
	return all
}

// entry returns the node to use.
func (d *desk) entry(ctx context.Context) (string, bool) {
	d.mu.Lock()
	chosen := d.chosen
	d.mu.Unlock()
	if d.loyal && chosen != "" {
		return chosen, true
	}
	found, err := d.client.Lookup(ctx)
	if err != nil {
		return "", false // a caller without a node has nothing to tell
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.chosen = found[0]
	return found[0], true
}

// leaveNode has a loyal caller ask again.
func (d *desk) leaveNode() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.chosen = ""
}

// The routes, and the paths by which callers ask for them.
const (
	browseRoute inventory.RouteID = "browse"
	bookRoute   inventory.RouteID = "book"
	probeRoute  inventory.RouteID = "probe"
)

func newOperation(r *rand.Rand) (caller.Operation, inventory.RouteID) {
	op := caller.Operation{ID: strconv.FormatUint(r.Uint64(), 36), Method: http.MethodGet, Object: strconv.Itoa(r.IntN(objects))}
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

// request sends one request, once, and notes what came of it.
func (d *desk) request(r *rand.Rand) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*routeTime)
	defer cancel()
	entry, ok := d.entry(ctx)
	if !ok {
		return
	}
	op, route := newOperation(r)
	if r.Float64() < giveUp {
		var leave context.CancelFunc
		ctx, leave = context.WithTimeout(ctx, time.Duration(r.Int64N(int64(4*work))))
		defer leave()
	}
	n := d.world.nodeAt[entry]
	sent := Request{ID: op.ID, Route: route, Node: n, Boot: d.world.processes[n].Boot(), Sent: time.Now(), Timeout: routeTime}
	d.world.evidence.Sent(sent)
	reply, err := d.client.CallAt(ctx, entry, op)
	if err != nil {
		d.leaveNode()
	}
	if err == nil && reply.Outcome == caller.OutcomeRan {
		if wrong := standin.WrongWith(op, reply); wrong != "" {
			d.world.evidence.Wrong(time.Now(), op.ID, wrong)
		}
	}
	left := ctx.Err() != nil
	d.world.evidence.Answered(time.Now(), op.ID, reply, err, left)
}

// ask has look-ups answered by random nodes until ctx ends, and notes which nodes
// these name.
func (w *world) ask(ctx context.Context) {
	random := rand.New(rand.NewPCG(w.seed, 2))
	transport := &http.Transport{DialContext: w.dial, DisableKeepAlives: true}
	for ctx.Err() == nil {
		time.Sleep(askGap)
		n := random.IntN(len(w.processes))
		e := w.inv.Entries[n]
		domain := w.inv.Domains[random.IntN(len(w.inv.Domains))]
		client := caller.New(caller.Options{Nodes: []string{e.Lookup}, Region: domain.Region, Domain: domain.ID, HTTP: &http.Client{Transport: transport}})
		found, err := client.Lookup(ctx)
		if err != nil {
			continue // it may be down
		}
		var named []int
		for _, address := range found {
			named = append(named, w.nodeAt[address])
		}
		w.evidence.LookedUp(time.Now(), n, named)
	}
}
