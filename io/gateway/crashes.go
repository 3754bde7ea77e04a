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
		broken = &brokenAttempts{}
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
// attempts ended with it, unless it still accepts connections.
func (g *Gateway) reportCrash(server tanagerroad.Announcement) {
	crashed := g.client.Refuses(g.ctx, server.Address)
	g.mu.Lock()
	defer g.mu.Unlock()
	broken := g.broken[startOf(server)]
	delete(g.broken, startOf(server))
	event.ServerBrokeOff.Log(g.config.Logger, zap.String("server", server.ID), zap.String("pool", server.Pool), zap.Int64("start", server.StartMillis),
		zap.Bool("crashed", crashed), zap.Int("waiting", broken.waiting), zap.Int("begun", broken.begun), zap.Int("flowing", broken.flowing),
		zap.Int("suspects", len(broken.suspects)))
	if !crashed {
		return
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
	report := &wire.CrashReport{Server: server.ID, Start: server.StartMillis, Suspects: broken.suspects}
	go func() { g.logReportFailed(g.control.ReportCrash(g.ctx, report)) }()
}

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
		if g.client.LivenessSince(run.Server.Address, wall.Add(run.At-now)) == http1.Alive {
			g.recordSurvival(run)
		}
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
