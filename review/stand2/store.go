//go:build review

// Package stand2 holds the stand-ins of the second review: the platform's store, endpoints,
// clients, and the start of nodes as processes. All addresses are loopback addresses.
package stand2

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Object is an object of the store.
type Object struct {
	Metadata struct {
		Name       string `json:"Name"`
		Revision   uint64 `json:"Revision"`
		CreatedRev uint64 `json:"CreatedRev"`
	} `json:"Metadata"`
	Spec   json.RawMessage `json:"Spec,omitempty"`
	Status json.RawMessage `json:"Status,omitempty"`
}

type event struct {
	kind      string
	Object    Object `json:"Object"`
	Tombstone bool   `json:"Tombstone"`
}

// Store is a stand-in of the platform's store. It loses nothing and is linearizable.
type Store struct {
	Address string

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]Object
	history  []event
	changed  chan struct{}
}

// StartStore starts a store.
func StartStore() *Store {
	s := &Store{revision: 1, objects: map[string]map[string]Object{}, changed: make(chan struct{})}
	l := Listen()
	s.Address = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	return s
}

// Listen opens a free port of the loopback address.
func Listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Must(err)
	return l
}

// Put creates or replaces an object, as a call of the operator or of an endpoint that the store accepts.
func (s *Store) Put(kind, name string, spec any) uint64 {
	data, err := json.Marshal(spec)
	Must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if ok && string(o.Spec) == string(data) {
		return o.Metadata.Revision
	}
	o.Metadata.Name, o.Spec = name, data
	return s.set(kind, o, !ok)
}

// Remove removes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

func (s *Store) set(kind string, o Object, created bool) uint64 {
	s.revision++
	o.Metadata.Revision = s.revision
	if created {
		o.Metadata.CreatedRev = s.revision
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]Object{}
	}
	s.objects[kind][o.Metadata.Name] = o
	s.record(event{kind: kind, Object: o})
	return s.revision
}

func (s *Store) remove(kind, name string) bool {
	o, ok := s.objects[kind][name]
	if !ok {
		return false
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.record(event{kind: kind, Object: o, Tombstone: true})
	return true
}

func (s *Store) record(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves the calls of the system.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/wasabiwheel/objects/")
	kind, name, _ := strings.Cut(path, "/")
	switch {
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodGet && r.URL.Query().Has("Watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.objects[kind][name]
		s.mu.Unlock()
		reply(w, o, ok, http.StatusNotFound)
	default:
		s.write(w, r, kind, name)
	}
}

func reply(w http.ResponseWriter, v any, ok bool, otherwise int) {
	if !ok {
		w.WriteHeader(otherwise)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := []Object{}
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	reply(w, map[string]any{"items": items, "HasMore": false, "StoreRevision": at}, true, 0)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		found := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.Object.Metadata.Revision > after {
				found = append(found, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		done := len(found) > 0
		if !done {
			select {
			case <-changed:
				continue
			case <-timer.C:
				done = true
			case <-r.Context().Done():
				return
			}
		}
		reply(w, map[string]any{"events": found, "StoreRevision": at}, true, 0)
		return
	}
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o Object
	data, _ := io.ReadAll(r.Body)
	if r.Method != http.MethodDelete && json.Unmarshal(data, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch r.Method {
	case http.MethodPost:
		known, exists := s.objects[kind][o.Metadata.Name]
		if exists {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusConflict)
			_ = json.NewEncoder(w).Encode(known)
			return
		}
		o.Status = nil
		s.set(kind, o, true)
		reply(w, s.objects[kind][o.Metadata.Name], true, 0)
	case http.MethodPut:
		name = strings.TrimSuffix(name, "/status")
		known, exists := s.objects[kind][name]
		if !exists {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if at := o.Metadata.Revision; at != 0 && at != known.Metadata.Revision {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusConflict)
			_ = json.NewEncoder(w).Encode(known)
			return
		}
		if string(known.Spec) != string(o.Spec) {
			known.Spec = o.Spec
			s.set(kind, known, false)
		}
		reply(w, s.objects[kind][name], true, 0)
	case http.MethodDelete:
		if !s.remove(kind, name) {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, struct{}{}, true, 0)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}
