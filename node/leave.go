package node

// Leaving in order: out of look-ups, wait until callers know, hand over the
// endpoints, finish what is in flight, stop.

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/wasabiwheel/wasabiwheel/lookup"
	"github.com/wasabiwheel/wasabiwheel/member"
)

// Timing of a stop.
const (
	leaveAfter = lookup.TTL + member.SuspectAfter
	stopLimit  = time.Minute // for the requests in flight
)

// Abort ends a stop that is under way at once. What is cut by that is counted
// and logged, and Run fails with KindCut.
func (n *Node) Abort() { n.abort() }

// leave ends the node in order. The peer server ends last, since a refused
// connection there tells others that nothing of this process is left.
func (n *Node) leave(servers []server) error {
	n.move("leave")
	klog.InfoS("node leaves", "entry", n.settings.ID)
	sleep(n.aborted, leaveAfter)
	ctx, cancel := context.WithTimeout(n.aborted, stopLimit)
	defer cancel()
	n.endpoints.Resign(time.Now())
	n.awaitWork(ctx)
	sleep(ctx, 2*member.Interval) // the others hear that the endpoints are free
	for _, s := range servers {
		_ = s.http.Shutdown(ctx)
		n.awaitWork(ctx)
	}
	err := n.countCut(ctx)
	for _, s := range servers {
		_ = s.http.Close()
	}
	n.move("stop")
	n.cancel()
	n.background.Wait()
	klog.InfoS("node stopped", "entry", n.settings.ID)
	return err
}

// awaitWork waits until nothing is in flight: no caller's request, no operation
// that outlived its caller's connection, and nothing at an endpoint.
func (n *Node) awaitWork(ctx context.Context) {
	for ctx.Err() == nil && n.inFlight() > 0 {
		sleep(ctx, tickInterval)
	}
}

// inFlight counts what a stop at this moment would cut.
func (n *Node) inFlight() int { return int(n.work.Load()) + len(n.endpoints.Holds()) }

// countCut reports what the end of the stop cuts.
func (n *Node) countCut(ctx context.Context) error {
	if ctx.Err() == nil {
		return nil
	}
	cut := n.inFlight()
	n.counters.addN("stop.cut", int64(cut))
	klog.InfoS("stop cuts requests", "entry", n.settings.ID, "cut", cut, "cause", context.Cause(ctx))
	return &Error{Op: "stop", Kind: KindCut, Err: errors.Newf("%d in flight were cut", cut)}
}

// closing has the callers of a node that leaves close their connections, so
// that their next request goes where a look-up says.
func (n *Node) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.leaving() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(&closingWriter{ResponseWriter: w, node: n}, r)
	})
}

// closingWriter asks for the end of the connection also when the node began to
// leave while the request was under way.
type closingWriter struct {
	http.ResponseWriter
	node *Node
}

// WriteHeader sends the header.
func (w *closingWriter) WriteHeader(status int) {
	if w.node.leaving() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap serves http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
