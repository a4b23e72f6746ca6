package experiment

// What surrounds the steering: a network in memory with the delays that the
// inventory declares, a platform, targets, and whole nodes.

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiwheel/wasabiwheel/configuration"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/node"
	"github.com/wasabiwheel/wasabiwheel/platform"
	"github.com/wasabiwheel/wasabiwheel/region"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

// Addresses and timing of a deployment in memory.
const (
	platformIP   = "10.0.0.1"
	platformURL  = "http://" + platformIP + ":9000"
	operatorIP   = "10.0.0.2"
	callerSubnet = "10.1." // followed by the region's number
	nearDelay    = 250 * time.Microsecond
	resendExtra  = 10 * time.Millisecond
	jitterPart   = 10 // of the delay between regions
	readyPoll    = 100 * time.Millisecond
	readyLimit   = time.Minute
	closeWait    = time.Minute // for what ends by time limits of its own
	nodeKey      = "key of the nodes of an experiment"
)

// deployment is everything around the steering.
type deployment struct {
	inv      *inventory.Inventory
	text     []byte
	network  *standin.Network
	targets  map[inventory.EndpointID]*standin.Target
	servers  []*http.Server
	clients  []*http.Client
	stop     context.CancelFunc
	stopping context.Context
	running  sync.WaitGroup
}

func newDeployment(ctx context.Context, text []byte, seed uint64, loss float64) (*deployment, error) {
	inv, err := inventory.Parse("experiment", text)
	if err != nil {
		return nil, &Error{Op: "deployment", Kind: KindSetup, Err: err}
	}
	places := placesOf(inv)
	d := &deployment{
		inv:     inv,
		text:    text,
		network: standin.NewNetwork(seed, func(p standin.Path) standin.Quality { return quality(inv, places, loss, p) }),
		targets: map[inventory.EndpointID]*standin.Target{},
	}
	d.stopping, d.stop = context.WithCancel(ctx)
	if err := d.serve(platformIP+":9000", standin.NewPlatform()); err != nil {
		return nil, err
	}
	for _, e := range inv.Endpoints {
		d.targets[e.ID] = standin.NewTarget(string(e.ID), standin.Behaviour{})
		if err := d.serve(e.Address, d.targets[e.ID]); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// placesOf tells the failure domain of each VM by its IP number.
func placesOf(inv *inventory.Inventory) map[string]inventory.DomainID {
	places := map[string]inventory.DomainID{}
	for _, e := range inv.Entries {
		places[hostOf(e.Peer)] = e.Domain
	}
	for _, e := range inv.Endpoints {
		places[hostOf(e.Address)] = e.Domain
	}
	return places
}

// quality gives a path the delay that the inventory declares.
func quality(inv *inventory.Inventory, places map[string]inventory.DomainID, loss float64, p standin.Path) standin.Quality {
	from, to := places[p.From], places[p.To]
	a, b := regionOfIP(inv, p.From, from), regionOfIP(inv, p.To, to)
	var q standin.Quality
	switch {
	case a == "" || b == "" || from != "" && from == to:
		q.Delay = nearDelay
	case a == b:
		q.Delay = inv.Rules.DomainDelay.Duration
	default:
		l, _ := inv.LinkBetween(a, b)
		delay := l.Delay.Duration
		q = standin.Quality{Delay: delay, Jitter: delay / jitterPart, Loss: loss, Resend: 2*delay + resendExtra}
	}
	if strings.HasPrefix(p.From, callerSubnet) || strings.HasPrefix(p.To, callerSubnet) {
		q.Delay += callerDelay
	}
	return q
}

// regionOfIP is the region of a VM, or of the callers that send from it.
func regionOfIP(inv *inventory.Inventory, ip string, d inventory.DomainID) inventory.RegionID {
	for i, r := range inv.Regions {
		if strings.HasPrefix(ip, fmt.Sprint(callerSubnet, i, ".")) {
			return r.ID
		}
	}
	return inv.RegionOf(d)
}

func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// serve runs a stand-in on an address of the network.
func (d *deployment) serve(address string, h http.Handler) error {
	l, err := d.network.VM(hostOf(address)).Listen("tcp", address)
	if err != nil {
		return &Error{Op: "serve", Kind: KindSetup, Err: err}
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: patience}
	d.servers = append(d.servers, s)
	d.running.Go(func() { _ = s.Serve(l) })
	return nil
}

// client returns an HTTP client on a VM of the network.
func (d *deployment) client(ip string) *http.Client {
	vm := d.network.VM(ip)
	c := &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, patience)
			defer cancel()
			return vm.DialContext(ctx, network, address)
		},
		MaxIdleConnsPerHost: percent,
		IdleConnTimeout:     patience,
	}}
	d.clients = append(d.clients, c)
	return c
}

// startNodes runs whole nodes on all entry VMs and waits until each knows owners
// of all slots and may use its floors.
func startNodes(ctx context.Context, r *run) error {
	store := platform.New(platform.Options{Base: platformURL, HTTP: r.client(operatorIP)})
	if _, err := configuration.Publish(ctx, store, configuration.Change{Text: r.text, Author: "experiment"}); err != nil {
		return &Error{Op: "publish", Kind: KindSetup, Err: err}
	}
	var nodes []*node.Node
	for _, e := range r.inv.Entries {
		s := node.Settings{ID: e.ID, Domain: e.Domain, Caller: e.Caller, Peer: e.Peer, Admin: e.Admin, Platform: platformURL, Keys: []string{nodeKey}}
		n := node.New(s, node.Options{Network: r.network.VM(hostOf(e.Peer))})
		nodes = append(nodes, n)
		r.running.Go(func() { _ = n.Run(r.stopping) })
	}
	if err := r.awaitReady(ctx, nodes); err != nil {
		return err
	}
	pause(ctx, region.HoldTime)
	return nil
}

func (d *deployment) awaitReady(ctx context.Context, nodes []*node.Node) error {
	want := 0
	for _, e := range d.inv.Endpoints {
		want += e.Slots
	}
	for began := time.Now(); time.Since(began) < readyLimit && ctx.Err() == nil; pause(ctx, readyPoll) {
		if leastReach(nodes) == want {
			return nil
		}
	}
	return &Error{Op: "nodes", Kind: KindReady, Err: errors.Newf("%d of %d slots have an owner", leastReach(nodes), want)}
}

// leastReach is the number of slots that every node knows an owner of.
func leastReach(nodes []*node.Node) int {
	least := -1
	for _, n := range nodes {
		sum := 0
		for _, l := range n.Status().Reach {
			sum += l.Slots
		}
		if least < 0 || sum < least {
			least = sum
		}
	}
	return least
}

// close ends everything.
func (d *deployment) close() {
	d.stop()
	for _, s := range d.servers {
		_ = s.Close()
	}
	d.running.Wait()
	for _, c := range d.clients {
		c.CloseIdleConnections()
	}
	d.network.Close()
}

// pause waits for d or until ctx ends.
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
