package gateway

import (
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"
)

// sampleSize is the number of durations that a histogram samples.
const sampleSize = 256

// meters records the metrics of a gateway.
type meters struct {
	registry metrics.Registry
}

func newMeters(registry metrics.Registry) meters { return meters{registry} }

// count increments the named counter.
func (m meters) count(name string) { metrics.GetOrRegisterCounter(name, m.registry).Inc(1) }

// recordAnswer records a final answer: its status, and the time from the request's
// arrival.
func (m meters) recordAnswer(status int, took time.Duration) {
	m.count("answers." + strconv.Itoa(status))
	m.observe("answers.time-ms", took)
}

// recordReceived records how a backend server's answer was framed, and whether it is
// a stream that ended inside an event.
func (m meters) recordReceived(r received) {
	m.count("answers.framing." + string(r.framing))
	if r.partial > 0 {
		m.count("streams.partial-end")
	}
}

// observe adds a duration, in milliseconds, to the named histogram.
func (m meters) observe(name string, d time.Duration) {
	h := m.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewUniformSample(sampleSize))
	})
	if histogram, ok := h.(metrics.Histogram); ok {
		histogram.Update(d.Milliseconds())
	}
}
