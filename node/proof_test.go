package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/caller"
	"github.com/wasabiwheel/wasabiwheel/discovery"
	"github.com/wasabiwheel/wasabiwheel/freshness"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/member"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

// revocation is the bound on withdrawn keys in these tests.
const revocation = 5 * time.Second

// withRevocation is withHarness with organisations and a bound on withdrawn keys. The clock that
// counts suspension can be advanced beyond the runtime's.
func withRevocation(t *testing.T, body func(h *harness, suspend func(time.Duration))) {
	suspended := atomic.Int64{}
	withSuspension(t, func() time.Duration { return time.Duration(suspended.Load()) }, func(h *harness) {
		body(h, func(d time.Duration) { suspended.Add(int64(d)) })
	})
}

// withSuspension is withRevocation with a function that returns how long the VMs have been suspended.
func withSuspension(t *testing.T, suspended func() time.Duration, body func(h *harness)) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, withOrganisations(testInventory()))
		defer h.close()
		start := time.Now()
		h.options.SinceBoot = func() time.Duration { return time.Hour + time.Since(start) + suspended() }
		for _, e := range h.inv.Entries {
			h.startRevoking(e.ID)
		}
		time.Sleep(8 * time.Second)
		body(h)
	})
}

func (h *harness) startRevoking(id inventory.EntryID) *testNode {
	s := SettingsOf(h.inv, h.entry(id), storeAddress)
	s.Bounds.Revocation.Duration = revocation
	return h.startWith(s)
}

// withdraw accepts a configuration without the key acme-2.
func (h *harness) withdraw() {
	h.publish(bytes.Replace(withOrganisations(testInventory()), []byte(", \"acme-2\""), nil, 1))
}

// cutNode cuts a node off from the store and from all other nodes, or reverts that.
func (h *harness) cutNode(id inventory.EntryID, cut bool) {
	own := hostOf(h.entry(id).Peer)
	others := []string{storeIP}
	for _, e := range h.inv.Entries {
		if e.ID != id {
			others = append(others, hostOf(e.Peer))
		}
	}
	for _, other := range others {
		for _, p := range []standin.Path{{From: own, To: other}, {From: other, To: own}} {
			if cut {
				h.network.Cut(p)
			} else {
				h.network.Heal(p)
			}
		}
	}
}

// TestWithdrawnKeys guards against requests with a withdrawn key that run at a node which does not hear
// of the withdrawal, and against requests with other keys that wait there.
func TestWithdrawnKeys(t *testing.T) {
	cases := map[string]struct {
		before, after func(h *harness, suspend func(time.Duration))
		served        bool // requests with other keys, after the bound
	}{
		"in contact": {before: func(*harness, func(time.Duration)) {}, served: true},
		"cut off":    {before: func(h *harness, _ func(time.Duration)) { h.cutNode("n1", true) }},
		"cut off from the store": {before: func(h *harness, _ func(time.Duration)) {
			h.cutFromStore([]string{hostOf(h.entry("n1").Peer)}, true)
		}, served: true},
		"the store is silent": {before: func(h *harness, _ func(time.Duration)) {
			h.platform.SetFault(standin.Fault{OnlyClients: nodeIPs(h), Silent: true})
		}},
		"suspended, then cut off": {before: func(h *harness, suspend func(time.Duration)) {
			h.cutNode("n1", true)
			suspend(revocation)
		}},
		"restarted and cut off": {before: func(h *harness, _ func(time.Duration)) {
			h.kill("n1")
			h.network.VM(hostOf(h.entry("n1").Peer))
			h.startRevoking("n1")
			time.Sleep(time.Second)
			h.cutNode("n1", true)
		}},
		"store restored": {before: func(h *harness, _ func(time.Duration)) { h.platform.Restore(time.Second) }, served: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withRevocation(t, func(h *harness, suspend func(time.Duration)) {
				convey.Convey("It does not run after the bound", t, func() {
					convey.So(h.sendKey("n1", "/get/x", "acme-2").status, convey.ShouldEqual, 200)
					c.before(h, suspend)
					h.withdraw()
					confirmed := time.Now()
					for time.Since(confirmed) < 2*revocation {
						sent := time.Since(confirmed)
						withdrawn, valid, open := h.sendKey("n1", "/get/x", "acme-2"), h.sendKey("n1", "/get/x", "acme-1"), h.sendKey("n1", "/open/x", "")
						if sent > revocation {
							convey.So(h.runCount(withdrawn.id), convey.ShouldEqual, 0)
							convey.So(withdrawn.status, convey.ShouldBeIn, 401, 503)
						}
						if sent > revocation && !c.served {
							convey.So(valid.status, convey.ShouldEqual, 503)
							convey.So(valid.reason, convey.ShouldEqual, string(ReasonUnproven))
							convey.So(valid.header.Get("Retry-After"), convey.ShouldEqual, "0.100")
							convey.So(valid.took, convey.ShouldBeLessThan, 300*time.Millisecond)
							convey.So(withdrawn.status, convey.ShouldEqual, 503)
						}
						if sent > revocation && c.served {
							convey.So(valid.status, convey.ShouldEqual, 200)
						}
						convey.So(open.status, convey.ShouldEqual, 200)
						time.Sleep(50 * time.Millisecond)
					}
					h.cutNode("n1", false)
					h.cutFromStore([]string{hostOf(h.entry("n1").Peer)}, false)
					h.platform.SetFault(standin.Fault{})
					time.Sleep(6 * time.Second)
					convey.So(h.sendKey("n1", "/get/x", "acme-1").status, convey.ShouldEqual, 200)
					convey.So(h.sendKey("n1", "/get/x", "acme-2").status, convey.ShouldEqual, 401)
				})
			})
		})
	}
}

func nodeIPs(h *harness) []string {
	var ips []string
	for _, e := range h.inv.Entries {
		ips = append(ips, hostOf(e.Peer))
	}
	return ips
}

// TestKeysUnderNormalConditions guards against requests that are rejected for lack of a proof although
// nothing is wrong. Covered: four nodes, of which one gets changes from another one, a store that takes
// 240 ms for each call, and drains that change.
func TestKeysUnderNormalConditions(t *testing.T) {
	withRevocation(t, func(h *harness, _ func(time.Duration)) {
		convey.Convey("All are served", t, func() {
			h.platform.SetFault(standin.Fault{Delay: 240 * time.Millisecond})
			oldest := time.Duration(0)
			for range 600 {
				for _, e := range h.inv.Entries {
					age, ok := h.nodes[e.ID].proofAge()
					convey.So(ok, convey.ShouldBeTrue)
					oldest = max(oldest, age)
				}
				time.Sleep(50 * time.Millisecond)
			}
			convey.So(oldest, convey.ShouldBeLessThan, 2800*time.Millisecond)
			for _, e := range h.inv.Entries {
				convey.So(h.sendKey(e.ID, "/other/x", "acme-1").status, convey.ShouldEqual, 200)
				convey.So(h.counter(e.ID, "proof.lost"), convey.ShouldEqual, 0)
				convey.So(h.counter(e.ID, "proof.asked"), convey.ShouldEqual, 0)
			}
		})
	})
}

// TestProofsBySize guards against nodes that can't decide on keys although nothing is wrong. Covered: 6 and
// 110 nodes in three failure domains, of which the latter need two hops; a store that takes 240 ms for each call; a
// change of the configuration each 3.6 s.
func TestProofsBySize(t *testing.T) {
	for _, count := range []int{6, 110} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				convey.Convey("All nodes have a young proof", t, func() {
					h := newSizedHarness(t, count)
					defer h.close()
					for _, e := range h.inv.Entries {
						h.startRevoking(e.ID)
					}
					time.Sleep(warmUpTime)
					h.platform.SetFault(standin.Fault{Delay: 240 * time.Millisecond})
					time.Sleep(4 * time.Second)
					oldest, asked, before := time.Duration(0), map[inventory.EntryID]int64{}, h.network.Carried()
					for id := range h.nodes {
						asked[id] = h.counter(id, "proof.asked")
					}
					for i := range 144 {
						if i%36 == 0 {
							h.publish(sizedInventory(count))
						}
						time.Sleep(100 * time.Millisecond)
						for _, n := range h.nodes {
							age, ok := n.proofAge()
							convey.So(ok, convey.ShouldBeTrue)
							oldest = max(oldest, age)
						}
					}
					c := h.bytesSince(before)
					t.Logf("oldest proof %s; control traffic %.1f KB/s, highest %.1f", oldest, c.mean/14.4e3, c.peak/14.4e3)
					convey.So(oldest, convey.ShouldBeLessThan, 3*time.Second)
					for id := range h.nodes {
						convey.So(h.counter(id, "proof.lost"), convey.ShouldEqual, 0)
						convey.So(h.counter(id, "proof.asked"), convey.ShouldEqual, asked[id])
					}
				})
			})
		})
	}
}

// TestUpdatesAfterRestoreOfStore guards against nodes that get the copy of a new era at once, and its proof with the
// next regular update only: 0.45 s later (soak, seed 11).
func TestUpdatesAfterRestoreOfStore(t *testing.T) {
	withRevocation(t, func(h *harness, _ func(time.Duration)) {
		convey.Convey("Two updates follow soon, then as before", t, func() {
			n, to := h.nodes["n1"], &subscriberClock{known: true}
			delays := func() (all []time.Duration) {
				for range 4 {
					all = append(all, n.untilUpdate(time.Second, to))
				}
				return all
			}
			twice := []time.Duration{promptInterval, promptInterval, time.Second, time.Second}
			convey.So(delays(), convey.ShouldResemble, twice)
			convey.So(delays()[0], convey.ShouldEqual, time.Second)
			h.platform.Restore(time.Second)
			time.Sleep(3 * time.Second)
			convey.So(delays(), convey.ShouldResemble, twice)
			convey.So(n.untilUpdate(time.Second, &subscriberClock{}), convey.ShouldEqual, time.Second)
		})
	})
}

// TestSuspensionDuringRequest guards against a request that is sent after its node was suspended for
// long between reading and sending it.
func TestSuspensionDuringRequest(t *testing.T) {
	withRevocation(t, func(h *harness, suspend func(time.Duration)) {
		convey.Convey("It is rejected as not run, and others are served soon", t, func() {
			h.cutNode("n1", true)
			reader, writer := io.Pipe()
			req, err := http.NewRequest(http.MethodPost, "http://"+h.entry("n1").Caller+"/post/x", reader)
			convey.So(err, convey.ShouldBeNil)
			req.Header.Set(headerAuthorization, "Bearer acme-1")
			req.Header.Set(caller.Headers.Request, "late")
			go func() {
				_, _ = writer.Write([]byte("x"))
				time.Sleep(500 * time.Millisecond)
				suspend(revocation)
				_ = writer.Close()
			}()
			resp := h.do(req)
			convey.So(resp.status, convey.ShouldEqual, 503)
			convey.So(resp.reason, convey.ShouldEqual, string(ReasonUnproven))
			convey.So(h.runCount("late"), convey.ShouldEqual, 0)
			h.cutNode("n1", false)
			time.Sleep(3 * time.Second)
			convey.So(h.sendKey("n1", "/get/x", "acme-1").status, convey.ShouldEqual, 200)
		})
	})
}

// TestMaySendNeedsProof guards against attempts and forwards that are sent with a key which the node
// can't check any more.
func TestMaySendNeedsProof(t *testing.T) {
	withRevocation(t, func(h *harness, suspend func(time.Duration)) {
		convey.Convey("Neither to an endpoint nor to a node that is not known to check it", t, func() {
			n := h.nodes["n1"]
			o, _ := n.routes.Load().organisations.Find("acme-1")
			req := &request{organisation: o, key: "acme-1"}
			convey.So(n.mayUseKey(req), convey.ShouldBeTrue)
			convey.So(n.mayUseKey(&request{organisation: o, key: "globex-1"}), convey.ShouldBeFalse)
			suspend(revocation)
			convey.So(n.mayUseKey(req), convey.ShouldBeFalse)
			convey.So(n.mayUseKey(&request{}), convey.ShouldBeTrue)
			convey.So(n.mayForward(req, "unknown"), convey.ShouldBeFalse)
			time.Sleep(4 * time.Second)
			convey.So(n.mayUseKey(req), convey.ShouldBeTrue)
			convey.So(n.mayForward(req, "unknown"), convey.ShouldBeTrue)
		})
	})
}

// TestFormerConfigurationsDecideOnNoKey guards against 401 for a key of the configuration in force: from a request that
// began under a former one, or while there was no proof.
func TestFormerConfigurationsDecideOnNoKey(t *testing.T) {
	var suspendedOnce atomic.Bool
	suspended := func() time.Duration {
		if suspendedOnce.CompareAndSwap(true, false) {
			return revocation
		}
		return 0
	}
	withSuspension(t, suspended, func(h *harness) {
		n := h.nodes["n1"]
		former := n.routes.Load()
		h.publish(bytes.Replace(withOrganisations(testInventory()), []byte("\"acme-2\""), []byte("\"acme-3\""), 1))
		time.Sleep(3 * time.Second)
		current := n.routes.Load()
		identify := func(p *policy, key string) *response {
			r := httptest.NewRequest(http.MethodGet, "/get/x", nil)
			r.Header.Set(headerAuthorization, "Bearer "+key)
			return n.identify(n.newRequest(httptest.NewRecorder(), r, p.Find(r.Host, r.URL.EscapedPath()), p.Version, time.Now()), r.Header, p.organisations)
		}
		convey.Convey("The former one does not reject a key", t, func() {
			convey.So(identify(former, "acme-3").status, convey.ShouldEqual, 503)
			convey.So(identify(former, "acme-3").reason, convey.ShouldEqual, ReasonUnproven)
		})
		convey.Convey("The one in force does", t, func() {
			convey.So(identify(current, "acme-3"), convey.ShouldBeNil)
			convey.So(identify(current, "acme-2").status, convey.ShouldEqual, 401)
		})
		convey.Convey("A key that is held is not rejected when the proof is renewed meanwhile", t, func() {
			o, _ := current.organisations.Find("acme-3")
			suspendedOnce.Store(true)
			resp, decided := n.checkKeyAgain(t.Context(), &request{organisation: o, key: "acme-3", forwarded: &forwardedRequest{}}, response{})
			convey.So(suspendedOnce.Load(), convey.ShouldBeFalse)
			convey.So(decided, convey.ShouldBeTrue)
			convey.So(resp.status, convey.ShouldEqual, 503)
			convey.So(resp.reason, convey.ShouldEqual, ReasonUnproven)
		})
	})
}

// TestOldBuilds guards against connections to nodes of old builds that end, since those expect no
// messages of subscribers, and against nodes that get no proof then.
func TestOldBuilds(t *testing.T) {
	withRevocation(t, func(h *harness, _ func(time.Duration)) {
		convey.Convey("An old sender gets no clock", t, func() {
			n := h.nodes["n1"]
			var received, updates atomic.Int64
			h.serve("10.0.9.9:7001", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				c, err := websocket.Accept(w, r, nil)
				if err != nil {
					return
				}
				defer func() { _ = c.CloseNow() }()
				var first subscribeRequest
				if readMessage(r.Context(), c, time.Second, &first) != nil {
					return
				}
				ctx := c.CloseRead(r.Context())
				defer func() { received.Add(1) }()
				data, _ := cbor.Marshal(peerUpdate{Beat: member.Heartbeat{Entry: "old"}, Hops: discovery.HopsNone})
				for ctx.Err() == nil && c.Write(ctx, websocket.MessageBinary, data) == nil {
					updates.Add(1)
					time.Sleep(250 * time.Millisecond)
				}
			}))
			ctx, cancel := context.WithCancel(context.Background())
			old := subscription{entry: member.Entry{ID: "old", PeerAddress: "10.0.9.9:7001"}, feed: true}
			client := &http.Client{Transport: &http.Transport{DialContext: n.network.DialContext, DisableKeepAlives: true}}
			go func() { _ = n.receiveUpdates(ctx, client, old, false) }()
			time.Sleep(3 * time.Second)
			convey.So(received.Load(), convey.ShouldEqual, 0)
			convey.So(updates.Load(), convey.ShouldBeGreaterThan, 10)
			cancel()
			time.Sleep(time.Second)
		})
		convey.Convey("An old subscriber that sends no clock gets updates without proofs", t, func() {
			c, _, err := websocket.Dial(context.Background(), "ws://"+h.entry("n1").Peer+pathHeartbeats, &websocket.DialOptions{HTTPClient: h.caller})
			convey.So(err, convey.ShouldBeNil)
			defer func() { _ = c.CloseNow() }()
			first, _ := cbor.Marshal(subscribeRequest{})
			convey.So(c.Write(context.Background(), websocket.MessageBinary, first), convey.ShouldBeNil)
			for range 5 {
				var m peerUpdate
				convey.So(readMessage(context.Background(), c, time.Second, &m), convey.ShouldBeNil)
				convey.So(m.Proof, convey.ShouldBeNil)
			}
		})
		convey.Convey("A node whose source passes no proofs on asks the store itself", t, func() {
			follower := h.nodes["n2"]
			if follower.plan.Load().Reads {
				follower = h.nodes["n1"]
			}
			convey.So(follower.plan.Load().Reads, convey.ShouldBeFalse)
			source := h.nodes[follower.plan.Load().Upstream]
			without := *source.settings.Load()
			without.Bounds.Revocation.Duration = 0
			source.Reload(without, "test")
			time.Sleep(10 * time.Second)
			convey.So(follower.metrics.counterValues()["proof.asked"], convey.ShouldBeGreaterThan, 0)
			convey.So(follower.metrics.counterValues()["proof.lost"], convey.ShouldEqual, 0)
		})
	})
}

// TestEchoSurvivesEncoding guards against proofs that lose a part between nodes.
func TestEchoSurvivesEncoding(t *testing.T) {
	convey.Convey("An update with a proof", t, func() {
		e := freshness.Proof{Position: freshness.Position{Era: 2, At: 9}, Moment: 5}.Echo(freshness.Clock{Sent: 7, Received: 3})
		data, err := cbor.Marshal(peerUpdate{Proof: &e, Echoes: true})
		convey.So(err, convey.ShouldBeNil)
		var m peerUpdate
		convey.So(cbor.Unmarshal(data, &m), convey.ShouldBeNil)
		convey.So(m.Proof.Proof(), convey.ShouldResemble, freshness.Proof{Position: freshness.Position{Era: 2, At: 9}, Moment: 9})
	})
}

// TestSuspensionDuringDial guards against a request that is sent on a connection which was opened while
// its node was suspended.
func TestSuspensionDuringDial(t *testing.T) {
	withRevocation(t, func(h *harness, suspend func(time.Duration)) {
		convey.Convey("It is rejected as not run", t, func() {
			h.cutNode("n1", true)
			h.cutEndpoints(cutHang, true, anyEndpoint, "n1")
			go func() {
				time.Sleep(60 * time.Millisecond)
				suspend(revocation)
				h.cutEndpoints(cutHang, false, anyEndpoint, "n1")
			}()
			resp := h.sendKey("n1", "/get/x", "acme-1")
			convey.So(resp.status, convey.ShouldEqual, 503)
			convey.So(h.runCount(resp.id), convey.ShouldEqual, 0)
			convey.So(resp.reason, convey.ShouldEqual, string(ReasonUnproven))
			convey.So(h.counter("n1", "attempt.withdrawn"), convey.ShouldEqual, 1)
			h.cutNode("n1", false)
		})
	})
}
