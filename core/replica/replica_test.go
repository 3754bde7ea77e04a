package replica_test

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"tanagerroad/core/registry"
	"tanagerroad/core/replica"
	"tanagerroad/core/schedule"
	"tanagerroad/core/wire"
)

func TestMain(m *testing.M) { schedule.Main(m, 5000, 300) }

const (
	electionTimeout = 10 * time.Millisecond // minimum; see replica.Config
	heartbeat       = 2 * time.Millisecond  // interval
	diskRetry       = electionTimeout / 3   // between two tries of a write that failed, as in io/quorum
)

// node is one simulated control instance.
type node struct {
	address          string
	id               string
	disk             *fakeDisk
	store            *replica.Store
	replica          *replica.Replica
	registry         *registry.Registry
	applied          uint64
	clock            time.Duration
	up               bool
	frozen           bool // receives nothing, and its clock is stopped
	leaving          bool
	held             *replica.Output     // whose records could not be written yet; the node stands still
	retryAt          time.Duration       // when they are tried again
	proposals        map[uint64]proposal // own proposals by log index
	claimsBeforeRead map[uint64]int      // number of granted claims when a read began, by token
}

// proposal is a proposed command whose outcome is not known yet.
type proposal struct {
	term uint64
	id   string // of the claimed request; empty for other commands
	op   int    // position in the history of operations, counted from 1; 0: none
}

// simulation runs a few nodes and a network between them, with random schedules
// and faults. It checks Raft's safety properties as the nodes apply entries, and
// that the nodes converge once the faults end.
type simulation struct {
	t                *rapid.T
	nodes            []*node
	byID             map[string]*node
	inFlight         []*wire.Message
	cutLinks         map[string]bool // one-way partitions, by "from>to" with addresses
	idsIssued        int
	lastToken        int
	committedLog     map[uint64][]byte             // committed entry by index
	snapshots        map[uint64][]byte             // registry snapshot by index
	leaders          map[uint64]string             // by term
	grantedClaims    map[string]uint64             // log index at which each claim was granted
	committedMembers []*wire.Member                // newest committed membership
	membersIndex     uint64                        // log index of committedMembers
	removeAfter      time.Duration                 // removal timeout with open membership; 0: membership is closed
	tolerate         int                           // failures to tolerate, as in replica.Config
	onOutcome        func(op int, o *wire.Outcome) // the answer to an operation of the history
	onRead           func(nd *node, token uint64)  // called when a confirmed read is served
	onEmptyStart     func(nd *node)                // called instead of starting a node with an empty journal, if set
	peers            func(nd *node) []string       // the identities that a node asks to let it join, if set; otherwise all
	onReceive        func(nd *node, m *wire.Message)
}

func newSimulation(t *rapid.T, n int, removeAfter time.Duration) *simulation {
	s := &simulation{
		t: t, removeAfter: removeAfter, byID: map[string]*node{}, cutLinks: map[string]bool{}, committedLog: map[uint64][]byte{}, snapshots: map[uint64][]byte{},
		leaders: map[uint64]string{}, grantedClaims: map[string]uint64{},
	}
	for i := range n {
		nd := &node{address: fmt.Sprintf("a%d", i), disk: newFakeDisk()}
		s.nodes = append(s.nodes, nd)
		s.loadIdentity(nd)
		s.committedMembers = append(s.committedMembers, &wire.Member{Id: nd.id, Address: nd.address, Voter: true})
	}
	for _, nd := range s.nodes {
		mark := &wire.Record{Body: &wire.Record_Snapshot{Snapshot: &wire.SnapshotMark{Members: s.committedMembers}}}
		s.must(nd.store.Replace([]*wire.Record{mark}))
		s.start(nd)
	}
	return s
}

func (s *simulation) must(err error) {
	if err != nil {
		s.t.Fatal(err)
	}
}

// loadIdentity gives a node the identity on its disk, or a new one if the disk is
// empty.
func (s *simulation) loadIdentity(nd *node) {
	nd.store = replica.NewStore(nd.disk)
	id, err := nd.store.Identity(func() string {
		s.idsIssued++
		return fmt.Sprintf("id%03d", s.idsIssued)
	})
	s.must(err)
	nd.id = id
	s.byID[id] = nd
}

func (s *simulation) start(nd *node) {
	nd.disk.budget = -1
	s.loadIdentity(nd)
	stored, _, err := nd.store.Load()
	s.must(err)
	nd.registry = registry.New(registry.DefaultConfig())
	nd.applied = stored.Snapshot.GetIndex()
	nd.replica = replica.New(replica.Config{
		ID: nd.id, Address: nd.address, ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeat, Seed: xxhash.Sum64String(nd.id),
		MaxEntries: 4, MaxChunkBytes: 64, OpenMembership: s.removeAfter > 0, RemoveAfter: s.removeAfter, Tolerate: s.tolerate,
	}, nd.clock, stored)
	nd.up, nd.frozen, nd.leaving, nd.held = true, false, false, nil
	nd.failPending()
	s.handleOutput(nd)
}

// restart starts a node that is down, or calls onEmptyStart if it is set and the
// journal is empty.
func (s *simulation) restart(nd *node) {
	s.loadIdentity(nd)
	_, empty, err := nd.store.Load()
	s.must(err)
	if empty && s.onEmptyStart != nil {
		s.onEmptyStart(nd)
		return
	}
	s.start(nd)
}

// crash stops a node, which may be down already, by a loss of power. It checks that the entries
// and the vote that were written outlive it.
func (s *simulation) crash(nd *node) {
	nd.up = false
	nd.disk.crash(s.t)
	want := nd.disk.saved
	got, _, err := replica.NewStore(nd.disk).Load()
	s.must(err)
	term, index := lastOf(got)
	wantTerm, wantIndex := lastOf(want)
	if term < wantTerm || term == wantTerm && index < wantIndex {
		s.t.Fatalf("%s forgot entries: the last is %d of term %d, was %d of term %d", nd.id, index, term, wantIndex, wantTerm)
	}
	have, had := got.HardState, want.HardState
	if have.GetTerm() < had.GetTerm() || have.GetTerm() == had.GetTerm() && had.GetVote() != "" && have.GetVote() != had.GetVote() {
		s.t.Fatalf("%s forgot its vote: term %d, vote %q, was %d, %q", nd.id, have.GetTerm(), have.GetVote(), had.GetTerm(), had.GetVote())
	}
}

// lastOf returns the term and the index of the last entry.
func lastOf(s replica.Stored) (term, index uint64) {
	if n := len(s.Entries); n > 0 {
		return s.Entries[n-1].GetTerm(), s.Entries[n-1].GetIndex()
	}
	return s.Snapshot.GetTerm(), s.Snapshot.GetIndex()
}

// kill stops a node's process, by a loss of power or so that its unsynced data can still be
// read.
func (s *simulation) kill(nd *node) {
	if rapid.Bool().Draw(s.t, "power") {
		s.crash(nd)
	}
	nd.up = false
}

// failPending ends the calls that wait for a node without an answer.
func (nd *node) failPending() {
	nd.proposals, nd.claimsBeforeRead = map[uint64]proposal{}, map[uint64]int{}
}

// working reports whether a node takes messages and calls.
func (nd *node) working() bool { return nd.up && !nd.frozen && nd.held == nil }

// handleOutput carries out a replica's Output, if it has one.
func (s *simulation) handleOutput(nd *node) {
	if out := nd.replica.TakeOutput(); !out.Empty() {
		s.carryOut(nd, out)
	}
}

// onFailedWrite holds an output whose records the disk refuses, as io/quorum does.
func (s *simulation) onFailedWrite(nd *node, out replica.Output, err error) {
	if errors.Is(err, errCrashed) {
		s.crash(nd)
		return
	}
	nd.held, nd.retryAt = &out, nd.clock+diskRetry
	nd.failPending()
}

// carryOut carries out an Output in the documented order.
func (s *simulation) carryOut(nd *node, out replica.Output) {
	if _, err := nd.store.Persist(out, nd.replica.JournalRecords); err != nil {
		s.onFailedWrite(nd, out, err)
		return
	}
	nd.held = nil
	if out.Install != nil || len(out.Save) > 0 {
		var err error
		nd.disk.saved, err = replica.Replay(nd.replica.JournalRecords())
		s.must(err)
	}
	s.inFlight = append(s.inFlight, out.Send...)
	if out.Restore != nil {
		s.must(nd.registry.Restore(out.Restore))
		nd.applied = nd.replica.CommitIndex()
	}
	for _, e := range out.Apply {
		s.apply(nd, e)
	}
	for _, token := range out.Reads {
		granted, waits := nd.claimsBeforeRead[token]
		if !waits {
			continue // it has failed
		}
		if granted > nd.countAppliedClaims(s) {
			s.t.Fatalf("%s served a read that misses %d claims granted before it", nd.id, granted-nd.countAppliedClaims(s))
		}
		if s.onRead != nil {
			s.onRead(nd, token)
		}
	}
	s.checkLeader(nd)
}

// countAppliedClaims returns how many granted claims a node has applied.
func (nd *node) countAppliedClaims(s *simulation) int {
	n := 0
	for _, index := range s.grantedClaims {
		if index <= nd.applied {
			n++
		}
	}
	return n
}

// apply applies a committed entry to a node. It checks that every node applies the
// same entries in the same order.
func (s *simulation) apply(nd *node, e *wire.Entry) {
	if e.GetIndex() != nd.applied+1 {
		s.t.Fatalf("%s applied entry %d after %d", nd.id, e.GetIndex(), nd.applied)
	}
	nd.applied = e.GetIndex()
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(e)
	s.must(err)
	if earlier, ok := s.committedLog[e.GetIndex()]; ok && !bytes.Equal(earlier, data) {
		s.t.Fatalf("%s applied an entry at index %d that differs from the one already applied there", nd.id, e.GetIndex())
	}
	s.committedLog[e.GetIndex()] = data
	if len(e.GetMembers()) > 0 && e.GetIndex() > s.membersIndex {
		s.committedMembers, s.membersIndex = e.GetMembers(), e.GetIndex()
	}
	var outcome *wire.Outcome
	if len(e.GetCommand()) > 0 {
		var c wire.Command
		s.must(proto.Unmarshal(e.GetCommand(), &c))
		outcome = nd.registry.Apply(e.GetIndex(), &c)
	}
	p, ok := nd.proposals[e.GetIndex()]
	delete(nd.proposals, e.GetIndex())
	if !ok || p.term != e.GetTerm() || outcome == nil {
		return
	}
	if s.onOutcome != nil && p.op > 0 {
		s.onOutcome(p.op-1, outcome)
	}
	if p.id == "" {
		return
	}
	// The caller receives the answer here, so the claim must never be lost from
	// now on.
	if _, twice := s.grantedClaims[p.id]; !twice && outcome.GetKind() == registry.Granted {
		s.grantedClaims[p.id] = e.GetIndex()
	}
}

// checkLeader checks that no term has two leaders.
func (s *simulation) checkLeader(nd *node) {
	if nd.replica.Role() != replica.Leader {
		return
	}
	elected, ok := s.leaders[nd.replica.Term()]
	if ok && elected != nd.id {
		s.t.Fatalf("term %d has two leaders, %s and %s", nd.replica.Term(), elected, nd.id)
	}
	s.leaders[nd.replica.Term()] = nd.id
}

// deliver delivers the message at i, unless its link is cut or its receiver is
// down. It keeps the message in flight if keep is set, so that it may be delivered
// again. The receiver is the node at the address of the receiving identity, even
// if that node has a new identity by now, as in a real network.
func (s *simulation) deliver(i int, keep bool) {
	m := s.inFlight[i]
	if !keep {
		s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
	}
	from, to := s.byID[m.GetFrom()], s.byID[m.GetTo()]
	if s.onReceive != nil && !to.frozen && !s.cutLinks[from.address+">"+to.address] {
		s.onReceive(to, m)
	}
	if to == nil || !to.working() || s.cutLinks[from.address+">"+to.address] {
		return
	}
	to.replica.Step(to.clock, proto.CloneOf(m))
	s.handleOutput(to)
}

// tick advances a node's clock by d, in steps of at most one heartbeat interval.
func (s *simulation) tick(nd *node, d time.Duration) {
	if !nd.up || nd.frozen {
		return
	}
	if nd.held != nil {
		if nd.clock += d; nd.clock >= nd.retryAt {
			s.carryOut(nd, *nd.held)
		}
		return
	}
	for ; d > heartbeat; d -= heartbeat {
		nd.clock += heartbeat
		nd.replica.Tick(nd.clock)
	}
	nd.clock += d
	nd.replica.Tick(nd.clock)
	var others []string
	for id, other := range s.byID {
		if other.address != nd.address && other.id == id {
			others = append(others, id)
		}
	}
	if s.peers != nil {
		others = s.peers(nd)
	}
	nd.replica.Join(nd.clock, others)
	nd.replica.Flush()
	s.handleOutput(nd)
}

// propose proposes a claim of the request id at a node.
func (s *simulation) propose(nd *node, id string) {
	if !nd.working() {
		return
	}
	c := &wire.Command{AtMillis: 1, Body: &wire.Command_Claim{Claim: &wire.Claim{
		Request: id, Workspace: "w", Key: &wire.Key{Request: id, Attempt: 1},
	}}}
	data, err := proto.Marshal(c)
	s.must(err)
	index, term, ok := nd.replica.Propose(data)
	if !ok {
		return
	}
	nd.proposals[index] = proposal{term: term, id: id}
	if rapid.Bool().Draw(s.t, "flush") {
		nd.replica.Flush()
	}
	s.handleOutput(nd)
}

// read starts a read at a node. It must see every claim granted until now.
func (s *simulation) read(nd *node) {
	if !nd.working() {
		return
	}
	nd.replica.Read(s.newRead(nd))
	s.handleOutput(nd)
}

// newRead returns the token of a new read at a node.
func (s *simulation) newRead(nd *node) uint64 {
	s.lastToken++
	nd.claimsBeforeRead[uint64(s.lastToken)] = len(s.grantedClaims)
	return uint64(s.lastToken)
}

// compact compacts a node's log. It checks that its state is the same as that of
// other nodes compacted at the same index.
func (s *simulation) compact(nd *node) {
	if !nd.working() || nd.applied == 0 {
		return
	}
	image, err := nd.registry.Snapshot()
	s.must(err)
	if earlier, ok := s.snapshots[nd.applied]; ok && !bytes.Equal(earlier, image) {
		s.t.Fatalf("%s has a state at index %d that differs from the one seen there before", nd.id, nd.applied)
	}
	s.snapshots[nd.applied] = image
	if err := nd.store.Replace(nd.replica.Compact(image)); err != nil {
		s.onFailedWrite(nd, replica.Output{}, err)
	}
}

// canLoseDisk reports whether the cluster has recovered from the last lost disk:
// every node is a voter in the newest committed membership, under its current
// identity.
func (s *simulation) canLoseDisk() bool {
	if len(s.committedMembers) != len(s.nodes) {
		return false
	}
	for _, m := range s.committedMembers {
		if holder := s.byID[m.GetId()]; !m.GetVoter() || holder == nil || holder.id != m.GetId() {
			return false
		}
	}
	return true
}

// loseDisk replaces a node's disk by an empty one and restarts the node. With open
// membership it may return at another address.
func (s *simulation) loseDisk(nd *node) {
	if !s.canLoseDisk() {
		return
	}
	nd.up = false
	if s.removeAfter > 0 && rapid.Bool().Draw(s.t, "elsewhere") {
		nd.address = fmt.Sprintf("%s-%d", nd.address, s.idsIssued)
	}
	nd.disk = newFakeDisk()
	s.restart(nd)
}

// tickAndDeliver advances every node by one heartbeat interval and delivers all
// messages in flight.
func (s *simulation) tickAndDeliver() {
	for _, nd := range s.nodes {
		s.tick(nd, heartbeat)
	}
	for range len(s.inFlight) {
		s.deliver(0, false)
	}
}

// isolate partitions a node, often for long enough that the others elect a leader
// without it, and lets it propose meanwhile.
func (s *simulation) isolate(nd *node) {
	for _, other := range s.nodes {
		s.cutLinks[nd.address+">"+other.address], s.cutLinks[other.address+">"+nd.address] = true, true
	}
	for range rapid.IntRange(1, 14).Draw(s.t, "beats") {
		s.tickAndDeliver()
		s.propose(nd, fmt.Sprintf("c%d", rapid.IntRange(0, 40).Draw(s.t, "change")))
	}
	s.read(nd)
	if rapid.Bool().Draw(s.t, "back") {
		s.cutLinks = map[string]bool{}
	}
}

// step does one thing at random: it delivers a message, advances clocks, sends a
// request, or begins or ends a fault.
func (s *simulation) step() {
	t := s.t
	nd := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")]
	kind := rapid.IntRange(0, 104).Draw(t, "kind")
	switch {
	case kind < 32:
		if len(s.inFlight) > 0 {
			s.deliver(rapid.IntRange(0, len(s.inFlight)-1).Draw(t, "message"), kind < 4)
		}
	case kind < 50:
		s.tickAndDeliver()
	case kind < 56:
		s.isolate(nd)
	case kind < 62:
		s.tick(nd, time.Duration(rapid.IntRange(0, 30).Draw(t, "ms"))*time.Millisecond)
	case kind < 76:
		for _, each := range s.nodes {
			s.propose(each, fmt.Sprintf("c%d", rapid.IntRange(0, 40).Draw(t, "change")))
		}
	case kind < 79:
		s.read(nd)
	case kind < 80:
		if nd.working() {
			nd.replica.Leave()
			nd.leaving = true
			s.handleOutput(nd)
		}
	case kind < 82:
		s.inFlight = nil // all messages in flight are lost
	case kind < 86:
		if nd.up {
			nd.disk.budget = rapid.IntRange(0, 3).Draw(t, "operations")
			nd.disk.tornLength = func(n int) int { return rapid.IntRange(0, n).Draw(t, "part") }
		}
	case kind < 88:
		s.kill(nd)
	case kind < 91:
		for _, each := range s.nodes {
			if !each.up {
				s.restart(each)
			}
			each.frozen = false
		}
	case kind < 92:
		nd.frozen = true
	case kind < 93:
		other := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "other")]
		s.cutLinks[nd.address+">"+other.address] = true
	case kind < 95:
		s.cutLinks = map[string]bool{}
	case kind < 97:
		s.compact(nd)
	case kind < 100:
		s.loseDisk(nd)
	case kind < 102:
		nd.disk.refuses = refusesBytes
	case kind < 104:
		nd.disk.refuses = refusesSyncs
	default:
		for _, each := range s.nodes {
			each.disk.refuses = refusesNothing
		}
	}
}

// heal ends all faults and runs the simulation long enough to converge.
func (s *simulation) heal() {
	s.cutLinks = map[string]bool{}
	for _, nd := range s.nodes {
		nd.frozen, nd.disk.refuses = false, refusesNothing
		if nd.leaving && nd.up {
			s.kill(nd) // a process that announced its shutdown stops eventually
		}
		if !nd.up {
			s.restart(nd)
		}
		nd.disk.budget = -1
	}
	for range 200 {
		s.tickAndDeliver()
	}
}

// checkConverged checks that there is a leader, that all nodes have the same
// state, and that no granted claim was lost.
func (s *simulation) checkConverged() {
	var leader *node
	for _, nd := range s.nodes {
		if nd.replica.Role() == replica.Leader {
			leader = nd
		}
	}
	if leader == nil {
		s.t.Fatalf("no leader after all faults ended\n%s", s.dump())
	}
	want, err := leader.registry.Snapshot()
	s.must(err)
	for _, nd := range s.nodes {
		got, err := nd.registry.Snapshot()
		s.must(err)
		if nd.applied != leader.applied || !bytes.Equal(got, want) {
			s.t.Fatalf("%s did not converge: applied index %d, leader's applied index %d, states equal: %v\n%s", nd.id, nd.applied, leader.applied, bytes.Equal(got, want), s.dump())
		}
	}
	for id := range s.grantedClaims {
		c := &wire.Command{AtMillis: 1, Body: &wire.Command_Claim{Claim: &wire.Claim{
			Request: id, Workspace: "w", Key: &wire.Key{Request: "probe", Attempt: 1},
		}}}
		if outcome := leader.registry.Apply(leader.applied+1, c); outcome.GetKind() != registry.AlreadyClaimed {
			s.t.Fatalf("the granted claim %s was lost: a second claim of it got the outcome %s", id, outcome.GetKind())
		}
	}
}

// testSchedules runs random schedules of n nodes and checks that they converge.
func testSchedules(t *testing.T, n, steps int, removeAfter time.Duration) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSimulation(rt, n, removeAfter)
		for range steps {
			s.step()
		}
		s.heal()
		s.checkConverged()
	})
}

func TestThreeInstancesLoseNothing(t *testing.T) {
	t.Parallel()
	testSchedules(t, 3, 120, 0)
}

func TestFiveInstancesLoseNothing(t *testing.T) {
	t.Parallel()
	testSchedules(t, 5, 120, 0)
}

// TestOpenMembershipLosesNothing runs an even number of voters with open
// membership, so that silent members are removed and join again.
func TestOpenMembershipLosesNothing(t *testing.T) {
	t.Parallel()
	for n, steps := range map[int]int{4: 100, 6: 30} {
		t.Run(strconv.Itoa(n), func(t *testing.T) { testSchedules(t, n, steps, 4*electionTimeout) })
	}
}

// dump describes the state of every node for failure messages.
func (s *simulation) dump() string {
	out := ""
	for _, nd := range s.nodes {
		out += fmt.Sprintf("%s %s role=%s term=%d commit=%d applied=%d members=%v leader=%s\n", nd.address, nd.id, nd.replica.Role(), nd.replica.Term(), nd.replica.CommitIndex(), nd.applied, nd.replica.Members(), nd.replica.LeaderAddress())
	}
	return out
}
