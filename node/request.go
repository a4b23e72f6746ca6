package node

// A request from a caller.

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiwheel/wasabiwheel/endpoint"
	"github.com/wasabiwheel/wasabiwheel/exchange"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/quarantine"
	"github.com/wasabiwheel/wasabiwheel/quota"
	"github.com/wasabiwheel/wasabiwheel/route"
)

// request is a caller's request with its route.
type request struct {
	id         string
	route      *route.Route
	version    inventory.Version // of the configuration that contains the route
	service    inventory.ServiceID
	object     endpoint.Object
	seed       uint64
	method     string
	uri        string
	host       string
	header     http.Header
	buffered   []byte
	unbuffered io.Reader    // the rest of a body that exceeds maxBufferedBody; nil: none
	upload     *upload      // the connection that carries the body
	length     int64        // of the whole body in bytes, -1 if unknown
	conn       *countedConn // that it came on; nil: not counted
	taken      int64        // bytes of memory that are counted for buffered
	memory     *responseMemory
	received   time.Time
	deadline   time.Time // the earlier of the caller's and the route's

	forwarded     *forwardedRequest // what the node says that sent it; nil: it comes from a caller
	unhelped      bool              // no other node could serve it
	counted       bool              // in the retry budget
	sent          int               // attempts in which it may have reached an endpoint
	decided       bool              // admission has decided on it before
	attempts      []attempt
	authorization []string                // the caller's, for other nodes; nil: no key is required
	organisation  *inventory.Organisation // of the caller's key; nil: none
	key           string                  // of the organisation; secret
	unproven      bool                    // this node could not check the key when the request was to be sent
	charge        quota.Charge            // to the organisation's limit
	isCharged     bool                    // here, or at the node that forwarded it
	handedOver    bool                    // to another node, which may have sent it
	keyProblem    string                  // why the key was not accepted; "": it was
	priority      inventory.Priority      // of the organisation or the route
	homes         []inventory.RegionID    // regions that may serve it; empty: all
	remote        string                  // address of the caller
	isolated      bool                    // it probably crashes the endpoint that runs it
	stale         bool                    // the connection of the last attempt had been closed before, by all appearances
	probing       bool                    // a judge has granted its next attempt
	crashes       int                     // endpoints that crashed while they ran it
	fingerprint   string                  // of a request in quarantine
	deniedPermits int                     // permits that the request asked for in vain
	refused       *attempt                // the best endpoint, if the request was rejected as late
	expectedTime  time.Duration           // expected time there
	allowedTime   time.Duration           // the longest time that admission allows
	excluded      endpoint.Exclusions     // why endpoints were excluded, if none was available
}

// attempt is an attempt of a request at an endpoint, for the log.
type attempt struct {
	endpoint     inventory.EndpointID
	region       inventory.RegionID // of the endpoint; "": another node was asked
	domain       inventory.DomainID
	moved        endpoint.Move
	result       string
	cause        string // network or protocol error
	rank         int
	warm         bool
	cold         bool
	busy         float64
	expectedWait time.Duration // for a slot
	expectedRun  time.Duration // of transfer and work
	took         time.Duration
	repeatable   bool // the request may be sent to the endpoint again
	hedge        bool // the attempt before was late, and under way
}

// newAttempt returns the log entry of an attempt at a chosen endpoint.
func newAttempt(c endpoint.Choice, result string, took time.Duration) attempt {
	return attempt{
		endpoint: c.Endpoint.ID, region: c.Region, domain: c.Endpoint.Domain, moved: c.Moved, result: result, rank: c.Rank, warm: c.Warm, cold: c.Cold,
		busy: c.Requests, expectedWait: c.Wait, expectedRun: c.Run, took: took,
	}
}

// newRequest reads a request's headers. The route has been matched before.
func (n *Node) newRequest(w http.ResponseWriter, r *http.Request, matched *route.Route, version inventory.Version, now time.Time) *request {
	req := &request{
		id:       r.Header.Get(n.headerNames.Request),
		route:    matched,
		version:  version,
		service:  matched.Next(),
		method:   r.Method,
		uri:      r.RequestURI,
		host:     r.Host,
		header:   exchange.Forwardable(r.Header),
		remote:   r.RemoteAddr,
		received: now,
		deadline: now.Add(matched.Timeout.Duration),
		length:   r.ContentLength,
		upload:   &upload{conn: http.NewResponseController(w)},
		conn:     connectionOf(r.Context()),
	}
	req.memory = &responseMemory{conn: req.conn}
	if left, ok := parseMilliseconds(r.Header.Get(n.headerNames.Deadline)); ok && left < matched.Timeout.Duration {
		req.deadline = now.Add(left)
	}
	req.seed = xxhash.Sum64String(req.id)
	if matched.Sticky {
		if c, err := r.Cookie(n.headerNames.Object); err == nil {
			req.object = hashObject(matched.ID, c.Value)
		}
	}
	return req
}

// hashObject returns the hash of an object within a route. 0 is reserved for no object.
func hashObject(id inventory.RouteID, value string) endpoint.Object {
	return endpoint.Object(max(1, xxhash.Sum64String(string(id)+"\x00"+value)))
}

// parseMilliseconds parses a header value in milliseconds, from 0 to one hour.
func parseMilliseconds(text string) (time.Duration, bool) {
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 0 || ms > time.Hour.Milliseconds() {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// remaining returns the time until the deadline.
func (req *request) remaining(now time.Time) time.Duration { return req.deadline.Sub(now) }

// context returns the context of an attempt. A non-idempotent request continues after
// its caller has disconnected: if it were canceled, its outcome would be unknown.
func (req *request) context(ctx context.Context) (context.Context, context.CancelFunc) {
	if !req.route.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithDeadline(ctx, req.deadline)
}

// headerAuthorization is the header with the credentials of a caller.
const headerAuthorization = "Authorization"

// identity returns what makes another request the same one.
func (req *request) identity() quarantine.Request {
	return quarantine.Request{Method: req.method, Route: req.route.ID, URI: req.uri, Credentials: req.credentials(), Body: req.buffered, Length: req.length}
}

// hasBroken reports whether the connection of an attempt broke before the response was complete.
func (req *request) hasBroken() bool {
	return slices.ContainsFunc(req.attempts, func(a attempt) bool { return a.result == string(exchange.KindBroken) })
}

// triedEndpoints returns the endpoints to which the request may not be sent again.
func (req *request) triedEndpoints() []inventory.EndpointID {
	var ids []inventory.EndpointID
	for _, a := range req.attempts {
		if !a.repeatable {
			ids = append(ids, a.endpoint)
		}
	}
	return ids
}

// unreached returns the number of endpoints that could not be reached for the request.
func (req *request) unreached() int {
	count := 0
	for _, a := range req.attempts {
		if a.result == string(exchange.KindUnreachable) {
			count++
		}
	}
	return count
}
