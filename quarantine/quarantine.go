// Package quarantine finds requests that crash the endpoints which run them, and keeps them
// from further endpoints.
//
// A crash ends all requests that its endpoint is running, and most of these are innocent. So
// each is only suspected. One response from an endpoint clears a request: a deadly one never
// gets that far. Suspected requests are tried again, by one node at a time (a probe), where few
// others run. A request that was running in a crash and in those of two probes, with no response
// in between, is quarantined: all nodes reject it. Two crashes of other attempts count like that
// of a probe, but the last one has to be a probe's: a popular request runs at many endpoints, and
// its responses there are not known. Crashes at one moment count once, since a failure domain
// that fails ends the same request at several endpoints.
//
// Each node sees a part of a request's crashes. Nodes report each to the judges of the request,
// three nodes by hashing, who add them up and grant the probes. So the messages grow with the
// number of crashes, and not with that of nodes or requests. A quarantine is told to all nodes, a
// suspicion to the neighbours of the judges.
//
// A table has one lock. Methods take the current time, do no I/O and are safe for concurrent
// use.
//
// # Usage
//
//	t := quarantine.New()
//	s := t.Status(now, r)
//	if s.Quarantined > 0 { ... reject the request }
//	if s.IsSuspect() { ... ask a judge, which calls t.Grant(now, s.Fingerprint, node) }
//	t.Clear(now, s.Fingerprint)                // an endpoint has answered the request
//	s, issued := t.RecordCrash(now, crash, true) // at a judge: issued is a new quarantine
package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

const (
	// threshold is the evidence for a quarantine. The first crash and the crash of a probe count
	// probeWeight, each other crash crashWeight: a popular request runs at many endpoints, and
	// of its responses there only those are known that end a probe.
	threshold   = 6
	probeWeight = 2
	crashWeight = 1
	// momentTime is the time within which crashes are one event: that of detection at
	// different nodes.
	momentTime = 50 * time.Millisecond
	// restartTime is the time within which crashes of one endpoint are the same crash, seen by
	// several nodes.
	restartTime = 500 * time.Millisecond
	// suspicionTime is how long a crash counts: an endpoint that fails once an hour is no
	// request's fault.
	suspicionTime = 2 * time.Minute
	// probeTime is how long a node that may probe a request has for it, should its result get
	// lost.
	probeTime   = 2 * time.Second
	firstTime   = time.Hour      // of a first quarantine; it doubles with each further one
	longestTime = 24 * time.Hour // of a quarantine, and of the probation after it
	maxSuspects = 2048
	maxCrashes  = 8    // kept of one request
	maxRecords  = 2048 // quarantines that a node knows
	maxIssued   = 32   // quarantines that a node publishes
)

// Crash is an endpoint's crash while it was running a request.
type Crash struct {
	Fingerprint Fingerprint          `cbor:"request"`
	Target      Target               `cbor:"target"`
	Endpoint    inventory.EndpointID `cbor:"endpoint"`
	At          time.Time            `cbor:"-"`
	Probe       bool                 `cbor:"probe,omitempty"` // a judge had granted the attempt
	Age         time.Duration        `cbor:"age"`             // in a message, in place of At
	Sample      Sample               `cbor:"sample"`
}

// Sample describes a request for operators.
type Sample struct {
	ID      string              `json:"id" cbor:"id"` // of one of the requests
	Service inventory.ServiceID `json:"service" cbor:"service"`
	Method  string              `json:"method" cbor:"method"`
	URI     string              `json:"uri" cbor:"uri"`
}

// Record is a quarantine of a request, or the end of one by an operator. Of two of the same
// request the later one counts.
type Record struct {
	Fingerprint Fingerprint            `json:"request" cbor:"request"`
	Target      Target                 `json:"target" cbor:"target"`
	Issued      int64                  `json:"issued" cbor:"issued"` // Unix milliseconds
	Number      int                    `json:"number" cbor:"number"` // of the quarantine of this request, from 1
	Lifted      bool                   `json:"lifted,omitempty" cbor:"lifted,omitempty"`
	Sample      Sample                 `json:"sample" cbor:"sample"`
	Endpoints   []inventory.EndpointID `json:"endpoints" cbor:"endpoints"` // that crashed
}

// End returns the time at which the quarantine ends.
func (r Record) End() time.Time {
	d := firstTime << min(r.Number-1, 8)
	return time.UnixMilli(r.Issued).Add(min(longestTime, max(firstTime, d)))
}

// isOver reports whether the record has no effect any more.
func (r Record) isOver(now time.Time) bool { return now.After(r.End().Add(longestTime)) }

// suspect is a request that was running in a crash and has not been answered since.
type suspect struct {
	target  Target
	crashes []moment
	sample  Sample
	seen    time.Time
	told    int // evidence that a judge has told

	probe      inventory.EntryID // node that may send the request to an endpoint
	probeUntil time.Time
}

// moment is a crash of one endpoint.
type moment struct {
	endpoint inventory.EndpointID
	at       time.Time
	probe    bool
}

// Table holds what a node knows of suspected and quarantined requests.
type Table struct {
	mu       sync.Mutex
	suspects map[Fingerprint]*suspect
	records  map[Fingerprint]Record
	targets  map[Target]int // number of suspects and records of each target
	log      []Record       // the latest ones, to tell other nodes
	end      uint64         // position after the last one of log
	issued   []Record       // by this node
	version  uint64         // of issued

	suspicions suspicionLog // of this node as a judge
}

// New returns an empty table.
func New() *Table {
	return &Table{suspects: map[Fingerprint]*suspect{}, records: map[Fingerprint]Record{}, targets: map[Target]int{}, suspicions: newSuspicionLog()}
}

// Status is what is known of a request.
type Status struct {
	Fingerprint Fingerprint
	Known       bool          // it is suspected or quarantined, or was; otherwise Fingerprint is not set
	Evidence    int           // that it crashes endpoints; 0: none, or it was answered since
	Quarantined time.Duration // for which it is still quarantined; 0: it is not
}

// IsSuspect reports whether the request may crash the endpoint that runs it.
func (s Status) IsSuspect() bool { return s.Evidence > 0 }

// IsAlmostProven reports whether the crash of one more probe would put the request into quarantine.
func (s Status) IsAlmostProven() bool { return s.Evidence >= threshold-probeWeight }

// Status returns what is known of a request. Its fingerprint is computed only if the target
// of a suspected or quarantined one is the same.
func (t *Table) Status(now time.Time, r Request) Status {
	t.mu.Lock()
	empty := len(t.targets) == 0
	t.mu.Unlock()
	if empty {
		return Status{}
	}
	target := r.Target()
	t.mu.Lock()
	count := t.targets[target]
	t.mu.Unlock()
	if count == 0 {
		return Status{}
	}
	return t.StatusOf(now, r.Fingerprint())
}

// StatusOf returns what is known of a fingerprint.
func (t *Table) StatusOf(now time.Time, f Fingerprint) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.status(now, f)
}

func (t *Table) status(now time.Time, f Fingerprint) Status {
	s := Status{Fingerprint: f}
	if r, ok := t.records[f]; ok && !r.Lifted {
		s.Known = true
		if left := r.End().Sub(now); left > 0 {
			s.Quarantined, s.Evidence = left, threshold
			return s
		}
		s.Evidence = threshold - probeWeight // on probation
	}
	if suspected := t.suspects[f]; suspected != nil {
		s.Known = true
		s.Evidence += max(suspected.told, suspected.evidence(now))
	}
	return s
}

// RecordTold records the evidence against a suspected request that a judge knows.
func (t *Table) RecordTold(f Fingerprint, evidence int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.suspects[f]; s != nil {
		s.told = max(s.told, min(evidence, threshold-1)) // a quarantine is told by its record
	}
}

// evidence adds up the crashes that still count, each moment once.
func (s *suspect) evidence(now time.Time) int {
	sum, weight := 0, 0 // weight is that of the last moment
	var last time.Time
	for _, m := range s.crashes { // sorted by time
		if now.Sub(m.at) > suspicionTime {
			continue
		}
		if last.IsZero() || m.at.Sub(last) > momentTime {
			weight, last = 0, m.at
		}
		own := crashWeight
		if sum == 0 || m.probe {
			own = probeWeight
		}
		if own > weight {
			sum, weight = sum+own-weight, own
		}
	}
	return sum
}

// RecordCrash records a crash, seen by this node or reported to it, and returns what is known
// then. isJudge allows this node to issue a quarantine.
func (t *Table) RecordCrash(now time.Time, c Crash, isJudge bool) (s Status, issued *Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	suspected := t.suspects[c.Fingerprint]
	if suspected == nil {
		suspected = &suspect{target: c.Target, sample: c.Sample}
		t.evictSuspect()
		t.suspects[c.Fingerprint] = suspected
		t.targets[c.Target]++
	}
	suspected.seen = now
	if suspected.add(moment{endpoint: c.Endpoint, at: c.At, probe: c.Probe}) {
		suspected.probeUntil = time.Time{}
	}
	s = t.status(now, c.Fingerprint)
	if s.Quarantined > 0 || !isJudge {
		return s, nil
	}
	if s.Evidence < threshold || !c.Probe {
		t.suspicions.add(Suspicion{Fingerprint: c.Fingerprint, Target: c.Target, Evidence: s.Evidence})
		return s, nil
	}
	r := Record{
		Fingerprint: c.Fingerprint, Target: c.Target, Sample: suspected.sample, Number: 1,
		Issued: max(now.UnixMilli(), t.records[c.Fingerprint].Issued+1), Endpoints: suspected.endpoints(),
	}
	if before, ok := t.records[c.Fingerprint]; ok && !before.Lifted {
		r.Number = before.Number + 1
	}
	t.issue(now, r)
	return t.status(now, c.Fingerprint), &r
}

// add adds a crash unless it is known, and reports whether it was not.
func (s *suspect) add(m moment) bool {
	for i, known := range s.crashes {
		if known.endpoint == m.endpoint && m.at.Sub(known.at).Abs() < restartTime {
			s.crashes[i].probe = known.probe || m.probe
			return false
		}
	}
	s.crashes = append(s.crashes, m)
	slices.SortFunc(s.crashes, func(a, b moment) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.endpoint, b.endpoint)) })
	if len(s.crashes) > maxCrashes {
		s.crashes = s.crashes[1:]
	}
	return true
}

func (s *suspect) endpoints() []inventory.EndpointID {
	var all []inventory.EndpointID
	for _, m := range s.crashes {
		all = append(all, m.endpoint)
	}
	return all
}

// evictSuspect makes room for one more suspect: the one with the oldest crash is dropped.
func (t *Table) evictSuspect() {
	if len(t.suspects) < maxSuspects {
		return
	}
	var oldest Fingerprint
	var at time.Time
	for f, s := range t.suspects {
		if at.IsZero() || s.seen.Before(at) {
			oldest, at = f, s.seen
		}
	}
	t.dropSuspect(oldest)
}

func (t *Table) dropSuspect(f Fingerprint) {
	s := t.suspects[f]
	if s == nil {
		return
	}
	delete(t.suspects, f)
	t.dropTarget(s.target)
}

func (t *Table) dropTarget(target Target) {
	if t.targets[target]--; t.targets[target] <= 0 {
		delete(t.targets, target)
	}
}

// Clear records that a request was answered by an endpoint, and reports whether it had been
// suspected.
func (t *Table) Clear(now time.Time, f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, known := t.suspects[f]
	t.dropSuspect(f)
	if r, ok := t.records[f]; ok && !r.Lifted && now.After(r.End()) {
		t.dropRecord(f) // it has passed its probation
	}
	return known
}

// Grant is the answer of a judge to a node that wants to send a suspected request.
type Grant string

// The grants.
const (
	GrantDenied Grant = "denied" // another node tries it
	GrantProbe  Grant = "probe"  // the node may try it, and no other one
	GrantFree   Grant = "free"   // it is not suspected any more
)

// Grant decides, at a judge, whether a node may send a suspected request to an endpoint now: one
// node at a time, until the request crashes that endpoint or is answered.
func (t *Table) Grant(now time.Time, f Fingerprint, node inventory.EntryID) Grant {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[f]
	if s == nil {
		if t.status(now, f).IsSuspect() {
			return GrantProbe // on probation
		}
		return GrantFree
	}
	if now.Before(s.probeUntil) && s.probe != node {
		return GrantDenied
	}
	s.probe, s.probeUntil = node, now.Add(probeTime)
	return GrantProbe
}

// Tick drops what does not count any more.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for f, s := range t.suspects {
		if now.Sub(s.seen) > suspicionTime {
			t.dropSuspect(f)
		}
	}
	for f, r := range t.records {
		if r.isOver(now) {
			t.dropRecord(f)
		}
	}
}

// Counts returns the number of suspected and of quarantined requests.
func (t *Table) Counts(now time.Time) (suspects, quarantined int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.records {
		if !r.Lifted && now.Before(r.End()) {
			quarantined++
		}
	}
	return len(t.suspects), quarantined
}
