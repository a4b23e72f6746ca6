package main

// The command that runs stand-ins as a process of its own.

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

type standinCommand struct {
	Platform  string        `long:"platform" value-name:"ADDRESS" description:"serve a platform on this address"`
	Inventory string        `long:"inventory" value-name:"FILE" description:"serve a target on the address of each endpoint"`
	Work      time.Duration `long:"work" default:"10ms" description:"time that a target takes for a request"`
}

// Execute serves until a signal.
func (c *standinCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if c.Platform != "" {
		if err := serveStandin(ctx, c.Platform, standin.NewPlatform()); err != nil {
			return err
		}
	}
	if c.Inventory != "" {
		if err := serveTargets(ctx, c.Inventory, c.Work); err != nil {
			return err
		}
	}
	klog.InfoS("stand-ins ready", "pid", os.Getpid())
	<-ctx.Done()
	return nil
}

func serveTargets(ctx context.Context, file string, work time.Duration) error {
	inv, err := inventory.Read(file)
	if err != nil {
		return err
	}
	for _, e := range inv.Endpoints {
		t := standin.NewTarget(string(e.ID), standin.Behaviour{Work: work})
		if err := serveStandin(ctx, e.Address, t); err != nil {
			return err
		}
	}
	return nil
}

// serveStandin serves on an address until ctx ends.
func serveStandin(ctx context.Context, address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return &Error{Op: "standin", Kind: KindNetwork, Err: err}
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: queryTimeout}
	go func() { _ = s.Serve(l) }()
	context.AfterFunc(ctx, func() { _ = s.Close() })
	return nil
}
