package budget

import (
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// TestMoreCallersThanConnections guards against callers that all lose their connections just before they
// use them again. The load is that of review/1: 3,930 callers, each of which uses its connection every
// 12 s, at a node with 4,100 descriptors, which takes 2,340 connections.
func TestMoreCallersThanConnections(t *testing.T) {
	convey.Convey("A quarter of the requests finds its connection open; with the longest wait first none does", t, func() {
		const callers, rounds = 3930, 6
		table, conns, found := New(Limits{Descriptors: 4100}), make([]ID, callers), 0
		for i := range callers * rounds {
			now := start.Add(time.Duration(i) * 12 * time.Second / callers)
			id := &conns[i%callers]
			if table.holders[*id] == nil {
				opened := table.Open(now, Requests)
				if !opened.Admit {
					table.Close(opened.Close[0])
				}
				*id = opened.ID
			} else if i >= 2*callers {
				found++
			}
			table.SetPhase(now, *id, Running)
			table.SetPhase(now.Add(time.Microsecond), *id, Idle)
		}
		convey.So(found, convey.ShouldBeGreaterThan, callers*(rounds-2)/4)
	})
}

// TestOwnDescriptors guards against listeners that together may take descriptors that a node needs for
// files, the store, other nodes and endpoints.
func TestOwnDescriptors(t *testing.T) {
	convey.Convey("A fifth of the sockets is left, for each size of a machine", t, func() {
		for _, descriptors := range []int{400, 2870, 4100, 8192, 1 << 20} {
			sum := 0
			for class := range shares {
				sum += Limits{Descriptors: descriptors}.connections(class)
			}
			sockets := descriptors - min(fileDescriptors, descriptors/4)
			convey.So(sum, convey.ShouldBeLessThanOrEqualTo, sockets*81/100)
		}
	})
	convey.Convey("Unknown descriptors are not limited", t, func() {
		table := New(Limits{})
		for range 10000 {
			convey.So(table.Open(start, Requests).Admit, convey.ShouldBeTrue)
		}
	})
}

// TestClosedForNewConnection guards against ordinary callers that lose their connections to slow ones.
func TestClosedForNewConnection(t *testing.T) {
	type conn struct {
		class Class
		phase Phase
		moved int
		after time.Duration // of the phase
		used  bool          // before it waits for a request
	}
	cases := map[string]struct {
		open  []conn // the fifth is the new one; four of a class may be open
		first int    // index of the first candidate; -1: none
	}{
		"the one without a request for the longest time":   {open: []conn{{phase: Running}, {phase: Sending}, {phase: Idle, after: 2 * time.Second}, {phase: Idle, after: time.Second}}, first: 3},
		"one that never had a request before one that had": {open: []conn{{phase: Running}, {phase: Idle, after: time.Second, used: true}, {phase: Idle, after: 2 * time.Second}, {phase: Idle, used: true}}, first: 2},
		"else the one that moves least":                    {open: []conn{{phase: Running}, {phase: Sending, moved: 500}, {phase: Reading, moved: 5000}, {phase: Sending, moved: 100}}, first: 3},
		"never one that waits for the node":                {open: []conn{{phase: Running}, {phase: Running}, {phase: Running}, {phase: Running}}, first: -1},
		"none of another class":                            {open: []conn{{phase: Running}, {phase: Running}, {phase: Running}, {phase: Running}, {class: Lookups, phase: Sending}}, first: -1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("It is closed", t, func() {
				table := New(Limits{Descriptors: 8}) // minConnections of each class
				var ids []ID
				for _, o := range c.open {
					if o.class == "" {
						o.class = Requests
					}
					opened := table.Open(start, o.class)
					convey.So(opened.Admit, convey.ShouldBeTrue)
					ids = append(ids, opened.ID)
					at := start.Add(o.after)
					if o.phase == Idle {
						before := Sending
						if o.used {
							before = Running
						}
						table.SetPhase(start, opened.ID, before)
					}
					table.SetPhase(at, opened.ID, o.phase)
					table.Move(at, opened.ID, o.moved)
				}
				opened := table.Open(start.Add(10*time.Second), Requests)
				convey.So(opened.Admit, convey.ShouldBeFalse)
				if c.first < 0 {
					convey.So(opened.Close, convey.ShouldBeEmpty)
					return
				}
				convey.So(opened.Close[0], convey.ShouldEqual, ids[c.first])
			})
		})
	}
}

const testMemory = 12 << 20 // of which callers may take 3 MB

// TestClosedForMemory guards against ordinary callers that are displaced by those that hold memory and
// don't move, and against memory that is taken beyond the callers' share.
func TestClosedForMemory(t *testing.T) {
	type conn struct {
		phase Phase
		taken int64
		moved int
		age   time.Duration // of the phase
	}
	stalled := conn{phase: Sending, taken: 1200 << 10, moved: 1200 << 10, age: 5 * time.Second}
	cases := map[string]struct {
		open   []conn
		asks   conn
		bytes  int64
		admit  bool
		closed []int
	}{
		"nothing while there is enough":               {open: []conn{stalled}, bytes: 500 << 10, admit: true},
		"the one that stalled":                        {open: []conn{stalled, {phase: Sending, taken: 1000 << 10, moved: 1000 << 10, age: time.Second / 2}}, bytes: 300 << 10, admit: true, closed: []int{0}},
		"one that reads slowly before one that reads": {open: []conn{{phase: Reading, taken: 1200 << 10, moved: 3 << 20, age: 5 * time.Second}, {phase: Reading, taken: 1000 << 10, moved: 1 << 10, age: 5 * time.Second}}, bytes: 300 << 10, admit: true, closed: []int{1}},
		"none that waits for the node":                {open: []conn{{phase: Running, taken: 1200 << 10, age: time.Minute}, {phase: Running, taken: 1500 << 10, age: time.Minute}}, bytes: 500 << 10},
		"none for a worse one, which is refused":      {open: []conn{{phase: Sending, taken: 1000 << 10, moved: 3 << 20, age: 3 * time.Second}, {phase: Reading, taken: 900 << 10, moved: 3 << 20, age: 3 * time.Second}}, asks: conn{phase: Sending, taken: 900 << 10, moved: 900 << 10, age: time.Minute}, bytes: 900 << 10},
	}
	now := start.Add(time.Hour)
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("It is closed", t, func() {
				table := New(Limits{Memory: testMemory})
				var ids []ID
				for _, o := range append(c.open, c.asks) {
					id := table.Open(now.Add(-o.age), Requests).ID
					table.SetPhase(now.Add(-o.age), id, o.phase)
					table.Move(now, id, o.moved)
					table.add(table.holders[id], o.taken)
					ids = append(ids, id)
				}
				taken := table.Take(now, ids[len(ids)-1], c.bytes)
				convey.So(taken.Admit, convey.ShouldEqual, c.admit)
				var closed []int
				for _, id := range taken.Close {
					closed = append(closed, int(id-ids[0]))
				}
				convey.So(closed, convey.ShouldResemble, c.closed)
			})
		})
	}
}

// TestBytesAreReturned guards against a share that shrinks over time, and against taking more than it.
func TestBytesAreReturned(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		table := New(Limits{Memory: testMemory})
		held := map[ID]int64{}
		var ids []ID
		for i := range rapid.IntRange(1, 60).Draw(r, "steps") {
			now := start.Add(time.Duration(i) * 300 * time.Millisecond)
			if len(ids) == 0 || rapid.IntRange(0, 3).Draw(r, "event") == 0 {
				ids = append(ids, table.Open(now, Requests).ID)
				continue
			}
			id := rapid.SampledFrom(ids).Draw(r, "id")
			bytes := rapid.Int64Range(1, 1<<20).Draw(r, "bytes")
			switch rapid.IntRange(0, 3).Draw(r, "step") {
			case 0:
				table.SetPhase(now, id, Phase(rapid.IntRange(0, 3).Draw(r, "phase")))
				table.Move(now, id, int(bytes))
			case 1:
				bytes = min(bytes, held[id])
				table.Return(id, bytes)
				held[id] -= bytes
			case 2:
				table.Close(id)
			default:
				before := table.Bytes()
				if table.Take(now, id, bytes).Admit {
					held[id] += bytes
					if before+bytes > table.limits.bytes() {
						r.Fatalf("%d bytes taken beyond %d", bytes, before)
					}
				}
			}
		}
		for _, id := range ids {
			table.Close(id)
			table.Return(id, held[id])
		}
		if table.Bytes() != 0 || len(table.holders) != 0 || table.Count(Requests) != 0 {
			r.Fatalf("%d bytes, %d connections left", table.Bytes(), len(table.holders))
		}
	})
}

// TestExpectedResponses guards against large responses for which no memory is left when they arrive, and
// against a single large response after which requests for small ones are refused.
func TestExpectedResponses(t *testing.T) {
	convey.Convey("Large responses are expected after one, small ones free, and a mixture at its mean", t, func() {
		r := NewResponses()
		r.Record("large", 1<<20)
		convey.So(r.Expected("large"), convey.ShouldEqual, 1<<20)
		for range 100 {
			r.Record("small", 2<<10)
		}
		convey.So(r.Expected("small"), convey.ShouldEqual, 0)
		r.Record("small", 16<<20)
		convey.So(r.Expected("small"), convey.ShouldBeLessThan, 17<<20/averaged)
		for range 100 {
			r.Record("small", 2<<10)
		}
		convey.So(r.Expected("small"), convey.ShouldEqual, 0)
		convey.So(r.Expected("unknown"), convey.ShouldEqual, unknownResponse)
	})
}

// TestBestConnectionAmongMany guards against connections in use that are closed although others are of less use, since
// only some are looked at.
func TestBestConnectionAmongMany(t *testing.T) {
	convey.Convey("Unused ones are closed first, then those that wait for a request", t, func() {
		const each = 700
		table := New(Limits{Descriptors: 4100}) // 2,340 connections
		kinds := map[ID]string{}
		for i := range 3 * each {
			id := table.Open(start, Requests).ID
			switch kinds[id] = []string{"unused", "idle", "sending"}[i%3]; kinds[id] {
			case "idle":
				table.SetPhase(start, id, Running)
				table.SetPhase(start, id, Idle)
			case "sending":
				table.Move(start, id, 1)
			}
		}
		for full := false; !full; {
			full = !table.Open(start, Requests).Admit
		}
		order := ""
		for i := range 2*each + 300 {
			opened := table.Open(start.Add(time.Second+time.Duration(i)), Requests)
			convey.So(len(opened.Close), convey.ShouldBeBetweenOrEqual, 1, maxCandidates)
			table.SetPhase(start.Add(2*time.Second), opened.ID, Running)
			if kind := kinds[opened.Close[0]]; kind != "" && !strings.HasSuffix(order, kind) {
				order += " " + kind
			}
			table.Close(opened.Close[0])
		}
		convey.So(order, convey.ShouldEqual, " unused idle sending")
	})
}

// TestShareHoldsWhileOthersAreClosed guards against bytes beyond the callers' share while connections that are being
// closed have not returned theirs, and against a refusal for good when they will.
func TestShareHoldsWhileOthersAreClosed(t *testing.T) {
	convey.Convey("Bytes are refused until they are returned", t, func() {
		table := New(Limits{Memory: testMemory})
		for range 2 {
			id := table.Open(start, Requests).ID
			convey.So(table.Take(start, id, 1<<20).Admit, convey.ShouldBeTrue)
			table.SetPhase(start, id, Reading)
		}
		asks := table.Open(start, Requests).ID
		table.SetPhase(start, asks, Running)
		later := start.Add(5 * time.Second)
		taken := table.Take(later, asks, 1<<20)
		convey.So(taken.Admit, convey.ShouldBeFalse)
		convey.So(taken.Freeing, convey.ShouldBeTrue)
		convey.So(taken.Close, convey.ShouldNotBeEmpty)
		again := table.Take(later, asks, 1<<20)
		convey.So(again.Admit, convey.ShouldBeFalse)
		convey.So(again.Close, convey.ShouldBeEmpty) // enough are being closed
		for _, id := range taken.Close {
			table.Close(id)
			table.Return(id, 1<<20)
		}
		convey.So(table.Take(later, asks, 1<<20).Admit, convey.ShouldBeTrue)
		convey.So(table.Bytes(), convey.ShouldBeLessThanOrEqualTo, table.limits.bytes())
		rest := table.Open(start, Requests).ID
		table.SetPhase(start, rest, Running)
		convey.So(table.Take(later, rest, 3<<20).Admit, convey.ShouldBeFalse)
	})
}
