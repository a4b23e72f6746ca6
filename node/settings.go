package node

// The settings of one node: what it must know before it can read anything.

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// Settings is what a node reads at its start, and again when it is told to.
type Settings struct {
	ID     inventory.EntryID  `toml:"id"`
	Domain inventory.DomainID `toml:"domain"`
	Caller string             `toml:"caller"` // address for requests, host:port
	Lookup string             `toml:"lookup"` // address for look-ups
	Ready  string             `toml:"ready"`  // address that tells whether the node is ready; "": that for look-ups
	Peer   string             `toml:"peer"`   // address for other nodes
	// Announce is the address for other nodes as these reach it; "": Peer.
	Announce string `toml:"announce"`
	Admin    string `toml:"admin"` // address for operators: status and metrics
	// Seeds are addresses of nodes, as Announce, which a node asks for what they know if
	// it starts while the store is away. They may be gone, and it may be one of them.
	Seeds []string `toml:"seeds"`
	// Platform is the address of the platform's store, host:port.
	Platform string `toml:"platform"`
	// Front names the protocol with callers and endpoints: "own" or "platform".
	Front string `toml:"front"`
	// Domains are all failure domains of the deployment.
	Domains []inventory.Domain `toml:"domains"`
	VM      VM                 `toml:"vm"`
	Bounds  Bounds             `toml:"bounds"`
}

// VM is what the entry VM has.
type VM struct {
	Share       float64 `toml:"share"`       // of a processor
	Memory      int     `toml:"memory"`      // MB
	Descriptors int     `toml:"descriptors"` // that a process may have open
}

// Bounds are what the deployment holds the system to, and what it grants.
type Bounds struct {
	Drain   inventory.Duration `toml:"drain"`   // until a leaving endpoint gets nothing more
	Grace   inventory.Duration `toml:"grace"`   // from the signal to stop until the process is killed
	TTL     inventory.Duration `toml:"ttl"`     // longest time that callers may keep a look-up
	Contact inventory.Duration `toml:"contact"` // from the end of trouble until all bounds hold again
	Retry   RetryBounds        `toml:"retry"`
	Cold    ColdBounds         `toml:"cold"`
}

// RetryBounds bound further attempts for a service, over all nodes.
type RetryBounds struct {
	Ratio  float64            `toml:"ratio"`  // for each request
	Slack  float64            `toml:"slack"`  // on top, in a window
	Window inventory.Duration `toml:"window"` // in which they are counted
}

// ColdBounds bound the requests to a cold endpoint, over all nodes.
type ColdBounds struct {
	Excess float64 `toml:"excess"` // times the endpoint's pace
	Slack  float64 `toml:"slack"`  // requests a second on top
}

// The protocols with callers and endpoints.
const (
	FrontOwn      = "own"
	FrontPlatform = "platform"
)

// DefaultBounds hold where the settings say nothing.
func DefaultBounds() Bounds {
	return Bounds{
		Drain:   seconds(2),
		Grace:   seconds(6),
		TTL:     seconds(5),
		Contact: seconds(3),
		Retry:   RetryBounds{Ratio: 0.2, Slack: 50, Window: seconds(10)},
		Cold:    ColdBounds{Excess: 1.5, Slack: 5},
	}
}

func seconds(n int) inventory.Duration {
	return inventory.Duration{Duration: time.Duration(n) * time.Second}
}

// ReadSettings reads and checks a settings file. It fails with an
// *inventory.Error that names the file, the line and the key.
func ReadSettings(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, &inventory.Error{Op: "read", Kind: inventory.KindRead, File: file, Err: err}
	}
	return ParseSettings(file, data)
}

// ParseSettings checks settings given as TOML. The file name serves the errors
// only. It fails with an *inventory.Error.
func ParseSettings(file string, data []byte) (Settings, error) {
	s := Settings{Front: FrontOwn, Bounds: DefaultBounds(), VM: VM{Share: 1}}
	lines, err := inventory.Decode(file, data, &s)
	if err != nil {
		return Settings{}, err
	}
	if s.Ready == "" {
		s.Ready = s.Lookup
	}
	if s.Announce == "" {
		s.Announce = s.Peer
	}
	key, err := s.check()
	if err != nil {
		return Settings{}, &inventory.Error{Op: "check", Kind: inventory.KindRange, File: file, Line: lines[key], Key: key, Err: err}
	}
	return s, nil
}

// Write puts the settings in place of a file in one step. It fails with KindWrite.
func (s Settings) Write(file string) error {
	data, err := toml.Marshal(s)
	next := file + ".next"
	if err == nil {
		err = os.WriteFile(next, data, 0o600)
	}
	if err == nil {
		err = os.Rename(next, file)
	}
	if err != nil {
		return &Error{Op: "settings", Kind: KindWrite, Err: err}
	}
	return nil
}

// SettingsOf returns the settings of an entry VM of an inventory, with the store
// at an address.
func SettingsOf(inv *inventory.Inventory, e inventory.Entry, platform string) Settings {
	return Settings{
		ID:       e.ID,
		Domain:   e.Domain,
		Caller:   e.Caller,
		Lookup:   e.Lookup,
		Ready:    e.Lookup,
		Peer:     e.Peer,
		Announce: e.Peer,
		Admin:    e.Admin,
		Seeds:    seedsOf(inv),
		Platform: platform,
		Front:    FrontOwn,
		Domains:  inv.Domains,
		VM:       VM{Share: 1},
		Bounds:   DefaultBounds(),
	}
}

const mostSeeds = 3 // so that one lives

// seedsOf returns the addresses of the first entry VMs of an inventory.
func seedsOf(inv *inventory.Inventory) []string {
	var seeds []string
	for _, e := range inv.Entries[:min(mostSeeds, len(inv.Entries))] {
		seeds = append(seeds, e.Peer)
	}
	return seeds
}

// check returns the first fault with the key that it stands on.
func (s Settings) check() (key string, err error) {
	if !inventory.ValidID(string(s.ID)) {
		return "id", errors.Newf("id %q is empty or has a character that ids may not have", s.ID)
	}
	for _, a := range []struct{ key, address string }{
		{"caller", s.Caller}, {"lookup", s.Lookup}, {"ready", s.Ready},
		{"peer", s.Peer}, {"announce", s.Announce}, {"admin", s.Admin}, {"platform", s.Platform},
	} {
		if err := inventory.CheckAddress(a.address); err != nil {
			return a.key, err
		}
	}
	for _, seed := range s.Seeds {
		if err := inventory.CheckAddress(seed); err != nil {
			return "seeds", err
		}
	}
	if s.Front != FrontOwn && s.Front != FrontPlatform {
		return "front", errors.Newf("%q is neither %q nor %q", s.Front, FrontOwn, FrontPlatform)
	}
	if s.region() == "" {
		return "domain", errors.Newf("failure domain %q is not among the declared ones", s.Domain)
	}
	if s.VM.Share <= 0 {
		return "vm.share", errors.Newf("share %g; more than 0 is needed", s.VM.Share)
	}
	return s.Bounds.check()
}

func (b Bounds) check() (key string, err error) {
	for _, d := range []struct {
		key string
		inventory.Duration
	}{
		{"bounds.drain", b.Drain}, {"bounds.grace", b.Grace}, {"bounds.ttl", b.TTL},
		{"bounds.contact", b.Contact}, {"bounds.retry.window", b.Retry.Window},
	} {
		if d.Duration.Duration <= 0 {
			return d.key, errors.Newf("%s; more than 0 is needed", d.Duration)
		}
	}
	for _, f := range []struct {
		key   string
		value float64
	}{
		{"bounds.retry.ratio", b.Retry.Ratio}, {"bounds.retry.slack", b.Retry.Slack},
		{"bounds.cold.excess", b.Cold.Excess}, {"bounds.cold.slack", b.Cold.Slack},
	} {
		if f.value < 0 {
			return f.key, errors.Newf("%g is negative", f.value)
		}
	}
	return "", nil
}

// region returns the region of the node's failure domain.
func (s Settings) region() inventory.RegionID {
	for _, d := range s.Domains {
		if d.ID == s.Domain {
			return d.Region
		}
	}
	return ""
}
