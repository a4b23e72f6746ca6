package member_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/member"
)

func newEntries(domains, perDomain int) []member.Entry {
	var all []member.Entry
	for d := range domains {
		for i := range perDomain {
			all = append(all, member.Entry{
				ID:     inventory.EntryID(fmt.Sprintf("n-%d-%d", d, i)),
				Domain: inventory.DomainID(fmt.Sprintf("d-%d", d)),
				Region: inventory.RegionID(fmt.Sprintf("r-%d", d/3)),
			})
		}
	}
	return all
}

func TestNeighboursBounded(t *testing.T) {
	cases := map[string]struct {
		domains, perDomain, want int
	}{
		"alone":                  {1, 1, 0},
		"two":                    {1, 2, 1},
		"three domains of one":   {3, 1, 2},
		"many":                   {9, 40, 8},
		"many, no other domains": {1, 40, 6},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("Each node follows a bounded number of nodes and is followed itself", t, func() {
				all := newEntries(c.domains, c.perDomain)
				followed := map[inventory.EntryID]int{}
				for _, e := range all {
					table := member.New(e)
					table.SetEntries(all)
					neighbours := table.Neighbours()
					convey.So(len(neighbours), convey.ShouldEqual, c.want)
					for _, n := range neighbours {
						convey.So(n.ID, convey.ShouldNotEqual, e.ID)
						convey.So(n.Region, convey.ShouldEqual, e.Region)
						followed[n.ID]++
					}
				}
				if c.want > 0 {
					convey.So(len(followed), convey.ShouldEqual, len(all))
				}
			})
		})
	}
}

func TestAliveNeedsRecentHeartbeat(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	cases := map[string]struct {
		beats   []member.Heartbeat
		after   time.Duration
		refused bool // its address refused a connection
		want    int
	}{
		"no heartbeat":     {nil, 0, false, 0},
		"ready":            {[]member.Heartbeat{{Entry: "n-0-1", Ready: true}}, time.Second, false, 1},
		"silent":           {[]member.Heartbeat{{Entry: "n-0-1", Ready: true}}, 2 * time.Second, false, 0},
		"leaving":          {[]member.Heartbeat{{Entry: "n-0-1", Ready: true}, {Entry: "n-0-1"}}, 0, false, 0},
		"refused":          {[]member.Heartbeat{{Entry: "n-0-1", Ready: true}}, 0, true, 0},
		"not in the store": {[]member.Heartbeat{{Entry: "n-9-9", Ready: true}}, 0, false, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The number of live neighbours", t, func() {
				all := newEntries(1, 2)
				table := member.New(all[0])
				table.SetEntries(all)
				for _, b := range c.beats {
					table.RecordHeartbeat(now, b)
				}
				if c.refused {
					convey.So(table.RecordRefusal("n-0-1"), convey.ShouldBeTrue)
				}
				convey.So(len(table.Alive(now.Add(c.after))), convey.ShouldEqual, c.want)
			})
		})
	}
}
