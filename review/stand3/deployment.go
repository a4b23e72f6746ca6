//go:build review

package main

// A small deployment: the store, endpoints with their heartbeats, and nodes as processes.

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The names of the deployment, and its bounds as those of the site anrb-reparto.
const (
	host     = "lopu12.example"
	beatTime = 1500 * time.Millisecond // between an endpoint's heartbeats
	contact  = 4 * time.Second         // ContactS
	evacuate = 5 * time.Second         // EvacuateS
)

const template = `front = "platform"
id = "%[1]s"
domain = "vigo"
caller = "%[2]s"
lookup = "%[3]s"
ready = "%[4]s"
peer = "%[5]s"
admin = "%[6]s"
platform = "%[7]s"
seeds = ["%[5]s"]
[[domains]]
id = "vigo"
region = "galicia"
[[domains]]
id = "santander"
region = "cantabria"
[[domains]]
id = "bilbao"
region = "euskadi"
[vm]
share = 0.32
memory = %[8]d
descriptors = %[9]d
link = 1000.0
[hedge]
share = 0
[bounds]
drain = "2.5s"
grace = "6s"
ttl = "5s"
contact = "4s"
apply = "2.5s"
shift = 0.15
[bounds.quota]
[bounds.retry]
ratio = 0.2
slack = 56
window = "10s"
[bounds.cold]
excess = 1.5
slack = 5
`

// deployment holds what a case has started.
type deployment struct {
	*recorder
	dir   string
	store *store
	nodes []*node

	memory, descriptors int // of each machine: MB, and their number

	mu      sync.Mutex // starts and ends of processes
	isEnded bool
}

// node is a process of the system.
type node struct {
	name   string
	file   string // its settings
	front  string
	ready  string
	cmd    *exec.Cmd
	exited chan struct{}
}

func newDeployment(r *recorder) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	return &deployment{recorder: r, dir: dir, store: s, memory: 284, descriptors: 4100}, err
}

// end ends all processes that were started.
func (d *deployment) end() {
	d.mu.Lock()
	d.isEnded = true
	d.mu.Unlock()
	for _, n := range d.nodes {
		n.kill()
	}
	_ = os.RemoveAll(d.dir) // a leftover of the run
}

// configuration returns a configuration with one route for each service, whose prefix is the service's
// name between slashes.
func configuration(version int, routes ...map[string]any) map[string]any {
	services := []any{}
	known := map[any]bool{}
	for _, r := range routes {
		if !known[r["Service"]] {
			known[r["Service"]] = true
			services = append(services, map[string]any{"Name": r["Service"], "HealthPath": "/health", "MaxConns": 330, "ColdS": 3, "ColdPerS": 20})
		}
	}
	return map[string]any{
		"ConfigVersion": version, "Routes": routes, "Services": services,
		"Limits": map[string]any{"HeaderBytes": 16384, "MaxBodyBytes": 1048576, "HeaderTimeoutS": 5, "IdleTimeoutS": 20},
	}
}

// route returns a route of a service.
func route(name, service, kind string, timeoutS float64) map[string]any {
	return map[string]any{
		"Name": name, "Hostname": host, "PathPrefix": "/" + name + "/", "Type": kind, "TimeoutS": timeoutS, "LatencyGoalS": timeoutS / 4,
		"Priority": 0, "Service": service, "MaxAttempts": 3, "Sticky": true, "HomeRegions": []string{},
	}
}

// start starts a node and waits until it is ready.
func (d *deployment) start(name string) (*node, error) {
	ports := make([]any, 0, 5)
	for range 5 {
		a, err := freeAddress()
		if err != nil {
			return nil, err
		}
		ports = append(ports, a)
	}
	file := filepath.Join(d.dir, name+".toml")
	args := append([]any{name}, append(ports, d.store.address(), d.memory, d.descriptors)...)
	if err := os.WriteFile(file, []byte(fmt.Sprintf(template, args...)), 0o600); err != nil {
		return nil, err
	}
	n := &node{name: name, file: file, front: ports[0].(string), ready: ports[2].(string)}
	return n, d.run(n)
}

// run starts a node's process, which must have ended if there was one, and waits until it is ready.
func (d *deployment) run(n *node) error {
	log, err := os.OpenFile(filepath.Join(d.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	cmd := exec.Command("target/wasabiwheel", "node", "--settings", n.file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := d.launch(n, cmd); err != nil {
		return err
	}
	for range 100 {
		if n.isReady() {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready after 10 s", n.name)
}

// launch starts a node's process, unless the deployment has ended.
func (d *deployment) launch(n *node, cmd *exec.Cmd) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isEnded {
		return os.ErrClosed
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.cmd, n.exited = cmd, exited
	if !slices.Contains(d.nodes, n) {
		d.nodes = append(d.nodes, n)
	}
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + n.ready + "/wasabiwheel/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (n *node) signal(s syscall.Signal) { _ = n.cmd.Process.Signal(s) } // it may have ended

// kill ends the node's process, if it runs.
func (n *node) kill() {
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGKILL)
	<-n.exited
}

// command runs a command of the operators' and returns what it prints.
func (d *deployment) command(args ...string) (string, error) {
	out, err := exec.Command("target/wasabiwheel", args...).CombinedOutput()
	d.note("command", "wasabiwheel %s: %s, error %v", strings.Join(args, " "), strings.TrimSpace(string(out)), err)
	return string(out), err
}

// logLines returns the lines of a node's log that contain a text.
func (d *deployment) logLines(name, text string) []string {
	data, _ := os.ReadFile(filepath.Join(d.dir, name+".log")) // an empty log has no lines
	var found []string
	for _, line := range strings.Split(string(data), "\n") {
		if strings.Contains(line, text) {
			found = append(found, line)
		}
	}
	return found
}

func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}
