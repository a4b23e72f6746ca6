package main

// The soak command.

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiwheel/wasabiwheel/soak"
)

type soakCommand struct {
	Seed   uint64        `long:"seed" default:"1" description:"seed that determines the faults and the size of the deployment"`
	For    time.Duration `long:"for" default:"60s" description:"time during which faults are started; the run takes about 20 s longer"`
	Nodes  int           `long:"nodes" description:"number of nodes; default: derived from the seed"`
	Binary string        `long:"binary" value-name:"FILE" description:"binary of the nodes; default: this binary"`
	Keep   bool          `long:"keep" description:"keep settings and logs even if there are no violations"`
	Quiet  bool          `long:"quiet" description:"do not print events"`
}

// Execute runs the soak and prints its report. It fails if there are violations.
func (c *soakCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if c.Binary == "" {
		own, err := os.Executable()
		if err != nil {
			return &Error{Op: "soak", Kind: KindFailed, Err: err}
		}
		c.Binary = own
	}
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return &Error{Op: "soak", Kind: KindFailed, Err: err}
	}
	o := soak.Options{Seed: c.Seed, For: c.For, Nodes: c.Nodes, Binary: c.Binary, Dir: dir, Subnet: trySubnet()}
	if !c.Quiet {
		o.Events = output
	}
	report, err := soak.Run(ctx, o)
	t := report.Totals
	fmt.Fprintf(output, "seed %d: %d nodes, %d endpoints, %d failure domains, %d faults; %d requests: %d served, %d refused, %d unknown, %d without a response; %d lookups; %d violations\n",
		c.Seed, report.Size.Nodes, report.Size.Endpoints, report.Size.Domains, t.Faults, t.Sent, t.Served, t.Refused, t.Unknown, t.Unanswered, t.Lookups, len(report.Violations))
	for _, v := range report.Violations {
		fmt.Fprintf(output, "%7.3f %s: %s\n", v.At.Seconds(), v.Guarantee, v.Text)
	}
	if c.Keep || err != nil {
		fmt.Fprintf(output, "settings and logs: %s\n", dir)
		return err
	}
	if err := os.RemoveAll(dir); err != nil {
		return errors.Wrap(err, "soak")
	}
	return nil
}
