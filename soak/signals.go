package soak

// Endpoints that say in their responses that they leave, or ask for a pause, and the checks that the
// node that heard it respects it.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/platform"
)

const (
	pauseStream   = 4                       // of random numbers
	oddStream     = 5                       // of random numbers
	leaveStream   = 6                       // of random numbers
	leaveTime     = 5 * time.Second         // from its first word until an endpoint ends
	askedPause    = 2500 * time.Millisecond // that endpoints ask for
	askedPauseS   = "2.5"
	pauseTime     = time.Second            // for which an endpoint rejects requests and asks for a pause
	pauseInterval = 2 * time.Second        // between two of them, at most
	pauseMargin   = 500 * time.Millisecond // after a rejection, in which requests may still arrive
	pauseRequests = 2                      // that may arrive afterwards
)

// unknownSender is the sender of a request whose connection names no node.
const unknownSender = -1

// link is an endpoint and the node that sends requests to it.
type link struct {
	endpoint inventory.EndpointID
	sender   int
}

// told is what an endpoint has said to a node that runs since.
type told struct {
	at          time.Time
	incarnation int
}

// pauseAsked is a pause that an endpoint has asked of a node.
type pauseAsked struct {
	told
	arrivals int
}

// senderOf returns the node that opened a connection from an address.
func (h *harness) senderOf(address string) int {
	ip, _, err := net.SplitHostPort(address)
	if err != nil {
		return unknownSender
	}
	for i := range h.processes {
		if ip == h.ip(hostNodeSource, i) {
			return i
		}
	}
	return unknownSender
}

// askForPauses lets random endpoints reject requests and ask for pauses.
func (h *harness) askForPauses(ctx context.Context, run time.Duration) {
	random := rand.New(rand.NewPCG(h.seed, pauseStream))
	for end := time.Now().Add(run); time.Now().Before(end) && sleep(ctx, time.Duration(random.Int64N(int64(pauseInterval)))); {
		t := h.endpoints[random.IntN(len(h.endpoints))]
		b := t.normalBehaviour()
		b.Shed, b.Pause = true, askedPauseS
		target := t.Target()
		target.SetBehaviour(b)
		sleep(ctx, pauseTime)
		target.SetBehaviour(t.normalBehaviour())
	}
}

// leaveUnregistered lets random endpoints leave that say so in their responses only: their entries
// say ready until they are gone.
func (h *harness) leaveUnregistered(ctx context.Context, run time.Duration) {
	random := rand.New(rand.NewPCG(h.seed, leaveStream))
	for end := time.Now().Add(run); time.Now().Before(end) && sleep(ctx, time.Duration(random.Int64N(int64(run/2+1)))); {
		t := h.endpoints[random.IntN(len(h.endpoints))]
		if !t.outage.TryLock() {
			continue
		}
		_, _ = fmt.Fprintf(h.events, "%7.3f %s leaves, by its responses only\n", time.Since(h.checker.began).Seconds(), t.ID) // informative
		t.Target().SetLeaving(true)
		sleep(ctx, leaveTime)
		endFault := t.checker.BeginFault(time.Now(), ScopeOfEndpoint(t.ID))
		t.End()
		time.Sleep(restartDelay)
		t.restart()
		endFault(time.Now())
		t.outage.Unlock()
	}
}

// writeOddEntries lets another writer leave entries in the store that can't be read. They must
// change nothing.
func (h *harness) writeOddEntries(ctx context.Context, run time.Duration) {
	random := rand.New(rand.NewPCG(h.seed, oddStream))
	deep := strings.Repeat("[", 20000) + strings.Repeat("]", 20000)
	for i, text := range []string{
		`{"Metadata":{"Name":"{name}","Revision":{revision}},"Spec":` + deep + `}`,
		`{"Metadata":{"Name":"{name}","Revision":{revision}},"Spec":{"Address":"127.0.0.1:99999","Info":{"Service":"browsing","Zone":"d0","Slots":9e99},"Status":{"State":"ready"}}}`,
		`{"Metadata":{"Name":7,"Revision":1e40},"Spec":null}`,
	} {
		if !sleep(ctx, time.Duration(random.Int64N(int64(run/4+1)))) {
			return
		}
		kind := []platform.Collection{platform.Endpoints, platform.Entries}[(i+int(h.seed))%2]
		h.platform.Corrupt(string(kind), "odd", text)
	}
}

// RecordSender records which node sent a request to an endpoint. It is called before its arrival is
// recorded.
func (c *Checker) RecordSender(now time.Time, id string, e EndpointInfo, sender int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.states[id]
	if r == nil || sender == unknownSender {
		return // reported by RecordArrival
	}
	r.sender = sender
	key := link{e.ID, sender}
	if t, ok := c.toldLeaving[key]; ok && t.incarnation == c.incarnations[sender] && r.Sent.Sub(t.at) > c.bounds.Drain.Duration && c.undisturbed(t.at, now, ScopeOfNode(sender), ScopeOfEndpoint(e.ID)) {
		c.addViolation(now, "told", "request %s, sent at %s, arrived at %s from node %d, which was told at %s that the endpoint leaves", id, r.Sent.Sub(c.began), e.ID, sender, t.at.Sub(c.began))
	}
	c.checkPause(now, id, key)
}

// checkPause checks the requests in a pause that an endpoint has asked of a node.
func (c *Checker) checkPause(now time.Time, id string, key link) {
	p := c.pauses[key]
	if p == nil || p.incarnation != c.incarnations[key.sender] || now.Sub(p.at) < pauseMargin || now.Sub(p.at) >= askedPause {
		return
	}
	if p.arrivals++; p.arrivals > pauseRequests && c.undisturbed(p.at, now, ScopeOfNode(key.sender), ScopeOfEndpoint(key.endpoint)) {
		c.addViolation(now, "pause", "request %s arrived at %s from node %d, the %d. since the endpoint asked for %s at %s", id, key.endpoint, key.sender, p.arrivals, askedPause, p.at.Sub(c.began))
	}
}

// RecordLeavingTold records that the response to a request says that its endpoint leaves.
func (c *Checker) RecordLeavingTold(now time.Time, id string, e EndpointInfo) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key, ok := c.linkOf(id, e)
	if !ok {
		return
	}
	if t, is := c.toldLeaving[key]; !is || t.incarnation != c.incarnations[key.sender] {
		c.toldLeaving[key] = told{at: now, incarnation: c.incarnations[key.sender]}
	}
}

// linkOf returns the link on which a request reached an endpoint, if its sender is known.
func (c *Checker) linkOf(id string, e EndpointInfo) (link, bool) {
	r := c.states[id]
	if r == nil || r.sender == unknownSender {
		return link{}, false
	}
	return link{e.ID, r.sender}, true
}

// RecordPauseTold records that a rejection asks for a pause.
func (c *Checker) RecordPauseTold(now time.Time, id string, e EndpointInfo) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key, ok := c.linkOf(id, e)
	if !ok {
		return
	}
	if p := c.pauses[key]; p == nil || now.Sub(p.at) >= askedPause || p.incarnation != c.incarnations[key.sender] {
		c.pauses[key] = &pauseAsked{told: told{at: now, incarnation: c.incarnations[key.sender]}}
	}
}

// forgetTold forgets what an endpoint that starts again has said. The caller holds the lock.
func (c *Checker) forgetTold(id inventory.EndpointID) {
	for key := range c.toldLeaving {
		if key.endpoint == id {
			delete(c.toldLeaving, key)
		}
	}
	for key := range c.pauses {
		if key.endpoint == id {
			delete(c.pauses, key)
		}
	}
}
