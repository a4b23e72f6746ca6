package experiment

// The environment of the compared systems: an in-memory network with the declared
// delays, a platform, and targets; and the start of complete nodes.

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiwheel/wasabiwheel/caller"
	"github.com/wasabiwheel/wasabiwheel/configuration"
	"github.com/wasabiwheel/wasabiwheel/exchange"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/node"
	"github.com/wasabiwheel/wasabiwheel/platform"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

// Addresses and timing of an in-memory deployment.
const (
	storeIP         = "10.0.0.1"
	storeAddress    = storeIP + ":9000"
	operatorIP      = "10.0.0.2"
	callerSubnet    = "10.1." // prefix; followed by the index of the failure domain
	localDelay      = 250 * time.Microsecond
	retransmitExtra = 10 * time.Millisecond
	jitterDivisor   = 10 // delay between regions divided by its jitter
	readyInterval   = 100 * time.Millisecond
	readyTimeout    = time.Minute
	settleTime      = 5 * time.Second // time for the nodes to discover each other
	closeWait       = time.Minute     // time for background work that ends only by its own timeout
)

// deployment is the environment of a run.
type deployment struct {
	inv          *inventory.Inventory
	text         []byte // inventory in TOML
	network      *standin.Network
	targets      map[inventory.EndpointID]*standin.Target
	servers      []*http.Server
	clients      []*http.Client
	storeClients []*platform.Client
	cancel       context.CancelFunc
	ctx          context.Context
	tasks        sync.WaitGroup
}

func newDeployment(ctx context.Context, text []byte, seed uint64, loss float64) (*deployment, error) {
	inv, err := inventory.Parse("experiment", text)
	if err != nil {
		return nil, &Error{Op: "deployment", Kind: KindSetup, Err: err}
	}
	domains := domainsByIP(inv)
	d := &deployment{
		inv:     inv,
		text:    text,
		network: standin.NewNetwork(seed, func(p standin.Path) standin.Quality { return pathQuality(inv, domains, loss, p) }),
		targets: map[inventory.EndpointID]*standin.Target{},
	}
	d.ctx, d.cancel = context.WithCancel(ctx)
	if err := d.serve(storeAddress, standin.NewPlatform()); err != nil {
		return nil, err
	}
	for _, e := range inv.Endpoints {
		d.targets[e.ID] = standin.NewTarget(string(e.ID), caller.Headers, standin.Behaviour{})
		if err := d.serve(e.Address, d.targets[e.ID]); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// domainsByIP returns the failure domain of each VM by its IP address.
func domainsByIP(inv *inventory.Inventory) map[string]inventory.DomainID {
	domains := map[string]inventory.DomainID{}
	for _, e := range inv.Entries {
		domains[hostOf(e.Peer)] = e.Domain
	}
	for _, e := range inv.Endpoints {
		domains[hostOf(e.Address)] = e.Domain
	}
	return domains
}

// pathQuality returns the declared delay of a path, with jitter and loss between
// regions.
func pathQuality(inv *inventory.Inventory, domains map[string]inventory.DomainID, loss float64, p standin.Path) standin.Quality {
	from, to := domainOfIP(inv, domains, p.From), domainOfIP(inv, domains, p.To)
	a, b := inv.RegionOf(from), inv.RegionOf(to)
	var q standin.Quality
	switch {
	case a == "" || b == "" || from == to:
		q.Delay = localDelay
	case a == b:
		q.Delay = inv.Delay.Duration
	default:
		delay, _ := inv.DelayBetween(a, b)
		q = standin.Quality{Delay: delay.Duration, Jitter: delay.Duration / jitterDivisor, Loss: loss, Resend: 2*delay.Duration + retransmitExtra}
	}
	if strings.HasPrefix(p.From, callerSubnet) || strings.HasPrefix(p.To, callerSubnet) {
		q.Delay += callerDelay
	}
	return q
}

// domainOfIP returns the failure domain of a VM or of a caller.
func domainOfIP(inv *inventory.Inventory, domains map[string]inventory.DomainID, ip string) inventory.DomainID {
	for i, d := range inv.Domains {
		if strings.HasPrefix(ip, fmt.Sprint(callerSubnet, i, ".")) {
			return d.ID
		}
	}
	return domains[ip]
}

func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// serve starts an HTTP server at an address of the network.
func (d *deployment) serve(address string, h http.Handler) error {
	l, err := d.network.VM(hostOf(address)).Listen("tcp", address)
	if err != nil {
		return &Error{Op: "serve", Kind: KindSetup, Err: err}
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: callerTimeout}
	d.servers = append(d.servers, s)
	d.tasks.Go(func() { _ = s.Serve(l) })
	return nil
}

// newClient returns an HTTP client that sends from a VM of the network.
func (d *deployment) newClient(ip string) *http.Client {
	dialer := exchange.TimeoutDialer{Dialer: d.network.VM(ip), Timeout: callerTimeout}
	c := &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: generousLimit,
		IdleConnTimeout:     callerTimeout,
	}}
	d.clients = append(d.clients, c)
	return c
}

// newStoreClient returns a store client that sends from a VM of the network, limited
// to a number of calls per second; 0: the default.
func (d *deployment) newStoreClient(ip string, calls float64) *platform.Client {
	c := platform.New(platform.Options{Address: storeAddress, Dialer: d.network.VM(ip), CallsPerSecond: calls})
	d.storeClients = append(d.storeClients, c)
	return c
}

// startNodes publishes the inventory, registers the endpoints, starts complete nodes
// on all entry VMs and waits until each has discovered all endpoints.
func startNodes(ctx context.Context, r *run) error {
	operator := r.newStoreClient(operatorIP, float64(generousLimit*len(r.inv.Endpoints)))
	if _, err := configuration.New(operator).Publish(ctx, configuration.Change{Text: r.text, Author: "experiment"}); err != nil {
		return &Error{Op: "publish", Kind: KindSetup, Err: err}
	}
	for _, e := range r.inv.Endpoints {
		r.tasks.Go(func() { standin.NewRegistrar(operator, e).Run(r.ctx) })
	}
	var nodes []*node.Node
	for _, e := range r.inv.Entries {
		vm := r.network.VM(hostOf(e.Peer))
		n := node.New(node.SettingsOf(r.inv, e, storeAddress), node.Options{Network: vm, Store: r.newStoreClient(hostOf(e.Peer), 0)})
		nodes = append(nodes, n)
		r.tasks.Go(func() { _ = n.Run(r.ctx) })
	}
	for start := time.Now(); time.Since(start) < readyTimeout && ctx.Err() == nil; pause(ctx, readyInterval) {
		if r.allReady(nodes) {
			pause(ctx, settleTime)
			return nil
		}
	}
	return &Error{Op: "nodes", Kind: KindReady, Err: errors.Newf("some of %d nodes are not ready after %s", len(nodes), readyTimeout)}
}

func (d *deployment) allReady(nodes []*node.Node) bool {
	for _, n := range nodes {
		if !n.Status().Serves(len(d.inv.Endpoints)) {
			return false
		}
	}
	return true
}

// close stops everything that the deployment started.
func (d *deployment) close() {
	d.cancel()
	for _, s := range d.servers {
		_ = s.Close()
	}
	d.tasks.Wait()
	for _, c := range d.clients {
		c.CloseIdleConnections()
	}
	for _, s := range d.storeClients {
		s.Close()
	}
	d.network.Close()
}

// pause waits for d or until ctx is canceled.
func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
