package exchange_test

import (
	"net/http"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/exchange"
)

const (
	// start is the head of a valid response, without its end, with all that is recorded of an endpoint.
	start = "HTTP/1.1 200 OK\r\n" + fields
	// fields are the fields of start.
	fields = "X-Request: {id}\r\nX-Signature: s\r\nX-Load: 1,0,8\r\nX-Limit: 3\r\nX-Leaving: 1\r\n"
	length = "Content-Length: 2\r\n"
	coding = "Transfer-Encoding: chunked\r\n"
)

// TestMalformedHeadsAreNoResponses guards against heads that net/http accepts, or reads in another
// way than they were meant: the caller got such a line, or a body that was not the endpoint's.
func TestMalformedHeadsAreNoResponses(t *testing.T) {
	cases := map[string]string{
		"status 000, then a response":       "HTTP/1.1 000 X\r\n\r\n" + okResponse,
		"status 050 with fields":            "HTTP/1.1 050 X\r\n" + fields + "\r\n" + okResponse,
		"status 099, then a response":       "HTTP/1.1 099 X\r\n\r\n" + okResponse,
		"status 600":                        "HTTP/1.1 600 X\r\n" + fields + length + "\r\nok",
		"status 999":                        "HTTP/1.1 999 X\r\n" + fields + length + "\r\nok",
		"status with a sign":                "HTTP/1.1 +99 X\r\n" + fields + length + "\r\nok",
		"status of four digits":             "HTTP/1.1 2000 X\r\n" + fields + length + "\r\nok",
		"two spaces before the status":      "HTTP/1.1  200 OK\r\n" + fields + length + "\r\nok",
		"control byte in the reason":        "HTTP/1.1 200 O\x00K\r\n" + fields + length + "\r\nok",
		"HTTP/2.0":                          "HTTP/2.0 200 OK\r\n" + fields + length + "\r\nok",
		"space before the colon of length":  start + "Content-Length : 2\r\n\r\nok" + closeMark,
		"space before the colon of coding":  start + "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n" + closeMark,
		"tab before the colon":              start + "Own\t: 2\r\n" + length + "\r\nok",
		"space in a name":                   start + "Bad Name: 2\r\n" + length + "\r\nok",
		"control byte in a name":            start + "Bad\x01Name: 2\r\n" + length + "\r\nok",
		"byte over 127 in a name":           start + "B\xe4d: 2\r\n" + length + "\r\nok",
		"empty name":                        start + ": 2\r\n" + length + "\r\nok",
		"no colon":                          start + "Name\r\n" + length + "\r\nok",
		"folded line":                       start + "Own: 1\r\n 2\r\n" + length + "\r\nok",
		"folded length":                     start + "Content-Length:\r\n 2\r\n\r\nok",
		"space before the first field":      "HTTP/1.1 200 OK\r\n " + fields + length + "\r\nok",
		"NUL in a value":                    start + "Own: a\x00b\r\n" + length + "\r\nok",
		"carriage return in a value":        start + "Own: a\rb\r\n" + length + "\r\nok",
		"delete in a value":                 start + "Own: a\x7fb\r\n" + length + "\r\nok",
		"escape in a value":                 start + "Own: a\x1bb\r\n" + length + "\r\nok",
		"two lengths":                       start + length + "Content-Length: 1\r\n\r\nok",
		"two lengths in a line":             start + "Content-Length: 2, 2\r\n\r\nok",
		"empty length":                      start + "Content-Length:\r\n\r\n",
		"negative length":                   start + "Content-Length: -2\r\n\r\nok",
		"length with a sign":                start + "Content-Length: +2\r\n\r\nok",
		"length that does not fit":          start + "Content-Length: 18446744073709551618\r\n\r\nok",
		"length and chunks":                 start + length + coding + "\r\n2\r\nok\r\n0\r\n\r\n",
		"chunks and length":                 start + coding + "Content-Length: 12\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"compressed":                        start + "Transfer-Encoding: gzip\r\n\r\nok" + closeMark,
		"compressed and chunked":            start + "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"identity":                          start + "Transfer-Encoding: identity\r\n\r\nok" + closeMark,
		"chunked twice":                     start + coding + coding + "\r\n2\r\nok\r\n0\r\n\r\n",
		"chunked HTTP/1.0":                  "HTTP/1.0 200 OK\r\n" + fields + coding + "\r\n2\r\nok\r\n0\r\n\r\n" + closeMark,
		"chunked HTTP/1.0 with length":      "HTTP/1.0 200 OK\r\n" + fields + coding + length + "\r\nok" + closeMark,
		"space in a name, informational":    "HTTP/1.1 103 Early Hints\r\nBad Name: 2\r\n\r\n" + okResponse,
		"control in a value, informational": "HTTP/1.1 103 Early Hints\r\nOwn: a\x00b\r\n\r\n" + okResponse,
		"folded line, informational":        "HTTP/1.1 103 Early Hints\r\nOwn: 1\r\n 2\r\n\r\n" + okResponse,
		"informational with a length":       "HTTP/1.1 103 Early Hints\r\n" + length + "\r\n" + okResponse,
		"informational with chunks":         "HTTP/1.1 103 Early Hints\r\n" + coding + "\r\n" + okResponse,
		"rejection with a malformed name":   "HTTP/1.1 503 Busy\r\nX-Request: {id}\r\nX-Not-Run: 1\r\nRetry-After: 3\r\nBad Name: 2\r\nContent-Length: 0\r\n\r\n",
		"misdirected with two lengths":      "HTTP/1.1 421 No\r\nX-Request: {id}\r\nContent-Length: 0\r\nContent-Length: 1\r\n\r\n",
		"line before the status line":       "\r\n" + start + length + "\r\nok",
	}
	for name, script := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The exchange is broken, nothing is recorded, and the connection is closed", t, func() {
				s := newScriptedEndpoint(t, script)
				p := exchange.New(exchange.Options{HeaderNames: headerNames})
				resp, err := p.Do(t.Context(), s.request("one"))
				convey.So(kindOf(err), convey.ShouldEqual, exchange.KindBroken)
				convey.So(resp, convey.ShouldResemble, exchange.Response{})
				convey.So(exchange.SignalsOf(err), convey.ShouldResemble, exchange.Signals{})
				convey.So(exchange.NotRun(err), convey.ShouldBeFalse)
				resp, err = p.Do(t.Context(), s.request("two"))
				convey.So(err, convey.ShouldBeNil)
				convey.So(resp.Reused, convey.ShouldBeFalse)
			})
		})
	}
}

// TestMalformedChunksAreNoResponses guards against bodies whose framing is malformed, or ends
// early, and that are taken for complete.
func TestMalformedChunksAreNoResponses(t *testing.T) {
	const last = "0\r\n\r\n"
	cases := map[string]string{
		"size with a prefix":            "0x2\r\nok\r\n" + last,
		"size with a sign":              "+2\r\nok\r\n" + last,
		"space before the size":         " 2\r\nok\r\n" + last,
		"space after the size":          "2 \r\nok\r\n" + last,
		"no size":                       "\r\nok\r\n" + last,
		"only an extension":             ";a=b\r\nok\r\n" + last,
		"control byte in an extension":  "2;a=\x00\r\nok\r\n" + last,
		"carriage return in extension":  "2;a\rb\r\nok\r\n" + last,
		"size that does not fit":        "10000000000000002\r\nok\r\n" + last,
		"size without carriage return":  "2\nok\r\n" + last,
		"chunk without carriage return": "2\r\nok\n" + last,
		"chunk longer than its size":    "2\r\nokay\r\n" + last,
		"chunk shorter than its size":   "3\r\nok\r\n" + last,
		"no last chunk":                 "2\r\nok\r\n" + closeMark,
		"no empty line at the end":      "2\r\nok\r\n0\r\n" + closeMark,
		"trailer without its end":       "2\r\nok\r\n0\r\nOwn: 1\r\n" + closeMark,
		"space in a trailer's name":     "2\r\nok\r\n0\r\nBad Name: 2\r\n\r\n",
		"space before trailer's colon":  "2\r\nok\r\n0\r\nOwn : 2\r\n\r\n",
		"control byte in trailer name":  "2\r\nok\r\n0\r\nO\x01wn: 2\r\n\r\n",
		"NUL in a trailer":              "2\r\nok\r\n0\r\nOwn: a\x00b\r\n\r\n",
		"folded trailer":                "2\r\nok\r\n0\r\nOwn: 1\r\n 2\r\n\r\n",
		"trailer without a colon":       "2\r\nok\r\n0\r\nOwn\r\n\r\n",
		"response in the trailer":       "2\r\nok\r\n0\r\nHTTP/1.1 200 OK\r\n\r\n",
	}
	for name, body := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The exchange is broken, and the connection is closed", t, func() {
				s := newScriptedEndpoint(t, start+coding+"\r\n"+body)
				p := exchange.New(exchange.Options{HeaderNames: headerNames})
				resp, err := p.Do(t.Context(), s.request("one"))
				convey.So(kindOf(err), convey.ShouldEqual, exchange.KindBroken)
				convey.So(resp, convey.ShouldResemble, exchange.Response{})
				resp, err = p.Do(t.Context(), s.request("two"))
				convey.So(err, convey.ShouldBeNil)
				convey.So(resp.Reused, convey.ShouldBeFalse)
			})
		})
	}
}

// TestUnusualResponses guards against the rejection of responses that the protocol allows.
func TestUnusualResponses(t *testing.T) {
	cases := map[string]struct {
		method, response string
		status           int
		body             string
		reused           bool // the next request uses the same connection
	}{
		"lines without carriage returns":       {"GET", "HTTP/1.1 200 OK\nX-Request: {id}\nX-Signature: s\nContent-Length: 2\n\nok", 200, "ok", true},
		"no reason":                            {"GET", "HTTP/1.1 200 \r\n" + fields + length + "\r\nok", 200, "ok", true},
		"no reason and no space":               {"GET", "HTTP/1.1 200\r\n" + fields + length + "\r\nok", 200, "ok", true},
		"status 599":                           {"GET", "HTTP/1.1 599 Own\r\n" + fields + length + "\r\nok", 599, "ok", true},
		"equal lengths":                        {"GET", start + length + length + "\r\nok", 200, "ok", true},
		"length with zeros":                    {"GET", start + "Content-Length: 002\r\n\r\nok", 200, "ok", true},
		"values with tabs and bytes over 127":  {"GET", start + "Own:\ta\tb\xe4 \r\nEmpty:\r\n" + length + "\r\nok", 200, "ok", true},
		"coding in other letters":              {"GET", start + "transfer-encoding: Chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 200, "ok", true},
		"extensions and a trailer":             {"GET", start + coding + "\r\n1 ;a=\"b\"\r\no\r\n01;c\r\nk\r\n00;d\r\nOwn: 1\r\n\r\n", 200, "ok", true},
		"HTTP/1.0 with length":                 {"GET", "HTTP/1.0 200 OK\r\n" + fields + length + "\r\nok", 200, "ok", false},
		"HTTP/1.0 that keeps its connection":   {"GET", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n" + fields + length + "\r\nok", 200, "ok", true},
		"HTTP/1.0 without length":              {"GET", "HTTP/1.0 200 OK\r\n" + fields + "\r\nok" + closeMark, 200, "ok", false},
		"informational with fields":            {"GET", "HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + start + length + "\r\nok", 200, "ok", true},
		"no content":                           {"GET", "HTTP/1.1 204 No Content\r\n" + fields + "Content-Length: 0\r\n\r\n", 204, "", true},
		"no content that announces a body":     {"GET", "HTTP/1.1 204 No Content\r\n" + fields + length + "\r\n", 204, "", false},
		"not modified with the body's length":  {"GET", "HTTP/1.1 304 Not Modified\r\n" + fields + length + "\r\n", 304, "", true},
		"chunked response to HEAD":             {"HEAD", start + coding + "\r\n", 200, "", true},
		"other options beside close":           {"GET", start + "Connection: X-Hop, Close\r\n" + length + "\r\nok", 200, "ok", false},
		"name that begins like one of framing": {"GET", start + "Content-Length-Of: 7\r\n" + length + "\r\nok", 200, "ok", true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("They are returned as they were sent", t, func() {
				s := newScriptedEndpoint(t, c.response)
				p := exchange.New(exchange.Options{HeaderNames: headerNames})
				r := s.request("one")
				r.Method = c.method
				resp, err := p.Do(t.Context(), r)
				convey.So(err, convey.ShouldBeNil)
				convey.So(resp.Status, convey.ShouldEqual, c.status)
				convey.So(resp.Body.String(), convey.ShouldEqual, c.body)
				convey.So(resp.Header.Get("X-Signature"), convey.ShouldEqual, "s")
				resp, err = p.Do(t.Context(), s.request("two"))
				convey.So(err, convey.ShouldBeNil)
				convey.So(resp.Reused, convey.ShouldEqual, c.reused)
			})
		})
	}
}

// TestLongHeads guards against lines that are longer than the buffer of a connection, and are cut.
func TestLongHeads(t *testing.T) {
	convey.Convey("A value of 20 KB arrives as it was sent", t, func() {
		value := make([]byte, 20<<10)
		for i := range value {
			value[i] = 'a' + byte(i%26)
		}
		s := newScriptedEndpoint(t, start+"Own: "+string(value)+"\r\nAfter: 1\r\n"+length+"\r\nok")
		resp, err := exchange.New(exchange.Options{HeaderNames: headerNames}).Do(t.Context(), s.request("one"))
		convey.So(err, convey.ShouldBeNil)
		convey.So(resp.Header["Own"], convey.ShouldResemble, []string{string(value)})
		convey.So(resp.Header, convey.ShouldResemble, http.Header{"X-Request": {"one"}, "X-Signature": {"s"}, "X-Load": {"1,0,8"}, "X-Limit": {"3"}, "X-Leaving": {"1"},
			"Own": {string(value)}, "After": {"1"}})
		convey.So(resp.Body.String(), convey.ShouldEqual, "ok")
	})
}
