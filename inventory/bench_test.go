package inventory_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/wasabiwheel/wasabiwheel/examples"
	"github.com/wasabiwheel/wasabiwheel/inventory"
)

// BenchmarkParse shows the time to parse and check by the number of endpoints.
func BenchmarkParse(b *testing.B) {
	for _, endpoints := range []int{10, 100, 1000, 10000} {
		text := bytes.NewBuffer(bytes.Clone(examples.Lumbre))
		for i := range endpoints {
			fmt.Fprintf(text, "\n[[endpoint]]\nid = \"e-%d\"\nservice = \"catalogue\"\ndomain = \"norte-a\"\naddress = \"10.1.%d.%d:8080\"\nslots = 3\nconnections = 330\n",
				i, i/250, i%250+1)
		}
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			for b.Loop() {
				if _, err := inventory.Parse("bench", text.Bytes()); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(endpoints), "us/endpoint")
		})
	}
}
