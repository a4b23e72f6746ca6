package node

import (
	"context"
	"flag"
	"fmt"
	"math"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/wasabiwheel/wasabiwheel/booking"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

// Bounds of one history. Memory is small and keys live shortly, so that the run
// meets both.
var (
	historyLimits = booking.Limits{Records: 2, Seals: 1, Period: 2 * time.Second, Window: 2}
	historyChecks = "8" // of the run in the test suite
)

// historyText has a second place, so that there is one to try again at.
var historyText = strings.Replace(onceText, "endpoint = [", `endpoint = [
	{id = "orders-2", service = "orders", domain = "b", address = "10.0.2.2:80", slots = 1, connections = 330},
`, 1)

const (
	historySeed    = "20261204"
	historyKeys    = 12
	historyGap     = 60  // most milliseconds between two acts
	historyActs    = 120 // most acts
	historyTimeout = 400 // most milliseconds that a caller gives an operation

	historyForgotten = 10 * time.Second // until no record is left
)

// act is one step of a history's schedule.
type act struct {
	kind    string
	gap     time.Duration // after the act before
	entry   int           // that is struck, or that the caller asks
	key     int
	timeout time.Duration
	leave   time.Duration // when the caller breaks its connection; 0: never
}

// actKinds is weighted by repetition.
var actKinds = []string{"send", "send", "send", "send", "send", "send", "leave", "leave", "kill", "cut", "slow", "fast", "truncate"}

func drawAct(t *rapid.T) act {
	ms := func(label string, low, high int) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(t, label)) * time.Millisecond
	}
	a := act{kind: rapid.SampledFrom(actKinds).Draw(t, "kind"), gap: ms("gap", 0, historyGap)}
	a.entry = rapid.IntRange(0, 2).Draw(t, "entry")
	a.key = rapid.IntRange(0, historyKeys-1).Draw(t, "key")
	a.timeout = ms("timeout", 1, historyTimeout)
	if a.kind == "leave" {
		a.leave = ms("leave", 1, 40)
	}
	return a
}

// history runs a schedule and records what callers asked and were told.
type history struct {
	r    *rig
	keys [historyKeys]string
	off  map[inventory.EntryID]bool // cut off

	mu  sync.Mutex
	ops []porcupine.Operation
	got map[string][]reply
}

// TestHistoriesOfOperations runs random schedules of callers, kills, restarts,
// cuts, lost answers and slow or truncating targets over whole nodes, and checks
// the histories. A longer run: go test ./node -run TestHistoriesOfOperations
// -rapid.checks=2000 -timeout 1h.
func TestHistoriesOfOperations(t *testing.T) {
	setFlag(t, "rapid.seed", historySeed)
	setFlag(t, "rapid.checks", historyChecks)
	rapid.Check(t, func(rt *rapid.T) {
		acts := rapid.SliceOfN(rapid.Custom(drawAct), 10, historyActs).Draw(rt, "acts")
		var faults []string
		synctest.Test(t, func(t *testing.T) { faults = runHistory(t, acts) })
		if len(faults) > 0 {
			rt.Fatal(strings.Join(faults, "\n"))
		}
	})
}

// setFlag sets a flag for one test unless the command line did.
func setFlag(t *testing.T, name, value string) {
	f := flag.Lookup(name)
	old := f.Value.String()
	if old != f.DefValue {
		return
	}
	t.Cleanup(func() { _ = f.Value.Set(old) })
	if err := f.Value.Set(value); err != nil {
		t.Fatal(err)
	}
}

func runHistory(t *testing.T, acts []act) []string {
	h := &history{r: newRigOn(t, []byte(historyText), rigNetwork()), off: map[inventory.EntryID]bool{}, got: map[string][]reply{}}
	defer h.r.close()
	h.r.limits = historyLimits
	h.r.startAll()
	h.r.settle()
	var wait sync.WaitGroup
	for _, a := range acts {
		time.Sleep(a.gap)
		h.run(a, &wait)
	}
	h.mend()
	wait.Wait()
	h.askAgain()
	time.Sleep(historyForgotten)
	h.askAgain()
	return h.faults()
}

func (h *history) run(a act, wait *sync.WaitGroup) {
	id := h.r.inv.Entries[a.entry].ID
	work := standin.Behaviour{Work: 10 * time.Millisecond}
	switch a.kind {
	case "kill":
		h.kill(id)
	case "cut":
		h.off[id] = !h.off[id]
		h.r.cut(id, h.off[id])
	case "slow":
		work.Work = 150 * time.Millisecond
		h.serve(work)
	case "truncate":
		work.Truncate = true
		h.serve(work)
	case "fast":
		h.serve(work)
	default:
		key := h.key(a.key)
		wait.Go(func() { h.ask(a, id, key) })
	}
}

// serve changes how the targets serve.
func (h *history) serve(b standin.Behaviour) {
	for _, t := range h.r.targets {
		t.SetBehaviour(b)
	}
}

// kill ends a node, or starts a new one where it was ended.
func (h *history) kill(id inventory.EntryID) {
	if _, runs := h.r.nodes[id]; runs {
		h.r.kill(id)
		return
	}
	h.r.start(id)
}

// key returns a key of the newest incarnation at its first use, dead or not.
func (h *history) key(i int) string {
	if h.keys[i] != "" {
		return h.keys[i]
	}
	owner := h.r.inv.Entries[i%len(h.r.inv.Entries)].ID
	for _, n := range h.r.started {
		if n.settings.ID == owner {
			h.keys[i] = fmt.Sprintf("%s~operation-%d", n.bookings.Token(time.Now()), i)
		}
	}
	return h.keys[i]
}

// ask sends an operation and records the answer. A lost answer may still take
// effect, so it counts as open for ever.
func (h *history) ask(a act, to inventory.EntryID, key string) {
	ctx, cancel := context.WithCancel(h.r.t.Context())
	defer cancel()
	if a.leave > 0 {
		time.AfterFunc(a.leave, cancel)
	}
	call := time.Now().UnixNano()
	p := h.r.order(ctx, to, key, "body", a.timeout)
	op := porcupine.Operation{Input: key, Output: p.outcome, Call: call, Return: time.Now().UnixNano()}
	if p.err != nil {
		op.Output, op.Return = OutcomeUnknown, int64(math.MaxInt64)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	op.ClientId = len(h.ops)
	h.ops = append(h.ops, op)
	h.got[key] = append(h.got[key], p)
}

// mend undoes all faults.
func (h *history) mend() {
	for _, e := range h.r.inv.Entries {
		if h.off[e.ID] {
			h.r.cut(e.ID, false)
		}
		if _, runs := h.r.nodes[e.ID]; !runs {
			h.r.start(e.ID)
		}
	}
	h.serve(standin.Behaviour{Work: 10 * time.Millisecond})
	h.r.settleMembers()
}

// askAgain asks for each operation once more, all entry VMs, as delayed copies
// do.
func (h *history) askAgain() {
	for i, key := range h.keys {
		for _, e := range h.r.inv.Entries {
			if key != "" {
				h.ask(act{key: i, timeout: time.Second}, e.ID, key)
			}
		}
	}
}

func (h *history) faults() []string {
	var faults []string
	if !porcupine.CheckOperations(onceModel.ToModel(), h.ops) {
		faults = append(faults, "no order of the operations explains the answers")
	}
	for key, replies := range h.got {
		faults = append(faults, h.faultsOf(key, replies)...)
	}
	return faults
}

// faultsOf compares the answers with what ran, and with each other.
func (h *history) faultsOf(key string, replies []reply) []string {
	var faults []string
	ran, whole := h.r.timesRun(key), ""
	if ran > 1 {
		faults = append(faults, fmt.Sprintf("%s ran %d times", key, ran))
	}
	for _, p := range replies {
		switch {
		case p.err != nil:
		case p.outcome == OutcomeNotRun && ran > 0, p.outcome == OutcomeRan && ran == 0:
			faults = append(faults, fmt.Sprintf("%s ran %d times, an answer says %s (%s)", key, ran, p.outcome, p.header.Get(HeaderReason)))
		case p.outcome == OutcomeRan && whole != "" && whole != string(p.body):
			faults = append(faults, key+" got two answers")
		case p.outcome == OutcomeRan:
			whole = string(p.body)
		}
	}
	return faults
}

// States of the model of one key.
const (
	modelNever = iota
	modelRan
	modelSealed
)

// onceModel says which answers may follow each other for one key.
var onceModel = porcupine.NondeterministicModel{
	Partition: byKey,
	Init:      func() []any { return []any{modelNever} },
	Step: func(state, _, output any) []any {
		switch {
		case output == OutcomeUnknown && state == modelNever:
			return []any{modelNever, modelRan, modelSealed}
		case output == OutcomeUnknown:
			return []any{state}
		case output == OutcomeRan && state != modelSealed:
			return []any{modelRan}
		case output == OutcomeNotRun && state != modelRan:
			return []any{modelSealed}
		}
		return nil
	},
}

func byKey(ops []porcupine.Operation) [][]porcupine.Operation {
	parts := map[any][]porcupine.Operation{}
	for _, op := range ops {
		parts[op.Input] = append(parts[op.Input], op)
	}
	var all [][]porcupine.Operation
	for _, part := range parts {
		all = append(all, part)
	}
	return all
}
