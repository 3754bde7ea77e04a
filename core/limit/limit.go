// Package limit decides how much work to take on: a budget for retries and
// hedges, shares between workspaces, a concurrency limit that finds its knee,
// and a retry-after that spreads those who come back. All of it is pure; the
// caller passes the time and does the locking.
package limit

import (
	"math"
	"time"
)

// Budget allows extra attempts in proportion to first attempts.
type Budget struct {
	ratio, most, tokens float64
}

// NewBudget allows ratio extra attempts for each first attempt, and at most
// burst of them saved up.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, most: burst, tokens: burst}
}

// First counts a first attempt.
func (b *Budget) First() { b.tokens = math.Min(b.most, b.tokens+b.ratio) }

// Extra takes one extra attempt, or reports that none is left.
func (b *Budget) Extra() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Shares divides admission between workspaces. While fewer requests than the
// limit are in flight all are admitted; beyond it only workspaces below their
// share, up to a hard bound.
type Shares struct {
	limit    float64
	floor    float64
	hard     int
	inFlight int
	by       map[string]int
	shares   map[string]float64 // percent
}

// NewShares starts with a limit of most requests in flight, which Late lowers
// and OnTime raises again.
func NewShares(most int) *Shares {
	return &Shares{limit: float64(most), floor: math.Min(8, float64(most)), hard: most, by: map[string]int{}, shares: map[string]float64{}}
}

// SetShares replaces the workspaces' percentages.
func (s *Shares) SetShares(shares map[string]float64) { s.shares = shares }

// Limit is the present limit.
func (s *Shares) Limit() int { return int(s.limit) }

// InFlight is the number of requests admitted and not yet ended.
func (s *Shares) InFlight() int { return s.inFlight }

// Admit counts a request in, or refuses it.
func (s *Shares) Admit(workspace string) bool {
	if s.inFlight >= s.hard {
		return false
	}
	full := float64(s.inFlight) >= s.limit
	if full && float64(s.by[workspace]) >= s.fair(workspace) {
		return false
	}
	s.inFlight++
	s.by[workspace]++
	return true
}

// fair is the number in flight that a workspace may always hold. Workspaces
// without a share of their own divide what the table leaves.
func (s *Shares) fair(workspace string) float64 {
	if share, ok := s.shares[workspace]; ok {
		return math.Max(1, s.limit*share/100)
	}
	left, others := 100.0, 1.0
	for _, share := range s.shares {
		left -= share
	}
	for w := range s.by {
		if _, listed := s.shares[w]; !listed && w != workspace {
			others++
		}
	}
	return math.Max(1, s.limit*left/100/others)
}

// Leave counts a request out.
func (s *Shares) Leave(workspace string) {
	s.inFlight--
	s.by[workspace]--
	if s.by[workspace] <= 0 {
		delete(s.by, workspace)
	}
}

// Steps of the admission limit: down quickly when requests miss their
// deadline, up slowly while they meet it.
const (
	lateFactor = 0.98
	onTimeStep = 0.5
)

// Late says that a request missed its deadline or was turned away downstream.
func (s *Shares) Late() {
	s.limit = math.Max(s.floor, math.Min(s.limit, float64(s.inFlight))*lateFactor)
}

// OnTime says that a request ended within its deadline.
func (s *Shares) OnTime() { s.limit = math.Min(float64(s.hard), s.limit+onTimeStep) }

// Knee is a concurrency limit that rises while latency stays near its floor
// and falls when more concurrency only adds waiting. From time to time it holds
// half the limit for a few samples, since the floor shows only there.
type Knee struct {
	limit, least, most float64
	floor              time.Duration // mean latency at half the limit; 0: not known yet
	smooth             time.Duration
	samples            int           // since the last probe ended
	probe              int           // samples left of the present probe
	sum                time.Duration // of the probe's later half
}

// Constants of the knee search.
const (
	kneeTolerance = 1.6 // latency over the floor that still counts as free
	kneeSmoothing = 0.1 // weight of a new latency
	kneeDown      = 0.1 // taken off for each sample that waited
	probeEvery    = 200 // samples between probes
	probeSamples  = 40  // that a probe lasts; its first half lets the load sink
)

// NewKnee starts at start concurrent attempts and stays within 1 and most.
func NewKnee(start, most int) *Knee {
	return &Knee{limit: float64(start), least: 1, most: float64(most)}
}

// Limit is the number of attempts to run at once.
func (k *Knee) Limit() int {
	if k.probe > 0 {
		return max(1, int(k.limit/2))
	}
	return max(1, int(k.limit))
}

// Sample takes the latency of one attempt that ran beside inFlight others.
func (k *Knee) Sample(latency time.Duration, inFlight int) {
	if k.probe > 0 {
		k.sampleProbe(latency)
		return
	}
	if k.samples++; k.samples > probeEvery && k.limit > k.least {
		k.samples, k.probe, k.sum = 0, probeSamples, 0
		return
	}
	if k.smooth == 0 {
		k.smooth = latency
	}
	k.smooth += time.Duration(kneeSmoothing * float64(latency-k.smooth))
	switch {
	case k.floor > 0 && float64(k.smooth) > kneeTolerance*float64(k.floor):
		k.limit = math.Max(k.least, k.limit-kneeDown)
	case inFlight+1 >= k.Limit():
		k.limit = math.Min(k.most, k.limit+1/k.limit)
	}
}

func (k *Knee) sampleProbe(latency time.Duration) {
	k.probe--
	if k.probe < probeSamples/2 {
		k.sum += latency
	}
	if k.probe == 0 {
		k.floor = k.sum / (probeSamples / 2)
		k.smooth = 0
	}
}

// Bounds of the retry-after.
const (
	leastRetryAfter = 100 * time.Millisecond
	mostRetryAfter  = 30 * time.Second
)

// RetryAfter spreads those who come back: the expected wait, and up to as much
// again by the request's own digest.
func RetryAfter(wait time.Duration, digest uint64) time.Duration {
	wait = min(max(wait, leastRetryAfter), mostRetryAfter)
	spread := float64(digest%1024) / 1024
	return wait + time.Duration(spread*float64(wait))
}
