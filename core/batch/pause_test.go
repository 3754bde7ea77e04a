package batch_test

import (
	"testing"
	"time"

	"tanagerroad"
	"tanagerroad/core/batch"
)

// TestPausedServerGetsCalls guards against calls to a backend server that wants none for a
// time, and against a pool that forgets to start them afterwards.
func TestPausedServerGetsCalls(t *testing.T) {
	p := batch.New(tanagerroad.PieceTraits{Slots: 1, MaxBatch: 4, CallTime: 200 * time.Millisecond, PieceTime: 10 * time.Millisecond, ResultTTL: 4 * time.Second})
	servers := []tanagerroad.Announcement{{ID: "i-1", Pool: "p", StartMillis: 10, State: tanagerroad.Serving}}
	p.SetServers(0, servers)
	p.Pause(servers[0], 2*time.Second)
	add := func(id string, deadline time.Duration) bool {
		ok, _ := p.Add(0, &batch.Job{ID: id, Pieces: []int{0}, Due: deadline, Deadline: deadline})
		return ok
	}
	if add("late", time.Second) {
		t.Error("a job was accepted although its only backend server is paused beyond the deadline")
	}
	if !add("job", 5*time.Second) {
		t.Fatal("a job was rejected although it can run after the pause")
	}
	if call, ok := p.Next(time.Second); ok {
		t.Errorf("a call to %s during its pause", call.Server.ID)
	}
	if wake, ok := p.NextWake(time.Second); !ok || wake > 2*time.Second {
		t.Errorf("the next call is due at %v (%t), want 2s", wake, ok)
	}
	if _, ok := p.Next(2 * time.Second); !ok {
		t.Error("no call after the pause")
	}
	servers[0].StartMillis = 20
	p.SetServers(0, servers)
	p.Pause(tanagerroad.Announcement{ID: "i-1", StartMillis: 10}, 9*time.Second)
	add("next", 20*time.Second)
	if _, ok := p.Next(3 * time.Second); !ok {
		t.Error("a pause of the start before keeps calls from the next one")
	}
}
