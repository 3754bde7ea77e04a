package request_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"tanagerroad"
	"tanagerroad/core/registry"
	"tanagerroad/core/request"
	"tanagerroad/core/schedule"
	"tanagerroad/core/stage"
)

func TestMain(m *testing.M) { schedule.Main(m, 10000, 1000) }

// randomStep draws one step: deliver or lose a pending event, send a request,
// advance the clock, stop or restart a sidecar, crash a backend server, switch the
// quorum on or off, crash an entry or disconnect a caller.
func (sim *simulation) randomStep() {
	t := sim.t
	kind := rapid.IntRange(0, 99).Draw(t, "kind")
	switch {
	case kind < 70:
		if len(sim.pending) > 0 {
			sim.resolvePending(rapid.IntRange(0, len(sim.pending)-1).Draw(t, "which"), kind < 5)
		}
	case kind < 80:
		sim.sendRequest(rapid.IntRange(0, len(routes)-1).Draw(t, "route"), rapid.IntRange(0, 2).Draw(t, "number"))
	case kind < 88:
		sim.advance(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
	case kind < 90:
		s := sim.sidecars[rapid.IntRange(0, len(sim.sidecars)-1).Draw(t, "sidecar")]
		s.up = false
	case kind < 93:
		for _, s := range sim.sidecars {
			if !s.up {
				sim.startSidecar(s)
			}
		}
	case kind < 95:
		s := sim.sidecars[rapid.IntRange(0, len(sim.sidecars)-1).Draw(t, "backend")]
		sim.stepSidecar(s, stage.Event{Kind: stage.Crash})
		sim.stepSidecar(s, stage.Event{Kind: stage.Announce, Capacity: 2, State: tanagerroad.Serving})
	case kind < 97:
		sim.quorumUp = !sim.quorumUp
	default:
		if len(sim.runs) > 0 {
			r := sim.runs[rapid.IntRange(0, len(sim.runs)-1).Draw(t, "entry")]
			if kind == 97 {
				r.crashed = true // its entry crashes
			} else {
				sim.stepMachine(r, request.Event{Kind: request.CallerGone})
			}
		}
	}
}

// resolvePending delivers the pending event i, or loses it.
func (sim *simulation) resolvePending(i int, lose bool) {
	p := sim.pending[i]
	sim.pending = append(sim.pending[:i], sim.pending[i+1:]...)
	if lose && p.lose != nil {
		p.lose()
		return
	}
	p.arrive()
}

// advance moves the clock forward and fires the timers that are due.
func (sim *simulation) advance(d time.Duration) {
	sim.now += d
	due := sim.timers
	sim.timers = nil
	for _, t := range due {
		if t.at > sim.now {
			sim.timers = append(sim.timers, t)
			continue
		}
		sim.stepMachine(t.run, t.ev)
	}
	for _, s := range sim.sidecars {
		sim.stepSidecar(s, stage.Event{Kind: stage.Tick})
	}
	seals := sim.seals
	sim.seals = nil
	for _, seal := range seals {
		seal()
	}
}

// quiesce ends all faults and runs until every request is past its deadline,
// delivering all pending events.
func (sim *simulation) quiesce() {
	sim.quorumUp = true
	for _, s := range sim.sidecars {
		if !s.up {
			sim.startSidecar(s)
		}
	}
	for range 3 * deadline / (100 * time.Millisecond) {
		for n := 0; len(sim.pending) > 0; n++ {
			if n > 10000 {
				sim.t.Fatalf("pending events do not end, next is: %s", sim.pending[0].name)
			}
			sim.resolvePending(0, false)
		}
		sim.advance(100 * time.Millisecond)
	}
}

// TestEveryRequestGetsOneCorrectAnswer checks, with lost, duplicated, late and
// corrupted messages and with crashes, that every request gets exactly one answer,
// that a complete answer is whole and belongs to the request, that a request
// answered as not-run did not run, and that a non-repeatable request runs at most
// once. A resend of a completed non-repeatable request must get the same answer,
// or unknown.
func TestEveryRequestGetsOneCorrectAnswer(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rt)
		for range 90 {
			sim.randomStep()
		}
		sim.quiesce()
		for _, r := range sim.runs {
			if !r.crashed && len(r.answers) != 1 {
				rt.Fatalf("%s has state %s and %d answers after all faults ended, want 1 answer", r.name, r.machine.State(), len(r.answers))
			}
		}
		sim.checkResends()
	})
}

// checkResends resends every completed non-repeatable request, without faults.
func (sim *simulation) checkResends() {
	for _, r := range sim.runs {
		if r.crashed || !r.config.Once || r.answers[0].Kind != tanagerroad.AnswerComplete {
			continue
		}
		resend := &entryRun{name: r.name + ", resent", want: r.want, config: r.config}
		resend.config.Execution += "-again"
		resend.config.Resend = true
		resend.config.Deadline = sim.now + deadline
		resend.machine = request.New(resend.config)
		sim.stepMachine(resend, request.Event{Kind: request.Start})
		sim.quiesce()
		if len(resend.answers) != 1 {
			sim.t.Fatalf("%s got %d answers, want 1", resend.name, len(resend.answers))
		}
		if kind := resend.answers[0].Kind; kind != tanagerroad.AnswerComplete && kind != tanagerroad.AnswerUnknown {
			sim.t.Fatalf("%s was answered %s, although it was complete before", resend.name, kind)
		}
	}
}

// TestRecordedAnswerIsUnknown guards against a resend that is answered unknown although the
// answer is recorded: it learned that another entry's call runs, that call was answered
// and recorded, and its sidecar was stopped and started before the resend asked it.
func TestRecordedAnswerIsUnknown(t *testing.T) {
	for _, c := range []struct {
		settled request.Event // the reply to the attempt to record the outcome
		want    tanagerroad.AnswerKind
	}{
		{request.Event{Kind: request.Settled, State: registry.AlreadyClaimed, Claim: "complete", Bytes: []byte("two seats"), Length: 9}, tanagerroad.AnswerComplete},
		{request.Event{Kind: request.Settled, State: registry.AlreadyClaimed, Claim: "failed", Reason: "no seats"}, tanagerroad.AnswerFailed},
		{request.Event{Kind: request.Settled, State: registry.AlreadyClaimed, Claim: "complete", Length: 9}, tanagerroad.AnswerUnknown}, // too large to be kept
		{request.Event{Kind: request.Settled, State: registry.AlreadyClaimed, Claim: "unknown"}, tanagerroad.AnswerUnknown},
		{request.Event{Kind: request.Settled, State: registry.ClaimMoved}, tanagerroad.AnswerNotRun}, // the claim was given back
		{request.Event{Kind: request.Settled, State: registry.ClaimMoved, Claim: "running"}, tanagerroad.AnswerUnknown},
		{request.Event{Kind: request.Settled, State: registry.Accepted}, tanagerroad.AnswerUnknown},
		{request.Event{Kind: request.Timer, Name: "settle"}, tanagerroad.AnswerUnknown},
	} {
		m := request.New(request.Config{ID: "b", Execution: "x1", Workspace: "w", Route: routes[0], Body: []byte("b"), Deadline: deadline, Once: true, Resend: true, ExpectedTimes: make([]time.Duration, 1)})
		held := tanagerroad.AttemptKey{Request: "x0", Attempt: 1}
		own := tanagerroad.AttemptKey{Request: "x1", Attempt: 1}
		var last request.Action
		for _, e := range []request.Event{
			{Kind: request.Start},
			{Kind: request.Picked, Key: own, Server: "s0", Address: "s0", Generation: 1},
			{Kind: request.Held, Key: held, Server: "s1", Address: "s1", Generation: 1, State: "running"},
			{Kind: request.StatusReply, Key: held, State: stage.Unknown},
			c.settled,
		} {
			for _, a := range m.Step(time.Second, e) {
				if a.Kind == request.Finish {
					last = a
				}
			}
		}
		if last.Answer == nil || last.Answer.Kind != c.want || c.want == tanagerroad.AnswerComplete && string(last.Answer.Body) != "two seats" {
			t.Errorf("%+v: answered %+v, want %s", c.settled, last.Answer, c.want)
		}
	}
}

// TestPlannedStopLeavesBookingsUnknown guards against a non-repeatable request whose claim
// is bound to a sidecar that has begun to stop and has ended when the request arrives, so
// that the next start cannot say whether it ran. Sidecars stop as planned and start again,
// and nothing else goes wrong: no answer may be unknown, unless another sending of the
// request was answered with its result.
func TestPlannedStopLeavesBookingsUnknown(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rt)
		sim.calm = true
		stops := 0
		for range 60 {
			switch kind := rapid.IntRange(0, 9).Draw(rt, "kind"); {
			case kind < 7:
				if len(sim.pending) > 0 {
					sim.resolvePending(rapid.IntRange(0, len(sim.pending)-1).Draw(rt, "which"), false)
				}
			case kind < 8:
				sim.sendRequest(0, rapid.IntRange(0, 2).Draw(rt, "number"))
			case kind < 9:
				if len(sim.pending) == 0 { // messages take less time than any timeout
					sim.advance(time.Duration(rapid.IntRange(1, 100).Draw(rt, "ms")) * time.Millisecond)
				}
			case stops < len(sim.sidecars)-1: // one is never stopped
				stops++
				sim.stopAsPlanned(sim.sidecars[rapid.IntRange(0, len(sim.sidecars)-1).Draw(rt, "sidecar")])
			}
		}
		sim.quiesce()
		completed := map[string]bool{}
		for _, r := range sim.runs {
			completed[r.config.ID] = completed[r.config.ID] || len(r.answers) == 1 && r.answers[0].Kind == tanagerroad.AnswerComplete
		}
		for _, r := range sim.runs {
			if len(r.answers) == 1 && r.answers[0].Kind == tanagerroad.AnswerUnknown && !completed[r.config.ID] {
				rt.Fatalf("%s was answered unknown (%s) although sidecars only stopped as planned", r.name, r.answers[0].Reason)
			}
		}
	})
}

// TestPausedServerIsExcluded guards against a request that is refused because the only
// server of its pool asked for time, although the request could wait.
func TestPausedServerIsExcluded(t *testing.T) {
	for _, paused := range []bool{true, false} {
		m := request.New(request.Config{ID: "l", Execution: "x", Workspace: "w", Route: routes[3], Body: []byte("l"), Deadline: deadline, ExpectedTimes: make([]time.Duration, 1)})
		key := tanagerroad.AttemptKey{Request: "x", Attempt: 1}
		var exclude []string
		picked := false
		for _, e := range []request.Event{
			{Kind: request.Start},
			{Kind: request.Picked, Key: key, Server: "s0", Address: "s0", Generation: 1},
			{Kind: request.TurnedAway, Key: key, Reason: "the backend server asks for time", RetryAfter: time.Second, Paused: paused},
		} {
			for _, a := range m.Step(time.Second, e) {
				if a.Kind == request.Pick {
					picked, exclude = a.Key.Attempt == 2, a.Exclude
				}
			}
		}
		if !picked || (len(exclude) == 0) != paused {
			t.Errorf("paused %v: picked again %v, without %v", paused, picked, exclude)
		}
	}
}
