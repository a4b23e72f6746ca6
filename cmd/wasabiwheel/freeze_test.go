package main

import (
	"net/http"
	"os/exec"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

// pressure is load from callers that ask again as soon as they are answered.
type pressure struct {
	served atomic.Int64
	over   atomic.Bool
	wait   sync.WaitGroup
}

func (p *pressure) add(e inventory.Entry, callers int) {
	client := &http.Client{Timeout: time.Second}
	for range callers {
		p.wait.Go(func() {
			for !p.over.Load() {
				resp, err := client.Get("http://" + e.Caller + "/serve/catalogue/x")
				if err != nil {
					continue
				}
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					p.served.Add(1)
				}
			}
		})
	}
}

// awaitMore waits until so many further requests were served.
func (p *pressure) awaitMore(t *testing.T, count int64) {
	t.Helper()
	until := p.served.Load() + count
	eventually(t, "requests are served", func() bool { return p.served.Load() >= until })
}

func TestFrozenOwnerThatWakesOverrunsNoEndpoint(t *testing.T) {
	inv, nodes := startSystem(t, "testdata/small.toml")
	convey.Convey("The owner of an endpoint is frozen under load until the others miss it, and wakes", t, func() {
		owner := slices.IndexFunc(inv.Entries, func(e inventory.Entry) bool {
			return slices.Contains(statusOf(t, e).Holds, "catalogue-1")
		})
		convey.So(owner, convey.ShouldBeGreaterThanOrEqualTo, 0)
		other := inv.Entries[(owner+1)%len(inv.Entries)]
		var p pressure
		for _, e := range inv.Entries {
			p.add(e, 8)
		}
		p.awaitMore(t, 100)
		freeze(t, nodes[owner], func() {
			eventually(t, "the others miss it", func() bool {
				return !slices.Contains(statusOf(t, other).Members, inv.Entries[owner].ID)
			})
			p.awaitMore(t, 100)
		})
		eventually(t, "the others hear of it", func() bool {
			return slices.Contains(statusOf(t, other).Members, inv.Entries[owner].ID)
		})
		p.awaitMore(t, 300)
		p.over.Store(true)
		p.wait.Wait()
		for _, e := range inv.EndpointsOf("catalogue") {
			var l standin.Ledger
			convey.So(getJSON("http://"+e.Address+"/ledger", &l), convey.ShouldBeNil)
			convey.So(l.Peak, convey.ShouldBeLessThanOrEqualTo, e.Slots)
			convey.So(l.Served, convey.ShouldBeGreaterThan, 0)
		}
	})
}

func freeze(t *testing.T, cmd *exec.Cmd, meanwhile func()) {
	t.Helper()
	if err := cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = cmd.Process.Signal(syscall.SIGCONT) }()
	meanwhile()
}
