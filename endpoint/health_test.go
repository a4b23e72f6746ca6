package endpoint

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

const second = `
[[endpoint]]
id = "f"
service = "s"
domain = "d"
address = "10.0.2.2:80"
slots = 4
connections = 10
`

// withSecond adds an endpoint with an id that a candidate ranks first for.
func withSecond(t *testing.T, first inventory.EntryID) string {
	t.Helper()
	for i := range 100 {
		text := leaveInventory + strings.ReplaceAll(second, `"f"`, fmt.Sprintf(`"f%d"`, i))
		inv, err := inventory.Parse("health", []byte(text))
		if err != nil {
			t.Fatal(err)
		}
		if Rank(inv, inv.Endpoints[1])[0] == first {
			return text
		}
	}
	t.Fatal("no such id")
	return ""
}

// reload puts another text in force, and has the candidates behind say that
// they hold nothing.
func (s seat) reload(t *testing.T, seconds float64, text string) {
	t.Helper()
	inv, err := inventory.Parse("health", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	s.SetInventory(s.at(seconds), inv)
	for i := 1; i < len(s.rank); i++ {
		s.hear(seconds, i, 1, false)
	}
}

// slotsNow is what the owner offers while it runs without a pause.
func (s seat) slotsNow(from, to float64) int {
	s.run(from, to)
	return s.slots(to)
}

func TestNewEndpointRampsFromOneSlot(t *testing.T) {
	convey.Convey("Given an owner of an endpoint with 3 slots", t, func() {
		s := owner(t)
		all := withSecond(t, s.rank[0])
		convey.Convey("another one that is added begins with one slot and has all after the ramp", func() {
			s.reload(t, 5, all)
			wait := (s.inv.Rules.Deadline.Duration + Transit).Seconds()
			convey.So(s.slotsNow(5, 5+wait-0.1), convey.ShouldEqual, 3)
			convey.So(s.slotsNow(5+wait, 5+wait+0.1), convey.ShouldEqual, 4)
			convey.So(s.slotsNow(7.5, 10.1), convey.ShouldEqual, 6)
			convey.So(s.slotsNow(10.1, 15), convey.ShouldEqual, 7)
		})
		convey.Convey("the only one that comes back from nothing does not ramp", func() {
			convey.So(s.slots(5), convey.ShouldEqual, 3)
		})
	})
}

func TestEndpointGetsLessByWhatItAnswers(t *testing.T) {
	for name, row := range map[string]struct {
		results []Result
		later   float64 // seconds
		slots   int
	}{
		"fine":                     {[]Result{ResultFine}, 0, 3},
		"shed once":                {[]Result{ResultShed}, 0, 1},
		"shed often":               {[]Result{ResultShed, ResultShed, ResultShed}, 0, 1},
		"shed, then fine":          {[]Result{ResultShed, ResultFine, ResultFine, ResultFine, ResultFine, ResultFine}, 0, 3},
		"shed, then nothing":       {[]Result{ResultShed}, 9.9, 1},
		"shed, then all":           {[]Result{ResultShed}, 10, 3},
		"broken off":               {[]Result{ResultUnanswered}, 0, 1},
		"no connection":            {[]Result{ResultRefused}, 0.9, 0},
		"no connection, rested":    {[]Result{ResultRefused}, 1, 3},
		"no connection twice":      {[]Result{ResultRefused, ResultRefused}, 1.9, 0},
		"no connection many times": {[]Result{ResultRefused, ResultRefused, ResultRefused, ResultRefused, ResultRefused, ResultRefused}, 8, 3},
	} {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The owner offers the slots that are left", t, func() {
				s := owner(t)
				slot := s.Admit(s.at(5), "s", s.at(7)).Slot
				convey.So(slot, convey.ShouldNotBeNil)
				for _, r := range row.results {
					s.Note(s.at(5), *slot, r)
				}
				convey.So(s.slotsNow(5, 5+row.later), convey.ShouldEqual, row.slots)
			})
		})
	}
}

func TestQueuedRequestIsRefusedWhenItCannotBeAnsweredInTime(t *testing.T) {
	convey.Convey("A request whose time left falls below the mean is refused before its deadline", t, func() {
		s := owner(t)
		for range 3 {
			convey.So(s.Admit(s.at(5), "s", s.at(7)).Slot, convey.ShouldNotBeNil)
		}
		waiting := s.Admit(s.at(5), "s", s.at(5.5)).Ticket
		convey.So(waiting, convey.ShouldNotBeNil)
		s.Tick(s.at(5.4))
		convey.So(waiting.Ready, convey.ShouldBeEmpty)
		s.Tick(s.at(5.5).Add(-firstEstimate + time.Millisecond))
		_, ok := <-waiting.Ready
		convey.So(ok, convey.ShouldBeFalse)
	})
}

func TestBudgetKeepsToItsShare(t *testing.T) {
	convey.Convey("Of 1000 requests that all fail, fewer than 100 are tried again", t, func() {
		b, again := NewBudget(), 0
		for range 1000 {
			b.First()
			for b.Take() {
				again++
			}
		}
		convey.So(again, convey.ShouldBeBetween, 50, 100)
	})
}
