// Package discovery replicates collections of the platform's store.
//
// A Mirror holds the local copy, merged from all sources. A Follower reads the
// store: it lists a collection, watches it from that revision, and lists it again
// when the store has discarded the history in between, or the history is too long to be
// read. A Relay decides which
// processes read the store, since the number of calls that all processes together
// may make is small: the others receive the changes from a process that reads.
//
// A watch is a long poll, so a store that has stopped responding looks like one
// without changes. A cheap probe at short intervals therefore decides whether the
// store is reachable. While the probe fails, no other call is made. When it
// succeeds again, all watches restart from the last known revision.
//
// The store may be restored from an older copy of its own, which begins a new era of its
// revisions. A process that sees a response of a later era lists all collections again.
//
// # Usage
//
//	m := discovery.NewMirror(sink, policy, platform.Endpoints, platform.Drains)
//	f := discovery.New(store, m, observer, platform.Drains, platform.Endpoints, platform.Drains)
//	go f.Run(ctx)
//	f.SetReading(true)
package discovery

import (
	"context"
	"sync"
	"time"

	"github.com/wasabiwheel/wasabiwheel/platform"
)

const (
	// watchWait is the maximum duration of a watch. A call costs the same however
	// long it waits, but a store that discards its history may never respond to the
	// watches pending at that time, and the changes that these missed must be in
	// force two seconds after the store has recovered.
	watchWait = 2 * time.Second
	// coalesceDelay is the pause between the response to a watch and the next watch,
	// so that a burst of changes costs one call. Drains and configurations have a
	// time limit of two seconds and more.
	coalesceDelay      = 400 * time.Millisecond
	probeInterval      = time.Second            // between probes while the store is reachable
	probeTimeout       = 700 * time.Millisecond // a slow store responds within 300 ms
	probeRetryInterval = 300 * time.Millisecond // between probes while the store is unreachable
	// overdueProbeTime is the time without a response to a probe after which other processes
	// are no longer told that this one is up to date. A slow store responds sooner.
	overdueProbeTime = 350 * time.Millisecond
	minBackoff       = 200 * time.Millisecond // after a failed list or watch, doubling
	maxBackoff       = 2 * time.Second
	// hurryInterval is the shortest time between two calls that are made sooner since changes are known to be
	// missing.
	hurryInterval = 100 * time.Millisecond
)

// Store is the client of the store that a Follower reads from.
type Store interface {
	List(ctx context.Context, kind platform.Collection) (platform.Listing, error)
	ListStale(ctx context.Context, kind platform.Collection) (platform.Listing, error)
	Watch(ctx context.Context, kind platform.Collection, after platform.Revision, wait time.Duration) (platform.Changes, error)
	Close()
}

// receiver is a Store that tells when it last received a part of a response. While a long
// response arrives, a probe may wait behind it: the store is reachable.
type receiver interface {
	LastReceived() time.Time
}

// StoreObserver is notified of the state of the connection to the store.
type StoreObserver interface {
	// Lost reports that the store is unreachable, and Reached that it is reachable.
	// Each probe calls one of them.
	Lost(cause error)
	Reached()
	// Failed reports that a call failed. The Follower retries it.
	Failed(kind platform.Collection, cause error)
	// Malformed reports that objects of a list or of changes are left out, since not even their
	// names can be read.
	Malformed(kind platform.Collection, count int)
	// Listed reports that a collection was listed, and what was known of it before.
	Listed(kind platform.Collection, l platform.Listing, known Position)
}

// Follower reads collections of the store into a mirror while reading is enabled.
type Follower struct {
	store    Store
	mirror   *Mirror
	observer StoreObserver
	kinds    []platform.Collection
	probe    platform.Collection

	provenKind platform.Collection // of which proofs gets the proofs
	proofs     ProofObserver       // nil: none

	mu        sync.Mutex
	reading   bool
	reachable bool          // the last probe succeeded
	failed    bool          // the last probe failed
	era       platform.Era  // the latest that a response named
	probedAt  time.Time     // when the pending probe was sent; zero: none is pending
	changed   chan struct{} // closed and replaced when reading or failed changes, or by Refresh

	hurries map[platform.Collection]*hurry // the map does not change
	reprobe chan struct{}                  // holds one value if an unreachable store is to be probed at once
}

// hurry ends the pause before the next call for a collection.
type hurry struct {
	wake chan struct{} // holds one value if the pause is to end
	at   time.Time     // when the last one was put there
}

// New returns a follower of the collections kinds that does not read yet. The
// collection probe is read often, so it should be small.
func New(store Store, m *Mirror, o StoreObserver, probe platform.Collection, kinds ...platform.Collection) *Follower {
	f := &Follower{store: store, mirror: m, observer: o, kinds: kinds, probe: probe, changed: make(chan struct{}), hurries: map[platform.Collection]*hurry{}, reprobe: make(chan struct{}, 1)}
	for _, kind := range kinds {
		f.hurries[kind] = &hurry{wake: make(chan struct{}, 1)}
	}
	return f
}

// Hurry makes the next call for a collection at once, also after calls or a probe that failed, since another process
// has changes that this one lacks.
func (f *Follower) Hurry(now time.Time, kind platform.Collection) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.hurries[kind]
	if h == nil || now.Sub(h.at) < hurryInterval {
		return
	}
	h.at = now
	wake(h.wake)
	if f.failed {
		wake(f.reprobe)
	}
}

// wake puts a value into a channel that holds one.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// rest pauses before the next call for a collection.
func (f *Follower) rest(ctx context.Context, kind platform.Collection, d time.Duration, changed chan struct{}) {
	pause(ctx, d, changed, f.hurries[kind].wake)
}

// Run follows the collections until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var loops sync.WaitGroup
	for _, kind := range f.kinds {
		loops.Go(func() { f.follow(ctx, kind) })
	}
	loops.Go(func() { f.probeStore(ctx) })
	loops.Wait()
}

// SetReading enables or disables reading of the store.
func (f *Follower) SetReading(reading bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reading != reading {
		f.reading, f.reachable, f.failed = reading, false, false
		f.notify()
	}
}

// Refresh discards the state of the connection to the store, because this process
// may have missed changes, for example while it was paused. Pending lists and
// watches are canceled, idle connections are closed, and each collection is
// requested again from its last known revision.
func (f *Follower) Refresh() {
	f.mu.Lock()
	f.reachable, f.failed = false, false
	f.notify()
	f.mu.Unlock()
	f.store.Close()
}

// notify wakes the waiting goroutines. The caller holds the lock.
func (f *Follower) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// IsReading reports whether reading is enabled and the store is reachable. A store that has
// not responded to a probe for a while counts as unreachable before the probe fails: others
// rely on this process for their changes, and have to find another source in time.
func (f *Follower) IsReading() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reading && f.reachable && !f.isProbeOverdue()
}

func (f *Follower) isProbeOverdue() bool {
	return !f.probedAt.IsZero() && time.Since(f.probedAt) > overdueProbeTime && !f.isReceiving()
}

// isReceiving reports whether a response of the store is arriving.
func (f *Follower) isReceiving() bool {
	r, ok := f.store.(receiver)
	return ok && time.Since(r.LastReceived()) <= overdueProbeTime
}

// IsReceiving reports whether a response of the store is arriving at a process that reads it.
func (f *Follower) IsReceiving() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reading && f.isReceiving()
}

// probeStore probes at intervals whether the store is reachable.
func (f *Follower) probeStore(ctx context.Context) {
	for ctx.Err() == nil {
		reading, _, changed := f.state()
		if !reading {
			wait(ctx, changed)
			continue
		}
		f.setProbedAt(time.Now())
		probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		l, err := f.store.ListStale(probeCtx, f.probe)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err == nil || !f.isReceiving() { // a probe behind a long response proves nothing
			f.recordProbe(err, changed)
		}
		if err == nil {
			f.recordEra(l.Era)
		}
		f.setProbedAt(time.Time{})
		interval := probeInterval
		if err != nil {
			interval = probeRetryInterval
		}
		pause(ctx, interval, changed, f.reprobe)
	}
}

func (f *Follower) setProbedAt(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.probedAt = at
}

// recordProbe records and reports the result of a probe that began when changed was the
// channel of the state. A result from before a change of the state, such as a pause of the
// process, says nothing about the store now and is ignored.
func (f *Follower) recordProbe(err error, changed chan struct{}) {
	f.mu.Lock()
	if !f.reading || f.changed != changed {
		f.mu.Unlock()
		return
	}
	failedBefore := f.failed
	f.reachable, f.failed = err == nil, err != nil
	if f.failed != failedBefore {
		f.notify()
	}
	f.mu.Unlock()
	if err != nil {
		f.store.Close()
		f.observer.Lost(err)
		return
	}
	f.observer.Reached()
}

// state returns whether reading is enabled, whether calls to the store are
// allowed, and a channel that is closed when either changes. Calls are allowed
// before the first probe has ended, because callers wait for a process that starts.
func (f *Follower) state() (reading, allowed bool, changed chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reading, !f.failed, f.changed
}

// follow lists and watches one collection until ctx ends.
func (f *Follower) follow(ctx context.Context, kind platform.Collection) {
	backoff := platform.Backoff{Min: minBackoff, Max: maxBackoff}
	discarded, relist := false, false
	for ctx.Err() == nil {
		reading, allowed, changed := f.state()
		if !reading || !allowed {
			wait(ctx, changed)
			continue
		}
		began := time.Now()
		err := f.fetch(ctx, changed, kind, relist)
		discarded = platform.IsKind(err, platform.KindCompacted)
		relist = discarded || platform.IsKind(err, platform.KindOversize)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			backoff.Reset()
			f.rest(ctx, kind, coalesceDelay, changed)
		case isClosed(changed): // retried once reading is enabled and the store is reachable
		default:
			f.observer.Failed(kind, err)
			if !discarded && time.Since(began) < watchWait { // a longer call needs no further pause
				f.rest(ctx, kind, backoff.Pause(), nil)
			}
		}
	}
}

// fetch makes one list or watch call and applies the result to the mirror. The call
// is canceled when changed is closed. relist requests a list instead of a watch.
func (f *Follower) fetch(ctx context.Context, changed chan struct{}, kind platform.Collection, relist bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		wait(ctx, changed)
		cancel()
	}()
	known := f.mirror.Position(kind)
	if known.At == 0 || relist || f.isBehind(known.Era) {
		return f.list(ctx, kind, known)
	}
	proven := f.beginCall(kind)
	c, err := f.store.Watch(ctx, kind, known.At, f.watchWaitOf(kind))
	switch {
	case err != nil:
		return err
	case c.Era != known.Era: // the store may have assigned the revision again
		f.recordEra(c.Era)
		return &platform.Error{Op: "watch", Kind: platform.KindCompacted, Name: string(kind)}
	}
	f.reportMalformed(kind, c.Malformed)
	f.mirror.ApplyChanges(kind, c)
	proven(c.Era, c.At)
	return nil
}

// list reads a collection in full.
func (f *Follower) list(ctx context.Context, kind platform.Collection, known Position) error {
	proven := f.beginCall(kind)
	l, err := f.store.List(ctx, kind)
	if err != nil {
		return err
	}
	f.setEra(l.Era)
	f.observer.Listed(kind, l, known)
	f.reportMalformed(kind, l.Malformed)
	f.mirror.ApplyListing(kind, l)
	proven(l.Era, l.At)
	return nil
}

func (f *Follower) reportMalformed(kind platform.Collection, count int) {
	if count > 0 {
		f.observer.Malformed(kind, count)
	}
}

// isBehind reports whether a later era of the store is known than this one.
func (f *Follower) isBehind(era platform.Era) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return era < f.era
}

// recordEra records the era that a response named. A later one than before ends the pending
// watches, so that the collections are listed.
func (f *Follower) recordEra(era platform.Era) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if era > f.era {
		f.era = era
		f.notify()
	}
}

// setEra sets the era of the store to that of a list, which is never stale.
func (f *Follower) setEra(era platform.Era) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.era = era
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func wait(ctx context.Context, c chan struct{}) {
	select {
	case <-ctx.Done():
	case <-c:
	}
}

// pause waits for d, until one of two channels is closed or holds a value, or ctx ends.
func pause(ctx context.Context, d time.Duration, changed, woken chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-woken:
	case <-timer.C:
	}
}
