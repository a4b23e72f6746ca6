package main

// The lookup and status commands.

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiwheel/wasabiwheel/caller"
	"github.com/wasabiwheel/wasabiwheel/endpoint"
	"github.com/wasabiwheel/wasabiwheel/node"
)

const (
	queryTimeout  = 5 * time.Second
	maxReplyBytes = 4 << 20
)

type lookupCommand struct {
	Node   string `long:"node" required:"true" value-name:"ADDRESS" description:"lookup address of any node"`
	Region string `long:"region" description:"region of the caller"`
	Domain string `long:"domain" description:"failure domain of the caller"`
	JSON   bool   `long:"json" description:"print JSON"`
}

// Execute prints the addresses of the entry VMs that the node returns.
func (c *lookupCommand) Execute([]string) error {
	query := url.Values{"region": {c.Region}, "domain": {c.Domain}}
	var response caller.LookupResponse
	if err := getJSON("http://"+c.Node+caller.PathLookup+"?"+query.Encode(), &response); err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(output).Encode(response)
	}
	for _, e := range response.Entries {
		fmt.Fprintln(output, e)
	}
	return nil
}

type statusCommand struct {
	Admin    []string `long:"admin" value-name:"ADDRESS" description:"admin address of a node (may be repeated)"`
	Platform string   `long:"platform" value-name:"ADDRESS" description:"address of the platform's store; queries all nodes registered in it"`
	JSON     bool     `long:"json" description:"print JSON, one line per node"`
}

// Execute prints the status of each node that responds. It fails if a node does not.
func (c *statusCommand) Execute([]string) error {
	admins, err := c.addresses()
	if err != nil {
		return err
	}
	var silent error
	for _, a := range admins {
		s, err := node.FetchStatus(a, queryTimeout)
		if err != nil {
			silent = errors.CombineErrors(silent, errors.Wrapf(err, "node at %s", a))
			continue
		}
		if err := c.print(s); err != nil {
			return err
		}
	}
	if silent != nil {
		return &Error{Op: "status", Kind: KindNetwork, Err: silent}
	}
	return nil
}

func (c *statusCommand) addresses() ([]string, error) {
	if (len(c.Admin) == 0) == (c.Platform == "") {
		return nil, &Error{Op: "status", Kind: KindUsage, Err: errors.New("give either --admin or --platform")}
	}
	admins := c.Admin
	if c.Platform != "" {
		ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
		defer cancel()
		entries, err := readEntries(ctx, c.Platform)
		if err != nil {
			return nil, err
		}
		for _, e := range entries {
			admins = append(admins, e.AdminAddress)
		}
	}
	return admins, nil
}

func (c *statusCommand) print(s node.Status) error {
	if c.JSON {
		return json.NewEncoder(output).Encode(s)
	}
	fmt.Fprintf(output, "%s\t%s\tversion %d\talive %v\tdrained %v\tinflight %d\tendpoints %s\n", s.Entry, s.State, s.Version, s.Alive, s.Drained, s.InFlight, s.Reach)
	if s.Organisations > 0 {
		fmt.Fprintf(output, "\torganisations %d\tproof %.1f s\n", s.Organisations, s.Proof)
	}
	for _, e := range s.Endpoints {
		fmt.Fprintf(output, "\t%s\t%s\t%s\tslots %d\tinflight %d\tbusy %.1f%s\n", e.ID, e.Service, e.Domain, e.Slots, e.InFlight, e.Requests, endpointFlags(e))
	}
	return nil
}

// getJSON fetches a JSON document of at most maxReplyBytes and decodes it into out.
func getJSON(address string, out any) error {
	client := &http.Client{Timeout: queryTimeout}
	resp, err := client.Get(address)
	if err != nil {
		return &Error{Op: "get", Kind: KindNetwork, Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return &Error{Op: "get", Kind: KindResponse, Err: errors.Newf("%s: %s", address, resp.Status)}
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(out); err != nil {
		return &Error{Op: "get", Kind: KindResponse, Err: err}
	}
	return nil
}

// endpointFlags lists the flags that are set for an endpoint, each preceded by a
// tab.
func endpointFlags(e endpoint.Status) string {
	text := ""
	for _, f := range []struct {
		name string
		set  bool
	}{{"draining", e.Draining}, {"leaving", e.Leaving > 0}, {"paused", e.Pause > 0}, {"cold", e.Cold}, {"resting", e.Backoff}, {"replaced", e.Replaced}} {
		if f.set {
			text += "\t" + f.name
		}
	}
	return text
}
