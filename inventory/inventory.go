// Package inventory holds what the operators declare: places, services,
// endpoints, links, entry VMs, and the rules on top (caps, drains, what to
// weigh). It reads and checks their TOML files and does no other I/O.
//
// An Inventory that came out of Read or Parse is complete and consistent: all
// references resolve, all numbers are in range, and no drain leaves a service
// without an endpoint. Code behind it relies on that and does not check again.
// A parsed Inventory is never changed; a new version is a new value.
//
// # Usage
//
//	inv, err := inventory.Read("examples/lumbre.toml")
//	if err != nil {
//		return err // names the file, the line and the key
//	}
//	for _, e := range inv.EndpointsOf("catalogue") {
//		fmt.Println(e.ID, e.Slots)
//	}
package inventory

import "time"

// Ids of what the operators declare. Each is unique among its own kind.
type (
	// RegionID names a region.
	RegionID string
	// DomainID names a failure domain.
	DomainID string
	// ServiceID names a service.
	ServiceID string
	// EndpointID names an endpoint.
	EndpointID string
	// EntryID names an entry VM.
	EntryID string
	// BlockID names a block of callers.
	BlockID string
)

// Units.
type (
	// Mbit is a data rate in megabits (10^6 bits) per second.
	Mbit float64
	// Rate is a number of requests per second.
	Rate float64
)

// Weigh says which measure the choice of a place prefers.
type Weigh string

// The values of Weigh.
const (
	WeighLatency  Weigh = "latency"
	WeighHeadroom Weigh = "headroom"
)

// Duration is a time.Duration that is written as text, such as "12ms".
type Duration struct{ time.Duration }

// UnmarshalText reads the form of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) (err error) {
	d.Duration, err = time.ParseDuration(string(text))
	return err
}

// MarshalText writes the form that UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// Region is a group of failure domains that are close to each other.
type Region struct {
	ID RegionID `toml:"id"`
}

// Domain is a failure domain: what can fail together.
type Domain struct {
	ID     DomainID `toml:"id"`
	Region RegionID `toml:"region"`
}

// Service is a set of operations served by a set of endpoints.
type Service struct {
	ID ServiceID `toml:"id"`
	// Idempotent lists the operations that may run more than once, each as
	// "METHOD /path-prefix". Every other operation runs at most once.
	Idempotent []string `toml:"idempotent"`
	// Deadline bounds a request that brings no shorter one.
	Deadline Duration `toml:"deadline"`
	// Shed lists the statuses by which an endpoint says that it did not run a
	// request, since it has too much to do. Any other answer is the caller's.
	Shed []int `toml:"shed"`
	// Queue bounds the requests waiting at one entry VM for a slot.
	Queue int `toml:"queue"`
}

// Endpoint is one serving process on a target VM.
type Endpoint struct {
	ID          EndpointID `toml:"id"`
	Service     ServiceID  `toml:"service"`
	Domain      DomainID   `toml:"domain"`
	Address     string     `toml:"address"`
	Slots       int        `toml:"slots"`
	Connections int        `toml:"connections"`
}

// Link is the path between two regions, shared by all traffic between them.
type Link struct {
	From RegionID `toml:"from"`
	To   RegionID `toml:"to"`
	// Delay is one way.
	Delay Duration `toml:"delay"`
	// Mbit is the capacity of each direction.
	Mbit Mbit `toml:"mbit"`
}

// Entry is an entry VM on which a node runs.
type Entry struct {
	ID     EntryID  `toml:"id"`
	Domain DomainID `toml:"domain"`
	Caller string   `toml:"caller"` // address for callers, host:port
	Peer   string   `toml:"peer"`   // address for other nodes, host:port
	Admin  string   `toml:"admin"`  // address for operators, host:port
}

// Block is a block of callers with the region that they are close to.
type Block struct {
	ID     BlockID  `toml:"id"`
	Region RegionID `toml:"region"`
}

// Cap bounds how much of a service's traffic may move from one region to
// another.
type Cap struct {
	Service ServiceID `toml:"service"`
	From    RegionID  `toml:"from"`
	To      RegionID  `toml:"to"`
	Rate    Rate      `toml:"rate"`
	// Step bounds how much the moved share of caller blocks may grow per
	// second, as a fraction from 0 to 1.
	Step float64 `toml:"step"`
}

// Drain says that a place gets no new work. Exactly one field is set.
type Drain struct {
	Region   RegionID   `toml:"region" json:"region,omitempty"`
	Domain   DomainID   `toml:"domain" json:"domain,omitempty"`
	Endpoint EndpointID `toml:"endpoint" json:"endpoint,omitempty"`
	Entry    EntryID    `toml:"entry" json:"entry,omitempty"`
}

// Rules are the deployment's preferences.
type Rules struct {
	Weigh Weigh `toml:"weigh"`
	// DomainDelay is the one-way delay between two domains of a region.
	DomainDelay Duration `toml:"delay"`
	// Deadline bounds the deadline of every service, in this version and in
	// those before it. Without it, the longest deadline of this version counts.
	Deadline Duration `toml:"deadline"`
}

// Inventory is one complete, checked version of what the operators declare.
type Inventory struct {
	Rules     Rules      `toml:"rules"`
	Regions   []Region   `toml:"region"`
	Domains   []Domain   `toml:"domain"`
	Services  []Service  `toml:"service"`
	Endpoints []Endpoint `toml:"endpoint"`
	Links     []Link     `toml:"link"`
	Entries   []Entry    `toml:"entry"`
	Blocks    []Block    `toml:"block"`
	Caps      []Cap      `toml:"cap"`
	Drains    []Drain    `toml:"drain"`

	domains  map[DomainID]RegionID
	services map[ServiceID]Service
	entries  map[EntryID]Entry
	near     map[RegionID][]EntryID // entry VMs by region
	blocks   map[BlockID]RegionID
}

// Incarnation identifies one start of the process on an entry VM. The time of
// the start is in its upper bits, so that later ones have higher numbers as far
// as clocks can be trusted, and the rest is random, so that a restarted process
// is never taken for the one before it.
type Incarnation uint64

// Version numbers the accepted configurations, from 1 upwards.
type Version uint64
