//go:build review

package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	storePath    = "/wasabiwheel/objects/"
	pageObjects  = 500
	pageBytes    = 1 << 20
	historySpan  = 20 * time.Second // HistoryS of both installations
	maxWatchWait = 30 * time.Second
)

type metadata struct {
	Name       string
	Revision   uint64
	CreatedRev uint64
	Finalizers []string
	Deleting   bool
}

type object struct {
	Metadata metadata
	Spec     json.RawMessage
	Status   json.RawMessage
}

type event struct {
	Object    object
	Tombstone bool

	kind string
	at   time.Time
}

// store is a stand-in of the platform's metadata store: it loses nothing, answers at once, and
// keeps its history for historySpan.
type store struct {
	mu        sync.Mutex
	revision  uint64
	compacted uint64
	objects   map[string]map[string]object
	history   []event
	changed   chan struct{}
}

func newStore() *store {
	return &store{revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// put writes an object without a condition, as the operator and the endpoints do.
func (s *store) put(kind, name string, spec any) uint64 {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(kind, object{Metadata: metadata{Name: name}, Spec: data}).Metadata.Revision
}

func (s *store) write(kind string, o object) object {
	s.revision++
	o.Metadata.Revision = s.revision
	if old, ok := s.objects[kind][o.Metadata.Name]; ok {
		o.Metadata.CreatedRev = old.Metadata.CreatedRev
	} else {
		o.Metadata.CreatedRev = s.revision
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][o.Metadata.Name] = o
	s.record(event{Object: o, kind: kind})
	return o
}

func (s *store) delete(kind string, o object) {
	s.revision++
	delete(s.objects[kind], o.Metadata.Name)
	o.Metadata.Revision = s.revision
	s.record(event{Object: o, Tombstone: true, kind: kind})
}

func (s *store) record(e event) {
	e.at = time.Now()
	s.history = append(s.history, e)
	old := 0
	for old < len(s.history) && time.Since(s.history[old].at) > historySpan {
		s.compacted = s.history[old].Object.Metadata.Revision
		old++
	}
	s.history = slices.Delete(s.history, 0, old)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, storePath)
	if !ok {
		http.NotFound(w, r)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Get("Watch") != "":
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.objects[kind][name]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, o)
	default:
		s.change(w, r, kind, name)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	var all []object
	for _, o := range s.objects[kind] {
		if o.Metadata.Name > r.URL.Query().Get("after") {
			all = append(all, o)
		}
	}
	at := s.revision
	s.mu.Unlock()
	slices.SortFunc(all, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	count, size := 0, 0
	for count < len(all) && count < pageObjects && (count == 0 || size < pageBytes) {
		size += len(all[count].Spec)
		count++
	}
	reply(w, http.StatusOK, map[string]any{"items": slices.Concat([]object{}, all[:count]), "HasMore": count < len(all), "StoreRevision": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	timer := time.NewTimer(min(maxWatchWait, time.Duration(ms)*time.Millisecond))
	defer timer.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		if after < s.compacted {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.Object.Metadata.Revision > after {
				events = append(events, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || !waiting {
			reply(w, http.StatusOK, map[string]any{"events": events, "StoreRevision": at})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-timer.C:
			waiting = false
		}
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	data, err := io.ReadAll(r.Body)
	if err == nil && len(data) > 0 {
		err = json.Unmarshal(data, &o)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	name, isStatus := strings.CutSuffix(name, "/status")
	if r.Method == http.MethodPost {
		name = o.Metadata.Name
	}
	want := o.Metadata.Revision
	if text := r.URL.Query().Get("Revision"); text != "" {
		want, _ = strconv.ParseUint(text, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists, exists && want != 0 && want != old.Metadata.Revision:
		reply(w, http.StatusConflict, old)
	case r.Method != http.MethodPost && !exists:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		s.delete(kind, old)
		w.WriteHeader(http.StatusOK)
	default:
		next := old
		next.Metadata.Name = name
		if isStatus {
			next.Status = o.Status
		} else {
			next.Spec, next.Metadata.Finalizers = o.Spec, o.Metadata.Finalizers
		}
		if exists && string(next.Spec) == string(old.Spec) && string(next.Status) == string(old.Status) {
			reply(w, http.StatusOK, old)
			return
		}
		reply(w, http.StatusOK, s.write(kind, next))
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
