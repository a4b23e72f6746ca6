package discovery_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/discovery"
	"github.com/wasabiwheel/wasabiwheel/platform"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

const address = "10.0.0.1:9000"

// sink records the state of a collection and the reports about the store.
type sink struct {
	mu       sync.Mutex
	objects  map[string]string // specs by object name
	complete int
	lost     int
	reached  int
}

// Changed applies the events.
func (s *sink) Changed(_ platform.Collection, events []platform.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range events {
		if e.Removed {
			delete(s.objects, e.Object.Name)
			continue
		}
		s.objects[e.Object.Name] = string(e.Object.Spec)
	}
}

// Complete counts the calls.
func (s *sink) Complete(platform.Collection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.complete++
}

// Lost counts the calls.
func (s *sink) Lost(error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost++
}

// Reached counts the calls.
func (s *sink) Reached() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reached++
}

// Failed does nothing; the follower retries the call.
func (s *sink) Failed(platform.Collection, error) {}

func (s *sink) Listed(platform.Collection, platform.Listing, discovery.Position) {}

func (s *sink) Malformed(platform.Collection, int) {}

func (s *sink) spec(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[name]
}

func (s *sink) storeReports() (lost, reached int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost, s.reached
}

// fixture is a store, an operator's client and a follower on a synthetic clock.
type fixture struct {
	t        *testing.T
	platform *standin.Platform
	operator *platform.Client
	sink     *sink
	follower *discovery.Follower
}

// inBubble runs body in a synctest bubble.
func inBubble(t *testing.T, body func(f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := standin.NewNetwork(1, func(standin.Path) standin.Quality { return standin.Quality{Delay: 5 * time.Millisecond} })
		l, err := network.VM("10.0.0.1").Listen("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		f := &fixture{t: t, platform: standin.NewPlatform(), sink: &sink{objects: map[string]string{}}}
		server := &http.Server{Handler: f.platform}
		go func() { _ = server.Serve(l) }()
		f.operator = platform.New(platform.Options{Address: address, Dialer: network.VM("10.0.0.2"), CallsPerSecond: 1e6})
		own := platform.New(platform.Options{Address: address, Dialer: network.VM("10.0.0.3")})
		f.follower = discovery.New(own, discovery.NewMirror(f.sink, policy{}, "things"), f.sink, "small", "things")
		f.follower.SetReading(true)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.follower.Run(ctx)
		}()
		body(f)
		cancel()
		<-done
		own.Close()
		f.operator.Close()
		_ = server.Close()
		network.Close()
		time.Sleep(time.Minute)
	})
}

// write writes an object from a VM that the faults injected into the store do not affect.
func (f *fixture) write(name, text string) {
	f.t.Helper()
	_, err := f.operator.Replace(f.t.Context(), "things", name, text, 0)
	if platform.IsKind(err, platform.KindNotFound) {
		_, err = f.operator.Create(f.t.Context(), "things", name, text)
	}
	if err != nil {
		f.t.Error(err)
	}
}

var followerOnly = []string{"10.0.0.3"}

// maxDelay is the time within which a change must be known. The time limit of
// configurations is two seconds, part of which is needed by the steps that follow.
const maxDelay = 1500 * time.Millisecond

func TestChangesArriveInTime(t *testing.T) {
	cases := map[string]struct {
		inject   func(f *fixture)
		duration time.Duration // of the fault; 0: it is not ended
		within   time.Duration // after the end of the fault, until all changes are known
	}{
		"no fault":                       {func(*fixture) {}, 0, maxDelay},
		"down":                           {func(f *fixture) { f.platform.SetFault(standin.Fault{Down: true, OnlyClients: followerOnly}) }, 5 * time.Second, 3 * time.Second},
		"silent":                         {func(f *fixture) { f.platform.SetFault(standin.Fault{Silent: true, OnlyClients: followerOnly}) }, 5 * time.Second, 3 * time.Second},
		"reset":                          {func(f *fixture) { f.platform.SetFault(standin.Fault{Reset: true, OnlyClients: followerOnly}) }, 5 * time.Second, 3 * time.Second},
		"rate limited":                   {func(f *fixture) { f.platform.SetFault(standin.Fault{Busy: true, OnlyClients: followerOnly}) }, 5 * time.Second, 3 * time.Second},
		"slow":                           {func(f *fixture) { f.platform.SetFault(standin.Fault{Delay: 240 * time.Millisecond}) }, 0, maxDelay},
		"history discarded":              {func(f *fixture) { f.platform.Compact() }, 0, maxDelay},
		"history discarded, stale reads": {func(f *fixture) { f.platform.SetFault(standin.Fault{Stale: 6 * time.Second}); f.platform.Compact() }, 0, maxDelay},
		"watches without a response":     {func(f *fixture) { f.platform.SetFault(standin.Fault{HangWatches: true}) }, time.Second, 3 * time.Second},
		"process paused":                 {func(f *fixture) { f.follower.Refresh() }, 0, maxDelay},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(f *fixture) {
				convey.Convey("Changes made before, during and after the fault are known", t, func() {
					f.write("x", "old")
					time.Sleep(5 * time.Second)
					convey.So(f.sink.spec("x"), convey.ShouldEqual, `"old"`)
					c.inject(f)
					f.write("x", "new")
					time.Sleep(c.duration)
					if c.duration > 0 {
						f.platform.Compact()
						f.platform.SetFault(standin.Fault{})
					}
					f.write("y", "behind")
					time.Sleep(c.within)
					convey.So(f.sink.spec("x"), convey.ShouldEqual, `"new"`)
					convey.So(f.sink.spec("y"), convey.ShouldEqual, `"behind"`)
				})
			})
		})
	}
}

func TestStoreOutageIsReported(t *testing.T) {
	inBubble(t, func(f *fixture) {
		convey.Convey("An outage and its end are reported, and few calls are made meanwhile", t, func() {
			time.Sleep(5 * time.Second)
			before := f.platform.Counts()
			f.platform.SetFault(standin.Fault{Down: true})
			time.Sleep(10 * time.Second)
			f.platform.SetFault(standin.Fault{})
			time.Sleep(2 * time.Second)
			lost, reached := f.sink.storeReports()
			convey.So(lost, convey.ShouldBeGreaterThan, 0)
			convey.So(reached, convey.ShouldBeGreaterThan, 1)
			convey.So(f.platform.Counts().Reads-before.Reads, convey.ShouldBeLessThan, 10) // rejected reads are not counted
		})
	})
}

func TestCallsPerMinuteWithoutFaults(t *testing.T) {
	inBubble(t, func(f *fixture) {
		convey.Convey("A burst of changes costs one call", t, func() {
			time.Sleep(5 * time.Second)
			before := f.platform.Counts()
			for i := range 60 {
				for j := range 5 {
					f.write(fmt.Sprint("x", j), fmt.Sprint(i))
					time.Sleep(20 * time.Millisecond)
				}
				time.Sleep(900 * time.Millisecond)
			}
			now := f.platform.Counts()
			convey.So(now.Reads-now.Stale-(before.Reads-before.Stale), convey.ShouldBeLessThan, 60*2+10)
			convey.So(now.Stale-before.Stale, convey.ShouldBeBetween, 55, 65)
		})
	})
}

// TestFirstListDoesNotWaitForTheProbe guards against a first list that is delayed
// until a probe has succeeded. The store is slow when all processes of a deployment
// start at once, and callers wait for each of them.
func TestFirstListDoesNotWaitForTheProbe(t *testing.T) {
	const delay = 100 * time.Millisecond // of each response
	inBubble(t, func(f *fixture) {
		convey.Convey("All changes are known in less than two response times", t, func() {
			f.write("x", "old")
			f.follower.SetReading(false)
			time.Sleep(time.Second)
			f.write("x", "new")
			f.platform.SetFault(standin.Fault{Delay: delay})
			f.follower.SetReading(true)
			began := time.Now()
			for f.sink.spec("x") != `"new"` && time.Since(began) < maxDelay {
				time.Sleep(time.Millisecond)
			}
			convey.So(time.Since(began), convey.ShouldBeLessThan, 2*delay)
		})
	})
}

// TestHistoryThatIsTooLong guards against a follower that stays at an old state because the
// response to its watch is too long: ten versions of 0.9 MB while it did not read.
func TestHistoryThatIsTooLong(t *testing.T) {
	inBubble(t, func(f *fixture) {
		convey.Convey("The newest state is read", t, func() {
			f.write("x", "old")
			time.Sleep(5 * time.Second)
			f.follower.SetReading(false)
			time.Sleep(time.Second)
			for i := range 10 {
				f.write("x", fmt.Sprint(i, strings.Repeat("y", 900_000)))
			}
			f.write("x", "new")
			f.follower.SetReading(true)
			time.Sleep(maxDelay)
			convey.So(f.sink.spec("x"), convey.ShouldEqual, `"new"`)
		})
	})
}

// heldStore answers the probes of a store when they are released.
type heldStore struct {
	discovery.Store
	release chan error
}

func (s *heldStore) ListStale(context.Context, platform.Collection) (platform.Listing, error) {
	return platform.Listing{}, <-s.release
}

func (s *heldStore) Close() {}

func TestProbeFromBeforePauseIsIgnored(t *testing.T) {
	cases := map[string]struct {
		refresh bool
		reached int
	}{
		"no pause":                             {reached: 1},
		"a pause while the probe is in flight": {refresh: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				convey.Convey("Its result says nothing about the store now", t, func() {
					store := &heldStore{release: make(chan error)}
					s := &sink{objects: map[string]string{}}
					f := discovery.New(store, discovery.NewMirror(s, policy{}), s, "small")
					f.SetReading(true)
					ctx, cancel := context.WithCancel(t.Context())
					done := make(chan struct{})
					go func() {
						defer close(done)
						f.Run(ctx)
					}()
					synctest.Wait()
					if c.refresh {
						f.Refresh()
					}
					store.release <- nil
					synctest.Wait()
					_, reached := s.storeReports()
					convey.So(reached, convey.ShouldEqual, c.reached)
					convey.So(f.IsReading(), convey.ShouldEqual, !c.refresh)
					cancel()
					close(store.release)
					<-done
				})
			})
		})
	}
}

// TestHurriedReadsDoNotWait guards against a process that stays behind for the whole pause before its next call, though
// it has been told of a change.
func TestHurriedReadsDoNotWait(t *testing.T) {
	cases := map[string]struct {
		away time.Duration // of the store, from just before the change
	}{
		"after a change a moment ago": {},
		"after calls that failed":     {away: 300 * time.Millisecond},
		"after a probe that failed":   {away: 1300 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(f *fixture) {
				convey.Convey("The change is read within some round trips of 10 ms, and calls stay spaced", t, func() {
					for i := range 10 {
						f.write("a", fmt.Sprint("before ", i))
						time.Sleep(time.Duration(1000+97*i) * time.Millisecond)
						f.write("a", fmt.Sprint("again ", i))
						time.Sleep(20 * time.Millisecond)
						if c.away > 0 {
							f.platform.SetFault(standin.Fault{Down: true, OnlyClients: []string{"10.0.0.3"}})
							f.platform.Compact() // ends the pending watch
						}
						f.write("a", fmt.Sprint("after ", i))
						time.Sleep(c.away)
						f.platform.SetFault(standin.Fault{})
						reads := f.platform.Counts().Reads
						for range 30 {
							f.follower.Hurry(time.Now(), "things")
							time.Sleep(3 * time.Millisecond)
						}
						convey.So(f.sink.spec("a"), convey.ShouldEqual, fmt.Sprintf("%q", fmt.Sprint("after ", i)))
						convey.So(f.platform.Counts().Reads-reads, convey.ShouldBeLessThanOrEqualTo, 5)
						time.Sleep(3 * time.Second)
					}
				})
			})
		})
	}
}
