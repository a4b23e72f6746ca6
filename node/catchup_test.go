package node

import (
	"bytes"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

// TestChangeSpreadsWhileStoreIsAway guards against nodes that stay behind another one while the store is
// away: as the only ones that reach endpoints, they reject what nodes with a newer configuration forward.
func TestChangeSpreadsWhileStoreIsAway(t *testing.T) {
	changed := bytes.Replace(testInventory(), []byte(`prefix = "/other/"`), []byte(`prefix = "/other1/"`), 1)
	withHarness(t, func(h *harness) {
		convey.Convey("The store goes away when one node has a new version, and the others get it from there", t, func() {
			const reader = inventory.EntryID("n4")
			var others []string
			for _, e := range h.inv.Entries {
				if e.ID != reader {
					others = append(others, hostOf(e.Peer))
				}
			}
			link := func(set func(standin.Path)) {
				for _, ip := range others {
					own := hostOf(h.entry(reader).Peer)
					set(standin.Path{From: ip, To: own})
					set(standin.Path{From: own, To: ip})
				}
			}
			link(h.network.Cut)
			h.cutFromStore(others, true)
			rel := h.publish(changed)
			for range 200 {
				if h.nodes[reader].version() == rel.Version {
					break
				}
				time.Sleep(5 * time.Millisecond)
			}
			h.platform.SetFault(standin.Fault{Reset: true})
			time.Sleep(2 * time.Second) // until it has found out
			link(h.network.Heal)
			convey.So(h.nodes[reader].version(), convey.ShouldEqual, rel.Version)
			behind := 0
			for _, n := range h.nodes {
				if n.version() < rel.Version {
					behind++
				}
			}
			convey.So(behind, convey.ShouldBeGreaterThan, 0)
			time.Sleep(3 * time.Second)
			for _, n := range h.nodes {
				convey.So(n.version(), convey.ShouldEqual, rel.Version)
				convey.So(n.isStoreReached(), convey.ShouldBeFalse) // a node that is fed by one without the store has none
			}
		})
	})
}
