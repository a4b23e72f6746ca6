package standin

// The objects of the platform's store and their change history.

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// maxHistory bounds the number of changes that watches can still request.
const maxHistory = 10000

type key struct{ kind, name string }

// metadata is the metadata of an object, in its wire format.
type metadata struct {
	Name       string   `json:"Name"`
	Revision   uint64   `json:"Revision"`
	CreatedRev uint64   `json:"CreatedRev"`
	Finalizers []string `json:"Finalizers"`
	Deleting   bool     `json:"Deleting"`
}

type object struct {
	Metadata metadata        `json:"Metadata"`
	Spec     json.RawMessage `json:"Spec"`
	Status   json.RawMessage `json:"Status"`
}

type event struct {
	Object    object `json:"Object"`
	Tombstone bool   `json:"Tombstone"`

	kind string
	at   time.Time
}

// store is not safe for concurrent use.
type store struct {
	objects     map[key]object
	revision    uint64
	era         uint64        // number of times that it was restored, plus one
	history     []event       // by revision
	compactedTo uint64        // revision up to which changes were dropped
	changed     chan struct{} // closed and replaced at each change
}

func newStore() *store {
	return &store{objects: map[key]object{}, revision: 1, era: 1, changed: make(chan struct{})}
}

// change is a write to an object.
type change struct {
	method       string
	key          key
	wantRevision uint64 // required revision of the object; 0: any
	object       object
	statusOnly   bool // writes only the status
}

// readChange decodes a write.
func readChange(r *http.Request, kind, name string, body []byte) (change, error) {
	c := change{method: r.Method}
	if len(body) > 0 {
		if err := json.Unmarshal(body, &c.object); err != nil {
			return change{}, err
		}
	}
	name, c.statusOnly = strings.CutSuffix(name, "/status")
	if r.Method == http.MethodPost {
		name = c.object.Metadata.Name
	}
	c.key = key{kind, name}
	c.wantRevision = c.object.Metadata.Revision
	if text := r.URL.Query().Get("Revision"); text != "" {
		revision, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return change{}, err
		}
		c.wantRevision = revision
	}
	return c, nil
}

// apply applies a change and returns the status and the object of the answer.
func (s *store) apply(c change) (int, *object) {
	old, exists := s.objects[c.key]
	switch {
	case c.method == http.MethodPost && exists, exists && c.wantRevision != 0 && c.wantRevision != old.Metadata.Revision:
		return http.StatusConflict, &old
	case c.method != http.MethodPost && !exists:
		return http.StatusNotFound, nil
	case c.method == http.MethodDelete:
		s.remove(c.key)
		return http.StatusOK, nil
	}
	next := old
	next.Metadata.Name = c.key.name
	if c.statusOnly {
		next.Status = c.object.Status
	} else {
		next.Spec = c.object.Spec
		next.Metadata.Finalizers = c.object.Metadata.Finalizers
	}
	if exists && bytes.Equal(next.Spec, old.Spec) && bytes.Equal(next.Status, old.Status) {
		return http.StatusOK, &old
	}
	return http.StatusOK, s.put(c.key, next, !exists)
}

func (s *store) put(k key, o object, created bool) *object {
	s.revision++
	o.Metadata.Revision = s.revision
	if created {
		o.Metadata.CreatedRev = s.revision
	}
	s.objects[k] = o
	s.record(k, o, false)
	return &o
}

func (s *store) remove(k key) {
	o, ok := s.objects[k]
	if !ok {
		return
	}
	delete(s.objects, k)
	s.revision++
	o.Metadata.Revision = s.revision
	s.record(k, o, true)
}

func (s *store) record(k key, o object, removed bool) {
	s.history = append(s.history, event{Object: o, Tombstone: removed, kind: k.kind, at: time.Now()})
	if len(s.history) > maxHistory {
		s.compactedTo = s.history[0].Object.Metadata.Revision
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) compact() {
	s.history, s.compactedTo = nil, s.revision
}

// restore returns the store to the state of an earlier time. The revisions of what was written
// since are assigned again.
func (s *store) restore(at time.Time) {
	end := len(s.history)
	for end > 0 && s.history[end-1].at.After(at) {
		end--
		e := s.history[end]
		k := key{e.kind, e.Object.Metadata.Name}
		view := map[string]object{}
		s.undo(view, end)
		delete(s.objects, k)
		if o, existed := view[k.name]; existed {
			s.objects[k] = o
		}
		s.revision = e.Object.Metadata.Revision - 1
	}
	s.history = s.history[:end]
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// list returns a collection at a time, sorted by name, and the revision of that time.
func (s *store) list(kind string, at time.Time) ([]object, uint64) {
	now := map[string]object{}
	for k, o := range s.objects {
		if k.kind == kind {
			now[k.name] = o
		}
	}
	revision := s.revision
	for i := len(s.history) - 1; i >= 0 && s.history[i].at.After(at); i-- {
		revision = s.history[i].Object.Metadata.Revision - 1
		if s.history[i].kind == kind {
			s.undo(now, i)
		}
	}
	items := make([]object, 0, len(now))
	for _, o := range now {
		items = append(items, o)
	}
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	return items, revision
}

// undo reverts change i in a view of its collection.
func (s *store) undo(view map[string]object, i int) {
	e := s.history[i]
	name := e.Object.Metadata.Name
	delete(view, name)
	for j := i - 1; j >= 0; j-- {
		older := s.history[j]
		if older.kind == e.kind && older.Object.Metadata.Name == name {
			if !older.Tombstone {
				view[name] = older.Object
			}
			return
		}
	}
}

// since returns the changes of a collection after a revision. gone says that some of
// them were dropped, or that the store does not have the revision.
func (s *store) since(kind string, after uint64) (events []event, gone bool) {
	if after < s.compactedTo || after > s.revision {
		return nil, true
	}
	for _, e := range s.history {
		if e.kind == kind && e.Object.Metadata.Revision > after {
			events = append(events, e)
		}
	}
	return events, false
}
