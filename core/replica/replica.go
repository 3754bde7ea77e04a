// Package replica implements Raft for the replicated log of the control
// instances. It has pre-vote, leaders that step down without a quorum, reads
// confirmed by a quorum, catch-up by batches of entries or by a chunked snapshot,
// leadership transfer, and membership changes of one voter at a time.
//
// A Replica is a pure state machine without I/O. Its inputs are messages and the
// current time. It returns what must be saved, sent and applied as an Output,
// which the caller must carry out in the order that Output documents.
//
// The algorithm is from Ongaro and Ousterhout, "In Search of an Understandable
// Consensus Algorithm" (2014), and chapters 4, 6 and 9 of Ongaro's thesis.
package replica

import (
	_ "embed"
	"fmt"
	"slices"
	"time"

	"tanagerroad/core/chart"
	"tanagerroad/core/wire"
)

//go:embed replica.json
var replicaJSON []byte

var replicaChart = chart.MustParse("replica.json", replicaJSON)

// Roles of a replica. They are the states in replica.json.
const (
	Follower     = "follower"
	PreCandidate = "pre-candidate"
	Candidate    = "candidate"
	Leader       = "leader"
)

// Values of the field Kind of wire.Message.
const (
	msgPreVote       = "pre-vote"
	msgPreVoteReply  = "pre-vote-reply"
	msgVote          = "vote"
	msgVoteReply     = "vote-reply"
	msgAppend        = "append"
	msgAppendReply   = "append-reply"
	msgSnapshot      = "snapshot"
	msgSnapshotReply = "snapshot-reply"
	msgJoin          = "join"
	msgTakeOver      = "take-over" // from a leader that shuts down: start an election now
	msgLeave         = "leave"     // to the leader: the sender shuts down
	msgLeaveReply    = "leave-reply"
)

// Config configures a Replica.
type Config struct {
	ID                string        // changes when the instance loses its disk
	Address           string        // where the other instances reach this one
	ElectionTimeout   time.Duration // minimum election timeout; the maximum is twice that
	HeartbeatInterval time.Duration // interval between a leader's heartbeats
	Seed              uint64        // seed of the random election timeouts
	MaxEntries        int           // maximum number of entries in one message
	MaxChunkBytes     int           // maximum bytes of entries or snapshot in one message
	// OpenMembership lets instances at new addresses join, and removes members
	// that have not replied for the removal timeout: any learner, and a voter if
	// there are at least four and the others tolerate enough failures.
	OpenMembership bool
	Tolerate       int           // failures that the voters must tolerate after a removal; 0: as many as before it
	RemoveAfter    time.Duration // removal timeout
}

// Stored is the persistent state that a replica starts from.
type Stored struct {
	HardState *wire.HardState
	Snapshot  *wire.SnapshotMark
	Entries   []*wire.Entry
}

// Output lists the work that the caller must do, strictly in this order: write
// Install and Save and sync them; then Send; then Restore and Apply; then Reads.
// If a step fails, the later ones must not be done.
type Output struct {
	Install     []*wire.Record // replaces the whole journal
	Save        []*wire.Record // appended to the journal
	Send        []*wire.Message
	Restore     []byte // serialized state that replaces the applied state
	Apply       []*wire.Entry
	Reads       []uint64 // tokens of reads that may now be served
	FailedReads []uint64 // tokens of reads that must not be served
}

// Empty reports whether there is no work to do.
func (o *Output) Empty() bool {
	return o.Install == nil && len(o.Save)+len(o.Send)+len(o.Apply)+len(o.Reads)+len(o.FailedReads) == 0 && o.Restore == nil
}

// progress is a leader's view of another member.
type progress struct {
	match, next    uint64        // index of the last entry known to match, and of the next to send
	lastReply      time.Duration // time of the latest reply
	acked          bool          // whether it has replied since the last heartbeat
	snapshotOffset uint64        // byte offset of the next snapshot chunk
	ackedRound     uint64        // latest read round that it confirmed
}

// pendingRead is a read that waits until a quorum confirms its round.
type pendingRead struct {
	token, round uint64
}

// Replica is the Raft state machine of one control instance. It is not safe for
// concurrent use.
type Replica struct {
	config Config
	role   string
	term   uint64
	vote   string // identity voted for in this term, or empty
	leader string // identity of the current leader, or empty if none is known

	snapshot         *wire.SnapshotMark // the state up to the entry before entries[0]
	entries          []*wire.Entry      // the log after the snapshot
	commit           uint64             // index of the last committed entry
	applied          uint64             // index of the last entry in Output.Apply
	members          []*wire.Member     // newest in the log or the snapshot, committed or not
	committedMembers []*wire.Member     // newest that is committed

	lastTick        time.Duration // time of the latest tick
	timerReset      time.Duration // when the election timer was last reset
	leaderSeen      time.Duration // latest tick at which a leader was known
	electionTimeout time.Duration
	rngState        uint64
	votes           map[string]bool      // votes or pre-votes granted to this replica, by identity
	peers           map[string]*progress // the other members, by identity; kept by a leader
	hadLeader       bool                 // a leader was known since the start
	followsCommit   bool                 // has committed all that the leader's latest entries came with
	lastHeartbeat   time.Duration
	voterAdded      time.Duration            // when the latest voter was added, or may have been: when this replica was elected
	lastJoin        time.Duration            // when this replica last asked to join
	lastLeave       time.Duration            // when this replica last asked to leave
	round           uint64                   // number of the latest read; appends carry it and replies return it
	reads           []pendingRead            // oldest first
	incoming        *wire.SnapshotMark       // snapshot being received, with the image so far
	leaving         bool                     // the process is shutting down
	leavers         map[string]time.Duration // when other replicas last said that they are
	transferee      string                   // voter asked to take over; until it leads, proposals are refused
	safeToStop      bool                     // the current leader has a quorum without this replica, and has agreed if this one leaves

	out Output
}

// earlyElectionDivisor shortens the least election timeout of a replica that has known no
// leader since its start. When all replicas have restarted, nobody leads; where somebody
// leads, the others refuse the pre-vote. The timeouts still differ by most of the
// configured minimum, so that few votes are split.
const earlyElectionDivisor = 4

// New returns a replica that continues from stored. If the snapshot has an image,
// the first Output holds it in Restore.
func New(config Config, at time.Duration, stored Stored) *Replica {
	r := &Replica{
		config: config, role: replicaChart.Initial, rngState: config.Seed | 1, lastTick: at, timerReset: at, leaderSeen: at,
		snapshot: &wire.SnapshotMark{}, leavers: map[string]time.Duration{},
	}
	if stored.Snapshot != nil {
		r.snapshot = stored.Snapshot
	}
	r.term, r.vote = stored.HardState.GetTerm(), stored.HardState.GetVote()
	r.entries = stored.Entries
	r.commit, r.applied = r.snapshot.GetIndex(), r.snapshot.GetIndex()
	r.committedMembers = r.snapshot.GetMembers()
	r.refreshMembers()
	r.resetElectionTimer(at)
	if len(r.snapshot.GetImage()) > 0 {
		r.out.Restore = r.snapshot.GetImage()
	}
	return r
}

// Replay replays journal records in order and returns the resulting state. It
// returns an error if an entry leaves a gap after the ones before it or lies
// within the snapshot.
func Replay(records []*wire.Record) (Stored, error) {
	var s Stored
	for _, rec := range records {
		switch body := rec.GetBody().(type) {
		case *wire.Record_HardState:
			s.HardState = body.HardState
		case *wire.Record_Snapshot:
			s.Snapshot, s.Entries = body.Snapshot, nil
		case *wire.Record_Entry:
			first := s.Snapshot.GetIndex() + 1
			index := body.Entry.GetIndex()
			if index < first || index > first+uint64(len(s.Entries)) {
				return s, fmt.Errorf("journal: entry %d does not follow entry %d", index, first+uint64(len(s.Entries))-1)
			}
			// A rewritten entry replaces the one with its index and all later
			// ones.
			s.Entries = append(s.Entries[:index-first], body.Entry)
		}
	}
	return s, nil
}

// TakeOutput returns the pending output and clears it.
func (r *Replica) TakeOutput() Output {
	out := r.out
	r.out = Output{}
	return out
}

// Role returns the current role, such as Leader.
func (r *Replica) Role() string { return r.role }

// Term returns the current term.
func (r *Replica) Term() uint64 { return r.term }

// CommitIndex returns the index of the last committed entry.
func (r *Replica) CommitIndex() uint64 { return r.commit }

// Members returns the membership in force: the newest in the log or the snapshot,
// committed or not.
func (r *Replica) Members() []*wire.Member { return r.members }

// CommittedMembers returns the newest committed membership.
func (r *Replica) CommittedMembers() []*wire.Member { return r.committedMembers }

// SnapshotMembers returns the membership in the snapshot that the log continues
// from.
func (r *Replica) SnapshotMembers() []*wire.Member { return r.snapshot.GetMembers() }

// CaughtUp reports whether this replica knows the leader and has applied all that was
// committed by the leader's latest message. A replica that starts has not, since it learns
// from a leader what of its log is committed.
func (r *Replica) CaughtUp() bool {
	return r.leader != "" && r.committedOwnTerm() && (r.role == Leader || r.followsCommit)
}

// LeaderAddress returns the address of the current leader, or "" if none is
// known.
func (r *Replica) LeaderAddress() string {
	for _, m := range r.members {
		if m.GetId() == r.leader {
			return m.GetAddress()
		}
	}
	return ""
}

// AppliedLength returns the number of applied entries after the snapshot.
func (r *Replica) AppliedLength() int { return int(r.applied - r.snapshot.GetIndex()) }

// LogLength returns the number of entries after the snapshot.
func (r *Replica) LogLength() int { return len(r.entries) }

func (r *Replica) lastIndex() uint64 { return r.snapshot.GetIndex() + uint64(len(r.entries)) }

// termAt returns the term of the entry at index. It reports false if the entry
// was compacted away or is not in the log yet.
func (r *Replica) termAt(index uint64) (uint64, bool) {
	switch {
	case index == r.snapshot.GetIndex():
		return r.snapshot.GetTerm(), true
	case index < r.snapshot.GetIndex() || index > r.lastIndex():
		return 0, false
	}
	return r.entries[index-r.snapshot.GetIndex()-1].GetTerm(), true
}

func (r *Replica) lastTerm() uint64 {
	term, _ := r.termAt(r.lastIndex())
	return term
}

// refreshMembers sets the members to the newest membership in the log or the
// snapshot, committed or not.
func (r *Replica) refreshMembers() {
	r.members = r.snapshot.GetMembers()
	for i := len(r.entries) - 1; i >= 0; i-- {
		if m := r.entries[i].GetMembers(); len(m) > 0 {
			r.members = m
			return
		}
	}
}

func (r *Replica) isVoter(id string) bool {
	return slices.ContainsFunc(r.members, func(m *wire.Member) bool { return m.GetId() == id && m.GetVoter() })
}

func (r *Replica) isMember(id string) bool {
	return slices.ContainsFunc(r.members, func(m *wire.Member) bool { return m.GetId() == id })
}

// hasQuorum reports whether ok holds for a majority of the voters.
func (r *Replica) hasQuorum(ok func(id string) bool) bool {
	voters, yes := 0, 0
	for _, m := range r.members {
		if !m.GetVoter() {
			continue
		}
		voters++
		if ok(m.GetId()) {
			yes++
		}
	}
	return voters > 0 && 2*yes > voters
}

// transition changes the role as replica.json defines for an event. Callers use
// only events that it defines for the current role; others are ignored.
func (r *Replica) transition(event string) {
	next, err := replicaChart.Next(r.role, event)
	if err != nil {
		return
	}
	r.role = next
}

// resetElectionTimer restarts the election timer with a random timeout between
// one and two times the configured minimum, or below it if there was no leader yet.
func (r *Replica) resetElectionTimer(at time.Duration) {
	// xorshift64 is enough: the timeouts only have to differ between replicas.
	r.rngState ^= r.rngState << 13
	r.rngState ^= r.rngState >> 7
	r.rngState ^= r.rngState << 17
	r.timerReset = at
	least, spread := r.config.ElectionTimeout, r.config.ElectionTimeout
	if !r.hadLeader {
		least /= earlyElectionDivisor
		spread -= least
	}
	r.electionTimeout = least + time.Duration(r.rngState%uint64(spread))
}

func (r *Replica) send(to, kind string, m *wire.Message) {
	m.Kind, m.From, m.To = kind, r.config.ID, to
	if m.GetTerm() == 0 {
		m.Term = r.term
	}
	r.out.Send = append(r.out.Send, m)
}

func (r *Replica) saveHardState() {
	hard := &wire.HardState{Term: r.term, Vote: r.vote}
	r.out.Save = append(r.out.Save, &wire.Record{Body: &wire.Record_HardState{HardState: hard}})
}

func (r *Replica) others() []*wire.Member {
	return slices.DeleteFunc(slices.Clone(r.members), func(m *wire.Member) bool { return m.GetId() == r.config.ID })
}

// discountPause subtracts a pause of this replica's own process, caused by a slow
// disk or a scheduling delay, from the time since the last message of each other
// member. The replica could not receive messages during the pause.
func (r *Replica) discountPause(at time.Duration) {
	pause := at - r.lastTick - r.config.HeartbeatInterval
	r.lastTick = at
	if pause <= 0 {
		return
	}
	r.timerReset += pause
	for _, p := range r.peers {
		p.lastReply += pause
	}
}

// Tick advances the time to at and handles timeouts. Callers tick more often than
// leaders send heartbeats.
func (r *Replica) Tick(at time.Duration) {
	r.discountPause(at)
	if r.leader != "" {
		r.leaderSeen, r.hadLeader = at, true
	}
	if r.role == Leader {
		r.leaderTick(at)
		return
	}
	if at-r.lastLeave >= r.config.HeartbeatInterval {
		r.lastLeave = at
		r.requestLeave()
	}
	if at-r.timerReset >= r.electionTimeout && r.isVoter(r.config.ID) && !r.leaving {
		r.startPreVote(at)
		return
	}
	if at-r.timerReset >= r.electionTimeout {
		r.leader = ""
	}
}

// startPreVote asks the other members whether they would vote for this replica.
// Unlike an election, this raises no term and so disrupts no live leader.
func (r *Replica) startPreVote(at time.Duration) {
	r.transition("suspect")
	r.leader = ""
	r.votes = map[string]bool{r.config.ID: true}
	r.resetElectionTimer(at)
	for _, m := range r.others() {
		r.send(m.GetId(), msgPreVote, &wire.Message{Term: r.term + 1, Index: r.lastIndex(), LogTerm: r.lastTerm(), Address: r.config.Address})
	}
	r.countVotes(at)
}

// countVotes starts the election once a quorum has granted its pre-votes, and
// becomes leader once a quorum has granted its votes.
func (r *Replica) countVotes(at time.Duration) {
	if !r.hasQuorum(func(id string) bool { return r.votes[id] }) {
		return
	}
	switch r.role {
	case PreCandidate:
		r.startElection(at, "elect")
	case Candidate:
		r.becomeLeader(at)
	}
}

// startElection raises the term and asks for votes. The event is "elect", or
// msgTakeOver if the leader asked this replica to take over. In that case the
// requests have Granted set, so that members vote although that leader is live.
func (r *Replica) startElection(at time.Duration, event string) {
	r.transition(event)
	r.term++
	r.vote = r.config.ID
	r.saveHardState()
	r.votes = map[string]bool{r.config.ID: true}
	r.resetElectionTimer(at)
	for _, m := range r.others() {
		r.send(m.GetId(), msgVote, &wire.Message{Index: r.lastIndex(), LogTerm: r.lastTerm(), Granted: event == msgTakeOver})
	}
	r.countVotes(at)
}

// becomeLeader takes leadership of the current term after a won election.
func (r *Replica) becomeLeader(at time.Duration) {
	r.transition("win")
	r.leader, r.transferee, r.safeToStop = r.config.ID, "", false
	r.peers = map[string]*progress{}
	r.reads = nil
	r.voterAdded = at
	for _, m := range r.others() {
		r.peers[m.GetId()] = &progress{next: r.lastIndex() + 1, lastReply: at}
	}
	// Committing an entry of its own term lets the leader commit the entries of
	// earlier terms. The first entry of the log also holds the initial
	// membership: if an instance lost its disk while the cluster formed, the
	// others may know it by different identities.
	first := &wire.Entry{}
	if r.lastIndex() == 0 {
		first.Members = r.members
	}
	r.appendOwn(first)
	r.heartbeat(at)
}

// becomeFollower follows leader in term, which must not be lower than the current
// one. An empty leader means that none is known. Pending reads fail.
func (r *Replica) becomeFollower(at time.Duration, term uint64, leader string) {
	if term > r.term {
		r.term, r.vote = term, ""
		r.saveHardState()
	}
	if leader != r.leader {
		r.safeToStop = false
	}
	if r.role == Leader {
		r.failReads()
	}
	r.transition("follow")
	r.leader = leader
	r.resetElectionTimer(at)
}

// failReads reports all pending reads as failed.
func (r *Replica) failReads() {
	for _, pending := range r.reads {
		r.out.FailedReads = append(r.out.FailedReads, pending.token)
	}
	r.reads = nil
}

// Step handles a message from another control instance. It drops a message that
// is addressed to another identity, such as one this instance had before it lost
// its disk.
func (r *Replica) Step(at time.Duration, m *wire.Message) {
	if m.GetTo() != r.config.ID || !wellFormed(m) {
		return
	}
	switch m.GetKind() {
	case msgPreVote:
		r.onPreVote(at, m)
		return
	case msgPreVoteReply:
		r.onPreVoteReply(at, m)
		return
	case msgJoin:
		r.onJoin(m)
		r.passOnJoin(m)
		return
	case msgLeave:
		r.leavers[m.GetFrom()] = at
		r.onLeave(m)
		return
	case msgLeaveReply:
		r.safeToStop = r.safeToStop || m.GetFrom() == r.leader || r.leaving && r.leader == "" && m.GetTerm() >= r.term
		return
	}
	if m.GetKind() == msgVote && !m.GetGranted() && r.hasLiveLeader(at) {
		return // an instance that was partitioned must not depose a live leader
	}
	if m.GetTerm() > r.term {
		leader := ""
		if m.GetKind() == msgAppend || m.GetKind() == msgSnapshot {
			leader = m.GetFrom()
		}
		r.becomeFollower(at, m.GetTerm(), leader)
	}
	if m.GetTerm() < r.term {
		r.rejectStale(m)
		return
	}
	switch m.GetKind() {
	case msgVote:
		r.onVote(at, m)
	case msgVoteReply:
		r.onVoteReply(at, m)
	case msgAppend:
		r.onAppend(at, m)
	case msgAppendReply:
		r.onAppendReply(at, m)
	case msgSnapshot:
		r.onSnapshot(at, m)
	case msgSnapshotReply:
		r.onSnapshotReply(at, m)
	case msgTakeOver:
		r.leavers[m.GetFrom()] = at
		if r.role != Leader && r.isVoter(r.config.ID) {
			r.startElection(at, msgTakeOver)
		}
	}
}

// wellFormed reports whether a message's entries have consecutive indexes that
// start after its own index.
func wellFormed(m *wire.Message) bool {
	for i, e := range m.GetEntries() {
		if e.GetIndex() != m.GetIndex()+uint64(i)+1 {
			return false
		}
	}
	return true
}

// rejectStale replies to the leader of an earlier term, so that it learns the
// current term and steps down.
func (r *Replica) rejectStale(m *wire.Message) {
	if m.GetKind() == msgAppend || m.GetKind() == msgSnapshot {
		r.send(m.GetFrom(), msgAppendReply, &wire.Message{})
	}
}

// hasLiveLeader reports whether this replica leads, or knows a leader and reset
// its election timer within the minimum election timeout.
func (r *Replica) hasLiveLeader(at time.Duration) bool {
	if r.role == Leader {
		return true
	}
	return r.leader != "" && at-r.timerReset < r.config.ElectionTimeout
}

// upToDate reports whether the log of the sender of m, a vote request, is at least
// as up to date as this replica's.
func (r *Replica) upToDate(m *wire.Message) bool {
	if m.GetLogTerm() != r.lastTerm() {
		return m.GetLogTerm() > r.lastTerm()
	}
	return m.GetIndex() >= r.lastIndex()
}

func (r *Replica) onPreVote(at time.Duration, m *wire.Message) {
	granted := m.GetTerm() > r.term && r.upToDate(m) && !r.hasLiveLeader(at)
	// Term is the one that was asked for, so Round carries this replica's term.
	r.send(m.GetFrom(), msgPreVoteReply, &wire.Message{Term: m.GetTerm(), Granted: granted, Round: r.term})
	if r.config.OpenMembership && r.role == Leader && !r.isMember(m.GetFrom()) {
		r.onJoin(m) // the sender was removed while it was unreachable and has not learned of it
	}
}

func (r *Replica) onPreVoteReply(at time.Duration, m *wire.Message) {
	// A refusal with a later term must raise this replica's term. Otherwise it
	// would ask for the same term forever.
	if !m.GetGranted() && m.GetRound() > r.term && r.role != Leader {
		r.becomeFollower(at, m.GetRound(), "")
		return
	}
	if r.role != PreCandidate || m.GetTerm() != r.term+1 || !m.GetGranted() {
		return
	}
	r.votes[m.GetFrom()] = true
	r.countVotes(at)
}

func (r *Replica) onVote(at time.Duration, m *wire.Message) {
	granted := (r.vote == "" || r.vote == m.GetFrom()) && r.upToDate(m) && r.role == Follower
	if granted {
		if r.vote == "" {
			r.vote = m.GetFrom()
			r.saveHardState()
		}
		r.resetElectionTimer(at)
	}
	r.send(m.GetFrom(), msgVoteReply, &wire.Message{Granted: granted})
}

func (r *Replica) onVoteReply(at time.Duration, m *wire.Message) {
	if r.role != Candidate || !m.GetGranted() {
		return
	}
	r.votes[m.GetFrom()] = true
	r.countVotes(at)
}
