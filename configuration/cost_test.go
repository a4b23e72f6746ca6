package configuration_test

// What one change costs, by the size of the inventory.

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wasabiwheel/wasabiwheel/configuration"
)

// sizedText is an inventory with a number of endpoints; slots is that of the
// one in the middle.
func sizedText(endpoints, slots int) []byte {
	b := bytes.NewBuffer(text("sized"))
	for i := range endpoints - 1 {
		n := 3
		if i == endpoints/2 {
			n = slots
		}
		fmt.Fprintf(b, "\n[[endpoint]]\nid = \"catalogue-%d\"\nservice = \"catalogue\"\ndomain = \"centro-a\"\naddress = \"10.1.%d.%d:8080\"\nslots = %d\nconnections = 330\n",
			i+2, i/250, i%250+1, n)
	}
	return b.Bytes()
}

// counting is a source that counts.
type counting struct {
	configuration.Source
	parts, bytes int
}

func (c *counting) Parts(ctx context.Context, want []configuration.Hash) ([]configuration.Shard, error) {
	got, err := c.Source.Parts(ctx, want)
	for _, s := range got {
		c.parts++
		c.bytes += len(s.Data)
	}
	return got, err
}

// TestCostOfAChange prints the table of docs/DESIGN.md.
func TestCostOfAChange(t *testing.T) {
	t.Log("endpoints | text bytes | shards | writes | bytes written | parts fetched | bytes fetched with the head | node's time to apply")
	for _, endpoints := range []int{10, 100, 1000, 10000} {
		m := newMemory()
		var before configuration.Bundle
		for range 70 { // the head's log is full
			before = m.must(t, before, configuration.Change{Text: sizedText(10, 3), Author: "operator", Note: "apply"})
		}
		before = m.must(t, before, configuration.Change{Text: sizedText(endpoints, 3), Author: "operator", Note: "apply"})
		m.writes, m.written = 0, 0
		after := m.must(t, before, configuration.Change{Text: sizedText(endpoints, 4), Author: "operator", Note: "apply"})
		source := &counting{Source: configuration.StoreSource{Store: m}}
		got, err := configuration.Fetch(t.Context(), source, after.Head, before)
		if err != nil {
			t.Fatal(err)
		}
		table := configuration.New()
		began := time.Now()
		if err := table.Offer(got); err != nil {
			t.Fatal(err)
		}
		took := time.Since(began)
		head := len(m.values[configuration.HeadName].Value)
		t.Logf("%d | %d | %d | %d | %d | %d | %d | %s", endpoints, len(sizedText(endpoints, 4)), len(after.Shards)-1,
			m.writes, m.written, source.parts, source.bytes+head, took.Round(time.Millisecond/10))
		if m.writes > 4 || source.parts > 3 {
			t.Errorf("%d writes, %d parts fetched", m.writes, source.parts)
		}
	}
}

func TestEditChangesFewShards(t *testing.T) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "50")
	whole := sizedText(1000, 3)
	m := newMemory()
	before := m.must(t, configuration.Bundle{}, configuration.Change{Text: whole})
	rapid.Check(t, func(rt *rapid.T) {
		at := rapid.IntRange(1, 998).Draw(rt, "endpoint")
		header := []byte(fmt.Sprintf("\n[[endpoint]]\nid = \"catalogue-%d\"\n", at+1))
		added := []byte(fmt.Sprintf("\n[[endpoint]]\nid = \"new\"\nservice = \"catalogue\"\ndomain = \"centro-a\"\naddress = \"10.9.9.%d:8080\"\nslots = 3\nconnections = 330\n", rapid.IntRange(1, 250).Draw(rt, "host")))
		after := bytes.Replace(whole, header, append(added, header...), 1)
		plan, err := planFor(m, after)
		if err != nil {
			rt.Fatal(err)
		}
		known := map[configuration.Hash]bool{}
		for _, s := range before.Shards {
			known[s.Hash] = true
		}
		fresh := 0
		for _, h := range plan.Content.Index.Shards {
			if !known[h] {
				fresh++
			}
		}
		if fresh > 2 || !bytes.Equal(plan.Text, after) {
			rt.Fatalf("%d new shards", fresh)
		}
	})
}

func planFor(m *memory, text []byte) (configuration.Plan, error) {
	present, err := configuration.ReadPresent(context.Background(), m, configuration.Bundle{})
	if err != nil {
		return configuration.Plan{}, err
	}
	return present.Plan(time.Now(), configuration.Change{Text: text})
}
