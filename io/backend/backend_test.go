package backend

import (
	"testing"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"tanagerroad"
	"tanagerroad/core/settings"
	"tanagerroad/core/wire"
	"tanagerroad/io/bus"
	"tanagerroad/io/peer"
)

// FuzzAnnouncement checks that an announcement accepted without findings has a pool
// and a capacity.
func FuzzAnnouncement(f *testing.F) {
	f.Add([]byte(`{"pool": "p", "kind": "service", "capacity": 2, "address": "127.0.0.1:1"}`))
	f.Add([]byte(`{"pool": 1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, findings := ParseAnnouncement(data)
		if len(findings) == 0 && (a.Pool == "" || a.Capacity < 1) {
			t.Errorf("ParseAnnouncement(%q) returned no findings, but pool or capacity is missing", data)
		}
	})
}

// FuzzFrames checks that no message from an entry, however malformed, makes the
// sidecar panic.
func FuzzFrames(f *testing.F) {
	s := settings.DefaultSidecar()
	s.Common = settings.Common{Process: "sidecar", Zone: "a", Region: "west"}
	s.Control = []string{"127.0.0.1:1"}
	conns, closeConns := peer.NewConnPool(peer.NewMeter(), 1<<20)
	f.Cleanup(closeConns)
	events, closeBus := bus.New(zap.NewNop())
	f.Cleanup(func() { _ = closeBus() })
	sidecar, closeSidecar, err := New(Config{
		Settings: s, Clock: tanagerroad.NewSystemClock(), Logger: zap.NewNop(), Conns: conns, Metrics: metrics.NewRegistry(), Bus: events,
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(closeSidecar)
	for _, m := range []proto.Message{
		&wire.RunRequest{Key: &wire.Key{Request: "r", Attempt: 1}, Input: []byte("x"), BudgetMillis: 100},
		&wire.RunRequest{Key: &wire.Key{Request: "r", Attempt: 1}, Once: true, BudgetMillis: -1},
		&wire.RunRequest{},
	} {
		data, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var run wire.RunRequest
		if proto.Unmarshal(data, &run) == nil && checkKey(run.GetKey()) == nil {
			run.InputReference = nil // the sidecar would connect to whatever address it holds
			sidecar.submit(&run, sidecar.config.Clock.Now())
		}
		var ask wire.AskRequest
		if proto.Unmarshal(data, &ask) == nil {
			if reply, err := sidecar.Ask(t.Context(), &ask); err == nil && reply.GetState() == "" {
				t.Error("Ask returned a reply without a state")
			}
		}
		var cancel wire.CancelRequest
		if proto.Unmarshal(data, &cancel) == nil {
			_, _ = sidecar.Cancel(t.Context(), &cancel) // must not panic; errors are fine
		}
	})
}
