package endpoint

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// localTable returns the table of a node in d0-0, with round trip times to all domains.
func localTable(topo topology, roundTrip time.Duration) *Table {
	t := topo.table()
	for d, r := range t.regions {
		t.roundTrips[d] = roundTrip
		if r == "r0" {
			t.roundTrips[d] = time.Millisecond
		}
	}
	t.SetLocalDomain(LocalDomain{Domain: "d0-0", Share: 1 / float64(topo.regions*topo.domains)})
	return t
}

// localShare returns the share of objects for which an endpoint in the node's own domain is
// chosen.
func localShare(t *Table, objective time.Duration) float64 {
	const objects = 2000
	local := 0
	for o := range objects {
		q := query(Object(mix(uint64(o + 1))))
		q.Objective = objective
		if c, reason := t.Choose(epoch, q); reason == "" && c.Endpoint.Domain == "d0-0" {
			local++
		}
	}
	return float64(local) / objects
}

func TestLocalEndpointsOnLongRoundTrips(t *testing.T) {
	even := topology{3, 2, 3, 3}
	cases := map[string]struct {
		roundTrip time.Duration
		objective time.Duration
		low, high float64
	}{
		"short round trip": {20 * time.Millisecond, 400 * time.Millisecond, 0.12, 0.22},
		"long round trip":  {100 * time.Millisecond, 400 * time.Millisecond, 0.78, 0.88}, // objects with their primary in the other domain of the region stay there
		"long objective":   {100 * time.Millisecond, 2 * time.Second, 0.12, 0.22},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The share of objects served in the own domain, one of six", t, func() {
				convey.So(localShare(localTable(even, c.roundTrip), c.objective), convey.ShouldBeBetween, c.low, c.high)
			})
		})
	}
}

func TestDomainWithFewSlotsServesFewObjects(t *testing.T) {
	convey.Convey("A domain with a tenth of the slots and a third of the callers", t, func() {
		table := localTable(topology{3, 1, 9, 3}, 100*time.Millisecond)
		for i := 2; i < 9; i++ {
			table.Removed(epoch, topology{}.endpoint(0, 0, i).ID) // two of twenty are left
		}
		convey.So(localShare(table, 400*time.Millisecond), convey.ShouldBeBetween, 0.27, 0.4)
	})
}
