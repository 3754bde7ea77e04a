package router

import "time"

// Parameters of the measured stage times.
const (
	sampleWeight    = 0.1                   // weight of a new time in the running mean
	meanHalfLife    = 2 * time.Second       // age at which a mean counts half; without it, a high mean could refuse all requests for good, since none would be measured
	hedgeDeviations = 4                     // a call is hedged after the mean plus this many mean deviations
	minHedgeDelay   = 20 * time.Millisecond // a call is never hedged earlier
	minHedgeSamples = 8                     // measured times needed before calls are hedged
)

// stageTime is the running mean of the time that one stage takes, including the time
// in queues.
type stageTime struct {
	mean, deviation time.Duration // deviation is the mean absolute deviation
	samples         int
	updatedAt       time.Duration // time of the latest sample
}

func (t *stageTime) add(at, duration time.Duration) {
	t.updatedAt = at
	t.samples++
	if t.samples == 1 {
		t.mean, t.deviation = duration, duration/2
		return
	}
	t.mean += time.Duration(sampleWeight * float64(duration-t.mean))
	t.deviation += time.Duration(sampleWeight * float64((duration-t.mean).Abs()-t.deviation))
}

// expected returns the time to plan with. It is the measured mean, or the configured
// time if there is no sample. A mean above the configured time returns to it
// gradually while no samples are added.
func (t *stageTime) expected(at, configured time.Duration) time.Duration {
	if t.samples == 0 {
		return configured
	}
	if t.mean < configured {
		return t.mean
	}
	weight := 1 / (1 + float64(at-t.updatedAt)/float64(meanHalfLife))
	return configured + time.Duration(weight*float64(t.mean-configured))
}

// hedgeDelay returns how long a call may take before it is hedged, or 0 if there are
// too few samples to tell.
func (t *stageTime) hedgeDelay() time.Duration {
	if t.samples < minHedgeSamples {
		return 0
	}
	return max(minHedgeDelay, t.mean+hedgeDeviations*t.deviation)
}
