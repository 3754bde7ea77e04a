package registry_test

import (
	"fmt"
	"strings"
	"testing"

	"tanagerroad/core/registry"
	"tanagerroad/core/wire"
)

// TestDepartureIsForgotten guards against a departure that a snapshot forgets or that is
// recorded for each announcement of a server that leaves, and against departures without a
// bound in time or number. The registry is restored from a snapshot after each step.
func TestDepartureIsForgotten(t *testing.T) {
	config := registry.DefaultConfig()
	config.MaxDepartures = 2
	r := registry.New(config)
	for i, s := range []struct {
		what     string
		atMillis int64
		id       string
		born     int64
		state    string
		outcome  string
		want     string // servers and starts that are kept
		count    uint64
	}{
		{"a server leaves", 1000, "a", 1, "leaving", registry.Accepted, "a/1", 1},
		{"says so again", 2000, "a", 1, "leaving", registry.Accepted, "a/1", 1},
		{"has shut down", 5000, "a", 1, "down", registry.Accepted, "a/1", 1},
		{"its next start has too", 9000, "a", 2, "down", registry.Accepted, "a/1 a/2", 2},
		{"a server that serves", 9000, "b", 1, "serving", registry.Invalid, "a/1 a/2", 2},
		{"a server without a name", 9000, "", 1, "down", registry.Invalid, "a/1 a/2", 2},
		{"one more than may be kept", 10000, "b", 1, "down", registry.Accepted, "a/2 b/1", 3},
		{"a minute after the second", 69000, "c", 1, "down", registry.Accepted, "b/1 c/1", 4},
	} {
		outcome := r.Apply(uint64(i+1), &wire.Command{AtMillis: s.atMillis, Body: &wire.Command_RecordDeparture{RecordDeparture: &wire.RecordDeparture{
			Announcement: &wire.Announcement{Id: s.id, BornMillis: s.born, State: s.state},
		}}})
		snapshot, err := r.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		r = registry.New(config)
		if err := r.Restore(snapshot); err != nil {
			t.Fatal(err)
		}
		list, count := r.Departures()
		var kept []string
		for _, d := range list {
			kept = append(kept, fmt.Sprintf("%s/%d", d.GetAnnouncement().GetId(), d.GetAnnouncement().GetBornMillis()))
		}
		if got := strings.Join(kept, " "); outcome.GetKind() != s.outcome || got != s.want || count != s.count {
			t.Errorf("%s: %s, kept %q of %d, want %s, %q of %d", s.what, outcome.GetKind(), got, count, s.outcome, s.want, s.count)
		}
	}
}
