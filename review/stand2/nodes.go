//go:build review

package stand2

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

// Must ends the case with status 2, since it can't run.
func Must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "can't run:", err)
		os.Exit(2)
	}
}

// Record writes what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord opens the file that the first argument of the case names.
func NewRecord() *Record {
	name := "record.txt"
	if len(os.Args) > 1 {
		name = os.Args[1]
	}
	f, err := os.Create(name)
	Must(err)
	return &Record{file: f, start: time.Now()}
}

// Add writes a line.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

// HasTrouble reports whether the disruption is played.
func HasTrouble() bool { return os.Getenv("TROUBLE") != "0" }

// Node is a process of the system.
type Node struct {
	Name                              string
	Front, Ready, Control, Dir, Admin string
	zone, folder, settings, store     string
	seeds                             []string
	cmd                               *exec.Cmd
	done                              chan struct{}
	Extra                             string // lines of the table bounds
}

// FreeAddress returns a free address.
func FreeAddress() string {
	l := Listen()
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// Zones are those of the deployment.
var Zones = []string{"centro-a", "norte-a", "sur-a"}

// NewNodes returns nodes, one in each zone by turns, that are not started yet.
func NewNodes(count int, store *Store) []*Node {
	folder, err := os.MkdirTemp("", "review2")
	Must(err)
	var all []*Node
	for i := range count {
		all = append(all, &Node{
			Name: fmt.Sprintf("edge-%s-%d", Zones[i%len(Zones)], i/len(Zones)+1), zone: Zones[i%len(Zones)], folder: folder, store: store.Address,
			Front: FreeAddress(), Ready: FreeAddress(), Control: FreeAddress(), Dir: FreeAddress(), Admin: FreeAddress(),
		})
	}
	for _, n := range all {
		for _, other := range all[:min(3, len(all))] {
			n.seeds = append(n.seeds, `"`+other.Control+`"`)
		}
	}
	return all
}

// Start starts the process with the command of the deploy file. The settings are what the template of
// the deploy file gives for a machine of lumbre-mx, with loopback addresses.
func (n *Node) Start() {
	n.settings = filepath.Join(n.folder, n.Name+".toml")
	text := fmt.Sprintf(`front = "platform"
id = %q
domain = %q
caller = %q
lookup = %q
ready = %q
peer = %q
admin = %q
platform = %q
seeds = [%s]
`, n.Name, n.zone, n.Front, n.Dir, n.Ready, n.Control, n.Admin, n.store, strings.Join(n.seeds, ","))
	for _, z := range Zones {
		text += fmt.Sprintf("[[domains]]\nid = %q\nregion = %q\n", z, strings.TrimSuffix(z, "-a"))
	}
	text += `[vm]
share = 0.32
memory = 284
descriptors = 4100
link = 1000.0
[hedge]
share = 0
[bounds]
drain = "2s"
grace = "6s"
ttl = "5s"
contact = "3s"
apply = "2s"
shift = 0.15
` + n.Extra + `
[bounds.retry]
ratio = 0.2
slack = 58
window = "10s"
[bounds.cold]
excess = 1.5
slack = 5
`
	Must(os.WriteFile(n.settings, []byte(text), 0o600))
	program, err := filepath.Abs("target/wasabiwheel")
	Must(err)
	n.cmd = exec.Command(program, "node", "--settings", n.settings)
	log, err := os.OpenFile(filepath.Join(n.folder, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	Must(err)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	Must(n.cmd.Start())
	n.done = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) { _ = c.Wait(); close(done) }(n.cmd, n.done)
}

// Log returns the file that the process writes its log to.
func (n *Node) Log() string { return filepath.Join(n.folder, n.Name+".log") }

// Signal sends a signal to the process.
func (n *Node) Signal(s os.Signal) { _ = n.cmd.Process.Signal(s) }

// HasEnded reports whether the process has ended.
func (n *Node) HasEnded() bool {
	select {
	case <-n.done:
		return true
	default:
		return false
	}
}

// Wait waits until the process has ended.
func (n *Node) Wait() { <-n.done }

// Pid returns the id of the process.
func (n *Node) Pid() int { return n.cmd.Process.Pid }

// AwaitReady waits until all nodes are ready, for 20 s at most.
func AwaitReady(nodes []*Node) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	end := time.Now().Add(20 * time.Second)
	for _, n := range nodes {
		for {
			resp, err := client.Get("http://" + n.Ready + "/wasabiwheel/ready")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				Must(fmt.Errorf("%s is not ready: %v", n.Name, err))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// StopAll ends the processes, and removes their files.
func StopAll(nodes []*Node) {
	for _, n := range nodes {
		if n.cmd != nil && !n.HasEnded() {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Kill()
			<-n.done
		}
	}
	if os.Getenv("KEEP") == "" && len(nodes) > 0 {
		_ = os.RemoveAll(nodes[0].folder)
	}
}
