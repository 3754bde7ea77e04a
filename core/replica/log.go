package replica

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"tanagerroad/core/wire"
)

// answerBeats is for how many beats an answer counts: one may be lost.
const answerBeats = 3

// append adds an entry to the leader's own log.
func (r *Replica) append(e *wire.Entry) uint64 {
	e.Term, e.Index = r.term, r.lastIndex()+1
	r.keep(e)
	r.advance()
	return e.GetIndex()
}

func (r *Replica) keep(e *wire.Entry) {
	r.entries = append(r.entries, e)
	r.out.Save = append(r.out.Save, &wire.Record{Body: &wire.Record_Entry{Entry: e}})
	if len(e.GetMembers()) > 0 {
		r.members = e.GetMembers()
		r.trackMembers()
	}
}

// trackMembers gives a leader a progress for each member.
func (r *Replica) trackMembers() {
	if r.role != Leader {
		return
	}
	for _, m := range r.others() {
		if r.peers[m.GetId()] == nil {
			r.peers[m.GetId()] = &progress{next: r.lastIndex() + 1, heard: r.beatAt}
		}
	}
	for id := range r.peers {
		if !r.isMember(id) {
			delete(r.peers, id)
		}
	}
}

// Propose adds a command to the log, on the leader alone. The command is in
// force once an Output's Apply holds the entry with this index and term; a
// different term at the index means that it was lost.
func (r *Replica) Propose(command []byte) (index, term uint64, ok bool) {
	if r.role != Leader || r.heir != "" {
		return 0, 0, false
	}
	index = r.append(&wire.Entry{Command: command})
	return index, r.term, true
}

// Leave says that this replica's process stops. A leader asks the voter that
// holds most of the log to lead instead, again at each beat, and takes no more
// proposals.
func (r *Replica) Leave() {
	r.leaving = true
	r.handOver()
}

// Spared reports whether the rest has a quorum without this replica, as its
// leader said last.
func (r *Replica) Spared() bool { return r.spared }

func (r *Replica) handOver() {
	if r.role != Leader || !r.leaving {
		return
	}
	heir := ""
	for _, m := range r.others() {
		if m.GetVoter() && (heir == "" || r.betterHeir(m.GetId(), heir)) {
			heir = m.GetId()
		}
	}
	if heir == "" {
		return
	}
	r.heir = heir
	r.sendAppend(heir) // what it may lack goes before
	r.send(heir, takeOver, &wire.Message{})
}

// betterHeir prefers voters that answer, then those that hold more of the log.
func (r *Replica) betterHeir(a, b string) bool {
	if x, y := r.answers(a), r.answers(b); x != y {
		return x
	}
	return r.peers[a].match > r.peers[b].match
}

// answers reports whether a member has answered this leader lately.
func (r *Replica) answers(id string) bool {
	p := r.peers[id]
	return p != nil && p.match > 0 && r.beatAt-p.heard < answerBeats*r.config.Beat
}

// spares reports whether there is a quorum without a member.
func (r *Replica) spares(id string) bool {
	return r.settledOwnTerm() && r.quorum(func(other string) bool {
		return other != id && (other == r.config.ID || r.answers(other))
	})
}

// Flush sends what Propose added. Calling it once after many proposals makes
// them one message and one sync.
func (r *Replica) Flush() {
	if r.role != Leader {
		return
	}
	for _, m := range r.others() {
		p := r.peers[m.GetId()]
		if p.next <= r.lastIndex() && r.lastIndex()-p.match < uint64(4*r.config.Entries) {
			r.sendAppend(m.GetId())
		}
	}
}

// Read asks for a quorum's word that this replica still leads. Its token comes
// out in Output.Reads, or in Output.Failed.
func (r *Replica) Read(token uint64) {
	if r.role != Leader || !r.settledOwnTerm() {
		r.out.Failed = append(r.out.Failed, token)
		return
	}
	r.round++
	r.reads = append(r.reads, read{token, r.round})
	for _, m := range r.others() {
		r.sendAppend(m.GetId())
	}
	r.confirmReads()
}

// settledOwnTerm reports whether an entry of this term is committed; before
// that a leader does not know what is.
func (r *Replica) settledOwnTerm() bool {
	term, ok := r.termAt(r.commit)
	return ok && term == r.term
}

func (r *Replica) confirmReads() {
	for len(r.reads) > 0 {
		first := r.reads[0]
		confirmed := r.quorum(func(id string) bool { return id == r.config.ID || r.peers[id].round >= first.round })
		if !confirmed {
			return
		}
		r.out.Reads = append(r.out.Reads, first.token)
		r.reads = r.reads[1:]
	}
}

func (r *Replica) leaderTick(at time.Duration) {
	heard := r.quorum(func(id string) bool {
		return id == r.config.ID || at-r.peers[id].heard < r.config.Election
	})
	if !heard {
		r.follow(at, r.term, "")
		return
	}
	if at-r.beatAt >= r.config.Beat {
		r.beat(at)
	}
}

func (r *Replica) beat(at time.Duration) {
	r.beatAt = at
	for _, m := range r.others() {
		p := r.peers[m.GetId()]
		if !p.acked && p.match > 0 {
			p.next = p.match + 1 // what was sent may be lost
		}
		p.acked = false
		r.sendAppend(m.GetId())
	}
	r.promote()
	r.retire(at)
	r.handOver()
}

// sendAppend sends a member what comes next for it, or the snapshot when the
// log no longer reaches back so far.
func (r *Replica) sendAppend(to string) {
	p := r.peers[to]
	prev := p.next - 1
	prevTerm, ok := r.termAt(prev)
	if !ok {
		r.sendSnapshot(to, p)
		return
	}
	batch := r.batch(p.next)
	p.next += uint64(len(batch))
	r.send(to, appendEntries, &wire.Message{
		Index: prev, LogTerm: prevTerm, Commit: r.commit, Entries: batch, Round: r.round, Spare: r.spares(to),
	})
}

func (r *Replica) batch(from uint64) []*wire.Entry {
	rest := r.entries[from-r.mark.GetIndex()-1:]
	size := 0
	for i, e := range rest {
		size += proto.Size(e)
		if i >= r.config.Entries || size > r.config.Chunk && i > 0 {
			return slices.Clone(rest[:i])
		}
	}
	return slices.Clone(rest)
}

func (r *Replica) sendSnapshot(to string, p *progress) {
	image := r.mark.GetImage()
	start := min(p.offset, uint64(len(image)))
	end := min(start+uint64(r.config.Chunk), uint64(len(image)))
	r.send(to, snapshot, &wire.Message{
		SnapshotIndex: r.mark.GetIndex(), SnapshotTerm: r.mark.GetTerm(), Members: r.mark.GetMembers(),
		Offset: start, Chunk: image[start:end], Last: end == uint64(len(image)), Round: r.round,
	})
}

func (r *Replica) onAppend(at time.Duration, m *wire.Message) {
	r.follow(at, m.GetTerm(), m.GetFrom())
	r.spared = m.GetSpare()
	if m.GetIndex() < r.commit {
		// All up to the commit is settled here already.
		r.reply(m, true, r.commit)
		return
	}
	term, ok := r.termAt(m.GetIndex())
	if !ok {
		r.reply(m, false, r.lastIndex())
		return
	}
	if term != m.GetLogTerm() {
		// What is committed here the leader has too, so one answer finds
		// common ground however many entries differ.
		r.reply(m, false, r.commit)
		return
	}
	for _, e := range m.GetEntries() {
		if have, ok := r.termAt(e.GetIndex()); ok && have == e.GetTerm() {
			continue
		}
		r.entries = r.entries[:e.GetIndex()-r.mark.GetIndex()-1]
		r.refreshMembers()
		r.keep(e)
	}
	match := m.GetIndex() + uint64(len(m.GetEntries()))
	r.reply(m, true, match)
	r.commitTo(min(m.GetCommit(), match))
}

func (r *Replica) reply(m *wire.Message, granted bool, index uint64) {
	r.send(m.GetFrom(), appendReply, &wire.Message{Granted: granted, Index: index, Round: m.GetRound()})
}

func (r *Replica) onAppendReply(at time.Duration, m *wire.Message) {
	p := r.peers[m.GetFrom()]
	if r.role != Leader || p == nil {
		return
	}
	p.heard, p.acked = at, true
	p.round = max(p.round, m.GetRound())
	if !m.GetGranted() {
		p.next = max(p.match, min(m.GetIndex(), r.lastIndex())) + 1
		r.sendAppend(m.GetFrom())
		r.confirmReads()
		return
	}
	p.match = max(p.match, m.GetIndex())
	p.next = max(p.next, p.match+1)
	r.advance()
	if p.next <= r.lastIndex() {
		r.sendAppend(m.GetFrom())
	}
	r.confirmReads()
}

// advance commits what a majority of voters has synced. The leader counts
// itself, since an Output is saved before anything of it is sent or applied.
func (r *Replica) advance() {
	for index := r.lastIndex(); index > r.commit; index-- {
		if term, _ := r.termAt(index); term != r.term {
			return // entries of earlier terms are settled only through ours
		}
		held := r.quorum(func(id string) bool {
			return id == r.config.ID || r.peers[id] != nil && r.peers[id].match >= index
		})
		if held {
			r.commitTo(index)
			return
		}
	}
}

func (r *Replica) commitTo(index uint64) {
	if index <= r.commit {
		return
	}
	r.commit = index
	for r.applied < r.commit {
		r.applied++
		e := r.entries[r.applied-r.mark.GetIndex()-1]
		if len(e.GetMembers()) > 0 {
			r.settled = e.GetMembers()
		}
		r.out.Apply = append(r.out.Apply, e)
	}
}

func (r *Replica) onSnapshot(at time.Duration, m *wire.Message) {
	r.follow(at, m.GetTerm(), m.GetFrom())
	if m.GetSnapshotIndex() <= r.commit {
		r.reply(m, true, r.commit)
		return
	}
	if m.GetOffset() == 0 {
		r.incoming = nil
	}
	if m.GetOffset() != uint64(len(r.incoming)) {
		r.replySnapshot(m)
		return
	}
	r.incoming = append(r.incoming, m.GetChunk()...)
	if !m.GetLast() {
		r.replySnapshot(m)
		return
	}
	r.install(&wire.SnapshotMark{
		Index: m.GetSnapshotIndex(), Term: m.GetSnapshotTerm(), Members: m.GetMembers(), Image: r.incoming,
	})
	r.incoming = nil
	r.reply(m, true, r.commit)
}

func (r *Replica) replySnapshot(m *wire.Message) {
	r.send(m.GetFrom(), snapshotReply, &wire.Message{
		Offset: uint64(len(r.incoming)), SnapshotIndex: m.GetSnapshotIndex(), Round: m.GetRound(),
	})
}

// install continues the log from mark. Entries behind it that agree with it
// are kept: they may have been acknowledged.
func (r *Replica) install(mark *wire.SnapshotMark) {
	var rest []*wire.Entry
	if term, ok := r.termAt(mark.GetIndex()); ok && term == mark.GetTerm() {
		rest = slices.Clone(r.entries[mark.GetIndex()-r.mark.GetIndex():])
	}
	r.mark, r.entries = mark, rest
	r.commit, r.applied = mark.GetIndex(), mark.GetIndex()
	r.settled = mark.GetMembers()
	r.refreshMembers()
	r.out.Apply = nil
	r.out.Install = r.journal()
	r.out.Restore = mark.GetImage()
	r.out.Save = nil
}

// journal is the replica's whole journal.
func (r *Replica) journal() []*wire.Record {
	records := []*wire.Record{
		{Body: &wire.Record_Snapshot{Snapshot: r.mark}},
		{Body: &wire.Record_HardState{HardState: &wire.HardState{Term: r.term, Vote: r.vote}}},
	}
	for _, e := range r.entries {
		records = append(records, &wire.Record{Body: &wire.Record_Entry{Entry: e}})
	}
	return records
}

func (r *Replica) onSnapshotReply(at time.Duration, m *wire.Message) {
	p := r.peers[m.GetFrom()]
	if r.role != Leader || p == nil || m.GetSnapshotIndex() != r.mark.GetIndex() {
		return
	}
	p.heard, p.acked = at, true
	p.round = max(p.round, m.GetRound())
	p.offset = m.GetOffset()
	r.confirmReads()
	r.sendSnapshot(m.GetFrom(), p)
}

// Compact replaces the log up to the applied index by the image of the state
// there. It returns the records of the new journal, to be written as a whole.
func (r *Replica) Compact(image []byte) []*wire.Record {
	term, _ := r.termAt(r.applied)
	mark := &wire.SnapshotMark{Index: r.applied, Term: term, Members: r.settled, Image: image}
	r.entries = slices.Clone(r.entries[r.applied-r.mark.GetIndex():])
	r.mark = mark
	for _, p := range r.peers {
		p.offset = 0
	}
	return r.journal()
}
