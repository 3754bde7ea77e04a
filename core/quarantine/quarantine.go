// Package quarantine decides what crashes backend servers, if it is something that
// requests have in common: the request itself, sent again, or a part of prompts that are
// otherwise all different. It is built for two situations that look alike from a single
// request: a cause that crashes each backend server that runs it, and crashes for other
// reasons, with whatever requests are in flight.
//
// Ledger is the replicated state, which the reports of all gateways reach. View is what
// one gateway knows. Only one thing speaks for a cause: a run that began at the beginning,
// was answered whole, and that its backend server outlived by SurvivalTime. An event of an
// answer does not, since a request may crash its server later.
//
// A part of prompts is convicted after MinCrashes crashes at different times in which a
// request with it was in flight, if they speak strongly enough against it. A request that
// is sent again is convicted after MinCrashes backend servers, whenever they crashed. Since
// sound requests are in flight at crashes too, its first trial is due at once, and only a
// crash in a trial makes it explain the crashes of others.
package quarantine

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"tanagerroad/core/wire"
)

// Config holds the thresholds of a ledger.
type Config struct {
	// A cause is convicted after MinCrashes crashes that come to MinEvidence, or
	// ManyCrashes that come to ManyEvidence. A crash that nothing else in flight explains
	// counts 1. They also have to recur: their number, times their share of all crashes
	// since the first of them, comes to MinRecurrence.
	MinCrashes    int
	MinEvidence   float64
	ManyCrashes   int
	ManyEvidence  float64
	MinRecurrence float64
	// If answers flowed in some of the crashes, it takes ManyCrashes, or MinCrashes of
	// ManyServers, over MinCrashes requests, that come to FlowingEvidence and
	// FlowingRecurrence.
	ManyServers       int
	FlowingEvidence   float64
	FlowingRecurrence float64

	Coincidence  time.Duration // crashes closer together count as one: an outage can take several servers
	SettleTime   time.Duration // from a crash until all gateways have reported it and those beside it
	Memory       time.Duration // how long a crash counts
	TrialWait    time.Duration // from a conviction to its first trial; grows trialWaitGrowth times with each crash in a trial
	Duration     time.Duration // how long a cause stays convicted without another crash; longest wait for a trial
	RepeatMemory time.Duration // the same two for a request that is sent again
	MaxTrials    int           // crashes in trials of such a request after which it is tried no more
	MaxCrashes   int           // crashes kept
	MaxSuspects  int           // requests kept for each crash, and as many whose answers flowed
	MaxHistories int           // requests whose crashes are kept for RepeatMemory
	MaxEntries   int           // suspects that are published
}

// DefaultConfig returns the documented thresholds.
func DefaultConfig() Config {
	return Config{
		MinCrashes:    3,
		MinEvidence:   1.5,
		ManyCrashes:   4,
		ManyEvidence:  0.3,
		MinRecurrence: 1,

		ManyServers:       5,
		FlowingEvidence:   0.55,
		FlowingRecurrence: 2.4,

		Coincidence:  300 * time.Millisecond,
		SettleTime:   150 * time.Millisecond,
		Memory:       time.Minute,
		TrialWait:    20 * time.Second,
		Duration:     10 * time.Minute,
		RepeatMemory: 24 * time.Hour,
		MaxTrials:    3,
		MaxCrashes:   256,
		MaxSuspects:  128,
		MaxHistories: 4096,
		MaxEntries:   256,
	}
}

// maxMillis is later than all crashes.
const maxMillis = math.MaxInt64

// Ledger keeps the recent crashes and the convictions. It is deterministic: the same calls
// lead to the same state.
type Ledger struct {
	config    Config
	crashes   []*crash                      // oldest first
	byCause   map[uint64][]*crash           // the same by the fingerprints of the causes in flight
	common    map[uint64]bool               // fingerprints of the causes in more than one
	histories map[uint64]*wire.CauseHistory // of exact causes and of all convicted ones
	convicted map[uint64]*wire.Conviction
	suspects  []*wire.Conviction // those that Entries returns
	entries   []*wire.Conviction // what Entries returns

	nextExpiry int64 // Unix time in milliseconds at which a crash of a history expires
}

// New returns an empty ledger.
func New(config Config) *Ledger {
	return &Ledger{
		config: config, byCause: map[uint64][]*crash{}, common: map[uint64]bool{},
		histories: map[uint64]*wire.CauseHistory{}, convicted: map[uint64]*wire.Conviction{},
	}
}

// Report adds reports at a Unix time in milliseconds, and returns the causes to convict.
// A crash counts only after SettleTime, when it is known what else crashed: whoever
// reported it calls again then, without suspects.
func (l *Ledger) Report(atMillis int64, reports ...*wire.CrashReport) []*wire.Conviction {
	l.Expire(atMillis)
	defer l.updateEntries()
	for _, report := range reports {
		l.add(atMillis-report.GetAgeMillis(), report)
	}
	l.failTrials(atMillis)
	var out []*wire.Conviction
	for c := l.convictNext(atMillis); c != nil; c = l.convictNext(atMillis) {
		out = append(out, c)
	}
	l.acquit()
	return out
}

// add adds the suspects of a report about a crash at a Unix time in milliseconds.
func (l *Ledger) add(atMillis int64, report *wire.CrashReport) {
	if len(report.GetSuspects()) == 0 {
		return
	}
	c := l.crashOf(atMillis, report)
	kept := map[bool]int{}
	for _, s := range c.GetSuspects() {
		kept[s.GetFlowed()]++
	}
	for _, s := range report.GetSuspects() {
		if kept[s.GetFlowed()]++; kept[s.GetFlowed()] <= l.config.MaxSuspects {
			l.addSuspect(c, s)
		}
		for _, cause := range s.GetCauses() {
			if cause.GetExact() || l.convicted[cause.GetFingerprint()] != nil {
				l.remember(c, cause)
			}
		}
	}
}

// convictNext convicts the next cause that is to be, or nil if there is none. One that
// explains more than a convicted one comes first. A request
// that is sent again comes before what different ones share and flows: it may explain the
// same crashes, and a trial will tell.
func (l *Ledger) convictNext(atMillis int64) *wire.Conviction {
	settled := atMillis - l.config.SettleTime.Milliseconds()
	explained := l.explained()
	e := l.evaluate(settled, explained)
	if s, ok := l.withdraw(e); ok {
		return l.convict(atMillis, s.cause, s.outages, l.config.TrialWait)
	}
	if s, ok := e.culprit(e.speaksAgainst); ok {
		return l.convict(atMillis, s.cause, s.outages, l.config.TrialWait)
	}
	if h := l.repeated(settled, explained); h != nil {
		return l.convict(atMillis, h.GetCause(), len(h.GetCrashes()), 0)
	}
	if attributed := l.attributed(); len(attributed) > len(explained) {
		e = l.evaluate(settled, attributed)
	}
	if s, ok := e.culprit(e.flowsAgainst); ok {
		return l.convict(atMillis, s.cause, s.outages, l.config.TrialWait)
	}
	return nil
}

// convict convicts a cause, with the time until its first trial.
func (l *Ledger) convict(atMillis int64, cause *wire.Cause, crashes int, trialWait time.Duration) *wire.Conviction {
	keep := l.config.Duration
	if cause.GetExact() {
		keep = l.config.RepeatMemory
	}
	c := &wire.Conviction{
		Fingerprint: cause.GetFingerprint(), Label: cause.GetLabel(), Crashes: uint32(crashes), Convicted: true,
		SinceMillis: atMillis, UntilMillis: atMillis + keep.Milliseconds(), KeepMillis: keep.Milliseconds(), TrialWaitMillis: trialWait.Milliseconds(),
	}
	l.convicted[c.GetFingerprint()] = c
	for _, crash := range l.byCause[c.GetFingerprint()] {
		l.remember(crash, cause)
	}
	return c
}

// isGuilty reports whether a cause is convicted for more than having been in flight: it
// explains the crashes that it was in.
func (l *Ledger) isGuilty(fingerprint uint64) bool {
	c := l.convicted[fingerprint]
	return c != nil && c.GetTrialWaitMillis() > 0
}

// Clear takes a cause out of the quarantine: a request with it was answered whole, and its
// backend server outlived it. It reports whether the cause was convicted or a suspect.
func (l *Ledger) Clear(fingerprint uint64) bool {
	isCause := func(c *wire.Conviction) bool { return c.GetFingerprint() == fingerprint }
	listed, guilty := slices.ContainsFunc(l.entries, isCause), l.isGuilty(fingerprint)
	l.forget(fingerprint)
	for _, c := range l.byCause[fingerprint] {
		c.remove(fingerprint)
	}
	delete(l.byCause, fingerprint)
	delete(l.common, fingerprint)
	switch {
	case guilty: // its crashes speak against others again
		l.updateEntries()
	case listed:
		l.suspects = slices.DeleteFunc(l.suspects, isCause)
		l.mergeEntries()
	}
	return listed
}

// forget drops a cause's conviction and its history.
func (l *Ledger) forget(fingerprint uint64) {
	delete(l.convicted, fingerprint)
	delete(l.histories, fingerprint)
}

// Expire drops the crashes and convictions whose time has passed. It reports whether
// there were any.
func (l *Ledger) Expire(atMillis int64) bool {
	before := len(l.convicted) + len(l.crashes)
	for fingerprint, c := range l.convicted {
		if c.GetUntilMillis() <= atMillis {
			l.forget(fingerprint)
		}
	}
	for len(l.crashes) > 0 && atMillis-l.crashes[0].GetAtMillis() > l.config.Memory.Milliseconds() {
		l.dropOldest()
	}
	l.expireHistories(atMillis)
	if len(l.convicted)+len(l.crashes) == before {
		return false
	}
	l.updateEntries()
	return true
}

// Entries returns the convicted causes, and the suspects: those that different requests
// share and that one more crash may convict. They are in ascending order of their
// fingerprints.
func (l *Ledger) Entries() []*wire.Conviction { return l.entries }

// SameEntries reports whether two lists of entries say the same to gateways.
func SameEntries(a, b []*wire.Conviction) bool {
	return slices.EqualFunc(a, b, func(x, y *wire.Conviction) bool {
		return x == y || !x.GetConvicted() && !y.GetConvicted() && x.GetFingerprint() == y.GetFingerprint()
	})
}

// updateEntries finds the suspects.
func (l *Ledger) updateEntries() {
	l.suspects = nil
	e := l.evaluate(maxMillis, l.explained())
	for fingerprint := range l.common {
		n := e.count(fingerprint)
		if n < l.config.MinCrashes-1 || l.convicted[fingerprint] != nil {
			continue
		}
		if s := e.suspicion(fingerprint); !s.cause.GetExact() {
			l.suspects = append(l.suspects, &wire.Conviction{
				Fingerprint: fingerprint, Label: s.cause.GetLabel(), Crashes: uint32(n), UntilMillis: s.lastMs + l.config.Memory.Milliseconds(),
			})
		}
	}
	slices.SortFunc(l.suspects, func(a, b *wire.Conviction) int {
		return cmp.Or(cmp.Compare(b.GetCrashes(), a.GetCrashes()), cmp.Compare(a.GetFingerprint(), b.GetFingerprint()))
	})
	l.suspects = l.suspects[:min(len(l.suspects), l.config.MaxEntries)]
	l.mergeEntries()
}

// mergeEntries puts the suspects and the convictions together.
func (l *Ledger) mergeEntries() {
	l.entries = slices.AppendSeq(slices.Clone(l.suspects), maps.Values(l.convicted))
	slices.SortFunc(l.entries, func(a, b *wire.Conviction) int { return cmp.Compare(a.GetFingerprint(), b.GetFingerprint()) })
}

// Crashes returns the crashes for a snapshot, oldest first.
func (l *Ledger) Crashes() []*wire.CrashReport {
	out := make([]*wire.CrashReport, len(l.crashes))
	for i, c := range l.crashes {
		out[i] = c.CrashReport
	}
	return out
}

// Restore replaces the state with that of a snapshot: what Crashes, Entries and Histories
// returned.
func (l *Ledger) Restore(crashes []*wire.CrashReport, entries []*wire.Conviction, histories []*wire.CauseHistory) {
	*l = *New(l.config)
	for _, report := range crashes {
		c := newCrash(report)
		l.crashes = append(l.crashes, c)
		for fingerprint := range c.members {
			l.addToCause(fingerprint, c)
		}
	}
	for _, c := range entries {
		if c.GetConvicted() {
			l.convicted[c.GetFingerprint()] = c
		}
	}
	for _, h := range histories {
		l.histories[h.GetCause().GetFingerprint()] = h
	}
	l.updateEntries()
}
