package main

// The command that checks files offline.

import (
	"fmt"
	"os"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/node"
)

type checkCommand struct {
	Settings  []string `long:"settings" value-name:"FILE" description:"settings of a node (may be repeated); with an inventory they must agree with its entry"`
	Inventory []string `long:"inventory" value-name:"FILE" description:"inventory (may be repeated)"`
}

// Execute checks each file and stops at the first fault.
func (c *checkCommand) Execute([]string) error {
	var inventories []*inventory.Inventory
	for _, f := range c.Inventory {
		inv, err := inventory.Read(f)
		if err != nil {
			return err
		}
		inventories = append(inventories, inv)
		fmt.Fprintln(output, f+": ok")
	}
	for _, f := range c.Settings {
		s, err := node.ReadSettings(f)
		if err != nil {
			return err
		}
		if err := checkAgreement(f, s, inventories); err != nil {
			return err
		}
		fmt.Fprintln(output, f+": ok")
	}
	return nil
}

// checkAgreement refuses settings that differ from the entry of the inventory.
func checkAgreement(file string, s node.Settings, inventories []*inventory.Inventory) error {
	for _, inv := range inventories {
		key, err := s.Agree(inv)
		if err == nil {
			continue
		}
		data, readErr := os.ReadFile(file)
		if readErr != nil {
			return &Error{Op: "check", Kind: KindFailed, Err: readErr}
		}
		lines, _ := inventory.Decode(file, data, &node.Settings{})
		return &inventory.Error{Op: "check", Kind: inventory.KindDangling, File: file, Line: lines[key], Key: key, Err: err}
	}
	return nil
}
