package endpoint_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/endpoint"
	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// TestRequestThatMayCrashEndpointIsIsolated sends such a request where it harms few others.
func TestRequestThatMayCrashEndpointIsIsolated(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	cases := map[string]struct {
		busy     map[inventory.EndpointID]int // requests of this node
		isolated map[inventory.EndpointID]int // other requests that may crash the endpoint
		tried    []inventory.EndpointID
		want     inventory.EndpointID
	}{
		"the idle endpoint":                     {busy: map[inventory.EndpointID]int{"a1": 1, "a2": 2, "b1": 1}, want: "b2"},
		"not where it was tried":                {busy: map[inventory.EndpointID]int{"a1": 1, "a2": 2, "b1": 1}, tried: []inventory.EndpointID{"b2"}, want: "a1"},
		"in the same failure domain if need be": {busy: map[inventory.EndpointID]int{"b1": 2}, tried: []inventory.EndpointID{"a1", "b2", "a2"}, want: "b1"},
		"not where another one is":              {busy: map[inventory.EndpointID]int{"a1": 2, "a2": 2, "b1": 2}, isolated: map[inventory.EndpointID]int{"b2": 1, "a1": 1, "b1": 1}, want: "a2"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The endpoint is chosen", t, func() {
				table := endpoint.New(endpoint.Regions{"a": "r", "b": "r"}, endpoint.Bounds{})
				table.SetServices([]inventory.Service{{ID: "s"}})
				for _, id := range []inventory.EndpointID{"a1", "a2", "b1", "b2"} {
					table.Register(start, inventory.Endpoint{ID: id, Service: "s", Domain: inventory.DomainID(id[:1]), Address: string(id) + ":80", Slots: 4})
				}
				occupy := func(counts map[inventory.EndpointID]int, isolated bool) {
					for id, count := range counts {
						for range count {
							others := []inventory.EndpointID{}
							for _, other := range []inventory.EndpointID{"a1", "a2", "b1", "b2"} {
								if other != id {
									others = append(others, other)
								}
							}
							choice, reason := table.Choose(start, endpoint.Query{Service: "s", Tried: others, Isolated: isolated, Objective: time.Second})
							convey.So(reason, convey.ShouldEqual, endpoint.Reason(""))
							convey.So(table.Start(start, choice), convey.ShouldBeTrue)
						}
					}
				}
				occupy(c.busy, false)
				occupy(c.isolated, true)
				choice, _ := table.Choose(start, endpoint.Query{Service: "s", Tried: c.tried, Isolated: true, Objective: time.Second})
				convey.So(choice.Endpoint.ID, convey.ShouldEqual, c.want)
			})
		})
	}
}
