//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// zone is a failure domain of an installation.
type zone struct{ name, region string }

// installation holds what SYSTEM.md says of an installation.
type installation struct {
	zones  []zone
	nodes  []string // zone of each machine
	bounds string   // [bounds] of the settings
	maxFds int
	memory int // MB
}

var association = installation{
	zones: []zone{{"vigo", "galicia"}, {"santander", "cantabria"}, {"bilbao", "euskadi"}, {"coruna", "galicia"}, {"oviedo", "cantabria"}, {"pamplona", "euskadi"}},
	nodes: []string{"vigo", "vigo", "santander", "santander", "bilbao", "coruna", "oviedo", "pamplona"},
	bounds: `[bounds]
drain = "2.5s"
grace = "6s"
ttl = "5s"
contact = "4s"
[bounds.retry]
ratio = 0.2
slack = 56
window = "10s"
[bounds.cold]
excess = 1.5
slack = 5
`,
	maxFds: 4100,
	memory: 284,
}

var lumbre = installation{
	zones: []zone{{"centro-a", "centro"}, {"centro-b", "centro"}, {"norte-a", "norte"}, {"norte-b", "norte"}, {"sur-a", "sur"}, {"sur-b", "sur"}},
	nodes: []string{"centro-a", "centro-a", "norte-a", "norte-a", "sur-a", "sur-a", "centro-b", "norte-b", "sur-b"},
	bounds: `[bounds]
drain = "2s"
grace = "6s"
ttl = "5s"
contact = "3s"
[bounds.retry]
ratio = 0.2
slack = 58
window = "10s"
[bounds.cold]
excess = 1.5
slack = 5
`,
	maxFds: 4100,
	memory: 284,
}

const (
	portFront, portControl, portDirectory, portReady, portAdmin = "8381", "8382", "8383", "8388", "9464"

	readyTimeout = 20 * time.Second
)

// machine is a machine of the installation and its node process.
type machine struct {
	name, ip, zone string
	settings       string
	log            *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
}

// deployment is a running installation on loopback addresses.
type deployment struct {
	installation
	program  string // of the node
	dir      string // temporary
	prefix   string // of the addresses of machines
	store    *store
	address  string // of the store
	server   *http.Server
	machines []*machine
	record   *record
	limitFds bool // the machines' processes may open maxFds descriptors, as DEPLOY.md says

	mu      sync.Mutex
	stopped bool // no further process is started
}

// newDeployment serves the store and writes the settings. It starts no node.
func newDeployment(in installation, program, dir string, rec *record) (*deployment, error) {
	d := &deployment{installation: in, program: program, dir: dir, store: newStore(), record: rec}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.address, d.server = l.Addr().String(), &http.Server{Handler: d.store}
	go func() { _ = d.server.Serve(l) }()
	if err := d.findAddresses(); err != nil {
		return nil, err
	}
	counts := map[string]int{}
	for i, z := range in.nodes {
		counts[z]++
		m := &machine{name: fmt.Sprintf("edge-%s-%d", z, counts[z]), ip: d.ip(i), zone: z}
		m.settings = filepath.Join(dir, m.name+".toml")
		d.machines = append(d.machines, m)
	}
	for _, m := range d.machines {
		if err := os.WriteFile(m.settings, []byte(d.settingsOf(m)), 0o600); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func (d *deployment) ip(i int) string { return fmt.Sprintf("%s.%d", d.prefix, 10+i) }

// findAddresses finds a loopback network whose ports are free.
func (d *deployment) findAddresses() error {
	var err error
	for range 50 {
		d.prefix = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250))
		if err = d.areFree(); err == nil {
			return nil
		}
	}
	return err
}

func (d *deployment) areFree() error {
	for i := range d.nodes {
		for _, port := range []string{portFront, portControl, portDirectory, portReady, portAdmin} {
			l, err := net.Listen("tcp", net.JoinHostPort(d.ip(i), port))
			if err != nil {
				return err
			}
			_ = l.Close()
		}
	}
	return nil
}

// settingsOf fills in platform/settings.toml as the platform does.
func (d *deployment) settingsOf(m *machine) string {
	var b strings.Builder
	fmt.Fprintf(&b, "front = \"platform\"\nid = %q\ndomain = %q\n", m.name, m.zone)
	fmt.Fprintf(&b, "caller = \"%s:%s\"\nlookup = \"%s:%s\"\nready = \"%s:%s\"\npeer = \"%s:%s\"\nadmin = \"%s:%s\"\n",
		m.ip, portFront, m.ip, portDirectory, m.ip, portReady, m.ip, portControl, m.ip, portAdmin)
	var seeds []string
	for i := range min(3, len(d.machines)) {
		seeds = append(seeds, fmt.Sprintf("\"%s:%s\"", d.machines[i].ip, portControl))
	}
	fmt.Fprintf(&b, "platform = %q\nseeds = [%s]\n", d.address, strings.Join(seeds, ","))
	for _, z := range d.zones {
		fmt.Fprintf(&b, "[[domains]]\nid = %q\nregion = %q\n", z.name, z.region)
	}
	fmt.Fprintf(&b, "[vm]\nshare = 0.32\nmemory = %d\ndescriptors = %d\n%s", d.memory, d.maxFds, d.bounds)
	return b.String()
}

// startNode starts the node of a machine with the command of the deploy file.
func (d *deployment) startNode(m *machine) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return nil
	}
	if m.log == nil {
		f, err := os.Create(filepath.Join(d.dir, m.name+".log"))
		if err != nil {
			return err
		}
		m.log = f
	}
	cmd := exec.Command(d.program, "node", "--settings", m.settings)
	if d.limitFds {
		cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d; exec \"$0\" node --settings \"$1\"", d.maxFds), d.program, m.settings)
	}
	cmd.Stdout, cmd.Stderr = m.log, m.log
	if err := cmd.Start(); err != nil {
		return err
	}
	m.mu.Lock()
	m.cmd = cmd
	m.mu.Unlock()
	d.record.line("started machine=%s pid=%d", m.name, cmd.Process.Pid)
	return nil
}

// start starts all nodes and waits until they are ready.
func (d *deployment) start() error {
	for _, m := range d.machines {
		if err := d.startNode(m); err != nil {
			return err
		}
	}
	for _, m := range d.machines {
		if err := d.awaitReady(m); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) awaitReady(m *machine) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if isReady(m) {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", m.name)
}

// isReady asks a node whether it is ready, as the platform does each second.
func isReady(m *machine) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + net.JoinHostPort(m.ip, portReady) + "/wasabiwheel/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// machineAt returns the machine with an address for requests.
func (d *deployment) machineAt(address string) *machine {
	for _, m := range d.machines {
		if m.front() == address {
			return m
		}
	}
	return nil
}

func (m *machine) front() string { return net.JoinHostPort(m.ip, portFront) }

// signal sends a signal to the node's process.
func (d *deployment) signal(m *machine, s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		d.record.line("signal %d machine=%s pid=%d", s, m.name, m.cmd.Process.Pid)
		_ = m.cmd.Process.Signal(s)
	}
}

// kill kills the node's process and waits for its end.
func (d *deployment) kill(m *machine) {
	d.signal(m, syscall.SIGKILL)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		_ = m.cmd.Wait()
		m.cmd = nil
	}
}

// resident returns the resident memory of the node's process in bytes.
func (m *machine) resident() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", m.cmd.Process.Pid))
	var size, pages int
	if err != nil {
		return 0
	}
	_, _ = fmt.Sscan(string(data), &size, &pages)
	return pages * os.Getpagesize()
}

// stop ends all processes of the deployment.
func (d *deployment) stop() {
	d.mu.Lock()
	d.stopped = true
	d.mu.Unlock()
	for _, m := range d.machines {
		d.kill(m)
		if m.log != nil {
			_ = m.log.Close()
		}
	}
	_ = d.server.Close()
}

func countDescriptors(pid int) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return len(entries)
}
