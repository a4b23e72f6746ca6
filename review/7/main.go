//go:build review

// Case 7: a report of an endpoint whose answer the store lost takes effect after a later report.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/wasabiwheel/wasabiwheel/review/stand2"
)

const (
	heartbeat = 1500 * time.Millisecond // HeartbeatS
	drain     = 2 * time.Second         // DrainS
	contact   = 3 * time.Second         // ContactS
	late      = 6 * time.Second         // "done 1 to 6 s later"
	after     = 2300 * time.Millisecond // from the confirmation to the late report
	served    = 2600 * time.Millisecond // DrainS "and a little longer"
)

func main() {
	rec := stand2.NewRecord()
	store := stand2.StartStore()
	store.Put("config", "main", stand2.Configuration(11, stand2.Route("reserva", "/lepu270/", "apartado", "non_idempotent", 2)))

	type arrival struct {
		id, at string
		when   time.Time
	}
	var mu sync.Mutex
	var arrivals []arrival
	sent := map[string]time.Time{}
	var endpoints []*stand2.Endpoint
	for i := range 2 {
		e := stand2.NewEndpoint(rec, fmt.Sprintf("i-%d", i+1), "apartado", stand2.Zones[i%3], 3, 250*time.Millisecond)
		e.OnRun = func(r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			arrivals = append(arrivals, arrival{r.Header.Get("Request-Id"), e.ID, time.Now()})
		}
		endpoints = append(endpoints, e)
	}
	leaver := endpoints[0]
	for _, e := range endpoints {
		store.Put("servers", e.ID, e.Entry())
	}
	stop := make(chan struct{})
	var background sync.WaitGroup
	for _, e := range endpoints[1:] {
		background.Go(func() {
			for {
				select {
				case <-time.After(heartbeat):
					store.Put("servers", e.ID, e.Entry())
				case <-stop:
					return
				}
			}
		})
	}

	nodes := stand2.NewNodes(3, store)
	for _, n := range nodes {
		n.Start()
	}
	defer stand2.StopAll(nodes)
	stand2.AwaitReady(nodes)
	time.Sleep(4 * time.Second) // ContactS and more after the start

	// Clients send a request each 80 ms.
	var clients sync.WaitGroup
	lost := 0
	background.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-time.After(80 * time.Millisecond):
			case <-stop:
				return
			}
			id := fmt.Sprintf("%016x", 0x7000000+i)
			clients.Go(func() {
				mu.Lock()
				sent[id] = time.Now()
				mu.Unlock()
				rec.Add("sent %s to %s", id, nodes[i%3].Name)
				a := stand2.Send(nodes[i%3].Front, http.MethodPost, "/lepu270/2f", id, []byte("reserve"), 4*time.Second, "Cookie", fmt.Sprintf("Affinity-Key=%d", i%24))
				rec.Add("answered %s %d %v", id, a.Status, a.Err)
				if a.Status == http.StatusBadGateway || a.Status == 0 {
					mu.Lock()
					lost++
					mu.Unlock()
				}
			})
		}
	})
	time.Sleep(time.Second)

	// The endpoint's reports, from the one on whose way back the store's answer is lost.
	begin := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(begin.Add(d))) }
	first := leaver.Entry()
	if stand2.HasTrouble() {
		rec.Add("report of %s: %s, Seq %d: the store's answer is lost", leaver.ID, first.Status.State, first.Status.Seq)
	} else {
		store.Put("servers", leaver.ID, first)
	}
	report := func() {
		e := leaver.Entry()
		store.Put("servers", leaver.ID, e)
		rec.Add("report of %s confirmed: %s, Seq %d", leaver.ID, e.Status.State, e.Status.Seq)
	}
	at(heartbeat)
	report()
	at(2 * heartbeat)
	report()
	at(contact + 50*time.Millisecond)
	for !leaver.IsIdle() { // nothing runs or waits there as it decides to leave
		time.Sleep(time.Millisecond)
	}
	leaver.SetLeaving()
	report()
	confirmed := time.Now()
	next := time.Since(begin)
	if stand2.HasTrouble() {
		time.AfterFunc(time.Until(earlier(begin.Add(late), confirmed.Add(after))), func() {
			store.Put("servers", leaver.ID, first)
			rec.Add("report of %s takes effect %.3f s late: %s, Seq %d", leaver.ID, time.Since(begin).Seconds(), first.Status.State, first.Status.Seq)
		})
	}
	at(next + heartbeat)
	report()
	// It has served for DrainS and a little longer, and ends before its next report is due.
	time.Sleep(time.Until(confirmed.Add(served)))
	store.Remove("servers", leaver.ID)
	leaver.Exit()
	rec.Add("%s has left and ends", leaver.ID)
	time.Sleep(time.Second)
	close(stop)
	background.Wait()
	clients.Wait()

	broken := 0
	mu.Lock()
	defer mu.Unlock()
	for _, a := range arrivals {
		if a.at == leaver.ID && a.when.Sub(confirmed) > drain {
			broken++
			rec.Add("BROKEN: %s, sent %.3f s after the confirmation, reaches %s %.3f s after it", a.id, sent[a.id].Sub(confirmed).Seconds(), a.at, a.when.Sub(confirmed).Seconds())
		}
	}
	for _, n := range nodes {
		if n.HasEnded() {
			stand2.Must(fmt.Errorf("%s has ended", n.Name))
		}
	}
	rec.Add("%d requests, %d arrivals, %d at the leaving endpoint later than DrainS, %d ended with 502 or no answer", len(sent), len(arrivals), broken, lost)
	fmt.Printf("%d of %d requests reached the leaving endpoint later than DrainS after the confirmation; %d lost\n", broken, len(sent), lost)
	if broken > 0 {
		stand2.StopAll(nodes)
		os.Exit(1)
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
