package replica_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"tanagerroad/core/registry"
	"tanagerroad/core/wire"
)

// Operators race each other with equal numbers and resend changes after losing
// the answer, while the control instances crash and are cut off. The history of
// what they were told is checked to be linearizable.

const (
	raceRoutes = `{"routes": []}`
	racePools  = `{"pools": []}`
)

// change is what an operator asks; outcome what it is told.
type change struct {
	id   string
	from uint64
}

type outcome struct {
	known    bool // false: no answer came
	accepted bool
	revision uint64
}

// tables is the model's state: the revision, and the first answer to each id.
type tables struct {
	revision uint64
	answers  string // "id=revision;" for each accepted change
}

// model is the sequential meaning of a change of the tables.
var model = porcupine.Model{
	Init: func() any { return tables{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(tables), input.(change), output.(outcome)
		if first, ok := firstAnswer(s.answers, in.id); ok {
			return !out.known || out.accepted && out.revision == first, s
		}
		if in.from != s.revision {
			return !out.known || !out.accepted && out.revision == s.revision, s
		}
		next := tables{s.revision + 1, s.answers + fmt.Sprintf("%s=%d;", in.id, s.revision+1)}
		return !out.known || out.accepted && out.revision == next.revision, next
	},
	Equal: func(a, b any) bool { return a == b },
}

func firstAnswer(answers, id string) (revision uint64, ok bool) {
	for len(answers) > 0 {
		var name string
		var n uint64
		end := 0
		for answers[end] != ';' {
			end++
		}
		for i := range end {
			if answers[i] == '=' {
				name = answers[:i]
				_, _ = fmt.Sscan(answers[i+1:end], &n) // it was printed above
			}
		}
		if name == id {
			return n, true
		}
		answers = answers[end+1:]
	}
	return 0, false
}

// race adds operators to a world.
type race struct {
	*world
	now     int64
	open    map[*node]map[uint64]int // operation by node and log index
	history []porcupine.Operation
}

// ask sends a change to one instance; no answer may ever come.
func (r *race) ask(nd *node, in change) {
	if !nd.up || nd.frozen {
		return
	}
	data, err := proto.Marshal(&wire.Command{AtMillis: 1, Body: &wire.Command_PutTables{PutTables: &wire.PutTables{
		ChangeId: in.id, FromRevision: in.from, Operator: in.id, Routes: []byte(raceRoutes), Pools: []byte(racePools),
	}}})
	r.must(err)
	index, term, ok := nd.replica.Propose(data)
	if !ok {
		return
	}
	r.now++
	r.history = append(r.history, porcupine.Operation{ClientId: len(r.history), Input: in, Call: r.now, Output: outcome{}, Return: 1 << 60})
	nd.waiting[index] = proposal{term: term}
	if r.open[nd] == nil {
		r.open[nd] = map[uint64]int{}
	}
	r.open[nd][index] = len(r.history) - 1
	nd.replica.Flush()
	r.carryOut(nd)
}

// answered notes what the operator behind an entry of the log is told.
func (r *race) answered(nd *node, index uint64, o *wire.Outcome) {
	op, ok := r.open[nd][index]
	if !ok || o == nil {
		return
	}
	delete(r.open[nd], index)
	r.now++
	r.history[op].Return = r.now
	r.history[op].Output = outcome{known: true, accepted: o.GetKind() == registry.Accepted, revision: o.GetRevision()}
}

func TestRacingOperatorsAreLinearizable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt, 3, 0)
		r := &race{world: w, open: map[*node]map[uint64]int{}}
		w.told = r.answered
		for range 100 {
			if rapid.IntRange(0, 2).Draw(rt, "operator") == 0 {
				nd := w.nodes[rapid.IntRange(0, 2).Draw(rt, "asked")]
				from := uint64(rapid.IntRange(0, 4).Draw(rt, "from"))
				if rapid.Bool().Draw(rt, "newest") {
					from = nd.registry.Current().GetNumber()
				}
				if len(r.history) < 24 {
					r.ask(nd, change{fmt.Sprintf("c%d", rapid.IntRange(0, 9).Draw(rt, "id")), from})
				}
				continue
			}
			w.step()
		}
		w.heal()
		w.checkRest()
		if porcupine.CheckOperationsTimeout(model, r.history, 5*time.Second) == porcupine.Illegal {
			rt.Fatalf("no order of the changes explains what the operators were told: %+v", r.history)
		}
	})
}
