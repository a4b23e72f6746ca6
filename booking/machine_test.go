package booking

import (
	"flag"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Bounds of the random run: few keys and little memory, so that it meets them.
var machineLimits = Limits{Records: 4, Seals: 3, Bytes: 64, Answer: 4, Period: time.Second, Window: 3}

const randoms = 4 // random parts of keys in each period

// operation is what the run knows of a key.
type operation struct {
	starts int
	sent   bool // it was sent and not returned
	sealed bool // somebody was told so
	over   *Verdict
}

// machine runs a table and a model of it side by side.
type machine struct {
	table *Table
	now   time.Time
	model map[Key]*operation
	keys  []Key // of the model, in the order of their first use
}

// seed fixes rapid's seed for one test.
func seed(t *testing.T, value string) {
	f := flag.Lookup("rapid.seed")
	old := f.Value.String()
	if old != f.DefValue {
		return // chosen on the command line
	}
	t.Cleanup(func() { _ = f.Value.Set(old) })
	if err := f.Value.Set(value); err != nil {
		t.Fatal(err)
	}
}

// TestRandomRun runs random calls against a model. A longer run is chosen with
// -rapid.checks=100000.
func TestRandomRun(t *testing.T) {
	seed(t, "20261204")
	rapid.Check(t, func(rt *rapid.T) {
		m := &machine{table: New("mx-1", 7, machineLimits, born), now: born, model: map[Key]*operation{}}
		rt.Repeat(map[string]func(*rapid.T){
			"begin":  m.begin,
			"repeat": m.begin,
			"send":   m.send,
			"return": m.giveBack,
			"finish": m.finish,
			"lose":   m.lose,
			"seal":   m.seal,
			"wait":   m.wait,
			"":       m.check,
		})
	})
}

// key draws a key, more often than not one that was used before.
func (m *machine) key(t *rapid.T) Key {
	if len(m.keys) > 0 && rapid.IntRange(0, 2).Draw(t, "again") > 0 {
		return rapid.SampledFrom(m.keys).Draw(t, "key")
	}
	current := int(m.table.period(m.now))
	p := rapid.IntRange(max(0, current-5), current+1).Draw(t, "period")
	return keyOf(Period(p), rapid.IntRange(1, randoms).Draw(t, "random"))
}

func (m *machine) operation(k Key) *operation {
	if m.model[k] == nil {
		m.model[k] = &operation{}
		m.keys = append(m.keys, k)
	}
	return m.model[k]
}

func (m *machine) begin(t *rapid.T) {
	k := m.key(t)
	o := m.operation(k)
	v := m.table.Begin(m.now, k, Digest{})
	switch v.Action {
	case Start:
		o.starts++
		if o.starts > 1 || o.sealed {
			t.Fatalf("%s started again: %+v", k, *o)
		}
	case Join:
		if o.over != nil || o.starts != 1 {
			t.Fatalf("%s is under way: %+v", k, *o)
		}
	case Replay:
		m.repeat(t, k, v)
	case Full:
		if o.starts > 0 {
			t.Fatalf("%s was dropped while its key lives", k)
		}
		o.sealed = o.sealed || v.State == StateSealed
	case Expired:
		if v.State != StateUnknown {
			t.Fatalf("%s is too old, and is said to be %s", k, v.State)
		}
	default:
		t.Fatalf("%s: %s", k, v.Action)
	}
}

// repeat checks that a repeat says the same for ever.
func (m *machine) repeat(t *rapid.T, k Key, v Verdict) {
	o := m.operation(k)
	if v.State == StateSealed {
		o.sealed = true
	}
	if o.over == nil {
		o.over = &v
	}
	if !reflect.DeepEqual(*o.over, v) {
		t.Fatalf("%s was %+v and is %+v", k, *o.over, v)
	}
}

func (m *machine) send(t *rapid.T) {
	k := m.key(t)
	o := m.operation(k)
	if m.table.Send(k) != nil {
		return
	}
	if o.sealed || o.sent || o.over != nil {
		t.Fatalf("%s is sent: %+v", k, *o)
	}
	o.sent = true
}

func (m *machine) giveBack(t *rapid.T) {
	k := m.key(t)
	if m.table.Return(k) == nil {
		m.operation(k).sent = false
	}
}

func (m *machine) finish(t *rapid.T) {
	k := m.key(t)
	a := Answer{Status: 200, Body: make([]byte, rapid.IntRange(0, 60).Draw(t, "bytes"))}
	if m.table.Finish(k, a) == nil && !m.operation(k).sent {
		t.Fatalf("%s has an answer and was not sent", k)
	}
}

func (m *machine) lose(t *rapid.T) {
	k := m.key(t)
	if m.table.Lose(k, Answer{Reason: "broken"}) == nil && !m.operation(k).sent {
		t.Fatalf("%s is lost and was not sent", k)
	}
}

func (m *machine) seal(t *rapid.T) {
	k := m.key(t)
	if m.table.Seal(k, Answer{Reason: "late"}) != nil {
		return
	}
	o := m.operation(k)
	if o.sent {
		t.Fatalf("%s is sealed and was sent", k)
	}
	o.sealed = true
}

func (m *machine) wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 2500).Draw(t, "ms")) * time.Millisecond)
}

// check compares the table's counts with what it holds, and with its limits.
func (m *machine) check(t *rapid.T) {
	live, running, sealed, bytes := 0, 0, 0, 0
	for _, records := range m.table.records {
		for _, r := range records {
			live++
			bytes += r.answer.size()
			if !r.over() {
				running++
			}
		}
	}
	for _, seals := range m.table.seals {
		sealed += len(seals)
	}
	counted := [...]int{m.table.live, m.table.running, m.table.sealed, m.table.bytes}
	if counted != [...]int{live, running, sealed, bytes} {
		t.Fatalf("counted %v, there are %v", counted, [...]int{live, running, sealed, bytes})
	}
	l := machineLimits
	if live > l.Records || sealed > l.Seals || bytes > l.Bytes {
		t.Fatalf("%v is beyond the limits", counted)
	}
}
