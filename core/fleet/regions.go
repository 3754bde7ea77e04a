package fleet

import "tanagerroad/core/region"

// allowed reports whether the region of a zone is allowed.
func (f *Fleet) allowed(regions region.Set, zone string) bool {
	return regions.AllowsAll() || regions.Allows(f.regions[zone])
}

// HasAllowed reports whether a pool has a usable backend server in an allowed region.
func (f *Fleet) HasAllowed(pool string, regions region.Set) bool {
	for _, s := range f.pools[pool] {
		if f.allowed(regions, s.Zone) {
			return true
		}
	}
	return false
}
