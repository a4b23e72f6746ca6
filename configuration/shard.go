package configuration

// Shards: how a text is cut, so that a small change of it changes one shard.

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

// Sizes of shards.
const (
	meanTables = 64       // tables in a shard, on average
	maxShard   = 64 << 10 // bytes
)

// Hash is the SHA-256 of an object's content in hexadecimal digits.
type Hash string

// Shard is an immutable part of a version.
type Shard struct {
	Hash Hash   `json:"hash"`
	Data []byte `json:"data"`
}

// HashOf returns the hash of an object's content.
func HashOf(data []byte) Hash {
	sum := sha256.Sum256(data)
	return Hash(hex.EncodeToString(sum[:]))
}

func (h Hash) valid() bool {
	raw, err := hex.DecodeString(string(h))
	return err == nil && len(raw) == sha256.Size && string(h) == hex.EncodeToString(raw)
}

// shardName is the store's name for a shard.
func shardName(h Hash) string { return "shard." + string(h) }

func newShard(data []byte) Shard { return Shard{Hash: HashOf(data), Data: data} }

// split cuts a text at table headers. Whether it cuts behind a table depends on
// that table alone, so an edit moves no cut but its own.
func split(text []byte) []Shard {
	var shards []Shard
	start, end := 0, 0
	for end < len(text) {
		table := firstTable(text[end:])
		if end > start && end-start+len(table) > maxShard {
			shards = append(shards, newShard(text[start:end]))
			start = end
		}
		end += len(table)
		if xxhash.Sum64(table)%meanTables == 0 {
			shards = append(shards, newShard(text[start:end]))
			start = end
		}
	}
	if end > start {
		shards = append(shards, newShard(text[start:end]))
	}
	return shards
}

// firstTable returns the text up to the second line that begins a table, or a
// full shard of it.
func firstTable(text []byte) []byte {
	size := min(len(text), maxShard)
	if next := bytes.Index(text[1:size], []byte("\n[")); next >= 0 {
		return text[:next+2]
	}
	return text[:size]
}
