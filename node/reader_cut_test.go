package node

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

// cutFromStore cuts entry VMs from the store, in both directions, or reconnects them.
func (h *harness) cutFromStore(ips []string, cut bool) {
	set := h.network.Heal
	if cut {
		set = h.network.Cut
	}
	for _, ip := range ips {
		set(standin.Path{From: ip, To: storeIP})
		set(standin.Path{From: storeIP, To: ip})
	}
}

// TestChangeIsInForceWhileReadersAreCutFromStore guards against a node that gets a change late
// because the nodes that read the store near it have just lost it.
func TestChangeIsInForceWhileReadersAreCutFromStore(t *testing.T) {
	const bound = 2 * time.Second
	for offset := time.Duration(0); offset < 500*time.Millisecond; offset += 70 * time.Millisecond {
		t.Run(fmt.Sprint("start ", offset, " later"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				convey.Convey("At any time since the reader's last probe", t, func() {
					h := newHarness(t, testInventory())
					defer h.close()
					for _, e := range h.inv.Entries {
						h.start(e.ID)
						time.Sleep(offset)
					}
					time.Sleep(8 * time.Second)
					reader, other := inventory.EntryID("n1"), h.nodes["n2"]
					if other.follower.IsReading() {
						reader, other = "n2", h.nodes["n1"]
					}
					cut := []string{hostOf(h.entry(reader).Peer), hostOf(h.entry("n3").Peer)}
					for i := range 20 {
						time.Sleep(time.Duration(i) * 53 * time.Millisecond)
						h.cutFromStore(cut, true)
						rel := h.publish(fmt.Appendf(testInventory(), "# %d\n", i))
						accepted := time.Now()
						for other.version() != rel.Version && time.Since(accepted) < 2*bound {
							time.Sleep(10 * time.Millisecond)
						}
						convey.So(time.Since(accepted), convey.ShouldBeLessThanOrEqualTo, bound)
						h.cutFromStore(cut, false)
						time.Sleep(8 * time.Second)
					}
				})
			})
		})
	}
}
