package node

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/examples"
	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// goodSettings are those of the first entry VM of the Lumbre example.
const goodSettings = `id = "lumbre-1"
domain = "norte-a"
caller = "127.20.1.1:7000"
peer = "127.20.1.1:7001"
admin = "127.20.1.1:7002"
platform = "http://127.20.0.1:9000"
bootstrap = ["127.20.1.2:7001"]
`

// TestBadSettingsAreRefused compares each error with what the file's first line
// wants: the line, the key and the beginning of the cause.
func TestBadSettingsAreRefused(t *testing.T) {
	files, err := filepath.Glob("testdata/bad/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			convey.Convey("The error names the file, the line and the key", t, func() {
				data, err := os.ReadFile(file)
				convey.So(err, convey.ShouldBeNil)
				first, _, _ := strings.Cut(string(data), "\n")
				_, err = ReadSettings(file)
				convey.So(err, convey.ShouldNotBeNil)
				convey.So(err.Error(), convey.ShouldStartWith, file+":"+strings.TrimPrefix(first, "# want "))
			})
		})
	}
}

func TestSettingsAgreeWithTheInventory(t *testing.T) {
	inv, err := inventory.Parse("lumbre.toml", examples.Lumbre)
	if err != nil {
		t.Fatal(err)
	}
	cases := map[string]struct{ old, replacement, key string }{
		"same":       {"", "", ""},
		"no entry":   {"lumbre-1", "lumbre-0", "id"},
		"the domain": {"norte-a", "norte-b", "domain"},
		"the caller": {"7000", "7003", "caller"},
		"the peer":   {"7001", "7003", "peer"},
		"the admin":  {"7002", "7003", "admin"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("What differs is named by its key", t, func() {
				s, err := ParseSettings("settings", []byte(strings.Replace(goodSettings, c.old, c.replacement, 1)))
				convey.So(err, convey.ShouldBeNil)
				key, err := s.Agree(inv)
				convey.So(key, convey.ShouldEqual, c.key)
				convey.So(err == nil, convey.ShouldEqual, c.key == "")
			})
		})
	}
}

func FuzzParseSettings(f *testing.F) {
	files, _ := filepath.Glob("testdata/bad/*.toml")
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte(goodSettings))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := ParseSettings("fuzz", data)
		if err != nil {
			return
		}
		if _, err := s.check(); err != nil {
			t.Errorf("accepted, and refused when checked again: %v", err)
		}
	})
}
