package region_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/region"
)

func BenchmarkTake(b *testing.B) {
	inv := declared(b, "latency", 3, 3, 1_000_000)
	t := region.New("north-0", rand.New(rand.NewPCG(1, 1)))
	t.SetInventory(modelStart, inv)
	now := modelStart.Add(region.HoldTime)
	for b.Loop() {
		p, _ := t.Take(now, region.Move{Service: "s", From: "north", To: "south", Bytes: 100})
		t.Done(now, p, region.Result{Bytes: 1000, Took: time.Millisecond})
		now = now.Add(10 * time.Microsecond)
	}
}

func BenchmarkOrder(b *testing.B) {
	for _, size := range []int{9, 90} {
		b.Run(fmt.Sprint(size, " places"), func(b *testing.B) {
			t := region.New("north-0", rand.New(rand.NewPCG(1, 1)))
			t.SetInventory(modelStart, declared(b, "latency", 3, 3, 1000))
			var places []region.Place
			for i := range size {
				r := []string{"north", "south"}[i%2]
				places = append(places, region.Place{Entry: inventory.EntryID(fmt.Sprint(r, "-", i)), Domain: inventory.DomainID(r + "-a"), Region: inventory.RegionID(r), Free: 4, Slots: 8})
			}
			for b.Loop() {
				t.Order(modelStart, region.Question{Service: "s", Home: "north", Origin: "north-a"}, places)
			}
		})
	}
}

func BenchmarkSetInventory(b *testing.B) {
	inv := declared(b, "latency", 200, 200, 1001)
	t := region.New("north-0", rand.New(rand.NewPCG(1, 1)))
	for b.Loop() {
		t.SetInventory(modelStart, inv)
	}
}
