package node

// Status and metrics for operators.

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/wasabiwheel/wasabiwheel/endpoint"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/quarantine"
	"github.com/wasabiwheel/wasabiwheel/quota"
	"github.com/wasabiwheel/wasabiwheel/reach"
)

// Paths on the admin address.
const (
	PathStatus  = "/status"
	PathMetrics = "/metrics"
	// PathQuarantine returns the requests in quarantine. A POST with a fingerprint in the
	// parameter ParameterRequest ends the quarantine of that request at all nodes.
	PathQuarantine   = "/quarantine"
	ParameterRequest = "request"
)

// Status is the state of a node as reported to operators.
type Status struct {
	Entry         inventory.EntryID    `json:"entry"`
	State         State                `json:"state"`
	Version       inventory.Version    `json:"version"` // in force on this node
	StoreOutage   float64              `json:"store"`   // seconds since the store became unreachable; 0: it is reachable
	Entries       []inventory.EntryID  `json:"entries"` // listed in the store
	Alive         []inventory.EntryID  `json:"alive"`   // neighbours that are ready
	Drained       []inventory.DomainID `json:"drained"`
	Proof         float64              `json:"proof"` // seconds since the configuration was proven to be current; -1: unknown
	Organisations int                  `json:"organisations"`
	InFlight      int                  `json:"work"` // requests in flight
	Endpoints     []endpoint.Status    `json:"endpoints"`
	Reach         reach.State          `json:"reach"`       // whether the node reaches endpoints
	Suspects      int                  `json:"suspects"`    // requests that were running in a crash of their endpoint
	Quarantined   int                  `json:"quarantined"` // requests in quarantine
	Quotas        []quota.Status       `json:"quotas"`      // limits of the organisations that have requests or tokens here
	Counters      map[string]int64     `json:"counters"`
}

// maxStatusBytes bounds the size of a status response.
const maxStatusBytes = 4 << 20

// FetchStatus fetches the status of the node at an admin address, within a time limit. It
// fails with KindStatus.
func FetchStatus(admin string, limit time.Duration) (Status, error) {
	client := http.Client{Timeout: limit}
	resp, err := client.Get("http://" + admin + PathStatus)
	if err != nil {
		return Status{}, &Error{Op: "status", Kind: KindStatus, Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return Status{}, &Error{Op: "status", Kind: KindStatus, Err: errors.New(resp.Status)}
	}
	var s Status
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(&s); err != nil {
		return Status{}, &Error{Op: "status", Kind: KindStatus, Err: err}
	}
	return s, nil
}

// Serves reports whether the node serves callers and has the given number of endpoints.
func (s Status) Serves(endpoints int) bool {
	return s.State == StateServing && len(s.Endpoints) == endpoints
}

func (n *Node) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathStatus, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(n.Status()) // fails only if the client has disconnected
	})
	mux.HandleFunc("GET "+PathMetrics, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		c := n.endpoints.Counts(time.Now())
		_, _ = fmt.Fprintf(w, "endpoints.draining %d\nendpoints.leaving %d\nendpoints.paused %d\n", c.Draining, c.Leaving, c.Paused)
		_ = n.metrics.write(w) // fails only if the client has disconnected
	})
	mux.HandleFunc("GET "+PathQuarantine, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(n.quarantine.Records(time.Now())) // fails only if the client has disconnected
	})
	mux.HandleFunc("POST "+PathQuarantine, n.serveLift)
	return mux
}

// serveLift ends the quarantine of a request.
func (n *Node) serveLift(w http.ResponseWriter, r *http.Request) {
	f, err := quarantine.Parse(r.FormValue(ParameterRequest))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !n.quarantine.Lift(time.Now(), f) {
		http.Error(w, "the request is not in quarantine", http.StatusNotFound)
		return
	}
	n.metrics.increment("quarantine.lifted")
	klog.InfoS("quarantine", "fingerprint", f.String(), "lifted", true, "by", "operator")
}

// Status returns the node's current status.
func (n *Node) Status() Status {
	now := time.Now()
	s := Status{
		Entry:       n.settings.Load().ID,
		State:       n.state(),
		Version:     n.version(),
		StoreOutage: n.storeOutage(),
		Entries:     n.members.Entries(),
		Drained:     n.drainedDomains(),
		InFlight:    int(n.inFlight.Load()),
		Proof:       n.proofSeconds(),
		Endpoints:   n.endpoints.Status(now),
		Reach:       n.reachState(),
		Quotas:      n.quotas.Status(n.quotaTime()),
		Counters:    n.metrics.counterValues(),
	}
	if t := n.routes.Load(); t != nil {
		s.Organisations = t.organisations.Len()
	}
	s.Suspects, s.Quarantined = n.quarantine.Counts(now)
	for _, e := range n.members.Alive(now) {
		s.Alive = append(s.Alive, e.ID)
	}
	return s
}
