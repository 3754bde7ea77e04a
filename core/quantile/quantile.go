// Package quantile estimates a quantile of a stream of durations in constant memory, by
// stochastic approximation. The estimate follows a distribution that changes.
package quantile

import "time"

// Estimate is an estimate of one quantile.
type Estimate struct {
	// Fraction of the samples that are below the quantile, between 0 and 1.
	Fraction float64
	// Step is the largest change of the estimate for one sample.
	Step  time.Duration
	value time.Duration
}

// New returns an estimate that starts at initial.
func New(fraction float64, step, initial time.Duration) *Estimate {
	return &Estimate{Fraction: fraction, Step: step, value: initial}
}

// Add adds a sample.
func (e *Estimate) Add(sample time.Duration) {
	if sample > e.value {
		e.value += time.Duration(e.Fraction * float64(min(e.Step, sample-e.value)))
		return
	}
	e.value -= time.Duration((1 - e.Fraction) * float64(min(e.Step, e.value-sample)))
}

// Value returns the estimate.
func (e *Estimate) Value() time.Duration { return e.value }
