package main

// Callers that misbehave: what callers outside anyone's control send to a node. The load command runs
// them beside ordinary ones, so that operators can test a deployment.

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	crowdBody   = 300_000 // bytes of a body
	crowdHeader = 16_000  // bytes of a head of short fields
)

// misbehaviour is what each caller of a crowd does on its connection until ctx ends.
type misbehaviour func(ctx context.Context, c net.Conn, path string)

// pieces sends text in pieces with pauses, until ctx ends.
func pieces(ctx context.Context, c net.Conn, text []byte, size int, pause time.Duration) {
	for len(text) > 0 && ctx.Err() == nil {
		n := min(size, len(text))
		if _, err := c.Write(text[:n]); err != nil {
			return
		}
		text = text[n:]
		time.Sleep(pause)
	}
	<-ctx.Done()
}

func head(method, path, fields string) []byte {
	return []byte(method + " " + path + " HTTP/1.1\r\nHost: x\r\n" + fields + "\r\n")
}

func withBody(path string, length int64, sent int) []byte {
	return append(head("POST", path, fmt.Sprintf("Content-Length: %d\r\n", length)), bytes.Repeat([]byte("b"), sent)...)
}

// shortFields returns short fields of a size in bytes.
func shortFields(size int) string {
	var fields strings.Builder
	for i := 0; fields.Len() < size; i++ {
		fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	return fields.String()
}

// misbehaviours are the kinds of callers, as the load command names them.
var misbehaviours = map[string]misbehaviour{
	// Bodies in one piece that stop short of their end.
	"body": func(ctx context.Context, c net.Conn, path string) {
		pieces(ctx, c, withBody(path, crowdBody, crowdBody-1), 1<<20, 0)
	},
	// Bodies in small pieces that stop short of their end.
	"pieces": func(ctx context.Context, c net.Conn, path string) {
		pieces(ctx, c, withBody(path, crowdBody, crowdBody-1), 4<<10, time.Millisecond)
	},
	// Bodies in chunks that stop short of their end.
	"chunks": func(ctx context.Context, c net.Conn, path string) {
		chunk := "400\r\n" + strings.Repeat("b", 1<<10) + "\r\n"
		pieces(ctx, c, append(head("POST", path, "Transfer-Encoding: chunked\r\n"), strings.Repeat(chunk, crowdBody>>10)...), 16<<10, 0)
	},
	// Bodies far over the limit.
	"oversize": func(ctx context.Context, c net.Conn, path string) {
		pieces(ctx, c, withBody(path, 10<<30, crowdBody), 1<<20, 0)
	},
	// Very many short fields.
	"fields": func(ctx context.Context, c net.Conn, path string) {
		pieces(ctx, c, append(head("POST", path, shortFields(crowdHeader)+"Content-Length: 9\r\n"), 'b'), 1<<20, 0)
	},
	// Pipelined requests whose responses are not read.
	"pipeline": func(ctx context.Context, c net.Conn, path string) {
		pieces(ctx, c, bytes.Repeat(head("GET", path, ""), 500), 1<<20, 0)
	},
	// Slow senders.
	"slowsend": func(ctx context.Context, c net.Conn, path string) {
		pieces(ctx, c, head("GET", path, strings.Repeat("a: b\r\n", 100)), 1, 100*time.Millisecond)
	},
	// Slow readers.
	"slowread": func(ctx context.Context, c net.Conn, path string) {
		_, _ = c.Write(head("GET", path, "")) // fails if it has been closed
		for ctx.Err() == nil {
			time.Sleep(100 * time.Millisecond)
			if _, err := c.Read(make([]byte, 1)); err != nil {
				return
			}
		}
	},
	// Senders that stop in the middle of a head.
	"halfway": func(ctx context.Context, c net.Conn, path string) {
		pieces(ctx, c, head("GET", path, "a: b\r\n")[:20], 1<<20, 0)
	},
}

// crowd is a number of callers that misbehave in the same way.
type crowd struct {
	address, path string
	size          int
	do            misbehaviour
}

// run opens a connection for each caller and lets them misbehave until ctx ends.
func (cr crowd) run(ctx context.Context) {
	dialer := net.Dialer{Timeout: time.Second, Control: smallReceiveBuffer}
	var running sync.WaitGroup
	for range cr.size {
		running.Go(func() {
			c, err := dialer.DialContext(ctx, "tcp", cr.address)
			if err != nil {
				return // it was refused
			}
			defer context.AfterFunc(ctx, func() { _ = c.Close() })()
			cr.do(ctx, c, cr.path)
			_ = c.Close()
		})
	}
	running.Wait()
}

// smallReceiveBuffer bounds what the kernel receives for a caller that does not read.
func smallReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var set error
	err := raw.Control(func(fd uintptr) {
		set = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 8<<10)
	})
	return errors.Join(err, set)
}
