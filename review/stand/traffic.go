//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// kind is a kind of request.
type kind struct {
	class, service, method, host, prefix string
	perS                                 float64
	work                                 time.Duration
	budget                               time.Duration
	timeout                              float64 // TimeoutS
	goal                                 float64 // LatencyGoalS
	priority                             int
	isIdempotent                         bool
}

// routesOf returns the routes of a configuration.
func routesOf(kinds []kind) []map[string]any {
	var routes []map[string]any
	for _, k := range kinds {
		t := "non_idempotent"
		if k.isIdempotent {
			t = "idempotent"
		}
		routes = append(routes, map[string]any{"Name": "r-" + k.class, "Hostname": k.host, "PathPrefix": k.prefix, "Type": t, "TimeoutS": k.timeout, "LatencyGoalS": k.goal,
			"Priority": k.priority, "Service": k.service, "MaxAttempts": 2, "Sticky": true, "HomeRegions": []string{}})
	}
	return routes
}

// configuration returns the object config/main.
func configuration(version int, routes []map[string]any, services ...string) map[string]any {
	var all []map[string]any
	for _, s := range services {
		all = append(all, map[string]any{"Name": s, "HealthPath": "/health", "MaxConns": 330, "Protocol": "h1", "Tls": false, "ColdS": 3.0, "ColdPerS": 2.9})
	}
	return map[string]any{"ConfigVersion": version, "Routes": routes, "Services": all,
		"Limits": map[string]any{"HeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutS": 3, "IdleTimeoutS": 15}}
}

// startServers starts the servers of an installation, which have run for a while already.
func (d *deployment) startServers(servers map[string]map[string]int, slots int, work func(service string) time.Duration) ([]*endpoint, error) {
	var all []*endpoint
	for service, zones := range servers {
		for z, count := range zones {
			for range count {
				e := &endpoint{id: fmt.Sprintf("i-%010x", rand.Uint64N(1<<40)), service: service, zone: z, slots: slots, record: d.record,
					work: func(*http.Request) time.Duration { return work(service) }}
				if err := e.start(d.store, "127.0.0.1", time.Now().Add(-time.Hour)); err != nil {
					return nil, err
				}
				all = append(all, e)
			}
		}
	}
	return all, nil
}

// spread varies a duration by 0.15.
func spread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * max(0.3, 1+0.15*rand.NormFloat64()))
}

// pool is a number of clients that keep one connection each, to a machine that the directory names.
type pool struct {
	*deployment
	kinds   []kind
	clients int
	body    []byte
	check   func(m *machine, q request, a answer) // called for each answer, concurrently

	end  chan struct{}
	done sync.WaitGroup
}

// start lets the clients send requests at the rates of their kinds, until stop.
func (p *pool) start() {
	p.end = make(chan struct{})
	total := 0.0
	for _, k := range p.kinds {
		total += k.perS
	}
	directories := newDirectories(p.deployment, p.kinds[0].host)
	for i := range p.clients {
		p.done.Go(func() { p.client(directories[i%len(directories)], total/float64(p.clients)) })
	}
}

func (p *pool) stop() {
	close(p.end)
	p.done.Wait()
}

// draw returns a kind, in proportion to the rates.
func (p *pool) draw() kind {
	total := 0.0
	for _, k := range p.kinds {
		total += k.perS
	}
	x := rand.Float64() * total
	for _, k := range p.kinds {
		if x -= k.perS; x < 0 {
			return k
		}
	}
	return p.kinds[0]
}

func (p *pool) client(where *directory, perS float64) {
	var c *client
	var m *machine
	for {
		select {
		case <-p.end:
			if c != nil {
				_ = c.Close()
			}
			return
		case <-time.After(time.Duration(rand.ExpFloat64() / perS * float64(time.Second))):
		}
		if c == nil {
			address := where.pick()
			next, err := dial(address)
			if err != nil {
				continue
			}
			c, m = next, p.machineAt(address)
		}
		k := p.draw()
		q := request{id: newID(), method: k.method, host: k.host, path: k.prefix + fmt.Sprintf("%x", rand.IntN(256)), object: fmt.Sprint(rand.IntN(300)), budget: k.budget, body: p.body}
		p.record.line("sent request=%s %s to machine=%s", q.id, k.class, m.name)
		a := c.do(q)
		p.record.line("answered request=%s %s", q.id, a.text())
		p.check(m, q, a)
		if a.err != nil || a.header.Get("Connection") == "close" {
			_ = c.Close()
			c = nil
		}
	}
}

// kitKind is the kind of request that looks up the contents of a kit.
var kitKind = kind{class: "consulta-kit", service: "catalogo", method: http.MethodGet, host: "jepu9.example", prefix: "/lepu270/", perS: 59.2, work: 400 * time.Millisecond, budget: 4 * time.Second, timeout: 4, goal: 0.6, priority: 2, isIdempotent: true}

// manyRoutes returns routes that nothing is sent to, as big_config adds them.
func manyRoutes(count int) []map[string]any {
	var routes []map[string]any
	for i := range count {
		routes = append(routes, map[string]any{"Name": fmt.Sprintf("r-%07d", i), "Hostname": "hulo84.example", "PathPrefix": fmt.Sprintf("/big%07d/ny95/", i), "Type": "idempotent", "TimeoutS": 1.5, "LatencyGoalS": 0.6,
			"Priority": 2, "TrafficSplit": []map[string]any{{"Service": "catalogo", "Weight": 90}, {"Service": "pedidos", "Weight": 10}}, "MaxAttempts": 2, "Sticky": true, "HomeRegions": []string{}})
	}
	return routes
}

// associationServers holds the number of servers of each service by zone.
var associationServers = map[string]map[string]int{
	"catalogo":  {"vigo": 3, "santander": 1, "bilbao": 3, "coruna": 3, "oviedo": 1, "pamplona": 3},
	"retiradas": {"vigo": 3, "santander": 1, "bilbao": 2, "coruna": 3, "oviedo": 1, "pamplona": 2},
	"pedidos":   {"vigo": 3, "santander": 1, "bilbao": 2, "coruna": 3, "oviedo": 1, "pamplona": 2},
}
