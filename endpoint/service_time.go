package endpoint

// The service times of a route's requests, by what responses took.

import "github.com/wasabiwheel/wasabiwheel/inventory"

// serviceTimes holds the mean service times of a route's requests in seconds, with the
// object cached and without.
type serviceTimes struct{ warm, cold average }

func (s *serviceTimes) hasSamples() bool { return s.warm.count > 0 || s.cold.count > 0 }

func (t *Table) routeServiceTimes(id inventory.RouteID) *serviceTimes {
	times := t.serviceTimes[id]
	if times == nil {
		times = &serviceTimes{}
		t.serviceTimes[id] = times
	}
	return times
}

// estimates returns the service times in seconds with the object cached and without.
func (s *serviceTimes) estimates(objective float64) (warm, cold float64) {
	warm = s.warm.orDefault(defaultWarm * objective)
	return warm, max(warm, s.cold.orDefault(max(warm, defaultCold*objective)))
}

// record records the service time of a request that did not wait.
func (s *serviceTimes) record(seconds float64, expectedWarm bool) {
	if expectedWarm && (s.warm.count == 0 || seconds < s.warm.mean*coldThreshold) {
		s.warm.add(seconds, routeSampleWeight)
		return
	}
	if expectedWarm && s.cold.count > 0 && seconds > s.cold.mean*coldThreshold {
		return // too long even for a cold run: it has another cause
	}
	if s.warm.count > 0 && seconds < s.warm.mean*coldThreshold {
		return // the object was cached after all, since another node used it there
	}
	s.cold.add(seconds, routeSampleWeight)
}
