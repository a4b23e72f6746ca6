package configuration_test

import (
	"context"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/configuration"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/platform"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

// TestLateRemovalsKeepNewerDrains guards against a removal whose response was lost and which ends a drain that was
// confirmed after it.
func TestLateRemovalsKeepNewerDrains(t *testing.T) {
	const domain = inventory.DomainID("norte-a")
	late := func(count int) standin.Fault {
		return standin.Fault{LateWrite: count, LateBy: 5 * time.Second}
	}
	cases := map[string]struct {
		fault  standin.Fault // while the drain is removed
		during time.Duration // into the removal, at which another operator drains; 0: none does
		kind   configuration.Kind
	}{
		"repeated at once":                     {fault: late(1)},
		"given up":                             {fault: late(1000), kind: configuration.KindUncertain},
		"not executed":                         {fault: standin.Fault{LoseWrite: 1000}, kind: configuration.KindUncertain},
		"executed, not answered":               {fault: standin.Fault{LoseAnswer: 1}},
		"another operator drains, removed":     {fault: standin.Fault{LoseAnswer: 1}, during: 50 * time.Millisecond, kind: configuration.KindConflict},
		"another operator drains, not removed": {fault: late(1), during: 50 * time.Millisecond, kind: configuration.KindConflict},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(r *rig) {
				convey.Convey("The drain that was confirmed last stays", t, func() {
					ctx := r.t.Context()
					convey.So(r.newManager().Drain(ctx, domain), convey.ShouldBeNil)
					time.Sleep(time.Second)
					r.platform.SetFault(c.fault)
					drained := make(chan error, 1)
					if c.during > 0 {
						go func() {
							time.Sleep(c.during)
							drained <- r.newManager().Drain(ctx, domain)
						}()
					}
					limited, cancel := context.WithTimeout(ctx, 2*time.Second)
					defer cancel()
					convey.So(kindOf(r.newManager().Undrain(limited, domain)), convey.ShouldEqual, c.kind)
					r.platform.SetFault(standin.Fault{})
					if c.during == 0 {
						drained <- r.newManager().Drain(ctx, domain)
					}
					convey.So(<-drained, convey.ShouldBeNil)
					confirmed := time.Now()
					time.Sleep(20 * time.Second)
					convey.So(r.platform.RemovedAt(string(platform.Drains), string(domain)).After(confirmed), convey.ShouldBeFalse)
					all, err := r.newManager().Drained(ctx)
					convey.So(err, convey.ShouldBeNil)
					convey.So(all, convey.ShouldResemble, []inventory.DomainID{domain})
				})
			})
		})
	}
}

// TestUnreadableDrainIsRemoved guards against a drain that can't be ended, since another writer has left something there
// that can't be read.
func TestUnreadableDrainIsRemoved(t *testing.T) {
	bubble(t, func(r *rig) {
		convey.Convey("By undrain, also if it was drained again", t, func() {
			for _, again := range []bool{false, true} {
				convey.So(r.newManager().Drain(r.t.Context(), "norte-a"), convey.ShouldBeNil)
				r.platform.Corrupt(string(platform.Drains), "norte-a", `{"Metadata":{"Name":"{name}","Revision":"x"}}`)
				if again {
					convey.So(r.newManager().Drain(r.t.Context(), "norte-a"), convey.ShouldBeNil)
				}
				convey.So(r.newManager().Undrain(r.t.Context(), "norte-a"), convey.ShouldBeNil)
				all, err := r.newManager().Drained(r.t.Context())
				convey.So(err, convey.ShouldBeNil)
				convey.So(all, convey.ShouldBeEmpty)
			}
		})
	})
}

// TestLateDrainEndsWithItsRemoval guards against a drain whose response was lost and which takes effect once more after it
// was removed.
func TestLateDrainEndsWithItsRemoval(t *testing.T) {
	const domain = inventory.DomainID("norte-a")
	cases := map[string]struct {
		renewed bool          // another operator drains, too, before it is removed
		newer   time.Duration // into the removal, at which another operator drains; 0: none does
		limit   time.Duration // of the removal
		kind    configuration.Kind
		drained bool // in the end
	}{
		"removed":                       {limit: time.Minute},
		"renewed by another operator":   {limit: time.Minute, renewed: true},
		"drained again by another":      {limit: time.Minute, newer: 2 * time.Second, drained: true},
		"the command has not that long": {limit: 2 * time.Second, kind: configuration.KindUncertain, drained: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(r *rig) {
				convey.Convey("It is not drained by the late call", t, func() {
					r.platform.SetFault(standin.Fault{LateWrite: 1, LateBy: 5 * time.Second})
					convey.So(r.newManager().Drain(r.t.Context(), domain), convey.ShouldBeNil)
					time.Sleep(time.Second)
					if c.renewed {
						convey.So(r.newManager().Drain(r.t.Context(), domain), convey.ShouldBeNil)
					}
					if c.newer > 0 {
						go func() {
							time.Sleep(c.newer)
							_ = r.newManager().Drain(r.t.Context(), domain) // its result is in the store
						}()
					}
					ctx, cancel := context.WithTimeout(r.t.Context(), c.limit)
					defer cancel()
					convey.So(kindOf(r.newManager().Undrain(ctx, domain)), convey.ShouldEqual, c.kind)
					time.Sleep(20 * time.Second)
					all, err := r.newManager().Drained(r.t.Context())
					convey.So(err, convey.ShouldBeNil)
					convey.So(len(all) == 1, convey.ShouldEqual, c.drained)
				})
			})
		})
	}
}

// TestUndrainOfAnsweredDrainDoesNotWait guards against a command that takes long without a reason.
func TestUndrainOfAnsweredDrainDoesNotWait(t *testing.T) {
	bubble(t, func(r *rig) {
		convey.Convey("It ends at once", t, func() {
			convey.So(r.newManager().Drain(r.t.Context(), "norte-a"), convey.ShouldBeNil)
			began := time.Now()
			convey.So(r.newManager().Undrain(r.t.Context(), "norte-a"), convey.ShouldBeNil)
			convey.So(time.Since(began), convey.ShouldBeLessThan, 100*time.Millisecond)
		})
	})
}
