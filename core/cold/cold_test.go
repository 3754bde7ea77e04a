package cold_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tanagerroad/core/cold"
	"tanagerroad/core/schedule"
)

func TestMain(m *testing.M) { schedule.Main(m, 300, 50) }

// TestSumIsBounded guards against gateways that each keep to their share and together exceed
// what a cold server takes: with any number of them, clocks up to a second apart, and demand
// that begins everywhere at once.
func TestSumIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0.2, 120).Draw(t, "rate")
		gateways := rapid.SampledFrom([]int{1, 2, 3, 12, 14, 17, 24, 27, 40, 105, 200}).Draw(t, "gateways")
		busyFrom := time.Duration(rapid.IntRange(0, 4000).Draw(t, "busy-from-ms")) * time.Millisecond
		d := cold.Divide(perSecond, gateways)
		if used := float64(d.Sharers) / d.Spacing.Seconds(); used < 0.8*perSecond || used > perSecond*1.000001 {
			t.Fatalf("%+v uses %g of %g", d, used, perSecond)
		}
		random := rapid.IntRange(0, 1000)
		var sent []time.Duration
		for rank := range gateways {
			late := time.Duration(random.Draw(t, "clock-ms")) * time.Millisecond
			var p cold.Pacer
			p.Start(late, 0, false, d, rank)
			for at := max(late, busyFrom); at < busyFrom+4*time.Second; at += 5 * time.Millisecond {
				if at >= p.Next(d) && d.ShareFrom(rank, at-late) == 0 {
					p.Take(at, d)
					sent = append(sent, at)
				}
			}
		}
		slices.Sort(sent)
		for i, first := range sent {
			// Two requests may be delivered with delays that differ by 0.1 s.
			if n, _ := slices.BinarySearch(sent[i:], first+1100*time.Millisecond); n > int(1.5*perSecond+5) {
				t.Fatalf("%d requests of %d gateways within a second at a rate of %g, allowed %g: %+v", n, gateways, perSecond, 1.5*perSecond+5, d)
			}
		}
	})
}

// TestSharesMove guards against gateways that never get a share while others, which may have
// no requests, keep theirs; and against lists of which one lacks a gateway, that disagree more
// the longer a server is cold.
func TestSharesMove(t *testing.T) {
	const gateways = 105
	all, fewer := cold.Divide(16, gateways), cold.Divide(16, gateways-1)
	had := map[int]bool{}
	for coldFor := time.Duration(0); coldFor < 3*gateways*time.Second; coldFor += 500 * time.Millisecond {
		sharing := 0
		for rank := range gateways {
			share := all.ShareFrom(rank, coldFor) == 0
			had[rank] = had[rank] || share
			if share || rank > 0 && fewer.ShareFrom(rank-1, coldFor) == 0 {
				sharing++
			}
		}
		if sharing > all.Sharers+2 {
			t.Fatalf("%d gateways have a share after %v, want %d and one or two whose list lacks a gateway", sharing, coldFor, all.Sharers)
		}
	}
	if len(had) != gateways || slices.Contains([]bool{had[0], had[50], had[104]}, false) {
		t.Errorf("%v had a share, want all %d gateways", had, gateways)
	}
	if from := all.ShareFrom(30, 0); from != 8*time.Second || all.ShareFrom(30, from) != 0 {
		t.Errorf("the share of the gateway at position 30 begins after %v, want 8s", from)
	}
}

// TestTwoOwnersAreBounded guards against a server that gets the whole rate from each of two
// owners of its pool's pieces.
func TestTwoOwnersAreBounded(t *testing.T) {
	for _, perSecond := range []float64{0.5, 1, 16, 50, 500} {
		if rate := cold.OwnerRate(perSecond); 2*(int(rate*1.1)+1) > cold.Bound(perSecond) || rate < 0.65*perSecond {
			t.Errorf("owners send %g a second each at a rate of %g", rate, perSecond)
		}
	}
}

// TestLateRequestTakesTheNextTurn guards against requests that took turns, were delayed by a
// frozen process or a slow connection, and are all sent then.
func TestLateRequestTakesTheNextTurn(t *testing.T) {
	d := cold.Divide(16, 3)
	var p cold.Pacer
	first := p.Take(0, d)
	second := p.Take(200*time.Millisecond, d)
	for _, c := range []struct {
		what  string
		at    time.Duration
		turn  uint64
		taken time.Duration
		share bool
		want  bool
	}{
		{"in time", 40 * time.Millisecond, first, 0, true, true},
		{"late, and there was a later turn", 900 * time.Millisecond, first, 0, true, false},
		{"late, without a share any more", 900 * time.Millisecond, second, 200 * time.Millisecond, false, false},
		{"late, with the latest turn", 900 * time.Millisecond, second, 200 * time.Millisecond, true, true},
	} {
		if got := p.Send(c.at, c.taken, c.turn, c.share); got != c.want {
			t.Errorf("%s: may be sent %t, want %t", c.what, got, c.want)
		}
	}
	if next := p.Next(d); next < 900*time.Millisecond+d.Gap {
		t.Errorf("the turn after a request sent at 900ms is at %v, want %v between them", next, d.Gap)
	}
	if p.Start(time.Second, 990*time.Millisecond, true, d, 0); p.Next(d) < 990*time.Millisecond+d.Gap {
		t.Errorf("the first turn at %v, although a request was sent at 990ms while the server was warm", p.Next(d))
	}
}

// TestTurnsAreSpread guards against gateways that all send when a server becomes cold, and
// against turns that are saved up while there are no requests.
func TestTurnsAreSpread(t *testing.T) {
	d := cold.Divide(16, 24)
	at, soon, later := 20*time.Second, 0, 0
	for rank := range 24 {
		var p cold.Pacer
		p.Start(0, 0, false, d, rank)
		if p.Next(d) < 200*time.Millisecond {
			soon++
		}
		for now := at; now < at+6*time.Second; now += 5 * time.Millisecond {
			if now >= p.Next(d) {
				p.Take(now, d)
				later++
			}
		}
	}
	if soon > 4 || later > 6*16+24 {
		t.Errorf("%d requests in the first 0.2 s, want 16 a second; %d in 6 s after a quiet time, want 96 and one of each gateway", soon, later)
	}
}
