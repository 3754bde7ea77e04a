package catalog

import (
	"maps"
	"slices"

	"tanagerroad"
)

// UnknownRegions returns the regions that routes and workspaces name and no zone has, sorted;
// regions holds the region of each zone.
func UnknownRegions(c *tanagerroad.Catalog, regions map[string]string) []string {
	unknown := map[string]bool{}
	add := func(names []string) {
		for _, name := range names {
			unknown[name] = true
		}
	}
	for _, r := range c.Routes {
		add(r.Regions)
	}
	for _, w := range c.Workspaces {
		add(w.Regions)
	}
	for _, region := range regions {
		if region != "" {
			delete(unknown, region)
		}
	}
	return slices.Sorted(maps.Keys(unknown))
}
