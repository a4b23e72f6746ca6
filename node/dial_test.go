package node

import (
	"net/http"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/examples"
)

// A dial that outlived its request for ever would keep the bubble from ending.
func TestDialToSilentTargetEnds(t *testing.T) {
	bubble(t, examples.Lumbre, func(r *rig) {
		convey.Convey("A request to targets that are silent is answered by its deadline, and its dials end", r.t, func() {
			for _, e := range r.inv.Endpoints {
				r.network.Isolate(hostOf(e.Address))
			}
			began := time.Now()
			got := r.send(r.t.Context(), "lumbre-1", http.MethodGet, "/serve/catalogue/x", "", "")
			convey.So(got.err, convey.ShouldBeNil)
			convey.So(got.outcome, convey.ShouldNotEqual, OutcomeRan)
			convey.So(time.Since(began), convey.ShouldBeLessThan, 3*time.Second)
		})
	})
}
