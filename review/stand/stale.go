//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	freezeTime  = 3500 * time.Millisecond // for_s of node_freeze
	contactTime = 4 * time.Second         // ContactS
	applyTime   = 2500 * time.Millisecond // ConfigApplyS
	checkTime   = 10 * time.Second        // in which requests show which configuration is in force
)

// playStale changes a large configuration in quick succession while one machine stands still, and
// then checks which configuration is in force there.
func playStale(r *run) (bool, error) {
	d, err := r.deploy(association)
	if err != nil {
		return false, err
	}
	if _, err := d.startServers(associationServers, 3, func(string) time.Duration { return spread(kitKind.work) }); err != nil {
		return false, err
	}
	version := 2
	routes := append(routesOf([]kind{kitKind}), manyRoutes(bigConfigs*bigRoutes)...)
	write := func(service string) {
		version += 2
		routes[0]["Service"] = service
		at := d.store.put("config", "main", configuration(version, routes, "catalogo", "retiradas", "pedidos"))
		r.record.line("configuration version=%d revision=%d service=%s", version, at, service)
	}
	write("catalogo")
	if err := d.start(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var m *machine
	for _, other := range d.machines {
		if other.zone == "bilbao" { // the only machine of its zone
			m = other
		}
	}
	if r.trouble {
		go d.freeze(m, freezeTime)
	}
	began := time.Now()
	for time.Since(began) < stormTime {
		write("catalogo")
		time.Sleep(stormGap)
	}
	write("pedidos")
	confirmed := time.Now()
	due := began.Add(freezeTime + contactTime)
	if by := confirmed.Add(applyTime); by.After(due) {
		due = by
	}
	time.Sleep(time.Until(due))
	old, current := 0, 0
	for end := time.Now().Add(checkTime); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		q := request{id: newID(), method: http.MethodGet, host: kitKind.host, path: kitKind.prefix + "1", budget: kitKind.budget}
		c, err := dial(m.front())
		if err != nil {
			continue
		}
		a := c.do(q)
		_ = c.Close()
		r.record.line("%.1f s after the confirmation: request=%s to machine=%s %s %s", time.Since(confirmed).Seconds(), q.id, m.name, a.text(), a.body)
		if a.status != http.StatusOK {
			continue
		}
		switch d.serviceOf(r.record.runsOf(q.id)[0]) {
		case "catalogo":
			old++
		case "pedidos":
			current++
		}
	}
	r.record.say("machine %s: %d requests were run by the service of an older version, %d by that of the newest one", m.name, old, current)
	return old > 0, nil
}

// serviceOf returns the service of a server.
func (d *deployment) serviceOf(id string) string {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	var service string
	o := string(d.store.objects["servers"][id].Spec)
	for _, s := range []string{"catalogo", "retiradas", "pedidos"} {
		if strings.Contains(o, fmt.Sprintf("%q", s)) {
			service = s
		}
	}
	return service
}
