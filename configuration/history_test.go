package configuration_test

// Checks histories of concurrent operators for linearizability.

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/wasabiwheel/wasabiwheel/configuration"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

const (
	operators       = 4
	changes         = 3 // of each operator
	operatorTimeout = 4 * time.Second
	forever         = int64(1) << 62
)

// inForce is the version that is in force, and its author.
type inForce struct {
	version inventory.Version
	author  string
}

// request is one operator's change. A request without an author is a read.
type request struct {
	author string
	base   inventory.Version
}

// response is the result that an operator received.
type response struct {
	kind configuration.Kind
	inForce
}

// model specifies what operators may rely on: a change takes effect once or not
// at all, never twice.
var model = porcupine.NondeterministicModel{
	Init: func() []any { return []any{inForce{}} },
	Step: func(state, input, output any) []any {
		current, in, out := state.(inForce), input.(request), output.(response)
		next := inForce{current.version + 1, in.author}
		baseMatches := in.base == 0 || in.base == current.version
		switch {
		case in.author == "":
			return stateIf(out.inForce == current, current)
		case out.kind == "" || out.kind == configuration.KindRecord:
			return stateIf(baseMatches && (out.version == next.version || out.kind != ""), next)
		case out.kind == configuration.KindConflict:
			return stateIf(current.version > 0, current)
		case out.kind == configuration.KindUncertain && baseMatches:
			return []any{current, next}
		default:
			return []any{current}
		}
	},
}

func stateIf(ok bool, s inForce) []any {
	if !ok {
		return nil
	}
	return []any{s}
}

// recorder runs operators and collects their history.
type recorder struct {
	r     *rig
	began time.Time

	mu      sync.Mutex
	history []porcupine.Operation
}

func (h *recorder) now() int64 { return time.Since(h.began).Nanoseconds() }

func (h *recorder) add(client int, call int64, in request, out response) {
	op := porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: h.now()}
	if out.kind == configuration.KindUncertain {
		op.Return = forever // the write may take effect at any later time
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.history = append(h.history, op)
}

// operate makes the changes of one operator. At random, a change is based on the
// version that the operator read before it.
func (h *recorder) operate(client int, random *rand.Rand) {
	for i := range changes {
		time.Sleep(time.Duration(random.Int64N(int64(time.Second))))
		in := request{author: fmt.Sprintf("operator-%d-%d", client, i)}
		if random.IntN(2) == 0 {
			in.base = h.read(client)
		}
		h.publish(client, in)
	}
}

func (h *recorder) publish(client int, in request) {
	call := h.now()
	ctx, cancel := context.WithTimeout(h.r.t.Context(), operatorTimeout)
	defer cancel()
	release, err := h.r.newManager().Publish(ctx, configuration.Change{Text: text(in.author), Author: in.author, Base: in.base})
	h.add(client, call, in, response{kind: kindOf(err), inForce: inForce{version: release.Version}})
}

// read returns the version that is in force, or 0 if the read fails.
func (h *recorder) read(client int) inventory.Version {
	call := h.now()
	ctx, cancel := context.WithTimeout(h.r.t.Context(), operatorTimeout)
	defer cancel()
	current, err := h.r.newManager().Current(ctx)
	if err != nil {
		return 0
	}
	s := inForce{version: current.Configuration.Version}
	if s.version > 0 {
		s.author = string(current.Configuration.Services[0].ID)
	}
	h.add(client, call, request{}, response{inForce: s})
	return s.version
}

// injectFaults sets random faults of the store until done is closed.
func injectFaults(r *rig, random *rand.Rand, done chan struct{}) {
	for {
		r.platform.SetFault(randomFault(random))
		select {
		case <-done:
			r.platform.SetFault(standin.Fault{})
			return
		case <-time.After(time.Duration(random.Int64N(int64(operatorTimeout)))):
		}
	}
}

func randomFault(random *rand.Rand) standin.Fault {
	late := time.Duration(random.Int64N(int64(3 * time.Second)))
	faults := []standin.Fault{
		{},
		{Down: true},
		{Busy: true},
		{Delay: late / 10},
		{LoseAnswer: 5},
		{LoseWrite: 50},
		{LateWrite: 50, LateBy: late},
		{LateWrite: 1, LateBy: late / 4, LoseAnswer: 1},
	}
	return faults[random.IntN(len(faults))]
}

// race runs all operators concurrently and returns their history.
func race(t *testing.T, seed uint64) []porcupine.Operation {
	var h *recorder
	bubble(t, func(r *rig) {
		h = &recorder{r: r, began: time.Now()}
		done := make(chan struct{})
		var wait, faults sync.WaitGroup
		faults.Go(func() { injectFaults(r, rand.New(rand.NewPCG(seed, 0)), done) })
		for i := range operators {
			wait.Go(func() { h.operate(i, rand.New(rand.NewPCG(seed, uint64(i+1)))) })
		}
		wait.Wait()
		close(done)
		faults.Wait()
		time.Sleep(time.Minute)
		h.read(operators)
	})
	return h.history
}

func TestRacingOperatorsAreLinearizable(t *testing.T) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "60")
	kinds := map[configuration.Kind]int{}
	rapid.Check(t, func(rt *rapid.T) {
		history := race(t, rapid.Uint64().Draw(rt, "seed"))
		for _, op := range history {
			if op.Input.(request).author != "" {
				kinds[op.Output.(response).kind]++
			}
		}
		if !porcupine.CheckOperations(model.ToModel(), history) {
			rt.Fatalf("not linearizable: %+v", history)
		}
	})
	t.Logf("results by kind: %v", kinds)
	for _, k := range []configuration.Kind{"", configuration.KindConflict, configuration.KindUncertain, configuration.KindStore} {
		if kinds[k] == 0 {
			t.Errorf("no operation returned %q", k)
		}
	}
}
