package node

// The memory for heads, and the pace at which responses are read. A head that is legal in size may
// consist of thousands of fields, each of which takes many times its size once it has been parsed.

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

const (
	freeFields   = 64                     // fields of a head that count as part of the connection
	fieldCost    = 256                    // bytes of memory that a further field takes
	headChunk    = 16 << 10               // bytes by which the memory for a head is taken
	writeSize    = 32 << 10               // bytes of which some must be taken within the idle limit
	minWriteTime = time.Second            // for them, however short the idle limit is
	stillMargin  = 100 * time.Millisecond // after a deadline, from which on the process has stood still
	headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// errHeadTooLarge is returned for a head for which the node has no memory.
var errHeadTooLarge = errors.New("no memory for the header")

// head is what has been received of the head of a request.
type head struct {
	fields  int
	lineEnd bool // the last byte ended a line
	ended   bool // the empty line has been received
	taken   int64
}

// countHead counts the fields in the bytes of a head, and takes memory for them. It reports false, after
// having told the caller, if there is none: the request does not run.
func (c *callerConn) countHead(p []byte) bool {
	h := &c.head
	for _, b := range p {
		switch {
		case h.ended:
			return true
		case b == '\n' && h.lineEnd && h.fields > 0:
			h.ended = true
		case b == '\n':
			h.fields++
			h.lineEnd = true
		case b != '\r':
			h.lineEnd = false
		}
		if int64(h.fields-freeFields)*fieldCost <= h.taken {
			continue
		}
		if !countedOf(c).take(headChunk) {
			_ = c.SetWriteDeadline(time.Now().Add(lingerTime)) // fails only if the connection is closed
			_, _ = io.WriteString(c.Conn, headTooLarge)        // the connection is closed in any case
			return false
		}
		h.taken += headChunk
	}
	return true
}

// setState records the state that net/http reports.
func (c *callerConn) setState(state http.ConnState) {
	trackPhase(c, state)
	switch state {
	case http.StateIdle:
		c.endHead()
	case http.StateClosed:
		c.endHead()
		countedOf(c).giveBack(c.aheadTaken)
	}
	c.serving.Store(state == http.StateActive)
}

// endHead gives the memory of the last head back, since its request has been served.
func (c *callerConn) endHead() {
	countedOf(c).giveBack(c.head.taken)
	c.head = head{}
}

// Write writes in pieces. A caller that takes nothing for the idle limit is disconnected, and so is one
// that does so for writeSize bytes.
func (c *callerConn) Write(p []byte) (written int, err error) {
	for {
		piece := p[written:min(len(p), written+writeSize)]
		n, err := c.writePiece(piece)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// writePiece writes a piece within the idle limit. If the process stood still meanwhile, the caller gets
// that time once more.
func (c *callerConn) writePiece(p []byte) (written int, err error) {
	for {
		deadline := time.Time{}
		if c.idle > 0 {
			deadline = time.Now().Add(max(c.idle, minWriteTime))
		}
		if err := c.SetWriteDeadline(deadline); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) || time.Since(deadline) < stillMargin {
			return written, err
		}
	}
}
