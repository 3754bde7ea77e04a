package quarantine

import (
	"cmp"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerroad"
	"tanagerroad/core/wire"
)

const (
	// SurvivalTime is how long a backend server has to outlive a request, so that the
	// request is no reason for its end.
	SurvivalTime = time.Second
	// partSurvivalTime is the same for the parts of its prompt, which many requests share.
	partSurvivalTime = 300 * time.Millisecond
	// proofMemory is how long a run that a backend server outlived speaks for the causes of
	// its request: a crash within this time does not make them suspects.
	proofMemory = 5 * time.Second
	// clearInterval is the shortest time between two attempts to clear a cause.
	clearInterval = time.Second
)

const (
	maxParts = 32 // shared parts of one prompt that are considered, the last ones
	maxLabel = 80 // bytes of what a caller sent in a label
)

// Cause is something that a request has in common with others.
type Cause struct {
	Fingerprint uint64
	Label       string
	Exact       bool // one request, or its pieces, sent again: different requests do not share it
}

// ToWire returns the cause as reports and the registry hold it.
func (c Cause) ToWire() *wire.Cause {
	return &wire.Cause{Fingerprint: c.Fingerprint, Label: c.Label, Exact: c.Exact}
}

// Causes returns what may make a request crash backend servers, the narrowest cause first:
// the request itself, recognized by its path, workspace, prompt and body, and the parts of
// its prompt. The last part of a prompt belongs to the request alone.
func Causes(path, workspace string, body []byte, parts []tanagerroad.PromptPart) []Cause {
	digest := xxhash.New()
	fields := []string{"request", path, workspace}
	for _, p := range parts {
		fields = append(fields, p.ID)
	}
	_, _ = digest.WriteString(strings.Join(fields, "\x00") + "\x00") // never fails
	_, _ = digest.Write(body)
	out := []Cause{{Fingerprint: digest.Sum64(), Label: "request to " + truncate(path), Exact: true}}
	for i := len(parts) - 2; i >= max(0, len(parts)-1-maxParts); i-- {
		out = append(out, Cause{Fingerprint: xxhash.Sum64String("part\x00" + parts[i].ID), Label: "prompt part " + truncate(parts[i].ID)})
	}
	return out
}

// truncate returns the beginning of a text that a caller sent, for a label.
func truncate(text string) string { return strings.ToValidUTF8(text[:min(len(text), maxLabel)], "") }

// PieceCause returns what may make the pieces of one stage of a request crash the backend
// servers of a pool, given the request's own cause: other stages may be sound, and the same
// stage may run in another pool after a change of the configuration.
func PieceCause(request Cause, pool string, stage int) Cause {
	fields := []string{"pieces", pool, strconv.Itoa(stage), strconv.FormatUint(request.Fingerprint, 16)}
	return JobCause(xxhash.Sum64String(strings.Join(fields, "\x00")))
}

const pieceLabel = "pieces of a request"

// JobCause returns the cause of a job of pieces that was submitted with a fingerprint.
func JobCause(fingerprint uint64) Cause {
	return Cause{Fingerprint: fingerprint, Label: pieceLabel, Exact: true}
}

// DifferentRequest returns a cause that tells requests apart which are convicted elsewhere,
// by their own fingerprints: a ledger counts how many different ones share another cause.
func DifferentRequest(fingerprint uint64) Cause {
	return Cause{Fingerprint: xxhash.Sum64String("different\x00" + strconv.FormatUint(fingerprint, 16)), Label: "request"}
}

// PrefixCause returns the cause that requests have in common whose inputs begin alike.
// digest is the digest of that beginning; 0: the input is too short, and there is none.
func PrefixCause(digest uint64) Cause {
	if digest == 0 {
		return Cause{}
	}
	text := strconv.FormatUint(digest, 16)
	return Cause{Fingerprint: xxhash.Sum64String("prefix\x00" + text), Label: "input prefix " + text}
}

// entry is a suspect or convicted cause in a view.
type entry struct {
	*wire.Conviction
	since     time.Duration // when the view learned of it, or of its latest trial
	clearedAt time.Duration // when the gateway last asked to clear it; 0: never
}

// View is what one gateway knows of the quarantine, and of the runs that backend servers
// have outlived.
type View struct {
	duration time.Duration
	version  uint64
	entries  map[uint64]*entry
	proven   map[uint64]time.Duration // time of the latest run that speaks for a cause, by fingerprint
	ended    []EndedRun               // within SurvivalTime, oldest first
	checked  int                      // number of them that ended longer than partSurvivalTime ago
}

// NewView returns an empty view. duration is how long a conviction lasts that does not say
// so itself: a view that hears of no change drops it.
func NewView(duration time.Duration) *View {
	return &View{duration: duration, entries: map[uint64]*entry{}, proven: map[uint64]time.Duration{}}
}

// Apply replaces the entries by those of a control instance, unless the view holds newer
// ones. It returns the causes to clear, since backend servers have just outlived requests
// with them.
func (v *View) Apply(at time.Duration, q *wire.Quarantine) (changed bool, clearable []uint64) {
	if q.GetVersion() <= v.version {
		return false, nil
	}
	v.version = q.GetVersion()
	previous := v.entries
	v.entries = map[uint64]*entry{}
	for _, c := range q.GetConvictions() {
		e := &entry{Conviction: c, since: at}
		if old := previous[c.GetFingerprint()]; old != nil {
			e.clearedAt = old.clearedAt
			if old.GetSinceMillis() == c.GetSinceMillis() {
				e.since = old.since
			}
		}
		v.entries[c.GetFingerprint()] = e
		if v.isProven(at, c.GetFingerprint()) {
			clearable = append(clearable, c.GetFingerprint())
		}
	}
	return true, clearable
}

// Verdict is what a view says of a request.
type Verdict struct {
	Convicted bool
	Guilty    bool          // more speaks against the cause than that it was in flight at crashes
	Cause     Cause         // the first convicted one
	Left      time.Duration // until the next trial of the cause; at most 0: one is due
}

// Check returns the verdict on a request with the given causes. The cause with the
// fingerprint exempt, of which the request is a trial, does not count; 0 exempts none.
func (v *View) Check(at time.Duration, causes []Cause, exempt uint64) Verdict {
	if len(v.entries) == 0 {
		return Verdict{}
	}
	for _, c := range causes {
		e := v.entries[c.Fingerprint]
		if e == nil || !e.GetConvicted() || c.Fingerprint == exempt || at-e.since >= v.keep(e) {
			continue
		}
		return Verdict{Convicted: true, Guilty: e.GetTrialWaitMillis() > 0, Cause: c, Left: max(e.since+trialDelay(e.Conviction), v.othersTriedUntil(e)) - at}
	}
	return Verdict{}
}

// othersTriedUntil returns when the trials end beside which that of an undecided cause is not
// granted, or 0.
func (v *View) othersTriedUntil(e *entry) time.Duration {
	var until time.Duration
	if !e.GetUndecided() {
		return until
	}
	for _, other := range v.entries {
		if other.GetUndecided() && other.GetTrial() {
			until = max(until, other.since+trialDelay(other.Conviction))
		}
	}
	return until
}

// keep returns how long a conviction lasts in the view.
func (v *View) keep(e *entry) time.Duration {
	return cmp.Or(time.Duration(e.GetKeepMillis())*time.Millisecond, v.duration)
}

// Suspects returns those causes of a request that was in flight at a crash, or had just
// ended, that may have brought it about: no backend server has just outlived another
// request with them.
func (v *View) Suspects(at time.Duration, causes []Cause) []Cause {
	var out []Cause
	for _, c := range causes {
		if !v.isProven(at, c.Fingerprint) {
			out = append(out, c)
		}
	}
	return out
}

func (v *View) isProven(at time.Duration, fingerprint uint64) bool {
	proven, ok := v.proven[fingerprint]
	return ok && at-proven <= proofMemory
}

// Expire drops the proofs that no longer count.
func (v *View) Expire(at time.Duration) {
	for fingerprint, proven := range v.proven {
		if at-proven > proofMemory {
			delete(v.proven, fingerprint)
		}
	}
}
