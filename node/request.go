package node

// A caller's request as it travels through the system.

import (
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiwheel/wasabiwheel/booking"
	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// Bounds of what travels through a node, in bytes.
const (
	MaxRequest = 1 << 20  // body of a request
	MaxAnswer  = 4 << 20  // body of a target's answer
	maxHeader  = 64 << 10 // header of an answer
)

// servePrefix begins the path of each request for a service.
const servePrefix = "/serve/"

// request is one received request, read whole.
type request struct {
	service  inventory.Service
	method   string
	path     string // as the target sees it, with the query
	header   http.Header
	body     []byte
	deadline time.Time
	home     inventory.RegionID // of the caller
	key      *booking.Key       // nil: the operation is this one receipt
	once     bool               // may run at most once
	booked   bool               // this node keeps the record of the operation
	passed   bool               // it goes to another node
	handed   bool               // it came from another node
}

// hopHeaders are not passed on (RFC 9110, 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Expect", // the body is here already
}

// readRequest reads and checks a request. It fails with an *Error that carries
// the status for the caller.
func (n *Node) readRequest(w http.ResponseWriter, r *http.Request) (*request, *Error) {
	inv := n.config.Inventory()
	id, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), servePrefix), "/")
	service, ok := inv.Service(inventory.ServiceID(id))
	if !ok {
		return nil, badRequest(http.StatusNotFound, errors.Newf("no service %q", id))
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxRequest))
	if err != nil {
		return nil, badBody(err)
	}
	req := &request{
		service: service,
		method:  r.Method,
		path:    "/" + rest,
		header:  forwarded(r.Header),
		body:    body,
		home:    n.homeOf(inv, r.Header),
		once:    !service.IsIdempotent(r.Method, "/"+rest),
	}
	if r.URL.RawQuery != "" {
		req.path += "?" + r.URL.RawQuery
	}
	if err := req.readDeadline(r.Header.Get(HeaderTimeout)); err != nil {
		return nil, err
	}
	return req, req.readKey(strings.Join(r.Header.Values(HeaderKey), ", "))
}

// lifetime returns the context for serving a request. What may run at most once
// goes on when its sender has left, since its sender cannot tell whether it ran.
func (q *request) lifetime(sender context.Context) context.Context {
	if q.once {
		return context.WithoutCancel(sender)
	}
	return sender
}

func badRequest(status int, err error) *Error {
	return &Error{Op: "request", Kind: KindRequest, Status: status, Err: err}
}

func badBody(err error) *Error {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return badRequest(http.StatusRequestEntityTooLarge, errors.Newf("the body is larger than %d bytes", MaxRequest))
	}
	return badRequest(http.StatusBadRequest, err)
}

func (q *request) readDeadline(text string) *Error {
	limit := q.service.Deadline.Duration
	if text != "" {
		ms, err := strconv.ParseUint(text, 10, 31)
		if err != nil || ms == 0 {
			return badRequest(http.StatusBadRequest, errors.Newf("%s: %q is not a number of milliseconds", HeaderTimeout, text))
		}
		limit = min(limit, time.Duration(ms)*time.Millisecond)
	}
	q.deadline = time.Now().Add(limit)
	return nil
}

func (q *request) readKey(text string) *Error {
	if !q.once || text == "" {
		return nil
	}
	key, err := booking.ParseKey(text)
	if err != nil {
		return badRequest(http.StatusBadRequest, err)
	}
	q.key = &key
	return nil
}

// homeOf is the region whose traffic a request belongs to.
func (n *Node) homeOf(inv *inventory.Inventory, h http.Header) inventory.RegionID {
	if r := inv.BlockRegion(inventory.BlockID(h.Get(HeaderBlock))); r != "" {
		return r
	}
	for _, r := range inv.Regions {
		if string(r.ID) == h.Get(HeaderRegion) {
			return r.ID
		}
	}
	return inv.RegionOf(n.settings.Domain)
}

// forwarded copies the headers that are passed on.
func forwarded(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range strings.Split(strings.Join(h["Connection"], ","), ",") {
		out.Del(strings.TrimSpace(name))
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// digest identifies the content of a request.
func (q *request) digest() booking.Digest {
	h := sha256.New()
	for _, part := range []string{string(q.service.ID), q.method, q.path} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(q.body)
	return booking.Digest(h.Sum(nil))
}
