package node

// What operators see: the node's status.

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/wasabiwheel/wasabiwheel/configuration"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/member"
)

// Paths of the admin address. The configuration has the same path on the peer
// address.
const (
	PathStatus        = "/status"
	PathConfiguration = "/configuration"
)

// Status is what a node tells operators.
type Status struct {
	Entry       inventory.EntryID      `json:"entry"`
	Incarnation inventory.Incarnation  `json:"incarnation"`
	State       State                  `json:"state"`
	Version     inventory.Version      `json:"version"`           // in force here
	Store       inventory.Version      `json:"store"`             // last seen in the platform's store
	Waiting     Waiting                `json:"waiting,omitempty"` // why no version is in force
	Members     []inventory.EntryID    `json:"members"`
	Holds       []inventory.EndpointID `json:"holds"`
	Leaving     []inventory.EndpointID `json:"leaving"` // endpoints that leave, by this node's own knowledge
	Work        int                    `json:"work"`    // callers' requests and operations in flight
	Loads       []member.Load          `json:"loads"`
	// Reach is what this node knows of all nodes that own endpoints.
	Reach    []member.Load    `json:"reach"`
	Counters map[string]int64 `json:"counters"`
}

func (n *Node) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(PathStatus, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(n.Status())
	})
	mux.Handle(PathConfiguration, configuration.Handler(n.config))
	return mux
}

// Status returns the node's present state.
func (n *Node) Status() Status {
	now := time.Now()
	s := Status{
		Entry:       n.settings.ID,
		Incarnation: n.incarnation,
		State:       n.state(),
		Version:     n.config.Version(),
		Holds:       n.endpoints.Holds(),
		Leaving:     n.endpoints.Claims(),
		Work:        int(n.work.Load()),
		Counters:    n.counters.snapshot(),
	}
	s.Store, s.Waiting = n.followed()
	for _, m := range n.members.Live(now) {
		s.Members = append(s.Members, m.Entry)
	}
	for _, l := range n.endpoints.Loads(now) {
		s.Loads = append(s.Loads, member.Load(l))
		s.Reach = append(s.Reach, n.reach(l.Service))
	}
	return s
}

// reach sums up the places of a service, this node among them.
func (n *Node) reach(id inventory.ServiceID) member.Load {
	sum := member.Load{Service: id}
	for _, p := range n.places(id) {
		sum.Free += p.Free
		sum.Slots += p.Slots
		sum.Queue += p.Queue
	}
	return sum
}
