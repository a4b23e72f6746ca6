// Package exchange sends single requests to endpoints and returns complete
// responses. It implements HTTP/1.1 on its own persistent connections, since a
// request must never receive the response to another one and must not be retried
// implicitly. The types of messages are those of net/http.
//
// A response is matched to its request by the request's id. A response to another
// request is discarded, and its connection is not reused. Neither is a connection
// whose response was truncated, arrived before the request was sent completely, had
// no length, was followed by further bytes, or belongs to a request without an id.
// A response that violates the protocol is none, and one without a length is complete
// only if its request was written completely and no error ended the connection.
//
// # Usage
//
//	p := exchange.New(exchange.Options{HeaderNames: names})
//	resp, err := p.Do(ctx, exchange.Request{...})
//	if exchange.NotRun(err) { ... } // may be sent elsewhere
package exchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// HeaderNames holds the names of the headers that extend HTTP.
type HeaderNames struct {
	Request   string // id of a request, echoed in its response
	Deadline  string // time that the sender waits, in milliseconds
	Object    string // cookie with the object that a request concerns
	Endpoint  string // the endpoint that a request is meant for
	Signature string // proof that a response comes from the endpoint itself
	NotRun    string // set by an endpoint that did not run a request
	Outcome   string // set by a node on responses of its own; "": the receivers are no nodes
	Load      string // running and waiting requests and slots of an endpoint
	Limit     string // requests a second that an endpoint takes from all nodes together
	Leaving   string // set to 1 by an endpoint that is about to end
	Cold      string // remaining warm-up time of an endpoint, in milliseconds
	Instance  string // the endpoint that responds

	Organisation string // the organisation whose key the caller sent; set by nodes only
	KeyScheme    string // scheme of the callers' keys in the header Authorization
}

// Request is one request for one endpoint.
type Request struct {
	ID              string // "" if the caller gave none
	Method          string
	URI             string // path and query as received
	Host            string
	Header          http.Header // without hop-by-hop headers
	Body            Body
	Endpoint        inventory.EndpointID // "": any endpoint at the address
	Address         string
	Deadline        time.Time     // after which the request times out
	FreshConnection bool          // excludes connections that may have been closed while they were idle
	MaxConnections  int           // connections to the endpoint; 0: a default
	DialTimeout     time.Duration // timeout for opening a connection, up to a default; 0: the default
	ReplyTime       time.Duration // for the way back, subtracted from the time that the receiver is told
	Memory          Holder        // of the one that the response is meant for; nil: none
	MaySend         func() bool   // asked once there is a connection; nil: it may be sent
}

// Body is the body of a request. Length is in bytes, or -1 if it is unknown. Reader
// is nil if there is no body. Stop, if set, aborts a blocked read.
type Body struct {
	Reader io.Reader
	Length int64
	Stop   func()
}

// Response is the complete response of an endpoint.
type Response struct {
	Signals
	Status   int
	Header   http.Header // without hop-by-hop headers
	Body     Content
	Reused   bool          // the connection had been used before
	DialTime time.Duration // time to open the connection; 0 if it was reused
}

// Kind classifies an Error so that callers can branch on it.
type Kind string

// The kinds of failure.
const (
	KindUnreachable Kind = "unreached"   // no connection could be opened; nothing was sent
	KindConnLimit   Kind = "full"        // all connections to the endpoint are in use; nothing was sent
	KindWithdrawn   Kind = "withdrawn"   // MaySend did not allow it, or the time was up; nothing was sent
	KindUnsent      Kind = "unsent"      // the connection failed before anything was sent
	KindShed        Kind = "shed"        // the endpoint rejected the request without running it
	KindMisdirected Kind = "misplaced"   // another endpoint has the address and did not run the request
	KindBroken      Kind = "broken"      // the connection failed or the response is invalid; the request may have run
	KindTimeout     Kind = "timeout"     // no complete response in time; the request may have run
	KindCanceled    Kind = "unanswered"  // the caller canceled the request; it may have run
	KindAbandoned   Kind = "abandoned"   // the node gave up the exchange; the request may have run
	KindUnsigned    Kind = "unsigned"    // a success response without a signature; the request may have run
	KindConflicting Kind = "conflicting" // status and header disagree on whether the request ran; it may have run
	KindMemory      Kind = "memory"      // the node has no memory for the response; the request may have run
	KindCallerBody  Kind = "caller"      // the caller's body could not be read completely; the request may have run
)

// Error reports why a request got no valid response, and the state of its connection.
type Error struct {
	Signals  // of the response, if its head was read
	Op       string
	Kind     Kind
	Reused   bool          // the connection had been used before
	IdleTime time.Duration // for which the connection had been idle
	Length   int64         // of the body that the response states; 0: unknown
	Err      error
}

// Error formats the failure as "exchange: op: kind: cause".
func (e *Error) Error() string {
	if e.Err == nil {
		return "exchange: " + e.Op + ": " + string(e.Kind)
	}
	return "exchange: " + e.Op + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NotRun reports whether an error guarantees that the request did not run and will
// not run.
func NotRun(err error) bool {
	var e *Error
	if !errors.As(err, &e) {
		return false
	}
	switch e.Kind {
	case KindUnreachable, KindConnLimit, KindWithdrawn, KindUnsent, KindShed, KindMisdirected:
		return true
	}
	return false
}

// hopByHopHeaders are the headers that apply to one connection only.
var hopByHopHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Connection":    true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Expect":              true,
	"Content-Length":      true,
}

// Forwardable returns the headers without those that apply to one connection only.
func Forwardable(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if !hopByHopHeaders[name] {
			out[name] = values
		}
	}
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			delete(out, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return out
}

// Do sends a request and waits for its complete response, until ctx ends or the
// request's deadline passes. It fails with an *Error.
func (p *Pool) Do(ctx context.Context, r Request) (Response, error) {
	c, err := p.acquire(ctx, r)
	if err != nil {
		return Response{}, err
	}
	if !r.mayBeSent(ctx) {
		p.release(c, true)
		return Response{}, c.newError("send", KindWithdrawn, nil)
	}
	_ = c.SetDeadline(r.Deadline) // before AfterFunc, so that it doesn't undo an interrupt; fails only on a closed connection
	stop := context.AfterFunc(ctx, c.interrupt)
	resp, reusable, err := c.roundTrip(p.headerNames, r)
	interrupted := !stop()
	if err == nil {
		c.handOver()
	}
	// A response that leaves open whether the request ran is complete nevertheless.
	isSound := err == nil || isKind(err, KindConflicting)
	p.release(c, reusable && isSound && !interrupted)
	// A caller that has gone needs no further attempt, also if nothing had been sent.
	gone := errors.Is(context.Cause(ctx), context.Canceled) && isKind(err, KindUnsent)
	if gone || err != nil && ctx.Err() != nil && !isKind(err, KindCallerBody) && !NotRun(err) {
		failed := c.newError("exchange", contextKind(ctx), ctx.Err())
		failed.Signals = SignalsOf(err)
		return Response{}, failed
	}
	return resp, err
}

// mayBeSent reports whether a request may be sent now that there is a connection. If its time were
// up, the attempt to send it would look like one that may have arrived.
func (r Request) mayBeSent(ctx context.Context) bool {
	isLate := !r.Deadline.IsZero() && !time.Now().Before(r.Deadline)
	return ctx.Err() == nil && !isLate && (r.MaySend == nil || r.MaySend())
}

func isKind(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}

// contextKind returns KindTimeout if ctx has reached its deadline, else
// KindCanceled.
func contextKind(ctx context.Context) Kind {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return KindTimeout
	}
	return KindCanceled
}

// roundTrip writes a request and reads its response. reusable states whether the
// connection may carry another request.
func (c *conn) roundTrip(names HeaderNames, r Request) (response Response, reusable bool, err error) {
	c.output.sent, c.answered = 0, false
	written := make(chan error, 1)
	hasBody := r.Body.Reader != nil && r.Body.Length != 0
	if hasBody {
		go func() {
			err := c.writeRequest(names, r)
			written <- err // before the read ends, which is then due to this error
			if errors.Is(err, errRequestBody) {
				c.interrupt() // an incomplete request gets no response
			}
		}()
	} else {
		written <- c.writeRequest(names, r)
	}
	resp, body, stray, failed := c.readResponse(names, r)
	complete, writeErr := c.finishWrite(written, r.Body)
	if failed == nil && writeErr != nil && isDelimitedByClose(resp) {
		// The kernel reports a reset once. If the writer got the report, the reader saw a normal end.
		failed = c.newError("read", KindBroken, fmt.Errorf("the connection ended before the request was written: %w", writeErr))
	}
	if failed != nil {
		isBodyError := errors.Is(writeErr, errRequestBody)
		switch {
		case writeErr == nil:
		case isBodyError && !complete && failed.Kind != KindTimeout:
			// The endpoint ended the exchange, and finishWrite has aborted the caller's body.
		case isBodyError:
			failed = c.newError("send", KindCallerBody, writeErr)
		case c.output.sent == 0 && resp == nil: // a response to the request shows that it arrived
			failed = c.newError("send", KindUnsent, writeErr)
		}
		failed.Signals = readSignals(names, resp)
		if resp != nil {
			failed.Length = max(0, resp.ContentLength)
		}
		return Response{}, false, failed
	}
	c.answered = complete && writeErr == nil
	identified := r.ID != "" // otherwise a late second copy of the response would match the next such request
	reusable = complete && writeErr == nil && identified && !stray && !resp.Close && c.buffered() == 0 && c.isReusable(resp)
	response = Response{Status: resp.StatusCode, Header: Forwardable(resp.Header), Body: body, Signals: readSignals(names, resp), Reused: c.uses > 0}
	if !response.Reused {
		response.DialTime = c.dialTime
	}
	if failed := c.checkResponse(names, response); failed != nil {
		failed.Signals = response.Signals
		return Response{}, reusable, failed
	}
	return response, reusable, nil
}

// finishWrite reports whether the write of the request had ended before its response did. It
// aborts one that is still in progress: the endpoint would parse the rest of the body as the next
// request. err is nil only if all of the request was written.
func (c *conn) finishWrite(written chan error, b Body) (complete bool, err error) {
	select {
	case err := <-written:
		return true, err
	default:
	}
	c.interrupt()
	if b.Stop != nil {
		b.Stop()
	}
	return false, <-written
}

// checkResponse returns an error if the response states that the endpoint did not
// run the request, if it leaves open whether the endpoint did, or if a success is not signed.
func (c *conn) checkResponse(names HeaderNames, resp Response) *Error {
	statesNotRun := resp.Header.Get(names.NotRun) != ""
	switch {
	case isUnsigned(names, resp.Status, resp.Header):
		return c.newError("answer", KindUnsigned, nil)
	case names.Outcome != "" && resp.Header.Get(names.Outcome) != "":
		return nil // a node has decided
	case resp.Status == http.StatusMisdirectedRequest:
		return c.newError("answer", KindMisdirected, nil)
	case statesNotRun && meansRun(resp.Status):
		return c.newError("answer", KindConflicting, fmt.Errorf("status %d with %s", resp.Status, names.NotRun))
	case statesNotRun && resp.Status != http.StatusBadRequest:
		return c.newError("answer", KindShed, nil)
	case MeansNotRun(resp.Status):
		return c.newError("answer", KindConflicting, fmt.Errorf("status %d without %s", resp.Status, names.NotRun))
	}
	return nil
}

// MeansNotRun reports whether callers take a status for the promise that the request did not run and
// will not run.
func MeansNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// meansRun reports whether an endpoint responds with a status only to requests that it ran.
func meansRun(status int) bool {
	return status/100 == 2 || status == http.StatusInternalServerError || status == http.StatusGatewayTimeout
}

var errRequestBody = errors.New("request body of the caller ended early")

// writeRequest writes a request.
func (c *conn) writeRequest(names HeaderNames, r Request) error {
	w := c.writer
	head := fmt.Appendf(c.headBuffer[:0], "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	head = appendHeader(head, names, r)
	switch {
	case r.Body.Reader != nil && r.Body.Length < 0:
		head = append(head, "Transfer-Encoding: chunked\r\n"...)
	case r.Body.Reader != nil || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch:
		head = fmt.Appendf(head, "Content-Length: %d\r\n", r.Body.Length)
	}
	head = append(head, "\r\n"...)
	c.headBuffer = head
	if _, err := w.Write(head); err != nil {
		return err
	}
	if r.Body.Reader != nil {
		if err := writeBody(w, r.Body); err != nil {
			return err
		}
	}
	return w.Flush()
}

func appendHeader(head []byte, names HeaderNames, r Request) []byte {
	for name, values := range r.Header {
		if name == names.Deadline || name == names.Endpoint || name == names.Request || name == "Host" {
			continue
		}
		for _, v := range values {
			head = append(append(append(append(head, name...), ": "...), v...), "\r\n"...)
		}
	}
	if r.ID != "" {
		head = append(append(append(append(head, names.Request...), ": "...), r.ID...), "\r\n"...)
	}
	left := max(1, (time.Until(r.Deadline) - r.ReplyTime).Milliseconds())
	head = fmt.Appendf(head, "%s: %d\r\n", names.Deadline, left)
	if r.Endpoint != "" {
		head = fmt.Appendf(head, "%s: %s\r\n", names.Endpoint, r.Endpoint)
	}
	return head
}

// callerBody is the body of a caller, with the error that ended it. The error of a copy may be
// that of the connection, which net wraps in several ways.
type callerBody struct {
	io.Reader
	err error
}

// Read reads from the body.
func (b *callerBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != io.EOF {
		b.err = err
	}
	return n, err
}

// writeBody copies the caller's body. A body that is shorter than its stated length
// is an error, which ends the connection, so that the endpoint receives no complete
// request. Failures to read the body are marked with errRequestBody.
func writeBody(w *bufio.Writer, b Body) error {
	if b.Length < 0 {
		return writeChunks(w, b.Reader)
	}
	source := &callerBody{Reader: b.Reader}
	n, err := io.Copy(w, io.LimitReader(source, b.Length))
	switch {
	case source.err != nil:
		return errors.Join(errRequestBody, source.err)
	case err == nil && n < b.Length:
		return errors.Join(errRequestBody, io.ErrUnexpectedEOF)
	}
	return err
}

// writeChunks copies a body of unknown length.
func writeChunks(w *bufio.Writer, body io.Reader) error {
	buffer := make([]byte, 32<<10)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, werr := fmt.Fprintf(w, "%x\r\n%s\r\n", n, buffer[:n]); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			_, err = io.WriteString(w, "0\r\n\r\n")
			return err
		}
		if err != nil {
			return errors.Join(errRequestBody, err)
		}
	}
}
