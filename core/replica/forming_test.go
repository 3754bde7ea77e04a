package replica_test

import (
	"testing"

	"pgregory.net/rapid"

	"tanagerroad/core/replica"
	"tanagerroad/core/wire"
)

// forming adds to a world the time before its instances have a membership: each
// asks the others who they are, hears some of them at different moments, and
// decides. One of them may lose its disk meanwhile, or start again.
type forming struct {
	*world
	answers map[*node]map[string]*wire.HelloReply
	listed  []string
	formed  bool // by one at least
	lost    bool // a disk was lost by one that had not formed
}

func newForming(t *rapid.T, n int) *forming {
	f := &forming{world: newWorld(t, n, 0), answers: map[*node]map[string]*wire.HelloReply{}}
	f.settled = nil
	f.emptied = func(nd *node) { f.answers[nd] = map[string]*wire.HelloReply{} }
	for _, nd := range f.nodes {
		f.listed = append(f.listed, nd.address)
		f.empty(nd)
	}
	return f
}

// empty gives a node a new disk; it is up once it has formed or joined.
func (f *forming) empty(nd *node) {
	nd.up, nd.disk = false, newFakeDisk()
	f.restart(nd)
}

// forms reports whether a node runs without a history.
func (f *forming) forms(nd *node) bool {
	_, empty, err := nd.store.Load()
	f.must(err)
	return !nd.up && empty
}

// hear takes the answer of one that is there.
func (f *forming) hear(nd, other *node) {
	if other.up || f.forms(other) {
		f.answers[nd][other.address] = f.hello(other)
	}
}

func (f *forming) hello(nd *node) *wire.HelloReply {
	reply := &wire.HelloReply{Id: nd.id, Address: nd.address, Empty: !nd.up}
	if nd.up {
		reply.Members = nd.replica.FirstMembers()
	}
	return reply
}

// decide ends a round of questions and does what the answers say.
func (f *forming) decide(nd *node) {
	answers := f.answers[nd]
	f.answers[nd] = map[string]*wire.HelloReply{}
	answers[nd.address] = f.hello(nd)
	formation, members := replica.DecideFormation(f.hello(nd), f.listed, answers)
	switch formation {
	case replica.Wait:
		return
	case replica.Form:
		mark := &wire.Record{Body: &wire.Record_Snapshot{Snapshot: &wire.SnapshotMark{Members: members}}}
		f.must(nd.store.Replace([]*wire.Record{mark}))
		f.formed = true
	}
	f.start(nd)
}

// round lets every instance that has not formed ask all and decide.
func (f *forming) round() {
	for _, nd := range f.nodes {
		if !f.forms(nd) {
			continue
		}
		for _, other := range f.nodes {
			f.hear(nd, other)
		}
		f.decide(nd)
	}
}

func (f *forming) step() {
	nd := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(f.t, "forming")]
	other := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(f.t, "other")]
	kind := rapid.IntRange(0, 19).Draw(f.t, "event")
	switch {
	case !f.forms(nd):
		f.world.step()
	case kind < 13:
		f.hear(nd, other)
	case kind < 17:
		f.decide(nd)
	case kind < 18 && !f.lost && (!f.formed || f.mayLose()):
		f.lost = true
		f.empty(nd)
	default:
		f.answers[nd] = map[string]*wire.HelloReply{} // it starts again
	}
}

// TestFormingMakesOneHistory: however the answers of empty instances are mixed,
// one history begins, and whoever is not of it is taken in.
func TestFormingMakesOneHistory(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		f := newForming(rt, rapid.IntRange(3, 4).Draw(rt, "instances"))
		for range 120 {
			f.step()
		}
		for range 3 {
			f.heal()
			f.round()
		}
		f.heal()
		f.checkRest()
	})
}
