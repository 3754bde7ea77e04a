package batch_test

import (
	"testing"
	"time"

	"tanagerroad"
	"tanagerroad/core/batch"
)

// TestJobsRunTogetherAfterCrash guards against a piece that crashes one backend server
// after the other together with the pieces beside it, so that neither can be told from the
// other: after a crash each job of the call is run by itself.
func TestJobsRunTogetherAfterCrash(t *testing.T) {
	p := batch.New(tanagerroad.PieceTraits{Slots: 1, MaxBatch: 8, CallTime: 200 * time.Millisecond, PieceTime: time.Millisecond})
	var servers []tanagerroad.Announcement
	for _, id := range []string{"a", "b", "c", "d"} {
		servers = append(servers, tanagerroad.Announcement{ID: id, Pool: "p", Address: id + ":1", Zone: "z"})
	}
	p.SetServers(0, servers)
	at := time.Duration(0)
	add := func(id string) {
		p.Add(at, &batch.Job{ID: id, Request: id, Pieces: []int{0, 1}, Deadline: at + 10*time.Second, Due: at + 2*time.Second})
	}
	for _, id := range []string{"1", "2", "3", "4"} {
		add(id)
	}
	first, ok := p.Next(at)
	if !ok || len(first.Jobs()) != 4 {
		t.Fatalf("the first call: %v, %+v, want all four jobs", ok, first)
	}
	at += 100 * time.Millisecond
	first.Crashed = true
	p.Complete(at, first, nil, false)
	add("5")
	ran := map[string]bool{}
	for range 100 {
		at += 20 * time.Millisecond
		call, ok := p.Next(at)
		if !ok {
			continue
		}
		jobs := call.Jobs()
		if len(jobs) != 1 {
			t.Errorf("a call with %d jobs after the crash, want one", len(jobs))
		}
		outcomes := make([]tanagerroad.PieceOutcome, len(call.Pieces))
		for i := range outcomes {
			outcomes[i].Handle = jobs[0].ID
		}
		ran[jobs[0].ID] = true
		p.Complete(at, call, outcomes, false)
	}
	if len(ran) != 5 {
		t.Errorf("%d jobs ran, want 5: %v", len(ran), ran)
	}

	add("6")
	call, _ := p.Next(at + time.Second)
	call.Crashed, call.GiveUp = true, true
	if results := p.Complete(at+time.Second, call, nil, false); len(results) != 2 || p.QueueLen() != 0 {
		t.Errorf("a call that is given up: %d results and %d pieces queued, want 2 and none", len(results), p.QueueLen())
	}
}
