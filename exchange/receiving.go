package exchange

// Memory for responses that are being received. A head becomes many times its bytes in memory, and an
// endpoint may stop sending anywhere, so everything that an exchange keeps counts until the exchange
// ends, beyond an allowance that ordinary responses stay within. All exchanges share one bound. Half of
// it is for one endpoint, so that one that sends bytes without end does not take the place of others;
// its exchanges fail, and it is avoided like any endpoint that fails.
//
// The bytes count for the receiver of the response, too, if the request names its Holder. Those of a complete
// response stay counted there when the exchange ends, so that somebody counts them at any time.

import (
	"errors"
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

// Holder counts the bytes of memory that a response takes for the one that it is meant for. It is safe for
// concurrent use, since copies of a request may be under way.
type Holder interface {
	// Hold counts bytes, and may wait a moment for them. It reports whether there are any left.
	Hold(bytes int64) bool
	// Return gives back bytes of an exchange without a response.
	Return(bytes int64)
}

// errNoMemory is the cause of a failure of KindMemory.
var errNoMemory = errors.New("no memory for the response")

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
	holder    Holder // nil: none
	held      int64  // counted there
}

// begin begins an exchange, or the next response to it.
func (c *conn) begin(h Holder) {
	c.dropMemory()
	c.memory = exchangeMemory{allowance: headAllowance, holder: h}
}

// hold counts bytes of memory that the exchange keeps. It fails if there are none left for it.
func (c *conn) hold(bytes int64) error {
	free := min(bytes, c.memory.allowance)
	c.memory.allowance -= free
	if bytes -= free; bytes == 0 {
		return nil
	}
	if err := c.count(bytes); err != nil {
		return err
	}
	if c.memory.holder == nil {
		return nil
	}
	if !c.memory.holder.Hold(bytes) {
		return errNoMemory
	}
	c.memory.held += bytes
	return nil
}

// count counts bytes among those that are being received.
func (c *conn) count(bytes int64) error {
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

// dropMemory ends what counts for an exchange without a response.
func (c *conn) dropMemory() {
	if c.memory.held > 0 {
		c.memory.holder.Return(c.memory.held)
	}
	c.handOver()
}

// handOver ends what counts for an exchange; what its holder counts stays there.
func (c *conn) handOver() {
	counted := c.memory.counted
	c.memory = exchangeMemory{}
	if counted == 0 {
		return
	}
	r := c.receiving
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held -= counted
	c.set.receiving -= counted
}
