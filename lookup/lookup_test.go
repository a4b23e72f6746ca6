package lookup

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// declared is an inventory of regions with entry VMs and no blocks.
func declared(t testing.TB, regions, entries int) *inventory.Inventory {
	var b strings.Builder
	b.WriteString("[[service]]\nid = \"s\"\n[[endpoint]]\nid = \"e\"\nservice = \"s\"\ndomain = \"d0\"\naddress = \"10.0.0.1:80\"\nslots = 1\nconnections = 1\n")
	for r := range regions {
		fmt.Fprintf(&b, "[[region]]\nid = \"r%d\"\n[[domain]]\nid = \"d%d\"\nregion = \"r%d\"\n", r, r, r)
		for q := range r {
			fmt.Fprintf(&b, "[[link]]\nfrom = \"r%d\"\nto = \"r%d\"\ndelay = \"%dms\"\nmbit = 100\n", q, r, 10+r)
			fmt.Fprintf(&b, "[[cap]]\nservice = \"s\"\nfrom = \"r%d\"\nto = \"r%d\"\nrate = 100\nstep = 0.1\n", q, r)
		}
	}
	for i := range entries {
		fmt.Fprintf(&b, "[[entry]]\nid = \"n%d\"\ndomain = \"d%d\"\n", i, i%regions)
		for _, port := range []string{"caller", "peer", "admin"} {
			fmt.Fprintf(&b, "%s = \"10.1.%d.%d:%d\"\n", port, i/250, i%250, 7000+len(port))
		}
	}
	inv, err := inventory.Parse("test", []byte(b.String()))
	if err != nil {
		t.Fatal(err)
	}
	return inv
}

func TestBlocksOfADeadEntrySpreadOverAllOthers(t *testing.T) {
	convey.Convey("Given 9,000 blocks of a region with 9 entry VMs, of which one dies", t, func() {
		ix := NewIndex(declared(t, 1, 9))
		before, after := map[inventory.EntryID]int{}, map[inventory.EntryID]int{}
		for i := range 9000 {
			q := Question{Block: inventory.BlockID(fmt.Sprint("desk-", i)), Region: "r0"}
			first := ix.Order(q, func(inventory.EntryID) bool { return true })[0].ID
			then := ix.Order(q, func(id inventory.EntryID) bool { return id != "n4" })[0].ID
			before[first]++
			if first != then {
				after[then]++
				convey.So(first, convey.ShouldEqual, inventory.EntryID("n4"))
			}
		}
		convey.Convey("Each had a ninth, and each other gets an eighth of that, within a fifth", func() {
			for id, n := range before {
				convey.So(n, convey.ShouldBeBetween, 800, 1200)
				if id != "n4" {
					convey.So(after[id], convey.ShouldBeBetween, before["n4"]/8*3/4, before["n4"]/8*5/4)
				}
			}
		})
	})
}

// movedTo counts, of 10,000 blocks of r0, those that are sent to each region.
func movedTo(s *Shifts) map[inventory.RegionID]int {
	count := map[inventory.RegionID]int{}
	for i := range 10000 {
		count[s.Region("s", inventory.BlockID(fmt.Sprint("desk-", i)), "r0")]++
	}
	return count
}

func TestBlocksMoveInSteps(t *testing.T) {
	well := State{Entries: true, Slots: true, Spare: true}
	start := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	convey.Convey("Given three regions, of which one loses its endpoints, and a step of 0.1 a second", t, func() {
		s, other := &Shifts{}, &Shifts{}
		s.SetInventory(declared(t, 3, 9))
		other.SetInventory(declared(t, 3, 9))
		state := map[inventory.RegionID]State{"r0": well, "r1": well, "r2": well}
		second := 0
		pass := func(tables ...*Shifts) {
			second++
			for _, s := range tables {
				s.Tick(start.Add(time.Duration(second)*time.Second), "s", state)
				s.Ticked(start.Add(time.Duration(second) * time.Second))
			}
		}
		pass(s, other)
		state["r0"] = State{Entries: true}
		last := movedTo(s)
		for range 6 {
			pass(s)
			now := movedTo(s)
			for _, to := range []inventory.RegionID{"r1", "r2"} {
				convey.So(now[to]-last[to], convey.ShouldBeBetweenOrEqual, 0, 1100)
			}
			last = now
		}
		convey.Convey("All have moved after five seconds, half to each", func() {
			convey.So(last["r0"], convey.ShouldEqual, 0)
			convey.So(last["r1"], convey.ShouldBeBetween, 4800, 5200)
		})
		convey.Convey("What a lost region had goes to the last one in steps", func() {
			state["r2"] = State{}
			pass(s)
			now := movedTo(s)
			convey.So(now["r1"]-last["r1"], convey.ShouldBeBetweenOrEqual, 0, 1100)
			for range 11 {
				pass(s)
			}
			convey.So(movedTo(s)["r1"], convey.ShouldEqual, 10000)
		})
		convey.Convey("A node that was paused for a minute does not make up for it", func() {
			second += 60
			pass(other)
			convey.So(movedTo(other)["r0"], convey.ShouldBeGreaterThan, 7800)
		})
		convey.Convey("All come back in steps", func() {
			state["r0"] = well
			pass(s)
			convey.So(movedTo(s)["r0"], convey.ShouldBeBetween, 1700, 2300)
		})
	})
}

func BenchmarkOrder(b *testing.B) {
	for name, size := range map[string]struct{ regions, entries int }{"9 entries": {3, 9}, "6000 entries": {9, 6000}} {
		b.Run(name, func(b *testing.B) {
			ix := NewIndex(declared(b, size.regions, size.entries))
			alive := func(inventory.EntryID) bool { return true }
			blocks := make([]inventory.BlockID, 660_000)
			for i := range blocks {
				blocks[i] = inventory.BlockID(fmt.Sprint("desk-", i))
			}
			i := 0
			for b.Loop() {
				ix.Order(Question{Block: blocks[i%len(blocks)], Region: "r1"}, alive)
				i++
			}
		})
	}
}
