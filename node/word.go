package node

// The word on endpoints, as it travels in heartbeats.

import (
	"github.com/wasabiwheel/wasabiwheel/endpoint"
	"github.com/wasabiwheel/wasabiwheel/member"
)

// putWord writes a word into a heartbeat.
func putWord(h *member.Heartbeat, w endpoint.Word) {
	h.Heard = w.Heard
	h.Number = w.Number
	h.Echo = w.Echo
	h.Holds = w.Holds
	h.Wants = w.Wants
	h.Resigned = w.Resigned
	for _, p := range w.Plans {
		h.Plans = append(h.Plans, uint64(p))
	}
}

// wordOf reads the word from a heartbeat.
func wordOf(h member.Heartbeat) endpoint.Word {
	w := endpoint.Word{
		From:        h.Entry,
		Incarnation: h.Incarnation,
		Number:      h.Number,
		Heard:       h.Heard,
		Echo:        h.Echo,
		Holds:       h.Holds,
		Wants:       h.Wants,
		Resigned:    h.Resigned,
	}
	for _, p := range h.Plans {
		w.Plans = append(w.Plans, endpoint.Plan(p))
	}
	return w
}
