// Package replica decides how control instances keep one log: a Raft with
// pre-vote, a leader that steps down without a quorum, reads confirmed by a
// quorum, catch-up by chunks or snapshot, and membership changes of one voter
// at a time. A Replica is a pure state machine. It is given messages and the
// time; what it wants saved, sent and applied it returns as an Output, and the
// order in which an Output must be carried out is its contract.
//
// The algorithm is that of Ongaro and Ousterhout, "In Search of an
// Understandable Consensus Algorithm" (2014), and chapters 4, 6 and 9 of
// Ongaro's thesis.
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

// Roles, as the chart names them.
const (
	Follower     = "follower"
	PreCandidate = "pre-candidate"
	Candidate    = "candidate"
	Leader       = "leader"
)

// Kinds of message.
const (
	preVote       = "pre-vote"
	preVoteReply  = "pre-vote-reply"
	vote          = "vote"
	voteReply     = "vote-reply"
	appendEntries = "append"
	appendReply   = "append-reply"
	snapshot      = "snapshot"
	snapshotReply = "snapshot-reply"
	join          = "join"
	takeOver      = "take-over" // from a leader that stops: seek election now
)

// Config sets a replica.
type Config struct {
	ID       string
	Address  string
	Election time.Duration // silence of a leader after which another is sought
	Beat     time.Duration // between a leader's heartbeats
	Seed     uint64        // spreads the election timeouts
	Entries  int           // most entries in one message
	Chunk    int           // most bytes of entries or snapshot in one message
	// Open lets identities at new addresses join, and takes one of an even
	// number of voters out that is silent for Retire.
	Open   bool
	Retire time.Duration
}

// Stored is what the disk held at start.
type Stored struct {
	Hard     *wire.HardState
	Snapshot *wire.SnapshotMark
	Entries  []*wire.Entry
}

// Output is what must be done, strictly in this order: Install, Save and their
// sync; then Send; then Restore and Apply; then Reads. Nothing later may be
// done if something earlier failed.
type Output struct {
	Install []*wire.Record // replaces the whole journal
	Save    []*wire.Record // appended to the journal
	Send    []*wire.Message
	Restore []byte // replaces the applied state
	Apply   []*wire.Entry
	Reads   []uint64 // tokens of reads that may now be served
	Failed  []uint64 // tokens of reads that may not
}

// Empty reports whether there is nothing to do.
func (o *Output) Empty() bool {
	return o.Install == nil && len(o.Save)+len(o.Send)+len(o.Apply)+len(o.Reads)+len(o.Failed) == 0 && o.Restore == nil
}

// progress is what a leader knows of another member.
type progress struct {
	match, next uint64
	heard       time.Duration // latest reply
	acked       bool          // since the last beat
	offset      uint64        // of the snapshot being sent
	round       uint64        // latest heartbeat round confirmed
}

type read struct {
	token, round uint64
}

// Replica is one control instance's part in the log.
type Replica struct {
	config Config
	role   string
	term   uint64
	vote   string
	leader string

	mark    *wire.SnapshotMark // the log continues from it
	entries []*wire.Entry
	commit  uint64
	applied uint64
	members []*wire.Member // in force, from the log or the snapshot
	settled []*wire.Member // newest that is committed

	ticked   time.Duration // latest tick
	heard    time.Duration // from a leader, or vote given
	led      time.Duration // when it knew a leader last
	timeout  time.Duration
	random   uint64
	votes    map[string]bool
	peers    map[string]*progress
	beatAt   time.Duration
	round    uint64
	reads    []read
	incoming []byte // snapshot being received
	leaving  bool   // its process stops
	heir     string // voter asked to lead instead; no proposals are taken meanwhile
	spared   bool   // the leader followed has a quorum without this replica

	out Output
}

// New continues from what the disk held.
func New(config Config, at time.Duration, stored Stored) *Replica {
	r := &Replica{
		config: config, role: replicaChart.Initial, random: config.Seed | 1, ticked: at, heard: at, led: at,
		mark: &wire.SnapshotMark{},
	}
	if stored.Snapshot != nil {
		r.mark = stored.Snapshot
	}
	r.term, r.vote = stored.Hard.GetTerm(), stored.Hard.GetVote()
	r.entries = stored.Entries
	r.commit, r.applied = r.mark.GetIndex(), r.mark.GetIndex()
	r.settled = r.mark.GetMembers()
	r.refreshMembers()
	r.resetTimeout(at)
	if len(r.mark.GetImage()) > 0 {
		r.out.Restore = r.mark.GetImage()
	}
	return r
}

// Fold turns journal records, in order, into what New continues from.
func Fold(records []*wire.Record) (Stored, error) {
	var s Stored
	for _, rec := range records {
		switch body := rec.GetBody().(type) {
		case *wire.Record_HardState:
			s.Hard = body.HardState
		case *wire.Record_Snapshot:
			s.Snapshot, s.Entries = body.Snapshot, nil
		case *wire.Record_Entry:
			first := s.Snapshot.GetIndex() + 1
			index := body.Entry.GetIndex()
			if index < first || index > first+uint64(len(s.Entries)) {
				return s, fmt.Errorf("journal: entry %d does not follow entry %d", index, first+uint64(len(s.Entries))-1)
			}
			// An entry written again replaces the one of its index and all
			// that followed it.
			s.Entries = append(s.Entries[:index-first], body.Entry)
		}
	}
	return s, nil
}

// Take returns what must be done and forgets it.
func (r *Replica) Take() Output {
	out := r.out
	r.out = Output{}
	return out
}

// Role is the present role.
func (r *Replica) Role() string { return r.role }

// Term is the present term.
func (r *Replica) Term() uint64 { return r.term }

// Commit is the index up to which the log is settled.
func (r *Replica) Commit() uint64 { return r.commit }

// Members is the membership in force.
func (r *Replica) Members() []*wire.Member { return r.members }

// SettledMembers is the newest membership that is committed.
func (r *Replica) SettledMembers() []*wire.Member { return r.settled }

// FirstMembers is the membership that the log continues from.
func (r *Replica) FirstMembers() []*wire.Member { return r.mark.GetMembers() }

// LeaderAddress is the address of the leader that this replica follows; empty
// when it knows none.
func (r *Replica) LeaderAddress() string {
	for _, m := range r.members {
		if m.GetId() == r.leader {
			return m.GetAddress()
		}
	}
	return ""
}

// LogLength is the number of entries behind the snapshot.
func (r *Replica) LogLength() int { return len(r.entries) }

func (r *Replica) lastIndex() uint64 { return r.mark.GetIndex() + uint64(len(r.entries)) }

func (r *Replica) termAt(index uint64) (uint64, bool) {
	switch {
	case index == r.mark.GetIndex():
		return r.mark.GetTerm(), true
	case index < r.mark.GetIndex() || index > r.lastIndex():
		return 0, false
	}
	return r.entries[index-r.mark.GetIndex()-1].GetTerm(), true
}

func (r *Replica) lastTerm() uint64 {
	term, _ := r.termAt(r.lastIndex())
	return term
}

// refreshMembers takes the newest membership in the log, committed or not.
func (r *Replica) refreshMembers() {
	r.members = r.mark.GetMembers()
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

// quorum reports whether ok holds for a majority of the voters.
func (r *Replica) quorum(ok func(id string) bool) bool {
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

// become follows the chart; every caller asks for an arrow that it has.
func (r *Replica) become(on string) {
	next, err := replicaChart.Next(r.role, on)
	if err != nil {
		return
	}
	r.role = next
}

func (r *Replica) resetTimeout(at time.Duration) {
	// xorshift64: any spread will do, it only has to differ by replica.
	r.random ^= r.random << 13
	r.random ^= r.random >> 7
	r.random ^= r.random << 17
	r.heard = at
	r.timeout = r.config.Election + time.Duration(r.random%uint64(r.config.Election))
}

func (r *Replica) send(to, kind string, m *wire.Message) {
	m.Kind, m.From, m.To = kind, r.config.ID, to
	if m.GetTerm() == 0 {
		m.Term = r.term
	}
	r.out.Send = append(r.out.Send, m)
}

func (r *Replica) saveHard() {
	hard := &wire.HardState{Term: r.term, Vote: r.vote}
	r.out.Save = append(r.out.Save, &wire.Record{Body: &wire.Record_HardState{HardState: hard}})
}

func (r *Replica) others() []*wire.Member {
	return slices.DeleteFunc(slices.Clone(r.members), func(m *wire.Member) bool { return m.GetId() == r.config.ID })
}

// forgive takes a pause of this replica's own, for its disk or the system, off
// the silence of the others: it was not listening.
func (r *Replica) forgive(at time.Duration) {
	pause := at - r.ticked - r.config.Beat
	r.ticked = at
	if pause <= 0 {
		return
	}
	r.heard += pause
	for _, p := range r.peers {
		p.heard += pause
	}
}

// Tick lets time pass. It is called more often than the leader beats.
func (r *Replica) Tick(at time.Duration) {
	r.forgive(at)
	if r.leader != "" {
		r.led = at
	}
	if r.role == Leader {
		r.leaderTick(at)
		return
	}
	if at-r.heard >= r.timeout && r.isVoter(r.config.ID) {
		r.suspect(at)
		return
	}
	if at-r.heard >= r.timeout {
		r.leader = ""
	}
}

// suspect seeks a leader, first by a pre-vote that disturbs nobody.
func (r *Replica) suspect(at time.Duration) {
	r.become("suspect")
	r.leader = ""
	r.votes = map[string]bool{r.config.ID: true}
	r.resetTimeout(at)
	for _, m := range r.others() {
		r.send(m.GetId(), preVote, &wire.Message{Term: r.term + 1, Index: r.lastIndex(), LogTerm: r.lastTerm(), Address: r.config.Address})
	}
	r.countVotes(at)
}

func (r *Replica) countVotes(at time.Duration) {
	if !r.quorum(func(id string) bool { return r.votes[id] }) {
		return
	}
	switch r.role {
	case PreCandidate:
		r.campaign(at, "elect")
	case Candidate:
		r.lead(at)
	}
}

// campaign asks for votes. One that the leader asked to take over is voted for
// although that leader is still heard.
func (r *Replica) campaign(at time.Duration, on string) {
	r.become(on)
	r.term++
	r.vote = r.config.ID
	r.saveHard()
	r.votes = map[string]bool{r.config.ID: true}
	r.resetTimeout(at)
	for _, m := range r.others() {
		r.send(m.GetId(), vote, &wire.Message{Index: r.lastIndex(), LogTerm: r.lastTerm(), Granted: on == takeOver})
	}
	r.countVotes(at)
}

func (r *Replica) lead(at time.Duration) {
	r.become("win")
	r.leader, r.heir, r.spared = r.config.ID, "", false
	r.peers = map[string]*progress{}
	r.reads = nil
	for _, m := range r.others() {
		r.peers[m.GetId()] = &progress{next: r.lastIndex() + 1, heard: at}
	}
	// An entry of its own term lets the leader settle what earlier terms
	// left. The first of all holds the first membership: one who lost its disk
	// while the others formed is known to them by different identities.
	first := &wire.Entry{}
	if r.lastIndex() == 0 {
		first.Members = r.members
	}
	r.append(first)
	r.beat(at)
}

// follow steps back for a higher term or a leader of this one.
func (r *Replica) follow(at time.Duration, term uint64, leader string) {
	if term > r.term {
		r.term, r.vote = term, ""
		r.saveHard()
	}
	if leader != r.leader {
		r.spared = false
	}
	if r.role == Leader {
		r.failReads()
	}
	r.become("follow")
	r.leader = leader
	r.resetTimeout(at)
}

func (r *Replica) failReads() {
	for _, pending := range r.reads {
		r.out.Failed = append(r.out.Failed, pending.token)
	}
	r.reads = nil
}

// Step takes a message from another control instance. A message meant for the
// identity that stood at this address before is none of ours.
func (r *Replica) Step(at time.Duration, m *wire.Message) {
	if m.GetTo() != r.config.ID || !wellFormed(m) {
		return
	}
	switch m.GetKind() {
	case preVote:
		r.onPreVote(at, m)
		return
	case preVoteReply:
		r.onPreVoteReply(at, m)
		return
	case join:
		r.onJoin(m)
		return
	}
	if m.GetKind() == vote && !m.GetGranted() && r.hearsLeader(at) {
		return // a leader is there; who came back from a cut must not unseat it
	}
	if m.GetTerm() > r.term {
		leader := ""
		if m.GetKind() == appendEntries || m.GetKind() == snapshot {
			leader = m.GetFrom()
		}
		r.follow(at, m.GetTerm(), leader)
	}
	if m.GetTerm() < r.term {
		r.answerStale(m)
		return
	}
	switch m.GetKind() {
	case vote:
		r.onVote(at, m)
	case voteReply:
		r.onVoteReply(at, m)
	case appendEntries:
		r.onAppend(at, m)
	case appendReply:
		r.onAppendReply(at, m)
	case snapshot:
		r.onSnapshot(at, m)
	case snapshotReply:
		r.onSnapshotReply(at, m)
	case takeOver:
		if r.role != Leader && r.isVoter(r.config.ID) {
			r.campaign(at, takeOver)
		}
	}
}

// wellFormed reports whether a message's entries follow its index one by one.
func wellFormed(m *wire.Message) bool {
	for i, e := range m.GetEntries() {
		if e.GetIndex() != m.GetIndex()+uint64(i)+1 {
			return false
		}
	}
	return true
}

// answerStale tells a leader of an old term that it is one.
func (r *Replica) answerStale(m *wire.Message) {
	if m.GetKind() == appendEntries || m.GetKind() == snapshot {
		r.send(m.GetFrom(), appendReply, &wire.Message{})
	}
}

func (r *Replica) hearsLeader(at time.Duration) bool {
	if r.role == Leader {
		return true
	}
	return r.leader != "" && at-r.heard < r.config.Election
}

func (r *Replica) upToDate(m *wire.Message) bool {
	if m.GetLogTerm() != r.lastTerm() {
		return m.GetLogTerm() > r.lastTerm()
	}
	return m.GetIndex() >= r.lastIndex()
}

func (r *Replica) onPreVote(at time.Duration, m *wire.Message) {
	granted := m.GetTerm() > r.term && r.upToDate(m) && !r.hearsLeader(at)
	r.send(m.GetFrom(), preVoteReply, &wire.Message{Term: m.GetTerm(), Granted: granted, Round: r.term})
	if r.config.Open && r.role == Leader && !r.isMember(m.GetFrom()) {
		r.onJoin(m) // it was taken out while it was away and does not know it
	}
}

func (r *Replica) onPreVoteReply(at time.Duration, m *wire.Message) {
	// A refusal from a later term must raise ours, or we would ask for the
	// same term forever.
	if !m.GetGranted() && m.GetRound() > r.term && r.role != Leader {
		r.follow(at, m.GetRound(), "")
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
			r.saveHard()
		}
		r.resetTimeout(at)
	}
	r.send(m.GetFrom(), voteReply, &wire.Message{Granted: granted})
}

func (r *Replica) onVoteReply(at time.Duration, m *wire.Message) {
	if r.role != Candidate || !m.GetGranted() {
		return
	}
	r.votes[m.GetFrom()] = true
	r.countVotes(at)
}
