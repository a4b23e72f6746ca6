package member

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

func beat(i inventory.Incarnation, sequence uint64) Heartbeat {
	return Heartbeat{Entry: "b", Incarnation: i, Sequence: sequence}
}

func TestLateHeartbeatsAreNotBelieved(t *testing.T) {
	for name, row := range map[string]struct {
		before   Heartbeat
		after    time.Duration
		arriving Heartbeat
		believed bool
	}{
		"next":                             {beat(7, 1), time.Second, beat(7, 2), true},
		"repeated":                         {beat(7, 2), time.Second, beat(7, 2), false},
		"overtaken":                        {beat(7, 2), time.Second, beat(7, 1), false},
		"overtaken, long ago":              {beat(7, 2), time.Hour, beat(7, 1), false},
		"new incarnation":                  {beat(7, 900), time.Second, beat(8, 1), true},
		"old incarnation":                  {beat(8, 1), time.Second, beat(7, 900), false},
		"new VM with its clock behind":     {beat(8, 1), forgetAfter, beat(7, 1), true},
		"itself":                           {beat(7, 1), time.Second, Heartbeat{Entry: "a", Incarnation: 9, Sequence: 1}, false},
		"new incarnation, clock far ahead": {beat(7, 1), time.Second, beat(1<<63, 1), true},
	} {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The heartbeat counts or not", t, func() {
				table := New("a")
				now := time.Now()
				convey.So(table.Heard(now, row.before), convey.ShouldBeTrue)
				convey.So(table.Heard(now.Add(row.after), row.arriving), convey.ShouldEqual, row.believed)
			})
		})
	}
}

func TestEvidenceOfDeathYieldsToNewerWord(t *testing.T) {
	convey.Convey("Given a member", t, func() {
		table, now := New("a"), time.Now()
		table.Heard(now, beat(7, 1))
		convey.Convey("evidence from before the last announcement is not taken", func() {
			convey.So(table.Dead("b", now.Add(-time.Second)), convey.ShouldBeFalse)
			convey.So(table.Live(now), convey.ShouldHaveLength, 1)
		})
		convey.Convey("newer evidence takes it out at once, a new announcement brings it back", func() {
			convey.So(table.Dead("b", now.Add(time.Second)), convey.ShouldBeTrue)
			convey.So(table.Live(now), convey.ShouldBeEmpty)
			convey.So(table.Heard(now.Add(2*time.Second), beat(8, 1)), convey.ShouldBeTrue)
			convey.So(table.Live(now.Add(2*time.Second)), convey.ShouldHaveLength, 1)
		})
		convey.Convey("silence takes it out in time", func() {
			convey.So(table.Lives(now.Add(SuspectAfter-1), "b"), convey.ShouldBeTrue)
			convey.So(table.Lives(now.Add(SuspectAfter), "b"), convey.ShouldBeFalse)
		})
	})
}
