package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// BenchmarkGrant is one question for eight budgets, of 667 askers.
func BenchmarkGrant(b *testing.B) {
	g := NewGranter()
	ask := Ask{Entry: "mx-1234", Incarnation: 1 << 60, Epoch: 7}
	for i := range 8 {
		id := inventory.BudgetID{Service: "catalogue", From: "norte", To: inventory.RegionID(fmt.Sprint("region-", i))}
		g.pools[id] = &pool{accounts: map[Asker]*account{}, Budget: inventory.Budget{ID: id, Limit: 100_000, Window: time.Second}}
		ask.Wants = append(ask.Wants, Grant{ID: id, Amount: 100})
	}
	data, err := ask.Encode()
	if err != nil {
		b.Fatal(err)
	}
	i, now := 0, start
	for b.Loop() {
		a, err := DecodeAsk(data)
		if err != nil {
			b.Fatal(err)
		}
		g.Grant(now, 1, Asker{Entry: a.Entry, Incarnation: inventory.Incarnation(i % 667)}, a.Wants)
		now = now.Add(time.Second / 1334)
		i++
	}
	b.ReportMetric(float64(len(data)), "bytes/ask")
}
