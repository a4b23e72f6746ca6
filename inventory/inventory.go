// Package inventory defines what operators declare: regions, failure domains,
// services, routes, endpoints, entry VMs and drains. It reads and checks their TOML
// files and does no other I/O.
//
// An Inventory is a whole file. A Configuration is the part of it that determines
// how requests are routed (routes, services, limits, organisations). Nodes watch the configuration
// in the platform's store, and discover endpoints by their registrations there.
// Once checked, both are complete and consistent: all references resolve and all
// numbers are in range. Other packages rely on this and do not check again. A
// checked value is immutable; a new version is a new value.
//
// # Usage
//
//	inv, err := inventory.Read("examples/lumbre.toml")
//	if err != nil {
//		return err // names the file, the line and the key
//	}
//	for _, r := range inv.Routes {
//		fmt.Println(r.Host, r.Prefix, r.TrafficSplit)
//	}
package inventory

import "time"

// Ids of declared objects. Each is unique within its kind.
type (
	// RegionID names a region.
	RegionID string
	// DomainID names a failure domain.
	DomainID string
	// ServiceID names a service.
	ServiceID string
	// RouteID names a route.
	RouteID string
	// EndpointID names one endpoint.
	EndpointID string
	// EntryID names an entry VM.
	EntryID string
	// OrganisationID names an organisation whose callers use the deployment.
	OrganisationID string
)

// Rate is a number of requests per second.
type Rate float64

// Share is a part of a whole, from 0 to 1.
type Share float64

// Priority ranks routes; 0 is the most urgent.
type Priority int

// Version numbers the accepted configurations in increasing order, possibly with
// gaps.
type Version uint64

// Duration is a time.Duration that is written as text, such as "12ms".
type Duration struct{ time.Duration }

// UnmarshalText parses the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) (err error) {
	d.Duration, err = time.ParseDuration(string(text))
	return err
}

// MarshalText returns the format that UnmarshalText parses.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// Region is a group of failure domains that are close to each other.
type Region struct {
	ID RegionID `toml:"id"`
}

// Domain is a failure domain: a set of VMs that can fail together.
type Domain struct {
	ID     DomainID `toml:"id"`
	Region RegionID `toml:"region"`
}

// Service is a set of endpoints that can serve the same requests.
type Service struct {
	ID ServiceID `toml:"id"`
	// Health is the path at which an endpoint reports whether it is healthy.
	Health string `toml:"health"`
	// Connections is the number of connections that one endpoint accepts from all
	// nodes together.
	Connections int `toml:"connections"`
	// Warmup is the time for which an endpoint is cold after its start.
	Warmup Duration `toml:"warmup"`
	// ColdRate is the rate of requests that a cold endpoint tolerates.
	ColdRate Rate `toml:"pace"`
	// Hedge is the share of the requests of each route that may be sent to a second endpoint if
	// the answer is late; nil: the node's settings apply.
	Hedge *Share `toml:"hedge"`
}

// ServiceWeight is a service's share of the requests on a route.
type ServiceWeight struct {
	Service ServiceID `toml:"service"`
	Weight  float64   `toml:"weight"`
}

// Route maps requests for a host and path prefix to services.
type Route struct {
	ID     RouteID `toml:"id"`
	Host   string  `toml:"host"`   // "": any host
	Prefix string  `toml:"prefix"` // begins and ends with a slash
	// Idempotent requests may run more than once; others run at most once.
	Idempotent bool `toml:"idempotent"`
	// Timeout bounds the time for which a caller waits.
	Timeout Duration `toml:"timeout"`
	// Objective is the latency goal. A response within it is worth most.
	Objective Duration `toml:"objective"`
	Priority  Priority `toml:"priority"`
	// Attempts is the maximum number of endpoints to which one request is sent.
	Attempts int `toml:"attempts"`
	// Sticky means that an endpoint serves an object faster if it has served it
	// recently.
	Sticky bool `toml:"sticky"`
	// HomeRegions are the only regions in which requests may be served; empty: all.
	HomeRegions  []RegionID      `toml:"homes"`
	TrafficSplit []ServiceWeight `toml:"part"`
	// Open means that callers need no key, also where organisations are declared.
	Open bool `toml:"open"`
	// Hedge takes precedence over that of the service; nil: the service's applies.
	Hedge *Share `toml:"hedge"`
}

// Organisation is a customer whose callers identify themselves by a key.
type Organisation struct {
	ID   OrganisationID `toml:"id"`
	Keys []string       `toml:"keys"` // secrets; each belongs to one organisation
	// Priority takes precedence over that of the route; nil: the route's applies.
	Priority *Priority `toml:"priority"`
	// Rate is the number of requests a second that it may send on average, over all nodes;
	// 0: no limit.
	Rate  Rate    `toml:"rate"`
	Burst float64 `toml:"burst"` // requests beyond Rate that it may send at once
	// HomeRegions are the only regions in which its requests may be served; empty: all. Those of
	// the route apply as well.
	HomeRegions []RegionID `toml:"homes"`
}

// Limits bound the requests and connections of callers.
type Limits struct {
	MaxHeaderBytes int      `toml:"header"`  // maximum size of a request's header in bytes
	MaxBodyBytes   int64    `toml:"body"`    // maximum size of a request's body in bytes
	HeaderTimeout  Duration `toml:"receive"` // maximum time to receive a request's header
	IdleTimeout    Duration `toml:"idle"`    // maximum time that a connection may be idle
}

// Endpoint is one serving process on a target. The fields with a key are declared
// in a file and registered in the store by the running process. The fields without
// a key are its state and exist only in the registration.
type Endpoint struct {
	ID      EndpointID `toml:"id"`
	Service ServiceID  `toml:"service"`
	Domain  DomainID   `toml:"domain"`
	Address string     `toml:"address"`
	Slots   int        `toml:"slots"`

	Draining      bool          `toml:"-"`
	ColdRemaining time.Duration `toml:"-"` // remaining time for which it is cold
	Start         time.Time     `toml:"-"` // start of its process by its own clock; zero: unknown
	Beat          uint64        `toml:"-"` // number of the heartbeat that wrote the registration, since Start; 0: unknown
}

// Link is the network path between two regions, declared once for both directions.
type Link struct {
	From  RegionID `toml:"from"`
	To    RegionID `toml:"to"`
	Delay Duration `toml:"delay"` // one way
}

// Entry is an entry VM on which a node runs.
type Entry struct {
	ID     EntryID  `toml:"id"`
	Domain DomainID `toml:"domain"`
	Caller string   `toml:"caller"` // address for requests from callers, host:port
	Lookup string   `toml:"lookup"` // address for lookups, host:port
	Peer   string   `toml:"peer"`   // address for other nodes, host:port
	Admin  string   `toml:"admin"`  // address for operators, host:port
}

// Drain excludes the endpoints of a region or failure domain from new requests.
// Exactly one field is set.
type Drain struct {
	Region RegionID `toml:"region"`
	Domain DomainID `toml:"domain"`
}

// Configuration is the part of an inventory that determines how requests are routed.
type Configuration struct {
	Version  Version
	Routes   []Route
	Services []Service
	Limits   Limits
	// Organisations are those whose callers may use the deployment; empty: no key is required.
	Organisations []Organisation
}

// Inventory is the content of one complete, checked file.
type Inventory struct {
	// Delay is the one-way delay between two failure domains of a region.
	Delay     Duration   `toml:"delay"`
	Regions   []Region   `toml:"region"`
	Domains   []Domain   `toml:"domain"`
	Links     []Link     `toml:"link"`
	Limits    Limits     `toml:"limits"`
	Services  []Service  `toml:"service"`
	Routes    []Route    `toml:"route"`
	Endpoints []Endpoint `toml:"endpoint"`
	Entries   []Entry    `toml:"entry"`
	Drains    []Drain    `toml:"drain"`

	Organisations []Organisation `toml:"organisation"`
}

// Configuration returns the routes, services, limits and organisations as version v.
func (inv *Inventory) Configuration(v Version) Configuration {
	return Configuration{Version: v, Routes: inv.Routes, Services: inv.Services, Limits: inv.Limits, Organisations: inv.Organisations}
}
