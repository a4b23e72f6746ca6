// Command wasabiwheel steers callers' requests to the targets that can take
// them. Run "wasabiwheel --help" for its commands.
//
// # Usage
//
//	wasabiwheel node --settings node.toml
//	wasabiwheel lookup --node 127.0.0.1:7000 --service catalogue
//	wasabiwheel try
package main

import (
	"fmt"
	"io"
	"log/slog"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
	"k8s.io/klog/v2"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// output is where commands print; tests put something else in its place.
var output io.Writer = os.Stdout

// commands lists all commands with their flags.
type commands struct {
	Node       nodeCommand       `command:"node" description:"run a node on an entry VM"`
	Apply      applyCommand      `command:"apply" description:"put an inventory in force" long-description:"Checks an inventory, shows the difference to what is in force, and puts it in force. Drains by command stay. A file without a difference makes no version."`
	Drain      drainCommand      `command:"drain" description:"give a place no new work" long-description:"Gives a place no new work, whatever the inventory's file says, until undrain."`
	Undrain    undrainCommand    `command:"undrain" description:"take a drain by command back" long-description:"Takes back a drain that was made by command. A drain of the inventory's file is taken out there."`
	History    historyCommand    `command:"history" description:"list the accepted versions"`
	Rollback   rollbackCommand   `command:"rollback" description:"put the file of a past version in force as a new version" long-description:"Puts the file of a past version in force as a new version. Drains by command stay as they are."`
	Check      checkCommand      `command:"check" description:"check settings and inventory files"`
	Lookup     lookupCommand     `command:"lookup" description:"ask a node which entry VMs to use"`
	Status     statusCommand     `command:"status" description:"read the status of nodes"`
	Load       loadCommand       `command:"load" description:"put load on nodes and measure"`
	Experiment experimentCommand `command:"experiment" description:"measure ways of steering against each other"`
	Standin    standinCommand    `command:"standin" description:"run stand-ins of the platform and of targets, for trials"`
	Version    versionCommand    `command:"version" description:"print the version"`
	Try        tryCommand        `command:"try" description:"run the whole path in one process on stand-ins"`
}

func main() {
	klog.SetSlogLogger(slog.New(slog.NewJSONHandler(os.Stderr, nil)))
	os.Exit(run(os.Args[1:]))
}

// run executes one command line and returns the exit code.
func run(args []string) int {
	parser := flags.NewParser(&commands{}, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "wasabiwheel"
	_, err := parser.ParseArgs(args)
	if err == nil {
		return 0
	}
	var usage *flags.Error
	if !errors.As(err, &usage) {
		fmt.Fprintln(os.Stderr, "wasabiwheel:", err)
		return exitCode(err)
	}
	if usage.Type == flags.ErrHelp {
		fmt.Fprintln(output, usage.Message)
		return 0
	}
	fmt.Fprintln(os.Stderr, "wasabiwheel:", usage.Message)
	return exitUsage
}

// exitCode tells flags that do not go together from a failure.
func exitCode(err error) int {
	var e *Error
	if errors.As(err, &e) && e.Kind == KindUsage {
		return exitUsage
	}
	return exitFailed
}
