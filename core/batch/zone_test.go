package batch_test

import (
	"testing"
	"time"

	"tanagerroad"
	"tanagerroad/core/batch"
)

// TestLargePullIsMadeInItsZone: of jobs that would pull much over zones, a backend
// server takes one of its own zone although another is due a little earlier, but
// not one that is due much later.
func TestLargePullIsMadeInItsZone(t *testing.T) {
	for _, c := range []struct {
		later time.Duration
		pull  int
		want  string
	}{
		{400 * time.Millisecond, 300 << 10, "near"},
		{2 * time.Second, 300 << 10, "far"},
		{400 * time.Millisecond, 10 << 10, "far"},
		{50 * time.Millisecond, 10 << 10, "near"},
	} {
		p := batch.New(tanagerroad.PieceTraits{Slots: 1, Batch: 4, Call: 200 * time.Millisecond, Item: 10 * time.Millisecond, Keep: 4 * time.Second})
		p.Update(0, []tanagerroad.Announcement{{ID: "i-1", Pool: "p", Zone: "a", State: tanagerroad.Serving}})
		due := 5 * time.Second
		for id, job := range map[string]batch.Job{
			"far":  {Zone: "b", Due: due},
			"near": {Zone: "a", Due: due + c.later},
		} {
			job.ID, job.Pieces, job.Pull, job.Deadline = id, []int{0, 1, 2}, c.pull, 20*time.Second
			if ok, _ := p.Add(0, &job); !ok {
				t.Fatal("a job was refused")
			}
		}
		call, ok := p.Next(time.Second)
		if !ok {
			t.Fatal("no call")
		}
		if got := call.Pieces[0].Job.ID; got != c.want {
			t.Errorf("due %s later, pulling %d bytes: %s was taken first, want %s", c.later, c.pull, got, c.want)
		}
	}
}
