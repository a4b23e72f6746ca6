package node

// The order of the states that one writer has written. Revisions of the store don't tell it: a
// write may take effect seconds after it was sent.

import (
	"cmp"
	"time"

	"k8s.io/klog/v2"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/platform"
)

// uncertainHold is how long an endpoint's registration is retained over one that seems to be older,
// if a clock that was set back or an unknown start may explain that. A live endpoint replaces an older
// registration with its next heartbeat, and that of a dead one expires after three, 4.5 s.
const uncertainHold = 6 * time.Second

// IsLate compares the registrations of endpoints. The numbers of heartbeats within one start only
// grow, so a smaller one is late however long it stays there. Configurations, which are long, are
// compared when they are put in force; a node writes its own entry again if it finds another one.
func (retentionPolicy) IsLate(kind platform.Collection, known, o platform.Object, removed bool) (late bool, hold time.Duration) {
	if kind != platform.Endpoints {
		return false, 0
	}
	before, err := platform.DecodeEndpoint(known)
	after, afterErr := platform.DecodeEndpoint(o)
	if err != nil || afterErr != nil {
		return false, 0
	}
	order, certain := compareRegistrations(after, before)
	late = order < 0 || order == 0 && certain && removed
	if !certain {
		hold = uncertainHold
	}
	return late, hold
}

// compareRegistrations compares two registrations under one id by their starts and by the numbers of
// their heartbeats. The order is certain if both are of one known start. It is 0 without numbers.
func compareRegistrations(a, b inventory.Endpoint) (order int, certain bool) {
	if !a.Start.Equal(b.Start) {
		return a.Start.Compare(b.Start), false
	}
	if a.Beat == 0 || b.Beat == 0 {
		return 0, false
	}
	return cmp.Compare(a.Beat, b.Beat), !a.Start.IsZero()
}

// supersedesEndpoint reports whether state a of an endpoint's registration is newer than state b. If
// they are not ordered, one that drains is: it does so until it ends.
func supersedesEndpoint(a, b platform.Object) bool {
	before, err := platform.DecodeEndpoint(b)
	after, afterErr := platform.DecodeEndpoint(a)
	if err != nil || afterErr != nil {
		return false
	}
	if order, _ := compareRegistrations(after, before); order != 0 {
		return order > 0
	}
	return after.Start.Equal(before.Start) && after.Draining && !before.Draining
}

// checkLateWrites logs what is retained when more writes have taken effect late.
func (n *Node) checkLateWrites() {
	before := n.storeState.lateWrites
	count, retained := n.mirror.LateWrites(time.Now(), before)
	if count == before {
		return
	}
	n.storeState.lateWrites = count
	for range count - before {
		n.metrics.increment("store.late")
	}
	var names []string
	for _, b := range retained {
		for _, s := range b.Retained[:min(len(b.Retained), maxEndpointLines)] {
			names = append(names, s.Object.Name)
		}
	}
	klog.InfoS("late writes ignored", "count", count-before, "retained", names)
}
