package node

import (
	"net/http"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/endpoint"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

func TestSlowReadIsHedgedWithinTheBudget(t *testing.T) {
	bubble(t, small(t), func(r *rig) {
		convey.Convey("Given one endpoint of two that has become very slow", r.t, func() {
			r.run(offer{http.MethodGet, "/serve/catalogue/x", 50, patience}, 5*time.Second)
			convey.So(r.ownerOf("catalogue-1"), convey.ShouldNotEqual, r.ownerOf("catalogue-2"))
			slow := r.targets["catalogue-1"]
			slow.SetBehaviour(standin.Behaviour{Work: 800 * time.Millisecond})
			convey.Convey("reads there are answered by the other, and no slot is used twice", func() {
				_, before := r.attempts()
				owner := r.ownerOf("catalogue-1")
				r.nodes[owner].retries = endpoint.NewBudget() // the load before may have hedged
				for range 10 {
					began := time.Now()
					got := r.send(r.t.Context(), owner, http.MethodGet, "/serve/catalogue/x", "", "")
					convey.So(got.status, convey.ShouldEqual, http.StatusOK)
					convey.So(time.Since(began), convey.ShouldBeLessThan, 200*time.Millisecond)
				}
				time.Sleep(time.Second)
				convey.So(slow.Ledger().Peak, convey.ShouldBeLessThanOrEqualTo, 4)
				convey.So(slow.Ledger().Busy, convey.ShouldEqual, 0)
				_, after := r.attempts()
				convey.So(after-before, convey.ShouldBeBetweenOrEqual, 1, 10)
			})
			convey.Convey("other operations are never sent twice", func() {
				before, _ := r.attempts()
				for range 5 {
					r.send(r.t.Context(), r.ownerOf("catalogue-1"), http.MethodPost, "/serve/catalogue/x", "", "")
				}
				after, _ := r.attempts()
				convey.So(after-before, convey.ShouldEqual, 5)
			})
		})
	})
}
