package node

// Following the platform's list of VMs, and what endpoints say of themselves:
// which targets are leaving, and which silent entry VMs are gone.

import (
	"context"
	"net"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/wasabiwheel/wasabiwheel/configuration"
	"github.com/wasabiwheel/wasabiwheel/endpoint"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/member"
	"github.com/wasabiwheel/wasabiwheel/platform"
)

// HeaderLeaving on any answer of an endpoint, with the value 1, says that it is
// leaving and is to get no new work.
const HeaderLeaving = "Wasabiwheel-Leaving"

// pathHealth is where an endpoint is asked for its state. The answer 503 means
// that it is leaving, any other without HeaderLeaving that it is not.
const pathHealth = "/health"

// Timing of what is read at intervals.
const (
	listInterval     = 500 * time.Millisecond // of the nodes that read the list for their failure domain
	spareInterval    = time.Minute            // of the others
	healthInterval   = time.Second
	healthTimeout    = time.Second
	healthConcurrent = 8
)

// followVMs reads the list of VMs until ctx ends.
func (n *Node) followVMs(ctx context.Context) {
	for ctx.Err() == nil {
		n.readVMs(ctx)
		sleep(ctx, listInterval)
		n.awaitTurn(ctx)
	}
}

// awaitTurn keeps the readings of the whole fleet within what the platform
// serves: a few nodes of each failure domain read often and tell the others. It
// returns when this node is one of them, or after spareInterval.
func (n *Node) awaitTurn(ctx context.Context) {
	for began := time.Now(); !n.reads() && time.Since(began) < spareInterval && ctx.Err() == nil; {
		sleep(ctx, listInterval)
	}
}

// reads reports whether this node reads the platform for its failure domain.
func (n *Node) reads() bool {
	inv := n.config.Inventory()
	return inv == nil || member.Reads(inv, n.settings.ID, n.lives)
}

// headWait is how long to wait at the platform for a new head. The nodes that
// read for their failure domain watch; the others hear of a new version by the
// heartbeats, and only look now and then.
func (n *Node) headWait(ctx context.Context) time.Duration {
	n.awaitTurn(ctx)
	if n.reads() {
		return watchWait
	}
	return 0
}

// lives reports whether an entry VM was heard of lately.
func (n *Node) lives(id inventory.EntryID) bool {
	return id == n.settings.ID || n.members.Lives(time.Now(), id)
}

func (n *Node) readVMs(ctx context.Context) {
	began := time.Now()
	rows, err := n.store.VMs(ctx)
	if err != nil {
		n.counters.add("list.failure")
		return
	}
	vms := make([]member.VM, 0, len(rows))
	for _, r := range rows {
		vms = append(vms, member.VM{Address: r.Address, Leaving: r.State == platform.StateLeaving})
	}
	n.vms.Read(began, vms)
	if inv := n.config.Inventory(); inv != nil {
		n.judgeTargets(inv)
		n.judgeEntries(inv)
	}
	if n.endpoints.Held(time.Now()) {
		n.catchUp(ctx, began)
	}
}

// catchUp ends the hold after a pause if the store has nothing newer than what
// is in force here.
func (n *Node) catchUp(ctx context.Context, asked time.Time) {
	obj, err := n.store.Get(ctx, configuration.HeadName)
	if err != nil {
		return
	}
	head, err := configuration.ParseHead(obj.Value)
	if err == nil && head.Version <= n.config.Version() {
		n.endpoints.Resume(time.Now(), asked)
	}
}

func (n *Node) judgeTargets(inv *inventory.Inventory) {
	var leaving []inventory.EndpointID
	for _, e := range inv.Endpoints {
		if n.vms.Leaving(hostOnly(e.Address)) {
			leaving = append(leaving, e.ID)
		}
	}
	n.endpoints.Leaving(time.Now(), endpoint.SourceList, leaving)
}

// judgeEntries looks for entry VMs that are proved to be gone, those that were
// removed from the inventory lately among them: endpoints may wait for them.
func (n *Node) judgeEntries(inv *inventory.Inventory) {
	for _, e := range inv.Entries {
		n.judgeEntry(e.ID, e.Peer)
	}
	for _, f := range n.config.Former() {
		n.judgeEntry(f.ID, f.Peer)
	}
}

func (n *Node) judgeEntry(id inventory.EntryID, peer string) {
	m, _ := n.members.Get(id)
	if id == n.settings.ID || m.Dead {
		return
	}
	if since, gone := n.vms.Gone(hostOnly(peer), m.Last); gone {
		n.counters.add("member.gone")
		n.dead(id, since)
	}
}

// unlisted reports whether the platform says that this node's VM is leaving.
func (n *Node) unlisted() bool { return n.vms.Leaving(hostOnly(n.settings.Peer)) }

func hostOnly(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// followHealth asks the endpoints that this node owns for their state, until
// ctx ends. Only the owner asks.
func (n *Node) followHealth(ctx context.Context) {
	for ctx.Err() == nil {
		n.askEndpoints(ctx)
		sleep(ctx, healthInterval)
	}
}

// askEndpoints asks them a few at a time, so that one that does not answer
// holds up no more than itself.
func (n *Node) askEndpoints(ctx context.Context) {
	room := make(chan struct{}, healthConcurrent)
	for _, e := range n.endpoints.Owned() {
		room <- struct{}{}
		n.background.Go(func() {
			defer func() { <-room }()
			n.askEndpoint(ctx, e)
		})
	}
}

func (n *Node) askEndpoint(ctx context.Context, e inventory.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Address+pathHealth, nil)
	if err != nil {
		return
	}
	resp, err := n.targets.Do(req)
	if err != nil {
		n.counters.add("health.failure")
		return
	}
	defer func() { _ = resp.Body.Close() }()
	leaving := resp.StatusCode == http.StatusServiceUnavailable || resp.Header.Get(HeaderLeaving) == "1"
	n.endpoints.Signal(time.Now(), e.ID, leaving)
}

// noteSignal takes in what an endpoint says of itself on an answer. An answer
// without the header may be older than one with it, so it proves nothing.
func (n *Node) noteSignal(id inventory.EndpointID, a answer) {
	if a.header.Get(HeaderLeaving) != "1" {
		return
	}
	a.header.Del(HeaderLeaving)
	n.counters.add("endpoint.leaving")
	klog.V(1).InfoS("endpoint is leaving", "endpoint", id)
	n.endpoints.Signal(time.Now(), id, true)
}
