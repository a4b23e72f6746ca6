package exchange

// Reading of responses. Endpoints in trouble send truncated responses, those to other
// requests, and bytes that are no response, also without end: each part has a bound in size,
// and the request's deadline bounds the time.

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"sync"
)

// MaxHeadSize is the limit of a head in bytes, together with the informational responses before it.
const MaxHeadSize = 64 << 10

// Limits of a response.
const (
	maxBodySize       = 16 << 20 // bytes of a body, which is buffered to be forwarded complete
	firstBodyChunk    = 8 << 10  // bytes of memory for a body at first
	bodyChunk         = 64 << 10 // bytes by which the memory of a long body grows
	maxStrayResponses = 4        // responses to other requests that are discarded before the exchange fails
)

// readResponse reads responses until the one that belongs to the request. stray
// states whether responses to other requests were discarded. If only the body could not be
// read, the response is returned with the error.
func (c *conn) readResponse(names HeaderNames, r Request) (resp *http.Response, body Content, stray bool, failed *Error) {
	req := &http.Request{Method: r.Method}
	for range maxStrayResponses {
		c.begin(r.Memory)
		resp, err := c.readHead(req)
		if err != nil {
			return nil, nil, stray, c.readError(err)
		}
		matches := resp.Header.Get(names.Request) == r.ID
		body, err = c.readBody(resp)
		if err != nil && matches {
			return resp, nil, stray, c.readError(err)
		}
		if matches {
			return resp, body, stray, nil
		}
		if err != nil || resp.Close || resp.Header.Get(names.Request) == "" {
			break
		}
		stray = true
	}
	return nil, nil, stray, c.newError("read", KindBroken, errors.New("response belongs to another request"))
}

// errHeadTooLarge is returned for a head that exceeds MaxHeadSize.
var errHeadTooLarge = errors.New("response head is too large")

// input is what a connection reads from, with a bound while a head or a trailer is read.
type input struct {
	io.Reader
	left int64 // bytes that may still be read
}

// Read reads from the connection and fails with errHeadTooLarge beyond the bound.
func (in *input) Read(p []byte) (int, error) {
	if in.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := in.Reader.Read(p[:min(int64(len(p)), in.left)])
	in.left -= int64(n)
	return n, err
}

// readHead reads the head of the next response, skipping informational ones (1xx).
func (c *conn) readHead(req *http.Request) (*http.Response, error) {
	c.input.left = MaxHeadSize
	defer func() { c.input.left = math.MaxInt64 }()
	for {
		resp, err := c.parseHead(req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("endpoint switched protocols without an upgrade request")
		}
	}
}

// Content is the body of a response, in the pieces in which it was received: joining them would take its
// memory twice.
type Content [][]byte

// Len returns the number of bytes.
func (b Content) Len() int {
	sum := 0
	for _, piece := range b {
		sum += len(piece)
	}
	return sum
}

// String returns all bytes.
func (b Content) String() string { return string(slices.Concat(b...)) }

// WriteTo writes all bytes.
func (b Content) WriteTo(w io.Writer) (written int64, err error) {
	for _, piece := range b {
		n, err := w.Write(piece)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// pieces holds unused pieces of the largest size. Those of large responses would otherwise be garbage faster
// than the collector runs.
var pieces = sync.Pool{New: func() any { return new([bodyChunk]byte) }}

// Free lets the memory be used for other responses. The content must not be used any more.
func (b Content) Free() {
	for _, piece := range b {
		if cap(piece) == bodyChunk {
			pieces.Put((*[bodyChunk]byte)(piece[:bodyChunk]))
		}
	}
}

func newPiece(size int) []byte {
	if size == bodyChunk {
		return pieces.Get().(*[bodyChunk]byte)[:0]
	}
	return make([]byte, 0, size)
}

// readBody reads the body of a response. Memory grows with the bytes that arrive, not with
// the stated length.
func (c *conn) readBody(resp *http.Response) (Content, error) {
	if resp.Body == http.NoBody {
		return nil, nil // also with a stated length, which is that of the response to a GET
	}
	if resp.ContentLength > maxBodySize {
		return nil, fmt.Errorf("response body of %d bytes is too large", resp.ContentLength)
	}
	c.memory.allowance += bodyAllowance
	var body Content
	err := c.readPieces(resp.Body, resp.ContentLength, &body)
	if err != nil {
		body.Free()
		return nil, err
	}
	return body, nil
}

// readPieces reads a body of a length, or of an unknown one (-1), into pieces that grow.
func (c *conn) readPieces(from io.Reader, length int64, body *Content) error {
	left := int64(maxBodySize) + 1 // one more byte, in which the excess is seen
	if length >= 0 {
		left = length
	}
	for next := int64(firstBodyChunk); left > 0; next = min(2*next, bodyChunk) {
		size := min(next, left)
		if err := c.hold(size); err != nil {
			return err
		}
		piece := newPiece(int(size))
		n, err := fill(from, piece[:size])
		*body, left = append(*body, piece[:n]), left-int64(n)
		switch {
		case err == io.EOF && length < 0:
			return nil
		case err != nil:
			return err
		}
	}
	if length < 0 {
		return errors.New("response body is too large")
	}
	return nil
}

// fill reads until p is full, and returns the error of the reader as it is: io.EOF is the end of the body only
// if the reader says so.
func fill(from io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var more int
		more, err = from.Read(p[n:])
		n += more
	}
	if n == len(p) && err == io.EOF {
		err = nil // the next read returns it again
	}
	return n, err
}

// readError returns a KindTimeout error if err is a timeout, KindMemory if there is no memory, else KindBroken.
func (c *conn) readError(err error) *Error {
	if errors.Is(err, errNoMemory) {
		return c.newError("read", KindMemory, err)
	}
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return c.newError("read", KindTimeout, err)
	}
	return c.newError("read", KindBroken, err)
}
