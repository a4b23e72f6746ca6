package lookup_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/lookup"
)

func newEntryVM(domain inventory.DomainID, region inventory.RegionID, number int, share float64) lookup.EntryVM {
	return lookup.EntryVM{Address: fmt.Sprintf("%s-%d", domain, number), Domain: domain, Region: region, Share: share}
}

func TestChoosePrefersNearbyEntryVMs(t *testing.T) {
	a1, a2, b1, c1 := newEntryVM("a", "r", 1, 1), newEntryVM("a", "r", 2, 1), newEntryVM("b", "r", 1, 1), newEntryVM("c", "s", 1, 1)
	cases := map[string]struct {
		alive []lookup.EntryVM
		want  []string
	}{
		"two in the failure domain":    {[]lookup.EntryVM{a1, a2, b1, c1}, []string{"a-1", "a-2"}},
		"one in the failure domain":    {[]lookup.EntryVM{a1, b1, c1}, []string{"a-1", "b-1"}},
		"one, no others in the region": {[]lookup.EntryVM{a1, c1}, []string{"a-1"}},
		"none in the failure domain":   {[]lookup.EntryVM{b1, c1}, []string{"b-1"}},
		"none in the region":           {[]lookup.EntryVM{c1}, []string{"c-1"}},
		"none known to be alive":       {nil, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The addresses returned", t, func() {
				got := lookup.Choose(lookup.Query{Domain: "a", Region: "r"}, c.alive)
				slices.Sort(got)
				convey.So(got, convey.ShouldResemble, c.want)
			})
		})
	}
}

func TestChooseWeightsByShare(t *testing.T) {
	convey.Convey("An entry VM with a fifth of the largest share is in a fifth of the answers", t, func() {
		alive := []lookup.EntryVM{newEntryVM("a", "r", 1, 0.8), newEntryVM("a", "r", 2, 0.8), newEntryVM("a", "r", 3, 0.16)}
		small := 0
		for range 5000 {
			if slices.Contains(lookup.Choose(lookup.Query{Domain: "a", Region: "r"}, alive), "a-3") {
				small++
			}
		}
		convey.So(small, convey.ShouldBeBetween, 850, 1150)
	})
}

func TestChooseBoundsAddresses(t *testing.T) {
	convey.Convey("The number of addresses is limited", t, func() {
		var alive []lookup.EntryVM
		for i := range 100 {
			alive = append(alive, newEntryVM("a", "r", i, 1))
		}
		convey.So(len(lookup.Choose(lookup.Query{Domain: "a"}, alive)), convey.ShouldEqual, 16)
	})
}
