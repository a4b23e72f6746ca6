package node

// Reload of settings at run time.

import (
	"time"

	"k8s.io/klog/v2"
)

// Reload applies the bounds and the share of hedges of changed settings. All other settings, such as addresses,
// take effect when the process restarts.
func (n *Node) Reload(s Settings, cause string) {
	old := n.settings.Load()
	next := *old
	next.Bounds, next.Hedge = s.Bounds, s.Hedge
	n.settings.Store(&next)
	n.retries.SetBounds(time.Now(), s.Bounds.retryBounds())
	n.freshness.SetLimit(s.Bounds.proofLimit())
	n.endpoints.SetBounds(s.Bounds.endpointBounds())
	n.quotas.SetBounds(s.Bounds.quotaBounds())
	klog.InfoS("reload", "cause", cause, "bounds", old.Bounds != s.Bounds, "shift", s.Bounds.Shift, "hedge", s.Hedge.Share, "restart", needsRestart(*old, s))
}

// needsRestart reports whether settings changed that take effect only after a restart.
func needsRestart(old, s Settings) bool {
	return old.ID != s.ID || old.Domain != s.Domain || old.Caller != s.Caller || old.Lookup != s.Lookup ||
		old.Ready != s.Ready || old.Peer != s.Peer || old.AdvertisedPeer != s.AdvertisedPeer || old.Admin != s.Admin || old.Platform != s.Platform || old.VM != s.VM
}
