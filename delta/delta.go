// Package delta computes the difference between two versions of an object, which is short where
// a large object changes in a few places.
//
// A difference consists of the lengths and checksums of both versions, and of a list of parts of
// the new version: copies from the base, and bytes that the base does not contain. Apply checks
// the base before and the result afterwards, so that a difference that is applied to another
// version, or that was damaged, fails and never yields another object.
//
// # Usage
//
//	diff := delta.Make(base, target)
//	target, err := delta.Apply(base, diff)
package delta

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// format is the first byte of a difference.
	format = 1
	// blockSize is the length of the shortest copy that is searched for. Shorter blocks take more
	// memory for the index: 16,000 entries for 1 MB.
	blockSize = 64
	// maxTarget bounds the result, whatever a difference says. Objects have up to 1 MB.
	maxTarget = 16 << 20
	// radix is the base of the rolling checksum, an odd number with well-distributed bits.
	radix = 0x9e3779b97f4a7c15
)

// Make returns the difference from base to target.
func Make(base, target []byte) []byte {
	w := writer{out: []byte{format}}
	w.state(base)
	w.state(target)
	prefix := commonPrefix(base, target)
	suffix := commonSuffix(base[prefix:], target[prefix:])
	w.copied(0, prefix)
	w.match(base[prefix:len(base)-suffix], target[prefix:len(target)-suffix], prefix)
	w.copied(len(base)-suffix, suffix)
	w.flush()
	return w.out
}

// Apply returns the version that a difference leads to from base. It fails with KindBase if the
// difference was made from another version, and with KindCorrupt if it is damaged.
func Apply(base, diff []byte) ([]byte, error) {
	if len(diff) == 0 || diff[0] != format {
		return nil, &Error{Op: "apply", Kind: KindCorrupt}
	}
	r := reader{rest: diff[1:]}
	from, to := r.state(), r.state()
	switch {
	case r.failed || to.size > maxTarget:
		return nil, &Error{Op: "apply", Kind: KindCorrupt}
	case from != stateOf(base):
		return nil, &Error{Op: "apply", Kind: KindBase}
	}
	target := make([]byte, 0, to.size)
	for len(r.rest) > 0 && !r.failed {
		part := r.part(base)
		if uint64(len(target)+len(part)) > to.size {
			return nil, &Error{Op: "apply", Kind: KindCorrupt}
		}
		target = append(target, part...)
	}
	if r.failed || stateOf(target) != to {
		return nil, &Error{Op: "apply", Kind: KindCorrupt}
	}
	return target, nil
}

// state identifies a version.
type state struct{ size, sum uint64 }

func stateOf(data []byte) state { return state{size: uint64(len(data)), sum: xxhash.Sum64(data)} }

func commonPrefix(a, b []byte) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

func commonSuffix(a, b []byte) int {
	n := 0
	for n < len(a) && n < len(b) && a[len(a)-1-n] == b[len(b)-1-n] {
		n++
	}
	return n
}

// The kinds of parts: an odd header is the length of new bytes, which follow, an even one that of
// a copy, whose position in the base follows.
const (
	partCopy = 0
	partNew  = 1
)

// writer writes a difference.
type writer struct {
	out   []byte
	fresh []byte // new bytes that have not been written yet
	at    int    // position of a copy that has not been written yet
	size  int    // its length
}

func (w *writer) state(data []byte) {
	s := stateOf(data)
	w.out = binary.AppendUvarint(w.out, s.size)
	w.out = binary.LittleEndian.AppendUint64(w.out, s.sum)
}

// copied appends a copy, and joins it with the one before if it continues that.
func (w *writer) copied(at, size int) {
	if size == 0 {
		return
	}
	if w.size > 0 && len(w.fresh) == 0 && w.at+w.size == at {
		w.size += size
		return
	}
	w.flush()
	w.at, w.size = at, size
}

// added appends new bytes.
func (w *writer) added(data []byte) {
	if len(data) == 0 {
		return
	}
	if w.size > 0 {
		w.flush()
	}
	w.fresh = append(w.fresh, data...)
}

func (w *writer) flush() {
	if len(w.fresh) > 0 {
		w.out = binary.AppendUvarint(w.out, uint64(len(w.fresh))<<1|partNew)
		w.out = append(w.out, w.fresh...)
		w.fresh = w.fresh[:0]
	}
	if w.size > 0 {
		w.out = binary.AppendUvarint(w.out, uint64(w.size)<<1|partCopy)
		w.out = binary.AppendUvarint(w.out, uint64(w.at))
		w.size = 0
	}
}

// match writes target by blocks of base, which is at position offset of the whole base.
func (w *writer) match(base, target []byte, offset int) {
	index := indexBlocks(base)
	written, sum := 0, rollingSum{}
	for end := 1; end <= len(target); end++ {
		sum.add(target, end, written)
		if sum.size < blockSize {
			continue
		}
		at, ok := index[sum.value]
		if !ok || !bytes.Equal(base[at:at+blockSize], target[end-blockSize:end]) {
			continue
		}
		before := commonSuffix(base[:at], target[written:end-blockSize])
		after := commonPrefix(base[at+blockSize:], target[end:])
		w.added(target[written : end-blockSize-before])
		w.copied(offset+at-before, before+blockSize+after)
		end += after
		written, sum = end, rollingSum{}
	}
	w.added(target[written:])
}

// indexBlocks returns the position of each block by its checksum.
func indexBlocks(base []byte) map[uint64]int {
	index := make(map[uint64]int, len(base)/blockSize)
	for at := len(base)/blockSize*blockSize - blockSize; at >= 0; at -= blockSize {
		sum := rollingSum{}
		for i := at + 1; i <= at+blockSize; i++ {
			sum.add(base, i, at)
		}
		index[sum.value] = at
	}
	return index
}

// rollingSum is the checksum of the last bytes of a text, up to a block.
type rollingSum struct {
	value uint64
	size  int
}

// highest is the weight of the byte that leaves a block: radix to the power of blockSize.
var highest = power(radix, blockSize)

func power(base uint64, exponent int) uint64 {
	result := uint64(1)
	for range exponent {
		result *= base
	}
	return result
}

// add adds the byte before end, and removes the one that is a block before it. The text
// begins at start.
func (s *rollingSum) add(text []byte, end, start int) {
	s.value = s.value*radix + uint64(text[end-1]) + 1
	if end-start > blockSize {
		s.value -= highest * (uint64(text[end-1-blockSize]) + 1)
		return
	}
	s.size++
}

// reader reads a difference.
type reader struct {
	rest   []byte
	failed bool
}

func (r *reader) number() uint64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.failed, r.rest = true, nil
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

func (r *reader) state() state {
	s := state{size: r.number()}
	if len(r.rest) < 8 {
		r.failed = true
		return s
	}
	s.sum = binary.LittleEndian.Uint64(r.rest)
	r.rest = r.rest[8:]
	return s
}

// part returns the bytes of the next part.
func (r *reader) part(base []byte) []byte {
	header := r.number()
	size := header >> 1
	if header&1 == partNew {
		if size > uint64(len(r.rest)) {
			r.failed = true
			return nil
		}
		part := r.rest[:size]
		r.rest = r.rest[size:]
		return part
	}
	at := r.number()
	if at > uint64(len(base)) || size > uint64(len(base))-at {
		r.failed = true
		return nil
	}
	return base[at : at+size]
}
