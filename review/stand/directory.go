//go:build review

package main

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"
)

const (
	resolveTime  = time.Second // that a client allows a directory
	resolveTries = 3           // directories that a client tries, nearest first
	maxTTL       = 5 * time.Second
)

// directory resolves the addresses of machines for the clients of one zone, as PROTOCOL.md says: it
// asks up to three machines, the nearest first, and keeps the answer for its TtlS, or longer if it
// gets no new one.
type directory struct {
	*deployment
	zone zone
	host string

	mu    sync.Mutex
	addrs []string
	until time.Time
}

// newDirectories returns the directory of each zone.
func newDirectories(d *deployment, host string) []*directory {
	var all []*directory
	for _, z := range d.zones {
		all = append(all, &directory{deployment: d, zone: z, host: host})
	}
	return all
}

// pick returns one of the addresses at random, without those that have failed the client; "" if
// there is none.
func (c *directory) pick(failed ...string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !time.Now().Before(c.until) {
		c.resolve()
	}
	left := slices.DeleteFunc(slices.Clone(c.addrs), func(a string) bool { return slices.Contains(failed, a) })
	if len(left) == 0 {
		return ""
	}
	return left[rand.IntN(len(left))]
}

// resolve asks the directories.
func (c *directory) resolve() {
	for i, m := range c.nearest() {
		if i == resolveTries {
			return
		}
		if addrs, ttl, ok := c.ask(m); ok {
			c.addrs, c.until = addrs, time.Now().Add(ttl)
			return
		}
	}
}

// nearest returns the machines that accept connections for look-ups, those of the zone first, then
// those of its region. A machine that is lost refuses them at once.
func (c *directory) nearest() []*machine {
	all := slices.Clone(c.machines)
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	slices.SortStableFunc(all, func(a, b *machine) int { return c.distance(a) - c.distance(b) })
	return slices.DeleteFunc(all, func(m *machine) bool {
		conn, err := net.DialTimeout("tcp", net.JoinHostPort(m.ip, portDirectory), resolveTime)
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	})
}

func (c *directory) distance(m *machine) int {
	if m.zone == c.zone.name {
		return 0
	}
	for _, z := range c.zones {
		if z.name == m.zone && z.region == c.zone.region {
			return 1
		}
	}
	return 2
}

// ask asks one directory.
func (c *directory) ask(m *machine) (addrs []string, ttl time.Duration, ok bool) {
	query := url.Values{"Name": {c.host}, "Region": {c.zone.region}, "Zone": {c.zone.name}}
	client := http.Client{Timeout: resolveTime, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + net.JoinHostPort(m.ip, portDirectory) + "/wasabiwheel/resolve?" + query.Encode())
	if err != nil {
		return nil, 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	var body struct {
		Addrs []string
		TtlS  float64
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&body) != nil || len(body.Addrs) == 0 {
		return nil, 0, false
	}
	return body.Addrs, min(maxTTL, time.Duration(body.TtlS*float64(time.Second))), true
}

// names reports whether the directory of a machine names the address of another one.
func (c *directory) names(m, other *machine) bool {
	addrs, _, ok := c.ask(m)
	return ok && slices.Contains(addrs, other.front())
}
