// Package route finds the route of a request and the service that it goes to.
//
// A Table is built from one configuration and is immutable. Among the routes of the
// request's host and those for any host, the one with the longest matching path
// prefix is chosen. If the prefixes are equal, the route that names the host is
// chosen.
//
// # Usage
//
//	t := route.New(configuration)
//	r := t.Find("lamps.example", "/catalogue/7")
//	if r == nil {
//		return notFound
//	}
//	service := r.Next()
package route

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"sync"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// Route is a configured route and the state of its traffic split. It is safe for
// concurrent use.
type Route struct {
	inventory.Route

	mu             sync.Mutex
	currentWeights []float64 // of each service, for smooth weighted round robin
	totalWeight    float64   // sum of the configured weights
}

// Table holds the routes of one configuration.
type Table struct {
	Version inventory.Version
	hosts   map[string][]*Route // by host, the longest prefix first
}

// New returns the routing table of a configuration.
func New(c inventory.Configuration) *Table {
	t := &Table{Version: c.Version, hosts: map[string][]*Route{}}
	for _, r := range c.Routes {
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], newRoute(r))
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

func newRoute(r inventory.Route) *Route {
	out := &Route{Route: r, currentWeights: make([]float64, len(r.TrafficSplit))}
	for _, w := range r.TrafficSplit {
		out.totalWeight += w.Weight
	}
	return out
}

// Find returns the route of a request, or nil if no route matches. The host may
// include a port.
func (t *Table) Find(host, path string) *Route {
	named := longestMatch(t.hosts[hostName(host)], path)
	anyHost := longestMatch(t.hosts[""], path)
	if named == nil || anyHost != nil && len(anyHost.Prefix) > len(named.Prefix) {
		return anyHost
	}
	return named
}

// longestMatch returns the first route whose prefix matches. The routes are sorted by
// descending prefix length.
func longestMatch(routes []*Route, path string) *Route {
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Next returns the service for the next request, by smooth weighted round robin.
// After any number of requests, each service's count differs from its share by about one
// request at most.
func (r *Route) Next() inventory.ServiceID {
	if len(r.TrafficSplit) == 1 {
		return r.TrafficSplit[0].Service
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	best := 0
	for i, w := range r.TrafficSplit {
		r.currentWeights[i] += w.Weight
		if r.currentWeights[i] > r.currentWeights[best] {
			best = i
		}
	}
	r.currentWeights[best] -= r.totalWeight
	return r.TrafficSplit[best].Service
}

// Hosts returns the configured hosts, sorted.
func (t *Table) Hosts() []string {
	var hosts []string
	for h := range t.hosts {
		hosts = append(hosts, h)
	}
	slices.Sort(hosts)
	return hosts
}
