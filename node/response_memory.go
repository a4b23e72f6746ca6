package node

// Memory for the response to a request, counted on the connection that the request came on: a part is taken before
// the request is sent, the rest while the response is received, and all of it is given back when the caller has
// the response.

import (
	"sync"
	"time"
)

const (
	// maxMemoryWait is how long a response that is being received waits for the memory of connections that are being
	// closed: their handlers have to run once.
	maxMemoryWait = 100 * time.Millisecond
	memoryPoll    = 2 * time.Millisecond
)

// responseMemory implements exchange.Holder.
type responseMemory struct {
	conn *countedConn // nil: not counted

	mu       sync.Mutex
	reserved int64 // bytes that were taken before the request was sent, and no response has used
	held     int64 // bytes of responses
}

// reserve takes bytes before the request is sent, and reports whether there are any.
func (m *responseMemory) reserve(bytes int64) bool {
	if !m.conn.take(bytes) {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reserved += bytes
	return true
}

// Hold counts bytes of a response.
func (m *responseMemory) Hold(bytes int64) bool {
	m.mu.Lock()
	used := min(bytes, m.reserved)
	m.reserved -= used
	m.held += used
	m.mu.Unlock()
	admitted := m.conn.await(bytes-used, time.Now().Add(maxMemoryWait))
	m.mu.Lock()
	defer m.mu.Unlock()
	if admitted {
		m.held += bytes - used
		return true
	}
	m.held -= used
	m.reserved += used
	return false
}

// Return gives back bytes of an exchange without a response.
func (m *responseMemory) Return(bytes int64) {
	m.mu.Lock()
	m.held -= bytes
	m.mu.Unlock()
	m.conn.giveBack(bytes)
}

// release gives everything back. No exchange may be under way.
func (m *responseMemory) release() {
	m.mu.Lock()
	bytes := m.reserved + m.held
	m.reserved, m.held = 0, 0
	m.mu.Unlock()
	m.conn.giveBack(bytes)
}

// releaseReserved gives back what no response has used.
func (m *responseMemory) releaseReserved() {
	m.mu.Lock()
	bytes := m.reserved
	m.reserved = 0
	m.mu.Unlock()
	m.conn.giveBack(bytes)
}
