// Package shard divides the backend servers that execute stage pieces into shards,
// and chooses the shard that executes the stages of a request.
//
// It is built for deployments of hundreds of gateways: a single gateway that
// batches the pieces of all requests is limited by its link and its processor. The
// work of one shard depends on the number of its backend servers, which is bounded
// however large the deployment is. A shard still has several servers of each pool,
// since batches from few servers' queues are smaller and wait longer.
package shard

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"tanagerroad"
	"tanagerroad/core/region"
)

// minServers is the mean number of a pool's backend servers in a shard below which
// the pool is not divided further. With fewer, a piece often finds them all busy.
const minServers = 4

// partServers is the least mean number of a pool's backend servers in a shard when a zone
// is divided: more than minServers, so that the loss of some servers changes no plan.
const partServers = 6

// partMargin is how many more servers than the mean a part of a zone may have.
const partMargin = 1.1

// level is how far a pool is divided.
type level int

const (
	whole    level = iota // one shard
	regional              // a shard for each region
	zonal                 // one or more shards for each availability zone
)

// division is how one pool is divided.
type division struct {
	level    level
	capacity map[string]float64                    // pieces a second, by shard
	servers  map[string][]tanagerroad.Announcement // by shard
}

// Plan is a division of all pools that execute pieces. Gateways that know the same
// backend servers have the same plan.
type Plan struct {
	regions map[string]string // by zone
	zones   []string          // sorted
	parts   int               // shards of a zone
	pools   map[string]*division
}

// Pool is a pool that executes pieces.
type Pool struct {
	Name    string
	Traits  tanagerroad.PieceTraits
	Servers []tanagerroad.Announcement
}

// NewPlan divides the pools; regions holds the region of each zone.
func NewPlan(regions map[string]string, pools []Pool) *Plan {
	p := &Plan{regions: regions, parts: math.MaxInt, pools: map[string]*division{}}
	for zone := range regions {
		p.zones = append(p.zones, zone)
	}
	for _, pool := range pools {
		for _, s := range pool.Servers {
			p.zones = append(p.zones, s.Zone)
		}
		p.pools[pool.Name] = &division{level: p.level(pool), capacity: map[string]float64{}, servers: map[string][]tanagerroad.Announcement{}}
	}
	slices.Sort(p.zones)
	p.zones = slices.Compact(p.zones)
	if p.parts == math.MaxInt {
		p.parts = 1
	}
	for _, pool := range pools {
		p.assign(p.pools[pool.Name], pool)
	}
	return p
}

// level returns how far a pool is divided. If into zones, it also lowers the number of
// their parts to what the pool's servers suffice for: all pools have the same parts, so
// that all stages of a request can be executed in one shard.
func (p *Plan) level(pool Pool) level {
	zones, regions := map[string]bool{}, map[string]bool{}
	for _, s := range pool.Servers {
		zones[s.Zone], regions[p.regions[s.Zone]] = true, true
	}
	switch n := len(pool.Servers); {
	case n >= minServers*len(zones) && len(zones) > 1:
		p.parts = min(p.parts, max(1, n/len(zones)/partServers))
		return zonal
	case n >= minServers*len(regions) && len(regions) > 1:
		return regional
	}
	return whole
}

// assign assigns the servers of a pool to shards.
func (p *Plan) assign(d *division, pool Pool) {
	inZone := map[string]int{}
	for _, s := range pool.Servers {
		inZone[s.Zone]++
	}
	perServer := pool.Traits.PiecesPerSecond()
	for _, s := range pool.Servers {
		name := p.name(d, s.Zone, 0)
		if d.level == zonal && p.parts > 1 {
			most := int(math.Ceil(partMargin * float64(inZone[s.Zone]) / float64(p.parts)))
			name = p.name(d, s.Zone, p.part(s, func(part uint32) bool { return len(d.servers[p.name(d, s.Zone, part)]) < most }))
		}
		d.servers[name] = append(d.servers[name], s)
		d.capacity[name] += perServer
	}
}

// part returns the part of its zone that a server belongs to: by rendezvous hashing, so
// that a server that comes or goes moves few others, among the parts that have room.
func (p *Plan) part(s tanagerroad.Announcement, hasRoom func(part uint32) bool) uint32 {
	best, highest := uint32(0), uint64(0)
	for part := range uint32(p.parts) {
		if hash := xxhash.Sum64String(s.ID + "|" + strconv.Itoa(int(part))); hash > highest && hasRoom(part) {
			best, highest = part, hash
		}
	}
	return best
}

// name returns the name of the shard in which a pool has its servers of a zone.
func (p *Plan) name(d *division, zone string, part uint32) string {
	switch d.level {
	case regional:
		return p.regions[zone]
	case zonal:
		if p.parts > 1 {
			return zone + "/" + strconv.Itoa(int(part)%p.parts)
		}
		return zone
	}
	return ""
}

// Anchor is the place of a request in a plan. It selects a shard of each pool; those
// of pools that are divided alike are the same.
type Anchor struct {
	Zone string
	Part uint32 // of the zone; modulo the number of parts
}

// Shard returns the name of the shard that an anchor selects for a pool, or the
// nearest one if that has no servers in the allowed regions. Without any, it returns
// the name of a shard that has none.
func (p *Plan) Shard(pool string, a Anchor, regions region.Set) string {
	d := p.pools[pool]
	if d == nil {
		return ""
	}
	selected := p.name(d, a.Zone, a.Part)
	if p.allows(d.servers[selected], regions) || len(d.servers) == 0 {
		return selected
	}
	others := slices.Clone(p.zones)
	slices.SortStableFunc(others, func(x, y string) int {
		return cmp.Compare(p.Distance(a.Zone, x), p.Distance(a.Zone, y))
	})
	for _, zone := range others {
		for part := range uint32(p.parts) {
			if name := p.name(d, zone, a.Part+part); p.allows(d.servers[name], regions) {
				return name
			}
		}
	}
	return selected
}

// Servers returns the backend servers of a pool in a shard, and whether the pool has
// that shard.
func (p *Plan) Servers(pool, shard string) ([]tanagerroad.Announcement, bool) {
	d := p.pools[pool]
	if d == nil {
		return nil, false
	}
	servers, ok := d.servers[shard]
	return servers, ok
}

// Distance is how far apart two zones are.
type Distance int

// Distances.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// Distance returns how far apart two zones are.
func (p *Plan) Distance(a, b string) Distance {
	switch {
	case a == b:
		return SameZone
	case p.regions[a] == p.regions[b]:
		return SameRegion
	}
	return OtherRegion
}

// Shard is one shard of a plan.
type Shard struct {
	Name            string
	Zones           []string // of its backend servers, sorted
	PiecesPerSecond float64  // with full calls at all its servers
}

// Shards returns all shards, sorted by name.
func (p *Plan) Shards() []Shard {
	byName := map[string]*Shard{}
	for _, d := range p.pools {
		for name, servers := range d.servers {
			s := byName[name]
			if s == nil {
				s = &Shard{Name: name}
				byName[name] = s
			}
			s.PiecesPerSecond += d.capacity[name]
			for _, server := range servers {
				if !slices.Contains(s.Zones, server.Zone) {
					s.Zones = append(s.Zones, server.Zone)
				}
			}
		}
	}
	var out []Shard
	for _, s := range byName {
		slices.Sort(s.Zones)
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b Shard) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Zones returns the zones of the plan, sorted.
func (p *Plan) Zones() []string { return p.zones }

// Parts returns the number of shards of a zone.
func (p *Plan) Parts() int { return p.parts }
