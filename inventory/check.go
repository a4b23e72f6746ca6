package inventory

// Checks of a decoded inventory. The first error found is reported, with its line
// and key.

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

// Limits and defaults of declared values.
const (
	maxTimeout           = 10 * time.Minute // far longer than a caller waits
	maxPriority          = 100              // as many ranks as a person can distinguish
	defaultTimeout       = 5 * time.Second
	defaultAttempts      = 2
	defaultHeaderBytes   = 16 << 10         // bytes; common servers accept this much
	defaultBodyBytes     = 64 << 20         // bytes
	defaultHeaderTimeout = 3 * time.Second  // a slow link transfers 16 KB in less
	defaultIdleTimeout   = 15 * time.Second // shorter than the idle timeout of common NATs
)

// Read reads and checks an inventory file. It fails with an *Error.
func Read(file string) (*Inventory, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{Op: "read", Kind: KindRead, File: file, Err: err}
	}
	return Parse(file, data)
}

// Parse decodes and checks an inventory in TOML. The file name is used only in
// errors. It fails with an *Error.
func Parse(file string, data []byte) (*Inventory, error) {
	inv := &Inventory{}
	lines, err := Decode(file, data, inv)
	if err != nil {
		return nil, err
	}
	inv.setDefaults()
	c := &checker{inv: inv, file: file, lines: lines, ids: map[string]bool{}}
	if err := c.check(); err != nil {
		return nil, err
	}
	return inv, nil
}

// setDefaults sets omitted values to their defaults.
func (inv *Inventory) setDefaults() {
	l := &inv.Limits
	if l.MaxHeaderBytes == 0 {
		l.MaxHeaderBytes = defaultHeaderBytes
	}
	if l.MaxBodyBytes == 0 {
		l.MaxBodyBytes = defaultBodyBytes
	}
	if l.HeaderTimeout.Duration == 0 {
		l.HeaderTimeout.Duration = defaultHeaderTimeout
	}
	if l.IdleTimeout.Duration == 0 {
		l.IdleTimeout.Duration = defaultIdleTimeout
	}
	for i := range inv.Routes {
		inv.Routes[i].setDefaults()
	}
}

func (r *Route) setDefaults() {
	if r.Timeout.Duration == 0 {
		r.Timeout.Duration = defaultTimeout
	}
	if r.Objective.Duration == 0 {
		r.Objective = r.Timeout
	}
	if r.Attempts == 0 {
		r.Attempts = defaultAttempts
	}
}

// checker holds the state that the checks share. err is the first error.
type checker struct {
	inv   *Inventory
	file  string
	lines Lines
	err   error
	ids   map[string]bool // declared ids, as "table id"
}

func (c *checker) check() error {
	c.limits()
	c.regionsAndDomains()
	c.links()
	c.services()
	c.routes()
	c.organisations()
	c.endpoints()
	c.entries()
	c.drains()
	c.coverage()
	return c.err
}

// fail records the first error, with the line of table.i.key or, if the key is
// absent, the line of the table's header.
func (c *checker) fail(kind Kind, table string, i int, key, format string, args ...any) {
	row := fmt.Sprintf("%s.%d", table, i)
	c.failAt(kind, row, row+"."+key, errors.Newf(format, args...))
}

func (c *checker) failAt(kind Kind, table, path string, cause error) {
	if c.err != nil {
		return
	}
	line, ok := c.lines[path]
	if !ok {
		line = c.lines[table]
	}
	c.err = &Error{Op: "check", Kind: kind, File: c.file, Line: line, Key: path, Err: cause}
}

// declare checks an id and adds it to the declared ones.
func (c *checker) declare(table string, i int, id string) {
	if !ValidID(id) {
		c.fail(KindRange, table, i, "id", "id %q is empty or contains a space, a control character, '/', '?' or '#'", id)
	}
	key := table + " " + id
	if c.ids[key] {
		c.fail(KindDuplicate, table, i, "id", "%s %q is declared twice", table, id)
	}
	c.ids[key] = true
}

// ValidID reports whether id is valid. Ids become parts of URLs.
func ValidID(id string) bool {
	return id != "" && !strings.ContainsAny(id, " /?#") && strings.IndexFunc(id, unicode.IsControl) < 0
}

// reference checks that an id of a kind is declared.
func (c *checker) reference(table string, i int, key, kind, id string) {
	if !c.ids[kind+" "+id] {
		c.fail(KindDangling, table, i, key, "no %s %q", kind, id)
	}
}

func (c *checker) address(table string, i int, key, addr string) {
	if err := CheckAddress(addr); err != nil {
		c.fail(KindRange, table, i, key, "%v", err)
	}
}

// CheckAddress fails unless addr is an IP address with a port other than 0.
func CheckAddress(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	portNumber, portErr := strconv.ParseUint(port, 10, 16)
	if err != nil || net.ParseIP(host) == nil || portErr != nil || portNumber == 0 {
		return errors.Newf("%q is not an IP address with a port", addr)
	}
	return nil
}

func (c *checker) limits() {
	l := c.inv.Limits
	for _, row := range []struct {
		key string
		bad bool
	}{
		{"header", l.MaxHeaderBytes < 0},
		{"body", l.MaxBodyBytes < 0},
		{"receive", l.HeaderTimeout.Duration < 0},
		{"idle", l.IdleTimeout.Duration < 0},
	} {
		if row.bad {
			c.failAt(KindRange, "limits", "limits."+row.key, errors.Newf("%s is negative", row.key))
		}
	}
	if c.inv.Delay.Duration < 0 {
		c.failAt(KindRange, "delay", "delay", errors.New("delay is negative"))
	}
}

func (c *checker) regionsAndDomains() {
	for i, r := range c.inv.Regions {
		c.declare("region", i, string(r.ID))
	}
	for i, d := range c.inv.Domains {
		c.declare("domain", i, string(d.ID))
		c.reference("domain", i, "region", "region", string(d.Region))
	}
}

func (c *checker) links() {
	seen := map[string]bool{}
	for i, l := range c.inv.Links {
		c.reference("link", i, "from", "region", string(l.From))
		c.reference("link", i, "to", "region", string(l.To))
		if l.From == l.To {
			c.fail(KindRange, "link", i, "to", "a link needs two regions")
		}
		if l.Delay.Duration < 0 {
			c.fail(KindRange, "link", i, "delay", "delay is negative")
		}
		pair := fmt.Sprint(min(l.From, l.To), " ", max(l.From, l.To))
		if seen[pair] {
			c.fail(KindDuplicate, "link", i, "to", "link between %q and %q is declared twice", l.From, l.To)
		}
		seen[pair] = true
	}
}

func (c *checker) services() {
	for i, s := range c.inv.Services {
		c.declare("service", i, string(s.ID))
		if s.Health != "" && !strings.HasPrefix(s.Health, "/") {
			c.fail(KindRange, "service", i, "health", "path %q does not start with a slash", s.Health)
		}
		if s.Connections < 0 {
			c.fail(KindRange, "service", i, "connections", "connections is negative")
		}
		if s.Warmup.Duration < 0 {
			c.fail(KindRange, "service", i, "warmup", "warmup is negative")
		}
		if s.ColdRate < 0 {
			c.fail(KindRange, "service", i, "pace", "pace is negative")
		}
		c.hedge("service", i, s.Hedge)
	}
}

func (c *checker) routes() {
	seen := map[string]RouteID{}
	for i, r := range c.inv.Routes {
		c.declare("route", i, string(r.ID))
		if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			c.fail(KindRange, "route", i, "prefix", "prefix %q does not start and end with a slash", r.Prefix)
		}
		if other, dup := seen[r.Host+r.Prefix]; dup {
			c.fail(KindDuplicate, "route", i, "prefix", "same host and prefix as route %q", other)
		}
		seen[r.Host+r.Prefix] = r.ID
		c.routeBounds(i, r)
		c.trafficSplit(i, r)
		for _, home := range r.HomeRegions {
			c.reference("route", i, "homes", "region", string(home))
		}
	}
}

// routeBounds checks the numeric values of a route.
func (c *checker) routeBounds(i int, r Route) {
	if r.Timeout.Duration < 0 || r.Timeout.Duration > maxTimeout {
		c.fail(KindRange, "route", i, "timeout", "timeout %s is not in 0..%s", r.Timeout, maxTimeout)
	}
	if r.Objective.Duration < 0 || r.Objective.Duration > r.Timeout.Duration {
		c.fail(KindRange, "route", i, "objective", "objective %s is not in 0..%s, the timeout", r.Objective, r.Timeout)
	}
	if r.Priority < 0 || r.Priority > maxPriority {
		c.fail(KindRange, "route", i, "priority", "priority %d is not in 0..%d", r.Priority, maxPriority)
	}
	if r.Attempts < 1 {
		c.fail(KindRange, "route", i, "attempts", "%d attempts; at least 1 is required", r.Attempts)
	}
	c.hedge("route", i, r.Hedge)
}

// hedge checks the share of requests that may be sent twice.
func (c *checker) hedge(table string, i int, s *Share) {
	if s != nil && !s.IsValid() {
		c.fail(KindRange, table, i, "hedge", "hedge %g is not in 0..1", *s)
	}
}

// IsValid reports whether a share is from 0 to 1.
func (s Share) IsValid() bool { return s >= 0 && s <= 1 }

func (c *checker) trafficSplit(i int, r Route) {
	total := 0.0
	for _, p := range r.TrafficSplit {
		c.reference("route", i, "part", "service", string(p.Service))
		if p.Weight < 0 {
			c.fail(KindRange, "route", i, "part", "weight of service %q is negative", p.Service)
		}
		total += p.Weight
	}
	if total <= 0 {
		c.fail(KindEmpty, "route", i, "part", "route %q has no part with a weight", r.ID)
	}
}

func (c *checker) endpoints() {
	addresses := map[string]EndpointID{}
	for i, e := range c.inv.Endpoints {
		c.declare("endpoint", i, string(e.ID))
		c.reference("endpoint", i, "service", "service", string(e.Service))
		c.reference("endpoint", i, "domain", "domain", string(e.Domain))
		c.address("endpoint", i, "address", e.Address)
		if e.Slots <= 0 {
			c.fail(KindRange, "endpoint", i, "slots", "%d slots; at least 1 is required", e.Slots)
		}
		if other, dup := addresses[e.Address]; dup {
			c.fail(KindDuplicate, "endpoint", i, "address", "same address as endpoint %q", other)
		}
		addresses[e.Address] = e.ID
	}
}

func (c *checker) entries() {
	for i, e := range c.inv.Entries {
		c.declare("entry", i, string(e.ID))
		c.reference("entry", i, "domain", "domain", string(e.Domain))
		c.address("entry", i, "caller", e.Caller)
		c.address("entry", i, "lookup", e.Lookup)
		c.address("entry", i, "peer", e.Peer)
		c.address("entry", i, "admin", e.Admin)
	}
}

func (c *checker) drains() {
	for i, d := range c.inv.Drains {
		if (d.Region == "") == (d.Domain == "") {
			c.fail(KindRange, "drain", i, "region", "a drain names exactly one region or domain")
		}
		if d.Region != "" {
			c.reference("drain", i, "region", "region", string(d.Region))
		}
		if d.Domain != "" {
			c.reference("drain", i, "domain", "domain", string(d.Domain))
		}
	}
}

// coverage rejects an inventory whose drains cover all endpoints of a service that
// has any.
func (c *checker) coverage() {
	drained := map[DomainID]bool{}
	for _, d := range c.inv.Drained() {
		drained[d] = true
	}
	declared, available := map[ServiceID]int{}, map[ServiceID]int{}
	for _, e := range c.inv.Endpoints {
		declared[e.Service]++
		if !drained[e.Domain] {
			available[e.Service]++
		}
	}
	last := len(c.inv.Drains) - 1
	for _, s := range c.inv.Services {
		if declared[s.ID] > 0 && available[s.ID] == 0 {
			c.fail(KindEmpty, "drain", last, "region", "drains leave service %q with no endpoint", s.ID)
		}
	}
}
