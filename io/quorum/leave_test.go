package quorum_test

import (
	"context"
	"testing"
	"time"
)

// TestStopKeepsItsVote guards against an instance that stops as planned while its vote, which
// the others can spare, still counts, and against one that is not told that it may stop.
func TestStopKeepsItsVote(t *testing.T) {
	all, _, leader := startCluster(t, 4)
	const bound = 5 * time.Second
	for _, leaver := range []int{leader, (leader + 1) % 4} {
		ctx, cancel := context.WithTimeout(t.Context(), bound)
		started := time.Now()
		all[leaver].Leave(ctx)
		if took := time.Since(started); took > bound/2 {
			t.Errorf("instance %d was told after %v that it may stop", leaver, took)
		}
		cancel()
		voters := 4
		for _, q := range all {
			voters = min(voters, len(q.View().Members))
		}
		if voters != 3 {
			t.Errorf("%d members after instance %d may stop, want 3: the first vote is spared, the second is needed", voters, leaver)
		}
	}
}
