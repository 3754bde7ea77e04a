package gateway

import (
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"
)

// sampleSize is the number of latencies that a histogram keeps.
const sampleSize = 256

// meters counts what a gateway does.
type meters struct {
	registry metrics.Registry
}

func newMeters(registry metrics.Registry) meters { return meters{registry} }

// count adds one to the counter of that name.
func (m meters) count(name string) { metrics.GetOrRegisterCounter(name, m.registry).Inc(1) }

// answered counts a final answer and its time.
func (m meters) answered(status int, took time.Duration) {
	m.count("answers." + strconv.Itoa(status))
	m.observe("answers.time-ms", took)
}

// observe adds a duration to a histogram in milliseconds.
func (m meters) observe(name string, d time.Duration) {
	h := m.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewUniformSample(sampleSize))
	})
	if histogram, ok := h.(metrics.Histogram); ok {
		histogram.Update(d.Milliseconds())
	}
}
