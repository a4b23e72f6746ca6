package node

// Configurations reach all live nodes and stay, whatever the store does.

import (
	"bytes"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/configuration"
	"github.com/wasabiwheel/wasabiwheel/examples"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/platform"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

const inForce = 2 * time.Second // from the acceptance, on all live nodes

// lumbreWith is the Lumbre example with a note.
func lumbreWith(note string) []byte {
	return append([]byte("# "+note+"\n"), examples.Lumbre...)
}

// watchVersions notes the lowest version of each node from now on, and fails
// when one goes down.
func (r *rig) watchVersions(done chan struct{}) {
	before := map[*rigNode]inventory.Version{}
	for {
		for _, n := range r.started {
			now := n.config.Version()
			if now < before[n] {
				r.t.Errorf("%s: version %d after %d", n.settings.ID, now, before[n])
			}
			before[n] = now
		}
		select {
		case <-done:
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// laggards returns the nodes below a version.
func (r *rig) laggards(v inventory.Version) []string {
	var behind []string
	for id, n := range r.nodes {
		if now := n.config.Version(); now < v {
			behind = append(behind, fmt.Sprintf("%s at %d", id, now))
		}
	}
	return behind
}

// storePaths are the two ways between a node and the store.
func (r *rig) storePaths(id inventory.EntryID) []standin.Path {
	e, _ := r.inv.Entry(id)
	host := hostOf(e.Peer)
	return []standin.Path{{From: host, To: rigPlatformIP}, {From: rigPlatformIP, To: host}}
}

// cutStore cuts a node from the store.
func (r *rig) cutStore(id inventory.EntryID) {
	for _, p := range r.storePaths(id) {
		r.network.Cut(p)
	}
}

// healStore lets connections that are held up end.
func (r *rig) healStore() {
	for _, e := range r.inv.Entries {
		for _, p := range r.storePaths(e.ID) {
			r.network.Heal(p)
		}
	}
}

func TestConfigurationIsInForceWithinTwoSeconds(t *testing.T) {
	lossy := func(standin.Path) standin.Quality {
		return standin.Quality{Delay: rigDelay, Jitter: 20 * time.Millisecond, Loss: 0.2, Resend: 200 * time.Millisecond}
	}
	cases := map[string]struct {
		quality func(standin.Path) standin.Quality
		before  func(r *rig)
	}{
		"quiet":               {nil, func(*rig) {}},
		"cut from the store":  {nil, func(r *rig) { r.cutStore("lumbre-3") }},
		"lossy network":       {lossy, func(*rig) {}},
		"lossy and cut":       {lossy, func(r *rig) { r.cutStore("lumbre-7") }},
		"slow store":          {nil, func(r *rig) { r.platform.SetFault(standin.Fault{Delay: 300 * time.Millisecond}) }},
		"after an outage":     {nil, func(r *rig) { r.outage(90 * time.Second) }},
		"answers of the head": {nil, func(r *rig) { r.platform.SetFault(standin.Fault{LoseAnswer: 8}) }},
		"a dead node":         {nil, func(r *rig) { r.kill("lumbre-2") }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				quality := c.quality
				if quality == nil {
					quality = func(standin.Path) standin.Quality { return standin.Quality{Delay: rigDelay} }
				}
				r := newRigOn(t, examples.Lumbre, standin.NewNetwork(1, quality))
				defer r.close()
				r.startAll()
				r.settle()
				done := make(chan struct{})
				go r.watchVersions(done)
				convey.Convey("All live nodes have each version in time", t, func() {
					c.before(r)
					for i := range 5 {
						a := r.publish(lumbreWith(fmt.Sprint(i)))
						time.Sleep(inForce)
						convey.So(r.laggards(a.Version), convey.ShouldBeEmpty)
					}
				})
				close(done)
				r.healStore()
				r.checkInvariants()
			})
		})
	}
}

// outage takes the store down for a while.
func (r *rig) outage(d time.Duration) {
	r.platform.SetFault(standin.Fault{Down: true})
	time.Sleep(d)
	r.platform.SetFault(standin.Fault{})
}

func TestOlderStoreIsRefusedAndReported(t *testing.T) {
	bubble(t, examples.Lumbre, func(r *rig) {
		done := make(chan struct{})
		go r.watchVersions(done)
		defer close(done)
		convey.Convey("A store that comes back older changes no node", r.t, func() {
			backup := r.platform.Snapshot()
			r.publish(lumbreWith("two"))
			time.Sleep(inForce)
			r.platform.Restore(backup)
			time.Sleep(30 * time.Second)
			convey.So(r.laggards(2), convey.ShouldBeEmpty)
			for _, n := range r.nodes {
				s := n.Status()
				convey.So(s.Store, convey.ShouldEqual, 1)
				convey.So(s.Counters["configuration.older"], convey.ShouldBeGreaterThan, 0)
			}

			// A change that asks no node is refused, also under the number in
			// force.
			r.publish(lumbreWith("another two"))
			time.Sleep(inForce)
			for _, n := range r.nodes {
				convey.So(n.Status().Counters["configuration.forked"], convey.ShouldBeGreaterThan, 0)
				content, err := n.config.Bundle().Open()
				convey.So(err, convey.ShouldBeNil)
				convey.So(bytes.HasPrefix(content.Text, []byte("# two\n")), convey.ShouldBeTrue)
			}

			// One that asks a node is in force everywhere.
			a := r.publishKnowing(r.nodes["lumbre-1"], lumbreWith("three"))
			convey.So(a.Version, convey.ShouldEqual, 3)
			time.Sleep(inForce)
			convey.So(r.laggards(3), convey.ShouldBeEmpty)
		})
	})
}

func TestBadVersionInTheStoreIsRefusedAndRepaired(t *testing.T) {
	bubble(t, examples.Lumbre, func(r *rig) {
		convey.Convey("Nodes keep what they have, and the next change is in force", r.t, func() {
			head, match, err := configuration.Read(r.t.Context(), r.store())
			convey.So(err, convey.ShouldBeNil)
			bad := []byte(`{"shards":null}`)
			head.Version++
			head.Nonce = "bad"
			head.Index = configuration.HashOf(bad)
			value, err := head.Encode()
			convey.So(err, convey.ShouldBeNil)
			_, err = r.store().Put(r.t.Context(), "shard."+string(head.Index), bad, platform.Absent)
			convey.So(err, convey.ShouldBeNil)
			_, err = r.store().Put(r.t.Context(), configuration.HeadName, value, match)
			convey.So(err, convey.ShouldBeNil)
			time.Sleep(10 * time.Second)
			for _, n := range r.nodes {
				convey.So(n.config.Version(), convey.ShouldEqual, 1)
				convey.So(n.Status().Counters["configuration.refused"], convey.ShouldBeBetweenOrEqual, 1, 2)
			}
			a := r.publishKnowing(r.nodes["lumbre-1"], lumbreWith("three"))
			convey.So(a.Version, convey.ShouldEqual, 3)
			time.Sleep(inForce)
			convey.So(r.laggards(3), convey.ShouldBeEmpty)
		})
	})
}

// publishKnowing publishes as an operator who asks a node first.
func (r *rig) publishKnowing(n *rigNode, text []byte) configuration.Accepted {
	present, err := configuration.ReadPresent(r.t.Context(), r.store(), n.config.Bundle())
	if err != nil {
		r.t.Fatal(err)
	}
	plan, err := present.Plan(time.Now(), configuration.Change{Text: text, Author: "rig"})
	if err != nil {
		r.t.Fatal(err)
	}
	a, err := plan.Publish(r.t.Context(), r.store())
	if err != nil {
		r.t.Fatal(err)
	}
	return a
}

func TestNewNodeStartsFromItsPeers(t *testing.T) {
	bubble(t, examples.Lumbre, func(r *rig) {
		backup := r.platform.Snapshot()
		r.publish(lumbreWith("two"))
		time.Sleep(inForce)
		r.kill("lumbre-9")
		peers := []string{"127.20.1.99:7001", r.nodes["lumbre-1"].settings.Peer, r.nodes["lumbre-4"].settings.Peer}
		convey.Convey("With the store down a new node", r.t, func() {
			r.platform.SetFault(standin.Fault{Down: true})
			convey.Convey("takes its peers' highest version", func() {
				r.bootstrap = peers
				n := r.start("lumbre-9")
				time.Sleep(3 * time.Second)
				convey.So(n.config.Version(), convey.ShouldEqual, 2)
				convey.So(n.state(), convey.ShouldEqual, StateServing)
				r.kill("lumbre-9")
			})
			convey.Convey("without a peer says why it waits", func() {
				r.bootstrap = peers[:1]
				n := r.start("lumbre-9")
				time.Sleep(3 * time.Second)
				convey.So(n.Status().Waiting, convey.ShouldEqual, WaitingStore)
				convey.So(n.state(), convey.ShouldEqual, StateStarting)
				r.platform.SetFault(standin.Fault{})
				time.Sleep(3 * time.Second)
				convey.So(n.config.Version(), convey.ShouldEqual, 2)
				convey.So(n.Status().Waiting, convey.ShouldEqual, Waiting(""))
				r.kill("lumbre-9")
			})
		})
		convey.Convey("With an older store a new node never has the older version", r.t, func() {
			r.platform.SetFault(standin.Fault{})
			r.platform.Restore(backup)
			r.bootstrap = peers
			n := r.start("lumbre-9")
			for n.config.Version() == 0 {
				time.Sleep(time.Millisecond)
			}
			convey.So(n.config.Version(), convey.ShouldEqual, 2)
		})
	})
}

// TestCostAtThePlatform prints what nodes and one change cost the platform; the
// figures are in docs/CAPACITY.md.
func TestCostAtThePlatform(t *testing.T) {
	for name, text := range map[string][]byte{"lumbre": examples.Lumbre, "association": examples.Association} {
		t.Run(name, func(t *testing.T) {
			bubble(t, text, func(r *rig) {
				nodes := float64(len(r.nodes))
				before := r.platform.Counts()
				time.Sleep(10 * time.Minute)
				idle := r.platform.Counts()
				t.Logf("idle: %.3f reads, %.3f writes a node and second, %.0f bytes read a node and second, %d watches waiting",
					float64(idle.Reads-before.Reads)/nodes/600, float64(idle.Writes-before.Writes)/nodes/600, float64(idle.Read-before.Read)/nodes/600, idle.Watches)
				r.publish(append([]byte("# change\n"), text...))
				time.Sleep(inForce)
				after := r.platform.Counts()
				t.Logf("one change: %d writes, %d reads (%.1f a node), %d bytes written, %.0f bytes read a node",
					after.Writes-idle.Writes, after.Reads-idle.Reads, float64(after.Reads-idle.Reads)/nodes, after.Written-idle.Written, float64(after.Read-idle.Read)/nodes)
				if len(r.laggards(2)) > 0 {
					t.Error(r.laggards(2))
				}
			})
		})
	}
}
