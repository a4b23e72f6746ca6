package endpoint

// Replicas that other nodes created. Under high load, requests for an object that would wait
// at its primary endpoint are sent to the next ones, which then have the object cached, too.
// A node knows only its own requests: with many nodes, each of them sees too few to know
// these replicas, and sends requests to wait, or to be rejected, while a warm endpoint is
// free. Nodes therefore tell their neighbours about new replicas, and these pass them on.
//
// A replica is told once and passed on by each node that did not know it, so the messages
// grow with the number of replicas, not with that of requests. The log of each node and each
// message are bounded; what exceeds the bounds is lost, and found out by requests.

import "slices"

const (
	maxReplicaLog = 256 // replicas that a node keeps to tell its neighbours
	// maxReplicasTold bounds a message: about 20 bytes each, twice a second for each
	// neighbour, which is a fraction of a node's budget for control traffic.
	maxReplicasTold = 32
)

// Replica is an endpoint other than an object's primary one that has the object cached.
type Replica struct {
	_        struct{} `cbor:",toarray"`
	Object   Object
	Endpoint Hash
}

// Hash is the hash of the id of an endpoint.
type Hash uint64

// ReplicaPosition is a position in a node's sequence of replicas. The zero value is its start.
type ReplicaPosition uint64

// replicaLog holds the latest replicas that a node has learned of.
type replicaLog struct {
	replicas []Replica
	end      ReplicaPosition // after the last one
}

func (l *replicaLog) append(r Replica) {
	if len(l.replicas) == maxReplicaLog {
		l.replicas = slices.Delete(l.replicas, 0, 1)
	}
	l.replicas = append(l.replicas, r)
	l.end++
}

// NewReplicas returns the replicas that follow a position, at most a message full, and the
// position after them.
func (t *Table) NewReplicas(after ReplicaPosition) ([]Replica, ReplicaPosition) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := &t.replicas
	start := l.end - ReplicaPosition(len(l.replicas))
	after = min(max(after, start), l.end)
	end := min(after+maxReplicasTold, l.end)
	return slices.Clone(l.replicas[after-start : end-start]), end
}

// LearnReplicas records replicas that another node knows. Those that are new to this node
// are passed on by NewReplicas. Replicas at unknown endpoints are ignored.
func (t *Table) LearnReplicas(replicas []Replica) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range replicas[:min(len(replicas), maxReplicasTold)] {
		s := t.byHash[r.Endpoint]
		if s == nil || r.Object == 0 || s.pool.locations.contains(r.Object, s) {
			continue
		}
		s.pool.locations.learn(r.Object, s)
		t.replicas.append(r)
	}
}

// recordReplica adds a replica that a request of this node has created to the log.
func (t *Table) recordReplica(o Object, s *endpointState) {
	t.replicas.append(Replica{Object: o, Endpoint: Hash(s.hash)})
}
