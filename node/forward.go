package node

// Forwarding of requests to other nodes while this one reaches no endpoint. A request goes to one
// other node, which decides on it as on those of its own callers, and never forwards it.

import (
	"context"
	"errors"
	"math"
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
	// headerCharged marks a forwarded request that has been charged to the limit of its organisation.
	headerCharged = "Wasabiwheel-Charged"
	// headerForward marks a request of another node, with the fields of a forwardedRequest.
	headerForward = "Wasabiwheel-Forward"
	// maxForwarders is the number of nodes that are asked to serve a request. One that is cut off says
	// so at once.
	maxForwarders = 8
	// maxForwardShare is the share of a request's time in which another node is asked.
	maxForwardShare = 0.25
	// maxUnreached is the number of endpoints that can't be reached from which a request is forwarded.
	maxUnreached    = 2
	maxForwardConns = 64                     // connections to one node for forwarded requests
	forwardDialTime = 250 * time.Millisecond // to open one
	// forwardReplyTime is reserved for the way back of a response. Otherwise a rejection at the
	// deadline arrives after it, and looks like a request that may have run.
	forwardReplyTime = 30 * time.Millisecond
	forwardSalt      = 0xbb67ae8584caa73b // any value that the ranking of endpoints does not use
	maxRetryAfter    = 1e6                // seconds; more from another node is a mistake, and may not fit a time.Duration
)

// The reasons of rejections.
const (
	ReasonCutOff caller.Reason = "cutoff" // neither this node nor another that could be asked reaches an endpoint
	ReasonBusy   caller.Reason = "busy"   // the node has no room for requests of others
	ReasonBehind caller.Reason = "behind" // the node has an older configuration than the one that asks

	ReasonMalformed caller.Reason = "malformed" // the node can't read what the one that asks says of the request
)

// forwardedRequest is what a node says of a request that it forwards.
type forwardedRequest struct {
	from     inventory.EntryID
	attempts int               // endpoints at which it may have arrived
	counted  bool              // in the retry budget
	version  inventory.Version // of the configuration that the node found its route in
	charged  bool              // to the limit of its organisation; in a header of its own, which old builds ignore
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

// steerElsewhere lets another node serve a request, since this one reaches no endpoint. It reports
// false if no node can and kept connections to endpoints may still live.
func (n *Node) steerElsewhere(ctx context.Context, now time.Time, req *request, last response) (resp response, done bool) {
	if req.sent > 0 && !n.retries.AllowRetry(now, req.service) {
		n.metrics.increment("retry.refused")
		return last, true
	}
	if resp, decided := n.forward(ctx, req); decided {
		return mergeResponses(last, resp), true
	}
	if n.reach.IsSilent(now) {
		return preferPrevious(last, cutOffResponse(req)), true
	}
	return response{}, false
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
	if resp, decided := n.forward(ctx, req); decided {
		return resp
	}
	req.unhelped = true
	return refused
}

// forward lets another node serve a request. It reports false if none could, and this node may still
// send the request itself.
func (n *Node) forward(ctx context.Context, req *request) (resp response, decided bool) {
	var tried []inventory.EntryID
	began := time.Now()
	until := began.Add(time.Duration(maxForwardShare * float64(req.remaining(began))))
	for range maxForwarders {
		now := time.Now()
		if !now.Before(until) || isCanceled(ctx) {
			break
		}
		among, restricted := n.provenNodes(now, req)
		to, found := n.forwarders.Choose(now, reach.Query{Service: req.service, Homes: req.homes, Tried: tried, Among: among, Restricted: restricted})
		if !found {
			break
		}
		tried = append(tried, to)
		next := n.forwardTo(ctx, req, to)
		n.forwarders.Done(time.Now(), to, req.service, next.help)
		n.metrics.increment("forward." + string(next.help))
		resp = mergeResponses(resp, next.response)
		if next.isFinal() || !next.unsent && !n.mayRetry(req, resp) {
			return resp, true
		}
		if next.outcome == caller.OutcomeUnknown && !n.retries.AllowRetry(time.Now(), req.service) {
			n.metrics.increment("retry.refused")
			return resp, true
		}
	}
	return resp, resp.outcome == caller.OutcomeUnknown
}

// forwarded is what came of a request at another node.
type forwarded struct {
	response
	help   reach.Help
	unsent bool // nothing was sent
}

// isFinal reports whether the request is not offered to a further node.
func (f forwarded) isFinal() bool { return f.help == reach.Helped || f.help == reach.Silent }

// forwardTo sends a request to another node and returns what came of it.
func (n *Node) forwardTo(ctx context.Context, req *request, to inventory.EntryID) forwarded {
	address, known := n.members.PeerAddress(to)
	if !known {
		return forwarded{cutOffResponse(req), reach.Unavail, true}
	}
	ofCaller := ctx
	ctx, cancel := req.context(ctx)
	defer cancel()
	header := req.forwardHeader()
	header.Set(headerForward, forwardedRequest{from: n.settings.Load().ID, attempts: req.sent, counted: req.counted, version: req.version}.String())
	header.Del(headerCharged)
	if req.isCharged {
		header.Set(headerCharged, "1")
	}
	start := time.Now()
	resp, err := n.forwardPool.Do(ctx, exchange.Request{
		ID: req.id, Method: req.method, URI: req.uri, Host: req.host, Header: header, Body: req.payload(), Memory: req.memory,
		Address: address, Deadline: req.deadline, FreshConnection: !req.route.Idempotent,
		MaxConnections: maxForwardConns, DialTimeout: forwardDialTime, ReplyTime: min(forwardReplyTime, req.remaining(start)/10),
		MaySend: func() bool { return !isCanceled(ofCaller) && n.mayForward(req, to) },
	})
	var failed *exchange.Error
	if err != nil && !errors.As(err, &failed) {
		failed = &exchange.Error{Op: "exchange", Kind: exchange.KindBroken, Err: err}
	}
	out := forwardResult(req, resp, failed)
	if out.outcome == caller.OutcomeRan || failed != nil {
		n.recordSize(req, resp, failed)
	}
	req.handedOver = req.handedOver || !out.unsent
	a := attempt{endpoint: inventory.EndpointID("node " + to), result: "answered", took: time.Since(start), repeatable: true}
	if failed != nil {
		a.result = string(failed.Kind)
	}
	if out.outcome != caller.OutcomeRan {
		a.cause = string(out.reason)
	}
	req.attempts = append(req.attempts, a)
	return out
}

// forwardResult returns the response of another node, and whether it could help.
func forwardResult(req *request, resp exchange.Response, failed *exchange.Error) forwarded {
	switch {
	case failed != nil && failed.Kind == exchange.KindCanceled:
		return forwarded{response{outcome: caller.OutcomeCanceled, reason: caller.Reason(failed.Kind)}, reach.Silent, false}
	case failed != nil && failed.Kind == exchange.KindWithdrawn:
		return forwarded{notRun(caller.Reason(failed.Kind), admission.RetryAfter(0, req.remaining(time.Now()))), reach.Busy, true}
	case failed != nil && exchange.NotRun(failed):
		return forwarded{cutOffResponse(req), reach.Unavail, isUnsent(failed.Kind)}
	case failed != nil && failed.Kind == exchange.KindTimeout:
		return forwarded{unknown(failed.Kind), reach.Silent, false}
	case failed != nil && failed.Kind == exchange.KindConflicting: // of an endpoint, passed on by an old build
		return forwarded{unknown(failed.Kind), reach.Helped, false}
	case failed != nil:
		return forwarded{unknown(failed.Kind), reach.Unavail, false}
	}
	outcome := caller.Outcome(resp.Header.Get(caller.HeaderOutcome))
	if outcome == "" {
		return forwarded{ran(resp), reach.Helped, false}
	}
	out := response{outcome: outcome, reason: caller.Reason(resp.Header.Get(caller.HeaderReason)), status: resp.Status}
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && s >= 0 && s < maxRetryAfter {
		out.retryAfter = time.Duration(s * float64(time.Second))
	}
	return forwarded{out, helpOf(out), false}
}

// helpOf returns whether a node that does not return an endpoint's response could help.
func helpOf(resp response) reach.Help {
	if resp.outcome != caller.OutcomeNotRun {
		return reach.Helped
	}
	switch resp.reason {
	case ReasonBehind, ReasonRoute, ReasonUnproven: // it gets the configuration within a moment
		return reach.Busy
	case ReasonCutOff, ReasonBusy, ReasonStarting, ReasonLeaving, ReasonMalformed:
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
