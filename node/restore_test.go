package node

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/member"
	"github.com/wasabiwheel/wasabiwheel/platform"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

// restore lets the store return from a copy that is some time old, after it was away.
func (h *harness) restore(away, age time.Duration) {
	if away > 0 {
		h.platform.SetFault(standin.Fault{Reset: true})
		time.Sleep(away)
	}
	h.platform.Restore(away + age)
	h.platform.SetFault(standin.Fault{})
}

// awaitVersion waits until a version is in force at all nodes and returns how long that took.
func (h *harness) awaitVersion(v inventory.Version, limit time.Duration) time.Duration {
	start := time.Now()
	for _, n := range h.nodes {
		for n.version() != v && time.Since(start) < limit {
			time.Sleep(10 * time.Millisecond)
		}
	}
	return time.Since(start)
}

// TestConfigurationAfterRestoreOfStoreIsInForce guards against nodes that ignore what is
// written after the store was restored from an older copy, and against one that goes back.
func TestConfigurationAfterRestoreOfStoreIsInForce(t *testing.T) {
	const bound = 2 * time.Second
	changed := func(n int) []byte {
		return bytes.Replace(testInventory(), []byte(`prefix = "/other/"`), fmt.Appendf(nil, "prefix = \"/other%d/\"", n), 1)
	}
	cases := map[string]func(h *harness){
		"away for two seconds":         func(h *harness) { h.restore(2*time.Second, 8*time.Second) },
		"not noticed by calls":         func(h *harness) { h.restore(0, 8*time.Second) },
		"twice in a row":               func(h *harness) { h.restore(time.Second, 4*time.Second); h.restore(time.Second, 3*time.Second) },
		"twice without a call between": func(h *harness) { h.platform.Restore(3 * time.Second); h.platform.Restore(4 * time.Second) },
		"late writes": func(h *harness) {
			h.platform.SetFault(standin.Fault{LateWrite: 3, LateBy: 3 * time.Second})
			h.restore(0, 6*time.Second)
		},
		"silent watches": func(h *harness) {
			h.platform.SetFault(standin.Fault{HangWatches: true})
			time.Sleep(time.Second)
			h.restore(0, 6*time.Second)
		},
		"a node is cut from the store": func(h *harness) {
			cut := []string{hostOf(h.entry("n1").Peer)}
			h.cutFromStore(cut, true)
			h.restore(2*time.Second, 8*time.Second)
			time.Sleep(3 * time.Second)
			h.cutFromStore(cut, false)
		},
	}
	for name, restore := range cases {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				convey.Convey("Within the bound, and no node goes back to what it had before", t, func() {
					h.publish(changed(1))
					time.Sleep(3 * time.Second)
					lost := h.publish(changed(2))
					time.Sleep(bound)
					h.kill("n4")
					restore(h)
					started := h.start("n4") // it has only the copy and its neighbours
					for range 60 {
						time.Sleep(50 * time.Millisecond)
						for _, n := range h.nodes {
							if n != started {
								convey.So(n.version(), convey.ShouldBeGreaterThanOrEqualTo, lost.Version)
							}
						}
					}
					convey.So(started.version(), convey.ShouldEqual, lost.Version)
					again := h.publish(changed(3))
					convey.So(again.Version, convey.ShouldBeGreaterThan, lost.Version)
					convey.So(h.awaitVersion(again.Version, 2*bound), convey.ShouldBeLessThanOrEqualTo, bound)
					for id := range h.nodes {
						convey.So(h.send(h.t.Context(), id, testRequest{path: "/other3/x"}).status, convey.ShouldEqual, 200)
						convey.So(h.send(h.t.Context(), id, testRequest{path: "/other2/x"}).status, convey.ShouldEqual, 404)
					}
				})
			})
		})
	}
}

// TestOtherConfigurationWithLostVersionIsInForce guards against a node that keeps a
// configuration whose version was accepted again with another content.
func TestOtherConfigurationWithLostVersionIsInForce(t *testing.T) {
	withHarness(t, func(h *harness) {
		convey.Convey("Version 2 is lost and another version 2 is accepted", t, func() {
			write := func(prefix string) {
				c := h.inv.Configuration(2)
				for i := range c.Routes {
					if c.Routes[i].ID == "other" {
						c.Routes[i].Prefix = prefix
					}
				}
				_, err := h.operatorClient.Replace(h.t.Context(), platform.Configurations, platform.CurrentConfiguration, platform.EncodeConfiguration(c), 0)
				convey.So(err, convey.ShouldBeNil)
			}
			write("/lost/")
			time.Sleep(2 * time.Second)
			h.restore(2*time.Second, 3*time.Second)
			write("/found/")
			time.Sleep(2 * time.Second)
			for id := range h.nodes {
				convey.So(h.send(h.t.Context(), id, testRequest{path: "/found/x"}).status, convey.ShouldEqual, 200)
				convey.So(h.send(h.t.Context(), id, testRequest{path: "/lost/x"}).status, convey.ShouldEqual, 404)
			}
		})
	})
}

// TestDrainThatStoreHasLostIsRetained guards against requests to a drained failure domain
// after the store was restored from a copy without the drain.
func TestDrainThatStoreHasLostIsRetained(t *testing.T) {
	withHarness(t, func(h *harness) {
		convey.Convey("Until it is written again and removed, also at a node that starts", t, func() {
			convey.So(h.configurations().Drain(h.t.Context(), "a"), convey.ShouldBeNil)
			time.Sleep(2 * time.Second)
			h.kill("n4")
			h.restore(time.Second, 4*time.Second)
			h.start("n4")
			time.Sleep(5 * time.Second)
			before := h.arrivals("a")
			h.sendLoad(8 * time.Second)
			convey.So(h.arrivals("a"), convey.ShouldEqual, before)
			convey.So(h.configurations().Drain(h.t.Context(), "a"), convey.ShouldBeNil)
			h.sendLoad(drainRetention)
			convey.So(h.arrivals("a"), convey.ShouldEqual, before)
			convey.So(h.configurations().Undrain(h.t.Context(), "a"), convey.ShouldBeNil)
			h.sendLoad(6 * time.Second)
			convey.So(h.arrivals("a"), convey.ShouldBeGreaterThan, before)
		})
	})
}

// TestEndpointThatLeftStaysGoneAfterRestore guards against requests to an endpoint that has
// left and of which the restored store has an entry again.
func TestEndpointThatLeftStaysGoneAfterRestore(t *testing.T) {
	cases := map[string]func(h *harness, target *testTarget){
		"reported": (*harness).drainTarget,
		"removed":  (*harness).removeTarget,
	}
	for name, leave := range cases {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				convey.Convey("As long as the store may have its old entry", t, func() {
					target := h.targets["s-1"]
					h.sendLoad(2 * time.Second)
					leave(h, target)
					h.sendLoad(2 * time.Second)
					before := len(target.Stats().Arrivals)
					target.endpoint.StopHeartbeats()
					h.restore(time.Second, 4*time.Second)
					h.sendLoad(4 * time.Second)
					convey.So(len(target.Stats().Arrivals), convey.ShouldEqual, before)
					h.platform.Expire(string(platform.Endpoints), "s-1")
					h.sendLoad(6 * time.Second)
					convey.So(len(target.Stats().Arrivals), convey.ShouldEqual, before)
				})
			})
		})
	}
}

// TestEndpointThatStoreHasLostIsKept guards against an endpoint that is given up because the
// restored store lacks its entry.
func TestEndpointThatStoreHasLostIsKept(t *testing.T) {
	for name, registers := range map[string]bool{"it registers again": true, "it has ended": false} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				convey.Convey("Until it should have registered again", t, func() {
					added := inventory.Endpoint{ID: "s-new", Service: "s", Domain: "a", Address: "10.0.2.99:80", Slots: 3}
					target := h.startTarget(added)
					time.Sleep(2 * time.Second)
					if !registers {
						target.endpoint.StopHeartbeats()
					}
					h.restore(time.Second, 4*time.Second)
					for range 15 {
						time.Sleep(100 * time.Millisecond)
						for _, n := range h.nodes {
							_, known := n.endpoints.Endpoint(added.ID)
							convey.So(known, convey.ShouldBeTrue)
						}
					}
					time.Sleep(4 * time.Second)
					for _, n := range h.nodes {
						_, known := n.endpoints.Endpoint(added.ID)
						convey.So(known, convey.ShouldEqual, registers)
					}
				})
			})
		})
	}
}

// TestEntriesThatStoreHasLostAreWrittenAgain guards against nodes that share budgets by the
// entries that a restored store has, and that never write theirs again.
func TestEntriesThatStoreHasLostAreWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("The entries outlast the copy, and the store has all soon", t, func() {
			h := newHarness(t, testInventory())
			defer h.close()
			time.Sleep(5 * time.Second)
			for _, e := range h.inv.Entries {
				h.start(e.ID)
			}
			time.Sleep(3 * time.Second)
			writes := h.platform.Counts().Writes
			h.restore(time.Second, 3500*time.Millisecond)
			for range 40 {
				time.Sleep(100 * time.Millisecond)
				for _, n := range h.nodes {
					convey.So(len(n.members.Entries()), convey.ShouldEqual, len(h.inv.Entries))
				}
			}
			l, err := h.operatorClient.List(h.t.Context(), platform.Entries)
			convey.So(err, convey.ShouldBeNil)
			convey.So(l.Objects, convey.ShouldHaveLength, len(h.inv.Entries))
			heartbeats := len(h.targets) * 4
			convey.So(h.platform.Counts().Writes-writes, convey.ShouldBeLessThanOrEqualTo, len(h.inv.Entries)+heartbeats)
		})
	})
}

// TestOlderEntryOfNodeIsReplaced guards against an entry of an earlier process of a node that
// a late write has put in the place of the current one.
func TestOlderEntryOfNodeIsReplaced(t *testing.T) {
	withHarness(t, func(h *harness) {
		convey.Convey("The node writes its entry again", t, func() {
			current := h.nodes["n1"].entry()
			older := current
			older.Start--
			_, err := h.operatorClient.Replace(h.t.Context(), platform.Entries, "n1", older, 0)
			convey.So(err, convey.ShouldBeNil)
			time.Sleep(4 * time.Second)
			o, err := h.operatorClient.Get(h.t.Context(), platform.Entries, "n1")
			convey.So(err, convey.ShouldBeNil)
			var got member.Entry
			convey.So(json.Unmarshal(o.Spec, &got), convey.ShouldBeNil)
			convey.So(got.Start, convey.ShouldEqual, current.Start)
		})
	})
}

// TestLateWritesOfFormerProcess guards against a deletion or a write of a node's former process that takes effect late,
// on the entry of the next one.
func TestLateWritesOfFormerProcess(t *testing.T) {
	withHarness(t, func(h *harness) {
		convey.Convey("The entry of the next process stays", t, func() {
			for _, kind := range []string{"deletion", "write"} {
				former := h.nodes["n1"]
				h.platform.SetFault(standin.Fault{LateWrite: 1, LateBy: 3 * time.Second})
				if kind == "deletion" {
					former.deleteEntry()
				} else {
					_, err := former.writeEntry(h.t.Context(), storedEntry{Entry: former.entry()})
					convey.So(err, convey.ShouldNotBeNil)
				}
				h.kill("n1")
				next := h.start("n1")
				time.Sleep(time.Second)
				began := time.Now()
				time.Sleep(6 * time.Second)
				convey.So(next.metrics.counterValues()["entry.lost"], convey.ShouldEqual, 0)
				convey.So(h.platform.RemovedAt(string(platform.Entries), "n1").After(began), convey.ShouldBeFalse)
			}
		})
	})
}
