package configuration_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/configuration"
	"github.com/wasabiwheel/wasabiwheel/examples"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/platform"
)

// edited is the Lumbre example with one replacement.
func edited(old, replacement string) []byte {
	return bytes.Replace(examples.Lumbre, []byte(old), []byte(replacement), 1)
}

const (
	lastEntry = `[[entry]]
id = "lumbre-9"
domain = "sur-a"
caller = "127.20.1.9:7000"
peer = "127.20.1.9:7001"
admin = "127.20.1.9:7002"
`
	lastEndpoint = `[[endpoint]]
id = "checkout-12"
service = "checkout"
domain = "sur-b"
address = "127.20.2.40:8080"
slots = 3
connections = 330
`
)

func TestKnownIdsDoNotMove(t *testing.T) {
	cases := map[string]struct {
		text []byte
		says string // "": accepted
	}{
		"no change":           {examples.Lumbre, ""},
		"slots":               {edited("slots = 4", "slots = 5"), ""},
		"endpoint's address":  {edited("127.20.2.1:8080", "127.20.2.99:8080"), ""},
		"endpoint's domain":   {edited("service = \"catalogue\"\ndomain = \"norte-a\"", "service = \"catalogue\"\ndomain = \"norte-b\""), `endpoint "catalogue-1" changes its domain`},
		"endpoint removed":    {edited(lastEndpoint, ""), ""},
		"entry's domain":      {edited("domain = \"norte-a\"\ncaller", "domain = \"norte-b\"\ncaller"), `entry "lumbre-1" changes`},
		"entry's peer":        {edited("127.20.1.1:7001", "127.20.1.1:7003"), `entry "lumbre-1" changes`},
		"entry's caller":      {edited("127.20.1.1:7000", "127.20.1.1:7003"), `entry "lumbre-1" changes`},
		"entry removed":       {edited(lastEntry, ""), ""},
		"entry under new id":  {edited("lumbre-9", "lumbre-10"), ""},
		"domain's own region": {edited("id = \"norte-b\"\nregion = \"norte\"", "id = \"norte-b\"\nregion = \"sur\""), ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("An id keeps its place", t, func() {
				m := newMemory()
				m.must(t, configuration.Bundle{}, configuration.Change{Text: examples.Lumbre})
				_, err := configuration.Publish(t.Context(), m, configuration.Change{Text: c.text})
				if c.says == "" {
					convey.So(err, convey.ShouldBeNil)
					return
				}
				convey.So(kindOf(err), convey.ShouldEqual, configuration.KindInvalid)
				convey.So(err.Error(), convey.ShouldContainSubstring, c.says)
			})
		})
	}
}

func TestRemovedEntryStaysKnown(t *testing.T) {
	convey.Convey("Nodes that start later know a removed entry VM", t, func() {
		m := newMemory()
		m.must(t, configuration.Bundle{}, configuration.Change{Text: examples.Lumbre})
		removed := m.must(t, configuration.Bundle{}, configuration.Change{Text: edited(lastEntry, "")})
		table := configuration.New()
		convey.So(table.Offer(removed), convey.ShouldBeNil)
		convey.So(table.Former(), convey.ShouldHaveLength, 1)
		f := table.Former()[0]
		convey.So(f.ID, convey.ShouldEqual, inventory.EntryID("lumbre-9"))
		convey.So(f.Peer, convey.ShouldEqual, "127.20.1.9:7001")

		moved := bytes.Replace(examples.Lumbre, []byte("127.20.1.9:7001"), []byte("127.20.1.99:7001"), 1)
		_, err := configuration.Publish(t.Context(), m, configuration.Change{Text: moved})
		convey.So(kindOf(err), convey.ShouldEqual, configuration.KindInvalid)

		present, err := configuration.ReadPresent(t.Context(), m, configuration.Bundle{})
		convey.So(err, convey.ShouldBeNil)
		plan, err := present.Plan(time.Now().Add(25*time.Hour), configuration.Change{Text: edited(lastEntry, "")})
		convey.So(err, convey.ShouldBeNil)
		convey.So(plan.Content.Index.Former, convey.ShouldBeEmpty)

		back := m.must(t, configuration.Bundle{}, configuration.Change{Text: examples.Lumbre})
		content, err := back.Open()
		convey.So(err, convey.ShouldBeNil)
		convey.So(content.Index.Former, convey.ShouldBeEmpty)
	})
}

func TestDrainsByCommandStandApartFromTheFile(t *testing.T) {
	norte := inventory.Drain{Region: "norte"}
	last := inventory.Drain{Endpoint: "checkout-12"}
	convey.Convey("A drain by command", t, func() {
		m := newMemory()
		m.must(t, configuration.Bundle{}, configuration.Change{Text: examples.Lumbre})
		b := m.must(t, configuration.Bundle{}, configuration.Change{Drain: []inventory.Drain{norte, last}})
		content, err := b.Open()
		convey.So(err, convey.ShouldBeNil)
		convey.So(content.Inventory.Drains, convey.ShouldResemble, []inventory.Drain{norte, last})
		convey.So(string(content.Text), convey.ShouldEqual, string(examples.Lumbre))

		convey.Convey("survives a file that does not know it, unless its place is gone", func() {
			present, err := configuration.ReadPresent(t.Context(), m, configuration.Bundle{})
			convey.So(err, convey.ShouldBeNil)
			plan, err := present.Plan(time.Now(), configuration.Change{Text: edited(lastEndpoint, "")})
			convey.So(err, convey.ShouldBeNil)
			convey.So(plan.Inventory.Drains, convey.ShouldResemble, []inventory.Drain{norte})
			convey.So(plan.Dropped, convey.ShouldResemble, []inventory.Drain{last})
		})
		convey.Convey("is taken back by command", func() {
			b := m.must(t, configuration.Bundle{}, configuration.Change{Undrain: []inventory.Drain{norte}})
			content, err := b.Open()
			convey.So(err, convey.ShouldBeNil)
			convey.So(content.Inventory.Drains, convey.ShouldResemble, []inventory.Drain{last})
		})
		convey.Convey("that leaves nothing, or names nothing, is refused", func() {
			for _, d := range [][]inventory.Drain{{{Region: "sur"}, {Region: "centro"}}, {{Region: "oriente"}}, {{}}} {
				_, err := configuration.Publish(t.Context(), m, configuration.Change{Drain: d})
				convey.So(kindOf(err), convey.ShouldEqual, configuration.KindInvalid)
			}
		})
	})
}

func TestOlderStoreIsNotBuiltUponUnknowingly(t *testing.T) {
	convey.Convey("A store that came back without the last versions", t, func() {
		m := newMemory()
		v1 := m.must(t, configuration.Bundle{}, configuration.Change{Text: examples.Lumbre, Author: "ana"})
		backup := m.values[configuration.HeadName]
		m.must(t, configuration.Bundle{}, configuration.Change{Text: edited("slots = 4", "slots = 5"), Author: "ana"})
		v3 := m.must(t, configuration.Bundle{}, configuration.Change{Drain: []inventory.Drain{{Region: "norte"}}, Author: "ana"})
		node := configuration.New()
		convey.So(node.Offer(v3), convey.ShouldBeNil)
		m.values = map[string]platform.Object{configuration.HeadName: backup}
		for _, s := range v1.Shards {
			m.values["shard."+string(s.Hash)] = platform.Object{Name: "shard." + string(s.Hash), Version: "0", Value: s.Data}
		}
		convey.Convey("is overtaken when a node is asked", func() {
			present, err := configuration.ReadPresent(t.Context(), m, node.Bundle())
			convey.So(err, convey.ShouldBeNil)
			convey.So(present.Standing, convey.ShouldEqual, configuration.StandingOlder)
			convey.So(present.Store, convey.ShouldEqual, 1)
			b := m.must(t, node.Bundle(), configuration.Change{Drain: []inventory.Drain{{Region: "sur"}}, Author: "luz"})
			convey.So(b.Head.Version, convey.ShouldEqual, 4)
			convey.So(b.Head.Log[0].Version, convey.ShouldEqual, 3)
			convey.So(node.Offer(b), convey.ShouldBeNil)
			convey.So(node.Inventory().Drains, convey.ShouldHaveLength, 2)
		})
		convey.Convey("makes versions that nodes refuse when none is asked, and the next one that asks ends it", func() {
			for range 2 {
				b := m.must(t, configuration.Bundle{}, configuration.Change{Text: examples.Lumbre, Author: "eva"})
				convey.So(node.Offer(b), convey.ShouldNotBeNil)
			}
			convey.So(kindOf(node.Offer(m.bundle(t))), convey.ShouldEqual, configuration.KindForked)
			present, err := configuration.ReadPresent(t.Context(), m, node.Bundle())
			convey.So(err, convey.ShouldBeNil)
			convey.So(present.Standing, convey.ShouldEqual, configuration.StandingForked)
			b := m.must(t, node.Bundle(), configuration.Change{Text: examples.Lumbre, Author: "eva"})
			convey.So(b.Head.Version, convey.ShouldEqual, 4)
			convey.So(node.Offer(b), convey.ShouldBeNil)
		})
		convey.Convey("or without a readable head is built upon from a node", func() {
			m.values[configuration.HeadName] = platform.Object{Name: configuration.HeadName, Version: "0", Value: []byte("{")}
			_, err := configuration.ReadPresent(t.Context(), m, configuration.Bundle{})
			convey.So(kindOf(err), convey.ShouldEqual, configuration.KindCorrupt)
			b := m.must(t, node.Bundle(), configuration.Change{Text: examples.Lumbre})
			convey.So(b.Head.Version, convey.ShouldEqual, 4)
		})
	})
}
