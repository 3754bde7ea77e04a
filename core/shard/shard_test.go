package shard_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tanagerroad"
	"tanagerroad/core/region"
	"tanagerroad/core/shard"
)

var regions = map[string]string{"a1": "north", "a2": "north", "b1": "south", "b2": "south"}

// pool returns a pool with the given number of backend servers in each zone.
func pool(name string, perZone map[string]int) shard.Pool {
	p := shard.Pool{Name: name, Traits: tanagerroad.PieceTraits{Slots: 1, MaxBatch: 10, CallTime: 100 * time.Millisecond, PieceTime: 10 * time.Millisecond}}
	for zone, n := range perZone {
		for i := range n {
			p.Servers = append(p.Servers, tanagerroad.Announcement{ID: fmt.Sprintf("%s-%s-%d", name, zone, i), Pool: name, Zone: zone})
		}
	}
	return p
}

func everywhere(n int) map[string]int { return map[string]int{"a1": n, "a2": n, "b1": n, "b2": n} }

// TestShardsOfFewServers guards against shards so small that a piece finds all servers
// busy, and against ones that grow with the deployment.
func TestShardsOfFewServers(t *testing.T) {
	for _, c := range []struct{ perZone, shards, most int }{
		{1, 1, 4}, {2, 2, 4}, {3, 2, 6}, {4, 4, 4}, {7, 4, 7}, {8, 4, 8}, {16, 8, 9}, {64, 40, 9},
	} {
		plan := shard.NewPlan(regions, []shard.Pool{pool("p", everywhere(c.perZone))})
		shards := plan.Shards()
		if len(shards) != c.shards {
			t.Errorf("%d servers a zone: %d shards, want %d", c.perZone, len(shards), c.shards)
		}
		total := 0
		for _, s := range shards {
			servers, ok := plan.Servers("p", s.Name)
			if !ok || len(servers) == 0 || len(servers) > c.most {
				t.Errorf("%d servers a zone: shard %q has %d servers, want 1 to %d", c.perZone, s.Name, len(servers), c.most)
			}
			total += len(servers)
		}
		if total != 4*c.perZone {
			t.Errorf("%d servers a zone: %d servers in all shards, want %d", c.perZone, total, 4*c.perZone)
		}
	}
}

// TestStagesWithoutServers guards against a stage that is sent to a shard that has none of
// its servers although other shards have some.
func TestStagesWithoutServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var pools []shard.Pool
		for _, name := range []string{"p", "q"} {
			perZone := map[string]int{}
			for zone := range regions {
				perZone[zone] = rapid.IntRange(0, 20).Draw(t, name+zone)
			}
			pools = append(pools, pool(name, perZone))
		}
		plan := shard.NewPlan(regions, pools)
		view := shard.NewView(plan)
		first := rapid.SampledFrom([]string{"p", "q"}).Draw(t, "first")
		anchor, ok := view.Choose(0, rapid.String().Draw(t, "request"), first, rapid.SampledFrom([]string{"a1", "b2", "unknown", ""}).Draw(t, "preferred"), nil, region.Set{})
		if !ok {
			t.Fatal("no place for a request that no shard has refused")
		}
		for _, p := range pools {
			if servers, _ := plan.Servers(p.Name, plan.Shard(p.Name, anchor, region.Set{})); len(servers) == 0 && len(p.Servers) > 0 {
				t.Fatalf("pool %s of %d servers: shard %q of %+v has none", p.Name, len(p.Servers), plan.Shard(p.Name, anchor, region.Set{}), anchor)
			}
		}
	})
}

// TestBusyShardIsKept guards against requests that wait in their shard while others are
// idle, and against requests that are tried where they are refused too.
func TestBusyShardIsKept(t *testing.T) {
	plan := shard.NewPlan(regions, []shard.Pool{pool("p", everywhere(8))})
	view := shard.NewView(plan)
	choose := func(at time.Duration, refused ...string) (string, bool) {
		anchor, ok := view.Choose(at, "r", "p", "a1", refused, region.Set{})
		return plan.Shard("p", anchor, region.Set{}), ok
	}
	if name, ok := choose(0); name != "a1" || !ok {
		t.Errorf("without waits: chose %q, want the preferred zone", name)
	}
	view.Record(0, "a1", 100*time.Millisecond)
	if name, _ := choose(0); name != "a2" {
		t.Errorf("with a wait of 100 ms: chose %q, want the other zone of the region", name)
	}
	view.Record(0, "a2", 500*time.Millisecond)
	view.Record(0, "a1", 500*time.Millisecond)
	if name, _ := choose(0); name != "b1" && name != "b2" {
		t.Errorf("with waits of 500 ms in the region: chose %q, want another region", name)
	}
	if name, _ := choose(2 * time.Second); name != "a1" {
		t.Errorf("with old waits: chose %q, want the preferred zone", name)
	}
	if name, ok := choose(2*time.Second, "a1"); name != "a2" || !ok {
		t.Errorf("refused by the preferred zone: chose %q, %t", name, ok)
	}
	for _, zone := range plan.Zones() {
		view.Record(3*time.Second, zone, time.Second)
	}
	if name, ok := choose(3*time.Second, "a1"); ok {
		t.Errorf("refused while all others have as long a queue: chose %q, want none", name)
	}
}
