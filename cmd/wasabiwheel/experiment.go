package main

// The experiment command, which compares traffic steering systems in real time.

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiwheel/wasabiwheel/examples"
	"github.com/wasabiwheel/wasabiwheel/experiment"
)

type experimentCommand struct {
	Inventory string        `long:"inventory" value-name:"FILE" description:"inventory of the deployment (default: the Lumbre example)"`
	Scenario  []string      `long:"scenario" description:"scenario to run (may be repeated; default: all)"`
	System    []string      `long:"system" description:"traffic steering system to run (may be repeated; default: all)"`
	Duration  time.Duration `long:"duration" default:"5s" description:"measured duration of each run"`
	Seed      uint64        `long:"seed" default:"1" description:"seed of the load and the network"`
	JSON      bool          `long:"json" description:"print JSON, one line per run"`
}

// Execute runs all selected combinations of scenario and system sequentially.
func (c *experimentCommand) Execute([]string) error {
	name, text := "lumbre", examples.Lumbre
	if c.Inventory != "" {
		data, err := os.ReadFile(c.Inventory)
		if err != nil {
			return &Error{Op: "experiment", Kind: KindFailed, Err: err}
		}
		name, text = c.Inventory, data
	}
	if !c.JSON {
		experiment.WriteHeader(output)
	}
	for _, scenario := range c.scenarios() {
		for _, system := range c.systems() {
			if err := c.run(name, text, scenario, system); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *experimentCommand) run(name string, text []byte, scenario experiment.Scenario, system experiment.System) error {
	o := experiment.Options{Inventory: text, Scenario: scenario, System: system, Duration: c.Duration, Seed: c.Seed}
	m, err := experiment.Run(context.Background(), o)
	if err != nil {
		return err
	}
	row := experiment.Row{Deployment: name, Scenario: scenario, System: system, Measurement: m}
	if !c.JSON {
		row.Write(output)
		return nil
	}
	data, err := json.Marshal(row)
	if err != nil {
		return &Error{Op: "experiment", Kind: KindFailed, Err: errors.Wrap(err, "row")}
	}
	fmt.Fprintln(output, string(data))
	return nil
}

func (c *experimentCommand) scenarios() []experiment.Scenario {
	if len(c.Scenario) == 0 {
		return experiment.Scenarios
	}
	var chosen []experiment.Scenario
	for _, s := range c.Scenario {
		chosen = append(chosen, experiment.Scenario(s))
	}
	return chosen
}

func (c *experimentCommand) systems() []experiment.System {
	if len(c.System) == 0 {
		return experiment.Systems
	}
	var chosen []experiment.System
	for _, s := range c.System {
		chosen = append(chosen, experiment.System(s))
	}
	return chosen
}
