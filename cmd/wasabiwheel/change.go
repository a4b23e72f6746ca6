package main

// What all commands that change the configuration share: ask what is in force,
// show the difference, publish, and wait for the nodes.

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiwheel/wasabiwheel/configuration"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/node"
	"github.com/wasabiwheel/wasabiwheel/platform"
)

const (
	askTimeout    = 2 * time.Second // for the answer of a node
	operatorCalls = 100             // to the platform, a second; a version has many parts
)

// newStore returns an operator's client of the platform.
func newStore(base string) *platform.Client {
	return platform.New(platform.Options{Base: base, Calls: operatorCalls})
}

type changeFlags struct {
	Platform string        `long:"platform" required:"true" value-name:"URL" description:"the platform"`
	Node     []string      `long:"node" value-name:"ADDRESS" description:"admin address of a node to ask what is in force (may be repeated; default: all nodes of the inventory)"`
	Key      string        `long:"key-file" value-name:"FILE" description:"file with a key of the nodes' settings"`
	Author   string        `long:"author" env:"USER" default:"operator" description:"who makes the change"`
	Timeout  time.Duration `long:"timeout" default:"10s" description:"how long to try, and how long to wait with --wait"`
	Wait     bool          `long:"wait" description:"wait until all live nodes have the version in force"`
	JSON     bool          `long:"json" description:"print JSON"`
}

// changer is one change on its way.
type changer struct {
	flags    changeFlags
	key      string
	store    *platform.Client
	change   configuration.Change
	entries  []inventory.Entry // of the new inventory, to be asked too
	composes bool              // the change can be made on top of any version
	dryRun   bool
	refuse   func(configuration.Present) error
}

// changeResult is what the command did, as JSON.
type changeResult struct {
	Version    inventory.Version      `json:"version"`
	Accepted   bool                   `json:"accepted"` // false: nothing had to change, or a dry run
	Difference []string               `json:"difference"`
	Drains     []inventory.Drain      `json:"drains"`  // by command, in force
	Dropped    []inventory.Drain      `json:"dropped"` // their place is gone
	Nodes      *fleet                 `json:"nodes,omitempty"`
	Store      inventory.Version      `json:"store"` // version that the store held before
	Standing   configuration.Standing `json:"standing"`
}

// run makes the change and prints what happened.
func (f changeFlags) run(c changer) error {
	key, err := readKey(f.Key)
	if err != nil {
		return err
	}
	c.key = key
	c.store = newStore(f.Platform)
	c.change.Author = f.Author
	ctx, cancel := context.WithTimeout(context.Background(), f.Timeout)
	defer cancel()
	plan, result, err := c.publish(ctx)
	if err != nil {
		return err
	}
	if f.Wait && !c.dryRun {
		fleet := awaitFleet(plan.Inventory, result.Version, key, f.Timeout)
		result.Nodes = &fleet
	}
	if err := f.print(result); err != nil {
		return err
	}
	if result.Nodes != nil {
		return result.Nodes.err(result.Version)
	}
	return nil
}

// publish makes the change. One that composes is made again on top of the
// version that came first.
func (c *changer) publish(ctx context.Context) (configuration.Plan, changeResult, error) {
	for {
		present, err := c.present(ctx)
		if err != nil {
			return configuration.Plan{}, changeResult{}, err
		}
		plan, err := present.Plan(time.Now(), c.change)
		if err != nil {
			return plan, changeResult{}, err
		}
		result := changeResult{
			Version:    present.Head.Version,
			Difference: inventory.Diff(present.Inventory, plan.Inventory),
			Drains:     plan.Content.Index.Drains,
			Dropped:    plan.Dropped,
			Store:      present.Store,
			Standing:   present.Standing,
		}
		if c.dryRun || plan.Same && present.Standing == configuration.StandingCurrent {
			return plan, result, nil
		}
		accepted, err := plan.Publish(ctx, c.store)
		var e *configuration.Error
		if c.composes && errors.As(err, &e) && e.Kind == configuration.KindLost {
			tell("%s came first; trying again on top of it", describe(e.Standing))
			continue
		}
		result.Version, result.Accepted = accepted.Version, true
		return plan, result, err
	}
}

func describe(a configuration.Accepted) string {
	return fmt.Sprintf("version %d by %q (%s)", a.Version, a.Author, a.Note)
}

// tell writes a line for a person beside the command's output.
func tell(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "wasabiwheel: "+format+"\n", args...)
}

// present reads what is in force, in the store and at the nodes, and tells when
// they differ.
func (c *changer) present(ctx context.Context) (configuration.Present, error) {
	known, asked := c.ask(ctx, c.addresses(c.entries))
	present, err := configuration.ReadPresent(ctx, c.store, known)
	if known.Head.Version == 0 && present.Inventory != nil {
		known, asked = c.ask(ctx, c.addresses(present.Inventory.Entries))
		if known.Head.Version > 0 {
			present, err = configuration.ReadPresent(ctx, c.store, known)
		}
	}
	if err != nil {
		return present, err
	}
	next := present.Head.Version + 1
	switch {
	case present.Standing != configuration.StandingCurrent:
		tell("the store's configuration is %s: it holds version %d, nodes have version %d in force; the change builds on theirs and becomes version %d",
			present.Standing, present.Store, present.Nodes, next)
	case known.Head.Version == 0 && present.Head.Version > 0:
		tell("none of %d nodes told what it has in force; the change builds on what the store holds, version %d", asked, present.Store)
	}
	if c.refuse != nil {
		return present, c.refuse(present)
	}
	return present, nil
}

// addresses returns the admin addresses of the nodes to ask.
func (c *changer) addresses(entries []inventory.Entry) []string {
	if len(c.flags.Node) > 0 {
		return c.flags.Node
	}
	var all []string
	for _, e := range entries {
		all = append(all, e.Admin)
	}
	return all
}

// ask returns the highest version that a node has in force, and how many nodes
// were asked.
func (c *changer) ask(ctx context.Context, addresses []string) (configuration.Bundle, int) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	heads := make([]configuration.Head, len(addresses))
	var asked sync.WaitGroup
	for i, a := range addresses {
		asked.Go(func() { heads[i], _ = c.peer(a).Head(ctx) })
	}
	asked.Wait()
	best := 0
	for i, h := range heads {
		if h.Version > heads[best].Version {
			best = i
		}
	}
	if len(heads) == 0 || heads[best].Version == 0 {
		return configuration.Bundle{}, len(addresses)
	}
	b, err := configuration.Fetch(ctx, c.peer(addresses[best]), heads[best], configuration.Bundle{})
	if err != nil {
		tell("%s did not give its version %d: %v", addresses[best], heads[best].Version, err)
		return configuration.Bundle{}, len(addresses)
	}
	return b, len(addresses)
}

// peer returns the node with an admin address.
func (c *changer) peer(admin string) configuration.Peer {
	return configuration.Peer{
		HTTP: &http.Client{Timeout: askTimeout, Transport: keyed{key: c.key}},
		URL:  "http://" + admin + node.PathConfiguration,
	}
}

// keyed adds the code of a key to each call.
type keyed struct{ key string }

// RoundTrip makes one call.
func (k keyed) RoundTrip(r *http.Request) (*http.Response, error) {
	if k.key != "" {
		r = r.Clone(r.Context())
		r.Header.Set(node.HeaderAccess, node.Code(k.key, r.URL.Host))
	}
	return http.DefaultTransport.RoundTrip(r)
}

func (f changeFlags) print(r changeResult) error {
	if f.JSON {
		return json.NewEncoder(output).Encode(r)
	}
	for _, line := range r.Difference {
		fmt.Fprintln(output, line)
	}
	for _, d := range r.Drains {
		fmt.Fprintf(output, "drained by command: %s\n", d)
	}
	for _, d := range r.Dropped {
		fmt.Fprintf(output, "drain by command is dropped, its place is gone: %s\n", d)
	}
	if r.Accepted {
		fmt.Fprintf(output, "version %d is accepted\n", r.Version)
	} else {
		fmt.Fprintf(output, "nothing is changed; version %d stands\n", r.Version)
	}
	if r.Nodes != nil {
		r.Nodes.print(r.Version)
	}
	return nil
}
