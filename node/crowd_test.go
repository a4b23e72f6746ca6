package node

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/budget"
	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// TestBodyThatNobodyReads guards against connections that are held for ever by callers that send a
// request that is rejected, and not all of its body.
func TestBodyThatNobodyReads(t *testing.T) {
	withHarness(t, func(h *harness) {
		convey.Convey("The response is sent, and the connection is closed", t, func() {
			c, err := h.network.VM(callerIP).DialContext(h.t.Context(), "tcp", h.entry("n1").Caller)
			convey.So(err, convey.ShouldBeNil)
			defer func() { _ = c.Close() }()
			_, err = io.WriteString(c, "POST /nothing HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nb")
			convey.So(err, convey.ShouldBeNil)
			convey.So(c.SetReadDeadline(time.Now().Add(5*time.Second)), convey.ShouldBeNil)
			r := bufio.NewReader(c)
			resp, err := http.ReadResponse(r, nil)
			convey.So(err, convey.ShouldBeNil)
			convey.So(resp.StatusCode, convey.ShouldEqual, http.StatusNotFound)
			_, err = r.ReadByte()
			convey.So(err, convey.ShouldEqual, io.EOF)
		})
	})
}

// TestCallerThatReadsNothing guards against responses that are held for ever for callers that don't read
// them, and against callers that are disconnected although they read.
func TestCallerThatReadsNothing(t *testing.T) {
	const idle = 15 * time.Second
	cases := map[string]struct {
		pause  time.Duration // after each 32 KB
		served bool
	}{
		"at once":                     {served: true},
		"within the idle limit":       {pause: idle - time.Second, served: true},
		"slower than the idle limit":  {pause: idle + time.Second},
		"much slower than that limit": {pause: time.Hour},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				convey.Convey("A caller that takes none of 32 KB within the idle limit is disconnected", t, func() {
					listener := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
					var limits atomic.Pointer[inventory.Limits]
					limits.Store(&inventory.Limits{IdleTimeout: inventory.Duration{Duration: idle}})
					size, done := 200<<10, make(chan struct{})
					srv := newRequestServer(listener, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
						defer close(done)
						_, _ = w.Write(make([]byte, size)) // fails if the caller is disconnected
					}), &limits)
					srv.applyLimits()
					go srv.accept()
					defer srv.closeAll()
					conn := listener.open()
					go func() { _, _ = io.WriteString(conn, requestText) }() // the pipe has no buffer
					read := 0
					for read < size {
						n, err := io.ReadFull(conn, make([]byte, writeSize))
						read += n
						if err != nil {
							break
						}
						time.Sleep(c.pause)
					}
					convey.So(read >= size, convey.ShouldEqual, c.served)
					_ = conn.Close()
					<-done
				})
			})
		})
	}
}

// TestBodyWithoutMemory guards against requests that are run although the node has no memory for them,
// and against a share of memory that is not returned.
func TestBodyWithoutMemory(t *testing.T) {
	withHarness(t, func(h *harness) {
		convey.Convey("The request is rejected as not run, and served once there is memory", t, func() {
			h.publish(bytes.Replace(testInventory(), []byte("body = 1000"), []byte("body = 1000000"), 1))
			h.nodes["n1"].stop()
			<-h.nodes["n1"].done
			settings := SettingsOf(h.inv, h.entry("n1"), storeAddress)
			settings.VM.Memory = 100
			h.startWith(settings)
			time.Sleep(8 * time.Second)
			table := h.nodes["n1"].connections.budget
			other := table.Open(time.Now(), budget.Requests).ID
			const share, left = 100 << 20 / 4, 200 << 10 // bytes; a body takes 384 KB while it is read
			table.SetPhase(time.Now(), other, budget.Running)
			convey.So(table.Take(time.Now(), other, share-left-table.Bytes()).Admit, convey.ShouldBeTrue)
			large := testRequest{method: http.MethodPost, path: "/post/x", body: strings.Repeat("b", 250_000)}
			resp := h.send(h.t.Context(), "n1", large)
			convey.So(resp.status, convey.ShouldNotEqual, http.StatusOK) // it is lost with the connection, which has no half to close here
			convey.So(h.counter("n1", "refusal.memory"), convey.ShouldEqual, 1)
			convey.So(h.runCount(resp.id), convey.ShouldEqual, 0)
			resp = h.send(h.t.Context(), "n1", testRequest{method: http.MethodPost, path: "/post/x", body: "b"})
			convey.So(resp.status, convey.ShouldEqual, http.StatusOK)
			table.Close(other)
			table.Return(other, share)
			for range 50 {
				resp = h.send(h.t.Context(), "n1", large)
				convey.So(resp.status, convey.ShouldEqual, http.StatusOK)
			}
			h.transport.CloseIdleConnections()
			time.Sleep(time.Second)
			convey.So(table.Bytes()%budget.ConnectionBytes, convey.ShouldEqual, 0) // connections of other nodes are left
		})
	})
}

// TestHeadOfShortFields guards against heads that take many times their size in memory, and against a
// legal one that is refused while there is memory.
func TestHeadOfShortFields(t *testing.T) {
	var fields strings.Builder
	for i := 0; fields.Len() < 15_000; i++ {
		fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	cases := map[string]struct {
		memory int64
		status int
	}{
		"with memory":    {memory: 100 << 20, status: http.StatusNotFound},
		"without memory": {memory: 1 << 20, status: http.StatusRequestHeaderFieldsTooLarge},
		"unknown memory": {status: http.StatusNotFound},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				convey.Convey("It is served, or refused with 431", t, func() {
					pipes := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
					metrics := newNodeMetrics()
					conns := newConnections(budget.New(budget.Limits{Memory: c.memory}), metrics)
					l := &listener{Listener: pipes, class: budget.Requests, conns: conns, metrics: metrics, lost: &atomic.Bool{}, closed: make(chan struct{})}
					var limits atomic.Pointer[inventory.Limits]
					limits.Store(&inventory.Limits{MaxHeaderBytes: 16 << 10})
					srv := newRequestServer(l, http.NotFoundHandler(), &limits)
					srv.applyLimits()
					go srv.accept()
					defer srv.closeAll()
					conn := pipes.open()
					responses := bufio.NewReader(conn)
					for range 3 {
						go func() { _, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n"+fields.String()+"\r\n") }() // fails if it is refused
						resp, err := http.ReadResponse(responses, nil)
						convey.So(err, convey.ShouldBeNil)
						convey.So(resp.StatusCode, convey.ShouldEqual, c.status)
						if c.status != http.StatusNotFound {
							break
						}
						_, err = io.Copy(io.Discard, resp.Body)
						convey.So(err, convey.ShouldBeNil)
					}
					_ = conn.Close()
					time.Sleep(time.Second)
					convey.So(conns.budget.Bytes(), convey.ShouldEqual, 0)
				})
			})
		})
	}
}
