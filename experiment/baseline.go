package experiment

// Ways of steering to compare with: simple entry VMs that choose an endpoint
// themselves, by reports of load that lag.

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/wasabiwheel/wasabiwheel/caller"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/lookup"
)

// Bounds of a baseline.
const (
	reportEvery = 500 * time.Millisecond
	attempts    = 3
	maxBody     = 1 << 20 // bytes
)

// chooser picks one of the endpoints that are thought to live.
type chooser func(b *baseline, points []inventory.Endpoint) inventory.Endpoint

// job is a request on its way through a baseline.
type job struct {
	service  inventory.Service
	method   string
	path     string
	header   http.Header
	body     []byte
	deadline time.Time
}

// verdict is what became of a job. A status of 0 stands for no answer.
type verdict struct {
	status int
	body   []byte
	sent   bool // something may have been written
}

// baseline is a set of simple entry VMs.
type baseline struct {
	r      *run
	index  *lookup.Index
	choose chooser

	mu      sync.Mutex
	random  *rand.Rand
	reports map[inventory.EndpointID]int
}

// startBaseline returns a way of steering with a chooser.
func startBaseline(c chooser) func(ctx context.Context, r *run) error {
	return func(_ context.Context, r *run) error {
		b := &baseline{
			r:       r,
			index:   lookup.NewIndex(r.inv),
			choose:  c,
			random:  rand.New(rand.NewPCG(r.random.Uint64(), r.random.Uint64())),
			reports: map[inventory.EndpointID]int{},
		}
		r.running.Go(b.poll)
		return r.serveEntries(b.index, b.serve)
	}
}

// serveEntries runs a way of serving on all entry VMs, with look-ups that know
// at once who is lost.
func (r *run) serveEntries(ix *lookup.Index, serve func(inventory.Entry, *http.Client, job) verdict) error {
	for _, e := range r.inv.Entries {
		client := r.client(hostOf(e.Peer))
		mux := http.NewServeMux()
		mux.HandleFunc("/lookup", func(w http.ResponseWriter, q *http.Request) { r.serveLookup(w, q, ix) })
		mux.HandleFunc("/serve/", func(w http.ResponseWriter, q *http.Request) {
			j, ok := r.readJob(q)
			if !ok {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			serve(e, client, j).write(w)
		})
		if err := r.deployment.serve(e.Caller, mux); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) serveLookup(w http.ResponseWriter, q *http.Request, ix *lookup.Index) {
	question := lookup.Question{Block: inventory.BlockID(q.URL.Query().Get("block")), Region: inventory.RegionID(q.URL.Query().Get("region"))}
	alive := func(id inventory.EntryID) bool {
		e, _ := r.inv.Entry(id)
		return !r.isLost(hostOf(e.Peer))
	}
	a := lookup.Answer{TTL: lookup.TTL.Seconds()}
	for _, e := range ix.Order(question, alive) {
		a.Entries = append(a.Entries, lookup.Entry{ID: e.ID, Address: e.Caller, Token: string(e.ID)})
	}
	_ = json.NewEncoder(w).Encode(a)
}

func (r *run) readJob(q *http.Request) (job, bool) {
	id, path, _ := strings.Cut(strings.TrimPrefix(q.URL.Path, "/serve/"), "/")
	s, ok := r.inv.Service(inventory.ServiceID(id))
	body, err := io.ReadAll(io.LimitReader(q.Body, maxBody))
	if !ok || err != nil {
		return job{}, false
	}
	return job{service: s, method: q.Method, path: "/" + path, header: q.Header, body: body, deadline: time.Now().Add(s.Deadline.Duration)}, true
}

func (v verdict) write(w http.ResponseWriter) {
	if v.status != 0 {
		w.WriteHeader(v.status)
		_, _ = w.Write(v.body)
		return
	}
	outcome, status := caller.OutcomeNotRun, http.StatusServiceUnavailable
	if v.sent {
		outcome, status = caller.OutcomeUnknown, http.StatusBadGateway
	}
	w.Header().Set(caller.HeaderOutcome, string(outcome))
	w.WriteHeader(status)
}

// forward sends a job to an endpoint.
func forward(client *http.Client, p inventory.Endpoint, j job) verdict {
	ctx, cancel := context.WithDeadline(context.Background(), j.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, j.method, "http://"+p.Address+j.path, io.NopCloser(bytes.NewReader(j.body)))
	if err != nil {
		return verdict{}
	}
	req.Header.Set(caller.HeaderKey, j.header.Get(caller.HeaderKey))
	resp, err := client.Do(req)
	if err != nil {
		return verdict{sent: true}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return verdict{sent: true}
	}
	return verdict{status: resp.StatusCode, body: body, sent: true}
}

// serve tries up to three endpoints, another one only after a refusal or for
// what may run again.
func (b *baseline) serve(from inventory.Entry, client *http.Client, j job) verdict {
	last := verdict{}
	for range attempts {
		last = forward(client, b.pick(from, j.service.ID), j)
		shed := last.status == http.StatusServiceUnavailable
		again := shed || last.status == 0 && j.service.IsIdempotent(j.method, j.path)
		if !again || time.Now().After(j.deadline) {
			break
		}
	}
	return last
}

// pick chooses among the endpoints of the own region whose reports are there,
// else among all.
func (b *baseline) pick(from inventory.Entry, s inventory.ServiceID) inventory.Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	inv := b.r.inv
	var near, all []inventory.Endpoint
	for _, p := range inv.EndpointsOf(s) {
		if _, reported := b.reports[p.ID]; !reported {
			continue
		}
		all = append(all, p)
		if inv.RegionOf(p.Domain) == inv.RegionOf(from.Domain) {
			near = append(near, p)
		}
	}
	switch {
	case len(near) > 0:
		return b.choose(b, near)
	case len(all) > 0:
		return b.choose(b, all)
	default:
		return inv.EndpointsOf(s)[0]
	}
}

// poll takes the reports of all targets at an interval. A lost target's report
// is missing from then on.
func (b *baseline) poll() {
	for b.r.stopping.Err() == nil {
		b.takeReports()
		pause(b.r.stopping, reportEvery)
	}
}

func (b *baseline) takeReports() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.r.inv.Endpoints {
		if b.r.isLost(hostOf(e.Address)) {
			delete(b.reports, e.ID)
			continue
		}
		b.reports[e.ID] = b.r.targets[e.ID].Load()
	}
}

// use is the reported load by slots.
func (b *baseline) use(p inventory.Endpoint) float64 {
	return float64(b.reports[p.ID]) / float64(p.Slots)
}

func chooseRandom(b *baseline, points []inventory.Endpoint) inventory.Endpoint {
	return points[b.random.IntN(len(points))]
}

func chooseLeast(b *baseline, points []inventory.Endpoint) inventory.Endpoint {
	best := points[0]
	for _, p := range points[1:] {
		if b.use(p) < b.use(best) {
			best = p
		}
	}
	return best
}

func chooseTwo(b *baseline, points []inventory.Endpoint) inventory.Endpoint {
	p, q := chooseRandom(b, points), chooseRandom(b, points)
	if b.use(q) < b.use(p) {
		return q
	}
	return p
}
