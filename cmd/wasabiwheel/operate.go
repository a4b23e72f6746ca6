package main

// The commands that publish and roll back configurations, list their history, and
// set and remove drains.

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiwheel/wasabiwheel/configuration"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/platform"
)

// storeFlags holds the address of the store and the timeout of a command.
type storeFlags struct {
	Platform string        `long:"platform" required:"true" value-name:"ADDRESS" description:"address of the platform's store"`
	Timeout  time.Duration `long:"timeout" default:"10s" description:"timeout of the command, including --wait"`
	JSON     bool          `long:"json" description:"print JSON"`
}

// manager returns the manager of the configuration in the store, and a context that
// ends at the command's timeout.
func (f storeFlags) manager() (context.Context, context.CancelFunc, *configuration.Manager) {
	ctx, cancel := context.WithTimeout(context.Background(), f.Timeout)
	return ctx, cancel, configuration.New(platform.New(platform.Options{Address: f.Platform}))
}

// publishFlags holds the flags of the commands that publish a new version.
type publishFlags struct {
	storeFlags
	Author string `long:"author" env:"USER" default:"operator" description:"author of the change"`
	Wait   bool   `long:"wait" description:"wait until all responding nodes have the version in force"`
}

type applyCommand struct {
	publishFlags
	Inventory string `long:"inventory" required:"true" value-name:"FILE" description:"inventory file to publish (TOML)"`
	Base      uint64 `long:"base" value-name:"VERSION" description:"fail unless this version is in force"`
	DryRun    bool   `long:"dry-run" description:"show the difference without publishing"`
}

// Execute publishes the inventory.
func (c *applyCommand) Execute([]string) error {
	text, err := os.ReadFile(c.Inventory)
	if err != nil {
		return &Error{Op: "apply", Kind: KindFailed, Err: err}
	}
	inv, err := inventory.Parse(c.Inventory, text)
	if err != nil {
		return err
	}
	return c.publish(inv, configuration.Change{Text: text, Base: inventory.Version(c.Base), Author: c.Author, Note: "apply"}, c.DryRun)
}

// publishResult is the result of a publishing command, in its JSON form.
type publishResult struct {
	Version    inventory.Version `json:"version"`  // now in force
	Accepted   bool              `json:"accepted"` // false after a dry run
	Difference []string          `json:"difference"`
	Nodes      *rollout          `json:"nodes,omitempty"`
}

// publish publishes a change unless dryRun is set, and prints the result.
func (f publishFlags) publish(inv *inventory.Inventory, change configuration.Change, dryRun bool) error {
	ctx, cancel, manager := f.manager()
	defer cancel()
	current, err := manager.Current(ctx)
	if err != nil {
		return err
	}
	before := current.Configuration
	result := publishResult{Version: before.Version, Difference: inventory.DiffConfigurations(before, inv.Configuration(before.Version+1))}
	var waitErr error
	if !dryRun {
		release, err := manager.Publish(ctx, change)
		if err != nil {
			return err
		}
		result.Version, result.Accepted = release.Version, true
	}
	if f.Wait && result.Accepted {
		nodes, err := awaitRollout(ctx, f.Platform, result.Version)
		waitErr = err
		result.Nodes = &nodes
	}
	if err := f.print(result); err != nil {
		return err
	}
	if waitErr != nil {
		return waitErr
	}
	if result.Nodes != nil {
		return result.Nodes.checkInForce(result.Version)
	}
	return nil
}

func (f publishFlags) print(result publishResult) error {
	if f.JSON {
		return json.NewEncoder(output).Encode(result)
	}
	for _, line := range result.Difference {
		fmt.Fprintln(output, line)
	}
	if result.Accepted {
		fmt.Fprintf(output, "version %d is accepted\n", result.Version)
	} else {
		fmt.Fprintf(output, "nothing is changed; version %d stands\n", result.Version)
	}
	if result.Nodes != nil {
		result.Nodes.print(result.Version)
	}
	return nil
}

type historyCommand struct{ storeFlags }

// Execute prints the published versions, newest first.
func (c *historyCommand) Execute([]string) error {
	ctx, cancel, manager := c.manager()
	defer cancel()
	releases, err := manager.History(ctx)
	if err != nil {
		return err
	}
	for _, r := range releases {
		r.Text = nil
		if c.JSON {
			if err := json.NewEncoder(output).Encode(r); err != nil {
				return err
			}
			continue
		}
		fmt.Fprintf(output, "%d\t%s\t%s\t%s\n", r.Version, r.Time.Format(time.RFC3339), r.Author, r.Note)
	}
	return nil
}

type rollbackCommand struct {
	publishFlags
	Args struct {
		Version uint64 `positional-arg-name:"VERSION" description:"version whose file is published again"`
	} `positional-args:"yes" required:"yes"`
}

// Execute publishes the file of an earlier version as a new version. Drains are
// unchanged.
func (c *rollbackCommand) Execute([]string) error {
	ctx, cancel, manager := c.manager()
	defer cancel()
	release, err := manager.FindRelease(ctx, inventory.Version(c.Args.Version))
	if err != nil {
		return err
	}
	inv, err := inventory.Parse(fmt.Sprintf("version %d", release.Version), release.Text)
	if err != nil {
		return err
	}
	note := fmt.Sprintf("rollback to %d", release.Version)
	return c.publish(inv, configuration.Change{Text: release.Text, Author: c.Author, Note: note}, false)
}

// scopeArgs identifies the region or failure domain to drain.
type scopeArgs struct {
	Kind string `positional-arg-name:"KIND" description:"region or domain"`
	ID   string `positional-arg-name:"ID" description:"id of the region or domain"`
}

type drainFlags struct {
	storeFlags
	Inventory string    `long:"inventory" value-name:"FILE" description:"inventory that lists the failure domains of the region"`
	Scope     scopeArgs `positional-args:"yes" required:"yes"`
}

// domains returns the failure domains selected by the arguments.
func (f drainFlags) domains() ([]inventory.DomainID, error) {
	switch f.Scope.Kind {
	case "domain":
		if !inventory.ValidID(f.Scope.ID) {
			return nil, &Error{Op: "drain", Kind: KindUsage, Err: errors.Newf("%q is not a valid id", f.Scope.ID)}
		}
		return []inventory.DomainID{inventory.DomainID(f.Scope.ID)}, nil
	case "region":
		if f.Inventory == "" {
			return nil, &Error{Op: "drain", Kind: KindUsage, Err: errors.New("a region needs --inventory")}
		}
		inv, err := inventory.Read(f.Inventory)
		if err != nil {
			return nil, err
		}
		domains := inv.DomainsOf(inventory.Drain{Region: inventory.RegionID(f.Scope.ID)})
		if len(domains) == 0 {
			return nil, &Error{Op: "drain", Kind: KindUsage, Err: errors.Newf("%s has no region %q", f.Inventory, f.Scope.ID)}
		}
		return domains, nil
	default:
		return nil, &Error{Op: "drain", Kind: KindUsage, Err: errors.Newf("%q is not region or domain", f.Scope.Kind)}
	}
}

// changeDomains applies change to each selected failure domain and prints the
// failure domains that are drained afterwards.
func (f drainFlags) changeDomains(change func(context.Context, *configuration.Manager, inventory.DomainID) error) error {
	domains, err := f.domains()
	if err != nil {
		return err
	}
	ctx, cancel, manager := f.manager()
	defer cancel()
	for _, id := range domains {
		if err := change(ctx, manager, id); err != nil {
			return err
		}
	}
	drained, err := manager.Drained(ctx)
	if err != nil {
		return err
	}
	slices.Sort(drained)
	if f.JSON {
		return json.NewEncoder(output).Encode(drained)
	}
	fmt.Fprintf(output, "drained: %v\n", drained)
	return nil
}

type drainCommand struct{ drainFlags }

// Execute drains the selected failure domains.
func (c *drainCommand) Execute([]string) error {
	return c.changeDomains(func(ctx context.Context, m *configuration.Manager, id inventory.DomainID) error {
		return m.Drain(ctx, id)
	})
}

type undrainCommand struct{ drainFlags }

// Execute removes the drains of the selected failure domains.
func (c *undrainCommand) Execute([]string) error {
	return c.changeDomains(func(ctx context.Context, m *configuration.Manager, id inventory.DomainID) error {
		return m.Undrain(ctx, id)
	})
}
