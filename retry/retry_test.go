package retry_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/wasabiwheel/wasabiwheel/retry"
)

var bounds = retry.Bounds{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}

// TestBudgetInEveryWindow guards against nodes that together exceed the budget in some
// window. Several nodes send requests and as many retries as they are allowed, in
// bursts. Restarted processes lose their counts.
func TestBudgetInEveryWindow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		nodes := rapid.IntRange(1, 9).Draw(rt, "nodes")
		now := time.Unix(1_700_000_000, 0)
		budgets := make([]*retry.Budget, nodes)
		for i := range budgets {
			budgets[i] = retry.New(bounds, now)
			budgets[i].SetNodes(nodes)
		}
		var requests, retries []time.Time
		for range 400 {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(rt, "pause")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, nodes-1).Draw(rt, "node")]
			for range rapid.IntRange(0, 10).Draw(rt, "requests") {
				b.RecordRequest(now, "s")
				requests = append(requests, now)
			}
			for range rapid.IntRange(0, 60).Draw(rt, "tries") {
				if b.AllowRetry(now, "s") {
					retries = append(retries, now)
				}
			}
			if rapid.IntRange(0, 40).Draw(rt, "restart") == 0 {
				i := rapid.IntRange(0, nodes-1).Draw(rt, "restarted")
				budgets[i] = retry.New(bounds, now)
				budgets[i].SetNodes(nodes)
			}
			checkWindow(rt, now, requests, retries)
		}
	})
}

// checkWindow compares the retries in the window that ends now with the budget. The
// number of requests is the highest of those in that window, in the window before it,
// and in the window that ends half a window earlier.
func checkWindow(rt *rapid.T, now time.Time, requests, retries []time.Time) {
	within := func(times []time.Time, from, to time.Time) float64 {
		n := 0.0
		for _, x := range times {
			if x.After(from) && !x.After(to) {
				n++
			}
		}
		return n
	}
	start := now.Add(-bounds.Window)
	sent := max(within(requests, start, now), within(requests, start.Add(-bounds.Window), start), within(requests, start.Add(-bounds.Window/2), start.Add(bounds.Window/2)))
	if retried := within(retries, start, now); retried > bounds.Ratio*sent+bounds.Slack {
		rt.Fatalf("%g retries for %g requests", retried, sent)
	}
}

func TestSlackGrowsOverFirstWindow(t *testing.T) {
	cases := map[string]struct {
		after time.Duration
		nodes int
		want  int
	}{
		"at the start":         {0, 1, 0},
		"half a window":        {5 * time.Second, 1, 17},
		"one window":           {10 * time.Second, 1, 35},
		"shared by five nodes": {10 * time.Second, 5, 7},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The number of retries allowed without a request", t, func() {
				now := time.Unix(1_700_000_000, 0)
				b := retry.New(bounds, now)
				b.SetNodes(c.nodes)
				now = now.Add(c.after)
				taken := 0
				for range 100 {
					if b.AllowRetry(now, "s") {
						taken++
					}
				}
				convey.So(taken, convey.ShouldEqual, c.want)
			})
		})
	}
}

func TestSlackAfterChangedBounds(t *testing.T) {
	cases := map[string]struct {
		window time.Duration
		after  time.Duration // since the change
		want   int
	}{
		"same window":                         {window: bounds.Window, want: 0},
		"other window":                        {window: 2 * bounds.Window, want: 0},
		"other window, half of it later":      {window: 2 * bounds.Window, after: bounds.Window, want: 17},
		"other window, the whole of it later": {window: 2 * bounds.Window, after: 2 * bounds.Window, want: 35},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("Retries that were counted in the previous window are not allowed again", t, func() {
				now := time.Unix(1_700_000_000, 0)
				b := retry.New(bounds, now)
				now = now.Add(bounds.Window)
				for b.AllowRetry(now, "s") {
				}
				changed := bounds
				changed.Window = c.window
				b.SetBounds(now, changed)
				now = now.Add(c.after)
				taken := 0
				for b.AllowRetry(now, "s") {
					taken++
				}
				convey.So(taken, convey.ShouldEqual, c.want)
			})
		})
	}
}
