package replica_test

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"tanagerroad/core/registry"
	"tanagerroad/core/wire"
)

// In this test, an operator orders to begin and to finish the evacuation of a zone, sends
// each order again to other control instances until it is acknowledged, and reads the state.
// Copies of an order on the way from the instance that received it to the leader are delayed
// and duplicated for as long as the schedule likes. Instances crash, lose their disks, leave
// and are partitioned. The history must be linearizable: an order that was acknowledged is
// neither forgotten nor undone by a copy of an earlier one.

const evacuatedZone = "z"

// evacuationCall is an order, or a read of the state.
type evacuationCall struct {
	order  int // counts the orders from 1; 0: read
	active bool
}

// evacuationState is the state of the model: the latest order that took effect.
type evacuationState struct {
	order  int
	active bool
}

// evacuationResult is the answer to an evacuationCall.
type evacuationResult struct {
	received bool // false: no answer was received
	active   bool // the state read
}

// evacuationModel is the sequential specification of the calls: a read returns the latest
// order. An order that was given up without an acknowledgement may take effect or not, but
// not after a later one.
var evacuationModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{evacuationState{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(evacuationState), input.(evacuationCall), output.(evacuationResult)
		next := evacuationState(in)
		switch {
		case in.order == 0 && (!out.received || out.active == s.active):
			return []any{s}
		case in.order > s.order && out.received:
			return []any{next}
		case in.order > s.order:
			return []any{s, next}
		case in.order > 0 && !out.received:
			return []any{s}
		}
		return nil
	},
}

// orderCopy is a copy of an order that an instance has received.
type orderCopy struct {
	op     int // operation in the history
	from   uint64
	waited bool // the operator waits for this copy
}

// evacuationRace is a simulation with an operator.
type evacuationRace struct {
	*simulation
	now          int64
	history      []porcupine.Operation
	copies       []*orderCopy   // received by an instance, on the way to a leader or proposed
	pendingReads map[uint64]int // operation by token
	waiting      int            // operation that the operator waits for, -1: none
	orders       int            // given so far
}

func (r *evacuationRace) recordCall(in evacuationCall) int {
	r.now++
	r.history = append(r.history, porcupine.Operation{ClientId: len(r.history), Input: in, Call: r.now, Output: evacuationResult{}, Return: 1 << 60})
	return len(r.history) - 1
}

func (r *evacuationRace) recordResult(op int, active bool) {
	r.now++
	r.history[op].Return, r.history[op].Output = r.now, evacuationResult{true, active}
}

// receive has an instance receive the order that the operator waits for. Nobody waits for
// its earlier copies any more.
func (r *evacuationRace) receive(nd *node) {
	for _, c := range r.copies {
		c.waited = false
	}
	r.copies = append(r.copies, &orderCopy{op: r.waiting, from: versionKnownBy(nd), waited: true})
}

func versionKnownBy(nd *node) uint64 {
	zones, _ := nd.registry.Evacuations()
	for _, z := range zones {
		return z.GetVersion()
	}
	return 0
}

// propose proposes a copy to an instance, which refuses it unless it leads.
func (r *evacuationRace) proposeCopy(nd *node, i int) {
	in := r.history[r.copies[i].op].Input.(evacuationCall)
	data, err := proto.Marshal(&wire.Command{AtMillis: 1, Body: &wire.Command_SetEvacuation{SetEvacuation: &wire.SetEvacuation{
		Zone: evacuatedZone, Active: in.active, FromVersion: r.copies[i].from,
	}}})
	r.must(err)
	index, term, ok := nd.replica.Propose(data)
	if !ok {
		return
	}
	nd.proposals[index] = proposal{term: term, op: i + 1}
	nd.replica.Flush()
	r.handleOutput(nd)
}

// handleOutcome hands the outcome of a copy to the instance that received it.
func (r *evacuationRace) handleOutcome(i int, o *wire.Outcome) {
	c := r.copies[i]
	switch {
	case !c.waited || c.op != r.waiting:
	case o.GetKind() == registry.Accepted:
		r.recordResult(c.op, false)
		r.waiting = -1
	case o.GetKind() == registry.Conflict:
		c.waited = false
		r.copies = append(r.copies, &orderCopy{op: c.op, from: o.GetRevision(), waited: true})
	}
}

func (r *evacuationRace) read(nd *node) {
	token := r.newRead(nd)
	r.pendingReads[token] = r.recordCall(evacuationCall{})
	nd.replica.Read(token)
	r.handleOutput(nd)
}

func isEvacuated(nd *node) bool {
	zones, _ := nd.registry.Evacuations()
	return len(zones) > 0 && zones[0].GetActive()
}

// act has the operator, or the network between the instances that receive orders and the
// leader, do something.
func (r *evacuationRace) act(nd *node) {
	switch kind := rapid.IntRange(0, 9).Draw(r.t, "act"); {
	case kind < 2 && len(r.history) < 40 && (r.waiting < 0 || kind == 0):
		r.orders++
		r.waiting = r.recordCall(evacuationCall{order: r.orders, active: rapid.Bool().Draw(r.t, "begin")})
		r.receive(nd)
	case kind < 4 && r.waiting >= 0:
		r.receive(nd)
	case kind == 4 && len(r.history) < 40:
		r.read(nd)
	case kind == 5: // the instance goes by its snapshot from now on
		if r.compact(nd); nd.up {
			r.crash(nd)
		}
		r.restart(nd)
	case len(r.copies) > 0:
		i := len(r.copies) - 1 - rapid.IntRange(0, min(len(r.copies)-1, 6)).Draw(r.t, "copy")
		for _, each := range r.nodes {
			if each.working() {
				r.proposeCopy(each, i)
			}
		}
	}
}

// TestOrderOfEvacuationIsForgottenOrUndone guards against an acknowledged order about an
// evacuation that is lost, or undone by a late copy of an earlier one.
func TestOrderOfEvacuationIsForgottenOrUndone(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(3, 4).Draw(rt, "instances")
		s := newSimulation(rt, n, time.Duration(n-3)*4*electionTimeout) // open membership if n is 4
		r := &evacuationRace{simulation: s, pendingReads: map[uint64]int{}, waiting: -1}
		s.onOutcome = r.handleOutcome
		s.onRead = func(nd *node, token uint64) {
			if op, ok := r.pendingReads[token]; ok {
				r.recordResult(op, isEvacuated(nd))
			}
		}
		for range 120 {
			nd := s.nodes[rapid.IntRange(0, n-1).Draw(rt, "asked")]
			if rapid.Bool().Draw(rt, "operator") && nd.working() {
				r.act(nd)
				continue
			}
			s.step()
		}
		s.heal()
		s.checkConverged()
		for _, nd := range s.nodes {
			r.recordResult(r.recordCall(evacuationCall{}), isEvacuated(nd))
		}
		model := evacuationModel.ToModel()
		if porcupine.CheckOperationsTimeout(model, r.history, 5*time.Second) == porcupine.Illegal {
			rt.Fatalf("the history of orders and reads is not linearizable: %+v", r.history)
		}
	})
}
