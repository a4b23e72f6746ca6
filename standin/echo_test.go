package standin_test

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/caller"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

func TestEchoMismatches(t *testing.T) {
	op := caller.Operation{ID: "7", Method: http.MethodPost, Path: "/book/1", Body: []byte("lamp")}
	complete := standin.Echo{Request: "7", Method: http.MethodPost, Path: "/book/1", Body: "lamp"}
	cases := map[string]struct {
		status  int
		signed  bool
		change  func(e *standin.Echo)
		allowed bool
	}{
		"whole":                     {http.StatusOK, true, func(*standin.Echo) {}, true},
		"unsigned":                  {http.StatusOK, false, func(*standin.Echo) {}, false},
		"a failure":                 {http.StatusInternalServerError, false, func(*standin.Echo) {}, true},
		"to another request":        {http.StatusOK, true, func(e *standin.Echo) { e.Request = "8" }, false},
		"with another path":         {http.StatusOK, true, func(e *standin.Echo) { e.Path = "/book/2" }, false},
		"with another body":         {http.StatusOK, true, func(e *standin.Echo) { e.Body = "" }, false},
		"early":                     {http.StatusOK, true, func(e *standin.Echo) { e.Body, e.Early = "", true }, true},
		"early, to another request": {http.StatusOK, true, func(e *standin.Echo) { e.Body, e.Early, e.Request = "", true, "8" }, false},
		"early, with half a body":   {http.StatusOK, true, func(e *standin.Echo) { e.Body, e.Early = "la", true }, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("Only a matching answer is accepted", t, func() {
				echo := complete
				c.change(&echo)
				body, err := json.Marshal(echo)
				convey.So(err, convey.ShouldBeNil)
				r := caller.Reply{Status: c.status, Header: http.Header{}, Body: body}
				if c.signed {
					r.Header.Set(caller.Headers.Signature, "x")
				}
				convey.So(standin.EchoMismatch(op, r) == "", convey.ShouldEqual, c.allowed)
			})
		})
	}
}
