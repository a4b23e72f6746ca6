package inventory

// Checks of a decoded inventory. Each fault is reported with the line and the
// key that it stands on; the first one ends the check.

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/cockroachdb/errors"
)

// Limits and defaults of what may be declared.
const (
	maxDeadline     = time.Minute
	defaultDeadline = 5 * time.Second
	defaultQueue    = 64
	defaultCapStep  = 0.05 // fraction of caller blocks per second
)

// Read reads and checks an inventory file. It fails with an *Error.
func Read(file string) (*Inventory, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{Op: "read", Kind: KindRead, File: file, Err: err}
	}
	return Parse(file, data)
}

// Parse checks an inventory given as TOML. The file name serves the errors
// only. It fails with an *Error.
func Parse(file string, data []byte) (*Inventory, error) {
	inv := &Inventory{}
	lines, err := Decode(file, data, inv)
	if err != nil {
		return nil, err
	}
	c := &checker{inv: inv, file: file, lines: lines}
	if err := c.run(); err != nil {
		return nil, err
	}
	return inv, nil
}

// checker carries what the single checks share. err keeps the first fault.
type checker struct {
	inv   *Inventory
	file  string
	lines Lines
	err   error
	ids   map[string]bool
}

func (c *checker) run() error {
	c.ids = map[string]bool{}
	c.inv.index()
	c.rules()
	c.places()
	c.serviceTable()
	c.longestDeadline()
	c.endpoints()
	c.links()
	c.entryTable()
	c.blockTable()
	c.caps()
	c.drains()
	c.coverage()
	return c.err
}

// index builds the tables that queries use. Of duplicates the last one wins,
// which does not matter: they are reported afterwards.
func (inv *Inventory) index() {
	inv.domains = map[DomainID]RegionID{}
	for _, d := range inv.Domains {
		inv.domains[d.ID] = d.Region
	}
	inv.services = map[ServiceID]Service{}
	for _, s := range inv.Services {
		inv.services[s.ID] = s
	}
	inv.entries = map[EntryID]Entry{}
	inv.near = map[RegionID][]EntryID{}
	for _, e := range inv.Entries {
		inv.entries[e.ID] = e
		region := inv.domains[e.Domain]
		inv.near[region] = append(inv.near[region], e.ID)
	}
	inv.blocks = map[BlockID]RegionID{}
	for _, b := range inv.Blocks {
		inv.blocks[b.ID] = b.Region
	}
}

// fail records the first fault, on the line of table.i.key or, when the key is
// absent, on the line of the table's header.
func (c *checker) fail(kind Kind, table string, i int, key, format string, args ...any) {
	if c.err != nil {
		return
	}
	row := fmt.Sprintf("%s.%d", table, i)
	path := row + "." + key
	line, ok := c.lines[path]
	if !ok {
		line = c.lines[row]
	}
	c.err = &Error{Op: "check", Kind: kind, File: c.file, Line: line, Key: path, Err: errors.Newf(format, args...)}
}

func (c *checker) id(table string, i int, id string) {
	if id == "" || strings.ContainsAny(id, " /?#") || strings.IndexFunc(id, unicode.IsControl) >= 0 {
		c.fail(KindRange, table, i, "id", "id %q is empty or has a space, '/', '?' or '#'", id)
	}
	key := table + " " + id
	if c.ids[key] {
		c.fail(KindDuplicate, table, i, "id", "%s %q is declared twice", table, id)
	}
	c.ids[key] = true
}

// ValidEntryID reports whether an id can name an entry VM: it becomes a part of
// the keys of operations, and a part of URLs.
func ValidEntryID(id EntryID) bool {
	return id != "" && !strings.ContainsAny(string(id), " /?#.~") && strings.IndexFunc(string(id), unicode.IsControl) < 0
}

func (c *checker) ref(table string, i int, key, kind, id string) {
	if !c.ids[kind+" "+id] {
		c.fail(KindDangling, table, i, key, "no %s %q", kind, id)
	}
}

func (c *checker) address(table string, i int, key, addr string) {
	host, port, err := net.SplitHostPort(addr)
	number, portErr := strconv.ParseUint(port, 10, 16)
	if err != nil || net.ParseIP(host) == nil || portErr != nil || number == 0 {
		c.fail(KindRange, table, i, key, "%q is not an IP number with a port", addr)
	}
}

func (c *checker) rules() {
	r := &c.inv.Rules
	if r.Weigh == "" {
		r.Weigh = WeighLatency
	}
	if r.Weigh != WeighLatency && r.Weigh != WeighHeadroom {
		c.failRule("weigh", errors.Newf("%q is neither %q nor %q", r.Weigh, WeighLatency, WeighHeadroom))
	}
	if r.DomainDelay.Duration < 0 {
		c.failRule("delay", errors.New("delay is negative"))
	}
	if r.Deadline.Duration < 0 || r.Deadline.Duration > maxDeadline {
		c.failRule("deadline", errors.Newf("deadline %s is not in 0..%s", r.Deadline, maxDeadline))
	}
}

// failRule records the first fault, on the line of a key of the rules.
func (c *checker) failRule(key string, cause error) {
	if c.err != nil {
		return
	}
	path := "rules." + key
	c.err = &Error{Op: "check", Kind: KindRange, File: c.file, Line: c.lines[path], Key: path, Err: cause}
}

func (c *checker) places() {
	for i, r := range c.inv.Regions {
		c.id("region", i, string(r.ID))
	}
	for i, d := range c.inv.Domains {
		c.id("domain", i, string(d.ID))
		c.ref("domain", i, "region", "region", string(d.Region))
	}
}

func (c *checker) serviceTable() {
	for i := range c.inv.Services {
		s := &c.inv.Services[i]
		c.id("service", i, string(s.ID))
		if s.Deadline.Duration == 0 {
			s.Deadline.Duration = defaultDeadline
		}
		if s.Deadline.Duration < 0 || s.Deadline.Duration > maxDeadline {
			c.fail(KindRange, "service", i, "deadline", "deadline %s is not in 0..%s", s.Deadline, maxDeadline)
		}
		if s.Queue == 0 {
			s.Queue = defaultQueue
		}
		if s.Queue < 0 {
			c.fail(KindRange, "service", i, "queue", "queue %d is negative", s.Queue)
		}
		for _, status := range s.Shed {
			if status < 400 || status > 599 {
				c.fail(KindRange, "service", i, "shed", "status %d is not in 400..599", status)
			}
		}
		for _, op := range s.Idempotent {
			method, path, ok := strings.Cut(op, " ")
			if !ok || method == "" || !strings.HasPrefix(path, "/") {
				c.fail(KindRange, "service", i, "idempotent", "%q is not of the form \"METHOD /path\"", op)
			}
		}
	}
	c.inv.index()
}

// longestDeadline holds each service's deadline against that of the rules.
func (c *checker) longestDeadline() {
	longest := &c.inv.Rules.Deadline.Duration
	declared := *longest != 0
	for i, s := range c.inv.Services {
		if declared && s.Deadline.Duration > *longest {
			c.fail(KindRange, "service", i, "deadline", "deadline %s is longer than that of the rules, %s", s.Deadline, *longest)
		}
		if !declared {
			*longest = max(*longest, s.Deadline.Duration)
		}
	}
}

func (c *checker) endpoints() {
	addresses := map[string]EndpointID{}
	for i, e := range c.inv.Endpoints {
		c.id("endpoint", i, string(e.ID))
		c.ref("endpoint", i, "service", "service", string(e.Service))
		c.ref("endpoint", i, "domain", "domain", string(e.Domain))
		c.address("endpoint", i, "address", e.Address)
		if e.Slots <= 0 {
			c.fail(KindRange, "endpoint", i, "slots", "%d slots; at least 1 is needed", e.Slots)
		}
		if e.Connections < e.Slots {
			c.fail(KindRange, "endpoint", i, "connections", "%d connections for %d slots", e.Connections, e.Slots)
		}
		if other, dup := addresses[e.Address]; dup {
			c.fail(KindDuplicate, "endpoint", i, "address", "address of endpoint %q", other)
		}
		addresses[e.Address] = e.ID
	}
}

func (c *checker) links() {
	for i, l := range c.inv.Links {
		c.ref("link", i, "from", "region", string(l.From))
		c.ref("link", i, "to", "region", string(l.To))
		if l.From == l.To {
			c.fail(KindRange, "link", i, "to", "a link needs two regions")
		}
		if l.Mbit <= 0 {
			c.fail(KindRange, "link", i, "mbit", "%g Mbit/s; more than 0 is needed", float64(l.Mbit))
		}
		if l.Delay.Duration < 0 {
			c.fail(KindRange, "link", i, "delay", "delay is negative")
		}
		if first, _ := c.inv.LinkBetween(l.From, l.To); first != l {
			c.fail(KindDuplicate, "link", i, "to", "link between %q and %q is declared twice", l.From, l.To)
		}
	}
}

func (c *checker) entryTable() {
	for i, e := range c.inv.Entries {
		c.id("entry", i, string(e.ID))
		if !ValidEntryID(e.ID) {
			c.fail(KindRange, "entry", i, "id", "id %q is empty or has a character that ids may not have", e.ID)
		}
		c.ref("entry", i, "domain", "domain", string(e.Domain))
		c.address("entry", i, "caller", e.Caller)
		c.address("entry", i, "peer", e.Peer)
		c.address("entry", i, "admin", e.Admin)
	}
}

func (c *checker) blockTable() {
	for i, b := range c.inv.Blocks {
		c.id("block", i, string(b.ID))
		c.ref("block", i, "region", "region", string(b.Region))
	}
}

func (c *checker) caps() {
	seen := map[string]bool{}
	for i := range c.inv.Caps {
		k := &c.inv.Caps[i]
		c.ref("cap", i, "service", "service", string(k.Service))
		c.ref("cap", i, "from", "region", string(k.From))
		c.ref("cap", i, "to", "region", string(k.To))
		if _, ok := c.inv.LinkBetween(k.From, k.To); !ok {
			c.fail(KindDangling, "cap", i, "to", "no link between %q and %q", k.From, k.To)
		}
		if k.Rate < 0 {
			c.fail(KindRange, "cap", i, "rate", "rate is negative")
		}
		if k.Step == 0 {
			k.Step = defaultCapStep
		}
		if k.Step < 0 || k.Step > 1 {
			c.fail(KindRange, "cap", i, "step", "step %g is not in 0..1", k.Step)
		}
		key := fmt.Sprint(k.Service, " ", k.From, " ", k.To)
		if seen[key] {
			c.fail(KindDuplicate, "cap", i, "to", "cap is declared twice")
		}
		seen[key] = true
	}
}

func (c *checker) drains() {
	for i, d := range c.inv.Drains {
		set := 0
		for _, place := range []Drain{{Region: d.Region}, {Domain: d.Domain}, {Endpoint: d.Endpoint}, {Entry: d.Entry}} {
			kind, id := place.place()
			if id == "" {
				continue
			}
			set++
			c.ref("drain", i, kind, kind, id)
		}
		if set != 1 {
			c.fail(KindRange, "drain", i, "region", "a drain names exactly one region, domain, endpoint or entry")
		}
	}
}

// coverage refuses an inventory in which some service has no endpoint left, or
// in which no entry VM is left to serve callers.
func (c *checker) coverage() {
	left := map[ServiceID]int{}
	for _, e := range c.inv.Endpoints {
		if !c.inv.Drained(e) {
			left[e.Service]++
		}
	}
	for i, s := range c.inv.Services {
		if left[s.ID] == 0 {
			c.failCoverage(i, s.ID)
		}
	}
	for _, e := range c.inv.Entries {
		if !c.inv.EntryDrained(e) {
			return
		}
	}
	c.failEntries()
}

// failEntries blames the last drain when there is one.
func (c *checker) failEntries() {
	last := len(c.inv.Drains) - 1
	if last >= 0 {
		key, _ := c.inv.Drains[last].place()
		c.fail(KindEmpty, "drain", last, key, "no entry VM is left")
		return
	}
	if c.err == nil {
		c.err = &Error{Op: "check", Kind: KindEmpty, File: c.file, Key: "entry", Err: errors.New("no entry VM is declared")}
	}
}

// failCoverage blames the last drain when there is one, else the service.
func (c *checker) failCoverage(service int, id ServiceID) {
	last := len(c.inv.Drains) - 1
	if last < 0 {
		c.fail(KindEmpty, "service", service, "id", "service %q has no endpoint", id)
		return
	}
	key, _ := c.inv.Drains[last].place()
	c.fail(KindEmpty, "drain", last, key, "drains leave service %q with no endpoint", id)
}
