// Package booking runs operations that must not run twice. Each operation has
// a key; the process incarnation that the key names is the only one that may
// start it, and remembers in memory what became of it.
//
// An operation is new, then sent, then done or unknown; or it is sealed while
// it is new, and then never starts. The answers follow from the state:
//
//   - "not run" is said of a sealed operation only. Sealing and sending exclude
//     each other, so it stays true whatever arrives later.
//   - A sent operation is new again when the next hop says that it did not run.
//   - An operation that was sent and whose answer was lost is "unknown" for
//     ever.
//   - A key too old to be remembered is "unknown", and is not started.
//
// A record outlives its key, so a forgotten operation cannot start again, and a
// record under way is never dropped. When the table is full new operations are
// refused and sealed; records of live keys are never dropped to make room. An
// answer for which there is no room goes to the caller that the operation was
// started for; later ones learn that it is not kept.
//
// # Usage
//
//	t := booking.New(entry, incarnation, booking.Limits{}, time.Now())
//	switch v := t.Begin(now, key, digest); v.Action {
//	case booking.Start: // send it on; then Send, and Finish or Lose
//	case booking.Join:  // <-v.Done, then t.Look(key)
//	}
package booking

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/looplab/fsm"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// State of an operation.
type State string

// The states of an operation.
const (
	StateNew     State = "new"
	StateSent    State = "sent"
	StateDone    State = "done"
	StateUnknown State = "unknown"
	StateSealed  State = "sealed"
)

// Events of an operation's state machine.
const (
	eventSend   = "send"
	eventFinish = "finish"
	eventLose   = "lose"
	eventSeal   = "seal"
	eventReturn = "return"
)

var transitions = fsm.Events{
	{Name: eventSend, Src: []string{string(StateNew)}, Dst: string(StateSent)},
	{Name: eventFinish, Src: []string{string(StateSent)}, Dst: string(StateDone)},
	{Name: eventLose, Src: []string{string(StateSent)}, Dst: string(StateUnknown)},
	{Name: eventReturn, Src: []string{string(StateSent)}, Dst: string(StateNew)},
	{Name: eventSeal, Src: []string{string(StateNew)}, Dst: string(StateSealed)},
}

// Action is what the caller of Begin does next.
type Action string

// The actions.
const (
	Start   Action = "start"   // the operation is new: the caller runs it
	Join    Action = "join"    // it is under way: wait for Done, then Look
	Replay  Action = "replay"  // it is over: Answer or State says how
	Expired Action = "expired" // too old to be remembered: unknown
	Full    Action = "full"    // no room: refused; sealed unless State is unknown
	Differs Action = "differs" // the key was used for another request
	Foreign Action = "foreign" // another incarnation owns the key
)

// Answer is what became of an operation, as kept for repeats: a target's whole
// answer, or the reason why there is none.
type Answer struct {
	Status  int
	Header  map[string][]string
	Body    []byte
	Reason  string
	After   time.Duration // when to come back
	Dropped bool          // there was no room to keep the answer
}

// size is the number of bytes that an answer occupies.
func (a Answer) size() int {
	size := len(a.Body)
	for name, values := range a.Header {
		size += len(name)
		for _, v := range values {
			size += len(v)
		}
	}
	return size
}

// Digest identifies the content of a request.
type Digest [32]byte

// Verdict is the outcome of Begin or Look.
type Verdict struct {
	Action Action
	State  State
	Answer Answer
	Done   <-chan struct{} // closed when the operation is over
}

// Limits bounds a table. Zero values stand for the defaults.
type Limits struct {
	Records int           // operations remembered
	Seals   int           // sealed keys remembered
	Bytes   int           // bytes of answers remembered, headers included
	Answer  int           // bytes held free for the answer of each operation under way
	Period  time.Duration // length of a period
	Window  Period        // periods for which a key is remembered
}

// Defaults of Limits.
const (
	defaultRecords = 50_000
	defaultSeals   = 100_000
	defaultBytes   = 32 << 20
	defaultAnswer  = 4 << 10
	defaultPeriod  = 30 * time.Second
	defaultWindow  = 20
)

func (l Limits) withDefaults() Limits {
	if l.Records == 0 {
		l.Records = defaultRecords
	}
	if l.Seals == 0 {
		l.Seals = defaultSeals
	}
	if l.Bytes == 0 {
		l.Bytes = defaultBytes
	}
	if l.Answer == 0 {
		l.Answer = defaultAnswer
	}
	if l.Period == 0 {
		l.Period = defaultPeriod
	}
	if l.Window == 0 {
		l.Window = defaultWindow
	}
	return l
}

// record is one operation. Its key's period decides when it may be dropped.
type record struct {
	life   *fsm.FSM
	digest Digest
	answer Answer
	done   chan struct{}
}

func (r *record) state() State { return State(r.life.Current()) }

// over reports whether nothing more can become of the operation.
func (r *record) over() bool {
	s := r.state()
	return s != StateNew && s != StateSent
}

// Table remembers the operations of one incarnation. It is safe for concurrent
// use.
type Table struct {
	entry       inventory.EntryID
	incarnation inventory.Incarnation
	limits      Limits
	born        time.Time

	mu      sync.Mutex
	records map[Period]map[string]*record // by the random part of the key
	seals   map[Period]map[string]bool
	live    int    // number of records
	running int    // of them under way
	sealed  int    // number of seals
	bytes   int    // of answers
	oldest  Period // whose keys are accepted
	kept    Period // the oldest that was not dropped
}

// New returns an empty table for an incarnation that started at born.
func New(entry inventory.EntryID, incarnation inventory.Incarnation, l Limits, born time.Time) *Table {
	return &Table{
		entry:       entry,
		incarnation: incarnation,
		limits:      l.withDefaults(),
		born:        born,
		records:     map[Period]map[string]*record{},
		seals:       map[Period]map[string]bool{},
	}
}

// Token returns the token to give out now.
func (t *Table) Token(now time.Time) Token {
	return Token{Entry: t.entry, Incarnation: t.incarnation, Period: t.period(now)}
}

func (t *Table) period(now time.Time) Period {
	return Period(max(now.Sub(t.born), 0) / t.limits.Period)
}

// Begin decides what to do with a received operation and, with Start, records
// it. After Start the caller must end with Seal, Finish or Lose.
func (t *Table) Begin(now time.Time, k Key, d Digest) Verdict {
	if k.Entry != t.entry || k.Incarnation != t.incarnation {
		return Verdict{Action: Foreign, State: StateUnknown}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(now)
	current := t.period(now)
	if k.Period > current || k.Period < t.oldest {
		return Verdict{Action: Expired, State: StateUnknown}
	}
	if t.seals[k.Period][k.Random] {
		return Verdict{Action: Replay, State: StateSealed}
	}
	if r, ok := t.records[k.Period][k.Random]; ok {
		return r.verdict(d)
	}
	if !t.hasRoom() {
		return t.refuse(k)
	}
	t.add(k, d)
	return Verdict{Action: Start, State: StateNew}
}

func (t *Table) hasRoom() bool {
	reserved := (t.running + 1) * t.limits.Answer
	return t.live < t.limits.Records && t.bytes+reserved <= t.limits.Bytes
}

// refuse seals a key for which there is no room. When even the seal does not
// fit, the state is unknown: nothing was started, but nothing can be promised.
func (t *Table) refuse(k Key) Verdict {
	if t.sealed >= t.limits.Seals {
		return Verdict{Action: Full, State: StateUnknown}
	}
	t.seal(k)
	return Verdict{Action: Full, State: StateSealed}
}

func (t *Table) seal(k Key) {
	if t.seals[k.Period] == nil {
		t.seals[k.Period] = map[string]bool{}
	}
	t.seals[k.Period][k.Random] = true
	t.sealed++
}

func (t *Table) add(k Key, d Digest) {
	if t.records[k.Period] == nil {
		t.records[k.Period] = map[string]*record{}
	}
	t.records[k.Period][k.Random] = &record{
		life:   fsm.NewFSM(string(StateNew), transitions, nil),
		digest: d,
		done:   make(chan struct{}),
	}
	t.live++
	t.running++
}

func (r *record) verdict(d Digest) Verdict {
	if r.digest != d {
		return Verdict{Action: Differs, State: r.state()}
	}
	if !r.over() {
		return Verdict{Action: Join, State: r.state(), Done: r.done}
	}
	return Verdict{Action: Replay, State: r.state(), Answer: r.answer}
}

// Look returns what is known of an operation after Join.
func (t *Table) Look(k Key) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.seals[k.Period][k.Random] {
		return Verdict{Action: Replay, State: StateSealed}
	}
	r, ok := t.records[k.Period][k.Random]
	if !ok {
		return Verdict{Action: Expired, State: StateUnknown}
	}
	return r.verdict(r.digest)
}

// Send records that the operation is about to leave this process. It fails
// with KindState unless the operation is new.
func (t *Table) Send(k Key) error { return t.step("send", k, eventSend, Answer{}) }

// Return records that the next hop said that it did not run the operation,
// which may then be sent elsewhere.
func (t *Table) Return(k Key) error { return t.step("return", k, eventReturn, Answer{}) }

// Finish records the target's whole answer.
func (t *Table) Finish(k Key, a Answer) error { return t.step("finish", k, eventFinish, a) }

// Lose records that the operation was sent and its answer will not come.
func (t *Table) Lose(k Key, why Answer) error { return t.step("lose", k, eventLose, why) }

// Seal records that the operation never starts. It fails with KindState when
// the operation was sent.
func (t *Table) Seal(k Key, why Answer) error { return t.step("seal", k, eventSeal, why) }

func (t *Table) step(op string, k Key, event string, a Answer) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[k.Period][k.Random]
	if !ok {
		return &Error{Op: op, Kind: KindState, Err: errors.Newf("no operation %s", k)}
	}
	if err := r.life.Event(context.Background(), event); err != nil {
		return &Error{Op: op, Kind: KindState, Err: err}
	}
	r.answer = t.keep(a)
	if r.over() {
		t.running--
		close(r.done)
		t.dropLate(k)
	}
	return nil
}

// keep makes room for an answer, or drops what does not fit of it.
func (t *Table) keep(a Answer) Answer {
	if t.bytes+a.size() > t.limits.Bytes {
		return Answer{Status: a.Status, Reason: a.Reason, After: a.After, Dropped: true}
	}
	t.bytes += a.size()
	return a
}

// forget refuses the keys that have become too old, and drops their records a
// period later, when nobody waits for them any more. Neither comes back, since
// both bounds only grow.
func (t *Table) forget(now time.Time) {
	current := t.period(now)
	if current > t.limits.Window {
		t.oldest = max(t.oldest, current-t.limits.Window)
	}
	for ; t.kept+1 < t.oldest; t.kept++ {
		t.drop(t.kept)
	}
}

// drop drops a period, but for what is still under way.
func (t *Table) drop(p Period) {
	for random, r := range t.records[p] {
		if r.over() {
			t.remove(p, random)
		}
	}
	t.sealed -= len(t.seals[p])
	delete(t.seals, p)
}

// dropLate drops a record that outlasted its period.
func (t *Table) dropLate(k Key) {
	if k.Period < t.kept {
		t.remove(k.Period, k.Random)
	}
}

func (t *Table) remove(p Period, random string) {
	t.bytes -= t.records[p][random].answer.size()
	t.live--
	delete(t.records[p], random)
	if len(t.records[p]) == 0 {
		delete(t.records, p)
	}
}
