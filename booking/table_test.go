package booking

import (
	"strconv"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

var born = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns a time in a period of the default length.
func at(p Period) time.Time { return born.Add(time.Duration(p) * defaultPeriod) }

func keyOf(p Period, number int) Key {
	return Key{Token: Token{Entry: "mx-1", Incarnation: 7, Period: p}, Random: "operation-" + strconv.Itoa(number)}
}

var whole = Answer{Status: 201, Header: map[string][]string{"Etag": {"1"}}, Body: []byte("whole")}

// steps are the ways from new to each state.
var steps = map[State]func(*Table, Key) error{
	StateNew:  func(*Table, Key) error { return nil },
	StateSent: (*Table).Send,
	StateDone: func(t *Table, k Key) error {
		_ = t.Send(k)
		return t.Finish(k, whole)
	},
	StateUnknown: func(t *Table, k Key) error {
		_ = t.Send(k)
		return t.Lose(k, Answer{Reason: "broken"})
	},
	StateSealed: func(t *Table, k Key) error { return t.Seal(k, Answer{Reason: "late"}) },
}

func TestStateMachine(t *testing.T) {
	moves := map[string]func(*Table, Key) error{
		eventSend:   (*Table).Send,
		eventReturn: (*Table).Return,
		eventFinish: func(t *Table, k Key) error { return t.Finish(k, whole) },
		eventLose:   func(t *Table, k Key) error { return t.Lose(k, Answer{}) },
		eventSeal:   func(t *Table, k Key) error { return t.Seal(k, Answer{}) },
	}
	allowed := map[State]map[string]State{
		StateNew:     {eventSend: StateSent, eventSeal: StateSealed},
		StateSent:    {eventReturn: StateNew, eventFinish: StateDone, eventLose: StateUnknown},
		StateDone:    {},
		StateUnknown: {},
		StateSealed:  {},
	}
	for from, next := range allowed {
		for event, move := range moves {
			t.Run(string(from)+" "+event, func(t *testing.T) {
				convey.Convey("The step is taken if the state allows it, else nothing changes", t, func() {
					table, k := New("mx-1", 7, Limits{}, born), keyOf(0, 1)
					table.Begin(born, k, Digest{})
					convey.So(steps[from](table, k), convey.ShouldBeNil)
					want, ok := next[event]
					if !ok {
						want = from
					}
					convey.So(isKind(move(table, k), KindState), convey.ShouldEqual, !ok)
					convey.So(table.Look(k).State, convey.ShouldEqual, want)
				})
			})
		}
	}
}

func TestBeginOfKnownKeys(t *testing.T) {
	for name, c := range map[string]struct {
		state  State
		key    Key
		digest Digest
		now    Period
		want   Action
	}{
		"new":               {StateNew, keyOf(0, 1), Digest{}, 0, Join},
		"sent":              {StateSent, keyOf(0, 1), Digest{}, 0, Join},
		"done":              {StateDone, keyOf(0, 1), Digest{}, 0, Replay},
		"unknown":           {StateUnknown, keyOf(0, 1), Digest{}, 0, Replay},
		"sealed":            {StateSealed, keyOf(0, 1), Digest{}, 0, Replay},
		"other content":     {StateDone, keyOf(0, 1), Digest{1}, 0, Differs},
		"other key":         {StateDone, keyOf(0, 2), Digest{}, 0, Start},
		"last period":       {StateDone, keyOf(0, 1), Digest{}, defaultWindow, Replay},
		"too old":           {StateDone, keyOf(0, 1), Digest{}, defaultWindow + 1, Expired},
		"too old, dropped":  {StateDone, keyOf(0, 1), Digest{}, defaultWindow + 9, Expired},
		"new but too old":   {StateDone, keyOf(0, 2), Digest{}, defaultWindow + 1, Expired},
		"sent and too old":  {StateSent, keyOf(0, 1), Digest{}, defaultWindow + 9, Expired},
		"of the future":     {StateDone, keyOf(1, 1), Digest{}, 0, Expired},
		"other incarnation": {StateDone, Key{Token{"mx-1", 8, 0}, "operation-1"}, Digest{}, 0, Foreign},
		"other entry VM":    {StateDone, Key{Token{"mx-2", 7, 0}, "operation-1"}, Digest{}, 0, Foreign},
	} {
		t.Run(name, func(t *testing.T) {
			convey.Convey("A repeat gets what is known, and only a key never seen starts", t, func() {
				table, first := New("mx-1", 7, Limits{}, born), keyOf(0, 1)
				table.Begin(born, first, Digest{})
				convey.So(steps[c.state](table, first), convey.ShouldBeNil)
				convey.So(table.Begin(at(c.now), c.key, c.digest).Action, convey.ShouldEqual, c.want)
			})
		})
	}
}

func TestRecordUnderWayOutlastsItsPeriod(t *testing.T) {
	convey.Convey("An operation that runs when its period is dropped can still end", t, func() {
		table, k := New("mx-1", 7, Limits{}, born), keyOf(0, 1)
		table.Begin(born, k, Digest{})
		done := table.Look(k).Done
		convey.So(table.Send(k), convey.ShouldBeNil)
		table.Begin(at(defaultWindow+9), keyOf(defaultWindow+9, 2), Digest{})
		convey.So(table.Finish(k, whole), convey.ShouldBeNil)
		<-done
		convey.So(table.Begin(at(defaultWindow+9), k, Digest{}).Action, convey.ShouldEqual, Expired)
		convey.So(table.live, convey.ShouldEqual, 1)
		convey.So(table.bytes, convey.ShouldEqual, 0)
	})
}

func TestFullMemory(t *testing.T) {
	for name, c := range map[string]struct {
		limits Limits
		want   []State // of the keys after the first, each refused
	}{
		"records":           {Limits{Records: 1}, []State{StateSealed, StateSealed}},
		"bytes":             {Limits{Bytes: whole.size() + 1, Answer: 2}, []State{StateSealed, StateSealed}},
		"records and seals": {Limits{Records: 1, Seals: 1}, []State{StateSealed, StateUnknown}},
	} {
		t.Run(name, func(t *testing.T) {
			convey.Convey("What does not fit is refused, and what is kept stays", t, func() {
				table, first := New("mx-1", 7, c.limits, born), keyOf(0, 0)
				convey.So(table.Begin(born, first, Digest{}).Action, convey.ShouldEqual, Start)
				convey.So(steps[StateDone](table, first), convey.ShouldBeNil)
				for i, want := range c.want {
					v := table.Begin(born, keyOf(0, i+1), Digest{})
					convey.So(v, convey.ShouldResemble, Verdict{Action: Full, State: want})
				}
				convey.So(table.Begin(born, keyOf(0, 1), Digest{}), convey.ShouldResemble, Verdict{Action: Replay, State: StateSealed})
				convey.So(table.Begin(born, first, Digest{}), convey.ShouldResemble, Verdict{Action: Replay, State: StateDone, Answer: whole})

				later := Period(defaultWindow + 2)
				convey.So(table.Begin(at(later), keyOf(later, 9), Digest{}).Action, convey.ShouldEqual, Start)
				convey.So(table.Begin(at(later), keyOf(0, 1), Digest{}).Action, convey.ShouldEqual, Expired)
				convey.So(table.Begin(at(later), first, Digest{}).Action, convey.ShouldEqual, Expired)
			})
		})
	}
}

func TestAnswerThatDoesNotFit(t *testing.T) {
	convey.Convey("An answer larger than the memory is marked as not kept", t, func() {
		table, k := New("mx-1", 7, Limits{Bytes: 4, Answer: 1}, born), keyOf(0, 1)
		table.Begin(born, k, Digest{})
		convey.So(steps[StateDone](table, k), convey.ShouldBeNil)
		v := table.Begin(born, k, Digest{})
		convey.So(v.State, convey.ShouldEqual, StateDone)
		convey.So(v.Answer, convey.ShouldResemble, Answer{Status: 201, Dropped: true})
	})
}
