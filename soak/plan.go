package soak

// The plan of a run: which faults are injected, and when.

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wasabiwheel/wasabiwheel/standin"
)

// Fault names a kind of fault.
type Fault string

// The faults. Faults of nodes are signals to their processes; proxies inject the faults
// of links.
const (
	FaultStop         Fault = "stop"     // SIGTERM to a node
	FaultRollingStop  Fault = "roll"     // SIGTERM to all nodes, one after another
	FaultKill         Fault = "kill"     // SIGKILL to a node
	FaultKillShare    Fault = "herd"     // SIGKILL to a share of the nodes
	FaultFreeze       Fault = "freeze"   // SIGSTOP to a node, later SIGCONT
	FaultReload       Fault = "reload"   // changed settings of a node, in two of three variants with SIGHUP
	FaultCallerLink   Fault = "caller"   // link between callers and a node
	FaultPeerLink     Fault = "peer"     // link between other nodes and a node
	FaultStoreLink    Fault = "store"    // link between a node and the store
	FaultEndpointLink Fault = "endpoint" // link between all nodes and an endpoint

	FaultCrash     Fault = "crash" // an endpoint crashes and restarts cold
	FaultLeave     Fault = "leave" // an endpoint drains, stops and restarts
	FaultSlow      Fault = "slow"  // an endpoint takes slowFactor times as long for each request
	FaultGrey      Fault = "grey"  // an endpoint fails a share of its requests
	FaultBadAnswer Fault = "spoil" // an endpoint's answers are lost or malformed
	FaultFlap      Fault = "flap"  // an endpoint crashes and restarts repeatedly

	FaultStoreDown    Fault = "down"    // the store refuses, resets or does not answer calls
	FaultStorePartial Fault = "turned"  // the same, but only for a share of the nodes
	FaultStoreSlow    Fault = "tardy"   // the store is slow
	FaultWriteLost    Fault = "lost"    // writes to the store or their answers are lost, or the writes take effect late
	FaultWatchSilent  Fault = "deaf"    // watches are never answered
	FaultStoreCompact Fault = "compact" // the store drops its change history

	FaultChange      Fault = "change" // an operator publishes a configuration
	FaultChangeStorm Fault = "storm"  // an operator publishes several configurations in quick succession
	FaultDrain       Fault = "drain"  // a failure domain is drained and undrained
)

// weights are the relative frequencies of the faults.
var weights = []struct {
	fault  Fault
	weight int
}{
	{FaultStop, 4}, {FaultRollingStop, 1}, {FaultKill, 3}, {FaultKillShare, 1}, {FaultFreeze, 3}, {FaultReload, 2},
	{FaultCallerLink, 3}, {FaultPeerLink, 3}, {FaultStoreLink, 3}, {FaultEndpointLink, 6},
	{FaultCrash, 3}, {FaultLeave, 3}, {FaultSlow, 2}, {FaultGrey, 2}, {FaultBadAnswer, 3}, {FaultFlap, 1},
	{FaultStoreDown, 2}, {FaultStorePartial, 2}, {FaultStoreSlow, 1}, {FaultWriteLost, 2}, {FaultWatchSilent, 1}, {FaultStoreCompact, 2},
	{FaultChange, 5}, {FaultChangeStorm, 1}, {FaultDrain, 3},
}

// Event is a planned fault.
type Event struct {
	At, For time.Duration
	Fault   Fault
	Index   int     // of the node, endpoint or failure domain
	Share   float64 // of the nodes that are affected
	Variant int
	Link    standin.LinkFault // of a fault of a link
}

// String formats the event for the log.
func (e Event) String() string {
	text := fmt.Sprintf("%s %d variant %d for %s", e.Fault, e.Index, e.Variant, e.For.Round(time.Millisecond))
	if e.Link != (standin.LinkFault{}) {
		text += fmt.Sprintf(" %+v", e.Link)
	}
	return text
}

const (
	meanInterval  = 900 * time.Millisecond // mean time between events; with minDuration and maxDuration, about three overlap
	minDuration   = 200 * time.Millisecond // of an event
	maxDuration   = 5 * time.Second
	maxLinkDelay  = 300 * time.Millisecond // delay of a link
	variantCount  = 12
	faultFreeTime = 2 * time.Second // load without faults at the start
)

// NewPlan returns the events of a run. They depend only on the seed, the time within
// which they begin, and the size of the system.
func NewPlan(seed uint64, length time.Duration, s Size) []Event {
	r := rand.New(rand.NewPCG(seed, seed))
	var plan []Event
	at := faultFreeTime
	for at < length {
		plan = append(plan, newEvent(r, at, s))
		at += time.Duration(r.ExpFloat64() * float64(meanInterval))
	}
	slices.SortStableFunc(plan, func(a, b Event) int { return int(a.At - b.At) })
	return plan
}

func newEvent(r *rand.Rand, at time.Duration, s Size) Event {
	e := Event{
		At:      at,
		For:     minDuration + time.Duration(r.Int64N(int64(maxDuration-minDuration))),
		Fault:   drawFault(r),
		Share:   0.2 + 0.8*r.Float64(),
		Variant: r.IntN(variantCount),
	}
	switch e.Fault {
	case FaultEndpointLink, FaultCrash, FaultLeave, FaultSlow, FaultGrey, FaultBadAnswer, FaultFlap:
		e.Index = r.IntN(s.Endpoints)
	case FaultDrain:
		e.Index = r.IntN(s.Domains)
	default:
		e.Index = r.IntN(s.Nodes)
	}
	switch e.Fault {
	case FaultCallerLink, FaultPeerLink, FaultStoreLink, FaultEndpointLink:
		e.Link = linkFaults[r.IntN(len(linkFaults))]
		if e.Link.Delay > 0 {
			e.Link.Delay = time.Duration(r.Int64N(int64(maxLinkDelay)))
		}
	}
	return e
}

// linkFaults are the faults of links; a positive Delay is replaced by a random one.
var linkFaults = []standin.LinkFault{{Delay: 1}, {Reset: true}, {Cut: true}, {HoldIn: true}, {HoldOut: true}, {HoldIn: true, HoldOut: true}, {Mute: true}}

func drawFault(r *rand.Rand) Fault {
	sum := 0
	for _, w := range weights {
		sum += w.weight
	}
	at := r.IntN(sum)
	for _, w := range weights {
		if at < w.weight {
			return w.fault
		}
		at -= w.weight
	}
	return FaultStop
}

// Size is the number of nodes, endpoints and failure domains.
type Size struct{ Nodes, Endpoints, Domains int }

// NewSize draws a size from a seed. Most have a few nodes, about one in five has 6
// nodes in each failure domain.
func NewSize(seed uint64) Size {
	r := rand.New(rand.NewPCG(seed, ^seed))
	domains := 2 + r.IntN(5)
	nodes := domains * (1 + r.IntN(3))
	if r.IntN(5) == 0 {
		nodes = domains * 6
	}
	return Size{Nodes: nodes, Endpoints: 3 * domains, Domains: domains}
}
