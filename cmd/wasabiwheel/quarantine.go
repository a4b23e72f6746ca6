package main

// The quarantine command.

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiwheel/wasabiwheel/node"
	"github.com/wasabiwheel/wasabiwheel/quarantine"
)

type quarantineCommand struct {
	Admin string `long:"admin" required:"true" value-name:"ADDRESS" description:"admin address of any node"`
	Lift  string `long:"lift" value-name:"FINGERPRINT" description:"end the quarantine of this request, at all nodes"`
	JSON  bool   `long:"json" description:"print JSON"`
}

// Execute prints the requests in quarantine, or ends the quarantine of one.
func (c *quarantineCommand) Execute([]string) error {
	address := "http://" + c.Admin + node.PathQuarantine
	if c.Lift != "" {
		return liftQuarantine(address, c.Lift)
	}
	var records []quarantine.Record
	if err := getJSON(address, &records); err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(output).Encode(records)
	}
	for _, r := range records {
		fmt.Fprintf(output, "%s\tuntil %s\t%s\t%s %s\tcrashed %v\trequest %s\n", r.Fingerprint, r.End().UTC().Format(time.RFC3339), r.Sample.Service, r.Sample.Method, r.Sample.URI, r.Endpoints, r.Sample.ID)
	}
	return nil
}

func liftQuarantine(address, fingerprint string) error {
	if _, err := quarantine.Parse(fingerprint); err != nil {
		return &Error{Op: "quarantine", Kind: KindUsage, Err: err}
	}
	client := &http.Client{Timeout: queryTimeout}
	resp, err := client.PostForm(address, url.Values{node.ParameterRequest: {fingerprint}})
	if err != nil {
		return &Error{Op: "quarantine", Kind: KindNetwork, Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes)) // the status alone is an error, too
		return &Error{Op: "quarantine", Kind: KindFailed, Err: errors.Newf("status %d: %s", resp.StatusCode, strings.TrimSpace(string(text)))}
	}
	return nil
}
