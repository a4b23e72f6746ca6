// Package caller is the callers' side of the system: it asks any node which
// entry VMs to use, keeps the answer for as long as it may, sends requests
// there, and goes on to the next entry VM when one breaks off.
//
// An operation that may run at most once gets a key from the look-up's token.
// The same key goes to every entry VM that is tried, so that a repeat cannot
// run it again. A request that was answered "not run" is not sent again; Reply
// says when to come back.
//
// # Usage
//
//	c := caller.New(caller.Options{Nodes: []string{"127.0.0.1:7000"}, Block: "desk-1"})
//	r, err := c.Call(ctx, caller.Operation{Service: "reservations", Method: "POST", Path: "/lamps/7", Once: true})
//	if err == nil && r.Outcome == caller.OutcomeRan {
//		use(r.Body)
//	}
package caller

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/lookup"
)

// Bounds of a client.
const (
	lookupTimeout = time.Second
	avoidTime     = 10 * time.Second
	maxTries      = 3       // entry VMs for one operation
	maxReply      = 8 << 20 // bytes
)

// Options configures a Client. Nodes is required.
type Options struct {
	Nodes  []string // caller addresses of nodes to ask, in order
	Block  inventory.BlockID
	Region inventory.RegionID
	HTTP   *http.Client // nil: http.DefaultClient
}

// Operation is what a caller wants done.
type Operation struct {
	Service inventory.ServiceID
	Method  string
	Path    string // with a leading slash
	Body    []byte
	Timeout time.Duration // 0: the service's deadline
	Once    bool          // may run at most once
}

// Reply is what became of an operation.
type Reply struct {
	Outcome Outcome
	Reason  Reason
	Status  int
	Header  http.Header
	Body    []byte
	After   time.Duration // when to come back, with an outcome other than "ran"
	Entry   inventory.EntryID
	Key     string
	Tries   int
}

// Client is one caller. It is safe for concurrent use.
type Client struct {
	options Options

	mu    sync.Mutex
	known map[inventory.ServiceID]cached
	// silent holds the nodes that did not answer, by address, and until when
	// others are asked before them.
	silent map[string]time.Time
}

// cached is a look-up's answer and the time until which it may be used.
type cached struct {
	answer lookup.Answer
	until  time.Time
}

// New returns a client that has asked nothing yet.
func New(o Options) *Client {
	if o.HTTP == nil {
		o.HTTP = http.DefaultClient
	}
	return &Client{options: o, known: map[inventory.ServiceID]cached{}, silent: map[string]time.Time{}}
}

// Lookup returns the entry VMs to use for a service, from the cache while that
// is allowed. It fails with KindLookup or KindRefused.
func (c *Client) Lookup(ctx context.Context, service inventory.ServiceID) (lookup.Answer, error) {
	if a, ok := c.cachedAnswer(service); ok {
		return a, nil
	}
	last := errors.New("no node to ask")
	for _, address := range c.ask(service) {
		a, err := c.lookupAt(ctx, address, service)
		if err == nil {
			c.keep(service, a)
			return a, nil
		}
		var refused *Error
		if errors.As(err, &refused) {
			return lookup.Answer{}, refused // any other node would say the same
		}
		c.avoid(address)
		last = err
	}
	return lookup.Answer{}, &Error{Op: "lookup", Kind: KindLookup, Err: last}
}

func (c *Client) cachedAnswer(service inventory.ServiceID) (lookup.Answer, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k, ok := c.known[service]
	return k.answer, ok && time.Now().Before(k.until)
}

func (c *Client) keep(service inventory.ServiceID, a lookup.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ttl := time.Duration(a.TTL * float64(time.Second))
	c.known[service] = cached{answer: a, until: time.Now().Add(ttl)}
}

// forget drops an answer whose entry VM broke off. Its addresses stay known as
// nodes to ask.
func (c *Client) forget(service inventory.ServiceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.known[service]
	k.until = time.Time{}
	c.known[service] = k
}

// ask lists the nodes to ask: those of the last answer, then the configured,
// and behind all others those that did not answer lately.
func (c *Client) ask(service inventory.ServiceID) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []string
	for _, e := range c.known[service].answer.Entries {
		all = append(all, e.Address)
	}
	all = append(all, c.options.Nodes...)
	now := time.Now()
	slices.SortStableFunc(all, func(a, b string) int { return compareBool(now.Before(c.silent[a]), now.Before(c.silent[b])) })
	return all
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// avoid notes a node that did not answer.
func (c *Client) avoid(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent[address] = time.Now().Add(avoidTime)
}

func (c *Client) lookupAt(ctx context.Context, address string, service inventory.ServiceID) (lookup.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	query := url.Values{"service": {string(service)}, "block": {string(c.options.Block)}, "region": {string(c.options.Region)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/lookup?"+query.Encode(), nil)
	if err != nil {
		return lookup.Answer{}, err
	}
	resp, err := c.options.HTTP.Do(req)
	if err != nil {
		return lookup.Answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return lookup.Answer{}, refusedLookup(address, resp)
	}
	var a lookup.Answer
	err = json.NewDecoder(io.LimitReader(resp.Body, maxReply)).Decode(&a)
	if err == nil && len(a.Entries) == 0 {
		err = errors.Newf("%s names no entry VM", address)
	}
	return a, err
}

// refusedLookup reads the refusal of a node that knows no entry VM for the
// caller now. Other answers than that are plain errors.
func refusedLookup(address string, resp *http.Response) error {
	err := errors.Newf("%s: %s", address, resp.Status)
	r := Reply{Status: resp.StatusCode, Header: resp.Header}
	r.readOutcome(resp.Header)
	if r.Outcome != OutcomeNotRun {
		return err
	}
	return &Error{Op: "lookup", Kind: KindRefused, Refusal: r, Err: err}
}

// Call has an operation done. A refused look-up is a reply "not run". It fails with KindLookup, when nothing was sent,
// or KindBroken, when no entry VM gave a whole answer and the operation may
// have run.
func (c *Client) Call(ctx context.Context, op Operation) (Reply, error) {
	a, err := c.Lookup(ctx, op.Service)
	var refused *Error
	if errors.As(err, &refused) && refused.Kind == KindRefused {
		return refused.Refusal, nil
	}
	if err != nil {
		return Reply{}, err
	}
	key := ""
	if op.Once {
		key = a.Entries[0].Token + "~" + rand.Text()
	}
	var last error
	for i, e := range a.Entries[:min(maxTries, len(a.Entries))] {
		r, err := c.callAt(ctx, e, op, key)
		if err == nil {
			r.Tries = i + 1
			return r, nil
		}
		last = err
		c.forget(op.Service)
		c.avoid(e.Address)
		if ctx.Err() != nil {
			break
		}
	}
	return Reply{Key: key}, &Error{Op: "call", Kind: KindBroken, Err: last}
}

func (c *Client) callAt(ctx context.Context, e lookup.Entry, op Operation, key string) (Reply, error) {
	address := "http://" + e.Address + "/serve/" + string(op.Service) + op.Path
	req, err := http.NewRequestWithContext(ctx, op.Method, address, bytes.NewReader(op.Body))
	if err != nil {
		return Reply{}, err
	}
	c.setHeader(req.Header, op, key)
	resp, err := c.options.HTTP.Do(req)
	if err != nil {
		return Reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return Reply{}, err
	}
	r := Reply{Status: resp.StatusCode, Header: resp.Header, Body: body, Entry: e.ID, Key: key}
	r.readOutcome(resp.Header)
	return r, nil
}

func (c *Client) setHeader(h http.Header, op Operation, key string) {
	h.Set(HeaderBlock, string(c.options.Block))
	if c.options.Region != "" {
		h.Set(HeaderRegion, string(c.options.Region))
	}
	if key != "" {
		h.Set(HeaderKey, key)
	}
	if op.Timeout > 0 {
		h.Set(HeaderTimeout, strconv.FormatInt(op.Timeout.Milliseconds(), 10))
	}
}

// readOutcome reads what the system says of a request; a target's own answer
// carries no outcome.
func (r *Reply) readOutcome(h http.Header) {
	r.Outcome = Outcome(h.Get(HeaderOutcome))
	if r.Outcome == "" {
		r.Outcome = OutcomeRan
		return
	}
	r.Reason = Reason(h.Get(HeaderReason))
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err == nil {
		r.After = time.Duration(seconds) * time.Second
	}
}
