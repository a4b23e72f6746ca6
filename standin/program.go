package standin

// A program in a separate process that is restarted whenever it exits, as the platform
// does on a VM.

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// Program runs a program. The fields are set before Start.
type Program struct {
	Path         string
	Args         []string
	Stdout       io.Writer     // receives its standard output
	Stderr       io.Writer     // receives its standard error
	RestartDelay time.Duration // from its exit to the next start; 0: no restart
	// Started is called after each start, Ended after each exit, and Failed if the
	// program can't be restarted; they may be nil. stopRequested says that the process
	// was asked to exit.
	Started func()
	Ended   func(state *os.ProcessState, stopRequested bool)
	Failed  func(error)

	mu            sync.Mutex
	cmd           *exec.Cmd
	incarnation   int  // number of the current process, from 1
	stopRequested bool // the process was asked to exit
	ended         bool // no further starts
	exited        chan struct{}
	state         *os.ProcessState // of the last process that exited
}

// Start starts the program and restarts it until End.
func (p *Program) Start() error {
	if err := p.start(); err != nil {
		return err
	}
	go p.supervise()
	return nil
}

func (p *Program) supervise() {
	for p.awaitExit(); p.RestartDelay > 0; p.awaitExit() {
		time.Sleep(p.RestartDelay)
		err := p.start()
		if err != nil && err != os.ErrClosed && p.Failed != nil {
			p.Failed(err)
		}
		if err != nil {
			return
		}
	}
}

// start starts a process. It fails with os.ErrClosed after End.
func (p *Program) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return os.ErrClosed
	}
	cmd := exec.Command(p.Path, p.Args...)
	cmd.Stdout, cmd.Stderr = p.Stdout, p.Stderr
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.stopRequested, p.exited = cmd, false, make(chan struct{})
	p.incarnation++
	if p.Started != nil {
		p.Started()
	}
	return nil
}

// awaitExit waits until the current process exits.
func (p *Program) awaitExit() {
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	p.mu.Unlock()
	_ = cmd.Wait() // the state holds the relevant result
	p.mu.Lock()
	p.state = cmd.ProcessState
	stopRequested := p.stopRequested || p.ended
	p.mu.Unlock()
	if p.Ended != nil {
		p.Ended(cmd.ProcessState, stopRequested)
	}
	close(exited)
}

// Signal sends a signal to the current process and returns a channel that is closed
// when the process has exited. last states that the signal requests its exit.
func (p *Program) Signal(s syscall.Signal, last bool) (exited <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopRequested = p.stopRequested || last
	_ = p.cmd.Process.Signal(s) // fails if the process has just exited
	return p.exited
}

// End kills the process and stops restarting it.
func (p *Program) End() {
	p.mu.Lock()
	p.ended = true
	p.mu.Unlock()
	<-p.Signal(syscall.SIGKILL, true)
}

// Incarnation returns the number of the current process, from 1.
func (p *Program) Incarnation() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnation
}

// Resident returns the resident memory of the current process in bytes, 0 if it has
// exited.
func (p *Program) Resident() int {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, resident int // pages
	if _, err := fmt.Sscan(string(data), &size, &resident); err != nil {
		return 0
	}
	return resident * os.Getpagesize()
}

// Code returns the exit code of the last process that exited; -1: a signal killed it.
func (p *Program) Code() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.ExitCode()
}

// Pid returns the id of the current process.
func (p *Program) Pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}
