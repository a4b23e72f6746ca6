package soak

// Keys of an organisation that are withdrawn: each configuration has another one. Requests with
// withdrawn keys may not run after the bound, at any node and whatever the faults.

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/wasabiwheel/wasabiwheel/caller"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

const (
	keyStream    = 7                           // of random numbers
	freezeStream = 8                           // of random numbers
	revokeBound  = 5 * time.Second             // from the confirmation of a withdrawal until no request with the key runs
	freezeTime   = revokeBound + 3*time.Second // of a node that misses a withdrawal
	keyInterval  = 40 * time.Millisecond       // between requests with keys
	recentKeys   = 3                           // that requests are sent with, the current one included
)

// keyedRoute is the route that needs a key; the others are open.
const keyedRoute inventory.RouteID = "keyed"

// organisation is the one that holds the keys.
const organisation = "rotating"

// keyLog records when the store had each key. A key belongs to one configuration.
type keyLog struct {
	mu   sync.Mutex
	keys []keyTimes
}

// keyTimes is when a key was in the store; zero: it is not known to have been accepted or withdrawn.
type keyTimes struct{ accepted, replacing, withdrawn time.Time }

func keyOf(index int) string { return "key-" + strconv.Itoa(index) }

// begin records that a configuration with the next key is about to be sent, and returns the key's
// index. confirm records its confirmation, which withdraws all keys before.
func (l *keyLog) begin(now time.Time) (index int, confirm func(time.Time)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	index = len(l.keys)
	if index > 0 && l.keys[index-1].replacing.IsZero() {
		l.keys[index-1].replacing = now
	}
	l.keys = append(l.keys, keyTimes{})
	return index, func(then time.Time) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.keys[index].accepted = then
		for i := range l.keys[:index] {
			if l.keys[i].withdrawn.IsZero() {
				l.keys[i].withdrawn = then
			}
		}
	}
}

// restored records that the store may have lost its newest configurations: keys may be back.
func (l *keyLog) restored() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.keys {
		l.keys[i].accepted, l.keys[i].withdrawn = time.Time{}, time.Time{}
	}
}

func (l *keyLog) newest() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.keys) - 1
}

func (l *keyLog) times(index int) keyTimes {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keys[index]
}

// organisationText returns the organisation with one key, and the route that needs it.
func organisationText(index int) string {
	return fmt.Sprintf("[[organisation]]\nid = %q\nkeys = [%q]\n[[route]]\nid = %q\nprefix = \"/%s/\"\nidempotent = true\ntimeout = %q\nobjective = \"500ms\"\n[[route.part]]\nservice = %q\nweight = 1\n",
		organisation, keyOf(index), keyedRoute, keyedRoute, routeTimeout, serviceIDs[0])
}

// sendKeys sends requests with current and withdrawn keys to random nodes until ctx ends.
func (h *harness) sendKeys(ctx context.Context) {
	random := rand.New(rand.NewPCG(h.seed, keyStream))
	client := &http.Client{Transport: &http.Transport{DialContext: h.dial, MaxIdleConnsPerHost: 4}}
	var running sync.WaitGroup
	for sleep(ctx, keyInterval) {
		node, index := random.IntN(len(h.processes)), max(0, h.keys.newest()-random.IntN(recentKeys))
		op := caller.Operation{ID: strconv.FormatUint(random.Uint64(), 36), Method: http.MethodGet}
		op.Path = "/" + string(keyedRoute) + "/" + op.ID
		running.Go(func() { h.sendKey(ctx, client, node, index, op) })
	}
	running.Wait()
}

// sendKey sends one request with a key and checks its answer.
func (h *harness) sendKey(ctx context.Context, client *http.Client, n, index int, op caller.Operation) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 3*routeTimeout)
	defer cancel()
	before := h.keys.times(index)
	sent := time.Now()
	h.checker.RecordSent(Request{ID: op.ID, Route: keyedRoute, Node: n, Incarnation: h.processes[n].Incarnation(), Sent: sent, Timeout: routeTimeout})
	c := caller.New(caller.Options{HTTP: client, Key: keyOf(index)})
	reply, err := c.CallAt(ctx, h.inventory.Entries[n].Caller, op)
	h.checker.RecordAnswer(time.Now(), op.ID, reply, err, ctx.Err() != nil)
	if err != nil {
		return
	}
	h.keyRequests.Add(1)
	if text := checkKeyReply(sent, before, h.keys.times(index), reply); text != "" {
		h.checker.RecordViolation(time.Now(), "key", fmt.Sprintf("request %s with key %d at node %d: %s", op.ID, index, n, text))
	}
}

// freezeBeyondBound suspends a random node at a random time of the run until a key that it knows has been
// withdrawn for longer than the bound. Requests with that key wait for it, and are read as soon as it goes on.
func (h *harness) freezeBeyondBound(ctx context.Context, run time.Duration) {
	random := rand.New(rand.NewPCG(h.seed, freezeStream))
	if !sleep(ctx, run/5+time.Duration(random.Int64N(int64(max(1, run/2))))) {
		return
	}
	p, index := h.processes[random.IntN(len(h.processes))], h.keys.newest()
	_, _ = fmt.Fprintf(h.events, "%7.3f node %d frozen for %s\n", time.Since(h.checker.began).Seconds(), p.index, freezeTime) // informative
	var running sync.WaitGroup
	running.Go(func() { p.freeze(freezeTime) })
	until := time.Now().Add(freezeTime)
	changeCtx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	h.publishNext(changeCtx)
	client := &http.Client{Transport: &http.Transport{DialContext: h.dial, MaxIdleConnsPerHost: 4}}
	for time.Now().Before(until) && sleep(ctx, keyInterval) {
		if !h.keys.times(index).withdrawn.IsZero() && time.Until(until) < time.Second {
			op := caller.Operation{ID: strconv.FormatUint(random.Uint64(), 36), Method: http.MethodGet}
			op.Path = "/" + string(keyedRoute) + "/" + op.ID
			running.Go(func() { h.sendKey(ctx, client, p.index, index, op) })
		}
	}
	running.Wait()
}

// checkKeyReply returns what is wrong with the answer to a request with a key; "": nothing. The times
// of the key are those when it was sent and when the answer arrived.
func checkKeyReply(sent time.Time, before, after keyTimes, reply caller.Reply) string {
	if reply.Outcome == caller.OutcomeRan {
		if !before.withdrawn.IsZero() && !after.withdrawn.IsZero() && sent.Sub(before.withdrawn) > revokeBound {
			return fmt.Sprintf("it ran, and was sent %s after the key was withdrawn", sent.Sub(before.withdrawn))
		}
		var echo standin.Echo
		if json.Unmarshal(reply.Body, &echo) == nil && (echo.Organisation != organisation || echo.Key) {
			return fmt.Sprintf("the endpoint got the name %q, and the key: %t", echo.Organisation, echo.Key)
		}
		return ""
	}
	isSettled := !before.accepted.IsZero() && sent.Sub(before.accepted) > revokeBound
	if reply.Status == http.StatusUnauthorized && isSettled && !after.accepted.IsZero() && after.replacing.IsZero() {
		return fmt.Sprintf("it got 401, and was sent %s after the key was accepted", sent.Sub(before.accepted))
	}
	return ""
}
