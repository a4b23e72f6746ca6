// Command wasabiwheel runs, operates and tests nodes that route callers' requests
// to targets with free capacity. Run "wasabiwheel --help" for its commands.
//
// # Usage
//
//	wasabiwheel node --settings node.toml
//	wasabiwheel lookup --node 127.0.0.1:7001 --region norte
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

// output is the writer to which commands print.
var output io.Writer = os.Stdout

// commands lists all commands with their flags.
type commands struct {
	Node       nodeCommand       `command:"node" description:"run a node on an entry VM"`
	Apply      applyCommand      `command:"apply" description:"publish an inventory" long-description:"Validates an inventory, shows the difference to the version in force, and publishes it as a new version. Drains set by the drain command remain."`
	Drain      drainCommand      `command:"drain" description:"drain a region or failure domain" long-description:"Stops sending new requests to the endpoints of a region or failure domain, until undrain."`
	Undrain    undrainCommand    `command:"undrain" description:"remove a drain"`
	History    historyCommand    `command:"history" description:"list the published versions"`
	Rollback   rollbackCommand   `command:"rollback" description:"publish the file of an earlier version as a new version"`
	Check      checkCommand      `command:"check" description:"validate settings and inventory files"`
	Lookup     lookupCommand     `command:"lookup" description:"query a node for the entry VMs to use"`
	Status     statusCommand     `command:"status" description:"print the status of nodes"`
	Quarantine quarantineCommand `command:"quarantine" description:"print the requests that are rejected because they crash endpoints, or admit one again"`
	Load       loadCommand       `command:"load" description:"generate load on nodes and measure latency"`
	Experiment experimentCommand `command:"experiment" description:"compare traffic steering systems under the same load and faults"`
	Standin    standinCommand    `command:"standin" description:"run stand-ins for the platform and the targets, for tests"`
	Soak       soakCommand       `command:"soak" description:"run nodes as processes, inject faults, and check the guarantees of the system"`
	SoakNode   soakNodeCommand   `command:"soak-node" hidden:"true" description:"run a node for the soak"`
	Version    versionCommand    `command:"version" description:"print the version"`
	Try        tryCommand        `command:"try" description:"run an example deployment end to end in one process"`
}

func main() {
	// Commands print their results and errors; a node installs its own logger.
	klog.SetSlogLogger(slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError})))
	os.Exit(run(os.Args[1:]))
}

// run executes one command line and returns the exit code.
func run(args []string) int {
	parser := flags.NewParser(&commands{}, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "wasabiwheel"
	parser.CommandHandler = execute
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

// execute runs a command and rejects positional arguments that it does not declare.
func execute(c flags.Commander, args []string) error {
	if len(args) > 0 {
		return &Error{Op: "arguments", Kind: KindUsage, Err: errors.Newf("unexpected argument %q", args[0])}
	}
	return c.Execute(args)
}

// exitCode returns exitUsage for usage errors and exitFailed for all others.
func exitCode(err error) int {
	var e *Error
	if errors.As(err, &e) && e.Kind == KindUsage {
		return exitUsage
	}
	return exitFailed
}
