//go:build review

// Command stand3 plays the scripts of the third review: it starts the nodes as processes with stand-ins
// of the store, the endpoints and the clients, all on loopback addresses, and judges what these see.
//
// # Usage
//
//	stand3 CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0
// in the environment it plays the case without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// maxTime bounds a case.
const maxTime = 110 * time.Second

// cases are the scripts by the numbers of their folders.
var cases = map[string]func(d *deployment, trouble bool) (broken int, err error){}

// recorder writes the record of a run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
	count map[string]int
}

// note adds a line to the record.
func (r *recorder) note(kind, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count[kind]++
	_, _ = fmt.Fprintf(r.file, "%8.3f %-8s %s\n", time.Since(r.start).Seconds(), kind, fmt.Sprintf(format, args...)) // the verdict doesn't depend on it
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE RECORD")
		return 2
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = file.Close() }()
	r := &recorder{file: file, start: time.Now(), count: map[string]int{}}
	d, err := newDeployment(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer d.end()
	type result struct {
		broken int
		err    error
	}
	results := make(chan result, 1)
	go func() {
		broken, err := cases[os.Args[1]](d, os.Getenv("TROUBLE") != "0")
		results <- result{broken, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	var out result
	select {
	case out = <-results:
	case <-stop:
		out.err = fmt.Errorf("it was stopped")
	case <-time.After(maxTime):
		out.err = fmt.Errorf("it took longer than %s", maxTime)
	}
	switch {
	case out.err != nil:
		r.note("verdict", "could not run: %v", out.err)
		fmt.Println("could not run:", out.err)
		return 2
	case out.broken > 0:
		r.note("verdict", "the rule was broken %d times", out.broken)
		fmt.Println("the rule was broken", out.broken, "times")
		return 1
	}
	r.note("verdict", "the rule held")
	fmt.Println("the rule held")
	return 0
}
