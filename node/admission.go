package node

// Admission of requests: what the decision is based on, and what shows that capacity is short.

import (
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiwheel/wasabiwheel/admission"
	"github.com/wasabiwheel/wasabiwheel/endpoint"
)

// admit decides whether a request may be sent to the chosen endpoint. The request counts once, however
// often it is sent.
func (n *Node) admit(now time.Time, req *request, c endpoint.Choice) admission.Verdict {
	claim := admission.Claim{Service: req.service, Key: req.repeatKey(), Counted: req.decided}
	if req.organisation != nil {
		claim.Organisation, claim.Weight = req.organisation.ID, float64(req.organisation.Rate)
	}
	req.decided = true
	return n.admission.Decide(now, claim, req.requirements(now), estimateOf(c))
}

// requirements returns what an answer to a request has to meet.
func (req *request) requirements(now time.Time) admission.Request {
	return admission.Request{Priority: req.priority, Objective: req.route.Objective.Duration, Left: req.remaining(now)}
}

func estimateOf(c endpoint.Choice) admission.Estimate {
	return admission.Estimate{Wait: c.Wait, Run: c.NominalRun, WarmRun: c.WarmRun, Unmeasured: c.Unmeasured}
}

// repeatKey returns what a caller's next attempt has in common with a request, other than its id and
// its connection.
func (req *request) repeatKey() admission.Key {
	what := req.uri
	if req.object != 0 {
		what = strconv.FormatUint(uint64(req.object), 16)
	}
	who := ""
	if req.organisation != nil {
		who = string(req.organisation.ID)
	}
	host, _, _ := net.SplitHostPort(req.remote) // "" if it can't be split, which makes the key less specific
	return admission.Key(xxhash.Sum64String(strings.Join([]string{string(req.route.ID), who, what, host}, "\x00")))
}

// recordShort records an attempt that found no capacity: its endpoint was full, or did not answer in
// time.
func (n *Node) recordShort(now time.Time, req *request, r endpoint.Result) {
	isFull := r.Verdict == endpoint.VerdictShed && r.Slots > 0 && !r.IsRejectionWithFreeSlots()
	if isFull || r.Verdict == endpoint.VerdictTimeout {
		n.admission.RecordShort(now, req.service)
	}
}
