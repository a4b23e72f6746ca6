// Package standin implements stand-ins for the environment of the system, for tests and
// for trying it out: the platform's store, targets, an in-memory network and a proxy. They
// implement the protocols of the real ones and can inject faults. They are not meant for
// production.
//
// # Usage
//
//	p := standin.NewPlatform()
//	http.Serve(listener, p)
//	p.SetFault(standin.Fault{Down: true})
package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxValue  = 1 << 20 // bytes of an object
	pageItems = 500     // objects of one page of a list
	maxWait   = 30 * time.Second
)

// Fault configures the faults that the store injects into calls.
type Fault struct {
	Down        bool          `json:"down"`   // each call is refused with 503
	Busy        bool          `json:"busy"`   // each call is refused with 429
	Silent      bool          `json:"silent"` // no call is answered, not even after the fault
	Reset       bool          `json:"reset"`  // each call ends with a closed connection
	OnlyClients []string      `json:"only"`   // IP addresses of the callers that the four faults above affect; none: all
	Delay       time.Duration `json:"delay"`  // added to each call, in nanoseconds
	// HangWatches leaves watches permanently unanswered, also when there are changes.
	HangWatches bool          `json:"deaf"`
	LoseAnswer  int           `json:"loseAnswer"` // number of next writes that take effect but get no answer
	LoseWrite   int           `json:"loseWrite"`  // number of next writes that take no effect and get no answer
	LateWrite   int           `json:"lateWrite"`  // number of next writes that get no answer and take effect after LateBy
	LateBy      time.Duration `json:"lateBy"`     // in nanoseconds
	Stale       time.Duration `json:"stale"`      // age of the results of reads that allow stale results, in nanoseconds
}

// Counts counts the calls of the store.
type Counts struct {
	Reads   int `json:"reads"`   // lists, gets and watches
	Stale   int `json:"stale"`   // lists that allow stale results
	Writes  int `json:"writes"`  // writes that were processed, also if they changed nothing or were refused
	Watches int `json:"watches"` // watches that are waiting now
}

// Platform is a stand-in of the platform's store. It is an http.Handler and is safe
// for concurrent use.
type Platform struct {
	mu           sync.Mutex
	store        *store
	fault        Fault
	counts       Counts
	faultChanged chan struct{} // closed and replaced when the fault changes
	corrupt      []replacement
}

// NewPlatform returns an empty store.
func NewPlatform() *Platform {
	return &Platform{store: newStore(), faultChanged: make(chan struct{})}
}

// SetFault replaces the fault of the store.
func (p *Platform) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	close(p.faultChanged)
	p.faultChanged = make(chan struct{})
}

// Compact drops the change history, so that watches from an earlier revision get 410.
func (p *Platform) Compact() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.store.compact()
}

// Restore returns the store to its state a time ago, as from a copy, and begins a new era.
func (p *Platform) Restore(ago time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.store.restore(time.Now().Add(-ago))
}

// Counts returns the counts so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Expire removes an object, as the store does with the entries of endpoints without
// heartbeats.
func (p *Platform) Expire(kind, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.store.remove(key{kind, name})
}

// The paths of the protocol.
const (
	pathObjects = "/wasabiwheel/objects/"
	pathFault   = "/fault"
	pathCompact = "/compact"
	pathRestore = "/restore"
)

const headerEra = "Store-Era"

// ServeHTTP serves the objects. With /fault, /compact and /restore?ago=DURATION, another
// process can set a fault, drop the history, and restore an older state.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case pathFault:
		p.serveFault(w, r)
		return
	case pathCompact:
		p.Compact()
		return
	case pathRestore:
		p.serveRestore(w, r)
		return
	}
	w = &eraWriter{ResponseWriter: w, platform: p}
	if !p.admit(w, r) {
		return
	}
	path, ok := strings.CutPrefix(r.URL.Path, pathObjects)
	kind, name, _ := strings.Cut(path, "/")
	switch {
	case !ok || kind == "":
		http.NotFound(w, r)
	case r.Method == http.MethodGet && r.URL.Query().Has("Watch"):
		p.serveWatch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		p.serveList(w, r, kind)
	case r.Method == http.MethodGet:
		p.serveGet(w, key{kind, name})
	default:
		p.serveWrite(w, r, kind, name)
	}
}

func (p *Platform) serveFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(io.LimitReader(r.Body, maxValue)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFault(f)
}

func (p *Platform) serveRestore(w http.ResponseWriter, r *http.Request) {
	ago, err := time.ParseDuration(r.URL.Query().Get("ago"))
	if err != nil || ago < 0 {
		http.Error(w, "parameter ago must be a duration", http.StatusBadRequest)
		return
	}
	p.Restore(ago)
}

// eraWriter sets the header with the era of the store when the response begins.
type eraWriter struct {
	http.ResponseWriter
	platform *Platform
	started  bool
}

// WriteHeader begins the response.
func (w *eraWriter) WriteHeader(status int) {
	if !w.started {
		w.started = true
		w.platform.mu.Lock()
		w.Header().Set(headerEra, strconv.FormatUint(w.platform.store.era, 10))
		w.platform.mu.Unlock()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write begins the response if it has not begun.
func (w *eraWriter) Write(p []byte) (int, error) {
	if !w.started {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// admit applies the faults that precede a call and reports whether to serve it.
func (p *Platform) admit(w http.ResponseWriter, r *http.Request) bool {
	p.mu.Lock()
	f := p.fault
	p.mu.Unlock()
	if !pause(r.Context(), f.Delay) {
		return false
	}
	if host, _, err := net.SplitHostPort(r.RemoteAddr); len(f.OnlyClients) > 0 && (err != nil && !slices.Contains(f.OnlyClients, r.RemoteAddr) || err == nil && !slices.Contains(f.OnlyClients, host)) {
		return true
	}
	switch {
	case f.Silent:
		_, _ = io.Copy(io.Discard, r.Body) // net/http detects that a caller disconnected only after the body is read
		<-r.Context().Done()
		return false
	case f.Reset:
		panic(http.ErrAbortHandler)
	case f.Down:
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	case f.Busy:
		w.WriteHeader(http.StatusTooManyRequests)
		return false
	}
	return true
}

// pause waits and reports whether ctx is still active.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// RemovedAt returns when an object was last removed, or the zero time if the store has forgotten.
func (p *Platform) RemovedAt(kind, name string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.store.history) - 1; i >= 0; i-- {
		if e := p.store.history[i]; e.kind == kind && e.Object.Metadata.Name == name && e.Tombstone {
			return e.at
		}
	}
	return time.Time{}
}

// Corrupt replaces an object by a text that another writer left there, also one that is no JSON.
// {name} and {revision} in it stand for the object's own.
func (p *Platform) Corrupt(kind, name, text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := key{kind, name}
	o := p.store.objects[k]
	_, exists := p.store.objects[k]
	o.Metadata.Name = name
	o.Spec, o.Status = json.RawMessage(strconv.Quote(text[:min(len(text), maxCorruptMark)])), nil
	o = *p.store.put(k, o, !exists)
	text = strings.NewReplacer("{name}", name, "{revision}", strconv.FormatUint(o.Metadata.Revision, 10)).Replace(text)
	if data, err := json.Marshal(o); err == nil {
		p.corrupt = append(p.corrupt, replacement{data, []byte(text)})
	}
}

// replacement is a text in a response and what is sent in its place.
type replacement struct{ from, to []byte }

// maxCorruptMark is the length of the part of a text that makes the object it replaces unique.
const maxCorruptMark = 100

// writeObjects sends a response that contains objects, with those that were corrupted replaced.
func (p *Platform) writeObjects(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	p.mu.Lock()
	for _, r := range p.corrupt {
		data = bytes.ReplaceAll(data, r.from, r.to)
	}
	p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data) // fails only if the caller has disconnected
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the caller has disconnected
}

// listResponse is the answer to a list.
type listResponse struct {
	Items   []object `json:"items"`
	HasMore bool     `json:"HasMore"`
	At      uint64   `json:"StoreRevision"`
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request, kind string) {
	query := r.URL.Query()
	p.mu.Lock()
	p.counts.Reads++
	at := time.Now()
	if query.Get("StaleOk") == "1" {
		p.counts.Stale++
		at = at.Add(-p.fault.Stale)
	}
	items, revision := p.store.list(kind, at)
	p.mu.Unlock()
	after := query.Get("after")
	first, _ := slices.BinarySearchFunc(items, after, func(o object, name string) int { return strings.Compare(o.Metadata.Name, name) })
	if first < len(items) && items[first].Metadata.Name == after {
		first++
	}
	last := min(len(items), first+pageItems)
	p.writeObjects(w, listResponse{Items: append([]object{}, items[first:last]...), HasMore: last < len(items), At: revision})
}

func (p *Platform) serveGet(w http.ResponseWriter, k key) {
	p.mu.Lock()
	p.counts.Reads++
	o, ok := p.store.objects[k]
	p.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	p.writeObjects(w, o)
}

// watchResponse is the answer to a watch.
type watchResponse struct {
	Events []event `json:"events"`
	At     uint64  `json:"StoreRevision"`
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("Watch"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("WaitMs"))
	if err != nil || waitErr != nil || wait < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	p.counts.Reads++
	p.counts.Watches++
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		p.counts.Watches--
		p.mu.Unlock()
	}()
	limit := time.NewTimer(min(maxWait, time.Duration(wait)*time.Millisecond))
	defer limit.Stop()
	for expired := false; ; {
		events, at, gone, changed, hang := p.since(kind, after)
		switch {
		case hang:
			<-r.Context().Done()
			return
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || expired:
			p.writeObjects(w, watchResponse{Events: append([]event{}, events...), At: at})
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) since(kind string, after uint64) (events []event, at uint64, gone bool, changed chan struct{}, hang bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	events, gone = p.store.since(kind, after)
	return events, p.store.revision, gone, p.store.changed, p.fault.HangWatches
}

func (p *Platform) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxValue+1))
	if err != nil || len(body) > maxValue {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	c, err := readChange(r, kind, name, body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	outcome, delay := p.nextWriteOutcome()
	if outcome == outcomeDelayed {
		time.AfterFunc(delay, func() { p.write(c) })
	}
	if outcome == outcomeDelayed || outcome == outcomeLost {
		panic(http.ErrAbortHandler)
	}
	status, o := p.write(c)
	if outcome == outcomeUnanswered {
		panic(http.ErrAbortHandler)
	}
	if o == nil {
		w.WriteHeader(status)
		return
	}
	writeJSON(w, status, o)
}

func (p *Platform) write(c change) (int, *object) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Writes++
	return p.store.apply(c)
}

// writeOutcome is the outcome of a write under a fault.
type writeOutcome int

const (
	outcomeApplied    writeOutcome = iota
	outcomeLost                    // no effect, no answer
	outcomeDelayed                 // no answer, effect after LateBy
	outcomeUnanswered              // effect, but no answer
)

// nextWriteOutcome returns the outcome of the next write and decrements the counter of
// its fault.
func (p *Platform) nextWriteOutcome() (outcome writeOutcome, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.fault.LoseWrite > 0:
		p.fault.LoseWrite--
		return outcomeLost, 0
	case p.fault.LateWrite > 0:
		p.fault.LateWrite--
		return outcomeDelayed, p.fault.LateBy
	case p.fault.LoseAnswer > 0:
		p.fault.LoseAnswer--
		return outcomeUnanswered, 0
	default:
		return outcomeApplied, 0
	}
}
