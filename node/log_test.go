package node

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"k8s.io/klog/v2"

	"github.com/wasabiwheel/wasabiwheel/standin"
)

// blockingWriter records what is written. It blocks writes until block is closed.
type blockingWriter struct {
	mu       sync.Mutex
	text     bytes.Buffer
	maxWrite int // bytes of the largest write
	block    chan struct{}
}

// Write records text once block is closed.
func (s *blockingWriter) Write(p []byte) (int, error) {
	<-s.block
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxWrite = max(s.maxWrite, len(p))
	return s.text.Write(p)
}

func (s *blockingWriter) lines() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Split(strings.TrimSpace(s.text.String()), "\n")
}

// collectLog collects what the log writes until end is called.
func collectLog() (out *blockingWriter, end func()) {
	out = &blockingWriter{block: make(chan struct{})}
	close(out.block)
	log := NewLog(out)
	done, written := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(written)
		log.Run(done)
	}()
	return out, func() {
		close(done)
		<-written
		klog.ClearLogger()
	}
}

// withLoggedHarness is like withHarness, and collects the log from before the nodes start until they have ended: they
// read which logger is set.
func withLoggedHarness(t *testing.T, body func(h *harness, out *blockingWriter)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		out, end := collectLog()
		defer end()
		h := newHarness(t, testInventory())
		defer h.close()
		h.startAll()
		body(h, out)
	})
}

func TestLogIsBoundedAndNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("Dropped lines are counted", t, func() {
			out := &blockingWriter{block: make(chan struct{})}
			log := NewLog(out)
			defer klog.ClearLogger()
			done, written := make(chan struct{}), make(chan struct{})
			go func() {
				defer close(written)
				log.Run(done)
			}()
			for i := range 5000 {
				klog.InfoS("line", "number", i)
			}
			time.Sleep(3 * time.Second)
			close(out.block)
			time.Sleep(3 * time.Second)
			close(done)
			<-written
			lines := out.lines()
			convey.So(len(lines), convey.ShouldBeBetween, logBurst, logBurst+10)
			convey.So(out.maxWrite, convey.ShouldBeBetweenOrEqual, 1, maxLogWrite)
			dropped := 0
			for _, l := range lines {
				var entry struct {
					Msg   string `json:"msg"`
					Count int    `json:"count"`
				}
				convey.So(json.Unmarshal([]byte(l), &entry), convey.ShouldBeNil)
				dropped += entry.Count
			}
			convey.So(dropped, convey.ShouldEqual, 5000-logBurst)
		})
	})
}

// TestNodeStartIsLoggedCompletely has more endpoints than a burst of the log has lines.
func TestNodeStartIsLoggedCompletely(t *testing.T) {
	const nodes = 2 * logBurst / endpointsPerNode
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("No line is dropped, and all endpoints are logged", t, func() {
			h := newSizedHarness(t, nodes)
			defer h.close()
			out, end := collectLog()
			h.start("n0")
			time.Sleep(2 * time.Second)
			end()
			text := strings.Join(out.lines(), "\n")
			convey.So(text, convey.ShouldNotContainSubstring, "left out")
			convey.So(text, convey.ShouldContainSubstring, `"msg":"serving"`)
			convey.So(out.maxWrite, convey.ShouldBeLessThanOrEqualTo, maxLogWrite)
			for _, e := range h.inv.Endpoints {
				convey.So(strings.Contains(text, string(e.ID)+" s "), convey.ShouldBeTrue)
			}
		})
	})
}

func TestLateRejectionIsLoggedWithTimes(t *testing.T) {
	withLoggedHarness(t, func(h *harness, out *blockingWriter) {
		convey.Convey("The expected time exceeds the bound", t, func() {
			h.setBehaviour(standin.Behaviour{Work: 300 * time.Millisecond})
			h.send(h.t.Context(), "n1", testRequest{})
			var wait sync.WaitGroup
			for range 200 {
				wait.Go(func() { h.send(h.t.Context(), "n1", testRequest{}) })
				time.Sleep(time.Millisecond) // so that each finds the ones before it counted
			}
			wait.Wait()
			time.Sleep(3 * time.Second) // until they are written
			rejected := 0
			for _, l := range out.lines() {
				if !strings.Contains(l, `"msg":"request"`) {
					continue
				}
				var line struct {
					Reason       string  `json:"reason"`
					Takes, Bound float64 // seconds
				}
				convey.So(json.Unmarshal([]byte(l), &line), convey.ShouldBeNil)
				if line.Reason == string(ReasonLate) {
					rejected++
					convey.So(line.Bound, convey.ShouldBeGreaterThan, 0)
					convey.So(line.Takes, convey.ShouldBeGreaterThan, line.Bound)
				}
			}
			convey.So(rejected, convey.ShouldBeGreaterThan, 0)
		})
	})
}

func TestConfigurationIsLoggedWithItsSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("With where it came from, and for how long neighbours had it", t, func() {
			out, end := collectLog()
			defer end()
			h := newHarness(t, testInventory())
			defer h.close()
			for _, e := range h.inv.Entries {
				h.start(e.ID)
			}
			time.Sleep(8 * time.Second)
			rel := h.publish(bytes.ReplaceAll(testInventory(), []byte("/other/"), []byte("/moved/")))
			time.Sleep(5 * time.Second)
			h.platform.SetFault(standin.Fault{})
			lines := 0
			for _, text := range out.lines() {
				var line struct {
					Message string  `json:"msg"`
					Version int     `json:"version"`
					Missing float64 `json:"missing"`
				}
				if json.Unmarshal([]byte(text), &line) != nil || line.Message != "configuration in force" || line.Version != int(rel.Version) {
					continue
				}
				lines++
				convey.So(text, convey.ShouldContainSubstring, `"reads":`)
				convey.So(text, convey.ShouldContainSubstring, `"feed":`)
				convey.So(line.Missing, convey.ShouldBeBetweenOrEqual, 0, 2)
			}
			convey.So(lines, convey.ShouldEqual, len(h.nodes))
		})
	})
}

func TestLateTicksAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("Those that come late enough to delay changes of the store", t, func() {
			out, end := collectLog()
			n := New(Settings{}, Options{})
			n.recordTick(tickInterval)
			n.recordTick(tickInterval + minLoggedDelay/2)
			n.recordTick(tickInterval + 2*minLoggedDelay)
			time.Sleep(time.Second)
			end()
			convey.So(len(out.lines()), convey.ShouldEqual, 1)
			convey.So(out.lines()[0], convey.ShouldContainSubstring, `"msg":"delayed","for":0.4`)
			convey.So(n.metrics.registry.Get("delay.tick"), convey.ShouldNotBeNil)
			n.cancel()
		})
	})
}
