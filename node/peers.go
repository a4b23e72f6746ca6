package node

// Requests between nodes: handing over to the owner of endpoints, and passing
// an operation on to the incarnation that owns its key.

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/wasabiwheel/wasabiwheel/configuration"
	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// Paths of the peer server.
const (
	pathHandOver = "/handover"
	pathBooking  = "/booking"
	pathMember   = "/member"
)

// headerAfter tells another node when to come back, in milliseconds.
const headerAfter = "Wasabiwheel-After"

// peerHandler serves other nodes.
func (n *Node) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(pathHandOver+servePrefix, n.peerRequest(pathHandOver, OutcomeNotRun, n.serveHandedOver))
	mux.Handle(pathBooking+servePrefix, n.peerRequest(pathBooking, OutcomeUnknown, n.bookForPeer))
	mux.HandleFunc(pathMember, n.acceptMember)
	mux.HandleFunc(pathGrant, n.serveGrant)
	mux.HandleFunc(PathConfiguration, n.paced(partsRate, configuration.Handler(n.config).ServeHTTP))
	return mux
}

// peerRequest adapts a way of serving to the protocol between nodes. What is
// said of a request that cannot be read differs: nothing was handed over, but
// nothing was sealed either.
func (n *Node) peerRequest(prefix string, unread Outcome, serve func(context.Context, *request) answer) http.Handler {
	return http.StripPrefix(prefix, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.work.Add(1)
		defer n.work.Add(-1)
		if n.config.Inventory() == nil {
			answer{outcome: unread, reason: ReasonStarting, after: time.Second, status: http.StatusServiceUnavailable}.writePeer(w)
			return
		}
		q, err := n.readRequest(w, r)
		if err != nil {
			answer{outcome: unread, reason: ReasonRequest, status: err.Status}.writePeer(w)
			return
		}
		serve(r.Context(), q).writePeer(w)
	}))
}

// serveHandedOver serves a request that another node handed over.
func (n *Node) serveHandedOver(ctx context.Context, q *request) answer {
	q.handed = true
	return n.serveHere(q.lifetime(ctx), q)
}

// writePeer sends an answer to another node, with its outcome always stated.
func (a answer) writePeer(w http.ResponseWriter) {
	h := w.Header()
	for k, v := range a.header {
		h[k] = v
	}
	h.Set(HeaderOutcome, string(a.outcome))
	h.Set(HeaderReason, string(a.reason))
	h.Set(headerAfter, strconv.FormatInt(a.after.Milliseconds(), 10))
	a.setLength(h)
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body)
}

// fromPeer reads the outcome that another node stated. An answer that states
// none did not come from a node, so what it says is not known.
func (a answer) fromPeer() answer {
	if a.outcome != OutcomeRan {
		return a
	}
	outcome := Outcome(a.header.Get(HeaderOutcome))
	reason := Reason(a.header.Get(HeaderReason))
	ms, _ := strconv.ParseInt(a.header.Get(headerAfter), 10, 32)
	for _, h := range []string{HeaderOutcome, HeaderReason, headerAfter} {
		a.header.Del(h)
	}
	switch outcome {
	case OutcomeRan:
		return a
	case OutcomeNotRun:
		after := time.Duration(ms) * time.Millisecond
		return answer{outcome: outcome, reason: reason, after: after, status: a.status, stated: true}
	case OutcomeUnknown:
		return unknown(reason)
	default:
		return unknown(ReasonBroken)
	}
}

// handOver asks the owner of endpoints to serve a request.
func (n *Node) handOver(ctx context.Context, to inventory.EntryID, q *request) answer {
	return n.toPeer(ctx, to, pathHandOver, q)
}

// passToOwner asks the incarnation that owns the key for the operation.
func (n *Node) passToOwner(ctx context.Context, q *request) answer {
	return n.toPeer(ctx, q.key.Entry, pathBooking, q)
}

func (n *Node) toPeer(ctx context.Context, to inventory.EntryID, path string, q *request) answer {
	e, ok := n.config.Inventory().Entry(to)
	if !ok {
		return notRun(ReasonUnreachable, 0)
	}
	passed := *q
	passed.passed = true
	passed.header = q.header.Clone()
	passed.header.Set(HeaderRegion, string(q.home))
	url := "http://" + e.Peer + path + servePrefix + string(q.service.ID) + q.path
	return send(ctx, n.peers, url, &passed).fromPeer()
}
