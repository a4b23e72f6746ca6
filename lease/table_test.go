package lease

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// object is the lease in the store.
type object struct {
	version Version
	record  Record
}

// write carries out an update and reports whether it took effect.
func (o *object) write(a Action) bool {
	if a.Do != Write || a.Match != o.version {
		return false
	}
	o.version += "x"
	o.record = a.Record
	return true
}

func (o *object) show(t *Table, now time.Time) {
	if o.version == "" {
		t.Absent(now)
		return
	}
	t.Observed(now, o.version, o.record)
}

func newTable(id inventory.EntryID) *Table { return New(id, rand.New(rand.NewPCG(1, uint64(id[0])))) }

// take lets a table take a lease that is free.
func (o *object) take(t *Table, now time.Time) {
	o.show(t, now)
	o.write(t.Next(now, true))
	t.Written(now, o.version)
}

func TestLostAnswers(t *testing.T) {
	convey.Convey("Given an update whose answer is lost", t, func() {
		o, a, b := &object{}, newTable("a"), newTable("b")
		convey.Convey("Of a lease that was taken, the next look shows that it is held, from before the update", func() {
			o.show(a, start)
			o.write(a.Next(start, true))
			a.Failed()
			convey.So(a.Holds(start), convey.ShouldBeFalse)
			convey.So(a.Next(start.Add(time.Second), true).Do, convey.ShouldEqual, Read)
			o.show(a, start.Add(2*time.Second))
			convey.So(a.Holds(start.Add(Term-time.Millisecond)), convey.ShouldBeTrue)
			convey.So(a.Holds(start.Add(Term)), convey.ShouldBeFalse)
		})
		convey.Convey("Of a lease that another one took, the next look shows that it is not held", func() {
			o.show(a, start)
			lost := a.Next(start, true)
			o.take(b, start)
			convey.So(o.write(lost), convey.ShouldBeFalse)
			a.Failed()
			o.show(a, start.Add(time.Second))
			convey.So(a.Holds(start.Add(time.Second)), convey.ShouldBeFalse)
			convey.So(a.Next(start.Add(2*time.Second), true).Do, convey.ShouldEqual, Wait)
		})
		convey.Convey("Of a renewal, the term counts from before it, whether or not it took effect", func() {
			o.take(a, start)
			renewal := a.Next(start.Add(4*time.Second), true)
			o.write(renewal)
			a.Failed()
			convey.So(a.Holds(start.Add(9*time.Second)), convey.ShouldBeTrue)
			o.show(a, start.Add(9*time.Second))
			convey.So(a.Holds(start.Add(13*time.Second)), convey.ShouldBeTrue)
			convey.So(a.Holds(start.Add(14*time.Second)), convey.ShouldBeFalse)
		})
		convey.Convey("Of a release, the lease is not held and another one takes it at once", func() {
			o.take(a, start)
			o.write(a.Release(start.Add(time.Second)))
			a.Failed()
			convey.So(a.Holds(start.Add(time.Second)), convey.ShouldBeFalse)
			o.show(a, start.Add(time.Second))
			convey.So(a.Holds(start.Add(time.Second)), convey.ShouldBeFalse)
			o.take(b, start.Add(2*time.Second))
			convey.So(b.Holds(start.Add(2*time.Second)), convey.ShouldBeTrue)
			convey.So(b.Seen().Epoch, convey.ShouldEqual, 2)
		})
	})
}

func TestPausedHolder(t *testing.T) {
	convey.Convey("Given a holder that is paused past its term", t, func() {
		o, a, b := &object{}, newTable("a"), newTable("b")
		o.take(a, start)
		o.show(b, start)
		convey.Convey("Another one waits a term and the margin, and then takes a later epoch", func() {
			convey.So(b.Next(start.Add(Term), true).Do, convey.ShouldNotEqual, Write)
			o.show(b, start.Add(Term))
			later := start.Add(withMargin(Term) + time.Millisecond)
			convey.So(o.write(b.Next(later, true)), convey.ShouldBeTrue)
			b.Written(later, o.version)
			convey.So(b.Seen().Epoch, convey.ShouldEqual, 2)
			convey.Convey("It grants only when all that was granted before has lapsed", func() {
				_, may := b.MayGrant(later.Add(GrantTime + time.Second))
				convey.So(may, convey.ShouldBeFalse)
				_, may = b.MayGrant(later.Add(waitOut))
				convey.So(may, convey.ShouldBeTrue)
			})
			convey.Convey("The first one wakes, holds nothing, and its renewal fails", func() {
				_, may := a.MayGrant(later)
				convey.So(may, convey.ShouldBeFalse)
				convey.So(o.write(a.Next(later, true)), convey.ShouldBeFalse)
			})
		})
		convey.Convey("A later epoch that it hears of ends its term, however its clock runs", func() {
			a.HeardEpoch(2)
			convey.So(a.Holds(start), convey.ShouldBeFalse)
		})
		convey.Convey("A store that comes back without the lease does not bring an old epoch back", func() {
			o.version = ""
			o.show(b, start.Add(time.Second))
			next := b.Next(start.Add(time.Second), true)
			convey.So(next.Record.Epoch, convey.ShouldEqual, 2)
			o.write(next)
			b.Written(start.Add(time.Second), o.version)
			_, may := b.MayGrant(start.Add(Term))
			convey.So(may, convey.ShouldBeFalse)
		})
	})
}

func TestGrantsShareThePoolByDemand(t *testing.T) {
	text := `[[region]]
id = "n"
[[region]]
id = "s"
[[domain]]
id = "n1"
region = "n"
[[service]]
id = "c"
[[endpoint]]
id = "e"
service = "c"
domain = "n1"
address = "127.0.0.1:80"
slots = 1
connections = 1
[[link]]
from = "n"
to = "s"
mbit = 1
[[cap]]
service = "c"
from = "n"
to = "s"
rate = 80
[[entry]]
id = "x"
domain = "n1"
caller = "127.0.0.1:1"
peer = "127.0.0.1:2"
admin = "127.0.0.1:3"
`
	inv, err := inventory.Parse("test", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	convey.Convey("Given a pool of 40", t, func() {
		g := NewGranter()
		g.SetInventory(inv)
		id := inventory.BudgetID{Service: "c", From: "n", To: "s"}
		ask := func(after time.Duration, who inventory.EntryID, want int64) int64 {
			return g.Grant(start.Add(after), 1, Asker{Entry: who, Incarnation: 1}, []Grant{{ID: id, Amount: want}})[0].Amount
		}
		convey.Convey("Demands that fit are met, and no more than the pool is out", func() {
			convey.So(ask(0, "a", 30), convey.ShouldEqual, 30)
			convey.So(ask(0, "b", 30), convey.ShouldEqual, 10)
		})
		convey.Convey("Demands in the proportion of 3 to 1 get 30 and 10, when the first grants have lapsed", func() {
			ask(0, "a", 90)
			ask(0, "b", 30)
			ask(time.Second, "a", 90)
			for i := range 8 {
				at := time.Duration(i+2) * time.Second
				a, b := ask(at, "a", 90), ask(at, "b", 30)
				convey.So(a+b, convey.ShouldBeLessThanOrEqualTo, 40)
				if i == 7 {
					convey.So(a, convey.ShouldEqual, 30)
					convey.So(b, convey.ShouldEqual, 10)
				}
			}
		})
		convey.Convey("What an earlier process of the same entry VM got still counts", func() {
			convey.So(ask(0, "a", 40), convey.ShouldEqual, 40)
			again := g.Grant(start.Add(time.Second), 1, Asker{Entry: "a", Incarnation: 2}, []Grant{{ID: id, Amount: 40}})
			convey.So(again[0].Amount, convey.ShouldEqual, 0)
		})
		convey.Convey("A grant stays counted until it has left the window of its receiver", func() {
			convey.So(ask(0, "a", 40), convey.ShouldEqual, 40)
			convey.So(ask(GrantTime+500*time.Millisecond, "b", 40), convey.ShouldEqual, 0)
			convey.So(ask(withMargin(GrantTime+time.Second)+sweepEvery, "b", 40), convey.ShouldBeGreaterThanOrEqualTo, 20)
		})
	})
}
