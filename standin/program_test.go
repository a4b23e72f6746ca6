package standin

import (
	"io"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestProgramRestarts(t *testing.T) {
	cases := map[string]struct {
		restartDelay  time.Duration
		signal        syscall.Signal
		stopRequested bool
		code          int // -1: killed by the signal
	}{
		"killed, restarted":            {time.Millisecond, syscall.SIGKILL, false, -1},
		"asked to exit, restarted":     {time.Millisecond, syscall.SIGTERM, true, 3},
		"asked to exit, not restarted": {0, syscall.SIGTERM, true, 3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The exit of each process and its cause are reported", t, func() {
				up := make(chan struct{}, 8)
				out, in := io.Pipe()
				go func() {
					for b := make([]byte, 8); ; {
						if _, err := out.Read(b); err != nil {
							return
						}
						up <- struct{}{}
					}
				}()
				var reported atomic.Bool
				p := &Program{
					Path: "sh", Args: []string{"-c", `trap "exit 3" TERM; echo up; while :; do sleep 0.01; done`}, Stdout: in, RestartDelay: c.restartDelay,
					Ended: func(_ *os.ProcessState, stopRequested bool) { reported.Store(stopRequested) },
				}
				convey.So(p.Start(), convey.ShouldBeNil)
				defer p.End()
				<-up
				convey.So(p.Resident(), convey.ShouldBeGreaterThan, 0)
				<-p.Signal(c.signal, c.stopRequested)
				convey.So(p.Code(), convey.ShouldEqual, c.code)
				convey.So(reported.Load(), convey.ShouldEqual, c.stopRequested)
				if c.restartDelay > 0 {
					<-up
					convey.So(p.Incarnation(), convey.ShouldEqual, 2)
				}
			})
		})
	}
	convey.Convey("A program that does not exist", t, func() {
		convey.So((&Program{Path: "/no/such/program"}).Start(), convey.ShouldNotBeNil)
	})
}
