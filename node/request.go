package node

// A request as it comes from a caller.

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiwheel/wasabiwheel/endpoint"
	"github.com/wasabiwheel/wasabiwheel/exchange"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/route"
)

// request is a caller's request with the route it is on.
type request struct {
	id       string
	route    *route.Route
	version  inventory.Version // of the configuration that the route is from
	service  inventory.ServiceID
	object   endpoint.Object
	seed     uint64
	method   string
	uri      string
	host     string
	header   http.Header
	body     []byte
	rest     io.Reader // of a body that is too long to be kept; nil: none
	upload   *upload   // on which the body comes
	length   int64     // of the whole body, -1 if not known
	began    time.Time
	deadline time.Time // when the caller or the route gives up

	attempts []attempt
	refused  *attempt            // the endpoint that would have been tried, had the request not been refused
	takes    time.Duration       // what it would have taken there
	bound    time.Duration       // and what it might
	excluded endpoint.Exclusions // why others were not, if there was none to try
}

// attempt is one endpoint that was tried, for the log.
type attempt struct {
	endpoint inventory.EndpointID
	result   string
	cause    string // of a failure, as the network or the protocol tells it
	rank     int
	warm     bool
	cold     bool
	busy     float64
	wait     time.Duration // expected
	run      time.Duration // expected
	took     time.Duration
}

// attemptAt describes a choice with what came of it.
func attemptAt(c endpoint.Choice, result string, took time.Duration) attempt {
	return attempt{
		endpoint: c.Endpoint.ID, result: result, rank: c.Rank, warm: c.Warm, cold: c.Cold,
		busy: c.Busy, wait: c.Wait, run: c.Run, took: took,
	}
}

// decode reads a request's terms. The route has been found before.
func (n *Node) decode(w http.ResponseWriter, r *http.Request, at *route.Route, version inventory.Version, now time.Time) *request {
	q := &request{
		id:       r.Header.Get(n.dialect.Request),
		route:    at,
		version:  version,
		service:  at.Next(),
		method:   r.Method,
		uri:      r.RequestURI,
		host:     r.Host,
		header:   exchange.Forwardable(r.Header),
		began:    now,
		deadline: now.Add(at.Timeout.Duration),
		length:   r.ContentLength,
		upload:   &upload{conn: http.NewResponseController(w)},
	}
	if left, ok := milliseconds(r.Header.Get(n.dialect.Deadline)); ok && left < at.Timeout.Duration {
		q.deadline = now.Add(left)
	}
	q.seed = xxhash.Sum64String(q.id)
	if at.Sticky {
		if c, err := r.Cookie(n.dialect.Object); err == nil {
			q.object = objectOf(at.ID, c.Value)
		}
	}
	return q
}

// objectOf hashes an object of a route. 0 stands for none.
func objectOf(id inventory.RouteID, value string) endpoint.Object {
	return endpoint.Object(max(1, xxhash.Sum64String(string(id)+"\x00"+value)))
}

// milliseconds reads a header with a number of milliseconds.
func milliseconds(text string) (time.Duration, bool) {
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 0 || ms > time.Hour.Milliseconds() {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// left is the time until the caller or the route gives up.
func (q *request) left(now time.Time) time.Duration { return q.deadline.Sub(now) }

// context returns the context of an attempt. A request that may run once goes on
// when its caller has left: nobody could tell whether it ran.
func (q *request) context(ctx context.Context) (context.Context, context.CancelFunc) {
	if !q.route.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithDeadline(ctx, q.deadline)
}

func (q *request) tried() []inventory.EndpointID {
	var ids []inventory.EndpointID
	for _, a := range q.attempts {
		ids = append(ids, a.endpoint)
	}
	return ids
}
