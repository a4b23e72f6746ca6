package node

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/platform"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

// heartbeats writes the registration of an endpoint by hand.
type heartbeats struct {
	*harness
	inventory.Endpoint
}

// takeHeartbeats stops the heartbeats of an endpoint and continues them by hand, from number 10 on.
func (h *harness) takeHeartbeats(target *testTarget) *heartbeats {
	target.endpoint.StopHeartbeats()
	hb := &heartbeats{harness: h, Endpoint: target.endpoint.Endpoint}
	hb.Start = time.Now()
	hb.write(10)
	time.Sleep(8 * time.Second)
	return hb
}

// write writes the registration with the number of a heartbeat.
func (hb *heartbeats) write(beat uint64) {
	spec := platform.EncodeEndpoint(hb.Endpoint, beat)
	_, err := hb.targetClient.Replace(hb.t.Context(), platform.Endpoints, string(hb.ID), spec, 0)
	if platform.IsKind(err, platform.KindNotFound) {
		_, err = hb.targetClient.Create(hb.t.Context(), platform.Endpoints, string(hb.ID), spec)
	}
	if err != nil {
		hb.t.Fatal(err)
	}
}

// writeLate writes a registration from before the endpoint drained.
func (hb *heartbeats) writeLate(beat uint64, change func(*inventory.Endpoint)) {
	now := hb.Endpoint
	hb.Draining = false
	change(&hb.Endpoint)
	hb.write(beat)
	hb.Endpoint = now
}

func (hb *heartbeats) drain(beat uint64) {
	hb.Draining = true
	hb.write(beat)
	time.Sleep(2 * time.Second)
}

func (hb *heartbeats) remove() {
	hb.platform.Expire(string(platform.Endpoints), string(hb.ID))
	time.Sleep(2 * time.Second)
}

// TestLateRegistrationDoesNotUndoDrain guards against requests to an endpoint that leaves, which were
// sent there since a write of before took effect late: the endpoint then ended with them.
func TestLateRegistrationDoesNotUndoDrain(t *testing.T) {
	unchanged := func(*inventory.Endpoint) {}
	cases := map[string]func(hb *heartbeats){
		"one": func(hb *heartbeats) { hb.drain(13); hb.writeLate(11, unchanged) },
		"two": func(hb *heartbeats) {
			hb.drain(13)
			hb.writeLate(11, unchanged)
			time.Sleep(time.Second)
			hb.writeLate(12, unchanged)
		},
		"out of order": func(hb *heartbeats) {
			hb.drain(13)
			hb.writeLate(12, unchanged)
			time.Sleep(time.Second)
			hb.writeLate(11, unchanged)
		},
		"another warmup": func(hb *heartbeats) {
			hb.drain(13)
			hb.writeLate(11, func(e *inventory.Endpoint) { e.ColdRemaining = time.Second })
		},
		"other slots": func(hb *heartbeats) { hb.drain(13); hb.writeLate(11, func(e *inventory.Endpoint) { e.Slots = 30 }) },
		"after heartbeats that changed only the number": func(hb *heartbeats) { hb.drain(13); hb.write(14); hb.write(15); hb.writeLate(12, unchanged) },
		"the drain and the late write are read at once": func(hb *heartbeats) { hb.Draining = true; hb.write(13); hb.writeLate(11, unchanged) },
		"after the removal":                             func(hb *heartbeats) { hb.drain(13); hb.remove(); hb.writeLate(11, unchanged) },
		"two after the removal": func(hb *heartbeats) {
			hb.drain(13)
			hb.remove()
			hb.writeLate(11, unchanged)
			time.Sleep(time.Second)
			hb.writeLate(12, unchanged)
		},
		"after the removal, without a drain": func(hb *heartbeats) { hb.remove(); hb.writeLate(10, unchanged) },
		"unread numbers, after the removal":  func(hb *heartbeats) { hb.remove(); hb.writeLate(12, unchanged) },
		"of the former start": func(hb *heartbeats) {
			hb.drain(13)
			hb.writeLate(11, func(e *inventory.Endpoint) { e.Start = e.Start.Add(-time.Minute) })
		},
		"to a node that starts": func(hb *heartbeats) {
			hb.kill("n1")
			hb.drain(13)
			hb.writeLate(11, unchanged)
			time.Sleep(time.Second)
			hb.start("n1")
			time.Sleep(2 * time.Second)
		},
		"to a node that was cut from the store": func(hb *heartbeats) {
			cut := []string{hostOf(hb.entry("n1").Peer)}
			hb.cutFromStore(cut, true)
			hb.drain(13)
			hb.writeLate(11, unchanged)
			time.Sleep(time.Second)
			hb.cutFromStore(cut, false)
			time.Sleep(time.Second)
		},
	}
	for name, disturb := range cases {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				convey.Convey("The endpoint gets no requests", t, func() {
					target := h.serviceTargets("s")[0]
					disturb(h.takeHeartbeats(target))
					time.Sleep(time.Second)
					w := h.watch(target)
					w.load(h, 40, 3*time.Second, "/get/x", "n1", "n2", "n4")
					convey.So(w.arrivals, convey.ShouldBeEmpty)
				})
			})
		})
	}
}

// TestNewerRegistrationIsNotTakenForLate guards against endpoints that stay without requests, although
// their registration is newer than what is known of them.
func TestNewerRegistrationIsNotTakenForLate(t *testing.T) {
	cases := map[string]struct {
		then   func(hb *heartbeats)
		within time.Duration
	}{
		"the drain is taken back": {func(hb *heartbeats) { hb.drain(13); hb.Draining = false; hb.write(15) }, 3 * time.Second},
		"a late write is corrected": {func(hb *heartbeats) {
			hb.drain(13)
			hb.writeLate(11, func(*inventory.Endpoint) {})
			hb.Draining = false
			hb.write(15)
		}, 3 * time.Second},
		"a new start with small numbers": {func(hb *heartbeats) {
			hb.drain(13)
			hb.remove()
			hb.Draining, hb.Start = false, time.Now()
			hb.write(1)
		}, time.Second},
		"a new start without a removal": {func(hb *heartbeats) { hb.drain(13); hb.Draining, hb.Start = false, time.Now(); hb.write(1) }, time.Second},
		"the clock was set back": {func(hb *heartbeats) {
			hb.drain(13)
			hb.Draining, hb.Start = false, hb.Start.Add(-time.Hour)
			hb.write(1)
		}, 7 * time.Second},
		"starts are unknown": {func(hb *heartbeats) {
			hb.Start = time.Time{}
			hb.drain(13)
			hb.Draining = false
			hb.write(1)
		}, 9 * time.Second},
		"without numbers": {func(hb *heartbeats) { hb.drain(13); hb.Draining = false; hb.write(0) }, 3 * time.Second},
		"it expired in an outage": {func(hb *heartbeats) {
			hb.platform.SetFault(standin.Fault{Reset: true})
			time.Sleep(5 * time.Second)
			hb.platform.Expire(string(platform.Endpoints), string(hb.ID))
			hb.platform.SetFault(standin.Fault{})
			time.Sleep(1500 * time.Millisecond)
			hb.write(15)
		}, time.Second},
		"it was cut from the store and is back": {func(hb *heartbeats) { hb.remove(); hb.write(15) }, 7 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				convey.Convey("The endpoint gets requests", t, func() {
					target := h.serviceTargets("s")[0]
					c.then(h.takeHeartbeats(target))
					time.Sleep(c.within)
					w := h.watch(target)
					w.load(h, 40, 5*time.Second, "/get/x", "n1", "n2", "n4")
					convey.So(w.arrivals, convey.ShouldNotBeEmpty)
				})
			})
		})
	}
}
