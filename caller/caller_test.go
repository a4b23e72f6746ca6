package caller

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/lookup"
)

// entry is a fake entry VM that names others in its look-ups.
type entry struct {
	*httptest.Server
	lookups atomic.Int64
	keys    atomic.Value // string: the last key received
	names   []lookup.Entry
	answer  http.HandlerFunc
}

func newEntry(t *testing.T, answer http.HandlerFunc) *entry {
	e := &entry{answer: answer}
	e.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/lookup" {
			e.lookups.Add(1)
			_ = json.NewEncoder(w).Encode(lookup.Answer{Entries: e.names, TTL: 60})
			return
		}
		e.keys.Store(r.Header.Get(HeaderKey))
		e.answer(w, r)
	}))
	t.Cleanup(e.Close)
	return e
}

func (e *entry) address() string { return strings.TrimPrefix(e.URL, "http://") }

func ok(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }

func breakOff(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(HeaderOutcome, string(OutcomeNotRun))
	w.Header().Set("Retry-After", "7")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func TestCall(t *testing.T) {
	cases := map[string]struct {
		first, second http.HandlerFunc
		outcome       Outcome
		tries         int
	}{
		"first answers":                  {first: ok, second: breakOff, outcome: OutcomeRan, tries: 1},
		"first breaks off, second tried": {first: breakOff, second: ok, outcome: OutcomeRan, tries: 2},
		"not run is not sent again":      {first: refuse, second: ok, outcome: OutcomeNotRun, tries: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("A caller uses the entry VMs in order, with one key", t, func() {
				first, second := newEntry(t, c.first), newEntry(t, c.second)
				first.names = []lookup.Entry{{ID: "a", Address: first.address(), Token: "a.1.0"}, {ID: "b", Address: second.address(), Token: "b.1.0"}}
				client := New(Options{Nodes: []string{first.address()}})
				r, err := client.Call(t.Context(), Operation{Service: "s", Method: http.MethodPost, Path: "/", Once: true})
				convey.So(err, convey.ShouldBeNil)
				convey.So(r.Outcome, convey.ShouldEqual, c.outcome)
				convey.So(r.Tries, convey.ShouldEqual, c.tries)
				convey.So(r.Key, convey.ShouldStartWith, "a.1.0~")
				if c.tries > 1 {
					convey.So(second.keys.Load(), convey.ShouldEqual, r.Key)
				}
			})
		})
	}
}

func TestLookupIsCached(t *testing.T) {
	convey.Convey("A look-up is asked once while its answer is fresh", t, func() {
		e := newEntry(t, ok)
		e.names = []lookup.Entry{{ID: "a", Address: e.address()}}
		client := New(Options{Nodes: []string{e.address()}})
		for range 3 {
			_, err := client.Lookup(t.Context(), "s")
			convey.So(err, convey.ShouldBeNil)
		}
		convey.So(e.lookups.Load(), convey.ShouldEqual, 1)
	})
}

func TestRefusedLookupIsNotRun(t *testing.T) {
	convey.Convey("A caller that is refused at the look-up learns when to come back", t, func() {
		server := httptest.NewServer(http.HandlerFunc(refuse))
		defer server.Close()
		client := New(Options{Nodes: []string{strings.TrimPrefix(server.URL, "http://")}})
		r, err := client.Call(t.Context(), Operation{Service: "s", Method: http.MethodGet, Path: "/"})
		convey.So(err, convey.ShouldBeNil)
		convey.So(r.Outcome, convey.ShouldEqual, OutcomeNotRun)
		convey.So(r.After, convey.ShouldEqual, 7*time.Second)
	})
}

func TestSilentNodeIsAskedLast(t *testing.T) {
	convey.Convey("A node that did not answer is asked after the others", t, func() {
		e := newEntry(t, ok)
		e.names = []lookup.Entry{{ID: "a", Address: e.address()}}
		client := New(Options{Nodes: []string{"127.0.0.1:1", e.address()}})
		_, err := client.Lookup(t.Context(), "s")
		convey.So(err, convey.ShouldBeNil)
		convey.So(client.ask("other")[0], convey.ShouldEqual, e.address())
	})
}
