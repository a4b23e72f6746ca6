package inventory

// Queries over a checked inventory. None of them changes it.

import "strings"

// RegionOf returns the region of a failure domain, "" when it is not declared.
func (inv *Inventory) RegionOf(d DomainID) RegionID { return inv.domains[d] }

// Service returns a service by id.
func (inv *Inventory) Service(id ServiceID) (Service, bool) {
	s, ok := inv.services[id]
	return s, ok
}

// Entry returns an entry VM by id.
func (inv *Inventory) Entry(id EntryID) (Entry, bool) {
	e, ok := inv.entries[id]
	return e, ok
}

// BlockRegion returns the region of a block of callers, "" when unknown.
func (inv *Inventory) BlockRegion(id BlockID) RegionID { return inv.blocks[id] }

// EndpointsOf returns the endpoints of a service in file order, with those
// that are drained.
func (inv *Inventory) EndpointsOf(id ServiceID) []Endpoint {
	var found []Endpoint
	for _, e := range inv.Endpoints {
		if e.Service == id {
			found = append(found, e)
		}
	}
	return found
}

// Drained reports whether an endpoint is covered by a drain.
func (inv *Inventory) Drained(e Endpoint) bool {
	for _, d := range inv.Drains {
		if d.Endpoint == e.ID || inv.drainsDomain(d, e.Domain) {
			return true
		}
	}
	return false
}

// EntryDrained reports whether an entry VM is to be left out of look-ups.
func (inv *Inventory) EntryDrained(e Entry) bool {
	for _, d := range inv.Drains {
		if d.Entry == e.ID || inv.drainsDomain(d, e.Domain) {
			return true
		}
	}
	return false
}

func (inv *Inventory) drainsDomain(d Drain, domain DomainID) bool {
	if d.Domain != "" {
		return d.Domain == domain
	}
	return d.Region != "" && d.Region == inv.domains[domain]
}

// LinkBetween returns the link between two regions in either order.
func (inv *Inventory) LinkBetween(a, b RegionID) (Link, bool) {
	for _, l := range inv.Links {
		if (l.From == a && l.To == b) || (l.From == b && l.To == a) {
			return l, true
		}
	}
	return Link{}, false
}

// CapOn returns the cap of a service from one region to another.
func (inv *Inventory) CapOn(s ServiceID, from, to RegionID) (Cap, bool) {
	for _, c := range inv.Caps {
		if c.Service == s && c.From == from && c.To == to {
			return c, true
		}
	}
	return Cap{}, false
}

// IsIdempotent reports whether an operation may run more than once.
func (s Service) IsIdempotent(method, path string) bool {
	for _, op := range s.Idempotent {
		m, prefix, _ := strings.Cut(op, " ")
		if m == method && strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}
