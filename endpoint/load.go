package endpoint

// The load of an endpoint: the requests that this node has in flight there, and those of
// other nodes according to the endpoint's load reports.

import (
	"math"
	"time"
)

const (
	reportWeight      = 0.5             // of a new report in the estimate
	utilizationWeight = 0.1             // of one tick in the utilization of a service, which averages over some seconds
	reportDecay       = 2 * time.Second // time constant of the exponential decay of a report
)

// load holds what an endpoint's load reports show of other nodes' requests.
type load struct {
	otherRequests float64 // requests of other nodes, running or waiting
	reportedAt    time.Time
	toldAt        time.Time // time of the last report that was told to other nodes
	limit         int       // number of requests at which the endpoint rejected another; 0: none rejected yet
	rejectedAt    time.Time // time of the last rejection
	reportedNoise float64   // last reported slowdown; 0: none was reported
	noiseAt       time.Time // time of that report
	noiseToldAt   time.Time // time of the last such report that was told to other nodes
}

const (
	limitTTL            = 20 * time.Second // how long the limit from a rejection applies
	rejectionCostFactor = 3.0              // cost of a rejection in objectives: another round trip and a retry
)

// recordRejection records the number of requests that an endpoint had when it rejected one.
// A rejection with free slots has another reason and is ignored.
func (l *load) recordRejection(now time.Time, total, slots int) {
	if total <= slots {
		return
	}
	if l.limit == 0 || total < l.limit || now.Sub(l.rejectedAt) > limitTTL {
		l.limit = total
	}
	l.rejectedAt = now
}

// isFull reports whether an endpoint with the given number of requests is expected to
// reject another.
func (l *load) isFull(now time.Time, requests float64) bool {
	return l.limit > 0 && now.Sub(l.rejectedAt) <= limitTTL && requests >= float64(l.limit)-1
}

// recordReport records the total number of requests that an endpoint had when it
// answered, of which own were this node's.
func (l *load) recordReport(now time.Time, total, own int) {
	others := float64(max(0, total-own))
	if l.reportedAt.IsZero() {
		l.otherRequests = others
	} else {
		last := l.decayed(now)
		l.otherRequests = last + reportWeight*(others-last)
	}
	l.reportedAt = now
}

// decayed returns the estimate of other nodes' requests, which decays without new reports.
func (l *load) decayed(now time.Time) float64 {
	if l.otherRequests == 0 {
		return 0
	}
	age := now.Sub(l.reportedAt)
	return l.otherRequests * math.Exp(-age.Seconds()/reportDecay.Seconds())
}

// updateUtilization updates the smoothed number of requests per slot of a service.
func (p *pool) updateUtilization(now time.Time) {
	requests, slots := 0.0, 0.0
	for _, s := range p.endpoints {
		if !s.Draining && !s.leaving.said && !now.Before(s.pause.until) && s.health.usable(now) {
			requests += s.requests(now)
			slots += float64(s.Slots)
		}
	}
	utilization := 0.0
	if slots > 0 {
		utilization = requests / slots
	}
	p.utilization += utilizationWeight * (utilization - p.utilization)
}

// requests returns the estimated number of requests at the endpoint, of all nodes.
func (s *endpointState) requests(now time.Time) float64 {
	return float64(s.inFlight) + s.load.decayed(now)
}
