package gateway

import (
	"time"

	"go.uber.org/zap"

	"tanagerroad"
	"tanagerroad/core/batch"
	"tanagerroad/core/evacuation"
	"tanagerroad/core/event"
	"tanagerroad/core/wire"
)

// recentEnd is the time since the end of an evacuation for which the zone's backend servers
// may be cold although they have not said so.
const recentEnd = 10 * time.Second

// evacuations is what a gateway knows of the evacuations, and whom it leaves out because of
// them. Gateway.mu guards it.
type evacuations struct {
	view       evacuation.View
	hold       time.Duration                       // setting evacuation-hold
	updated    bool                                // an update has come
	updatedAt  time.Duration                       // when the first came
	heldBack   bool                                // no backend server is used, since the evacuations are not known
	excluded   map[string]tanagerroad.Announcement // backend servers of evacuated zones, by address
	reduced    map[string]bool                     // pools that have usable backend servers in evacuated zones
	emptyPools map[string]bool                     // pools whose usable backend servers are all in evacuated zones
}

// settled reports whether backend servers may be used: the evacuations are known, or are
// not expected any more. Control instances that have just restarted tell them when a leader
// is elected, those of a previous version never.
func (e *evacuations) settled(at time.Duration) bool {
	return e.view.Known() || !e.updated || at-e.updatedAt >= e.hold
}

// settles reports whether backend servers that are held back may be used now.
func (e *evacuations) settles(at time.Duration) bool { return e.heldBack && e.settled(at) }

// applyEvacuations applies the evacuations of an update. It reports whether the usable
// backend servers may have changed. g.mu must be held.
func (g *Gateway) applyEvacuations(now time.Duration, update *wire.Update) bool {
	e := &g.evacuations
	if !e.updated {
		e.updated, e.updatedAt = true, now
	}
	known := map[string]time.Duration{} // ends of evacuations that are known already, by zone; 0: none
	for _, z := range update.GetEvacuations() {
		known[z.GetZone()] = 0
		if at, ended := e.view.EndedAt(z.GetZone()); ended {
			known[z.GetZone()] = at
		}
	}
	if !e.view.Apply(now, g.config.Clock.Wall().UnixMilli(), update.GetEvacuationChanges(), update.GetEvacuations()) {
		return false
	}
	var zones []string
	for _, z := range update.GetEvacuations() {
		if z.GetActive() {
			zones = append(zones, z.GetZone())
		}
	}
	for zone, before := range known {
		if at, ended := e.view.EndedAt(zone); ended && at != before && now-at < recentEnd {
			g.fleet.MarkCold(now, zone)
		}
	}
	g.withoutEvacuated(now, g.roster.Usable())
	event.EvacuationsChanged.Log(g.config.Logger, zap.Strings("zones", zones), zap.Int("servers", len(e.excluded)),
		zap.Int("pools-without-server", len(e.emptyPools)), zap.Uint64("changes", update.GetEvacuationChanges()))
	return true
}

// withoutEvacuated returns the backend servers that are not in evacuated zones, and records
// the others. g.mu must be held.
func (g *Gateway) withoutEvacuated(now time.Duration, usable []tanagerroad.Announcement) []tanagerroad.Announcement {
	e := &g.evacuations
	e.excluded, e.reduced, e.emptyPools = map[string]tanagerroad.Announcement{}, map[string]bool{}, map[string]bool{}
	if e.heldBack = !e.settled(now); e.heldBack {
		return nil
	}
	var out []tanagerroad.Announcement
	for _, a := range usable {
		if e.view.Active(a.Zone) {
			e.excluded[a.Address] = a
			e.reduced[a.Pool], e.emptyPools[a.Pool] = true, true
		} else {
			out = append(out, a)
		}
	}
	for _, a := range out {
		delete(e.emptyPools, a.Pool)
	}
	return out
}

// Evacuated returns how many zones are evacuated, and how many backend servers get nothing
// because of that.
func (g *Gateway) Evacuated() (zones, servers int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.evacuations.view.Zones(), len(g.evacuations.excluded)
}

// isEvacuated reports whether the backend server at an address is in an evacuated zone, or
// may be. It need not be usable: one that leaves still stores results.
func (g *Gateway) isEvacuated(address string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := &g.evacuations
	return e.heldBack || e.view.Zones() > 0 && g.roster.HasAddress(address, e.view.Active)
}

// isPoolEvacuated reports whether all usable backend servers of a pool are in evacuated
// zones.
func (g *Gateway) isPoolEvacuated(pool string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.evacuations.emptyPools[pool]
}

// reasonEvacuated is the reason of a refusal because all backend servers of a pool are in
// evacuated zones.
const reasonEvacuated = "the availability zones of its backend servers are evacuated"

// isPoolEvacuated sets the reason if the request can't be served because a pool that it
// needs is evacuated. Without the check its stages would be executed in vain.
func (x *exchange) isPoolEvacuated() bool {
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	empty := x.g.evacuations.emptyPools
	if len(empty) == 0 {
		return false
	}
	pools := []string{x.pool}
	for i, stage := range x.route.Stages {
		if x.hasPieces(i) {
			pools = append(pools, stage.Pool)
		}
	}
	for _, pool := range pools {
		if empty[pool] {
			x.reason = pool + ": " + reasonEvacuated
			x.g.meters.count("requests.evacuated")
			return true
		}
	}
	return false
}

// refuseEvacuated refuses the queued jobs of a pool whose backend servers are all in
// evacuated zones. g.mu and b.mu must be held.
func (b *pieceBatcher) refuseEvacuated(pool string) {
	if !b.g.evacuations.emptyPools[pool] {
		return
	}
	for id, queued := range b.jobs {
		if queued.pool == pool {
			b.remove(id)
			queued.deliver(newEvacuatedResult(queued.number))
		}
	}
}

// reasonShardEvacuated is the reason of a refusal by an owner that has no backend servers in a
// shard because of evacuations. The pool may have some in other shards.
const reasonShardEvacuated = "the backend servers of its shard are evacuated"

// refuseQueued refuses the jobs that have queued pieces, if the pool has no backend server in
// this shard because of evacuations: they would wait for their deadlines. b.mu must be held.
func (b *pieceBatcher) refuseQueued(pool string, p *batch.Pool) {
	if !b.evacuated[pool] {
		return
	}
	for _, job := range p.QueuedJobs() {
		if queued := b.jobs[job.ID]; queued != nil {
			b.remove(job.ID)
			queued.deliver(&wire.PieceResult{Number: queued.number, Refused: reasonShardEvacuated, RetryMillis: refusalRetryDelay.Milliseconds()})
		}
	}
}

func newEvacuatedResult(job uint64) *wire.PieceResult {
	return &wire.PieceResult{Number: job, Refused: reasonEvacuated, RetryMillis: refusalRetryDelay.Milliseconds()}
}

// evacuatedError is the error of a request that was not sent since the zone of its backend
// server is evacuated.
type evacuatedError struct{}

func (evacuatedError) Error() string {
	return "the availability zone of the backend server is evacuated"
}

// Is reports that it is a kind of errServerUnavailable.
func (evacuatedError) Is(target error) bool { return target == errServerUnavailable }
