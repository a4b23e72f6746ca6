package endpoint

// Replicas of objects. An object has one primary endpoint, so if several popular objects
// have the same primary, their requests wait although other endpoints are idle. Under low
// load, while a service has free slots, such an object gets a replica at the next endpoint
// in its ranking. From then on, its requests go to whichever of the two is expected to
// answer sooner. The request that creates the replica runs cold, and must still be answered
// within the objective, unless it would be late at a primary endpoint under noise as well.
//
// Endpoints keep a bounded number of objects, and do not report how many. A replica that
// evicts another object costs more than it saves, so none is created while endpoints turn
// out to have evicted objects that this node saw them serve.

import "time"

const (
	replicaOffset         = 1               // rank of the endpoint that gets a replica, after the primary endpoint
	maxReplicaUtilization = 0.5             // utilization of a service below which replicas are created: slots for a cold run are free
	replicaRecency        = 3 * time.Second // limit on the time since the object's last use: a replica of a rarely used object would be evicted before it is of use
	// maxLossShare is the share of requests that may find their object evicted while
	// replicas are created: half of the share that would show in the 99th percentile of
	// latencies.
	maxLossShare = 0.005
	lossWeight   = 0.002 // of one request in that share, which averages over some 500 requests
)

// mayReplicate reports whether a request may create a replica of its object, given the
// estimates for the primary endpoint and for the endpoint of the replica.
func (p *pool) mayReplicate(now time.Time, q Query, primary, replica estimate) bool {
	objective := q.Objective.Seconds()
	return primary.wait > 0 && !replica.isWarm &&
		p.utilization < maxReplicaUtilization && p.lossShare < maxLossShare &&
		(replica.total() <= objective || primary.noise >= minToldNoise && primary.total() > objective) &&
		now.Sub(p.locations.lastUse(q.Object)) < replicaRecency
}

// asReplication returns the estimate of a request that creates a replica. The service time
// beyond that of a warm run benefits later requests and is not a cost of this one.
func (e estimate) asReplication() estimate {
	e.serviceTime = e.warm
	return e
}

// recordLoss records whether an endpoint has evicted an object that it served before.
func (p *pool) recordLoss(lost bool) {
	sample := 0.0
	if lost {
		sample = 1
	}
	p.lossShare += lossWeight * (sample - p.lossShare)
}
