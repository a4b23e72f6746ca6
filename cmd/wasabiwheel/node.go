package main

// The command that runs a node.

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"k8s.io/klog/v2"

	"github.com/wasabiwheel/wasabiwheel/node"
)

type nodeCommand struct {
	Settings string `long:"settings" required:"true" value-name:"FILE" description:"settings of the node (TOML)"`
}

// Execute runs the node until a signal. The first signal makes it leave in
// order, the second one ends that at once and has it count what it cuts.
func (c *nodeCommand) Execute([]string) error {
	s, err := node.ReadSettings(c.Settings)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n := node.New(s, node.Options{})
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancel()
		<-signals
		klog.InfoS("second signal, stopping at once")
		signal.Stop(signals) // a third one kills
		n.Abort()
	}()
	return n.Run(ctx)
}
