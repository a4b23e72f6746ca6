package soak

// Node processes, which are restarted whenever they exit.

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/wasabiwheel/wasabiwheel/node"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

const (
	restartDelay  = 300 * time.Millisecond // from the exit of a process to the next start
	killMargin    = 500 * time.Millisecond // after the grace, until a process is killed
	maxResidentMB = 128                    // required limit of the resident memory of a process, in MB
	maxLogLine    = 1 << 20                // bytes of a log line
)

// CommandNode is the command of the program that runs a node whose links to the endpoints can be cut.
const CommandNode = "soak-node"

// process is a node process with its settings, its program, and the proxies in front
// of its addresses.
type process struct {
	standin.Program
	index        int
	settingsFile string // path of the settings
	linksFile    string // path of the cut of its links to endpoints
	endpoints    string // prefix of the addresses of endpoints
	source       string // IP address from which it connects to them
	checker      *Checker
	log          io.Writer

	caller, lookup, peer, store *standin.Proxy

	mu       sync.Mutex
	settings node.Settings
}

// start starts the process.
func (p *process) start(binary string) error {
	out, lines := io.Pipe()
	p.Path, p.Args = binary, []string{CommandNode, "--settings", p.settingsFile, "--links", p.linksFile, "--endpoints", p.endpoints, "--source", p.source}
	p.Stdout, p.Stderr, p.RestartDelay = lines, &stderrMonitor{p: p}, restartDelay
	p.Started = func() { p.checker.SetRunning(time.Now(), p.index, true) }
	p.Ended = func(state *os.ProcessState, stopRequested bool) {
		p.checker.SetRunning(time.Now(), p.index, false)
		if !stopRequested {
			p.checker.RecordViolation(time.Now(), "exit", fmt.Sprintf("node %d exited unexpectedly: %v", p.index, state))
		}
	}
	p.Failed = func(err error) {
		p.checker.RecordViolation(time.Now(), "start", fmt.Sprintf("node %d: %v", p.index, err))
	}
	go p.readLog(out)
	return p.Start()
}

// logLine is the part of a log line that is checked.
type logLine struct {
	Msg string `json:"msg"`
}

// readLog copies the log and checks each line.
func (p *process) readLog(out io.Reader) {
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		var l logLine
		if err := json.Unmarshal(lines.Bytes(), &l); err != nil || l.Msg == "" {
			p.checker.RecordViolation(time.Now(), "log", fmt.Sprintf("node %d logged an invalid line: %q", p.index, lines.Text()))
		}
		if strings.HasPrefix(l.Msg, "invariant") {
			p.checker.RecordViolation(time.Now(), "invariant", fmt.Sprintf("node %d: %s", p.index, lines.Text()))
		}
		_, _ = fmt.Fprintf(p.log, "%s\n", lines.Text()) // a failure to write the copy is not a fault of the system
	}
}

// stderrMonitor receives the standard error of a node: the reason of a failure, or the
// trace of a crash.
type stderrMonitor struct{ p *process }

// Write copies the output to the log and records a crash.
func (m *stderrMonitor) Write(data []byte) (int, error) {
	for _, mark := range []string{"panic:", "fatal error:", "DATA RACE", "goroutine "} {
		if bytes.Contains(data, []byte(mark)) {
			m.p.checker.RecordViolation(time.Now(), "crash", fmt.Sprintf("node %d: %s", m.p.index, bytes.TrimSpace(data)))
			break
		}
	}
	return m.p.log.Write(data)
}

// stillRunning stands for the exit code of a process that has not exited.
const stillRunning = -2

// kill sends SIGKILL to the process.
func (p *process) kill() {
	endFault := p.checker.BeginFault(time.Now(), ScopeOfNode(p.index))
	<-p.Signal(syscall.SIGKILL, true)
	time.Sleep(restartDelay)
	endFault(time.Now())
}

// stop sends SIGTERM to the process, and kills it killMargin after its grace.
func (p *process) stop() {
	began := time.Now()
	endFault := p.checker.BeginFault(began, scopeOfStop(p.index))
	defer func() { endFault(time.Now()) }()
	exited := p.Signal(syscall.SIGTERM, true)
	p.mu.Lock()
	grace := p.settings.Bounds.Grace.Duration
	p.mu.Unlock()
	select {
	case <-exited:
		p.checker.CheckStop(time.Now(), p.index, began, p.Code())
		time.Sleep(restartDelay)
	case <-time.After(grace + killMargin):
		p.checker.CheckStop(time.Now(), p.index, began, stillRunning)
		p.kill()
	}
}

// freeze suspends the process for a while.
func (p *process) freeze(d time.Duration) {
	endFault := p.checker.BeginFault(time.Now(), ScopeOfNode(p.index))
	p.Signal(syscall.SIGSTOP, false)
	time.Sleep(d)
	p.Signal(syscall.SIGCONT, false)
	endFault(time.Now())
}

// reload changes a setting and, for two of three variants, sends SIGHUP.
func (p *process) reload(variant int) {
	p.mu.Lock()
	p.settings.Bounds.TTL.Duration = time.Duration(1+variant%4) * time.Second
	s := p.settings
	p.mu.Unlock()
	if err := s.Write(p.settingsFile); err != nil {
		p.checker.RecordViolation(time.Now(), "start", err.Error())
	}
	if variant%3 > 0 { // otherwise the process has to detect the change of the file
		p.Signal(syscall.SIGHUP, false)
	}
}

// checkMemory checks the resident memory of the process against its limit.
func (p *process) checkMemory() {
	if mb := p.Resident() >> 20; mb > maxResidentMB {
		p.checker.RecordViolation(time.Now(), "memory", fmt.Sprintf("node %d has %d MB resident; the limit is %d", p.index, mb, maxResidentMB))
	}
}
