package node

// The settings of one node: what it must know before it can read anything.

import (
	"net"
	"net/url"
	"os"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// Settings is what a node reads at its start.
type Settings struct {
	ID       inventory.EntryID  `toml:"id"`
	Domain   inventory.DomainID `toml:"domain"`
	Caller   string             `toml:"caller"`   // address for callers, host:port
	Peer     string             `toml:"peer"`     // address for other nodes, host:port
	Admin    string             `toml:"admin"`    // address for operators, host:port
	Platform string             `toml:"platform"` // URL of the platform
	// Bootstrap lists peer addresses to ask for the configuration while the
	// platform does not answer.
	Bootstrap []string `toml:"bootstrap"`
	// Lag is by how much the platform's list of VMs may be late.
	Lag inventory.Duration `toml:"lag"`
	// Keys are known to all nodes and operators. Each is accepted, the first is
	// used. With none only processes of the same VM are let in.
	Keys []string `toml:"keys"`
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
	var s Settings
	lines, err := inventory.Decode(file, data, &s)
	if err != nil {
		return Settings{}, err
	}
	key, err := s.check()
	if err != nil {
		return Settings{}, &inventory.Error{Op: "check", Kind: inventory.KindRange, File: file, Line: lines[key], Key: key, Err: err}
	}
	return s, nil
}

// check returns the first fault with the key that it stands on.
func (s Settings) check() (key string, err error) {
	if !inventory.ValidEntryID(s.ID) {
		return "id", errors.Newf("id %q is empty or has a character that ids may not have", s.ID)
	}
	if s.Domain == "" {
		return "domain", errors.New("domain is missing")
	}
	if err := checkAddress(s.Caller); err != nil {
		return "caller", err
	}
	if err := checkAddress(s.Peer); err != nil {
		return "peer", err
	}
	if err := checkAddress(s.Admin); err != nil {
		return "admin", err
	}
	if u, err := url.Parse(s.Platform); err != nil || u.Scheme == "" || u.Host == "" {
		return "platform", errors.Newf("%q is not a URL", s.Platform)
	}
	if s.Lag.Duration < 0 {
		return "lag", errors.New("lag is negative")
	}
	if err := checkKeys(s.Keys); err != nil {
		return "keys", err
	}
	for _, b := range s.Bootstrap {
		if err := checkAddress(b); err != nil {
			return "bootstrap", err
		}
	}
	return "", nil
}

// Agree compares the settings with their entry of an inventory and returns the
// first key that differs.
func (s Settings) Agree(inv *inventory.Inventory) (key string, err error) {
	e, ok := inv.Entry(s.ID)
	if !ok {
		return "id", errors.Newf("the inventory has no entry %q", s.ID)
	}
	for _, c := range []struct{ key, own, declared string }{
		{"domain", string(s.Domain), string(e.Domain)},
		{"caller", s.Caller, e.Caller},
		{"peer", s.Peer, e.Peer},
		{"admin", s.Admin, e.Admin},
	} {
		if c.own != c.declared {
			return c.key, errors.Newf("%q here, %q in the inventory", c.own, c.declared)
		}
	}
	return "", nil
}

func checkAddress(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if number, portErr := strconv.ParseUint(port, 10, 16); err != nil || net.ParseIP(host) == nil || portErr != nil || number == 0 {
		return errors.Newf("%q is not an IP number with a port", addr)
	}
	return nil
}
