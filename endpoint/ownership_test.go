package endpoint

// A model of several nodes whose announcements are delayed, lost and reordered between
// connections, and which die, restart, freeze (no events for a while) and get
// configurations at different times.

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

func TestNoTwoOwnersAndNoSlotTwice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt)
		rt.Repeat(map[string]func(*rapid.T){
			"":            w.invariants,
			"start":       w.start,
			"kill":        w.kill,
			"resign":      w.resign,
			"talk":        w.talk,
			"talk again":  w.talk,
			"say":         w.say,
			"deliver":     w.deliver,
			"dial":        w.dial,
			"refuse":      w.refuse,
			"believe":     w.believe,
			"observe":     w.observe,
			"reconfigure": w.reconfigure,
			"apply":       w.apply,
			"admit":       w.admit,
			"admit again": w.admit,
			"release":     w.release,
			"advance":     w.advance,
		})
	})
}

// modelEntry and modelPoint are what an inventory of the model declares.
type modelEntry struct {
	id, domain, peer string
}

type modelPoint struct {
	id, domain, address string
	slots               int
}

// declaration is one version of the model's inventory.
type declaration struct {
	entries  []modelEntry
	points   []modelPoint
	deadline int // seconds
}

const modelHead = `
[rules]
deadline = "4s"
[[region]]
id = "r"
[[domain]]
id = "a"
region = "r"
[[domain]]
id = "b"
region = "r"
`

func (d declaration) parse(rt *rapid.T) *inventory.Inventory {
	var b strings.Builder
	b.WriteString(modelHead)
	fmt.Fprintf(&b, "[[service]]\nid = \"s\"\ndeadline = \"%ds\"\n", d.deadline)
	for _, e := range d.entries {
		fmt.Fprintf(&b, "[[entry]]\nid = %q\ndomain = %q\ncaller = %q\npeer = %q\nadmin = %q\n", e.id, e.domain, e.peer, e.peer, e.peer)
	}
	for _, p := range d.points {
		fmt.Fprintf(&b, "[[endpoint]]\nid = %q\nservice = \"s\"\ndomain = %q\naddress = %q\nslots = %d\nconnections = 9\n", p.id, p.domain, p.address, p.slots)
	}
	inv, err := inventory.Parse("model", []byte(b.String()))
	if err != nil {
		rt.Fatal(err)
	}
	return inv
}

// process is one incarnation of a node.
type process struct {
	*Table
	peer    string // where it listens
	version int
	alive   bool
}

// letter is an announcement under way on one of two connections.
type letter struct {
	from, to     *process
	line         int
	announcement Announcement
}

// call is an attempt to connect.
type call struct {
	by      *process
	to      inventory.EntryID
	peer    string
	since   time.Time
	refused bool
}

// running is a request at an endpoint.
type running struct {
	by       *process
	slot     Slot
	deadline time.Time
}

type world struct {
	now       time.Time
	versions  []*inventory.Inventory
	latest    declaration
	processes []*process
	letters   []letter
	calls     []call
	requests  []running
	count     int // of incarnations and of new ids
}

func newWorld(rt *rapid.T) *world {
	w := &world{now: time.Unix(1_000_000, 0)}
	w.latest = declaration{
		entries:  []modelEntry{{"x", "a", "10.0.0.1:1"}, {"y", "b", "10.0.0.2:1"}, {"z", "a", "10.0.0.3:1"}},
		points:   []modelPoint{{"e", "a", "10.1.0.1:1", 2}, {"f", "b", "10.1.0.2:1", 3}},
		deadline: 3,
	}
	w.versions = append(w.versions, w.latest.parse(rt))
	return w
}

func (w *world) invariants(rt *rapid.T) {
	owner := map[string]inventory.EntryID{}
	for _, p := range w.live() {
		for address, x := range p.points {
			if !x.owned {
				continue
			}
			if other, taken := owner[address]; taken {
				rt.Fatalf("%s and %s own %s", other, p.self, address)
			}
			owner[address] = p.self
		}
	}
}

func (w *world) live() []*process {
	return slices.DeleteFunc(slices.Clone(w.processes), func(p *process) bool { return !p.alive })
}

func (w *world) at(match func(*process) bool) bool { return slices.ContainsFunc(w.live(), match) }

func (w *world) pick(rt *rapid.T, label string) *process {
	live := w.live()
	if len(live) == 0 {
		rt.Skip("nobody lives")
	}
	return rapid.SampledFrom(live).Draw(rt, label)
}

// start begins a process with the newest version. No process starts while one
// lives that the inventory leaves out.
func (w *world) start(rt *rapid.T) {
	inv := w.versions[len(w.versions)-1]
	if w.at(func(p *process) bool { _, ok := inv.Entry(p.self); return !ok }) {
		rt.Skip("one that was left out lives")
	}
	e := rapid.SampledFrom(inv.Entries).Draw(rt, "entry")
	if w.at(func(p *process) bool { return p.self == e.ID }) {
		rt.Skip("it lives")
	}
	w.count++
	p := &process{Table: New(e.ID, inventory.Incarnation(w.count)), peer: e.Peer, version: len(w.versions) - 1, alive: true}
	w.processes = append(w.processes, p)
	p.SetInventory(w.now, inv)
}

func (w *world) kill(rt *rapid.T) { w.pick(rt, "process").alive = false }

func (w *world) resign(rt *rapid.T) { w.pick(rt, "process").Resign(w.now) }

// talk exchanges announcements at once, on a connection of its own.
func (w *world) talk(rt *rapid.T) {
	p, q := w.pick(rt, "one"), w.pick(rt, "other")
	if p == q {
		rt.Skip("the same")
	}
	for range 3 {
		q.Heard(w.now, p.Announcement(q.self))
		p.Heard(w.now, q.Announcement(p.self))
	}
}

func (w *world) say(rt *rapid.T) {
	p, q := w.pick(rt, "from"), w.pick(rt, "to")
	if p == q {
		rt.Skip("the same")
	}
	line := rapid.IntRange(0, 1).Draw(rt, "line")
	w.letters = append(w.letters, letter{from: p, to: q, line: line, announcement: p.Announcement(q.self)})
}

// deliver hands over an announcement that is the oldest on its connection, or loses it.
func (w *world) deliver(rt *rapid.T) {
	if len(w.letters) == 0 {
		rt.Skip("nothing is under way")
	}
	i := rapid.IntRange(0, len(w.letters)-1).Draw(rt, "letter")
	l := w.letters[i]
	i = slices.IndexFunc(w.letters, func(x letter) bool { return x.from == l.from && x.to == l.to && x.line == l.line })
	l = w.letters[i]
	w.letters = slices.Delete(w.letters, i, i+1)
	if l.to.alive && rapid.IntRange(0, 9).Draw(rt, "lost") > 0 {
		l.to.Heard(w.now, l.announcement)
	}
}

// dial begins an attempt to connect; refuse ends it at the other side, believe
// takes in what it showed, after any time.
func (w *world) dial(rt *rapid.T) {
	p := w.pick(rt, "by")
	e := rapid.SampledFrom(w.versions[p.version].Entries).Draw(rt, "to")
	if e.ID != p.self {
		w.calls = append(w.calls, call{by: p, to: e.ID, peer: e.Peer, since: w.now})
	}
}

func (w *world) pickCall(rt *rapid.T, refused bool) int {
	var found []int
	for i, c := range w.calls {
		if c.refused == refused {
			found = append(found, i)
		}
	}
	if len(found) == 0 {
		rt.Skip("no such call")
	}
	return rapid.SampledFrom(found).Draw(rt, "call")
}

func (w *world) refuse(rt *rapid.T) {
	i := w.pickCall(rt, false)
	if w.at(func(p *process) bool { return p.peer == w.calls[i].peer }) {
		w.calls = slices.Delete(w.calls, i, i+1)
		return
	}
	w.calls[i].refused = true
}

func (w *world) believe(rt *rapid.T) {
	i := w.pickCall(rt, true)
	c := w.calls[i]
	w.calls = slices.Delete(w.calls, i, i+1)
	if e, ok := w.versions[c.by.version].Entry(c.to); c.by.alive && (!ok || e.Peer == c.peer) {
		c.by.Dead(w.now, c.to, c.since)
	}
}

// observe is dial, refuse and believe at once.
func (w *world) observe(rt *rapid.T) {
	p := w.pick(rt, "by")
	w.now = w.now.Add(time.Millisecond)
	for _, e := range w.versions[p.version].Entries {
		if e.ID != p.self && !w.at(func(q *process) bool { return q.peer == e.Peer }) {
			p.Dead(w.now, e.ID, w.now)
		}
	}
}

func (w *world) apply(rt *rapid.T) {
	p := w.pick(rt, "process")
	if p.version == len(w.versions)-1 {
		rt.Skip("it has the newest")
	}
	p.version = rapid.IntRange(p.version+1, len(w.versions)-1).Draw(rt, "version")
	p.SetInventory(w.now, w.versions[p.version])
}

func (w *world) admit(rt *rapid.T) {
	p := w.pick(rt, "process")
	s, _ := w.versions[p.version].Service("s")
	deadline := w.now.Add(time.Duration(rapid.Int64Range(1, int64(s.Deadline.Duration)).Draw(rt, "deadline")))
	v := p.Admit(w.now, "s", deadline)
	if v.Ticket != nil {
		p.Cancel(w.now, v.Ticket)
	}
	if v.Slot == nil {
		return
	}
	w.requests = append(w.requests, running{by: p, slot: *v.Slot, deadline: deadline.Add(Transit)})
	busy := 0
	for _, r := range w.requests {
		if r.slot.Address == v.Slot.Address && w.now.Before(r.deadline) {
			busy++
		}
	}
	if busy > p.points[v.Slot.Address].Slots {
		rt.Fatalf("%s has %d requests in %d slots", v.Slot.Address, busy, p.points[v.Slot.Address].Slots)
	}
}

func (w *world) release(rt *rapid.T) {
	if len(w.requests) == 0 {
		rt.Skip("none runs")
	}
	i := rapid.IntRange(0, len(w.requests)-1).Draw(rt, "request")
	r := w.requests[i]
	if r.by.alive {
		r.by.Release(w.now, r.slot, time.Millisecond)
		w.requests = slices.Delete(w.requests, i, i+1)
	}
}

func (w *world) advance(rt *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 6000).Draw(rt, "ms")) * time.Millisecond)
}

// reconfigure accepts a new version with one change.
func (w *world) reconfigure(rt *rapid.T) {
	d := declaration{entries: slices.Clone(w.latest.entries), points: slices.Clone(w.latest.points), deadline: w.latest.deadline}
	w.count++
	e, p := rapid.IntRange(0, len(d.entries)-1).Draw(rt, "entry"), rapid.IntRange(0, len(d.points)-1).Draw(rt, "endpoint")
	other := map[string]string{"a": "b", "b": "a"}
	switch rapid.IntRange(0, 8).Draw(rt, "change") {
	case 0:
		d.entries = append(d.entries, modelEntry{fmt.Sprint("n", w.count), "a", fmt.Sprintf("10.2.0.%d:1", w.count%250)})
	case 1:
		if len(d.entries) > 1 {
			d.entries = slices.Delete(d.entries, e, e+1)
		}
	case 2:
		if !w.at(func(q *process) bool { return string(q.self) == d.entries[e].id }) {
			d.entries[e].peer = fmt.Sprintf("10.3.0.%d:1", w.count%250)
		}
	case 3:
		d.entries[e].domain = other[d.entries[e].domain]
	case 4:
		d.points[p].domain = other[d.points[p].domain]
	case 5:
		d.points[p].id = fmt.Sprint("e", w.count)
	case 6:
		d.points[p].slots = 1 + d.points[p].slots%4
	case 7:
		if len(d.points) > 1 {
			d.points = slices.Delete(d.points, p, p+1)
		} else {
			back := map[string]string{"10.1.0.1:1": "10.1.0.2:1", "10.1.0.2:1": "10.1.0.1:1"}[d.points[0].address]
			d.points = append(d.points, modelPoint{fmt.Sprint("e", w.count), "b", back, 3})
		}
	default:
		d.deadline = 1 + d.deadline%4
	}
	w.latest = d
	w.versions = append(w.versions, d.parse(rt))
}
