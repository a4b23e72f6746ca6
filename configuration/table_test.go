package configuration_test

import (
	"flag"
	"slices"
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/wasabiwheel/wasabiwheel/configuration"
	"github.com/wasabiwheel/wasabiwheel/examples"
)

// damage makes a bundle bad.
type damage func(b *configuration.Bundle)

var damages = map[string]struct {
	damage damage
	kind   configuration.Kind
}{
	"truncated shard": {func(b *configuration.Bundle) { b.Shards[1].Data = b.Shards[1].Data[:9] }, configuration.KindCorrupt},
	"changed shard":   {func(b *configuration.Bundle) { b.Shards[1].Data[3] ^= 1 }, configuration.KindCorrupt},
	"another's hash":  {func(b *configuration.Bundle) { b.Shards[1].Hash = b.Shards[0].Hash }, configuration.KindCorrupt},
	"shard missing":   {func(b *configuration.Bundle) { b.Shards = b.Shards[:len(b.Shards)-1] }, configuration.KindCorrupt},
	"index missing":   {func(b *configuration.Bundle) { b.Shards = b.Shards[1:] }, configuration.KindCorrupt},
	"nothing":         {func(b *configuration.Bundle) { b.Shards = nil }, configuration.KindCorrupt},
	"index no JSON":   {replaceIndex("{"), configuration.KindCorrupt},
	"index no hash":   {replaceIndex(`{"shards":["x"]}`), configuration.KindCorrupt},
	"empty text":      {replaceIndex(`{}`), configuration.KindInvalid},
}

func replaceIndex(text string) damage {
	return func(b *configuration.Bundle) {
		b.Shards[0] = configuration.Shard{Hash: configuration.HashOf([]byte(text)), Data: []byte(text)}
		b.Head.Index = b.Shards[0].Hash
	}
}

func clone(b configuration.Bundle) configuration.Bundle {
	b.Shards = slices.Clone(b.Shards)
	for i := range b.Shards {
		b.Shards[i].Data = slices.Clone(b.Shards[i].Data)
	}
	return b
}

func TestBadBundleNeverReplacesAGoodOne(t *testing.T) {
	m := newMemory()
	good := m.must(t, configuration.Bundle{}, configuration.Change{Text: examples.Lumbre})
	next := m.must(t, good, configuration.Change{Text: append([]byte("# next\n"), examples.Lumbre...)})
	for name, c := range damages {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The good version stays in force", t, func() {
				table := configuration.New()
				convey.So(table.Offer(good), convey.ShouldBeNil)
				inv := table.Inventory()
				bad := clone(next)
				c.damage(&bad)
				convey.So(kindOf(table.Offer(bad)), convey.ShouldEqual, c.kind)
				convey.So(table.Version(), convey.ShouldEqual, 1)
				convey.So(table.Inventory(), convey.ShouldPointTo, inv)
				convey.So(table.Offer(next), convey.ShouldBeNil)
				convey.So(table.Version(), convey.ShouldEqual, 2)
			})
		})
	}
}

func TestBadHeadIsRefused(t *testing.T) {
	m := newMemory()
	m.must(t, configuration.Bundle{}, configuration.Change{Text: text("one"), Author: "ana"})
	m.must(t, configuration.Bundle{}, configuration.Change{Text: text("two"), Author: "luz"})
	value := m.values[configuration.HeadName].Value
	convey.Convey("A head cut or changed anywhere does not parse", t, func() {
		_, err := configuration.ParseHead(value)
		convey.So(err, convey.ShouldBeNil)
		accepted := 0
		for i := range value {
			changed := slices.Clone(value)
			changed[i] ^= 1
			for _, bad := range [][]byte{value[:i], changed} {
				if _, err := configuration.ParseHead(bad); err == nil {
					accepted++
				}
			}
		}
		convey.So(accepted, convey.ShouldEqual, 0)
	})
}

func TestVersionNeverGoesDown(t *testing.T) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "100")
	m := newMemory()
	var versions []configuration.Bundle
	for range 8 {
		versions = append(versions, m.must(t, configuration.Bundle{}, configuration.Change{Text: text("x")}))
	}
	names := []string{"", "", ""}
	for name := range damages {
		names = append(names, name)
	}
	slices.Sort(names)
	rapid.Check(t, func(rt *rapid.T) {
		table := configuration.New()
		for range 20 {
			b := clone(rapid.SampledFrom(versions).Draw(rt, "version"))
			name := rapid.SampledFrom(names).Draw(rt, "damage")
			before := table.Version()
			if name != "" {
				damages[name].damage(&b)
			}
			err := table.Offer(b)
			want := before
			if name == "" && b.Head.Version > before {
				want = b.Head.Version
			}
			if table.Version() != want || (err == nil) != (want > before) {
				rt.Fatalf("%d after %d with %q: %v", table.Version(), before, name, err)
			}
		}
	})
}
