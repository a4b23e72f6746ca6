package member

// Heartbeats as they travel on one connection: CBOR, without the lists that are
// the same as in the heartbeat before.

import (
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// MaxMessage bounds an encoded heartbeat, in bytes.
const MaxMessage = 64 << 10

// part is a set of lists of a heartbeat.
type part uint8

const (
	partLoads part = 1 << iota
	partHolds
	partTargets
	partPlans
	partWants
)

// wire is a heartbeat with the lists left out that have not changed.
type wire struct {
	Heartbeat
	Same part `cbor:"17,keyasint,omitempty"`
}

// Sender is the sending side of one direction of a connection. The zero value
// is ready. It is not safe for concurrent use.
type Sender struct{ last *Heartbeat }

// Encode returns the next message.
func (s *Sender) Encode(h Heartbeat) ([]byte, error) {
	w := wire{Heartbeat: h}
	if s.last != nil {
		w.omit(*s.last)
	}
	data, err := cbor.Marshal(w)
	if err != nil {
		return nil, &Error{Op: "encode", Kind: KindMessage, Err: err}
	}
	s.last = &h
	return data, nil
}

func (w *wire) omit(last Heartbeat) {
	if slices.Equal(w.Loads, last.Loads) {
		w.Loads, w.Same = nil, w.Same|partLoads
	}
	if slices.Equal(w.Holds, last.Holds) {
		w.Holds, w.Same = nil, w.Same|partHolds
	}
	if slices.Equal(w.Targets, last.Targets) {
		w.Targets, w.Same = nil, w.Same|partTargets
	}
	if slices.Equal(w.Plans, last.Plans) {
		w.Plans, w.Same = nil, w.Same|partPlans
	}
	if slices.Equal(w.Wants, last.Wants) {
		w.Wants, w.Same = nil, w.Same|partWants
	}
}

// Receiver is the receiving side of one direction of a connection. The zero
// value is ready. It is not safe for concurrent use.
type Receiver struct{ last *Heartbeat }

// Decode reads the next message and checks its bounds.
func (r *Receiver) Decode(data []byte) (Heartbeat, error) {
	var w wire
	if len(data) > MaxMessage {
		return w.Heartbeat, &Error{Op: "decode", Kind: KindMessage, Err: errors.Newf("%d bytes", len(data))}
	}
	if err := cbor.Unmarshal(data, &w); err != nil {
		return w.Heartbeat, &Error{Op: "decode", Kind: KindMessage, Err: err}
	}
	if w.Entry == "" || w.Incarnation == 0 {
		return w.Heartbeat, &Error{Op: "decode", Kind: KindMessage, Err: errors.New("no sender")}
	}
	if err := r.fill(&w); err != nil {
		return w.Heartbeat, err
	}
	r.last = &w.Heartbeat
	return w.Heartbeat, nil
}

// fill puts back what was left out. A connection belongs to one incarnation.
func (r *Receiver) fill(w *wire) error {
	last := r.last
	if last == nil {
		last = &Heartbeat{Entry: w.Entry, Incarnation: w.Incarnation}
		if w.Same != 0 {
			return &Error{Op: "decode", Kind: KindMessage, Err: errors.New("nothing was sent before")}
		}
	}
	if last.Entry != w.Entry || last.Incarnation != w.Incarnation {
		return &Error{Op: "decode", Kind: KindMessage, Err: errors.New("another sender on the same connection")}
	}
	if w.Same&partLoads != 0 {
		w.Loads = last.Loads
	}
	if w.Same&partHolds != 0 {
		w.Holds = last.Holds
	}
	if w.Same&partTargets != 0 {
		w.Targets = last.Targets
	}
	if w.Same&partPlans != 0 {
		w.Plans = last.Plans
	}
	if w.Same&partWants != 0 {
		w.Wants = last.Wants
	}
	return nil
}
