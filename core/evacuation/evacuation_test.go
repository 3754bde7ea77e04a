package evacuation_test

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"tanagerroad/core/evacuation"
	"tanagerroad/core/wire"
)

// TestEvacuationIsForgotten runs the updates in testdata/view.json. It guards against an
// evacuation that ends for a gateway although the operator has not finished it.
func TestEvacuationIsForgotten(t *testing.T) {
	var scripts []struct {
		What    string
		Updates []struct {
			AtMs    int64 `json:"at-ms"`
			UnixMs  int64 `json:"unix-ms"`
			Changes uint64
			Zones   []string // name, + if it is evacuated, Unix time of the change
			Applied bool
			Known   bool
			Active  []string
			Ended   map[string]int64 // time by zone
		}
	}
	data, err := os.ReadFile("testdata/view.json")
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(data, &scripts); err != nil {
		t.Fatal(err)
	}
	for _, script := range scripts {
		var v evacuation.View
		for i, u := range script.Updates {
			var list []*wire.Evacuation
			for _, text := range u.Zones {
				e := &wire.Evacuation{Zone: text[:1], Active: text[1] == '+'}
				if _, err := fmt.Sscan(text[2:], &e.AtMillis); err != nil {
					t.Fatal(err)
				}
				list = append(list, e)
			}
			applied := v.Apply(time.Duration(u.AtMs)*time.Millisecond, u.UnixMs, u.Changes, list)
			if applied != u.Applied || v.Known() != u.Known || v.Zones() != len(u.Active) {
				t.Errorf("%s: update %d: applied %t, known %t, %d evacuated", script.What, i, applied, v.Known(), v.Zones())
			}
			for _, zone := range []string{"a", "b"} {
				endMs, ended := u.Ended[zone]
				at, ok := v.EndedAt(zone)
				if v.Active(zone) != slices.Contains(u.Active, zone) || ok != ended || ok && at != time.Duration(endMs)*time.Millisecond {
					t.Errorf("%s: update %d: zone %s: evacuated %t, ended %t at %s, want the end at %d ms", script.What, i, zone, v.Active(zone), ok, at, endMs)
				}
			}
		}
	}
}
