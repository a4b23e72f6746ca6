package node

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/booking"
	"github.com/wasabiwheel/wasabiwheel/examples"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/lookup"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

// slow makes all targets take the given time for a request.
func (r *rig) slow(work time.Duration) {
	for _, t := range r.targets {
		t.SetBehaviour(standin.Behaviour{Work: work})
	}
}

// stopNode tells a node to stop and returns how long it took.
func (r *rig) stopNode(id inventory.EntryID) time.Duration {
	began := time.Now()
	n := r.nodes[id]
	n.stop()
	<-n.done
	delete(r.nodes, id)
	return time.Since(began)
}

// overrun lists the endpoints that had more requests at a time than slots.
func (r *rig) overrun() []inventory.EndpointID {
	var over []inventory.EndpointID
	for _, e := range r.inv.Endpoints {
		if r.targets[e.ID].Ledger().Peak > e.Slots {
			over = append(over, e.ID)
		}
	}
	return over
}

// unowned watches for the given time and returns for how much of it some slot
// had no owner.
func (r *rig) unowned(watch time.Duration) time.Duration {
	want, sum := 0, time.Duration(0)
	for _, e := range r.inv.Endpoints {
		want += e.Slots
	}
	for end := time.Now().Add(watch); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if r.slots() < want {
			sum += 50 * time.Millisecond
		}
	}
	return sum
}

func TestStopCutsNoRequestInFlight(t *testing.T) {
	bubble(t, examples.Lumbre, func(r *rig) {
		convey.Convey("Slow requests under way at a node that is told to stop get their answers", r.t, func() {
			r.slow(1500 * time.Millisecond)
			replies := make(chan reply, 8)
			key := r.token("lumbre-1", "lumbre-1") + "~operation-1"
			go func() {
				replies <- r.send(r.t.Context(), "lumbre-1", http.MethodPost, "/serve/reservations/x", key, "")
			}()
			for i := 1; i < cap(replies); i++ {
				go func() {
					// The last ones arrive when the node has already begun to leave.
					time.Sleep(time.Duration(i) * 300 * time.Millisecond)
					replies <- r.send(r.t.Context(), "lumbre-1", http.MethodGet, "/serve/catalogue/lamps/7", "", "")
				}()
			}
			time.Sleep(time.Second)
			took := r.stopNode("lumbre-1")
			closed := 0
			for range cap(replies) {
				got := <-replies
				convey.So(got.err, convey.ShouldBeNil)
				convey.So(got.outcome, convey.ShouldEqual, OutcomeRan)
				if got.closed {
					closed++
				}
			}
			convey.So(r.timesRun(key), convey.ShouldEqual, 1)
			convey.So(closed, convey.ShouldBeGreaterThanOrEqualTo, 5)
			convey.So(took, convey.ShouldBeLessThan, stopLimit)
		})
	})
}

func TestStopHandsEndpointsOverWithNoWait(t *testing.T) {
	bubble(t, examples.Lumbre, func(r *rig) {
		convey.Convey("With nothing in flight all slots keep an owner while a node stops", r.t, func() {
			want := r.slots()
			time.Sleep(5 * time.Second) // past the deadlines since the start
			n := r.nodes["lumbre-1"]
			n.stop()
			gap := time.Duration(0)
			for ended := false; !ended; {
				select {
				case <-n.done:
					ended = true
				case <-time.After(50 * time.Millisecond):
				}
				if r.slots() < want {
					gap += 50 * time.Millisecond
				}
			}
			delete(r.nodes, "lumbre-1")
			convey.So(r.slots(), convey.ShouldEqual, want)
			convey.So(gap, convey.ShouldBeLessThan, 2*time.Second)
		})
	})
}

func TestAbortedStopCountsWhatItCuts(t *testing.T) {
	bubble(t, examples.Lumbre, func(r *rig) {
		convey.Convey("A second order to stop ends it at once and counts what is cut", r.t, func() {
			r.slow(10 * time.Second)
			node := r.nodes["lumbre-1"]
			go r.send(r.t.Context(), "lumbre-1", http.MethodPost, "/serve/reservations/x", "", "")
			time.Sleep(100 * time.Millisecond)
			began := time.Now()
			node.mayFail = true
			node.stop()
			time.Sleep(time.Second)
			node.Abort()
			<-node.done
			delete(r.nodes, "lumbre-1")
			convey.So(node.failure, convey.ShouldNotBeNil)
			convey.So(time.Since(began), convey.ShouldBeLessThan, 2*time.Second)
			convey.So(node.counters.snapshot()["stop.cut"], convey.ShouldBeGreaterThanOrEqualTo, 1)
		})
	})
}

func TestRollingRestartLosesAndDoublesNothing(t *testing.T) {
	for name, text := range map[string][]byte{"lumbre": examples.Lumbre, "association": examples.Association} {
		t.Run(name, func(t *testing.T) {
			bubble(t, text, func(r *rig) {
				convey.Convey("Each node is restarted in turn under load", r.t, func() {
					r.slow(200 * time.Millisecond)
					d := r.startDesks(250 * time.Millisecond)
					var worst time.Duration
					for _, e := range r.inv.Entries {
						r.stopNode(e.ID)
						r.start(e.ID)
						worst = max(worst, r.unowned(6*time.Second))
					}
					r.settle()
					time.Sleep(3 * lookup.TTL)
					convey.So(d.finish(), convey.ShouldResemble, faults{})
					r.t.Logf("%s: outcomes %v; slots without an owner for at most %s", name, d.outcomes, worst)
					convey.So(d.outcomes["POST ran"], convey.ShouldBeGreaterThan, 100)
					convey.So(r.overrun(), convey.ShouldBeEmpty)
					convey.So(worst, convey.ShouldBeLessThan, 10*time.Second)
				})
			})
		})
	}
}

func TestStopFinishesOperationsWhoseCallerLeft(t *testing.T) {
	bubble(t, examples.Lumbre, func(r *rig) {
		convey.Convey("An operation that begins while the node leaves is over when it has stopped", r.t, func() {
			const work = 2500 * time.Millisecond
			r.slow(work)
			n := r.nodes["lumbre-1"]
			key := r.token("lumbre-1", "lumbre-1") + "~operation-1"
			n.stop()
			time.Sleep(leaveAfter - 100*time.Millisecond)
			ctx, hangUp := context.WithTimeout(r.t.Context(), 50*time.Millisecond)
			defer hangUp()
			convey.So(r.send(ctx, "lumbre-1", http.MethodPost, "/serve/reservations/x", key, "").err, convey.ShouldNotBeNil)
			began := time.Now()
			<-n.done
			delete(r.nodes, "lumbre-1")
			convey.So(time.Since(began), convey.ShouldBeGreaterThan, work-100*time.Millisecond)
			parsed, err := booking.ParseKey(key)
			convey.So(err, convey.ShouldBeNil)
			convey.So(n.bookings.Look(parsed).State, convey.ShouldEqual, booking.StateDone)
			convey.So(r.timesRun(key), convey.ShouldEqual, 1)
		})
	})
}
