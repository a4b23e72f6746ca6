package main

// The load command, an open-loop load generator for nodes, or for one target as
// a baseline.

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/wasabiwheel/wasabiwheel/caller"
	"github.com/wasabiwheel/wasabiwheel/inventory"
)

const (
	loadMaxLatency        = 60_000_000 // microseconds, upper bound of the histogram
	loadSignificantDigits = 3          // precision of the histogram
	loadMaxIdleConns      = 512        // idle connections kept to each address
)

type loadCommand struct {
	Node     []string      `long:"node" value-name:"ADDRESS" description:"lookup address of a node (may be repeated)"`
	Target   string        `long:"target" value-name:"ADDRESS" description:"send directly to this target instead, as a baseline"`
	Prefix   string        `long:"prefix" default:"/serve/catalogue/" description:"path prefix of the idempotent requests"`
	Once     string        `long:"once" value-name:"PREFIX" description:"path prefix of the non-idempotent requests"`
	Objects  int           `long:"objects" default:"20" description:"number of distinct objects requested; 0: requests name no object"`
	Share    float64       `long:"share" default:"0" description:"fraction of non-idempotent requests, 0 to 1"`
	Rate     float64       `long:"rate" default:"100" description:"requests per second"`
	Duration time.Duration `long:"duration" default:"5s" description:"time during which requests are sent"`
	Timeout  time.Duration `long:"timeout" default:"2s" description:"timeout of each request"`
	Region   string        `long:"region" description:"region of the callers"`
	Key      string        `long:"key" env:"WASABIWHEEL_KEY" default-mask:"-" description:"key of the callers' organisation"`
	JSON     bool          `long:"json" description:"print JSON"`

	Crowd     int    `long:"crowd" value-name:"NUMBER" description:"connections of callers that misbehave meanwhile"`
	Misbehave string `long:"misbehave" default:"body" choice:"body" choice:"pieces" choice:"chunks" choice:"oversize" choice:"fields" choice:"pipeline" choice:"slowsend" choice:"slowread" choice:"halfway" description:"what the crowd sends"`
	Against   string `long:"against" value-name:"ADDRESS" description:"address that the crowd connects to"`
	Path      string `long:"path" default:"/serve/catalogue/1" description:"path that the crowd requests"`
}

// loadReport is the result of a run. Latencies are in milliseconds.
type loadReport struct {
	Sent     int            `json:"sent"`
	Outcomes map[string]int `json:"outcomes"`
	Goodput  float64        `json:"goodput"` // successful requests per second
	P50      float64        `json:"p50"`
	P90      float64        `json:"p90"`
	P99      float64        `json:"p99"`
	P999     float64        `json:"p999"`
	Max      float64        `json:"max"`
}

// loadRun holds the clients and the measurements of one run of the load command.
type loadRun struct {
	command *loadCommand
	client  *caller.Client
	http    *http.Client

	mu        sync.Mutex
	latencies *hdrhistogram.Histogram // microseconds
	outcomes  map[string]int
}

// Execute generates the load and prints the measurements.
func (c *loadCommand) Execute([]string) error {
	if err := c.check(); err != nil {
		return err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: loadMaxIdleConns}
	client := &http.Client{Transport: transport}
	l := &loadRun{
		command:   c,
		http:      client,
		client:    caller.New(caller.Options{Nodes: c.Node, Region: inventory.RegionID(c.Region), HTTP: client, Key: c.Key}),
		latencies: hdrhistogram.New(1, loadMaxLatency, loadSignificantDigits),
		outcomes:  map[string]int{},
	}
	if c.Crowd > 0 {
		ctx, cancel := context.WithTimeout(context.Background(), c.Duration)
		defer cancel()
		go crowd{address: c.Against, path: c.Path, size: c.Crowd, do: misbehaviours[c.Misbehave]}.run(ctx)
	}
	return l.print(l.run())
}

func (c *loadCommand) check() error {
	switch {
	case (len(c.Node) == 0) == (c.Target == ""):
		return &Error{Op: "load", Kind: KindUsage, Err: errors.New("give either --node or --target")}
	case c.Rate <= 0 || c.Share < 0 || c.Share > 1:
		return &Error{Op: "load", Kind: KindUsage, Err: errors.New("--rate must be above 0 and --share from 0 to 1")}
	case c.Share > 0 && c.Once == "":
		return &Error{Op: "load", Kind: KindUsage, Err: errors.New("--share needs --once")}
	case c.Crowd < 0 || (c.Crowd > 0) != (c.Against != ""):
		return &Error{Op: "load", Kind: KindUsage, Err: errors.New("--crowd and --against are given together")}
	default:
		return nil
	}
}

// run sends requests at the configured rate, independent of response times, and
// returns the number sent.
func (l *loadRun) run() int {
	var wg sync.WaitGroup
	interval := time.Duration(float64(time.Second) / l.command.Rate)
	start := time.Now()
	total := int(l.command.Duration.Seconds() * l.command.Rate)
	for i := range total {
		due := start.Add(time.Duration(i) * interval)
		time.Sleep(time.Until(due))
		wg.Go(func() { l.requestAt(i, due) })
	}
	wg.Wait()
	return total
}

// requestAt sends a request and measures its latency from the time it was due,
// so that a delayed start is included.
func (l *loadRun) requestAt(i int, due time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), l.command.Timeout)
	defer cancel()
	outcome := l.send(ctx, i)
	took := time.Since(due)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[outcome]++
	if outcome == string(caller.OutcomeRan) {
		_ = l.latencies.RecordValue(min(took.Microseconds(), loadMaxLatency))
	}
}

func (l *loadRun) send(ctx context.Context, i int) string {
	if l.command.Target != "" {
		return l.sendDirect(ctx, l.command.Prefix+strconv.Itoa(i))
	}
	op := caller.Operation{Method: http.MethodGet, Path: l.command.Prefix, Timeout: l.command.Timeout, Idempotent: true}
	if isOnceOnly(i, l.command.Share) {
		op = caller.Operation{Method: http.MethodPost, Path: l.command.Once, Timeout: l.command.Timeout}
	}
	op.Path += strconv.Itoa(i)
	if l.command.Objects > 0 {
		op.Object = strconv.Itoa(i % l.command.Objects)
	}
	r, err := l.client.Call(ctx, op)
	switch {
	case err != nil:
		return "broken"
	case r.Outcome == caller.OutcomeRan:
		return string(r.Outcome)
	default:
		return string(r.Outcome) + " " + string(r.Reason)
	}
}

// isOnceOnly reports whether request i is non-idempotent. These requests are
// spread evenly over the run.
func isOnceOnly(i int, share float64) bool { return int(float64(i+1)*share) > int(float64(i)*share) }

func (l *loadRun) sendDirect(ctx context.Context, path string) string {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.command.Target+path, nil)
	if err != nil {
		return "broken"
	}
	resp, err := l.http.Do(req)
	if err != nil {
		return "broken"
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return resp.Status
	}
	return string(caller.OutcomeRan)
}

func (l *loadRun) print(sent int) error {
	millis := func(q float64) float64 { return float64(l.latencies.ValueAtQuantile(q)) / 1000 }
	r := loadReport{
		Sent:     sent,
		Outcomes: l.outcomes,
		Goodput:  float64(l.outcomes[string(caller.OutcomeRan)]) / l.command.Duration.Seconds(),
		P50:      millis(50), P90: millis(90), P99: millis(99), P999: millis(99.9),
		Max: float64(l.latencies.Max()) / 1000,
	}
	if l.command.JSON {
		return json.NewEncoder(output).Encode(r)
	}
	fmt.Fprintf(output, "sent %d, goodput %.1f/s\n", r.Sent, r.Goodput)
	fmt.Fprintf(output, "latency in ms: p50 %.2f, p90 %.2f, p99 %.2f, p99.9 %.2f, max %.2f\n", r.P50, r.P90, r.P99, r.P999, r.Max)
	for _, o := range sortedKeys(r.Outcomes) {
		fmt.Fprintf(output, "%s: %d\n", o, r.Outcomes[o])
	}
	return nil
}

func sortedKeys(m map[string]int) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
