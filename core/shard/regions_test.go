package shard_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tanagerroad"
	"tanagerroad/core/region"
	"tanagerroad/core/shard"
)

var three = map[string]string{"a1": "north", "a2": "north", "b1": "south", "b2": "south", "c1": "west"}

// TestShardsOfAllowedRegions guards against stages that are sent to a shard without servers
// in an allowed region, also when those are busy, and against requests that wait although
// there is none.
func TestShardsOfAllowedRegions(t *testing.T) {
	data, err := os.ReadFile("testdata/regions.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []struct {
		What       string         `json:"what"`
		Servers    map[string]int `json:"servers"` // of the first stage's pool, by zone
		Later      map[string]int `json:"later"`   // of a later stage's
		Preferred  string         `json:"preferred"`
		Allowed    []string       `json:"allowed"`
		Refused    []string       `json:"refused"`
		WaitsMs    map[string]int `json:"waits-ms"`
		Shards     []string       `json:"shards"` // of the first stage, each for some requests
		LaterShard string         `json:"later-shard"`
		None       bool           `json:"none"`
	}
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		plan := shard.NewPlan(three, []shard.Pool{pool("p", c.Servers), pool("q", c.Later)})
		view := shard.NewView(plan)
		for name, wait := range c.WaitsMs {
			view.Record(0, name, time.Duration(wait)*time.Millisecond)
		}
		allowed, chosen := region.Intersect(c.Allowed, nil), map[string]bool{}
		for i := range 20 {
			anchor, ok := view.Choose(0, fmt.Sprint(i), "p", c.Preferred, c.Refused, allowed)
			if ok == c.None {
				t.Errorf("%s: request %d: a shard was chosen: %t", c.What, i, ok)
			}
			if c.None {
				continue
			}
			chosen[plan.Shard("p", anchor, allowed)] = true
			if got := plan.Shard("q", anchor, allowed); len(c.Later) > 0 && got != c.LaterShard {
				t.Errorf("%s: request %d: shard %q of the later stage, want %q", c.What, i, got, c.LaterShard)
			}
		}
		if got := slices.Sorted(maps.Keys(chosen)); !slices.Equal(got, c.Shards) {
			t.Errorf("%s: shards %q, want %q", c.What, got, c.Shards)
		}
	}
}

// TestAllowedServersAreFound guards against a shard without an allowed server that is chosen
// although another one has some, for any division of the pools.
func TestAllowedServersAreFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var pools []shard.Pool
		for _, name := range []string{"p", "q"} {
			perZone := map[string]int{}
			for zone := range regions {
				perZone[zone] = rapid.IntRange(0, 14).Draw(t, name+zone)
			}
			pools = append(pools, pool(name, perZone))
		}
		plan := shard.NewPlan(regions, pools)
		allowed := region.Intersect(rapid.SampledFrom([][]string{{"north"}, {"south"}, {"nowhere"}, {"north", "south"}}).Draw(t, "allowed"), nil)
		anchor, ok := shard.NewView(plan).Choose(0, rapid.String().Draw(t, "request"), "p", rapid.SampledFrom([]string{"a1", "b2", ""}).Draw(t, "preferred"), nil, allowed)
		isAllowed := func(s tanagerroad.Announcement) bool { return allowed.Allows(regions[s.Zone]) }
		if exists := slices.ContainsFunc(pools[0].Servers, isAllowed); ok != exists || plan.HasAllowed("p", allowed) != exists {
			t.Fatalf("a shard was found: %t, an allowed server exists: %t", ok, exists)
		}
		anywhere := shard.Anchor{Zone: rapid.SampledFrom([]string{"a1", "b2", ""}).Draw(t, "zone"), Part: rapid.Uint32().Draw(t, "part")}
		if servers, _ := plan.Servers("p", plan.Shard("p", anywhere, allowed)); ok && !slices.ContainsFunc(servers, isAllowed) {
			t.Fatalf("shard %q of %+v has no allowed server, another one has", plan.Shard("p", anywhere, allowed), anywhere)
		}
		for _, p := range pools {
			name := plan.Shard(p.Name, anchor, allowed)
			servers, _ := plan.Servers(p.Name, name)
			if ok && slices.ContainsFunc(p.Servers, isAllowed) && !slices.ContainsFunc(servers, isAllowed) {
				t.Fatalf("pool %s: shard %q of %+v has no allowed server, another one has", p.Name, name, anchor)
			}
		}
	})
}
