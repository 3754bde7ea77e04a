package batch

import "tanagerroad/core/region"

// SetRegions sets the region of each zone, before the backend servers are set.
func (p *Pool) SetRegions(regions map[string]string) { p.regions = regions }

// HasAllowed reports whether a job that is allowed in the regions may be executed: by one of
// the backend servers, or by any that come if all regions are allowed.
func (p *Pool) HasAllowed(regions region.Set) bool {
	if regions.AllowsAll() {
		return true
	}
	for _, w := range p.workers {
		if regions.Allows(w.region) {
			return true
		}
	}
	return false
}

// Load returns the pieces that a new request has ahead of it at the backend servers in the
// allowed regions: the queued ones, and those that admitted requests will send. reserved is
// the number of the latter, and confined how many of them are allowed only there.
func (p *Pool) Load(regions region.Set, reserved, confined int) float64 {
	return p.load(regions, reserved, confined, func(*Job) bool { return true })
}

// load is Load for the queued pieces of the jobs that isAhead selects. The allowed backend
// servers execute their share of what all may execute, and all that only they may execute.
func (p *Pool) load(regions region.Set, reserved, confined int, isAhead func(*Job) bool) float64 {
	all := reserved
	var last *Job
	lastConfined := false
	for _, q := range p.queue {
		if !isAhead(q.Job) {
			continue
		}
		all++
		if regions.AllowsAll() {
			continue
		}
		if q.Job != last {
			last, lastConfined = q.Job, p.isConfined(q.Job, regions)
		}
		if lastConfined {
			confined++
		}
	}
	if regions.AllowsAll() {
		return float64(all)
	}
	whole := p.Capacity(region.Set{})
	if whole <= 0 {
		return float64(all)
	}
	return max(float64(confined), float64(all)*p.Capacity(regions)/whole)
}

// isConfined reports whether a job may be executed only by backend servers in the regions.
func (p *Pool) isConfined(j *Job, regions region.Set) bool {
	for _, w := range p.workers {
		if j.Regions.Allows(w.region) && !regions.Allows(w.region) {
			return false
		}
	}
	return true
}
