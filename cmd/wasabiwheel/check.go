package main

// The check command, which validates files offline.

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/node"
)

type checkCommand struct {
	Settings  []string `long:"settings" value-name:"FILE" description:"settings file of a node (may be repeated)"`
	Inventory []string `long:"inventory" value-name:"FILE" description:"inventory file (may be repeated)"`
}

// Execute validates each file and stops at the first error.
func (c *checkCommand) Execute([]string) error {
	if len(c.Settings)+len(c.Inventory) == 0 {
		return &Error{Op: "check", Kind: KindUsage, Err: errors.New("give --settings or --inventory")}
	}
	for _, f := range c.Inventory {
		if _, err := inventory.Read(f); err != nil {
			return err
		}
		fmt.Fprintln(output, f+": ok")
	}
	for _, f := range c.Settings {
		if _, err := node.ReadSettings(f); err != nil {
			return err
		}
		fmt.Fprintln(output, f+": ok")
	}
	return nil
}
