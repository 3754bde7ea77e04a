package gateway

import (
	"io"
	"net/http"
	"testing"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"tanagerroad"
	"tanagerroad/core/balance"
	"tanagerroad/core/event"
	"tanagerroad/core/fleet"
	"tanagerroad/core/settings"
	"tanagerroad/io/peer"
)

// loaded is a dialect whose answers report a load on a machine where work takes ten times
// as long as usual.
type loaded struct{ plain }

func (d loaded) DecodeResponseHeaders(status int, h http.Header) tanagerroad.ResponseHeaders {
	reply := d.plain.DecodeResponseHeaders(status, h)
	reply.Running, reply.Waiting, reply.Slots, reply.WorkPercent = 11, 0, 64, 1000
	return reply
}

// TestEvenPlacingIsLogged guards against placements whose figures don't show in the log and
// the metrics, and against a log of lowest-cost that has changed.
func TestEvenPlacingIsLogged(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	b := newBackend(t, "s1", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "good") })
	g, address := newLoggedGateway(t, zap.New(core), b)
	g.config.Dialect = loaded{}
	fields := func() map[string]any {
		lines := logs.FilterField(zap.Int("event", event.Routed.Number)).All()
		return lines[len(lines)-1].ContextMap()
	}
	_, _, _ = call(t, address, "/book/", "a")
	if _, ok := fields()["mean-load"]; ok || len(g.meters.registry.GetAll()["servers.load-percent"]) > 0 {
		t.Errorf("figures of another policy with lowest-cost: %v", fields())
	}
	g.mu.Lock()
	g.fleet.SetBalance(balance.Even)
	g.mu.Unlock()
	// Ten of others and none of this gateway; the fourth figure makes them more, for 0.2 s,
	// which a busy machine may miss.
	seen := false
	for i := 0; i < 50 && !seen; i++ {
		_, _, _ = call(t, address, "/book/", "b")
		load, ok := fields()["load"].(float64)
		seen = ok && load > 10.5
	}
	if !seen || fields()["mean-load"] == nil || fields()["rank"] == nil {
		t.Errorf("the routing line has no figures of the choice, or the fourth one was not passed on: %v", fields())
	}
	if len(g.meters.registry.GetAll()["servers.load-percent"]) == 0 || len(g.meters.registry.GetAll()["placing.load-percent"]) == 0 {
		t.Errorf("no metrics of the load: %v", g.meters.registry.GetAll())
	}
}

// TestBalanceSettingApplies guards against a setting placing.balance that changes nothing.
func TestBalanceSettingApplies(t *testing.T) {
	for _, policy := range balance.Policies {
		s := settings.DefaultGateway()
		s.Common = settings.Common{Process: "g", Zone: "z", Region: "r"}
		s.Placing.Balance, s.Control = policy, []string{"127.0.0.1:1"}
		conns, closeConns := peer.NewConnPool(peer.NewMeter(), 1<<20)
		g, closeGateway := New(Config{Settings: s, Dialect: plain{}, Clock: tanagerroad.NewSystemClock(), Logger: zap.NewNop(), Conns: conns, Metrics: metrics.NewRegistry()})
		g.mu.Lock()
		g.fleet.Update([]tanagerroad.Announcement{{ID: "s1", Pool: "p", Address: "127.0.0.1:1", Zone: "z", Slots: 4}})
		choice, ok := g.fleet.Pick(g.now(), fleet.Request{Pool: "p"})
		g.mu.Unlock()
		if !ok || (choice.Even != nil) != (policy == balance.Even) {
			t.Errorf("%s: chosen with figures %v", policy, choice.Even)
		}
		closeGateway()
		closeConns()
	}
}
