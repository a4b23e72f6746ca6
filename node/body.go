package node

// Bodies of callers' requests. If a caller stalls in the middle of a body, its request
// ends at the deadline.

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/wasabiwheel/wasabiwheel/budget"
	"github.com/wasabiwheel/wasabiwheel/caller"
	"github.com/wasabiwheel/wasabiwheel/exchange"
)

// maxBufferedBody is how much of a body is buffered so that it can be sent again, in
// bytes. A longer body is streamed, to one endpoint only.
const maxBufferedBody = 256 << 10

// firstBuffer is the memory for a body at first, in bytes. It counts as part of the connection.
const firstBuffer = 4 << 10

var (
	// errBodyTooLarge is returned for a body that exceeds the limit.
	errBodyTooLarge = errors.New("the body exceeds the size limit")
	// errNoMemory is returned for a body for which the node has no memory.
	errNoMemory = errors.New("no memory for the body")
)

// upload is the connection that carries a caller's body.
type upload struct {
	conn    *http.ResponseController
	stopped atomic.Bool // reading was aborted, so the connection cannot carry another request
}

// setReadDeadline sets the deadline of reads; zero: none.
func (u *upload) setReadDeadline(t time.Time) error { return u.conn.SetReadDeadline(t) }

// stop aborts a blocked read and all later reads.
func (u *upload) stop() {
	u.stopped.Store(true)
	_ = u.setReadDeadline(time.Unix(1, 0)) // fails only on a closed connection, which has no blocked read
}

// readBody reads a body, or the part of it that is buffered.
func (req *request) readBody(r *http.Request, limit int64) error {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		req.length = 0
		return nil
	}
	if limit > 0 && r.ContentLength > limit {
		return errBodyTooLarge
	}
	if err := req.upload.setReadDeadline(req.deadline); err != nil {
		return err
	}
	var body io.Reader = r.Body
	if limit > 0 {
		body = &limitedBody{reader: r.Body, remaining: limit}
	}
	req.conn.setPhase(budget.Sending)
	defer req.conn.setPhase(budget.Running)
	if err := req.buffer(body); err != nil {
		return err
	}
	if len(req.buffered) > maxBufferedBody {
		req.unbuffered = body
		return nil
	}
	req.length = int64(len(req.buffered))
	return req.upload.setReadDeadline(time.Time{})
}

// buffer reads up to maxBufferedBody bytes and one more. Memory grows with the bytes that arrive, not
// with the stated length, and is counted for the connection until releaseBody.
func (req *request) buffer(body io.Reader) error {
	most := maxBufferedBody + 1
	if req.length >= 0 {
		most = int(min(int64(most), req.length+1)) // one more byte, in which the end is seen
	}
	req.buffered = make([]byte, 0, min(firstBuffer, most))
	for len(req.buffered) < maxBufferedBody+1 {
		if len(req.buffered) == cap(req.buffered) {
			next := min(2*cap(req.buffered), most)
			if !req.conn.take(int64(next)) {
				return errNoMemory
			}
			req.buffered = append(make([]byte, 0, next), req.buffered...)
			req.releaseBody()
			req.taken = int64(next)
		}
		n, err := body.Read(req.buffered[len(req.buffered):cap(req.buffered)])
		req.buffered = req.buffered[:len(req.buffered)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// releaseBody gives the memory of the body back.
func (req *request) releaseBody() {
	req.conn.giveBack(req.taken)
	req.taken = 0
}

// reserve takes the memory that the response is expected to need, and reports whether there is any.
func (n *Node) reserve(req *request) bool {
	return req.memory.reserve(n.responses.Expected(req.route.ID))
}

// discardBody lets a caller that gets a response without its body having been read send the rest of it
// for no longer than lingerTime.
func discardBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(lingerTime)) // fails only if the connection is closed
	}
}

// bodyErrorResponse returns the response to a request whose body could not be read.
func (req *request) bodyErrorResponse(err error) response {
	req.upload.stop()
	switch {
	case errors.Is(err, errBodyTooLarge):
		return rejected(ReasonRequest, http.StatusRequestEntityTooLarge)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return rejected(ReasonDeadline, http.StatusRequestTimeout)
	case errors.Is(err, errNoMemory):
		return notRun(ReasonMemory, defaultRetryAfter)
	default:
		return response{outcome: caller.OutcomeCanceled, reason: ReasonRequest}
	}
}

// limitedBody is a reader that fails when more than a number of bytes is read.
type limitedBody struct {
	reader    io.Reader
	remaining int64
}

// Read reads from the body and fails with errBodyTooLarge beyond the limit.
func (l *limitedBody) Read(p []byte) (int, error) {
	n, err := l.reader.Read(p)
	l.remaining -= int64(n)
	if l.remaining < 0 {
		return n, errBodyTooLarge
	}
	return n, err
}

// payload returns the body for one attempt.
func (req *request) payload() exchange.Body {
	switch {
	case req.unbuffered != nil:
		return exchange.Body{Reader: io.MultiReader(bytes.NewReader(req.buffered), req.unbuffered), Length: req.length, Stop: req.upload.stop}
	case len(req.buffered) > 0:
		return exchange.Body{Reader: bytes.NewReader(req.buffered), Length: req.length}
	default:
		return exchange.Body{}
	}
}
