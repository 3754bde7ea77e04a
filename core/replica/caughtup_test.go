package replica_test

import (
	"testing"

	"tanagerroad/core/wire"
)

// TestStaleReplicaIsTakenForCaughtUp guards against a replica that has restarted and says
// that it has caught up, although it has not applied what its leader has committed.
func TestStaleReplicaIsTakenForCaughtUp(t *testing.T) {
	r := newFollower(threeVoters, entry(1, 1), entry(2, 2))
	if r.CaughtUp() {
		t.Error("caught up before any message")
	}
	at := heartbeat
	appendTo := func(index, logTerm, commit uint64, entries ...*wire.Entry) {
		r.Step(at, &wire.Message{Kind: "append", From: "b", To: "a", Term: 3, Index: index, LogTerm: logTerm, Commit: commit, Entries: entries})
	}
	for i, c := range []struct {
		send func()
		want bool
	}{
		{func() { appendTo(2, 2, 1) }, false},              // the leader doesn't know yet what earlier leaders have committed
		{func() { appendTo(2, 2, 6, entry(3, 3)) }, false}, // more follows
		{func() { appendTo(3, 3, 6, entry(4, 3), entry(5, 3), entry(6, 3)) }, true},
		{func() { appendTo(6, 3, 6, entry(7, 3)) }, true}, // not committed yet
		{func() {
			r.Step(at, &wire.Message{Kind: "vote", From: "c", To: "a", Term: 4, Index: 7, LogTerm: 3, Granted: true})
		}, false},
	} {
		c.send()
		if r.CaughtUp() != c.want {
			t.Errorf("message %d: caught up %t, want %t", i, r.CaughtUp(), c.want)
		}
	}
	leader := newFollower(threeVoters, entry(1, 1), entry(2, 2))
	at = electLeader(t, leader)
	if leader.CaughtUp() {
		t.Error("a new leader has caught up before it has committed an entry of its term")
	}
	ack(leader, at, "b", 3, 0)
	if !leader.CaughtUp() {
		t.Error("a leader that has committed an entry of its term has not caught up")
	}
}
