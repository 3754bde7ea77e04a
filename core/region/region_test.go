package region_test

import (
	"encoding/json"
	"os"
	"testing"

	"tanagerroad/core/region"
)

// TestSets guards against a region that is allowed although the route, the workspace or
// both forbid it, and against a set that changes on its way to another gateway.
func TestSets(t *testing.T) {
	data, err := os.ReadFile("testdata/sets.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []struct {
		What      string   `json:"what"`
		Route     []string `json:"route"`
		Workspace []string `json:"workspace"`
		Allowed   []string `json:"allowed"`
		Refused   []string `json:"refused"`
		All       bool     `json:"all"`
	}
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		own := region.Intersect(c.Route, c.Workspace)
		for where, set := range map[string]region.Set{"here": own, "decoded": region.Decode(own.Encode())} {
			if set.AllowsAll() != c.All {
				t.Errorf("%s, %s: allows all: %t, want %t", c.What, where, set.AllowsAll(), c.All)
			}
			for _, name := range c.Allowed {
				if !set.Allows(name) {
					t.Errorf("%s, %s: %q is refused", c.What, where, name)
				}
			}
			for _, name := range c.Refused {
				if set.Allows(name) {
					t.Errorf("%s, %s: %q is allowed", c.What, where, name)
				}
			}
		}
	}
}
