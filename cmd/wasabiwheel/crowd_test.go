package main

// Callers outside anyone's control, as separate connections to one node process whose settings allow it
// little memory and few descriptors.

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/node"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

// The crowd and what the node may use. A crowd has more connections than the node has descriptors, and
// sends more than it has memory.
const (
	crowdSize        = 1500
	crowdMemory      = 96   // MB
	crowdDescriptors = 1200 // 200 of them for files
	crowdTime        = 2500 * time.Millisecond
	crowdAnswer      = 1_000_000 // bytes of a response
)

// peaks are the largest values seen of a process.
type peaks struct{ memory, descriptors int }

// watch samples a process until ctx ends.
func (p *process) watch(ctx context.Context) (seen peaks) {
	for ctx.Err() == nil {
		seen.memory = max(seen.memory, p.Resident())
		open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Pid()))
		if err == nil {
			seen.descriptors = max(seen.descriptors, len(open))
		}
		time.Sleep(10 * time.Millisecond)
	}
	return seen
}

// startCrowdNode starts one node with little memory and few descriptors, and endpoints that respond at
// once.
func startCrowdNode(t *testing.T) (*process, *inventory.Inventory, inventory.Entry) {
	return startLimitedNode(t, localInventory(t, `idle = "10s"`, "idle = \"10s\"\nheader = 16384\nbody = 67108864\nreceive = \"3s\""))
}

// startLimitedNode is startCrowdNode with another inventory.
func startLimitedNode(t *testing.T, file string) (*process, *inventory.Inventory, inventory.Entry) {
	inv, err := inventory.Read(file)
	if err != nil {
		t.Fatal(err)
	}
	startProcess(t, "standin", "--serve", storeAddress, "--inventory", file, "--work", "1ms")
	eventually(t, "the store accepts the inventory", func() bool {
		return runCommand("apply", "--platform", storeAddress, "--inventory", file).code == 0
	})
	for _, e := range inv.Endpoints {
		setBehaviour(t, e, standin.Behaviour{Work: time.Millisecond, Answer: crowdAnswer})
	}
	e := inv.Entries[0]
	s := node.SettingsOf(inv, e, storeAddress)
	s.VM.Memory, s.VM.Descriptors = crowdMemory, crowdDescriptors
	settings := t.TempDir() + "/node.toml"
	if err := s.Write(settings); err != nil {
		t.Fatal(err)
	}
	p := startProcess(t, "node", "--settings", settings)
	eventually(t, "the node serves", func() bool {
		st, err := node.FetchStatus(e.Admin, queryTimeout)
		return err == nil && st.Serves(len(inv.Endpoints))
	})
	return p, inv, e
}

// setBehaviour sets how an endpoint responds.
func setBehaviour(t *testing.T, e inventory.Endpoint, b standin.Behaviour) {
	t.Helper()
	text, err := json.Marshal(b)
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "the endpoint takes its behaviour", func() bool {
		resp, err := http.Post("http://"+e.Address+"/behaviour", "application/json", bytes.NewReader(text))
		return err == nil && resp.Body.Close() == nil && resp.StatusCode < 300
	})
}

// TestCrowds guards against callers that make a node end, use more than the memory and the descriptors
// of its machine, or serve nobody else.
func TestCrowds(t *testing.T) {
	for name, do := range misbehaviours {
		for place, path := range map[string]string{"route": "/serve/catalogue/1", "none": "/nothing", "ready": "/ready", "lookup": "/lookup?region=centro&domain=centro-a"} {
			t.Run(name+"/"+place, func(t *testing.T) {
				p, _, e := startCrowdNode(t)
				address := e.Caller
				if place == "ready" || place == "lookup" {
					address = e.Lookup
				}
				convey.Convey("The node stays within its machine and serves an ordinary caller", t, func() {
					ctx, cancel := context.WithTimeout(t.Context(), crowdTime)
					defer cancel()
					go crowd{address: address, path: path, size: crowdSize, do: do}.run(ctx)
					seen := p.watch(ctx)
					convey.Printf("memory %d MB, descriptors %d\n", seen.memory>>20, seen.descriptors)
					eventually(t, "an ordinary request is answered", func() bool {
						return isServed(t.Context(), "http://"+address+strings.Replace(path, "/nothing", "/serve/catalogue/1", 1))
					})
					convey.So(p.Incarnation(), convey.ShouldEqual, 1)
					convey.So(p.Resident(), convey.ShouldBeGreaterThan, 0)
					convey.So(seen.memory>>20, convey.ShouldBeLessThan, crowdMemory)
					convey.So(seen.descriptors, convey.ShouldBeLessThan, crowdDescriptors)
				})
			})
		}
	}
}

// TestCrowdAfterSmallResponses guards against a node that exceeds its memory since it expects small responses of a
// route, and a crowd that hardly reads then gets large ones faster than they are counted.
func TestCrowdAfterSmallResponses(t *testing.T) {
	const (
		rounds    = 8
		small     = 40 // responses before the crowd
		shortTime = 800 * time.Millisecond
	)
	for i := range rounds {
		t.Run(fmt.Sprint("round ", i), func(t *testing.T) {
			p, inv, e := startCrowdNode(t)
			respond := func(size int) {
				for _, endpoint := range inv.Endpoints {
					setBehaviour(t, endpoint, standin.Behaviour{Work: time.Millisecond, Answer: size})
				}
			}
			convey.Convey("The node stays within its machine and serves an ordinary caller", t, func() {
				url := "http://" + e.Caller + "/serve/catalogue/1"
				convey.So(isServed(t.Context(), url), convey.ShouldBeTrue)
				respond(10)
				for range small {
					convey.So(isServed(t.Context(), url), convey.ShouldBeTrue)
				}
				respond(crowdAnswer)
				ctx, cancel := context.WithTimeout(t.Context(), shortTime)
				defer cancel()
				go crowd{address: e.Caller, path: "/serve/catalogue/1", size: crowdSize, do: misbehaviours["slowread"]}.run(ctx)
				seen := p.watch(ctx)
				convey.Printf("memory %d MB\n", seen.memory>>20)
				eventually(t, "an ordinary request is answered", func() bool { return isServed(t.Context(), url) })
				convey.So(p.Incarnation(), convey.ShouldEqual, 1)
				convey.So(seen.memory>>20, convey.ShouldBeLessThan, crowdMemory)
			})
		})
	}
}

// isServed reports whether a request gets status 200 and a complete response on a new connection.
func isServed(ctx context.Context, url string) bool {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// TestLargestLegalRequests guards against limits that an ordinary caller meets while nobody misbehaves.
func TestLargestLegalRequests(t *testing.T) {
	cases := map[string][]byte{
		"a head of short fields":                      head("GET", "/serve/catalogue/1", "Connection: close\r\n"+shortFields(crowdHeader)),
		"an upload of 360 KB":                         withBody("/serve/reservations/1", 360_000, 360_000),
		"a body of 8 MiB, which the endpoint returns": withBody("/serve/reservations/1", 8<<20, 8<<20),
	}
	_, _, e := startCrowdNode(t)
	for name, text := range cases {
		convey.Convey("It is served: "+name, t, func() {
			c, err := net.Dial("tcp", e.Caller)
			convey.So(err, convey.ShouldBeNil)
			defer func() { _ = c.Close() }()
			go func() { _, _ = c.Write(text) }() // fails if the response comes before it is complete
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			convey.So(err, convey.ShouldBeNil)
			_, err = io.Copy(io.Discard, resp.Body)
			convey.So(err, convey.ShouldBeNil)
			convey.So(resp.StatusCode, convey.ShouldEqual, http.StatusOK)
		})
	}
}
