package soak

// Which node sends a request to an endpoint: the one that received it, or one to which it was
// forwarded.

import (
	"net"
	"time"
)

// unknownSender is the sender of a request whose connection names no node.
const unknownSender = -1

// senderOf returns the node that opened a connection from an address.
func (h *harness) senderOf(address string) int {
	ip, _, err := net.SplitHostPort(address)
	if err != nil {
		return unknownSender
	}
	for i := range h.processes {
		if ip == h.ip(hostNodeSource, i) {
			return i
		}
	}
	return unknownSender
}

// RecordSender records which node sent a request to an endpoint. It is called before its arrival is
// recorded.
func (c *Checker) RecordSender(_ time.Time, id string, _ EndpointInfo, sender int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.states[id]; r != nil {
		r.sender = sender
	}
}
