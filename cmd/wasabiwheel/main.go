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
	Node    nodeCommand    `command:"node" description:"run a node on an entry VM"`
	Apply   applyCommand   `command:"apply" description:"put an inventory in force"`
	Check   checkCommand   `command:"check" description:"check settings and inventory files"`
	Lookup  lookupCommand  `command:"lookup" description:"ask a node which entry VMs to use"`
	Status  statusCommand  `command:"status" description:"read the status of nodes"`
	Load    loadCommand    `command:"load" description:"put load on nodes and measure"`
	Standin standinCommand `command:"standin" description:"run stand-ins of the platform and of targets, for trials"`
	Version versionCommand `command:"version" description:"print the version"`
	Try     tryCommand     `command:"try" description:"run the whole path in one process on stand-ins"`
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
