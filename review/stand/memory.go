//go:build review

package main

import (
	"sync"
	"syscall"
	"time"
)

// The changes of the case "memory", within the doses of the site files.
const (
	bigConfigs   = 10                     // big_config, each with bigRoutes routes more
	bigRoutes    = 350                    // count of big_config
	stormGap     = 330 * time.Millisecond // gap_s of config_storm
	stormTime    = 4 * time.Second        // for_s of config_storm
	stormPause   = 400 * time.Millisecond // between two of them
	memoryTime   = 75 * time.Second
	restartDelay = time.Second
	maxLost      = 3 // requests that LOST allows to be lost in a day
)

// storms changes the configuration, storm after storm, until end is closed.
func (d *deployment) storms(version int, routes []map[string]any, end chan struct{}) {
	for {
		for until := time.Now().Add(stormTime); time.Now().Before(until); {
			version += 2
			routes[0]["TimeoutS"] = 3.5 + float64(version%4)*0.1
			at := d.store.put("config", "main", configuration(version, routes, "catalogo", "retiradas", "pedidos"))
			d.record.line("configuration version=%d revision=%d", version, at)
			select {
			case <-end:
				return
			case <-time.After(stormGap):
			}
		}
		select {
		case <-end:
			return
		case <-time.After(stormPause):
		}
	}
}

// playMemory changes a large configuration again and again while clients send requests. The
// platform kills a process that exceeds the memory of its machine and starts it again.
func playMemory(r *run) (bool, error) {
	d, err := r.deploy(association)
	if err != nil {
		return false, err
	}
	if _, err := d.startServers(associationServers, 3, func(string) time.Duration { return spread(kitKind.work) }); err != nil {
		return false, err
	}
	routes := append(routesOf([]kind{kitKind}), manyRoutes(1)...)
	d.store.put("config", "main", configuration(2, routes, "catalogo", "retiradas", "pedidos"))
	if err := d.start(); err != nil {
		return false, err
	}
	var mu sync.Mutex
	lost := map[string]int{}
	p := &pool{deployment: d, kinds: []kind{kitKind}, clients: 180, check: func(m *machine, q request, a answer) {
		if a.err != nil && len(r.record.runsOf(q.id)) > 0 && a.took < q.budget {
			mu.Lock()
			lost[m.name]++
			mu.Unlock()
			r.record.line("LOST: request=%s was run, and machine=%s closed its kept connection without an answer", q.id, m.name)
		}
	}}
	p.start()
	version := 2
	for i := range bigConfigs {
		time.Sleep(time.Second)
		version += 2
		routes = append(routesOf([]kind{kitKind}), manyRoutes((i+1)*bigRoutes)...)
		d.store.put("config", "main", configuration(version, routes, "catalogo", "retiradas", "pedidos"))
	}
	end := make(chan struct{})
	if r.trouble {
		go d.storms(version, routes, end)
	}
	killed := d.limitMemory(memoryTime)
	close(end)
	p.stop()
	total := 0
	for _, count := range lost {
		total += count
	}
	r.record.say("%d processes exceeded %d MB and were killed; requests passed on to a sound endpoint whose kept connection was closed without an answer: %d", killed, d.memory, total)
	return total > maxLost, nil
}

// limitMemory kills processes that exceed the memory of their machines, as the platform does, and
// starts them again. It returns how many it killed.
func (d *deployment) limitMemory(length time.Duration) int {
	killed, logged := 0, time.Now()
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		shown := time.Since(logged) > 2*time.Second
		for _, m := range d.machines {
			size := m.resident()
			if shown {
				logged = time.Now()
				d.record.line("memory machine=%s resident=%d MB", m.name, size>>20)
			}
			if size <= d.memory<<20 {
				continue
			}
			d.record.say("machine %s uses %d MB of %d: its process is killed", m.name, size>>20, d.memory)
			d.kill(m)
			killed++
			time.AfterFunc(restartDelay, func() { _ = d.startNode(m) })
		}
	}
	return killed
}

// freeze stops a machine's process for a time.
func (d *deployment) freeze(m *machine, length time.Duration) {
	d.signal(m, syscall.SIGSTOP)
	time.Sleep(length)
	d.signal(m, syscall.SIGCONT)
}
