package node

// Logs are JSON lines. A line is written for each decision that touches a request
// or changes what the process believes. Writing never blocks: lines go through a
// buffer of bounded size, at a bounded rate, and what does not fit is counted and
// the count logged.

import (
	"io"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"
)

const (
	logRate   = 200             // lines a second; several times the requests of one node
	logBurst  = 400             // lines at once: a whole burst of callers
	logQueue  = 1024            // lines that wait to be written
	logReport = 1 * time.Second // between counts of what was left out
	logFlush  = 200 * time.Millisecond
	logWrite  = 4096 // bytes of a write, unless a line is longer: what a pipe takes whole, and collectors keep
)

// Log writes lines in the background.
type Log struct {
	out   io.Writer
	limit *rate.Limiter

	mu      sync.Mutex
	waiting [][]byte
	left    int // lines left out since the last report
}

// NewLog returns a log that klog writes to. Close writes what waits.
func NewLog(out io.Writer) *Log {
	l := &Log{out: out, limit: rate.NewLimiter(logRate, logBurst)}
	klog.SetSlogLogger(slog.New(slog.NewJSONHandler(l, nil)))
	return l
}

// Write takes one line. It never blocks and never fails.
func (l *Log) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) >= logQueue || !l.limit.Allow() {
		l.left++
		return len(line), nil
	}
	l.waiting = append(l.waiting, append([]byte(nil), line...))
	return len(line), nil
}

// Run writes lines until done is closed, then what is left.
func (l *Log) Run(done <-chan struct{}) {
	ticker := time.NewTicker(logFlush)
	defer ticker.Stop()
	reported := time.Now()
	for {
		select {
		case <-ticker.C:
			l.flush()
			if time.Since(reported) >= logReport {
				reported = time.Now()
				l.report()
			}
		case <-done:
			l.report()
			l.flush()
			return
		}
	}
}

func (l *Log) flush() {
	l.mu.Lock()
	lines := l.waiting
	l.waiting = nil
	l.mu.Unlock()
	if len(lines) == 0 {
		return
	}
	var some []byte
	for _, line := range lines {
		if len(some) > 0 && len(some)+len(line) > logWrite {
			l.write(some)
			some = some[:0]
		}
		some = append(some, line...)
	}
	l.write(some)
}

func (l *Log) write(lines []byte) {
	_, _ = l.out.Write(lines) // there is nowhere to report a log that cannot be written
}

// report says how many lines were left out.
func (l *Log) report() {
	l.mu.Lock()
	left := l.left
	l.left = 0
	l.mu.Unlock()
	if left > 0 {
		klog.InfoS("log lines left out", "count", left)
	}
}
