package exchange

// Memory for responses that are being received. A head becomes many times its bytes in memory, and an
// endpoint may stop sending anywhere, so everything that an exchange keeps counts until the exchange
// ends, beyond an allowance that ordinary responses stay within. All exchanges share one bound. Half of
// it is for one endpoint, so that one that sends bytes without end does not take the place of others;
// its exchanges fail, and it is avoided like any endpoint that fails.

import (
	"errors"
	"net/http"
	"sync"
)

const (
	// fieldMemory is what a field of a head takes beside its bytes: entries in two maps, which grow by
	// doubling, two strings and a list of values.
	fieldMemory = 320
	// headAllowance and bodyAllowance are the bytes of memory of each exchange that do not count.
	headAllowance = 16 << 10
	bodyAllowance = 8 << 10
	// defaultReceiving is the bound, unless another one is set.
	defaultReceiving = 24 << 20
)

var errReceiving = errors.New("too many bytes of responses are being received")

// Receiving bounds the memory for responses that are being received. Pools may share it. It is safe for
// concurrent use.
type Receiving struct {
	limit int64 // bytes

	mu   sync.Mutex
	held int64
}

// NewReceiving returns a bound in bytes; 0: a default.
func NewReceiving(limit int64) *Receiving {
	if limit <= 0 {
		limit = defaultReceiving
	}
	return &Receiving{limit: limit}
}

// exchangeMemory is what one exchange holds.
type exchangeMemory struct {
	allowance int64 // that is left
	counted   int64
}

// begin begins an exchange, or the next response to it.
func (c *conn) begin() {
	c.returnMemory()
	c.memory.allowance = headAllowance
}

// hold counts bytes of memory that the exchange keeps. It fails if there are none left for it.
func (c *conn) hold(bytes int64) error {
	free := min(bytes, c.memory.allowance)
	c.memory.allowance -= free
	if bytes -= free; bytes == 0 {
		return nil
	}
	r := c.receiving
	r.mu.Lock()
	defer r.mu.Unlock()
	others := c.set.receiving - c.memory.counted // of the endpoint; one exchange may hold what there is
	if r.held+bytes > r.limit || others > 0 && c.set.receiving+bytes > r.limit/2 {
		return errReceiving
	}
	r.held += bytes
	c.set.receiving += bytes
	c.memory.counted += bytes
	return nil
}

// returnMemory returns what the exchange has counted.
func (c *conn) returnMemory() {
	if c.memory.counted == 0 {
		c.memory = exchangeMemory{}
		return
	}
	r := c.receiving
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held -= c.memory.counted
	c.set.receiving -= c.memory.counted
	c.memory = exchangeMemory{}
}

// HeadMemory returns the bytes of memory that a head takes beyond the allowance of an exchange.
func HeadMemory(h http.Header) int64 {
	sum := int64(-headAllowance)
	for name, values := range h {
		for _, v := range values {
			sum += int64(2*(len(name)+len(v))) + fieldMemory
		}
	}
	return max(0, sum)
}
