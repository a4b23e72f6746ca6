package discovery_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/discovery"
	"github.com/wasabiwheel/wasabiwheel/platform"
)

// versioned returns an object of which the writer numbers the states.
func versioned(revision platform.Revision, version int) platform.Object {
	return platform.Object{Name: "a", Revision: revision, Spec: json.RawMessage(fmt.Sprintf(`{"version":%d}`, version))}
}

// TestLateWriteReachesNoOtherProcess guards against a process that takes a late write from the store,
// or from another process, for the newest state of its object.
func TestLateWriteReachesNoOtherProcess(t *testing.T) {
	put := func(revision platform.Revision, version int) platform.Event {
		return platform.Event{Object: versioned(revision, version)}
	}
	removed := platform.Event{Object: versioned(25, 5), Removed: true}
	changes := func(at platform.Revision, events ...platform.Event) platform.Changes {
		return platform.Changes{Events: events, At: at}
	}
	cases := map[string]struct {
		known []platform.Event // by the first process, in order
		want  map[string]int
	}{
		"an older state":                       {known: []platform.Event{put(20, 5), put(30, 2)}, want: map[string]int{"a": 5}},
		"two older states":                     {known: []platform.Event{put(20, 5), put(30, 2), put(31, 3)}, want: map[string]int{"a": 5}},
		"a newer state after that":             {known: []platform.Event{put(20, 5), put(30, 2), put(31, 6)}, want: map[string]int{"a": 6}},
		"a removal after that":                 {known: []platform.Event{put(20, 5), put(30, 2), {Object: versioned(31, 2), Removed: true}}, want: map[string]int{}},
		"after the removal":                    {known: []platform.Event{put(20, 5), removed, put(30, 2)}, want: map[string]int{}},
		"the last state after its removal":     {known: []platform.Event{put(20, 5), removed, put(30, 5)}, want: map[string]int{}},
		"a new state after the removal":        {known: []platform.Event{put(20, 5), removed, put(30, 6)}, want: map[string]int{"a": 6}},
		"before and after the removal":         {known: []platform.Event{put(20, 5), put(24, 2), {Object: versioned(25, 2), Removed: true}, put(30, 4)}, want: map[string]int{}},
		"the last state after a late removal":  {known: []platform.Event{put(20, 5), removed, put(30, 2), {Object: versioned(31, 2), Removed: true}, put(32, 5)}, want: map[string]int{}},
		"a number beyond what was known first": {known: []platform.Event{put(20, 8), put(30, 7)}, want: map[string]int{"a": 8}},
	}
	for name, c := range cases {
		for _, source := range []string{"store", "other process at once", "other process step by step", "store, and other process later"} {
			t.Run(name+", "+source, func(t *testing.T) {
				convey.Convey("Both hold the newest state", t, func() {
					first, second := &sink{objects: map[string]string{}}, &sink{objects: map[string]string{}}
					up, m := discovery.NewMirror(first, policy{}, things), discovery.NewMirror(second, policy{}, things)
					start := listing(0, 10, versioned(8, 1))
					up.ApplyListing(things, start)
					m.ApplyListing(things, start)
					feed := func() {
						b, ok := up.DifferencesSince(m.Position(things))
						convey.So(ok, convey.ShouldBeTrue)
						convey.So(m.Receive(b), convey.ShouldBeNil)
					}
					last := c.known[len(c.known)-1]
					for _, e := range c.known {
						up.ApplyChanges(things, changes(e.Object.Revision, e))
						switch source {
						case "store":
							m.ApplyChanges(things, changes(e.Object.Revision, e))
						case "other process step by step":
							feed()
						}
					}
					switch source {
					case "other process at once":
						feed()
					case "store, and other process later":
						l := listing(0, 40)
						if !last.Removed {
							l.Objects = append(l.Objects, last.Object)
						}
						m.ApplyListing(things, l)
						_, retained := up.LateWrites(time.Now(), 0)
						for _, b := range retained {
							convey.So(m.Receive(b), convey.ShouldBeNil)
						}
					}
					for _, s := range []*sink{first, second} {
						got := map[string]int{}
						for name, spec := range s.objects {
							got[name] = versionOf(platform.Object{Spec: json.RawMessage(spec)})
						}
						convey.So(got, convey.ShouldResemble, c.want)
					}
				})
			})
		}
	}
}
