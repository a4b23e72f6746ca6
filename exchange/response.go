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
func (c *conn) readResponse(names HeaderNames, r Request) (resp *http.Response, body []byte, stray bool, failed *Error) {
	req := &http.Request{Method: r.Method}
	for range maxStrayResponses {
		c.begin()
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

// readBody reads the body of a response. Memory grows with the bytes that arrive, not with
// the stated length.
func (c *conn) readBody(resp *http.Response) ([]byte, error) {
	if resp.Body == http.NoBody {
		return nil, nil // also with a stated length, which is that of the response to a GET
	}
	length := resp.ContentLength
	if length > maxBodySize {
		return nil, fmt.Errorf("response body of %d bytes is too large", length)
	}
	c.memory.allowance += bodyAllowance
	if length < 0 || length > bodyChunk {
		return c.readChunks(resp.Body)
	}
	first := make([]byte, min(length, firstBodyChunk))
	if err := c.hold(int64(len(first))); err != nil {
		return nil, err
	}
	if _, err := io.ReadFull(resp.Body, first); err != nil || int64(len(first)) == length {
		return first, err
	}
	if err := c.hold(length); err != nil {
		return nil, err
	}
	body := make([]byte, length)
	_, err := io.ReadFull(resp.Body, body[copy(body, first):])
	return body, err
}

// readChunks reads a long body, or one of unknown length.
func (c *conn) readChunks(body io.Reader) ([]byte, error) {
	var chunks [][]byte
	size, next := 0, firstBodyChunk
	for {
		if err := c.hold(int64(next)); err != nil {
			return nil, err
		}
		chunk := make([]byte, 0, next)
		for len(chunk) < cap(chunk) {
			n, err := body.Read(chunk[len(chunk):cap(chunk)])
			chunk, size = chunk[:len(chunk)+n], size+n
			switch {
			case err == io.EOF:
				return slices.Concat(append(chunks, chunk)...), nil
			case err != nil:
				return nil, err
			case size > maxBodySize:
				return nil, errors.New("response body is too large")
			}
		}
		chunks = append(chunks, chunk)
		next = min(2*next, bodyChunk)
	}
}

// readError returns a KindTimeout error if err is a timeout, else KindBroken.
func (c *conn) readError(err error) *Error {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return c.newError("read", KindTimeout, err)
	}
	return c.newError("read", KindBroken, err)
}
