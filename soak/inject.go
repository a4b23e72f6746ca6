package soak

// Injection of the planned faults.

import (
	"context"
	"net/http"
	"time"

	"github.com/wasabiwheel/wasabiwheel/configuration"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/platform"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

const (
	rollInterval   = 700 * time.Millisecond // between the signals of a rolling stop, and between retries of an undrain
	stormInterval  = 200 * time.Millisecond
	stormChanges   = 5
	changeTimeout  = 20 * time.Second // for an operator's change
	flapInterval   = 300 * time.Millisecond
	greyFailShare  = 0.5
	lateWriteDelay = 700 * time.Millisecond // delay of writes that take effect late
	expiryDivisor  = 3                      // one in this many entries expires while the store is unavailable
)

// greyStatuses are the statuses of requests that ran and failed. Callers take most of them for the promise that a
// request has not run.
var greyStatuses = []int{http.StatusInternalServerError, http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout}

// inject applies the fault of one event and reverts it at its end.
func (h *harness) inject(e Event) {
	switch e.Fault {
	case FaultStop, FaultRollingStop, FaultKill, FaultKillShare, FaultFreeze, FaultReload:
		h.injectNodeFault(e)
	case FaultCallerLink, FaultPeerLink, FaultStoreLink, FaultEndpointLink:
		h.injectLinkFault(e)
	case FaultCrash, FaultLeave, FaultSlow, FaultGrey, FaultBadAnswer, FaultFlap:
		h.injectEndpointFault(e)
	case FaultStoreDown, FaultStorePartial, FaultStoreSlow, FaultWriteLost, FaultWatchSilent, FaultStoreCompact:
		h.injectStoreFault(e)
	default:
		h.injectChange(e)
	}
}

func (h *harness) injectNodeFault(e Event) {
	p := h.processes[e.Index]
	switch e.Fault {
	case FaultStop:
		p.stop()
	case FaultRollingStop:
		for _, p := range h.processes {
			go p.stop()
			time.Sleep(rollInterval)
		}
	case FaultKill:
		p.kill()
	case FaultKillShare:
		for _, p := range h.processes[:int(e.Share*float64(len(h.processes)))] {
			go p.kill()
		}
		time.Sleep(restartDelay)
	case FaultFreeze:
		p.freeze(e.For)
	case FaultReload:
		p.reload(e.Variant)
	}
}

func (h *harness) injectLinkFault(e Event) {
	if e.Fault == FaultEndpointLink {
		endpoint := h.endpoints[e.Index]
		h.applyLinkFault(e, ScopeOfEndpoint(endpoint.ID), endpoint.proxy)
		return
	}
	p := h.processes[e.Index]
	proxies := map[Fault][]*standin.Proxy{FaultCallerLink: {p.caller, p.lookup}, FaultPeerLink: {p.peer}, FaultStoreLink: {p.store}}
	h.applyLinkFault(e, ScopeOfNode(p.index), proxies[e.Fault]...)
}

func (h *harness) applyLinkFault(e Event, s Scope, proxies ...*standin.Proxy) {
	endFault := h.checker.BeginFault(time.Now(), s)
	for _, p := range proxies {
		p.SetFault(e.Link)
	}
	time.Sleep(e.For)
	for _, p := range proxies {
		p.SetFault(standin.LinkFault{})
	}
	endFault(time.Now())
}

func (h *harness) injectEndpointFault(e Event) {
	endpoint := h.endpoints[e.Index]
	b := endpoint.normalBehaviour()
	switch e.Fault {
	case FaultCrash:
		endpoint.crash(h.platform, e.For)
	case FaultLeave:
		endpoint.leave(e.Variant%3 == 0, e.For)
	case FaultSlow:
		b.SlowFactor = slowFactor
		endpoint.applyBehaviour(b, e.For)
	case FaultGrey:
		b.Fail, b.FailStatus = greyFailShare, greyStatuses[e.Variant%len(greyStatuses)]
		endpoint.applyBehaviour(b, e.For)
	case FaultBadAnswer:
		behaviour := answerFaults[e.Variant%len(answerFaults)]
		behaviour.Work, behaviour.Spread, behaviour.Slots, behaviour.Backlog = b.Work, b.Spread, b.Slots, b.Backlog
		behaviour.Limit = b.Limit
		endpoint.applyBehaviour(behaviour, e.For)
	case FaultFlap:
		for began := time.Now(); time.Since(began) < e.For; {
			endpoint.crash(h.platform, flapInterval)
			time.Sleep(flapInterval)
		}
	}
}

// injectStoreFault applies a fault of the store. Only one is active at a time.
func (h *harness) injectStoreFault(e Event) {
	h.storeMu.Lock()
	defer h.storeMu.Unlock()
	endFault := h.checker.BeginFault(time.Now(), ScopeStore)
	defer func() { endFault(time.Now()) }()
	if e.Fault == FaultStoreCompact {
		h.platform.Compact()
		return
	}
	h.platform.SetFault(h.storeFaultOf(e))
	time.Sleep(e.For)
	if e.Fault == FaultStoreDown && e.For > entryExpiry/2 {
		for i, endpoint := range h.endpoints {
			if i%expiryDivisor == e.Variant%expiryDivisor {
				h.platform.Expire(string(platform.Endpoints), string(endpoint.ID))
			}
		}
	}
	h.platform.SetFault(standin.Fault{})
}

func (h *harness) storeFaultOf(e Event) standin.Fault {
	f := standin.Fault{}
	switch e.Fault {
	case FaultStoreDown, FaultStorePartial:
		*[]*bool{&f.Down, &f.Busy, &f.Silent, &f.Reset}[e.Variant%4] = true
	case FaultStoreSlow:
		f.Delay = time.Duration(1+e.Variant) * 100 * time.Millisecond
	case FaultWriteLost:
		*[]*int{&f.LoseAnswer, &f.LoseWrite, &f.LateWrite}[e.Variant%3] = 1 + e.Variant
		f.LateBy = lateWriteDelay
	case FaultWatchSilent:
		f.HangWatches = true
	}
	if e.Fault == FaultStorePartial {
		for i := range h.processes[:max(1, int(e.Share*float64(len(h.processes))))] {
			f.OnlyClients = append(f.OnlyClients, h.ip(hostStoreSource, i))
		}
	}
	return f
}

// injectChange makes a change on behalf of the operator.
func (h *harness) injectChange(e Event) {
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	switch e.Fault {
	case FaultChange:
		h.publishNext(ctx)
	case FaultChangeStorm:
		for range stormChanges {
			h.publishNext(ctx)
			time.Sleep(stormInterval)
		}
	case FaultDrain:
		h.drainDomain(ctx, e)
	}
}

// publishNext publishes a configuration that routes probes to the next service.
func (h *harness) publishNext(ctx context.Context) {
	h.operatorMu.Lock()
	defer h.operatorMu.Unlock()
	h.probedService = (h.probedService + 1) % len(serviceIDs)
	confirm := h.checker.RecordPublish(time.Now(), serviceIDs[h.probedService])
	key, accept := h.keys.begin(time.Now())
	_, err := h.operator.Publish(ctx, configuration.Change{Text: []byte(h.inventoryText(h.size(), h.probedService, key)), Author: "soak"})
	if err == nil { // after an error it may or may not be in force
		confirm(time.Now())
		accept(time.Now())
	}
}

// drainDomain drains a failure domain for a while. It does nothing while another one
// is drained.
func (h *harness) drainDomain(ctx context.Context, e Event) {
	if !h.drainMu.TryLock() {
		return
	}
	defer h.drainMu.Unlock()
	d := h.inventory.Domains[e.Index].ID
	h.setDrained(d)
	if err := h.operator.Drain(ctx, d); err == nil {
		h.checker.SetDrained(d, time.Now())
	}
	time.Sleep(drainBound + e.For)
	h.setDrained("")
	h.checker.SetDrained(d, time.Time{})
	for ctx.Err() == nil && h.operator.Undrain(ctx, d) != nil {
		time.Sleep(rollInterval)
	}
	since := h.platform.RemovedAt(string(platform.Drains), string(d)) // the answer may have been lost
	if since.IsZero() {
		since = time.Now()
	}
	until := since.Add(h.endpoints[0].warmup)
	for _, endpoint := range h.endpoints {
		if endpoint.Domain == d {
			endpoint.checker.SetCold(endpoint.ID, until)
		}
	}
}

func (h *harness) setDrained(d inventory.DomainID) {
	h.operatorMu.Lock()
	defer h.operatorMu.Unlock()
	h.drained = d
}
