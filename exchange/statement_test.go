package exchange_test

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/exchange"
)

// TestStatementsOfRejections guards against a promise that a request has not run without a statement of the
// endpoint, and against a statement that the rest of the response contradicts.
func TestStatementsOfRejections(t *testing.T) {
	const own = "X-Request: {id}\r\nX-Signature: s\r\n"
	head := func(status, header string) string {
		return "HTTP/1.1 " + status + "\r\n" + own + header + "Content-Length: 0\r\n\r\n"
	}
	trailer := "HTTP/1.1 503 Busy\r\n" + own + "Trailer: X-Not-Run\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Not-Run: 1\r\n\r\n"
	cases := map[string]struct {
		response string
		kind     exchange.Kind // "": the response is the endpoint's
	}{
		"408":                    {head("408 Late", ""), exchange.KindConflicting},
		"408, stated":            {head("408 Late", "X-Not-Run: 1\r\n"), exchange.KindShed},
		"429":                    {head("429 Many", ""), exchange.KindConflicting},
		"429, stated":            {head("429 Many", "X-Not-Run: 1\r\n"), exchange.KindShed},
		"503":                    {head("503 Busy", ""), exchange.KindConflicting},
		"503, stated":            {head("503 Busy", "X-Not-Run: 1\r\n"), exchange.KindShed},
		"503, stated twice":      {head("503 Busy", "X-Not-Run: 1\r\nX-Not-Run: 1\r\n"), exchange.KindShed},
		"503, stated with no":    {head("503 Busy", "X-Not-Run:\r\n"), exchange.KindConflicting},
		"503, stated in trailer": {trailer, exchange.KindConflicting},
		"503, outcome of a node": {head("503 Busy", "X-Outcome: not-run\r\n"), exchange.KindConflicting},
		"421":                    {head("421 No", ""), exchange.KindMisdirected},
		"400":                    {head("400 Bad", ""), ""},
		"400, stated":            {head("400 Bad", "X-Not-Run: 1\r\n"), ""},
		"404":                    {head("404 None", ""), ""},
		"500":                    {head("500 Oops", ""), ""},
		"500, stated":            {head("500 Oops", "X-Not-Run: 1\r\n"), exchange.KindConflicting},
		"504, stated":            {head("504 Late", "X-Not-Run: 1\r\n"), exchange.KindConflicting},
		"200, stated":            {head("200 OK", "X-Not-Run: 1\r\n"), exchange.KindConflicting},
		"204, stated":            {"HTTP/1.1 204 OK\r\n" + own + "X-Not-Run: 1\r\n\r\n", exchange.KindConflicting},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The kind of the failure", t, func() {
				s := newScriptedEndpoint(t, c.response)
				_, err := exchange.New(exchange.Options{HeaderNames: headerNames}).Do(t.Context(), s.request("one"))
				convey.So(kindOf(err), convey.ShouldEqual, c.kind)
			})
		})
	}
}
