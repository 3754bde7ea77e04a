package caller

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/status"

	"tanagerroad"
	"tanagerroad/core/event"
	"tanagerroad/core/registry"
	"tanagerroad/core/request"
	"tanagerroad/core/router"
	"tanagerroad/core/trace"
	"tanagerroad/core/wire"
	"tanagerroad/io/peer"
)

// Times of a run.
const (
	claimPatience  = 1500 * time.Millisecond // for the quorum to answer a claim
	settlePatience = 10 * time.Second        // for the quorum to keep an answer
	askPatience    = 500 * time.Millisecond  // for a sidecar to answer a question
	eventsLength   = 8
)

// sink takes what a run gives its caller. Its methods are called by one
// goroutine.
type sink interface {
	deliver(piece []byte)
	finish(answer tanagerroad.Answer)
}

// outcall is a call that went out to a sidecar.
type outcall struct {
	server string
	sentAt time.Duration
	cancel context.CancelFunc
	bytes  int // of its input
}

// run carries out what one request's machine decides. All of it happens on the
// goroutine of the caller's HTTP handler; streams and timers post events.
type run struct {
	entry     *Entry
	config    request.Config
	seed      uint64
	machine   *request.Machine
	sink      sink
	events    chan request.Event
	ctx       context.Context // ends with the run
	calls     map[tanagerroad.Key]*outcall
	queue     []request.Event   // events that came up while acting
	inputAt   tanagerroad.Place // where the next stage's input lies
	inputSize int
	arrived   time.Duration
	timers    []*time.Timer
	first     bool // a byte was delivered
	answer    tanagerroad.Answer
}

// serve runs a request to its end. gone closes when the caller goes away.
func (e *Entry) serve(config request.Config, seed uint64, gone <-chan struct{}, out sink) tanagerroad.Answer {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := &run{
		entry: e, config: config, seed: seed, machine: request.New(config), sink: out,
		events: make(chan request.Event, eventsLength), ctx: ctx, calls: map[tanagerroad.Key]*outcall{},
		inputAt: e.config.Settings.Place(), inputSize: len(config.Body), arrived: e.config.Clock.Now(),
	}
	e.mu.Lock()
	e.runs[r] = true
	e.mu.Unlock()
	e.config.Trace.Begin(trace.Request, config.Execution, config)
	r.step(request.Event{Kind: request.Start})
	for !r.machine.Ended() {
		select {
		case ev := <-r.events:
			r.step(ev)
		case <-gone:
			gone = nil
			r.step(request.Event{Kind: request.CallerGone})
		}
	}
	r.end()
	return r.answer
}

func (r *run) end() {
	e := r.entry
	for _, t := range r.timers {
		t.Stop()
	}
	onTime := r.answer.Kind == tanagerroad.Complete && e.config.Clock.Now() <= r.config.Deadline
	e.mu.Lock()
	delete(e.runs, r)
	e.decide(router.Event{Kind: router.Finish, Workspace: r.config.Workspace, Route: r.config.Route.Name, OnTime: onTime})
	e.mu.Unlock()
	took := e.config.Clock.Now() - r.arrived
	name := "missed"
	if onTime {
		name = "attained"
	}
	e.countRequest(r.config, name)
	e.count("answers."+string(r.answer.Kind), 1)
	metrics.GetOrRegisterTimer("latency."+r.config.Route.Name, e.config.Metrics).Update(took)
	event.Answered.Log(e.config.Logger, zap.String("request", r.config.ID), zap.String("route", r.config.Route.Name),
		zap.String("workspace", r.config.Workspace), zap.String("kind", string(r.answer.Kind)),
		zap.String("reason", r.answer.Reason), zap.Duration("took", took), zap.Bool("on-time", onTime))
}

// post hands the run an event from another goroutine.
func (r *run) post(ev request.Event) {
	select {
	case r.events <- ev:
	case <-r.ctx.Done():
	}
}

func (r *run) step(ev request.Event) {
	r.queue = append(r.queue, ev)
	for len(r.queue) > 0 {
		ev := r.queue[0]
		r.queue = r.queue[1:]
		now := r.entry.config.Clock.Now()
		actions := r.machine.Step(now, ev)
		if r.entry.config.Trace != nil {
			r.entry.config.Trace.Step(trace.Request, r.config.Execution, now, ev, actions)
		}
		for _, a := range actions {
			r.act(now, a)
		}
	}
}

func (r *run) act(now time.Duration, a request.Action) {
	switch a.Kind {
	case request.Pick:
		r.pick(now, a)
	case request.Claim, request.Rebind:
		go r.claim(a)
	case request.Run:
		r.send(now, a)
	case request.Fetch:
		r.attach(now, a)
	case request.QueryStatus:
		go r.question(a)
	case request.Cancel:
		r.cancel(a)
	case request.Settle:
		r.settle(a)
	case request.Deliver:
		r.deliver(now, a)
	case request.SetTimer:
		timer := request.Event{Kind: request.Timer, Name: a.Name, Key: a.Key}
		r.timers = append(r.timers, time.AfterFunc(a.At-now, func() { r.post(timer) }))
	case request.ReportOutcome:
		r.learn(now, a)
	case request.Discarded:
		r.entry.count("stray-parts", 1)
		event.StrayPart.Log(r.entry.config.Logger, zap.String("request", r.config.ID), zap.Stringer("attempt", a.Key), zap.String("reason", a.Reason))
	case request.Unexpected:
		r.entry.count("unexpected", 1)
		event.UnexpectedEvent.Log(r.entry.config.Logger, zap.String("request", r.config.ID), zap.Stringer("attempt", a.Key), zap.String("finding", a.Reason))
	case request.Finish:
		r.answer = *a.Answer
		r.sink.finish(*a.Answer)
	}
}

func (r *run) stageName(stage int) string { return r.config.Route.Stages[stage].Name }

func (r *run) pick(now time.Duration, a request.Action) {
	verdict := r.entry.ask(router.Event{
		Kind: router.Pick, Route: r.config.Route.Name, Stage: a.Key.Stage, Remaining: r.config.Deadline - now,
		Bytes: r.inputSize, Prefix: router.PrefixHash(r.config.Body), From: r.inputAt, Exclude: a.Exclude, UseRetryBudget: a.UseRetryBudget,
		Seed: xxhash.Sum64String(a.Key.String()) ^ r.seed,
	})
	log := r.entry.config.Logger
	if !verdict.OK {
		event.NotRouted.Log(log, zap.String("request", r.config.ID), zap.String("route", r.config.Route.Name),
			zap.String("stage", r.stageName(a.Key.Stage)), zap.String("reason", verdict.Reason))
		r.queue = append(r.queue, request.Event{Kind: request.NoPick, Key: a.Key, Reason: verdict.Reason, RetryAfter: verdict.RetryAfter})
		return
	}
	if a.UseRetryBudget {
		r.entry.count("extra-attempts", 1)
	}
	c := verdict.Choice
	event.Routed.Log(log, zap.String("request", r.config.ID), zap.String("route", r.config.Route.Name),
		zap.String("stage", r.stageName(a.Key.Stage)), zap.Int("attempt", a.Key.Attempt),
		zap.Strings("candidates", c.Candidates), zap.String("chosen", c.Server), zap.String("why", c.Reason))
	r.calls[a.Key] = &outcall{server: c.Server, sentAt: now}
	r.queue = append(r.queue, request.Event{
		Kind: request.Picked, Key: a.Key, Server: c.Server, Address: c.Address, Generation: verdict.Generation,
		HedgeAfter: verdict.HedgeAfter,
	})
}

// claim binds a not-repeatable request to a call at the quorum.
func (r *run) claim(a request.Action) {
	ctx, cancel := context.WithTimeout(r.ctx, claimPatience)
	defer cancel()
	started := time.Now()
	outcome, err := r.entry.control.Propose(ctx, claimCommand(r, a))
	metrics.GetOrRegisterTimer("claim", r.entry.config.Metrics).UpdateSince(started)
	if err != nil {
		// It may be bound, but nothing was sent and nothing will be.
		outcome = &wire.Outcome{Kind: registry.NoQuorum, Reason: "the quorum did not answer"}
	}
	event.Claimed.Log(r.entry.config.Logger, zap.String("request", r.config.ID), zap.Stringer("attempt", a.Key),
		zap.String("outcome", outcome.GetKind()), zap.String("reason", outcome.GetReason()))
	r.post(claimEvent(a, outcome))
}

func claimCommand(r *run, a request.Action) *wire.Command {
	if a.Kind == request.Rebind {
		return &wire.Command{Body: &wire.Command_Rebind{Rebind: &wire.Rebind{
			Request: r.config.ID, Workspace: r.config.Workspace, Fenced: peer.KeyToWire(a.Bound), Key: peer.KeyToWire(a.Key),
			Server: a.Server, Address: a.Address, Generation: a.Generation,
		}}}
	}
	return &wire.Command{Body: &wire.Command_Claim{Claim: &wire.Claim{
		Request: r.config.ID, Workspace: r.config.Workspace, Digest: r.config.Fingerprint, Server: a.Server,
		Address: a.Address, Generation: a.Generation, Key: peer.KeyToWire(a.Key), Entry: r.entry.config.Settings.Process,
	}}}
}

func claimEvent(a request.Action, outcome *wire.Outcome) request.Event {
	held := outcome.GetClaim()
	switch outcome.GetKind() {
	case registry.Granted:
		return request.Event{Kind: request.Granted, Key: a.Key}
	case registry.AlreadyClaimed, registry.ClaimMoved:
		if held == nil {
			break
		}
		return request.Event{
			Kind: request.Held, Key: peer.KeyFromWire(held.GetKey()), Server: held.GetServer(), Address: held.GetAddress(),
			Generation: held.GetGeneration(), State: held.GetKind(), Bytes: held.GetAnswer(), Reason: held.GetReason(),
			Length: held.GetLength(),
		}
	}
	return request.Event{Kind: request.Denied, Key: a.Key, State: outcome.GetKind(), Reason: outcome.GetReason()}
}

func (r *run) settle(a request.Action) {
	e := r.entry
	e.group.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), settlePatience)
		defer cancel()
		command := &wire.Command{Body: &wire.Command_Settle{Settle: &wire.Settle{
			Request: r.config.ID, Workspace: r.config.Workspace, Kind: a.State, Answer: a.Bytes, Reason: a.Reason,
			Key: peer.KeyToWire(a.Key),
		}}}
		if outcome, err := e.control.Propose(ctx, command); err == nil {
			r.post(request.Event{Kind: request.Settled, State: outcome.GetKind()})
		}
	})
}

// send dispatches a call to its sidecar.
func (r *run) send(now time.Duration, a request.Action) {
	stage := r.config.Route.Stages[a.Key.Stage]
	last := a.Key.Stage == len(r.config.Route.Stages)-1
	var expected time.Duration
	if a.Key.Stage < len(r.config.ExpectedTimes) {
		expected = r.config.ExpectedTimes[a.Key.Stage]
	}
	message := &wire.RunRequest{
		Key: peer.KeyToWire(a.Key), RequestId: r.config.ID, Entry: r.entry.config.Settings.Process, Route: r.config.Route.Name,
		StageName: stage.Name, Workspace: r.config.Workspace, Model: stage.Model,
		Input: a.Input, InputDigest: xxhash.Sum64(a.Input), BudgetMillis: (r.config.Deadline - now).Milliseconds(),
		Once: r.config.Once, Stream: stage.Stream, Fingerprint: r.config.Fingerprint,
		ExpectedMillis: expected.Milliseconds(), Alone: a.Alone, Generation: a.Generation,
	}
	if !last && !r.config.Once {
		message.KeepAbove = uint64(r.entry.config.Settings.Routing.ReferenceAbove)
	}
	from := r.entry.config.Settings.Place()
	size := len(a.Input)
	if ref := a.Reference; ref != nil {
		message.Input, message.InputReference = nil, &wire.Reference{
			Key: peer.KeyToWire(ref.Key), Address: ref.Address, Length: ref.Length, Digest: ref.Digest, Region: ref.Region,
		}
		from, size = r.inputAt, int(ref.Length)
	}
	c := r.calls[a.Key]
	c.sentAt, c.bytes = now, size
	r.moved(from, r.entry.place(c.server), size)
	r.open(a, func(ctx context.Context, client wire.SidecarClient) (grpc.ServerStreamingClient[wire.Part], error) {
		return client.Run(ctx, message)
	}, request.TurnedAway)
}

// attach follows a call that the sidecar knows.
func (r *run) attach(now time.Duration, a request.Action) {
	if r.calls[a.Key] == nil {
		r.calls[a.Key] = &outcall{server: a.Server, sentAt: now}
	}
	message := &wire.RunRequest{Key: peer.KeyToWire(a.Key), From: a.Offset}
	r.open(a, func(ctx context.Context, client wire.SidecarClient) (grpc.ServerStreamingClient[wire.Part], error) {
		return client.Fetch(ctx, message)
	}, request.ConnectionLost)
}

// moved counts bytes between zones and between regions.
func (r *run) moved(from, to tanagerroad.Place, n int) {
	r.entry.count("bytes."+from.Zone+"."+to.Zone, int64(n))
	if from.Region != to.Region {
		r.entry.count("region-bytes", int64(n))
	}
}

type opener func(context.Context, wire.SidecarClient) (grpc.ServerStreamingClient[wire.Part], error)

// open starts a stream to a sidecar. When no connection comes about nothing
// was sent, and unreached says so to the machine.
func (r *run) open(a request.Action, open opener, unreached string) {
	c := r.calls[a.Key]
	if c.cancel != nil {
		c.cancel()
	}
	ctx, cancel := context.WithCancel(r.ctx)
	c.cancel = cancel
	go func() {
		defer cancel()
		conn, err := r.entry.config.Links.To(a.Address)
		if err == nil {
			err = connected(ctx, conn)
		}
		if err != nil {
			r.post(request.Event{Kind: unreached, Key: a.Key, Reason: "its sidecar cannot be reached"})
			return
		}
		stream, err := open(ctx, wire.NewSidecarClient(conn))
		if err != nil {
			r.post(broken(a.Key, err))
			return
		}
		r.receive(ctx, cancel, a, conn, stream, unreached)
	}()
}

const connectPatience = time.Second

// connected waits until a connection is ready to carry calls.
func connected(ctx context.Context, conn *grpc.ClientConn) error {
	ctx, cancel := context.WithTimeout(ctx, connectPatience)
	defer cancel()
	for {
		state := conn.GetState()
		switch state {
		case connectivity.Ready:
			return nil
		case connectivity.TransientFailure, connectivity.Shutdown:
			return fmt.Errorf("connection is %s", state)
		case connectivity.Idle:
			conn.Connect()
		}
		if !conn.WaitForStateChange(ctx, state) {
			return ctx.Err()
		}
	}
}

func broken(key tanagerroad.Key, err error) request.Event {
	switch status.Code(err) {
	case codes.InvalidArgument, codes.ResourceExhausted:
		return request.Event{Kind: request.Fail, Key: key, Reason: status.Convert(err).Message()}
	}
	return request.Event{Kind: request.ConnectionLost, Key: key, Reason: err.Error()}
}

// receive posts what comes on a stream, until its closing part. Silence means
// that the connection may be dead without knowing it: it is replaced.
func (r *run) receive(ctx context.Context, cancel func(), a request.Action, conn *grpc.ClientConn, stream grpc.ServerStreamingClient[wire.Part], unreached string) {
	silence := r.entry.config.Settings.Routing.SilenceTimeout.D()
	watch := time.AfterFunc(silence, func() {
		event.LinkSilent.Log(r.entry.config.Logger, zap.String("peer", a.Address))
		r.entry.config.Links.Renew(a.Address, conn)
		cancel()
	})
	defer watch.Stop()
	for {
		part, err := stream.Recv()
		if err != nil {
			if r.ctx.Err() == nil {
				event.AttemptLost.Log(r.entry.config.Logger, zap.Stringer("attempt", a.Key), zap.Error(err))
			}
			r.post(broken(a.Key, err))
			return
		}
		watch.Reset(silence)
		ev, last := partEvent(part)
		if part.GetFailed().GetOtherStart() && unreached == request.TurnedAway {
			// This order was sent once, on this stream alone, and the process
			// that got it is not the one that it is bound to: nobody ran it.
			ev.Kind = request.TurnedAway
		}
		if tail := part.GetEnd().GetTail(); tail != nil {
			r.post(request.Event{Kind: request.Data, Key: ev.Key, Offset: tail.GetOffset(), Bytes: tail.GetBytes()})
		}
		if ev.Kind != "" {
			r.post(ev)
		}
		if last {
			return
		}
	}
}

// partEvent turns a part into the machine's event. The key is the part's own:
// one that belongs to another attempt is known for foreign by the machine.
func partEvent(part *wire.Part) (ev request.Event, last bool) {
	ev.Key = peer.KeyFromWire(part.GetKey())
	switch body := part.GetBody().(type) {
	case *wire.Part_Data:
		ev.Kind, ev.Offset, ev.Bytes = request.Data, body.Data.GetOffset(), body.Data.GetBytes()
		return ev, false
	case *wire.Part_End:
		ev.Kind, ev.Length, ev.Digest = request.End, body.End.GetLength(), body.End.GetDigest()
		ev.Load = loadOf(body.End.GetLoad())
		ev.QueueTime = time.Duration(body.End.GetQueueMicros()) * time.Microsecond
		if kept := body.End.GetKept(); kept != nil {
			ev.Kept = &request.Reference{
				Key: peer.KeyFromWire(kept.GetKey()), Address: kept.GetAddress(), Length: kept.GetLength(),
				Digest: kept.GetDigest(), Region: kept.GetRegion(),
			}
		}
	case *wire.Part_NotRun:
		ev.Kind, ev.Reason, ev.InputGone = request.TurnedAway, body.NotRun.GetReason(), body.NotRun.GetInputGone()
		ev.RetryAfter = time.Duration(body.NotRun.GetRetryAfterMillis()) * time.Millisecond
		ev.Load = loadOf(body.NotRun.GetLoad())
	case *wire.Part_Failed:
		ev.Kind, ev.Reason = request.Fail, body.Failed.GetReason()
		ev.MayHaveRun, ev.Crashed = body.Failed.GetUnknown(), body.Failed.GetCrashed()
	default:
		return request.Event{}, false
	}
	return ev, true
}

func loadOf(l *wire.Load) *tanagerroad.Load {
	if l == nil {
		return nil
	}
	load := peer.LoadFromWire(l)
	return &load
}

// question asks a sidecar what became of a call.
func (r *run) question(a request.Action) {
	ctx, cancel := context.WithTimeout(r.ctx, askPatience)
	defer cancel()
	told := request.Event{Kind: request.StatusReply, Key: a.Key}
	conn, err := r.entry.config.Links.To(a.Address)
	if err == nil {
		reply, askErr := wire.NewSidecarClient(conn).Ask(ctx, &wire.AskRequest{
			Key: peer.KeyToWire(a.Key), Fence: a.Fence, Generation: a.Generation,
		})
		if askErr != nil && ctx.Err() != nil {
			r.entry.config.Links.Renew(a.Address, conn)
		}
		told.State = reply.GetState()
	}
	r.post(told)
}

func (r *run) cancel(a request.Action) {
	if c := r.calls[a.Key]; c != nil && c.cancel != nil {
		c.cancel()
	}
	r.entry.group.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), askPatience)
		defer cancel()
		if conn, err := r.entry.config.Links.To(a.Address); err == nil {
			// If it is lost, the sidecar sees that nobody watches.
			_, _ = wire.NewSidecarClient(conn).Cancel(ctx, &wire.CancelRequest{Key: peer.KeyToWire(a.Key)})
		}
	})
}

func (r *run) deliver(now time.Duration, a request.Action) {
	if !r.first {
		r.first = true
		metrics.GetOrRegisterTimer("first-byte."+r.config.Route.Name, r.entry.config.Metrics).Update(now - r.arrived)
	}
	r.sink.deliver(a.Bytes)
}

// learn tells the router how a call ended, and counts what it cost.
func (r *run) learn(now time.Duration, a request.Action) {
	c := r.calls[a.Key]
	if c == nil {
		return
	}
	stage := r.config.Route.Stages[a.Key.Stage]
	took := now - c.sentAt
	r.entry.ask(router.Event{Kind: router.RecordResult, Route: r.config.Route.Name, Stage: a.Key.Stage, Result: &tanagerroad.Result{
		Server: c.server, Pool: stage.Pool, Prefix: router.PrefixHash(r.config.Body), Service: took, Waited: a.QueueTime, OK: a.OK, Refused: a.Refused, Load: a.Load,
	}})
	if a.Refused {
		return
	}
	name := r.config.Route.Name + "." + stage.Name
	metrics.GetOrRegisterTimer("stage."+name, r.entry.config.Metrics).Update(took)
	r.entry.spend(name, stage.Pool, took)
	if a.OK {
		r.arrivedFrom(a, c)
	}
}

// arrivedFrom counts the bytes of a result and notes where it lies.
func (r *run) arrivedFrom(a request.Action, c *outcall) {
	at := r.entry.place(c.server)
	if a.Reference != nil {
		r.inputAt, r.inputSize = at, int(a.Reference.Length)
		return
	}
	r.inputSize = a.Size
	r.moved(at, r.entry.config.Settings.Place(), a.Size)
	r.inputAt = r.entry.config.Settings.Place()
}
