package gateway

import (
	"slices"
	"strings"

	"go.uber.org/zap"

	"tanagerroad/core/event"
	"tanagerroad/core/region"
)

// reasonNotAllowed is the reason of a refusal for want of allowed backend servers.
const reasonNotAllowed = "no backend server in an allowed region can be used"

// checkRegions reports whether each pool that the request needs has an allowed backend
// server. If not it sets the reason. It is asked before the stages, whose work would be
// wasted.
func (x *exchange) checkRegions() bool {
	if x.regions.AllowsAll() {
		return true
	}
	x.g.mu.Lock()
	ok := x.g.fleet.HasAllowed(x.pool, x.regions)
	x.g.mu.Unlock()
	for i, stage := range x.route.Stages {
		ok = ok && (!x.hasPieces(i) || x.g.owners.plan().HasAllowed(stage.Pool, x.regions))
	}
	if !ok {
		x.reason = reasonNotAllowed
		x.g.meters.count("requests.not-allowed")
	}
	return ok
}

// hasPieces reports whether the request has pieces in a stage.
func (x *exchange) hasPieces(stage int) bool {
	return stage < len(x.headers.PieceCounts) && x.headers.PieceCounts[stage] > 0
}

// regionsField returns the log field with the regions that the request may be served in, if
// not all are allowed.
func (x *exchange) regionsField() zap.Field {
	if x.regions.AllowsAll() {
		return zap.Skip()
	}
	names, _ := x.regions.Encode()
	return zap.Strings("allowed-regions", names)
}

// allowsZone reports whether the region of a zone is allowed.
func (s *stageRun) allowsZone(zone string) bool {
	return s.x.regions.AllowsAll() || s.x.regions.Allows(s.x.g.regions[zone])
}

// logUnknownRegions records the regions that a configuration names and no zone has.
func (g *Gateway) logUnknownRegions(version uint64, names []string) {
	if len(names) > 0 {
		event.RegionsUnknown.Log(g.config.Logger, zap.Uint64("version", version), zap.Strings("regions", names))
	}
}

// confined returns the name under which admission control counts the reservations for a pool
// that are allowed in these regions only, beside all for the pool; empty: all are allowed.
func confined(pool string, regions region.Set) string {
	if regions.AllowsAll() {
		return ""
	}
	names, _ := regions.Encode()
	return pool + "\x00" + strings.Join(slices.Sorted(slices.Values(names)), "\x00")
}
