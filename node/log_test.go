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
	block chan struct{}
}

// Write takes text, once it is not blocked.
func (s *sink) Write(p []byte) (int, error) {
	<-s.block
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func (s *sink) lines() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Split(strings.TrimSpace(s.text.String()), "\n")
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
			out := &sink{block: make(chan struct{})}
			close(out.block)
			done, written := make(chan struct{}), make(chan struct{})
			file := sizedText(nodes)
			r := emptyRig(t, file)
			defer r.close()
			for _, e := range r.inv.Endpoints {
				convey.So(standin.NewRegistrar(r.register, e).Write(t.Context()), convey.ShouldBeNil)
			}
			r.publish(file)
			log := NewLog(out)
			defer klog.ClearLogger()
			go func() {
				defer close(written)
				log.Run(done)
			}()
			r.start("n0")
			time.Sleep(2 * time.Second)
			close(done)
			<-written
			text := strings.Join(out.lines(), "\n")
			convey.So(text, convey.ShouldNotContainSubstring, "left out")
			convey.So(text, convey.ShouldContainSubstring, `"msg":"serving"`)
			for _, e := range r.inv.Endpoints {
				convey.So(strings.Contains(text, string(e.ID)+" s "), convey.ShouldBeTrue)
			}
		})
	})
}
