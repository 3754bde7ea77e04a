package process

import (
	"github.com/rcrowley/go-metrics"

	"tanagerroad/core/wire"
	"tanagerroad/io/backend"
	"tanagerroad/io/caller"
	"tanagerroad/io/quorum"
)

// registerGauges registers a gauge for each name, read through its function.
func registerGauges(registry metrics.Registry, gauges map[string]func() int64) {
	for name, read := range gauges {
		metrics.NewRegisteredFunctionalGauge(name, registry, read)
	}
}

// registerEntryMetrics registers gauges of an entry's admission control and of its
// directory of backend servers.
func registerEntryMetrics(registry metrics.Registry, e *caller.Entry) {
	registerGauges(registry, map[string]func() int64{
		"admission.in-flight": func() int64 { inFlight, _ := e.Admission(); return int64(inFlight) },
		"admission.limit":     func() int64 { _, limit := e.Admission(); return int64(limit) },
		"directory.servers":   func() int64 { return int64(e.ServerCount()) },
	})
}

// registerSidecarMetrics registers gauges of a sidecar's queue.
func registerSidecarMetrics(registry metrics.Registry, s *backend.Sidecar) {
	registerGauges(registry, map[string]func() int64{
		"queue.in-flight": func() int64 { return int64(s.Load().InFlight) },
		"queue.waiting":   func() int64 { return int64(s.Load().Queued) },
		"queue.limit":     func() int64 { return int64(s.Load().Limit) },
	})
}

// registerControlMetrics registers gauges of a control instance's replicated log and
// registry.
func registerControlMetrics(registry metrics.Registry, q *quorum.Quorum) {
	registerGauges(registry, map[string]func() int64{
		"quorum.syncs":            q.Counters.Syncs.Load,
		"quorum.changes":          q.Counters.AppliedCommands.Load,
		"quorum.messages.sent":    q.Counters.SentMessages.Load,
		"quorum.messages.dropped": q.Counters.DroppedMessages.Load,
		"quorum.term":             func() int64 { return int64(q.View().Term) },
		"quorum.log-entries":      func() int64 { return int64(q.View().LogEntries) },
		"registry.claims":         func() int64 { return int64(q.View().Claims) },
		"registry.answer-bytes":   func() int64 { return int64(q.View().ClaimBytes) },
		"registry.evacuated":      func() int64 { return evacuatedZones(q.View().Evacuations) },
		"registry.revision":       func() int64 { return int64(q.View().Revision.GetNumber()) },
	})
}

// evacuatedZones returns how many zones are evacuated.
func evacuatedZones(all []*wire.Evacuation) int64 {
	n := int64(0)
	for _, e := range all {
		if e.GetActive() {
			n++
		}
	}
	return n
}
