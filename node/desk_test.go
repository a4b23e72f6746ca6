package node

// Callers that follow look-ups, for tests of what they see while nodes come and
// go.

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/lookup"
)

// desks is a group of callers and what they were told.
type desks struct {
	r     *rig
	pause time.Duration // between the requests of one caller
	wait  sync.WaitGroup
	stop  chan struct{}

	mu       sync.Mutex
	outcomes map[string]int     // by "METHOD outcome"
	keys     map[string]Outcome // what was last said of each once-only operation
}

// startDesks lets one caller of each block send, a look-up request and a
// once-only operation in turn, until finish.
func (r *rig) startDesks(pause time.Duration) *desks {
	d := &desks{r: r, pause: pause, stop: make(chan struct{}), outcomes: map[string]int{}, keys: map[string]Outcome{}}
	for i, b := range r.inv.Blocks {
		d.wait.Go(func() { d.run(i, b.ID) })
	}
	return d
}

// finish lets the callers end and returns how often the targets ran what was
// said to have run, and what was not.
func (d *desks) finish() (lost, doubled, wrong int) {
	close(d.stop)
	d.wait.Wait()
	for key, said := range d.keys {
		times := d.r.timesRun(key)
		switch {
		case times > 1:
			doubled++
		case said == OutcomeRan && times == 0:
			lost++
		case said == OutcomeNotRun && times > 0:
			wrong++
		}
	}
	return lost, doubled, wrong
}

// desk is one caller with the look-up that it keeps.
type desk struct {
	*desks
	block inventory.BlockID
	known lookup.Answer
	asked time.Time
	first int // the entry VM that it asks first
}

func (d *desks) run(number int, block inventory.BlockID) {
	c := &desk{desks: d, block: block, first: number}
	service := d.r.inv.Services[1].ID
	for i := 0; ; i++ {
		select {
		case <-d.stop:
			return
		case <-time.After(d.pause):
		}
		if i%2 == 0 {
			c.send(http.MethodGet, "/serve/catalogue/lamps/7", "")
			continue
		}
		c.send(http.MethodPost, "/serve/"+string(service)+"/x", fmt.Sprintf("~operation-%d-%d", number, i))
	}
}

// send sends one request, and again elsewhere while no answer came.
func (c *desk) send(method, path, random string) {
	said, key := Outcome("lost"), ""
	for range 4 {
		entries := c.lookup()
		if len(entries) == 0 {
			continue
		}
		if random != "" && key == "" {
			key = entries[0].Token + random
		}
		got := c.try(entries, method, path, key)
		if got.err == nil {
			said = got.outcome
			break
		}
		c.asked = time.Time{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[method+" "+string(said)]++
	if key != "" {
		c.keys[key] = said
	}
}

func (c *desk) try(entries []lookup.Entry, method, path, key string) reply {
	got := reply{err: context.Canceled}
	for _, e := range entries {
		got = c.r.send(c.r.t.Context(), e.ID, method, path, key, "")
		if got.err == nil {
			return got
		}
	}
	return got
}

// lookup asks again when the answer is too old, any entry VM that answers.
func (c *desk) lookup() []lookup.Entry {
	if time.Since(c.asked) < lookup.TTL {
		return c.known.Entries
	}
	for i := range c.r.inv.Entries {
		e := c.r.inv.Entries[(c.first+i)%len(c.r.inv.Entries)]
		got := c.r.send(c.r.t.Context(), e.ID, http.MethodGet, "/lookup?service=catalogue&block="+string(c.block), "", "")
		var a lookup.Answer
		if got.err == nil && got.status == http.StatusOK && json.Unmarshal(got.body, &a) == nil && len(a.Entries) > 0 {
			c.known, c.asked = a, time.Now()
			return a.Entries
		}
	}
	return nil
}
