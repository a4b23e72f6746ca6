package route_test

import (
	"math"
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/route"
)

func newRoute(id inventory.RouteID, host, prefix string) inventory.Route {
	return inventory.Route{ID: id, Host: host, Prefix: prefix, TrafficSplit: []inventory.ServiceWeight{{Service: "s", Weight: 1}}}
}

func TestFindLongestPrefix(t *testing.T) {
	table := route.New(inventory.Configuration{Routes: []inventory.Route{
		newRoute("root", "a.example", "/"),
		newRoute("deep", "a.example", "/x/y/"),
		newRoute("short", "a.example", "/x/"),
		newRoute("other", "B.example", "/x/"),
		newRoute("anywhere", "", "/z/"),
		newRoute("any deep", "", "/x/y/w/"),
	}})
	cases := map[string]struct {
		host, path string
		want       inventory.RouteID
	}{
		"root":               {"a.example", "/", "root"},
		"short":              {"a.example", "/x/1", "short"},
		"deep":               {"a.example", "/x/y/1", "deep"},
		"path equals prefix": {"a.example", "/x/y/", "deep"},
		"no trailing slash":  {"a.example", "/x/y", "short"},
		"host with port":     {"a.example:8080", "/x/1", "short"},
		"host in upper case": {"A.Example", "/x/1", "short"},
		"other host":         {"b.example", "/x/1", "other"},
		"any host":           {"c.example", "/z/1", "anywhere"},
		"any host, longer":   {"a.example", "/x/y/w/1", "any deep"},
		"nothing":            {"b.example", "/y/", ""},
		"unknown host":       {"c.example", "/x/", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The matching route is found", t, func() {
				r := table.Find(c.host, c.path)
				if c.want == "" {
					convey.So(r, convey.ShouldBeNil)
					return
				}
				convey.So(r, convey.ShouldNotBeNil)
				convey.So(r.ID, convey.ShouldEqual, c.want)
			})
		})
	}
}

func TestTrafficSplitShares(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		weights := rapid.SliceOfN(rapid.Float64Range(0, 100), 1, 6).Draw(rt, "weights")
		weights[0] += 0.5
		r := inventory.Route{Prefix: "/"}
		total := 0.0
		for i, w := range weights {
			r.TrafficSplit = append(r.TrafficSplit, inventory.ServiceWeight{Service: inventory.ServiceID(rune('a' + i)), Weight: w})
			total += w
		}
		found := route.New(inventory.Configuration{Routes: []inventory.Route{r}}).Find("", "/")
		counts := map[inventory.ServiceID]float64{}
		for n := 1.0; n <= 300; n++ {
			counts[found.Next()]++
			for _, p := range r.TrafficSplit {
				if deviation := math.Abs(counts[p.Service] - n*p.Weight/total); deviation > float64(len(weights)) {
					rt.Fatalf("after %g requests, %s has %g; want %g", n, p.Service, counts[p.Service], n*p.Weight/total)
				}
			}
		}
	})
}
