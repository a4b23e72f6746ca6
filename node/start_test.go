package node

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/standin"
)

// startTime is how long a node may take until it serves, where others can tell it what
// they know: the wait until they are asked, a look at who is followed, and some round
// trips of 4 ms.
const startTime = time.Second

func TestANodeThatNobodyCanTellIsNotReady(t *testing.T) {
	bubble(t, func(r *rig) {
		convey.Convey("It serves as soon as it has read all that it needs", t, func() {
			r.kill("n1")
			r.platform.SetFault(standin.Fault{Down: true})
			alone := SettingsOf(r.inv, r.entry("n1"), rigStore)
			alone.Seeds = nil
			n := r.startWith(alone)
			time.Sleep(5 * time.Second)
			convey.So(n.state(), convey.ShouldEqual, StateStarting)
			convey.So(r.named("n2", "a"), convey.ShouldNotContain, "10.0.1.1:7000")
			r.platform.SetFault(standin.Fault{})
			time.Sleep(time.Second)
			convey.So(n.state(), convey.ShouldEqual, StateServing)
			convey.So(r.send(r.t.Context(), "n1", ask{}).status, convey.ShouldEqual, http.StatusOK)
		})
	})
}

// TestAllStartWhileTheStoreIsAway has nobody who knows anything.
func TestAllStartWhileTheStoreIsAway(t *testing.T) {
	bubble(t, func(r *rig) {
		convey.Convey("They serve as soon as the store is back", t, func() {
			for _, e := range r.inv.Entries {
				r.kill(e.ID)
			}
			r.platform.SetFault(standin.Fault{Down: true})
			for _, e := range r.inv.Entries {
				r.start(e.ID)
			}
			time.Sleep(5 * time.Second)
			for _, n := range r.nodes {
				convey.So(n.state(), convey.ShouldEqual, StateStarting)
			}
			r.platform.SetFault(standin.Fault{})
			time.Sleep(time.Second)
			for _, n := range r.nodes {
				convey.So(n.state(), convey.ShouldEqual, StateServing)
			}
		})
	})
}

// TestNodesStartWhileTheStoreIsAway replaces all processes one after the other during
// an outage of the store. Each learns from those that run.
func TestNodesStartWhileTheStoreIsAway(t *testing.T) {
	faults := map[string]standin.Fault{
		"refuses":  {Down: true},
		"resets":   {Reset: true},
		"is mute":  {Silent: true},
		"is busy":  {Busy: true},
		"is tardy": {Delay: 3 * time.Second},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(r *rig) {
				convey.Convey("All are served, by what was in force", t, func() {
					convey.So(r.desk().Drain(r.t.Context(), "b"), convey.ShouldBeNil)
					time.Sleep(2 * time.Second)
					version := r.nodes["n1"].version()
					r.platform.SetFault(fault)
					time.Sleep(2 * time.Second)
					for _, e := range r.inv.Entries {
						r.kill(e.ID)
						time.Sleep(300 * time.Millisecond)
						n := r.start(e.ID)
						time.Sleep(startTime)
						convey.So(n.state(), convey.ShouldEqual, StateServing)
						convey.So(n.version(), convey.ShouldEqual, version)
					}
					before := r.served("b")
					for i := range 40 {
						p := r.send(r.t.Context(), r.inv.Entries[i%4].ID, ask{object: fmt.Sprint(i)})
						convey.So(p.status, convey.ShouldEqual, http.StatusOK)
					}
					convey.So(r.served("b"), convey.ShouldEqual, before)
					r.platform.SetFault(standin.Fault{})
					time.Sleep(5 * time.Second)
					convey.So(r.publish(rigText()).Version, convey.ShouldBeGreaterThan, version)
					time.Sleep(2 * time.Second)
					for _, n := range r.nodes {
						convey.So(n.version(), convey.ShouldBeGreaterThan, version)
						convey.So(n.isReached(), convey.ShouldBeTrue)
					}
				})
			})
		})
	}
}
