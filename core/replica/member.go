package replica

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"tanagerroad/core/wire"
)

// Join asks the control instances at to, whichever of them leads, to take this
// replica in. A replica with an emptied disk has a new identity and is no
// member until then. One that hears no leader asks again even if its own log
// makes it a learner: the entry that did may never have been committed. So does a
// voter that has known no leader for long, where membership is open: it may have
// been taken out while it was away; and anywhere before it knew a settled entry:
// the others may have formed with an identity that it had before.
func (r *Replica) Join(at time.Duration, to []string) {
	lonely := (r.config.Open || r.commit == 0) && at-r.led > r.config.Retire
	if r.isVoter(r.config.ID) && !lonely || !r.isVoter(r.config.ID) && r.isMember(r.config.ID) && r.hearsLeader(at) {
		return
	}
	for _, id := range to {
		r.send(id, join, &wire.Message{Address: r.config.Address})
	}
}

// onJoin takes a new identity in as a learner. It stands at the address of a
// member whose disk is gone, so that member leaves in the same step: one voter
// fewer, none more.
func (r *Replica) onJoin(m *wire.Message) {
	if r.role != Leader || !r.mayChangeMembers() || r.isMember(m.GetFrom()) {
		return
	}
	known := slices.ContainsFunc(r.members, func(old *wire.Member) bool { return old.GetAddress() == m.GetAddress() })
	if !known && !r.config.Open || m.GetAddress() == r.config.Address || m.GetAddress() == "" {
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

// mayChangeMembers: one change at a time, and none before the leader knows
// what is committed.
func (r *Replica) mayChangeMembers() bool {
	if !r.settledOwnTerm() {
		return false
	}
	for _, e := range r.entries {
		if e.GetIndex() > r.commit && len(e.GetMembers()) > 0 {
			return false
		}
	}
	return true
}

func (r *Replica) changeMembers(next []*wire.Member) {
	slices.SortFunc(next, func(a, b *wire.Member) int { return cmp.Compare(a.GetId(), b.GetId()) })
	r.append(&wire.Entry{Members: next})
	r.Flush()
}

// promote makes a voter of a learner that has synced all that is committed.
func (r *Replica) promote() {
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

// leastVoters is the number of voters from which a silent one is taken out.
const leastVoters = 4

// retire takes out a member that has been silent for long, so that the quorum
// is not counted over instances that never come back; one that does come back
// asks to be taken in again. Of an odd number of voters none is taken out: that
// would let fewer of the rest be lost, and the silent one may only be cut off.
func (r *Replica) retire(at time.Duration) {
	if !r.config.Open || r.role != Leader || !r.mayChangeMembers() {
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
		if p == nil || at-p.heard < r.config.Retire || m.GetVoter() && (voters < leastVoters || voters%2 == 1) {
			continue
		}
		r.changeMembers(slices.Delete(slices.Clone(r.members), i, i+1))
		return
	}
}

// Formation says what an empty instance must do.
type Formation int

// Formations.
const (
	Wait    Formation = iota // ask again: not all have answered
	Form                     // begin with the members returned
	JoinOld                  // a history exists without this identity; ask to be taken in
)

// DecideFormation decides for an empty instance from what the listed addresses
// answered, its own answer included. A first cluster forms only when all have
// answered and all are empty; an emptied instance never starts a second
// history.
func DecideFormation(self *wire.HelloReply, listed []string, answers map[string]*wire.HelloReply) (Formation, []*wire.Member) {
	formed := false
	for _, address := range listed {
		answer := answers[address]
		if answer == nil || answer.GetEmpty() {
			continue
		}
		formed = true
		mine := slices.ContainsFunc(answer.GetMembers(), func(m *wire.Member) bool { return m.GetId() == self.GetId() })
		if mine {
			return Form, answer.GetMembers()
		}
	}
	if formed {
		return JoinOld, nil
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
	return Form, members
}
