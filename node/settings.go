package node

// The settings of a node: its static configuration, read before it connects to anything.

import (
	"math"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/wasabiwheel/wasabiwheel/budget"
	"github.com/wasabiwheel/wasabiwheel/discovery"
	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// Settings are read at the start of a node, and again on reload.
type Settings struct {
	ID     inventory.EntryID  `toml:"id"`
	Domain inventory.DomainID `toml:"domain"`
	Caller string             `toml:"caller"` // address for requests, host:port
	Lookup string             `toml:"lookup"` // address for lookups
	Ready  string             `toml:"ready"`  // address for readiness checks; "": Lookup
	Peer   string             `toml:"peer"`   // address for other nodes
	// AdvertisedPeer is the address at which other nodes reach Peer; "": Peer.
	AdvertisedPeer string `toml:"announce"`
	Admin          string `toml:"admin"` // address for operators: status and metrics
	// Seeds are addresses of nodes, as AdvertisedPeer, that a node queries if the store is
	// unreachable when it starts. They may be down, and one may be this node's own.
	Seeds []string `toml:"seeds"`
	// Platform is the address of the platform's store, host:port.
	Platform string `toml:"platform"`
	// Protocol names the protocol with callers and endpoints: "own" or "platform".
	Protocol string `toml:"front"`
	// Domains are all failure domains of the deployment.
	Domains []inventory.Domain `toml:"domains"`
	VM      VM                 `toml:"vm"`
	Bounds  Bounds             `toml:"bounds"`
	Hedge   Hedge              `toml:"hedge"`
}

// Hedge limits the requests that are sent to a second endpoint where neither the route nor the
// service does.
type Hedge struct {
	Share inventory.Share `toml:"share"` // of the requests of a route; 0: none
}

// VM describes the resources of the entry VM.
type VM struct {
	Share       float64 `toml:"share"`       // of a processor
	Memory      int     `toml:"memory"`      // MB
	Descriptors int     `toml:"descriptors"` // that a process may have open
	Link        float64 `toml:"link"`        // Mbit/s of its network link; 0: unknown
}

// link returns the link as other nodes get to know it.
func (v VM) link() float64 {
	if v.Link == 0 {
		return discovery.UnknownLink
	}
	return v.Link
}

// limits returns what callers and the node itself share.
func (v VM) limits() budget.Limits {
	return budget.Limits{Descriptors: v.Descriptors, Memory: int64(v.Memory) << 20}
}

const (
	receivingShare = 8        // a pool may receive this part of the memory
	minReceiving   = 17 << 20 // bytes: enough for one response of the largest size
	mostReceiving  = 24 << 20 // bytes, also where there is more memory
)

// maxReceiving returns the memory for responses that are being received; 0: a default.
func (v VM) maxReceiving() int64 {
	if v.Memory <= 0 {
		return 0
	}
	return min(mostReceiving, max(minReceiving, int64(v.Memory)<<20/receivingShare))
}

// Bounds are the guarantees of the deployment and the limits that it sets.
type Bounds struct {
	Drain    inventory.Duration `toml:"drain"`   // until a draining endpoint receives no more requests
	Grace    inventory.Duration `toml:"grace"`   // from the stop signal until the process is killed
	TTL      inventory.Duration `toml:"ttl"`     // longest time for which callers may cache a lookup
	Recovery inventory.Duration `toml:"contact"` // from the end of a fault until all bounds hold again
	Retry    RetryBounds        `toml:"retry"`
	Cold     ColdBounds         `toml:"cold"`
	// Revocation is the time after which a request with a withdrawn key may not run on any node,
	// whether or not that node reaches the store; 0: no such bound.
	Revocation inventory.Duration `toml:"revoke"`
	Apply      inventory.Duration `toml:"apply"` // until an accepted configuration is in force on all nodes
	Quota      QuotaBounds        `toml:"quota"`
	// Shift is the share of a region's requests that may change the region in which they are
	// served, from one window of two seconds to the next; 0: no such bound.
	Shift float64 `toml:"shift"`
}

// QuotaBounds bound the requests of an organisation beyond its limit, over all nodes.
type QuotaBounds struct {
	Window inventory.Duration `toml:"window"` // in which requests are counted
	Excess float64            `toml:"excess"` // share of the limit that may be exceeded in a window
	Slack  float64            `toml:"slack"`  // requests on top, in a window
}

// RetryBounds bound the retries for a service, over all nodes.
type RetryBounds struct {
	Ratio  float64            `toml:"ratio"`  // retries for each request
	Slack  float64            `toml:"slack"`  // retries on top, in a window
	Window inventory.Duration `toml:"window"` // in which requests and retries are counted
}

// ColdBounds bound the request rate of a cold endpoint, over all nodes.
type ColdBounds struct {
	Excess float64 `toml:"excess"` // multiple of the service's cold rate
	Slack  float64 `toml:"slack"`  // requests a second on top
}

// The protocols with callers and endpoints.
const (
	ProtocolNative   = "own"
	ProtocolPlatform = "platform"
)

// DefaultBounds returns the bounds that apply where the settings give none.
func DefaultBounds() Bounds {
	return Bounds{
		Drain:    seconds(2),
		Grace:    seconds(6),
		TTL:      seconds(5),
		Recovery: seconds(3),
		Retry:    RetryBounds{Ratio: 0.2, Slack: 50, Window: seconds(10)},
		Cold:     ColdBounds{Excess: 1.5, Slack: 5},
		Apply:    seconds(3),
		Quota:    QuotaBounds{Window: seconds(5), Excess: 0.1, Slack: 20},
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

// ParseSettings parses and checks settings in TOML. The file name is used in errors only.
// It fails with an *inventory.Error.
func ParseSettings(file string, data []byte) (Settings, error) {
	s := Settings{Protocol: ProtocolNative, Bounds: DefaultBounds(), VM: VM{Share: 1}}
	lines, err := inventory.Decode(file, data, &s)
	if err != nil {
		return Settings{}, err
	}
	if s.Ready == "" {
		s.Ready = s.Lookup
	}
	if s.AdvertisedPeer == "" {
		s.AdvertisedPeer = s.Peer
	}
	key, err := s.check()
	if err != nil {
		return Settings{}, &inventory.Error{Op: "check", Kind: inventory.KindRange, File: file, Line: lines[key], Key: key, Err: err}
	}
	return s, nil
}

// Write replaces a file with the settings atomically. It fails with KindWrite.
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

// SettingsOf returns the settings of an entry VM of an inventory, with the address of
// the store.
func SettingsOf(inv *inventory.Inventory, e inventory.Entry, platform string) Settings {
	return Settings{
		ID:             e.ID,
		Domain:         e.Domain,
		Caller:         e.Caller,
		Lookup:         e.Lookup,
		Ready:          e.Lookup,
		Peer:           e.Peer,
		AdvertisedPeer: e.Peer,
		Admin:          e.Admin,
		Seeds:          seedsOf(inv),
		Platform:       platform,
		Protocol:       ProtocolNative,
		Domains:        inv.Domains,
		VM:             VM{Share: 1},
		Bounds:         DefaultBounds(),
	}
}

const maxSeeds = 3 // enough that one is up

// seedsOf returns the peer addresses of the first entry VMs of an inventory.
func seedsOf(inv *inventory.Inventory) []string {
	var seeds []string
	for _, e := range inv.Entries[:min(maxSeeds, len(inv.Entries))] {
		seeds = append(seeds, e.Peer)
	}
	return seeds
}

// check returns the first invalid value and its key.
func (s Settings) check() (key string, err error) {
	if !inventory.ValidID(string(s.ID)) {
		return "id", errors.Newf("id %q is empty or contains an invalid character", s.ID)
	}
	for _, a := range []struct{ key, address string }{
		{"caller", s.Caller}, {"lookup", s.Lookup}, {"ready", s.Ready},
		{"peer", s.Peer}, {"announce", s.AdvertisedPeer}, {"admin", s.Admin}, {"platform", s.Platform},
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
	if s.Protocol != ProtocolNative && s.Protocol != ProtocolPlatform {
		return "front", errors.Newf("%q is neither %q nor %q", s.Protocol, ProtocolNative, ProtocolPlatform)
	}
	if s.region() == "" {
		return "domain", errors.Newf("failure domain %q is not declared", s.Domain)
	}
	if s.VM.Link < 0 {
		return "vm.link", errors.Newf("link %g; must not be negative", s.VM.Link)
	}
	if s.VM.Share <= 0 {
		return "vm.share", errors.Newf("share %g; must be greater than 0", s.VM.Share)
	}
	if !s.Hedge.Share.IsValid() {
		return "hedge.share", errors.Newf("share %g; must be from 0 to 1", s.Hedge.Share)
	}
	return s.Bounds.check()
}

func (b Bounds) check() (key string, err error) {
	for _, d := range []struct {
		key string
		inventory.Duration
	}{
		{"bounds.drain", b.Drain}, {"bounds.grace", b.Grace}, {"bounds.ttl", b.TTL},
		{"bounds.contact", b.Recovery}, {"bounds.retry.window", b.Retry.Window},
		{"bounds.apply", b.Apply}, {"bounds.quota.window", b.Quota.Window},
	} {
		if d.Duration.Duration <= 0 {
			return d.key, errors.Newf("%s; must be greater than 0", d.Duration)
		}
	}
	for _, f := range []struct {
		key   string
		value float64
	}{
		{"bounds.retry.ratio", b.Retry.Ratio}, {"bounds.retry.slack", b.Retry.Slack},
		{"bounds.cold.excess", b.Cold.Excess}, {"bounds.cold.slack", b.Cold.Slack},
		{"bounds.quota.excess", b.Quota.Excess}, {"bounds.quota.slack", b.Quota.Slack},
		{"bounds.revoke", b.Revocation.Seconds()}, {"bounds.shift", b.Shift},
	} {
		if math.IsNaN(f.value) {
			return f.key, errors.New("is not a number")
		}
		if f.value < 0 {
			return f.key, errors.Newf("%g is negative", f.value)
		}
	}
	if b.Shift > 1 {
		return "bounds.shift", errors.Newf("%g; a share is at most 1", b.Shift)
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
