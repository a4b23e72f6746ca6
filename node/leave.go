package node

// Graceful shutdown: callers move to other nodes first, then requests in flight complete.

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/wasabiwheel/wasabiwheel/platform"
)

const (
	// acceptFraction is the fraction of the grace period in which a leaving node still accepts
	// requests: callers use cached lookups and open connections for a while.
	acceptFraction = 0.4
	// exitMargin is reserved at the end of the grace period for the exit of the process.
	exitMargin    = 300 * time.Millisecond
	deleteTimeout = time.Second // to delete this node's entry from the store
)

// leave shuts the node down. requests is nil if the node never served.
func (n *Node) leave(requests *requestServer, auxiliary []auxiliaryServer) error {
	start := time.Now()
	grace := n.settings.Load().Bounds.Grace.Duration
	n.leaveEnd.Store(int64(start.Sub(n.started) + grace - exitMargin))
	n.transition("leave")
	klog.InfoS("leaving", "inflight", n.inFlight.Load(), "grace", grace)
	n.background.Go(n.deleteEntry)
	var err error
	if requests != nil {
		err = n.drainRequests(requests, start, grace)
	}
	n.transition("stop")
	klog.InfoS("stop", "after", time.Since(start), "cut", n.inFlight.Load())
	n.cancel()
	closeServers(auxiliary)
	n.peerClient.CloseIdleConnections()
	n.background.Wait()
	return err
}

// endsInTime reports whether a request will have ended before this node exits. A leaving node
// rejects the others, since other nodes can serve them; at its exit their callers would not even
// know whether they ran.
func (n *Node) endsInTime(req *request) bool {
	end := time.Duration(n.leaveEnd.Load())
	return end == 0 || req.deadline.Sub(n.started) <= end
}

// drainRequests waits until callers have moved to other nodes and requests in flight
// have completed.
func (n *Node) drainRequests(requests *requestServer, start time.Time, grace time.Duration) error {
	time.Sleep(time.Duration(float64(grace) * acceptFraction))
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(grace-exitMargin))
	defer cancel()
	err := requests.shutdown(ctx)
	n.awaitForwarded(ctx)
	if err == nil {
		return nil
	}
	aborted := n.inFlight.Load()
	requests.closeAll()
	if aborted == 0 {
		return nil
	}
	return &Error{Op: "leave", Kind: KindAborted, Err: errors.Newf("%d requests were aborted: %v", aborted, err)}
}

// deleteEntry deletes the entry of this process from the store.
func (n *Node) deleteEntry() {
	ctx, cancel := context.WithTimeout(context.Background(), deleteTimeout)
	defer cancel()
	for {
		err := n.deleteOwnEntry(ctx, string(n.settings.Load().ID))
		if platform.IsKind(err, platform.KindConflict) && ctx.Err() == nil {
			continue // a write of this process was under way
		}
		if err != nil {
			klog.ErrorS(err, "own entry not taken out of the store")
		}
		return
	}
}

// deleteOwnEntry deletes the entry unless the next process of this node has written it. The condition
// keeps a deletion that takes effect late from deleting that process's entry.
func (n *Node) deleteOwnEntry(ctx context.Context, name string) error {
	known, err := n.store.Find(ctx, platform.Entries, name)
	if platform.IsKind(err, platform.KindNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	if e, ok := decodeEntry(known.Object); ok && e.Start != n.started.UnixNano() {
		return nil
	}
	return n.store.Delete(ctx, platform.Entries, name, known.Revision)
}
