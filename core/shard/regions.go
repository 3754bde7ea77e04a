package shard

import (
	"tanagerroad"
	"tanagerroad/core/region"
)

// allows reports whether one of the servers is in an allowed region.
func (p *Plan) allows(servers []tanagerroad.Announcement, regions region.Set) bool {
	if regions.AllowsAll() {
		return len(servers) > 0
	}
	for i := range servers {
		if regions.Allows(p.regions[servers[i].Zone]) {
			return true
		}
	}
	return false
}

// Allows reports whether a pool has a server in an allowed region in a shard.
func (p *Plan) Allows(pool, shard string, regions region.Set) bool {
	d := p.pools[pool]
	return d != nil && p.allows(d.servers[shard], regions)
}

// HasAllowed reports whether a pool has a server in an allowed region.
func (p *Plan) HasAllowed(pool string, regions region.Set) bool {
	d := p.pools[pool]
	if d == nil {
		return false
	}
	for _, servers := range d.servers {
		if p.allows(servers, regions) {
			return true
		}
	}
	return false
}
