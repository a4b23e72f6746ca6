package node

import (
	"bytes"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/examples"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/lookup"
	"github.com/wasabiwheel/wasabiwheel/platform"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

// leaveLimit is the time after which a leaving target gets no new work.
const leaveLimit = 2 * time.Second

// listVMs makes the platform list all VMs, with the given states in place of
// live; the empty state takes a VM off the list.
func (r *rig) listVMs(states map[string]platform.State) {
	var vms []platform.VM
	add := func(id, address string) {
		state, ok := states[hostOf(address)]
		if !ok {
			state = platform.StateLive
		}
		if state != "" {
			vms = append(vms, platform.VM{ID: id, Address: hostOf(address), State: state})
		}
	}
	for _, e := range r.inv.Endpoints {
		add(string(e.ID), e.Address)
	}
	for _, e := range r.inv.Entries {
		add(string(e.ID), e.Peer)
	}
	r.platform.SetVMs(vms)
}

// servedAfter counts what a target is sent in a span under load that begins
// after the given time.
func (r *rig) servedAfter(id inventory.EndpointID, after, span time.Duration) int {
	time.Sleep(after)
	before := r.targets[id].Ledger().Served
	time.Sleep(span)
	return r.targets[id].Ledger().Served - before
}

func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	const target = "catalogue-1"
	for name, leave := range map[string]func(r *rig){
		"listed as leaving":    func(r *rig) { r.listVMs(map[string]platform.State{hostOf(r.address(target)): platform.StateLeaving}) },
		"no longer listed":     func(r *rig) { r.listVMs(map[string]platform.State{hostOf(r.address(target)): ""}) },
		"drained in inventory": func(r *rig) { r.publish(append(examples.Lumbre, "\n[[drain]]\nendpoint = \""+target+"\"\n"...)) },
		"its own signal":       func(r *rig) { r.targets[target].SetBehaviour(standin.Behaviour{Work: time.Second, Leaving: true}) },
		"signal, store is down": func(r *rig) {
			r.platform.SetFault(standin.Fault{Down: true})
			r.targets[target].SetBehaviour(standin.Behaviour{Work: time.Second, Leaving: true})
		},
		"listed, then the store is down": func(r *rig) {
			r.listVMs(map[string]platform.State{hostOf(r.address(target)): platform.StateLeaving})
			time.Sleep(leaveLimit)
			r.platform.SetFault(standin.Fault{Down: true})
		},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, examples.Lumbre, func(r *rig) {
				convey.Convey("A target under load gets none and finishes what it has", r.t, func() {
					r.listVMs(nil)
					r.slow(time.Second)
					d := r.startDesks(20 * time.Millisecond)
					time.Sleep(5 * time.Second)
					convey.So(r.targets[target].Ledger().Served, convey.ShouldBeGreaterThan, 0)
					leave(r)
					convey.So(r.servedAfter(target, leaveLimit, 10*time.Second), convey.ShouldEqual, 0)
					convey.So(d.finish(), convey.ShouldResemble, faults{})
				})
			})
		})
	}
}

func (r *rig) address(id inventory.EndpointID) string {
	for _, e := range r.inv.Endpoints {
		if e.ID == id {
			return e.Address
		}
	}
	return ""
}

func TestVMListIsReadWithinTheBudget(t *testing.T) {
	bubble(t, examples.Lumbre, func(r *rig) {
		convey.Convey("All nodes together read two rows a second for each node", r.t, func() {
			before := r.platform.Counts().Reads
			time.Sleep(100 * time.Second)
			reads := r.platform.Counts().Reads - before
			r.t.Logf("%d reads in 100 s by %d nodes", reads, len(r.inv.Entries))
			convey.So(reads, convey.ShouldBeLessThan, 100*3*len(r.inv.Entries))
		})
	})
}

// reach cuts an entry VM off from all others, or undoes that.
func (r *rig) reach(id inventory.EntryID, cut bool) {
	set := r.network.Heal
	if cut {
		set = r.network.Cut
	}
	entry, _ := r.inv.Entry(id)
	ip := hostOf(entry.Peer)
	others := []string{rigPlatformIP, rigCallerIP}
	for _, e := range r.inv.Entries {
		others = append(others, hostOf(e.Peer))
	}
	for _, e := range r.inv.Endpoints {
		others = append(others, hostOf(e.Address))
	}
	for _, o := range others {
		set(standin.Path{From: ip, To: o})
		set(standin.Path{From: o, To: ip})
	}
}

func TestSilentEntryVMIsDeadOnlyWhenAbsentForLong(t *testing.T) {
	for name, removed := range map[string]bool{"it stays declared": false, "it is taken out of the inventory": true} {
		t.Run(name, func(t *testing.T) {
			bubble(t, examples.Lumbre, func(r *rig) {
				convey.Convey("Its endpoints are taken over after the lag, not before", r.t, func() {
					want := r.slots()
					r.listVMs(nil)
					time.Sleep(5 * time.Second)
					const gone = "lumbre-1"
					r.reach(gone, true)
					n := r.nodes[gone]
					delete(r.nodes, gone)
					defer func() {
						n.mayFail = true
						n.stop()
						n.Abort()
						<-n.done
						r.reach(gone, false)
					}()
					time.Sleep(60 * time.Second)
					convey.So(r.slots(), convey.ShouldBeLessThan, want) // silent, and listed
					if removed {
						r.publish(without(examples.Lumbre, gone))
						time.Sleep(20 * time.Second)
						convey.So(r.slots(), convey.ShouldBeLessThan, want)
					}
					r.listVMs(map[string]platform.State{hostOf(n.settings.Peer): ""})
					time.Sleep(29 * time.Second)
					convey.So(r.slots(), convey.ShouldBeLessThan, want)
					time.Sleep(10 * time.Second)
					convey.So(r.slots(), convey.ShouldEqual, want)
				})
			})
		})
	}
}

// without takes the table of an entry VM out of an inventory's text.
func without(text []byte, id string) []byte {
	before, rest, _ := bytes.Cut(text, []byte("[[entry]]\nid = \""+id+"\""))
	_, after, _ := bytes.Cut(rest, []byte("\n\n"))
	return slices.Concat(before, after)
}

func TestEntryVMListedAsLeavingLeavesTheLookUps(t *testing.T) {
	bubble(t, examples.Lumbre, func(r *rig) {
		convey.Convey("Within 3 s no node names it, and it still serves", r.t, func() {
			const leaving = "lumbre-1"
			r.listVMs(map[string]platform.State{hostOf(r.nodes[leaving].settings.Peer): platform.StateLeaving})
			time.Sleep(3 * time.Second)
			for id := range r.nodes {
				convey.So(r.names(id, leaving), convey.ShouldBeFalse)
			}
			got := r.send(r.t.Context(), leaving, http.MethodGet, "/serve/catalogue/lamps/7", "", "")
			convey.So(got.outcome, convey.ShouldEqual, OutcomeRan)
		})
	})
}

// names reports whether a node's look-ups name an entry VM for some block.
func (r *rig) names(ask, entry inventory.EntryID) bool {
	for _, b := range r.inv.Blocks {
		for _, e := range r.nodes[ask].lookup(r.inv, lookup.Question{Block: b.ID, Region: b.Region}).Entries {
			if e.ID == entry {
				return true
			}
		}
	}
	return false
}
