package soak

// A store that returns from an older copy of its own.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/wasabiwheel/wasabiwheel/platform"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

const (
	maxRestoreAge  = 6 * time.Second        // of the copy
	maxRestoreTime = 2 * time.Second        // for which the store is away
	rewriteDelay   = 500 * time.Millisecond // until the operator has noticed, at most
	restoreStream  = 1                      // of random numbers, other than that of the plan
)

// restoreStore lets the store return from a copy at a random time of the run, and now and then
// from a second one soon afterwards. The faults of the plan go on meanwhile.
func (h *harness) restoreStore(ctx context.Context, run time.Duration) {
	random := rand.New(rand.NewPCG(h.seed, restoreStream))
	if !sleep(ctx, run/5+time.Duration(random.Int64N(int64(max(1, run/2))))) {
		return
	}
	for range 1 + random.IntN(2) {
		h.restoreOnce(ctx, random)
		if !sleep(ctx, time.Duration(random.Int64N(int64(2*maxRestoreAge)))) {
			return
		}
	}
}

func (h *harness) restoreOnce(ctx context.Context, random *rand.Rand) {
	h.storeMu.Lock()
	defer h.storeMu.Unlock()
	away := time.Duration(random.Int64N(int64(maxRestoreTime)))
	age := time.Duration(random.Int64N(int64(maxRestoreAge)))
	_, _ = fmt.Fprintf(h.events, "%7.3f store away for %s, restored to %s before\n", time.Since(h.checker.began).Seconds(), away, age) // informative
	endFault := h.checker.BeginFault(time.Now(), ScopeStore)
	h.platform.SetFault(standin.Fault{Reset: true})
	sleep(ctx, away)
	h.platform.Restore(away + age)
	h.keys.restored()
	h.platform.SetFault(standin.Fault{})
	endFault(time.Now())
	go h.expireEntries(ctx)
	sleep(ctx, time.Duration(random.Int64N(int64(rewriteDelay))))
	changeCtx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	h.publishNext(changeCtx)
	h.operatorMu.Lock()
	defer h.operatorMu.Unlock()
	if h.drained != "" {
		if err := h.operator.Drain(changeCtx, h.drained); err != nil {
			h.checker.SetDrained(h.drained, time.Time{})
		}
	}
}

// expireEntries removes the entries of endpoints that send no heartbeats, as the store does
// some time after it has returned.
func (h *harness) expireEntries(ctx context.Context) {
	if !sleep(ctx, entryExpiry) {
		return
	}
	for _, t := range h.endpoints {
		if t.silent.Load() {
			h.platform.Expire(string(platform.Endpoints), string(t.ID))
		}
	}
}
