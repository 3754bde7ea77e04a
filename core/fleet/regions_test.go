package fleet_test

import (
	"fmt"
	"testing"

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
