package registry_test

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"

	"tanagerroad/core/registry"
	"tanagerroad/core/wire"
)

// TestOrderIsLostOrReverted runs the orders in testdata/evacuations.json, each at a registry
// that was restored from a snapshot. It guards against an order that a snapshot forgets or
// that a late copy of an earlier one undoes.
func TestOrderIsLostOrReverted(t *testing.T) {
	var scripts []struct {
		What   string
		Orders []struct {
			AtMs             int64 `json:"at-ms"`
			Zone             string
			Active           bool
			From             uint64
			Outcome          string
			Version, Changes uint64
			State            string // of each zone: name, + if it is evacuated, version and time
		}
	}
	data, err := os.ReadFile("testdata/evacuations.json")
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(data, &scripts); err != nil {
		t.Fatal(err)
	}
	config := registry.DefaultConfig()
	config.MaxZones = 2
	for _, script := range scripts {
		r := registry.New(config)
		for i, o := range script.Orders {
			outcome := r.Apply(uint64(i+1), &wire.Command{AtMillis: o.AtMs, Body: &wire.Command_SetEvacuation{SetEvacuation: &wire.SetEvacuation{
				Zone: o.Zone, Active: o.Active, FromVersion: o.From,
			}}})
			snapshot, err := r.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			r = registry.New(config)
			if err := r.Restore(snapshot); err != nil {
				t.Fatal(err)
			}
			zones, changes := r.Evacuations()
			var state []string
			for _, z := range zones {
				sign := map[bool]string{true: "+", false: "-"}[z.GetActive()]
				state = append(state, fmt.Sprintf("%s%s%d@%d", z.GetZone(), sign, z.GetVersion(), z.GetAtMillis()))
			}
			if got := strings.Join(state, " "); outcome.GetKind() != o.Outcome || outcome.GetRevision() != o.Version || got != o.State || changes != o.Changes {
				t.Errorf("%s: order %d: %s, version %d, state %q, %d changes, want %s, %d, %q, %d", script.What, i,
					outcome.GetKind(), outcome.GetRevision(), got, changes, o.Outcome, o.Version, o.State, o.Changes)
			}
		}
	}
}
