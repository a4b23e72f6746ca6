package configuration_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/wasabiwheel/wasabiwheel/configuration"
)

func FuzzParseHead(f *testing.F) {
	m := newMemory()
	if _, err := configuration.Publish(f.Context(), m, configuration.Change{Text: text("one"), Author: "ana"}); err != nil {
		f.Fatal(err)
	}
	f.Add(m.values[configuration.HeadName].Value)
	f.Add([]byte(`{"sum":"","head":{}}`))
	f.Add([]byte(`{"sum":"44136fa355b3678a1146ad16f7e8649e94fb4fc21fe77e8310c060f61caaff8a","head":{}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		h, err := configuration.ParseHead(data)
		if err != nil {
			return
		}
		value, err := h.Encode()
		if err != nil {
			t.Fatal(err)
		}
		again, err := configuration.ParseHead(value)
		if err != nil || again.Version != h.Version || again.Nonce != h.Nonce {
			t.Errorf("accepted, and another when encoded and read again: %v", err)
		}
	})
}

// FuzzBundle offers an index and a shard with the right hashes and any content.
func FuzzBundle(f *testing.F) {
	shard := text("one")
	index, err := json.Marshal(configuration.Index{Shards: []configuration.Hash{configuration.HashOf(shard)}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(index, shard)
	f.Add([]byte(`{"drains":[{"region":"centro"}]}`), shard)
	f.Add([]byte(`{"shards":["x"]}`), []byte{})
	f.Fuzz(func(t *testing.T, index, shard []byte) {
		b := configuration.Bundle{Shards: []configuration.Shard{
			{Hash: configuration.HashOf(index), Data: index},
			{Hash: configuration.HashOf(shard), Data: shard},
		}}
		b.Head.Version, b.Head.Nonce, b.Head.Index = 1, "n", configuration.HashOf(index)
		table := configuration.New()
		err := table.Offer(b)
		if (err == nil) != (table.Version() == 1) || (err == nil) != (table.Inventory() != nil) {
			t.Errorf("version %d after %v", table.Version(), err)
		}
		if content, err := b.Open(); err == nil && !bytes.Contains(content.Text, shard) && len(content.Index.Shards) == 1 {
			t.Error("the text is not the shard's")
		}
	})
}
