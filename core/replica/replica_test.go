package replica_test

import (
	"bytes"
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
	election = 10 * time.Millisecond
	beat     = 2 * time.Millisecond
)

// node is one control instance: a replica, its registry and its disk.
type node struct {
	address  string
	id       string
	disk     *fakeDisk
	store    *replica.Store
	replica  *replica.Replica
	registry *registry.Registry
	applied  uint64
	clock    time.Duration
	up       bool
	frozen   bool
	leaving  bool
	waiting  map[uint64]proposal // by index
	reads    map[uint64]int      // accepted commands when the read was asked
}

type proposal struct {
	term uint64
	id   string
}

// world is a few nodes and the messages between them.
type world struct {
	t       *rapid.T
	nodes   []*node
	byID    map[string]*node
	net     []*wire.Message
	cut     map[string]bool // from>to, by address
	minted  int
	asked   int
	log     map[uint64][]byte // committed entry by index
	images  map[uint64][]byte // registry image by index
	leaders map[uint64]string // by term
	known   map[string]uint64 // accepted claim, and the index that granted it
	settled []*wire.Member    // newest committed membership
	newest  uint64            // its index
	retire  time.Duration     // silence after which members are taken out; 0: never
	told    func(nd *node, index uint64, o *wire.Outcome)
	shown   func(nd *node, token uint64) // a confirmed read is served
	emptied func(nd *node)               // a node starts that holds no history; nil: it joins
}

func newWorld(t *rapid.T, n int, retire time.Duration) *world {
	w := &world{
		t: t, retire: retire, byID: map[string]*node{}, cut: map[string]bool{}, log: map[uint64][]byte{}, images: map[uint64][]byte{},
		leaders: map[uint64]string{}, known: map[string]uint64{},
	}
	for i := range n {
		nd := &node{address: fmt.Sprintf("a%d", i), disk: newFakeDisk()}
		w.nodes = append(w.nodes, nd)
		w.identify(nd)
		w.settled = append(w.settled, &wire.Member{Id: nd.id, Address: nd.address, Voter: true})
	}
	for _, nd := range w.nodes {
		mark := &wire.Record{Body: &wire.Record_Snapshot{Snapshot: &wire.SnapshotMark{Members: w.settled}}}
		w.must(nd.store.Replace([]*wire.Record{mark}))
		w.start(nd)
	}
	return w
}

func (w *world) must(err error) {
	if err != nil {
		w.t.Fatal(err)
	}
}

// identify gives a node the identity on its disk, or a new one.
func (w *world) identify(nd *node) {
	nd.store = replica.NewStore(nd.disk)
	id, err := nd.store.Identity(func() string {
		w.minted++
		return fmt.Sprintf("id%03d", w.minted)
	})
	w.must(err)
	nd.id = id
	w.byID[id] = nd
}

func (w *world) start(nd *node) {
	nd.disk.budget = -1
	w.identify(nd)
	stored, _, err := nd.store.Load()
	w.must(err)
	nd.registry = registry.New(registry.DefaultConfig())
	nd.applied = stored.Snapshot.GetIndex()
	nd.replica = replica.New(replica.Config{
		ID: nd.id, Address: nd.address, Election: election, Beat: beat, Seed: xxhash.Sum64String(nd.id),
		Entries: 4, Chunk: 64, Open: w.retire > 0, Retire: w.retire,
	}, nd.clock, stored)
	nd.waiting, nd.reads, nd.up, nd.frozen, nd.leaving = map[uint64]proposal{}, map[uint64]int{}, true, false, false
	w.carryOut(nd)
}

// restart starts a node that is down.
func (w *world) restart(nd *node) {
	w.identify(nd)
	_, empty, err := nd.store.Load()
	w.must(err)
	if empty && w.emptied != nil {
		w.emptied(nd)
		return
	}
	w.start(nd)
}

// crash ends a node; what was not synced is lost.
func (w *world) crash(nd *node) {
	nd.up = false
	nd.disk.crash(w.t)
}

// carryOut does what a replica decided, in the order of its contract.
func (w *world) carryOut(nd *node) {
	out := nd.replica.Take()
	if out.Empty() {
		return
	}
	if w.persist(nd, out) != nil {
		w.crash(nd)
		return
	}
	w.net = append(w.net, out.Send...)
	if out.Restore != nil {
		w.must(nd.registry.Restore(out.Restore))
		nd.applied = nd.replica.Commit()
	}
	for _, e := range out.Apply {
		w.apply(nd, e)
	}
	for _, token := range out.Reads {
		if accepted := nd.reads[token]; accepted > nd.countKnown(w) {
			w.t.Fatalf("%s served a read that misses %d accepted claims", nd.id, accepted-nd.countKnown(w))
		}
		if w.shown != nil {
			w.shown(nd, token)
		}
	}
	w.checkLeader(nd)
}

func (w *world) persist(nd *node, out replica.Output) error {
	if out.Install != nil {
		if err := nd.store.Replace(out.Install); err != nil {
			return err
		}
	}
	if len(out.Save) == 0 {
		return nil
	}
	_, err := nd.store.Save(out.Save)
	return err
}

// countKnown is how many accepted claims a node's registry holds.
func (nd *node) countKnown(w *world) int {
	n := 0
	for _, index := range w.known {
		if index <= nd.applied {
			n++
		}
	}
	return n
}

// apply checks that every node applies the same entries in the same order.
func (w *world) apply(nd *node, e *wire.Entry) {
	if e.GetIndex() != nd.applied+1 {
		w.t.Fatalf("%s applied entry %d after %d", nd.id, e.GetIndex(), nd.applied)
	}
	nd.applied = e.GetIndex()
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(e)
	w.must(err)
	if held, ok := w.log[e.GetIndex()]; ok && !bytes.Equal(held, data) {
		w.t.Fatalf("%s applied another entry at %d than was applied before", nd.id, e.GetIndex())
	}
	w.log[e.GetIndex()] = data
	if len(e.GetMembers()) > 0 && e.GetIndex() > w.newest {
		w.settled, w.newest = e.GetMembers(), e.GetIndex()
	}
	var outcome *wire.Outcome
	if len(e.GetCommand()) > 0 {
		var c wire.Command
		w.must(proto.Unmarshal(e.GetCommand(), &c))
		outcome = nd.registry.Apply(e.GetIndex(), &c)
	}
	p, ok := nd.waiting[e.GetIndex()]
	delete(nd.waiting, e.GetIndex())
	if !ok || p.term != e.GetTerm() || outcome == nil {
		return
	}
	if w.told != nil {
		w.told(nd, e.GetIndex(), outcome)
	}
	if p.id == "" {
		return
	}
	// The caller is told now; from here on the claim must never be lost.
	if _, twice := w.known[p.id]; !twice && outcome.GetKind() == registry.Granted {
		w.known[p.id] = e.GetIndex()
	}
}

func (w *world) checkLeader(nd *node) {
	if nd.replica.Role() != replica.Leader {
		return
	}
	held, ok := w.leaders[nd.replica.Term()]
	if ok && held != nd.id {
		w.t.Fatalf("term %d has the leaders %s and %s", nd.replica.Term(), held, nd.id)
	}
	w.leaders[nd.replica.Term()] = nd.id
}

// deliver hands over the message at i, unless its way is cut or its receiver
// is down. The address decides who gets it, as in a network.
func (w *world) deliver(i int, keep bool) {
	m := w.net[i]
	if !keep {
		w.net = append(w.net[:i], w.net[i+1:]...)
	}
	from, to := w.byID[m.GetFrom()], w.byID[m.GetTo()]
	if to == nil || !to.up || to.frozen || w.cut[from.address+">"+to.address] {
		return
	}
	to.replica.Step(to.clock, proto.CloneOf(m))
	w.carryOut(to)
}

func (w *world) tick(nd *node, d time.Duration) {
	if !nd.up || nd.frozen {
		return
	}
	for ; d > beat; d -= beat {
		nd.clock += beat
		nd.replica.Tick(nd.clock)
	}
	nd.clock += d
	nd.replica.Tick(nd.clock)
	var others []string
	for id, other := range w.byID {
		if other.address != nd.address && other.id == id {
			others = append(others, id)
		}
	}
	nd.replica.Join(nd.clock, others)
	nd.replica.Flush()
	w.carryOut(nd)
}

func (w *world) propose(nd *node, id string) {
	if !nd.up || nd.frozen {
		return
	}
	c := &wire.Command{AtMillis: 1, Body: &wire.Command_Claim{Claim: &wire.Claim{
		Request: id, Workspace: "w", Key: &wire.Key{Request: id, Attempt: 1},
	}}}
	data, err := proto.Marshal(c)
	w.must(err)
	index, term, ok := nd.replica.Propose(data)
	if !ok {
		return
	}
	nd.waiting[index] = proposal{term, id}
	if rapid.Bool().Draw(w.t, "flush") {
		nd.replica.Flush()
	}
	w.carryOut(nd)
}

func (w *world) read(nd *node) {
	if !nd.up || nd.frozen {
		return
	}
	w.asked++
	nd.reads[uint64(w.asked)] = len(w.known)
	nd.replica.Read(uint64(w.asked))
	w.carryOut(nd)
}

func (w *world) compact(nd *node) {
	if !nd.up || nd.frozen || nd.applied == 0 {
		return
	}
	image, err := nd.registry.Image()
	w.must(err)
	if held, ok := w.images[nd.applied]; ok && !bytes.Equal(held, image) {
		w.t.Fatalf("%s has another state at %d than was seen there before", nd.id, nd.applied)
	}
	w.images[nd.applied] = image
	if nd.store.Replace(nd.replica.Compact(image)) != nil {
		w.crash(nd)
	}
}

// mayLose reports whether the last loss is repaired: the newest committed
// membership has every node as a voter, under its present identity.
func (w *world) mayLose() bool {
	if len(w.settled) != len(w.nodes) {
		return false
	}
	for _, m := range w.settled {
		if holder := w.byID[m.GetId()]; !m.GetVoter() || holder.id != m.GetId() {
			return false
		}
	}
	return true
}

// wipe loses a node's disk; where membership is open, it may come back at another
// address.
func (w *world) wipe(nd *node) {
	if !w.mayLose() {
		return
	}
	nd.up = false
	if w.retire > 0 && rapid.Bool().Draw(w.t, "elsewhere") {
		nd.address = fmt.Sprintf("%s-%d", nd.address, w.minted)
	}
	nd.disk = newFakeDisk()
	w.restart(nd)
}

// calm lets a beat pass everywhere and all that is under way arrive.
func (w *world) calm() {
	for _, nd := range w.nodes {
		w.tick(nd, beat)
	}
	for range len(w.net) {
		w.deliver(0, false)
	}
}

// isolate cuts a node off for long enough that the others choose a leader
// without it, and lets it propose meanwhile.
func (w *world) isolate(nd *node) {
	for _, other := range w.nodes {
		w.cut[nd.address+">"+other.address], w.cut[other.address+">"+nd.address] = true, true
	}
	for range rapid.IntRange(1, 14).Draw(w.t, "beats") {
		w.calm()
		w.propose(nd, fmt.Sprintf("c%d", rapid.IntRange(0, 40).Draw(w.t, "change")))
	}
	w.read(nd)
	if rapid.Bool().Draw(w.t, "back") {
		w.cut = map[string]bool{}
	}
}

func (w *world) step() {
	t := w.t
	nd := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")]
	kind := rapid.IntRange(0, 99).Draw(t, "kind")
	switch {
	case kind < 32:
		if len(w.net) > 0 {
			w.deliver(rapid.IntRange(0, len(w.net)-1).Draw(t, "message"), kind < 4)
		}
	case kind < 50:
		w.calm()
	case kind < 56:
		w.isolate(nd)
	case kind < 62:
		w.tick(nd, time.Duration(rapid.IntRange(0, 30).Draw(t, "ms"))*time.Millisecond)
	case kind < 76:
		for _, each := range w.nodes {
			w.propose(each, fmt.Sprintf("c%d", rapid.IntRange(0, 40).Draw(t, "change")))
		}
	case kind < 79:
		w.read(nd)
	case kind < 80:
		if nd.up && !nd.frozen {
			nd.replica.Leave()
			nd.leaving = true
			w.carryOut(nd)
		}
	case kind < 82:
		w.net = nil // all that is under way is lost
	case kind < 86:
		if nd.up {
			nd.disk.budget = rapid.IntRange(0, 3).Draw(t, "operations")
			nd.disk.torn = func(n int) int { return rapid.IntRange(0, n).Draw(t, "part") }
		}
	case kind < 88:
		if nd.up {
			w.crash(nd)
		}
	case kind < 91:
		for _, each := range w.nodes {
			if !each.up {
				w.restart(each)
			}
			each.frozen = false
		}
	case kind < 92:
		nd.frozen = true
	case kind < 93:
		other := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "other")]
		w.cut[nd.address+">"+other.address] = true
	case kind < 95:
		w.cut = map[string]bool{}
	case kind < 97:
		w.compact(nd)
	default:
		w.wipe(nd)
	}
}

// heal ends all faults and lets the system come to rest.
func (w *world) heal() {
	w.cut = map[string]bool{}
	for _, nd := range w.nodes {
		nd.frozen = false
		if nd.leaving && nd.up {
			w.crash(nd) // whoever said that it leaves ends at last
		}
		if !nd.up {
			w.restart(nd)
		}
		nd.disk.budget = -1
	}
	for range 200 {
		w.calm()
	}
}

// checkRest: one leader, everybody at the same state, nothing accepted lost.
func (w *world) checkRest() {
	var leader *node
	for _, nd := range w.nodes {
		if nd.replica.Role() == replica.Leader {
			leader = nd
		}
	}
	if leader == nil {
		w.t.Fatalf("no leader although nothing is wrong any more\n%s", w.dump())
	}
	want, err := leader.registry.Image()
	w.must(err)
	for _, nd := range w.nodes {
		got, err := nd.registry.Image()
		w.must(err)
		if nd.applied != leader.applied || !bytes.Equal(got, want) {
			w.t.Fatalf("%s rests at %d, the leader at %d, with equal states: %v\n%s", nd.id, nd.applied, leader.applied, bytes.Equal(got, want), w.dump())
		}
	}
	for id := range w.known {
		c := &wire.Command{AtMillis: 1, Body: &wire.Command_Claim{Claim: &wire.Claim{
			Request: id, Workspace: "w", Key: &wire.Key{Request: "probe", Attempt: 1},
		}}}
		if outcome := leader.registry.Apply(leader.applied+1, c); outcome.GetKind() != registry.Held {
			w.t.Fatalf("the accepted claim %s was lost: %s", id, outcome.GetKind())
		}
	}
}

func testSchedules(t *testing.T, n, steps int, retire time.Duration) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt, n, retire)
		for range steps {
			w.step()
		}
		w.heal()
		w.checkRest()
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

// TestOpenMembershipLosesNothing: silent members of an even number are taken out
// and come back.
func TestOpenMembershipLosesNothing(t *testing.T) {
	t.Parallel()
	for n, steps := range map[int]int{4: 100, 6: 30} {
		t.Run(strconv.Itoa(n), func(t *testing.T) { testSchedules(t, n, steps, 4*election) })
	}
}

func (w *world) dump() string {
	s := ""
	for _, nd := range w.nodes {
		s += fmt.Sprintf("%s %s role=%s term=%d commit=%d applied=%d members=%v leader=%s\n", nd.address, nd.id, nd.replica.Role(), nd.replica.Term(), nd.replica.Commit(), nd.applied, nd.replica.Members(), nd.replica.LeaderAddress())
	}
	return s
}
