//go:build review

package main

// The stand-in of the platform's store: objects by kind and name, one revision counter, lists, watches
// and conditional writes, as the users' protocol page describes them.

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const objectsPath = "/wasabiwheel/objects/"

// object is an object of the store.
type object struct {
	Metadata metadata        `json:"Metadata"`
	Spec     json.RawMessage `json:"Spec,omitempty"`
}

type metadata struct {
	Name       string `json:"Name"`
	Revision   uint64 `json:"Revision"`
	CreatedRev uint64 `json:"CreatedRev"`
}

// event is a change of an object.
type event struct {
	Object    object `json:"Object"`
	Tombstone bool   `json:"Tombstone"`
	kind      string
}

// store is the stand-in. It keeps its whole history.
type store struct {
	listener net.Listener

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []event
	changed  chan struct{}
	lose     func(method, kind, name string) (late time.Duration, lost bool) // whether the answer to a write is lost; nil: none is
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	go func() { _ = http.Serve(l, s) }() // ends with the process
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes an object as its writer on the platform does, and returns the revision.
func (s *store) put(kind, name string, spec any) uint64 {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err) // the cases pass only what can be encoded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(kind, name, data).Metadata.Revision
}

// remove removes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(kind, name)
}

// write replaces the spec of an object. The caller holds the lock.
func (s *store) write(kind, name string, spec json.RawMessage) object {
	all := s.objects[kind]
	if all == nil {
		all = map[string]object{}
		s.objects[kind] = all
	}
	s.revision++
	o, exists := all[name]
	if !exists {
		o.Metadata = metadata{Name: name, CreatedRev: s.revision}
	}
	o.Metadata.Revision, o.Spec = s.revision, spec
	all[name] = o
	s.record(event{Object: o, kind: kind})
	return o
}

func (s *store) delete(kind, name string) bool {
	o, exists := s.objects[kind][name]
	if !exists {
		return false
	}
	s.revision++
	o.Metadata.Revision = s.revision
	delete(s.objects[kind], name)
	s.record(event{Object: o, Tombstone: true, kind: kind})
	return true
}

func (s *store) record(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves a call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	name = strings.TrimSuffix(name, "/status")
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("Watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, exists := s.objects[kind][name]
		s.mu.Unlock()
		if !exists {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, o)
	case r.Method == http.MethodDelete:
		if s.isLost(r, kind, name) {
			return
		}
		s.mu.Lock()
		existed := s.delete(kind, name)
		s.mu.Unlock()
		if !existed {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, struct{}{})
	default:
		s.change(w, r, kind, name)
	}
}

// isLost reports whether the answer to a removal is lost. The removal is executed later, and the
// connection returns nothing any more.
func (s *store) isLost(r *http.Request, kind, name string) bool {
	if s.lose == nil {
		return false
	}
	late, lost := s.lose(r.Method, kind, name)
	if !lost {
		return false
	}
	condition, _ := strconv.ParseUint(r.URL.Query().Get("Revision"), 10, 64)
	time.AfterFunc(late, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if o, exists := s.objects[kind][name]; exists && (condition == 0 || o.Metadata.Revision == condition) {
			s.delete(kind, name)
		}
	})
	<-r.Context().Done()
	return true
}

// change serves a POST or a PUT.
func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = o.Metadata.Name
	}
	known, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists, exists && o.Metadata.Revision > 0 && o.Metadata.Revision != known.Metadata.Revision:
		reply(w, http.StatusConflict, known)
	case r.Method == http.MethodPut && !exists:
		w.WriteHeader(http.StatusNotFound)
	default:
		reply(w, http.StatusOK, s.write(kind, name, o.Spec))
	}
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := []object{}
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	at := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	reply(w, http.StatusOK, map[string]any{"items": items, "HasMore": false, "StoreRevision": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	end := time.After(time.Duration(ms) * time.Millisecond)
	for {
		events := []event{}
		s.mu.Lock()
		for _, e := range s.history {
			if e.kind == kind && e.Object.Metadata.Revision > after {
				events = append(events, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "StoreRevision": at})
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, http.StatusOK, map[string]any{"events": events, "StoreRevision": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has left
}
