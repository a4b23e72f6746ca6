package node

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

// onceText is an inventory in which the operation's way has three nodes: the
// caller's entry VM is o-2, the key is of o-3, and o-1 owns the only endpoint.
const onceText = `
region = [{id = "r"}]
domain = [{id = "a", region = "r"}, {id = "b", region = "r"}]
service = [{id = "orders", deadline = "1s", queue = 8, idempotent = ["GET /kits"]}]
endpoint = [{id = "orders-1", service = "orders", domain = "a", address = "10.0.2.1:80", slots = 2, connections = 330}]
entry = [
	{id = "o-1", domain = "a", caller = "10.0.1.1:7000", peer = "10.0.1.1:7001", admin = "10.0.1.1:7002"},
	{id = "o-2", domain = "b", caller = "10.0.1.2:7000", peer = "10.0.1.2:7001", admin = "10.0.1.2:7002"},
	{id = "o-3", domain = "b", caller = "10.0.1.3:7000", peer = "10.0.1.3:7001", admin = "10.0.1.3:7002"},
]
`

const (
	onceTarget = "orders-1"
	onceKeys   = "o-3" // owns the keys
	oncePath   = "/serve/orders/refills"

	callerSlack = 100 * time.Millisecond // for the way to an entry VM and back
)

// order sends a once-only operation as a caller that waits for little longer
// than the given time.
func (r *rig) order(ctx context.Context, to inventory.EntryID, key, body string, timeout time.Duration) reply {
	ctx, cancel := context.WithTimeout(ctx, timeout+callerSlack)
	defer cancel()
	e, _ := r.inv.Entry(to)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Caller+oncePath, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	req.Header.Set(HeaderTimeout, strconv.FormatInt(timeout.Milliseconds(), 10))
	if key != "" {
		req.Header.Set(HeaderKey, key)
	}
	return r.do(req)
}

// cut sets whether a VM is cut off from all others.
func (r *rig) cut(id inventory.EntryID, off bool) {
	e, _ := r.inv.Entry(id)
	change := r.network.Heal
	if off {
		change = r.network.Cut
	}
	others := []string{rigCallerIP, rigPlatformIP}
	for _, p := range r.inv.Endpoints {
		others = append(others, hostOf(p.Address))
	}
	for _, o := range r.inv.Entries {
		others = append(others, hostOf(o.Peer))
	}
	for _, ip := range others {
		change(standin.Path{From: ip, To: hostOf(e.Peer)})
		change(standin.Path{From: hostOf(e.Peer), To: ip})
	}
}

// checkTold compares what callers were told of an operation with what ran.
func (r *rig) checkTold(key string, told ...reply) {
	r.t.Helper()
	ran := r.timesRun(key)
	if ran > 1 {
		r.t.Errorf("%s ran %d times", key, ran)
	}
	for i, p := range told {
		if p.err != nil {
			continue
		}
		if p.outcome == OutcomeNotRun && ran > 0 || p.outcome == OutcomeRan && ran == 0 {
			r.t.Errorf("%s ran %d times, answer %d says %s (%s)", key, ran, i, p.outcome, p.header.Get(HeaderReason))
		}
		if p.outcome != OutcomeRan && p.header.Get("Retry-After") == "" {
			r.t.Errorf("%s: answer %d says %s without Retry-After", key, i, p.outcome)
		}
		if p.outcome == OutcomeRan && p.echo.Key != key {
			r.t.Errorf("%s: answer %d is of %q", key, i, p.echo.Key)
		}
	}
}

// settleMembers waits until each endpoint has an owner, though perhaps fewer
// slots than before a fault, and all nodes hear each other again.
func (r *rig) settleMembers() {
	r.t.Helper()
	const limit = time.Minute
	began := time.Now()
	for r.held() < len(r.inv.Endpoints) && time.Since(began) < limit {
		time.Sleep(100 * time.Millisecond)
	}
	if r.held() < len(r.inv.Endpoints) {
		r.t.Errorf("%d of %d endpoints have an owner", r.held(), len(r.inv.Endpoints))
	}
	time.Sleep(4 * time.Second)
}

func (r *rig) held() int {
	sum := 0
	for _, n := range r.nodes {
		sum += len(n.Status().Holds)
	}
	return sum
}

func TestRepeatsOfAnOperation(t *testing.T) {
	bubble(t, []byte(onceText), func(r *rig) {
		convey.Convey("Repeats of an operation", r.t, func() {
			ctx, key := r.t.Context(), r.token("o-2", onceKeys)+"~operation-"+strconv.FormatInt(time.Now().UnixNano(), 10)
			r.targets[onceTarget].SetBehaviour(standin.Behaviour{Work: 10 * time.Millisecond})
			convey.Convey("at once and later, to all entry VMs, run it once and get one answer", func() {
				replies := make([]reply, 12)
				var wait sync.WaitGroup
				for i := range replies {
					wait.Go(func() { replies[i] = r.order(ctx, r.inv.Entries[i%3].ID, key, "body", time.Second) })
				}
				wait.Wait()
				replies = append(replies, r.order(ctx, "o-1", key, "body", time.Second))
				for _, p := range replies {
					convey.So(p.outcome, convey.ShouldEqual, OutcomeRan)
					convey.So(string(p.body), convey.ShouldEqual, string(replies[0].body))
				}
				r.checkTold(key, replies...)
			})
			convey.Convey("with another body are refused as such", func() {
				first := r.order(ctx, "o-1", key, "body", time.Second)
				other := r.order(ctx, "o-2", key, "another", time.Second)
				convey.So(first.outcome, convey.ShouldEqual, OutcomeRan)
				convey.So(other.status, convey.ShouldEqual, http.StatusUnprocessableEntity)
				convey.So(r.timesRun(key), convey.ShouldEqual, 1)
			})
			convey.Convey("after \"not run\" are refused, also when there is room again", func() {
				r.targets[onceTarget].SetBehaviour(standin.Behaviour{Work: 900 * time.Millisecond})
				for range 2 {
					go r.order(ctx, "o-1", "", "", time.Second)
				}
				time.Sleep(50 * time.Millisecond)
				first := r.order(ctx, onceKeys, key, "body", 5*time.Millisecond)
				time.Sleep(2 * time.Second)
				again := r.order(ctx, "o-2", key, "body", time.Second)
				convey.So(first.outcome, convey.ShouldEqual, OutcomeNotRun)
				convey.So(again.outcome, convey.ShouldEqual, OutcomeNotRun)
				r.checkTold(key, first, again)
			})
			convey.Convey("after their time are unknown", func() {
				first := r.order(ctx, "o-2", key, "body", time.Second)
				time.Sleep(15 * time.Minute)
				again := r.order(ctx, "o-1", key, "body", time.Second)
				fresh := r.order(ctx, "o-1", key+"-2", "body", time.Second)
				convey.So(again.outcome, convey.ShouldEqual, OutcomeUnknown)
				convey.So(fresh.outcome, convey.ShouldEqual, OutcomeUnknown)
				r.checkTold(key, first, again)
			})
			convey.Convey("that cannot be read say nothing of the operation", func() {
				first := r.order(ctx, "o-2", key, "body", time.Second)
				bad := r.order(ctx, "o-2", key, "body", 0)
				convey.So(bad.status, convey.ShouldEqual, http.StatusBadRequest)
				convey.So(bad.outcome, convey.ShouldEqual, OutcomeUnknown)
				convey.So(first.outcome, convey.ShouldEqual, OutcomeRan)
			})
		})
	})
}

// onceFaults strike one VM on the operation's way; mend undoes them.
var onceFaults = map[string]struct{ strike, mend func(*rig, inventory.EntryID) }{
	"kill": {(*rig).kill, func(r *rig, id inventory.EntryID) { r.start(id) }},
	"cut":  {func(r *rig, id inventory.EntryID) { r.cut(id, true) }, func(r *rig, id inventory.EntryID) { r.cut(id, false) }},
}

func TestFaultAtEachStepOfAnOperation(t *testing.T) {
	const stepsOf, last = 3 * time.Millisecond, 39 * time.Millisecond
	for name, fault := range onceFaults {
		for role, id := range map[string]inventory.EntryID{"slot owner": "o-1", "entry": "o-2", "key owner": onceKeys} {
			t.Run(name+" "+role, func(t *testing.T) {
				bubble(t, []byte(onceText), func(r *rig) {
					for at := time.Duration(0); at <= last; at += stepsOf {
						r.strikeAt(at, id, fault.strike, fault.mend)
					}
				})
			})
		}
	}
}

// strikeAt lets a fault happen a time after an operation was sent, and asks for
// the operation again during the fault and after it.
func (r *rig) strikeAt(at time.Duration, id inventory.EntryID, strike, mend func(*rig, inventory.EntryID)) {
	ctx := r.t.Context()
	key := r.token("o-2", onceKeys) + "~operation-" + at.String()
	owner := r.nodes[onceKeys]
	first := make(chan reply, 1)
	go func() { first <- r.order(ctx, "o-2", key, "body", time.Second) }()
	time.Sleep(at)
	strike(r, id)
	told := []reply{r.order(ctx, "o-1", key, "body", 500*time.Millisecond)}
	if told[0].err != nil && id != "o-1" {
		r.t.Errorf("%s after %v: no answer in time: %v", id, at, told[0].err)
	}
	mend(r, id)
	r.settleMembers()
	ran := r.timesRun(key)
	told = append(told, <-first)
	for _, e := range r.inv.Entries {
		again := r.order(ctx, e.ID, key, "body", time.Second)
		if r.nodes[onceKeys] != owner && again.outcome != OutcomeUnknown {
			r.t.Errorf("%s after %v: the owner is gone, the answer is %s", id, at, again.outcome)
		}
		told = append(told, again)
	}
	if r.nodes[onceKeys] != owner && r.timesRun(key) != ran {
		r.t.Errorf("%s after %v: the operation was started without its owner", id, at)
	}
	r.checkTold(key, told...)
}

func TestCallerLeavesAtEachStep(t *testing.T) {
	for name, keyed := range map[string]bool{"with a key": true, "without a key": false} {
		t.Run(name, func(t *testing.T) {
			bubble(t, []byte(onceText), func(r *rig) {
				convey.Convey("An operation that was received runs to its end, and once", r.t, func() {
					for at := time.Duration(0); at <= 36*time.Millisecond; at += time.Millisecond {
						r.leaveAt(at, keyed)
					}
				})
			})
		})
	}
}

// leaveAt has a caller break its connection a time after it sent an operation.
func (r *rig) leaveAt(at time.Duration, keyed bool) {
	key := ""
	if keyed {
		key = r.token("o-2", onceKeys) + "~operation-" + at.String()
	}
	before := r.targets[onceTarget].Ledger()
	ctx, leave := context.WithTimeout(r.t.Context(), at)
	defer leave()
	r.order(ctx, "o-2", key, "body", time.Second)
	if keyed {
		p := r.order(r.t.Context(), "o-1", key, "body", time.Second)
		convey.So(p.outcome, convey.ShouldEqual, OutcomeRan)
		r.checkTold(key, p)
	}
	time.Sleep(time.Second)
	after := r.targets[onceTarget].Ledger()
	convey.So(after.Ended-before.Ended, convey.ShouldEqual, after.Served-before.Served)
	convey.So(after.Served-before.Served, convey.ShouldBeLessThanOrEqualTo, 1)
}

func TestQueuedHandOverPastItsDeadline(t *testing.T) {
	for name, c := range map[string]struct {
		to   inventory.EntryID // of the key and the request
		mute bool              // the slots' owner cannot answer
		want Outcome
	}{
		"given up by its sender":      {"o-3", true, OutcomeUnknown},
		"refused to its sender":       {"o-3", false, OutcomeNotRun},
		"refused by the slots' owner": {"o-1", false, OutcomeNotRun},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, []byte(onceText), func(r *rig) {
				convey.Convey("A request whose time passed in a queue never starts", r.t, func() {
					ctx, key := r.t.Context(), r.token("o-2", c.to)+"~operation-1"
					r.order(ctx, c.to, "", "", time.Second) // makes the connections
					r.targets[onceTarget].SetBehaviour(standin.Behaviour{Work: 700 * time.Millisecond})
					for range 2 {
						go r.order(ctx, "o-2", "", "", time.Second)
					}
					time.Sleep(50 * time.Millisecond)
					back := standin.Path{From: "10.0.1.1", To: "10.0.1.3"}
					if c.mute {
						r.network.Cut(back)
					}
					first := r.order(ctx, c.to, key, "body", 200*time.Millisecond)
					r.network.Heal(back)
					convey.So(first.outcome, convey.ShouldEqual, c.want)
					time.Sleep(2 * time.Second)
					again := r.order(ctx, "o-2", key, "body", time.Second)
					convey.So(again.outcome, convey.ShouldEqual, c.want)
					convey.So(r.timesRun(key), convey.ShouldEqual, 0)
				})
			})
		})
	}
}

func TestOperationWithoutKeyIsNotRepeated(t *testing.T) {
	for name, b := range map[string]standin.Behaviour{
		"truncated answer": {Truncate: true},
		"stalled answer":   {Stall: true},
		"no answer":        {Raw: "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, []byte(historyText), func(r *rig) {
				convey.Convey("What may have run at one place is not tried at the other", r.t, func() {
					for _, target := range r.targets {
						target.SetBehaviour(b)
					}
					for i, e := range r.inv.Entries {
						p := r.order(r.t.Context(), e.ID, "", "body", time.Second)
						convey.So(p.outcome, convey.ShouldEqual, OutcomeUnknown)
						convey.So(p.header.Get("Retry-After"), convey.ShouldNotBeEmpty)
						time.Sleep(2 * time.Second) // until the slots are free
						convey.So(r.served(), convey.ShouldEqual, i+1)
					}
				})
			})
		})
	}
}

// served counts what the targets ran.
func (r *rig) served() int {
	sum := 0
	for _, t := range r.targets {
		sum += t.Ledger().Served
	}
	return sum
}
