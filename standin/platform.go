// Package standin holds small fakes of what surrounds the system, for tests and
// for trying it out: the platform's object API and VM list, and targets. They
// speak the same protocols as the real ones and can be told to misbehave. None
// of them is meant for production.
//
// # Usage
//
//	p := standin.NewPlatform()
//	http.Serve(listener, p)
//	p.SetFault(standin.Fault{Down: true})
package standin

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/wasabiwheel/wasabiwheel/platform"
)

const maxValue = 1 << 20 // bytes

// Fault is how the platform misbehaves.
type Fault struct {
	Down       bool          `json:"down"`       // every call fails
	Delay      time.Duration `json:"delay"`      // before each call, in nanoseconds
	Object     string        `json:"object"`     // the only object whose writes the next three hit; "": any
	LoseAnswer int           `json:"loseAnswer"` // of the next writes: they take effect, the answer is cut off
	LoseWrite  int           `json:"loseWrite"`  // of the next writes: they never take effect, the answer is cut off
	LateWrite  int           `json:"lateWrite"`  // of the next writes: the answer is cut off, they take effect after LateBy
	LateBy     time.Duration `json:"lateBy"`     // in nanoseconds
	Forget     bool          `json:"forget"`     // once: all objects are lost
	ListLag    time.Duration `json:"listLag"`    // by which the VM list is late, in nanoseconds
}

// Counts is the number of calls served.
type Counts struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Watches int `json:"watches"` // waiting now
	Read    int `json:"read"`    // bytes of values
	Written int `json:"written"` // bytes of values
}

type object struct {
	value   []byte
	version int
}

func (o object) tag() string { return `"` + strconv.Itoa(o.version) + `"` }

type listing struct {
	at  time.Time
	vms []platform.VM
}

// Platform is a stand-in for the platform's object API and VM list. It is an
// http.Handler and is safe for concurrent use.
type Platform struct {
	mu      sync.Mutex
	objects map[string]object
	changed chan struct{} // closed and replaced at each write
	fault   Fault
	counts  Counts
	last    int
	vms     []listing
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{objects: map[string]object{}, changed: make(chan struct{})}
}

// SetFault changes how the platform misbehaves.
func (p *Platform) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

// SetVMs changes the truth behind the list of VMs.
func (p *Platform) SetVMs(vms []platform.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = append(p.vms, listing{at: time.Now(), vms: slices.Clone(vms)})
}

// Counts returns the calls served so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// ServeHTTP serves the object API, the VM list, and under /fault the means to
// make it misbehave from another process; /truth takes what the VM list is to
// say.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/fault":
		p.serveFault(w, r)
		return
	case "/truth":
		p.serveTruth(w, r)
		return
	}
	fault := p.enter()
	if !pause(r.Context(), fault.Delay) {
		return
	}
	if fault.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	name, isObject := strings.CutPrefix(r.URL.Path, "/objects/")
	switch {
	case r.URL.Path == "/vms":
		p.serveVMs(w)
	case isObject && r.Method == http.MethodGet:
		p.serveGet(w, r, name)
	case isObject && r.Method == http.MethodPut:
		p.servePut(w, r, name)
	default:
		http.NotFound(w, r)
	}
}

func (p *Platform) enter() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// pause waits and reports whether the caller is still there.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func (p *Platform) serveFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(io.LimitReader(r.Body, maxValue)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if f.Forget {
		p.Restore(Snapshot{})
	}
	p.SetFault(f)
}

func (p *Platform) serveTruth(w http.ResponseWriter, r *http.Request) {
	var vms []platform.VM
	if err := json.NewDecoder(io.LimitReader(r.Body, maxValue)).Decode(&vms); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetVMs(vms)
}

func (p *Platform) serveVMs(w http.ResponseWriter) {
	p.mu.Lock()
	p.counts.Reads++
	seen := time.Now().Add(-p.fault.ListLag)
	vms := []platform.VM{}
	for _, l := range p.vms {
		if !l.at.After(seen) {
			vms = l.vms
		}
	}
	p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(vms)
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request, name string) {
	p.countCall()
	known := r.Header.Get("If-None-Match")
	deadline := time.Now().Add(waitOf(r))
	for {
		o, ok, changed := p.look(name)
		if ok && o.tag() != known {
			w.Header().Set("ETag", o.tag())
			_, _ = w.Write(o.value)
			p.countRead(len(o.value))
			return
		}
		left := time.Until(deadline)
		if left <= 0 {
			refuseGet(w, ok)
			return
		}
		if !p.await(r.Context(), changed, left) {
			return
		}
	}
}

// countCall counts a read once, however often a watch looks.
func (p *Platform) countCall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Reads++
}

func (p *Platform) countRead(size int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Read += size
}

func refuseGet(w http.ResponseWriter, exists bool) {
	if exists {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.WriteHeader(http.StatusNotFound)
}

func (p *Platform) look(name string) (object, bool, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o, ok := p.objects[name]
	return o, ok, p.changed
}

// await waits for a write and reports whether the caller is still there.
func (p *Platform) await(ctx context.Context, changed chan struct{}, left time.Duration) bool {
	p.watching(1)
	defer p.watching(-1)
	select {
	case <-changed:
	case <-time.After(left):
	case <-ctx.Done():
		return false
	}
	return true
}

func (p *Platform) watching(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Watches += n
}

// waitOf reads "Prefer: wait=N" in seconds.
func waitOf(r *http.Request) time.Duration {
	text, ok := strings.CutPrefix(r.Header.Get("Prefer"), "wait=")
	if !ok {
		return 0
	}
	seconds, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request, name string) {
	value, err := io.ReadAll(io.LimitReader(r.Body, maxValue+1))
	if err != nil || len(value) > maxValue {
		http.Error(w, "value", http.StatusRequestEntityTooLarge)
		return
	}
	fate, late := p.writeFate(name)
	if fate == fateLate {
		header := r.Header.Clone()
		time.AfterFunc(late, func() { p.put(name, value, header) })
	}
	if fate == fateLate || fate == fateLost {
		panic(http.ErrAbortHandler)
	}
	o, ok := p.put(name, value, r.Header)
	switch {
	case fate == fateUnanswered:
		panic(http.ErrAbortHandler)
	case !ok:
		w.WriteHeader(http.StatusPreconditionFailed)
	default:
		w.Header().Set("ETag", o.tag())
		w.WriteHeader(http.StatusNoContent)
	}
}

// fate is what becomes of a write.
type fate int

const (
	fateDone       fate = iota
	fateLost            // no effect, no answer
	fateLate            // no answer, an effect later
	fateUnanswered      // an effect, no answer
)

// writeFate uses up one of the faults that are due to the next writes.
func (p *Platform) writeFate(name string) (f fate, late time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.fault.Object != "" && p.fault.Object != name:
		return fateDone, 0
	case p.fault.LoseWrite > 0:
		p.fault.LoseWrite--
		return fateLost, 0
	case p.fault.LateWrite > 0:
		p.fault.LateWrite--
		return fateLate, p.fault.LateBy
	case p.fault.LoseAnswer > 0:
		p.fault.LoseAnswer--
		return fateUnanswered, 0
	default:
		return fateDone, 0
	}
}

func (p *Platform) put(name string, value []byte, header http.Header) (o object, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Writes++
	p.counts.Written += len(value)
	old, exists := p.objects[name]
	if header.Get("If-None-Match") == "*" && exists {
		return object{}, false
	}
	if match := header.Get("If-Match"); match != "" && (!exists || match != old.tag()) {
		return object{}, false
	}
	p.last++
	o = object{value: value, version: p.last}
	p.objects[name] = o
	p.wake()
	return o, true
}

// wake lets the waiting watches look again.
func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Snapshot is a past state of the objects.
type Snapshot struct {
	objects map[string]object
	last    int
}

// Snapshot returns the present state, as a backup would.
func (p *Platform) Snapshot() Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Snapshot{objects: maps.Clone(p.objects), last: p.last}
}

// Restore brings back an older state. Its versions are given out once more.
func (p *Platform) Restore(s Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects = map[string]object{}
	maps.Copy(p.objects, s.objects)
	p.last = s.last
	p.wake()
}
