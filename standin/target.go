package standin

// A target's endpoint that counts what it runs.

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Behaviour is how a target serves.
type Behaviour struct {
	Work     time.Duration `json:"work"`     // time that a request takes, in nanoseconds
	Answer   int           `json:"answer"`   // bytes of an answer; 0: a short one
	Truncate bool          `json:"truncate"` // break off in the middle of the answer
	Stall    bool          `json:"stall"`    // stop in the middle of the answer
	Raw      string        `json:"raw"`      // what goes out for an answer, as it stands; then the connection ends
	Shed     bool          `json:"shed"`     // refuse with 503
	Spread   time.Duration `json:"spread"`   // mean of an exponential addition to Work, in nanoseconds
	Slots    int           `json:"slots"`    // requests worked on at once, others wait; 0: all
	Backlog  int           `json:"backlog"`  // requests that may wait, others are refused with 503; 0: all
	Cold     int           `json:"cold"`     // first requests that take ColdFactor times as long
	Mislead  bool          `json:"mislead"`  // report no load whatever there is
	Leaving  bool          `json:"leaving"`  // say so on each answer
	Deaf     bool          `json:"deaf"`     // work on when the sender has gone
}

// ColdFactor is how much longer a request takes on a cold cache.
const ColdFactor = 4

// Ledger is what a target has run.
type Ledger struct {
	Served int            `json:"served"`
	Peak   int            `json:"peak"` // most requests at the same time
	Busy   int            `json:"busy"`
	Shed   int            `json:"shed"`  // requests refused
	Ended  int            `json:"ended"` // requests worked on to their end
	Keys   map[string]int `json:"keys"`  // times that each Idempotency-Key ran
}

// Target is a stand-in for one endpoint. It is an http.Handler and is safe for
// concurrent use. Under /ledger it tells what it has run, under /behaviour it
// takes orders, and under /load it reports its load.
type Target struct {
	name string

	mu        sync.Mutex
	behaviour Behaviour
	ledger    Ledger
	random    *rand.Rand
	freed     chan struct{} // closed and replaced when work ends
	working   int
}

// NewTarget returns a target that answers with its name.
func NewTarget(name string, b Behaviour) *Target {
	seed := xxhash.Sum64String(name)
	return &Target{
		name:      name,
		behaviour: b,
		ledger:    Ledger{Keys: map[string]int{}},
		random:    rand.New(rand.NewPCG(seed, seed)),
		freed:     make(chan struct{}),
	}
}

// SetBehaviour changes how the target serves.
func (t *Target) SetBehaviour(b Behaviour) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.behaviour = b
}

// Ledger returns a copy of what the target has run.
func (t *Target) Ledger() Ledger {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.ledger
	l.Keys = map[string]int{}
	for k, n := range t.ledger.Keys {
		l.Keys[k] = n
	}
	return l
}

// ServeHTTP serves one request.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/ledger":
		_ = json.NewEncoder(w).Encode(t.Ledger())
	case "/behaviour":
		t.serveBehaviour(w, r)
	case "/health":
		t.serveHealth(w)
	case "/load":
		_ = json.NewEncoder(w).Encode(t.Load())
	default:
		t.serve(w, r)
	}
}

func (t *Target) serveBehaviour(w http.ResponseWriter, r *http.Request) {
	var b Behaviour
	if err := json.NewDecoder(io.LimitReader(r.Body, maxValue)).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.SetBehaviour(b)
}

// headerLeaving is how a target says that it is leaving.
const headerLeaving = "Wasabiwheel-Leaving"

func (t *Target) serveHealth(w http.ResponseWriter) {
	t.mu.Lock()
	leaving := t.behaviour.Leaving
	t.mu.Unlock()
	if leaving {
		w.Header().Set(headerLeaving, "1")
	}
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	b, ok := t.start(r.Header.Get("Idempotency-Key"))
	defer t.end()
	if !ok {
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	ctx := r.Context()
	if b.Deaf {
		ctx = context.WithoutCancel(ctx)
	}
	if !t.work(ctx, b) {
		return
	}
	t.finish()
	t.answer(w, r, b, body)
}

func (t *Target) finish() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledger.Ended++
}

func (t *Target) start(key string) (Behaviour, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledger.Busy++
	t.ledger.Peak = max(t.ledger.Peak, t.ledger.Busy)
	b := t.behaviour
	full := b.Backlog > 0 && t.ledger.Busy > b.Slots+b.Backlog
	if b.Shed || full {
		t.ledger.Shed++
		return b, false
	}
	t.ledger.Served++
	if key != "" {
		t.ledger.Keys[key]++
	}
	return t.behaviour, true
}

func (t *Target) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledger.Busy--
}

// Busy is the number of requests under way.
func (t *Target) Busy() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ledger.Busy
}

// Load is what the target reports of its requests.
func (t *Target) Load() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.behaviour.Mislead {
		return 0
	}
	return t.ledger.Busy
}

// work takes a slot, if they are bounded, and the time of one request. It
// reports whether the sender is still there.
func (t *Target) work(ctx context.Context, b Behaviour) bool {
	if b.Slots > 0 {
		if !t.await(ctx, b.Slots) {
			return false
		}
		defer t.leave()
	}
	return pause(ctx, t.duration(b))
}

// await takes a slot and reports whether the sender is still there.
func (t *Target) await(ctx context.Context, slots int) bool {
	for {
		freed := t.freeing() // before the look, so that no end is missed
		if t.enter(slots) {
			return true
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return false
		}
	}
}

func (t *Target) enter(slots int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.working >= slots {
		return false
	}
	t.working++
	return true
}

func (t *Target) leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.working--
	close(t.freed)
	t.freed = make(chan struct{})
}

func (t *Target) freeing() chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.freed
}

func (t *Target) duration(b Behaviour) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := b.Work + time.Duration(t.random.ExpFloat64()*float64(b.Spread))
	if t.ledger.Served <= b.Cold {
		d *= ColdFactor
	}
	return d
}

// Echo is the answer of a target: what it was asked, so that a caller can tell
// its own answer from another's.
type Echo struct {
	Target string `json:"target"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Key    string `json:"key"`
	Body   string `json:"body"`
	Fill   string `json:"fill"`
}

func (t *Target) answer(w http.ResponseWriter, r *http.Request, b Behaviour, body []byte) {
	if b.Raw != "" {
		writeRaw(w, b.Raw)
		return
	}
	echo := Echo{Target: t.name, Method: r.Method, Path: r.URL.RequestURI(), Key: r.Header.Get("Idempotency-Key"), Body: string(body)}
	echo.Fill = strings.Repeat("-", b.Answer)
	data, err := json.Marshal(echo)
	if err != nil {
		return
	}
	if b.Leaving {
		w.Header().Set(headerLeaving, "1")
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if !b.Truncate && !b.Stall {
		_, _ = w.Write(data)
		return
	}
	_, _ = w.Write(data[:len(data)/2])
	_ = http.NewResponseController(w).Flush()
	if b.Stall {
		<-r.Context().Done()
	}
	panic(http.ErrAbortHandler)
}

// writeRaw sends bytes past the HTTP server and ends the connection.
func writeRaw(w http.ResponseWriter, raw string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, raw)
	_ = conn.Close()
}
