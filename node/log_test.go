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

// sink is a writer that may block.
type sink struct {
	mu    sync.Mutex
	text  bytes.Buffer
	most  int // bytes of a write
	block chan struct{}
}

// Write takes text, once it is not blocked.
func (s *sink) Write(p []byte) (int, error) {
	<-s.block
	s.mu.Lock()
	defer s.mu.Unlock()
	s.most = max(s.most, len(p))
	return s.text.Write(p)
}

func (s *sink) lines() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Split(strings.TrimSpace(s.text.String()), "\n")
}

// collect returns what the log writes, until end is called.
func collect() (out *sink, end func()) {
	out = &sink{block: make(chan struct{})}
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

func TestLogsNeverBlockAndAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("What does not fit is counted", t, func() {
			out := &sink{block: make(chan struct{})}
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
			convey.So(out.most, convey.ShouldBeBetweenOrEqual, 1, logWrite)
			left := 0
			for _, l := range lines {
				var entry struct {
					Msg   string `json:"msg"`
					Count int    `json:"count"`
				}
				convey.So(json.Unmarshal([]byte(l), &entry), convey.ShouldBeNil)
				left += entry.Count
			}
			convey.So(left, convey.ShouldEqual, 5000-logBurst)
		})
	})
}

// TestTheStartOfANodeIsLogged has as many endpoints as would fill a burst of lines.
func TestTheStartOfANodeIsLogged(t *testing.T) {
	const nodes = 2 * logBurst / perNode
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("No endpoint and no step is left out", t, func() {
			r := sizedRig(t, nodes)
			defer r.close()
			out, end := collect()
			r.start("n0")
			time.Sleep(2 * time.Second)
			end()
			text := strings.Join(out.lines(), "\n")
			convey.So(text, convey.ShouldNotContainSubstring, "left out")
			convey.So(text, convey.ShouldContainSubstring, `"msg":"serving"`)
			convey.So(out.most, convey.ShouldBeLessThanOrEqualTo, logWrite)
			for _, e := range r.inv.Endpoints {
				convey.So(strings.Contains(text, string(e.ID)+" s "), convey.ShouldBeTrue)
			}
		})
	})
}

func TestARefusalTellsWhatDecided(t *testing.T) {
	bubble(t, func(r *rig) {
		convey.Convey("It would take longer than it may", t, func() {
			r.behave(standin.Behaviour{Work: 300 * time.Millisecond})
			r.send(r.t.Context(), "n1", ask{})
			out, end := collect()
			var wait sync.WaitGroup
			for range 200 {
				wait.Go(func() { r.send(r.t.Context(), "n1", ask{}) })
			}
			wait.Wait()
			end()
			refused := 0
			for _, l := range out.lines() {
				var line struct {
					Reason       string  `json:"reason"`
					Takes, Bound float64 // seconds
				}
				convey.So(json.Unmarshal([]byte(l), &line), convey.ShouldBeNil)
				if line.Reason == string(ReasonLate) {
					refused++
					convey.So(line.Bound, convey.ShouldBeGreaterThan, 0)
					convey.So(line.Takes, convey.ShouldBeGreaterThan, line.Bound)
				}
			}
			convey.So(refused, convey.ShouldBeGreaterThan, 0)
		})
	})
}
