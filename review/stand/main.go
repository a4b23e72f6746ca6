//go:build review

// Command stand plays the cases of the review: it starts nodes as separate processes, serves the
// store, the endpoints and the clients, and checks one rule by what these see.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxTime ends a case that hangs.
const maxTime = 118 * time.Second

// run is one run of a case.
type run struct {
	program string // of the node
	dir     string // temporary
	trouble bool   // whether the disruption happens
	record  *record
	cleanup []func()
}

// deploy creates a deployment that is stopped at the end.
func (r *run) deploy(in installation) (*deployment, error) {
	d, err := newDeployment(in, r.program, r.dir, r.record)
	if err == nil {
		r.cleanup = append(r.cleanup, d.stop)
	}
	return d, err
}

func (r *run) close() {
	for _, f := range r.cleanup {
		f()
	}
	r.record.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	}
}

// cases holds the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(*run) (broken bool, err error){
	"accept": playAccept,
	"memory": playMemory,
	"stale":  playStale,
}

func main() {
	name := flag.String("case", "", "case to play")
	program := flag.String("program", "target/wasabiwheel", "program of the node")
	out := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(exitFailed)
	}
	os.Exit(playCase(play, *program, *out))
}

func playCase(play func(*run) (bool, error), program, out string) int {
	program, err := filepath.Abs(program)
	if err == nil {
		_, err = os.Stat(program)
	}
	dir, dirErr := os.MkdirTemp("", "review-")
	rec, recErr := newRecord(out)
	if err != nil || dirErr != nil || recErr != nil {
		fmt.Fprintln(os.Stderr, err, dirErr, recErr)
		return exitFailed
	}
	r := &run{program: program, dir: dir, trouble: os.Getenv("TROUBLE") != "0", record: rec}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := play(r)
		done <- result{broken, err}
	}()
	var res result
	select {
	case res = <-done:
	case s := <-stop:
		res.err = fmt.Errorf("stopped by %s", s)
	case <-time.After(maxTime):
		res.err = fmt.Errorf("not done after %s", maxTime)
	}
	defer r.close()
	switch {
	case res.err != nil:
		r.record.say("could not run: %v", res.err)
		return exitFailed
	case res.broken:
		r.record.say("the rule was broken")
		return exitBroken
	default:
		r.record.say("the rule held")
		return exitHeld
	}
}
