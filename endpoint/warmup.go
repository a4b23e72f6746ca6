package endpoint

// Slow start of cold endpoints. A cold endpoint can serve only a few requests a second
// from all nodes together, whether or not the nodes can communicate. Each cold endpoint
// therefore has few senders: nodes that may send to it, chosen by rendezvous hashing over
// the nodes in the store. Each sender keeps to its part of the rate bound. The parts
// leave room for a second set of senders, since nodes may have different lists of nodes.

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

const (
	sendersPerEndpoint = 2           // nodes that may send to one cold endpoint, so that one of them may fail
	senderSets         = 2           // sets of senders that may exist at the same time
	rateWindow         = time.Second // to which the rate bound of a cold endpoint applies
	// warmupMargin is how long an endpoint is still treated as cold after the expected end
	// of its warmup: reports arrive late, and requests in flight arrive later still.
	warmupMargin = 300 * time.Millisecond
)

// ColdSenders determines which nodes may send requests to a cold endpoint.
type ColdSenders struct {
	Self    inventory.EntryID
	Entries []inventory.EntryID // all nodes in the store
}

// includes reports whether this node may send to a cold endpoint with the given hash. A
// node that is not in the list itself may not send to any.
func (c ColdSenders) includes(endpoint uint64) bool {
	if !slices.Contains(c.Entries, c.Self) {
		return false
	}
	own := senderScore(endpoint, c.Self)
	higher := 0
	for _, e := range c.Entries {
		if s := senderScore(endpoint, e); s > own || s == own && cmp.Less(e, c.Self) {
			higher++
		}
	}
	return higher < sendersPerEndpoint
}

func senderScore(endpoint uint64, e inventory.EntryID) uint64 {
	return mix(endpoint ^ xxhash.Sum64String(string(e)))
}

// warmup limits the rate of requests to one endpoint while it is cold.
type warmup struct {
	until time.Time
	sent  []time.Time // times of this node's requests in the last window
}

// extend records how much longer an endpoint reports that it stays cold. The report is as
// old as the endpoint's last heartbeat, so it only ever extends the warmup.
func (w *warmup) extend(now time.Time, left time.Duration) {
	if left > 0 {
		w.until = laterOf(w.until, now.Add(left))
	}
}

// assumeRestart treats an endpoint as cold that may have restarted unobserved.
func (w *warmup) assumeRestart(now time.Time, duration time.Duration) {
	w.until = laterOf(w.until, now.Add(duration))
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// active reports whether the endpoint may be cold.
func (w *warmup) active(now time.Time) bool { return now.Before(w.until.Add(warmupMargin)) }

// record counts a request that is about to be sent, against the rate bound.
func (w *warmup) record(now time.Time) {
	w.trim(now)
	w.sent = append(w.sent, now)
}

// trim drops the requests that have left the window.
func (w *warmup) trim(now time.Time) {
	i := 0
	for i < len(w.sent) && now.Sub(w.sent[i]) >= rateWindow {
		i++
	}
	w.sent = w.sent[i:]
}

// maySendCold reports whether this node may send another request to a cold endpoint now.
func (t *Table) maySendCold(now time.Time, s *endpointState) bool {
	rate := float64(s.pool.service.ColdRate)
	if rate <= 0 {
		return true
	}
	s.warmup.trim(now)
	bound := rate*t.bounds.Excess + t.bounds.Slack
	share := int(bound) / (sendersPerEndpoint * senderSets)
	return len(s.warmup.sent) < share && t.coldSenders.includes(s.hash)
}
