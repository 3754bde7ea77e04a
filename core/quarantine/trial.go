package quarantine

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"tanagerroad/core/wire"
)

const (
	// trialWaitGrowth is the factor by which the wait for the next trial grows with each
	// crash in one.
	trialWaitGrowth = 3
	// trialTimeout is how long a trial may take whose request has no deadline.
	trialTimeout = 2 * time.Second
	// verdictTime is how long the crash of a backend server takes to be known after the
	// request of a trial has ended.
	verdictTime = SurvivalTime + time.Second
)

// ClaimTrial grants a trial of a convicted cause if one is due. timeout is how long the
// request may take; 0 is the default. It reports whether it did.
func (l *Ledger) ClaimTrial(atMillis int64, fingerprint uint64, timeout time.Duration) bool {
	c := l.convicted[fingerprint]
	if c == nil || !l.isTrialDue(atMillis, c) {
		return false
	}
	if timeout <= 0 {
		timeout = trialTimeout
	}
	next := proto.CloneOf(c)
	next.Trial, next.SinceMillis, next.TrialUntilMillis = true, atMillis, atMillis+timeout.Milliseconds()
	l.replace(next)
	return true
}

// isTrialDue reports whether a trial of a convicted cause is due.
func (l *Ledger) isTrialDue(atMillis int64, c *wire.Conviction) bool {
	if isTried(atMillis, c) {
		return false
	}
	if c.GetUndecided() {
		for _, other := range l.convicted {
			if other.GetUndecided() && isTried(atMillis, other) {
				return false
			}
		}
	}
	return atMillis-c.GetSinceMillis() >= c.GetTrialWaitMillis()
}

// isTried reports whether the trial of a cause is under way.
func isTried(atMillis int64, c *wire.Conviction) bool {
	return c.GetTrial() && atMillis < c.GetTrialUntilMillis()
}

// EndTrial ends the trial of a cause whose request is not sent again. If it was never sent
// the next trial is due at once, otherwise when it must be known whether a backend server
// crashed. It reports whether there was a trial.
func (l *Ledger) EndTrial(atMillis int64, fingerprint uint64, sent bool) bool {
	c := l.convicted[fingerprint]
	if !c.GetTrial() {
		return false
	}
	next := proto.CloneOf(c)
	if sent {
		next.TrialUntilMillis = min(c.GetTrialUntilMillis(), atMillis+verdictTime.Milliseconds())
	} else {
		makeTrialDue(next, atMillis)
	}
	l.replace(next)
	return true
}

// makeTrialDue ends a trial at a Unix time in milliseconds, so that the next one is due at once.
func makeTrialDue(c *wire.Conviction, atMillis int64) {
	c.Trial, c.TrialUntilMillis, c.SinceMillis = false, 0, atMillis-c.GetTrialWaitMillis()
}

// failTrials ends the trials in which backend servers have crashed. A crash during several
// trials, which only one of the causes has brought about, decides none of them.
func (l *Ledger) failTrials(atMillis int64) {
	if !slices.ContainsFunc(slices.Collect(maps.Values(l.convicted)), (*wire.Conviction).GetTrial) {
		return
	}
	explained := l.explained()
	for _, o := range l.outages(atMillis - l.config.SettleTime.Milliseconds()) {
		failedAt, undecidedAt := map[uint64]int64{}, map[uint64]int64{}
		coincidence := false
		for _, c := range o {
			tried := l.triedIn(c)
			coincidence = coincidence || len(tried) == 0 && !explained[c.digest]
			ended := failedAt
			if len(tried) > 1 {
				ended = undecidedAt
			}
			for _, fingerprint := range tried {
				ended[fingerprint] = c.GetAtMillis()
			}
		}
		for fingerprint, at := range undecidedAt {
			if _, failed := failedAt[fingerprint]; !failed {
				l.leaveUndecided(at, l.convicted[fingerprint])
			}
		}
		for fingerprint, at := range failedAt {
			l.failTrial(at, l.convicted[fingerprint], coincidence)
		}
	}
}

// triedIn returns the causes whose trial was under way at a crash.
func (l *Ledger) triedIn(crash *crash) []uint64 {
	var out []uint64
	for fingerprint, c := range l.convicted {
		if c.GetTrial() && crash.GetAtMillis() >= c.GetSinceMillis() && crash.members[fingerprint] != nil {
			out = append(out, fingerprint)
		}
	}
	return out
}

// leaveUndecided ends a trial, at a Unix time in milliseconds, which is repeated at once.
func (l *Ledger) leaveUndecided(atMillis int64, c *wire.Conviction) {
	next := proto.CloneOf(c)
	makeTrialDue(next, atMillis)
	next.Undecided = true
	l.replace(next)
}

// failTrial ends a trial in which a backend server has crashed, at a Unix time in
// milliseconds, and prolongs the conviction. The first time does not count if other servers
// crashed at the same time without such a request. One that is sent again is tried no more
// after MaxTrials of them.
func (l *Ledger) failTrial(atMillis int64, c *wire.Conviction, coincidence bool) {
	next := proto.CloneOf(c)
	next.Trial, next.TrialUntilMillis, next.SinceMillis = false, 0, atMillis
	next.FailedTrials++
	next.Coincidence = c.GetCoincidence() || coincidence
	if !coincidence || c.GetFailedTrials() > 0 {
		next.TrialWaitMillis = min(max(trialWaitGrowth*c.GetTrialWaitMillis(), l.config.TrialWait.Milliseconds()), l.config.Duration.Milliseconds())
	}
	next.UntilMillis = atMillis + next.GetTrialWaitMillis() + l.config.Duration.Milliseconds()
	if l.histories[c.GetFingerprint()].GetCause().GetExact() {
		next.UntilMillis = atMillis + l.config.RepeatMemory.Milliseconds()
		if int(next.GetFailedTrials()) >= l.config.MaxTrials {
			next.TrialWaitMillis = l.config.RepeatMemory.Milliseconds()
			if next.GetCoincidence() {
				next.TrialWaitMillis = l.config.Duration.Milliseconds()
			}
		}
	}
	l.replace(next)
}

// replace replaces a conviction, which others may hold.
func (l *Ledger) replace(next *wire.Conviction) {
	next.KeepMillis = next.GetUntilMillis() - next.GetSinceMillis()
	l.convicted[next.GetFingerprint()] = next
	l.mergeEntries()
}

// trialDelay returns the time from the conviction or the latest trial until the next
// trial.
func trialDelay(c *wire.Conviction) time.Duration {
	delay := c.GetTrialWaitMillis()
	if c.GetTrial() {
		delay = max(delay, c.GetTrialUntilMillis()-c.GetSinceMillis())
	}
	return time.Duration(delay) * time.Millisecond
}
