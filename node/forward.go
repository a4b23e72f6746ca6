package node

// Forwarding of requests to other nodes while this one reaches no endpoint. A request goes to one
// other node, which decides on it as on those of its own callers, and never forwards it.

import (
	"context"
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/wasabiwheel/wasabiwheel/admission"
	"github.com/wasabiwheel/wasabiwheel/caller"
	"github.com/wasabiwheel/wasabiwheel/endpoint"
	"github.com/wasabiwheel/wasabiwheel/exchange"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/member"
	"github.com/wasabiwheel/wasabiwheel/reach"
)

const (
	// headerForward marks a request of another node: its id, the endpoints at which the request may
	// have arrived, and whether it was counted in the retry budget.
	headerForward = "Wasabiwheel-Forward"
	// maxForwarders is the number of nodes that are asked to serve a request. One that is cut off says
	// so at once.
	maxForwarders = 8
	// maxForwardShare is the share of a request's time in which another node is asked.
	maxForwardShare = 0.25
	// maxUnreached is the number of endpoints that can't be reached from which a request is forwarded.
	maxUnreached     = 2
	maxForwardConns  = 64                     // connections to one node for forwarded requests
	forwardDialTime  = 250 * time.Millisecond // to open one
	maxForwarded     = 256                    // requests of other nodes in progress: their bodies and responses take memory
	maxForwardDelay  = 150 * time.Millisecond // of the last tick: a node that is short of processor time serves its own callers
	forwardSalt      = 0xbb67ae8584caa73b     // any value that the ranking of endpoints does not use
	forwardPollDelay = 10 * time.Millisecond
)

// The reasons of rejections.
const (
	ReasonCutOff caller.Reason = "cutoff" // neither this node nor another that could be asked reaches an endpoint
	ReasonBusy   caller.Reason = "busy"   // the node has no room for requests of others
	ReasonBehind caller.Reason = "behind" // the node has an older configuration than the one that asks
)

// forwardedRequest is what a node says of a request that it forwards.
type forwardedRequest struct {
	from     inventory.EntryID
	attempts int               // endpoints at which it may have arrived
	counted  bool              // in the retry budget
	version  inventory.Version // of the configuration that the node found its route in
}

// String formats it for the header.
func (f forwardedRequest) String() string {
	return string(f.from) + " " + strconv.Itoa(f.attempts) + " " + strconv.FormatBool(f.counted) + " " + strconv.FormatUint(uint64(f.version), 10)
}

func parseForwarded(text string) (forwardedRequest, error) {
	fields := strings.Fields(text)
	if len(fields) != 4 {
		return forwardedRequest{}, errors.New("four fields are required")
	}
	attempts, err := strconv.ParseUint(fields[1], 10, 8)
	counted, countedErr := strconv.ParseBool(fields[2])
	version, versionErr := strconv.ParseUint(fields[3], 10, 64)
	f := forwardedRequest{from: inventory.EntryID(fields[0]), attempts: int(attempts), counted: counted, version: inventory.Version(version)}
	return f, errors.Join(err, countedErr, versionErr)
}

// setForwarders records the nodes that may serve requests of this one.
func (n *Node) setForwarders(entries []member.Entry) {
	var nodes []reach.Node
	for _, e := range entries {
		nodes = append(nodes, reach.Node{ID: e.ID, Domain: e.Domain, Region: e.Region})
	}
	n.forwarders.SetNodes(nodes)
}

// isForwarded reports whether a request goes to another node: this one reaches no endpoint, or has
// only begun to again.
func (n *Node) isForwarded(now time.Time, req *request) bool {
	share := n.reach.DirectShare(now)
	return req.forwarded == nil && share < 1 && float64(mixSeed(req.seed)) >= share*math.MaxUint64
}

// mixSeed returns a number that is uniform and independent of the ranking of endpoints.
func mixSeed(seed uint64) uint64 {
	x := (seed ^ forwardSalt) * 0xbf58476d1ce4e5b9
	x ^= x >> 32
	return x * 0x94d049bb133111eb
}

// forwardOr forwards a request that this node would reject since it does not reach the endpoints,
// or returns the rejection.
func (n *Node) forwardOr(ctx context.Context, req *request, refused response) response {
	switch refused.reason {
	case caller.Reason(exchange.KindUnreachable), caller.Reason(endpoint.ReasonBackoff):
	default:
		return refused
	}
	if refused.outcome != caller.OutcomeNotRun || req.forwarded != nil || req.unhelped {
		return refused
	}
	if resp, ok := n.forward(ctx, req); ok && helpOf(resp) == reach.Helped {
		return resp
	}
	req.unhelped = true
	return refused
}

// forward lets another node serve a request. ok is false if none can be asked.
func (n *Node) forward(ctx context.Context, req *request) (resp response, ok bool) {
	var tried []inventory.EntryID
	began := time.Now()
	until := began.Add(time.Duration(maxForwardShare * float64(req.remaining(began))))
	for range maxForwarders {
		now := time.Now()
		if !now.Before(until) || isCanceled(ctx) {
			return resp, ok
		}
		to, found := n.forwarders.Choose(now, reach.Query{Service: req.service, Homes: req.route.HomeRegions, Tried: tried})
		if !found {
			return resp, ok
		}
		tried = append(tried, to)
		next, help := n.forwardTo(ctx, req, to)
		n.forwarders.Done(time.Now(), to, req.service, help)
		n.metrics.increment("forward." + string(help))
		resp, ok = mergeResponses(resp, next), true
		if help == reach.Helped || help == reach.Silent || !n.mayRetry(req, resp) {
			return resp, ok
		}
		if next.outcome == caller.OutcomeUnknown && !n.retries.AllowRetry(time.Now(), req.service) {
			n.metrics.increment("retry.refused")
			return resp, ok
		}
	}
	return resp, ok
}

// forwardTo sends a request to another node and returns its response.
func (n *Node) forwardTo(ctx context.Context, req *request, to inventory.EntryID) (response, reach.Help) {
	address, known := n.members.PeerAddress(to)
	if !known {
		return cutOffResponse(req), reach.Unavail
	}
	ctx, cancel := req.context(ctx)
	defer cancel()
	header := req.header.Clone()
	header.Set(headerForward, forwardedRequest{from: n.settings.Load().ID, attempts: req.sent, counted: req.counted, version: req.version}.String())
	start := time.Now()
	resp, err := n.forwardPool.Do(ctx, exchange.Request{
		ID: req.id, Method: req.method, URI: req.uri, Host: req.host, Header: header, Body: req.payload(),
		Address: address, Deadline: req.deadline, FreshConnection: !req.route.Idempotent,
		MaxConnections: maxForwardConns, DialTimeout: forwardDialTime,
	})
	var failed *exchange.Error
	if err != nil && !errors.As(err, &failed) {
		failed = &exchange.Error{Op: "exchange", Kind: exchange.KindBroken, Err: err}
	}
	a := attempt{endpoint: inventory.EndpointID("node " + to), result: "answered", took: time.Since(start)}
	out, help := forwardResult(req, resp, failed)
	if failed != nil {
		a.result = string(failed.Kind)
	}
	if out.outcome != caller.OutcomeRan {
		a.cause = string(out.reason)
	}
	a.repeatable = true
	req.attempts = append(req.attempts, a)
	return out, help
}

// forwardResult returns the response of another node, and whether it could help.
func forwardResult(req *request, resp exchange.Response, failed *exchange.Error) (response, reach.Help) {
	switch {
	case failed != nil && failed.Kind == exchange.KindCanceled:
		return response{outcome: caller.OutcomeCanceled, reason: caller.Reason(failed.Kind)}, reach.Silent
	case failed != nil && exchange.NotRun(failed):
		return cutOffResponse(req), reach.Unavail
	case failed != nil && failed.Kind == exchange.KindTimeout:
		return unknown(failed.Kind), reach.Silent
	case failed != nil:
		return unknown(failed.Kind), reach.Unavail
	}
	outcome := caller.Outcome(resp.Header.Get(caller.HeaderOutcome))
	if outcome == "" {
		return ran(resp), reach.Helped
	}
	out := response{outcome: outcome, reason: caller.Reason(resp.Header.Get(caller.HeaderReason)), status: resp.Status}
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		out.retryAfter = time.Duration(s * float64(time.Second))
	}
	return out, helpOf(out)
}

// helpOf returns whether a node that does not return an endpoint's response could help.
func helpOf(resp response) reach.Help {
	if resp.outcome != caller.OutcomeNotRun {
		return reach.Helped
	}
	switch resp.reason {
	case ReasonCutOff, ReasonBusy, ReasonBehind, ReasonStarting, ReasonLeaving, ReasonRoute:
		return reach.Unavail
	case caller.Reason(exchange.KindUnreachable), caller.Reason(endpoint.ReasonBackoff):
		return reach.NoEndpoint
	}
	return reach.Helped
}

// cutOffResponse rejects a request that neither this node nor another one can serve.
func cutOffResponse(req *request) response {
	return notRun(ReasonCutOff, admission.RetryAfter(defaultRetryAfter, req.remaining(time.Now())))
}

// serveForwarded handles a request of another node.
func (n *Node) serveForwarded(w http.ResponseWriter, r *http.Request) {
	from, err := parseForwarded(r.Header.Get(headerForward))
	if err != nil {
		n.metrics.increment("forward.malformed")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.Header.Del(headerForward)
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
		n.rejectForwarded(w, r, ReasonBehind)
	case state == reach.StateCutOff:
		n.rejectForwarded(w, r, ReasonCutOff)
	default:
		req, resp := n.handle(w, r, now, &from)
		w.Header().Set(n.headerNames.Request, r.Header.Get(n.headerNames.Request))
		n.writeResponse(w, resp)
		n.metrics.increment("forwarded." + string(resp.outcome))
		n.recordRequest(r, req, resp)
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
