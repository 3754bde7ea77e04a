package gateway

import (
	"time"

	"go.uber.org/zap"

	"tanagerroad/core/attempt"
	"tanagerroad/core/batch"
	"tanagerroad/core/event"
)

// minTurnWait is the least time that a request waits for a turn. The turn may be at a server
// that the request cannot use, such as one of another software version.
const minTurnWait = 20 * time.Millisecond

// updateCold gives the fleet the time at which announcements arrived, and records which
// backend servers became cold. g.mu must be held.
func (g *Gateway) updateCold(now time.Duration) {
	for _, s := range g.fleet.UpdateCold(now, g.config.Clock.Wall().UnixMilli()) {
		g.meters.count("servers.cold")
		event.ServerCold.Log(g.config.Logger, zap.String("server", s.ID), zap.String("pool", s.Pool), zap.Int64("start", s.StartMillis),
			zap.Uint64("sequence", s.Sequence), zap.Duration("announced", s.WarmUp), zap.Duration("until-end", s.Until-now))
	}
}

// setColdRates limits the calls to the cold backend servers of a pool of pieces. g.mu must be
// held.
func (g *Gateway) setColdRates(at time.Duration, name string, p *batch.Pool) {
	for _, r := range g.fleet.ColdRates(at, name) {
		p.SetCold(at, r.ID, r.StartMillis, r.PerSecond, r.Until)
	}
}

// awaitTurn returns what follows when all backend servers of the pool are unavailable and
// some are cold: the request waits for a turn that is kept for it, if its deadline and its
// latency objective permit, or ends at once.
func (x *exchange) awaitTurn() attempt.Action {
	g := x.g
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	x.pausedUntil = max(now+minTurnWait, g.fleet.PoolPausedUntil(now, x.pool, x.regions))
	x.retryAfter = max(x.pausedUntil-now, defaultRetryDelay)
	if x.pausedUntil > x.arrived+x.route.LatencyObjective && !x.retryState.MayHaveRun() {
		x.retryState.Stop()
	}
	action := x.retryState.NextPaused(x.pausedUntil)
	if action == attempt.Wait {
		x.promised = true
		g.fleet.Promise(x.pool, x.pausedUntil, x.regions)
		g.meters.count("turns.awaited")
	} else {
		g.meters.count("turns.refused")
	}
	return action
}
