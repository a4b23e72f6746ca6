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

// sizes are the numbers of nodes of TestControlByNumberOfNodes.
var sizes = flag.String("nodes", "9,30", "numbers of nodes, for the test of what control costs")

const (
	perDomain   = 182 // nodes of a failure domain, at the most: 6,000 in 33
	perNode     = 4   // endpoints for each node
	warmTime    = 10 * time.Second
	measureTime = 36 * time.Second
	// changeTime is the time between changes: 24,000 a day.
	changeTime = 3600 * time.Millisecond
	// controlBytes is what control may cost a node a second, in and out together.
	controlBytes = 23_000
)

// sizedText is an inventory of so many nodes, in three regions.
func sizedText(nodes int) []byte {
	var b strings.Builder
	domains := max(3, (nodes+perDomain-1)/perDomain)
	b.WriteString("[[region]]\nid = \"r0\"\n[[region]]\nid = \"r1\"\n[[region]]\nid = \"r2\"\n")
	for d := range domains {
		fmt.Fprintf(&b, "[[domain]]\nid = \"d%d\"\nregion = \"r%d\"\n", d, d%3)
	}
	b.WriteString("[[service]]\nid = \"s\"\nhealth = \"/health\"\n")
	for r := range 20 {
		fmt.Fprintf(&b, "[[route]]\nid = \"r%d\"\nprefix = \"/r%d/\"\nidempotent = true\ntimeout = \"2s\"\nobjective = \"400ms\"\n[[route.part]]\nservice = \"s\"\nweight = 1\n", r, r)
	}
	for e := range nodes * perNode {
		fmt.Fprintf(&b, "[[endpoint]]\nid = \"e%d\"\nservice = \"s\"\ndomain = \"d%d\"\naddress = \"10.2.%d.%d:80\"\nslots = 3\n", e, e%domains, e/250, e%250+1)
	}
	for n := range nodes {
		ip := fmt.Sprintf("10.1.%d.%d", n/250, n%250+1)
		fmt.Fprintf(&b, "[[entry]]\nid = \"n%d\"\ndomain = \"d%d\"\ncaller = \"%s:7000\"\nlookup = \"%s:7003\"\npeer = \"%s:7001\"\nadmin = \"%s:7002\"\n", n, n%domains, ip, ip, ip, ip)
	}
	return []byte(b.String())
}

// sizedRig is a rig without nodes of such an inventory, which is in force. Its endpoints
// are registered.
func sizedRig(t *testing.T, nodes int) *rig {
	file := sizedText(nodes)
	r := emptyRig(t, file)
	for _, e := range r.inv.Endpoints {
		convey.So(standin.NewRegistrar(r.register, e).Write(t.Context()), convey.ShouldBeNil)
	}
	r.publish(file)
	return r
}

// control is what control costs the nodes, in bytes in and out.
type control struct{ mean, most float64 }

// measure returns the cost from now on, while the given changes are made.
func (r *rig) measure(change func(i int)) control {
	before := r.network.Carried()
	began := time.Now()
	for i := 0; time.Since(began) < measureTime; i++ {
		change(i)
		time.Sleep(changeTime)
	}
	spent := time.Since(began).Seconds()
	c := r.carriedSince(before)
	return control{mean: c.mean / spent, most: c.most / spent}
}

// carriedSince returns the bytes of the nodes since then.
func (r *rig) carriedSince(before map[standin.Path]int64) control {
	each := map[string]float64{}
	for path, size := range r.network.Carried() {
		for _, ip := range []string{path.From, path.To} {
			if strings.HasPrefix(ip, "10.1.") {
				each[ip] += float64(size - before[path])
			}
		}
	}
	var c control
	for _, b := range each {
		c.mean += b / float64(len(each))
		c.most = max(c.most, b)
	}
	return c
}

// processorTime is what this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// TestControlByNumberOfNodes measures what nodes without callers send and receive:
// at rest, and while configurations change as often as they will in two years. What
// the table prints is in docs/CAPACITY.md.
func TestControlByNumberOfNodes(t *testing.T) {
	for _, text := range strings.Split(*sizes, ",") {
		nodes, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(text, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				convey.Convey("A node's part stays within its budget", t, func() {
					file := sizedText(nodes)
					r := sizedRig(t, nodes)
					defer r.close()
					carried, used := r.network.Carried(), processorTime()
					for _, e := range r.inv.Entries {
						r.start(e.ID)
					}
					time.Sleep(startTime)
					serving := 0
					for _, n := range r.nodes {
						if n.state() == StateServing {
							serving++
						}
					}
					convey.So(serving, convey.ShouldEqual, nodes)
					start := r.carriedSince(carried)
					used = processorTime() - used
					t.Logf("%4d nodes: to start together %6.0f KB a node, most %6.0f; %v of a processor, the stand-in's included",
						nodes, start.mean/1000, start.most/1000, used/time.Duration(nodes))
					time.Sleep(warmTime)
					reads := r.platform.Counts().Reads
					rest := r.measure(func(int) {})
					reads = r.platform.Counts().Reads - reads
					busy := r.measure(func(i int) {
						r.publish(bytes.ReplaceAll(file, []byte("400ms"), []byte(fmt.Sprintf("%dms", 401+i))))
					})
					t.Logf("%4d nodes: at rest %6.0f B/s, most %6.0f; with changes %6.0f B/s, most %6.0f; %.1f reads of the store a second",
						nodes, rest.mean, rest.most, busy.mean, busy.most, float64(reads)/measureTime.Seconds())
					convey.So(busy.mean, convey.ShouldBeLessThanOrEqualTo, controlBytes)
				})
			})
		})
	}
}
