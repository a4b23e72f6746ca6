package node

// What a node costs: a request straight to a target against the same request
// through a node, on loopback, alternating in one run, and look-ups.
//
//	go test ./node -run '^$' -bench . -benchtime 3s

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wasabiwheel/wasabiwheel/configuration"
	"github.com/wasabiwheel/wasabiwheel/platform"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

// benchInventory has one endpoint and one entry VM; %s are addresses.
const benchInventory = `
[[region]]
id = "centro"
[[domain]]
id = "centro-a"
region = "centro"
[[service]]
id = "catalogue"
idempotent = ["GET /"]
deadline = "1s"
[[endpoint]]
id = "catalogue-1"
service = "catalogue"
domain = "centro-a"
address = "%s"
slots = 64
connections = 330
[[entry]]
id = "c-1"
domain = "centro-a"
caller = "%s"
peer = "%s"
admin = "%s"
`

// bench is one node with one target on loopback.
type bench struct {
	node   *Node
	target string
	caller string
}

func newBench(b *testing.B) *bench {
	b.Helper()
	target := httptest.NewServer(standin.NewTarget("catalogue-1", standin.Behaviour{}))
	store := httptest.NewServer(standin.NewPlatform())
	address := target.Listener.Addr().String()
	s := Settings{ID: "c-1", Domain: "centro-a", Caller: freeAddress(b), Peer: freeAddress(b), Admin: freeAddress(b), Platform: store.URL}
	text := fmt.Sprintf(benchInventory, address, s.Caller, s.Peer, s.Admin)
	client := platform.New(platform.Options{Base: store.URL})
	if _, err := configuration.Publish(b.Context(), client, configuration.Change{Text: []byte(text)}); err != nil {
		b.Fatal(err)
	}
	n := New(s, Options{})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := n.Run(ctx); err != nil {
			b.Error(err)
		}
	}()
	b.Cleanup(func() {
		cancel()
		<-done
		target.Close()
		store.Close()
	})
	return &bench{node: n, target: address, caller: s.Caller}
}

// freeAddress returns an address on which nobody listens now.
func freeAddress(b *testing.B) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// awaitOwned waits until the node owns its endpoint.
func (x *bench) awaitOwned() {
	for x.node.config.Version() == 0 || x.node.endpoints.Loads(time.Now())[0].Slots == 0 {
		sleep(context.Background(), tickInterval)
	}
}

// get sends one request and returns its time.
func get(b *testing.B, client *http.Client, url string) time.Duration {
	began := time.Now()
	resp, err := client.Get(url)
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		b.Fatal(resp.Status)
	}
	return time.Since(began)
}

// processorTime is what this process has used so far.
func processorTime(t testing.TB) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		t.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// side is one side of a paired comparison.
type side struct {
	times *hdrhistogram.Histogram // nanoseconds
	cpu   time.Duration
}

func newSide() *side {
	return &side{times: hdrhistogram.New(1, int64(time.Minute), 3)}
}

// pairBlock is the number of requests after which the sides take turns.
const pairBlock = 50

func BenchmarkRequestAgainstStraight(b *testing.B) {
	x := newBench(b)
	x.awaitOwned()
	client := &http.Client{}
	urls := []string{"http://" + x.target + "/lamps/7", "http://" + x.caller + "/serve/catalogue/lamps/7"}
	sides := []*side{newSide(), newSide()}
	for b.Loop() {
		for i, s := range sides {
			before := processorTime(b)
			for range pairBlock {
				_ = s.times.RecordValue(int64(get(b, client, urls[i])))
			}
			s.cpu += processorTime(b) - before
		}
	}
	straight, through := sides[0], sides[1]
	for name, q := range map[string]float64{"p50": 50, "p99": 99} {
		a, c := straight.times.ValueAtQuantile(q), through.times.ValueAtQuantile(q)
		b.ReportMetric(float64(c-a)/1000, name+"-added-µs")
		b.ReportMetric(float64(c)/float64(a), name+"-ratio")
	}
	requests := float64(b.N * pairBlock)
	b.ReportMetric(float64((through.cpu-straight.cpu).Microseconds())/requests, "cpu-added-µs/req")
	b.ReportMetric(float64(through.cpu)/float64(straight.cpu), "cpu-ratio")
}

func BenchmarkLookup(b *testing.B) {
	x := newBench(b)
	x.awaitOwned()
	h := x.node.callerHandler()
	req := httptest.NewRequest(http.MethodGet, "/lookup?service=catalogue&block=desk-1", nil)
	before := processorTime(b)
	for b.Loop() {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, req)
		if w.Code != http.StatusOK {
			b.Fatal(w.Code)
		}
	}
	used := processorTime(b) - before
	b.ReportMetric(float64(b.N)/used.Seconds(), "lookups/core-s")
}
