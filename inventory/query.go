package inventory

// Read-only queries on a checked inventory.

import "slices"

// RegionOf returns the region of a failure domain, or "" if it is not declared.
func (inv *Inventory) RegionOf(id DomainID) RegionID {
	for _, d := range inv.Domains {
		if d.ID == id {
			return d.Region
		}
	}
	return ""
}

// DomainsOf returns the failure domains that d covers.
func (inv *Inventory) DomainsOf(d Drain) []DomainID {
	var found []DomainID
	for _, domain := range inv.Domains {
		if domain.ID == d.Domain || d.Region != "" && domain.Region == d.Region {
			found = append(found, domain.ID)
		}
	}
	return found
}

// Drained returns the failure domains that the drains of the file cover, sorted.
func (inv *Inventory) Drained() []DomainID {
	var found []DomainID
	for _, d := range inv.Drains {
		found = append(found, inv.DomainsOf(d)...)
	}
	slices.Sort(found)
	return slices.Compact(found)
}

// DelayBetween returns the one-way delay between two regions, and whether a
// link between them is declared.
func (inv *Inventory) DelayBetween(a, b RegionID) (Duration, bool) {
	for _, l := range inv.Links {
		if (l.From == a && l.To == b) || (l.From == b && l.To == a) {
			return l.Delay, true
		}
	}
	return Duration{}, false
}

// String returns the drain as "kind id", such as "region norte".
func (d Drain) String() string {
	if d.Region != "" {
		return "region " + string(d.Region)
	}
	return "domain " + string(d.Domain)
}
