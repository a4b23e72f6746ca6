package quarantine

// Identity of requests: which requests are the same, whichever caller's attempt and whichever
// node they come through.

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// Fingerprint identifies a request by its method, route, path and query, credentials and body.
// Callers choose these, so it is a cryptographic hash: none can let another one's request have
// the fingerprint of its own.
type Fingerprint [16]byte

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText formats the fingerprint like String.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText parses a fingerprint like Parse.
func (f *Fingerprint) UnmarshalText(text []byte) (err error) {
	*f, err = Parse(string(text))
	return err
}

// Parse parses a fingerprint in hexadecimal. It fails with KindMalformed.
func Parse(text string) (Fingerprint, error) {
	var f Fingerprint
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != len(f) {
		return f, &Error{Op: "parse", Kind: KindMalformed, Text: text}
	}
	copy(f[:], data)
	return f, nil
}

// Request is the part of a request that identifies it.
type Request struct {
	Method, URI string
	Route       inventory.RouteID // not the host: some callers address nodes by their own names
	Credentials string            // that name the caller; "": none
	Body        []byte            // or the first part of a long one
	Length      int64             // of the whole body in bytes, -1 if unknown
}

// Target is a hash of the method, route, path and query of a request. It is cheap, so that the
// fingerprint is needed only for requests of which a target is known.
type Target uint64

// Target returns the target of a request.
func (r Request) Target() Target {
	d := xxhash.New()
	for _, part := range []string{r.Method, string(r.Route), r.URI} {
		_, _ = d.WriteString(part) // a hash does not fail
		_, _ = d.Write([]byte{0})
	}
	return Target(d.Sum64())
}

// Fingerprint returns the fingerprint of a request.
func (r Request) Fingerprint() Fingerprint {
	d := sha256.New()
	var length [8]byte
	for _, part := range [][]byte{[]byte(r.Method), []byte(r.Route), []byte(r.URI), []byte(r.Credentials), r.Body} {
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = d.Write(length[:]) // a hash does not fail
		_, _ = d.Write(part)
	}
	binary.LittleEndian.PutUint64(length[:], uint64(r.Length))
	_, _ = d.Write(length[:])
	var f Fingerprint
	copy(f[:], d.Sum(nil))
	return f
}
