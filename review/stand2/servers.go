//go:build review

package stand2

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Entry is what an endpoint writes into the store about itself.
type Entry struct {
	Address string `json:"Address"`
	Born    int64  `json:"born"`
	Info    struct {
		Service       string `json:"Service"`
		ConfigVersion string `json:"ConfigVersion"`
		Zone          string `json:"Zone"`
		Slots         int    `json:"Slots"`
	} `json:"Info"`
	Status struct {
		State     string  `json:"State"`
		Seq       int     `json:"Seq"`
		ColdLeftS float64 `json:"ColdLeftS"`
	} `json:"Status"`
}

// Endpoint is a stand-in of an endpoint: it has slots and a queue, echoes the id of a request, signs its
// answers, tells its load and, while it leaves, that it does.
type Endpoint struct {
	ID      string
	Address string
	Work    time.Duration
	OnRun   func(r *http.Request) // when a request begins to run

	record   *Record
	server   *http.Server
	service  string
	zone     string
	born     int64
	slots    chan struct{}
	running  atomic.Int64
	waiting  atomic.Int64
	leaving  atomic.Bool
	seq      atomic.Int64
	stopBeat context.CancelFunc
	mu       sync.Mutex
}

// NewEndpoint starts an endpoint that is not registered yet.
func NewEndpoint(rec *Record, id, service, zone string, slots int, work time.Duration) *Endpoint {
	l := Listen()
	e := &Endpoint{ID: id, Address: l.Addr().String(), Work: work, record: rec, service: service, zone: zone, born: time.Now().UnixMilli(), slots: make(chan struct{}, slots)}
	e.server = &http.Server{Handler: e, IdleTimeout: 10 * time.Second}
	go func() { _ = e.server.Serve(l) }()
	return e
}

// Entry returns the next report of the endpoint.
func (e *Endpoint) Entry() Entry {
	var out Entry
	out.Address, out.Born = e.Address, e.born
	out.Info.Service, out.Info.Zone, out.Info.Slots, out.Info.ConfigVersion = e.service, e.zone, cap(e.slots), "1"
	out.Status.State, out.Status.Seq = "ready", int(e.seq.Add(1))
	if e.leaving.Load() {
		out.Status.State = "draining"
	}
	return out
}

// SetLeaving lets all further answers and reports say that the endpoint leaves.
func (e *Endpoint) SetLeaving() { e.leaving.Store(true) }

// IsIdle reports whether no request runs or waits.
func (e *Endpoint) IsIdle() bool { return e.running.Load() == 0 && e.waiting.Load() == 0 }

// Exit ends the endpoint, with all connections.
func (e *Endpoint) Exit() { _ = e.server.Close() }

// ServeHTTP runs a request.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	h := w.Header()
	h["Date"] = nil
	h.Set("Request-Id", id)
	h.Set("Keep-Alive", "timeout=10")
	defer func() {
		h.Set("Server-Load", fmt.Sprintf("%d,%d,%d", e.running.Load(), e.waiting.Load(), cap(e.slots)))
	}()
	if e.leaving.Load() {
		h.Set("Server-Leaving", "1")
	}
	reject := func(status int) {
		e.record.Add("rejected %s at %s with %d", id, e.ID, status)
		h.Set("Not-Executed", "1")
		w.WriteHeader(status)
	}
	if t := r.Header.Get("Target-Instance"); t != "" && t != e.ID {
		reject(http.StatusMisdirectedRequest)
		return
	}
	if e.waiting.Load() >= 9 {
		reject(http.StatusServiceUnavailable)
		return
	}
	e.waiting.Add(1)
	select {
	case e.slots <- struct{}{}:
		e.waiting.Add(-1)
	case <-r.Context().Done():
		e.waiting.Add(-1)
		return
	}
	e.running.Add(1)
	defer func() { e.running.Add(-1); <-e.slots }()
	e.record.Add("run %s %s %s body %d at %s", id, r.Method, r.RequestURI, len(body), e.ID)
	if e.OnRun != nil {
		e.OnRun(r)
	}
	time.Sleep(e.Work)
	if e.leaving.Load() {
		h.Set("Server-Leaving", "1")
	}
	answer := []byte("answer to " + id + " by " + e.ID)
	h.Set("Response-Signature", "sig."+id+"."+e.ID)
	h.Set("Content-Type", "text/plain")
	h.Set("Content-Length", strconv.Itoa(len(answer)))
	h.Set("Server-Load", fmt.Sprintf("%d,%d,%d", e.running.Load()-1, e.waiting.Load(), cap(e.slots)))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(answer)
}

// Configuration returns the spec of config/main.
func Configuration(version int, routes ...map[string]any) map[string]any {
	services := map[string]bool{}
	list := []map[string]any{}
	for _, r := range routes {
		name, _ := r["Service"].(string)
		if name != "" && !services[name] {
			services[name] = true
			list = append(list, map[string]any{"Name": name, "HealthPath": "/health", "MaxConns": 330, "ColdS": 3.0, "ColdPerS": 2.9})
		}
	}
	return map[string]any{"ConfigVersion": version, "Routes": routes, "Services": list,
		"Limits": map[string]any{"HeaderBytes": 16384, "MaxBodyBytes": 4 << 20, "HeaderTimeoutS": 2.0, "IdleTimeoutS": 10.0}}
}

// Route returns a route.
func Route(name, prefix, service, kind string, timeout float64) map[string]any {
	attempts := 3
	if kind != "idempotent" {
		attempts = 2
	}
	return map[string]any{"Name": name, "Hostname": "jepu9.example", "PathPrefix": prefix, "Type": kind, "Service": service, "TimeoutS": timeout,
		"LatencyGoalS": 0.6, "Priority": 1, "MaxAttempts": attempts, "Sticky": true, "HomeRegions": []string{}}
}

// Answer is what a client got.
type Answer struct {
	Status    int // 0: none
	Signature string
	Body      string
	Err       error
	Header    http.Header
	Sent, At  time.Time
}

// Send sends a request on a new connection, as a client does. header holds names and values by turns.
func Send(front, method, path, id string, body []byte, deadline time.Duration, header ...string) Answer {
	a := Answer{Sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+front+path, bytes.NewReader(body))
	Must(err)
	req.Host = "jepu9.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := transport.RoundTrip(req)
	if err == nil {
		a.Status, a.Header, a.Signature = resp.StatusCode, resp.Header, resp.Header.Get("Response-Signature")
		var data []byte
		data, err = io.ReadAll(resp.Body)
		a.Body = string(data)
		_ = resp.Body.Close()
	}
	a.Err, a.At = err, time.Now()
	return a
}
