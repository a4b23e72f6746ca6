package main

// End-to-end tests with separate processes: a store, targets, three nodes, and
// callers that look up entry VMs at any node and send their requests to those.

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/caller"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/node"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

// processTimeout bounds each wait for a condition that depends on other processes.
const processTimeout = time.Minute

// binary is the path of the program under test, built by TestMain.
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

// process is a running program with its captured standard output.
type process struct {
	standin.Program
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write captures output of the program.
func (p *process) Write(data []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.buffer.Write(data)
}

// output returns the output captured so far.
func (p *process) output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.buffer.String()
}

// startProcess starts the program and stops it at the end of the test.
func startProcess(t *testing.T, args ...string) *process {
	t.Helper()
	p := &process{Program: standin.Program{Path: binary, Args: args, Stderr: os.Stderr}}
	p.Stdout = p
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.End)
	return p
}

// eventually polls until ok returns true. It fails the test after processTimeout.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), processTimeout)
	defer cancel()
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for !ok() {
		select {
		case <-ctx.Done():
			t.Fatalf("condition not met in time: %s", what)
		case <-ticker.C:
		}
	}
}

var storeAddress = tryPlatform()

// localInventory writes a copy of the small inventory with the addresses of this
// run and one replacement, and returns its path.
func localInventory(t *testing.T, old, replacement string) string {
	t.Helper()
	text, err := os.ReadFile("testdata/small.toml")
	if err != nil {
		t.Fatal(err)
	}
	text = bytes.ReplaceAll(text, []byte("127.30."), []byte(trySubnet()))
	text = bytes.Replace(text, []byte(old), []byte(replacement), 1)
	local := filepath.Join(t.TempDir(), "small.toml")
	if err := os.WriteFile(local, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return local
}

// writeSettings writes the settings file of an entry VM and returns its path.
func writeSettings(t *testing.T, inv *inventory.Inventory, e inventory.Entry) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), string(e.ID)+".toml")
	if err := node.SettingsOf(inv, e, storeAddress).Write(file); err != nil {
		t.Fatal(err)
	}
	return file
}

// deployment is a running deployment of nodes, targets and a store.
type deployment struct {
	inv      *inventory.Inventory
	file     string
	settings []string
	nodes    []*process
}

// startDeployment starts all processes and waits until all nodes serve.
func startDeployment(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{file: localInventory(t, "", "")}
	var err error
	if d.inv, err = inventory.Read(d.file); err != nil {
		t.Fatal(err)
	}
	startProcess(t, "standin", "--serve", storeAddress, "--inventory", d.file, "--work", "30ms")
	eventually(t, "the store accepts the inventory", func() bool {
		return runCommand("apply", "--platform", storeAddress, "--inventory", d.file).code == 0
	})
	for _, e := range d.inv.Entries {
		d.settings = append(d.settings, writeSettings(t, d.inv, e))
		d.nodes = append(d.nodes, startProcess(t, "node", "--settings", d.settings[len(d.settings)-1]))
	}
	d.awaitReady(t)
	return d
}

// awaitReady waits until all nodes serve and have all endpoints and each other.
func (d *deployment) awaitReady(t *testing.T) {
	t.Helper()
	eventually(t, "all nodes serve", func() bool {
		for _, e := range d.inv.Entries {
			st, err := node.FetchStatus(e.Admin, queryTimeout)
			if err != nil || !st.Serves(len(d.inv.Endpoints)) || len(st.Alive) != len(d.inv.Entries)-1 {
				return false
			}
		}
		return true
	})
}

// caller returns a caller that can use the lookup address of every node.
func (d *deployment) caller() *caller.Client {
	var nodes []string
	for _, e := range d.inv.Entries {
		nodes = append(nodes, e.Lookup)
	}
	return caller.New(caller.Options{Nodes: nodes, Region: "centro", Domain: "centro-a", HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}})
}

// runCount returns the number of times the targets ran a request.
func (d *deployment) runCount(t *testing.T, id string) int {
	t.Helper()
	sum := 0
	for _, e := range d.inv.Endpoints {
		var stats standin.TargetStats
		if err := getJSON("http://"+e.Address+"/ledger", &stats); err != nil {
			t.Fatal(err)
		}
		sum += stats.Runs[id]
	}
	return sum
}

func TestProcessesServeLookupAndReservation(t *testing.T) {
	d := startDeployment(t)
	convey.Convey("A caller is served through the entry VMs that any node returns", t, func() {
		for i := range 12 {
			r, err := d.caller().Call(t.Context(), caller.Operation{Method: "POST", Path: fmt.Sprint("/serve/reservations/lamps/", i), Body: []byte("reader 9"), Object: fmt.Sprint(i)})
			convey.So(err, convey.ShouldBeNil)
			convey.So(r.Outcome, convey.ShouldEqual, caller.OutcomeRan)
			var echo standin.Echo
			convey.So(json.Unmarshal(r.Body, &echo), convey.ShouldBeNil)
			convey.So(echo.Body, convey.ShouldEqual, "reader 9")
			convey.So(echo.Path, convey.ShouldEqual, fmt.Sprint("/serve/reservations/lamps/", i))
			convey.So(d.runCount(t, r.RequestID), convey.ShouldEqual, 1)
		}
	})
	convey.Convey("Each request is logged by the node that served it", t, func() {
		r, err := d.caller().Call(t.Context(), caller.Operation{Method: "GET", Path: "/serve/catalogue/1", Idempotent: true})
		convey.So(err, convey.ShouldBeNil)
		eventually(t, "the request is logged", func() bool {
			for _, n := range d.nodes {
				if strings.Contains(n.output(), `"msg":"request","request":"`+r.RequestID+`"`) {
					return true
				}
			}
			return false
		})
		for _, line := range strings.Split(strings.TrimSpace(d.nodes[0].output()), "\n") {
			var entry struct {
				Msg string `json:"msg"`
			}
			convey.So(json.Unmarshal([]byte(line), &entry), convey.ShouldBeNil)
			convey.So(entry.Msg, convey.ShouldNotBeEmpty)
		}
	})
}

func TestSignals(t *testing.T) {
	cases := map[string]struct {
		signal syscall.Signal
		exits  bool
	}{
		"terminate": {syscall.SIGTERM, true},
		"interrupt": {syscall.SIGINT, true},
		"hang up":   {syscall.SIGHUP, false},
		"pipe":      {syscall.SIGPIPE, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := startDeployment(t)
			convey.Convey("No request fails, and the process exits only on SIGTERM and SIGINT", t, func() {
				stop := make(chan struct{})
				failures := make(chan string, 1000)
				var wg sync.WaitGroup
				for i := range 6 {
					wg.Go(func() { d.callUntil(stop, i, failures) })
				}
				time.Sleep(time.Second) // under load
				exited := d.nodes[0].Signal(c.signal, c.exits)
				if c.exits {
					<-exited
					convey.So(d.nodes[0].Code(), convey.ShouldEqual, 0)
				}
				time.Sleep(time.Second)
				close(stop)
				wg.Wait()
				close(failures)
				for f := range failures {
					convey.So(f, convey.ShouldBeEmpty)
				}
				if !c.exits {
					st, err := node.FetchStatus(d.inv.Entries[0].Admin, queryTimeout)
					convey.So(err, convey.ShouldBeNil)
					convey.So(st.State, convey.ShouldEqual, node.StateServing)
				}
			})
		})
	}
}

// callUntil sends requests until stop is closed and sends the outcome of each one
// that was not served to failures.
func (d *deployment) callUntil(stop chan struct{}, index int, failures chan string) {
	c := d.caller()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		op := caller.Operation{Method: "GET", Path: "/serve/catalogue/x", Idempotent: true, Object: fmt.Sprint(i % 9)}
		if index%2 == 0 {
			op = caller.Operation{Method: "POST", Path: "/serve/reservations/x", Object: fmt.Sprint(i % 9)}
		}
		r, err := c.Call(context.Background(), op)
		if err != nil {
			failures <- err.Error()
		} else if r.Outcome != caller.OutcomeRan {
			failures <- string(r.Outcome) + " " + string(r.Reason)
		}
	}
}

// TestResumedNodeSkipsDrainedDomain guards against a node that was suspended
// during a drain and still sends requests to the drained failure domain after it
// has resumed and reconnected.
func TestResumedNodeSkipsDrainedDomain(t *testing.T) {
	d := startDeployment(t)
	convey.Convey("The resumed node sends no requests to the drained failure domain", t, func() {
		d.nodes[2].Signal(syscall.SIGSTOP, false)
		convey.So(runCommand("drain", "--platform", storeAddress, "domain", "centro-a").code, convey.ShouldEqual, 0)
		time.Sleep(3 * time.Second)
		d.nodes[2].Signal(syscall.SIGCONT, false)
		eventually(t, "the node has received the drain", func() bool {
			st, err := node.FetchStatus(d.inv.Entries[2].Admin, queryTimeout)
			return err == nil && len(st.Drained) == 1
		})
		before := d.servedCount(t, "centro-a")
		for i := range 40 {
			_, err := http.Get("http://" + d.inv.Entries[2].Caller + "/serve/catalogue/" + fmt.Sprint(i))
			convey.So(err, convey.ShouldBeNil)
		}
		convey.So(d.servedCount(t, "centro-a"), convey.ShouldEqual, before)
		convey.So(d.nodes[2].output(), convey.ShouldContainSubstring, `"msg":"paused"`)
	})
}

// servedCount returns the number of requests that the targets of a failure domain
// ran.
func (d *deployment) servedCount(t *testing.T, domain inventory.DomainID) int {
	t.Helper()
	sum := 0
	for _, e := range d.inv.Endpoints {
		var stats standin.TargetStats
		if e.Domain == domain && getJSON("http://"+e.Address+"/ledger", &stats) == nil {
			sum += stats.Served
		}
	}
	return sum
}

var foundSeeds = flag.Bool("found", false, "also run the soak seeds that found faults")

// TestSoak runs the soak with one seed, and with -found also with the seeds that
// have found faults. Each case is named after the cause it found. Adding kinds of
// faults changes the plan of a seed, so a case may no longer reproduce its cause.
func TestSoak(t *testing.T) {
	cases := map[string]struct {
		seed       int
		duration   time.Duration
		regression bool
	}{
		"short": {1, 8 * time.Second, false},
		"requests without a body sent more than once": {2, time.Minute, true},
		"early responses matched to other requests":   {6, 20 * time.Second, true},
		"grace period enforced on a frozen process":   {14, 20 * time.Second, true},
		"not-run reported for a request that ran":     {15, 20 * time.Second, true},
		"restarted reader does not publish removals":  {57, 20 * time.Second, true},
		"nodes considered ready too early":            {18, 20 * time.Second, true},
		"versions assigned again after two restores":  {819, 20 * time.Second, true},
		"an undrain whose answer is lost":             {1007, 20 * time.Second, true},
		"forwarded requests wait at a frozen node":    {1011, 20 * time.Second, true},
		"all nodes that are not cut off stop":         {1012, 20 * time.Second, true},
		"most nodes are cut off":                      {1043, 20 * time.Second, true},
		"two endpoints of a service, paused, leaving": {1024, 20 * time.Second, true},
		"cut off while a configuration changes":       {1201, 20 * time.Second, true},
		"the news of a start after its first pause":   {1058, 20 * time.Second, true},
		"the only other node reads a version later":   {102, time.Minute, true},
		"keys of a former configuration, at one node": {570012, 20 * time.Second, true},
		"keys of a former configuration, at another":  {580005, 20 * time.Second, true},
	}
	for name, c := range cases {
		if c.regression && !*foundSeeds {
			continue
		}
		t.Run(name, func(t *testing.T) {
			convey.Convey("The soak reports no violations", t, func() {
				result := runCommand("soak", "--seed", fmt.Sprint(c.seed), "--for", c.duration.String())
				convey.Printf("%s", result.out)
				convey.So(result.code, convey.ShouldEqual, 0)
			})
		})
	}
}
