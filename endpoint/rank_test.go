package endpoint

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// TestRankMatchesFullSort compares the ranking, which computes scores only for endpoints that
// can be among the first, with a ranking that computes all of them.
func TestRankMatchesFullSort(t *testing.T) {
	convey.Convey("For any endpoints and objects", t, func() {
		rapid.Check(t, func(rt *rapid.T) {
			table := New(Regions{"a": "r", "b": "q"}, Bounds{})
			table.SetServices([]inventory.Service{{ID: "s"}})
			for i := range rapid.IntRange(0, 40).Draw(rt, "endpoints") {
				table.Register(epoch, inventory.Endpoint{
					ID:       inventory.EndpointID(fmt.Sprint("e", i)),
					Service:  "s",
					Domain:   rapid.SampledFrom([]inventory.DomainID{"a", "b"}).Draw(rt, "domain"),
					Address:  fmt.Sprintf("10.0.0.%d:80", i),
					Slots:    rapid.IntRange(1, 64).Draw(rt, "slots"),
					Draining: rapid.Bool().Draw(rt, "draining"),
				})
			}
			p := table.services["s"]
			q := query(Object(rapid.Uint64Min(1).Draw(rt, "object")))
			if rapid.Bool().Draw(rt, "bound") {
				q.Homes = []inventory.RegionID{"q"}
			}
			ranked, reason := table.rank(epoch, p, q)
			var all []candidate
			for _, s := range p.endpoints {
				if table.exclusion(epoch, s, q) == "" {
					all = append(all, candidate{s, score(unitHash(uint64(q.Object), s), s)})
				}
			}
			slices.SortStableFunc(all, func(a, b candidate) int {
				switch {
				case a.score > b.score:
					return -1
				case a.score < b.score:
					return 1
				}
				return 0
			})
			all = all[:min(len(all), maxCandidates)]
			if len(all) == 0 && reason != ReasonNone {
				rt.Fatalf("reason %s", reason)
			}
			if !slices.Equal(all, ranked.best) {
				rt.Fatalf("%v, want %v", ranked.best, all)
			}
		})
	})
}

func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{50, 500, 8000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			table := topology{1, 1, count, 3}.table()
			for i := 0; b.Loop(); i++ {
				table.Choose(epoch.Add(time.Duration(i)), query(Object(i+1)))
			}
		})
	}
}
