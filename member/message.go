package member

// The heartbeat that nodes exchange.

import (
	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// Load is what a node can take of one service.
type Load struct {
	Service inventory.ServiceID `cbor:"1,keyasint,omitempty"`
	Free    int                 `cbor:"2,keyasint,omitempty"` // free slots
	Slots   int                 `cbor:"3,keyasint,omitempty"` // slots of the endpoints that the node owns
	Queue   int                 `cbor:"4,keyasint,omitempty"` // requests waiting for a slot
}

// Heartbeat is the one message between nodes. The dialling side sends its own,
// the other side answers with its own; each tells what it has heard.
type Heartbeat struct {
	Entry       inventory.EntryID     `cbor:"1,keyasint,omitempty"`
	Incarnation inventory.Incarnation `cbor:"2,keyasint,omitempty"`
	// Sequence grows with each heartbeat of an incarnation, whoever it is for.
	Sequence uint64 `cbor:"3,keyasint,omitempty"`
	Period   uint32 `cbor:"4,keyasint,omitempty"` // of the tokens that it accepts now
	Leaving  bool   `cbor:"5,keyasint,omitempty"` // it is to be left out of look-ups
	// Resigned says that it takes no new work; what it still holds is in Holds.
	Resigned bool `cbor:"6,keyasint,omitempty"`
	// Stale says that it was paused and has not caught up yet.
	Stale   bool              `cbor:"7,keyasint,omitempty"`
	Version inventory.Version `cbor:"8,keyasint,omitempty"` // configuration in force
	Loads   []Load            `cbor:"9,keyasint,omitempty"`
	// Holds lists the endpoints that the sender sends work to, or still has
	// work in flight at.
	Holds []inventory.EndpointID `cbor:"10,keyasint,omitempty"`
	// Targets lists the endpoints of which the sender knows at first hand that
	// they are leaving.
	Targets []inventory.EndpointID `cbor:"11,keyasint,omitempty"`
	// Heard is the receiver's incarnation as the sender knows it, 0 if unknown.
	Heard inventory.Incarnation `cbor:"12,keyasint,omitempty"`
	// The rest of the sender's announcement of endpoints, see package endpoint.
	Number uint64                 `cbor:"13,keyasint,omitempty"`
	Echo   uint64                 `cbor:"14,keyasint,omitempty"`
	Plans  []uint64               `cbor:"15,keyasint,omitempty"`
	Wants  []inventory.EndpointID `cbor:"16,keyasint,omitempty"`
}
