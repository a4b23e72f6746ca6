package budget

import (
	"sync"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

const (
	// averaged is over how many responses the size that is expected of a route is averaged.
	averaged = 16
	// freeResponse is the size of a response up to which it counts as part of its connection, in bytes.
	freeResponse = 8 << 10
	// unknownResponse is expected of a route that has not responded yet, in bytes.
	unknownResponse = 128 << 10
	// maxRoutes bounds the routes that are held, since configurations add and remove routes for ever.
	maxRoutes = 10_000
)

// Responses holds how large the responses of each route are, so that the memory for one can be taken
// before its request is sent. It is safe for concurrent use.
type Responses struct {
	mu    sync.Mutex
	sizes map[inventory.RouteID]size
}

// size is the mean size of the last responses of a route.
type size struct {
	mean  float64 // bytes
	count int     // up to averaged
}

// NewResponses returns a table that expects small responses.
func NewResponses() *Responses { return &Responses{sizes: map[inventory.RouteID]size{}} }

// Record records the size of a response in bytes.
func (r *Responses) Record(route inventory.RouteID, bytes int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, known := r.sizes[route]
	if !known && len(r.sizes) >= maxRoutes {
		clear(r.sizes)
	}
	s.count = min(s.count+1, averaged)
	s.mean += (float64(bytes) - s.mean) / float64(s.count)
	r.sizes[route] = s
}

// Expected returns the bytes to take for a response of a route; 0: its connection counts them. It is the
// mean and not the largest size, since what matters is the sum of many.
func (r *Responses) Expected(route inventory.RouteID) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, known := r.sizes[route]
	switch {
	case !known:
		return unknownResponse
	case s.mean > freeResponse:
		return int64(s.mean)
	}
	return 0
}
