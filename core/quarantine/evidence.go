package quarantine

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"tanagerroad/core/wire"
)

// How strongly a crash speaks against requests that were all waiting for their answers,
// and against those whose answers flowed.
const (
	waitingEvidence = 0.5
	flowingEvidence = 0.5
)

// crash is the crash of a backend server, with an index of the causes that were in flight.
type crash struct {
	*wire.CrashReport
	digest         uint64             // identifies it
	waiting, begun int                // requests without an event, by whether their answers had begun
	members        map[uint64]*member // by fingerprint
}

// member is a cause that was in flight at a crash.
type member struct {
	cause                  *wire.Cause
	rank                   int // its place among the causes of a request, the narrowest one first
	waiting, begun, flowed bool
	requests               []uint64 // fingerprints of the narrowest causes of the requests with it
}

func newCrash(report *wire.CrashReport) *crash {
	c := &crash{CrashReport: report, digest: startDigest(report), members: map[uint64]*member{}}
	for _, s := range report.GetSuspects() {
		c.index(s)
	}
	return c
}

// index adds a request of the report to the index.
func (c *crash) index(s *wire.CrashSuspect) {
	waiting := !s.GetFlowed() && !s.GetBegun()
	begun := !s.GetFlowed() && s.GetBegun()
	if waiting {
		c.waiting++
	}
	if begun {
		c.begun++
	}
	for rank, cause := range s.GetCauses() {
		m := c.members[cause.GetFingerprint()]
		if m == nil {
			m = &member{cause: cause}
			c.members[cause.GetFingerprint()] = m
		}
		m.rank = max(m.rank, rank)
		m.requests = append(m.requests, s.GetCauses()[0].GetFingerprint())
		m.waiting, m.begun, m.flowed = m.waiting || waiting, m.begun || begun, m.flowed || s.GetFlowed()
	}
}

// silence returns how strongly the crash speaks against a request that had got no event, 0
// if another one is more likely: a server that has begun to answer a request is more likely
// to crash over it than over one that waits.
func (c *crash) silence(m *member) float64 {
	switch {
	case m.begun:
		return 1 / float64(c.begun)
	case m.waiting && c.begun == 0:
		return waitingEvidence / float64(c.waiting)
	}
	return 0
}

// remove removes a cause.
func (c *crash) remove(fingerprint uint64) {
	delete(c.members, fingerprint)
	for _, s := range c.GetSuspects() {
		s.Causes = slices.DeleteFunc(s.GetCauses(), func(cause *wire.Cause) bool { return cause.GetFingerprint() == fingerprint })
	}
}

// crashOf returns the crash that a report is about, which happened at a Unix time in
// milliseconds unless it is known already.
func (l *Ledger) crashOf(atMillis int64, report *wire.CrashReport) *crash {
	digest := startDigest(report)
	if i := slices.IndexFunc(l.crashes, func(c *crash) bool { return c.digest == digest }); i >= 0 {
		return l.crashes[i]
	}
	c := newCrash(&wire.CrashReport{Server: report.GetServer(), Start: report.GetStart(), AtMillis: atMillis})
	i, _ := slices.BinarySearchFunc(l.crashes, atMillis+1, func(c *crash, at int64) int { return cmp.Compare(c.GetAtMillis(), at) })
	l.crashes = slices.Insert(l.crashes, i, c)
	for len(l.crashes) > l.config.MaxCrashes {
		l.dropOldest()
	}
	return c
}

// addSuspect adds a request to a crash.
func (l *Ledger) addSuspect(c *crash, s *wire.CrashSuspect) {
	s = proto.CloneOf(s)
	c.Suspects = append(c.Suspects, s)
	c.index(s)
	for _, cause := range s.GetCauses() {
		l.addToCause(cause.GetFingerprint(), c)
	}
}

// addToCause records that a cause was in flight at a crash.
func (l *Ledger) addToCause(fingerprint uint64, c *crash) {
	in := l.byCause[fingerprint]
	if slices.Contains(in, c) {
		return
	}
	i, _ := slices.BinarySearchFunc(in, c.GetAtMillis()+1, func(c *crash, at int64) int { return cmp.Compare(c.GetAtMillis(), at) })
	l.byCause[fingerprint] = slices.Insert(in, i, c)
	if len(in) > 0 {
		l.common[fingerprint] = true
	}
}

// dropOldest drops the oldest crash.
func (l *Ledger) dropOldest() {
	oldest := l.crashes[0]
	l.crashes = l.crashes[1:]
	for fingerprint := range oldest.members {
		rest := slices.DeleteFunc(l.byCause[fingerprint], func(c *crash) bool { return c == oldest })
		l.byCause[fingerprint] = rest
		if len(rest) == 0 {
			delete(l.byCause, fingerprint)
		}
		if len(rest) < 2 {
			delete(l.common, fingerprint)
		}
	}
}

// evaluation is what the crashes to a certain time come to.
type evaluation struct {
	ledger         *Ledger
	outage         map[*crash]int   // crashes of about the same time count as one; those that do not count are missing
	size           []int            // crashes of each outage
	explainedSince []int            // outages that are explained, from each one to the last
	counts         map[uint64]int   // outages of a cause, by fingerprint
	weights        map[*crash][]int // of its requests, see share
}

// evaluate returns what the crashes come to that happened no later than untilMillis and are
// not explained. Those that count as one are left out together if the last was later.
func (l *Ledger) evaluate(untilMillis int64, explained map[uint64]bool) *evaluation {
	e := &evaluation{ledger: l, outage: map[*crash]int{}, counts: map[uint64]int{}, weights: map[*crash][]int{}}
	for _, o := range l.outages(untilMillis) {
		all := 1
		for _, c := range o {
			if !explained[c.digest] {
				e.outage[c] = len(e.size)
				all = 0
			}
		}
		e.size = append(e.size, len(o))
		e.explainedSince = append(e.explainedSince, all)
	}
	for i := len(e.explainedSince) - 2; i >= 0; i-- {
		e.explainedSince[i] += e.explainedSince[i+1]
	}
	return e
}

// outages returns the crashes that happened no later than untilMillis, those of about the
// same time together.
func (l *Ledger) outages(untilMillis int64) [][]*crash {
	var out [][]*crash
	for first := 0; first < len(l.crashes); {
		last := first + 1
		for last < len(l.crashes) && l.crashes[last].GetAtMillis()-l.crashes[first].GetAtMillis() < l.config.Coincidence.Milliseconds() {
			last++
		}
		if l.crashes[last-1].GetAtMillis() <= untilMillis {
			out = append(out, l.crashes[first:last])
		}
		first = last
	}
	return out
}

// count returns the number of outages that a cause was in, which may have been over it.
func (e *evaluation) count(fingerprint uint64) int {
	if n, ok := e.counts[fingerprint]; ok {
		return n
	}
	n, last := 0, -1
	for _, c := range e.ledger.byCause[fingerprint] {
		if o, ok := e.outage[c]; ok && o != last && c.mayBe(c.members[fingerprint]) {
			n, last = n+1, o
		}
	}
	e.counts[fingerprint] = n
	return n
}

// mayBe reports whether the crash may have been over a cause.
func (c *crash) mayBe(m *member) bool { return m.flowed || c.silence(m) > 0 }

// suspicion is a cause with the crashes that speak against it.
type suspicion struct {
	cause    *wire.Cause
	rank     int     // its place among the causes of a request, the narrowest one first
	outages  int     // crashes at different times
	silent   int     // those of them in which a request with it had got no event
	servers  int     // starts of backend servers that crashed
	requests int     // different requests with it
	evidence float64 // of the crashes in silent; a crash that nothing else can explain counts 1
	coverage float64 // share of the outages since the first of them that it was in
	lastMs   int64   // time of the latest of them
}

// suspicion returns what the crashes say of a cause. Those of an outage speak the less
// against it the more of them it does not explain.
func (e *evaluation) suspicion(fingerprint uint64) suspicion {
	out := suspicion{outages: e.count(fingerprint)}
	requests := map[uint64]bool{}
	first, lastSilent := -1, -1
	for _, c := range e.ledger.byCause[fingerprint] {
		o, ok := e.outage[c]
		m := c.members[fingerprint]
		if !ok || !c.mayBe(m) {
			continue
		}
		out.cause, out.rank, out.lastMs = m.cause, max(out.rank, m.rank), c.GetAtMillis()
		out.servers++
		for _, r := range m.requests {
			requests[r] = true
		}
		if first < 0 {
			first = o
			out.coverage = float64(out.outages) / float64(len(e.size)-e.explainedSince[o]-o)
		}
		silence := c.silence(m)
		if silence > 0 && lastSilent != o {
			out.silent, lastSilent = out.silent+1, o
		}
		out.evidence += silence / float64(e.size[o])
	}
	out.requests = len(requests)
	return out
}

// flowing returns how strongly the crashes speak against a cause in which answers to it
// flowed.
func (e *evaluation) flowing(fingerprint uint64) float64 {
	out := 0.0
	for _, c := range e.ledger.byCause[fingerprint] {
		m := c.members[fingerprint]
		if o, ok := e.outage[c]; ok && m.flowed && c.silence(m) == 0 {
			out += flowingEvidence * e.share(c, fingerprint) / float64(e.size[o])
		}
	}
	return out
}

// share returns how much of a crash is put down to the requests with a cause: the more the
// more outages one of a request's causes has been in.
func (e *evaluation) share(c *crash, fingerprint uint64) float64 {
	weights, ok := e.weights[c]
	if !ok {
		weights = make([]int, len(c.GetSuspects()))
		for i, s := range c.GetSuspects() {
			most := 0
			for _, cause := range s.GetCauses() {
				most = max(most, e.count(cause.GetFingerprint()))
			}
			weights[i] = most * most
		}
		e.weights[c] = weights
	}
	own, all := 0, 0
	for i, s := range c.GetSuspects() {
		all += weights[i]
		if slices.ContainsFunc(s.GetCauses(), func(cause *wire.Cause) bool { return cause.GetFingerprint() == fingerprint }) {
			own += weights[i]
		}
	}
	if all == 0 {
		return 0
	}
	return float64(own) / float64(all)
}

// recurrence returns the number of outages that a cause was in, times their share of all
// since the first of them.
func (s *suspicion) recurrence() float64 { return float64(s.outages) * s.coverage }

// speaksAgainst reports whether crashes before an event speak so strongly against a cause
// that no trial is needed.
func (e *evaluation) speaksAgainst(s *suspicion) bool {
	c := e.ledger.config
	return s.recurrence() >= c.MinRecurrence &&
		(s.silent >= c.MinCrashes && s.evidence >= c.MinEvidence || s.silent >= c.ManyCrashes && s.evidence >= c.ManyEvidence)
}

// flowsAgainst reports the same of crashes in some of which answers flowed. A request by
// itself is tried instead.
func (e *evaluation) flowsAgainst(s *suspicion) bool {
	c := e.ledger.config
	often := s.outages >= c.ManyCrashes || s.outages >= c.MinCrashes && s.servers >= c.ManyServers
	if s.cause.GetExact() || !often || s.requests < c.MinCrashes || s.recurrence() < c.FlowingRecurrence {
		return false
	}
	s.evidence += e.flowing(s.cause.GetFingerprint())
	return s.evidence >= c.FlowingEvidence
}

// culprit returns the cause that the crashes speak against most, of those that meet a
// condition. Of several it chooses the narrowest one, which takes the fewest other requests
// with it.
func (e *evaluation) culprit(meets func(*suspicion) bool) (suspicion, bool) {
	best, found := suspicion{}, false
	for fingerprint := range e.ledger.common {
		if e.ledger.isGuilty(fingerprint) || e.count(fingerprint) < e.ledger.config.MinCrashes {
			continue
		}
		s := e.suspicion(fingerprint)
		if meets(&s) && (!found || cmp.Or(
			cmp.Compare(s.rank, best.rank), cmp.Compare(best.evidence, s.evidence),
			cmp.Compare(fingerprint, best.cause.GetFingerprint()),
		) < 0) {
			best, found = s, true
		}
	}
	if found && !best.cause.GetExact() {
		best = e.widest(best)
	}
	return best, found
}

// widest returns the cause that was in the most crashes, if that is more than the culprit
// was in, at as many outages and equally narrow; a narrower one may be in equally many. A
// sound part that many requests have is in many of the crashes of another one; convicted
// first, it would explain these, and a part of all prompts would take all requests with it.
func (e *evaluation) widest(culprit suspicion) suspicion {
	best := culprit
	for fingerprint := range e.ledger.common {
		if e.ledger.isGuilty(fingerprint) || e.count(fingerprint) < culprit.outages {
			continue
		}
		s := e.suspicion(fingerprint)
		more := s.servers > culprit.servers || s.servers == culprit.servers && s.rank < culprit.rank
		if s.rank > culprit.rank || s.cause.GetExact() || s.requests < e.ledger.config.MinCrashes || !more {
			continue
		}
		s.evidence += e.flowing(fingerprint)
		if cmp.Or(
			cmp.Compare(best.servers, s.servers), cmp.Compare(s.rank, best.rank), cmp.Compare(best.outages, s.outages),
			cmp.Compare(best.evidence, s.evidence), cmp.Compare(fingerprint, best.cause.GetFingerprint()),
		) < 0 {
			best = s
		}
	}
	return best
}

// Suspect is what the ledger holds against a cause that is not convicted.
type Suspect struct {
	Label    string
	Outages  int     // crashes at different times
	Servers  int     // starts of backend servers that crashed
	Evidence float64 // a crash that nothing else can explain counts 1
}

// Strongest returns the cause that is in the most crashes, of several that with the most
// evidence. The label is empty if no cause is in more than one.
func (l *Ledger) Strongest() Suspect {
	var best Suspect
	e := l.evaluate(maxMillis, l.explained())
	for fingerprint := range l.common {
		if l.convicted[fingerprint] != nil || e.count(fingerprint) == 0 {
			continue
		}
		s := e.suspicion(fingerprint)
		next := Suspect{Label: s.cause.GetLabel(), Outages: s.outages, Servers: max(s.servers, len(l.histories[fingerprint].GetCrashes())), Evidence: s.evidence + e.flowing(fingerprint)}
		if cmp.Or(cmp.Compare(next.Servers, best.Servers), cmp.Compare(next.Evidence, best.Evidence), cmp.Compare(next.Label, best.Label)) > 0 {
			best = next
		}
	}
	return best
}
