//go:build review

package main

// Callers in a crowd ask for a large page and don't read it, after ordinary ones have asked for small
// ones. The platform kills a process that exceeds its machine's memory.

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["13"] = unreadPages }

const (
	lowMemory     = 136                     // MB of the machine, as the smallest of the pages has
	lowFiles      = 2870                    // descriptors of it
	crowdSize     = 2000                    // connections, of which the node takes 1,602
	crowdTime     = 500 * time.Millisecond  // of a crowd
	crowdsTime    = 45 * time.Second        // of all crowds
	largePage     = 1_000_000               // bytes
	largePages    = 3                       // that ordinary callers read before a crowd
	smallPages    = 40                      // that ordinary callers read after these
	pageTime      = 2 * time.Second         // time budget of a page
	pageWork      = time.Millisecond        // of a page
	pageServers   = 14                      // endpoints, as those of the site's largest service
	pageSlots     = 6                       // of each
	samplePeriod  = 5 * time.Millisecond    // of the platform
	callerBuffer  = 8 << 10                 // bytes that the kernel receives for a caller that doesn't read
	slowRead      = 100 * time.Millisecond  // between two bytes that a caller of a crowd reads
	redialDelay   = 20 * time.Millisecond   // of a caller of a crowd whose connection was closed
	pagePath      = "/pagina/"              // of small pages, followed by their names
	largePagePath = pagePath + "inventario" // of the large one
)

// watch samples the memory of a node's process until stop, and kills it when it exceeds the machine's, as
// the platform does. It returns the peak in bytes.
func (d *deployment) watch(n *node, stop time.Time) (peak int, isKilled bool) {
	ticker := time.NewTicker(samplePeriod)
	defer ticker.Stop()
	for time.Now().Before(stop) {
		<-ticker.C
		peak = max(peak, resident(n.cmd.Process.Pid))
		if peak > lowMemory<<20 {
			d.note("killed", "%s holds %d MB of %d, and is killed", n.name, peak>>20, lowMemory)
			n.kill()
			return peak, true
		}
	}
	return peak, false
}

// resident returns the resident memory of a process in bytes, 0 if it has ended.
func resident(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, pages int
	if _, err := fmt.Sscan(string(data), &size, &pages); err != nil {
		return 0
	}
	return pages * os.Getpagesize()
}

// slowReaders are the callers of a crowd.
type slowReaders struct {
	front             string
	stop              time.Time
	sent, cut, failed atomic.Int64
}

// run lets the callers ask until stop, and returns when all have left.
func (s *slowReaders) run() {
	var running sync.WaitGroup
	for range crowdSize {
		running.Go(func() {
			for time.Now().Before(s.stop) {
				s.ask()
				time.Sleep(redialDelay)
			}
		})
	}
	running.Wait()
}

// ask asks for the large page on a connection of its own and reads a byte of it at times.
func (s *slowReaders) ask() {
	dialer := net.Dialer{Timeout: time.Second, Deadline: s.stop, Control: func(_, _ string, raw syscall.RawConn) (err error) {
		failed := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, callerBuffer)
		})
		if failed != nil {
			return failed
		}
		return err
	}}
	c, err := dialer.Dial("tcp", s.front)
	if err != nil {
		s.failed.Add(1)
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(s.stop) // fails only on a closed connection
	id := newID()
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nCookie: Affinity-Key=%s\r\n\r\n", largePagePath, host, id, pageTime.Milliseconds(), id); err != nil {
		s.failed.Add(1)
		return
	}
	s.sent.Add(1)
	for {
		time.Sleep(slowRead)
		_, err := c.Read(make([]byte, 1))
		if err != nil && time.Now().Before(s.stop) {
			s.cut.Add(1)
		}
		if err != nil {
			return
		}
	}
}

func unreadPages(d *deployment, trouble bool) (broken int, err error) {
	d.memory, d.descriptors = lowMemory, lowFiles
	large := strings.Repeat("b", largePage)
	var runs atomic.Int64
	serve := func(e *endpoint, c *endpointConn, r *received) {
		if e.running.Add(1) > pageSlots {
			e.running.Add(-1)
			_, _ = io.WriteString(c, e.response(r, "503 Service Unavailable", "Not-Executed: 1\r\n", "")) // the node may have closed the connection
			return
		}
		runs.Add(1)
		time.Sleep(pageWork)
		e.running.Add(-1)
		body := "page"
		if r.URL.Path == largePagePath {
			body = large
		}
		_, _ = io.WriteString(c, e.response(r, "200 OK", "Response-Signature: 3e1b.07.5a2."+r.id()+"\r\n", body)) // the node may have closed the connection
	}
	d.store.put("config", "main", configuration(3, route("pagina", "paginas", "idempotent", pageTime.Seconds())))
	for i := range pageServers {
		e, err := d.startEndpoint(fmt.Sprintf("i-7f3a91%02d", i), "paginas", "vigo", serve)
		if err != nil {
			return 0, err
		}
		e.setSlots(pageSlots)
	}
	n, err := d.start("edge-vigo-1")
	if err != nil {
		return 0, err
	}
	time.Sleep(contact + time.Second)
	end := time.Now().Add(crowdsTime)
	for number := 1; time.Now().Before(end); number++ {
		ordinary := map[int]int{}
		for i := range largePages + smallPages {
			path := fmt.Sprintf("%s%d", pagePath, i)
			if i < largePages {
				path = largePagePath
			}
			ordinary[ask(n.front, "GET", path, newID(), "", pageTime).Status]++
		}
		crowd := &slowReaders{front: n.front, stop: time.Now().Add(crowdTime)}
		var left sync.WaitGroup
		if trouble {
			left.Go(crowd.run)
		}
		peak, isKilled := d.watch(n, crowd.stop)
		left.Wait()
		after := "not asked"
		if !isKilled {
			after = ask(n.front, "GET", pagePath+"after", newID(), "", pageTime).String()
		} else {
			broken++
		}
		d.note("round", "%d: ordinary requests by status %v; of a crowd of %d: %d sent, %d cut, %d failed; %d runs so far; peak %d MB; an ordinary request after it: %s",
			number, ordinary, crowdSize, crowd.sent.Load(), crowd.cut.Load(), crowd.failed.Load(), runs.Load(), peak>>20, after)
		n.kill()
		if err := d.run(n); err != nil {
			return 0, err
		}
	}
	return broken, nil
}
