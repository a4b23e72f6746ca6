package node

// What responses say of their endpoints, for all requests that come later.

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/wasabiwheel/wasabiwheel/endpoint"
	"github.com/wasabiwheel/wasabiwheel/exchange"
)

// signalsOf returns what a response says of its endpoint, complete or not.
func signalsOf(resp exchange.Response, failed *exchange.Error) exchange.Signals {
	if failed != nil {
		return failed.Signals
	}
	return resp.Signals
}

// recordSignals records what the response to a request that was sent at a time says of its
// endpoint.
func (n *Node) recordSignals(now, sent time.Time, req *request, c endpoint.Choice, s exchange.Signals) {
	if !s.Heard {
		return
	}
	n.recordMalformed(req, c, "limit", s.Limit.Malformed)
	n.recordMalformed(req, c, "leaving", s.Leaving.Malformed)
	n.recordMalformed(req, c, "pause", s.Pause.Malformed)
	n.recordLeaving(now, sent, req, c, s.Leaving)
	if s.Pause.For > 0 {
		n.metrics.increment("signal.pause")
		until := n.endpoints.RecordPause(now, c, s.Pause.For)
		klog.InfoS("endpoint pauses", "endpoint", c.Endpoint.ID, "request", req.id, "for", roundedSeconds(s.Pause.For), "left", roundedSeconds(until.Sub(now)))
	}
	if s.Limit.Malformed {
		return
	}
	if n.endpoints.RecordLimit(now, c, endpoint.Limit{Rate: s.Limit.Rate, Named: s.Limit.Named}) {
		n.metrics.increment("limit.changed")
		klog.InfoS("limit", "endpoint", c.Endpoint.ID, "named", s.Limit.Named, "rate", s.Limit.Rate, "request", req.id, "by", "endpoint")
	}
}

// recordMalformed records that a response says something that can't be read.
func (n *Node) recordMalformed(req *request, c endpoint.Choice, signal string, malformed bool) {
	if !malformed {
		return
	}
	n.metrics.increment(signal + ".malformed")
	klog.InfoS(signal+" ignored", "endpoint", c.Endpoint.ID, "request", req.id, "cause", "malformed")
}

// recordLeaving records whether the endpoint leaves. The connections to one that does are closed
// as they become idle.
func (n *Node) recordLeaving(now, sent time.Time, req *request, c endpoint.Choice, l exchange.Leaving) {
	if l.Said {
		n.metrics.increment("signal.leaving")
	}
	if l.Malformed || !n.endpoints.RecordLeaving(now, sent, c, l.Said) {
		return
	}
	n.metrics.increment("leaving.changed")
	klog.InfoS("endpoint leaves", "endpoint", c.Endpoint.ID, "leaves", l.Said, "request", req.id, "by", "endpoint")
	if l.Said {
		n.pool.RemoveEndpoint(c.Endpoint.ID, c.Endpoint.Address)
	}
}
