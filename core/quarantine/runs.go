package quarantine

import (
	"slices"
	"time"

	"tanagerroad"
)

// EndedRun is a run of a request, or of pieces, at a backend server, which ended without
// the server. Within SurvivalTime of its end the server may still crash over it.
type EndedRun struct {
	At     time.Duration
	Server tanagerroad.Announcement
	Causes []Cause
	// Proof says that the run speaks for its causes if the server outlives it: it began at
	// the beginning, and its answer was whole.
	Proof bool
}

// RecordEnd records a run that has ended.
func (v *View) RecordEnd(r EndedRun) { v.ended = append(v.ended, r) }

// HasEnded reports whether there are runs that Due has yet to return.
func (v *View) HasEnded() bool { return len(v.ended) > 0 }

// Survival is a run that its backend server may have outlived long enough to speak for some
// causes.
type Survival struct {
	EndedRun
	SpeaksFor []Cause
	Last      bool // it ended SurvivalTime ago, and is forgotten
}

// Due returns the runs that ended SurvivalTime ago, which it forgets, and those that ended
// partSurvivalTime ago and speak for parts of prompts.
func (v *View) Due(at time.Duration) []Survival {
	var out []Survival
	for ; v.checked < len(v.ended) && at-v.ended[v.checked].At >= partSurvivalTime; v.checked++ {
		r := v.ended[v.checked]
		if parts := causesOf(r, false); r.Proof && len(parts) > 0 {
			out = append(out, Survival{EndedRun: r, SpeaksFor: parts})
		}
	}
	for len(v.ended) > 0 && at-v.ended[0].At >= SurvivalTime {
		r := v.ended[0]
		v.ended, v.checked = v.ended[1:], v.checked-1
		s := Survival{EndedRun: r, Last: true}
		if r.Proof {
			s.SpeaksFor = causesOf(r, true)
		}
		out = append(out, s)
	}
	return out
}

// causesOf returns the causes of a run that are exact, or those that are not.
func causesOf(r EndedRun, exact bool) []Cause {
	var out []Cause
	for _, c := range r.Causes {
		if c.Exact == exact {
			out = append(out, c)
		}
	}
	return out
}

// TakeEnded returns the runs that ended at a backend server within SurvivalTime, with the
// causes that they do not speak for yet, and forgets them: the server has crashed.
func (v *View) TakeEnded(server tanagerroad.Announcement) []EndedRun {
	var out, rest []EndedRun
	checked := 0
	for i, r := range v.ended {
		if r.Server.ID == server.ID && r.Server.StartMillis == server.StartMillis {
			if i < v.checked {
				r.Causes = causesOf(r, true)
			}
			out = append(out, r)
			continue
		}
		if i < v.checked {
			checked++
		}
		rest = append(rest, r)
	}
	v.ended, v.checked = rest, checked
	return out
}

// RecordSurvival records that a backend server has outlived a run. It returns the causes to
// clear.
func (v *View) RecordSurvival(at time.Duration, causes []Cause) (clearable []uint64) {
	for _, c := range causes {
		v.proven[c.Fingerprint] = at
		if e := v.entries[c.Fingerprint]; e != nil && (e.clearedAt == 0 || at-e.clearedAt > clearInterval) {
			e.clearedAt = at
			clearable = append(clearable, c.Fingerprint)
		}
	}
	return clearable
}

// IsListed reports whether one of the causes is suspected or convicted.
func (v *View) IsListed(causes []Cause) bool {
	return slices.ContainsFunc(causes, func(c Cause) bool { return v.entries[c.Fingerprint] != nil })
}
