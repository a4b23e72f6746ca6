package node

// Detection of pauses: time in which this process did not run, so that its state is stale.

import "time"

const (
	// minPause is the shortest time between two ticks that counts as a pause. A busy VM
	// delays a tick by less.
	minPause = 1 * time.Second
)

// pauseDetector detects pauses by the time between ticks, on the runtime's clock and on
// a clock that includes the time in which the VM was suspended.
type pauseDetector struct {
	last      time.Time
	sinceBoot func() time.Duration
	lastBoot  time.Duration // value of sinceBoot at the last tick
}

func newPauseDetector(now time.Time, sinceBoot func() time.Duration) *pauseDetector {
	d := &pauseDetector{last: now, sinceBoot: sinceBoot}
	if sinceBoot != nil {
		d.lastBoot = sinceBoot()
	}
	return d
}

// check returns how long the process did not run before this tick, 0 if there was no pause.
func (d *pauseDetector) check(now time.Time) time.Duration {
	gap := now.Sub(d.last)
	d.last = now
	if d.sinceBoot != nil {
		boot := d.sinceBoot()
		gap = max(gap, boot-d.lastBoot)
		d.lastBoot = boot
	}
	if gap < minPause {
		return 0
	}
	return gap
}
