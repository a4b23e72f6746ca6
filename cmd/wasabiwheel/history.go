package main

// The commands that read past versions and bring one back.

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiwheel/wasabiwheel/configuration"
	"github.com/wasabiwheel/wasabiwheel/inventory"
)

type historyCommand struct {
	Platform string        `long:"platform" required:"true" value-name:"URL" description:"the platform"`
	Timeout  time.Duration `long:"timeout" default:"10s" description:"how long to try"`
	JSON     bool          `long:"json" description:"print JSON, one line a version"`
}

// Execute prints the accepted versions, newest first.
func (c *historyCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	head, _, err := configuration.Read(ctx, newStore(c.Platform))
	if err != nil {
		return err
	}
	if head.Version == 0 {
		return &Error{Op: "history", Kind: KindFailed, Err: errors.New("no version has been accepted yet")}
	}
	for _, a := range append([]configuration.Accepted{head.Accepted}, head.Log...) {
		if err := c.print(a); err != nil {
			return err
		}
	}
	return nil
}

func (c *historyCommand) print(a configuration.Accepted) error {
	if c.JSON {
		return json.NewEncoder(output).Encode(a)
	}
	_, err := fmt.Fprintf(output, "%d\t%s\t%s\t%s\n", a.Version, a.Time.Format(time.RFC3339), a.Author, a.Note)
	return err
}

type rollbackCommand struct {
	changeFlags
	Args struct {
		Version uint64 `positional-arg-name:"VERSION" description:"the version whose file is put in force again"`
	} `positional-args:"yes" required:"yes"`
}

// Execute publishes the file of a past version as a new one. Drains by command
// stay as they are now.
func (c *rollbackCommand) Execute([]string) error {
	past, err := c.past(inventory.Version(c.Args.Version))
	if err != nil {
		return err
	}
	return c.run(changer{
		flags:   c.changeFlags,
		entries: past.Inventory.Entries,
		change:  configuration.Change{Text: past.Text, Note: fmt.Sprintf("rollback to %d", c.Args.Version)},
	})
}

// past reads a past version from the store.
func (c *rollbackCommand) past(v inventory.Version) (configuration.Content, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	store := newStore(c.Platform)
	head, _, err := configuration.Read(ctx, store)
	if err != nil {
		return configuration.Content{}, err
	}
	a, ok := head.Find(v)
	if !ok {
		return configuration.Content{}, &Error{Op: "rollback", Kind: KindFailed, Err: errors.Newf("the history does not hold version %d", v)}
	}
	b, err := configuration.Fetch(ctx, configuration.StoreSource{Store: store}, configuration.Head{Accepted: a}, configuration.Bundle{})
	if err != nil {
		return configuration.Content{}, err
	}
	return b.Open()
}
