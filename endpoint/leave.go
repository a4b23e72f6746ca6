package endpoint

// Endpoints that leave, nodes that leave, and a node that was paused: in each
// case no new work is started.

import (
	"slices"
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// Source is where a node heard that endpoints are leaving.
type Source string

// The sources beside other nodes, whose source is their entry VM's id.
const (
	SourceList   Source = "list"   // the platform's list of VMs
	SourceSignal Source = "signal" // the endpoint's own announcement
)

// Timing of pauses.
const (
	// pauseLimit is the gap between ticks after which the process counts as
	// paused. With the intervals of the list and of the heartbeats it stays
	// below the time that a leaving endpoint may still get work.
	pauseLimit = time.Second
	// blindLimit ends the hold after a pause when nobody could be asked.
	blindLimit = 10 * time.Second
	// claimLimit is the silence after which the node's own reading of the list
	// takes the place of what another node read.
	claimLimit = 10 * time.Second
)

// pause is what a node knows of its own pauses.
type pause struct {
	ticked time.Time // newest sign that the process runs
	woke   time.Time // when the newest pause was noticed
	held   bool      // nothing new starts until others were asked
}

// Leaving replaces the set of endpoints of which a source says that they are
// leaving. The first source that says so counts.
func (t *Table) Leaving(now time.Time, from Source, ids []inventory.EndpointID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.claims[from] = ids
	if from == SourceList {
		t.dropClaims(now)
	}
	t.dispatch(now)
}

// dropClaims forgets what silent nodes had read, after a reading of our own.
func (t *Table) dropClaims(now time.Time) {
	for from := range t.claims {
		last, isPeer := t.heard[inventory.EntryID(from)]
		if isPeer && now.Sub(last) > claimLimit {
			delete(t.claims, from)
		}
	}
}

// Signal takes in what an endpoint says of itself.
func (t *Table) Signal(now time.Time, id inventory.EndpointID, leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	said := t.claims[SourceSignal]
	known := slices.Contains(said, id)
	switch {
	case leaving && !known:
		t.claims[SourceSignal] = append(slices.Clone(said), id)
	case !leaving && known:
		t.claims[SourceSignal] = slices.DeleteFunc(slices.Clone(said), func(x inventory.EndpointID) bool { return x == id })
	}
	t.dispatch(now)
}

// Claims lists the endpoints of which this node knows at first hand that they
// are leaving, for other nodes.
func (t *Table) Claims() []inventory.EndpointID {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := slices.Concat(t.claims[SourceList], t.claims[SourceSignal])
	slices.Sort(all)
	return slices.Compact(all)
}

func (t *Table) leaves(id inventory.EndpointID) bool {
	for _, ids := range t.claims {
		if slices.Contains(ids, id) {
			return true
		}
	}
	return false
}

// Owned lists the endpoints that this node owns, the leaving ones among them.
func (t *Table) Owned() []inventory.Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	var owned []inventory.Endpoint
	for _, p := range t.points {
		if p.owned {
			owned = append(owned, p.Endpoint)
		}
	}
	return owned
}

// MayStart reports whether a request that holds a slot may be sent now: neither
// was the process paused, nor has the endpoint begun to leave.
func (t *Table) MayStart(now time.Time, s Slot) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !s.point.drained && !t.leaves(s.Endpoint) && t.awake(now)
}

// awake notices a pause of the process by the time since the last tick, and
// reports whether new work may start.
func (t *Table) awake(now time.Time) bool {
	if !t.pause.ticked.IsZero() && elapsed(t.pause.ticked, now) > pauseLimit {
		t.pause.held = true
		t.pause.woke = now
		t.pause.ticked = now
	}
	if t.pause.held && now.Sub(t.pause.woke) > blindLimit {
		t.pause.held = false
	}
	return !t.pause.held
}

// elapsed is the larger of what the monotonic and the wall clock say, since one
// of them stands still when the whole VM is paused.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// Held reports whether the node was paused and has not caught up.
func (t *Table) Held(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.awake(now)
}

// Resume takes in that the node has caught up with what it asked for at asked:
// with another node that had not been paused, or with the platform.
func (t *Table) Resume(now, asked time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.awake(now) || asked.Before(t.pause.woke) {
		return
	}
	t.pause.held = false
	t.dispatch(now)
}

// Resign makes the node take no new work. What waits in its queues is still
// served; an endpoint is given up when the queue of its service is empty.
func (t *Table) Resign(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.resigned = true
	t.dispatch(now)
	t.yield()
}

// Resigned reports whether the node takes no new work.
func (t *Table) Resigned() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.resigned
}

// yield gives up the endpoints that no waiting request needs.
func (t *Table) yield() {
	if !t.resigned {
		return
	}
	for _, p := range t.points {
		if len(t.queueOf(p.Service).waiting) == 0 {
			p.owned = false
		}
	}
}

// lost takes in that the newest incarnation of another node is gone.
func (t *Table) lost(now time.Time, id inventory.EntryID) {
	p := t.peers[id]
	if t.dead[id] || p.clean {
		return
	}
	p.died = now
	t.peers[id] = p
}

// passedOver reports whether a candidate that lives leaves the endpoint to
// those behind it.
func (t *Table) passedOver(p *point, id inventory.EntryID) bool {
	return t.peers[id].resigned && p.said[id] == saidFree
}

// clearAt is when whatever an earlier owner sent to an endpoint has ended: the
// longest deadline after each event that may have left work behind.
func (t *Table) clearAt(p *point) time.Time {
	last := p.changed
	for _, id := range slices.Concat(p.rank, t.formerOf(p)) {
		if died := t.peers[id].died; died.After(last) {
			last = died
		}
	}
	return last.Add(t.inv.Rules.Deadline.Duration + Transit)
}
