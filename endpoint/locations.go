package endpoint

// Locations of cached objects. An endpoint serves an object faster while it has the object
// cached, so the table tracks the endpoints that served each object recently.

import (
	"container/list"
	"time"
)

// Object is a hash of a route and of the object that a request is for. It is 0 if the
// request has no object.
type Object uint64

const (
	maxObjects = 8192 // objects tracked per service
	maxHolders = 4    // endpoints tracked per object
)

// locations is an LRU cache of the endpoints that served each object.
type locations struct {
	entries map[Object]*list.Element
	lru     *list.List // of *location, most recently used first
}

// location holds the endpoints that served an object.
type location struct {
	object  Object
	holders []*endpointState // most recently used first
	usedAt  time.Time
}

func newLocations() *locations {
	return &locations{entries: map[Object]*list.Element{}, lru: list.New()}
}

// contains reports whether an endpoint is tracked as having served an object.
func (l *locations) contains(o Object, s *endpointState) bool {
	e := l.entries[o]
	if e == nil {
		return false
	}
	for _, h := range e.Value.(*location).holders {
		if h == s {
			return true
		}
	}
	return false
}

// lastUse returns the time when an object was last served, or the zero time if the
// object is not tracked.
func (l *locations) lastUse(o Object) time.Time {
	if e := l.entries[o]; e != nil {
		return e.Value.(*location).usedAt
	}
	return time.Time{}
}

// record records that an endpoint has served an object.
func (l *locations) record(now time.Time, o Object, s *endpointState) {
	loc := l.touch(o)
	loc.usedAt = now
	loc.remove(s)
	if len(loc.holders) == maxHolders {
		loc.holders = loc.holders[:maxHolders-1]
	}
	loc.holders = append([]*endpointState{s}, loc.holders...)
}

// learn records that an endpoint has an object cached, according to another node.
func (l *locations) learn(o Object, s *endpointState) {
	loc := l.touch(o)
	if len(loc.holders) < maxHolders {
		loc.holders = append(loc.holders, s)
	}
}

// touch returns the location of an object as the most recently used one. It adds the
// object if necessary and evicts the least recently used one if the cache is full.
func (l *locations) touch(o Object) *location {
	if e := l.entries[o]; e != nil {
		l.lru.MoveToFront(e)
		return e.Value.(*location)
	}
	if l.lru.Len() == maxObjects {
		oldest := l.lru.Back()
		delete(l.entries, l.lru.Remove(oldest).(*location).object)
	}
	loc := &location{object: o}
	l.entries[o] = l.lru.PushFront(loc)
	return loc
}

func (loc *location) remove(s *endpointState) {
	for i, other := range loc.holders {
		if other == s {
			loc.holders = append(loc.holders[:i], loc.holders[i+1:]...)
			return
		}
	}
}
