package quarantine

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"tanagerroad/core/wire"
)

// maxRemembered is the number of crashes kept of one cause, the latest ones.
const maxRemembered = 64

// startDigest identifies a crash: a backend server's start ends once.
func startDigest(report *wire.CrashReport) uint64 {
	return xxhash.Sum64String(report.GetServer() + "\x00" + strconv.FormatInt(report.GetStart(), 10))
}

// remember adds a crash to the history of a cause.
func (l *Ledger) remember(c *crash, cause *wire.Cause) {
	h := l.histories[cause.GetFingerprint()]
	if h == nil {
		l.shrinkHistories()
		h = &wire.CauseHistory{Cause: cause}
		l.histories[cause.GetFingerprint()] = h
	}
	if slices.ContainsFunc(h.GetCrashes(), func(old *wire.Crashed) bool { return old.GetStart() == c.digest }) {
		return
	}
	h.Crashes = append(h.Crashes, &wire.Crashed{Start: c.digest, AtMillis: c.GetAtMillis()})
	h.Crashes = h.Crashes[max(0, len(h.Crashes)-maxRemembered):]
	l.nextExpiry = min(l.nextExpiry, c.GetAtMillis()+l.config.RepeatMemory.Milliseconds())
}

// explained returns the crashes in which a guilty cause was in flight, which do not speak
// against what else was. It follows from the state: if the cause is cleared, its crashes
// count again.
func (l *Ledger) explained() map[uint64]bool { return l.crashesOf(l.isGuilty) }

// attributed returns the crashes in which any convicted cause was in flight.
func (l *Ledger) attributed() map[uint64]bool {
	return l.crashesOf(func(uint64) bool { return true })
}

// crashesOf returns the crashes of the convicted causes that meet a condition.
func (l *Ledger) crashesOf(meets func(fingerprint uint64) bool) map[uint64]bool {
	out := map[uint64]bool{}
	for fingerprint := range l.convicted {
		if !meets(fingerprint) {
			continue
		}
		for _, c := range l.histories[fingerprint].GetCrashes() {
			out[c.GetStart()] = true
		}
	}
	return out
}

// repeated returns the history of a request that was in flight at MinCrashes crashes no
// later than untilMillis that are not explained, or nil. It is not convicted.
func (l *Ledger) repeated(untilMillis int64, explained map[uint64]bool) *wire.CauseHistory {
	var best *wire.CauseHistory
	for fingerprint, h := range l.histories {
		if h.GetCause().GetExact() && l.convicted[fingerprint] == nil && unexplained(h, untilMillis, explained) >= l.config.MinCrashes &&
			(best == nil || fingerprint < best.GetCause().GetFingerprint()) {
			best = h
		}
	}
	return best
}

// unexplained returns the number of crashes of a history no later than untilMillis that are
// not explained.
func unexplained(h *wire.CauseHistory, untilMillis int64, explained map[uint64]bool) int {
	n := 0
	for _, c := range h.GetCrashes() {
		if c.GetAtMillis() <= untilMillis && !explained[c.GetStart()] {
			n++
		}
	}
	return n
}

// acquit ends the convictions of requests that were in flight at crashes which are now
// explained.
func (l *Ledger) acquit() {
	explained := l.explained()
	if len(explained) == 0 {
		return
	}
	for fingerprint := range l.convicted {
		if !l.isGuilty(fingerprint) && unexplained(l.histories[fingerprint], math.MaxInt64, explained) < l.config.MinCrashes {
			delete(l.convicted, fingerprint)
		}
	}
}

// shrinkHistories makes room for another history. Those of few and old crashes go first,
// those of convicted causes never.
func (l *Ledger) shrinkHistories() {
	if len(l.histories) < l.config.MaxHistories {
		return
	}
	all := slices.Collect(maps.Values(l.histories))
	all = slices.DeleteFunc(all, func(h *wire.CauseHistory) bool { return l.convicted[h.GetCause().GetFingerprint()] != nil })
	slices.SortFunc(all, func(a, b *wire.CauseHistory) int {
		return cmp.Or(cmp.Compare(len(a.GetCrashes()), len(b.GetCrashes())), cmp.Compare(lastCrash(a), lastCrash(b)),
			cmp.Compare(a.GetCause().GetFingerprint(), b.GetCause().GetFingerprint()))
	})
	for _, h := range all[:min(len(all), 1+l.config.MaxHistories/8)] { // several, so that this is rare
		delete(l.histories, h.GetCause().GetFingerprint())
	}
}

// lastCrash returns the time of the latest crash of a history, in Unix milliseconds.
func lastCrash(h *wire.CauseHistory) int64 {
	last := int64(0)
	for _, c := range h.GetCrashes() {
		last = max(last, c.GetAtMillis())
	}
	return last
}

// expireHistories drops the crashes that are remembered no longer.
func (l *Ledger) expireHistories(atMillis int64) {
	if atMillis < l.nextExpiry {
		return
	}
	memory := l.config.RepeatMemory.Milliseconds()
	l.nextExpiry = math.MaxInt64
	for fingerprint, h := range l.histories {
		h.Crashes = slices.DeleteFunc(h.GetCrashes(), func(c *wire.Crashed) bool { return atMillis-c.GetAtMillis() >= memory })
		if len(h.GetCrashes()) == 0 && l.convicted[fingerprint] == nil {
			delete(l.histories, fingerprint)
		}
		for _, c := range h.GetCrashes() {
			l.nextExpiry = min(l.nextExpiry, c.GetAtMillis()+memory)
		}
	}
}

// Histories returns what is remembered of causes for a snapshot, in ascending order of
// their fingerprints.
func (l *Ledger) Histories() []*wire.CauseHistory {
	return slices.SortedFunc(maps.Values(l.histories), func(a, b *wire.CauseHistory) int {
		return cmp.Compare(a.GetCause().GetFingerprint(), b.GetCause().GetFingerprint())
	})
}
