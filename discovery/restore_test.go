package discovery_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/wasabiwheel/wasabiwheel/discovery"
	"github.com/wasabiwheel/wasabiwheel/platform"
)

const (
	retention        = 10 * time.Second
	removalRetention = 5 * time.Second
)

// policy retains objects that state a serial number, {"serial":N}, in the order of these.
type policy struct{}

// IsLate compares the versions of objects that state one, {"version":N}.
func (policy) IsLate(_ platform.Collection, known, o platform.Object, removed bool) (late bool, hold time.Duration) {
	before, after := versionOf(known), versionOf(o)
	return after > 0 && (after < before || removed && after == before), 0
}

func versionOf(o platform.Object) int {
	var spec struct{ Version int }
	_ = json.Unmarshal(o.Spec, &spec) // other specs have none
	return spec.Version
}

func serialOf(o platform.Object) int {
	var spec struct{ Serial int }
	_ = json.Unmarshal(o.Spec, &spec) // other specs have none
	return spec.Serial
}

// Supersedes compares the serial numbers.
func (policy) Supersedes(_ platform.Collection, a, b platform.Object) bool {
	return serialOf(a) > serialOf(b)
}

// Same compares the bytes.
func (policy) Same(_ platform.Collection, a, b platform.Object) bool {
	return bytes.Equal(a.Spec, b.Spec)
}

// Retention returns the same for all objects.
func (policy) Retention(_ platform.Collection, _ platform.Object, removed bool) time.Duration {
	if removed {
		return removalRetention
	}
	return retention
}

func numbered(name string, revision platform.Revision, serial int) platform.Object {
	return platform.Object{Name: name, Revision: revision, Spec: json.RawMessage(fmt.Sprintf(`{"serial":%d}`, serial))}
}

func listing(era platform.Era, at platform.Revision, objects ...platform.Object) platform.Listing {
	return platform.Listing{Era: era, At: at, Objects: objects}
}

// TestChangesAfterRestoreAreNotIgnoredAsOld guards against changes that are ignored since
// their revisions are not above those of before the store was restored.
func TestChangesAfterRestoreAreNotIgnoredAsOld(t *testing.T) {
	a1, a2 := numbered("a", 20, 1), numbered("a", 51, 2)
	put := func(o platform.Object) platform.Event { return platform.Event{Object: o} }
	cases := map[string]struct {
		restored []platform.Listing // as listed, one for each restore
		changes  []platform.Event   // in the last era
		after    time.Duration
		want     map[string]int // serial numbers
	}{
		"a change with the same revision":               {restored: []platform.Listing{listing(2, 50, a1)}, changes: []platform.Event{put(numbered("a", 51, 3))}, want: map[string]int{"a": 3}},
		"the newer state outlasts the copy":             {restored: []platform.Listing{listing(2, 50, a1)}, after: time.Hour, want: map[string]int{"a": 2}},
		"states that are written again in their order":  {restored: []platform.Listing{listing(2, 10)}, changes: []platform.Event{put(numbered("a", 11, 1))}, want: map[string]int{"a": 2}},
		"the same state is written again":               {restored: []platform.Listing{listing(2, 10)}, changes: []platform.Event{put(numbered("a", 11, 2))}, after: time.Hour, want: map[string]int{"a": 2}},
		"the copy lacks it for a while":                 {restored: []platform.Listing{listing(2, 10)}, after: retention - time.Second, want: map[string]int{"a": 2}},
		"it is not written again":                       {restored: []platform.Listing{listing(2, 10)}, after: retention + time.Second, want: map[string]int{}},
		"removed in the new era":                        {restored: []platform.Listing{listing(2, 50, a1)}, changes: []platform.Event{{Object: numbered("a", 51, 1), Removed: true}}, want: map[string]int{}},
		"two restores":                                  {restored: []platform.Listing{listing(2, 30, a1), listing(3, 25, a1)}, changes: []platform.Event{put(numbered("a", 26, 4))}, want: map[string]int{"a": 4}},
		"two restores of which one was not seen":        {restored: []platform.Listing{listing(3, 25, a1)}, changes: []platform.Event{put(numbered("a", 26, 4))}, want: map[string]int{"a": 4}},
		"a list of the earlier era arrives late":        {restored: []platform.Listing{listing(2, 52, numbered("a", 52, 5)), listing(1, 99, a1)}, want: map[string]int{"a": 5}},
		"the copy has an object that was removed":       {restored: []platform.Listing{listing(2, 50, a1, numbered("gone", 30, 1))}, want: map[string]int{"a": 2}},
		"an object that was removed is still there":     {restored: []platform.Listing{listing(2, 50, a1, numbered("gone", 30, 1))}, after: removalRetention + time.Second, want: map[string]int{"a": 2, "gone": 1}},
		"a removed object is written again":             {restored: []platform.Listing{listing(2, 50, a1, numbered("gone", 30, 1))}, changes: []platform.Event{put(numbered("gone", 51, 1))}, want: map[string]int{"a": 2, "gone": 1}},
		"a removed object was written since":            {restored: []platform.Listing{listing(2, 50, a1, numbered("gone", 49, 1))}, want: map[string]int{"a": 2, "gone": 1}},
		"a removed object is removed again":             {restored: []platform.Listing{listing(2, 50, a1, numbered("gone", 30, 1))}, changes: []platform.Event{{Object: numbered("gone", 51, 1), Removed: true}}, after: time.Hour, want: map[string]int{"a": 2}},
		"a removed object stays so over a second":       {restored: []platform.Listing{listing(2, 50, a1, numbered("gone", 30, 1)), listing(3, 40, a1, numbered("gone", 30, 1))}, want: map[string]int{"a": 2}},
		"an object that this process has not seen":      {restored: []platform.Listing{listing(2, 50, a1, numbered("new", 45, 1))}, want: map[string]int{"a": 2, "new": 1}},
		"a store that names no era after one with eras": {restored: []platform.Listing{listing(0, 90, numbered("a", 90, 9))}, want: map[string]int{"a": 2}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				convey.Convey("The mirror holds what is newest", t, func() {
					s := &sink{objects: map[string]string{}}
					m := discovery.NewMirror(s, policy{}, things)
					m.ApplyListing(things, listing(1, 40, a1, numbered("gone", 30, 1)))
					m.ApplyChanges(things, platform.Changes{Era: 1, At: 51, Events: []platform.Event{{Object: numbered("gone", 45, 1), Removed: true}, put(a2)}})
					for _, l := range c.restored {
						m.ApplyListing(things, l)
					}
					m.ApplyChanges(things, platform.Changes{Era: m.Era(things), At: 60, Events: c.changes})
					m.ApplyChanges(things, platform.Changes{Era: m.Era(things) - 1, At: 99, Events: []platform.Event{put(numbered("a", 98, 99)), put(numbered("late", 99, 1))}})
					time.Sleep(c.after)
					m.Tick(time.Now())
					got := map[string]int{}
					for name, spec := range s.objects {
						got[name] = serialOf(platform.Object{Spec: json.RawMessage(spec)})
					}
					convey.So(got, convey.ShouldResemble, c.want)
				})
			})
		})
	}
}

// TestProcessThatStartsAfterRestoreLearnsWhatOthersRetain updates a process that has only
// what the store has, before and after its first list.
func TestProcessThatStartsAfterRestoreLearnsWhatOthersRetain(t *testing.T) {
	cases := map[string]struct{ early, feed bool }{
		"told before its first list": {early: true},
		"told after it":              {},
		"fed by the other process":   {feed: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("It holds the newer state and not what was removed", t, func() {
				other := discovery.NewMirror(&sink{objects: map[string]string{}}, policy{}, things)
				other.ApplyListing(things, listing(1, 30, numbered("a", 20, 1), numbered("gone", 21, 1), numbered("lost", 29, 1)))
				other.ApplyChanges(things, platform.Changes{Era: 1, At: 32, Events: []platform.Event{{Object: numbered("a", 31, 2)}, {Object: numbered("gone", 32, 1), Removed: true}}})
				restored := listing(2, 25, numbered("a", 20, 1), numbered("gone", 21, 1))
				other.ApplyListing(things, restored)
				s := &sink{objects: map[string]string{}}
				m := discovery.NewMirror(s, policy{}, things)
				tell := func() {
					for _, b := range other.Retained(time.Now()) {
						m.Receive(b)
					}
				}
				switch {
				case c.feed:
					b, ok := other.Since(m.Position(things))
					convey.So(ok, convey.ShouldBeTrue)
					m.Receive(b)
				case c.early:
					tell()
					m.ApplyListing(things, restored)
				default:
					m.ApplyListing(things, restored)
					tell()
				}
				convey.So(s.objects, convey.ShouldResemble, map[string]string{"a": `{"serial":2}`, "lost": `{"serial":1}`})
				m.ApplyChanges(things, platform.Changes{Era: 2, At: 26, Events: []platform.Event{{Object: numbered("a", 26, 7)}}})
				convey.So(s.spec("a"), convey.ShouldEqual, `{"serial":7}`)
			})
		})
	}
}

// TestCopiesAgreeAfterRestores lets two processes read a store that is restored at random
// moments, one of them through batches of the other. After all objects were written again,
// both hold what the store has.
func TestCopiesAgreeAfterRestores(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type state struct {
			objects  map[string]platform.Object
			revision platform.Revision
		}
		era, serial := platform.Era(1), 0
		now := state{objects: map[string]platform.Object{}, revision: 1}
		past := []state{now}
		sinks := []*sink{{objects: map[string]string{}}, {objects: map[string]string{}}}
		reader, downstream := discovery.NewMirror(sinks[0], policy{}, things), discovery.NewMirror(sinks[1], policy{}, things)
		write := func(name string) {
			serial++
			now = state{objects: maps.Clone(now.objects), revision: now.revision + 1}
			now.objects[name] = numbered(name, now.revision, serial)
			past = append(past, now)
		}
		read := func() {
			l := platform.Listing{Era: era, At: now.revision}
			for _, o := range now.objects {
				l.Objects = append(l.Objects, o)
			}
			reader.ApplyListing(things, l)
			if b, ok := reader.Since(downstream.Position(things)); ok {
				downstream.Receive(b)
			}
		}
		read()
		names := []string{"a", "b", "c"}
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0:
				past = past[:1+rapid.IntRange(0, len(past)-1).Draw(rt, "restored to")]
				now = past[len(past)-1]
				era++
			case 1:
				read()
			default:
				write(rapid.SampledFrom(names).Draw(rt, "name"))
			}
		}
		for _, name := range names {
			write(name)
		}
		read()
		for _, s := range sinks {
			for _, name := range names {
				if want := string(now.objects[name].Spec); s.objects[name] != want {
					rt.Fatalf("%s is %s, in the store %s", name, s.objects[name], want)
				}
			}
		}
	})
}

// TestRestoreIsForwardedByDifference guards against full copies of a collection that are sent to
// all processes at once after a restore.
func TestRestoreIsForwardedByDifference(t *testing.T) {
	const count = 1000
	cases := map[string]struct {
		ahead bool // the downstream process has a change that the other one has not
		since int  // changes of the upstream process in the new era before it forwards
		full  bool
	}{
		"same state before":                        {},
		"changes since":                            {since: 3},
		"the other process knows a later change":   {ahead: true},
		"the other process was started since then": {full: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The batches are small and lead to the same state", t, func() {
				var all []platform.Object
				for i := range count {
					all = append(all, numbered(fmt.Sprint("o", i), platform.Revision(i+1), 1))
				}
				upSink, downSink := &sink{objects: map[string]string{}}, &sink{objects: map[string]string{}}
				up, down := discovery.NewMirror(upSink, policy{}, things), discovery.NewMirror(downSink, policy{}, things)
				up.ApplyListing(things, listing(1, count, all...))
				if !c.full {
					down.ApplyListing(things, listing(1, count, all...))
				}
				at := down.Position(things)
				if c.ahead {
					down.ApplyChanges(things, platform.Changes{Era: 1, At: count + 1, Events: []platform.Event{{Object: numbered("o1", count+1, 5)}}})
				}
				restored := append([]platform.Object{numbered("o0", 3, 9)}, all[1:count-2]...)
				up.ApplyListing(things, listing(2, count-2, restored...))
				for i := range c.since {
					up.ApplyChanges(things, platform.Changes{Era: 2, At: platform.Revision(count - 1 + i), Events: []platform.Event{{Object: numbered("o5", platform.Revision(count-1+i), 10+i)}}})
				}
				sent := 0
				for range 2 {
					b, ok := up.Since(at)
					convey.So(ok, convey.ShouldBeTrue)
					down.Receive(b)
					sent += len(b.Events)
					at.Era, at.At = b.Era, b.At
				}
				if c.ahead {
					convey.So(down.Era(things), convey.ShouldEqual, platform.Era(1)) // it finds out that it is behind
					return
				}
				convey.So(sent < 10, convey.ShouldEqual, !c.full)
				convey.So(downSink.objects, convey.ShouldResemble, upSink.objects)
				convey.So(down.Position(things), convey.ShouldResemble, up.Position(things))
			})
		})
	}
}

// TestRestoreOfStoreCostsLittleAt2000Nodes restores a store of 6,000 endpoints, of which 30 have
// changed meanwhile, in a domain of 61 nodes, a thirty-third of 2,000. One node reads the store
// and forwards the changes to 16 others, and these forward them.
func TestRestoreOfStoreCostsLittleAt2000Nodes(t *testing.T) {
	const (
		endpoints, nodes, fanOut, changed = 6000, 61, 16, 30
		maxBytes                          = 10 * 23_000 // that a node may send in the 10 s in which a change has to be in force
	)
	convey.Convey("No node sends more than its budget", t, func() {
		var before, after []platform.Object
		entry := func(i int, revision platform.Revision, state string) platform.Object {
			spec := fmt.Sprintf(`{"Address":"10.0.%d.%d:8080","born":1790000000000,"Info":{"Service":"service-%d","ConfigVersion":"v1","Zone":"zone-%d","Slots":6},"Status":{"State":%q,"Seq":17,"ColdLeftS":0}}`, i/250, i%250, i%9, i%33, state)
			return platform.Object{Name: fmt.Sprintf("i-%010d", i), Revision: revision, Spec: json.RawMessage(spec)}
		}
		for i := range endpoints {
			before = append(before, entry(i, platform.Revision(i+1), "ready"))
			after = append(after, before[i])
			if i < changed {
				before[i] = entry(i, platform.Revision(endpoints+i+1), "draining")
			}
		}
		var mirrors []*discovery.Mirror
		for range nodes {
			m := discovery.NewMirror(&sink{objects: map[string]string{}}, policy{}, things)
			m.ApplyListing(things, listing(1, endpoints+changed, before...))
			mirrors = append(mirrors, m)
		}
		mirrors[0].ApplyListing(things, listing(2, endpoints, after...))
		most := 0
		for i, m := range mirrors {
			sent := 0
			for child := i*fanOut + 1; child <= min(i*fanOut+fanOut, nodes-1); child++ {
				b, ok := m.Since(mirrors[child].Position(things))
				convey.So(ok, convey.ShouldBeTrue)
				data, err := cbor.Marshal(b)
				convey.So(err, convey.ShouldBeNil)
				sent += len(data)
				mirrors[child].Receive(b)
			}
			most = max(most, sent)
		}
		for _, m := range mirrors {
			convey.So(m.Position(things), convey.ShouldResemble, mirrors[0].Position(things))
		}
		full, err := cbor.Marshal(must(mirrors[0].Since(discovery.Position{Kind: things})))
		convey.So(err, convey.ShouldBeNil)
		t.Logf("the busiest node sends %d bytes; full copies would be %d", most, fanOut*len(full))
		convey.So(most, convey.ShouldBeLessThan, maxBytes)
	})
}

func must(b discovery.Batch, _ bool) discovery.Batch { return b }
