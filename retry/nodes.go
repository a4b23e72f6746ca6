package retry

import (
	"slices"
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// nodeList holds the nodes that share the slack: those that are listed, and those that were a moment ago.
type nodeList struct {
	listed map[inventory.EntryID]bool
	gone   []goneNode // by time
}

type goneNode struct {
	id inventory.EntryID
	at time.Time // when it was found to be listed no more
}

// set replaces the nodes that are listed.
func (l *nodeList) set(now time.Time, ids []inventory.EntryID) {
	listed := make(map[inventory.EntryID]bool, len(ids))
	for _, id := range ids {
		listed[id] = true
	}
	for id := range l.listed {
		if !listed[id] {
			l.gone = append(l.gone, goneNode{id, now})
		}
	}
	l.gone = slices.DeleteFunc(l.gone, func(g goneNode) bool { return listed[g.id] })
	l.listed = listed
}

// count returns the number of nodes that are listed, or were within a time; at least 1.
func (l *nodeList) count(now time.Time, within time.Duration) int {
	first := 0
	for first < len(l.gone) && now.Sub(l.gone[first].at) > within {
		first++
	}
	l.gone = slices.Delete(l.gone, 0, first)
	return max(1, len(l.listed)+len(l.gone))
}
