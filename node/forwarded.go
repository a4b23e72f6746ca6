package node

// Requests that other nodes forward, since they reach no endpoint.

import (
	"context"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/wasabiwheel/wasabiwheel/caller"
	"github.com/wasabiwheel/wasabiwheel/platform"
	"github.com/wasabiwheel/wasabiwheel/reach"
)

const (
	maxForwarded     = 256                    // requests of other nodes in progress: their bodies and responses take memory
	maxForwardDelay  = 150 * time.Millisecond // of the last tick: a node that is short of processor time serves its own callers
	forwardPollDelay = 10 * time.Millisecond  // between checks whether they have ended
)

// serveForwarded handles a request of another node.
func (n *Node) serveForwarded(w http.ResponseWriter, r *http.Request) {
	from, err := parseForwarded(r.Header.Get(headerForward))
	if err != nil {
		n.metrics.increment("forward.malformed")
		klog.InfoS("forwarded request rejected", "request", r.Header.Get(n.headerNames.Request), "cause", err)
		w.Header().Set(n.headerNames.Request, r.Header.Get(n.headerNames.Request))
		n.writeResponse(w, rejected(ReasonMalformed, http.StatusBadRequest))
		return
	}
	from.charged = r.Header.Get(headerCharged) != ""
	r.Header.Del(headerForward)
	r.Header.Del(headerCharged)
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	defer n.forwarded.Add(-1)
	now := time.Now()
	if count := n.forwarded.Add(1); count > maxForwarded || time.Duration(n.tickDelay.Load()) > maxForwardDelay {
		n.rejectForwarded(w, r, ReasonBusy)
		return
	}
	switch state, _ := n.reach.State(now); {
	case n.state() != StateServing:
		n.rejectForwarded(w, r, ReasonLeaving)
	case n.version() < from.version:
		n.follower.Hurry(now, platform.Configurations)
		n.rejectForwarded(w, r, ReasonBehind)
	case state == reach.StateCutOff:
		n.rejectForwarded(w, r, ReasonCutOff)
	default:
		req, resp := n.handle(w, r, now, &from)
		w.Header().Set(n.headerNames.Request, r.Header.Get(n.headerNames.Request))
		n.finish(w, r, req, resp)
		n.metrics.increment("forwarded." + string(resp.outcome))
	}
}

// rejectForwarded rejects a request of another node that this one can't serve.
func (n *Node) rejectForwarded(w http.ResponseWriter, r *http.Request, reason caller.Reason) {
	n.metrics.increment("forwarded." + string(reason))
	w.Header().Set(n.headerNames.Request, r.Header.Get(n.headerNames.Request))
	n.writeResponse(w, notRun(reason, 0))
}

// awaitForwarded waits until the requests of other nodes have ended, or ctx ends.
func (n *Node) awaitForwarded(ctx context.Context) {
	for n.forwarded.Load() > 0 && ctx.Err() == nil {
		sleep(ctx, forwardPollDelay)
	}
}
