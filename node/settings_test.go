package node

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/inventory"
)

const goodSettings = `id = "lumbre-1"
domain = "norte-a"
caller = "127.20.1.1:7000"
lookup = "127.20.1.1:7003"
peer = "127.20.1.1:7001"
admin = "127.20.1.1:7002"
seeds = ["127.20.1.2:7001"]
platform = "127.20.0.1:9000"
[[domains]]
id = "norte-a"
region = "norte"
[vm]
share = 0.32
[bounds]
drain = "2s"
[bounds.retry]
ratio = 0.2
window = "10s"
[bounds.cold]
slack = 5
`

func TestInvalidSettingsAreRejected(t *testing.T) {
	cases := map[string]struct{ old, text, key, cause string }{
		"empty id":         {"\"lumbre-1\"", "\"\"", "id", "id \"\" is empty"},
		"unknown domain":   {"domain = \"norte-a\"", "domain = \"este\"", "domain", "failure domain \"este\""},
		"host name":        {"127.20.1.1:7000", "host:7000", "caller", "\"host:7000\" is not"},
		"seed by name":     {"127.20.1.2:7001", "host:7001", "seeds", "\"host:7001\" is not"},
		"no lookup":        {"127.20.1.1:7003", "", "lookup", "\"\" is not"},
		"big port":         {"7001", "70001", "peer", "\"127.20.1.1:70001\" is not"},
		"a URL":            {"127.20.0.1:9000", "http://x", "platform", "\"http://x\" is not"},
		"unknown protocol": {"id = \"lumbre-1\"", "id = \"lumbre-1\"\nfront = \"other\"", "front", "\"other\" is neither"},
		"negative link":    {"share = 0.32", "share = 0.32\nlink = -1", "vm.link", "link -1"},
		"negative hedges":  {"[bounds]", "[hedge]\nshare = -0.1\n[bounds]", "hedge.share", "share -0.1"},
		"too many hedges":  {"[bounds]", "[hedge]\nshare = 4\n[bounds]", "hedge.share", "share 4"},
		"no share":         {"0.32", "0", "vm.share", "share 0"},
		"negative drain":   {"\"2s\"", "\"-2s\"", "bounds.drain", "-2s"},
		"no window":        {"\"10s\"", "\"0s\"", "bounds.retry.window", "0s"},
		"negative slack":   {"slack = 5", "slack = -5", "bounds.cold.slack", "-5 is negative"},
		"negative shift":   {"[bounds]", "[bounds]\nshift = -0.1", "bounds.shift", "-0.1 is negative"},
		"shift above 1":    {"[bounds]", "[bounds]\nshift = 1.5", "bounds.shift", "1.5; a share is at most 1"},
		"shift not number": {"[bounds]", "[bounds]\nshift = nan", "bounds.shift", "is not a number"},
		"unknown key":      {"share = 0.32", "shape = 0.32", "vm.shape", "unknown key"},
		"unknown key, top": {"platform =", "platforms =", "platforms", "unknown key"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The error names the line, the key and the cause", t, func() {
				text := strings.Replace(goodSettings, c.old, c.text, 1)
				_, err := ParseSettings("t", []byte(text))
				var e *inventory.Error
				convey.So(errors.As(err, &e), convey.ShouldBeTrue)
				convey.So(e.Key, convey.ShouldEqual, c.key)
				convey.So(e.Line, convey.ShouldBeGreaterThan, 0)
				convey.So(e.Err.Error(), convey.ShouldStartWith, c.cause)
			})
		})
	}
	convey.Convey("Valid settings, with defaults for omitted keys", t, func() {
		s, err := ParseSettings("t", []byte(goodSettings))
		convey.So(err, convey.ShouldBeNil)
		convey.So(s.Ready, convey.ShouldEqual, s.Lookup)
		convey.So(s.Bounds.Grace, convey.ShouldResemble, DefaultBounds().Grace)
		convey.So(s.Bounds.Shift, convey.ShouldEqual, 0)
		convey.So(s.region(), convey.ShouldEqual, inventory.RegionID("norte"))
	})
}

func TestSettingsRoundTrip(t *testing.T) {
	convey.Convey("Through a file", t, func() {
		s, err := ParseSettings("t", []byte(goodSettings))
		convey.So(err, convey.ShouldBeNil)
		file := filepath.Join(t.TempDir(), "node.toml")
		convey.So(s.Write(file), convey.ShouldBeNil)
		got, err := ReadSettings(file)
		convey.So(err, convey.ShouldBeNil)
		convey.So(got, convey.ShouldResemble, s)
	})
	convey.Convey("Fails if the folder does not exist", t, func() {
		var e *Error
		convey.So(errors.As(Settings{}.Write(filepath.Join(t.TempDir(), "none", "node.toml")), &e), convey.ShouldBeTrue)
		convey.So(e.Kind, convey.ShouldEqual, KindWrite)
	})
}

func FuzzParseSettings(f *testing.F) {
	f.Add([]byte(goodSettings))
	f.Add([]byte("id = 7"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := ParseSettings("fuzz", data)
		if err != nil {
			return
		}
		if key, err := s.check(); err != nil {
			t.Errorf("accepted, but rejected when checked again: %s: %v", key, err)
		}
	})
}
