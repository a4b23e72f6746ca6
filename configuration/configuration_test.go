package configuration_test

import (
	"context"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/configuration"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

func TestPublishResults(t *testing.T) {
	cases := map[string]struct {
		fault   standin.Fault
		base    inventory.Version
		kind    configuration.Kind
		version inventory.Version // in force at the end; the test starts with version 1
	}{
		"done":                  {version: 2},
		"base in force":         {base: 1, version: 2},
		"base not in force":     {base: 7, kind: configuration.KindBaseMismatch, version: 1},
		"response lost":         {fault: standin.Fault{LoseAnswer: 1}, version: 2},
		"responses lost":        {fault: standin.Fault{LoseAnswer: 3}, version: 2},
		"write lost":            {fault: standin.Fault{LoseWrite: 2}, version: 2},
		"write delayed":         {fault: standin.Fault{LateWrite: 1, LateBy: 2 * time.Second}, version: 2},
		"all writes delayed":    {fault: standin.Fault{LateWrite: 1000, LateBy: 9 * time.Second}, kind: configuration.KindUncertain, version: 2},
		"permanently down":      {fault: standin.Fault{Down: true}, kind: configuration.KindStore, version: 1},
		"calls rejected":        {fault: standin.Fault{Busy: true}, kind: configuration.KindStore, version: 1},
		"slow responses":        {fault: standin.Fault{Delay: 500 * time.Millisecond}, version: 2},
		"all responses cut off": {fault: standin.Fault{Reset: true}, kind: configuration.KindStore, version: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(r *rig) {
				convey.Convey("Publish returns the kind, and the version is in force", t, func() {
					_, err := r.newManager().Publish(r.t.Context(), configuration.Change{Text: text("old")})
					convey.So(err, convey.ShouldBeNil)
					r.platform.SetFault(c.fault)
					ctx, cancel := context.WithTimeout(r.t.Context(), 5*time.Second)
					defer cancel()
					release, err := r.newManager().Publish(ctx, configuration.Change{Text: text("new"), Base: c.base, Author: "ana"})
					convey.So(kindOf(err), convey.ShouldEqual, c.kind)
					if c.kind == "" {
						convey.So(release.Version, convey.ShouldEqual, c.version)
					}
					time.Sleep(20 * time.Second)
					r.platform.SetFault(standin.Fault{})
					current, err := r.newManager().Current(r.t.Context())
					convey.So(err, convey.ShouldBeNil)
					convey.So(current.Configuration.Version, convey.ShouldEqual, c.version)
				})
			})
		})
	}
}

func TestHistoryAndRollback(t *testing.T) {
	bubble(t, func(r *rig) {
		convey.Convey("A past file is published as a new version", t, func() {
			for _, s := range []string{"a", "b"} {
				_, err := r.newManager().Publish(r.t.Context(), configuration.Change{Text: text(s), Author: "ana", Note: s})
				convey.So(err, convey.ShouldBeNil)
			}
			past, err := r.newManager().FindRelease(r.t.Context(), 1)
			convey.So(err, convey.ShouldBeNil)
			release, err := r.newManager().Publish(r.t.Context(), configuration.Change{Text: past.Text, Note: "rollback"})
			convey.So(err, convey.ShouldBeNil)
			convey.So(release.Version, convey.ShouldEqual, inventory.Version(3))
			current, err := r.newManager().Current(r.t.Context())
			convey.So(err, convey.ShouldBeNil)
			convey.So(current.Configuration.Services[0].ID, convey.ShouldEqual, inventory.ServiceID("a"))
			all, err := r.newManager().History(r.t.Context())
			convey.So(err, convey.ShouldBeNil)
			convey.So(len(all), convey.ShouldEqual, 3)
			convey.So(all[0].Note, convey.ShouldEqual, "rollback")
			_, err = r.newManager().FindRelease(r.t.Context(), 9)
			convey.So(kindOf(err), convey.ShouldEqual, configuration.KindNotFound)
		})
	})
}

func TestDrains(t *testing.T) {
	cases := map[string]standin.Fault{
		"done":          {},
		"response lost": {LoseAnswer: 1},
		"write lost":    {LoseWrite: 1},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(r *rig) {
				convey.Convey("A failure domain is drained and undrained", t, func() {
					r.platform.SetFault(fault)
					convey.So(r.newManager().Drain(r.t.Context(), "norte-a"), convey.ShouldBeNil)
					drained, err := r.newManager().Drained(r.t.Context())
					convey.So(err, convey.ShouldBeNil)
					convey.So(drained, convey.ShouldResemble, []inventory.DomainID{"norte-a"})
					r.platform.SetFault(fault)
					convey.So(r.newManager().Undrain(r.t.Context(), "norte-a"), convey.ShouldBeNil)
					drained, err = r.newManager().Drained(r.t.Context())
					convey.So(err, convey.ShouldBeNil)
					convey.So(drained, convey.ShouldBeEmpty)
				})
			})
		})
	}
}

func TestInvalidInventoryWritesNothing(t *testing.T) {
	bubble(t, func(r *rig) {
		convey.Convey("It is rejected before anything is written", t, func() {
			_, err := r.newManager().Publish(r.t.Context(), configuration.Change{Text: []byte("[[route]]\nid = \"r\"\nprefix = \"x\"\n")})
			convey.So(err, convey.ShouldNotBeNil)
			convey.So(r.platform.Counts().Writes, convey.ShouldEqual, 0)
		})
	})
}

func TestResultsOfDrains(t *testing.T) {
	cases := map[string]struct {
		fault   standin.Fault
		kind    configuration.Kind
		drained bool // in the end
	}{
		"done":               {drained: true},
		"all writes delayed": {fault: standin.Fault{LateWrite: 1000, LateBy: 9 * time.Second}, kind: configuration.KindUncertain, drained: true},
		"permanently down":   {fault: standin.Fault{Down: true}, kind: configuration.KindStore},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(r *rig) {
				convey.Convey("A drain that may take effect is not reported as failed", t, func() {
					r.platform.SetFault(c.fault)
					ctx, cancel := context.WithTimeout(r.t.Context(), 5*time.Second)
					defer cancel()
					convey.So(kindOf(r.newManager().Drain(ctx, "norte-a")), convey.ShouldEqual, c.kind)
					time.Sleep(20 * time.Second)
					r.platform.SetFault(standin.Fault{})
					drained, err := r.newManager().Drained(r.t.Context())
					convey.So(err, convey.ShouldBeNil)
					convey.So(len(drained) == 1, convey.ShouldEqual, c.drained)
				})
			})
		})
	}
}

// TestVersionsAfterRestoreAreHigherThanLostOnes guards against a version that nodes refuse as
// older than the one that they have in force and that the store has lost.
func TestVersionsAfterRestoreAreHigherThanLostOnes(t *testing.T) {
	cases := map[string]int{"one version lost": 1, "many versions lost": 40, "all versions lost": 41}
	for name, lost := range cases {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(r *rig) {
				convey.Convey("The next version is higher, and the ones after it are consecutive", t, func() {
					publish := func() inventory.Version {
						release, err := r.newManager().Publish(r.t.Context(), configuration.Change{Text: text("new")})
						convey.So(err, convey.ShouldBeNil)
						return release.Version
					}
					var newest inventory.Version
					for range 41 {
						newest = publish()
						time.Sleep(time.Second)
					}
					r.platform.Restore(time.Duration(lost)*time.Second + time.Second/2)
					first := publish()
					convey.So(first, convey.ShouldBeGreaterThan, newest)
					convey.So(publish(), convey.ShouldEqual, first+1)
				})
			})
		})
	}
}

// TestVersionsAfterTwoRestoresAreHigherThanLostOnes guards against a version of the second era
// that is assigned again in the third one.
func TestVersionsAfterTwoRestoresAreHigherThanLostOnes(t *testing.T) {
	bubble(t, func(r *rig) {
		convey.Convey("Both restores lead to a time before the first one", t, func() {
			publish := func() inventory.Version {
				release, err := r.newManager().Publish(r.t.Context(), configuration.Change{Text: text("new")})
				convey.So(err, convey.ShouldBeNil)
				time.Sleep(time.Second)
				return release.Version
			}
			newest := publish()
			for _, ago := range []time.Duration{500 * time.Millisecond, 5 * time.Second, 8 * time.Second} {
				r.platform.Restore(ago)
				for range 4 {
					next := publish()
					convey.So(next, convey.ShouldBeGreaterThan, newest)
					newest = next
				}
			}
		})
	})
}
