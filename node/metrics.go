package node

// Metrics: counters, among them one for each reason of a rejection or a retry, and
// histograms of latencies.

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
)

// nodeMetrics holds the metrics of one node.
type nodeMetrics struct{ registry metrics.Registry }

func newNodeMetrics() nodeMetrics { return nodeMetrics{registry: metrics.NewRegistry()} }

func (nm nodeMetrics) increment(name string) {
	metrics.GetOrRegisterCounter(name, nm.registry).Inc(1)
}

// histogramSize is the number of samples in a histogram: enough for the 99th percentile.
const histogramSize = 1028

// observe adds a latency to a histogram.
func (nm nodeMetrics) observe(name string, d time.Duration) {
	h := nm.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewUniformSample(histogramSize))
	}).(metrics.Histogram)
	h.Update(d.Microseconds())
}

// counterValues returns the counters by name.
func (nm nodeMetrics) counterValues() map[string]int64 {
	all := map[string]int64{}
	nm.registry.Each(func(name string, m any) {
		if counter, ok := m.(metrics.Counter); ok {
			all[name] = counter.Count()
		}
	})
	return all
}

// quantiles are reported for each histogram.
var quantiles = []float64{0.5, 0.9, 0.99}

// write writes all metrics as text, one name and value a line. Latencies are in
// microseconds.
func (nm nodeMetrics) write(w io.Writer) error {
	var lines []string
	nm.registry.Each(func(name string, m any) {
		switch m := m.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d\n", name, m.Count()))
		case metrics.Histogram:
			s := m.Snapshot()
			lines = append(lines, fmt.Sprintf("%s.count %d\n", name, s.Count()))
			for i, v := range s.Percentiles(quantiles) {
				lines = append(lines, fmt.Sprintf("%s.p%g %.0f\n", name, quantiles[i]*100, v))
			}
			lines = append(lines, fmt.Sprintf("%s.max %d\n", name, s.Max()))
		}
	})
	slices.Sort(lines)
	for _, l := range lines {
		if _, err := io.WriteString(w, l); err != nil {
			return err
		}
	}
	return nil
}
