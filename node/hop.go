package node

// One hop: sending a request to a target or to another node, and reading the
// whole answer. What matters here is to know whether anything was written.

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// onceBody is a body that net/http cannot send a second time. The transport
// repeats a request on a new connection when the old one breaks, if the method
// or an Idempotency-Key header suggests that it may; with a body that it cannot
// rewind it does not.
type onceBody struct{ io.Reader }

func (onceBody) Close() error { return nil }

// send passes a request on to url and returns the whole answer, or what is
// known of the failure.
func send(ctx context.Context, client *http.Client, url string, q *request) answer {
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	out, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), q.method, url, nil)
	if err != nil {
		return notRun(ReasonUnreachable, 0)
	}
	out.Header = q.header.Clone()
	out.Header.Set(HeaderTimeout, q.millisLeft())
	q.setBody(out)
	resp, err := client.Do(out)
	if err != nil {
		return sendFailure(ctx, err, connected.Load())
	}
	defer func() { _ = resp.Body.Close() }()
	return readAnswer(ctx, resp)
}

// setBody gives a request a body that is sent once. HTTP/1 takes an empty
// onceBody for one of unknown length, and sends it in chunks if the method
// usually has a body, which some targets do not read. There the request gets no
// body, and its Idempotency-Key a spelling that net/http does not look for.
func (q *request) setBody(out *http.Request) {
	out.ContentLength = int64(len(q.body))
	if len(q.body) > 0 || q.passed || !declaresLength(out.Method) {
		out.Body = onceBody{bytes.NewReader(q.body)}
		return
	}
	for _, name := range []string{HeaderKey, "X-Idempotency-Key"} {
		if values, ok := out.Header[name]; ok {
			delete(out.Header, name)
			out.Header[strings.ToLower(name)] = values
		}
	}
}

func declaresLength(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// millisLeft is the time that is left, rounded up so that it is never 0.
func (q *request) millisLeft() string {
	left := time.Until(q.deadline).Milliseconds()
	return strconv.FormatInt(max(left, 0)+1, 10)
}

// sendFailure judges a call that brought no answer. With no connection nothing
// was written, so the next hop cannot have run anything.
func sendFailure(ctx context.Context, err error, connected bool) answer {
	if !connected {
		if ctx.Err() != nil {
			return notRun(ReasonDeadline, 0)
		}
		return notRun(ReasonUnreachable, 0)
	}
	if ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded) {
		return unknown(ReasonDeadline)
	}
	return unknown(ReasonBroken)
}

// readAnswer reads the whole answer. net/http reports a body that is shorter
// than its declared length as an error.
func readAnswer(ctx context.Context, resp *http.Response) answer {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return unknown(ReasonBroken) // nobody asked for that
	}
	bare := isBare(resp.Request.Method, resp.StatusCode)
	if !bare && isUnframed(resp) {
		return unknown(ReasonUnframed)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswer+1))
	switch {
	case err != nil && ctx.Err() != nil:
		return unknown(ReasonDeadline)
	case err != nil:
		return unknown(ReasonBroken)
	case len(body) > MaxAnswer:
		return unknown(ReasonOversize)
	}
	return answer{outcome: OutcomeRan, status: resp.StatusCode, header: forwarded(resp.Header), body: body, bare: bare}
}

// isUnframed reports whether only the end of the connection ends the body, so
// that a whole one cannot be told from a truncated one.
func isUnframed(resp *http.Response) bool {
	return resp.ProtoMajor == 1 && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// fromTarget drops what only this system says.
func (a answer) fromTarget() answer {
	for _, h := range []string{HeaderOutcome, HeaderReason, HeaderToken, headerAfter} {
		a.header.Del(h)
	}
	return a
}

// isRefused reports whether an address refused a connection, which means that
// no process listens there.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
