package node

// Limits of organisations: each request is charged with a token, which is obtained from an issuer,
// which may be this node; and tokens issued to other nodes.

import (
	"context"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/wasabiwheel/wasabiwheel/caller"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/member"
	"github.com/wasabiwheel/wasabiwheel/quota"
	"github.com/wasabiwheel/wasabiwheel/roster"
)

const (
	pathQuota     = "/quota"
	maxQuotaBytes = 64 << 10 // of a message: a question about the organisations of one issuer is the longest
	// maxUnanswered is the number of issuers that a request asks in vain before it uses the fallback
	// share: each takes quota.AskTime.
	maxUnanswered = 2
	// maxChargeShare is the share of a request's time that it waits for a token.
	maxChargeShare = 0.4
)

// The reasons of rejections.
const (
	ReasonQuota           caller.Reason = "quota"      // the organisation has reached its limit
	ReasonQuotaUnanswered caller.Reason = "unanswered" // no issuer of its tokens responds
)

// quotaRequest asks an issuer for tokens, or a replaced issuer whether it has stopped.
type quotaRequest struct {
	Organisation inventory.OrganisationID   `cbor:"organisation,omitempty"`
	Count        int                        `cbor:"count,omitempty"`
	Entry        inventory.EntryID          `cbor:"entry,omitempty"`  // the node that asks, with Claims
	Claims       []inventory.OrganisationID `cbor:"claims,omitempty"` // of which it has become an issuer
}

// quotaResponse is the response to it.
type quotaResponse struct {
	Count    int                        `cbor:"count,omitempty"`
	Reason   quota.Reason               `cbor:"reason,omitempty"`   // why there are none
	Wait     int64                      `cbor:"wait,omitempty"`     // in milliseconds, until the issuer should be asked again
	Spare    bool                       `cbor:"spare,omitempty"`    // it has many left
	Released []inventory.OrganisationID `cbor:"released,omitempty"` // of which the node does not issue tokens in the place of the one that asks
}

// quotaTime returns the time by the clock that counts the suspension of the VM, if there is one.
func (n *Node) quotaTime() time.Time {
	if n.sinceBoot == nil {
		return time.Now()
	}
	return time.Unix(0, 0).Add(n.sinceBoot())
}

// setQuotaPeers records the nodes that may be issuers.
func (n *Node) setQuotaPeers(entries []member.Entry) {
	var peers []roster.Peer
	for _, e := range entries {
		peers = append(peers, roster.Peer{ID: e.ID, Domain: e.Domain, Region: e.Region})
	}
	n.quotas.SetPeers(n.quotaTime(), roster.New(peers))
}

// setQuotas records the limits of the organisations.
func (n *Node) setQuotas(all []inventory.Organisation) {
	n.quotas.SetLimits(n.quotaTime(), all, n.settings.Load().Bounds.quotaBounds())
}

func (b Bounds) quotaBounds() quota.Bounds {
	return quota.Bounds{Window: b.Quota.Window.Duration, Excess: b.Quota.Excess, Slack: b.Quota.Slack}
}

// tickQuotas runs what depends on the passing of time.
func (n *Node) tickQuotas() {
	for _, id := range n.quotas.Tick(n.quotaTime()) {
		klog.InfoS("quota", "organisation", id, "over", false)
	}
	for _, c := range n.quotas.Claims() {
		n.background.Go(func() { n.confirmClaim(c) })
	}
}

// confirmClaim asks a replaced issuer whether it has stopped.
func (n *Node) confirmClaim(c quota.Claim) {
	ctx, cancel := context.WithTimeout(n.ctx, quota.AskTime)
	defer cancel()
	var resp quotaResponse
	err := n.postPeer(ctx, c.To, pathQuota, quotaRequest{Entry: n.settings.Load().ID, Claims: c.Organisations}, &resp, maxQuotaBytes)
	if isStatus(err, http.StatusNotFound) { // an old build, which issues no tokens
		resp.Released, err = c.Organisations, nil
	}
	if err != nil {
		n.metrics.increment("quota.unconfirmed")
		return // asked again at the next tick
	}
	n.quotas.RecordRelease(n.quotaTime(), c.To, resp.Released)
}

// serveQuota answers another node.
func (n *Node) serveQuota(w http.ResponseWriter, r *http.Request) {
	var req quotaRequest
	if err := decodeMessage(r.Body, maxQuotaBytes, &req); err != nil {
		n.metrics.increment("quota.malformed")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(req.Claims) > 0 {
		writeReply(w, quotaResponse{Released: n.quotas.Release(n.quotaTime(), req.Entry, req.Claims)})
		return
	}
	reply := n.issueTokens(req.Organisation, req.Count)
	wait := (reply.Wait + time.Millisecond - 1) / time.Millisecond
	writeReply(w, quotaResponse{Count: reply.Count, Reason: reply.Reason, Wait: int64(wait), Spare: reply.Spare})
}

// issueTokens issues tokens if this node is an issuer and has some.
func (n *Node) issueTokens(id inventory.OrganisationID, count int) quota.Reply {
	reply := n.quotas.Issue(n.quotaTime(), id, count)
	if reply.Reason == "" {
		n.metrics.increment("quota.issued")
	} else {
		n.metrics.increment("quota.issued." + string(reply.Reason))
	}
	return reply
}

// chargeRequest charges a request to the limit of its organisation, or returns the response that
// rejects it. One that another node has charged is not charged again.
func (n *Node) chargeRequest(ctx context.Context, req *request) *response {
	if req.organisation == nil {
		return nil
	}
	if req.forwarded != nil && req.forwarded.charged {
		req.isCharged = true
		return nil
	}
	id, unanswered := req.organisation.ID, 0
	n.quotas.RecordRequest(n.quotaTime(), id)
	until := time.Now().Add(time.Duration(maxChargeShare * float64(req.remaining(time.Now()))))
	for {
		if isCanceled(ctx) {
			resp := n.callerLeft()
			return &resp
		}
		var d quota.Decision
		if unanswered >= maxUnanswered || !time.Now().Before(until) {
			d = n.quotas.Fallback(n.quotaTime(), id)
		} else {
			d = n.quotas.Take(n.quotaTime(), id)
		}
		switch d.Kind {
		case quota.KindAsk:
			if !n.askIssuer(ctx, id, d) {
				unanswered++
			}
		case quota.KindAwait:
			awaitAnswer(ctx, d.Answered, until)
		default:
			return n.chargeResponse(req, d)
		}
	}
}

// awaitAnswer waits for the answer to a call of another request.
func awaitAnswer(ctx context.Context, answered <-chan struct{}, until time.Time) {
	timer := time.NewTimer(min(quota.Lifetime, time.Until(until)))
	defer timer.Stop()
	select {
	case <-answered:
	case <-ctx.Done():
	case <-timer.C:
	}
}

// askIssuer asks an issuer for tokens and records what came of it. Other requests wait for it, so it
// continues when the caller has disconnected.
func (n *Node) askIssuer(ctx context.Context, id inventory.OrganisationID, d quota.Decision) bool {
	if d.Issuer == n.settings.Load().ID {
		n.quotas.RecordReply(n.quotaTime(), id, d.Issuer, n.issueTokens(id, d.Count))
		return true
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), quota.AskTime)
	defer cancel()
	var resp quotaResponse
	err := n.postPeer(ctx, d.Issuer, pathQuota, quotaRequest{Organisation: id, Count: d.Count}, &resp, maxQuotaBytes)
	now := n.quotaTime()
	if err != nil {
		n.metrics.increment("quota.unasked")
		n.quotas.RecordFailure(now, id, d.Issuer)
		klog.InfoS("no tokens", "organisation", id, "issuer", d.Issuer, "cause", err)
		return false
	}
	n.metrics.increment("quota.asked")
	n.quotas.RecordReply(now, id, d.Issuer, quota.Reply{Count: resp.Count, Reason: resp.Reason, Wait: time.Duration(resp.Wait) * time.Millisecond, Spare: resp.Spare})
	return true
}

// chargeResponse records a decision on a request, and returns the response if it is rejected.
func (n *Node) chargeResponse(req *request, d quota.Decision) *response {
	var resp response
	switch d.Kind {
	case quota.KindPaid:
		if d.Fallback {
			n.metrics.increment("quota.fallback")
		}
		req.charge, req.isCharged = d.Charge, true
		return nil
	case quota.KindDenied:
		n.metrics.increment("quota.denied")
		if d.Began {
			klog.InfoS("quota", "organisation", req.organisation.ID, "over", true, "rate", req.organisation.Rate, "burst", req.organisation.Burst)
		}
		resp = notRun(ReasonQuota, max(d.Wait, time.Millisecond))
		resp.status = http.StatusTooManyRequests
	default:
		n.metrics.increment("quota.unanswered")
		resp = notRun(ReasonQuotaUnanswered, defaultRetryAfter)
	}
	return &resp
}

// giveBack returns the charge of a request of which nothing was sent.
func (n *Node) giveBack(req *request, resp response) {
	if req.organisation != nil && resp.outcome == caller.OutcomeNotRun && req.sent == 0 && !req.handedOver && !req.charge.Until.IsZero() {
		n.quotas.GiveBack(n.quotaTime(), req.organisation.ID, req.charge)
	}
}
