//go:build review

package main

// A zone is taken back and evacuated again by the operators' commands. The store loses the answer to the
// removal of the first evacuation, and executes it late.

import (
	"sync/atomic"
	"time"
)

func init() { cases["11"] = lostEvacuation }

const (
	lateRemoval = 5 * time.Second         // until the removal is executed: 1 to 6 s
	settled     = 6 * time.Second         // after a change, until the next one
	judged      = 25 * time.Second        // for which requests are counted after that
	pause       = 100 * time.Millisecond  // between a client's requests
	clients     = 8                       // that send one request after the other
	lookupWork  = 30 * time.Millisecond   // of a request
	lookupTime  = 2000 * time.Millisecond // time budget of a request
	drainedZone = "santander"
)

func lostEvacuation(d *deployment, trouble bool) (broken int, err error) {
	var judging atomic.Bool
	var late, elsewhere atomic.Int64
	serve := func(e *endpoint, c *endpointConn, r *received) {
		if judging.Load() {
			elsewhere.Add(1)
			if e.zone == drainedZone {
				late.Add(1)
				e.note("broken", "EVAC: %s, in %s, runs %s", e.id, e.zone, r.id())
			}
		}
		e.run(c, r, lookupWork)
	}
	d.store.put("config", "main", configuration(3, route("kit", "catalogo", "idempotent", 3)))
	for _, e := range [][2]string{{"i-7f3a91c2", "vigo"}, {"i-12c0aa41", "vigo"}, {"i-99d07be2", drainedZone}, {"i-40aa17d3", drainedZone}} {
		if _, err := d.startEndpoint(e[0], "catalogo", e[1], serve); err != nil {
			return 0, err
		}
	}
	n, err := d.start("edge-vigo-1")
	if err != nil {
		return 0, err
	}
	for range clients {
		go func() {
			for {
				id := newID()
				ask(n.front, "GET", "/kit/"+id, id, "", lookupTime)
				time.Sleep(pause)
			}
		}()
	}
	platform := "--platform=" + d.store.address()
	if _, err := d.command("drain", platform, "domain", drainedZone); err != nil {
		return 0, err
	}
	time.Sleep(settled)
	var lost atomic.Bool
	d.store.mu.Lock()
	d.store.lose = func(method, kind, name string) (time.Duration, bool) {
		if !trouble || method != "DELETE" || kind != "evacuations" || lost.Swap(true) {
			return 0, false
		}
		d.note("trouble", "the store doesn't answer the removal of evacuations/%s, and executes it in %s", name, lateRemoval)
		return lateRemoval, true
	}
	d.store.mu.Unlock()
	if _, err := d.command("undrain", platform, "domain", drainedZone); err != nil {
		return 0, err
	}
	time.Sleep(time.Second)
	if _, err := d.command("drain", platform, "domain", drainedZone); err != nil {
		return 0, err
	}
	time.Sleep(max(evacuate, lateRemoval+contact))
	d.note("judged", "from now on")
	judging.Store(true)
	time.Sleep(judged)
	judging.Store(false)
	d.store.mu.Lock()
	_, exists := d.store.objects["evacuations"][drainedZone]
	d.store.mu.Unlock()
	d.note("summary", "%d of %d requests ran in %s; evacuations/%s is in the store: %t", late.Load(), elsewhere.Load(), drainedZone, drainedZone, exists)
	for _, line := range d.logLines(n.name, "drains in force") {
		d.note("log", "%s", line)
	}
	return int(late.Load()), nil
}
