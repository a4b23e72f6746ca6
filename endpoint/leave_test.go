package endpoint

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

const leaveInventory = `
[[region]]
id = "r"
[[domain]]
id = "d"
region = "r"
[[service]]
id = "s"
deadline = "2s"
[[endpoint]]
id = "e"
service = "s"
domain = "d"
address = "10.0.2.1:80"
slots = 3
connections = 10
[[entry]]
id = "a"
domain = "d"
caller = "10.0.1.1:1"
peer = "10.0.1.1:2"
admin = "10.0.1.1:3"
[[entry]]
id = "b"
domain = "d"
caller = "10.0.1.2:1"
peer = "10.0.1.2:2"
admin = "10.0.1.2:3"
[[entry]]
id = "c"
domain = "d"
caller = "10.0.1.3:1"
peer = "10.0.1.3:2"
admin = "10.0.1.3:3"
`

// seat is the table of one candidate of the only endpoint, with the ids of all
// three candidates by their rank.
type seat struct {
	*Table
	rank  []inventory.EntryID
	start time.Time
}

func takeSeat(t *testing.T, mine int) seat {
	t.Helper()
	inv, err := inventory.Parse("leave", []byte(leaveInventory))
	if err != nil {
		t.Fatal(err)
	}
	rank := Rank(inv, inv.Endpoints[0])
	s := seat{Table: New(rank[mine], 7), rank: rank, start: time.Now()}
	s.SetInventory(s.start, inv)
	s.Tick(s.start)
	return s
}

// at is the time so many seconds after the start.
func (s seat) at(seconds float64) time.Time {
	return s.start.Add(time.Duration(seconds * float64(time.Second)))
}

// run lets the process tick from one time to another.
func (s seat) run(from, to float64) {
	for x := from; x <= to; x += 0.1 {
		s.Tick(s.at(x))
	}
}

// hear takes in a heartbeat of the candidate with the given rank.
func (s seat) hear(seconds float64, rank int, i inventory.Incarnation, resigned bool, holds ...inventory.EndpointID) {
	// A new incarnation is known by what it has heard.
	s.Announcement(s.rank[rank])
	w := s.Announcement(s.rank[rank])
	s.Heard(s.at(seconds), Announcement{From: s.rank[rank], Incarnation: i, Number: w.Number, Heard: 7, Echo: w.Number, Plans: w.Plans, Holds: holds, Resigned: resigned})
}

func (s seat) slots(seconds float64) int {
	for _, l := range s.Loads(s.at(seconds)) {
		return l.Slots
	}
	return 0
}

// handedOver stands for the moment of the last event, at second 10.
const handedOver = -1

func TestTakeOverWaitsOnlyForWorkThatMayBeLeft(t *testing.T) {
	for name, row := range map[string]struct {
		events func(s seat)
		usable float64 // seconds after the start; 0: never, handedOver: at once
	}{
		"the owner lives": {func(s seat) {
			s.hear(10, 0, 1, false, "e")
			s.hear(10, 2, 1, false)
		}, 0},
		"the owner resigns and still has work there": {func(s seat) {
			s.hear(5, 0, 1, false, "e")
			s.hear(5, 2, 1, false)
			s.hear(10, 0, 1, true, "e")
		}, 0},
		"the owner resigns with nothing left": {func(s seat) {
			s.hear(5, 0, 1, false, "e")
			s.hear(5, 2, 1, false)
			s.hear(10, 0, 1, true)
		}, handedOver},
		"the owner resigns and its address then refuses": {func(s seat) {
			s.hear(5, 0, 1, false, "e")
			s.hear(5, 2, 1, false)
			s.hear(10, 0, 1, true)
			s.Dead(s.at(11), s.rank[0], s.at(10.5))
		}, handedOver},
		"the owner resigns and dies with work there": {func(s seat) {
			s.hear(5, 0, 1, false, "e")
			s.hear(5, 2, 1, false)
			s.hear(9, 0, 1, true, "e")
			s.Dead(s.at(10), s.rank[0], s.at(9.5))
		}, 12 + Transit.Seconds()},
		"the owner dies": {func(s seat) {
			s.hear(5, 0, 1, false, "e")
			s.hear(5, 2, 1, false)
			s.Dead(s.at(10), s.rank[0], s.at(9))
		}, 12 + Transit.Seconds()},
		"the owner dies and goes on refusing": {func(s seat) {
			s.hear(5, 0, 1, false, "e")
			s.hear(5, 2, 1, false, "e")
			s.Dead(s.at(10), s.rank[0], s.at(9))
			s.Dead(s.at(11), s.rank[0], s.at(11))
			s.hear(11, 2, 1, false)
		}, 12 + Transit.Seconds()},
		"the owner dies, and a new incarnation resigns at once": {func(s seat) {
			s.hear(5, 0, 1, false, "e")
			s.hear(5, 2, 1, false)
			s.hear(10, 0, 2, true)
		}, 12 + Transit.Seconds()},
		"a candidate behind was replaced unseen": {func(s seat) {
			s.hear(5, 0, 1, false)
			s.hear(5, 2, 1, false, "e")
			s.hear(10, 2, 2, false)
			s.hear(10, 0, 1, true)
		}, 12 + Transit.Seconds()},
	} {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The second candidate takes the endpoint at the right time", t, func() {
				s := takeSeat(t, 1)
				row.events(s)
				if row.usable == 0 {
					convey.So(s.slots(60), convey.ShouldEqual, 0)
					return
				}
				if row.usable == handedOver {
					convey.So(s.slots(10), convey.ShouldEqual, 3)
					return
				}
				convey.So(s.slots(row.usable-0.01), convey.ShouldEqual, 0)
				convey.So(s.slots(row.usable), convey.ShouldEqual, 3)
			})
		})
	}
}

// owner is the first candidate with the endpoint in use.
func owner(t *testing.T) seat {
	s := takeSeat(t, 0)
	s.hear(0, 1, 1, false)
	s.hear(0, 2, 1, false)
	s.run(0, 5)
	return s
}

func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	for name, row := range map[string]struct {
		leave, stay func(s seat, at float64)
	}{
		"list": {
			func(s seat, at float64) { s.Leaving(s.at(at), SourceList, []inventory.EndpointID{"e"}) },
			func(s seat, at float64) { s.Leaving(s.at(at), SourceList, nil) },
		},
		"another node": {
			func(s seat, at float64) { s.Leaving(s.at(at), Source(s.rank[1]), []inventory.EndpointID{"e"}) },
			func(s seat, at float64) { s.Leaving(s.at(at), Source(s.rank[1]), nil) },
		},
		"another node, which falls silent": {
			func(s seat, at float64) { s.Leaving(s.at(at), Source(s.rank[1]), []inventory.EndpointID{"e"}) },
			func(s seat, at float64) {
				s.run(at, at+claimLimit.Seconds())
				s.Leaving(s.at(at+claimLimit.Seconds()), SourceList, nil)
			},
		},
		"signal": {
			func(s seat, at float64) { s.Signal(s.at(at), "e", true) },
			func(s seat, at float64) { s.Signal(s.at(at), "e", false) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			convey.Convey("A granted slot is not used and no other is granted", t, func() {
				s := owner(t)
				granted := s.Admit(s.at(5), "s", s.at(7))
				convey.So(granted.Slot, convey.ShouldNotBeNil)
				convey.So(s.MayStart(s.at(5), *granted.Slot), convey.ShouldBeTrue)
				row.leave(s, 5)
				convey.So(s.MayStart(s.at(5), *granted.Slot), convey.ShouldBeFalse)
				convey.So(s.Admit(s.at(5), "s", s.at(7)).Refusal, convey.ShouldNotBeNil)
				row.stay(s, 5)
				now := time.Duration(s.pause.ticked.Sub(s.start)).Seconds()
				convey.So(s.Admit(s.at(now), "s", s.at(now+2)).Slot, convey.ShouldNotBeNil)
			})
		})
	}
}

func TestPausedNodeStartsNothingUntilItHasCaughtUp(t *testing.T) {
	convey.Convey("Given an owner that was paused for a minute with a slot granted", t, func() {
		s := owner(t)
		granted := s.Admit(s.at(5), "s", s.at(70))
		convey.So(granted.Slot, convey.ShouldNotBeNil)
		convey.Convey("nothing starts, whichever step is the first after it", func() {
			convey.So(s.MayStart(s.at(65), *granted.Slot), convey.ShouldBeFalse)
			waiting := s.Admit(s.at(65), "s", s.at(70)).Ticket
			convey.So(waiting, convey.ShouldNotBeNil)
			convey.Convey("not by what was asked before the pause", func() {
				s.Resume(s.at(65.1), s.at(5))
				convey.So(s.Held(s.at(65.1)), convey.ShouldBeTrue)
				convey.So(waiting.Ready, convey.ShouldBeEmpty)
			})
			convey.Convey("but by what was asked after it", func() {
				s.Resume(s.at(65.2), s.at(65.1))
				convey.So(s.MayStart(s.at(65.2), *granted.Slot), convey.ShouldBeTrue)
				convey.So(waiting.Ready, convey.ShouldHaveLength, 1)
			})
			convey.Convey("and when nobody could be asked for long", func() {
				s.run(65, 76)
				convey.So(s.Held(s.at(76)), convey.ShouldBeFalse)
			})
		})
		convey.Convey("a pause of the whole VM shows on the wall clock", func() {
			slept := s.at(5.1).Round(0).Add(time.Minute)
			convey.So(s.MayStart(slept, *granted.Slot), convey.ShouldBeFalse)
		})
		convey.Convey("ticks that are a little late are no pause", func() {
			convey.So(s.MayStart(s.at(5.9), *granted.Slot), convey.ShouldBeTrue)
		})
	})
}

func TestResignedNodeServesItsQueueAndNothingNew(t *testing.T) {
	convey.Convey("The queue is served first, then the endpoint is given up", t, func() {
		s := owner(t)
		slots := []Slot{}
		for range 3 {
			slots = append(slots, *s.Admit(s.at(5), "s", s.at(7)).Slot)
		}
		waiting := s.Admit(s.at(5), "s", s.at(7)).Ticket
		convey.So(waiting, convey.ShouldNotBeNil)
		s.Resign(s.at(5))
		convey.So(s.Admit(s.at(5), "s", s.at(7)).Refusal, convey.ShouldNotBeNil)
		convey.So(s.Holds(), convey.ShouldHaveLength, 1)
		for _, x := range slots {
			s.Release(s.at(5.5), x, time.Second)
		}
		last := <-waiting.Ready
		s.Tick(s.at(5.6))
		convey.So(s.Holds(), convey.ShouldHaveLength, 1)
		s.Release(s.at(6), last, time.Second)
		convey.So(s.Holds(), convey.ShouldBeEmpty)
		s.hear(6, 1, 1, false)
		convey.So(s.Holds(), convey.ShouldBeEmpty)
	})
}
