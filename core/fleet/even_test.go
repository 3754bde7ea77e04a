package fleet_test

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"tanagerroad"
	"tanagerroad/core/balance"
	"tanagerroad/core/fleet"
)

// evenFleet returns a fleet of n backend servers that evens the load.
func evenFleet(n, slots int) *fleet.Fleet {
	f := fleet.New(regions)
	f.SetBalance(balance.Even)
	var servers []tanagerroad.Announcement
	for i := range n {
		servers = append(servers, tanagerroad.Announcement{ID: fmt.Sprint("e", i), Pool: "m", Address: fmt.Sprint("e:", i), Zone: "z1", Slots: slots})
	}
	f.Update(servers)
	return f
}

func pickEven(f *fleet.Fleet, at time.Duration, tie uint64, parts ...string) fleet.Choice {
	req := fleet.Request{Pool: "m", From: tanagerroad.Place{Zone: "z1", Region: "north"}, TieBreak: tie * 0x9e3779b97f4a7c15}
	for _, part := range parts {
		req.PromptParts = append(req.PromptParts, tanagerroad.PromptPart{ID: part, Tokens: 5382})
	}
	choice, _ := f.Pick(at, req)
	return choice
}

// TestOldWorkFiguresCountForNothing guards against placements by a figure that changes many
// times a second: from 0.2 s on, the choices are the same whatever it was.
func TestOldWorkFiguresCountForNothing(t *testing.T) {
	// Two servers, of which e0 has reported that work takes four times as long.
	chosen := func(percent int, age time.Duration) (n int) {
		for tie := range uint64(400) {
			f := evenFleet(2, 64)
			f.RecordAnswer(time.Second, "e0", fleet.Outcome{Running: 10, Slots: 64, WorkPercent: percent})
			f.RecordAnswer(time.Second, "e1", fleet.Outcome{Running: 10, Slots: 64, WorkPercent: 100})
			if pickEven(f, time.Second+age, tie).ID == "e0" {
				n++
			}
		}
		return n
	}
	if usual, slow := chosen(100, 0), chosen(400, 0); slow > usual/2 {
		t.Errorf("a slow server is chosen %d times of 400 just after its report, %d when it is as usual", slow, usual)
	}
	for _, age := range []time.Duration{200 * time.Millisecond, time.Second} {
		for _, percent := range []int{0, 25, 400, 100000} {
			if usual, n := chosen(100, age), chosen(percent, age); n != usual {
				t.Errorf("%v after a figure of %d %%: chosen %d times of 400, %d with 100 %%", age, percent, n, usual)
			}
		}
	}
}

// TestFullServersDontLookFree guards against the faded share of old reports, by which a
// server that had been full looked free after 1.5 s.
func TestFullServersDontLookFree(t *testing.T) {
	const full = "e0"
	load := func(f *fleet.Fleet) (n int) {
		for i := range 6 {
			f.RecordAnswer(time.Second, fmt.Sprint("e", i), fleet.Outcome{Running: map[bool]int{true: 64, false: 10}[i == 0], Slots: 64})
		}
		for i := range uint64(100) {
			at := 3 * time.Second
			choice := pickEven(f, at, i)
			f.RecordEnd(at, choice.ID, fleet.Outcome{})
			if choice.ID == full {
				n++
			}
		}
		return n
	}
	if n := load(evenFleet(6, 64)); n > 0 {
		t.Errorf("a server that was full 2 s ago is chosen %d times of 100", n)
	}
	before := evenFleet(6, 64)
	before.SetBalance(balance.LowestCost)
	if n := load(before); n == 0 {
		t.Error("lowest-cost doesn't choose it either: the test shows nothing")
	}
}

// TestRequestsSentAfterAnAnswerAreNotInItsReport guards against a load of others that is
// too low, when requests were sent between the answered one and the arrival of its answer.
func TestRequestsSentAfterAnAnswerAreNotInItsReport(t *testing.T) {
	f := evenFleet(1, 64)
	first := pickEven(f, 0, 1)
	for i := range uint64(9) {
		pickEven(f, time.Millisecond, i)
	}
	// The report was made with the answer's head, when only the first request had come.
	f.RecordAnswer(100*time.Millisecond, "e0", fleet.Outcome{Running: 21, Slots: 64, InFlight: first.InFlight})
	if load := pickEven(f, 100*time.Millisecond, 1).Even.Load; load < 29.9 || load > 30.1 {
		t.Errorf("estimated load %.1f, want 20 of others and 10 of this gateway", load)
	}
}

// TestEvenPassesOverUnusableHomes guards against parts that are sent to a home that has
// failed, warms up or is excluded, and against a change of the homes of cold parts.
func TestEvenPassesOverUnusableHomes(t *testing.T) {
	f, cost := evenFleet(9, 64), evenFleet(9, 64)
	cost.SetBalance(balance.LowestCost)
	for part := range 50 {
		shared, at := fmt.Sprint("shared", part), time.Duration(part)*10*time.Second
		home := pickEven(f, at, 1, shared, "own")
		if want := pickEven(cost, at, 1, shared, "own"); home.ID != want.ID {
			t.Errorf("the home of part %d is %s, %s with lowest-cost", part, home.ID, want.ID)
		} else {
			cost.RecordEnd(at, want.ID, fleet.Outcome{})
		}
		f.RecordEnd(at, home.ID, fleet.Outcome{Failed: true})
		if next := pickEven(f, at, 2, shared, "own"); next.ID == home.ID {
			t.Errorf("part %d is sent to %s, which has just failed", part, home.ID)
		} else {
			f.RecordEnd(at, next.ID, fleet.Outcome{})
		}
	}
}

// BenchmarkPick measures a pick among 300 backend servers with 36 prompt parts, and the plan
// that is made once a second at 30 picks a second. cpu-ns/op is the time of the processor,
// which a busy machine lengthens less.
func BenchmarkPick(b *testing.B) {
	for _, policy := range balance.Policies {
		b.Run(policy, func(b *testing.B) {
			f := evenFleet(300, 64)
			f.SetBalance(policy)
			i := 0
			var before, after syscall.Rusage
			_ = syscall.Getrusage(syscall.RUSAGE_SELF, &before)
			for b.Loop() {
				i++
				at := time.Duration(i) * time.Second / 30
				choice := pickEven(f, at, uint64(i), fmt.Sprint("shared-", i%36), fmt.Sprint("own-", i))
				f.RecordAnswer(at, choice.ID, fleet.Outcome{Latency: 30 * time.Millisecond, Running: 20, Slots: 64, InFlight: choice.InFlight})
				f.RecordEnd(at, choice.ID, fleet.Outcome{})
			}
			_ = syscall.Getrusage(syscall.RUSAGE_SELF, &after)
			b.ReportMetric(float64(after.Utime.Nano()-before.Utime.Nano())/float64(b.N), "cpu-ns/op")
		})
	}
}
