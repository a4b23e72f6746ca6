package node

import (
	"net/http"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/examples"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/lookup"
)

func TestDeadEntryVMLeavesLookUpsWithinThreeSeconds(t *testing.T) {
	const dead = "lumbre-5"
	faults := map[string]func(r *rig){
		"killed":  func(r *rig) { r.kill(dead) },
		"cut off": func(r *rig) { r.cutOff(dead, true) },
	}
	for name, strike := range faults {
		t.Run(name, func(t *testing.T) {
			bubble(t, examples.Lumbre, func(r *rig) {
				convey.Convey(name, r.t, func() {
					convey.So(r.names("lumbre-1", dead) || r.names("lumbre-4", dead), convey.ShouldBeTrue)
					strike(r)
					time.Sleep(3 * time.Second)
					for id := range r.nodes {
						if id != dead {
							convey.So(r.names(id, dead), convey.ShouldBeFalse)
						}
					}
					r.cutOff(dead, false)
				})
			})
		})
	}
}

func TestLookUpsOfALostRegionMoveInSteps(t *testing.T) {
	bubble(t, examples.Lumbre, func(r *rig) {
		convey.Convey("Given 200 blocks of a region whose entry VMs all die, and steps of 0.05 a second to each other region", r.t, func() {
			time.Sleep(2 * shiftSettle)
			for _, id := range []inventory.EntryID{"lumbre-1", "lumbre-2", "lumbre-3"} {
				r.kill(id)
			}
			time.Sleep(3 * time.Second)
			status := map[int]int{}
			for _, block := range "abcdefgh" {
				got := r.send(r.t.Context(), "lumbre-4", http.MethodGet, "/lookup?service=catalogue&region=norte&block="+string(block), "", "")
				status[got.status]++
				convey.So(got.status == http.StatusOK || got.header.Get("Retry-After") != "", convey.ShouldBeTrue)
			}
			convey.So(status[http.StatusServiceUnavailable], convey.ShouldBeGreaterThan, 0)
			last, differ := r.movedBlocks(200)
			for range 6 {
				time.Sleep(time.Second)
				now, d := r.movedBlocks(200)
				// Two regions take 0.05 each, which is 20 of the blocks; as many
				// again for the unevenness of the hashes.
				convey.So(now-last, convey.ShouldBeBetweenOrEqual, 0, 40)
				last, differ = now, max(differ, d)
			}
			convey.So(last, convey.ShouldBeLessThan, 200)
			time.Sleep(5 * time.Second)
			last, _ = r.movedBlocks(200)
			convey.So(last, convey.ShouldEqual, 200)
			// Nodes that saw the loss up to half a second apart agree but for the
			// blocks that move in that time.
			convey.So(differ, convey.ShouldBeLessThanOrEqualTo, 20)
		})
	})
}

// movedBlocks counts the blocks that one node sends to another region, and those
// about which two nodes disagree.
func (r *rig) movedBlocks(count int) (moved, differ int) {
	for i := range count {
		block := inventory.BlockID("unknown-" + string(rune('a'+i%26)) + string(rune('a'+i/26)))
		a := lookup.Question{Block: block, Region: "norte"}
		b := a
		served := r.nodes["lumbre-4"].steerBlock("catalogue", &a, "")
		if served != r.nodes["lumbre-8"].steerBlock("catalogue", &b, "") || a.Region != b.Region {
			differ++
		}
		if served {
			moved++
		}
	}
	return moved, differ
}
