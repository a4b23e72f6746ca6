package main

// The standin command, which runs stand-ins in a separate process.

import (
	"context"
	"fmt"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/wasabiwheel/wasabiwheel/caller"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/platform"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

type standinCommand struct {
	Serve     string        `long:"serve" value-name:"ADDRESS" description:"address on which to serve a store"`
	Inventory string        `long:"inventory" value-name:"FILE" description:"serve a target on the address of each endpoint"`
	Platform  string        `long:"platform" value-name:"ADDRESS" description:"address of the store in which the endpoints register; default: the value of --serve"`
	Work      time.Duration `long:"work" default:"10ms" description:"time that a target needs to process a request"`
}

// Execute serves until SIGTERM or SIGINT.
func (c *standinCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if c.Serve != "" {
		if err := serveStandin(ctx, c.Serve, standin.NewPlatform()); err != nil {
			return err
		}
	}
	if c.Platform == "" {
		c.Platform = c.Serve
	}
	if c.Inventory != "" {
		inv, err := inventory.Read(c.Inventory)
		if err != nil {
			return err
		}
		if _, err := serveTargets(ctx, inv, c.Platform, standin.Behaviour{Work: c.Work}); err != nil {
			return err
		}
	}
	fmt.Fprintln(output, "stand-ins ready")
	<-ctx.Done()
	return nil
}

// serveTargets serves all endpoints of an inventory until ctx ends, and registers
// them in the store unless its address is empty.
func serveTargets(ctx context.Context, inv *inventory.Inventory, store string, b standin.Behaviour) (map[inventory.EndpointID]*standin.Target, error) {
	client := platform.New(platform.Options{Address: store, CallsPerSecond: float64(2 * len(inv.Endpoints))})
	targets := map[inventory.EndpointID]*standin.Target{}
	for _, e := range inv.Endpoints {
		b.Slots = e.Slots
		ep := &standin.Endpoint{Endpoint: e, HeaderNames: caller.Headers}
		if store != "" {
			ep.Store = client
		}
		if err := ep.Start(b, e.ColdRemaining); err != nil {
			return nil, &Error{Op: "standin", Kind: KindNetwork, Err: err}
		}
		context.AfterFunc(ctx, ep.End)
		targets[e.ID] = ep.Target()
	}
	return targets, nil
}

// serveStandin serves h on an address until ctx ends.
func serveStandin(ctx context.Context, address string, h http.Handler) error {
	s, err := standin.Serve(address, h)
	if err != nil {
		return &Error{Op: "standin", Kind: KindNetwork, Err: err}
	}
	context.AfterFunc(ctx, func() { _ = s.Close() })
	return nil
}
