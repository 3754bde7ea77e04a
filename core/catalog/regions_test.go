package catalog_test

import (
	"slices"
	"testing"
	"time"

	"tanagerroad"
	"tanagerroad/core/catalog"
)

// TestUnknownRegionsAreRefused guards against a configuration that is refused because no zone
// has a region that it names, and against one whose mistaken names nobody is told of.
func TestUnknownRegionsAreRefused(t *testing.T) {
	c := &tanagerroad.Catalog{
		Routes: []tanagerroad.CatalogRoute{
			{Name: "a", Host: "h", PathPrefix: "/", Timeout: time.Second, Targets: []tanagerroad.Target{{Pool: "p", Weight: 1}}, Regions: []string{"north", "nroth"}},
		},
		Pools:      []tanagerroad.CatalogPool{{Name: "p"}},
		Workspaces: []tanagerroad.CatalogWorkspace{{Name: "w", APIKeys: []string{"k"}, Regions: []string{"south", "east", "nroth", ""}}, {Name: "v", APIKeys: []string{"l"}}},
	}
	if findings := catalog.Check("config", c); len(findings) > 0 {
		t.Errorf("the configuration is refused: %v", findings)
	}
	if got, want := catalog.UnknownRegions(c, map[string]string{"a": "north", "b": "south", "c": ""}), []string{"", "east", "nroth"}; !slices.Equal(got, want) {
		t.Errorf("unknown regions: %q, want %q", got, want)
	}
}
