package standin

// A target's endpoint that counts what it runs.

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiwheel/wasabiwheel/exchange"
)

// Behaviour is how a target serves.
type Behaviour struct {
	Work    time.Duration `json:"work"`    // time that a request takes, in nanoseconds
	Spread  time.Duration `json:"spread"`  // mean of an exponential addition to Work, in nanoseconds
	Slots   int           `json:"slots"`   // requests worked on at once, others wait; 0: all
	Backlog int           `json:"backlog"` // requests that may wait, others are refused; 0: all
	Cold    int           `json:"cold"`    // first requests that take ColdFactor times as long
	Keeps   int           `json:"keeps"`   // objects that are kept warm; 0: none is faster than another
	Gain    float64       `json:"gain"`    // share of the work that a warm object spares
	Slow    float64       `json:"slow"`    // times as long as others; 0: once
	Answer  int           `json:"answer"`  // bytes of an answer; 0: a short one

	Truncate bool    `json:"truncate"` // break off in the middle of the answer
	Stall    bool    `json:"stall"`    // stop in the middle of the answer
	Lose     bool    `json:"lose"`     // end the connection in place of the answer
	Early    bool    `json:"early"`    // answer before the body is read
	Raw      string  `json:"raw"`      // what goes out for an answer, as it stands; then the connection ends
	Late     string  `json:"late"`     // what goes out behind an answer, as it stands
	Unframed bool    `json:"unframed"` // an answer without a length
	Shed     bool    `json:"shed"`     // refuse, and say that it did not run
	Fail     float64 `json:"fail"`     // share of requests that end with 500
	Unsigned bool    `json:"unsigned"` // leave out the signature
	Mislead  bool    `json:"mislead"`  // report no load whatever there is
	Deaf     bool    `json:"deaf"`     // work on when the sender has gone
}

// ColdFactor is how much longer a request takes on a cold cache.
const ColdFactor = 4

// Ledger is what a target has run.
type Ledger struct {
	Served    int            `json:"served"`    // requests that ran
	Peak      int            `json:"peak"`      // most requests at the same time
	Busy      int            `json:"busy"`      // present now
	Shed      int            `json:"shed"`      // refused
	Ended     int            `json:"ended"`     // worked on to their end
	Misplaced int            `json:"misplaced"` // meant for another endpoint
	Runs      map[string]int `json:"runs"`      // times that each request ran, by its id
	Arrivals  []time.Time    `json:"-"`         // of all requests that were not misplaced
}

// Target is a stand-in for one endpoint. It is an http.Handler and is safe for
// concurrent use. Under /ledger it tells what it has run, under /behaviour it
// takes orders.
type Target struct {
	// OnArrival and OnRun, if set before the target serves, are told of each request
	// that is meant for it, and of each that begins to run, by its id.
	OnArrival, OnRun func(id string)

	name    string
	dialect exchange.Dialect

	mu        sync.Mutex
	behaviour Behaviour
	ledger    Ledger
	random    *rand.Rand
	freed     chan struct{} // closed and replaced when work ends
	working   int
	warm      []string // objects, the one used last in front
	leaving   bool
}

// NewTarget returns a target that answers with its name.
func NewTarget(name string, d exchange.Dialect, b Behaviour) *Target {
	seed := xxhash.Sum64String(name)
	return &Target{
		name:      name,
		dialect:   d,
		behaviour: b,
		ledger:    Ledger{Runs: map[string]int{}},
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

// SetLeaving says whether the target announces on each answer that it leaves.
func (t *Target) SetLeaving(leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = leaving
}

// Ledger returns a copy of what the target has run.
func (t *Target) Ledger() Ledger {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.ledger
	l.Runs = maps.Clone(t.ledger.Runs)
	l.Arrivals = append([]time.Time(nil), t.ledger.Arrivals...)
	return l
}

// ServeHTTP serves one request.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/ledger":
		writeJSON(w, http.StatusOK, t.Ledger())
	case "/behaviour":
		t.serveBehaviour(w, r)
	case "/health":
		w.Header().Set(t.dialect.Instance, t.name)
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

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(t.dialect.Request)
	w.Header().Set(t.dialect.Request, id)
	if meant := r.Header.Get(t.dialect.Endpoint); meant != "" && meant != t.name {
		t.misplaced()
		w.Header().Set(t.dialect.Instance, t.name)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if t.OnArrival != nil {
		t.OnArrival(id)
	}
	b, ok := t.start()
	defer t.end()
	if !ok {
		t.report(w, b)
		w.Header().Set(t.dialect.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var body []byte
	if !b.Early {
		var err error
		if body, err = io.ReadAll(r.Body); err != nil {
			return
		}
	}
	ctx := r.Context()
	if b.Deaf {
		ctx = context.WithoutCancel(ctx)
	}
	if !t.work(ctx, b, id, t.objectOf(r)) {
		return
	}
	t.finish()
	t.answer(w, r, b, body)
}

func (t *Target) objectOf(r *http.Request) string {
	c, err := r.Cookie(t.dialect.Object)
	if err != nil {
		return ""
	}
	return c.Value
}

func (t *Target) misplaced() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledger.Misplaced++
}

func (t *Target) finish() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledger.Ended++
}

func (t *Target) start() (Behaviour, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledger.Busy++
	t.ledger.Peak = max(t.ledger.Peak, t.ledger.Busy)
	t.ledger.Arrivals = append(t.ledger.Arrivals, time.Now())
	b := t.behaviour
	full := b.Backlog > 0 && t.ledger.Busy > b.Slots+b.Backlog
	if b.Shed || full {
		t.ledger.Shed++
		return b, false
	}
	return b, true
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
func (t *Target) work(ctx context.Context, b Behaviour, id, object string) bool {
	if b.Slots > 0 {
		if !t.await(ctx, b.Slots) {
			return false
		}
		defer t.leave()
	}
	if t.OnRun != nil {
		t.OnRun(id)
	}
	return pause(ctx, t.run(b, id, object))
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

// run counts a request that begins and returns how long it takes.
func (t *Target) run(b Behaviour, id, object string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledger.Served++
	t.ledger.Runs[id]++
	d := float64(b.Work) + t.random.ExpFloat64()*float64(b.Spread)
	if t.ledger.Served <= b.Cold {
		d *= ColdFactor
	}
	if b.Keeps > 0 && object != "" && t.isWarm(object, b.Keeps) {
		d *= 1 - b.Gain
	}
	if b.Slow > 0 {
		d *= b.Slow
	}
	return time.Duration(d)
}

// isWarm reports whether an object was served recently, and notes that it is.
func (t *Target) isWarm(object string, keeps int) bool {
	for i, o := range t.warm {
		if o == object {
			copy(t.warm[1:i+1], t.warm[:i])
			t.warm[0] = object
			return true
		}
	}
	t.warm = append([]string{object}, t.warm...)
	t.warm = t.warm[:min(len(t.warm), keeps)]
	return false
}

func (t *Target) fails(b Behaviour) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return b.Fail > 0 && t.random.Float64() < b.Fail
}

// report adds the load to an answer.
func (t *Target) report(w http.ResponseWriter, b Behaviour) {
	if b.Slots == 0 {
		return
	}
	busy := t.Load()
	w.Header().Set(t.dialect.Load, fmt.Sprintf("%d,%d,%d", min(busy, b.Slots), max(0, busy-b.Slots), b.Slots))
}

func (t *Target) answer(w http.ResponseWriter, r *http.Request, b Behaviour, body []byte) {
	if b.Lose {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get(t.dialect.Request)
	if b.Raw != "" {
		writeRaw(w, strings.ReplaceAll(b.Raw, "{id}", id))
		return
	}
	echo := Echo{Target: t.name, Request: id, Method: r.Method, Path: r.URL.RequestURI(), Body: string(body), Early: b.Early, Fill: strings.Repeat("-", b.Answer)}
	data, err := json.Marshal(echo)
	if err != nil {
		return
	}
	t.report(w, b)
	if !b.Unsigned {
		w.Header().Set(t.dialect.Signature, t.name+"."+id)
	}
	t.mu.Lock()
	leaving := t.leaving
	t.mu.Unlock()
	if leaving {
		w.Header().Set("Connection", "close")
	}
	if t.fails(b) {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if b.Late != "" || b.Unframed {
		t.answerRaw(w, b, id, data)
		return
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

// answerRaw answers past the HTTP server: without a length, or with more behind.
func (t *Target) answerRaw(w http.ResponseWriter, b Behaviour, id string, data []byte) {
	head := "HTTP/1.1 200 OK\r\n" + t.dialect.Request + ": " + id + "\r\n" + t.dialect.Signature + ": " + t.name + "." + id + "\r\n"
	if !b.Unframed {
		head += "Content-Length: " + strconv.Itoa(len(data)) + "\r\n"
	}
	writeRaw(w, head+"\r\n"+string(data)+strings.ReplaceAll(b.Late, "{id}", id))
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
