package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"tanagerroad/core/event"
	"tanagerroad/core/limit"
	"tanagerroad/core/quarantine"
	"tanagerroad/core/registry"
	"tanagerroad/core/wire"
)

const (
	// trialClaimTimeout bounds how long a request waits for the grant of a trial.
	trialClaimTimeout = 500 * time.Millisecond
	// trialSlack is how long the end of a trial may take to be known after the deadline of
	// its request.
	trialSlack = time.Second
	// maxTrialWait and trialWaitShare, of the time left, bound how long a request waits
	// while another one is the trial of a cause that may be a victim.
	maxTrialWait   = 500 * time.Millisecond
	trialWaitShare = 0.25
	// trialPollInterval is how often it asks meanwhile.
	trialPollInterval = 50 * time.Millisecond
)

// errQuarantined is the error of a request that was not sent since requests like it
// have meanwhile been convicted of crashing backend servers.
var errQuarantined = errors.New("the request is quarantined")

// trial is the trial of a convicted cause that a request is.
type trial struct {
	fingerprint uint64
	claimed     bool // the request has been a trial
	sent        bool // something with the cause may have run
}

// isQuarantined reports whether one of the causes is convicted.
func (g *Gateway) isQuarantined(causes []quarantine.Cause) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quarantine.Check(g.now(), causes, 0).Convicted
}

// verdict returns what the quarantine says of the request, unless it is a trial.
func (x *exchange) verdict() quarantine.Verdict {
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	return x.g.quarantine.Check(x.g.now(), x.allCauses, x.trialOf.Load())
}

// checkQuarantine returns errQuarantined, and sets the reason and the retry delay, if
// requests like this one crash backend servers.
func (x *exchange) checkQuarantine() error {
	verdict := x.verdict()
	if !verdict.Convicted {
		return nil
	}
	x.reason = "quarantined: requests with the " + verdict.Cause.Label + " crash backend servers"
	x.retryAfter = limit.RetryAfter(max(verdict.Left, defaultRetryDelay), xxhash.Sum64String(x.headers.AttemptID))
	return errQuarantined
}

// passQuarantine is checkQuarantine for a request that may be a trial. It waits a while
// for the trial of another one if the cause may be a victim.
func (x *exchange) passQuarantine() error {
	giveUp := x.g.now() + min(maxTrialWait, time.Duration(trialWaitShare*float64(x.deadline-x.g.now())))
	for {
		verdict := x.verdict()
		if verdict.Convicted && verdict.Left <= 0 && !x.trial.claimed {
			x.claimTrial(verdict.Cause)
			verdict = x.verdict()
		}
		if !verdict.Convicted || verdict.Guilty || x.trial.claimed || x.g.now() >= giveUp {
			return x.checkQuarantine()
		}
		select {
		case <-x.ctx.Done():
			return x.checkQuarantine()
		case <-time.After(trialPollInterval):
		}
	}
}

// claimTrial makes the request a trial of its convicted cause unless another gateway has
// been granted it.
func (x *exchange) claimTrial(cause quarantine.Cause) {
	ctx, cancel := context.WithTimeout(x.ctx, trialClaimTimeout)
	defer cancel()
	timeout := x.deadline - x.g.now() + trialSlack
	outcome, err := x.g.control.Propose(ctx, &wire.Command{Body: &wire.Command_ClaimTrial{ClaimTrial: &wire.ClaimTrial{
		Fingerprint: cause.Fingerprint, TimeoutMillis: timeout.Milliseconds(),
	}}})
	if err != nil || outcome.GetKind() != registry.Granted {
		return
	}
	x.trial = trial{fingerprint: cause.Fingerprint, claimed: true}
	x.trialOf.Store(cause.Fingerprint)
	event.QuarantineTrial.Log(x.g.config.Logger, zap.String("request", x.headers.AttemptID), zap.String("cause", cause.Label))
}

// endTrial ends the request's trial, if it is one: it is not sent again.
func (x *exchange) endTrial() {
	fingerprint := x.trialOf.Swap(0)
	if fingerprint == 0 {
		return
	}
	sent := x.trial.sent
	go func() { x.g.logReportFailed(x.g.control.EndTrial(x.g.ctx, fingerprint, sent)) }()
}

// isPieceTrial reports whether the request is a trial of what its pieces may do.
func (x *exchange) isPieceTrial() bool {
	return x.trialOf.Load() != 0 && x.trialOf.Load() != x.causes[0].Fingerprint
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

// applyQuarantine applies a quarantine that a control instance sent, and ends the requests
// whose guilt it knows and whose answers do not flow yet. g.mu must be held.
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
		if g.quarantine.Check(now, x.allCauses, x.trialOf.Load()).Guilty && !x.flowing.Load() {
			cancel(errQuarantined)
		}
	}
}
