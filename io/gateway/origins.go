package gateway

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"tanagerroad"
	"tanagerroad/core/event"
	"tanagerroad/core/fleet"
	"tanagerroad/core/origin"
	"tanagerroad/core/wire"
)

// originLookupTimeout bounds how long a stream that is taken up waits for a quorum to say at
// which version it began.
const originLookupTimeout = 1500 * time.Millisecond

// streamOrigin is what an exchange knows of the origin of the stream that it begins.
type streamOrigin struct {
	software string       // version of the latest attempt's backend server
	recorded string       // version that was last handed to the recorder; empty: none
	record   originRecord // of that version
}

// isResumable reports whether the request's stream may go on at another backend server.
func (x *exchange) isResumable() bool {
	return x.route.Repeatability == tanagerroad.Stream && x.route.Resumable
}

// begunBy returns the id of the caller's attempt that began the stream that this request
// takes up; empty: it begins one, or the id is not known.
func (x *exchange) begunBy() string {
	if x.headers.LastEventID == "" {
		return ""
	}
	return x.headers.BegunBy
}

// bindToOrigin binds a stream that is taken up to the software version at which it began.
// If that is not known, or no backend server has it, it sets the reason and returns false.
func (x *exchange) bindToOrigin() bool {
	if !x.isResumable() || x.headers.LastEventID == "" {
		return true
	}
	g := x.g
	recorded, confirmed := false, false
	if x.begunBy() != "" {
		ctx, cancel := context.WithTimeout(x.ctx, originLookupTimeout)
		defer cancel()
		x.software, recorded, confirmed = g.control.Origin(ctx, x.pool, origin.Stream(x.begunBy()))
	}
	g.mu.Lock()
	usable, others := g.fleet.HasSoftware(x.pool, x.software)
	versions := g.fleet.SoftwareVersions(x.pool)
	g.mu.Unlock()
	outcome := ""
	switch {
	case x.begunBy() != "" && !confirmed:
		outcome = "no quorum says at which software version the stream began"
	case x.software == "" && versions > 1:
		outcome = "it is not known at which software version the stream began"
	case x.software != "" && !usable && others:
		outcome = "no backend server has the software version at which the stream began"
	}
	event.StreamTakenUp.Log(g.config.Logger, zap.String("request", x.headers.AttemptID), zap.String("begun-by", x.headers.BegunBy),
		zap.String("software", x.software), zap.Bool("recorded", recorded), zap.Int("versions", versions), zap.Duration("left", x.deadline-g.now()), zap.String("outcome", outcome))
	x.reason = outcome
	return outcome == ""
}

// restartTime is how long a backend server that has started again may be taken for the start
// before: until then the new one has announced itself, or the old one has been silent for so long
// that it is no longer used (roster.Config.SilenceTimeout).
const restartTime = 6 * time.Second

// mayHaveRestarted reports whether the connections to a backend server have ended since its start
// was announced. It may have started again, with another version that is not announced yet.
// g.mu must be held.
func (g *Gateway) mayHaveRestarted(now time.Duration, server tanagerroad.Announcement) bool {
	wall := time.Now()
	learned := g.roster.StartLearned(server.ID)
	return g.client.MayHaveEnded(server.Address, wall.Add(learned-now), wall.Add(-restartTime))
}

// restartedServers returns the backend servers of a pool that may have started again. If most
// of the pool may have, it is this gateway whose connections were cut, and there are none.
// g.mu must be held.
func (g *Gateway) restartedServers(now time.Duration, pool string) []string {
	servers := g.fleet.Pool(pool)
	var out []string
	for _, s := range servers {
		if g.mayHaveRestarted(now, s) {
			out = append(out, s.ID)
		}
	}
	if 2*len(out) > len(servers) {
		return nil
	}
	return out
}

// pick chooses a backend server. While origins cannot be recorded, a stream begins at the
// base version if it can. A stream that is taken up goes on at no server that may have
// started again; those are returned too, if there was one to avoid. g.mu must be held.
func (x *exchange) pick(now time.Duration, request fleet.Request) (choice fleet.Choice, restarted []string, ok bool) {
	g := x.g
	if request.Software == "" && x.isResumable() && g.origins.isStalled(now) {
		request.Software = g.bases[x.pool]
		if choice, ok := g.fleet.Pick(now, request); ok {
			return choice, nil, true
		}
		request.Software = ""
	}
	choice, ok = g.fleet.Pick(now, request)
	if !ok || x.software == "" || x.committed || !g.mayHaveRestarted(now, choice.Announcement) {
		return choice, nil, ok
	}
	restarted = g.restartedServers(now, x.pool)
	if len(restarted) == 0 {
		return choice, nil, true
	}
	g.fleet.RecordEnd(now, choice.ID, fleet.Outcome{Unknown: true}) // nothing is sent to it
	request.Exclude = slices.Concat(request.Exclude, restarted)
	choice, ok = g.fleet.Pick(now, request)
	return choice, restarted, ok
}

// recordOrigin has it recorded at which software version the stream begins, unless it is
// the pool's base version or the stream has begun.
func (x *exchange) recordOrigin(software string) {
	if !x.isResumable() || x.software != "" || software == "" {
		return
	}
	g := x.g
	x.origin.software = software
	g.mu.Lock()
	base := g.bases[x.pool]
	g.mu.Unlock()
	if software == x.origin.recorded || software == base && x.origin.recorded == "" {
		return
	}
	keep := max(x.headers.Timeout, x.route.Timeout) + origin.Slack
	x.origin.recorded = software
	x.origin.record = g.origins.add(g.now(), &wire.Origin{
		Stream: origin.Stream(x.headers.AttemptID), Pool: x.pool, Software: software, KeepMillis: keep.Milliseconds(),
	})
}

// beginStream binds the stream to the software version at which it begins, before its first
// event is passed on. It returns false if the request ends before that is certain to be
// recorded. While a backend server of another version is in use, it has to be recorded: a
// caller may take the stream up before another gateway that holds the origin has recorded it.
func (x *exchange) beginStream() bool {
	if x.committed || x.software != "" {
		return true
	}
	x.software = x.origin.software
	record := x.origin.record
	if record.recorded == nil {
		return true
	}
	x.g.mu.Lock()
	_, others := x.g.fleet.HasSoftware(x.pool, x.software)
	alone := len(x.g.latestGateways()) == 0
	x.g.mu.Unlock()
	switch {
	case others:
		record.held = nil
	case alone:
		return true
	}
	select {
	case <-record.recorded:
		return true
	case <-record.held:
		return true
	case <-x.ctx.Done():
		x.reason = "the software version at which the stream begins could not be recorded"
		return false
	}
}
