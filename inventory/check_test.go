package inventory_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/examples"
	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// TestBadFilesAreRefused reads each bad file and compares the error with what
// the file's first line wants: the line, the key and the beginning of the cause.
func TestBadFilesAreRefused(t *testing.T) {
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
				_, err = inventory.Read(file)
				convey.So(err, convey.ShouldNotBeNil)
				convey.So(err.Error(), convey.ShouldStartWith, file+":"+strings.TrimPrefix(first, "# want "))
			})
		})
	}
}

func FuzzParse(f *testing.F) {
	files, _ := filepath.Glob("testdata/bad/*.toml")
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add(examples.Lumbre)
	f.Fuzz(func(t *testing.T, data []byte) {
		inv, err := inventory.Parse("fuzz", data)
		if err != nil {
			return
		}
		if again, err := inv.WithDrains(nil); err != nil || len(inventory.Diff(inv, again)) > 0 {
			t.Errorf("accepted, and refused when checked again: %v", err)
		}
	})
}
