package limit_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tanagerroad/core/limit"
)

// TestBudgetIsBounded checks that extra attempts never exceed the burst plus the
// ratio times the first attempts.
func TestBudgetIsBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const ratio, burst = 0.1, 5.0
		b := limit.NewBudget(ratio, burst)
		first, extra := 0, 0
		for range rapid.IntRange(1, 500).Draw(rt, "steps") {
			if rapid.Bool().Draw(rt, "first") {
				b.RecordFirst()
				first++
			} else if b.TakeExtra() {
				extra++
			}
		}
		if float64(extra) > burst+ratio*float64(first)+1e-9 {
			rt.Fatalf("%d extra attempts for %d first attempts exceed the budget", extra, first)
		}
	})
}

// TestBurstOfOneWorkspaceLeavesOthersTheirShare checks that while one workspace
// exceeds its share, the others are still admitted up to theirs.
func TestBurstOfOneWorkspaceLeavesOthersTheirShare(t *testing.T) {
	a := limit.NewAdmission(100)
	a.SetShares(map[string]float64{"large": 50, "small": 20})
	for range 1000 {
		a.Admit("large")
	}
	for range 40 {
		a.LowerLimit() // an overloaded system misses deadlines
	}
	full := a.InFlight()
	if a.Admit("large") {
		t.Error("a request of a workspace above its share was admitted at the limit")
	}
	for range 30 {
		a.Release("large")
	}
	got := 0
	for range 100 {
		if a.Admit("small") {
			got++
		}
	}
	if share := a.Limit() * 20 / 100; got < share {
		t.Errorf("with %d requests in flight, %d requests of the small workspace were admitted, want its share of %d", full, got, share)
	}
}

func TestSharesNeverExceedMaxInFlight(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const maxInFlight = 20
		a := limit.NewAdmission(maxInFlight)
		a.SetShares(map[string]float64{"a": 40, "b": 30})
		inFlight := map[string]int{}
		for range 300 {
			w := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(rt, "workspace")
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0, 1:
				if a.Admit(w) {
					inFlight[w]++
				}
			case 2:
				if inFlight[w] > 0 {
					inFlight[w]--
					a.Release(w)
				}
			case 3:
				a.LowerLimit()
			}
			if a.InFlight() > maxInFlight || a.Limit() < 1 {
				rt.Fatalf("%d requests in flight and a limit of %d", a.InFlight(), a.Limit())
			}
		}
	})
}

// TestLimitConvergesToServerSlots simulates a server whose latency grows with more
// than 8 concurrent attempts and whose service times vary by about a third.
func TestLimitConvergesToServerSlots(t *testing.T) {
	const slots = 8
	random := rand.New(rand.NewPCG(1, 2))
	a := limit.NewAdaptive(32, 32)
	var limits []int
	for range 20000 {
		n := a.Limit()
		limits = append(limits, n)
		latency := 10 * math.Exp(0.3*random.NormFloat64())
		if n > slots {
			latency *= float64(n) / slots
		}
		a.Observe(time.Duration(latency*float64(time.Millisecond)), n-1)
	}
	// Use the median, because a probe briefly halves the limit.
	latest := slices.Sorted(slices.Values(limits[len(limits)-1000:]))
	if got := latest[len(latest)/2]; got < slots || got > 2*slots+1 {
		t.Errorf("the limit converged to %d, want between %d and %d", got, slots, 2*slots+1)
	}
}

func TestRetryAfterSpreadsRetries(t *testing.T) {
	seen := map[time.Duration]bool{}
	for i := range uint64(64) {
		d := limit.RetryAfter(time.Second, i*0x9E3779B97F4A7C15)
		if d < time.Second || d > 2*time.Second {
			t.Fatalf("got a retry-after of %s for an expected wait of 1s, want between 1s and 2s", d)
		}
		seen[d] = true
	}
	if len(seen) < 48 {
		t.Errorf("64 callers got only %d distinct retry-after times, want at least 48", len(seen))
	}
}
