package main

// The command that puts an inventory in force.

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/wasabiwheel/wasabiwheel/configuration"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/platform"
)

type applyCommand struct {
	Platform  string        `long:"platform" required:"true" value-name:"URL" description:"the platform"`
	Inventory string        `long:"inventory" required:"true" value-name:"FILE" description:"inventory to put in force (TOML)"`
	Author    string        `long:"author" env:"USER" default:"operator" description:"who makes the change"`
	Base      uint64        `long:"base" value-name:"VERSION" description:"fail unless this version is in force"`
	Timeout   time.Duration `long:"timeout" default:"10s" description:"how long to try"`
}

// Execute publishes the inventory.
func (c *applyCommand) Execute([]string) error {
	text, err := os.ReadFile(c.Inventory)
	if err != nil {
		return &Error{Op: "apply", Kind: KindFailed, Err: err}
	}
	if _, err := inventory.Parse(c.Inventory, text); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	store := platform.New(platform.Options{Base: c.Platform})
	accepted, err := configuration.Publish(ctx, store, configuration.Change{Text: text, Author: c.Author, Base: inventory.Version(c.Base)})
	if err != nil {
		return err
	}
	fmt.Fprintf(output, "version %d is accepted\n", accepted.Version)
	return nil
}
