package inventory

// Drains that stand apart from the inventory's file.

import "slices"

// String returns the drain as "kind id", such as "region norte".
func (d Drain) String() string {
	kind, id := d.place()
	return kind + " " + id
}

// place returns what is drained; of several fields the first one set.
func (d Drain) place() (kind, id string) {
	switch {
	case d.Region != "":
		return "region", string(d.Region)
	case d.Domain != "":
		return "domain", string(d.Domain)
	case d.Endpoint != "":
		return "endpoint", string(d.Endpoint)
	default:
		return "entry", string(d.Entry)
	}
}

// Declares reports whether the place that a drain names exists.
func (inv *Inventory) Declares(d Drain) bool {
	kind, id := d.place()
	return inv.declared()[kind+" "+id]
}

// WithDrains returns the inventory with more drains. It fails with an *Error
// when one of them names nothing or too little would be left.
func (inv *Inventory) WithDrains(more []Drain) (*Inventory, error) {
	next := *inv
	next.Drains = slices.Concat(inv.Drains, more)
	c := &checker{inv: &next, file: "drains by command", ids: next.declared()}
	c.drains()
	c.coverage()
	if c.err != nil {
		return nil, c.err
	}
	return &next, nil
}

// declared returns the ids of what can be drained, each with its kind.
func (inv *Inventory) declared() map[string]bool {
	ids := map[string]bool{}
	for _, r := range inv.Regions {
		ids["region "+string(r.ID)] = true
	}
	for _, d := range inv.Domains {
		ids["domain "+string(d.ID)] = true
	}
	for _, e := range inv.Endpoints {
		ids["endpoint "+string(e.ID)] = true
	}
	for _, e := range inv.Entries {
		ids["entry "+string(e.ID)] = true
	}
	return ids
}
