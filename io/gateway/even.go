package gateway

import (
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"tanagerroad"
	"tanagerroad/core/fleet"
)

// evenField returns the log fields with the figures of a choice that evens the load, if it
// is one.
func evenField(choice fleet.Choice) zap.Field {
	if choice.Even == nil {
		return zap.Skip()
	}
	return zap.Inline(zapcore.ObjectMarshalerFunc(func(e zapcore.ObjectEncoder) error {
		e.AddFloat64("load", choice.Even.Load)
		e.AddFloat64("mean-load", choice.Even.Mean)
		e.AddInt("rank", choice.Even.Rank)
		return nil
	}))
}

// recordPlacing records a choice that evens the load: the estimated load of the chosen
// backend server against the mean, and whether the prompt part went past its home.
func (m meters) recordPlacing(choice fleet.Choice) {
	if choice.Even == nil {
		return
	}
	m.samplePercent("placing.load-percent", choice.Even.Load, choice.Even.Mean)
	if choice.Even.Rank > 0 {
		m.count("placing.past-home")
	}
}

// recordLoad records the load that an answer reported against the mean that was estimated
// when its request was placed.
func (m meters) recordLoad(choice fleet.Choice, reply tanagerroad.ResponseHeaders) {
	if choice.Even != nil && reply.Slots > 0 {
		m.samplePercent("servers.load-percent", float64(reply.Running+reply.Waiting), choice.Even.Mean)
	}
}

// samplePercent adds a load, in percent of the mean, to the named histogram. Means below
// one request say nothing.
func (m meters) samplePercent(name string, load, mean float64) {
	if mean < 1 {
		return
	}
	h := m.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewUniformSample(sampleSize))
	})
	if histogram, ok := h.(metrics.Histogram); ok {
		histogram.Update(int64(100 * load / mean))
	}
}
