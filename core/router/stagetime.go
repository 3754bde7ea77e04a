package router

import "time"

// Constants of learned stage times.
const (
	timeWeight   = 0.1                   // of a new time in the running mean
	timeHalfLife = 2 * time.Second       // a mean counts half after it, so that refusing all does not last
	lateFactor   = 4                     // mean deviations over the mean after which a call is late
	leastLate    = 20 * time.Millisecond // and never sooner than
	leastTimes   = 8                     // times learned before a call can be late
)

// stageTime is the learned time of one stage, its queueing included.
type stageTime struct {
	mean, deviation time.Duration
	times           int
	at              time.Duration // of the latest
}

func (t *stageTime) learn(at, took time.Duration) {
	t.at = at
	t.times++
	if t.times == 1 {
		t.mean, t.deviation = took, took/2
		return
	}
	t.mean += time.Duration(timeWeight * float64(took-t.mean))
	t.deviation += time.Duration(timeWeight * float64((took-t.mean).Abs()-t.deviation))
}

// expect is the time to plan with: the learned mean, fading towards the
// table's guess while nothing new is learned.
func (t *stageTime) expect(at, guess time.Duration) time.Duration {
	if t.times == 0 {
		return guess
	}
	if t.mean < guess {
		return t.mean
	}
	weight := 1 / (1 + float64(at-t.at)/float64(timeHalfLife))
	return guess + time.Duration(weight*float64(t.mean-guess))
}

// late is how long a call may take before a hedge is worth it; 0 while too
// little is known.
func (t *stageTime) late() time.Duration {
	if t.times < leastTimes {
		return 0
	}
	return max(leastLate, t.mean+lateFactor*t.deviation)
}
