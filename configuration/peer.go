package configuration

// How nodes pass versions to each other and to operators' commands: the head on
// a GET, and the asked-for parts on a POST, both in CBOR.

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Bounds of the messages.
const (
	maxWant  = 4096             // hashes in one question
	maxBatch = 8 << 20          // bytes of parts in one answer, but for the last part
	maxReply = maxBatch + 2<<20 // bytes
	maxAsked = maxWant * 80     // bytes
	typeCBOR = "application/cbor"
)

// Offer is the answer to a GET: the value of the head object.
type Offer struct {
	Head []byte `cbor:"head"`
}

// Want asks for parts.
type Want struct {
	Parts []Hash `cbor:"parts"`
}

// Parts answers with the first of the wanted parts; the rest is to be asked for
// again. Parts that are not held are left out.
type Parts struct {
	Parts []Shard `cbor:"parts"`
}

// Handler serves the version in force of a table.
func Handler(t *Table) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.Method {
		case http.MethodGet:
			serveOffer(w, t.Bundle().Head)
		case http.MethodPost:
			serveParts(w, r, t.Bundle())
		default:
			w.WriteHeader(http.StatusMethodNotAllowed)
		}
	})
}

func serveOffer(w http.ResponseWriter, h Head) {
	if h.Version == 0 {
		http.Error(w, "no version is in force", http.StatusNotFound)
		return
	}
	value, err := h.Encode()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeCBOR(w, Offer{Head: value})
}

func serveParts(w http.ResponseWriter, r *http.Request, b Bundle) {
	var want Want
	data, err := io.ReadAll(io.LimitReader(r.Body, maxAsked))
	if err == nil {
		err = cbor.Unmarshal(data, &want)
	}
	if err != nil || len(want.Parts) > maxWant {
		http.Error(w, "parts", http.StatusBadRequest)
		return
	}
	var reply Parts
	size := 0
	for _, s := range b.Pick(want.Parts) {
		if size > maxBatch {
			break
		}
		size += len(s.Data)
		reply.Parts = append(reply.Parts, s)
	}
	writeCBOR(w, reply)
}

func writeCBOR(w http.ResponseWriter, message any) {
	data, err := cbor.Marshal(message)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", typeCBOR)
	_, _ = w.Write(data)
}

// Peer reads versions from a node, and is a Source.
type Peer struct {
	HTTP *http.Client
	URL  string // where the node serves Handler
}

// Head returns the head of the version that the node has in force. It fails
// with KindUnavailable or KindCorrupt.
func (p Peer) Head(ctx context.Context) (Head, error) {
	var offer Offer
	if err := p.call(ctx, http.MethodGet, nil, &offer); err != nil {
		return Head{}, err
	}
	return ParseHead(offer.Head)
}

// Parts asks until it has all wanted parts, or the node has no more of them.
func (p Peer) Parts(ctx context.Context, want []Hash) ([]Shard, error) {
	var have Bundle
	for missing := want; len(missing) > 0; missing = have.lacks(want) {
		body, err := cbor.Marshal(Want{Parts: missing[:min(len(missing), maxWant)]})
		if err != nil {
			return nil, &Error{Op: "peer", Kind: KindInvalid, Err: err}
		}
		var got Parts
		if err := p.call(ctx, http.MethodPost, body, &got); err != nil {
			return nil, err
		}
		before := len(missing)
		have.Shards = append(have.Shards, got.Parts...)
		if len(have.lacks(want)) == before {
			return nil, &Error{Op: "peer", Kind: KindUnavailable, Err: errors.Newf("the node does not have %d of the parts", before)}
		}
	}
	return have.Shards, nil
}

// Fetch reads the version that the node has in force.
func (p Peer) Fetch(ctx context.Context, have Bundle) (Bundle, error) {
	head, err := p.Head(ctx)
	if err != nil {
		return Bundle{}, err
	}
	return Fetch(ctx, p, head, have)
}

func (p Peer) call(ctx context.Context, method string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, p.URL, bytes.NewReader(body))
	if err != nil {
		return &Error{Op: "peer", Kind: KindUnavailable, Err: err}
	}
	resp, err := p.HTTP.Do(req)
	if err != nil {
		return &Error{Op: "peer", Kind: KindUnavailable, Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return &Error{Op: "peer", Kind: KindUnavailable, Err: errors.New(resp.Status)}
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return &Error{Op: "peer", Kind: KindUnavailable, Err: err}
	}
	if err := cbor.Unmarshal(data, out); err != nil {
		return corrupt("peer", err)
	}
	return nil
}
