package quarantine

// Suspicions, which a judge tells its neighbours. With them, other nodes send the request only as
// a probe, and their responses clear it.

import (
	"slices"
	"time"
)

// maxSuspicions bounds the suspicions that a judge keeps to tell its neighbours.
const maxSuspicions = 256

// Suspicion is what a judge knows against a request.
type Suspicion struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint Fingerprint
	Target      Target
	Evidence    int
}

// suspicionLog holds the latest suspicions.
type suspicionLog struct {
	latest  []Suspicion
	end     uint64        // position after the last one
	changed chan struct{} // closed and replaced when one is added
}

func newSuspicionLog() suspicionLog { return suspicionLog{changed: make(chan struct{})} }

func (l *suspicionLog) add(s Suspicion) {
	if len(l.latest) == maxSuspicions {
		l.latest = slices.Delete(l.latest, 0, 1)
	}
	l.latest = append(l.latest, s)
	l.end++
	close(l.changed)
	l.changed = make(chan struct{})
}

// SuspicionsSince returns this judge's suspicions after a position, at most a message full, and
// the position after them.
func (t *Table) SuspicionsSince(after uint64) ([]Suspicion, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := &t.suspicions
	start := l.end - uint64(len(l.latest))
	after = min(max(after, start), l.end)
	end := min(after+maxTold, l.end)
	return slices.Clone(l.latest[after-start : end-start]), end
}

// NextSuspicion returns a channel that is closed at this judge's next suspicion.
func (t *Table) NextSuspicion() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspicions.changed
}

// Suspect records the suspicions of a judge.
func (t *Table) Suspect(now time.Time, told []Suspicion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range told[:min(len(told), maxTold)] {
		suspected := t.suspects[s.Fingerprint]
		if suspected == nil {
			suspected = &suspect{target: s.Target}
			t.evictSuspect()
			t.suspects[s.Fingerprint] = suspected
			t.targets[s.Target]++
		}
		suspected.seen = now
		suspected.told = max(suspected.told, min(s.Evidence, threshold-1))
	}
}
