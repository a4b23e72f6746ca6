package inventory_test

import (
	"bytes"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/examples"
	"github.com/wasabiwheel/wasabiwheel/inventory"
)

func TestDiff(t *testing.T) {
	cases := map[string]struct {
		old, replacement string
		want             []string
	}{
		"nothing": {"", "", nil},
		"slots":   {"slots = 4", "slots = 5", []string{"~ endpoint catalogue-1: slots 4 -> 5"}},
		"drain":   {"[[region]]", "[[drain]]\nregion = \"sur\"\n[[region]]", []string{"+ drain region sur"}},
		"timeout": {"timeout = \"2s\"", "timeout = \"1s\"", []string{"~ route catalogue: timeout 2s -> 1s"}},
		"weight":  {"weight = 1", "weight = 2", []string{"~ route catalogue: part [{catalogue 1}] -> [{catalogue 2}]"}},
		"new id":  {"\"checkout-12\"", "\"checkout-13\"", []string{"- endpoint checkout-12", `+ endpoint checkout-13: service checkout, domain sur-b, address 127.20.2.40:8080, slots 3`}},
	}
	before, err := inventory.Parse("lumbre.toml", examples.Lumbre)
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("Each row that differs is one line", t, func() {
				after, err := inventory.Parse("lumbre.toml", bytes.Replace(examples.Lumbre, []byte(c.old), []byte(c.replacement), 1))
				convey.So(err, convey.ShouldBeNil)
				convey.So(inventory.Diff(before, after), convey.ShouldResemble, c.want)
			})
		})
	}
	convey.Convey("Configurations differ only in routes, services and limits", t, func() {
		next := before.Configuration(2)
		next.Services = append([]inventory.Service{{ID: "extra"}}, next.Services...)
		convey.So(inventory.DiffConfigurations(before.Configuration(1), next), convey.ShouldResemble,
			[]string{"+ service extra: health , connections 0, warmup 0s, pace 0"})
	})
}
