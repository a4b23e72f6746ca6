// Package reach decides whether a node reaches the endpoints, and which other node serves its
// requests if it does not.
//
// A node whose links to all endpoints are cut can't tell from one attempt: the endpoint may have
// failed. A Detector therefore suspects the node when connections to several endpoints can't be
// opened, or nothing is heard from any endpoint while requests wait, and then asks for probes: to
// open connections to a few endpoints of different failure domains. One that succeeds clears the
// node. So neither a failed endpoint, nor a failed domain, nor the failure of all endpoints of one
// service is taken for the node's own fault, and probes are few, whatever the number of endpoints.
//
// While a node is cut off, its requests are forwarded to other nodes (see Forwarders). Probes find
// out when its links are back; requests then return to them over some time, since all connections
// have to be opened again.
//
// The package does no I/O and starts no goroutines. Methods take the current time as an argument
// and are safe for concurrent use.
//
// # Usage
//
//	d := reach.New(now)
//	d.Begin(now, id); d.Heard(now); d.End(id) // for each attempt
//	if n := d.Probes(now); n > 0 { ...; d.RecordProbes(now, connected, n) }
//	if d.DirectShare(now) < 1 { ... forward some requests }
package reach

import (
	"sync"
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

const (
	// silenceTime is how long nothing is heard while a request waits until the node suspects its
	// links: longer than most responses take.
	silenceTime = 400 * time.Millisecond
	// suspectFailures is the number of endpoints to which no connection can be opened, with none
	// opened in between, from which the node suspects its links.
	suspectFailures = 2
	// clearedTime is the time after probes that succeeded in which the node suspects nothing.
	clearedTime = time.Second
	// probeInterval is the time between probes while the node is cut off.
	probeInterval = 250 * time.Millisecond
	// returnTime is the time over which requests return to links that are back.
	returnTime = 2 * time.Second

	firstProbes   = 1 // connections to open when nothing is heard: mostly a response just takes long
	confirmProbes = 3 // connections that all have to fail until the node counts as cut off
	returnProbes  = 2 // connections to open at a time while it is cut off
)

// State is what a node knows of its links to the endpoints.
type State string

// The states.
const (
	StateConnected State = "connected"
	StateCutOff    State = "cutoff"    // no endpoint can be reached
	StateReturning State = "returning" // endpoints were reached again recently
)

// Attempt identifies an attempt of a request at an endpoint.
type Attempt uint64

// Detector finds out whether a node reaches the endpoints.
type Detector struct {
	mu          sync.Mutex
	state       State
	since       time.Time // of the state
	lastHeard   time.Time // when a response was last received
	lastOpened  time.Time // when a connection was last opened
	lastCleared time.Time // when probes last succeeded
	lastProbed  time.Time
	probing     bool
	confirming  bool // the first probe has failed
	waiting     map[Attempt]time.Time
	failed      map[inventory.EndpointID]time.Time // since lastOpened
}

// New returns the detector of a process that starts now, which counts as connected.
func New(now time.Time) *Detector {
	return &Detector{
		state: StateConnected, since: now, lastHeard: now, lastOpened: now,
		waiting: map[Attempt]time.Time{}, failed: map[inventory.EndpointID]time.Time{},
	}
}

// Begin records that an attempt is about to be sent.
func (d *Detector) Begin(now time.Time, a Attempt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waiting[a] = now
}

// End records that an attempt has ended, in any way.
func (d *Detector) End(a Attempt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waiting, a)
}

// Heard records that an endpoint has responded.
func (d *Detector) Heard(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastHeard = now
}

// Opened records that a connection to an endpoint was opened.
func (d *Detector) Opened(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastOpened = now
	clear(d.failed)
}

// Failed records that a connection to an endpoint could not be opened.
func (d *Detector) Failed(now time.Time, e inventory.EndpointID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failed[e] = now
}

// Probes returns the number of endpoints to which the node has to open connections now. The caller
// reports the result with RecordProbes.
func (d *Detector) Probes(now time.Time) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	count := d.probes(now)
	if count > 0 {
		d.probing, d.lastProbed = true, now
	}
	return count
}

func (d *Detector) probes(now time.Time) int {
	switch {
	case d.probing:
		return 0
	case d.state == StateCutOff && now.Sub(d.lastProbed) >= probeInterval:
		return returnProbes
	case d.state == StateCutOff:
		return 0
	case d.confirming:
		return confirmProbes
	case now.Sub(d.lastCleared) < clearedTime:
		return 0
	case len(d.failed) >= suspectFailures:
		return confirmProbes
	case d.isSilent(now):
		return firstProbes
	}
	return 0
}

// isSilent reports whether a request has waited for silenceTime in which nothing was heard.
func (d *Detector) isSilent(now time.Time) bool {
	for _, since := range d.waiting {
		if now.Sub(since) >= silenceTime && now.Sub(d.lastHeard) >= silenceTime {
			return true
		}
	}
	return false
}

// RecordProbes records how many of the connections that were to be opened succeeded, and reports
// whether that changes the state.
func (d *Detector) RecordProbes(now time.Time, connected, count int) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.probing = false
	switch {
	case connected > 0:
		d.confirming = false
		d.lastCleared, d.lastOpened = now, now
		clear(d.failed)
		return d.state == StateCutOff && d.enter(now, StateReturning)
	case d.state == StateCutOff:
		return false
	case count < confirmProbes:
		d.confirming = true
		return false
	}
	d.confirming = false
	return d.enter(now, StateCutOff)
}

func (d *Detector) enter(now time.Time, s State) bool {
	d.state, d.since = s, now
	return true
}

// State returns the state and since when the node is in it.
func (d *Detector) State(now time.Time) (State, time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advance(now)
	return d.state, d.since
}

// advance ends the return after its time.
func (d *Detector) advance(now time.Time) {
	if d.state == StateReturning && now.Sub(d.since) >= returnTime {
		d.enter(now, StateConnected)
	}
}

// DirectShare returns the share of the requests that the node sends to endpoints itself, from 0
// to 1.
func (d *Detector) DirectShare(now time.Time) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advance(now)
	switch d.state {
	case StateCutOff:
		return 0
	case StateReturning:
		return now.Sub(d.since).Seconds() / returnTime.Seconds()
	}
	return 1
}

// IsSilent reports whether kept connections are dead, too: no endpoint was heard of lately.
func (d *Detector) IsSilent(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Sub(d.lastHeard) >= silenceTime
}

// Onset returns when the node last had a sign of an endpoint: what failed later says nothing of
// the endpoints if the node is cut off.
func (d *Detector) Onset() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lastHeard.After(d.lastOpened) {
		return d.lastOpened // kept connections may live on
	}
	return d.lastHeard
}
