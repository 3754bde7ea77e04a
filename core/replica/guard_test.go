package replica_test

import (
	"testing"
	"time"

	"tanagerroad/core/replica"
	"tanagerroad/core/wire"
)

// The tests here put one replica before exactly the message that a guard is
// for; random schedules reach some of these seldom.

var trio = []*wire.Member{
	{Id: "a", Address: "a0", Voter: true}, {Id: "b", Address: "b0", Voter: true}, {Id: "c", Address: "c0", Voter: true},
}

func entry(index, term uint64) *wire.Entry { return &wire.Entry{Index: index, Term: term} }

// follower is replica a, in term 2, with entries of terms 1 and 2.
func follower(members []*wire.Member, entries ...*wire.Entry) *replica.Replica {
	return replica.New(replica.Config{
		ID: "a", Address: "a0", Election: election, Beat: beat, Seed: 1, Entries: 8, Chunk: 1 << 10,
	}, 0, replica.Stored{
		Hard: &wire.HardState{Term: 2}, Snapshot: &wire.SnapshotMark{Members: members}, Entries: entries,
	})
}

// tick lets the time from one moment to another pass, beat by beat.
func tick(r *replica.Replica, from, to time.Duration) {
	for ; from < to; from += beat {
		r.Tick(from)
	}
	r.Tick(to)
}

// lead makes replica a the leader of the next term and returns the time.
func lead(t *testing.T, r *replica.Replica) time.Duration {
	t.Helper()
	at := 10 * election
	tick(r, 0, at)
	term := r.Term() + 1
	r.Step(at, &wire.Message{Kind: "pre-vote-reply", From: "b", To: "a", Term: term, Granted: true})
	r.Step(at, &wire.Message{Kind: "vote-reply", From: "b", To: "a", Term: term, Granted: true})
	if r.Role() != replica.Leader {
		t.Fatalf("a is %s, want leader", r.Role())
	}
	r.Take()
	return at
}

func ack(r *replica.Replica, at time.Duration, from string, index, round uint64) {
	r.Step(at, &wire.Message{Kind: "append-reply", From: from, To: "a", Term: r.Term(), Granted: true, Index: index, Round: round})
}

func last(messages []*wire.Message, kind string) *wire.Message {
	var found *wire.Message
	for _, m := range messages {
		if m.GetKind() == kind {
			found = m
		}
	}
	return found
}

func TestVoteNeedsAnUpToDateLog(t *testing.T) {
	for _, c := range []struct {
		name         string
		index, term  uint64
		wantGranted  bool
		wantRecorded bool
	}{
		{"shorter log", 1, 2, false, false},
		{"longer log of an older term", 9, 1, false, false},
		{"as good", 2, 2, true, true},
	} {
		r := follower(trio, entry(1, 1), entry(2, 2))
		r.Step(10*election, &wire.Message{Kind: "vote", From: "b", To: "a", Term: 3, Index: c.index, LogTerm: c.term})
		out := r.Take()
		if got := last(out.Send, "vote-reply").GetGranted(); got != c.wantGranted {
			t.Errorf("%s: granted %v, want %v", c.name, got, c.wantGranted)
		}
		recorded := false
		for _, rec := range out.Save {
			recorded = recorded || rec.GetHardState().GetVote() == "b"
		}
		if recorded != c.wantRecorded {
			t.Errorf("%s: vote recorded %v, want %v", c.name, recorded, c.wantRecorded)
		}
	}
}

func TestMessageToAnEarlierIdentityIsDropped(t *testing.T) {
	r := follower(trio)
	r.Step(10*election, &wire.Message{Kind: "vote", From: "b", To: "a-before", Term: 3})
	if out := r.Take(); !out.Empty() {
		t.Errorf("a answered for the identity that was at its address before: %v", out.Send)
	}
}

func TestEntryOfAnEarlierTermIsNotCommittedByCount(t *testing.T) {
	r := follower(trio, entry(1, 1), entry(2, 2))
	at := lead(t, r)
	ack(r, at, "b", 2, 0)
	if r.Commit() != 0 {
		t.Errorf("commit is %d although only entries of earlier terms are on a majority", r.Commit())
	}
	ack(r, at, "b", 3, 0)
	if r.Commit() != 3 {
		t.Errorf("commit is %d, want 3, with the leader's own entry on a majority", r.Commit())
	}
}

func TestReadWaitsForOwnTermAndAQuorum(t *testing.T) {
	r := follower(trio, entry(1, 1))
	at := lead(t, r)
	r.Read(7)
	if out := r.Take(); len(out.Failed) != 1 || len(out.Reads) != 0 {
		t.Errorf("a read before the leader's own entry is committed: %v served, %v failed", out.Reads, out.Failed)
	}
	ack(r, at, "b", 2, 0)
	r.Take()
	r.Read(8)
	round := last(r.Take().Send, "append").GetRound()
	ack(r, at, "b", 2, round-1)
	if out := r.Take(); len(out.Reads) != 0 {
		t.Error("a read was served on the word of an earlier round")
	}
	ack(r, at, "b", 2, round)
	if out := r.Take(); len(out.Reads) != 1 {
		t.Error("a read that a quorum confirmed was not served")
	}
}

func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	r := follower(trio)
	at := lead(t, r)
	tick(r, at, at+election+beat)
	if r.Role() == replica.Leader {
		t.Error("a still leads although it heard nobody for an election's time")
	}
}

func TestWhoHearsALeaderUnseatsNobody(t *testing.T) {
	r := follower(trio)
	r.Step(0, &wire.Message{Kind: "append", From: "b", To: "a", Term: 2})
	r.Take()
	r.Step(beat, &wire.Message{Kind: "pre-vote", From: "c", To: "a", Term: 9})
	if last(r.Take().Send, "pre-vote-reply").GetGranted() {
		t.Error("a pre-vote was granted while a leader is heard")
	}
	r.Step(beat, &wire.Message{Kind: "vote", From: "c", To: "a", Term: 9})
	if r.Term() != 2 {
		t.Errorf("a vote from a cut-off instance moved the term to %d", r.Term())
	}
}

func TestLearnerIsPromotedOnlyWhenCaughtUp(t *testing.T) {
	members := []*wire.Member{trio[0], trio[1], {Id: "d", Address: "c0"}}
	r := follower(members, entry(1, 1))
	at := lead(t, r)
	ack(r, at, "b", 2, 0)
	ack(r, at, "d", 1, 0)
	r.Take()
	r.Tick(at + beat)
	if len(r.Members()) != 3 || r.Members()[2].GetVoter() {
		t.Error("d votes although it has not synced what is committed")
	}
	ack(r, at+beat, "d", 2, 0)
	r.Tick(at + 2*beat)
	if !r.Members()[2].GetVoter() {
		t.Error("d does not vote although it has synced all")
	}
}

func TestLearnerWithoutALeaderAsksAgain(t *testing.T) {
	r := follower([]*wire.Member{{Id: "a", Address: "a0"}, trio[1], trio[2]})
	r.Step(0, &wire.Message{Kind: "append", From: "b", To: "a", Term: 2})
	r.Take()
	r.Join(beat, []string{"b"})
	if last(r.Take().Send, "join") != nil {
		t.Error("a learner that hears its leader asked to be taken in")
	}
	r.Join(3*election, []string{"b"})
	if last(r.Take().Send, "join") == nil {
		t.Error("a learner that hears nobody did not ask again: the entry that took it in may be lost")
	}
}

func TestSnapshotKeepsEntriesBehindIt(t *testing.T) {
	r := follower(trio, entry(1, 1), entry(2, 2), entry(3, 2))
	r.Step(0, &wire.Message{Kind: "snapshot", From: "b", To: "a", Term: 2, SnapshotIndex: 2, SnapshotTerm: 2, Members: trio, Chunk: nil, Last: true})
	kept := false
	for _, rec := range r.Take().Install {
		kept = kept || rec.GetEntry().GetIndex() == 3
	}
	if !kept {
		t.Error("entry 3, which may have been acknowledged, was dropped by a snapshot up to 2")
	}
}

func TestFirstClusterForms(t *testing.T) {
	self := &wire.HelloReply{Id: "a", Address: "a0", Empty: true}
	listed := []string{"a0", "b0", "c0"}
	empty := func(id string) *wire.HelloReply { return &wire.HelloReply{Id: id, Empty: true} }
	for _, c := range []struct {
		name    string
		answers map[string]*wire.HelloReply
		want    replica.Formation
	}{
		{"one is silent", map[string]*wire.HelloReply{"a0": self, "b0": empty("b")}, replica.Wait},
		{"all empty", map[string]*wire.HelloReply{"a0": self, "b0": empty("b"), "c0": empty("c")}, replica.Form},
		{"an emptied one begins no second history", map[string]*wire.HelloReply{"a0": self, "b0": {Id: "b", Members: trio[1:]}, "c0": empty("c")}, replica.JoinOld},
		{"formed with this one", map[string]*wire.HelloReply{"a0": self, "b0": {Id: "b", Members: trio}}, replica.Form},
	} {
		if got, _ := replica.DecideFormation(self, listed, c.answers); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestLeaderHandsOverBeforeAStop(t *testing.T) {
	r := follower(trio)
	at := lead(t, r)
	ack(r, at, "c", 1, 0)
	r.Take()
	r.Leave()
	if got := last(r.Take().Send, "take-over"); got.GetTo() != "c" {
		t.Errorf("the lead went to %q, want c, which holds most", got.GetTo())
	}
	if _, _, ok := r.Propose([]byte("x")); ok {
		t.Error("a proposal was taken after the lead was handed over")
	}
	heir := follower(trio)
	heir.Step(0, &wire.Message{Kind: "append", From: "b", To: "a", Term: 2})
	heir.Take()
	heir.Step(beat, &wire.Message{Kind: "take-over", From: "b", To: "a", Term: 2})
	vote := last(heir.Take().Send, "vote")
	if vote == nil {
		t.Fatal("the heir seeks no election")
	}
	voter := follower(trio)
	voter.Step(0, &wire.Message{Kind: "append", From: "b", To: "a", Term: 2})
	voter.Take()
	vote.From, vote.To = "c", "a"
	voter.Step(beat, vote)
	if !last(voter.Take().Send, "vote-reply").GetGranted() {
		t.Error("the heir got no vote because the leaving leader is still heard")
	}
}

// TestLostHandOverIsAskedAgain: a leaving leader asks at each beat until another
// leads, and does not ask a voter that has gone silent again and again.
func TestLostHandOverIsAskedAgain(t *testing.T) {
	r := follower(trio)
	at := lead(t, r)
	ack(r, at, "c", 1, 0)
	r.Leave()
	if got := last(r.Take().Send, "take-over"); got.GetTo() != "c" {
		t.Fatalf("the lead went to %q, want c, which holds most", got.GetTo())
	}
	at += beat
	r.Tick(at)
	if got := last(r.Take().Send, "take-over"); got == nil {
		t.Fatal("a lost hand-over was not asked again")
	}
	for range 3 {
		at += beat
		ack(r, at, "b", 1, 0) // c is silent
		r.Tick(at)
	}
	if got := last(r.Take().Send, "take-over"); got.GetTo() != "b" {
		t.Errorf("the lead went to %q, want b, which still answers", got.GetTo())
	}
}

// TestLeavingWaitsForAQuorumOfTheRest: with a voter that has not answered the new
// leader yet, the leaving one is still needed.
func TestLeavingWaitsForAQuorumOfTheRest(t *testing.T) {
	r := follower(trio)
	at := lead(t, r)
	ack(r, at, "b", 1, 0)
	at += beat
	r.Tick(at)
	spare := func(to string) bool {
		var newest *wire.Message
		for _, m := range r.Take().Send {
			if m.GetKind() == "append" && m.GetTo() == to {
				newest = m
			}
		}
		if newest == nil {
			t.Fatalf("nothing was sent to %s", to)
		}
		return newest.GetSpare()
	}
	if spare("b") {
		t.Error("b may stop although c has not answered this leader")
	}
	ack(r, at, "b", 1, 0)
	ack(r, at, "c", 1, 0)
	at += beat
	r.Tick(at)
	if !spare("b") {
		t.Error("b may not stop although a and c are a quorum")
	}
	for range 6 {
		at += beat
		ack(r, at, "b", 1, 0) // c is silent
		r.Tick(at)
	}
	if spare("b") {
		t.Error("b may stop although c has gone silent")
	}
	leaver := follower(trio)
	if leaver.Spared() {
		t.Error("a replica is spared that heard no leader")
	}
	leaver.Step(0, &wire.Message{Kind: "append", From: "b", To: "a", Term: 2, Spare: true})
	if !leaver.Spared() {
		t.Error("the leader's word that it has a quorum was not taken")
	}
	leaver.Step(0, &wire.Message{Kind: "vote", From: "c", To: "a", Term: 3, Granted: true})
	if leaver.Spared() {
		t.Error("the word of a leader that was unseated still counts")
	}
}

// TestOwnPauseIsNobodysSilence: a replica that stood still, for its disk or the
// system, heard nobody meanwhile because it did not listen.
func TestOwnPauseIsNobodysSilence(t *testing.T) {
	const pause = 3 * election
	leader := follower(trio)
	at := lead(t, leader)
	ack(leader, at, "b", 1, 0)
	leader.Tick(at)
	at += pause
	leader.Tick(at)
	if leader.Role() != replica.Leader {
		t.Error("the leader stepped down for a pause of its own")
	}
	tick(leader, at, at+election+2*beat)
	if leader.Role() == replica.Leader {
		t.Error("a leader that hears nobody after its pause still leads")
	}
	other := follower(trio)
	other.Step(0, &wire.Message{Kind: "append", From: "b", To: "a", Term: 2})
	other.Tick(0)
	other.Take()
	other.Tick(pause)
	if m := last(other.Take().Send, "pre-vote"); m != nil {
		t.Error("a follower sought a new leader for a pause of its own")
	}
	tick(other, pause, pause+3*election)
	if m := last(other.Take().Send, "pre-vote"); m == nil {
		t.Error("a follower that hears no leader after its pause seeks none")
	}
}

// open is replica a as the leader of a cluster that takes in new addresses.
func open(t *testing.T, members []*wire.Member) (*replica.Replica, time.Duration) {
	t.Helper()
	r := replica.New(replica.Config{
		ID: "a", Address: "a0", Election: election, Beat: beat, Seed: 1, Entries: 8, Chunk: 1 << 10, Open: true, Retire: 4 * election,
	}, 0, replica.Stored{Hard: &wire.HardState{Term: 2}, Snapshot: &wire.SnapshotMark{Members: members}})
	at := lead(t, r)
	ack(r, at, "b", 1, 0)
	r.Take()
	return r, at
}

func names(members []*wire.Member) string {
	var out string
	for _, m := range members {
		out += m.GetId()
		if !m.GetVoter() {
			out += "?"
		}
	}
	return out
}

func TestNewAddressIsTakenInOnlyWhereOpen(t *testing.T) {
	ask := &wire.Message{Kind: "join", From: "d", To: "a", Address: "d0"}
	r, at := open(t, trio)
	r.Step(at, ask)
	if got := names(r.Members()); got != "abcd?" {
		t.Errorf("members %s, want abcd? with d learning", got)
	}
	closed := follower(trio)
	at = lead(t, closed)
	ack(closed, at, "b", 1, 0)
	closed.Step(at, ask)
	if got := names(closed.Members()); got != "abc" {
		t.Errorf("members %s, want abc", got)
	}
}

// TestSilentVoterIsTakenOut of four, not of three; and one that comes back without
// knowing it is taken in again.
func TestSilentVoterIsTakenOut(t *testing.T) {
	r, at := open(t, trio)
	index := uint64(1)
	pass := func(d time.Duration, heard ...string) {
		for end := at + d; at < end; at += beat {
			for _, id := range heard {
				ack(r, at, id, index, 0)
			}
			r.Tick(at)
			for _, m := range r.Take().Send {
				index = max(index, m.GetIndex()+uint64(len(m.GetEntries())))
			}
		}
	}
	r.Step(at, &wire.Message{Kind: "join", From: "d", To: "a", Address: "d0"})
	pass(2*election, "b", "c", "d")
	if got := names(r.Members()); got != "abcd" {
		t.Fatalf("members %s, want abcd", got)
	}
	pass(10*election, "b", "c")
	if got := names(r.Members()); got != "abc" {
		t.Fatalf("members %s, want abc: d was silent for long", got)
	}
	r.Step(at, &wire.Message{Kind: "pre-vote", From: "d", To: "a", Term: 4, Address: "d0"})
	if got := names(r.Members()); got != "abcd?" {
		t.Errorf("members %s, want abcd? with d learning", got)
	}
}

func TestThreeVotersStay(t *testing.T) {
	r, at := open(t, trio)
	for step := at; step < at+10*election; step += beat {
		ack(r, step, "b", 1, 0)
		r.Tick(step)
	}
	if got := names(r.Members()); got != "abc" {
		t.Errorf("members %s, want abc: c may only be cut off", got)
	}
}
