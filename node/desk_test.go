package node

// Callers that send without end, for tests of what they see while nodes and
// targets come and go.

import (
	"net/http"
	"sync"
	"time"

	"github.com/wasabiwheel/wasabiwheel/caller"
)

// desks is a group of callers and what they were told.
type desks struct {
	r     *rig
	pause time.Duration // between the requests of one caller
	wait  sync.WaitGroup
	stop  chan struct{}

	mu       sync.Mutex
	outcomes map[string]int            // by "METHOD outcome"
	told     map[string]caller.Outcome // of each once-only operation, by key
}

// startDesks lets one caller of each block read and have a once-only operation
// done in turn, until finish.
func (r *rig) startDesks(pause time.Duration) *desks {
	d := &desks{r: r, pause: pause, stop: make(chan struct{}), outcomes: map[string]int{}, told: map[string]caller.Outcome{}}
	var nodes []string
	for _, e := range r.inv.Entries {
		nodes = append(nodes, e.Caller)
	}
	for _, b := range r.inv.Blocks {
		d.wait.Go(func() { d.run(caller.New(caller.Options{Nodes: nodes, Block: b.ID, HTTP: r.caller})) })
	}
	return d
}

func (d *desks) run(c *caller.Client) {
	for i := 0; ; i++ {
		select {
		case <-d.stop:
			return
		case <-time.After(d.pause):
		}
		op := caller.Operation{Service: "catalogue", Method: http.MethodGet, Path: "/lamps/7"}
		if i%2 == 1 {
			op = caller.Operation{Service: d.r.inv.Services[1].ID, Method: http.MethodPost, Path: "/x", Once: true}
		}
		r, err := c.Call(d.r.t.Context(), op)
		if err != nil {
			r.Outcome = "broken"
		}
		d.note(op.Method, r)
	}
}

func (d *desks) note(method string, r caller.Reply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outcomes[method+" "+string(r.Outcome)]++
	if r.Key != "" {
		d.told[r.Key] = r.Outcome
	}
}

// faults is what callers got that they should not have got.
type faults struct{ lost, doubled, wrong, unanswered int }

// finish lets the callers end and compares what they were told with what the
// targets ran.
func (d *desks) finish() faults {
	close(d.stop)
	d.wait.Wait()
	var f faults
	for key, told := range d.told {
		times := d.r.timesRun(key)
		switch {
		case times > 1:
			f.doubled++
		case told == caller.OutcomeRan && times == 0:
			f.lost++
		case told == caller.OutcomeNotRun && times > 0:
			f.wrong++
		}
	}
	for _, method := range []string{"GET ", "POST "} {
		f.unanswered += d.outcomes[method+"unknown"] + d.outcomes[method+"broken"]
	}
	return f
}
