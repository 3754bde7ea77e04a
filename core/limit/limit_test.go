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

// TestBudgetIsBounded: extra attempts never exceed the burst and the ratio.
func TestBudgetIsBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const ratio, burst = 0.1, 5.0
		b := limit.NewBudget(ratio, burst)
		first, extra := 0, 0
		for range rapid.IntRange(1, 500).Draw(rt, "steps") {
			if rapid.Bool().Draw(rt, "first") {
				b.First()
				first++
			} else if b.Extra() {
				extra++
			}
		}
		if float64(extra) > burst+ratio*float64(first)+1e-9 {
			rt.Fatalf("%d extra attempts beside %d first ones", extra, first)
		}
	})
}

// TestBurstOfOneWorkspaceHurtsNobodyElse: while one workspace asks without
// end, the others get in up to their share.
func TestBurstOfOneWorkspaceHurtsNobodyElse(t *testing.T) {
	s := limit.NewShares(100)
	s.SetShares(map[string]float64{"large": 50, "small": 20})
	for range 1000 {
		s.Admit("large")
	}
	for range 40 {
		s.Late() // the system is full and shows it
	}
	full := s.InFlight()
	if s.Admit("large") {
		t.Error("a workspace beyond its share got in although the system is full")
	}
	for range 30 {
		s.Leave("large")
	}
	got := 0
	for range 100 {
		if s.Admit("small") {
			got++
		}
	}
	if fair := s.Limit() * 20 / 100; got < fair {
		t.Errorf("of %d in flight the small workspace got %d in, want its share of %d", full, got, fair)
	}
}

func TestSharesNeverExceedTheHardBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const most = 20
		s := limit.NewShares(most)
		s.SetShares(map[string]float64{"a": 40, "b": 30})
		in := map[string]int{}
		for range 300 {
			w := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(rt, "workspace")
			switch rapid.IntRange(0, 3).Draw(rt, "what") {
			case 0, 1:
				if s.Admit(w) {
					in[w]++
				}
			case 2:
				if in[w] > 0 {
					in[w]--
					s.Leave(w)
				}
			case 3:
				s.Late()
			}
			if s.InFlight() > most || s.Limit() < 1 {
				rt.Fatalf("%d in flight under a limit of %d", s.InFlight(), s.Limit())
			}
		}
	})
}

// TestKneeIsFound: a server whose latency grows beyond 8 at once, with service
// times that vary by a third.
func TestKneeIsFound(t *testing.T) {
	const slots = 8
	random := rand.New(rand.NewPCG(1, 2))
	k := limit.NewKnee(32, 32)
	var limits []int
	for range 20000 {
		n := k.Limit()
		limits = append(limits, n)
		latency := 10 * math.Exp(0.3*random.NormFloat64())
		if n > slots {
			latency *= float64(n) / slots
		}
		k.Sample(time.Duration(latency*float64(time.Millisecond)), n-1)
	}
	// The median, since a probe holds half the limit for a moment.
	latest := slices.Sorted(slices.Values(limits[len(limits)-1000:]))
	if got := latest[len(latest)/2]; got < slots || got > 2*slots+1 {
		t.Errorf("the limit came to %d, want between %d and %d", got, slots, 2*slots+1)
	}
}

func TestRetryAfterSpreadsThoseWhoComeBack(t *testing.T) {
	seen := map[time.Duration]bool{}
	for i := range uint64(64) {
		d := limit.RetryAfter(time.Second, i*0x9E3779B97F4A7C15)
		if d < time.Second || d > 2*time.Second {
			t.Fatalf("retry after %s for a wait of one second", d)
		}
		seen[d] = true
	}
	if len(seen) < 48 {
		t.Errorf("64 callers come back at %d moments only", len(seen))
	}
}
