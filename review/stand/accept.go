//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The load of the case "accept": that of Lumbre, from desks that keep their connections and use
// each again within four fifths of IdleTimeoutS.
const (
	lumbrePerS   = 327.5            // requests a second of all kinds
	reuseTime    = 12 * time.Second // four fifths of IdleTimeoutS
	calmTime     = 14 * time.Second // before the machines are lost
	lostTime     = 26 * time.Second // in which they are lost
	returnedTime = 20 * time.Second // after their return, until the check: more than RecoveryS
	probeClients = 8                // that open new connections in the check: RECOVER names seven
	probeTime    = 8 * time.Second  // more than ContactS, which is 3 s
)

var lookupKind = kind{class: "catalogo", service: "vitrina", method: http.MethodGet, host: "jepu9.example", prefix: "/lepu270/", work: 256 * time.Millisecond, budget: 3 * time.Second, timeout: 3, goal: 0.4, priority: 2, isIdempotent: true}

// lumbreServers holds the servers of the service vitrina by zone.
var lumbreServers = map[string]map[string]int{
	"vitrina": {"centro-a": 3, "centro-b": 3, "norte-a": 3, "norte-b": 2, "sur-a": 3, "sur-b": 2},
}

// desks are clients that keep one connection each.
type desks struct {
	*deployment
	answered, refused, failed atomic.Int64
	end                       chan struct{}
	done                      sync.WaitGroup
}

// desk sends a request every reuseTime on a connection that it keeps.
func (d *desks) desk(where *directory) {
	var c *client
	timer := time.NewTimer(rand.N(reuseTime))
	for {
		select {
		case <-d.end:
			if c != nil {
				_ = c.Close()
			}
			return
		case <-timer.C:
		}
		timer.Reset(reuseTime)
		c = d.request(where, c)
	}
}

// request sends a request and, if it gets no answer, once more on a new connection. It returns the
// connection to keep.
func (d *desks) request(where *directory, c *client) *client {
	var tried []string
	for range 2 {
		if c == nil {
			address := where.pick(tried...)
			next, err := dial(address)
			tried = append(tried, address)
			if err != nil {
				d.failed.Add(1)
				continue
			}
			c = next
		}
		k := lookupKind
		q := request{id: newID(), method: k.method, host: k.host, path: k.prefix + fmt.Sprintf("%x", rand.IntN(256)), object: fmt.Sprint(rand.IntN(300)), budget: k.budget}
		d.record.line("sent request=%s to=%s", q.id, c.RemoteAddr())
		a := c.do(q)
		d.record.line("answered request=%s %s", q.id, a.text())
		switch a.status {
		case http.StatusOK:
			d.answered.Add(1)
			return c
		case 0:
			d.failed.Add(1)
			_ = c.Close()
			c = nil
		default:
			d.refused.Add(1)
			return c
		}
	}
	return c
}

// playAccept lets desks keep connections while all machines but one are lost and return, and then
// checks whether the machine that was left takes new connections.
func playAccept(r *run) (bool, error) {
	dep, err := r.deploy(lumbre)
	if err != nil {
		return false, err
	}
	dep.limitFds = true
	if err := checkDescriptors(); err != nil {
		return false, err
	}
	if _, err := dep.startServers(lumbreServers, 6, func(string) time.Duration { return spread(lookupKind.work) }); err != nil {
		return false, err
	}
	dep.store.put("config", "main", configuration(2, routesOf([]kind{lookupKind}), "vitrina"))
	if err := dep.start(); err != nil {
		return false, err
	}
	d := &desks{deployment: dep, end: make(chan struct{})}
	directories := newDirectories(dep, lookupKind.host)
	count := int(lumbrePerS * reuseTime.Seconds())
	for i := range count {
		d.done.Go(func() { d.desk(directories[i%len(directories)]) })
	}
	r.record.say("%d desks, each with one connection and a request every %s", count, reuseTime)
	survivor, others := dep.machines[0], dep.machines[1:]
	d.watch(calmTime, survivor)
	if r.trouble {
		for _, m := range others {
			dep.kill(m)
		}
	}
	d.watch(lostTime, survivor)
	if r.trouble {
		for _, m := range others {
			if err := dep.startNode(m); err != nil {
				return false, err
			}
		}
	}
	d.watch(returnedTime, survivor)
	close(d.end)
	d.done.Wait()
	d.watch(4*time.Second, survivor)
	return d.probe(survivor, directories[0]), nil
}

// watch records every two seconds what the desks and a machine see.
func (d *desks) watch(length time.Duration, m *machine) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(2 * time.Second) {
		d.record.line("desks: %d answered, %d answered with a failure, %d without an answer; descriptors of machine=%s: %d", d.answered.Load(), d.refused.Load(), d.failed.Load(), m.name, m.descriptors())
	}
}

// probe lets new clients open connections to a machine for probeTime, without any other load, and
// reports whether it says that it is ready all the while and answers none of them.
func (d *desks) probe(m *machine, near *directory) (broken bool) {
	var answered, tried, connected atomic.Int64
	ready := true
	var clients sync.WaitGroup
	end := time.Now().Add(probeTime)
	for i := range probeClients {
		clients.Go(func() {
			for time.Now().Before(end) {
				tried.Add(1)
				c, err := dial(m.front())
				if err != nil {
					d.record.line("probe client=%d machine=%s no connection: %v", i, m.name, err)
					time.Sleep(500 * time.Millisecond)
					continue
				}
				connected.Add(1)
				k := lookupKind
				q := request{id: newID(), method: k.method, host: k.host, path: k.prefix + "1", budget: time.Second} // a request that isn't read within a second is given up
				a := c.do(q)
				_ = c.Close()
				d.record.line("probe client=%d machine=%s request=%s %s", i, m.name, q.id, a.text())
				if a.status != 0 {
					answered.Add(1)
				}
				time.Sleep(250 * time.Millisecond)
			}
		})
	}
	for time.Now().Before(end) {
		now := isReady(m)
		d.record.line("ready machine=%s %t; named by the directory of %s: %t", m.name, now, d.machines[1].name, near.names(d.machines[1], m))
		ready = ready && now
		time.Sleep(time.Second)
	}
	clients.Wait()
	d.record.say("machine %s: ready %t; %d clients tried %d new connections in %s, %d were opened by the kernel, %d requests were answered",
		m.name, ready, probeClients, tried.Load(), probeTime, connected.Load(), answered.Load())
	return ready && answered.Load() == 0
}

// descriptors returns the number of open descriptors of the node's process.
func (m *machine) descriptors() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return 0
	}
	return countDescriptors(m.cmd.Process.Pid)
}

// clientDescriptors is how many descriptors this process needs for the desks and the stand-ins.
const clientDescriptors = 8000

// checkDescriptors fails if this process may not open enough connections for the desks.
func checkDescriptors() error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	if limit.Cur < clientDescriptors {
		return fmt.Errorf("%d descriptors; the desks need %d", limit.Cur, clientDescriptors)
	}
	return nil
}
