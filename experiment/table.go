package experiment

// The table and the plot of many runs.

import (
	"fmt"
	"io"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 11 * vg.Inch
	plotHeight = 5 * vg.Inch
	barWidth   = 9 // points
)

// Row is one run of a table.
type Row struct {
	Deployment string   `json:"deployment"`
	Scenario   Scenario `json:"scenario"`
	System     System   `json:"system"`
	Measure
}

// WriteHead writes the head of a table in Markdown.
func WriteHead(w io.Writer) {
	fmt.Fprintln(w, "| deployment | scenario | system | p50 ms | p99 ms | good/s | refused | other | peak endpoint | peak region | twice |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|")
}

// Write writes the row in Markdown.
func (r Row) Write(w io.Writer) {
	fmt.Fprintf(w, "| %s | %s | %s | %.0f | %.0f | %.0f | %d | %d | %.2f | %.2f | %d |\n", r.Deployment, r.Scenario, r.System,
		millis(r.P50), millis(r.P99), r.Rate, r.Refused, r.Other, r.Peak, r.Region, r.Twice)
}

func millis(d time.Duration) float64 { return d.Seconds() * 1000 }

// Plot writes the p99 of each system in each scenario of one deployment as bars
// to a file, whose ending says the format. It fails with KindPlot.
func Plot(file, deployment string, rows []Row) error {
	p := plot.New()
	p.Title.Text = deployment + ": p99 of answered requests"
	p.Y.Label.Text = "ms"
	p.Legend.Top = true
	var names []string
	for _, s := range Scenarios {
		names = append(names, string(s))
	}
	p.NominalX(names...)
	for i, s := range Systems {
		bars, err := plotter.NewBarChart(valuesOf(deployment, s, rows), vg.Points(barWidth))
		if err != nil {
			return &Error{Op: "plot", Kind: KindPlot, Err: err}
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = vg.Points(float64(i-len(Systems)/2) * barWidth)
		p.Add(bars)
		p.Legend.Add(string(s), bars)
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return &Error{Op: "plot", Kind: KindPlot, Err: err}
	}
	return nil
}

// valuesOf lists a system's p99 in the order of the scenarios, 0 for those that
// were not run.
func valuesOf(deployment string, system System, rows []Row) plotter.Values {
	values := make(plotter.Values, len(Scenarios))
	for i, s := range Scenarios {
		for _, r := range rows {
			if r.Deployment == deployment && r.System == system && r.Scenario == s {
				values[i] = millis(r.P99)
			}
		}
	}
	return values
}
