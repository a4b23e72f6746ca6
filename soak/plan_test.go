package soak_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/soak"
)

func TestPlans(t *testing.T) {
	size := soak.Size{Nodes: 6, Endpoints: 9, Domains: 3}
	convey.Convey("A seed always gives the same plan, and another seed a different one", t, func() {
		convey.So(soak.NewPlan(7, time.Minute, size), convey.ShouldResemble, soak.NewPlan(7, time.Minute, size))
		convey.So(soak.NewPlan(7, time.Minute, size), convey.ShouldNotResemble, soak.NewPlan(8, time.Minute, size))
	})
	convey.Convey("All faults occur, events are ordered by time, and some overlap", t, func() {
		found := map[soak.Fault]bool{}
		overlaps := 0
		plan := soak.NewPlan(7, 20*time.Minute, size)
		for i, e := range plan {
			found[e.Fault] = true
			convey.So(e.At, convey.ShouldBeLessThan, 20*time.Minute)
			if i > 0 {
				convey.So(e.At, convey.ShouldBeGreaterThanOrEqualTo, plan[i-1].At)
				if e.At < plan[i-1].At+plan[i-1].For {
					overlaps++
				}
			}
		}
		convey.So(len(found), convey.ShouldEqual, 25)
		convey.So(overlaps, convey.ShouldBeGreaterThan, len(plan)/2)
	})
	convey.Convey("Sizes stay within the capacity of one machine", t, func() {
		for seed := range uint64(200) {
			s := soak.NewSize(seed)
			convey.So(s.Domains, convey.ShouldBeBetweenOrEqual, 2, 6)
			convey.So(s.Nodes, convey.ShouldBeBetweenOrEqual, s.Domains, 36)
			convey.So(s.Endpoints, convey.ShouldEqual, 3*s.Domains)
		}
	})
}
