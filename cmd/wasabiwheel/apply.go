package main

// The command that puts an inventory in force.

import (
	"os"

	"github.com/wasabiwheel/wasabiwheel/configuration"
	"github.com/wasabiwheel/wasabiwheel/inventory"
)

type applyCommand struct {
	changeFlags
	Inventory string `long:"inventory" required:"true" value-name:"FILE" description:"inventory to put in force (TOML)"`
	Base      uint64 `long:"base" value-name:"VERSION" description:"fail unless this version is in force"`
	DryRun    bool   `long:"dry-run" description:"show the difference and change nothing"`
}

// Execute publishes the inventory.
func (c *applyCommand) Execute([]string) error {
	text, err := os.ReadFile(c.Inventory)
	if err != nil {
		return &Error{Op: "apply", Kind: KindFailed, Err: err}
	}
	inv, err := inventory.Parse(c.Inventory, text)
	if err != nil {
		return err
	}
	return c.run(changer{
		flags:   c.changeFlags,
		entries: inv.Entries,
		dryRun:  c.DryRun,
		change:  configuration.Change{Text: text, Base: inventory.Version(c.Base), Note: "apply"},
	})
}
