package endpoint

// average is an exponentially weighted mean. It is zero before its first sample.
type average struct {
	mean  float64
	count int
}

// earlySamples is the number of first samples that are weighted equally, so that the
// first one does not dominate the mean for long.
const earlySamples = 8

// add adds a sample with a weight from 0 to 1.
func (a *average) add(x, weight float64) {
	a.count++
	if a.count <= earlySamples {
		weight = max(weight, 1/float64(a.count))
	}
	a.mean += weight * (x - a.mean)
}

// orDefault returns the mean, or a default value before the first sample.
func (a *average) orDefault(value float64) float64 {
	if a.count == 0 {
		return value
	}
	return a.mean
}
