package node

// Whether this node reaches the endpoints: what its attempts show, the probes, and what changes
// when it is cut off.

import (
	"context"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/wasabiwheel/wasabiwheel/endpoint"
	"github.com/wasabiwheel/wasabiwheel/exchange"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/reach"
)

const (
	reachInterval = 50 * time.Millisecond  // between checks whether probes are due
	probeTimeout  = 300 * time.Millisecond // to open a connection in a probe: several round trips
)

// errCutOff cancels the attempts that wait for a response when the node is cut off.
var errCutOff = errors.New("the node reaches no endpoint")

// directAttempts holds the attempts of idempotent requests that wait for an endpoint.
type directAttempts struct {
	mu      sync.Mutex
	last    reach.Attempt
	waiting map[reach.Attempt]context.CancelCauseFunc
}

// track lets an attempt count for the detector, and be canceled when the node is cut off if its
// request is idempotent. done ends that.
func (n *Node) track(ctx context.Context, req *request) (tracked context.Context, done func()) {
	tracked, cancel := context.WithCancelCause(ctx)
	a := &n.attempts
	a.mu.Lock()
	a.last++
	id := a.last
	if req.route.Idempotent {
		a.waiting[id] = cancel
	}
	a.mu.Unlock()
	n.reach.Begin(time.Now(), id)
	return tracked, func() {
		n.reach.End(id)
		a.mu.Lock()
		delete(a.waiting, id)
		a.mu.Unlock()
		cancel(nil)
	}
}

// cancelAll cancels the attempts that may be repeated.
func (a *directAttempts) cancelAll() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, cancel := range a.waiting {
		cancel(errCutOff)
	}
}

// recordReach records what an attempt shows of the links of this node.
func (n *Node) recordReach(now time.Time, c endpoint.Choice, resp exchange.Response, failed *exchange.Error) {
	if signalsOf(resp, failed).Heard {
		n.reach.Heard(now)
	}
	switch {
	case failed == nil && resp.DialTime > 0:
		n.reach.Opened(now)
	case failed != nil && failed.Kind == exchange.KindUnreachable:
		n.reach.Failed(now, c.Endpoint.ID)
	}
}

// watchReach opens connections to endpoints when the detector asks for it, until ctx ends.
func (n *Node) watchReach(ctx context.Context) {
	for ctx.Err() == nil {
		if count := n.reach.Probes(time.Now()); count > 0 {
			n.background.Go(func() { n.probeEndpoints(ctx, count) })
		}
		sleep(ctx, reachInterval)
	}
}

// probeEndpoints opens connections to endpoints, and closes them.
func (n *Node) probeEndpoints(ctx context.Context, count int) {
	targets := n.endpoints.ProbeTargets(time.Now(), count, "")
	connected := 0
	for ok := range n.dialAll(ctx, targets) {
		if ok {
			connected++
		}
	}
	if len(targets) == 0 {
		connected = count // without endpoints there is nothing to reach
	}
	n.metrics.increment("reach.probe")
	if ctx.Err() != nil || !n.reach.RecordProbes(time.Now(), connected, count) {
		return
	}
	n.reachChanged()
}

// dialAll opens a connection to each endpoint, and returns whether that succeeded.
func (n *Node) dialAll(ctx context.Context, targets []inventory.Endpoint) <-chan bool {
	results := make(chan bool, len(targets))
	var dials sync.WaitGroup
	for _, e := range targets {
		dials.Go(func() { results <- n.canConnect(ctx, e.Address) })
	}
	dials.Wait()
	close(results)
	return results
}

func (n *Node) canConnect(ctx context.Context, address string) bool {
	conn, err := exchange.TimeoutDialer{Dialer: n.network, Timeout: probeTimeout}.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = conn.Close() // nothing was sent
	return true
}

// reachChanged applies that this node is cut off from the endpoints, or reaches them again. What
// failed since its links were cut says nothing of the endpoints.
func (n *Node) reachChanged() {
	now := time.Now()
	state, _ := n.reach.State(now)
	silent := n.reach.IsSilent(now)
	n.metrics.increment("reach." + string(state))
	klog.InfoS("endpoints reached", "state", state, "silent", silent, "since", n.reach.Onset().UTC(), "inflight", n.inFlight.Load())
	if state != reach.StateCutOff {
		return
	}
	n.endpoints.Forgive(n.reach.Onset())
	if silent {
		n.attempts.cancelAll()
	}
	n.endpoints.WakeSubscribers() // so that other nodes forward nothing to this one
}

func (n *Node) reachState() reach.State {
	state, _ := n.reach.State(time.Now())
	return state
}

// wasCutOff reports whether an attempt that failed now, and began at a time, says nothing of its
// endpoint since this node reached none meanwhile.
func (n *Node) wasCutOff(now, began time.Time) bool {
	state, since := n.reach.State(now)
	return state == reach.StateCutOff || state == reach.StateReturning && began.Before(since)
}

// isCutOff reports whether this node reaches no endpoint.
func (n *Node) isCutOff() bool { return n.reachState() == reach.StateCutOff }
