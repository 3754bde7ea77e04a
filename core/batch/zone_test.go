package batch_test

import (
	"testing"
	"time"

	"tanagerroad"
	"tanagerroad/core/batch"
)

// TestLargeTransferRunsInItsZone checks that a backend server prefers a job of
// its own zone to one with a large transfer between zones that is due a little
// earlier, but not to one that is due much earlier. With a small transfer it
// does so only up to a smaller difference between the due times.
func TestLargeTransferRunsInItsZone(t *testing.T) {
	for _, c := range []struct {
		later         time.Duration
		transferBytes int
		want          string
	}{
		{400 * time.Millisecond, 300 << 10, "near"},
		{2 * time.Second, 300 << 10, "far"},
		{400 * time.Millisecond, 10 << 10, "far"},
		{50 * time.Millisecond, 10 << 10, "near"},
	} {
		p := batch.New(tanagerroad.PieceTraits{Slots: 1, MaxBatch: 4, CallTime: 200 * time.Millisecond, PieceTime: 10 * time.Millisecond, ResultTTL: 4 * time.Second})
		p.SetServers(0, []tanagerroad.Announcement{{ID: "i-1", Pool: "p", Zone: "a", State: tanagerroad.Serving}})
		due := 5 * time.Second
		for id, job := range map[string]batch.Job{
			"far":  {Zone: "b", Due: due},
			"near": {Zone: "a", Due: due + c.later},
		} {
			job.ID, job.Pieces, job.CrossZoneBytes, job.Deadline = id, []int{0, 1, 2}, c.transferBytes, 20*time.Second
			if ok, _ := p.Add(0, &job); !ok {
				t.Fatal("Add rejected a job")
			}
		}
		call, ok := p.Next(time.Second)
		if !ok {
			t.Fatal("Next returned no call")
		}
		if got := call.Pieces[0].Job.ID; got != c.want {
			t.Errorf("due %s later, %d bytes between zones: %s was taken first, want %s", c.later, c.transferBytes, got, c.want)
		}
	}
}
