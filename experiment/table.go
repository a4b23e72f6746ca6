package experiment

// The results of runs as a Markdown table.

import (
	"fmt"
	"io"
	"time"
)

// Row is the result of one run in the table.
type Row struct {
	Deployment string   `json:"deployment"`
	Scenario   Scenario `json:"scenario"`
	System     System   `json:"system"`
	Measurement
}

// WriteHeader writes the header of the table in Markdown.
func WriteHeader(w io.Writer) {
	fmt.Fprintln(w, "| deployment | scenario | system | in objective | p50 ms | p99 ms | good/s | refused | other | shed | peak endpoint | peak region | twice |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|---|---|")
}

// Write writes the row in Markdown.
func (r Row) Write(w io.Writer) {
	fmt.Fprintf(w, "| %s | %s | %s | %.3f | %.0f | %.0f | %.0f | %d | %d | %d | %.2f | %.2f | %d |\n", r.Deployment, r.Scenario, r.System,
		r.InObjective, millis(r.P50), millis(r.P99), r.Goodput, r.Refused, r.Other, r.Shed, r.PeakEndpoint, r.PeakRegion, r.Duplicates)
}

func millis(d time.Duration) float64 { return d.Seconds() * 1000 }
