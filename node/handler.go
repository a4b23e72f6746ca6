package node

// Handling of a caller's request, from its receipt to the response and the log line.

import (
	"context"
	"errors"
	"math"
	"net/http"
	"slices"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"github.com/wasabiwheel/wasabiwheel/budget"
	"github.com/wasabiwheel/wasabiwheel/caller"
	"github.com/wasabiwheel/wasabiwheel/endpoint"
)

// startingRetryAfter is the time until a caller should retry at a node without a
// configuration: about the time that a node needs to read one.
const startingRetryAfter = 500 * time.Millisecond

// serveRequest handles one request of a caller.
func (n *Node) serveRequest(w http.ResponseWriter, r *http.Request) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	now := time.Now()
	req, resp := n.handle(w, r, now, nil)
	if n.state() != StateServing || req != nil && req.upload.stopped.Load() { // the current state: the node may have begun to leave during the request
		w.Header().Set("Connection", "close")
	}
	n.finish(w, r, req, resp)
}

// finish sends the response to a request and records both. req is nil if no route matched.
func (n *Node) finish(w http.ResponseWriter, r *http.Request, req *request, resp response) {
	connectionOf(r.Context()).setPhase(budget.Reading)
	if req == nil {
		discardBody(w, r)
	} else {
		defer req.releaseBody() // deferred, since a caller that has left aborts the handler
		defer req.memory.release()
		req.memory.releaseReserved()
	}
	defer resp.endpointResponse.Body.Free()
	n.writeResponse(w, resp)
	n.recordRequest(r, req, resp)
}

// handle processes a request of a caller or, with from, of another node. req is nil if no route
// matched.
func (n *Node) handle(w http.ResponseWriter, r *http.Request, now time.Time, from *forwardedRequest) (req *request, resp response) {
	table, limits := n.routes.Load(), n.limits.Load()
	if table == nil || limits == nil {
		return nil, notRun(ReasonStarting, startingRetryAfter)
	}
	matched := table.Find(r.Host, r.URL.EscapedPath())
	if matched == nil {
		return nil, rejected(ReasonRoute, http.StatusNotFound)
	}
	req = n.newRequest(w, r, matched, table.Version, now)
	if from != nil {
		req.forwarded, req.sent, req.counted = from, from.attempts, from.counted
	}
	if refused := n.identify(req, r.Header, table.organisations); refused != nil {
		return req, *refused
	}
	if err := req.readBody(r, limits.MaxBodyBytes); err != nil {
		return req, req.bodyErrorResponse(err)
	}
	if !n.endsInTime(req) {
		return req, notRun(ReasonLeaving, 0)
	}
	if !n.reserve(req) {
		return req, notRun(ReasonMemory, defaultRetryAfter)
	}
	if refused := n.admitSuspect(r.Context(), req); refused != nil {
		return req, *refused
	}
	if refused := n.chargeRequest(r.Context(), req); refused != nil {
		return req, *refused
	}
	resp = n.steer(r.Context(), req)
	n.giveBack(req, resp)
	return req, resp
}

// writeResponse sends a response to the caller. If the caller has disconnected, it
// aborts the connection.
func (n *Node) writeResponse(w http.ResponseWriter, resp response) {
	if resp.outcome == caller.OutcomeCanceled {
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	h["Date"] = nil
	if resp.outcome == caller.OutcomeRan {
		n.writeEndpointResponse(w, resp)
		return
	}
	h.Set(caller.HeaderOutcome, string(resp.outcome))
	h.Set(caller.HeaderReason, string(resp.reason))
	if resp.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(resp.retryAfter.Seconds(), 'f', 3, 64))
	}
	if resp.status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", n.headerNames.KeyScheme)
	}
	h["Content-Type"] = nil
	h.Set("Content-Length", "0")
	w.WriteHeader(resp.status)
}

// writeEndpointResponse forwards an endpoint's response.
func (n *Node) writeEndpointResponse(w http.ResponseWriter, resp response) {
	h := w.Header()
	for name, values := range resp.endpointResponse.Header {
		if !n.isInternal(name) {
			h[name] = values
		}
	}
	if _, typed := h["Content-Type"]; !typed {
		h["Content-Type"] = nil // otherwise net/http would detect one
	}
	h.Set("Content-Length", strconv.Itoa(resp.endpointResponse.Body.Len()))
	w.WriteHeader(resp.status)
	_, _ = resp.endpointResponse.Body.WriteTo(w) // net/http detects a caller that has disconnected
}

// isInternal reports whether a header of an endpoint's response is for nodes, or would be taken for one
// of a node.
func (n *Node) isInternal(name string) bool {
	names := n.headerNames
	return slices.Contains([]string{names.Load, names.Limit, names.Instance, names.Leaving, names.Cold, caller.HeaderOutcome, caller.HeaderReason}, name)
}

// recordRequest updates the metrics of a request and logs it.
func (n *Node) recordRequest(r *http.Request, req *request, resp response) {
	n.metrics.increment("outcome." + string(resp.outcome))
	if resp.outcome == caller.OutcomeNotRun {
		n.metrics.increment("refusal." + string(resp.reason))
	}
	if req == nil {
		klog.InfoS("request", "request", r.Header.Get(n.headerNames.Request), "host", r.Host, "path", r.URL.Path,
			"outcome", resp.outcome, "reason", resp.reason, "status", resp.status, "version", n.version())
		return
	}
	took := time.Since(req.received)
	n.metrics.observe("latency."+string(resp.outcome), took)
	line := []any{"request", req.id, "route", req.route.ID, "version", req.version, "service", req.service,
		"outcome", resp.outcome, "reason", resp.reason, "status", resp.status,
		"took", roundedSeconds(took), "limit", roundedSeconds(req.deadline.Sub(req.received)), "store", n.storeOutage(), "attempts", formatAttempts(req.attempts)}
	if resp.retryAfter > 0 {
		line = append(line, "after", roundedSeconds(resp.retryAfter))
	}
	if req.organisation != nil {
		line = append(line, "organisation", req.organisation.ID)
	}
	if req.keyProblem != "" {
		line = append(line, "key", req.keyProblem, "caller", req.remote, "proof", n.proofSeconds())
	}
	if req.forwarded != nil {
		line = append(line, "from", req.forwarded.from)
	}
	if req.refused != nil {
		line = append(line, "best", req.refused.String(), "takes", roundedSeconds(req.expectedTime), "bound", roundedSeconds(req.allowedTime))
	}
	if req.excluded != (endpoint.Exclusions{}) {
		line = append(line, "excluded", req.excluded)
	}
	if req.fingerprint == "" && req.hasBroken() {
		req.fingerprint = req.identity().Fingerprint().String()
	}
	if req.fingerprint != "" {
		line = append(line, "method", req.method, "uri", req.uri, "caller", req.remote, "fingerprint", req.fingerprint)
	}
	klog.InfoS("request", line...)
}

// roundedSeconds returns a duration in seconds, rounded to 0.1 ms, for the log.
func roundedSeconds(d time.Duration) float64 { return math.Round(d.Seconds()*1e4) / 1e4 }

// storeOutage returns the time in seconds since the store became unreachable, 0 if it
// is reachable.
func (n *Node) storeOutage() float64 {
	n.storeState.mu.Lock()
	defer n.storeState.mu.Unlock()
	if n.storeState.lostSince.IsZero() {
		return 0
	}
	return roundedSeconds(time.Since(n.storeState.lostSince))
}

// formatAttempts formats attempts for the log.
func formatAttempts(attempts []attempt) []string {
	var out []string
	for _, a := range attempts {
		out = append(out, a.String())
	}
	return out
}

// String formats an attempt: the endpoint, the result, the endpoint's region and failure domain, what moved
// the request there, whether it was a hedge, the endpoint's rank for the object, whether the object is expected
// to be warm there, whether the endpoint is cold, its estimated load in requests, and the expected and actual times.
func (a attempt) String() string {
	text := string(a.endpoint) + " " + a.result
	if a.region != "" {
		text += " in " + string(a.region) + "/" + string(a.domain)
	}
	if a.moved != "" {
		text += " moved " + string(a.moved)
	}
	if a.hedge {
		text += " hedge"
	}
	text += " rank " + strconv.Itoa(a.rank)
	if a.warm {
		text += " warm"
	}
	if a.cold {
		text += " cold"
	}
	text += " busy " + strconv.FormatFloat(a.busy, 'f', 1, 64) + " wait " + a.expectedWait.Round(time.Millisecond).String() +
		" run " + a.expectedRun.Round(time.Millisecond).String()
	if a.took > 0 {
		text += " took " + a.took.Round(time.Millisecond).String()
	}
	if a.cause != "" {
		text += ": " + a.cause
	}
	return text
}

// isCanceled reports whether the caller has disconnected.
func isCanceled(ctx context.Context) bool { return errors.Is(ctx.Err(), context.Canceled) }
