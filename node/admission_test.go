package node

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/standin"
)

// offer is an open-loop load: requests come at a rate, whatever becomes of the
// ones before.
type offer struct {
	method, path string
	rate         float64 // requests per second
	deadline     time.Duration
}

// atOnce bounds a refusal that nobody waited for: three places are asked.
const atOnce = 50 * time.Millisecond

// patience is what a caller gives: the deadline of the services and the way.
const patience = time.Second + 50*time.Millisecond

// result counts what became of an offer.
type result struct {
	sent, good, refused, unknown int
	late                         int // refused after having waited
}

// run offers for a while at a fixed seed, and waits for the answers. Good is
// what was answered by a target within the deadline.
func (r *rig) run(o offer, duration time.Duration) result {
	random := rand.New(rand.NewPCG(20261204, 1))
	var mu sync.Mutex
	var wait sync.WaitGroup
	var sum result
	for end := time.Now().Add(duration); time.Now().Before(end); {
		e := r.inv.Entries[random.IntN(len(r.inv.Entries))]
		wait.Go(func() {
			began := time.Now()
			ctx, cancel := context.WithTimeout(r.t.Context(), o.deadline)
			defer cancel()
			got := r.send(ctx, e.ID, o.method, o.path, "", "")
			mu.Lock()
			defer mu.Unlock()
			sum.note(got, time.Since(began), o.deadline)
		})
		time.Sleep(time.Duration(random.ExpFloat64() / o.rate * float64(time.Second)))
	}
	wait.Wait()
	return sum
}

func (s *result) note(got reply, took, deadline time.Duration) {
	s.sent++
	switch {
	case got.err == nil && got.status == http.StatusOK && took <= deadline:
		s.good++
	case got.err == nil && got.outcome == OutcomeNotRun:
		s.refused++
		if took > atOnce {
			s.late++
		}
	default:
		s.unknown++
	}
}

// Work of the targets in these tests, and what the inventory of the process
// tests can then serve: catalogue has 7 slots, reservations 3.
const (
	admissionWork   = 50 * time.Millisecond
	catalogueRate   = 7 / 0.050
	reservationRate = 3 / 0.050
)

func admissionBubble(t *testing.T, text []byte, body func(r *rig)) {
	bubble(t, text, func(r *rig) {
		for _, target := range r.targets {
			target.SetBehaviour(standin.Behaviour{Work: admissionWork, Slots: 5})
		}
		body(r)
	})
}

// goodput offers a multiple of the capacity.
func goodput(t *testing.T, load float64) (got result) {
	admissionBubble(t, small(t), func(r *rig) {
		got = r.run(offer{http.MethodGet, "/serve/catalogue/x", load * catalogueRate, patience}, 20*time.Second)
		convey.Convey("No endpoint is overrun", r.t, func() {
			for _, e := range r.inv.Endpoints {
				convey.So(r.targets[e.ID].Ledger().Peak, convey.ShouldBeLessThanOrEqualTo, e.Slots)
			}
		})
	})
	t.Logf("%g times capacity: %+v", load, got)
	return got
}

func TestGoodputStaysBeyondCapacity(t *testing.T) {
	base, twice, five := goodput(t, 1), goodput(t, 2), goodput(t, 5)
	convey.Convey("Goodput at 2 and 5 times the capacity is above 90 percent of that at capacity", t, func() {
		convey.So(float64(base.good), convey.ShouldBeGreaterThan, 0.9*float64(base.sent))
		for _, got := range []result{twice, five} {
			convey.So(float64(got.good), convey.ShouldBeGreaterThan, 0.9*float64(base.good))
			convey.So(got.good+got.refused, convey.ShouldEqual, got.sent)
			convey.So(got.late, convey.ShouldBeLessThan, got.refused/100)
		}
	})
}

func TestServicesDoNotStarveEachOther(t *testing.T) {
	reads := offer{http.MethodGet, "/serve/catalogue/x", 0.7 * catalogueRate, patience}
	once := offer{http.MethodPost, "/serve/reservations/x", 0.7 * reservationRate, patience}
	for name, row := range map[string]struct{ steady, flood offer }{
		"once-only work under a flood of reads": {once, offer{reads.method, reads.path, 5 * catalogueRate, patience}},
		"reads under a flood of once-only work": {reads, offer{once.method, once.path, 5 * reservationRate, patience}},
	} {
		t.Run(name, func(t *testing.T) {
			admissionBubble(t, small(t), func(r *rig) {
				convey.Convey("The steady load is served as without the flood", r.t, func() {
					alone := r.run(row.steady, 10*time.Second)
					var wait sync.WaitGroup
					wait.Go(func() { r.run(row.flood, 10*time.Second) })
					beside := r.run(row.steady, 10*time.Second)
					wait.Wait()
					t.Logf("alone %+v, beside the flood %+v", alone, beside)
					convey.So(float64(beside.good)/float64(beside.sent), convey.ShouldBeGreaterThan, 0.95*float64(alone.good)/float64(alone.sent))
				})
			})
		})
	}
}

// attempts counts the requests that reached targets, and the retries.
func (r *rig) attempts() (reached, retries int) {
	for _, target := range r.targets {
		l := target.Ledger()
		reached += l.Served + l.Shed
	}
	for _, n := range r.nodes {
		for name, count := range n.Status().Counters {
			if len(name) > 6 && name[:6] == "retry." && name[:7] != "retry.r" {
				retries += int(count)
			}
		}
	}
	return reached, retries
}

func TestRetriesDoNotAmplifyWhenAllTargetsFail(t *testing.T) {
	for name, row := range map[string]struct {
		behaviour standin.Behaviour
		closed    bool // the targets accept no connection
	}{
		"all break off":           {behaviour: standin.Behaviour{Work: time.Millisecond, Truncate: true}},
		"all shed":                {behaviour: standin.Behaviour{Shed: true}},
		"all refuse a connection": {closed: true},
	} {
		t.Run(name, func(t *testing.T) {
			text := bytes.ReplaceAll(small(t), []byte("deadline = \"1s\""), []byte("deadline = \"1s\"\nshed = [503]"))
			bubble(t, text, func(r *rig) {
				convey.Convey("Attempts stay below 1.1 for each request, and so do messages", r.t, func() {
					for _, e := range r.inv.Endpoints {
						r.targets[e.ID].SetBehaviour(row.behaviour)
						if row.closed {
							r.network.Kill(hostOf(e.Address))
						}
					}
					before, _ := r.attempts()
					got := r.run(offer{http.MethodGet, "/serve/catalogue/x", 50, patience}, 40*time.Second)
					after, retries := r.attempts()
					t.Logf("%+v, %d reached a target, %d retries", got, after-before, retries)
					convey.So(got.good, convey.ShouldEqual, 0)
					convey.So(float64(after-before)/float64(got.sent), convey.ShouldBeLessThan, 1.1)
					convey.So(1+float64(retries)/float64(got.sent), convey.ShouldBeLessThan, 1.1)
				})
			})
		})
	}
}

func TestRefusalByAPlaceFindsRoomElsewhere(t *testing.T) {
	for name, strike := range map[string]func(r *rig, owner *rigNode){
		"its owner takes nothing any more": func(_ *rig, owner *rigNode) { owner.endpoints.Resign(time.Now()) },
		"its process has just died":        func(r *rig, owner *rigNode) { r.kill(owner.settings.ID) },
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, small(t), func(r *rig) {
				convey.Convey("Requests sent before the others know are served by another place, without budget", r.t, func() {
					first := r.ownerOf("catalogue-1")
					convey.So(first, convey.ShouldNotEqual, r.ownerOf("catalogue-2"))
					for _, n := range r.nodes {
						for n.retries.Take() {
							continue
						}
					}
					strike(r, r.nodes[first])
					for _, e := range r.inv.Entries {
						for range 4 {
							if e.ID == first {
								continue
							}
							got := r.send(r.t.Context(), e.ID, http.MethodGet, "/serve/catalogue/x", "", "")
							convey.So(got.status, convey.ShouldEqual, http.StatusOK)
						}
					}
				})
			})
		})
	}
}
