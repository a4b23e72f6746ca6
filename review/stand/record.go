//go:build review

package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	begin time.Time
	runs  map[string][]string // by request id: the endpoints that ran it
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, out: bufio.NewWriter(f), begin: time.Now(), runs: map[string][]string{}}, nil
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

func (r *record) write(format string, args ...any) {
	fmt.Fprintf(r.out, "%8.3f ", time.Since(r.begin).Seconds())
	fmt.Fprintf(r.out, format+"\n", args...)
}

// ran records that an endpoint began to work on a request.
func (r *record) ran(e *endpoint, q *http.Request) {
	id := q.Header.Get(headerRequest)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = append(r.runs[id], e.id)
	r.write("run endpoint=%s request=%s run=%d %s %s", e.id, id, len(r.runs[id]), q.Method, q.URL.Path)
}

// runsOf returns the endpoints that ran a request.
func (r *record) runsOf(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// say writes a line to the record and to the standard output.
func (r *record) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
