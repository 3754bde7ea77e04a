package gateway

import (
	"errors"
	"os"
	"slices"
	"time"

	"go.uber.org/zap"

	"tanagerroad"
	"tanagerroad/core/attempt"
	"tanagerroad/core/event"
	"tanagerroad/core/quarantine"
	"tanagerroad/core/wire"
	"tanagerroad/io/http1"
)

const (
	// crashWindow is how long the attempts that end with a backend server are
	// collected before they are reported.
	crashWindow = 100 * time.Millisecond
	// confirmTime is how long a backend server that broke off and accepts connections may
	// take to announce that it has started again.
	confirmTime = 5 * time.Second
	// survivalCheckInterval is how often it is checked which backend servers have outlived
	// the runs that have ended.
	survivalCheckInterval = 100 * time.Millisecond
)

// serverStart is one start of a backend server.
type serverStart struct {
	id    string
	start int64
}

func startOf(server tanagerroad.Announcement) serverStart {
	return serverStart{server.ID, server.StartMillis}
}

// brokenAttempts are the attempts that ended with the connections of one start of a
// backend server, by how far their answers had come.
type brokenAttempts struct {
	server                  tanagerroad.Announcement
	at                      time.Duration
	suspects                []*wire.CrashSuspect
	waiting, begun, flowing int
}

// recordProgress records how far the answer to the current attempt has come.
func (x *exchange) recordProgress(p attempt.Progress) {
	if p == attempt.Flowing {
		x.flowing.Store(true)
	}
	x.progress = p
}

// recordBrokenAttempt records that an attempt ended with its connection. If the backend
// server turns out to have crashed, the request is reported.
func (g *Gateway) recordBrokenAttempt(server tanagerroad.Announcement, causes []quarantine.Cause, progress attempt.Progress) {
	g.mu.Lock()
	defer g.mu.Unlock()
	broken := g.brokenAttempts(server)
	switch progress {
	case attempt.Flowing:
		broken.flowing++
	case attempt.Begun:
		broken.begun++
	default:
		broken.waiting++
	}
	broken.addSuspect(&wire.CrashSuspect{Begun: progress == attempt.Begun, Flowed: progress == attempt.Flowing}, g.quarantine.Suspects(g.now(), causes))
}

// brokenAttempts returns the attempts that ended with a backend server, which are reported
// after crashWindow. g.mu must be held.
func (g *Gateway) brokenAttempts(server tanagerroad.Announcement) *brokenAttempts {
	broken := g.broken[startOf(server)]
	if broken == nil {
		broken = &brokenAttempts{server: server, at: g.now()}
		g.broken[startOf(server)] = broken
		time.AfterFunc(crashWindow, func() { g.reportCrash(server) })
	}
	return broken
}

// addSuspect adds a request with the causes that may have brought the crash about.
func (b *brokenAttempts) addSuspect(s *wire.CrashSuspect, causes []quarantine.Cause) {
	for _, c := range causes {
		s.Causes = append(s.Causes, c.ToWire())
	}
	if len(causes) > 0 {
		b.suspects = append(b.suspects, s)
	}
}

// reportCrash reports a backend server to the control instances, with the requests whose
// attempts ended with it or just before it, unless it still accepts connections. In that
// case it is reported if it has started again.
func (g *Gateway) reportCrash(server tanagerroad.Announcement) {
	crashed := g.client.Refuses(g.ctx, server.Address)
	g.mu.Lock()
	defer g.mu.Unlock()
	broken := g.broken[startOf(server)]
	delete(g.broken, startOf(server))
	event.ServerBrokeOff.Log(g.config.Logger, zap.String("server", server.ID), zap.String("pool", server.Pool), zap.Int64("start", server.StartMillis),
		zap.Bool("crashed", crashed), zap.Int("waiting", broken.waiting), zap.Int("begun", broken.begun), zap.Int("flowing", broken.flowing),
		zap.Int("suspects", len(broken.suspects)))
	if crashed {
		g.reportBroken(broken)
		return
	}
	g.awaitConfirmation(broken)
}

// awaitConfirmation keeps attempts that ended with a backend server, or might have, until
// it is known whether it has started again. g.mu must be held.
func (g *Gateway) awaitConfirmation(broken *brokenAttempts) {
	if earlier := g.unconfirmed[startOf(broken.server)]; earlier != nil {
		broken.suspects = append(earlier.suspects, broken.suspects...)
		broken.suspects = broken.suspects[max(0, len(broken.suspects)-maxUnconfirmed):]
	}
	g.unconfirmed[startOf(broken.server)] = broken
}

// reportBroken reports the crash of a backend server. g.mu must be held.
func (g *Gateway) reportBroken(broken *brokenAttempts) {
	server := broken.server
	for _, run := range g.quarantine.TakeEnded(server) {
		broken.addSuspect(&wire.CrashSuspect{Flowed: true}, g.quarantine.Suspects(g.now(), run.Causes))
	}
	if g.roster.IsLeaving(server.ID, server.StartMillis) {
		broken.keepExact()
	}
	if len(broken.suspects) == 0 {
		return
	}
	begun, flowed := 0, 0
	var labels []string
	for _, s := range broken.suspects {
		if s.GetBegun() {
			begun++
		}
		if s.GetFlowed() {
			flowed++
		}
		for _, c := range s.GetCauses() {
			labels = append(labels, c.GetLabel())
		}
	}
	g.meters.count("servers.crashed")
	event.ServerCrashed.Log(g.config.Logger, zap.String("server", server.ID), zap.String("pool", server.Pool), zap.Int64("start", server.StartMillis),
		zap.Int("suspects", len(broken.suspects)), zap.Int("begun", begun), zap.Int("flowed", flowed), zap.Strings("causes", labels[:min(len(labels), maxLoggedCauses)]))
	g.crashReports.add(broken.at, &wire.CrashReport{Server: server.ID, Start: server.StartMillis, Suspects: broken.suspects})
}

// maxUnconfirmed bounds the requests that are kept of one backend server.
const maxUnconfirmed = 64

// maxLoggedCauses bounds the causes in the line of a crash.
const maxLoggedCauses = 32

// keepExact leaves out what different requests share: a backend server that leaves may end
// with those that are in flight, one by one.
func (b *brokenAttempts) keepExact() {
	for _, s := range b.suspects {
		s.Causes = slices.DeleteFunc(s.GetCauses(), func(c *wire.Cause) bool { return !c.GetExact() })
	}
	b.suspects = slices.DeleteFunc(b.suspects, func(s *wire.CrashSuspect) bool { return len(s.GetCauses()) == 0 })
}

// confirmCrashes reports the backend servers that broke off, accepted connections and have
// started again. g.mu must be held.
func (g *Gateway) confirmCrashes(now time.Duration) {
	if len(g.unconfirmed) == 0 {
		return
	}
	usable := g.roster.Usable()
	for start, broken := range g.unconfirmed {
		if now-broken.at > confirmTime {
			delete(g.unconfirmed, start)
			continue
		}
		if slices.ContainsFunc(usable, func(a tanagerroad.Announcement) bool {
			return a.Address == broken.server.Address && a.StartMillis > broken.server.StartMillis
		}) {
			delete(g.unconfirmed, start)
			g.reportBroken(broken)
		}
	}
}

// recordEnd records that a run at a backend server has ended without it. proof says that the
// run began at the beginning and was answered whole.
func (g *Gateway) recordEnd(server tanagerroad.Announcement, causes []quarantine.Cause, proof bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quarantine.RecordEnd(quarantine.EndedRun{At: g.now(), Server: server, Causes: causes, Proof: proof})
	if g.survivalTimer == nil {
		g.survivalTimer = time.AfterFunc(survivalCheckInterval, g.checkSurvival)
	}
}

// checkSurvival checks which backend servers have outlived the runs that ended there.
func (g *Gateway) checkSurvival() {
	g.mu.Lock()
	now, wall := g.now(), time.Now()
	due := g.quarantine.Due(now)
	g.survivalTimer = nil
	if g.quarantine.HasEnded() && g.ctx.Err() == nil {
		g.survivalTimer = time.AfterFunc(survivalCheckInterval, g.checkSurvival)
	}
	g.mu.Unlock()
	for _, run := range due {
		switch g.client.LivenessSince(run.Server.Address, wall.Add(run.At-now)) {
		case http1.Alive:
			g.recordSurvival(run)
		case http1.Ended:
			g.recordServerEnd(run)
		default:
			g.resolveUnknown(run)
		}
	}
}

// recordServerEnd records that a backend server has closed its connections after a run
// there. If it turns out to have crashed, the request is reported.
func (g *Gateway) recordServerEnd(run quarantine.Survival) {
	g.mu.Lock()
	defer g.mu.Unlock()
	broken := g.brokenAttempts(run.Server)
	if run.Last { // otherwise it is still there when the crash is reported
		broken.addSuspect(&wire.CrashSuspect{Flowed: true}, g.quarantine.Suspects(g.now(), run.Causes))
	}
}

// resolveUnknown deals with a run at a backend server to which no connection is open. If
// it matters now, the server is asked whether it listens; otherwise its next announcement
// will tell whether it has started again.
func (g *Gateway) resolveUnknown(run quarantine.Survival) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.quarantine.IsListed(run.Causes) {
		go func() {
			if g.client.Refuses(g.ctx, run.Server.Address) {
				g.recordServerEnd(run)
				return
			}
			g.recordSurvival(run)
		}()
		return
	}
	if run.Last {
		broken := &brokenAttempts{server: run.Server, at: run.At}
		broken.addSuspect(&wire.CrashSuspect{Flowed: true}, g.quarantine.Suspects(run.At, run.Causes))
		broken.keepExact()
		g.awaitConfirmation(broken)
	}
}

// recordSurvival records that a backend server has outlived a run.
func (g *Gateway) recordSurvival(run quarantine.Survival) {
	g.mu.Lock()
	clearable := g.quarantine.RecordSurvival(g.now(), run.SpeaksFor)
	g.mu.Unlock()
	if len(clearable) > 0 {
		event.SurvivalClears.Log(g.config.Logger, zap.String("server", run.Server.ID), zap.Uint64s("fingerprints", clearable))
	}
	g.clearCauses(clearable)
}

// isUnsent reports whether an error means that no byte of a request was written.
func isUnsent(err error) bool {
	var unsent *http1.UnsentError
	return errors.As(err, &unsent)
}

// endsWithConnection reports whether an error means that a connection has ended, rather
// than that it was silent for too long.
func endsWithConnection(err error) bool { return err != nil && !errors.Is(err, os.ErrDeadlineExceeded) }
