package configuration_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/configuration"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

// TestPublishIsToldRightly makes the store misbehave at the write of the head,
// and checks what the operator is told against what the store then holds for
// good, also after writes that take effect late.
func TestPublishIsToldRightly(t *testing.T) {
	cases := map[string]struct {
		fault standin.Fault
		kind  configuration.Kind
	}{
		"no fault":                       {standin.Fault{}, ""},
		"answer lost after the effect":   {standin.Fault{LoseAnswer: 1}, ""},
		"three answers lost":             {standin.Fault{LoseAnswer: 3}, ""},
		"write lost":                     {standin.Fault{LoseWrite: 2}, ""},
		"effect late, within the time":   {standin.Fault{LateWrite: 1, LateBy: time.Second}, ""},
		"effects late, in another order": {standin.Fault{LoseWrite: 1, LateWrite: 3, LateBy: 150 * time.Millisecond}, ""},
		"effect after the time is up":    {standin.Fault{Object: configuration.HeadName, LateWrite: 1000, LateBy: time.Minute}, configuration.KindUncertain},
		"head late":                      {standin.Fault{Object: configuration.HeadName, LateWrite: 1, LateBy: time.Second}, ""},
		"head unanswered":                {standin.Fault{Object: configuration.HeadName, LoseAnswer: 1}, ""},
		"head lost":                      {standin.Fault{Object: configuration.HeadName, LoseWrite: 1}, ""},
		"slow":                           {standin.Fault{Delay: time.Second}, ""},
		"down":                           {standin.Fault{Down: true}, configuration.KindUnavailable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(r *rig) {
				convey.Convey("The operator is told what came of the change", r.t, func() {
					_, err := r.publish(configuration.Change{Text: text("one"), Author: "ana"})
					convey.So(err, convey.ShouldBeNil)
					r.platform.SetFault(c.fault)
					got, err := r.publish(configuration.Change{Text: text("one"), Author: "luz"})
					convey.So(kindOf(err), convey.ShouldEqual, c.kind)
					r.platform.SetFault(standin.Fault{})
					time.Sleep(2 * time.Minute)
					head := r.head()
					switch c.kind {
					case "":
						convey.So(got.Version, convey.ShouldEqual, 2)
						convey.So(head.Accepted, convey.ShouldResemble, got)
						convey.So(head.Log, convey.ShouldHaveLength, 1)
					case configuration.KindUnavailable:
						convey.So(head.Version, convey.ShouldEqual, 1)
					default:
						// It was accepted after the operator had gone.
						convey.So(head.Version, convey.ShouldEqual, 2)
					}
				})
			})
		})
	}
}

func TestLoserIsToldWhoseVersionStands(t *testing.T) {
	bubble(t, func(r *rig) {
		convey.Convey("A change from an outdated base changes nothing", r.t, func() {
			_, err := r.publish(configuration.Change{Text: text("one"), Author: "ana"})
			convey.So(err, convey.ShouldBeNil)
			_, err = r.publish(configuration.Change{Text: text("two"), Author: "luz", Base: 1})
			convey.So(err, convey.ShouldBeNil)
			_, err = r.publish(configuration.Change{Text: text("three"), Author: "eva", Base: 1})
			convey.So(kindOf(err), convey.ShouldEqual, configuration.KindLost)
			convey.So(err.Error(), convey.ShouldContainSubstring, `version 2 by "luz"`)
			convey.So(r.head().Version, convey.ShouldEqual, 2)
		})
	})
}
