package node

// Organisations: the check of the callers' keys, and what the organisation of a request changes.

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/wasabiwheel/wasabiwheel/admission"
	"github.com/wasabiwheel/wasabiwheel/caller"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/organisation"
	"github.com/wasabiwheel/wasabiwheel/route"
)

// The reasons of rejections.
const (
	ReasonKey      caller.Reason = "key"      // no organisation has the key, or there is not exactly one
	ReasonUnproven caller.Reason = "unproven" // the node's configuration may be outdated, so that it can't decide on the key
	ReasonHome     caller.Reason = "home"     // no region is home of both the route and the organisation
)

// Why a key is not accepted, for counters and the log.
const (
	keyMissing   = "missing"   // there is not exactly one key
	keyUnknown   = "unknown"   // no organisation has it
	keyAmbiguous = "ambiguous" // two organisations have it
	keyUnproven  = "unproven"  // the node can't decide
)

// maxProblemLines bounds the log lines for the organisations of one configuration.
const maxProblemLines = 20

// unprovenRetryAfter is the time until a caller should retry at another node.
const unprovenRetryAfter = 100 * time.Millisecond

// policy is the part of a configuration that decides on a request before it is steered. It is
// replaced as a whole, so that a request is never checked by parts of two configurations.
type policy struct {
	*route.Table
	organisations *organisation.Table
	hedges        map[inventory.ServiceID]inventory.Share // of the services that give a share
}

// newPolicy returns the policy of a configuration, and records what is wrong with its organisations.
func (n *Node) newPolicy(c inventory.Configuration) *policy {
	table, problems := organisation.New(c.Organisations)
	for i, p := range problems {
		n.metrics.increment("organisation." + string(p.Kind))
		if i >= maxProblemLines {
			continue
		}
		klog.InfoS("organisation ignored in part", "organisation", p.Organisation, "index", p.Index, "cause", p.Kind, "version", c.Version)
	}
	return &policy{Table: route.New(c), organisations: table, hedges: hedgeShares(c.Services)}
}

// identify determines the organisation of a request. It returns the response that rejects it, if
// its key is not accepted or no region may serve it.
func (n *Node) identify(req *request, h http.Header, table *organisation.Table) *response {
	req.homes, req.priority = req.route.HomeRegions, req.route.Priority
	if !table.IsRequired() {
		return nil
	}
	req.authorization = h[headerAuthorization]
	req.header = n.withoutKey(req.header)
	if req.route.Open {
		return nil
	}
	key, ok := parseKey(req.authorization, n.headerNames.KeyScheme)
	if !ok {
		return n.rejectKey(req, table, keyMissing)
	}
	o, found := table.Find(key)
	switch {
	case table.IsAmbiguous(key):
		return n.rejectKey(req, table, keyAmbiguous)
	case !found:
		return n.rejectKey(req, table, keyUnknown)
	}
	req.organisation, req.key = o, key
	if o.Priority != nil {
		req.priority = *o.Priority
	}
	var satisfiable bool
	if req.homes, satisfiable = intersectHomes(req.route.HomeRegions, o.HomeRegions); !satisfiable {
		n.metrics.increment("organisation.home")
		resp := notRun(ReasonHome, admission.RetryAfter(defaultRetryAfter, req.remaining(time.Now())))
		return &resp
	}
	return n.rejectUnproven(req, table)
}

// rejectKey rejects a request because of its key, as the organisations in table say. Callers don't retry
// after 401, so a node whose configuration may be outdated answers that the request was not run.
func (n *Node) rejectKey(req *request, table *organisation.Table, cause string) *response {
	req.keyProblem = cause
	resp := rejected(ReasonKey, http.StatusUnauthorized)
	if cause == keyUnproven || !n.isCurrent(table) {
		cause, resp = keyUnproven, notRun(ReasonUnproven, unprovenRetryAfter)
	}
	n.metrics.increment("key." + cause)
	return &resp
}

// isCurrent reports whether organisations are those in force, in a configuration that is known to be recent: by
// its proof where keys have to be withdrawn in time, else by the contact to the source of changes. What proves that
// is checked first, since a later configuration may come into force with it.
func (n *Node) isCurrent(table *organisation.Table) bool {
	recent := n.isStoreReached()
	if n.freshness.Limit() > 0 {
		recent = n.isProven()
	}
	return recent && n.routes.Load().organisations == table
}

// parseKey returns the key that the values of the header contain. There has to be one value.
func parseKey(values []string, scheme string) (key string, ok bool) {
	if len(values) != 1 {
		return "", false
	}
	given, key, _ := strings.Cut(strings.TrimSpace(values[0]), " ")
	key = strings.TrimSpace(key)
	return key, strings.EqualFold(given, scheme) && organisation.IsValidKey(key)
}

// withoutKey returns headers without the key and without the name of an organisation, which
// callers may not choose.
func (n *Node) withoutKey(h http.Header) http.Header {
	h = maps.Clone(h)
	delete(h, headerAuthorization)
	delete(h, http.CanonicalHeaderKey(n.headerNames.Organisation))
	return h
}

// endpointHeader returns the headers for an endpoint: with the name of the organisation, never
// with its key.
func (n *Node) endpointHeader(req *request) http.Header {
	if req.organisation == nil {
		return req.header
	}
	h := maps.Clone(req.header)
	h[http.CanonicalHeaderKey(n.headerNames.Organisation)] = []string{string(req.organisation.ID)}
	return h
}

// forwardHeader returns the headers for another node, which checks the key itself.
func (req *request) forwardHeader() http.Header {
	h := maps.Clone(req.header)
	if len(req.authorization) > 0 {
		h[headerAuthorization] = req.authorization
	}
	return h
}

// credentials returns what distinguishes the callers of otherwise equal requests.
func (req *request) credentials() string {
	if req.organisation != nil {
		return string(req.organisation.ID)
	}
	return req.header.Get(headerAuthorization)
}

// intersectHomes returns the regions that are in both lists, of which an empty one contains
// all. It reports false if there are none.
func intersectHomes(a, b []inventory.RegionID) (homes []inventory.RegionID, satisfiable bool) {
	switch {
	case len(a) == 0:
		return b, true
	case len(b) == 0:
		return a, true
	}
	for _, id := range a {
		if slices.Contains(b, id) {
			homes = append(homes, id)
		}
	}
	return homes, len(homes) > 0
}
