package node

// Requests that crash the endpoints which run them: the evidence that attempts give, its
// exchange with the judges of a request, and the rejection of those in quarantine.

import (
	"context"
	"encoding/binary"
	"errors"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"github.com/wasabiwheel/wasabiwheel/admission"
	"github.com/wasabiwheel/wasabiwheel/caller"
	"github.com/wasabiwheel/wasabiwheel/endpoint"
	"github.com/wasabiwheel/wasabiwheel/exchange"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/permit"
	"github.com/wasabiwheel/wasabiwheel/quarantine"
)

const (
	pathCrashes     = "/crashes"
	maxCrashBytes   = 16 << 10 // of a report of a crash, and of its response
	reportTimeout   = time.Second
	maxVerdictWait  = 250 * time.Millisecond // for which a retry waits for the judges of its request
	crashCheckValid = 300 * time.Millisecond // an endpoint takes longer to start again
	crashDialTime   = 300 * time.Millisecond // if the round trip to the endpoint is unknown
	crashWitnesses  = 2                      // other endpoints that are checked when one refuses connections
	maxSampleURI    = 200                    // bytes of a path that are reported
	maxBrokenInAll  = 2                      // attempts of a request whose endpoints crash
	probeWaitShare  = 2                      // divisor of a request's time, for which it waits for another attempt of the same one
	// staleMargin is how long an attempt on an idle connection takes, beyond the round trip, if
	// the endpoint had closed it before.
	staleMargin = 10 * time.Millisecond
	probePoll   = 200 * time.Millisecond // between questions whether a request may be sent
)

// The reasons of rejections.
const (
	ReasonQuarantined caller.Reason = "quarantined" // it has crashed endpoints
	ReasonSuspected   caller.Reason = "suspected"   // it may have, and an attempt of the same request is under way
)

// crashChecks holds what is known of endpoints that have broken a connection.
type crashChecks struct {
	mu     sync.Mutex
	checks map[inventory.EndpointID]*crashCheck
}

// crashCheck is the check of one endpoint. The other fields are set before done is closed.
type crashCheck struct {
	done    chan struct{}
	crashed bool
	at      time.Time // of the end of the check
}

// hasCrashed reports whether the process of an endpoint that has broken a connection has ended:
// it refuses connections, and another endpoint does not. A connection that breaks alone, or links that
// are cut, prove nothing.
func (n *Node) hasCrashed(ctx context.Context, c endpoint.Choice) bool {
	registered, known := n.endpoints.Endpoint(c.Endpoint.ID)
	if !known || registered.Draining || registered.Address != c.Endpoint.Address {
		return false // it was about to end
	}
	check, isFirst := n.crashChecks.begin(c.Endpoint.ID)
	if isFirst {
		go n.checkCrash(check, c)
	}
	select {
	case <-check.done:
		return check.crashed
	case <-ctx.Done():
		return false
	}
}

// begin returns the check of an endpoint, which is a new one unless another one is recent.
func (k *crashChecks) begin(id inventory.EndpointID) (check *crashCheck, isFirst bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if known := k.checks[id]; known != nil && !known.isOld(time.Now()) {
		return known, false
	}
	for other, known := range k.checks {
		if known.isOld(time.Now()) {
			delete(k.checks, other)
		}
	}
	check = &crashCheck{done: make(chan struct{})}
	k.checks[id] = check
	return check, true
}

// isOld reports whether the check has ended and its result is not valid any more.
func (c *crashCheck) isOld(now time.Time) bool {
	select {
	case <-c.done:
		return now.Sub(c.at) > crashCheckValid
	default:
		return false
	}
}

func (n *Node) checkCrash(check *crashCheck, c endpoint.Choice) {
	limit := c.DialTimeout
	if limit == 0 {
		limit = crashDialTime
	}
	ctx, cancel := context.WithTimeout(n.ctx, limit)
	defer cancel()
	conn, err := n.network.DialContext(ctx, "tcp", c.Endpoint.Address)
	if err == nil {
		_ = conn.Close() // nothing was sent
	}
	check.crashed = errors.Is(err, syscall.ECONNREFUSED) && n.reachesOther(c.Endpoint.ID)
	check.at = time.Now()
	if check.crashed {
		n.metrics.increment("crash.endpoint")
		n.endpoints.RecordCrash(check.at, c)
	}
	close(check.done)
}

// reachesOther reports whether a connection to another endpoint can be opened. If not, this node's
// own links may be cut, and a refused connection says nothing of the endpoint.
func (n *Node) reachesOther(than inventory.EndpointID) bool {
	for ok := range n.dialAll(n.ctx, n.endpoints.ProbeTargets(time.Now(), crashWitnesses, than)) {
		if ok {
			return true
		}
	}
	return false
}

// admitSuspect rejects a request in quarantine. One that is suspected waits while another node
// tries it, and is rejected if that takes long and one more crash would be proof.
func (n *Node) admitSuspect(ctx context.Context, req *request) (refused *response) {
	s := n.quarantine.Status(time.Now(), req.identity())
	if !s.IsSuspect() {
		return nil
	}
	s, granted := n.awaitProbe(ctx, req, s.Fingerprint)
	var resp response
	switch {
	case s.Quarantined > 0:
		resp = n.quarantinedResponse(req, s)
	case granted || !s.IsAlmostProven():
		req.isolated, req.probing = s.IsAlmostProven(), granted
		return nil
	case isCanceled(ctx):
		resp = n.callerLeft()
	default:
		resp = notRun(ReasonSuspected, admission.RetryAfter(defaultRetryAfter, req.remaining(time.Now())))
	}
	return &resp
}

// awaitProbe waits until this node may send a suspected request to an endpoint, for a part of
// the request's time at most, and returns what is known of it then.
func (n *Node) awaitProbe(ctx context.Context, req *request, f quarantine.Fingerprint) (s quarantine.Status, granted bool) {
	until := time.Now().Add(req.remaining(time.Now()) / probeWaitShare)
	for {
		g := n.requestProbe(f)
		s = n.quarantine.StatusOf(time.Now(), f)
		if s.Quarantined > 0 || g != quarantine.GrantDenied || isCanceled(ctx) || !time.Now().Add(probePoll).Before(until) {
			return s, s.Quarantined == 0 && g == quarantine.GrantProbe
		}
		sleep(ctx, probePoll)
	}
}

// requestProbe asks the first judge of a request that responds whether this node may send it. If
// none does, it may.
func (n *Node) requestProbe(f quarantine.Fingerprint) quarantine.Grant {
	for _, judge := range n.judges(f) {
		reply, err := n.tellJudge(judge, crashReport{Crash: quarantine.Crash{Fingerprint: f}, Kind: kindProbe})
		if err != nil {
			continue
		}
		if reply.Grant == quarantine.GrantFree {
			n.quarantine.Clear(time.Now(), f)
		}
		return reply.Grant
	}
	return quarantine.GrantProbe
}

func (n *Node) quarantinedResponse(req *request, s quarantine.Status) response {
	req.fingerprint = s.Fingerprint.String()
	return notRun(ReasonQuarantined, s.Quarantined)
}

// examine records what a broken attempt of a request shows, and reports whether the request may
// be sent to another endpoint.
func (n *Node) examine(ctx context.Context, req *request, c endpoint.Choice) bool {
	at := time.Now()
	if req.stale {
		return true
	}
	if !req.route.Idempotent {
		go n.examineOnceOnly(req, c, at)
		return false
	}
	if !n.hasCrashed(ctx, c) {
		return true
	}
	wasProbe := req.isolated
	req.crashes++
	s := n.reportCrash(ctx, req, c, at)
	if s.Quarantined > 0 || wasProbe || req.crashes >= maxBrokenInAll {
		return false
	}
	s, req.probing = n.awaitProbe(ctx, req, s.Fingerprint)
	req.isolated = s.IsAlmostProven()
	return req.probing || !s.IsSuspect()
}

// examineOnceOnly records what a broken attempt of a request shows that is not sent again.
func (n *Node) examineOnceOnly(req *request, c endpoint.Choice, at time.Time) {
	ctx, cancel := context.WithTimeout(n.ctx, reportTimeout)
	defer cancel()
	if n.hasCrashed(ctx, c) {
		n.reportCrash(ctx, req, c, at)
	}
}

// reportCrash records a crash under a request, reports it to the judges of the request, and
// returns what is known then. It waits a moment for the judges.
func (n *Node) reportCrash(ctx context.Context, req *request, c endpoint.Choice, at time.Time) quarantine.Status {
	r := req.identity()
	crash := quarantine.Crash{
		Fingerprint: r.Fingerprint(), Target: r.Target(), Endpoint: c.Endpoint.ID, At: at, Probe: req.probing,
		Sample: quarantine.Sample{ID: req.id, Service: req.service, Method: req.method, URI: req.uri[:min(len(req.uri), maxSampleURI)]},
	}
	n.metrics.increment("crash.request")
	klog.InfoS("crash", "endpoint", c.Endpoint.ID, "request", req.id, "fingerprint", crash.Fingerprint.String(), "method", req.method, "uri", crash.Sample.URI, "caller", req.remote)
	judges := n.judges(crash.Fingerprint)
	if !slices.Contains(judges, n.settings.Load().ID) {
		n.quarantine.RecordCrash(at, crash, false)
	}
	replies := make(chan struct{}, len(judges))
	for _, judge := range judges {
		go func() {
			_, _ = n.tellJudge(judge, crashReport{Crash: crash, Kind: kindCrash}) // logged
			replies <- struct{}{}
		}()
	}
	timer := time.NewTimer(maxVerdictWait)
	defer timer.Stop()
	for range judges {
		select {
		case <-replies:
		case <-timer.C:
			return n.quarantine.StatusOf(time.Now(), crash.Fingerprint)
		case <-ctx.Done():
			return n.quarantine.StatusOf(time.Now(), crash.Fingerprint)
		}
		if s := n.quarantine.StatusOf(time.Now(), crash.Fingerprint); s.Quarantined > 0 {
			return s
		}
	}
	return n.quarantine.StatusOf(time.Now(), crash.Fingerprint)
}

// clearSuspect records that an endpoint has answered a request, and tells the judges.
func (n *Node) clearSuspect(req *request) {
	s := n.quarantine.Status(time.Now(), req.identity())
	if !s.IsSuspect() || !n.quarantine.Clear(time.Now(), s.Fingerprint) {
		return
	}
	n.metrics.increment("crash.cleared")
	for _, judge := range n.judges(s.Fingerprint) {
		if judge != n.settings.Load().ID {
			go func() {
				_, _ = n.tellJudge(judge, crashReport{Crash: quarantine.Crash{Fingerprint: s.Fingerprint}, Kind: kindAnswer}) // logged
			}()
		}
	}
}

// judges returns the nodes that add up the crashes under a request.
func (n *Node) judges(f quarantine.Fingerprint) []inventory.EntryID {
	return n.permits.Issuers(permit.Endpoint(binary.LittleEndian.Uint64(f[:])))
}

// reportKind is the kind of a report to a judge.
type reportKind string

const (
	kindCrash  reportKind = "crash"  // an endpoint crashed while it ran the request
	kindAnswer reportKind = "answer" // an endpoint has answered the request
	kindProbe  reportKind = "probe"  // the node asks whether it may send the request
)

// crashReport is a report to a judge of a request. Only that of a crash has more than the
// fingerprint.
type crashReport struct {
	Kind  reportKind        `cbor:"kind"`
	Node  inventory.EntryID `cbor:"node"`
	Crash quarantine.Crash  `cbor:"crash"`
}

// crashReply is the response of a judge.
type crashReply struct {
	Evidence int                 `cbor:"evidence,omitempty"` // against the request
	Grant    quarantine.Grant    `cbor:"grant,omitempty"`    // whether the node may send the request
	Records  []quarantine.Record `cbor:"records,omitempty"`
}

// tellJudge sends a report to a judge, which may be this node, and applies its reply. It logs a
// failure.
func (n *Node) tellJudge(judge inventory.EntryID, report crashReport) (crashReply, error) {
	report.Node = n.settings.Load().ID
	if judge == report.Node {
		return n.judge(report), nil
	}
	if report.Kind == kindCrash {
		report.Crash.Age = time.Since(report.Crash.At)
	}
	reply, err := n.exchangeReport(judge, report)
	if err != nil {
		n.metrics.increment("crash.unreported")
		klog.InfoS("crash not reported", "judge", judge, "kind", report.Kind, "fingerprint", report.Crash.Fingerprint.String(), "cause", err)
		return reply, err
	}
	n.quarantine.RecordTold(report.Crash.Fingerprint, reply.Evidence)
	n.learnQuarantines(reply.Records, judge)
	return reply, nil
}

// judge records a report and decides on the request.
func (n *Node) judge(report crashReport) crashReply {
	now, f := time.Now(), report.Crash.Fingerprint
	var reply crashReply
	switch report.Kind {
	case kindAnswer:
		n.quarantine.Clear(now, f)
	case kindProbe:
		reply.Grant = n.quarantine.Grant(now, f, report.Node)
	case kindCrash:
		s, issued := n.quarantine.RecordCrash(now, report.Crash, true)
		reply.Evidence = s.Evidence
		if issued != nil {
			n.metrics.increment("quarantine.issued")
			logQuarantine(*issued, n.settings.Load().ID)
		}
	}
	if r, ok := n.quarantine.Record(f); ok {
		reply.Records = []quarantine.Record{r}
	}
	return reply
}

// serveCrash handles a report of another node.
func (n *Node) serveCrash(w http.ResponseWriter, r *http.Request) {
	var report crashReport
	if err := decodeMessage(r.Body, maxCrashBytes, &report); err != nil {
		n.metrics.increment("crash.malformed")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	report.Crash.At = time.Now().Add(-max(0, min(report.Crash.Age, reportTimeout)))
	writeReply(w, n.judge(report))
}

func (n *Node) exchangeReport(judge inventory.EntryID, report crashReport) (crashReply, error) {
	ctx, cancel := context.WithTimeout(n.ctx, reportTimeout)
	defer cancel()
	var reply crashReply
	err := n.postPeer(ctx, judge, pathCrashes, report, &reply, maxCrashBytes)
	return reply, err
}

// learnQuarantines records what another node tells, and logs what is new.
func (n *Node) learnQuarantines(records []quarantine.Record, by inventory.EntryID) {
	if len(records) == 0 {
		return
	}
	for _, r := range n.quarantine.Learn(time.Now(), records) {
		logQuarantine(r, by)
	}
}

func logQuarantine(r quarantine.Record, by inventory.EntryID) {
	klog.InfoS("quarantine", "fingerprint", r.Fingerprint.String(), "lifted", r.Lifted, "number", r.Number, "until", r.End().UTC(),
		"service", r.Sample.Service, "method", r.Sample.Method, "uri", r.Sample.URI, "request", r.Sample.ID, "endpoints", r.Endpoints, "by", by)
}

// isBroken reports whether an attempt ended in the way that a crash of its endpoint ends it.
func isBroken(resp response) bool { return resp.reason == caller.Reason(exchange.KindBroken) }
