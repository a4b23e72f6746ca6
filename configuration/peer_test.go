package configuration_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/configuration"
)

// peerOf serves a handler as a node would.
func peerOf(t *testing.T, h http.Handler) configuration.Peer {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return configuration.Peer{HTTP: server.Client(), URL: server.URL}
}

func TestNodesPassOnOnlyWhatIsMissing(t *testing.T) {
	convey.Convey("A node that has a version fetches what differs in the next", t, func() {
		m := newMemory()
		before := m.must(t, configuration.Bundle{}, configuration.Change{Text: sizedText(1000, 3)})
		after := m.must(t, before, configuration.Change{Text: sizedText(1000, 4)})
		table := configuration.New()
		peer := peerOf(t, configuration.Handler(table))
		_, err := peer.Fetch(t.Context(), configuration.Bundle{})
		convey.So(kindOf(err), convey.ShouldEqual, configuration.KindUnavailable)

		convey.So(table.Offer(after), convey.ShouldBeNil)
		whole, err := peer.Fetch(t.Context(), configuration.Bundle{})
		convey.So(err, convey.ShouldBeNil)
		convey.So(configuration.New().Offer(whole), convey.ShouldBeNil)

		head, err := peer.Head(t.Context())
		convey.So(err, convey.ShouldBeNil)
		source := &counting{Source: peer}
		got, err := configuration.Fetch(t.Context(), source, head, before)
		convey.So(err, convey.ShouldBeNil)
		convey.So(source.parts, convey.ShouldEqual, 2)
		convey.So(configuration.New().Offer(got), convey.ShouldBeNil)
	})
}

// lying is a node that answers parts with something else.
func lying(good configuration.Bundle, parts func([]configuration.Shard) any) http.Handler {
	table := configuration.New()
	_ = table.Offer(good)
	honest := configuration.Handler(table)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			honest.ServeHTTP(w, r)
			return
		}
		data, _ := cbor.Marshal(parts(good.Shards))
		_, _ = w.Write(data)
	})
}

func TestWrongAnswersOfANodeAreRefused(t *testing.T) {
	cases := map[string]struct {
		parts func([]configuration.Shard) any
		kind  configuration.Kind
	}{
		"nothing":       {func([]configuration.Shard) any { return configuration.Parts{} }, configuration.KindUnavailable},
		"another type":  {func([]configuration.Shard) any { return "parts" }, configuration.KindCorrupt},
		"other content": {func(s []configuration.Shard) any { return configuration.Parts{Parts: spoil(s)} }, configuration.KindCorrupt},
		"other parts": {func([]configuration.Shard) any {
			return configuration.Parts{Parts: []configuration.Shard{{Hash: configuration.HashOf(nil)}}}
		}, configuration.KindUnavailable},
	}
	m := newMemory()
	good := m.must(t, configuration.Bundle{}, configuration.Change{Text: text("one")})
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The version is not taken", t, func() {
				_, err := peerOf(t, lying(good, c.parts)).Fetch(t.Context(), configuration.Bundle{})
				convey.So(kindOf(err), convey.ShouldEqual, c.kind)
			})
		})
	}
}

func spoil(shards []configuration.Shard) []configuration.Shard {
	spoiled := clone(configuration.Bundle{Shards: shards}).Shards
	for i := range spoiled {
		spoiled[i].Data[0] ^= 1
	}
	return spoiled
}
