// Package caller is the client library for callers. It looks up the entry VMs at a
// node, caches the result for its TTL, sends requests to an entry VM, and fails over
// to another one if the connection breaks.
//
// A request that is not idempotent is retried at another entry VM only if nothing
// of it was sent. A request with the outcome "not-run" is not retried;
// Reply.RetryAfter is the delay after which the caller may retry it.
//
// # Usage
//
//	c := caller.New(caller.Options{Nodes: []string{"127.0.0.1:7001"}, Region: "norte"})
//	r, err := c.Call(ctx, caller.Operation{Method: "GET", Path: "/catalogue/7", Idempotent: true})
//	if err == nil && r.Outcome == caller.OutcomeRan {
//		use(r.Body)
//	}
package caller

import (
	"bytes"
	"context"
	cryptorand "crypto/rand"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiwheel/wasabiwheel/exchange"
	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// Bounds of a client.
const (
	lookupTimeout = time.Second
	avoidFor      = 10 * time.Second // for which a failed address is tried last
	maxAttempts   = 3                // entry VMs for one operation
	maxReply      = 16 << 20         // bytes; the largest response of an endpoint that entry VMs forward
	maxRetryAfter = 1e6              // seconds; more is taken for a mistake, and may not fit a time.Duration
)

// Options configures a Client. Nodes is required.
type Options struct {
	Nodes  []string // lookup addresses of nodes, tried in order
	Region inventory.RegionID
	Domain inventory.DomainID
	HTTP   *http.Client // nil: http.DefaultClient
	Key    string       // of the caller's organisation; "": none
}

// Operation is a request of a caller.
type Operation struct {
	ID         string // id of the request; "": a new one for each attempt
	Host       string // "": the address of the entry VM
	Method     string
	Path       string // with a leading slash
	Body       []byte
	Object     string        // object that the request concerns; "": none
	Timeout    time.Duration // 0: the timeout of the route
	Idempotent bool          // may run more than once
}

// Reply is the result of an operation.
type Reply struct {
	Outcome    Outcome
	Reason     Reason
	Status     int
	Header     http.Header
	Body       []byte
	RetryAfter time.Duration // delay before a retry, if the outcome is not "ran"
	Entry      string        // address of the entry VM
	RequestID  string        // id of the request
	Attempts   int
}

// Client sends the requests of one caller. It is safe for concurrent use.
type Client struct {
	opts Options

	mu          sync.Mutex
	entries     []string // entry VMs of the last lookup
	expiresAt   time.Time
	failedUntil map[string]time.Time // until when an address is tried last
}

// New returns a client. It does no I/O.
func New(o Options) *Client {
	if o.HTTP == nil {
		o.HTTP = http.DefaultClient
	}
	return &Client{opts: o, failedUntil: map[string]time.Time{}}
}

// Lookup returns the addresses of the entry VMs to use, from the cache until it
// expires. It fails with KindLookup.
func (c *Client) Lookup(ctx context.Context) ([]string, error) {
	if entries, ok := c.cachedEntries(); ok {
		return entries, nil
	}
	last := errors.New("no node is configured")
	for _, address := range c.prioritize(c.opts.Nodes) {
		found, err := c.lookupAt(ctx, address)
		if err == nil {
			c.store(found) // in a random order, so that callers use all of them
			return c.prioritize(found.Entries), nil
		}
		last = err
		if ctx.Err() != nil {
			break // the caller gave up, which says nothing about the address
		}
		c.markFailed(address)
	}
	return nil, &Error{Op: "lookup", Kind: KindLookup, Err: last}
}

// cachedEntries returns the entry VMs of the last lookup, and whether they are still
// valid.
func (c *Client) cachedEntries() ([]string, bool) {
	c.mu.Lock()
	entries, fresh := c.entries, time.Now().Before(c.expiresAt)
	c.mu.Unlock()
	return c.prioritize(entries), fresh
}

// store caches the result of a lookup in a random order.
func (c *Client) store(found LookupResponse) {
	rand.Shuffle(len(found.Entries), func(i, j int) {
		found.Entries[i], found.Entries[j] = found.Entries[j], found.Entries[i]
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries = found.Entries
	c.expiresAt = time.Now().Add(time.Duration(found.TTL * float64(time.Second)))
}

// prioritize moves the addresses that failed recently to the end.
func (c *Client) prioritize(addresses []string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var healthy, failed []string
	for _, a := range addresses {
		if now.Before(c.failedUntil[a]) {
			failed = append(failed, a)
			continue
		}
		healthy = append(healthy, a)
	}
	return slices.Concat(healthy, failed)
}

// markFailed records a failed address and invalidates the cache, so that the next
// call does a lookup.
func (c *Client) markFailed(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failedUntil[address] = time.Now().Add(avoidFor)
	c.expiresAt = time.Time{}
}

func (c *Client) lookupAt(ctx context.Context, address string) (LookupResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	query := url.Values{"region": {string(c.opts.Region)}, "domain": {string(c.opts.Domain)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+PathLookup+"?"+query.Encode(), nil)
	if err != nil {
		return LookupResponse{}, err
	}
	resp, err := c.opts.HTTP.Do(req)
	if err != nil {
		return LookupResponse{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return LookupResponse{}, errors.Newf("%s: %s", address, resp.Status)
	}
	data, err := readReply(resp)
	if err != nil {
		return LookupResponse{}, err
	}
	var found LookupResponse
	err = json.Unmarshal(data, &found)
	if err == nil && len(found.Entries) == 0 {
		err = errors.Newf("%s returned no entry VM", address)
	}
	return found, err
}

// Call executes an operation. It fails with KindLookup if nothing was sent, or with
// KindNoAnswer if no entry VM returned a complete response and the operation may
// have run.
func (c *Client) Call(ctx context.Context, op Operation) (Reply, error) {
	entries, err := c.Lookup(ctx)
	if err != nil {
		return Reply{}, err
	}
	var last error
	for i, address := range entries[:min(maxAttempts, len(entries))] {
		r, err := c.CallAt(ctx, address, op)
		if err == nil {
			r.Attempts = i + 1
			return r, nil
		}
		last = err
		if ctx.Err() != nil {
			break // the caller gave up, which says nothing about the address
		}
		c.markFailed(address)
		if !op.Idempotent && !IsUnsent(err) {
			break
		}
	}
	return Reply{}, &Error{Op: "call", Kind: KindNoAnswer, Err: last}
}

// IsUnsent reports whether err means that no connection was established, so that
// nothing was sent.
func IsUnsent(err error) bool {
	var e *net.OpError
	return errors.As(err, &e) && e.Op == "dial"
}

// CallAt sends an operation once to the entry VM at address. It fails with the error
// of the connection if there is no complete response.
func (c *Client) CallAt(ctx context.Context, address string, op Operation) (Reply, error) {
	req, err := http.NewRequestWithContext(ctx, op.Method, "http://"+address+op.Path, bodyOf(op))
	if err != nil {
		return Reply{}, err
	}
	req.ContentLength = int64(len(op.Body))
	id := op.ID
	if id == "" {
		id = cryptorand.Text()
	}
	req.Host = op.Host
	setHeaders(req, op, id)
	if c.opts.Key != "" {
		req.Header.Set("Authorization", Headers.KeyScheme+" "+c.opts.Key)
	}
	resp, err := c.opts.HTTP.Do(req)
	if err != nil {
		return Reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := readReply(resp)
	if err != nil {
		return Reply{}, err
	}
	r := Reply{Status: resp.StatusCode, Header: resp.Header, Body: data, Entry: address, RequestID: id}
	r.readOutcome()
	return r, nil
}

// readReply reads the body of a response. Entry VMs state its length; without one, net/http takes a
// body for complete whose connection was reset while the request was being written.
func readReply(resp *http.Response) ([]byte, error) {
	if err := exchange.CheckHead(resp); err != nil {
		return nil, err
	}
	if resp.Body != http.NoBody && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !resp.Uncompressed {
		return nil, errors.New("response without a length")
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReply+1))
	if err == nil && len(data) > maxReply {
		err = errors.Newf("response of more than %d bytes", maxReply)
	}
	return data, err
}

// unseekable is a request body that net/http can't rewind.
type unseekable struct{ io.Reader }

// bodyOf returns a body that keeps net/http from retrying the request by itself when
// a reused connection breaks. Methods that usually have no body need one, too:
// net/http retries any of them that has none.
func bodyOf(op Operation) io.Reader {
	switch op.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return unseekable{bytes.NewReader(op.Body)}
	}
	if len(op.Body) == 0 {
		return nil
	}
	return unseekable{bytes.NewReader(op.Body)}
}

// setHeaders sets the protocol headers and the object cookie of a request.
func setHeaders(req *http.Request, op Operation, id string) {
	req.Header.Set(Headers.Request, id)
	if op.Object != "" {
		req.AddCookie(&http.Cookie{Name: Headers.Object, Value: op.Object})
	}
	if op.Timeout > 0 {
		req.Header.Set(Headers.Deadline, strconv.FormatInt(op.Timeout.Milliseconds(), 10))
	}
}

// readOutcome reads the outcome headers that nodes set. A response without them comes
// from an endpoint, so the request ran; behind a status that means that it did not, nobody has stated
// that.
func (r *Reply) readOutcome() {
	r.Outcome = Outcome(r.Header.Get(HeaderOutcome))
	switch {
	case r.Outcome == "" && exchange.MeansNotRun(r.Status):
		r.Outcome, r.Reason = OutcomeUnknown, Reason(exchange.KindConflicting)
		return
	case r.Outcome == "":
		r.Outcome = OutcomeRan
		return
	}
	r.Reason = Reason(r.Header.Get(HeaderReason))
	if seconds, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64); err == nil && seconds >= 0 && seconds < maxRetryAfter {
		r.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
}
