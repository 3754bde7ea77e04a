package replica

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"tanagerroad/core/wire"
)

// Join asks the control instances with these identities to add this replica as a
// member; only the leader acts on it. A replica whose disk was emptied has a new
// identity and is not a member yet. Join sends nothing unless there is a reason to
// ask, and at most once in a heartbeat interval. The reasons are:
//
//   - The replica is not a member.
//   - It is a learner without a live leader. The entry that added it may never
//     have been committed.
//   - It is a voter that has known no leader for the removal timeout, and either
//     membership is open, so that it may have been removed meanwhile, or it has
//     no committed entry, so that the others may have formed the cluster with
//     its previous identity.
//
// A replica that leaves asks for nothing.
func (r *Replica) Join(at time.Duration, ids []string) {
	if r.leaving || at-r.lastJoin < r.config.HeartbeatInterval && r.lastJoin > 0 {
		return
	}
	isolated := (r.config.OpenMembership || r.commit == 0) && at-r.leaderSeen > r.config.RemoveAfter
	if r.isVoter(r.config.ID) && !isolated || !r.isVoter(r.config.ID) && r.isMember(r.config.ID) && r.hasLiveLeader(at) {
		return
	}
	r.lastJoin = at
	for _, id := range ids {
		r.send(id, msgJoin, &wire.Message{Address: r.config.Address})
	}
}

// passOnJoin passes the request to join on to the leader, once: the addresses that a new
// instance knows may not include the leader's.
func (r *Replica) passOnJoin(m *wire.Message) {
	if r.leader == "" || r.role == Leader || m.GetGranted() {
		return
	}
	passed := proto.CloneOf(m)
	passed.To, passed.Granted = r.leader, true
	r.out.Send = append(r.out.Send, passed)
}

// onJoin adds a new identity as a learner. If a member has the same address, its
// disk is lost, so it is removed in the same change: that change removes at most
// one voter and adds none. Unless membership is open, only the address of a
// member is accepted.
func (r *Replica) onJoin(m *wire.Message) {
	if r.role != Leader || !r.mayChangeMembers() || r.isMember(m.GetFrom()) {
		return
	}
	knownAddress := slices.ContainsFunc(r.members, func(old *wire.Member) bool { return old.GetAddress() == m.GetAddress() })
	if !knownAddress && !r.config.OpenMembership || m.GetAddress() == r.config.Address || m.GetAddress() == "" {
		return
	}
	var next []*wire.Member
	for _, old := range r.members {
		if old.GetAddress() != m.GetAddress() {
			next = append(next, old)
		}
	}
	next = append(next, &wire.Member{Id: m.GetFrom(), Address: m.GetAddress()})
	r.changeMembers(next)
}

// mayChangeMembers reports whether a membership change may start: the leader
// must have committed an entry of its own term, and no earlier change may be
// uncommitted.
func (r *Replica) mayChangeMembers() bool {
	if !r.committedOwnTerm() {
		return false
	}
	for _, e := range r.entries {
		if e.GetIndex() > r.commit && len(e.GetMembers()) > 0 {
			return false
		}
	}
	return true
}

// sortMembers sorts members by identity.
func sortMembers(members []*wire.Member) {
	slices.SortFunc(members, func(a, b *wire.Member) int { return cmp.Compare(a.GetId(), b.GetId()) })
}

// changeMembers proposes next as the membership. It sorts next by identity.
func (r *Replica) changeMembers(next []*wire.Member) {
	sortMembers(next)
	r.appendOwn(&wire.Entry{Members: next})
	r.Flush()
}

// promoteLearner makes one learner a voter, if one has synced all committed
// entries.
func (r *Replica) promoteLearner() {
	if !r.mayChangeMembers() {
		return
	}
	for i, m := range r.members {
		if m.GetVoter() || r.peers[m.GetId()] == nil || r.peers[m.GetId()].match < r.commit {
			continue
		}
		next := slices.Clone(r.members)
		next[i] = proto.CloneOf(m)
		next[i].Voter = true
		r.voterAdded = r.lastHeartbeat
		r.changeMembers(next)
		return
	}
}

const (
	// minVotersForRemoval is the number of voters from which on a silent one is removed.
	minVotersForRemoval = 4
	// replacedTimeouts is the silence, in election timeouts, after which a voter that was
	// silent when the latest voter was added is removed. It is well below the time in which a
	// successor must have taken over, of 4 s at the least.
	replacedTimeouts = 3
)

// removeSilent removes one member that has not replied for the removal timeout,
// so that instances that never return do not count for the quorum. A removed
// instance that does return asks to join again. No voter is removed if the remaining
// ones would tolerate too few failures, since the silent one may only be partitioned.
//
// A voter that was silent already when the latest voter was added has probably been replaced
// by that one. It is removed sooner, since the loss of another voter may cost the quorum.
func (r *Replica) removeSilent(at time.Duration) {
	if !r.config.OpenMembership || r.role != Leader || !r.mayChangeMembers() {
		return
	}
	for _, m := range r.members {
		p := r.peers[m.GetId()]
		if p == nil || m.GetVoter() && !r.canSpareVoter() {
			continue
		}
		timeout := r.config.RemoveAfter
		if m.GetVoter() && p.lastReply <= r.voterAdded {
			timeout = min(timeout, replacedTimeouts*r.config.ElectionTimeout)
		}
		if at-p.lastReply >= timeout {
			r.removeMember(m.GetId())
			return
		}
	}
}

// canSpareVoter reports whether the voters tolerate enough failures with one voter less: as
// many as before, or as many as the settings ask for.
func (r *Replica) canSpareVoter() bool {
	voters := 0
	for _, m := range r.members {
		if m.GetVoter() {
			voters++
		}
	}
	before, after := (voters-1)/2, (voters-2)/2
	return voters >= minVotersForRemoval && (after == before || r.config.Tolerate > 0 && after >= r.config.Tolerate)
}

// removeMember proposes the membership without a member.
func (r *Replica) removeMember(id string) {
	r.changeMembers(slices.DeleteFunc(slices.Clone(r.members), func(m *wire.Member) bool { return m.GetId() == id }))
}

// requestLeave asks the leader, as long as it has not agreed, whether this replica may stop. A
// leader that has removed this replica sends it nothing more, so while none is known all members
// are asked; only a leader replies.
func (r *Replica) requestLeave() {
	if !r.leaving || r.safeToStop || r.role == Leader {
		return
	}
	for _, m := range r.others() {
		if r.leader == "" || m.GetId() == r.leader {
			r.send(m.GetId(), msgLeave, &wire.Message{})
		}
	}
}

// onLeave handles the request of a member whose process is shutting down. Its vote is taken
// away first if the others then tolerate as many failures as before: an instance that was
// replaced does not come back. One that restarts asks to join again.
func (r *Replica) onLeave(m *wire.Message) {
	id := m.GetFrom()
	if r.role != Leader || !r.mayChangeMembers() {
		return
	}
	if r.config.OpenMembership && r.isVoter(id) && r.canSpareVoter() && r.othersActive(id) {
		r.removeMember(id)
		return // it asks again
	}
	if r.quorumWithout(id) {
		r.send(id, msgLeaveReply, &wire.Message{})
	}
}

// othersActive reports whether the recently active voters other than id are a majority of
// the voters other than id.
func (r *Replica) othersActive(id string) bool {
	voters, active := 0, 0
	for _, m := range r.members {
		if !m.GetVoter() || m.GetId() == id {
			continue
		}
		voters++
		if m.GetId() == r.config.ID || r.recentlyActive(m.GetId()) {
			active++
		}
	}
	return 2*active > voters
}

// Formation is what an instance without a journal must do next.
type Formation int

// The values of Formation.
const (
	Wait             Formation = iota // ask again: not all instances have answered
	StartWithMembers                  // start with the returned members
	JoinExisting                      // join an existing cluster that lacks this identity
)

// DecideFormation decides what an instance without a journal does, given the
// answers of the listed addresses, its own included. For StartWithMembers it also
// returns the initial members. A new cluster forms only when every listed instance
// has answered and is empty, so an instance that lost its disk never starts a
// second cluster. If a cluster exists and its members include this instance's
// identity, the instance starts with those members.
func DecideFormation(self *wire.HelloReply, listed []string, answers map[string]*wire.HelloReply) (Formation, []*wire.Member) {
	anyFormed := false
	for _, address := range listed {
		answer := answers[address]
		if answer == nil || answer.GetEmpty() {
			continue
		}
		anyFormed = true
		mine := slices.ContainsFunc(answer.GetMembers(), func(m *wire.Member) bool { return m.GetId() == self.GetId() })
		if mine {
			return StartWithMembers, answer.GetMembers()
		}
	}
	if anyFormed {
		return JoinExisting, nil
	}
	var members []*wire.Member
	for _, address := range listed {
		answer := answers[address]
		if answer == nil {
			return Wait, nil
		}
		members = append(members, &wire.Member{Id: answer.GetId(), Address: address, Voter: true})
	}
	sortMembers(members)
	return StartWithMembers, members
}

// DecideFormationByMajority is DecideFormation for an instance that may form a new cluster and
// has waited in vain for some of the listed ones. A majority of the listed instances that may
// form one is enough. The others are voters with identities that nobody has: whatever they have
// decided, each majority of theirs and each of the members returned have an instance in common.
// One that comes, or that replaces them, joins like an instance that has lost its disk.
func DecideFormationByMajority(self *wire.HelloReply, listed []string, answers map[string]*wire.HelloReply) (Formation, []*wire.Member) {
	formation, members := DecideFormation(self, listed, answers)
	if formation != Wait {
		return formation, members
	}
	answered := 0
	for _, address := range listed {
		id := "missing at " + address
		if answer := answers[address]; answer.GetBootstrap() {
			id = answer.GetId()
			answered++
		}
		members = append(members, &wire.Member{Id: id, Address: address, Voter: true})
	}
	if 2*answered <= len(listed) {
		return Wait, nil
	}
	sortMembers(members)
	return StartWithMembers, members
}
