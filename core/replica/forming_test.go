package replica_test

import (
	"testing"

	"pgregory.net/rapid"

	"tanagerroad/core/replica"
	"tanagerroad/core/wire"
)

// formingSimulation is a simulation that starts before its instances have a
// membership. Each instance asks the others for their state, receives some of the
// answers at different times, and decides whether to form a cluster. One of them
// may lose its disk before it has decided, and any may restart.
type formingSimulation struct {
	*simulation
	answers   map[*node]map[string]*wire.HelloReply // answers that each node has received, by address
	listed    []string                              // addresses of all nodes
	anyFormed bool                                  // whether any node has formed the cluster
	diskLost  bool                                  // whether a node lost its disk before it had formed or joined
	firstIDs  map[*node]string                      // identities at the start; a node that has lost its disk must not form a cluster
}

func newFormingSimulation(t *rapid.T, n int) *formingSimulation {
	f := &formingSimulation{simulation: newSimulation(t, n, 0), answers: map[*node]map[string]*wire.HelloReply{}, firstIDs: map[*node]string{}}
	f.committedMembers = nil
	f.onEmptyStart = func(nd *node) { f.answers[nd] = map[string]*wire.HelloReply{} }
	for _, nd := range f.nodes {
		f.listed = append(f.listed, nd.address)
		f.empty(nd)
		f.firstIDs[nd] = nd.id
	}
	return f
}

// empty gives a node a new, empty disk and takes it down. It is up again once it
// has formed or joined a cluster.
func (f *formingSimulation) empty(nd *node) {
	nd.up, nd.disk = false, newFakeDisk()
	f.restart(nd)
}

// isUnformed reports whether a node has an empty journal and has neither formed
// nor joined a cluster.
func (f *formingSimulation) isUnformed(nd *node) bool {
	if nd.up {
		return false
	}
	_, empty, err := nd.store.Load()
	f.must(err)
	return empty
}

// collectAnswer gives nd the answer of other, if other is running.
func (f *formingSimulation) collectAnswer(nd, other *node) {
	if other.up || f.isUnformed(other) {
		f.answers[nd][other.address] = f.helloReply(other)
	}
}

func (f *formingSimulation) helloReply(nd *node) *wire.HelloReply {
	reply := &wire.HelloReply{Id: nd.id, Address: nd.address, Empty: !nd.up, Bootstrap: !nd.up && nd.id == f.firstIDs[nd]}
	if nd.up {
		reply.Members = nd.replica.SnapshotMembers()
	}
	return reply
}

// decide acts on the answers that a node has collected, and clears them.
func (f *formingSimulation) decide(nd *node) {
	answers := f.answers[nd]
	f.answers[nd] = map[string]*wire.HelloReply{}
	answers[nd.address] = f.helloReply(nd)
	formation, members := replica.DecideFormation(f.helloReply(nd), f.listed, answers)
	// One loss at a time: a majority is enough unless a disk was lost before.
	if formation == replica.Wait && !f.diskLost && nd.id == f.firstIDs[nd] && rapid.Bool().Draw(f.t, "out of patience") {
		formation, members = replica.DecideFormationByMajority(f.helloReply(nd), f.listed, answers)
	}
	switch formation {
	case replica.Wait:
		return
	case replica.StartWithMembers:
		mark := &wire.Record{Body: &wire.Record_Snapshot{Snapshot: &wire.SnapshotMark{Members: members}}}
		if nd.store.Replace([]*wire.Record{mark}) != nil {
			return // it asks again
		}
		f.anyFormed = true
	}
	f.start(nd)
}

// runRound lets every unformed node collect the answers of all nodes, and then
// decide.
func (f *formingSimulation) runRound() {
	for _, nd := range f.nodes {
		if !f.isUnformed(nd) {
			continue
		}
		for _, other := range f.nodes {
			f.collectAnswer(nd, other)
		}
		f.decide(nd)
	}
}

func (f *formingSimulation) step() {
	nd := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(f.t, "forming")]
	other := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(f.t, "other")]
	kind := rapid.IntRange(0, 19).Draw(f.t, "event")
	switch {
	case !f.isUnformed(nd):
		f.simulation.step()
	case kind < 13:
		f.collectAnswer(nd, other)
	case kind < 17:
		f.decide(nd)
	case kind < 18 && !f.diskLost && (!f.anyFormed || f.canLoseDisk()):
		f.diskLost = true
		f.empty(nd)
	default:
		f.answers[nd] = map[string]*wire.HelloReply{} // it restarts and loses its answers
	}
}

// TestFormationStartsOneHistory checks that empty instances form a single cluster,
// whatever the order in which they receive each other's answers, and that an
// instance left out of it joins later. Otherwise two clusters could start separate
// logs.
func TestFormationStartsOneHistory(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		f := newFormingSimulation(rt, rapid.IntRange(3, 4).Draw(rt, "instances"))
		for range 120 {
			f.step()
		}
		for range 3 {
			f.heal()
			f.runRound()
		}
		f.heal()
		f.checkConverged()
	})
}
