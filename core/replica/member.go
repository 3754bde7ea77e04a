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
// ask. The reasons are:
//
//   - The replica is not a member.
//   - It is a learner without a live leader. The entry that added it may never
//     have been committed.
//   - It is a voter that has known no leader for the removal timeout, and either
//     membership is open, so that it may have been removed meanwhile, or it has
//     no committed entry, so that the others may have formed the cluster with
//     its previous identity.
func (r *Replica) Join(at time.Duration, ids []string) {
	isolated := (r.config.OpenMembership || r.commit == 0) && at-r.leaderSeen > r.config.RemoveAfter
	if r.isVoter(r.config.ID) && !isolated || !r.isVoter(r.config.ID) && r.isMember(r.config.ID) && r.hasLiveLeader(at) {
		return
	}
	for _, id := range ids {
		r.send(id, msgJoin, &wire.Message{Address: r.config.Address})
	}
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

// changeMembers proposes next as the membership. It sorts next by identity.
func (r *Replica) changeMembers(next []*wire.Member) {
	slices.SortFunc(next, func(a, b *wire.Member) int { return cmp.Compare(a.GetId(), b.GetId()) })
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
		r.changeMembers(next)
		return
	}
}

// minVotersForRemoval is the number of voters from which on a silent one is
// removed.
const minVotersForRemoval = 4

// removeSilent removes one member that has not replied for the removal timeout,
// so that instances that never return do not count for the quorum. A removed
// instance that does return asks to join again. No voter is removed from an odd
// number of voters: the remaining ones would tolerate fewer failures, and the
// silent voter may only be partitioned.
func (r *Replica) removeSilent(at time.Duration) {
	if !r.config.OpenMembership || r.role != Leader || !r.mayChangeMembers() {
		return
	}
	voters := 0
	for _, m := range r.members {
		if m.GetVoter() {
			voters++
		}
	}
	for i, m := range r.members {
		p := r.peers[m.GetId()]
		if p == nil || at-p.lastReply < r.config.RemoveAfter || m.GetVoter() && (voters < minVotersForRemoval || voters%2 == 1) {
			continue
		}
		r.changeMembers(slices.Delete(slices.Clone(r.members), i, i+1))
		return
	}
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
	slices.SortFunc(members, func(a, b *wire.Member) int { return cmp.Compare(a.GetId(), b.GetId()) })
	return StartWithMembers, members
}
