package node

// A witness of what an endpoint says of itself, of which node it says it to, and of the requests
// that it gets from that node afterwards.

import (
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

const (
	pauseMargin   = 500 * time.Millisecond // after the start of a pause, in which requests may still arrive
	pauseRequests = 2                      // that may arrive in a pause from one node
)

// witness records the requests at one endpoint.
type witness struct {
	mu       sync.Mutex
	sent     map[string]sentRequest
	arrivals []arrival
	told     map[inventory.EntryID]time.Time // when the endpoint first said to a node that it leaves
	pauses   []pauseTold
}

// sentRequest is a request that was sent to a node.
type sentRequest struct {
	node inventory.EntryID
	at   time.Time
}

type arrival struct {
	id string
	at time.Time
}

// pauseTold is a rejection that asks for a pause.
type pauseTold struct {
	id       string
	at       time.Time
	duration time.Duration
}

// watch records what happens at an endpoint from now on.
func (h *harness) watch(target *testTarget) *witness {
	w := &witness{sent: map[string]sentRequest{}, told: map[inventory.EntryID]time.Time{}}
	target.OnArrival = func(id string) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.arrivals = append(w.arrivals, arrival{id, time.Now()})
	}
	target.OnLeaving = func(id string) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if n := w.sent[id].node; w.told[n].IsZero() {
			w.told[n] = time.Now().Add(2 * networkDelay)
		}
	}
	return w
}

// watchPauses records the pauses that the endpoint asks for.
func (w *witness) watchPauses(target *testTarget, pause string) {
	s, _ := strconv.ParseFloat(pause, 64)
	target.OnPause = func(id string) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.pauses = append(w.pauses, pauseTold{id, time.Now(), time.Duration(s * float64(time.Second))})
	}
}

// forget forgets what was said to a node, which has been restarted.
func (w *witness) forget(n inventory.EntryID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.told, n)
}

// load sends requests of a path to nodes in turn at a rate, and returns the responses.
func (w *witness) load(h *harness, rate int, d time.Duration, path string, to ...inventory.EntryID) []testResponse {
	var wait sync.WaitGroup
	var mu sync.Mutex
	var all []testResponse
	for i := range int(float64(rate) * d.Seconds()) {
		time.Sleep(time.Second / time.Duration(rate))
		node := to[i%len(to)]
		if h.nodes[node] == nil {
			continue
		}
		wait.Go(func() {
			resp := h.sendAs(h.t.Context(), node, testRequest{path: path, object: fmt.Sprint(i % 100)}, func(id string) {
				w.mu.Lock()
				defer w.mu.Unlock()
				w.sent[id] = sentRequest{node, time.Now()}
			})
			mu.Lock()
			defer mu.Unlock()
			all = append(all, resp)
		})
	}
	wait.Wait()
	return all
}

// late returns the requests that arrived from a node, although they were sent to it later than
// the bound after the endpoint had told it that it leaves.
func (w *witness) late(bound time.Duration) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for _, a := range w.arrivals {
		s := w.sent[a.id]
		if told := w.told[s.node]; !told.IsZero() && s.at.Sub(told) > bound {
			count++
		}
	}
	return count
}

// mostInPause returns the largest number of requests that arrived from one node in a pause.
func (w *witness) mostInPause() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	most := 0
	for _, p := range w.pauses {
		count := 0
		for _, a := range w.arrivals {
			if w.sent[a.id].node == w.sent[p.id].node && a.at.After(p.at.Add(pauseMargin)) && a.at.Before(p.at.Add(p.duration)) {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// served counts the responses of endpoints that are no failures.
func served(all []testResponse) int {
	count := 0
	for _, r := range all {
		if r.err == nil && r.status == 200 {
			count++
		}
	}
	return count
}
