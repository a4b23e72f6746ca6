package node

import (
	"context"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/member"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

// small is the inventory of the process tests: one region, three entry VMs.
func small(t *testing.T) []byte {
	t.Helper()
	text, err := os.ReadFile("../cmd/wasabiwheel/testdata/small.toml")
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// press has callers at each entry VM ask for more than all slots can serve,
// until the returned function is called, which waits for them.
func (r *rig) press(path string) (stop func()) {
	ctx, cancel := context.WithCancel(r.t.Context())
	var callers sync.WaitGroup
	for _, e := range r.inv.Entries {
		for range 8 {
			callers.Go(func() {
				for ctx.Err() == nil {
					r.send(ctx, e.ID, http.MethodGet, path, "", "")
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	return func() {
		cancel()
		callers.Wait()
	}
}

// ownerOf returns the node that holds an endpoint.
func (r *rig) ownerOf(id inventory.EndpointID) inventory.EntryID {
	for entry, n := range r.nodes {
		for _, held := range n.endpoints.Holds() {
			if held == id {
				return entry
			}
		}
	}
	r.t.Fatalf("nobody holds %s", id)
	return ""
}

// isolate cuts an entry VM off from the others, its sending or its receiving.
func (r *rig) isolate(id inventory.EntryID, sends, receives bool) {
	own, _ := r.inv.Entry(id)
	for _, e := range r.inv.Entries {
		there, back := standin.Path{From: hostOf(own.Peer), To: hostOf(e.Peer)}, standin.Path{From: hostOf(e.Peer), To: hostOf(own.Peer)}
		if e.ID == id {
			continue
		}
		if sends {
			r.network.Cut(there)
		} else {
			r.network.Heal(there)
		}
		if receives {
			r.network.Cut(back)
		} else {
			r.network.Heal(back)
		}
	}
}

// TestEndpointsAreNeverOverrunByTheirOwners runs under load that fills all
// slots, at targets that go on with a request when its sender is gone.
func TestEndpointsAreNeverOverrunByTheirOwners(t *testing.T) {
	const fault = 10 * time.Second
	for name, strike := range map[string]func(r *rig, owner inventory.EntryID){
		"the owner dies":         func(r *rig, owner inventory.EntryID) { r.kill(owner) },
		"the owner is restarted": func(r *rig, owner inventory.EntryID) { r.kill(owner); r.start(owner) },
		"the owner is restarted after a while": func(r *rig, owner inventory.EntryID) {
			r.kill(owner)
			time.Sleep(4 * member.Interval)
			r.start(owner)
		},
		"the owner cannot send": func(r *rig, owner inventory.EntryID) {
			r.isolate(owner, true, false)
			time.Sleep(fault)
			r.isolate(owner, false, false)
		},
		"the owner cannot receive": func(r *rig, owner inventory.EntryID) {
			r.isolate(owner, false, true)
			time.Sleep(fault)
			r.isolate(owner, false, false)
		},
		"the owner is cut off": func(r *rig, owner inventory.EntryID) {
			r.isolate(owner, true, true)
			time.Sleep(fault)
			r.isolate(owner, false, false)
		},
		"the owner is cut off, and the next one dies": func(r *rig, owner inventory.EntryID) {
			r.isolate(owner, true, true)
			for id := range r.nodes {
				if id != owner {
					r.kill(id)
					break
				}
			}
			time.Sleep(fault)
			r.isolate(owner, false, false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, small(t), func(r *rig) {
				convey.Convey("No endpoint has more requests than slots, and all have an owner again", r.t, func() {
					for _, target := range r.targets {
						target.SetBehaviour(standin.Behaviour{Work: 150 * time.Millisecond, Deaf: true})
					}
					stop := r.press("/serve/catalogue/x")
					time.Sleep(2 * time.Second)
					strike(r, r.ownerOf("catalogue-1"))
					r.settle()
					stop()
					for _, e := range r.inv.EndpointsOf("catalogue") {
						convey.So(r.targets[e.ID].Ledger().Peak, convey.ShouldEqual, e.Slots)
					}
				})
			})
		})
	}
}
