package node

// The announcement of endpoints, as it travels in heartbeats.

import (
	"github.com/wasabiwheel/wasabiwheel/endpoint"
	"github.com/wasabiwheel/wasabiwheel/member"
)

// putAnnouncement writes an announcement into a heartbeat.
func putAnnouncement(h *member.Heartbeat, w endpoint.Announcement) {
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

// announcementOf reads the announcement from a heartbeat.
func announcementOf(h member.Heartbeat) endpoint.Announcement {
	w := endpoint.Announcement{
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
