package main

// The queries: look-up and status.

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiwheel/wasabiwheel/lookup"
	"github.com/wasabiwheel/wasabiwheel/node"
)

const (
	queryTimeout = 5 * time.Second
	maxReply     = 4 << 20 // bytes
)

type lookupCommand struct {
	Node    string `long:"node" required:"true" value-name:"ADDRESS" description:"caller address of any node"`
	Service string `long:"service" required:"true" description:"service to use"`
	Block   string `long:"block" description:"the caller's block"`
	Region  string `long:"region" description:"the caller's region, if it has no block"`
	JSON    bool   `long:"json" description:"print JSON"`
}

// Execute asks and prints.
func (c *lookupCommand) Execute([]string) error {
	query := url.Values{"service": {c.Service}, "block": {c.Block}, "region": {c.Region}}
	var a lookup.Answer
	if err := getJSON("http://"+c.Node+"/lookup?"+query.Encode(), &a); err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(output).Encode(a)
	}
	for _, e := range a.Entries {
		fmt.Fprintf(output, "%s\t%s\t%s\n", e.ID, e.Address, e.Token)
	}
	return nil
}

type statusCommand struct {
	Admin []string `long:"admin" required:"true" value-name:"ADDRESS" description:"admin address of a node (may be repeated)"`
	Key   string   `long:"key-file" value-name:"FILE" description:"file with a key of the nodes' settings; not needed on the node's own VM when they have none"`
	JSON  bool     `long:"json" description:"print JSON, one line a node"`
}

// Execute reads and prints the status of each node.
func (c *statusCommand) Execute([]string) error {
	key, err := readKey(c.Key)
	if err != nil {
		return err
	}
	for _, a := range c.Admin {
		s, err := getStatus(a, key)
		if err != nil {
			return err
		}
		if err := c.print(s); err != nil {
			return err
		}
	}
	return nil
}

func (c *statusCommand) print(s node.Status) error {
	if c.JSON {
		return json.NewEncoder(output).Encode(s)
	}
	fmt.Fprintf(output, "%s\t%s\tversion %d\tmembers %v\n", s.Entry, s.State, s.Version, s.Members)
	for _, l := range s.Loads {
		fmt.Fprintf(output, "\t%s\tfree %d of %d\tqueue %d\n", l.Service, l.Free, l.Slots, l.Queue)
	}
	return nil
}

// readKey reads the key of a file; no file means no key.
func readKey(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return "", &Error{Op: "key", Kind: KindUsage, Err: err}
	}
	return strings.TrimSpace(string(data)), nil
}

// getStatus reads the status of the node with an admin address.
func getStatus(admin, key string) (node.Status, error) {
	var s node.Status
	header := http.Header{}
	if key != "" {
		header.Set(node.HeaderAccess, node.Code(key, admin))
	}
	return s, get("http://"+admin+node.PathStatus, header, &s)
}

// getJSON reads one JSON document.
func getJSON(address string, out any) error { return get(address, http.Header{}, out) }

func get(address string, header http.Header, out any) error {
	req, err := http.NewRequest(http.MethodGet, address, nil)
	if err != nil {
		return &Error{Op: "get", Kind: KindUsage, Err: err}
	}
	req.Header = header
	client := &http.Client{Timeout: queryTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return &Error{Op: "get", Kind: KindNetwork, Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return &Error{Op: "get", Kind: KindAnswer, Err: errors.Newf("%s: %s", address, resp.Status)}
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReply)).Decode(out); err != nil {
		return &Error{Op: "get", Kind: KindAnswer, Err: err}
	}
	return nil
}
