package main

// The commands that drain a place and take it back.

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/wasabiwheel/wasabiwheel/configuration"
	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// placeArgs names what is drained.
type placeArgs struct {
	Kind string `positional-arg-name:"KIND" description:"region, domain, endpoint or entry"`
	ID   string `positional-arg-name:"ID" description:"its id"`
}

func (p placeArgs) drain() (inventory.Drain, error) {
	switch p.Kind {
	case "region":
		return inventory.Drain{Region: inventory.RegionID(p.ID)}, nil
	case "domain":
		return inventory.Drain{Domain: inventory.DomainID(p.ID)}, nil
	case "endpoint":
		return inventory.Drain{Endpoint: inventory.EndpointID(p.ID)}, nil
	case "entry":
		return inventory.Drain{Entry: inventory.EntryID(p.ID)}, nil
	default:
		return inventory.Drain{}, &Error{Op: "drain", Kind: KindUsage, Err: errors.Newf("%q is not region, domain, endpoint or entry", p.Kind)}
	}
}

type drainCommand struct {
	changeFlags
	Place placeArgs `positional-args:"yes" required:"yes"`
}

// Execute adds the drain to what is in force.
func (c *drainCommand) Execute([]string) error {
	d, err := c.Place.drain()
	if err != nil {
		return err
	}
	return c.run(changer{
		flags:    c.changeFlags,
		composes: true,
		change:   configuration.Change{Drain: []inventory.Drain{d}, Note: "drain " + d.String()},
	})
}

type undrainCommand struct {
	changeFlags
	Place placeArgs `positional-args:"yes" required:"yes"`
}

// Execute takes a drain by command back. One of the operators' file stays,
// since the file would bring it back.
func (c *undrainCommand) Execute([]string) error {
	d, err := c.Place.drain()
	if err != nil {
		return err
	}
	return c.run(changer{
		flags:    c.changeFlags,
		composes: true,
		change:   configuration.Change{Undrain: []inventory.Drain{d}, Note: "undrain " + d.String()},
		refuse: func(p configuration.Present) error {
			if p.Inventory != nil && slices.Contains(p.Inventory.Drains, d) && !slices.Contains(p.Index.Drains, d) {
				return &Error{Op: "undrain", Kind: KindFailed, Err: errors.Newf("%s is drained by the inventory's file; take the drain out there and apply it", d)}
			}
			return nil
		},
	})
}
