package discovery

// Proofs that the copy of a collection is current. The response to a list or a watch contains
// everything that the store had when the call was sent.

import (
	"context"
	"time"

	"github.com/wasabiwheel/wasabiwheel/platform"
)

// minWatchWait keeps a watch from waiting at all, so that its response is a proof at once.
const minWatchWait = time.Millisecond

// Proof states that the copy of a collection at a position contained all changes when a call
// was sent. Responses to watches and lists are never stale.
type Proof struct {
	Era  platform.Era
	At   platform.Revision
	Sent time.Duration // on the clock of the ProofObserver
}

// ProofObserver gets the proofs of one collection.
type ProofObserver interface {
	// Clock returns the time on a clock that counts suspension of the VM.
	Clock() time.Duration
	// WatchWait returns how long the next watch may wait, up to the default.
	WatchWait() time.Duration
	// Proven reports a proof after the copy has reached its position.
	Proven(Proof)
}

// ObserveProofs reports the proofs of a collection. It is called before Run.
func (f *Follower) ObserveProofs(kind platform.Collection, o ProofObserver) {
	f.provenKind, f.proofs = kind, o
}

// watchWaitOf returns how long the next watch of a collection may wait.
func (f *Follower) watchWaitOf(kind platform.Collection) time.Duration {
	if f.proofs == nil || kind != f.provenKind {
		return watchWait
	}
	return max(minWatchWait, min(watchWait, f.proofs.WatchWait()))
}

// beginCall returns what reports a proof once the response to a call that is sent next has been
// applied.
func (f *Follower) beginCall(kind platform.Collection) func(platform.Era, platform.Revision) {
	if f.proofs == nil || kind != f.provenKind {
		return func(platform.Era, platform.Revision) {}
	}
	sent := f.proofs.Clock()
	return func(era platform.Era, at platform.Revision) { f.proofs.Proven(Proof{Era: era, At: at, Sent: sent}) }
}

// Prove asks the store once for changes of the collection whose proofs are observed, also if
// reading is disabled. It is for a process whose source of changes passes no proofs on.
func (f *Follower) Prove(ctx context.Context) error {
	_, _, changed := f.state()
	return f.fetch(ctx, changed, f.provenKind, false)
}

// Delivered returns the position of a collection once the sink has been told of all changes up to it.
func (m *Mirror) Delivered(kind platform.Collection) Position {
	c := m.collections[kind]
	c.deliver.Lock()
	defer c.deliver.Unlock()
	return m.Position(kind)
}
