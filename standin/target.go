package standin

// The endpoint of a target, which counts the requests that it runs.

import (
	"cmp"
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

// Behaviour configures how a target serves.
type Behaviour struct {
	Work        time.Duration `json:"work"`    // processing time of a request, in nanoseconds
	Spread      time.Duration `json:"spread"`  // mean of an exponentially distributed addition to Work, in nanoseconds
	Slots       int           `json:"slots"`   // requests processed at once, others wait; 0: no limit
	Backlog     int           `json:"backlog"` // requests that may wait, others are refused; 0: no limit
	Cold        int           `json:"cold"`    // number of first requests that take ColdFactor times as long
	WarmObjects int           `json:"keeps"`   // objects that are kept warm; 0: none
	WarmGain    float64       `json:"gain"`    // share of the processing time that a warm object saves
	SlowFactor  float64       `json:"slow"`    // factor on the processing time; 0: 1
	Answer      int           `json:"answer"`  // bytes added to an answer

	Truncate     bool    `json:"truncate"` // close the connection in the middle of the answer
	Stall        bool    `json:"stall"`    // stop sending in the middle of the answer
	DropAnswer   bool    `json:"lose"`     // close the connection instead of answering
	Early        bool    `json:"early"`    // answer before the body is read
	Raw          string  `json:"raw"`      // sent instead of an answer, with {id} replaced by the id of the request; then the connection is closed
	Fields       int     `json:"fields"`   // header fields of an answer whose body is sent a byte at a time until the sender disconnects
	Trailing     string  `json:"late"`     // sent after an answer, with {id} replaced by the id of the request; then the connection is closed
	NoLength     bool    `json:"unframed"` // send the answer without a length
	Shed         bool    `json:"shed"`     // refuse requests and report that they did not run
	Fail         float64 `json:"fail"`     // share of requests that are answered with FailStatus
	FailStatus   int     `json:"status"`   // 0: 500
	FailHeader   string  `json:"header"`   // header field of these answers, such as "Retry-After: 1"; "": none
	Unsigned     bool    `json:"unsigned"` // omit the signature
	ReportNoLoad bool    `json:"mislead"`  // always report a load of 0
	Limit        string  `json:"limit"`    // requests a second that are named as the limit; "": none
	Leaving      string  `json:"leaving"`  // text by which each response says whether the target leaves; "": none
	Pause        string  `json:"pause"`    // seconds without requests for which a rejection asks; "": none
	IgnoreCancel bool    `json:"deaf"`     // continue processing when the sender disconnects
	CrashPath    string  `json:"crash"`    // a request of this path crashes the endpoint when it has started to run; "": none does
}

// ColdFactor is the factor on the processing time of a request with a cold cache.
const ColdFactor = 4

// TargetStats holds the statistics of a target.
type TargetStats struct {
	Served    int            `json:"served"`    // requests that ran
	Peak      int            `json:"peak"`      // maximum of Busy
	Busy      int            `json:"busy"`      // requests in progress
	Shed      int            `json:"shed"`      // refused
	Ended     int            `json:"ended"`     // processed completely
	Misplaced int            `json:"misplaced"` // addressed to another endpoint
	Runs      map[string]int `json:"runs"`      // number of runs of each request, by its id
	// Organisations is the number of requests that arrived for each organisation, "" for none,
	// Credentials that of requests with credentials of a caller.
	Organisations map[string]int `json:"organisations"`
	Credentials   int            `json:"credentials"`
	Arrivals      []time.Time    `json:"-"` // times of arrival of all requests that were not misplaced
}

// Target is a stand-in of one endpoint. It is an http.Handler and is safe for
// concurrent use. /ledger returns its statistics, and /behaviour sets its behaviour.
type Target struct {
	// OnArrival is called with the id of each request that is addressed to the target,
	// OnRun when a request starts to run. They are set before the target serves, and
	// may be nil.
	OnArrival, OnRun func(id string)
	// OnLeaving is called with the id of each request whose response says that the target
	// leaves, OnPause with that of each rejection that asks for a pause. They are set like the
	// others, and may be nil.
	OnLeaving, OnPause func(id string)
	// OnSender is called before OnArrival with the address that sent the request. It is set like the
	// others, and may be nil.
	OnSender func(id, address string)
	// OnCrash ends the process of the target. It is set like the others, and may be nil.
	OnCrash func()

	name        string
	headerNames exchange.HeaderNames

	mu            sync.Mutex
	behaviour     Behaviour
	stats         TargetStats
	random        *rand.Rand
	freed         chan struct{} // closed and replaced when a slot becomes free
	working       int
	warm          []string // objects, the most recently used first
	announceClose bool
	leaving       bool
}

// NewTarget returns a target that identifies itself by a name. The name also seeds its
// random numbers.
func NewTarget(name string, headerNames exchange.HeaderNames, b Behaviour) *Target {
	seed := xxhash.Sum64String(name)
	return &Target{
		name:        name,
		headerNames: headerNames,
		behaviour:   b,
		stats:       TargetStats{Runs: map[string]int{}, Organisations: map[string]int{}},
		random:      rand.New(rand.NewPCG(seed, seed)),
		freed:       make(chan struct{}),
	}
}

// SetBehaviour replaces the behaviour of the target.
func (t *Target) SetBehaviour(b Behaviour) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.behaviour = b
}

// SetAnnounceClose sets whether each answer has the header Connection: close, as from
// a target that is leaving.
func (t *Target) SetAnnounceClose(announce bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.announceClose = announce
}

// SetLeaving sets whether each answer says that the target leaves, whatever its behaviour says.
func (t *Target) SetLeaving(leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = leaving
}

// leavingText returns what a response says of whether the target leaves; "": nothing.
func (t *Target) leavingText(b Behaviour) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leaving {
		return "1"
	}
	return b.Leaving
}

// Stats returns a copy of the statistics.
func (t *Target) Stats() TargetStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stats
	s.Runs = maps.Clone(t.stats.Runs)
	s.Organisations = maps.Clone(t.stats.Organisations)
	s.Arrivals = append([]time.Time(nil), t.stats.Arrivals...)
	return s
}

// ServeHTTP serves one request.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/ledger":
		writeJSON(w, http.StatusOK, t.Stats())
	case "/behaviour":
		t.serveBehaviour(w, r)
	case "/health":
		w.Header().Set(t.headerNames.Instance, t.name)
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
	id := r.Header.Get(t.headerNames.Request)
	w.Header().Set(t.headerNames.Request, id)
	if addressee := r.Header.Get(t.headerNames.Endpoint); addressee != "" && addressee != t.name {
		t.countMisplaced()
		w.Header().Set(t.headerNames.Instance, t.name)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if t.OnSender != nil {
		t.OnSender(id, r.RemoteAddr)
	}
	if t.OnArrival != nil {
		t.OnArrival(id)
	}
	t.countIdentity(r)
	b, ok := t.admit()
	defer t.release()
	if !ok {
		t.reject(w, id, b)
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
	if b.IgnoreCancel {
		ctx = context.WithoutCancel(ctx)
	}
	if !t.work(ctx, b, id, t.objectOf(r)) {
		return
	}
	if b.CrashPath != "" && r.URL.Path == b.CrashPath {
		if t.OnCrash != nil {
			t.OnCrash()
		}
		panic(http.ErrAbortHandler)
	}
	t.countEnded()
	t.answer(w, r, b, body)
}

// countIdentity counts what a request says of its caller.
func (t *Target) countIdentity(r *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Organisations[r.Header.Get(t.headerNames.Organisation)]++
	if hasCredentials(r) {
		t.stats.Credentials++
	}
}

func hasCredentials(r *http.Request) bool { return len(r.Header.Values("Authorization")) > 0 }

// reject responds to a request that the target does not run.
func (t *Target) reject(w http.ResponseWriter, id string, b Behaviour) {
	t.writeState(w, id, b)
	w.Header().Set(t.headerNames.NotRun, "1")
	if b.Pause != "" {
		w.Header().Set("Retry-After", b.Pause)
		if t.OnPause != nil {
			t.OnPause(id)
		}
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (t *Target) objectOf(r *http.Request) string {
	c, err := r.Cookie(t.headerNames.Object)
	if err != nil {
		return ""
	}
	return c.Value
}

func (t *Target) countMisplaced() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Misplaced++
}

func (t *Target) countEnded() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Ended++
}

func (t *Target) admit() (Behaviour, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Busy++
	t.stats.Peak = max(t.stats.Peak, t.stats.Busy)
	t.stats.Arrivals = append(t.stats.Arrivals, time.Now())
	b := t.behaviour
	full := b.Backlog > 0 && t.stats.Busy > b.Slots+b.Backlog
	if b.Shed || full {
		t.stats.Shed++
		return b, false
	}
	return b, true
}

func (t *Target) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Busy--
}

// Busy returns the number of requests in progress.
func (t *Target) Busy() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stats.Busy
}

// Load returns the number of requests that the target reports as its load.
func (t *Target) Load() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.behaviour.ReportNoLoad {
		return 0
	}
	return t.stats.Busy
}

// work acquires a slot, if they are limited, and takes the processing time of a
// request. It reports whether the sender is still connected.
func (t *Target) work(ctx context.Context, b Behaviour, id, object string) bool {
	if b.Slots > 0 {
		if !t.awaitSlot(ctx, b.Slots) {
			return false
		}
		defer t.freeSlot()
	}
	if t.OnRun != nil {
		t.OnRun(id)
	}
	return pause(ctx, t.startRun(b, id, object))
}

// awaitSlot acquires a slot and reports whether the sender is still connected.
func (t *Target) awaitSlot(ctx context.Context, slots int) bool {
	for {
		freed := t.slotFreed() // before the check, so that no release is missed
		if t.takeSlot(slots) {
			return true
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return false
		}
	}
}

func (t *Target) takeSlot(slots int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.working >= slots {
		return false
	}
	t.working++
	return true
}

func (t *Target) freeSlot() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.working--
	close(t.freed)
	t.freed = make(chan struct{})
}

func (t *Target) slotFreed() chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.freed
}

// startRun counts a request that starts to run and returns its processing time.
func (t *Target) startRun(b Behaviour, id, object string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Served++
	t.stats.Runs[id]++
	d := float64(b.Work) + t.random.ExpFloat64()*float64(b.Spread)
	if t.stats.Served <= b.Cold {
		d *= ColdFactor
	}
	if b.WarmObjects > 0 && object != "" && t.isWarm(object, b.WarmObjects) {
		d *= 1 - b.WarmGain
	}
	if b.SlowFactor > 0 {
		d *= b.SlowFactor
	}
	return time.Duration(d)
}

// isWarm reports whether an object is warm, and marks it as the most recently used.
func (t *Target) isWarm(object string, limit int) bool {
	for i, o := range t.warm {
		if o == object {
			copy(t.warm[1:i+1], t.warm[:i])
			t.warm[0] = object
			return true
		}
	}
	t.warm = append([]string{object}, t.warm...)
	t.warm = t.warm[:min(len(t.warm), limit)]
	return false
}

func (t *Target) drawFailure(b Behaviour) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return b.Fail > 0 && t.random.Float64() < b.Fail
}

// writeFailure answers a request that ran, and failed.
func writeFailure(w http.ResponseWriter, b Behaviour) {
	if name, value, ok := strings.Cut(b.FailHeader, ":"); ok {
		w.Header().Set(name, strings.TrimSpace(value))
	}
	w.WriteHeader(cmp.Or(b.FailStatus, http.StatusInternalServerError))
}

// writeState adds to an answer what the target says of itself: whether it leaves, its limit and
// its load.
func (t *Target) writeState(w http.ResponseWriter, id string, b Behaviour) {
	if text := t.leavingText(b); text != "" {
		w.Header().Set(t.headerNames.Leaving, text)
		if t.OnLeaving != nil {
			t.OnLeaving(id)
		}
	}
	if b.Limit != "" {
		w.Header().Set(t.headerNames.Limit, b.Limit)
	}
	if b.Slots == 0 {
		return
	}
	busy := t.Load()
	w.Header().Set(t.headerNames.Load, fmt.Sprintf("%d,%d,%d", min(busy, b.Slots), max(0, busy-b.Slots), b.Slots))
}

func (t *Target) answer(w http.ResponseWriter, r *http.Request, b Behaviour, body []byte) {
	if b.DropAnswer {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get(t.headerNames.Request)
	if b.Raw != "" {
		writeRaw(w, strings.ReplaceAll(b.Raw, "{id}", id))
		return
	}
	if b.Fields > 0 {
		t.trickle(w, id, b.Fields)
		return
	}
	echo := Echo{Target: t.name, Request: id, Method: r.Method, Path: r.URL.RequestURI(), Body: string(body), Early: b.Early, Fill: strings.Repeat("-", b.Answer),
		Organisation: strings.Join(r.Header.Values(t.headerNames.Organisation), "|"), Key: hasCredentials(r)}
	data, err := json.Marshal(echo)
	if err != nil {
		return
	}
	t.writeState(w, id, b)
	if !b.Unsigned {
		w.Header().Set(t.headerNames.Signature, t.name+"."+id)
	}
	t.mu.Lock()
	announceClose := t.announceClose
	t.mu.Unlock()
	if announceClose {
		w.Header().Set("Connection", "close")
	}
	if t.drawFailure(b) {
		writeFailure(w, b)
		return
	}
	if b.Trailing != "" || b.NoLength {
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
