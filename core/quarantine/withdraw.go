package quarantine

import (
	"cmp"
	"slices"
)

// withdraw withdraws the convictions of causes whose crashes another one explains, with
// crashes in which they were not: their requests are refused in vain. It returns the other
// cause, which is to be convicted instead.
func (l *Ledger) withdraw(settled *evaluation) (suspicion, bool) {
	best, found := suspicion{}, false
	if len(l.convicted) == 0 {
		return best, false
	}
	all := l.evaluate(maxMillis, nil)
	for fingerprint := range l.common {
		if !l.isRival(settled, fingerprint) {
			continue
		}
		s := all.suspicion(fingerprint)
		if s.cause.GetExact() || s.requests < l.config.MinCrashes || len(l.includedIn(all, &s)) == 0 {
			continue
		}
		if !found || cmp.Or(cmp.Compare(best.servers, s.servers), cmp.Compare(fingerprint, best.cause.GetFingerprint())) < 0 {
			best, found = s, true
		}
	}
	if found {
		for _, fingerprint := range l.includedIn(all, &best) {
			l.forget(fingerprint)
		}
	}
	return best, found
}

// isRival reports whether a cause that is not convicted goes on crashing servers. One
// outage may have another reason; after MinCrashes another sound part may be convicted.
func (l *Ledger) isRival(settled *evaluation, fingerprint uint64) bool {
	return l.convicted[fingerprint] == nil && settled.count(fingerprint) >= l.config.MinCrashes-1
}

// includedIn returns the guilty causes, as narrow as another one, that were in no crash
// without it.
func (l *Ledger) includedIn(all *evaluation, other *suspicion) []uint64 {
	var out []uint64
	for fingerprint := range l.convicted {
		if !l.isGuilty(fingerprint) || all.count(fingerprint) == 0 {
			continue
		}
		s := all.suspicion(fingerprint)
		if s.rank == other.rank && !s.cause.GetExact() && l.includes(other.cause.GetFingerprint(), fingerprint) {
			out = append(out, fingerprint)
		}
	}
	return out
}

// includes reports whether a cause was in all crashes of a convicted one, which are
// remembered for longer.
func (l *Ledger) includes(fingerprint, convicted uint64) bool {
	for _, c := range l.histories[convicted].GetCrashes() {
		if !slices.ContainsFunc(l.byCause[fingerprint], func(other *crash) bool { return other.digest == c.GetStart() }) {
			return false
		}
	}
	return true
}
