package process

import (
	"github.com/rcrowley/go-metrics"

	"tanagerroad/io/backend"
	"tanagerroad/io/caller"
	"tanagerroad/io/quorum"
)

func registerGauges(registry metrics.Registry, gauges map[string]func() int64) {
	for name, read := range gauges {
		metrics.NewRegisteredFunctionalGauge(name, registry, read)
	}
}

// registerEntryMetrics shows an entry's admission.
func registerEntryMetrics(registry metrics.Registry, e *caller.Entry) {
	registerGauges(registry, map[string]func() int64{
		"admission.in-flight": func() int64 { now, _ := e.Admission(); return int64(now) },
		"admission.limit":     func() int64 { _, most := e.Admission(); return int64(most) },
		"directory.servers":   func() int64 { return int64(e.ServerCount()) },
	})
}

// registerSidecarMetrics shows a sidecar's queue.
func registerSidecarMetrics(registry metrics.Registry, s *backend.Sidecar) {
	registerGauges(registry, map[string]func() int64{
		"queue.in-flight": func() int64 { return int64(s.Load().InFlight) },
		"queue.waiting":   func() int64 { return int64(s.Load().Queued) },
		"queue.limit":     func() int64 { return int64(s.Load().Limit) },
	})
}

// registerControlMetrics shows what a control instance's loop counts.
func registerControlMetrics(registry metrics.Registry, q *quorum.Quorum) {
	registerGauges(registry, map[string]func() int64{
		"quorum.syncs":            q.Counters.Syncs.Load,
		"quorum.changes":          q.Counters.Changes.Load,
		"quorum.messages.sent":    q.Counters.SentMessages.Load,
		"quorum.messages.dropped": q.Counters.DroppedMessages.Load,
		"quorum.term":             func() int64 { return int64(q.View().Term) },
		"quorum.log-entries":      func() int64 { return int64(q.View().LogEntries) },
		"registry.claims":         func() int64 { return int64(q.View().Claims) },
		"registry.answer-bytes":   func() int64 { return int64(q.View().ClaimBytes) },
		"registry.revision":       func() int64 { return int64(q.View().Revision.GetNumber()) },
	})
}
