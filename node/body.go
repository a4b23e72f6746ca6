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

	"github.com/wasabiwheel/wasabiwheel/caller"
	"github.com/wasabiwheel/wasabiwheel/exchange"
)

// maxBufferedBody is how much of a body is buffered so that it can be sent again, in
// bytes. A longer body is streamed, to one endpoint only.
const maxBufferedBody = 256 << 10

// errBodyTooLarge is returned for a body that exceeds the limit.
var errBodyTooLarge = errors.New("the body exceeds the size limit")

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
	var buffered bytes.Buffer
	_, err := io.Copy(&buffered, io.LimitReader(body, maxBufferedBody+1))
	req.buffered = buffered.Bytes()
	if err != nil {
		return err
	}
	if len(req.buffered) > maxBufferedBody {
		req.unbuffered = body
		return nil
	}
	req.length = int64(len(req.buffered))
	return req.upload.setReadDeadline(time.Time{})
}

// bodyErrorResponse returns the response to a request whose body could not be read.
func (req *request) bodyErrorResponse(err error) response {
	req.upload.stop()
	switch {
	case errors.Is(err, errBodyTooLarge):
		return rejected(ReasonRequest, http.StatusRequestEntityTooLarge)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return rejected(ReasonDeadline, http.StatusRequestTimeout)
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
