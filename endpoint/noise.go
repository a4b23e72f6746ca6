package endpoint

// Noise: endpoints that share their machines with other workloads report how long work takes there
// at the moment. A report says something of about the next half a second. The time of a run under
// noise shows neither that the endpoint is slow nor that it has evicted the object.

import (
	"math"
	"time"
)

const (
	// noiseHalfLife is the half-life of a report: periods of noise last for about 0.6 s, and a report
	// is from a random moment in one.
	noiseHalfLife = 250 * time.Millisecond
	// minToldNoise is the reported slowdown from which neighbours are told: below it, a run takes no
	// longer than single runs vary.
	minToldNoise = 1.5
	// maxNoiseAge is the age from which a report is not told any more, since it is of no use.
	maxNoiseAge = 500 * time.Millisecond
	// maxNoiseTold bounds the reports of a message, which grow by less than 15 bytes for each.
	maxNoiseTold = 24
)

// recordNoise records the slowdown that an endpoint reported; 0: none. Noise of an endpoint where
// requests wait is told to other nodes: elsewhere, it delays few requests, and the reports of all
// noisy endpoints would be a large part of what nodes may send.
func (t *Table) recordNoise(at time.Time, s *endpointState, slowdown float64, isFull bool) {
	if slowdown == 0 || !s.load.noiseAt.Before(at) {
		return
	}
	s.load.reportedNoise, s.load.noiseAt = slowdown, at
	if isFull && slowdown >= minToldNoise && at.Sub(s.load.noiseToldAt) >= maxNoiseAge {
		s.load.noiseToldAt = at
		t.noisy.append(s)
		t.reports.wake()
	}
}

// NoiseReport is the slowdown of an endpoint a time ago, as nodes tell it to each other.
type NoiseReport struct {
	_        struct{} `cbor:",toarray"`
	Endpoint Hash
	Percent  int   // time that work takes, of the usual time
	Age      int64 // in milliseconds
}

// noiseSince returns the recent reports of noise after a position, at most a message full, and the
// position after them.
func (t *Table) noiseSince(now time.Time, after uint64) (told []NoiseReport, position uint64) {
	changed, position := t.noisy.since(after, maxNoiseTold)
	for _, s := range changed {
		if age := now.Sub(s.load.noiseAt); t.byID[s.ID] == s && s.load.reportedNoise >= minToldNoise && age <= maxNoiseAge {
			told = append(told, NoiseReport{Endpoint: Hash(s.hash), Percent: int(100 * s.load.reportedNoise), Age: max(0, age.Milliseconds())})
		}
	}
	return told, position
}

// learnNoise records a report of another node. One that is older than what this node knows, or that
// can't be used, is ignored.
func (t *Table) learnNoise(now time.Time, r NoiseReport) {
	s := t.byHash[r.Endpoint]
	if s == nil || r.Percent < 100 || r.Percent > 100*maxSlowdown || r.Age < 0 || r.Age > maxNoiseAge.Milliseconds() {
		return
	}
	t.recordNoise(now.Add(-time.Duration(r.Age)*time.Millisecond), s, float64(r.Percent)/100, true)
}

// noise returns the expected slowdown of an endpoint by its last report. A machine that is faster
// than usual counts as usual: otherwise all nodes that hear of it would choose it at the same time.
func (l *load) noise(now time.Time) float64 {
	if l.reportedNoise <= 1 {
		return 1
	}
	age := max(0, now.Sub(l.noiseAt))
	return 1 + (min(l.reportedNoise, maxSlowdown)-1)*math.Exp2(-age.Seconds()/noiseHalfLife.Seconds())
}

// withoutNoise returns the service time that a request would have taken without noise, given the
// time that it took and the largest slowdown that was reported. Since the noise may have begun or
// ended during the run, it explains any time between the expected one and a multiple of that.
func (c Choice) withoutNoise(now time.Time, took, noise float64) float64 {
	warm, cold := c.serviceTimes.warm, c.serviceTimes.cold
	known := warm
	if !c.Warm && cold.count > 0 {
		known = cold
	}
	if known.count == 0 {
		return took / noise
	}
	expected := known.mean * c.state.health.currentSlowdown(now)
	return took / min(noise, max(1, took/expected))
}

// reportedSlowdown returns the noise for operators, 0 if there is none.
func (l *load) reportedSlowdown(now time.Time) float64 {
	if n := l.noise(now); n > 1 {
		return n
	}
	return 0
}
