package endpoint

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// TestRequestsLostAtSlowEndpoint guards against requests that keep going to an endpoint that
// has become slow. Requests are sent one after the other for an object of that endpoint.
// Those that it receives time out.
func TestRequestsLostAtSlowEndpoint(t *testing.T) {
	const (
		timeout = 1200 * time.Millisecond
		gap     = 200 * time.Millisecond
		maxLost = 3 // in twenty seconds: the first, and those that probe the endpoint
	)
	convey.Convey("Only a few of a hundred requests are lost", t, func() {
		table := topology{1, 1, 6, 3}.table()
		train(table, 200*time.Millisecond, 650*time.Millisecond)
		slow, _ := table.Choose(epoch, query(7))
		lost, now := 0, epoch
		for range 100 {
			now = now.Add(gap)
			c, _ := table.Choose(now, query(7))
			table.Start(now, c)
			if c.Endpoint.ID == slow.Endpoint.ID {
				lost++
				now = now.Add(timeout)
				table.Finish(now, c, Result{Verdict: VerdictTimeout, Took: timeout})
				continue
			}
			table.Finish(now.Add(200*time.Millisecond), c, Result{Verdict: VerdictServed, Took: 200 * time.Millisecond})
		}
		convey.So(lost, convey.ShouldBeLessThanOrEqualTo, maxLost)
	})
}

func TestOverdueRequestIndicatesSlowEndpoint(t *testing.T) {
	cases := map[string]struct {
		waited time.Duration
		moved  bool
	}{
		"just sent":      {0, false},
		"in time":        {300 * time.Millisecond, false},
		"overdue":        {3 * time.Second, true}, // by more than the time of a cold run elsewhere
		"answered after": {-1, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("Whether another endpoint is chosen next", t, func() {
				table := topology{1, 1, 6, 3}.table()
				train(table, 200*time.Millisecond, 650*time.Millisecond)
				first, _ := table.Choose(epoch, query(7))
				table.Start(epoch, first)
				now := epoch.Add(c.waited)
				if c.waited < 0 {
					now = epoch.Add(200 * time.Millisecond)
					table.Finish(now, first, Result{Verdict: VerdictServed, Took: 200 * time.Millisecond})
				}
				next, _ := table.Choose(now, query(7))
				convey.So(next.Endpoint.ID != first.Endpoint.ID, convey.ShouldEqual, c.moved)
			})
		})
	}
}

func TestSlowdownDecays(t *testing.T) {
	convey.Convey("An endpoint that was slow gets requests again", t, func() {
		table := topology{1, 1, 6, 3}.table()
		train(table, 200*time.Millisecond, 650*time.Millisecond)
		first, _ := table.Choose(epoch, query(7))
		table.Start(epoch, first)
		table.Finish(epoch.Add(2*time.Second), first, Result{Verdict: VerdictTimeout, Took: 2 * time.Second})
		soon, _ := table.Choose(epoch.Add(3*time.Second), query(7))
		later, _ := table.Choose(epoch.Add(30*time.Second), query(7))
		convey.So(soon.Endpoint.ID, convey.ShouldNotEqual, first.Endpoint.ID)
		convey.So(later.Endpoint.ID, convey.ShouldEqual, first.Endpoint.ID)
	})
}
