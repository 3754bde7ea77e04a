package replica_test

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"tanagerroad/core/wire"
)

// Operators put versions of the configuration and read it at any control
// instance, while instances crash, lose their disks, leave and are cut off. The
// highest version that was put is in force; what anyone was told or shown has to
// be linearizable.

// versionCall is what an operator asks: to put a version, or to read.
type versionCall struct {
	put uint64 // 0: read
}

// versionAnswer is what it is told.
type versionAnswer struct {
	known   bool // false: no answer came
	version uint64
}

// highestWins is the sequential meaning of the calls.
var highestWins = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		next, out := max(state.(uint64), input.(versionCall).put), output.(versionAnswer)
		return !out.known || out.version == next, next
	},
}

// versionRace adds operators of one configuration to a world.
type versionRace struct {
	*world
	now     int64
	puts    map[*node]map[uint64]int // operation by node and log index
	reads   map[uint64]int           // operation by token
	history []porcupine.Operation
}

func (r *versionRace) called(in versionCall) int {
	r.now++
	r.history = append(r.history, porcupine.Operation{ClientId: len(r.history), Input: in, Call: r.now, Output: versionAnswer{}, Return: 1 << 60})
	return len(r.history) - 1
}

func (r *versionRace) answered(op int, version uint64) {
	r.now++
	r.history[op].Return, r.history[op].Output = r.now, versionAnswer{true, version}
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
	nd.waiting[index] = proposal{term: term}
	if r.puts[nd] == nil {
		r.puts[nd] = map[uint64]int{}
	}
	r.puts[nd][index] = r.called(versionCall{version})
	nd.replica.Flush()
	r.carryOut(nd)
}

func (r *versionRace) look(nd *node) {
	r.asked++
	token := uint64(r.asked)
	r.reads[token] = r.called(versionCall{})
	nd.replica.Read(token)
	r.carryOut(nd)
}

// lookCutOff cuts an instance off until the others may have put versions without
// it, and asks it then.
func (r *versionRace) lookCutOff(nd *node) {
	for _, other := range r.nodes {
		r.cut[nd.address+">"+other.address], r.cut[other.address+">"+nd.address] = true, true
	}
	for range rapid.IntRange(1, 14).Draw(r.t, "beats") {
		r.calmWithout(nd)
	}
	for _, other := range r.nodes {
		if other != nd && other.up && !other.frozen {
			r.put(other, uint64(rapid.IntRange(1, 12).Draw(r.t, "version")))
		}
	}
	r.calmWithout(nd)
	r.look(nd)
	if rapid.Bool().Draw(r.t, "back") {
		r.cut = map[string]bool{}
	}
}

// calmWithout lets a beat pass for all but one, whose clock is slow.
func (r *versionRace) calmWithout(slow *node) {
	was := slow.frozen
	slow.frozen = true
	r.calm()
	slow.frozen = was
}

func TestHighestVersionIsLinearizable(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(3, 4).Draw(rt, "instances")
		w := newWorld(rt, n, time.Duration(n-3)*4*election) // four of them with open membership
		r := &versionRace{world: w, puts: map[*node]map[uint64]int{}, reads: map[uint64]int{}}
		w.told = func(nd *node, index uint64, o *wire.Outcome) {
			if op, ok := r.puts[nd][index]; ok {
				delete(r.puts[nd], index)
				r.answered(op, o.GetRevision())
			}
		}
		w.shown = func(nd *node, token uint64) {
			if op, ok := r.reads[token]; ok {
				r.answered(op, nd.registry.Catalog().GetVersion())
			}
		}
		for range 100 {
			nd := w.nodes[rapid.IntRange(0, n-1).Draw(rt, "asked")]
			busy := !nd.up || nd.frozen || len(r.history) >= 24
			switch call := rapid.IntRange(0, 5).Draw(rt, "call"); {
			case call == 0 && !busy:
				r.put(nd, uint64(rapid.IntRange(1, 12).Draw(rt, "version")))
			case call == 1 && !busy:
				r.look(nd)
			case call == 2 && !busy && rapid.IntRange(0, 3).Draw(rt, "cut") == 0:
				r.lookCutOff(nd)
			default:
				w.step()
			}
		}
		w.heal()
		w.checkRest()
		if porcupine.CheckOperationsTimeout(highestWins, r.history, 5*time.Second) == porcupine.Illegal {
			rt.Fatalf("no order of the calls explains what the operators were told: %+v", r.history)
		}
	})
}
