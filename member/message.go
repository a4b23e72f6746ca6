package member

// The heartbeat as it travels between nodes.

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// MaxMessage bounds an encoded heartbeat, in bytes.
const MaxMessage = 64 << 10

// Load is what a node can take of one service.
type Load struct {
	Service inventory.ServiceID `cbor:"service"`
	Free    int                 `cbor:"free"`  // free slots
	Slots   int                 `cbor:"slots"` // slots of the endpoints that the node owns
	Queue   int                 `cbor:"queue"` // requests waiting for a slot
}

// Heartbeat is the one message between nodes. The dialling side sends its own,
// the other side answers with its own; each tells what it has heard.
type Heartbeat struct {
	Entry       inventory.EntryID     `cbor:"entry"`
	Incarnation inventory.Incarnation `cbor:"incarnation"`
	// Sequence grows with each heartbeat of an incarnation, whoever it is for.
	Sequence uint64 `cbor:"sequence"`
	Period   uint32 `cbor:"period"`  // of the tokens that it accepts now
	Leaving  bool   `cbor:"leaving"` // it is to be left out of look-ups
	// Resigned says that it takes no new work; what it still holds is in Holds.
	Resigned bool `cbor:"resigned"`
	// Stale says that it was paused and has not caught up yet.
	Stale   bool              `cbor:"stale"`
	Version inventory.Version `cbor:"version"` // configuration in force
	Loads   []Load            `cbor:"loads"`
	// Holds lists the endpoints that the sender sends work to, or still has
	// work in flight at.
	Holds []inventory.EndpointID `cbor:"holds"`
	// Targets lists the endpoints of which the sender knows at first hand that
	// they are leaving.
	Targets []inventory.EndpointID `cbor:"targets"`
	// Heard is the receiver's incarnation as the sender knows it, 0 if unknown.
	Heard inventory.Incarnation `cbor:"heard"`
	// The rest of the sender's word on endpoints, see package endpoint.
	Number uint64                 `cbor:"number"`
	Echo   uint64                 `cbor:"echo"`
	Plans  []uint64               `cbor:"plans"`
	Wants  []inventory.EndpointID `cbor:"wants"`
}

// Encode returns the CBOR form of a heartbeat.
func (h Heartbeat) Encode() ([]byte, error) {
	data, err := cbor.Marshal(h)
	if err != nil {
		return nil, &Error{Op: "encode", Kind: KindMessage, Err: err}
	}
	return data, nil
}

// Decode reads a heartbeat and checks its bounds.
func Decode(data []byte) (Heartbeat, error) {
	var h Heartbeat
	if len(data) > MaxMessage {
		return h, &Error{Op: "decode", Kind: KindMessage, Err: errors.Newf("%d bytes", len(data))}
	}
	if err := cbor.Unmarshal(data, &h); err != nil {
		return h, &Error{Op: "decode", Kind: KindMessage, Err: err}
	}
	if h.Entry == "" || h.Incarnation == 0 {
		return h, &Error{Op: "decode", Kind: KindMessage, Err: errors.New("no sender")}
	}
	return h, nil
}
