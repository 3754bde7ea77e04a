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

// Timeouts and buffer size of an execution.
const (
	claimTimeout  = 1500 * time.Millisecond // for the quorum to reply to a claim
	settleTimeout = 10 * time.Second        // for the quorum to record an answer, in the background
	queryTimeout  = 500 * time.Millisecond  // for a sidecar to reply to a status query or a cancel
	eventBuffer   = 8
)

// answerSink writes one request's answer to its caller. All calls come from one
// goroutine.
type answerSink interface {
	// deliver writes the next bytes of a streamed answer.
	deliver(data []byte)
	// finish writes the final answer. It is called once, last.
	finish(answer tanagerroad.Answer)
}

// call is the entry's side of one attempt at a sidecar.
type call struct {
	server     string
	sentAt     time.Duration
	cancel     context.CancelFunc
	inputBytes int
}

// execution drives one admitted request: it passes events to the request's state
// machine and performs the actions that the machine returns. Its mutable state is
// used only by the goroutine of the caller's HTTP handler; streams, timers and
// quorum calls run on goroutines of their own and post their results as events.
type execution struct {
	entry         *Entry
	config        request.Config
	seed          uint64 // hash of the request id; seeds the router's choices
	machine       *request.Machine
	sink          answerSink
	events        chan request.Event
	ctx           context.Context // ends with the execution
	calls         map[tanagerroad.AttemptKey]*call
	pending       []request.Event   // events to handle before those of the channel
	inputPlace    tanagerroad.Place // where the input of the next stage is stored
	inputSize     int               // in bytes
	startedAt     time.Duration
	timers        []*time.Timer
	firstByteSent bool // some of a streamed answer was delivered
	answer        tanagerroad.Answer
}

// serve executes an admitted request and returns its final answer. gone is closed
// when the caller disconnects.
func (e *Entry) serve(config request.Config, seed uint64, gone <-chan struct{}, out answerSink) tanagerroad.Answer {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	x := &execution{
		entry: e, config: config, seed: seed, machine: request.New(config), sink: out,
		events: make(chan request.Event, eventBuffer), ctx: ctx, calls: map[tanagerroad.AttemptKey]*call{},
		inputPlace: e.config.Settings.Place(), inputSize: len(config.Body), startedAt: e.config.Clock.Now(),
	}
	e.mu.Lock()
	e.executions[x] = true
	e.mu.Unlock()
	e.config.Trace.Begin(trace.Request, config.Execution, config)
	x.step(request.Event{Kind: request.Start})
	for !x.machine.Ended() {
		select {
		case ev := <-x.events:
			x.step(ev)
		case <-gone:
			gone = nil
			x.step(request.Event{Kind: request.CallerGone})
		}
	}
	x.finish()
	return x.answer
}

// finish stops the timers, reports the end to the router, and counts and logs the
// answer.
func (x *execution) finish() {
	e := x.entry
	for _, t := range x.timers {
		t.Stop()
	}
	onTime := x.answer.Kind == tanagerroad.AnswerComplete && e.config.Clock.Now() <= x.config.Deadline
	e.mu.Lock()
	delete(e.executions, x)
	e.stepRouterLocked(router.Event{Kind: router.Finish, Workspace: x.config.Workspace, Route: x.config.Route.Name, OnTime: onTime})
	e.mu.Unlock()
	took := e.config.Clock.Now() - x.startedAt
	outcome := "missed"
	if onTime {
		outcome = "attained"
	}
	e.countRequest(x.config, outcome)
	e.incCounter("answers."+string(x.answer.Kind), 1)
	metrics.GetOrRegisterTimer("latency."+x.config.Route.Name, e.config.Metrics).Update(took)
	event.Answered.Log(e.config.Logger, zap.String("request", x.config.ID), zap.String("route", x.config.Route.Name),
		zap.String("workspace", x.config.Workspace), zap.String("kind", string(x.answer.Kind)),
		zap.String("reason", x.answer.Reason), zap.Duration("took", took), zap.Bool("on-time", onTime))
}

// post queues an event from another goroutine. It drops the event if the execution
// has ended.
func (x *execution) post(ev request.Event) {
	select {
	case x.events <- ev:
	case <-x.ctx.Done():
	}
}

// step handles an event, and the events that its actions bring about.
func (x *execution) step(ev request.Event) {
	x.pending = append(x.pending, ev)
	for len(x.pending) > 0 {
		ev := x.pending[0]
		x.pending = x.pending[1:]
		now := x.entry.config.Clock.Now()
		actions := x.machine.Step(now, ev)
		if x.entry.config.Trace != nil {
			x.entry.config.Trace.Step(trace.Request, x.config.Execution, now, ev, actions)
		}
		for _, a := range actions {
			x.perform(now, a)
		}
	}
}

// perform carries out an action of the state machine.
func (x *execution) perform(now time.Duration, a request.Action) {
	switch a.Kind {
	case request.Pick:
		x.pick(now, a)
	case request.Claim, request.Rebind:
		go x.claim(a)
	case request.Run:
		x.send(now, a)
	case request.Fetch:
		x.fetch(now, a)
	case request.QueryStatus:
		go x.queryStatus(a)
	case request.Cancel:
		x.cancel(a)
	case request.Settle:
		x.settle(a)
	case request.Deliver:
		x.deliver(now, a)
	case request.SetTimer:
		timer := request.Event{Kind: request.Timer, Name: a.Name, Key: a.Key}
		x.timers = append(x.timers, time.AfterFunc(a.At-now, func() { x.post(timer) }))
	case request.ReportOutcome:
		x.reportOutcome(now, a)
	case request.Discarded:
		x.entry.incCounter("stray-parts", 1)
		event.StrayPart.Log(x.entry.config.Logger, zap.String("request", x.config.ID), zap.Stringer("attempt", a.Key), zap.String("reason", a.Reason))
	case request.Unexpected:
		x.entry.incCounter("unexpected", 1)
		event.UnexpectedEvent.Log(x.entry.config.Logger, zap.String("request", x.config.ID), zap.Stringer("attempt", a.Key), zap.String("finding", a.Reason))
	case request.Finish:
		x.answer = *a.Answer
		x.sink.finish(*a.Answer)
	}
}

func (x *execution) stageName(stage int) string { return x.config.Route.Stages[stage].Name }

// pick has the router choose a backend server for a call.
func (x *execution) pick(now time.Duration, a request.Action) {
	verdict := x.entry.stepRouter(router.Event{
		Kind: router.Pick, Route: x.config.Route.Name, Stage: a.Key.Stage,
		InputBytes: x.inputSize, PrefixDigest: router.PrefixDigest(x.config.Body), InputPlace: x.inputPlace, Exclude: a.Exclude, UseRetryBudget: a.UseRetryBudget,
		Seed: xxhash.Sum64String(a.Key.String()) ^ x.seed,
	})
	log := x.entry.config.Logger
	if !verdict.OK {
		event.NotRouted.Log(log, zap.String("request", x.config.ID), zap.String("route", x.config.Route.Name),
			zap.String("stage", x.stageName(a.Key.Stage)), zap.String("reason", verdict.Reason))
		x.pending = append(x.pending, request.Event{Kind: request.NoPick, Key: a.Key, Reason: verdict.Reason, RetryAfter: verdict.RetryAfter})
		return
	}
	if a.UseRetryBudget {
		x.entry.incCounter("extra-attempts", 1)
	}
	c := verdict.Choice
	event.Routed.Log(log, zap.String("request", x.config.ID), zap.String("route", x.config.Route.Name),
		zap.String("stage", x.stageName(a.Key.Stage)), zap.Int("attempt", a.Key.Attempt),
		zap.Strings("candidates", c.Candidates), zap.String("chosen", c.Server), zap.String("why", c.Reason), zap.Strings("avoided", c.Avoided))
	x.calls[a.Key] = &call{server: c.Server, sentAt: now}
	x.pending = append(x.pending, request.Event{
		Kind: request.Picked, Key: a.Key, Server: c.Server, Address: c.Address, Generation: verdict.Generation,
		HedgeAfter: verdict.HedgeAfter,
	})
}

// claim asks the quorum (a majority of the control instances) to bind a request that
// is not repeatable to a call, or to move an existing claim to another call, and posts
// the outcome.
func (x *execution) claim(a request.Action) {
	ctx, cancel := context.WithTimeout(x.ctx, claimTimeout)
	defer cancel()
	started := time.Now()
	outcome, err := x.entry.control.Propose(ctx, claimCommand(x, a))
	metrics.GetOrRegisterTimer("claim", x.entry.config.Metrics).UpdateSince(started)
	if err != nil {
		// The quorum may have bound the request, but the call is sent only
		// once the claim is granted, so nothing has run and nothing will.
		outcome = &wire.Outcome{Kind: registry.NoQuorum, Reason: "the quorum did not answer"}
	}
	event.Claimed.Log(x.entry.config.Logger, zap.String("request", x.config.ID), zap.Stringer("attempt", a.Key),
		zap.String("outcome", outcome.GetKind()), zap.String("reason", outcome.GetReason()))
	x.post(claimEvent(a, outcome))
}

// claimCommand returns the command that proposes a claim or a rebind to the
// quorum.
func claimCommand(x *execution, a request.Action) *wire.Command {
	if a.Kind == request.Rebind {
		return &wire.Command{Body: &wire.Command_Rebind{Rebind: &wire.Rebind{
			Request: x.config.ID, Workspace: x.config.Workspace, Fenced: peer.KeyToWire(a.Bound), Key: peer.KeyToWire(a.Key),
			Server: a.Server, Address: a.Address, Generation: a.Generation,
		}}}
	}
	return &wire.Command{Body: &wire.Command_Claim{Claim: &wire.Claim{
		Request: x.config.ID, Workspace: x.config.Workspace, Digest: x.config.Fingerprint, Server: a.Server,
		Address: a.Address, Generation: a.Generation, Key: peer.KeyToWire(a.Key), Entry: x.entry.config.Settings.Process,
	}}}
}

// claimEvent converts the outcome of a claim to an event of the state machine.
func claimEvent(a request.Action, outcome *wire.Outcome) request.Event {
	claim := outcome.GetClaim()
	switch outcome.GetKind() {
	case registry.Granted:
		return request.Event{Kind: request.Granted, Key: a.Key}
	case registry.AlreadyClaimed, registry.ClaimMoved:
		if claim == nil {
			break
		}
		return request.Event{
			Kind: request.Held, Key: peer.KeyFromWire(claim.GetKey()), Server: claim.GetServer(), Address: claim.GetAddress(),
			Generation: claim.GetGeneration(), State: claim.GetKind(), Bytes: claim.GetAnswer(), Reason: claim.GetReason(),
			Length: claim.GetLength(),
		}
	}
	return request.Event{Kind: request.Denied, Key: a.Key, State: outcome.GetKind(), Reason: outcome.GetReason()}
}

// settle asks the quorum to record the answer under the request's claim. It
// continues after the execution has ended: the state machine waits only for the
// shorter settleTimeout of core/request before it answers the caller.
func (x *execution) settle(a request.Action) {
	e := x.entry
	e.group.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		command := &wire.Command{Body: &wire.Command_Settle{Settle: &wire.Settle{
			Request: x.config.ID, Workspace: x.config.Workspace, Kind: a.State, Answer: a.Bytes, Reason: a.Reason,
			Key: peer.KeyToWire(a.Key),
		}}}
		if outcome, err := e.control.Propose(ctx, command); err == nil {
			claim := outcome.GetClaim()
			x.post(request.Event{
				Kind: request.Settled, State: outcome.GetKind(), Claim: claim.GetKind(), Bytes: claim.GetAnswer(), Length: claim.GetLength(), Reason: claim.GetReason(),
			})
		}
	})
}

// send dispatches a call to its sidecar and starts to receive its result.
func (x *execution) send(now time.Duration, a request.Action) {
	stage := x.config.Route.Stages[a.Key.Stage]
	last := a.Key.Stage == len(x.config.Route.Stages)-1
	var expected time.Duration
	if a.Key.Stage < len(x.config.ExpectedTimes) {
		expected = x.config.ExpectedTimes[a.Key.Stage]
	}
	message := &wire.RunRequest{
		Key: peer.KeyToWire(a.Key), RequestId: x.config.ID, Entry: x.entry.config.Settings.Process, Route: x.config.Route.Name,
		StageName: stage.Name, Workspace: x.config.Workspace, Model: stage.Model,
		Input: a.Input, InputDigest: xxhash.Sum64(a.Input), BudgetMillis: (x.config.Deadline - now).Milliseconds(),
		Once: x.config.Once, Stream: stage.Stream, Fingerprint: x.config.Fingerprint,
		ExpectedMillis: expected.Milliseconds(), Alone: a.Alone, Generation: a.Generation,
	}
	if !last && !x.config.Once {
		// A result larger than this stays at the sidecar, and the next stage
		// fetches it from there.
		message.KeepAbove = uint64(x.entry.config.Settings.Routing.ReferenceAbove)
	}
	from := x.entry.config.Settings.Place()
	size := len(a.Input)
	if ref := a.Reference; ref != nil {
		message.Input, message.InputReference = nil, &wire.Reference{
			Key: peer.KeyToWire(ref.Key), Address: ref.Address, Length: ref.Length, Digest: ref.Digest, Region: ref.Region,
		}
		from, size = x.inputPlace, int(ref.Length)
	}
	c := x.calls[a.Key]
	c.sentAt, c.inputBytes = now, size
	x.countTransfer(from, x.entry.serverPlace(c.server), size)
	x.startStream(a, func(ctx context.Context, client wire.SidecarClient) (grpc.ServerStreamingClient[wire.Part], error) {
		return client.Run(ctx, message)
	}, request.TurnedAway)
}

// fetch receives the result of a call that the sidecar already has, starting at an
// offset.
func (x *execution) fetch(now time.Duration, a request.Action) {
	if x.calls[a.Key] == nil {
		x.calls[a.Key] = &call{server: a.Server, sentAt: now}
	}
	message := &wire.RunRequest{Key: peer.KeyToWire(a.Key), From: a.Offset}
	x.startStream(a, func(ctx context.Context, client wire.SidecarClient) (grpc.ServerStreamingClient[wire.Part], error) {
		return client.Fetch(ctx, message)
	}, request.ConnectionLost)
}

// countTransfer counts bytes by pair of availability zones, and bytes between
// regions.
func (x *execution) countTransfer(from, to tanagerroad.Place, n int) {
	x.entry.incCounter("bytes."+from.Zone+"."+to.Zone, int64(n))
	if from.Region != to.Region {
		x.entry.incCounter("region-bytes", int64(n))
	}
}

// streamOpener starts the gRPC call of a stream: Run or Fetch.
type streamOpener func(context.Context, wire.SidecarClient) (grpc.ServerStreamingClient[wire.Part], error)

// startStream opens a stream to a sidecar in a new goroutine and receives from it.
// If no connection can be made, nothing was sent, and it posts an event of kind
// unreachable.
func (x *execution) startStream(a request.Action, open streamOpener, unreachable string) {
	c := x.calls[a.Key]
	if c.cancel != nil {
		c.cancel()
	}
	ctx, cancel := context.WithCancel(x.ctx)
	c.cancel = cancel
	go func() {
		defer cancel()
		conn, err := x.entry.config.Conns.Get(a.Address)
		if err == nil {
			err = waitReady(ctx, conn)
		}
		if err != nil {
			x.post(request.Event{Kind: unreachable, Key: a.Key, Reason: "its sidecar cannot be reached"})
			return
		}
		stream, err := open(ctx, wire.NewSidecarClient(conn))
		if err != nil {
			x.post(streamErrorEvent(a.Key, err))
			return
		}
		x.receive(ctx, cancel, a, conn, stream, unreachable)
	}()
}

// connectTimeout is how long a call waits for its connection.
const connectTimeout = time.Second

// waitReady waits until a connection is ready for calls. It fails as soon as a
// connection attempt fails, and after connectTimeout.
func waitReady(ctx context.Context, conn *grpc.ClientConn) error {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
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

// streamErrorEvent converts an error of a stream to an event. An invalid or
// oversized message is a failure of the call. After any other error the status of
// the call is unknown, and the state machine queries it.
func streamErrorEvent(key tanagerroad.AttemptKey, err error) request.Event {
	switch status.Code(err) {
	case codes.InvalidArgument, codes.ResourceExhausted:
		return request.Event{Kind: request.Fail, Key: key, Reason: status.Convert(err).Message()}
	}
	return request.Event{Kind: request.ConnectionLost, Key: key, Reason: err.Error()}
}

// receive posts the parts of a stream as events, until its last part or an error.
// A stream without any part for the silence timeout may be on a dead connection
// that TCP has not detected: receive replaces the connection and cancels the
// stream.
func (x *execution) receive(ctx context.Context, cancel func(), a request.Action, conn *grpc.ClientConn, stream grpc.ServerStreamingClient[wire.Part], unreachable string) {
	silence := x.entry.config.Settings.Routing.SilenceTimeout.Std()
	watchdog := time.AfterFunc(silence, func() {
		event.LinkSilent.Log(x.entry.config.Logger, zap.String("peer", a.Address))
		x.entry.config.Conns.Replace(a.Address, conn)
		cancel()
	})
	defer watchdog.Stop()
	for {
		part, err := stream.Recv()
		if err != nil {
			if x.ctx.Err() == nil {
				event.AttemptLost.Log(x.entry.config.Logger, zap.Stringer("attempt", a.Key), zap.Error(err))
			}
			x.post(streamErrorEvent(a.Key, err))
			return
		}
		watchdog.Reset(silence)
		x.entry.recordLeave(part.GetLeaving())
		ev, last := eventFromPart(part)
		if part.GetFailed().GetOtherStart() && unreachable == request.TurnedAway {
			// This call was sent once, on this stream. The sidecar process that
			// received it is not the one that it was bound to (the sidecar has
			// restarted), so it ran nowhere.
			ev.Kind = request.TurnedAway
		}
		if tail := part.GetEnd().GetTail(); tail != nil {
			x.post(request.Event{Kind: request.Data, Key: ev.Key, Offset: tail.GetOffset(), Bytes: tail.GetBytes()})
		}
		if ev.Kind != "" {
			x.post(ev)
		}
		if last {
			return
		}
	}
}

// eventFromPart converts a part of a result to an event, and reports whether it is
// the stream's last part. A heartbeat (Beat) gives an event without a kind. Other events
// have the part's own key, so that the state machine can discard a part of another attempt.
func eventFromPart(part *wire.Part) (ev request.Event, last bool) {
	ev.Key = peer.KeyFromWire(part.GetKey())
	switch body := part.GetBody().(type) {
	case *wire.Part_Data:
		ev.Kind, ev.Offset, ev.Bytes = request.Data, body.Data.GetOffset(), body.Data.GetBytes()
		return ev, false
	case *wire.Part_End:
		ev.Kind, ev.Length, ev.Digest = request.End, body.End.GetLength(), body.End.GetDigest()
		ev.Load = optionalLoad(body.End.GetLoad())
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
		ev.Load, ev.Paused = optionalLoad(body.NotRun.GetLoad()), body.NotRun.GetPaused()
	case *wire.Part_Failed:
		ev.Kind, ev.Reason = request.Fail, body.Failed.GetReason()
		ev.MayHaveRun, ev.Crashed = body.Failed.GetUnknown(), body.Failed.GetCrashed()
	default:
		return request.Event{}, false
	}
	return ev, true
}

// optionalLoad converts a load report, which may be missing.
func optionalLoad(l *wire.Load) *tanagerroad.Load {
	if l == nil {
		return nil
	}
	load := peer.LoadFromWire(l)
	return &load
}

// queryStatus queries the status of a call at its sidecar, and posts the reply.
// The state is empty if there is no reply in time.
func (x *execution) queryStatus(a request.Action) {
	ctx, cancel := context.WithTimeout(x.ctx, queryTimeout)
	defer cancel()
	ev := request.Event{Kind: request.StatusReply, Key: a.Key}
	conn, err := x.entry.config.Conns.Get(a.Address)
	if err == nil {
		reply, askErr := wire.NewSidecarClient(conn).Ask(ctx, &wire.AskRequest{
			Key: peer.KeyToWire(a.Key), Fence: a.Fence, Generation: a.Generation,
		})
		if askErr != nil && ctx.Err() != nil {
			x.entry.config.Conns.Replace(a.Address, conn)
		}
		ev.State = reply.GetState()
	}
	x.post(ev)
}

// cancel ends the stream of a call and cancels the call at its sidecar, in the
// background.
func (x *execution) cancel(a request.Action) {
	if c := x.calls[a.Key]; c != nil && c.cancel != nil {
		c.cancel()
	}
	x.entry.group.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
		defer cancel()
		if conn, err := x.entry.config.Conns.Get(a.Address); err == nil {
			// If the message is lost, the sidecar detects that no stream is open.
			_, _ = wire.NewSidecarClient(conn).Cancel(ctx, &wire.CancelRequest{Key: peer.KeyToWire(a.Key)})
		}
	})
}

// deliver passes bytes of a streamed answer to the caller.
func (x *execution) deliver(now time.Duration, a request.Action) {
	if !x.firstByteSent {
		x.firstByteSent = true
		metrics.GetOrRegisterTimer("first-byte."+x.config.Route.Name, x.entry.config.Metrics).Update(now - x.startedAt)
	}
	x.sink.deliver(a.Bytes)
}

// reportOutcome reports the outcome of a call to the router. A call that ran also
// adds to the time and the cost of its stage.
func (x *execution) reportOutcome(now time.Duration, a request.Action) {
	c := x.calls[a.Key]
	if c == nil {
		return
	}
	stage := x.config.Route.Stages[a.Key.Stage]
	took := now - c.sentAt
	x.entry.stepRouter(router.Event{Kind: router.RecordResult, Route: x.config.Route.Name, Stage: a.Key.Stage, Result: &tanagerroad.AttemptResult{
		Server: c.server, Pool: stage.Pool, PrefixDigest: router.PrefixDigest(x.config.Body), ServiceTime: took, QueueTime: a.QueueTime, OK: a.OK, Refused: a.Refused, Load: a.Load,
	}})
	if a.Refused {
		return
	}
	name := x.config.Route.Name + "." + stage.Name
	metrics.GetOrRegisterTimer("stage."+name, x.entry.config.Metrics).Update(took)
	x.entry.addCost(name, stage.Pool, took)
	if a.OK {
		x.recordResult(a, c)
	}
}

// recordResult records where the result of a call is stored, which is the input of
// the next stage, and counts its bytes if they were sent to this entry.
func (x *execution) recordResult(a request.Action, c *call) {
	serverPlace := x.entry.serverPlace(c.server)
	if a.Reference != nil {
		x.inputPlace, x.inputSize = serverPlace, int(a.Reference.Length)
		return
	}
	x.inputSize = a.Size
	x.countTransfer(serverPlace, x.entry.config.Settings.Place(), a.Size)
	x.inputPlace = x.entry.config.Settings.Place()
}
