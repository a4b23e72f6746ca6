package hedge

import (
	"math"
	"time"
)

const (
	bucketsPerOctave = 8 // a bucket is 9% wide
	buckets          = 20 * bucketsPerOctave
	minTime          = 100 * time.Microsecond // upper bound of the first bucket; the last one ends at about 100 s
)

// histogram counts times in buckets of equal relative width.
type histogram struct {
	counts [buckets]float64
	total  float64
}

// add counts a time.
func (h *histogram) add(d time.Duration) {
	i := 0
	if d > minTime {
		i = min(buckets-1, int(math.Ceil(math.Log2(float64(d)/float64(minTime))*bucketsPerOctave)))
	}
	h.counts[i]++
	h.total++
}

// scale multiplies all counts.
func (h *histogram) scale(factor float64) {
	for i := range h.counts {
		h.counts[i] *= factor
	}
	h.total *= factor
}

// quantile returns an upper bound of the times of a part of the counts.
func (h *histogram) quantile(part float64) time.Duration {
	sum := 0.0
	for i, count := range h.counts {
		sum += count
		if sum >= part*h.total {
			return time.Duration(float64(minTime) * math.Exp2(float64(i)/bucketsPerOctave))
		}
	}
	return time.Duration(float64(minTime) * math.Exp2((buckets-1.0)/bucketsPerOctave))
}
