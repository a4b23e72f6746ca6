package main

// The whole path as separate processes: a platform, targets, three nodes, and a
// caller that asks any node and then uses the one it is told.

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/lookup"
	"github.com/wasabiwheel/wasabiwheel/node"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

// processWait bounds the wait for something that separate processes do.
const processWait = 30 * time.Second

// binary is the program under test, built once.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "wasabiwheel")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "wasabiwheel")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// start runs the program until the test ends.
func start(t *testing.T, args ...string) *exec.Cmd {
	t.Helper()
	cmd := exec.Command(binary, args...)
	if testing.Verbose() {
		cmd.Stderr = os.Stderr
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_, _ = cmd.Process.Wait()
	})
	return cmd
}

// eventually polls until ok holds.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), processWait)
	defer cancel()
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for !ok() {
		select {
		case <-ctx.Done():
			t.Fatalf("never happened: %s", what)
		case <-ticker.C:
		}
	}
}

// subnet begins all addresses of this run, so that several runs can go on at
// the same time on one machine.
var subnet = fmt.Sprintf("127.%d.", 30+os.Getpid()%200)

var processPlatform = subnet + "0.1:9000"

// localInventory copies an inventory of testdata to the addresses of this run.
func localInventory(t *testing.T, file string) string {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	local := filepath.Join(t.TempDir(), filepath.Base(file))
	if err := os.WriteFile(local, bytes.ReplaceAll(text, []byte("127.30."), []byte(subnet)), 0o600); err != nil {
		t.Fatal(err)
	}
	return local
}

// writeSettings writes the settings of each entry VM and returns the files.
func writeSettings(t *testing.T, inv *inventory.Inventory) []string {
	t.Helper()
	var files []string
	for _, e := range inv.Entries {
		file := filepath.Join(t.TempDir(), string(e.ID)+".toml")
		text := fmt.Sprintf("id = %q\ndomain = %q\ncaller = %q\npeer = %q\nadmin = %q\nplatform = %q\n",
			e.ID, e.Domain, e.Caller, e.Peer, e.Admin, "http://"+processPlatform)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		files = append(files, file)
	}
	return files
}

// startSystem starts everything and waits until all slots have an owner.
func startSystem(t *testing.T, file string) (*inventory.Inventory, []*exec.Cmd) {
	t.Helper()
	return startSystemFrom(t, localInventory(t, file))
}

// startSystemFrom does so from an inventory on the addresses of this run.
func startSystemFrom(t *testing.T, file string) (*inventory.Inventory, []*exec.Cmd) {
	t.Helper()
	inv, err := inventory.Read(file)
	if err != nil {
		t.Fatal(err)
	}
	start(t, "standin", "--platform", processPlatform, "--inventory", file)
	eventually(t, "the platform accepts the inventory", func() bool {
		return exec.Command(binary, "apply", "--platform", "http://"+processPlatform, "--inventory", file).Run() == nil
	})
	var nodes []*exec.Cmd
	for _, s := range writeSettings(t, inv) {
		nodes = append(nodes, start(t, "node", "--settings", s))
	}
	eventually(t, "all slots have an owner", func() bool { return allOwned(inv, len(inv.Entries)) })
	return inv, nodes
}

func allSlots(inv *inventory.Inventory) int {
	sum := 0
	for _, e := range inv.Endpoints {
		sum += e.Slots
	}
	return sum
}

// ownedSlots is the number of slots with an owner that each of the nodes that
// answer knows of, and how many answer.
func ownedSlots(inv *inventory.Inventory) (slots, nodes int) {
	slots = allSlots(inv)
	for _, e := range inv.Entries {
		var s node.Status
		if getJSON("http://"+e.Admin+node.PathStatus, &s) != nil {
			continue
		}
		nodes++
		slots = min(slots, reachOf(s))
	}
	return slots, nodes
}

// allOwned reports whether at least this many nodes answer and each of them
// knows owners of all slots.
func allOwned(inv *inventory.Inventory, nodes int) bool {
	slots, answering := ownedSlots(inv)
	return answering >= nodes && slots == allSlots(inv)
}

// call sends one request to an entry VM.
func call(t *testing.T, method, address, path, key, body string) (*http.Response, []byte) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		req.Header.Set(node.HeaderKey, key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, data
}

func TestProcessesServeLookupAndReservation(t *testing.T) {
	inv, nodes := startSystem(t, "testdata/small.toml")
	convey.Convey("A caller that asks any node is served by the one it is told", t, func() {
		for _, any := range inv.Entries {
			var a lookup.Answer
			convey.So(getJSON("http://"+any.Caller+"/lookup?service=reservations&block=desk-1", &a), convey.ShouldBeNil)
			convey.So(a.Entries, convey.ShouldHaveLength, len(inv.Entries))
			first := a.Entries[0]

			resp, data := call(t, http.MethodGet, first.Address, "/serve/catalogue/lamps/7?full=1", "", "")
			var echo standin.Echo
			convey.So(resp.StatusCode, convey.ShouldEqual, http.StatusOK)
			convey.So(json.Unmarshal(data, &echo), convey.ShouldBeNil)
			convey.So(echo.Path, convey.ShouldEqual, "/lamps/7?full=1")

			key := first.Token + "~reservation-" + string(any.ID)
			resp, data = call(t, http.MethodPost, first.Address, "/serve/reservations/lamps/7", key, "reader 9")
			convey.So(resp.StatusCode, convey.ShouldEqual, http.StatusOK)
			convey.So(json.Unmarshal(data, &echo), convey.ShouldBeNil)
			convey.So(echo.Body, convey.ShouldEqual, "reader 9")

			// The same operation at another entry VM gives the same answer.
			_, again := call(t, http.MethodPost, a.Entries[1].Address, "/serve/reservations/lamps/7", key, "reader 9")
			convey.So(string(again), convey.ShouldEqual, string(data))
			convey.So(timesRun(t, inv, key), convey.ShouldEqual, 1)
		}
	})
	convey.Convey("A node that is told to stop ends with exit code 0", t, func() {
		convey.So(nodes[0].Process.Signal(syscall.SIGTERM), convey.ShouldBeNil)
		state, err := nodes[0].Process.Wait()
		convey.So(err, convey.ShouldBeNil)
		convey.So(state.ExitCode(), convey.ShouldEqual, 0)
	})
}

// timesRun counts how often the targets ran an operation.
func timesRun(t *testing.T, inv *inventory.Inventory, key string) int {
	t.Helper()
	sum := 0
	for _, e := range inv.Endpoints {
		var l standin.Ledger
		if err := getJSON("http://"+e.Address+"/ledger", &l); err != nil {
			t.Fatal(err)
		}
		sum += l.Keys[key]
	}
	return sum
}
