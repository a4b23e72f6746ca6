package node

import (
	"bytes"
	"flag"
	"fmt"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/standin"
)

// nodeCounts are the numbers of nodes of TestControlTrafficByNodeCount.
var nodeCounts = flag.String("nodes", "9,30", "numbers of nodes for the test of control traffic")

const (
	nodesPerDomain   = 182 // nodes of a failure domain, at most: 6,000 in 33
	endpointsPerNode = 4   // endpoints for each node
	warmUpTime       = 10 * time.Second
	measureTime      = 36 * time.Second
	// changeInterval is the time between configuration changes: 24,000 a day.
	changeInterval = 3600 * time.Millisecond
	// maxControlRate is the budget for control traffic of a node, in bytes a second, in and
	// out together.
	maxControlRate = 23_000
)

// sizedInventory returns an inventory with a number of nodes, in three regions.
func sizedInventory(nodes int) []byte {
	var b strings.Builder
	domains := max(3, (nodes+nodesPerDomain-1)/nodesPerDomain)
	b.WriteString("[[region]]\nid = \"r0\"\n[[region]]\nid = \"r1\"\n[[region]]\nid = \"r2\"\n")
	for d := range domains {
		fmt.Fprintf(&b, "[[domain]]\nid = \"d%d\"\nregion = \"r%d\"\n", d, d%3)
	}
	b.WriteString("[[service]]\nid = \"s\"\nhealth = \"/health\"\n")
	for r := range 20 {
		fmt.Fprintf(&b, "[[route]]\nid = \"r%d\"\nprefix = \"/r%d/\"\nidempotent = true\ntimeout = \"2s\"\nobjective = \"400ms\"\n[[route.part]]\nservice = \"s\"\nweight = 1\n", r, r)
	}
	for e := range nodes * endpointsPerNode {
		fmt.Fprintf(&b, "[[endpoint]]\nid = \"e%d\"\nservice = \"s\"\ndomain = \"d%d\"\naddress = \"10.2.%d.%d:80\"\nslots = 3\n", e, e%domains, e/250, e%250+1)
	}
	for n := range nodes {
		ip := fmt.Sprintf("10.1.%d.%d", n/250, n%250+1)
		fmt.Fprintf(&b, "[[entry]]\nid = \"n%d\"\ndomain = \"d%d\"\ncaller = \"%s:7000\"\nlookup = \"%s:7003\"\npeer = \"%s:7001\"\nadmin = \"%s:7002\"\n", n, n%domains, ip, ip, ip, ip)
	}
	return []byte(b.String())
}

// newSizedHarness returns a harness without running nodes whose inventory, of the given
// size, is in force. The endpoints are registered.
func newSizedHarness(t *testing.T, nodes int) *harness {
	file := sizedInventory(nodes)
	h := newEmptyHarness(t, file)
	for _, e := range h.inv.Endpoints {
		convey.So(standin.NewRegistrar(h.targetClient, e).Write(t.Context()), convey.ShouldBeNil)
	}
	h.publish(file)
	return h
}

// controlCost is the control traffic of the nodes, in bytes in and out together: the mean
// over the nodes and the largest of a node.
type controlCost struct{ mean, peak float64 }

// measure returns the control traffic a second from now on, while change is called at intervals.
func (h *harness) measure(change func(i int)) controlCost {
	before := h.network.Carried()
	began := time.Now()
	for i := 0; time.Since(began) < measureTime; i++ {
		change(i)
		time.Sleep(changeInterval)
	}
	spent := time.Since(began).Seconds()
	c := h.bytesSince(before)
	return controlCost{mean: c.mean / spent, peak: c.peak / spent}
}

// bytesSince returns the control traffic of the nodes since a snapshot.
func (h *harness) bytesSince(before map[standin.Path]int64) controlCost {
	each := map[string]float64{}
	for path, size := range h.network.Carried() {
		for _, ip := range []string{path.From, path.To} {
			if strings.HasPrefix(ip, "10.1.") {
				each[ip] += float64(size - before[path])
			}
		}
	}
	var c controlCost
	for _, b := range each {
		c.mean += b / float64(len(each))
		c.peak = max(c.peak, b)
	}
	return c
}

// processorTime returns the processor time of this process.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// TestControlTrafficByNodeCount measures what nodes without callers send and receive: at
// rest, and while configurations change as often as is expected in two years. The output
// is recorded in docs/CAPACITY.md.
func TestControlTrafficByNodeCount(t *testing.T) {
	for _, text := range strings.Split(*nodeCounts, ",") {
		nodes, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(text, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				convey.Convey("The traffic of a node stays within its budget", t, func() {
					file := sizedInventory(nodes)
					h := newSizedHarness(t, nodes)
					defer h.close()
					carried, used := h.network.Carried(), processorTime()
					for _, e := range h.inv.Entries {
						h.start(e.ID)
					}
					time.Sleep(maxStartTime)
					serving := 0
					for _, n := range h.nodes {
						if n.state() == StateServing {
							serving++
						}
					}
					convey.So(serving, convey.ShouldEqual, nodes)
					start := h.bytesSince(carried)
					used = processorTime() - used
					t.Logf("%4d nodes: simultaneous start %6.0f KB a node, at most %6.0f; %v of processor time, including the stand-in",
						nodes, start.mean/1000, start.peak/1000, used/time.Duration(nodes))
					time.Sleep(warmUpTime)
					reads := h.platform.Counts().Reads
					rest := h.measure(func(int) {})
					reads = h.platform.Counts().Reads - reads
					busy := h.measure(func(i int) {
						h.publish(bytes.ReplaceAll(file, []byte("400ms"), []byte(fmt.Sprintf("%dms", 401+i))))
					})
					t.Logf("%4d nodes: at rest %6.0f B/s, at most %6.0f; with changes %6.0f B/s, at most %6.0f; %.1f reads of the store a second",
						nodes, rest.mean, rest.peak, busy.mean, busy.peak, float64(reads)/measureTime.Seconds())
					convey.So(busy.mean, convey.ShouldBeLessThanOrEqualTo, maxControlRate)
				})
			})
		})
	}
}
