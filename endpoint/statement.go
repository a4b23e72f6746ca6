package endpoint

// What endpoints say of themselves in their responses: the limit that they name, whether they
// leave, and the pause that they ask for. It belongs to one start of an endpoint. It is kept when
// the endpoint's entry is removed, since entries expire and are registered again, but not over a
// restart.

import (
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

const (
	// maxFormer bounds the removed endpoints whose statements are kept.
	maxFormer = 4096
	// formerTime is how long they are kept: longer than an endpoint takes to leave, or to
	// register again after an outage of the store.
	formerTime = 10 * time.Minute
)

// statements is what an endpoint has said of itself since it started.
type statements struct {
	limit   knownLimit
	leaving knownLeaving
	pause   pause
}

// The news of a start may be later than the first responses of the process, which then seem to be
// those of the former one. Clocks of VMs differ, so a statement has to be newer than the start by a
// margin; that of a pause may be negative, since a pause is short.
const (
	pauseMargin   = -time.Second
	leavingMargin = 5 * time.Second
)

// inherit takes over what an endpoint has said since it started at a time, but was recorded as that
// of the former process.
func (s *statements) inherit(former *statements, started time.Time) {
	if started.IsZero() {
		return
	}
	if former.pause.at.After(started.Add(pauseMargin)) {
		s.pause = former.pause
	}
	if former.leaving.said && former.leaving.at.After(started.Add(leavingMargin)) {
		s.leaving = former.leaving
	}
}

// start identifies one start of an endpoint.
type start struct {
	endpoint inventory.EndpointID
	address  string
	millis   int64
}

// former holds the statements of an endpoint that was removed.
type former struct {
	*statements
	at        time.Time // of the removal
	malformed bool      // since its registration could not be read, which its next heartbeat repairs
}

// formerStarts holds the statements of removed endpoints.
type formerStarts map[start]former

func startOf(e inventory.Endpoint) start {
	return start{endpoint: e.ID, address: e.Address, millis: e.Start.UnixMilli()}
}

// keepStatements keeps the statements of an endpoint that is removed. If its start is unknown, a
// later entry may be that of another start, and nothing is kept.
func (t *Table) keepStatements(now time.Time, s *endpointState) {
	if s.Start.IsZero() {
		return
	}
	if len(t.former) >= maxFormer {
		t.dropOldestFormer()
	}
	t.former[startOf(s.Endpoint)] = former{statements: s.statements, at: now}
}

func (t *Table) dropOldestFormer() {
	var oldest start
	var at time.Time
	for key, f := range t.former {
		if at.IsZero() || f.at.Before(at) {
			oldest, at = key, f.at
		}
	}
	delete(t.former, oldest)
}

// takeStatements returns what an endpoint that registers has said before. returned states that its
// registration of this start had been removed.
func (t *Table) takeStatements(e inventory.Endpoint) (said *statements, returned bool) {
	f, ok := t.former[startOf(e)]
	if !ok {
		return &statements{}, false
	}
	delete(t.former, startOf(e))
	return f.statements, !f.malformed
}

// dropFormer drops what has been kept for formerTime.
func (t *Table) dropFormer(now time.Time) {
	for key, f := range t.former {
		if now.Sub(f.at) > formerTime {
			delete(t.former, key)
		}
	}
}

// Paused records that the process did not run for a time that its clock does not count: what it
// knows is that much older.
func (t *Table) Paused(gap time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.byID {
		s.statements.age(gap)
	}
	for _, f := range t.former {
		f.statements.age(gap)
	}
}

func (s *statements) age(by time.Duration) {
	for _, at := range []*time.Time{&s.limit.at, &s.leaving.since, &s.leaving.at, &s.leaving.takenBack, &s.pause.at, &s.pause.until} {
		if !at.IsZero() {
			*at = at.Add(-by)
		}
	}
}
