package endpoint

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestEntriesExpiredInStoreOutage(t *testing.T) {
	const outage = 10 * time.Second
	end := epoch.Add(outage)
	cases := map[string]struct {
		lost   bool          // the store was unreachable from epoch to end
		held   time.Duration // how long a neighbour had reached it at end
		again  bool          // the endpoint registers again
		after  time.Duration // time since end
		usable bool
	}{
		"no outage":                      {lost: false, after: 0, usable: false},
		"outage, soon after":             {lost: true, after: time.Second, usable: true},
		"outage, after the grace period": {lost: true, after: 3 * time.Second, usable: false},
		"outage, registered again":       {lost: true, again: true, after: 3 * time.Second, usable: true},
		"only this node cut off":         {lost: true, held: 20 * time.Second, after: 0, usable: false},
		"neighbour cut off too":          {lost: true, held: 2 * time.Second, after: time.Second, usable: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("Whether an endpoint without an entry is chosen", t, func() {
				table := topology{1, 1, 1, 3}.table()
				e := topology{1, 1, 1, 3}.endpoint(0, 0, 0)
				if c.lost {
					table.StoreLost(epoch)
					table.StoreReached(end)
					table.StoreReachedElsewhere(end, c.held)
				}
				table.Removed(end, e.ID)
				if c.again {
					table.Register(end.Add(time.Second), e)
				}
				table.Tick(end.Add(c.after))
				_, reason := table.Choose(end.Add(c.after), query(7))
				convey.So(reason == "", convey.ShouldEqual, c.usable)
			})
		})
	}
}
