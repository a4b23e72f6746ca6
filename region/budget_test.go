package region

import (
	"bytes"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/examples"
	"github.com/wasabiwheel/wasabiwheel/inventory"
)

func TestFloorsWaitForAChangeToReachAllNodes(t *testing.T) {
	move := Move{Service: "catalogue", From: "norte", To: "centro"}
	convey.Convey("Given floors of 16 or 17 of a cap of 200 over six entry VMs", t, func() {
		table, settled := ready(t, examples.Lumbre, "lumbre-1")
		convey.Convey("A new process uses nothing until all have its inventory", func() {
			convey.So(passages(table, settled.Add(-time.Millisecond), move, 0), convey.ShouldEqual, 0)
			convey.So(passages(table, settled, move, 0), convey.ShouldBeBetweenOrEqual, 16, 17)
		})
		convey.Convey("A floor that grows stays as it was until then", func() {
			raised, err := inventory.Parse("test", bytes.ReplaceAll(examples.Lumbre, []byte("rate = 200"), []byte("rate = 400")))
			convey.So(err, convey.ShouldBeNil)
			table.SetInventory(settled, raised)
			later := settled.Add(HoldTime)
			convey.So(passages(table, later.Add(-2*time.Second), move, 0), convey.ShouldBeBetweenOrEqual, 16, 17)
			convey.So(passages(table, later, move, 0), convey.ShouldBeBetweenOrEqual, 33, 34)
		})
		convey.Convey("A floor that shrinks does so at once, and stays so if it grows again", func() {
			lowered, err := inventory.Parse("test", bytes.ReplaceAll(examples.Lumbre, []byte("rate = 200"), []byte("rate = 24")))
			convey.So(err, convey.ShouldBeNil)
			table.SetInventory(settled, lowered)
			convey.So(passages(table, settled, move, 0), convey.ShouldEqual, 2)
			again, err := inventory.Parse("test", examples.Lumbre)
			convey.So(err, convey.ShouldBeNil)
			table.SetInventory(settled.Add(time.Second), again)
			convey.So(passages(table, settled.Add(3*time.Second), move, 0), convey.ShouldEqual, 2)
		})
	})
}

func TestMovesBeforeAPauseCountAfterIt(t *testing.T) {
	convey.Convey("Given a node that was paused for two seconds after it used its floor", t, func() {
		move := Move{Service: "catalogue", From: "norte", To: "centro"}
		table, now := ready(t, examples.Lumbre, "lumbre-1")
		table.Tick(now)
		floor := passages(table, now, move, 0)
		woken := now.Add(2 * time.Second)
		convey.Convey("It may use nothing until a window has passed since it woke", func() {
			convey.So(passages(table, woken, move, 0), convey.ShouldEqual, 0)
			table.Tick(woken)
			convey.So(passages(table, woken.Add(400*time.Millisecond), move, 0), convey.ShouldEqual, 0)
			table.Tick(woken.Add(500 * time.Millisecond))
			table.Tick(woken.Add(time.Second))
			convey.So(passages(table, woken.Add(1100*time.Millisecond), move, 0), convey.ShouldEqual, floor)
		})
		convey.Convey("After a pause of more than three seconds it waits like a new process", func() {
			woken = now.Add(4 * time.Second)
			for at := woken; at.Before(woken.Add(HoldTime)); at = at.Add(100 * time.Millisecond) {
				table.Tick(at)
				convey.So(passages(table, at, move, 0), convey.ShouldEqual, 0)
			}
			convey.So(passages(table, woken.Add(HoldTime), move, 0), convey.ShouldEqual, floor)
		})
	})
}

func TestFloorsSumToHalfTheCap(t *testing.T) {
	cases := map[string]struct {
		rate inventory.Rate
		want int64
	}{
		"many for each":     {200, 100},
		"fewer than nodes":  {7, 3},
		"one":               {1, 0},
		"none":              {0, 0},
		"less than one":     {0.1, 0},
		"with a remainder":  {100, 50},
		"a fraction is cut": {9.9, 4},
	}
	inv, err := inventory.Parse("test", examples.Lumbre)
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey(name, t, func() {
				inv.Caps = []inventory.Cap{{Service: "catalogue", From: "norte", To: "centro", Rate: c.rate}}
				b := inv.Budgets()[0]
				sum := int64(0)
				for _, e := range inv.Entries {
					sum += inv.FloorOf(b, e.ID)
				}
				convey.So(sum, convey.ShouldEqual, c.want)
				convey.So(sum+b.Pool(), convey.ShouldEqual, b.Limit)
			})
		})
	}
}
