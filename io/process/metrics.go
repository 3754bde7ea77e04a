package process

import (
	"github.com/rcrowley/go-metrics"

	"tanagerroad/io/quorum"
)

// registerControlMetrics shows what a control instance's loop counts.
func registerControlMetrics(registry metrics.Registry, q *quorum.Quorum) {
	gauges := map[string]func() int64{
		"quorum.syncs":            q.Counters.Syncs.Load,
		"quorum.changes":          q.Counters.Changes.Load,
		"quorum.messages.sent":    q.Counters.SentMessages.Load,
		"quorum.messages.dropped": q.Counters.DroppedMessages.Load,
		"quorum.term":             func() int64 { return int64(q.View().Term) },
		"quorum.log-entries":      func() int64 { return int64(q.View().LogEntries) },
		"registry.claims":         func() int64 { return int64(q.View().Claims) },
		"registry.answer-bytes":   func() int64 { return int64(q.View().ClaimBytes) },
		"registry.revision":       func() int64 { return int64(q.View().Revision.GetNumber()) },
	}
	for name, read := range gauges {
		metrics.NewRegisteredFunctionalGauge(name, registry, read)
	}
}
