package node

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/standin"
)

// maxStartTime is how long a node may take until it serves, if other nodes can send it
// their copy of the store: the wait until they are queried, an update of the plan, and
// some round trips of 4 ms.
const maxStartTime = time.Second

func TestNodeWithoutStoreOrSeedsIsNotReady(t *testing.T) {
	withHarness(t, func(h *harness) {
		convey.Convey("It serves once it has read the collections", t, func() {
			h.kill("n1")
			h.platform.SetFault(standin.Fault{Down: true})
			alone := SettingsOf(h.inv, h.entry("n1"), storeAddress)
			alone.Seeds = nil
			n := h.startWith(alone)
			time.Sleep(5 * time.Second)
			convey.So(n.state(), convey.ShouldEqual, StateStarting)
			convey.So(h.lookUp("n2", "a"), convey.ShouldNotContain, "10.0.1.1:7000")
			h.platform.SetFault(standin.Fault{})
			time.Sleep(time.Second)
			convey.So(n.state(), convey.ShouldEqual, StateServing)
			convey.So(h.send(h.t.Context(), "n1", testRequest{}).status, convey.ShouldEqual, http.StatusOK)
		})
	})
}

// TestAllNodesStartDuringStoreOutage has no node with a copy of the store.
func TestAllNodesStartDuringStoreOutage(t *testing.T) {
	withHarness(t, func(h *harness) {
		convey.Convey("They serve once the store is reachable", t, func() {
			for _, e := range h.inv.Entries {
				h.kill(e.ID)
			}
			h.platform.SetFault(standin.Fault{Down: true})
			for _, e := range h.inv.Entries {
				h.start(e.ID)
			}
			time.Sleep(5 * time.Second)
			for _, n := range h.nodes {
				convey.So(n.state(), convey.ShouldEqual, StateStarting)
			}
			h.platform.SetFault(standin.Fault{})
			time.Sleep(time.Second)
			for _, n := range h.nodes {
				convey.So(n.state(), convey.ShouldEqual, StateServing)
			}
		})
	})
}

// TestNodesRestartDuringStoreOutage restarts all processes one after the other during a
// store outage. Each receives the collections from running nodes.
func TestNodesRestartDuringStoreOutage(t *testing.T) {
	faults := map[string]standin.Fault{
		"refuses":         {Down: true},
		"resets":          {Reset: true},
		"does not answer": {Silent: true},
		"rejects calls":   {Busy: true},
		"is slow":         {Delay: 3 * time.Second},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				convey.Convey("All requests are served under the configuration and drains in force", t, func() {
					convey.So(h.configurations().Drain(h.t.Context(), "b"), convey.ShouldBeNil)
					time.Sleep(2 * time.Second)
					version := h.nodes["n1"].version()
					h.platform.SetFault(fault)
					time.Sleep(2 * time.Second)
					for _, e := range h.inv.Entries {
						h.kill(e.ID)
						time.Sleep(300 * time.Millisecond)
						n := h.start(e.ID)
						time.Sleep(maxStartTime)
						convey.So(n.state(), convey.ShouldEqual, StateServing)
						convey.So(n.version(), convey.ShouldEqual, version)
					}
					before := h.arrivals("b")
					for i := range 40 {
						resp := h.send(h.t.Context(), h.inv.Entries[i%4].ID, testRequest{object: fmt.Sprint(i)})
						convey.So(resp.status, convey.ShouldEqual, http.StatusOK)
					}
					convey.So(h.arrivals("b"), convey.ShouldEqual, before)
					h.platform.SetFault(standin.Fault{})
					time.Sleep(5 * time.Second)
					convey.So(h.publish(testInventory()).Version, convey.ShouldBeGreaterThan, version)
					time.Sleep(2 * time.Second)
					for _, n := range h.nodes {
						convey.So(n.version(), convey.ShouldBeGreaterThan, version)
						convey.So(n.isStoreReached(), convey.ShouldBeTrue)
					}
				})
			})
		})
	}
}
