package exchange

// Bodies of responses whose end the endpoint states. Their readers return io.EOF at that end
// only, and io.ErrUnexpectedEOF if the connection ends before.

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"math"
	"strconv"
)

// Limits of chunks.
const (
	maxSizeDigits = 8        // significant digits of the size of a chunk
	maxFraming    = 16 << 10 // bytes of sizes and extensions, beyond an allowance for each chunk and its data
	chunkOverhead = 16       // bytes of this allowance for a chunk
)

var (
	errChunk        = errors.New("response has malformed chunks")
	errChunkFraming = errors.New("chunks of the response consist mostly of framing")
)

// lengthReader reads a body of a stated length.
type lengthReader struct {
	reader io.Reader
	left   int64
}

// Read reads from the body.
func (r *lengthReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	n, err := r.reader.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	return n, unexpected(err)
}

// unexpected returns io.ErrUnexpectedEOF for io.EOF.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// chunkReader reads a body that is sent in chunks, with the trailer, which it drops.
type chunkReader struct {
	conn    *conn
	begun   bool
	ended   bool
	left    int64 // bytes of the chunk that is being read
	framing int64 // bytes that count in maxFraming
}

// Read reads from the body.
func (r *chunkReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		if err := r.nextChunk(); err != nil {
			return 0, unexpected(err)
		}
		if r.ended {
			return 0, io.EOF
		}
	}
	n, err := r.conn.reader.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	return n, unexpected(err)
}

// nextChunk reads up to the data of the next chunk, or to the end of the body.
func (r *chunkReader) nextChunk() error {
	if r.ended {
		return nil
	}
	if r.begun {
		if line, err := r.readLine(); err != nil || len(line) > 0 {
			return errors.Join(err, errChunk)
		}
	}
	r.begun = true
	line, err := r.readLine()
	if err != nil {
		return err
	}
	if r.left, err = parseChunkSize(line); err != nil {
		return err
	}
	r.framing = max(0, r.framing+int64(len(line))-chunkOverhead-2*r.left)
	switch {
	case r.framing > maxFraming:
		return errChunkFraming
	case r.left > 0:
		return nil
	}
	r.ended = true
	return r.readTrailer()
}

// readTrailer reads the fields after the last chunk.
func (r *chunkReader) readTrailer() error {
	r.conn.input.left = MaxHeadSize
	defer func() { r.conn.input.left = math.MaxInt64 }()
	_, err := r.conn.readFields()
	return err
}

// readLine reads a line of the framing, which ends with a carriage return and a line feed.
func (r *chunkReader) readLine() ([]byte, error) {
	line, err := r.conn.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, errChunk
	}
	if err != nil {
		return nil, err
	}
	text, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok {
		return nil, errChunk
	}
	return text, nil
}

// parseChunkSize parses the line before a chunk: its size in hexadecimal, and extensions, which
// are ignored.
func parseChunkSize(line []byte) (int64, error) {
	size, extensions, extended := bytes.Cut(line, []byte(";"))
	if extended {
		size = bytes.TrimRight(size, " \t")
	}
	if len(size) == 0 || len(bytes.Trim(size, "0123456789abcdefABCDEF")) > 0 || !isFieldText(extensions) {
		return 0, errChunk
	}
	digits := bytes.TrimLeft(size[:len(size)-1], "0") // the last digit may be the only one
	if len(digits) >= maxSizeDigits {
		return 0, errChunk
	}
	return strconv.ParseInt(string(size[len(size)-1-len(digits):]), 16, 64)
}
