package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"tanagerroad"
	"tanagerroad/core/fleet"
	"tanagerroad/core/region"
)

// TestAllowedRegionsAllocate guards against placements that cost more since requests may name
// allowed regions: the gateway's lock is held meanwhile.
func TestAllowedRegionsAllocate(t *testing.T) {
	f := fleet.New(regions)
	var servers []tanagerroad.Announcement
	for i := range 42 {
		servers = append(servers, tanagerroad.Announcement{ID: fmt.Sprint("e", i), Pool: "m", Address: fmt.Sprint("e:", i), Zone: fmt.Sprint("z", 1+i%3), Slots: 64})
	}
	f.Update(servers)
	for what, set := range map[string]region.Set{"all": {}, "two": region.Intersect([]string{"west", "south"}, nil)} {
		request := fleet.Request{Pool: "m", From: tanagerroad.Place{Zone: "z1", Region: "north"}, Regions: set}
		got := testing.AllocsPerRun(100, func() {
			choice, ok := f.Pick(0, request)
			if !ok {
				t.Fatal("no backend server was picked")
			}
			f.RecordEnd(0, choice.ID, fleet.Outcome{})
		})
		if got > 0 {
			t.Errorf("%s allowed: %v allocations in a pick, want none", what, got)
		}
	}
}

// TestPromisesOfOtherRegions guards against requests that find no turn at an idle cold server,
// since turns are kept for requests that must not be sent there.
func TestPromisesOfOtherRegions(t *testing.T) {
	f := fleet.New(regions)
	f.SetPools([]tanagerroad.CatalogPool{{Name: "p", ColdTime: time.Minute, ColdPerSecond: 10}})
	f.SetGateways("g", []string{"g"})
	f.ExpireCold(0)
	north, south := region.Intersect([]string{"north"}, nil), region.Intersect([]string{"south"}, nil)
	f.Update([]tanagerroad.Announcement{
		{ID: "n", Pool: "p", Address: "n:1", Zone: "z1", StartMillis: 1, Sequence: 1, WarmUp: time.Minute},
		{ID: "s", Pool: "p", Address: "s:1", Zone: zoneOf("south"), StartMillis: 1, Sequence: 1, WarmUp: time.Minute},
	})
	at := 10 * time.Second
	f.UpdateCold(at, at.Milliseconds())
	at += time.Second
	if _, ok := f.Pick(at, fleet.Request{Pool: "p", Regions: north}); !ok {
		t.Fatal("no turn in the north")
	}
	for range 30 {
		f.Promise("p", f.PoolPausedUntil(at, "p", north), north)
	}
	if until := f.PoolPausedUntil(at, "p", south); until > at {
		t.Errorf("a request in the south waits %v for turns in the north", until-at)
	}
	if choice, ok := f.Pick(at, fleet.Request{Pool: "p", Regions: south}); !ok || choice.ID != "s" {
		t.Error("a request in the south finds no turn")
	}
	if wait := f.PoolPausedUntil(at, "p", north) - at; wait < 2*time.Second {
		t.Errorf("a request in the north waits %v behind 30 others at 10 a second", wait)
	}
	at += 200 * time.Millisecond
	if choice, ok := f.Pick(at, fleet.Request{Pool: "p"}); !ok || choice.ID != "s" {
		t.Errorf("a request for all regions got %q (%t), want the server with no promised turns", choice.ID, ok)
	}
}

func zoneOf(name string) string {
	for zone, r := range regions {
		if r == name {
			return zone
		}
	}
	return ""
}
