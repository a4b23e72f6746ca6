package inventory

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/smartystreets/goconvey/convey"
)

const serviceText = `
[rules]
deadline = "3s"
[[region]]
id = "r"
[[domain]]
id = "d"
region = "r"
[[service]]
id = "s"
deadline = "3s"
shed = [503]
[[endpoint]]
id = "e"
service = "s"
domain = "d"
address = "10.0.2.1:80"
slots = 1
connections = 1
[[entry]]
id = "a"
domain = "d"
caller = "10.0.1.1:1"
peer = "10.0.1.1:2"
admin = "10.0.1.1:3"
`

func TestServiceKeysAreChecked(t *testing.T) {
	for name, row := range map[string]struct{ old, text, key string }{
		"fine":                       {"", "", ""},
		"a status that is an answer": {"[503]", "[200]", "service.0.shed"},
		"no status":                  {"[503]", "[42]", "service.0.shed"},
		"longer than the rules say":  {"deadline = \"3s\"\nshed", "deadline = \"4s\"\nshed", "service.0.deadline"},
	} {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The fault is found on its key", t, func() {
				inv, err := Parse("t", []byte(strings.Replace(serviceText, row.old, row.text, 1)))
				if row.key == "" {
					convey.So(err, convey.ShouldBeNil)
					convey.So(inv.Services[0].Shed, convey.ShouldResemble, []int{503})
					return
				}
				var e *Error
				convey.So(errors.As(err, &e), convey.ShouldBeTrue)
				convey.So(e.Key, convey.ShouldEqual, row.key)
				convey.So(e.Line, convey.ShouldBeGreaterThan, 0)
			})
		})
	}
	convey.Convey("Without a rule the longest deadline counts", t, func() {
		inv, err := Parse("t", []byte(strings.Replace(serviceText, "[rules]\ndeadline = \"3s\"\n", "", 1)))
		convey.So(err, convey.ShouldBeNil)
		convey.So(inv.Rules.Deadline, convey.ShouldResemble, inv.Services[0].Deadline)
	})
}
