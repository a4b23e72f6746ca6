package node

// Counters for each reason of a refusal and of a retry, and for what callers
// were told.

import "github.com/rcrowley/go-metrics"

// counters holds the metrics of one node.
type counters struct{ registry metrics.Registry }

func newCounters() counters { return counters{registry: metrics.NewRegistry()} }

func (c counters) add(name string) { c.addN(name, 1) }

func (c counters) addN(name string, count int64) {
	metrics.GetOrRegisterCounter(name, c.registry).Inc(count)
}

// refusal counts a request that was refused by this node's decision.
func (c counters) refusal(r Reason) { c.add("refusal." + string(r)) }

// retry counts another attempt, by the reason of the one before.
func (c counters) retry(r Reason) { c.add("retry." + string(r)) }

// outcome counts what a caller was told.
func (c counters) outcome(o Outcome) { c.add("outcome." + string(o)) }

// snapshot returns the counters by name.
func (c counters) snapshot() map[string]int64 {
	all := map[string]int64{}
	c.registry.Each(func(name string, m any) {
		if counter, ok := m.(metrics.Counter); ok {
			all[name] = counter.Count()
		}
	})
	return all
}
