package discovery_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/wasabiwheel/wasabiwheel/discovery"
	"github.com/wasabiwheel/wasabiwheel/platform"
)

const things platform.Collection = "things"

func object(name string, revision platform.Revision) platform.Object {
	return platform.Object{Name: name, Revision: revision, Spec: json.RawMessage(fmt.Sprintf(`%q`, fmt.Sprint(name, revision)))}
}

// history is the sequence of changes of a collection.
type history struct {
	events []platform.Event
	states []map[string]platform.Object // after each event
}

func drawHistory(rt *rapid.T) history {
	var h history
	now := map[string]platform.Object{}
	for i := range rapid.IntRange(1, 40).Draw(rt, "changes") {
		name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(rt, "name")
		revision := platform.Revision(2*i + 2) // other collections change in between
		_, exists := now[name]
		e := platform.Event{Object: object(name, revision), Removed: exists && rapid.Bool().Draw(rt, "removed")}
		if e.Removed {
			delete(now, name)
		} else {
			now[name] = e.Object
		}
		h.events = append(h.events, e)
		h.states = append(h.states, maps.Clone(now))
	}
	return h
}

// list returns the collection after the first n events.
func (h history) list(n int) platform.Listing {
	l := platform.Listing{At: platform.Revision(2*n + 1)}
	if n > 0 {
		for _, o := range h.states[n-1] {
			l.Objects = append(l.Objects, o)
		}
	}
	return l
}

// TestDelayedAndRepeatedChangesAreIgnored applies a history by lists and changes that
// are delayed, repeated and come from several sources. The mirror must match the store
// in the end.
func TestDelayedAndRepeatedChangesAreIgnored(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := drawHistory(rt)
		s := &sink{objects: map[string]string{}}
		m := discovery.NewMirror(s, policy{}, things)
		m.ApplyListing(things, h.list(rapid.IntRange(0, len(h.events)).Draw(rt, "first list")))
		for range rapid.IntRange(0, 12).Draw(rt, "news") {
			from := rapid.IntRange(0, len(h.events)).Draw(rt, "from")
			to := rapid.IntRange(from, len(h.events)).Draw(rt, "to")
			if rapid.Bool().Draw(rt, "list") {
				m.ApplyListing(things, h.list(to))
				continue
			}
			at := m.At(things)
			if platform.Revision(2*from+1) > at {
				continue // a watch starts at a known revision, not after it
			}
			m.ApplyChanges(things, platform.Changes{Events: h.events[from:to], At: platform.Revision(2*to + 1)})
		}
		m.ApplyListing(things, h.list(len(h.events)))
		want := map[string]string{}
		for name, o := range h.states[len(h.states)-1] {
			want[name] = string(o.Spec)
		}
		if !maps.Equal(s.objects, want) {
			rt.Fatalf("mirror holds %v, store holds %v", s.objects, want)
		}
	})
}

// TestBatchesFromChangingUpstreams updates a mirror by batches from two other mirrors,
// which are behind the store to a different degree and restart. The mirror must match
// the store in the end.
func TestBatchesFromChangingUpstreams(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := drawHistory(rt)
		sources := []*discovery.Mirror{discovery.NewMirror(&sink{objects: map[string]string{}}, policy{}, things), discovery.NewMirror(&sink{objects: map[string]string{}}, policy{}, things)}
		known := []int{0, 0}
		for _, s := range sources {
			s.ApplyListing(things, h.list(0))
		}
		receiver := &sink{objects: map[string]string{}}
		m := discovery.NewMirror(receiver, policy{}, things)
		sendBatch := func(i int) {
			b, ok := sources[i].Since(discovery.Position{Kind: things, At: m.At(things)})
			if ok {
				m.Receive(b)
			}
		}
		for range 30 {
			i := rapid.IntRange(0, 1).Draw(rt, "source")
			next := rapid.IntRange(known[i], len(h.events)).Draw(rt, "reads up to")
			sources[i].ApplyChanges(things, platform.Changes{Events: h.events[known[i]:next], At: platform.Revision(2*next + 1)})
			known[i] = next
			if rapid.Bool().Draw(rt, "starts again") {
				sources[i] = discovery.NewMirror(&sink{objects: map[string]string{}}, policy{}, things)
				sources[i].ApplyListing(things, h.list(next))
			}
			sendBatch(rapid.IntRange(0, 1).Draw(rt, "feed"))
		}
		for i := range sources {
			sources[i].ApplyChanges(things, platform.Changes{Events: h.events[known[i]:], At: platform.Revision(2*len(h.events) + 1)})
		}
		sendBatch(rapid.IntRange(0, 1).Draw(rt, "last feed"))
		want := map[string]string{}
		for name, o := range h.states[len(h.states)-1] {
			want[name] = string(o.Spec)
		}
		if !maps.Equal(receiver.objects, want) {
			rt.Fatalf("mirror holds %v, store holds %v", receiver.objects, want)
		}
	})
}

func TestCompleteIsReportedOnce(t *testing.T) {
	convey.Convey("After the first list", t, func() {
		s := &sink{objects: map[string]string{}}
		m := discovery.NewMirror(s, policy{}, things)
		convey.So(m.At(things), convey.ShouldEqual, platform.Revision(0))
		_, ok := m.Since(discovery.Position{Kind: things})
		convey.So(ok, convey.ShouldBeFalse)
		changed := m.NextChange()
		m.ApplyListing(things, platform.Listing{At: 7})
		<-changed
		m.ApplyListing(things, platform.Listing{At: 9})
		convey.So(s.complete, convey.ShouldEqual, 1)
		convey.So(m.At(things), convey.ShouldEqual, platform.Revision(9))
		m.Receive(discovery.Batch{Kind: "unknown", Full: true})
	})
}

// TestManyRemovedObjectsStayRemoved removes more objects than a mirror keeps tombstones of.
// Changes from before their removal arrive late, as from a process that was paused.
func TestManyRemovedObjectsStayRemoved(t *testing.T) {
	const count = 10_000
	convey.Convey("A late change restores none of them, and new objects are accepted", t, func() {
		receiver := &sink{objects: map[string]string{}}
		m := discovery.NewMirror(receiver, policy{}, things)
		m.ApplyListing(things, platform.Listing{At: 1})
		var created []platform.Event
		at := platform.Revision(1)
		for i := range count {
			at++
			created = append(created, platform.Event{Object: object(fmt.Sprint(i), at)})
		}
		m.ApplyChanges(things, platform.Changes{Events: created, At: at})
		for i := range count {
			at++
			m.ApplyChanges(things, platform.Changes{Events: []platform.Event{{Object: object(fmt.Sprint(i), at), Removed: true}}, At: at})
		}
		m.ApplyChanges(things, platform.Changes{Events: created, At: created[count-1].Object.Revision})
		convey.So(receiver.objects, convey.ShouldBeEmpty)
		m.ApplyChanges(things, platform.Changes{Events: []platform.Event{{Object: object("new", at+1)}, {Object: object("7", at+2)}}, At: at + 2})
		convey.So(receiver.objects, convey.ShouldHaveLength, 2)
	})
}
