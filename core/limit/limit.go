// Package limit decides how much work to accept: a budget for retries and
// hedges, admission control with a share for each workspace, an adaptive
// concurrency limit, and jittered retry-after times. It reads no clock and is not
// safe for concurrent use; the caller passes durations and does the locking.
package limit

import (
	"math"
	"time"
)

// Budget is a token bucket that limits extra attempts (retries and hedges) to a
// proportion of first attempts.
type Budget struct {
	ratio, max, tokens float64
}

// NewBudget returns a full budget that gains ratio tokens for each first attempt
// and holds at most burst tokens. Each extra attempt costs one token.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, max: burst, tokens: burst}
}

// RecordFirst records a first attempt.
func (b *Budget) RecordFirst() { b.tokens = math.Min(b.max, b.tokens+b.ratio) }

// TakeExtra takes a token for one extra attempt. It returns false if none is
// available.
func (b *Budget) TakeExtra() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Admission controls admission and divides it fairly between workspaces. Below
// the adaptive limit on requests in flight, all requests are admitted; at or above
// it, only those of workspaces below their share, up to a fixed maximum.
type Admission struct {
	limit      float64
	minLimit   float64
	maxLimit   int
	inFlight   int
	inFlightBy map[string]int
	shares     map[string]float64 // percent of the limit, by workspace
}

// NewAdmission starts with a limit of maxInFlight requests in flight, which is also
// its maximum. Missed deadlines lower the limit, but not below 8 (or maxInFlight,
// if that is smaller), and met deadlines raise it again.
func NewAdmission(maxInFlight int) *Admission {
	return &Admission{limit: float64(maxInFlight), minLimit: math.Min(8, float64(maxInFlight)), maxLimit: maxInFlight, inFlightBy: map[string]int{}, shares: map[string]float64{}}
}

// SetShares replaces the shares of all workspaces, in percent.
func (a *Admission) SetShares(shares map[string]float64) { a.shares = shares }

// Limit returns the current limit on requests in flight.
func (a *Admission) Limit() int { return int(a.limit) }

// InFlight returns the number of requests admitted and not yet ended.
func (a *Admission) InFlight() int { return a.inFlight }

// Admit reports whether a request is admitted, and counts it as in flight if so.
func (a *Admission) Admit(workspace string) bool {
	if a.inFlight >= a.maxLimit {
		return false
	}
	full := float64(a.inFlight) >= a.limit
	if full && float64(a.inFlightBy[workspace]) >= a.guaranteed(workspace) {
		return false
	}
	a.inFlight++
	a.inFlightBy[workspace]++
	return true
}

// guaranteed returns how many requests a workspace may have in flight even when
// the limit is reached. Workspaces without a configured share divide the
// unassigned percentage equally.
func (a *Admission) guaranteed(workspace string) float64 {
	if share, ok := a.shares[workspace]; ok {
		return math.Max(1, a.limit*share/100)
	}
	unassigned, sharers := 100.0, 1.0
	for _, share := range a.shares {
		unassigned -= share
	}
	for w := range a.inFlightBy {
		if _, listed := a.shares[w]; !listed && w != workspace {
			sharers++
		}
	}
	return math.Max(1, a.limit*unassigned/100/sharers)
}

// Release records that an admitted request ended.
func (a *Admission) Release(workspace string) {
	a.inFlight--
	a.inFlightBy[workspace]--
	if a.inFlightBy[workspace] <= 0 {
		delete(a.inFlightBy, workspace)
	}
}

// Adjustments of the admission limit: it falls multiplicatively when requests
// miss their deadline, and rises additively while they meet it.
const (
	decreaseFactor = 0.98
	increaseStep   = 0.5
)

// LowerLimit lowers the limit, starting from the number of requests in flight if
// that is lower than the limit. It is called for a request that missed its deadline
// or was rejected downstream.
func (a *Admission) LowerLimit() {
	a.limit = math.Max(a.minLimit, math.Min(a.limit, float64(a.inFlight))*decreaseFactor)
}

// RaiseLimit raises the limit. It is called for a request that met its deadline.
func (a *Admission) RaiseLimit() { a.limit = math.Min(float64(a.maxLimit), a.limit+increaseStep) }

// Adaptive is an adaptive concurrency limit that searches for the knee of the
// latency curve: it rises while latency stays near its baseline and falls when more
// concurrency only adds queueing. Every probeEvery samples it halves the limit for
// a short probe, because the baseline can be measured only without queueing.
type Adaptive struct {
	limit, minLimit, maxLimit float64
	baseline                  time.Duration // mean latency at half the limit; 0: not measured yet
	meanLatency               time.Duration
	sinceProbe                int           // samples since the last probe ended
	probeRemaining            int           // samples remaining in the current probe
	probeSum                  time.Duration // sum of latencies in the probe's second half
}

// Parameters of the search for the concurrency limit.
const (
	latencyTolerance = 1.6 // ratio of mean latency to baseline above which the limit falls
	latencyWeight    = 0.1 // weight of a new sample in the mean latency
	limitDecrease    = 0.1 // subtracted from the limit for each sample above the tolerance
	probeEvery       = 200 // samples between probes
	probeSamples     = 40  // length of a probe; the first half is discarded while the load drains
)

// NewAdaptive returns a limit that starts at start concurrent attempts and stays
// between 1 and maxLimit.
func NewAdaptive(start, maxLimit int) *Adaptive {
	return &Adaptive{limit: float64(start), minLimit: 1, maxLimit: float64(maxLimit)}
}

// Limit returns the number of attempts to run at once.
func (a *Adaptive) Limit() int {
	if a.probeRemaining > 0 {
		return max(1, int(a.limit/2))
	}
	return max(1, int(a.limit))
}

// Observe records the latency of one attempt and adjusts the limit. inFlight is the
// number of other attempts that were running with it.
func (a *Adaptive) Observe(latency time.Duration, inFlight int) {
	if a.probeRemaining > 0 {
		a.sampleProbe(latency)
		return
	}
	if a.sinceProbe++; a.sinceProbe > probeEvery && a.limit > a.minLimit {
		a.sinceProbe, a.probeRemaining, a.probeSum = 0, probeSamples, 0
		return
	}
	if a.meanLatency == 0 {
		a.meanLatency = latency
	}
	a.meanLatency += time.Duration(latencyWeight * float64(latency-a.meanLatency))
	switch {
	case a.baseline > 0 && float64(a.meanLatency) > latencyTolerance*float64(a.baseline):
		a.limit = math.Max(a.minLimit, a.limit-limitDecrease)
	case inFlight+1 >= a.Limit():
		a.limit = math.Min(a.maxLimit, a.limit+1/a.limit)
	}
}

// sampleProbe records a sample of a probe; the last one sets the new baseline.
func (a *Adaptive) sampleProbe(latency time.Duration) {
	a.probeRemaining--
	if a.probeRemaining < probeSamples/2 {
		a.probeSum += latency
	}
	if a.probeRemaining == 0 {
		a.baseline = a.probeSum / (probeSamples / 2)
		a.meanLatency = 0
	}
}

// Bounds of the wait that RetryAfter starts from, before jitter.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// RetryAfter returns how long a rejected caller should wait before it retries:
// the expected wait, plus up to as much again as jitter. The jitter is derived
// from digest, a hash or a seed of the request, so that it is deterministic for a
// request and spreads the retries of different requests.
func RetryAfter(wait time.Duration, digest uint64) time.Duration {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	jitter := float64(digest%1024) / 1024
	return wait + time.Duration(jitter*float64(wait))
}
