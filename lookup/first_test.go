package lookup

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/examples"
	"github.com/wasabiwheel/wasabiwheel/inventory"
)

func TestFirstTick(t *testing.T) {
	serving := State{Entries: true, Slots: true, Spare: true}
	cases := map[string]struct {
		home  State
		moved bool
	}{
		"a region that serves keeps its blocks":           {home: serving},
		"a region that is full now keeps its blocks":      {home: State{Entries: true, Slots: true, Full: true}},
		"blocks of a region that is lost are moved first": {home: State{}, moved: true},
	}
	inv, err := inventory.Parse("lumbre.toml", examples.Lumbre)
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The first tick of a process moves blocks of a lost region only", t, func() {
				var s Shifts
				s.SetInventory(inv)
				now := time.Unix(0, 0)
				s.Tick(now, "catalogue", map[inventory.RegionID]State{"norte": c.home, "centro": serving, "sur": serving})
				s.Ticked(now)
				moved := false
				for _, b := range inv.Blocks {
					if b.Region == "norte" && s.Region("catalogue", b.ID, "norte") != "norte" {
						moved = true
					}
				}
				convey.So(moved, convey.ShouldEqual, c.moved)
			})
		})
	}
}
