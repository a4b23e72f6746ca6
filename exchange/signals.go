package exchange

// What the head of a response says of its endpoint: its load, the rate that it takes, whether it
// is about to end, and for how long it wants no requests.

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// Signals is what a response says of its endpoint. It counts also if the rest of the response
// could not be read.
type Signals struct {
	Heard   bool // the head of the endpoint's own response was read; if not, nothing is known
	Load    Load
	Limit   Limit
	Leaving Leaving
	Pause   Pause
}

// Load is the load that an endpoint reports in a response: running and waiting
// requests and slots. Slots is 0 if it reports none. Slowdown is how long work takes on the
// endpoint's machine at that moment, relative to the usual time; 0: not stated.
type Load struct {
	Running, Waiting, Slots int
	Slowdown                float64
}

// Limit is the request rate that an endpoint names in a response for all nodes together. The
// zero Limit means that it names none.
type Limit struct {
	Rate      inventory.Rate
	Named     bool
	Malformed bool // the response names a limit that cannot be read: nothing is known about it
}

// Leaving is whether an endpoint says that it is about to end.
type Leaving struct {
	Said      bool
	Malformed bool // the header cannot be read: nothing is known about it
}

// Pause is how long an endpoint that rejects a request wants no requests of this node.
type Pause struct {
	For       time.Duration // 0: it asks for none
	Malformed bool          // the time cannot be read: it counts as none
}

const (
	headerRetryAfter = "Retry-After"
	// maxNumberLength is the length of the longest text that is read as a number.
	maxNumberLength = 32
	// maxPauseSeconds is the largest number of seconds that a time.Duration is made of. Longer
	// pauses count as this one.
	maxPauseSeconds = 1e6
	loadFigures     = 3 // that each load report has; a fourth one states the slowdown
	// The bounds of a slowdown that counts, in percent of the usual time. What lies beyond is
	// taken for an error of the endpoint, since it would exclude the endpoint or attract all requests.
	minSlowdownPercent = 10
	maxSlowdownPercent = 10_000
)

// readSignals returns what the head of a response says of the endpoint. A response of another
// endpoint, or a success that is not signed, says nothing.
func readSignals(names HeaderNames, resp *http.Response) Signals {
	if resp == nil || resp.StatusCode == http.StatusMisdirectedRequest || isUnsigned(names, resp.StatusCode, resp.Header) {
		return Signals{}
	}
	s := Signals{
		Heard:   true,
		Load:    parseLoad(resp.Header.Get(names.Load)),
		Limit:   parseLimit(resp.Header.Values(names.Limit)),
		Leaving: parseLeaving(resp.Header.Values(names.Leaving)),
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		s.Pause = parsePause(resp.Header)
	}
	return s
}

// isUnsigned reports whether a response is a success without a signature.
func isUnsigned(names HeaderNames, status int, h http.Header) bool {
	return status/100 == 2 && names.Signature != "" && h.Get(names.Signature) == ""
}

// SignalsOf returns what the response to a failed exchange said of the endpoint.
func SignalsOf(err error) Signals {
	var e *Error
	if !errors.As(err, &e) {
		return Signals{}
	}
	return e.Signals
}

// parseLoad parses "running,waiting,slots" or "running,waiting,slots,slowdown". It returns the
// zero Load if the text is invalid. An invalid slowdown is ignored, and the rest counts.
func parseLoad(text string) Load {
	parts := strings.Split(text, ",")
	if len(parts) != loadFigures && len(parts) != loadFigures+1 {
		return Load{}
	}
	var n [loadFigures]int
	for i := range n {
		v, err := strconv.Atoi(strings.TrimSpace(parts[i]))
		if err != nil || v < 0 {
			return Load{}
		}
		n[i] = v
	}
	l := Load{Running: n[0], Waiting: n[1], Slots: n[2]}
	if len(parts) > loadFigures {
		l.Slowdown = parseSlowdown(parts[loadFigures])
	}
	return l
}

// parseSlowdown parses the time that work takes in percent of the usual time. It returns 0 if the
// text is invalid or out of bounds.
func parseSlowdown(text string) float64 {
	percent, ok := parseNumber([]string{text})
	if !ok || percent < minSlowdownPercent || percent > maxSlowdownPercent {
		return 0
	}
	return percent / 100
}

// parseLimit parses the values of the header that names a limit: one decimal number.
func parseLimit(values []string) Limit {
	if len(values) == 0 {
		return Limit{}
	}
	rate, ok := parseNumber(values)
	if !ok {
		return Limit{Malformed: true}
	}
	return Limit{Rate: inventory.Rate(rate), Named: true}
}

// parseLeaving parses the values of the header by which an endpoint says that it leaves: 1, or
// 0 if it does not.
func parseLeaving(values []string) Leaving {
	if len(values) == 0 {
		return Leaving{}
	}
	text := strings.TrimSpace(values[0])
	if len(values) > 1 || text != "0" && text != "1" {
		return Leaving{Malformed: true}
	}
	return Leaving{Said: text == "1"}
}

// parsePause parses the time in the header Retry-After: seconds, which may have a fraction, or a
// date, which is relative to that of the response, since clocks differ.
func parsePause(h http.Header) Pause {
	values := h.Values(headerRetryAfter)
	if len(values) == 0 {
		return Pause{}
	}
	if s, ok := parseNumber(values); ok {
		return Pause{For: time.Duration(min(s, maxPauseSeconds) * float64(time.Second))}
	}
	until, err := http.ParseTime(values[0])
	from, dateErr := http.ParseTime(h.Get("Date"))
	if err != nil || dateErr != nil || len(values) > 1 {
		return Pause{Malformed: true}
	}
	return Pause{For: max(0, until.Sub(from))}
}

// parseNumber parses the values of a header with one decimal number that is not negative.
func parseNumber(values []string) (float64, bool) {
	text := strings.TrimSpace(values[0])
	if len(values) > 1 || text == "" || len(text) > maxNumberLength || strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	v, err := strconv.ParseFloat(text, 64)
	return v, err == nil
}
