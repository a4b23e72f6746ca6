package node

// Logs are JSON lines, one for each decision that affects a request or changes the node's
// state. Writing never blocks: lines are queued in a bounded buffer at a bounded rate.
// Lines that exceed either are dropped, and their count is logged.

import (
	"io"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"
)

const (
	logRate           = 200             // lines a second; several times the request rate of one node
	logBurst          = 400             // lines at once; a burst from all callers
	logQueueLength    = 1024            // lines waiting to be written
	logReportInterval = 1 * time.Second // between reports of dropped lines
	logFlushInterval  = 200 * time.Millisecond
	maxLogWrite       = 4096 // bytes of a write, unless one line is longer: a pipe takes it atomically, and collectors keep it whole
)

// Log is a writer that writes lines in the background.
type Log struct {
	out   io.Writer
	limit *rate.Limiter

	mu      sync.Mutex
	queue   [][]byte
	dropped int // lines dropped since the last report
}

// NewLog returns a Log and makes it the destination of klog. Run writes the lines.
func NewLog(out io.Writer) *Log {
	l := &Log{out: out, limit: rate.NewLimiter(logRate, logBurst)}
	klog.SetSlogLogger(slog.New(slog.NewJSONHandler(l, nil)))
	return l
}

// Write queues one line. It never blocks and never fails.
func (l *Log) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) >= logQueueLength || !l.limit.Allow() {
		l.dropped++
		return len(line), nil
	}
	l.queue = append(l.queue, append([]byte(nil), line...))
	return len(line), nil
}

// Run writes queued lines until done is closed, then the remaining ones.
func (l *Log) Run(done <-chan struct{}) {
	ticker := time.NewTicker(logFlushInterval)
	defer ticker.Stop()
	reported := time.Now()
	for {
		select {
		case <-ticker.C:
			l.flush()
			if time.Since(reported) >= logReportInterval {
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
	lines := l.queue
	l.queue = nil
	l.mu.Unlock()
	if len(lines) == 0 {
		return
	}
	var batch []byte
	for _, line := range lines {
		if len(batch) > 0 && len(batch)+len(line) > maxLogWrite {
			l.write(batch)
			batch = batch[:0]
		}
		batch = append(batch, line...)
	}
	l.write(batch)
}

func (l *Log) write(lines []byte) {
	_, _ = l.out.Write(lines) // there is nowhere to report a failed write of the log
}

// report logs how many lines were dropped.
func (l *Log) report() {
	l.mu.Lock()
	dropped := l.dropped
	l.dropped = 0
	l.mu.Unlock()
	if dropped > 0 {
		klog.InfoS("log lines left out", "count", dropped)
	}
}
