package endpoint

import "slices"

// changeLog holds the endpoints whose statements have changed, the latest change last.
type changeLog struct {
	endpoints []*endpointState
	end       uint64 // position after the last one
}

// append adds an endpoint, or moves it to the end. Positions of the others do not decrease, so
// that none is left out for a node that has been told a part of the log.
func (l *changeLog) append(s *endpointState) {
	if i := slices.Index(l.endpoints, s); i >= 0 {
		copy(l.endpoints[1:i+1], l.endpoints[:i])
		l.endpoints[0] = nil
	}
	if len(l.endpoints) == maxGossipLog {
		l.endpoints = slices.Delete(l.endpoints, 0, 1)
	}
	l.endpoints = append(l.endpoints, s)
	l.end++
}

// since returns the endpoints after a position, at most count, and the position after them.
func (l *changeLog) since(after uint64, count int) (changed []*endpointState, position uint64) {
	start := l.end - uint64(len(l.endpoints))
	position = min(max(after, start), l.end)
	for ; position < l.end && len(changed) < count; position++ {
		if s := l.endpoints[position-start]; s != nil {
			changed = append(changed, s)
		}
	}
	return changed, position
}
