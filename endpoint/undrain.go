package endpoint

// Failure domains of which the drain has ended lately. Their endpoints may have become cold while they
// were drained, and may not say so. A node that starts finds nothing of the drain in the store, so the
// others tell it.

import (
	"slices"
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

const (
	maxUndrainsTold = 64 // in a message, some 30 bytes each
	// maxUndrainAge is the age beyond which the end of a drain is not told: longer than endpoints are cold.
	maxUndrainAge = time.Minute
	// minUndrainNews is the difference from which a time of another node is that of another drain.
	minUndrainNews = 3 * time.Second
)

// undrains holds when the drains of failure domains have ended.
type undrains struct {
	at    map[inventory.DomainID]time.Time
	count uint64 // of those that were recorded
}

// UndrainReport is the end of the drain of a failure domain, as nodes tell it to each other.
type UndrainReport struct {
	_      struct{} `cbor:",toarray"`
	Domain inventory.DomainID
	Age    int64 // in milliseconds
}

// isValid reports whether a report of another node can be used.
func (r UndrainReport) isValid() bool { return r.Age >= 0 && r.Age <= maxUndrainAge.Milliseconds() }

// recordUndrain records the end of a drain at a time, and treats the endpoints as cold from then on.
func (t *Table) recordUndrain(at time.Time, d inventory.DomainID) {
	t.undrained.at[d] = at
	t.undrained.count++
	for _, s := range t.byID {
		if s.Domain == d {
			s.warmup.assumeRestart(at, s.pool.service.Warmup.Duration)
		}
	}
}

// undrainsSince returns the drains that have ended lately if there are more than a node was told of, and
// their number.
func (t *Table) undrainsSince(now time.Time, told uint64) ([]UndrainReport, uint64) {
	if told >= t.undrained.count {
		return nil, told
	}
	var all []UndrainReport
	for d, at := range t.undrained.at {
		if r := (UndrainReport{Domain: d, Age: now.Sub(at).Milliseconds()}); r.isValid() {
			all = append(all, r)
		}
	}
	slices.SortFunc(all, func(a, b UndrainReport) int { return int(a.Age - b.Age) })
	return all[:min(len(all), maxUndrainsTold)], t.undrained.count
}

// learnUndrain records the end of a drain that another node tells.
func (t *Table) learnUndrain(now time.Time, r UndrainReport) {
	_, declared := t.regions[r.Domain]
	at := now.Add(-time.Duration(r.Age) * time.Millisecond)
	if declared && r.isValid() && at.Sub(t.undrained.at[r.Domain]) > minUndrainNews {
		t.recordUndrain(at, r.Domain)
	}
}
