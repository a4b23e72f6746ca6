package experiment

// Baselines: simple entry VMs that pick an endpoint by delayed load reports, by
// hashing, or at random.

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiwheel/wasabiwheel/caller"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/lookup"
	"github.com/wasabiwheel/wasabiwheel/node"
	"github.com/wasabiwheel/wasabiwheel/route"
)

// Bounds of a baseline.
const (
	reportInterval = 500 * time.Millisecond
	maxAttempts    = 3
	maxBody        = 1 << 20 // bytes
)

// picker picks one of the endpoints that are considered available.
type picker func(b *baseline, req request, candidates []inventory.Endpoint) inventory.Endpoint

// request is a request that an entry VM of a baseline or the oracle forwards.
type request struct {
	route    inventory.Route
	id       string
	method   string
	path     string
	object   string
	body     []byte
	deadline time.Time
}

func (req request) service() inventory.ServiceID { return req.route.TrafficSplit[0].Service }

// result is the response of an endpoint to a request. Status 0 means no response.
type result struct {
	status int
	body   []byte
	sent   bool // part of the request may have been sent
}

// baseline is a set of simple entry VMs that share load reports.
type baseline struct {
	r    *run
	pick picker

	mu      sync.Mutex
	random  *rand.Rand
	reports map[inventory.EndpointID]int
}

// startBaseline returns a function that starts a baseline with a picker.
func startBaseline(pick picker) func(ctx context.Context, r *run) error {
	return func(_ context.Context, r *run) error {
		b := &baseline{
			r:       r,
			pick:    pick,
			random:  rand.New(rand.NewPCG(r.random.Uint64(), r.random.Uint64())),
			reports: map[inventory.EndpointID]int{},
		}
		r.tasks.Go(b.pollReports)
		return r.serveEntries(b.serve)
	}
}

// serveEntries starts servers for requests and lookups on all entry VMs. Lookups
// exclude isolated entry VMs immediately.
func (r *run) serveEntries(serve func(inventory.Entry, *http.Client, request) result) error {
	routes := route.New(r.inv.Configuration(1))
	for _, e := range r.inv.Entries {
		client := r.newClient(hostOf(e.Peer))
		lookups := http.NewServeMux()
		node.NativeProtocol{}.Lookup(lookups, r.answerLookup)
		if err := r.deployment.serve(e.Lookup, lookups); err != nil {
			return err
		}
		requests := http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			req, ok := readRequest(routes, q)
			if !ok {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			serve(e, client, req).write(w)
		})
		if err := r.deployment.serve(e.Caller, requests); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) answerLookup(q lookup.Query) lookup.Answer {
	var available []lookup.EntryVM
	for _, e := range r.inv.Entries {
		if !r.isIsolated(hostOf(e.Peer)) {
			available = append(available, lookup.EntryVM{Address: e.Caller, Domain: e.Domain, Region: r.inv.RegionOf(e.Domain), Share: 1})
		}
	}
	return lookup.Answer{Addresses: lookup.Choose(q, available), TTL: time.Second}
}

// readRequest reads a request and its route. It returns false if no route matches or
// the body can't be read.
func readRequest(routes *route.Table, q *http.Request) (request, bool) {
	match := routes.Find("", q.URL.Path)
	body, err := io.ReadAll(io.LimitReader(q.Body, maxBody))
	if match == nil || err != nil {
		return request{}, false
	}
	req := request{route: match.Route, id: q.Header.Get(caller.Headers.Request), method: q.Method, path: q.URL.Path, body: body, deadline: time.Now().Add(match.Timeout.Duration)}
	if c, err := q.Cookie(caller.Headers.Object); err == nil {
		req.object = c.Value
	}
	return req, true
}

// write writes the response, or one with an outcome header if there is none.
func (res result) write(w http.ResponseWriter) {
	if res.status != 0 {
		w.WriteHeader(res.status)
		_, _ = w.Write(res.body)
		return
	}
	outcome, status := caller.OutcomeNotRun, http.StatusServiceUnavailable
	if res.sent {
		outcome, status = caller.OutcomeUnknown, http.StatusBadGateway
	}
	w.Header().Set(caller.HeaderOutcome, string(outcome))
	w.WriteHeader(status)
}

// forward sends a request to an endpoint.
func forward(client *http.Client, p inventory.Endpoint, in request) result {
	ctx, cancel := context.WithDeadline(context.Background(), in.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, in.method, "http://"+p.Address+in.path, bytes.NewReader(in.body))
	if err != nil {
		return result{}
	}
	req.GetBody = nil
	req.Header.Set(caller.Headers.Request, in.id)
	req.AddCookie(&http.Cookie{Name: caller.Headers.Object, Value: in.object})
	resp, err := client.Do(req)
	if err != nil {
		return result{sent: true}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return result{sent: true}
	}
	return result{status: resp.StatusCode, body: body, sent: true}
}

// serve tries up to three endpoints. It retries only a rejected request, or an
// idempotent one without a response.
func (b *baseline) serve(from inventory.Entry, client *http.Client, req request) result {
	last := result{}
	for range maxAttempts {
		last = forward(client, b.pickEndpoint(from, req), req)
		shed := last.status == http.StatusServiceUnavailable
		retry := shed || last.status == 0 && req.route.Idempotent
		if !retry || time.Now().After(req.deadline) {
			break
		}
	}
	return last
}

// endpointsOf returns the endpoints of a service in the order of the file.
func (d *deployment) endpointsOf(id inventory.ServiceID) []inventory.Endpoint {
	var found []inventory.Endpoint
	for _, e := range d.inv.Endpoints {
		if e.Service == id {
			found = append(found, e)
		}
	}
	return found
}

// pickEndpoint picks one of the endpoints of the same region that have a report, or
// else one of all endpoints that have a report. Without any report it returns the
// first endpoint.
func (b *baseline) pickEndpoint(from inventory.Entry, req request) inventory.Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	inv := b.r.inv
	candidates := b.r.endpointsOf(req.service())
	var local, all []inventory.Endpoint
	for _, p := range candidates {
		if _, reported := b.reports[p.ID]; !reported {
			continue
		}
		all = append(all, p)
		if inv.RegionOf(p.Domain) == inv.RegionOf(from.Domain) {
			local = append(local, p)
		}
	}
	switch {
	case len(local) > 0:
		return b.pick(b, req, local)
	case len(all) > 0:
		return b.pick(b, req, all)
	default:
		return candidates[0]
	}
}

// pollReports collects the load reports of all targets at an interval.
func (b *baseline) pollReports() {
	for b.r.ctx.Err() == nil {
		b.collectReports()
		pause(b.r.ctx, reportInterval)
	}
}

// collectReports collects the load reports of all targets. An isolated target has
// no report.
func (b *baseline) collectReports() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.r.inv.Endpoints {
		if b.r.isIsolated(hostOf(e.Address)) {
			delete(b.reports, e.ID)
			continue
		}
		b.reports[e.ID] = b.r.targets[e.ID].Load()
	}
}

// utilization returns the reported load of an endpoint divided by its slots.
func (b *baseline) utilization(p inventory.Endpoint) float64 {
	return float64(b.reports[p.ID]) / float64(p.Slots)
}

func pickRandom(b *baseline, _ request, candidates []inventory.Endpoint) inventory.Endpoint {
	return candidates[b.random.IntN(len(candidates))]
}

func pickLeastLoaded(b *baseline, _ request, candidates []inventory.Endpoint) inventory.Endpoint {
	best := candidates[0]
	for _, p := range candidates[1:] {
		if b.utilization(p) < b.utilization(best) {
			best = p
		}
	}
	return best
}

func pickBetterOfTwo(b *baseline, req request, candidates []inventory.Endpoint) inventory.Endpoint {
	p, q := pickRandom(b, req, candidates), pickRandom(b, req, candidates)
	if b.utilization(q) < b.utilization(p) {
		return q
	}
	return p
}

// pickHashed assigns each object to one endpoint by rendezvous hashing, regardless of
// its load.
func pickHashed(_ *baseline, req request, candidates []inventory.Endpoint) inventory.Endpoint {
	best, highest := candidates[0], uint64(0)
	for _, p := range candidates {
		if s := xxhash.Sum64String(string(p.ID) + " " + string(req.route.ID) + " " + req.object); s >= highest {
			best, highest = p, s
		}
	}
	return best
}
