package request_test

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"tanagerroad"
	"tanagerroad/core/registry"
	"tanagerroad/core/request"
	"tanagerroad/core/stage"
	"tanagerroad/core/table"
	"tanagerroad/core/wire"
)

// sidecar is one backend server's sidecar. Its attempts are managed by the real
// package stage; the backend server and the network are simulated.
type sidecar struct {
	id         string
	generation uint64
	scheduler  *stage.Scheduler
	records    map[tanagerroad.AttemptKey]*record
	up         bool
	stopping   bool // a planned stop has begun
	start      int  // generation of the backend server
}

// record is an attempt and its result at a sidecar.
type record struct {
	nonRepeatable bool
	id            string // the caller's request id
	input         []byte
	data          []byte
	end           *request.Event
	watchers      []*entryRun
}

// entryRun is one request at an entry.
type entryRun struct {
	name       string
	config     request.Config
	machine    *request.Machine
	want       []byte
	claimKnown bool // the quorum has replied with the claim
	crashed    bool // its entry has crashed
	answers    []tanagerroad.Answer
	streamed   []byte // bytes delivered by streaming
}

// pendingEvent is a message or a result in flight. Pending events are resolved in
// any order.
type pendingEvent struct {
	name   string
	arrive func()
	lose   func() // called instead of arrive if it is lost; nil if it can't be lost
}

type timer struct {
	at  time.Duration
	run *entryRun
	ev  request.Event
}

// simulation is a set of entries, sidecars and one registry, with the messages in
// flight between them. Time is virtual, and rapid draws the order of events.
type simulation struct {
	t           *rapid.T
	now         time.Duration
	sidecars    []*sidecar
	registry    *registry.Registry
	quorumUp    bool
	calm        bool // messages are neither corrupted nor duplicated, and no stream breaks
	index       uint64
	pending     []pendingEvent
	timers      []timer
	seals       []func() // to be called when time advances
	runs        []*entryRun
	runsByStage map[string]int // by the caller's request ID and stage
	runsByKey   map[tanagerroad.AttemptKey]int
}

const deadline = 4 * time.Second

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{t: t, quorumUp: true, registry: registry.New(registry.DefaultConfig()), runsByStage: map[string]int{}, runsByKey: map[tanagerroad.AttemptKey]int{}}
	for i := range 3 {
		s := &sidecar{id: fmt.Sprintf("s%d", i), generation: uint64(i + 1)}
		sim.sidecars = append(sim.sidecars, s)
		sim.startSidecar(s)
	}
	return sim
}

// startSidecar starts a sidecar, or restarts it with a new generation and without
// its previous state.
func (sim *simulation) startSidecar(s *sidecar) {
	s.generation += 10
	s.scheduler = stage.NewScheduler(stage.Config{
		Generation: s.generation, MaxQueued: 4, Retention: time.Minute, OnceRetention: time.Hour, MaxRetainedBytes: 1 << 20, MaxRetainedOnce: 100,
	})
	s.records, s.up, s.stopping = map[tanagerroad.AttemptKey]*record{}, true, false
	sim.announce(s)
}

func (sim *simulation) announce(s *sidecar) {
	sim.stepSidecar(s, stage.Event{Kind: stage.Announce, Capacity: 2, State: tanagerroad.Serving, Start: s.start})
}

// leave has the backend server say in an answer that it leaves. It goes on announcing that
// it serves, and starts again at some time.
func (sim *simulation) leave(s *sidecar) {
	sim.stepSidecar(s, stage.Event{Kind: stage.Leave, Start: s.start})
	sim.announce(s)
	sim.enqueue(pendingEvent{"next start", func() {
		s.start++
		sim.stepSidecar(s, stage.Event{Kind: stage.Crash})
		sim.announce(s)
	}, nil})
}

// stopAsPlanned begins a planned stop of a sidecar. It ends, and the sidecar starts again,
// once nothing is queued or runs there and its results were read.
func (sim *simulation) stopAsPlanned(s *sidecar) {
	if !s.up || s.stopping {
		return
	}
	s.stopping = true
	sim.stepSidecar(s, stage.Event{Kind: stage.Stop})
	sim.seal(s, sim.now+2*time.Second)
}

// seal asks which claims are bound to a stopping sidecar until there is none, or the time
// has passed, and then restarts it.
func (sim *simulation) seal(s *sidecar, until time.Duration) {
	sim.enqueue(pendingEvent{"seal", func() {
		outcome := sim.applyCommand(&wire.Command{Body: &wire.Command_Seal{Seal: &wire.Seal{Server: s.id, Generation: s.generation}}})
		sim.enqueue(pendingEvent{"seal reply", func() {
			load := s.scheduler.Load(0)
			if load.InFlight+load.Queued+len(outcome.GetBound()) > 0 && sim.now < until {
				sim.seals = append(sim.seals, func() { sim.seal(s, until) })
				return
			}
			sim.startSidecar(s)
		}, nil})
	}, nil})
}

// fault draws a fault of a message, which happens once in so many times.
func (sim *simulation) fault(once int, label string) bool {
	return !sim.calm && rapid.IntRange(0, once-1).Draw(sim.t, label) == 0
}

func (sim *simulation) enqueue(p pendingEvent) { sim.pending = append(sim.pending, p) }

// stepMachine feeds an event to a request's machine and carries out its actions.
func (sim *simulation) stepMachine(r *entryRun, ev request.Event) {
	if r.crashed {
		return
	}
	for _, a := range r.machine.Step(sim.now, ev) {
		sim.perform(r, a)
	}
}

func (sim *simulation) perform(r *entryRun, a request.Action) {
	switch a.Kind {
	case request.Pick:
		sim.pick(r, a)
	case request.Claim, request.Rebind:
		sim.claim(r, a)
	case request.Run, request.Fetch:
		sim.dispatch(r, a)
	case request.QueryStatus:
		sim.queryStatus(r, a)
	case request.Cancel:
		s := sim.sidecarAt(a.Address)
		sim.enqueue(pendingEvent{"cancel", func() { sim.stepSidecar(s, stage.Event{Kind: stage.Cancel, Key: a.Key}) }, func() {}})
	case request.Settle:
		sim.settle(r, a)
	case request.Deliver:
		r.streamed = append(r.streamed, a.Bytes...)
	case request.SetTimer:
		sim.timers = append(sim.timers, timer{a.At, r, request.Event{Kind: request.Timer, Name: a.Name, Key: a.Key}})
	case request.Unexpected:
		sim.t.Fatalf("%s: %s", r.name, a.Reason)
	case request.Finish:
		sim.finish(r, *a.Answer)
	}
}

func (sim *simulation) sidecarAt(address string) *sidecar {
	i := slices.IndexFunc(sim.sidecars, func(s *sidecar) bool { return s.id == address })
	return sim.sidecars[i]
}

func (sim *simulation) pick(r *entryRun, a request.Action) {
	var candidates []*sidecar
	for _, s := range sim.sidecars {
		if !slices.Contains(a.Exclude, s.id) {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 || a.UseRetryBudget && rapid.Bool().Draw(sim.t, "retry budget exhausted") {
		sim.enqueue(pendingEvent{"no pick", func() { sim.stepMachine(r, request.Event{Kind: request.NoPick, Key: a.Key, Reason: "none"}) }, nil})
		return
	}
	s := candidates[rapid.IntRange(0, len(candidates)-1).Draw(sim.t, "pick")]
	hedge := time.Duration(rapid.IntRange(0, 1).Draw(sim.t, "hedge")) * 50 * time.Millisecond
	ev := request.Event{Kind: request.Picked, Key: a.Key, Server: s.id, Address: s.id, Generation: s.generation, HedgeAfter: hedge}
	sim.enqueue(pendingEvent{"picked", func() { sim.stepMachine(r, ev) }, nil})
}

func (sim *simulation) applyCommand(c *wire.Command) *wire.Outcome {
	sim.index++
	c.AtMillis = sim.now.Milliseconds()
	return sim.registry.Apply(sim.index, c)
}

func wireKey(k tanagerroad.AttemptKey) *wire.Key {
	return &wire.Key{Request: k.Request, Stage: uint32(k.Stage), Attempt: uint32(k.Attempt)}
}

func fromWire(k *wire.Key) tanagerroad.AttemptKey {
	return tanagerroad.AttemptKey{Request: k.GetRequest(), Stage: int(k.GetStage()), Attempt: int(k.GetAttempt())}
}

// claim sends a claim to the quorum. The command or its reply may be lost.
func (sim *simulation) claim(r *entryRun, a request.Action) {
	command := &wire.Command{Body: &wire.Command_Claim{Claim: &wire.Claim{
		Request: r.config.ID, Workspace: "w", Digest: r.config.Fingerprint, Server: a.Server, Address: a.Address,
		Generation: a.Generation, Key: wireKey(a.Key),
	}}}
	if a.Kind == request.Rebind {
		command = &wire.Command{Body: &wire.Command_Rebind{Rebind: &wire.Rebind{
			Request: r.config.ID, Workspace: "w", Fenced: wireKey(a.Bound), Key: wireKey(a.Key), Server: a.Server,
			Address: a.Address, Generation: a.Generation,
		}}}
	}
	denied := func() { sim.stepMachine(r, request.Event{Kind: request.Denied, Key: a.Key, Reason: "no quorum"}) }
	sim.enqueue(pendingEvent{"claim", func() {
		if !sim.quorumUp {
			denied()
			return
		}
		outcome := sim.applyCommand(command)
		sim.enqueue(pendingEvent{"claim reply", func() { sim.deliverClaimReply(r, a, outcome) }, denied})
	}, denied})
}

func (sim *simulation) deliverClaimReply(r *entryRun, a request.Action, o *wire.Outcome) {
	held := o.GetClaim()
	switch {
	case o.GetKind() == registry.Granted:
		r.claimKnown = true
		sim.stepMachine(r, request.Event{Kind: request.Granted, Key: a.Key})
	case held != nil:
		r.claimKnown = true
		sim.stepMachine(r, request.Event{
			Kind: request.Held, Key: fromWire(held.GetKey()), Server: held.GetServer(), Address: held.GetAddress(),
			Generation: held.GetGeneration(), State: held.GetKind(), Bytes: held.GetAnswer(), Length: held.GetLength(),
		})
	default:
		sim.stepMachine(r, request.Event{Kind: request.Denied, Key: a.Key, State: o.GetKind(), Reason: o.GetReason()})
	}
}

func (sim *simulation) settle(r *entryRun, a request.Action) {
	sim.enqueue(pendingEvent{"settle", func() {
		if !sim.quorumUp {
			return
		}
		outcome := sim.applyCommand(&wire.Command{Body: &wire.Command_Settle{Settle: &wire.Settle{
			Request: r.config.ID, Workspace: "w", Kind: a.State, Answer: a.Bytes, Key: wireKey(a.Key),
		}}})
		sim.enqueue(pendingEvent{"settle reply", func() {
			held := outcome.GetClaim()
			sim.stepMachine(r, request.Event{
				Kind: request.Settled, State: outcome.GetKind(), Claim: held.GetKind(), Bytes: held.GetAnswer(), Length: held.GetLength(), Reason: held.GetReason(),
			})
		}, func() {}})
	}, func() {}})
}

// dispatch sends a message to a sidecar. It may arrive, be lost, or arrive twice.
func (sim *simulation) dispatch(r *entryRun, a request.Action) {
	s := sim.sidecarAt(a.Address)
	lost := func() { sim.stepMachine(r, request.Event{Kind: request.ConnectionLost, Key: a.Key}) }
	arrive := func() {
		if !s.up {
			lost()
			return
		}
		if a.Kind == request.Run {
			sim.submit(s, r, a)
		}
		rec := s.records[a.Key]
		if rec == nil {
			lost()
			return
		}
		rec.watchers = append(rec.watchers, r)
		sim.streamRecord(r, a.Key, rec, int(a.Offset))
	}
	sim.enqueue(pendingEvent{a.Kind, arrive, lost})
	if a.Kind == request.Run && sim.fault(10, "duplicate") {
		sim.enqueue(pendingEvent{"late duplicate", func() {
			if s.up {
				sim.submit(s, r, a)
			}
		}, func() {}})
	}
}

func (sim *simulation) submit(s *sidecar, r *entryRun, a request.Action) {
	if s.records[a.Key] != nil {
		return
	}
	s.records[a.Key] = &record{nonRepeatable: r.config.Once, id: r.config.ID, input: a.Input}
	actions := sim.stepSidecar(s, stage.Event{
		Kind: stage.Submit, Key: a.Key, Deadline: r.config.Deadline, Once: r.config.Once, Alone: a.Alone,
		Generation: a.Generation, Fingerprint: r.config.Fingerprint,
	})
	for _, d := range actions {
		if d.Kind == stage.Attached && d.Key == a.Key {
			sim.endRecord(s, a.Key, request.Event{Kind: request.TurnedAway, Key: a.Key, Reason: "fenced off"})
		}
	}
}

// stepSidecar feeds an event to a sidecar that is up and carries out its actions.
func (sim *simulation) stepSidecar(s *sidecar, ev stage.Event) []stage.Action {
	if !s.up {
		return nil
	}
	actions := s.scheduler.Step(sim.now, ev)
	for _, a := range actions {
		switch a.Kind {
		case stage.Start:
			sim.runAtBackend(s, a.Key)
		case stage.Reject:
			sim.endRecord(s, a.Key, request.Event{Kind: request.TurnedAway, Key: a.Key, Reason: a.Reason, RetryAfter: a.RetryAfter, Paused: a.Paused})
		case stage.ReportOutcome:
			sim.endRecord(s, a.Key, request.Event{Kind: request.Fail, Key: a.Key, MayHaveRun: a.State == stage.Unknown, Crashed: a.Reason == "crashed"})
		case stage.Unexpected:
			sim.t.Fatalf("%s: %s", s.id, a.Reason)
		}
	}
	return actions
}

// runAtBackend starts a call at the backend server. The call may be refused, run,
// fail, or run with its result lost.
func (sim *simulation) runAtBackend(s *sidecar, key tanagerroad.AttemptKey) {
	generation := s.generation
	rec := s.records[key]
	alive := func() bool { return s.up && s.generation == generation && s.scheduler.StateOf(key) == stage.Running }
	sim.enqueue(pendingEvent{"backend", func() {
		// The backend server may run the call even after its sidecar crashed.
		sim.countRun(rec, key)
		sim.enqueue(pendingEvent{"backend answer", func() {
			if alive() {
				rec.data = answer(rec.input)
				sim.stepSidecar(s, stage.Event{Kind: stage.Finish, Key: key, Bytes: len(rec.data)})
				sim.endRecord(s, key, request.Event{Kind: request.End, Key: key, Length: uint64(len(rec.data)), Digest: xxhash.Sum64(rec.data)})
				if sim.fault(10, "leave") {
					sim.leave(s)
				}
			}
		}, func() {
			if alive() {
				kind := stage.Fail
				if rec.nonRepeatable {
					kind = stage.LoseContact
				}
				sim.stepSidecar(s, stage.Event{Kind: kind, Key: key})
			}
		}})
	}, func() {
		if alive() {
			if sim.fault(2, "pause") {
				pause := time.Duration(rapid.IntRange(1, 3000).Draw(sim.t, "pause ms")) * time.Millisecond
				sim.stepSidecar(s, stage.Event{Kind: stage.Pause, Start: s.start, Pause: pause})
			}
			sim.stepSidecar(s, stage.Event{Kind: stage.Refuse, Key: key})
		}
	}})
}

// answer returns the correct result of a stage for an input.
func answer(input []byte) []byte { return fmt.Appendf(nil, "<%x:%s>", xxhash.Sum64(input), input) }

// countRun counts the runs at the backend servers and fails if a stage of a
// non-repeatable request runs twice.
func (sim *simulation) countRun(rec *record, key tanagerroad.AttemptKey) {
	sim.runsByKey[key]++
	name := fmt.Sprintf("%s/%d", rec.id, key.Stage)
	sim.runsByStage[name]++
	if rec.nonRepeatable && sim.runsByStage[name] > 1 {
		sim.t.Fatalf("non-repeatable request %s ran stage %d %d times, want at most once", rec.id, key.Stage, sim.runsByStage[name])
	}
}

func (sim *simulation) endRecord(s *sidecar, key tanagerroad.AttemptKey, end request.Event) {
	rec := s.records[key]
	if rec == nil || rec.end != nil {
		return
	}
	rec.end = &end
	for _, r := range rec.watchers {
		sim.streamRecord(r, key, rec, 0)
	}
}

// streamRecord sends a record's data and end to a watcher, in parts that may be
// duplicated, corrupted and reordered. If a part is lost, the watcher's stream
// breaks.
func (sim *simulation) streamRecord(r *entryRun, key tanagerroad.AttemptKey, rec *record, from int) {
	lost := func() { sim.stepMachine(r, request.Event{Kind: request.ConnectionLost, Key: key}) }
	if rec.end == nil {
		if sim.fault(10, "stream breaks") {
			sim.enqueue(pendingEvent{"stream breaks", lost, nil})
		}
		return
	}
	if rec.end.Kind == request.End {
		half := max(from, len(rec.data)/2)
		overlap := rapid.IntRange(0, half-from).Draw(sim.t, "overlap")
		for _, piece := range [][2]int{{from, half}, {half - overlap, len(rec.data)}} {
			ev := request.Event{Kind: request.Data, Key: key, Offset: uint64(piece[0]), Bytes: rec.data[piece[0]:piece[1]]}
			if sim.fault(50, "corrupt") {
				ev.Bytes = bytes.ToUpper(ev.Bytes)
			}
			sim.enqueue(pendingEvent{"data", func() { sim.stepMachine(r, ev) }, lost})
			if sim.fault(10, "duplicate") {
				sim.enqueue(pendingEvent{"duplicate data", func() { sim.stepMachine(r, ev) }, func() {}})
			}
		}
	}
	end := *rec.end
	sim.enqueue(pendingEvent{"end", func() { sim.stepMachine(r, end) }, lost})
}

func (sim *simulation) queryStatus(r *entryRun, a request.Action) {
	s := sim.sidecarAt(a.Address)
	noReply := func() { sim.stepMachine(r, request.Event{Kind: request.StatusReply, Key: a.Key}) }
	sim.enqueue(pendingEvent{"status query", func() {
		if !s.up {
			noReply()
			return
		}
		for _, d := range sim.stepSidecar(s, stage.Event{Kind: stage.Query, Key: a.Key, Generation: a.Generation, Fence: a.Fence}) {
			if d.Kind == stage.AnswerQuery {
				state := d.State
				sim.enqueue(pendingEvent{"status reply", func() { sim.stepMachine(r, request.Event{Kind: request.StatusReply, Key: a.Key, State: state}) }, noReply})
			}
		}
	}, noReply})
}

// finish checks the final answer, which must be the only one.
func (sim *simulation) finish(r *entryRun, a tanagerroad.Answer) {
	r.answers = append(r.answers, a)
	if len(r.answers) > 1 {
		sim.t.Fatalf("%s got %d final answers, want 1", r.name, len(r.answers))
	}
	switch a.Kind {
	case tanagerroad.AnswerComplete:
		if !bytes.Equal(a.Body, r.want) {
			sim.t.Fatalf("%s was answered with %q, want %q", r.name, a.Body, r.want)
		}
		if r.streamed != nil && !bytes.Equal(r.streamed, r.want) {
			sim.t.Fatalf("%s was streamed %q, want %q", r.name, r.streamed, r.want)
		}
	case tanagerroad.AnswerNotRun:
		sim.checkNotRun(r)
		if a.RetryAfter <= 0 {
			sim.t.Fatalf("%s was answered not-run without a retry-after", r.name)
		}
	}
}

// checkNotRun checks that none of the request's own calls ran and that, for a
// non-repeatable request, no other send of the same ID ran either. A first send
// that got no reply about its claim is exempt from the latter: a resend may have
// overtaken it, and the caller gets the answer of that resend separately.
func (sim *simulation) checkNotRun(r *entryRun) {
	for key, n := range sim.runsByKey {
		if key.Request == r.config.Execution && n > 0 {
			sim.t.Fatalf("%s was answered not-run, but %s ran", r.name, key)
		}
	}
	if r.config.Once && (r.claimKnown || r.config.Resend) && sim.runsByStage[r.config.ID+"/0"] > 0 {
		sim.t.Fatalf("%s was answered not-run, but %s ran", r.name, r.config.ID)
	}
}

func route(name string, stages int, once bool, stream bool) table.Route {
	repeatable := !once
	r := table.Route{Name: name, Deadline: tanagerroad.Duration(deadline), Repeatable: &repeatable}
	for i := range stages {
		r.Stages = append(r.Stages, table.Stage{Name: fmt.Sprintf("stage-%d", i), Pool: "p", Stream: stream && i == stages-1})
	}
	return r
}

var routes = []table.Route{
	route("book", 1, true, false),
	route("book-in-two", 2, true, false),
	route("assist", 3, false, true),
	route("look-up", 1, false, false),
}

// sendRequest sends a request to an entry. The same ID may be sent several times,
// to different entries.
func (sim *simulation) sendRequest(kind, number int) {
	rt := routes[kind]
	id := fmt.Sprintf("%s-%d", rt.Name, number)
	body := []byte("body of " + id)
	want := body
	for range rt.Stages {
		want = answer(want)
	}
	r := &entryRun{name: fmt.Sprintf("%s sent as %d", id, len(sim.runs)), want: want}
	r.config = request.Config{
		ID: id, Execution: fmt.Sprintf("x%d", len(sim.runs)), Workspace: "w", Route: rt, Body: body,
		Fingerprint: xxhash.Sum64(body), Deadline: sim.now + deadline, Once: !rt.IsRepeatable(),
		ExpectedTimes: make([]time.Duration, len(rt.Stages)),
		Resend:        slices.ContainsFunc(sim.runs, func(before *entryRun) bool { return before.config.ID == id }),
	}
	r.machine = request.New(r.config)
	sim.runs = append(sim.runs, r)
	sim.stepMachine(r, request.Event{Kind: request.Start})
}
