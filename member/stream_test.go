package member

import (
	"flag"
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

const streamSeed = "5"

func drawHeartbeat(t *rapid.T, sequence uint64) Heartbeat {
	ids := rapid.SliceOfN(rapid.SampledFrom([]inventory.EndpointID{"a", "b"}), 0, 2)
	return Heartbeat{
		Entry: "e", Incarnation: 7, Sequence: sequence,
		Leaving: rapid.Bool().Draw(t, "leaving"),
		Loads:   rapid.SliceOfN(rapid.Just(Load{Service: "s", Free: 1}), 0, 2).Draw(t, "loads"),
		Holds:   ids.Draw(t, "holds"), Targets: ids.Draw(t, "targets"), Wants: ids.Draw(t, "wants"),
		Plans: rapid.SliceOfN(rapid.Uint64Range(0, 1), 0, 2).Draw(t, "plans"),
	}
}

// sameLists compares what may be left out; an empty list is no list.
func sameLists(a, b Heartbeat) bool {
	w := wire{Heartbeat: a}
	w.omit(b)
	return w.Same == partLoads|partHolds|partTargets|partPlans|partWants
}

func TestStreamBringsEachHeartbeatWhole(t *testing.T) {
	if err := flag.Set("rapid.seed", streamSeed); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		var s Sender
		var r Receiver
		for i := range rapid.IntRange(1, 20).Draw(t, "messages") {
			h := drawHeartbeat(t, uint64(i+1))
			data, err := s.Encode(h)
			if err != nil {
				t.Fatal(err)
			}
			got, err := r.Decode(data)
			if err != nil {
				t.Fatal(err)
			}
			if !sameLists(got, h) || got.Leaving != h.Leaving || got.Sequence != h.Sequence {
				t.Fatalf("sent %+v, got %+v", h, got)
			}
		}
	})
}

func TestStreamRefusesWhatHasNoBefore(t *testing.T) {
	convey.Convey("Given a connection that sent one heartbeat", t, func() {
		var s Sender
		first, err := s.Encode(Heartbeat{Entry: "e", Incarnation: 7, Holds: []inventory.EndpointID{"a"}})
		convey.So(err, convey.ShouldBeNil)
		second, err := s.Encode(Heartbeat{Entry: "e", Incarnation: 7, Holds: []inventory.EndpointID{"a"}})
		convey.So(err, convey.ShouldBeNil)
		convey.So(len(second), convey.ShouldBeLessThan, len(first)+3)
		convey.Convey("the second means nothing on another connection", func() {
			var r Receiver
			_, err := r.Decode(second)
			convey.So(err, convey.ShouldNotBeNil)
		})
		convey.Convey("another incarnation is not taken on the same connection", func() {
			var r Receiver
			_, err := r.Decode(first)
			convey.So(err, convey.ShouldBeNil)
			var other Sender
			data, err := other.Encode(Heartbeat{Entry: "e", Incarnation: 8})
			convey.So(err, convey.ShouldBeNil)
			_, err = r.Decode(data)
			convey.So(err, convey.ShouldNotBeNil)
		})
	})
}

// FuzzDecode looks for messages that are accepted and do not stand up to being
// sent again.
func FuzzDecode(f *testing.F) {
	var s Sender
	for range 2 {
		data, err := s.Encode(Heartbeat{Entry: "a", Incarnation: 1, Loads: []Load{{Service: "s"}}, Holds: []inventory.EndpointID{"e"}})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte{0xa1, 0x61})
	f.Fuzz(func(t *testing.T, data []byte) {
		var r Receiver
		h, err := r.Decode(data)
		if err != nil {
			return
		}
		var again Sender
		sent, err := again.Encode(h)
		if err != nil {
			t.Fatal(err)
		}
		got, err := new(Receiver).Decode(sent)
		if err != nil && len(sent) <= MaxMessage {
			t.Fatal(err)
		}
		if err == nil && !sameLists(got, h) {
			t.Fatalf("%+v became %+v", h, got)
		}
	})
}
