package region_test

// A model of whole deployments on a model clock: nodes whose clocks drift, that
// are paused, restarted and cut off, a store that loses answers and goes down,
// and callers that take whatever they can get. The moves of all nodes are
// counted in true time.

import (
	"encoding/binary"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/lease"
	"github.com/wasabiwheel/wasabiwheel/region"
)

const (
	modelStep  = 16 * time.Millisecond // divides no second, so that windows are not aligned
	modelSteps = 6000
	modelSeed  = "20261204"
)

// declared is an inventory with two regions of entry VMs and a cap between them.
func declared(t testing.TB, weigh string, north, south, rate int) *inventory.Inventory {
	var b strings.Builder
	fmt.Fprintf(&b, "[rules]\nweigh = %q\ndelay = \"5ms\"\n", weigh)
	b.WriteString("[[service]]\nid = \"s\"\nidempotent = [\"GET /\"]\n")
	for i, r := range []string{"north", "south"} {
		fmt.Fprintf(&b, "[[region]]\nid = %q\n[[domain]]\nid = \"%s-a\"\nregion = %q\n[[domain]]\nid = \"%s-b\"\nregion = %q\n", r, r, r, r, r)
		fmt.Fprintf(&b, "[[endpoint]]\nid = \"e%d\"\nservice = \"s\"\ndomain = \"%s-a\"\naddress = \"127.1.2.%d:80\"\nslots = 4\nconnections = 9\n", i, r, i+1)
		for k := range []int{north, south}[i] {
			fmt.Fprintf(&b, "[[entry]]\nid = \"%s-%d\"\ndomain = \"%s-%c\"\n", r, k, r, 'a'+k%2)
			for _, port := range []string{"caller", "peer", "admin"} {
				fmt.Fprintf(&b, "%s = \"127.1.%d.%d:%d\"\n", port, 10+i, k+1, 7000+len(port))
			}
		}
	}
	b.WriteString("[[link]]\nfrom = \"north\"\nto = \"south\"\ndelay = \"12ms\"\nmbit = 8\n")
	fmt.Fprintf(&b, "[[cap]]\nservice = \"s\"\nfrom = \"north\"\nto = \"south\"\nrate = %d\n", rate)
	inv, err := inventory.Parse("model", []byte(b.String()))
	if err != nil {
		t.Fatal(err)
	}
	return inv
}

// modelNode is one entry VM's process with a clock of its own.
type modelNode struct {
	id          inventory.EntryID
	incarnation inventory.Incarnation
	rate        float64
	wakes       time.Duration // paused until then
	cut         bool          // from the store and from the other nodes
	idle        time.Duration // its callers send nothing until then
	regions     *region.Table
	lease       *lease.Table
	granter     *lease.Granter
	inv         *inventory.Inventory
}

// letter is a message under way.
type letter struct {
	due     time.Duration
	deliver func()
}

type model struct {
	random *rand.Rand
	now    time.Duration // true time
	nodes  []*modelNode
	plans  []*inventory.Inventory // that the operators change between
	mail   []letter
	moves  []time.Duration
	record lease.Record
	stored int           // version of the lease object, 0: none
	spread time.Duration // no further change until then
	down   bool
	burst  bool // callers send more than may move
	bursts int  // one in so many steps
	idles  int  // callers of a node fall silent once in so many steps
	faults int  // how often nodes fail, in some measure
}

var modelStart = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// clock is the time as a node sees it.
func (m *model) clock(n *modelNode) time.Time {
	return modelStart.Add(time.Duration(float64(m.now) * n.rate))
}

func (m *model) post(after time.Duration, deliver func()) {
	m.mail = append(m.mail, letter{due: m.now + after, deliver: deliver})
}

func (m *model) latency() time.Duration { return time.Duration(m.random.IntN(300)) * time.Millisecond }

func (m *model) boot(n *modelNode) {
	n.incarnation++
	n.regions = region.New(n.id, m.random)
	n.lease = lease.New(n.id, m.random)
	n.granter = lease.NewGranter()
	m.adopt(n, n.inv)
}

func (m *model) adopt(n *modelNode, inv *inventory.Inventory) {
	n.inv = inv
	n.regions.SetInventory(m.clock(n), inv)
	n.granter.SetInventory(inv)
}

// spread is the time in which a change reaches all nodes that run.
const spread = 8 * time.Second

// change puts another inventory in force, at each node at its own time.
func (m *model) change() {
	if m.now < m.spread {
		return
	}
	m.spread = m.now + spread
	inv := m.plans[m.random.IntN(len(m.plans))]
	for _, n := range m.nodes {
		m.post(time.Duration(m.random.Int64N(int64(spread))), func() { m.arrive(n, inv) })
	}
}

// arrive lets a change wait for a node that is paused.
func (m *model) arrive(n *modelNode, inv *inventory.Inventory) {
	if m.now < n.wakes {
		m.post(n.wakes-m.now+m.latency(), func() { m.arrive(n, inv) })
		return
	}
	m.adopt(n, inv)
}

// take moves whatever the node may move; it is seen at the given true time.
func (m *model) take(n *modelNode, at time.Duration) {
	move := region.Move{Service: "s", From: "north", To: "south"}
	for {
		p, refusal := n.regions.Take(m.clock(n), move)
		if refusal != nil {
			return
		}
		n.regions.Done(m.clock(n), p, region.Result{})
		m.moves = append(m.moves, at)
	}
}

// work is one step of a node.
func (m *model) work(n *modelNode) {
	if m.now < n.wakes {
		return
	}
	if n.wakes == 0 || m.random.IntN(3) == 0 {
		n.regions.Tick(m.clock(n))
		n.wakes = 0
	}
	switch k := m.random.IntN(100_000); {
	case k < 5*m.faults: // paused between the decision and the sending
		n.wakes = m.now + time.Duration(m.random.IntN(15000))*time.Millisecond
		m.take(n, n.wakes)
	case k < 8*m.faults:
		m.boot(n)
	case k < 11*m.faults:
		n.cut = !n.cut
	case k < 8_000:
		m.ask(n)
	case k < 16_000:
		m.follow(n)
	}
	if m.random.IntN(m.idles) == 0 {
		n.idle = m.now + time.Duration(m.random.IntN(5000))*time.Millisecond
	}
	if m.now >= n.wakes && m.now >= n.idle && m.burst {
		m.take(n, m.now)
	}
}

// follow is a look at the lease.
func (m *model) follow(n *modelNode) {
	a := n.lease.Next(m.clock(n), true)
	if a.Do == lease.Wait || m.down || n.cut {
		if a.Do == lease.Write {
			n.lease.Failed()
		}
		return
	}
	table := n.lease
	m.post(m.latency(), func() { m.atStore(n, table, a) })
}

// atStore carries out a call, whose answer may be lost.
func (m *model) atStore(n *modelNode, table *lease.Table, a lease.Action) {
	won := false
	if a.Do == lease.Write && a.Match == m.version() {
		m.stored++
		m.record = a.Record
		won = true
	}
	version, record, lost := m.version(), m.record, m.random.IntN(5) == 0
	m.post(m.latency(), func() {
		now := m.clock(n)
		switch {
		case a.Do == lease.Read && !lost && version == "":
			table.Absent(now)
		case a.Do == lease.Read && !lost:
			table.Observed(now, version, record)
		case a.Do == lease.Write && (lost || !won):
			table.Failed()
		case a.Do == lease.Write:
			table.Written(now, version)
		}
	})
}

func (m *model) version() lease.Version {
	if m.stored == 0 {
		return ""
	}
	return lease.Version(fmt.Sprint(m.stored))
}

// ask sends a question to every node, as if each were the holder.
func (m *model) ask(n *modelNode) {
	var wants []lease.Grant
	for _, w := range n.regions.Wants(m.clock(n)) {
		wants = append(wants, lease.Grant(w))
	}
	asked, asker, table := m.clock(n), lease.Asker{Entry: n.id, Incarnation: n.incarnation}, n.regions
	for _, to := range m.nodes {
		if n.cut != to.cut || len(wants) == 0 {
			continue
		}
		m.post(m.latency(), func() { m.answer(to, n, table, asker, asked, wants) })
	}
}

func (m *model) answer(holder, n *modelNode, table *region.Table, asker lease.Asker, asked time.Time, wants []lease.Grant) {
	if m.now < holder.wakes {
		m.post(holder.wakes-m.now, func() { m.answer(holder, n, table, asker, asked, wants) })
		return
	}
	now := m.clock(holder)
	epoch, may := holder.lease.MayGrant(now)
	if !may {
		return
	}
	var got []region.Grant
	for _, g := range holder.granter.Grant(now, epoch, asker, wants) {
		got = append(got, region.Grant(g))
	}
	m.post(m.latency(), func() { _ = table.Grant(asked, lease.GrantTime, region.Epoch(epoch), got) })
}

// step lets time pass by one step.
func (m *model) step() {
	m.now += modelStep
	if m.random.IntN(1500) == 0 {
		m.down = !m.down
	}
	if m.random.IntN(1000) == 0 {
		m.change()
	}
	m.burst = m.random.IntN(m.bursts) == 0
	due := m.mail
	m.mail = nil
	for _, l := range due {
		if l.due <= m.now {
			l.deliver()
		} else {
			m.mail = append(m.mail, l)
		}
	}
	for _, n := range m.nodes {
		m.work(n)
	}
}

// worst is the largest number of moves in any window of a second.
func (m *model) worst() int {
	slices.Sort(m.moves)
	worst, from := 0, 0
	for i, at := range m.moves {
		for at-m.moves[from] >= time.Second {
			from++
		}
		worst = max(worst, i-from+1)
	}
	return worst
}

func TestSumOfMovesStaysUnderCap(t *testing.T) {
	plans := []*inventory.Inventory{declared(t, "latency", 3, 3, 40), declared(t, "latency", 4, 4, 40), declared(t, "latency", 2, 4, 40)}
	for name, plans := range map[string][]*inventory.Inventory{"steady": plans[:1], "changing": plans} {
		t.Run(name, func(t *testing.T) {
			rapidSeed(t, "25")
			rapid.Check(t, func(rt *rapid.T) {
				seed := binary.BigEndian.Uint64(rapid.SliceOfN(rapid.Byte(), 8, 8).Draw(rt, "seed"))
				m := &model{random: rand.New(rand.NewPCG(seed, seed)), plans: plans}
				m.bursts = rapid.SampledFrom([]int{1, 5, 40}).Draw(rt, "bursts")
				m.idles = rapid.SampledFrom([]int{80, 300}).Draw(rt, "idles")
				m.faults = rapid.SampledFrom([]int{0, 1, 3}).Draw(rt, "faults")
				m.run()
				if worst := m.worst(); worst > 40 {
					rt.Fatalf("%d moves in a second under a cap of 40", worst)
				}
			})
		})
	}
}

// run lets all nodes work through the whole time.
func (m *model) run() {
	for _, e := range m.plans[len(m.plans)/2].Entries {
		n := &modelNode{id: e.ID, inv: m.plans[0], rate: 0.99 + 0.01*float64(m.random.IntN(3))}
		m.nodes = append(m.nodes, n)
		m.boot(n)
	}
	for range modelSteps {
		m.step()
	}
}

// rapidSeed fixes the seed and the number of checks of a test.
func rapidSeed(t *testing.T, checks string) {
	for name, value := range map[string]string{"rapid.seed": modelSeed, "rapid.checks": checks, "rapid.nofailfile": "true", "rapid.shrinktime": "1s"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
}
