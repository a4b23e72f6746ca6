package node

// Outcomes of a request and their reasons.

import (
	"net/http"
	"time"

	"github.com/wasabiwheel/wasabiwheel/caller"
	"github.com/wasabiwheel/wasabiwheel/endpoint"
	"github.com/wasabiwheel/wasabiwheel/exchange"
)

// The reasons in addition to those of packages endpoint and exchange.
const (
	ReasonStarting caller.Reason = "starting" // no configuration has been read yet
	ReasonRoute    caller.Reason = "route"    // no route matches
	ReasonRequest  caller.Reason = "request"  // the request is invalid
	ReasonLate     caller.Reason = "late"     // it would not complete in time; package admission has further reasons
	ReasonLeaving  caller.Reason = "leaving"  // the node exits before its deadline
	ReasonDeadline caller.Reason = "deadline" // its deadline passed before it was sent
	ReasonMemory   caller.Reason = "memory"   // the node has no memory for its body
)

// response is the result of a request.
type response struct {
	outcome          caller.Outcome
	reason           caller.Reason
	status           int
	retryAfter       time.Duration     // time until the caller should retry; 0: not given
	endpointResponse exchange.Response // the endpoint's response, if the request ran
}

// ran returns the response of an endpoint.
func ran(resp exchange.Response) response {
	return response{outcome: caller.OutcomeRan, status: resp.Status, endpointResponse: resp}
}

// notRun returns the response to a request that was not run and may be retried.
func notRun(r caller.Reason, after time.Duration) response {
	return response{outcome: caller.OutcomeNotRun, reason: r, status: http.StatusServiceUnavailable, retryAfter: after}
}

// rejected returns the response to a request that fails however often it is sent.
func rejected(r caller.Reason, status int) response {
	return response{outcome: caller.OutcomeNotRun, reason: r, status: status}
}

// unknown returns the response to a request that may have run.
func unknown(k exchange.Kind) response {
	status := http.StatusBadGateway
	if k == exchange.KindTimeout {
		status = http.StatusGatewayTimeout
	}
	return response{outcome: caller.OutcomeUnknown, reason: caller.Reason(k), status: status}
}

// verdictOf maps the result of an exchange to the endpoint's verdict.
func verdictOf(resp exchange.Response, err *exchange.Error) endpoint.Verdict {
	if err == nil {
		if resp.Status >= http.StatusInternalServerError {
			return endpoint.VerdictFailed
		}
		return endpoint.VerdictServed
	}
	switch err.Kind {
	case exchange.KindUnreachable:
		return endpoint.VerdictUnreachable
	case exchange.KindShed, exchange.KindConnLimit:
		return endpoint.VerdictShed
	case exchange.KindMisdirected:
		return endpoint.VerdictReplaced
	case exchange.KindTimeout:
		return endpoint.VerdictTimeout
	case exchange.KindCanceled, exchange.KindCallerBody, exchange.KindWithdrawn, exchange.KindAbandoned, exchange.KindMemory:
		return endpoint.VerdictInconclusive
	default:
		return endpoint.VerdictFailed
	}
}
