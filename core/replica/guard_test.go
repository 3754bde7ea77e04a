package replica_test

import (
	"strings"
	"testing"
	"time"

	"tanagerroad/core/replica"
	"tanagerroad/core/wire"
)

// Each test in this file exercises one check in the replica with exactly the
// messages that it guards against. Random schedules seldom reach some of the
// checks.

var threeVoters = []*wire.Member{
	{Id: "a", Address: "a0", Voter: true}, {Id: "b", Address: "b0", Voter: true}, {Id: "c", Address: "c0", Voter: true},
}

func entry(index, term uint64) *wire.Entry { return &wire.Entry{Index: index, Term: term} }

// newFollower returns replica a as a follower in term 2 with these members and
// log entries.
func newFollower(members []*wire.Member, entries ...*wire.Entry) *replica.Replica {
	return replica.New(replica.Config{
		ID: "a", Address: "a0", ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeat, Seed: 1, MaxEntries: 8, MaxChunkBytes: 1 << 10,
	}, 0, replica.Stored{
		HardState: &wire.HardState{Term: 2}, Snapshot: &wire.SnapshotMark{Members: members}, Entries: entries,
	})
}

// tick advances r from one time to another in steps of one heartbeat interval.
func tick(r *replica.Replica, from, to time.Duration) {
	for ; from < to; from += heartbeat {
		r.Tick(from)
	}
	r.Tick(to)
}

// electLeader makes r, which must be replica a, the leader of the next term and
// returns the time at which it is elected.
func electLeader(t *testing.T, r *replica.Replica) time.Duration {
	t.Helper()
	at := 10 * electionTimeout
	tick(r, 0, at)
	term := r.Term() + 1
	r.Step(at, &wire.Message{Kind: "pre-vote-reply", From: "b", To: "a", Term: term, Granted: true})
	r.Step(at, &wire.Message{Kind: "vote-reply", From: "b", To: "a", Term: term, Granted: true})
	if r.Role() != replica.Leader {
		t.Fatalf("a is %s, want leader", r.Role())
	}
	r.TakeOutput()
	return at
}

// ack makes the member from acknowledge the entries up to index and a read round.
func ack(r *replica.Replica, at time.Duration, from string, index, round uint64) {
	r.Step(at, &wire.Message{Kind: "append-reply", From: from, To: "a", Term: r.Term(), Granted: true, Index: index, Round: round})
}

// lastOfKind returns the last message of a kind, or nil if there is none.
func lastOfKind(messages []*wire.Message, kind string) *wire.Message {
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
		{"equal log", 2, 2, true, true},
	} {
		r := newFollower(threeVoters, entry(1, 1), entry(2, 2))
		r.Step(10*electionTimeout, &wire.Message{Kind: "vote", From: "b", To: "a", Term: 3, Index: c.index, LogTerm: c.term})
		out := r.TakeOutput()
		if got := lastOfKind(out.Send, "vote-reply").GetGranted(); got != c.wantGranted {
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

func TestMessageToPreviousIdentityIsDropped(t *testing.T) {
	r := newFollower(threeVoters)
	r.Step(10*electionTimeout, &wire.Message{Kind: "vote", From: "b", To: "a-before", Term: 3})
	if out := r.TakeOutput(); !out.Empty() {
		t.Errorf("a replied to a message for its previous identity: %v", out.Send)
	}
}

func TestEntryOfAnEarlierTermIsNotCommittedByCount(t *testing.T) {
	r := newFollower(threeVoters, entry(1, 1), entry(2, 2))
	at := electLeader(t, r)
	ack(r, at, "b", 2, 0)
	if r.CommitIndex() != 0 {
		t.Errorf("commit is %d, want 0 while a majority holds only entries of earlier terms", r.CommitIndex())
	}
	ack(r, at, "b", 3, 0)
	if r.CommitIndex() != 3 {
		t.Errorf("commit is %d, want 3 once a majority holds an entry of the leader's term", r.CommitIndex())
	}
}

func TestReadWaitsForOwnTermAndAQuorum(t *testing.T) {
	r := newFollower(threeVoters, entry(1, 1))
	at := electLeader(t, r)
	r.Read(7)
	if out := r.TakeOutput(); len(out.FailedReads) != 1 || len(out.Reads) != 0 {
		t.Errorf("read before an entry of the leader's term is committed: %v served, %v failed, want 1 failed", out.Reads, out.FailedReads)
	}
	ack(r, at, "b", 2, 0)
	r.TakeOutput()
	r.Read(8)
	round := lastOfKind(r.TakeOutput().Send, "append").GetRound()
	ack(r, at, "b", 2, round-1)
	if out := r.TakeOutput(); len(out.Reads) != 0 {
		t.Error("a read was served on acknowledgements of an earlier round")
	}
	ack(r, at, "b", 2, round)
	if out := r.TakeOutput(); len(out.Reads) != 1 {
		t.Error("a read confirmed by a quorum was not served")
	}
}

func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	r := newFollower(threeVoters)
	at := electLeader(t, r)
	tick(r, at, at+electionTimeout+heartbeat)
	if r.Role() == replica.Leader {
		t.Error("a still leads although no member replied within the election timeout")
	}
}

func TestVoteRefusedWhileLeaderIsAlive(t *testing.T) {
	r := newFollower(threeVoters)
	r.Step(0, &wire.Message{Kind: "append", From: "b", To: "a", Term: 2})
	r.TakeOutput()
	r.Step(heartbeat, &wire.Message{Kind: "pre-vote", From: "c", To: "a", Term: 9})
	if lastOfKind(r.TakeOutput().Send, "pre-vote-reply").GetGranted() {
		t.Error("a pre-vote was granted while the leader is live")
	}
	r.Step(heartbeat, &wire.Message{Kind: "vote", From: "c", To: "a", Term: 9})
	if r.Term() != 2 {
		t.Errorf("a vote request from a partitioned instance changed the term to %d, want 2", r.Term())
	}
}

func TestLearnerIsPromotedOnlyWhenCaughtUp(t *testing.T) {
	members := []*wire.Member{threeVoters[0], threeVoters[1], {Id: "d", Address: "c0"}}
	r := newFollower(members, entry(1, 1))
	at := electLeader(t, r)
	ack(r, at, "b", 2, 0)
	ack(r, at, "d", 1, 0)
	r.TakeOutput()
	r.Tick(at + heartbeat)
	if len(r.Members()) != 3 || r.Members()[2].GetVoter() {
		t.Error("d was promoted to voter before it synced all committed entries")
	}
	ack(r, at+heartbeat, "d", 2, 0)
	r.Tick(at + 2*heartbeat)
	if !r.Members()[2].GetVoter() {
		t.Error("d was not promoted to voter although it has synced all entries")
	}
}

func TestLearnerWithoutLeaderRetriesJoin(t *testing.T) {
	r := newFollower([]*wire.Member{{Id: "a", Address: "a0"}, threeVoters[1], threeVoters[2]})
	r.Step(0, &wire.Message{Kind: "append", From: "b", To: "a", Term: 2})
	r.TakeOutput()
	r.Join(heartbeat, []string{"b"})
	if lastOfKind(r.TakeOutput().Send, "join") != nil {
		t.Error("a learner with a live leader asked to join")
	}
	r.Join(3*electionTimeout, []string{"b"})
	if lastOfKind(r.TakeOutput().Send, "join") == nil {
		t.Error("a learner without a leader did not ask to join again; the entry that added it may be lost")
	}
}

func TestSnapshotKeepsLaterEntries(t *testing.T) {
	r := newFollower(threeVoters, entry(1, 1), entry(2, 2), entry(3, 2))
	r.Step(0, &wire.Message{Kind: "snapshot", From: "b", To: "a", Term: 2, SnapshotIndex: 2, SnapshotTerm: 2, Members: threeVoters, Chunk: nil, Last: true})
	kept := false
	for _, rec := range r.TakeOutput().Install {
		kept = kept || rec.GetEntry().GetIndex() == 3
	}
	if !kept {
		t.Error("a snapshot up to entry 2 dropped entry 3, which may have been acknowledged")
	}
}

// TestSnapshotsAreJoined guards against a snapshot that is put together from chunks of
// two: a chunk of an older one arrives late, at the offset that is expected next.
func TestSnapshotsAreJoined(t *testing.T) {
	r := newFollower(threeVoters)
	chunk := func(index, offset uint64, text string, last bool) {
		r.Step(0, &wire.Message{Kind: "snapshot", From: "b", To: "a", Term: 2, SnapshotIndex: index, SnapshotTerm: 2, Members: threeVoters, Offset: offset, Chunk: []byte(text), Last: last})
	}
	chunk(9, 0, "new1", false)
	chunk(5, 4, "old2", false)
	chunk(9, 8, "new3", true)
	if image := r.TakeOutput().Restore; image != nil {
		t.Fatalf("installed %q, which no chunks of one snapshot make up", image)
	}
	for i, text := range []string{"new1", "new2", "new3"} {
		chunk(9, uint64(4*i), text, i == 2)
	}
	if image := r.TakeOutput().Restore; string(image) != "new1new2new3" {
		t.Errorf("installed %q, want new1new2new3", image)
	}
}

func TestDecideFormation(t *testing.T) {
	self := &wire.HelloReply{Id: "a", Address: "a0", Empty: true}
	listed := []string{"a0", "b0", "c0"}
	empty := func(id string) *wire.HelloReply { return &wire.HelloReply{Id: id, Empty: true} }
	for _, c := range []struct {
		name    string
		answers map[string]*wire.HelloReply
		want    replica.Formation
	}{
		{"one has not answered", map[string]*wire.HelloReply{"a0": self, "b0": empty("b")}, replica.Wait},
		{"all empty", map[string]*wire.HelloReply{"a0": self, "b0": empty("b"), "c0": empty("c")}, replica.StartWithMembers},
		{"the cluster exists without this one", map[string]*wire.HelloReply{"a0": self, "b0": {Id: "b", Members: threeVoters[1:]}, "c0": empty("c")}, replica.JoinExisting},
		{"the cluster exists with this one", map[string]*wire.HelloReply{"a0": self, "b0": {Id: "b", Members: threeVoters}}, replica.StartWithMembers},
	} {
		if got, _ := replica.DecideFormation(self, listed, c.answers); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestLossAtFirstStartPreventsFormation guards against a cluster that never forms since one
// instance is gone at the first start, and against a second one that instances form which have
// lost their disks.
func TestLossAtFirstStartPreventsFormation(t *testing.T) {
	first := func(id string) *wire.HelloReply { return &wire.HelloReply{Id: id, Empty: true, Bootstrap: true} }
	self, emptied := first("a"), &wire.HelloReply{Id: "b2", Empty: true}
	for _, c := range []struct {
		name    string
		listed  int
		answers map[string]*wire.HelloReply
		want    replica.Formation
		missing int
	}{
		{"one of three is gone", 3, map[string]*wire.HelloReply{"a0": self, "b0": first("b")}, replica.StartWithMembers, 1},
		{"two of three are gone", 3, map[string]*wire.HelloReply{"a0": self}, replica.Wait, 0},
		{"one of three has lost its disk, one is gone", 3, map[string]*wire.HelloReply{"a0": self, "b0": emptied}, replica.Wait, 0},
		{"all of three are there, one has lost its disk", 3, map[string]*wire.HelloReply{"a0": self, "b0": emptied, "c0": first("c")}, replica.StartWithMembers, 0},
		{"two of four are gone", 4, map[string]*wire.HelloReply{"a0": self, "b0": first("b")}, replica.Wait, 0},
		{"one of four is gone", 4, map[string]*wire.HelloReply{"a0": self, "b0": first("b"), "c0": first("c")}, replica.StartWithMembers, 1},
		{"two of five are gone", 5, map[string]*wire.HelloReply{"a0": self, "b0": first("b"), "c0": first("c")}, replica.StartWithMembers, 2},
		{"a cluster exists without this one", 3, map[string]*wire.HelloReply{"a0": self, "b0": {Id: "b", Members: threeVoters[1:]}}, replica.JoinExisting, 0},
	} {
		listed := []string{"a0", "b0", "c0", "d0", "e0"}[:c.listed]
		got, members := replica.DecideFormationByMajority(self, listed, c.answers)
		missing := 0
		for _, m := range members {
			if strings.HasPrefix(m.GetId(), "missing") {
				missing++
			}
		}
		if got != c.want || missing != c.missing || got == replica.StartWithMembers && len(members) != c.listed {
			t.Errorf("%s: %v with %v, want %v with %d missing", c.name, got, members, c.want, c.missing)
		}
	}
}

func TestLeavingLeaderTransfersLeadership(t *testing.T) {
	r := newFollower(threeVoters)
	at := electLeader(t, r)
	ack(r, at, "c", 1, 0)
	r.TakeOutput()
	r.Leave()
	if got := lastOfKind(r.TakeOutput().Send, "take-over"); got.GetTo() != "c" {
		t.Errorf("leadership was offered to %q, want c, which has most of the log", got.GetTo())
	}
	if _, _, ok := r.Propose([]byte("x")); ok {
		t.Error("a proposal was accepted during a leadership transfer")
	}
	successor := newFollower(threeVoters)
	successor.Step(0, &wire.Message{Kind: "append", From: "b", To: "a", Term: 2})
	successor.TakeOutput()
	successor.Step(heartbeat, &wire.Message{Kind: "take-over", From: "b", To: "a", Term: 2})
	vote := lastOfKind(successor.TakeOutput().Send, "vote")
	if vote == nil {
		t.Fatal("the target of the transfer started no election")
	}
	voter := newFollower(threeVoters)
	voter.Step(0, &wire.Message{Kind: "append", From: "b", To: "a", Term: 2})
	voter.TakeOutput()
	vote.From, vote.To = "c", "a"
	voter.Step(heartbeat, vote)
	if !lastOfKind(voter.TakeOutput().Send, "vote-reply").GetGranted() {
		t.Error("the target of the transfer got no vote while the leaving leader is still live")
	}
}

// TestLeadershipTransferIsRetried checks that a leaving leader repeats its
// request at each heartbeat, since the message may be lost, and that it asks
// another voter when the first one stops replying.
func TestLeadershipTransferIsRetried(t *testing.T) {
	r := newFollower(threeVoters)
	at := electLeader(t, r)
	ack(r, at, "c", 1, 0)
	r.Leave()
	if got := lastOfKind(r.TakeOutput().Send, "take-over"); got.GetTo() != "c" {
		t.Fatalf("leadership was offered to %q, want c, which has most of the log", got.GetTo())
	}
	at += heartbeat
	r.Tick(at)
	if got := lastOfKind(r.TakeOutput().Send, "take-over"); got == nil {
		t.Fatal("a lost leadership transfer was not retried")
	}
	for range 3 {
		at += heartbeat
		ack(r, at, "b", 1, 0) // c does not reply
		r.Tick(at)
	}
	if got := lastOfKind(r.TakeOutput().Send, "take-over"); got.GetTo() != "b" {
		t.Errorf("leadership was offered to %q, want b, which still replies", got.GetTo())
	}
}

// TestSafeToStopNeedsQuorumOfOthers checks that a leader reports to a member that
// it may stop only while the other voters are active and form a quorum. A voter
// that has not replied to a new leader yet does not count.
func TestSafeToStopNeedsQuorumOfOthers(t *testing.T) {
	r := newFollower(threeVoters)
	at := electLeader(t, r)
	ack(r, at, "b", 1, 0)
	at += heartbeat
	r.Tick(at)
	safeToStop := func(to string) bool {
		var newest *wire.Message
		for _, m := range r.TakeOutput().Send {
			if m.GetKind() == "append" && m.GetTo() == to {
				newest = m
			}
		}
		if newest == nil {
			t.Fatalf("no append message was sent to %s", to)
		}
		return newest.GetSpare()
	}
	if safeToStop("b") {
		t.Error("b may stop although c has not replied to this leader")
	}
	ack(r, at, "b", 1, 0)
	ack(r, at, "c", 1, 0)
	at += heartbeat
	r.Tick(at)
	if !safeToStop("b") {
		t.Error("b may not stop although a and c form a quorum")
	}
	for range 6 {
		at += heartbeat
		ack(r, at, "b", 1, 0) // c does not reply
		r.Tick(at)
	}
	if safeToStop("b") {
		t.Error("b may stop although c no longer replies")
	}
	leaving := newFollower(threeVoters)
	if leaving.SafeToStop() {
		t.Error("a replica that knows no leader may stop")
	}
	leaving.Step(0, &wire.Message{Kind: "append", From: "b", To: "a", Term: 2, Spare: true})
	if !leaving.SafeToStop() {
		t.Error("a replica may not stop although the leader has a quorum without it")
	}
	leaving.Step(0, &wire.Message{Kind: "vote", From: "c", To: "a", Term: 3, Granted: true})
	if leaving.SafeToStop() {
		t.Error("a replica may stop because a deposed leader said so in an earlier term")
	}
}

// TestLocalPauseTriggersNoElection checks that a replica whose own process paused,
// for example on a slow disk, does not count the pause as silence of the others.
// Otherwise a leader would step down, and a follower start an election, although
// the others were live.
func TestLocalPauseTriggersNoElection(t *testing.T) {
	const pause = 3 * electionTimeout
	leader := newFollower(threeVoters)
	at := electLeader(t, leader)
	ack(leader, at, "b", 1, 0)
	leader.Tick(at)
	at += pause
	leader.Tick(at)
	if leader.Role() != replica.Leader {
		t.Error("the leader stepped down because of its own pause")
	}
	tick(leader, at, at+electionTimeout+2*heartbeat)
	if leader.Role() == replica.Leader {
		t.Error("the leader did not step down although no member replied after its pause")
	}
	other := newFollower(threeVoters)
	other.Step(0, &wire.Message{Kind: "append", From: "b", To: "a", Term: 2})
	other.Tick(0)
	other.TakeOutput()
	other.Tick(pause)
	if m := lastOfKind(other.TakeOutput().Send, "pre-vote"); m != nil {
		t.Error("a follower started a pre-vote because of its own pause")
	}
	tick(other, pause, pause+3*electionTimeout)
	if m := lastOfKind(other.TakeOutput().Send, "pre-vote"); m == nil {
		t.Error("a follower started no pre-vote although no leader sent anything after its pause")
	}
}

// newOpenLeader returns replica a as the leader of a cluster with open membership,
// and the time.
func newOpenLeader(t *testing.T, members []*wire.Member) (*replica.Replica, time.Duration) {
	t.Helper()
	r := replica.New(replica.Config{
		ID: "a", Address: "a0", ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeat, Seed: 1, MaxEntries: 8, MaxChunkBytes: 1 << 10, OpenMembership: true, RemoveAfter: 4 * electionTimeout,
	}, 0, replica.Stored{HardState: &wire.HardState{Term: 2}, Snapshot: &wire.SnapshotMark{Members: members}})
	at := electLeader(t, r)
	ack(r, at, "b", 1, 0)
	r.TakeOutput()
	return r, at
}

// memberNames joins the identities of members and marks learners with "?".
func memberNames(members []*wire.Member) string {
	var out string
	for _, m := range members {
		out += m.GetId()
		if !m.GetVoter() {
			out += "?"
		}
	}
	return out
}

func TestNewAddressJoinsOnlyWithOpenMembership(t *testing.T) {
	ask := &wire.Message{Kind: "join", From: "d", To: "a", Address: "d0"}
	r, at := newOpenLeader(t, threeVoters)
	r.Step(at, ask)
	if got := memberNames(r.Members()); got != "abcd?" {
		t.Errorf("members %s, want abcd? with d as a learner", got)
	}
	closed := newFollower(threeVoters)
	at = electLeader(t, closed)
	ack(closed, at, "b", 1, 0)
	closed.Step(at, ask)
	if got := memberNames(closed.Members()); got != "abc" {
		t.Errorf("members %s, want abc: the membership is not open", got)
	}
}

// TestSilentVoterIsRemoved checks that one of four voters is removed when it stops
// replying, and that it is added again when it returns with a pre-vote, not knowing
// that it was removed.
func TestSilentVoterIsRemoved(t *testing.T) {
	r, at := newOpenLeader(t, threeVoters)
	index := uint64(1)
	run := func(d time.Duration, acking ...string) {
		for end := at + d; at < end; at += heartbeat {
			for _, id := range acking {
				ack(r, at, id, index, 0)
			}
			r.Tick(at)
			for _, m := range r.TakeOutput().Send {
				index = max(index, m.GetIndex()+uint64(len(m.GetEntries())))
			}
		}
	}
	r.Step(at, &wire.Message{Kind: "join", From: "d", To: "a", Address: "d0"})
	run(2*electionTimeout, "b", "c", "d")
	if got := memberNames(r.Members()); got != "abcd" {
		t.Fatalf("members %s, want abcd", got)
	}
	run(10*electionTimeout, "b", "c")
	if got := memberNames(r.Members()); got != "abc" {
		t.Fatalf("members %s, want abc: d has not replied for longer than the removal timeout", got)
	}
	r.Step(at, &wire.Message{Kind: "pre-vote", From: "d", To: "a", Term: 4, Address: "d0"})
	if got := memberNames(r.Members()); got != "abcd?" {
		t.Errorf("members %s, want abcd? with d as a learner", got)
	}
}

// TestSilentVoterOfThreeIsKept checks that no voter is removed from an odd number of
// voters.
func TestSilentVoterOfThreeIsKept(t *testing.T) {
	r, at := newOpenLeader(t, threeVoters)
	for step := at; step < at+10*electionTimeout; step += heartbeat {
		ack(r, step, "b", 1, 0)
		r.Tick(step)
	}
	if got := memberNames(r.Members()); got != "abc" {
		t.Errorf("members %s, want abc: c may only be partitioned", got)
	}
}

// TestRemovedLeaverStopsAsking guards against an instance that shuts down and waits for its time
// to be over: a leader that has removed it sends it nothing any more, so it knows no leader
// before that one can agree.
func TestRemovedLeaverStopsAsking(t *testing.T) {
	r := newFollower(threeVoters)
	r.Step(0, &wire.Message{Kind: "append", From: "b", To: "a", Term: 2})
	r.Leave()
	r.TakeOutput()
	at := 3 * electionTimeout
	tick(r, 0, at)
	r.TakeOutput()
	r.Tick(at + heartbeat)
	if got := lastOfKind(r.TakeOutput().Send, "leave"); got == nil {
		t.Fatal("the instance no longer asks whether it may stop")
	}
	r.Step(at+heartbeat, &wire.Message{Kind: "leave-reply", From: "c", To: "a", Term: 1})
	if r.SafeToStop() {
		t.Error("the agreement of a leader of an earlier term counts")
	}
	r.Step(at+heartbeat, &wire.Message{Kind: "leave-reply", From: "b", To: "a", Term: 2})
	if !r.SafeToStop() {
		t.Error("the leader's agreement does not count")
	}
}
