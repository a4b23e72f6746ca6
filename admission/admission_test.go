package admission_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/admission"
)

func TestDecide(t *testing.T) {
	const ms = time.Millisecond
	cases := map[string]struct {
		request  admission.Request
		estimate admission.Estimate
		admit    bool
	}{
		"free":               {admission.Request{Left: time.Second, Objective: time.Second}, admission.Estimate{Run: 200 * ms}, true},
		"short wait":         {admission.Request{Left: time.Second, Objective: time.Second}, admission.Estimate{Wait: 300 * ms, Run: 200 * ms}, true},
		"long wait":          {admission.Request{Left: time.Second, Objective: time.Second}, admission.Estimate{Wait: 900 * ms, Run: 200 * ms}, false},
		"free, just in time": {admission.Request{Left: time.Second, Objective: time.Second}, admission.Estimate{Run: 990 * ms}, true},
		"run too long":       {admission.Request{Left: time.Second, Objective: time.Second}, admission.Estimate{Run: 1100 * ms}, false},

		"over objective, no wait":              {admission.Request{Left: 4 * time.Second, Objective: 100 * ms}, admission.Estimate{Run: 900 * ms, WarmRun: 900 * ms}, true},
		"over objective by its wait":           {admission.Request{Left: 4 * time.Second, Objective: 100 * ms}, admission.Estimate{Wait: 150 * ms, Run: 60 * ms, WarmRun: 60 * ms}, false},
		"over objective, highest priority":     {admission.Request{Left: 4 * time.Second, Objective: 100 * ms}, admission.Estimate{Wait: 130 * ms, Run: 60 * ms, WarmRun: 60 * ms}, true},
		"over objective, lower priority":       {admission.Request{Left: 4 * time.Second, Objective: 100 * ms, Priority: 2}, admission.Estimate{Wait: 130 * ms, Run: 60 * ms, WarmRun: 60 * ms}, false},
		"within objective, lowest priority":    {admission.Request{Left: 4 * time.Second, Objective: 100 * ms, Priority: 99}, admission.Estimate{Wait: 30 * ms, Run: 60 * ms, WarmRun: 60 * ms}, true},
		"over objective by default times":      {admission.Request{Left: 4 * time.Second, Objective: 100 * ms}, admission.Estimate{Wait: 150 * ms, Run: 60 * ms, WarmRun: 60 * ms, Unmeasured: true}, true},
		"too long by default times":            {admission.Request{Left: time.Second, Objective: time.Second}, admission.Estimate{Wait: 900 * ms, Run: 200 * ms, Unmeasured: true}, false},
		"over objective as it loads an object": {admission.Request{Left: 4 * time.Second, Objective: 100 * ms}, admission.Estimate{Wait: 30 * ms, Run: 300 * ms, WarmRun: 60 * ms}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The admission verdict", t, func() {
				v := admission.Decide(c.request, c.estimate)
				convey.So(v.Admit, convey.ShouldEqual, c.admit)
				if !c.admit {
					convey.So(v.RetryAfter, convey.ShouldBeBetweenOrEqual, 100*ms, c.request.Left/3)
					convey.So(v.Takes, convey.ShouldBeGreaterThan, v.Bound)
				}
			})
		})
	}
}

func TestRetryDelaysAreSpread(t *testing.T) {
	convey.Convey("Retry delays have jitter", t, func() {
		delays := map[time.Duration]bool{}
		for range 100 {
			delays[admission.RetryAfter(time.Second, time.Minute)] = true
		}
		convey.So(len(delays), convey.ShouldBeGreaterThan, 50)
	})
}
