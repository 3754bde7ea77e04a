package batch_test

import (
	"testing"
	"time"

	"tanagerroad"
	"tanagerroad/core/batch"
)

// TestColdServerGetsCallsSpaced guards against a cold server that gets calls as fast as it
// ends them, and against one that is limited after it is warm.
func TestColdServerGetsCallsSpaced(t *testing.T) {
	p := batch.New(tanagerroad.PieceTraits{Slots: 8, MaxBatch: 1, CallTime: 20 * time.Millisecond, PieceTime: time.Millisecond, ResultTTL: 4 * time.Second})
	servers := []tanagerroad.Announcement{{ID: "i-1", Pool: "p", StartMillis: 10, State: tanagerroad.Serving}}
	p.SetServers(0, servers)
	p.SetCold(0, "i-1", 10, 10, 2*time.Second)
	pieces := make([]int, 200)
	for i := range pieces {
		pieces[i] = i
	}
	p.Add(0, &batch.Job{ID: "job", Pieces: pieces, Due: time.Minute, Deadline: time.Minute})
	cold, warm := 0, 0
	for at := time.Duration(0); at < 3*time.Second; at += time.Millisecond {
		call, ok := p.Next(at)
		if !ok {
			continue
		}
		p.Complete(at, call, []tanagerroad.PieceOutcome{{Handle: at.String()}}, false)
		if at < 2*time.Second {
			cold++
		} else {
			warm++
		}
	}
	if cold < 18 || cold > 20 || warm < 100 {
		t.Errorf("%d calls in 2 s at 10 a second, and %d in the second after, want 19 and all the rest", cold, warm)
	}
}
