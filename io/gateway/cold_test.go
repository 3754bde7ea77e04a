package gateway

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"tanagerroad"
	"tanagerroad/core/fleet"
	"tanagerroad/core/region"
	"tanagerroad/core/shard"
	"tanagerroad/core/wire"
	"tanagerroad/io/peer"
)

// fixed is a dialect that decodes every configuration to the same one.
type fixed struct {
	plain
	catalog *tanagerroad.Catalog
}

func (f fixed) DecodeCatalog([]byte) (*tanagerroad.Catalog, error) { return f.catalog, nil }

// TestRequestsToColdPool guards against requests that are sent to a cold server without a
// turn, and against those that have the time to wait for one and are rejected, or do not have
// it and wait.
func TestRequestsToColdPool(t *testing.T) {
	servers, runs := newScripted(t, 1, good)
	g, address := newTestGateway(t, servers...)
	next := *g.catalog.Load().Catalog
	next.Version, next.Routes, next.Pools = 2, slices.Clone(next.Routes), slices.Clone(next.Pools)
	next.Pools[0].ColdTime, next.Pools[0].ColdPerSecond = 10*time.Second, 10
	for i := range next.Routes {
		next.Routes[i].Timeout = 8 * time.Second
		if next.Routes[i].Name == "look" {
			next.Routes[i].LatencyObjective = 7 * time.Second
		}
	}
	g.config.Dialect = fixed{catalog: &next}
	announcement := firstServer(g, "p")
	announcement.Sequence, announcement.WarmUp = 2, 10*time.Second
	announced := peer.AnnouncementToWire(announcement)
	announced.Heard = true
	g.applyCatalog("127.0.0.1:1", newDocument(t, 2, "2"))
	g.applyUpdate("127.0.0.1:1", &wire.Update{Announced: []*wire.Announcement{announced}})
	// A gateway that has just started sends one request in 1.7 s at this rate.
	for _, c := range []struct {
		what, path, left string
		want             int
		waits            bool
	}{
		{"the first", "/look/", "7500", http.StatusOK, false},
		{"its latency objective does not permit it to wait", "/book/", "7500", http.StatusServiceUnavailable, false},
		{"its deadline does not permit it to wait", "/look/", "1000", http.StatusServiceUnavailable, false},
		{"it can wait", "/look/", "7500", http.StatusOK, true},
	} {
		started, before := time.Now(), runs.Load()
		code, _, err := call(t, address, c.path, c.what, headerLeft, c.left)
		took := time.Since(started)
		if code != c.want || took > time.Second != c.waits || (runs.Load() > before) != (c.want == http.StatusOK) {
			t.Errorf("%s: got %d (%v) after %v and %d runs, want %d, waiting: %t", c.what, code, err, took, runs.Load()-before, c.want, c.waits)
		}
	}
	if !g.isLimited(announcement.Address) {
		t.Error("a cold server is asked to free results")
	}
	if n := metrics.GetOrRegisterCounter("servers.cold", g.config.Metrics).Count(); n != 1 {
		t.Errorf("%d servers are counted as cold, want 1", n)
	}
	g.housekeep()
	g.mu.Lock()
	defer g.mu.Unlock()
	frozen := g.now() + time.Minute
	g.fleet.Pick(frozen, fleet.Request{Pool: "p"})
	if _, ok := g.fleet.Pick(frozen, fleet.Request{Pool: "p"}); ok {
		t.Error("a gateway that was frozen takes its servers for warm")
	}
}

// TestCallsToColdServer guards against calls with pieces that a cold server gets as fast as it
// answers.
func TestCallsToColdServer(t *testing.T) {
	servers := newBackend(t, "prep1", good)
	g, _ := newTestGateway(t, servers)
	announcement := firstServer(g, "prep")
	announcement.Sequence, announcement.WarmUp = 2, 4*time.Second
	announced := peer.AnnouncementToWire(announcement)
	announced.Heard = true
	g.mu.Lock()
	g.fleet.SetPools([]tanagerroad.CatalogPool{{Name: "prep", ColdTime: 4 * time.Second, ColdPerSecond: 2}})
	g.mu.Unlock()
	b := g.batcher(g.owners.plan().Shard("prep", shard.Anchor{}, region.Set{}))
	b.preparePools(g.now(), []string{"prep"})
	before := b.pools["prep"].Capacity(region.Set{})
	g.applyUpdate("127.0.0.1:1", &wire.Update{Announced: []*wire.Announcement{announced}})
	if after := b.pools["prep"].Capacity(region.Set{}); before < 100 || after > 8 {
		t.Errorf("capacity of %g pieces a second before and %g after, want 8 with 2 calls of 4", before, after)
	}
}
