package gateway

import (
	"context"
	"errors"
	"os"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"tanagerroad"
	"tanagerroad/core/attempt"
	"tanagerroad/core/event"
	"tanagerroad/core/limit"
	"tanagerroad/core/quarantine"
	"tanagerroad/core/registry"
	"tanagerroad/core/wire"
	"tanagerroad/io/http1"
)

const (
	// crashWindow is how long the attempts that end with a backend server are
	// collected before they are reported.
	crashWindow = 100 * time.Millisecond
	// trialClaimTimeout bounds how long a request waits for the grant of a trial.
	trialClaimTimeout = 500 * time.Millisecond
)

// serverStart is one start of a backend server.
type serverStart struct {
	id    string
	start int64
}

// brokenAttempts are the attempts that ended with the connections of one start of a
// backend server, by how far their answers had come.
type brokenAttempts struct {
	suspects                []*wire.CrashSuspect
	waiting, begun, flowing int
}

// errQuarantined is the error of a request that was not sent since requests like it
// have meanwhile been convicted of crashing backend servers.
var errQuarantined = errors.New("the request is quarantined")

// isQuarantined reports whether one of the causes is convicted.
func (g *Gateway) isQuarantined(causes []quarantine.Cause) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quarantine.Check(g.now(), causes, 0).Convicted
}

// checkQuarantine returns errQuarantined, and sets the reason and the retry delay, if
// requests like this one crash backend servers.
func (x *exchange) checkQuarantine() error {
	x.g.mu.Lock()
	verdict := x.g.quarantine.Check(x.g.now(), x.allCauses, x.trialOf.Load())
	x.g.mu.Unlock()
	if !verdict.Convicted {
		return nil
	}
	x.reason = "quarantined: requests with the " + verdict.Cause.Label + " crash backend servers"
	x.retryAfter = limit.RetryAfter(max(verdict.Left, defaultRetryDelay), xxhash.Sum64String(x.headers.AttemptID))
	return errQuarantined
}

// claimTrial makes the request a trial of its convicted cause if one is due and no other
// gateway has been granted it.
func (x *exchange) claimTrial() {
	x.g.mu.Lock()
	verdict := x.g.quarantine.Check(x.g.now(), x.allCauses, 0)
	x.g.mu.Unlock()
	if !verdict.Convicted || verdict.Left > 0 {
		return
	}
	ctx, cancel := context.WithTimeout(x.ctx, trialClaimTimeout)
	defer cancel()
	outcome, err := x.g.control.Propose(ctx, &wire.Command{Body: &wire.Command_ClaimTrial{ClaimTrial: &wire.ClaimTrial{Fingerprint: verdict.Cause.Fingerprint}}})
	if err != nil || outcome.GetKind() != registry.Granted {
		return
	}
	x.trialOf.Store(verdict.Cause.Fingerprint)
	event.QuarantineTrial.Log(x.g.config.Logger, zap.String("request", x.headers.AttemptID), zap.String("cause", verdict.Cause.Label))
}

// endTrial ends the request's trial, if it is one, unless its answer flows: it is not
// sent again.
func (x *exchange) endTrial() {
	if !x.flowing.Load() {
		x.trialOf.Store(0)
	}
}

// recordProgress records how far the answer to the current attempt has come.
func (x *exchange) recordProgress(p attempt.Progress) {
	if p == attempt.Flowing && x.progress != attempt.Flowing {
		x.flowing.Store(true)
		x.g.recordBegin(x.headers.AttemptID, x.causes)
	}
	x.progress = p
}

// recordBegin records that something with these causes got an answer. request is the id
// of the request, or empty for a call for pieces of several.
func (g *Gateway) recordBegin(request string, causes []quarantine.Cause) {
	g.mu.Lock()
	clearable := g.quarantine.RecordBegin(g.now(), causes)
	g.mu.Unlock()
	if len(clearable) > 0 {
		event.AnswerClears.Log(g.config.Logger, zap.String("request", request), zap.Uint64s("fingerprints", clearable))
	}
	g.clearCauses(clearable)
}

// clearCauses asks the control instances to take causes out of the quarantine.
func (g *Gateway) clearCauses(fingerprints []uint64) {
	if len(fingerprints) == 0 {
		return
	}
	go func() { g.logReportFailed(g.control.ClearCauses(g.ctx, fingerprints)) }()
}

// logReportFailed logs the error of a report, if there is one.
func (g *Gateway) logReportFailed(err error) {
	if err != nil {
		event.ReportFailed.Log(g.config.Logger, zap.Error(err))
	}
}

// recordBrokenAttempt records that an attempt ended with its connection. If the backend
// server turns out to have crashed, the request is reported unless its answer flowed.
func (g *Gateway) recordBrokenAttempt(server tanagerroad.Announcement, causes []quarantine.Cause, progress attempt.Progress) {
	g.mu.Lock()
	defer g.mu.Unlock()
	start := serverStart{server.ID, server.StartMillis}
	broken := g.broken[start]
	if broken == nil {
		broken = &brokenAttempts{}
		g.broken[start] = broken
		time.AfterFunc(crashWindow, func() { g.reportCrash(server) })
	}
	switch progress {
	case attempt.Flowing:
		broken.flowing++
		return
	case attempt.Begun:
		broken.begun++
	default:
		broken.waiting++
	}
	suspect := &wire.CrashSuspect{Begun: progress == attempt.Begun}
	for _, c := range g.quarantine.Suspects(g.now(), causes) {
		suspect.Causes = append(suspect.Causes, c.ToWire())
	}
	if len(suspect.GetCauses()) > 0 {
		broken.suspects = append(broken.suspects, suspect)
	}
}

// reportCrash reports a backend server to the control instances, with the requests whose
// attempts ended with it, unless it still accepts connections.
func (g *Gateway) reportCrash(server tanagerroad.Announcement) {
	start := serverStart{server.ID, server.StartMillis}
	crashed := g.client.Refuses(g.ctx, server.Address)
	g.mu.Lock()
	broken := g.broken[start]
	delete(g.broken, start)
	g.mu.Unlock()
	suspects := broken.suspects
	event.ServerBrokeOff.Log(g.config.Logger, zap.String("server", server.ID), zap.String("pool", server.Pool), zap.Int64("start", server.StartMillis),
		zap.Bool("crashed", crashed), zap.Int("waiting", broken.waiting), zap.Int("begun", broken.begun), zap.Int("flowing", broken.flowing),
		zap.Int("suspects", len(suspects)))
	if !crashed || len(suspects) == 0 {
		return
	}
	begun := 0
	var labels []string
	for _, s := range suspects {
		if s.GetBegun() {
			begun++
		}
		for _, c := range s.GetCauses() {
			labels = append(labels, c.GetLabel())
		}
	}
	g.meters.count("servers.crashed")
	event.ServerCrashed.Log(g.config.Logger, zap.String("server", server.ID), zap.String("pool", server.Pool), zap.Int64("start", server.StartMillis),
		zap.Int("suspects", len(suspects)), zap.Int("begun", begun), zap.Strings("causes", labels))
	g.logReportFailed(g.control.ReportCrash(g.ctx, &wire.CrashReport{Server: server.ID, Start: server.StartMillis, Suspects: suspects}))
}

// applyQuarantine applies a quarantine that a control instance sent, and ends the requests
// that it convicts and whose answers do not flow yet. g.mu must be held.
func (g *Gateway) applyQuarantine(q *wire.Quarantine) {
	now := g.now()
	changed, clearable := g.quarantine.Apply(now, q)
	if !changed {
		return
	}
	g.clearCauses(clearable)
	var convicted, suspected []string
	for _, c := range q.GetConvictions() {
		if c.GetConvicted() {
			convicted = append(convicted, c.GetLabel())
		} else {
			suspected = append(suspected, c.GetLabel())
		}
	}
	event.QuarantineChanged.Log(g.config.Logger, zap.Uint64("version", q.GetVersion()), zap.Strings("convicted", convicted), zap.Strings("suspected", suspected))
	g.stopMu.Lock()
	defer g.stopMu.Unlock()
	for x, cancel := range g.cancels {
		if g.quarantine.Check(now, x.allCauses, x.trialOf.Load()).Convicted && !x.flowing.Load() {
			cancel(errQuarantined)
		}
	}
}

// isUnsent reports whether an error means that no byte of a request was written.
func isUnsent(err error) bool {
	var unsent *http1.UnsentError
	return errors.As(err, &unsent)
}

// endsWithConnection reports whether an error means that a connection has ended, rather
// than that it was silent for too long.
func endsWithConnection(err error) bool { return err != nil && !errors.Is(err, os.ErrDeadlineExceeded) }
