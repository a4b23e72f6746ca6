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
memory = 284
descriptors = 4100
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
}

// node is a process of the system.
type node struct {
	name   string
	front  string
	ready  string
	cmd    *exec.Cmd
	exited chan struct{}
	once   sync.Once
}

func newDeployment(r *recorder) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	return &deployment{recorder: r, dir: dir, store: s}, err
}

// end ends all processes that were started.
func (d *deployment) end() {
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
	args := append([]any{name}, append(ports, d.store.address())...)
	if err := os.WriteFile(file, []byte(fmt.Sprintf(template, args...)), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(d.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	n := &node{name: name, front: ports[0].(string), ready: ports[2].(string), exited: make(chan struct{})}
	n.cmd = exec.Command("target/wasabiwheel", "node", "--settings", file)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := n.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = n.cmd.Wait()
		close(n.exited)
	}()
	d.nodes = append(d.nodes, n)
	for range 100 {
		if n.isReady() {
			return n, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil, fmt.Errorf("%s is not ready after 10 s", name)
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

func (n *node) kill() {
	n.once.Do(func() {
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGKILL)
		<-n.exited
	})
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
