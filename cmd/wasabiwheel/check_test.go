package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// TestCheckRefusesBadFiles runs the program on the bad files of the packages,
// whose first line says what is wanted.
func TestCheckRefusesBadFiles(t *testing.T) {
	for flag, pattern := range map[string]string{"--inventory": "../../inventory/testdata/bad/*.toml", "--settings": "../../node/testdata/bad/*.toml"} {
		files, err := filepath.Glob(pattern)
		if err != nil || len(files) == 0 {
			t.Fatal(files, err)
		}
		for _, file := range files {
			t.Run(flag+filepath.Base(file), func(t *testing.T) {
				convey.Convey("check fails with file, line and key on standard error", t, func() {
					data, err := os.ReadFile(file)
					convey.So(err, convey.ShouldBeNil)
					first, _, _ := strings.Cut(string(data), "\n")
					got := command("check", flag, file)
					convey.So(got.code, convey.ShouldEqual, exitFailed)
					convey.So(got.out, convey.ShouldEqual, "")
					convey.So(got.errors, convey.ShouldStartWith, "wasabiwheel: "+file+":"+strings.TrimPrefix(first, "# want "))
				})
			})
		}
	}
}

func TestCheckComparesSettingsWithTheInventory(t *testing.T) {
	settings := filepath.Join(t.TempDir(), "c-1.toml")
	text := "id = \"c-1\"\ndomain = \"centro-b\"\ncaller = \"127.30.1.1:7000\"\npeer = \"127.30.1.1:7001\"\nadmin = \"127.30.1.1:7002\"\nplatform = \"http://127.30.0.1:9000\"\n"
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	convey.Convey("Settings that differ from their entry are refused", t, func() {
		convey.So(command("check", "--settings", settings).code, convey.ShouldEqual, 0)
		got := command("check", "--settings", settings, "--inventory", "testdata/small.toml")
		convey.So(got.code, convey.ShouldEqual, exitFailed)
		convey.So(got.errors, convey.ShouldStartWith, "wasabiwheel: "+settings+`:2: domain: "centro-b" here, "centro-a" in the inventory`)
	})
}
