package node

// The way of a request from its caller and back.

import (
	"context"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"github.com/wasabiwheel/wasabiwheel/caller"
	"github.com/wasabiwheel/wasabiwheel/endpoint"
)

// startingAfter is when callers of a node without a configuration should come
// back: about the time in which it reads one.
const startingAfter = 500 * time.Millisecond

// serve handles one request of a caller.
func (n *Node) serve(w http.ResponseWriter, r *http.Request) {
	n.work.Add(1)
	defer n.work.Add(-1)
	now := time.Now()
	q, a := n.handle(w, r, now)
	if n.state() != StateServing || q != nil && q.upload.stopped.Load() { // as it is now: it may have begun to leave
		w.Header().Set("Connection", "close")
	}
	n.reply(w, a)
	n.record(r, q, a)
}

// handle decides on a request. q is nil if no route was found.
func (n *Node) handle(w http.ResponseWriter, r *http.Request, now time.Time) (q *request, a answer) {
	table, limits := n.routes.Load(), n.limits.Load()
	if table == nil || limits == nil {
		return nil, notRun(ReasonStarting, startingAfter)
	}
	at := table.Find(r.Host, r.URL.EscapedPath())
	if at == nil {
		return nil, rejected(ReasonRoute, http.StatusNotFound)
	}
	q = n.decode(w, r, at, table.Version, now)
	if err := q.readBody(r, limits.Body); err != nil {
		return q, q.refuseBody(err)
	}
	return q, n.steer(r.Context(), q)
}

// reply sends an answer to the caller. One that left gets a closed connection.
func (n *Node) reply(w http.ResponseWriter, a answer) {
	if a.outcome == caller.OutcomeLeft {
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	h["Date"] = nil
	if a.outcome == caller.OutcomeRan {
		n.replyOwn(w, a)
		return
	}
	h.Set(caller.HeaderOutcome, string(a.outcome))
	h.Set(caller.HeaderReason, string(a.reason))
	if a.after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.after.Seconds(), 'f', 3, 64))
	}
	h["Content-Type"] = nil
	h.Set("Content-Length", "0")
	w.WriteHeader(a.status)
}

// replyOwn passes an endpoint's answer on.
func (n *Node) replyOwn(w http.ResponseWriter, a answer) {
	h := w.Header()
	for name, values := range a.own.Header {
		if name != n.dialect.Load && name != n.dialect.Instance && name != n.dialect.Cold {
			h[name] = values
		}
	}
	if _, typed := h["Content-Type"]; !typed {
		h["Content-Type"] = nil // or net/http would guess one
	}
	h.Set("Content-Length", strconv.Itoa(len(a.own.Body)))
	w.WriteHeader(a.status)
	_, _ = w.Write(a.own.Body) // a caller that left is noticed by net/http
}

// record counts and logs what became of a request.
func (n *Node) record(r *http.Request, q *request, a answer) {
	n.counters.add("outcome." + string(a.outcome))
	if a.outcome == caller.OutcomeNotRun {
		n.counters.add("refusal." + string(a.reason))
	}
	if q == nil {
		klog.InfoS("request", "request", r.Header.Get(n.dialect.Request), "host", r.Host, "path", r.URL.Path,
			"outcome", a.outcome, "reason", a.reason, "status", a.status, "version", n.version())
		return
	}
	took := time.Since(q.began)
	n.counters.took("latency."+string(a.outcome), took)
	line := []any{"request", q.id, "route", q.route.ID, "version", q.version, "service", q.service,
		"outcome", a.outcome, "reason", a.reason, "status", a.status,
		"took", rounded(took), "limit", rounded(q.deadline.Sub(q.began)), "store", n.storeAge(), "attempts", describe(q.attempts)}
	if a.after > 0 {
		line = append(line, "after", rounded(a.after))
	}
	if q.refused != nil {
		line = append(line, "best", q.refused.String(), "takes", rounded(q.takes), "bound", rounded(q.bound))
	}
	if q.excluded != (endpoint.Exclusions{}) {
		line = append(line, "excluded", q.excluded)
	}
	klog.InfoS("request", line...)
}

// rounded is a time in seconds, for the log.
func rounded(d time.Duration) float64 { return math.Round(d.Seconds()*1e4) / 1e4 }

// storeAge is for how many seconds the store has not been reached.
func (n *Node) storeAge() float64 {
	n.belief.mu.Lock()
	defer n.belief.mu.Unlock()
	if n.belief.lost.IsZero() {
		return 0
	}
	return rounded(time.Since(n.belief.lost))
}

// describe renders attempts for the log: what was expected, and what came.
func describe(attempts []attempt) []string {
	var out []string
	for _, a := range attempts {
		out = append(out, a.String())
	}
	return out
}

// String renders an attempt: the endpoint, what came of it, what was believed of
// it (its rank for the object, whether the object is warm there, whether it started
// lately, its requests), and the times expected and taken.
func (a attempt) String() string {
	text := string(a.endpoint) + " " + a.result + " rank " + strconv.Itoa(a.rank)
	if a.warm {
		text += " warm"
	}
	if a.cold {
		text += " cold"
	}
	text += " busy " + strconv.FormatFloat(a.busy, 'f', 1, 64) + " wait " + a.wait.Round(time.Millisecond).String() +
		" run " + a.run.Round(time.Millisecond).String()
	if a.took > 0 {
		text += " took " + a.took.Round(time.Millisecond).String()
	}
	if a.cause != "" {
		text += ": " + a.cause
	}
	return text
}

// leftBy reports whether a caller has left.
func leftBy(ctx context.Context) bool { return errors.Is(ctx.Err(), context.Canceled) }
