package node

import (
	"net/http"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/examples"
)

func TestBothDeploymentsServeTheWholePath(t *testing.T) {
	for name, text := range map[string][]byte{"lumbre": examples.Lumbre, "association": examples.Association} {
		t.Run(name, func(t *testing.T) {
			bubble(t, text, func(r *rig) {
				convey.Convey("Each entry VM serves look-ups and once-only work", r.t, func() {
					service := r.inv.Services[1].ID
					for _, e := range r.inv.Entries {
						got := r.send(r.t.Context(), e.ID, http.MethodGet, "/serve/catalogue/lamps/7", "", "")
						convey.So(got.err, convey.ShouldBeNil)
						convey.So(got.outcome, convey.ShouldEqual, OutcomeRan)
						convey.So(got.echo.Path, convey.ShouldEqual, "/lamps/7")

						key := r.token(e.ID, e.ID) + "~operation-1"
						got = r.send(r.t.Context(), e.ID, http.MethodPost, "/serve/"+string(service)+"/x", key, "body")
						convey.So(got.outcome, convey.ShouldEqual, OutcomeRan)
						convey.So(got.echo.Body, convey.ShouldEqual, "body")
						convey.So(r.timesRun(key), convey.ShouldEqual, 1)
					}
				})
			})
		})
	}
}

func TestKilledNodeHasItsEndpointsTakenOver(t *testing.T) {
	bubble(t, examples.Lumbre, func(r *rig) {
		convey.Convey("All slots have an owner again after a process died", r.t, func() {
			r.kill("lumbre-1")
			r.settle()
			convey.So(r.slots(), convey.ShouldBeGreaterThan, 0)
		})
	})
}
