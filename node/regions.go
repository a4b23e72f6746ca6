package node

// Where the requests of this node's callers run: counts by region, and of what moved requests from the
// endpoint that ranks first for their object. All nodes use the same windows, so that the counts of a
// region's nodes can be added.

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/wasabiwheel/wasabiwheel/endpoint"
	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// regionWindow is the length of a window, the one to which the bound on shifts applies.
const regionWindow = 2 * time.Second

// regionCounts counts the requests that were sent to endpoints in a window, hedges and retries included.
type regionCounts struct {
	mu      sync.Mutex
	start   time.Time // of the window
	total   int
	regions map[inventory.RegionID]int
	moves   map[endpoint.Move]int
}

// add counts a request that is sent to an endpoint, and returns the counts of the last window if it has
// ended, else nil.
func (r *regionCounts) add(now time.Time, c endpoint.Choice) (ended *regionCounts) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ended = r.roll(now)
	r.total++
	r.regions[c.Region]++
	if c.Moved != "" {
		r.moves[c.Moved]++
	}
	return ended
}

// tick returns the counts of the last window if it has ended, else nil.
func (r *regionCounts) tick(now time.Time) (ended *regionCounts) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.roll(now)
}

// roll starts a new window if the last one has ended, and returns the counts of that one unless it is
// empty.
func (r *regionCounts) roll(now time.Time) (ended *regionCounts) {
	start := now.Truncate(regionWindow)
	if start.Equal(r.start) {
		return nil
	}
	if r.total > 0 {
		ended = &regionCounts{start: r.start, total: r.total, regions: r.regions, moves: r.moves}
	}
	r.start, r.total = start, 0
	r.regions, r.moves = map[inventory.RegionID]int{}, map[endpoint.Move]int{}
	return ended
}

// recordRegion counts where a request is sent.
func (n *Node) recordRegion(now time.Time, c endpoint.Choice) {
	n.metrics.increment("region." + string(c.Region))
	if c.Moved != "" {
		n.metrics.increment("moved." + string(c.Moved))
	}
	n.logRegions(n.regions.add(now, c))
}

// logRegions logs the counts of a window, nil: none.
func (n *Node) logRegions(ended *regionCounts) {
	if ended != nil {
		klog.InfoS("regions", "from", n.settings.Load().region(), "start", ended.start.UTC(), "requests", ended.total, "in", ended.regions, "moved", ended.moves)
	}
}
