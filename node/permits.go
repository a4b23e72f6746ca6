package node

// Permits for requests to endpoints that name a limit: obtained from an issuer, which may be
// this node, and issued to other nodes.

import (
	"context"
	"errors"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/wasabiwheel/wasabiwheel/caller"
	"github.com/wasabiwheel/wasabiwheel/endpoint"
	"github.com/wasabiwheel/wasabiwheel/exchange"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/member"
	"github.com/wasabiwheel/wasabiwheel/permit"
)

const (
	pathPermits    = "/permits"
	maxPermitBytes = 1 << 10 // of a request for a permit, and of its response
	maxPermitConns = 128     // idle connections to issuers: a few endpoints at a time need permits
	permitIdleTime = 10 * time.Second
	// maxDeniedPermits is the number of permits that a request asks for in vain before it uses an
	// endpoint without a limit, maxDeniedInAll if there is none: each takes a round trip.
	maxDeniedPermits = 1
	maxDeniedInAll   = 4
)

// permitRequest asks an issuer for a permit for one request.
type permitRequest struct {
	Limit endpoint.LimitReport `cbor:"limit"` // as the sender knows it
}

// permitResponse is the response of an issuer.
type permitResponse struct {
	Reason permit.Reason        `cbor:"reason,omitempty"` // why none was issued; "": one was
	Wait   int64                `cbor:"wait,omitempty"`   // in milliseconds, until the next one
	Limit  endpoint.LimitReport `cbor:"limit"`            // the newest known
}

// newPeerClient returns the client for requests to other nodes.
func newPeerClient(network Network) *http.Client {
	dialer := exchange.TimeoutDialer{Dialer: exchange.ResetDialer{Dialer: network}, Timeout: permit.Lifetime}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, MaxResponseHeaderBytes: exchange.MaxHeadSize, MaxIdleConns: maxPermitConns, IdleConnTimeout: permitIdleTime}}
}

// setPermitPeers records the nodes that may be issuers.
func (n *Node) setPermitPeers(entries []member.Entry) {
	var peers []permit.Peer
	for _, e := range entries {
		peers = append(peers, permit.Peer{ID: e.ID, Domain: e.Domain, Region: e.Region})
	}
	n.permits.SetPeers(time.Now(), peers)
}

// servePermit issues a permit to another node.
func (n *Node) servePermit(w http.ResponseWriter, r *http.Request) {
	var req permitRequest
	err := decodeMessage(r.Body, maxPermitBytes, &req)
	if err == nil && !req.Limit.IsValid() {
		err = errors.New("the limit is invalid")
	}
	if err != nil {
		n.metrics.increment("permit.malformed")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeReply(w, n.issuePermit(req))
}

// issuePermit issues a permit unless the rate is exhausted. An endpoint that has withdrawn its
// limit, as this node knows, needs none.
func (n *Node) issuePermit(req permitRequest) permitResponse {
	now := time.Now()
	n.endpoints.Learn(now, endpoint.Gossip{Limits: []endpoint.LimitReport{req.Limit}})
	newest := n.endpoints.NewestLimit(now, req.Limit)
	if !newest.Named {
		return permitResponse{Limit: newest}
	}
	reply := n.permits.Issue(now, permit.Endpoint(newest.StartHash()), inventory.Rate(newest.Rate))
	n.metrics.increment("permit.issued." + metricName(reply.Reason))
	return permitResponse{Reason: reply.Reason, Wait: reply.Wait.Milliseconds(), Limit: newest}
}

// metricName returns the name of a reason in metrics.
func metricName(r permit.Reason) string {
	if r == "" {
		return "yes"
	}
	return string(r)
}

// obtainPermit obtains a permit for a request to the chosen endpoint. If there is none, the
// endpoint is left out of the choice until there may be one.
func (n *Node) obtainPermit(ctx context.Context, req *request, c endpoint.Choice) bool {
	start := time.Now()
	limit := n.endpoints.LimitReport(start, c)
	key := permit.Endpoint(limit.StartHash())
	reason := permit.ReasonUnasked
	if issuer, ok := n.permits.Issuer(start, key); ok {
		reason = n.requestPermit(ctx, key, issuer, permitRequest{Limit: limit})
	}
	n.metrics.increment("permit." + metricName(reason))
	if reason == "" {
		return true
	}
	now := time.Now()
	if next := n.permits.NextPermit(now, key); next.After(now) {
		n.endpoints.Hold(c, next)
	}
	req.deniedPermits++
	a := newAttempt(c, "limited", now.Sub(start))
	a.cause = string(reason)
	req.attempts = append(req.attempts, a)
	return false
}

// requestPermit asks an issuer for a permit, and returns the reason if there is none.
func (n *Node) requestPermit(ctx context.Context, key permit.Endpoint, issuer inventory.EntryID, req permitRequest) permit.Reason {
	resp, err := n.exchangePermit(ctx, issuer, req)
	now := time.Now()
	if err != nil {
		if !isCanceled(ctx) {
			n.permits.RecordFailure(now, issuer)
		}
		klog.InfoS("no permit", "issuer", issuer, "cause", err)
		return permit.ReasonUnanswered
	}
	n.endpoints.Learn(now, endpoint.Gossip{Limits: []endpoint.LimitReport{resp.Limit}})
	n.permits.RecordReply(now, key, issuer, permit.Reply{Reason: resp.Reason, Wait: time.Duration(resp.Wait) * time.Millisecond})
	return resp.Reason
}

// exchangePermit sends a request for a permit to an issuer, unless that is this node.
func (n *Node) exchangePermit(ctx context.Context, issuer inventory.EntryID, req permitRequest) (permitResponse, error) {
	if issuer == n.settings.Load().ID {
		return n.issuePermit(req), nil
	}
	ctx, cancel := context.WithTimeout(ctx, permit.Lifetime)
	defer cancel()
	var resp permitResponse
	err := n.postPeer(ctx, issuer, pathPermits, req, &resp, maxPermitBytes)
	return resp, err
}

// limitedResponse rejects a request for whose service there is no permit now. The callers that
// are rejected are told to return at the rate at which this node may expect permits.
func (n *Node) limitedResponse(now time.Time, req *request, q endpoint.Query) response {
	q.Unlimited = false
	wait := defaultRetryAfter
	if next, ok := n.endpoints.NextPermit(now, q); ok {
		wait = next.Sub(now)
	}
	rate := n.endpoints.LimitedRate(now, q) / inventory.Rate(max(1, len(n.members.Entries())))
	return notRun(caller.Reason(endpoint.ReasonLimit), n.returns.Schedule(now, req.service, wait, rate))
}
