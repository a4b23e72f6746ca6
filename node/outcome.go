package node

// What a caller is told: the outcome of a request, and answers that the system
// itself gives.

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/wasabiwheel/wasabiwheel/booking"
	"github.com/wasabiwheel/wasabiwheel/caller"
)

// Headers of the protocol with callers, which targets and other nodes see too.
const (
	HeaderOutcome = caller.HeaderOutcome
	HeaderReason  = caller.HeaderReason
	HeaderTimeout = caller.HeaderTimeout
	HeaderBlock   = caller.HeaderBlock
	HeaderRegion  = caller.HeaderRegion
	HeaderToken   = caller.HeaderToken
	HeaderKey     = caller.HeaderKey
)

// Outcome says what became of a request.
type Outcome = caller.Outcome

// The outcomes.
const (
	OutcomeRan     = caller.OutcomeRan
	OutcomeNotRun  = caller.OutcomeNotRun
	OutcomeUnknown = caller.OutcomeUnknown
)

// Reason says why a request got no answer from a target.
type Reason = caller.Reason

// Reasons beside those of the packages endpoint and region.
const (
	ReasonNoPlace     Reason = "noplace"     // no node owns a usable endpoint of the service
	ReasonDeadline    Reason = "deadline"    // the time is up
	ReasonUnreachable Reason = "unreachable" // no connection to the next hop
	ReasonBroken      Reason = "broken"      // the next hop broke off
	ReasonUnframed    Reason = "unframed"    // the target's answer has no stated length
	ReasonRequest     Reason = "request"     // the request is not acceptable
	ReasonOversize    Reason = "oversize"    // the target's answer is too large
	ReasonOwnerGone   Reason = "ownergone"   // the incarnation that owns the key is not there
	ReasonExpired     Reason = "expired"     // the key is too old
	ReasonSealed      Reason = "sealed"      // the key was refused before
	ReasonMemory      Reason = "memory"      // no room for another once-only operation
	ReasonDiffers     Reason = "differs"     // the key was used for another request
	ReasonShift       Reason = "shift"       // the caller's block has not moved to another region yet
	ReasonStarting    Reason = "starting"    // the node has no configuration yet
	ReasonBudget      Reason = "budget"      // no retry left
	ReasonPaused      Reason = "paused"      // the endpoint began to leave, or this process was paused
	ReasonShed        Reason = "shed"        // the target refused
	ReasonTarget      Reason = "target"      // no connection to the target
)

// answer is a whole answer on its way to a caller.
type answer struct {
	outcome Outcome
	reason  Reason
	after   time.Duration // when to come back
	status  int
	header  http.Header
	body    []byte
	bare    bool // has no body whatever its header says
	stated  bool // another node stated the outcome
}

// Bounds of Retry-After.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

func notRun(r Reason, after time.Duration) answer {
	return answer{outcome: OutcomeNotRun, reason: r, after: after, status: http.StatusServiceUnavailable}
}

func unknown(r Reason) answer {
	status := http.StatusBadGateway
	if r == ReasonDeadline {
		status = http.StatusGatewayTimeout
	}
	return answer{outcome: OutcomeUnknown, reason: r, status: status}
}

// problem is the body of the system's own answers (RFC 9457).
type problem struct {
	Title  string  `json:"title"`
	Status int     `json:"status"`
	Detail string  `json:"detail,omitempty"`
	Reason Reason  `json:"reason,omitempty"`
	State  Outcome `json:"outcome,omitempty"`
}

// write sends an answer to a caller.
func (a answer) write(w http.ResponseWriter) {
	h := w.Header()
	for k, v := range a.header {
		h[k] = v
	}
	if a.outcome == OutcomeRan {
		a.setLength(h)
		w.WriteHeader(a.status)
		_, _ = w.Write(a.body)
		return
	}
	h.Set(HeaderOutcome, string(a.outcome))
	h.Set(HeaderReason, string(a.reason))
	h.Set("Retry-After", retryAfter(a.after))
	writeProblem(w, problem{Title: "request not served", Status: a.status, Reason: a.reason, State: a.outcome})
}

// setLength declares the length of the body. An answer without one keeps what
// the target declared, which then describes what a GET would bring.
func (a answer) setLength(h http.Header) {
	switch {
	case !a.bare:
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	case a.status == http.StatusNoContent:
		h.Del("Content-Length")
	}
}

// isBare reports whether an answer has no body by definition (RFC 9110, 6.4.1).
func isBare(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// retryAfter spreads the callers that come back over twice the wait, so that
// they do not come together. The header counts in whole seconds.
func retryAfter(after time.Duration) string {
	base := min(max(after, minRetryAfter), maxRetryAfter)
	spread := base + rand.N(base+1)
	return strconv.Itoa(int((spread + time.Second - 1) / time.Second))
}

func writeProblem(w http.ResponseWriter, p problem) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

// writeError answers a request that is not acceptable. Nothing was run for this
// receipt; what became of a key that it carries only the key's owner can say.
func writeError(w http.ResponseWriter, r *http.Request, err *Error) {
	outcome := OutcomeNotRun
	if carriesKey(r) {
		outcome = OutcomeUnknown
	}
	w.Header().Set(HeaderOutcome, string(outcome))
	w.Header().Set(HeaderReason, string(ReasonRequest))
	writeProblem(w, problem{Title: "bad request", Status: err.Status, Detail: err.Err.Error(), Reason: ReasonRequest, State: outcome})
}

// carriesKey reports whether a request names an operation.
func carriesKey(r *http.Request) bool {
	for _, text := range r.Header.Values(HeaderKey) {
		if _, err := booking.ParseKey(text); err == nil {
			return true
		}
	}
	return false
}
