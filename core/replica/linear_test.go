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

// In this test, concurrent operators change the tables from the same revision and
// resend changes whose answer was lost, while control instances crash and are
// partitioned. The history of requests and answers must be linearizable.

const (
	emptyRoutes = `{"routes": []}`
	emptyPools  = `{"pools": []}`
)

// change is an operator's request to replace the tables.
type change struct {
	id   string
	from uint64
}

// changeResult is the answer to a change.
type changeResult struct {
	received bool // false: no answer was received
	accepted bool
	revision uint64
}

// tablesState is the state of the model: the revision, and the revision that each
// accepted change id produced.
type tablesState struct {
	revision uint64
	answers  string // "id=revision;" for each accepted change
}

// tablesModel is the sequential specification of changes to the tables. A change
// id that was accepted before gets its first answer again.
var tablesModel = porcupine.Model{
	Init: func() any { return tablesState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(tablesState), input.(change), output.(changeResult)
		if first, ok := firstAnswer(s.answers, in.id); ok {
			return !out.received || out.accepted && out.revision == first, s
		}
		if in.from != s.revision {
			return !out.received || !out.accepted && out.revision == s.revision, s
		}
		next := tablesState{s.revision + 1, s.answers + fmt.Sprintf("%s=%d;", in.id, s.revision+1)}
		return !out.received || out.accepted && out.revision == next.revision, next
	},
	Equal: func(a, b any) bool { return a == b },
}

// firstAnswer returns the revision that the change with this id produced.
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
				_, _ = fmt.Sscan(answers[i+1:end], &n) // always a number, printed by tablesModel
			}
		}
		if name == id {
			return n, true
		}
		answers = answers[end+1:]
	}
	return 0, false
}

// changeRace is a simulation with operators who change the tables.
type changeRace struct {
	*simulation
	now     int64
	history []porcupine.Operation
}

// submit sends a change to one instance. Its answer may be lost.
func (r *changeRace) submit(nd *node, in change) {
	if !nd.working() {
		return
	}
	data, err := proto.Marshal(&wire.Command{AtMillis: 1, Body: &wire.Command_PutTables{PutTables: &wire.PutTables{
		ChangeId: in.id, FromRevision: in.from, Operator: in.id, Routes: []byte(emptyRoutes), Pools: []byte(emptyPools),
	}}})
	r.must(err)
	index, term, ok := nd.replica.Propose(data)
	if !ok {
		return
	}
	r.now++
	r.history = append(r.history, porcupine.Operation{ClientId: len(r.history), Input: in, Call: r.now, Output: changeResult{}, Return: 1 << 60})
	nd.proposals[index] = proposal{term: term, op: len(r.history)}
	nd.replica.Flush()
	r.handleOutput(nd)
}

// recordOutcome records the answer to an operator.
func (r *changeRace) recordOutcome(op int, o *wire.Outcome) {
	r.now++
	r.history[op].Return = r.now
	r.history[op].Output = changeResult{received: true, accepted: o.GetKind() == registry.Accepted, revision: o.GetRevision()}
}

func TestRacingOperatorsAreLinearizable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSimulation(rt, 3, 0)
		r := &changeRace{simulation: s}
		s.onOutcome = r.recordOutcome
		for range 100 {
			if rapid.IntRange(0, 2).Draw(rt, "operator") == 0 {
				nd := s.nodes[rapid.IntRange(0, 2).Draw(rt, "asked")]
				from := uint64(rapid.IntRange(0, 4).Draw(rt, "from"))
				if rapid.Bool().Draw(rt, "newest") {
					from = nd.registry.CurrentRevision().GetNumber()
				}
				if len(r.history) < 24 {
					r.submit(nd, change{fmt.Sprintf("c%d", rapid.IntRange(0, 9).Draw(rt, "id")), from})
				}
				continue
			}
			s.step()
		}
		s.heal()
		s.checkConverged()
		if porcupine.CheckOperationsTimeout(tablesModel, r.history, 5*time.Second) == porcupine.Illegal {
			rt.Fatalf("the history of changes and answers is not linearizable: %+v", r.history)
		}
	})
}
