package replica_test

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"tanagerroad/core/wire"
)

// In this test, operators put versions of the configuration and read it at any
// control instance, while instances crash, lose their disks, leave and are
// partitioned. The highest version put so far is in force. The history of puts and
// reads must be linearizable.

// versionCall is an operator's request to put a version or to read the current one.
type versionCall struct {
	put uint64 // 0: read
}

// versionResult is the answer to a versionCall.
type versionResult struct {
	received bool // false: no answer was received
	version  uint64
}

// highestVersionModel is the sequential specification of the calls: each returns
// the highest version put so far.
var highestVersionModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		next, out := max(state.(uint64), input.(versionCall).put), output.(versionResult)
		return !out.received || out.version == next, next
	},
}

// versionRace is a simulation with operators who put and read the configuration.
type versionRace struct {
	*simulation
	now          int64
	pendingReads map[uint64]int // operation by token
	history      []porcupine.Operation
}

// recordCall records a call and returns its position in the history.
func (r *versionRace) recordCall(in versionCall) int {
	r.now++
	r.history = append(r.history, porcupine.Operation{ClientId: len(r.history), Input: in, Call: r.now, Output: versionResult{}, Return: 1 << 60})
	return len(r.history) - 1
}

// recordResult records the answer to the call at position op of the history.
func (r *versionRace) recordResult(op int, version uint64) {
	r.now++
	r.history[op].Return, r.history[op].Output = r.now, versionResult{true, version}
}

func (r *versionRace) put(nd *node, version uint64) {
	data, err := proto.Marshal(&wire.Command{AtMillis: 1, Body: &wire.Command_PutCatalog{PutCatalog: &wire.PutCatalog{
		Catalog: &wire.Catalog{Version: version},
	}}})
	r.must(err)
	index, term, ok := nd.replica.Propose(data)
	if !ok {
		return
	}
	nd.proposals[index] = proposal{term: term, op: r.recordCall(versionCall{version}) + 1}
	nd.replica.Flush()
	r.handleOutput(nd)
}

func (r *versionRace) readVersion(nd *node) {
	token := r.newRead(nd)
	r.pendingReads[token] = r.recordCall(versionCall{})
	nd.replica.Read(token)
	r.handleOutput(nd)
}

// readWhilePartitioned partitions an instance for long enough that the others may
// have put versions without it, and then reads from it. A stale leader must not
// answer with an old version.
func (r *versionRace) readWhilePartitioned(nd *node) {
	for _, other := range r.nodes {
		r.cutLinks[nd.address+">"+other.address], r.cutLinks[other.address+">"+nd.address] = true, true
	}
	for range rapid.IntRange(1, 14).Draw(r.t, "beats") {
		r.tickAndDeliverWithout(nd)
	}
	for _, other := range r.nodes {
		if other != nd && other.working() {
			r.put(other, uint64(rapid.IntRange(1, 12).Draw(r.t, "version")))
		}
	}
	r.tickAndDeliverWithout(nd)
	r.readVersion(nd)
	if rapid.Bool().Draw(r.t, "back") {
		r.cutLinks = map[string]bool{}
	}
}

// tickAndDeliverWithout advances all instances but one by one heartbeat interval
// and delivers all messages in flight between them.
func (r *versionRace) tickAndDeliverWithout(paused *node) {
	wasFrozen := paused.frozen
	paused.frozen = true
	r.tickAndDeliver()
	paused.frozen = wasFrozen
}

func TestHighestVersionIsLinearizable(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(3, 4).Draw(rt, "instances")
		s := newSimulation(rt, n, time.Duration(n-3)*4*electionTimeout) // open membership if n is 4
		r := &versionRace{simulation: s, pendingReads: map[uint64]int{}}
		s.onOutcome = func(op int, o *wire.Outcome) { r.recordResult(op, o.GetRevision()) }
		s.onRead = func(nd *node, token uint64) {
			if op, ok := r.pendingReads[token]; ok {
				r.recordResult(op, nd.registry.Catalog().GetVersion())
			}
		}
		for range 100 {
			nd := s.nodes[rapid.IntRange(0, n-1).Draw(rt, "asked")]
			busy := !nd.working() || len(r.history) >= 24
			switch call := rapid.IntRange(0, 5).Draw(rt, "call"); {
			case call == 0 && !busy:
				r.put(nd, uint64(rapid.IntRange(1, 12).Draw(rt, "version")))
			case call == 1 && !busy:
				r.readVersion(nd)
			case call == 2 && !busy && rapid.IntRange(0, 3).Draw(rt, "cut") == 0:
				r.readWhilePartitioned(nd)
			default:
				s.step()
			}
		}
		s.heal()
		s.checkConverged()
		if porcupine.CheckOperationsTimeout(highestVersionModel, r.history, 5*time.Second) == porcupine.Illegal {
			rt.Fatalf("the history of calls and answers is not linearizable: %+v", r.history)
		}
	})
}
