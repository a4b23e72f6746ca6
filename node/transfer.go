package node

// Large changes of the store on their way to a subscriber. They are compressed and sent in parts,
// each with an update, so that neither heartbeats nor smaller changes wait behind them. All parts
// that a node sends take a share of its link, and those to one subscriber a share of that one's.

import (
	"bytes"
	"compress/flate"
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/time/rate"

	"github.com/wasabiwheel/wasabiwheel/discovery"
	"github.com/wasabiwheel/wasabiwheel/platform"
)

const (
	// maxInlineBytes is the size of a batch from which it is sent in parts. At 10 Mbit/s this
	// takes 13 ms, less than a heartbeat may be late.
	maxInlineBytes = 16 << 10
	// partBytes is the size of a part. The parts to 16 subscribers, one each, take 0.18 s at the
	// share of a link of 10 Mbit/s; a subscriber waits 0.6 s for a heartbeat.
	partBytes = 8 << 10
	// bulkShare is the share of a link that parts take. The rest is for requests.
	bulkShare = 0.6
	// slowLink is assumed where a link is unknown: the slowest of the deployments, in Mbit/s.
	slowLink = 10
	// maxTransferBytes bounds the batch that a transfer expands to.
	maxTransferBytes = 32 << 20
	maxEncoded       = 4           // encoded batches that are kept, for the subscribers with the same position
	encodedTime      = time.Second // for which they are: what is retained changes with time
)

// part is a piece of a batch that is compressed and encoded in CBOR.
type part struct {
	Size int    `cbor:"size"` // of all parts
	At   int    `cbor:"at"`   // position of this one
	Data []byte `cbor:"data"`
}

// sending holds what the transfers to all subscribers share.
type sending struct {
	limiter *rate.Limiter

	mu         sync.Mutex
	compressor *flate.Writer
	encoded    []encodedBatch
}

// encodedBatch is a batch that leads from a position.
type encodedBatch struct {
	from        discovery.Position
	differences bool
	at          platform.Revision
	made        time.Time
	data        []byte
}

func newSending(link float64) *sending { return &sending{limiter: newBulkLimiter(link)} }

// newBulkLimiter returns the limiter of the bytes of parts over a link.
func newBulkLimiter(link float64) *rate.Limiter {
	if link <= 0 {
		link = slowLink
	}
	return rate.NewLimiter(rate.Limit(link*1e6/8*bulkShare), 2*partBytes)
}

// encode returns a batch for a subscriber at a position, encoded and compressed.
func (s *sending) encode(now time.Time, from discovery.Position, differences bool, b discovery.Batch) ([]byte, error) {
	from.Newest = 0
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.encoded {
		if e.from == from && e.differences == differences && e.at == b.At && now.Sub(e.made) < encodedTime {
			return e.data, nil
		}
	}
	var out bytes.Buffer
	if s.compressor == nil {
		c, err := flate.NewWriter(&out, flate.BestSpeed)
		if err != nil {
			return nil, err
		}
		s.compressor = c
	}
	s.compressor.Reset(&out)
	err := errors.Join(cbor.NewEncoder(s.compressor).Encode(b), s.compressor.Close())
	if err != nil {
		return nil, err
	}
	s.encoded = append(s.encoded, encodedBatch{from: from, differences: differences, at: b.At, made: now, data: out.Bytes()})
	if len(s.encoded) > maxEncoded {
		s.encoded = append([]encodedBatch(nil), s.encoded[1:]...)
	}
	return out.Bytes(), nil
}

// discardEncoded drops the encoded batches that are no longer used.
func (s *sending) discardEncoded(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var kept []encodedBatch
	for _, e := range s.encoded {
		if now.Sub(e.made) < encodedTime {
			kept = append(kept, e)
		}
	}
	if s.encoded = kept; kept == nil {
		s.compressor = nil // 0.8 MB
	}
}

// transfer is a batch on its way to a subscriber.
type transfer struct {
	kind platform.Collection
	data []byte
	sent int
	due  time.Time // of the next part; zero: its turn has not been reserved
}

// addChanges adds the changes that a subscriber lacks to an update. Large ones become a
// transfer, one at a time and the smallest first.
func (n *Node) addChanges(now time.Time, to *subscriber, m *peerUpdate) error {
	var large *discovery.Batch
	var position int
	for i, p := range to.Positions {
		if !to.Feed || to.transfer != nil && to.transfer.kind == p.Kind {
			continue
		}
		b, ok := n.changesSince(to, p)
		switch {
		case !ok || !b.IsAfter(p):
		case !to.Parts || b.Size() <= maxInlineBytes:
			m.Batches = append(m.Batches, b)
			to.recordSent(i, b)
		case large == nil || b.Size() < large.Size():
			large, position = &b, i
		}
	}
	if large != nil && to.transfer == nil {
		p := to.Positions[position]
		data, err := n.sending.encode(now, p, to.takesDifferences(p.Kind), *large)
		if err != nil {
			return err
		}
		n.metrics.increment("beats.transfers")
		to.transfer = &transfer{kind: p.Kind, data: data}
		to.recordSent(position, *large)
	}
	m.Transit = large != nil || to.transfer != nil || n.relay.IsInTransit(now)
	if to.transfer != nil {
		m.Part = n.nextPart(now, to)
	}
	return nil
}

func (n *Node) changesSince(to *subscriber, p discovery.Position) (discovery.Batch, bool) {
	if to.takesDifferences(p.Kind) {
		return n.mirror.DifferencesSince(p)
	}
	return n.mirror.Since(p)
}

// takesDifferences reports whether the changes of a collection may be sent as differences.
func (s *subscriber) takesDifferences(kind platform.Collection) bool {
	return s.Differences && (!s.Whole || s.whole[kind])
}

// recordSent records that a batch leads on from one of the subscriber's positions.
func (s *subscriber) recordSent(position int, b discovery.Batch) {
	p := &s.Positions[position]
	p.Era, p.At = b.Era, b.At
	if len(b.Events) > 0 {
		s.whole[p.Kind] = true
	}
}

// nextPart returns the next part of the transfer to a subscriber, nil if it is not due yet.
func (n *Node) nextPart(now time.Time, to *subscriber) *part {
	t := to.transfer
	data := t.data[t.sent:min(len(t.data), t.sent+partBytes)]
	if t.due.IsZero() {
		own := n.sending.limiter.ReserveN(now, len(data)).DelayFrom(now)
		t.due = now.Add(max(own, to.limiter.ReserveN(now, len(data)).DelayFrom(now)))
	}
	if now.Before(t.due) {
		return nil
	}
	p := &part{Size: len(t.data), At: t.sent, Data: data}
	t.sent, t.due = t.sent+len(data), time.Time{}
	if t.sent == len(t.data) {
		to.transfer = nil
	}
	return p
}

// untilNext returns the time until the next update to a subscriber if there are no changes.
func (s *subscriber) untilNext(now time.Time, interval time.Duration) time.Duration {
	if s.transfer == nil {
		return interval
	}
	return max(0, min(interval, s.transfer.due.Sub(now)))
}

// receivedParts holds the parts of a transfer that have arrived on a connection.
type receivedParts struct {
	data []byte
	size int
}

var errPart = errors.New("a part that does not follow on those before")

// add adds a part. It returns the batch after the last one.
func (r *receivedParts) add(p *part) (b discovery.Batch, done bool, err error) {
	if p.At == 0 {
		*r = receivedParts{size: p.Size}
	}
	if p.At != len(r.data) || p.Size != r.size || p.Size > maxMessageBytes || len(r.data)+len(p.Data) > r.size || len(p.Data) == 0 {
		return b, false, errPart
	}
	r.data = append(r.data, p.Data...)
	if len(r.data) < r.size {
		return b, false, nil
	}
	expanded, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(r.data)), maxTransferBytes+1))
	*r = receivedParts{}
	switch {
	case err != nil:
		return b, false, err
	case len(expanded) > maxTransferBytes:
		return b, false, fmt.Errorf("a batch of more than %d bytes", maxTransferBytes)
	}
	return b, true, cbor.Unmarshal(expanded, &b)
}

// isBaseMissing reports whether changes could not be applied since they are differences from
// another state: whole objects have to be requested.
func isBaseMissing(err error) bool {
	var e *discovery.Error
	return errors.As(err, &e) && e.Kind == discovery.KindBase
}

// pauseBeforeRetry waits before the next attempt to subscribe after an error.
func pauseBeforeRetry(ctx context.Context, err error) {
	if !isBaseMissing(err) {
		sleep(ctx, peerRetryInterval)
	}
}
