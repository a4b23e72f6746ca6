package main

// Endpoints that send bytes that are no answer, to one node process whose settings allow it little
// memory.

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"sync"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/standin"
)

// TestEndpointsThatSendHeadsWithoutEnd guards against a node that runs out of memory, with the requests
// of all its callers, since the endpoints of one service answer with heads of very many fields and
// never complete an answer.
func TestEndpointsThatSendHeadsWithoutEnd(t *testing.T) {
	const requests, fields = 400, 10_000
	file := localInventory(t, "", "")
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for _, slots := range []string{"slots = 3\n", "slots = 4\n"} { // so that requests do not wait at the node
		text = bytes.ReplaceAll(text, []byte(slots), []byte("slots = 100\n"))
	}
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	p, inv, e := startLimitedNode(t, file)
	for _, endpoint := range inv.Endpoints {
		if endpoint.Service == "catalogue" {
			setBehaviour(t, endpoint, standin.Behaviour{Fields: fields})
		}
	}
	convey.Convey("The node stays within its machine and serves the callers of another service", t, func() {
		ctx, cancel := context.WithTimeout(t.Context(), 2*crowdTime)
		defer cancel()
		client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		var callers sync.WaitGroup
		for range requests {
			callers.Go(func() {
				for ctx.Err() == nil {
					req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Caller+"/serve/catalogue/1", nil)
					if err != nil {
						return
					}
					if resp, err := client.Do(req); err == nil {
						_ = resp.Body.Close()
					}
				}
			})
		}
		seen := p.watch(ctx)
		callers.Wait()
		convey.Printf("memory %d MB, descriptors %d\n", seen.memory>>20, seen.descriptors)
		eventually(t, "a request of another service is answered", func() bool {
			return isServed(t.Context(), "http://"+e.Caller+"/serve/reservations/1")
		})
		convey.So(p.Incarnation(), convey.ShouldEqual, 1)
		convey.So(p.Resident(), convey.ShouldBeGreaterThan, 0)
		convey.So(seen.memory>>20, convey.ShouldBeLessThan, crowdMemory)
	})
}
