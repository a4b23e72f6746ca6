package lease

// What travels between the nodes and the holder, and the object in the store.

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// MaxMessage bounds an encoded message, in bytes.
const MaxMessage = 64 << 10

// Grant is an amount of a budget beyond the floor.
type Grant struct {
	ID     inventory.BudgetID `cbor:"budget"`
	Amount int64              `cbor:"amount"`
}

// Ask is a node's question to the holder.
type Ask struct {
	Entry       inventory.EntryID     `cbor:"entry"`
	Incarnation inventory.Incarnation `cbor:"incarnation"`
	Epoch       Epoch                 `cbor:"epoch"` // latest that the asker has heard of
	Wants       []Grant               `cbor:"wants"`
}

// Answer is what an asker gets. A node that does not hold the lease names the
// holder that it knows of, and grants nothing.
type Answer struct {
	Epoch  Epoch             `cbor:"epoch"`
	Holder inventory.EntryID `cbor:"holder"`
	TTL    time.Duration     `cbor:"ttl"` // from the moment that the asker asked
	Grants []Grant           `cbor:"grants"`
}

// Encode returns the CBOR form.
func (a Ask) Encode() ([]byte, error) { return encode(a) }

// Encode returns the CBOR form.
func (a Answer) Encode() ([]byte, error) { return encode(a) }

func encode(v any) ([]byte, error) {
	data, err := cbor.Marshal(v)
	if err != nil {
		return nil, &Error{Op: "encode", Kind: KindMessage, Err: err}
	}
	return data, nil
}

// DecodeAsk reads a question and checks its bounds.
func DecodeAsk(data []byte) (Ask, error) {
	var a Ask
	if err := decode(data, &a); err != nil {
		return a, err
	}
	if a.Entry == "" || a.Incarnation == 0 {
		return a, &Error{Op: "decode", Kind: KindMessage, Err: errors.New("no sender")}
	}
	return a, nil
}

// DecodeAnswer reads an answer and checks its bounds.
func DecodeAnswer(data []byte) (Answer, error) {
	var a Answer
	if err := decode(data, &a); err != nil {
		return a, err
	}
	if a.TTL < 0 || a.TTL > GrantTime {
		return a, &Error{Op: "decode", Kind: KindMessage, Err: errors.Newf("ttl %s", a.TTL)}
	}
	return a, nil
}

func decode(data []byte, into any) error {
	if len(data) > MaxMessage {
		return &Error{Op: "decode", Kind: KindMessage, Err: errors.Newf("%d bytes", len(data))}
	}
	if err := cbor.Unmarshal(data, into); err != nil {
		return &Error{Op: "decode", Kind: KindMessage, Err: err}
	}
	return nil
}

// ObjectName is the name of the lease in the platform's store.
const ObjectName = "lease"

// Encode returns the form in the store.
func (r Record) Encode() ([]byte, error) { return json.Marshal(r) }

// ParseRecord reads the form in the store.
func ParseRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return r, &Error{Op: "parse", Kind: KindRecord, Err: err}
	}
	return r, nil
}
