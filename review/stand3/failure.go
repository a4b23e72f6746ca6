//go:build review

package main

// An endpoint fails some bookings with 503 after it has run them, and does not say Not-Executed.

import (
	"strings"
	"sync"
	"time"
)

func init() { cases["12"] = failedRuns }

const (
	bookings    = 60                     // one after the other
	failEvery   = 6                      // each sixth run fails
	bookingWork = 100 * time.Millisecond // of a booking
	bookingTime = 3 * time.Second        // time budget of a booking
	refusals    = 3                      // attempts of a client at most
)

// ledger holds what ran, by attempt and by order.
type ledger struct {
	mu    sync.Mutex
	total int
	runs  map[string]int // by the id of the attempt
	order map[string]int // by the number of the order
}

func failedRuns(d *deployment, trouble bool) (broken int, err error) {
	l := &ledger{runs: map[string]int{}, order: map[string]int{}}
	serve := func(e *endpoint, c *endpointConn, r *received) {
		l.mu.Lock()
		l.total++
		fails := trouble && l.total%failEvery == 0
		l.runs[r.id()]++
		l.order[string(r.body)]++
		l.mu.Unlock()
		if !fails {
			e.run(c, r, bookingWork)
			return
		}
		e.note("run", "%s runs %s, and fails at its end", e.id, r.id())
		time.Sleep(bookingWork)
		c.send(e.response(r, "503 Service Unavailable", "Response-Signature: 3e1b.07.5a2."+r.id()+"\r\n", "the ledger can't be reached"))
	}
	d.store.put("config", "main", configuration(3, route("pedido", "pedidos", "non_idempotent", 3)))
	for _, id := range []string{"i-7f3a91c2", "i-12c0aa41", "i-99d07be2"} {
		if _, err := d.startEndpoint(id, "pedidos", "vigo", serve); err != nil {
			return 0, err
		}
	}
	n, err := d.start("edge-vigo-1")
	if err != nil {
		return 0, err
	}
	time.Sleep(contact + time.Second)
	for range bookings {
		order := "order " + newID()
		for range refusals {
			id := newID()
			a := d.ask(n.front, "PUT", "/pedido/"+strings.TrimPrefix(order, "order "), id, order, bookingTime)
			l.mu.Lock()
			runs := l.runs[id]
			l.mu.Unlock()
			isRefused := a.Status == 503 || a.Status == 429 || a.Status == 408 || a.Status == 421
			if isRefused && runs > 0 {
				broken++
				d.note("broken", "REFUSED: %s was answered %d and has run", id, a.Status)
			}
			if !isRefused {
				break
			}
			time.Sleep(pause) // a client repeats what was refused
		}
	}
	twice := 0
	for _, runs := range l.order {
		if runs > 1 {
			twice++
		}
	}
	d.note("summary", "%d attempts were refused and had run; %d of %d orders ran more than once", broken, twice, bookings)
	return broken, nil
}
