package replica

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"tanagerroad/core/wire"
)

// activeHeartbeats is the number of heartbeat intervals for which a member counts
// as active after a reply. It allows for one lost reply.
const activeHeartbeats = 3

// appendOwn appends an entry to the leader's own log, in the current term, and
// returns its index.
func (r *Replica) appendOwn(e *wire.Entry) uint64 {
	e.Term, e.Index = r.term, r.lastIndex()+1
	r.storeEntry(e)
	r.advance()
	return e.GetIndex()
}

// storeEntry appends e to the log and to the records to be saved. A membership
// in e takes effect at once, before it is committed.
func (r *Replica) storeEntry(e *wire.Entry) {
	r.entries = append(r.entries, e)
	r.out.Save = append(r.out.Save, &wire.Record{Body: &wire.Record_Entry{Entry: e}})
	if len(e.GetMembers()) > 0 {
		r.members = e.GetMembers()
		r.refreshProgress()
	}
}

// refreshProgress makes a leader's peers match the other current members. It does
// nothing in other roles.
func (r *Replica) refreshProgress() {
	if r.role != Leader {
		return
	}
	for _, m := range r.others() {
		if r.peers[m.GetId()] == nil {
			r.peers[m.GetId()] = &progress{next: r.lastIndex() + 1, lastReply: r.lastHeartbeat}
		}
	}
	for id := range r.peers {
		if !r.isMember(id) {
			delete(r.peers, id)
			delete(r.leavers, id)
		}
	}
}

// Propose appends a command to the log. It reports ok as false on a replica that
// is not the leader or is transferring leadership. The command is committed once
// an Output's Apply holds the entry with this index and term; an applied entry
// with the same index and another term means that the command was lost.
func (r *Replica) Propose(command []byte) (index, term uint64, ok bool) {
	if r.role != Leader || r.transferee != "" {
		return 0, 0, false
	}
	index = r.appendOwn(&wire.Entry{Command: command})
	return index, r.term, true
}

// Leave announces that this replica's process is shutting down. A leader then
// takes no more proposals and asks the most up-to-date voter to start an
// election. It repeats this at every heartbeat until another replica leads. Other
// replicas ask the leader to let them go, and start no more elections.
func (r *Replica) Leave() {
	r.leaving, r.safeToStop = true, false
	r.transferLeadership()
	r.requestLeave()
}

// Leaving reports whether Leave was called.
func (r *Replica) Leaving() bool { return r.leaving }

// SafeToStop reports whether the other voters have a quorum without this replica,
// according to the latest message of the current leader. After Leave it is true once
// the leader has agreed, with this replica's vote taken away if it can be spared.
func (r *Replica) SafeToStop() bool { return r.safeToStop }

// transferLeadership asks another voter to start an election if this replica is
// a leader that is shutting down.
func (r *Replica) transferLeadership() {
	if r.role != Leader || !r.leaving {
		return
	}
	best := ""
	for _, m := range r.others() {
		if m.GetVoter() && (best == "" || r.betterTransferee(m.GetId(), best)) {
			best = m.GetId()
		}
	}
	if best == "" {
		return
	}
	r.transferee = best
	r.sendAppend(best) // entries it may lack must arrive first
	r.send(best, msgTakeOver, &wire.Message{})
}

// betterTransferee reports whether a is a better target of a leadership transfer
// than b. It prefers voters that are not shutting down themselves, since two such would
// hand leadership to each other until they stop, then recently active ones, then those
// with more of the log.
func (r *Replica) betterTransferee(a, b string) bool {
	if x, y := r.isLeaving(a), r.isLeaving(b); x != y {
		return y
	}
	if x, y := r.recentlyActive(a), r.recentlyActive(b); x != y {
		return x
	}
	return r.peers[a].match > r.peers[b].match
}

// isLeaving reports whether a member has said lately that it is shutting down.
func (r *Replica) isLeaving(id string) bool {
	at, ok := r.leavers[id]
	return ok && r.lastTick-at < r.config.RemoveAfter
}

// recentlyActive reports whether a member has acknowledged an entry to this
// leader and has replied within the last activeHeartbeats heartbeat intervals.
func (r *Replica) recentlyActive(id string) bool {
	p := r.peers[id]
	return p != nil && p.match > 0 && r.lastHeartbeat-p.lastReply < activeHeartbeats*r.config.HeartbeatInterval
}

// quorumWithout reports whether the recently active voters other than id form a
// quorum. It is false until the leader has committed an entry of its own term.
func (r *Replica) quorumWithout(id string) bool {
	return r.committedOwnTerm() && r.hasQuorum(func(other string) bool {
		return other != id && (other == r.config.ID || r.recentlyActive(other))
	})
}

// Flush sends proposed entries to the other members. Calling it once after many
// proposals puts them into one message and one sync. It sends nothing to a member
// that has not acknowledged the last four messages' worth of entries.
func (r *Replica) Flush() {
	if r.role != Leader {
		return
	}
	for _, m := range r.others() {
		p := r.peers[m.GetId()]
		if p.next <= r.lastIndex() && r.lastIndex()-p.match < uint64(4*r.config.MaxEntries) {
			r.sendAppend(m.GetId())
		}
	}
}

// Read asks a quorum to confirm that this replica still leads, so that a
// linearizable read can be served from its state. The token is returned in
// Output.Reads once that is confirmed, or else in Output.FailedReads.
func (r *Replica) Read(token uint64) {
	if r.role != Leader || !r.committedOwnTerm() {
		r.out.FailedReads = append(r.out.FailedReads, token)
		return
	}
	r.round++
	r.reads = append(r.reads, pendingRead{token, r.round})
	for _, m := range r.others() {
		r.sendAppend(m.GetId())
	}
	r.confirmReads()
}

// committedOwnTerm reports whether an entry of the current term is committed.
// Until then a new leader's commit index may be behind what earlier leaders
// committed.
func (r *Replica) committedOwnTerm() bool {
	term, ok := r.termAt(r.commit)
	return ok && term == r.term
}

// confirmReads releases the pending reads whose round a quorum has acknowledged.
func (r *Replica) confirmReads() {
	for len(r.reads) > 0 {
		first := r.reads[0]
		confirmed := r.hasQuorum(func(id string) bool { return id == r.config.ID || r.peers[id].ackedRound >= first.round })
		if !confirmed {
			return
		}
		r.out.Reads = append(r.out.Reads, first.token)
		r.reads = r.reads[1:]
	}
}

// leaderTick steps down if no quorum has replied within the election timeout,
// and otherwise sends heartbeats when they are due.
func (r *Replica) leaderTick(at time.Duration) {
	active := r.hasQuorum(func(id string) bool {
		return id == r.config.ID || at-r.peers[id].lastReply < r.config.ElectionTimeout
	})
	if !active {
		r.becomeFollower(at, r.term, "")
		return
	}
	if at-r.lastHeartbeat >= r.config.HeartbeatInterval {
		r.heartbeat(at)
	}
}

// heartbeat sends an append message to every other member. To a member that has
// not replied since the last heartbeat, it sends all unacknowledged entries again.
// It then starts the membership change or leadership transfer that is due.
func (r *Replica) heartbeat(at time.Duration) {
	r.lastHeartbeat = at
	for _, m := range r.others() {
		p := r.peers[m.GetId()]
		if !p.acked && p.match > 0 {
			p.next = p.match + 1 // entries in flight may be lost
		}
		p.acked = false
		r.sendAppend(m.GetId())
	}
	r.promoteLearner()
	r.removeSilent(at)
	r.transferLeadership()
}

// sendAppend sends a member the next entries, possibly none. If the log was
// compacted past the entry before them, it sends the next chunk of the snapshot
// instead.
func (r *Replica) sendAppend(to string) {
	p := r.peers[to]
	prev := p.next - 1
	prevTerm, ok := r.termAt(prev)
	if !ok {
		r.sendSnapshot(to, p)
		return
	}
	batch := r.nextEntries(p.next)
	p.next += uint64(len(batch))
	r.send(to, msgAppend, &wire.Message{
		Index: prev, LogTerm: prevTerm, Commit: r.commit, Entries: batch, Round: r.round, Spare: r.quorumWithout(to),
	})
}

// nextEntries returns the entries starting at index from that fit into one
// message. It returns at least one entry if there is one, even if it is larger
// than the limit in bytes.
func (r *Replica) nextEntries(from uint64) []*wire.Entry {
	rest := r.entries[from-r.snapshot.GetIndex()-1:]
	size := 0
	for i, e := range rest {
		size += proto.Size(e)
		if i >= r.config.MaxEntries || size > r.config.MaxChunkBytes && i > 0 {
			return slices.Clone(rest[:i])
		}
	}
	return slices.Clone(rest)
}

func (r *Replica) sendSnapshot(to string, p *progress) {
	image := r.snapshot.GetImage()
	start := min(p.snapshotOffset, uint64(len(image)))
	end := min(start+uint64(r.config.MaxChunkBytes), uint64(len(image)))
	r.send(to, msgSnapshot, &wire.Message{
		SnapshotIndex: r.snapshot.GetIndex(), SnapshotTerm: r.snapshot.GetTerm(), Members: r.snapshot.GetMembers(),
		Offset: start, Chunk: image[start:end], Last: end == uint64(len(image)), Round: r.round,
	})
}

// onAppend handles entries or a heartbeat from the leader of the current term.
func (r *Replica) onAppend(at time.Duration, m *wire.Message) {
	r.becomeFollower(at, m.GetTerm(), m.GetFrom())
	if !r.leaving {
		r.safeToStop = m.GetSpare()
	}
	if m.GetIndex() < r.commit {
		// The entries up to the commit index cannot change any more.
		r.reply(m, true, r.commit)
		return
	}
	term, ok := r.termAt(m.GetIndex())
	if !ok {
		r.reply(m, false, r.lastIndex())
		return
	}
	if term != m.GetLogTerm() {
		// The leader holds every entry that is committed here, so one reply
		// finds a common prefix however many entries differ.
		r.reply(m, false, r.commit)
		return
	}
	for _, e := range m.GetEntries() {
		if have, ok := r.termAt(e.GetIndex()); ok && have == e.GetTerm() {
			continue
		}
		r.entries = r.entries[:e.GetIndex()-r.snapshot.GetIndex()-1]
		r.refreshMembers()
		r.storeEntry(e)
	}
	match := m.GetIndex() + uint64(len(m.GetEntries()))
	r.reply(m, true, match)
	r.commitTo(min(m.GetCommit(), match))
	r.followsCommit = r.commit >= m.GetCommit()
}

func (r *Replica) reply(m *wire.Message, granted bool, index uint64) {
	r.send(m.GetFrom(), msgAppendReply, &wire.Message{Granted: granted, Index: index, Round: m.GetRound()})
}

func (r *Replica) onAppendReply(at time.Duration, m *wire.Message) {
	p := r.peers[m.GetFrom()]
	if r.role != Leader || p == nil {
		return
	}
	p.lastReply, p.acked = at, true
	p.ackedRound = max(p.ackedRound, m.GetRound())
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

// advance commits the entries that a majority of voters has synced. The leader
// counts itself: an Output is saved before any part of it is sent or applied.
func (r *Replica) advance() {
	for index := r.lastIndex(); index > r.commit; index-- {
		if term, _ := r.termAt(index); term != r.term {
			return // entries of earlier terms commit only along with one of this term
		}
		replicated := r.hasQuorum(func(id string) bool {
			return id == r.config.ID || r.peers[id] != nil && r.peers[id].match >= index
		})
		if replicated {
			r.commitTo(index)
			return
		}
	}
}

// commitTo raises the commit index and adds the newly committed entries to
// Output.Apply.
func (r *Replica) commitTo(index uint64) {
	if index <= r.commit {
		return
	}
	r.commit = index
	for r.applied < r.commit {
		r.applied++
		e := r.entries[r.applied-r.snapshot.GetIndex()-1]
		if len(e.GetMembers()) > 0 {
			r.committedMembers = e.GetMembers()
		}
		r.out.Apply = append(r.out.Apply, e)
	}
}

// onSnapshot collects the chunks of a snapshot and installs it after the last
// one. A chunk at an unexpected offset is dropped and the expected offset is sent
// back. A chunk of another snapshot begins that one anew.
func (r *Replica) onSnapshot(at time.Duration, m *wire.Message) {
	r.becomeFollower(at, m.GetTerm(), m.GetFrom())
	if m.GetSnapshotIndex() <= r.commit {
		r.reply(m, true, r.commit)
		return
	}
	if m.GetOffset() == 0 || r.incoming.GetIndex() != m.GetSnapshotIndex() || r.incoming.GetTerm() != m.GetSnapshotTerm() {
		r.incoming = &wire.SnapshotMark{Index: m.GetSnapshotIndex(), Term: m.GetSnapshotTerm(), Members: m.GetMembers()}
	}
	if m.GetOffset() != uint64(len(r.incoming.GetImage())) {
		r.replySnapshot(m)
		return
	}
	r.incoming.Image = append(r.incoming.Image, m.GetChunk()...)
	if !m.GetLast() {
		r.replySnapshot(m)
		return
	}
	r.install(r.incoming)
	r.incoming = nil
	r.reply(m, true, r.commit)
}

func (r *Replica) replySnapshot(m *wire.Message) {
	r.send(m.GetFrom(), msgSnapshotReply, &wire.Message{
		Offset: uint64(len(r.incoming.GetImage())), SnapshotIndex: m.GetSnapshotIndex(), Round: m.GetRound(),
	})
}

// install replaces the log up to the snapshot mark. If the log agrees with the
// snapshot, the entries after it are kept: they may have been acknowledged.
func (r *Replica) install(mark *wire.SnapshotMark) {
	var rest []*wire.Entry
	if term, ok := r.termAt(mark.GetIndex()); ok && term == mark.GetTerm() {
		rest = slices.Clone(r.entries[mark.GetIndex()-r.snapshot.GetIndex():])
	}
	r.snapshot, r.entries = mark, rest
	r.followsCommit = false
	r.commit, r.applied = mark.GetIndex(), mark.GetIndex()
	r.committedMembers = mark.GetMembers()
	r.refreshMembers()
	r.out.Apply = nil
	r.out.Install = r.JournalRecords()
	r.out.Restore = mark.GetImage()
	r.out.Save = nil
}

// JournalRecords returns the records of a journal that holds the whole current
// state.
func (r *Replica) JournalRecords() []*wire.Record {
	records := []*wire.Record{
		{Body: &wire.Record_Snapshot{Snapshot: r.snapshot}},
		{Body: &wire.Record_HardState{HardState: &wire.HardState{Term: r.term, Vote: r.vote}}},
	}
	for _, e := range r.entries {
		records = append(records, &wire.Record{Body: &wire.Record_Entry{Entry: e}})
	}
	return records
}

func (r *Replica) onSnapshotReply(at time.Duration, m *wire.Message) {
	p := r.peers[m.GetFrom()]
	if r.role != Leader || p == nil || m.GetSnapshotIndex() != r.snapshot.GetIndex() {
		return
	}
	p.lastReply, p.acked = at, true
	p.ackedRound = max(p.ackedRound, m.GetRound())
	p.snapshotOffset = m.GetOffset()
	r.confirmReads()
	r.sendSnapshot(m.GetFrom(), p)
}

// Compact replaces the log up to the applied index with image, the serialized
// state at that index. It returns the records that must replace the whole
// journal.
func (r *Replica) Compact(image []byte) []*wire.Record {
	term, _ := r.termAt(r.applied)
	mark := &wire.SnapshotMark{Index: r.applied, Term: term, Members: r.committedMembers, Image: image}
	r.entries = slices.Clone(r.entries[r.applied-r.snapshot.GetIndex():])
	r.snapshot = mark
	for _, p := range r.peers {
		p.snapshotOffset = 0
	}
	return r.JournalRecords()
}
