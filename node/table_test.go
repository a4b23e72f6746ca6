package node

// The table of the experiment. The short run in the test suite checks the goals
// of steady load; with -full the whole table and its plot are written:
//
//	go test ./node -run TestSteeringExperiment -full -v

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/wasabiwheel/wasabiwheel/examples"
)

var (
	fullTable = flag.Bool("full", false, "run all scenarios of the steering experiment and write the table and the plots")
	fullTime  = flag.Duration("fulltime", 10*time.Second, "measured time of each run of the table")
	fullOnly  = flag.String("fullonly", "", "only this scenario, and no plots")
)

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
				convey.So(got.Good, convey.ShouldEqual, got.Sent)
				convey.So(got.Twice, convey.ShouldEqual, 0)
				convey.So(got.P99.Seconds()/best.P99.Seconds(), convey.ShouldBeLessThanOrEqualTo, goalLatency)
			})
		})
	}
}

// systemOrder and scenarioOrder fix the order of rows and bars.
var (
	systemOrder   = []string{"oracle", "wasabiwheel", "two choices", "least load", "random"}
	scenarioOrder = []string{"steady", "double load", "cold caches", "domain lost", "region lost", "lossy link", "misleading reports"}
)

// runTable runs everything, prints the table and writes a plot for each
// deployment.
func runTable(t *testing.T) {
	const seed = 1
	fmt.Println("| deployment | scenario | system | p50 ms | p99 ms | good/s | refused | other | peak endpoint | peak region | twice |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|")
	for d, text := range deployments {
		rows := map[string][]measure{}
		for _, sc := range scenarioOrder {
			if *fullOnly != "" && *fullOnly != sc {
				continue
			}
			for _, name := range systemOrder {
				m := runExperiment(t, text, scenarios[sc], systems[name], *fullTime, seed)
				rows[name] = append(rows[name], m)
				fmt.Printf("| %s | %s | %s | %.0f | %.0f | %.0f | %d | %d | %.2f | %.2f | %d |\n", d, sc, name,
					millis(m.P50), millis(m.P99), m.Rate, m.Refused, m.Other, m.Peak, m.Region, m.Twice)
			}
		}
		if *fullOnly != "" {
			continue
		}
		if err := plotRows("../docs/steering-"+d+".svg", d, rows); err != nil {
			t.Error(err)
		}
	}
}

func millis(d time.Duration) float64 { return d.Seconds() * 1000 }

// plotRows writes the p99 of each system in each scenario as bars.
func plotRows(file, title string, rows map[string][]measure) error {
	p := plot.New()
	p.Title.Text = title + ": p99 of answered requests"
	p.Y.Label.Text = "ms"
	p.Legend.Top = true
	p.NominalX(scenarioOrder...)
	const width = 9
	for i, name := range systemOrder {
		var values plotter.Values
		for _, m := range rows[name] {
			values = append(values, millis(m.P99))
		}
		bars, err := plotter.NewBarChart(values, vg.Points(width))
		if err != nil {
			return err
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = vg.Points(float64(i-len(systemOrder)/2) * width)
		p.Add(bars)
		p.Legend.Add(name, bars)
	}
	return p.Save(11*vg.Inch, 5*vg.Inch, file)
}
