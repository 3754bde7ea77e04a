package shard

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerroad/core/region"
)

const (
	// sameRegionCost and otherRegionCost are what it costs to execute the stages in
	// another zone than the one preferred: the round trips of each stage, and the
	// price of the results that are read across.
	sameRegionCost  = 60 * time.Millisecond
	otherRegionCost = 160 * time.Millisecond
	// waitMaxAge is the age from which a shard's reported wait no longer counts.
	waitMaxAge = time.Second
	// refusalMaxAge is how long a shard that refused a request is not tried again by
	// others that would wait as long.
	refusalMaxAge = 300 * time.Millisecond
)

// View is what one gateway knows of the waits in shards, from their owners' messages.
// It answers load that moves between zones: requests go elsewhere when their shard's
// queue is longer than the way.
type View struct {
	plan  *Plan
	waits map[string]report
}

// report is what an owner said of its shard.
type report struct {
	wait time.Duration
	at   time.Duration
}

// NewView returns a view that knows no waits.
func NewView(plan *Plan) *View { return &View{plan: plan, waits: map[string]report{}} }

// SetPlan replaces the plan.
func (v *View) SetPlan(plan *Plan) {
	v.plan = plan
	for name := range v.waits {
		if !plan.has(name) {
			delete(v.waits, name)
		}
	}
}

// has reports whether the plan has a shard.
func (p *Plan) has(shard string) bool {
	for _, d := range p.pools {
		if len(d.servers[shard]) > 0 {
			return true
		}
	}
	return false
}

// Plan returns the current plan.
func (v *View) Plan() *Plan { return v.plan }

// Record records the wait that the owner of a shard predicts for a new request.
func (v *View) Record(at time.Duration, shard string, wait time.Duration) {
	v.waits[shard] = report{wait, at}
}

// wait returns the known wait in a shard, which counts less the older it is.
func (v *View) wait(at time.Duration, shard string) time.Duration {
	r, ok := v.waits[shard]
	if age := at - r.at; ok && age < waitMaxAge {
		return time.Duration(float64(r.wait) * (1 - float64(age)/float64(waitMaxAge)))
	}
	return 0
}

// Choose returns the anchor for a request whose first stage runs in the given pool.
// preferred is the zone where its results are read. The shards that have refused it
// are left out, and those without servers in the allowed regions; false means that none is
// left that is likely to admit it.
func (v *View) Choose(at time.Duration, request, pool, preferred string, refused []string, regions region.Set) (Anchor, bool) {
	salt := xxhash.Sum64String(request)
	parts := uint32(v.plan.Parts())
	best, lowest, found := Anchor{Zone: preferred, Part: uint32(salt)}, time.Duration(0), false
	for i := range v.plan.zones {
		zone := v.plan.zones[(uint64(i)+salt)%uint64(len(v.plan.zones))]
		if !regions.AllowsAll() && !regions.Allows(v.plan.regions[zone]) {
			continue
		}
		for part := range min(parts, 2) { // the better of two, as the reports lag
			a := Anchor{Zone: zone, Part: uint32(salt>>16) + part*(1+uint32(salt>>32)%max(1, parts-1))}
			name := v.plan.Shard(pool, a, regions)
			if !regions.AllowsAll() && !v.plan.Allows(pool, name, regions) {
				continue
			}
			if slices.Contains(refused, name) || len(refused) > 0 && v.refusesToo(at, name, refused) {
				continue
			}
			if cost := v.cost(at, name, preferred, zone); !found || cost < lowest {
				best, lowest, found = a, cost, true
			}
		}
	}
	return best, found || len(refused) == 0 && regions.AllowsAll()
}

func (v *View) cost(at time.Duration, shard, preferred, zone string) time.Duration {
	cost := v.wait(at, shard)
	switch v.plan.Distance(preferred, zone) {
	case SameRegion:
		cost += sameRegionCost
	case OtherRegion:
		cost += otherRegionCost
	}
	return cost
}

// refusesToo reports whether a shard said lately that a request waits there at least
// as long as in each of those that have refused it.
func (v *View) refusesToo(at time.Duration, shard string, refused []string) bool {
	r, ok := v.waits[shard]
	if !ok || at-r.at >= refusalMaxAge {
		return false
	}
	return !slices.ContainsFunc(refused, func(other string) bool { return v.waits[other].wait > r.wait })
}
