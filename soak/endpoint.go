package soak

// Endpoints and the store, which run in the process of the soak. The endpoints report
// the arrivals and runs of requests to the checker.

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wasabiwheel/wasabiwheel/caller"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/platform"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

const (
	meanWork    = 15 * time.Millisecond   // mean processing time of a request whose object is not warm
	backlog     = 20                      // requests that may wait at an endpoint
	warmObjects = 100                     // objects that an endpoint keeps warm
	slowFactor  = 8                       // factor on the processing time of a slow endpoint
	entryExpiry = 4500 * time.Millisecond // time without heartbeats after which the store removes an entry
)

// answerFaults are the behaviours that lose or corrupt answers.
var answerFaults = []standin.Behaviour{
	{Truncate: true}, {Stall: true}, {DropAnswer: true}, {Early: true}, {Unsigned: true}, {NoLength: true}, {Shed: true},
	{Raw: "no HTTP at all\r\n\r\n"},
	{Raw: "HTTP/1.1 200 OK\r\nWasabiwheel-Request: another\r\nWasabiwheel-Signature: x\r\nContent-Length: 2\r\n\r\nhi"},
	{Trailing: "HTTP/1.1 200 OK\r\nWasabiwheel-Request: {id}\r\nWasabiwheel-Signature: x\r\nContent-Length: 2\r\n\r\nhi"},
	{IgnoreCancel: true}, {ReportNoLoad: true},
}

// testEndpoint is an endpoint that can crash, leave and start again.
type testEndpoint struct {
	standin.Endpoint // registered with the address of its proxy
	warmup           time.Duration
	checker          *Checker
	proxy            *standin.Proxy

	limited atomic.Bool // it names a limit
	silent  atomic.Bool // it sends no heartbeats
	outage  sync.Mutex  // held from a crash or leave until the restart
}

func newTestEndpoint(e inventory.Endpoint, listenAddress string, store *platform.Client, checker *Checker, senderOf func(address string) int) *testEndpoint {
	t := &testEndpoint{checker: checker}
	t.Endpoint.Endpoint, t.ListenAddress, t.HeaderNames, t.Store = e, listenAddress, caller.Headers, store
	info := EndpointInfo{ID: e.ID, Domain: e.Domain, Service: e.Service}
	t.OnArrival = func(id string) { checker.RecordArrival(time.Now(), id, info) }
	t.OnSender = func(id, address string) { checker.RecordSender(time.Now(), id, info, senderOf(address)) }
	t.OnLeaving = func(id string) { checker.RecordLeavingTold(time.Now(), id, info) }
	t.OnPause = func(id string) { checker.RecordPauseTold(time.Now(), id, info) }
	t.OnRun = func(id string) { checker.RecordRun(time.Now(), id, info) }
	return t
}

func (t *testEndpoint) normalBehaviour() standin.Behaviour {
	return standin.Behaviour{Work: meanWork, Spread: meanWork, Slots: t.Slots, Backlog: backlog, WarmObjects: warmObjects, WarmGain: 0.7, Limit: t.limitText()}
}

// start serves and registers the endpoint. One that starts during a run is cold.
func (t *testEndpoint) start(cold bool) error {
	warmup := time.Duration(0)
	if cold {
		warmup = t.warmup
		t.checker.SetCold(t.ID, time.Now().Add(warmup))
	}
	t.checker.SetLeaving(t.ID, time.Time{})
	t.silent.Store(false)
	if err := t.Start(t.normalBehaviour(), warmup); err != nil {
		return &Error{Op: "endpoint", Kind: KindStart, Err: err}
	}
	return nil
}

// crash stops the endpoint without deregistering and restarts it cold after d. If d
// exceeds entryExpiry, the store removes its entry.
func (t *testEndpoint) crash(p *standin.Platform, d time.Duration) {
	if !t.outage.TryLock() {
		return
	}
	defer t.outage.Unlock()
	endFault := t.checker.BeginFault(time.Now(), ScopeOfEndpoint(t.ID))
	defer func() { endFault(time.Now()) }()
	t.silent.Store(true)
	t.End()
	if d > entryExpiry {
		time.Sleep(entryExpiry)
		p.Expire(string(platform.Endpoints), string(t.ID))
		d -= entryExpiry
	}
	time.Sleep(d)
	t.restart()
}

// restart starts the endpoint again, cold.
func (t *testEndpoint) restart() {
	if err := t.start(true); err != nil {
		t.checker.RecordViolation(time.Now(), "start", err.Error())
	}
}

// leave announces that the endpoint is draining or, with removeOnly, only removes its
// entry from the store. The endpoint serves for 2 s and d more, stops and restarts.
func (t *testEndpoint) leave(removeOnly bool, d time.Duration) {
	if !t.outage.TryLock() {
		return
	}
	defer t.outage.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), entryExpiry)
	defer cancel()
	announce := t.Drain
	if removeOnly {
		announce = t.Remove
		t.silent.Store(true)
	}
	t.Target().SetLeaving(true)
	if err := announce(ctx); err == nil { // after an error the store may not have the change, so no bound applies
		t.checker.SetLeaving(t.ID, time.Now())
	}
	time.Sleep(2*time.Second + d)
	endFault := t.checker.BeginFault(time.Now(), ScopeOfEndpoint(t.ID))
	defer func() { endFault(time.Now()) }()
	t.silent.Store(true)
	t.End()
	if !removeOnly {
		_ = t.Remove(ctx) // the store may be unreachable or have removed the entry
	}
	time.Sleep(restartDelay)
	t.restart()
}

// applyBehaviour changes the behaviour of the endpoint for d. The endpoint
// counts as faulty meanwhile, because some behaviours break connections.
func (t *testEndpoint) applyBehaviour(b standin.Behaviour, d time.Duration) {
	endFault := t.checker.BeginFault(time.Now(), ScopeOfEndpoint(t.ID))
	target := t.Target()
	target.SetBehaviour(b)
	time.Sleep(d)
	target.SetBehaviour(t.normalBehaviour())
	endFault(time.Now())
}
