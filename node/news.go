package node

// News for the neighbours that should not wait for the next heartbeat: the slots
// that this node offers have changed.

import (
	"context"
	"sync"
	"time"

	"github.com/wasabiwheel/wasabiwheel/endpoint"
)

// news tells all heartbeat loops when there is something to say.
type news struct {
	mu      sync.Mutex
	slots   int
	changed chan struct{} // closed and replaced at each change
}

func newNews() *news { return &news{changed: make(chan struct{})} }

// note takes in what this node offers now.
func (s *news) note(loads []endpoint.Load) {
	slots := 0
	for _, l := range loads {
		slots += l.Slots
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if slots == s.slots {
		return
	}
	s.slots = slots
	close(s.changed)
	s.changed = make(chan struct{})
}

// await waits for news, for d at most, or until ctx ends.
func (s *news) await(ctx context.Context, d time.Duration) {
	s.mu.Lock()
	changed := s.changed
	s.mu.Unlock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}
