package inventory_test

import (
	"bytes"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/examples"
	"github.com/wasabiwheel/wasabiwheel/inventory"
)

func TestDiffReadsAsAPersonWould(t *testing.T) {
	cases := map[string]struct {
		old, replacement string
		want             []string
	}{
		"nothing": {"", "", nil},
		"slots":   {"slots = 4", "slots = 5", []string{"~ endpoint catalogue-1: slots 4 -> 5"}},
		"drain":   {"[[region]]", "[[drain]]\nregion = \"sur\"\n[[region]]", []string{"+ drain region sur"}},
		"rate":    {"rate = 200", "rate = 100", []string{"~ cap catalogue norte centro: rate 200 -> 100"}},
		"rule":    {"delay = \"5ms\"", "delay = \"6ms\"", []string{"~ rules: delay 5ms -> 6ms"}},
		"new id":  {"\"checkout-12\"", "\"checkout-13\"", []string{"- endpoint checkout-12", `+ endpoint checkout-13: service checkout, domain sur-b, address 127.20.2.40:8080, slots 3, connections 330`}},
	}
	before, err := inventory.Parse("lumbre.toml", examples.Lumbre)
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("Each row that differs has a line", t, func() {
				after, err := inventory.Parse("lumbre.toml", bytes.Replace(examples.Lumbre, []byte(c.old), []byte(c.replacement), 1))
				convey.So(err, convey.ShouldBeNil)
				convey.So(inventory.Diff(before, after), convey.ShouldResemble, c.want)
			})
		})
	}
}
