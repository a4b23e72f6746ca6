package node

// The table of the experiment. The short run in the test suite checks the goals
// of steady load; with -full the whole table and its plot are written:
//
//	go test ./node -run TestSteeringExperiment -full -v

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/examples"
)

var fullTable = flag.Bool("full", false, "run all scenarios of the steering experiment and write the table and the plot")

// Goals of steady load, as the users state them.
const (
	goalLatency = 1.15 // p99 by that of the oracle
	goalPeak    = 1.0  // most requests at an endpoint by its slots
)

var systems = map[string]system{
	"wasabiwheel": wholeNodes,
	"random":      baselineOf(chooseRandom),
	"least load":  baselineOf(chooseLeast),
	"two choices": baselineOf(chooseTwo),
	"oracle":      withOracle,
}

var deployments = map[string][]byte{"lumbre": examples.Lumbre, "association": examples.Association}

func TestSteeringExperiment(t *testing.T) {
	if *fullTable {
		runTable(t)
		return
	}
	const shortRun, seed = 3 * time.Second, 1
	for name, text := range deployments {
		t.Run(name, func(t *testing.T) {
			got := runExperiment(t, text, scenarios["steady"], wholeNodes, shortRun, seed)
			best := runExperiment(t, text, scenarios["steady"], withOracle, shortRun, seed)
			t.Logf("wasabiwheel %+v", got)
			t.Logf("oracle      %+v", best)
			convey.Convey("Steady load is served like by an oracle, within the slots", t, func() {
				convey.So(got.Peak, convey.ShouldBeLessThanOrEqualTo, goalPeak)
				convey.So(got.Twice, convey.ShouldEqual, 0)
				convey.So(got.P99.Seconds()/best.P99.Seconds(), convey.ShouldBeLessThanOrEqualTo, goalLatency)
			})
		})
	}
}

func sorted(m map[string]measure) []string {
	var names []string
	for n := range m {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

func runTable(t *testing.T) {
	const fullRun, seed = 10 * time.Second, 1
	fmt.Println("| deployment | scenario | system | p50 ms | p99 ms | good/s | refused | other | peak endpoint | peak region | twice |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|")
	for _, d := range []string{"lumbre", "association"} {
		for _, sc := range []string{"steady", "double load", "cold caches", "domain lost", "region lost", "lossy link", "misleading reports"} {
			row := map[string]measure{}
			for name, sys := range systems {
				row[name] = runExperiment(t, deployments[d], scenarios[sc], sys, fullRun, seed)
			}
			for _, name := range sorted(row) {
				m := row[name]
				fmt.Printf("| %s | %s | %s | %.0f | %.0f | %.0f | %d | %d | %.2f | %.2f | %d |\n", d, sc, name,
					m.P50.Seconds()*1000, m.P99.Seconds()*1000, m.Rate, m.Refused, m.Other, m.Peak, m.Region, m.Twice)
			}
		}
	}
}
