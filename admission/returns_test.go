package admission_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/admission"
	"github.com/wasabiwheel/wasabiwheel/inventory"
)

func TestReturnsAreSpread(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	cases := map[string]struct {
		wait  time.Duration
		rate  inventory.Rate
		count int
		last  time.Duration // delay of the last caller
	}{
		"one":                  {time.Second, 2, 1, time.Second},
		"several":              {time.Second, 2, 5, 3 * time.Second},
		"more than can be":     {time.Second, 2, 100, 10 * time.Second},
		"nothing is served":    {time.Second, 0, 2, 10 * time.Second},
		"there is no wait":     {0, 4, 2, 350 * time.Millisecond},
		"the wait is too long": {time.Minute, 2, 1, 10 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("At the rate at which they can be served, in the order of their rejection", t, func() {
				r := admission.NewReturns()
				last := time.Duration(0)
				for range c.count {
					next := r.Schedule(now, "s", c.wait, c.rate)
					convey.So(next, convey.ShouldBeGreaterThanOrEqualTo, last)
					last = next
				}
				convey.So(last, convey.ShouldAlmostEqual, c.last, 10*time.Millisecond)
				convey.So(r.Schedule(now, "other", c.wait, c.rate), convey.ShouldBeLessThanOrEqualTo, max(10*time.Second, c.wait))
			})
		})
	}
}
