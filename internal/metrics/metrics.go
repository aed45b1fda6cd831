package metrics

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"almondgrade/core/result"
)

// unknownCodeName is the name of the counter of codes that are not in the table.
const unknownCodeName = "unknown"

// Metrics counts outcomes by their result code. It is safe for concurrent use.
type Metrics struct {
	// Registry holds the counters of the codes and all other metrics that the process registers.
	Registry     gometrics.Registry
	codes        map[result.Code]gometrics.Counter
	unknownCodes gometrics.Counter
}

// New returns metrics with a counter for every result code.
func New() *Metrics {
	registry := gometrics.NewRegistry()
	counts := &Metrics{
		Registry:     registry,
		codes:        make(map[result.Code]gometrics.Counter),
		unknownCodes: gometrics.NewRegisteredCounter(unknownCodeName, registry),
	}

	for _, row := range result.Table() {
		counts.codes[row.Code] = gometrics.NewRegisteredCounter(row.Name, registry)
	}

	return counts
}

// Count adds one to the counter of a code. OK is not counted.
func (m *Metrics) Count(code result.Code) {
	if code == result.OK {
		return
	}

	counter, found := m.codes[code]
	if !found {
		counter = m.unknownCodes
	}

	counter.Inc(1)
}

// Counter returns the counter of a name. It registers the counter on first use.
func (m *Metrics) Counter(name string) gometrics.Counter {
	return gometrics.GetOrRegisterCounter(name, m.Registry)
}

// histogramSampleSize is the number of values that a histogram keeps. With it, the 99th percentile is off by a few ranks, and
// a histogram takes 4 KiB.
const histogramSampleSize = 512

// Observe adds a duration to the histogram of a name, in microseconds. The histogram is registered on first use.
func (m *Metrics) Observe(name string, duration time.Duration) {
	histogram, found := m.Registry.Get(name).(gometrics.Histogram)
	if !found {
		histogram = gometrics.GetOrRegisterHistogram(name, m.Registry, gometrics.NewUniformSample(histogramSampleSize))
	}

	histogram.Update(duration.Microseconds())
}
