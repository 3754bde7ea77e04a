package quantile_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"tanagerroad/core/quantile"
)

// TestEstimateFollowsDistribution guards against an estimate that stays where it was after
// the samples have changed.
func TestEstimateFollowsDistribution(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, fraction := range []float64{0.3, 0.5, 0.8} {
		e := quantile.New(fraction, 20*time.Millisecond, 0)
		for _, scale := range []time.Duration{time.Second, 200 * time.Millisecond} {
			var sum time.Duration
			const settling, samples = 400, 1000
			for i := range settling + samples {
				e.Add(time.Duration(random.Float64() * float64(scale)))
				if i >= settling {
					sum += e.Value()
				}
			}
			want := time.Duration(fraction * float64(scale))
			if got := sum / samples; (got - want).Abs() > scale/10 {
				t.Errorf("quantile %g of samples up to %v: %v, want about %v", fraction, scale, got, want)
			}
		}
	}
}
