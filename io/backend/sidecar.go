package backend

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"tanagerroad"
	"tanagerroad/core/directory"
	"tanagerroad/core/event"
	"tanagerroad/core/settings"
	"tanagerroad/core/stage"
	"tanagerroad/core/table"
	"tanagerroad/core/trace"
	"tanagerroad/core/wire"
	"tanagerroad/io/bus"
	"tanagerroad/io/control"
	"tanagerroad/io/peer"
	"tanagerroad/io/signal"
)

// Config is what a sidecar needs.
type Config struct {
	Settings settings.Sidecar
	Clock    tanagerroad.Clock
	Logger   *zap.Logger
	Links    *peer.ConnPool
	Metrics  metrics.Registry
	Bus      *bus.Bus
	Trace    *trace.Writer // nil: nothing is recorded
}

// Topics on the sidecar's bus.
const (
	TopicAnnounced bus.Topic[Announcement] = "announced"
	TopicCrash     bus.Topic[CrashReport]  = "crash"
)

// CrashReport names a request that was running when the backend server died.
type CrashReport struct {
	Fingerprint uint64 `json:"fingerprint"`
	Route       string `json:"route"`
	Alone       bool   `json:"alone"`
	ID          string `json:"id"`
	Harmless    bool   `json:"harmless"` // a suspect that ran alone and did no harm
}

// Sidecar stands beside one backend server.
type Sidecar struct {
	wire.UnimplementedSidecarServer
	config     Config
	generation uint64
	client     *client
	control    *control.Client
	nudge      *signal.Signal
	idle       chan struct{}
	idleOnce   sync.Once
	ctx        context.Context
	group      sync.WaitGroup

	mu         sync.Mutex // guards the desk and what follows
	desk       *stage.Scheduler
	records    map[tanagerroad.AttemptKey]*record
	announced  Announcement
	heard      time.Duration
	told       tanagerroad.ServerState // state in the latest notice
	toldSince  time.Duration
	nudgedAt   time.Duration
	sequence   uint64
	revision   uint64
	index      uint64
	quarantine map[uint64]*wire.Conviction
}

// New starts a sidecar. The returned function cuts what is still running; call
// Drain before it for a planned stop.
func New(config Config) (*Sidecar, func(), error) {
	q := config.Settings.Queue
	// Each start has a later generation, so that nobody takes what this
	// process says for a word of the one before.
	generation := uint64(config.Clock.Wall().UnixMicro())
	deskConfig := stage.Config{
		Generation: generation, MaxQueued: q.MaxQueued, Retention: q.Retention.Std(), OnceRetention: q.OnceRetention.Std(),
		MaxRetainedBytes: int(q.MaxRetainedBytes), MaxRetainedOnce: q.MaxRetainedOnce, AdaptiveLimit: q.AdaptiveLimit,
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Sidecar{
		config: config, generation: generation, nudge: signal.New(), idle: make(chan struct{}), ctx: ctx,
		control: control.NewClient(config.Links, config.Settings.Control, config.Logger),
		desk:    stage.NewScheduler(deskConfig), records: map[tanagerroad.AttemptKey]*record{},
		quarantine: map[uint64]*wire.Conviction{},
	}
	config.Trace.Begin(trace.Stage, config.Settings.Process, deskConfig)
	err := errors.Join(bus.Handle(config.Bus, TopicAnnounced, s.announce), bus.Handle(config.Bus, TopicCrash, s.report))
	if err != nil {
		cancel()
		return nil, nil, fmt.Errorf("sidecar: %w", err)
	}
	s.startWatches()
	s.group.Go(s.housekeeping)
	return s, func() {
		cancel()
		s.group.Wait()
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.client != nil {
			s.client.close()
		}
	}, nil
}

// startWatches keeps a watch at every control instance, so that each of them
// alone knows all backend servers that can reach it.
func (s *Sidecar) startWatches() {
	watcher := control.Watcher{
		Client: s.control, Notice: s.notice, Every: s.config.Settings.RenewInterval.Std(), Nudge: s.nudge, Take: s.takeUpdate,
	}
	for _, address := range s.config.Settings.Control {
		s.group.Go(func() { watcher.Watch(s.ctx, []string{address}) })
	}
}

func (s *Sidecar) notice() *wire.Notice {
	s.mu.Lock()
	defer s.mu.Unlock()
	set := s.config.Settings
	n := &wire.Notice{
		Process: set.Process, Role: set.Role, Zone: set.Zone, Region: set.Region, Revision: s.revision, Index: s.index,
	}
	if s.announced.Pool != "" {
		s.sequence++
		n.Server = peer.ServerToWire(tanagerroad.Server{
			ID: set.Process, Pool: s.announced.Pool, Kind: s.announced.Kind, Models: s.announced.Models,
			Capacity: s.announced.Capacity, Address: set.Peer.AdvertisedAddress(), Place: set.Place(),
			Generation: s.generation, Sequence: s.sequence, State: s.desk.State(), Load: s.desk.Load(),
		})
	}
	return n
}

func (s *Sidecar) takeUpdate(u *wire.Update) {
	if u.GetLeader() != "" {
		s.control.SetLeader(u.GetLeader())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := u.GetRevision(); r.GetNumber() > s.revision {
		s.revision, s.index = r.GetNumber(), r.GetIndex()
		event.RevisionInForce.Log(s.config.Logger, zap.Uint64("revision", s.revision))
		s.nudge.Give()
	}
	if u.GetQuarantine() != nil {
		clear(s.quarantine)
		for _, c := range u.GetQuarantine().GetConvictions() {
			s.quarantine[c.GetFingerprint()] = c
		}
	}
}

// tickEvery is how often leases and retentions are looked at.
const tickEvery = 100 * time.Millisecond

func (s *Sidecar) housekeeping() {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
			s.tick()
		}
	}
}

func (s *Sidecar) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Clock.Now()
	if s.announced.Pool != "" && now-s.heard > s.config.Settings.Backend.AnnouncementTimeout.Std() && s.desk.State() != tanagerroad.Down {
		event.BackendSilent.Log(s.config.Logger, zap.Duration("for", now-s.heard))
		s.step(stage.Event{Kind: stage.Announce, State: tanagerroad.Down})
		s.nudge.Give()
		return
	}
	s.step(stage.Event{Kind: stage.Tick})
	s.hurry(now)
}

// hurry repeats a change of the server's state, beside the usual renewals.
func (s *Sidecar) hurry(now time.Duration) {
	if state := s.desk.State(); state != s.told {
		s.told, s.toldSince = state, now
	}
	if now-s.toldSince < directory.AnnounceRepeatPeriod && now-s.nudgedAt >= directory.AnnounceRepeatInterval {
		s.nudgedAt = now
		s.nudge.Give()
	}
}

// step feeds the desk one event and carries out what it decides. The caller
// holds the lock.
func (s *Sidecar) step(e stage.Event) []stage.Action {
	now := s.config.Clock.Now()
	actions := s.desk.Step(now, e)
	if s.config.Trace != nil && (e.Kind != stage.Tick || len(actions) > 0) {
		s.config.Trace.Step(trace.Stage, s.config.Settings.Process, now, e, actions)
	}
	for _, a := range actions {
		s.act(now, a)
	}
	return actions
}

func (s *Sidecar) act(now time.Duration, a stage.Action) {
	r := s.records[a.Key]
	switch a.Kind {
	case stage.Start:
		s.placed(a, "start")
		s.group.Go(func() { s.run(r) })
		r.mu.Lock()
		r.started = now
		r.mu.Unlock()
	case stage.Reject:
		s.placed(a, "turn-away")
		s.count("refused." + metricName(a.Reason))
		if r != nil {
			r.close(s.part(a.Key, &wire.Part{Body: &wire.Part_NotRun{NotRun: &wire.NotRun{
				Reason: a.Reason, RetryAfterMillis: a.RetryAfter.Milliseconds(), Load: peer.LoadToWire(s.desk.Load()),
			}}}))
		}
	case stage.ReportOutcome:
		if r != nil {
			r.close(s.part(a.Key, &wire.Part{Body: &wire.Part_Failed{Failed: &wire.Failed{
				Reason: a.Reason, Unknown: a.State == stage.Unknown, Crashed: a.Reason == "crashed",
				OtherStart: a.Reason == stage.OtherGeneration,
			}}}))
		}
	case stage.Interrupt:
		if r != nil && r.cancel != nil {
			r.cancel()
		}
	case stage.ReportCrash, stage.ClearSuspect:
		s.publishCrash(r, a)
	case stage.Release:
		delete(s.records, a.Key)
	case stage.Enqueued:
		s.placed(a, "queued")
	case stage.Unexpected:
		event.UnexpectedEvent.Log(s.config.Logger, zap.Stringer("attempt", a.Key), zap.String("finding", a.Reason))
		s.count("unexpected")
	case stage.Idle:
		s.idleOnce.Do(func() { close(s.idle) })
	}
}

func (s *Sidecar) placed(a stage.Action, what string) {
	load := s.desk.Load()
	var id string
	if r := s.records[a.Key]; r != nil {
		id = r.call.requestID
	}
	event.Placed.Log(s.config.Logger,
		zap.String("request", id), zap.String("execution", a.Key.Request), zap.Int("stage", a.Key.Stage), zap.Int("attempt", a.Key.Attempt),
		zap.String("placement", what), zap.String("reason", a.Reason), zap.Duration("waited", a.Waited),
		zap.Int("in-flight", load.InFlight), zap.Int("queued", load.Queued), zap.Int("limit", load.Limit))
}

func (s *Sidecar) part(key tanagerroad.AttemptKey, p *wire.Part) *wire.Part {
	p.Key = peer.KeyToWire(key)
	return p
}

func (s *Sidecar) publishCrash(r *record, a stage.Action) {
	report := CrashReport{
		Fingerprint: a.Fingerprint, Alone: a.Alone, Harmless: a.Kind == stage.ClearSuspect,
		ID: fmt.Sprintf("%s/%d/%s", s.config.Settings.Process, s.generation, a.Key),
	}
	if r != nil {
		report.Route = r.request.GetRoute()
	}
	// The bus waits for its handler, which must not wait for this lock.
	s.group.Go(func() {
		if err := bus.Publish(s.config.Bus, TopicCrash, report); err != nil {
			event.BusFailed.Log(s.config.Logger, zap.Error(err))
		}
	})
}

// reportPatience is how long the quorum is asked to take a crash report.
const reportPatience = 10 * time.Second

// report carries a crash to the quorum, so that the request is known
// everywhere.
func (s *Sidecar) report(c CrashReport) {
	ctx, cancel := context.WithTimeout(s.ctx, reportPatience)
	defer cancel()
	command := &wire.Command{Body: &wire.Command_Crash{Crash: &wire.Crash{
		Fingerprint: c.Fingerprint, Route: c.Route, Alone: c.Alone, Report: c.ID,
	}}}
	if c.Harmless {
		command = &wire.Command{Body: &wire.Command_Lift{Lift: &wire.Lift{Fingerprint: c.Fingerprint, SuspectOnly: true}}}
	} else {
		event.BackendCrashed.Log(s.config.Logger, zap.Uint64("fingerprint", c.Fingerprint), zap.String("route", c.Route), zap.Bool("alone", c.Alone))
		s.count("crashes")
	}
	if _, err := s.control.Propose(ctx, command); err != nil {
		event.BusFailed.Log(s.config.Logger, zap.String("topic", string(TopicCrash)), zap.Error(err))
	}
}

func (s *Sidecar) count(name string) {
	metrics.GetOrRegisterCounter(name, s.config.Metrics).Inc(1)
}

// run makes one call at the backend server and tells the desk how it ended.
func (s *Sidecar) run(r *record) {
	s.mu.Lock()
	client := s.client
	ctx, cancel := context.WithCancel(s.ctx)
	r.cancel = cancel
	s.mu.Unlock()
	defer cancel()
	take := r.add
	if r.call.kind == table.Service {
		take = r.hold // its end follows at once and wakes who watches
	}
	end := client.run(ctx, r.call, take)
	if ctx.Err() != nil && !r.call.once {
		client.cancel(r.call.key)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended(r, end)
}

// ended turns the end of a call into the desk's event. The caller holds the
// lock.
func (s *Sidecar) ended(r *record, end outcome) {
	key := r.call.key
	if s.desk.StateOf(key) != stage.Running {
		return // it was cancelled, or it ended with the backend server's crash
	}
	event.AttemptEndedAtSidecar.Log(s.config.Logger, zap.Stringer("attempt", key), zap.Int("fate", int(end.fate)), zap.String("reason", end.reason))
	if end.gone {
		s.backendGone(key, end)
		return
	}
	switch end.fate {
	case whole:
		s.step(stage.Event{Kind: stage.Finish, Key: key, Bytes: r.size()})
		r.close(s.endPart(r))
	case refused:
		s.step(stage.Event{Kind: stage.Refuse, Key: key})
	case failed:
		s.fail(r, stage.Fail, end.reason)
	case lost:
		kind := stage.Fail
		if r.call.once {
			kind = stage.LoseContact
		}
		s.fail(r, kind, end.reason)
	}
}

// backendGone: the backend server's process has ended. A call that never
// reached it did not run; the others that were running are its suspects.
func (s *Sidecar) backendGone(key tanagerroad.AttemptKey, end outcome) {
	s.step(stage.Event{Kind: stage.Announce, State: tanagerroad.Down})
	if end.fate == refused {
		s.step(stage.Event{Kind: stage.Refuse, Key: key})
	}
	s.step(stage.Event{Kind: stage.Crash})
	s.nudge.Give()
}

func (s *Sidecar) fail(r *record, kind, reason string) {
	r.close(s.part(r.call.key, &wire.Part{Body: &wire.Part_Failed{Failed: &wire.Failed{
		Reason: reason, Unknown: kind == stage.LoseContact,
	}}}))
	s.step(stage.Event{Kind: kind, Key: r.call.key, Bytes: r.size()})
}

func (s *Sidecar) endPart(r *record) *wire.Part {
	now := s.config.Clock.Now()
	size, digest := uint64(r.size()), r.digest()
	r.mu.Lock()
	started := r.started
	r.mu.Unlock()
	end := &wire.End{
		Length: size, Digest: digest, Load: peer.LoadToWire(s.desk.Load()),
		ServiceMicros: (now - started).Microseconds(), QueueMicros: (started - r.arrived).Microseconds(),
	}
	if above := r.request.GetKeepAbove(); above > 0 && size > above {
		end.Kept = &wire.Reference{
			Key: r.request.GetKey(), Address: s.config.Settings.Peer.AdvertisedAddress(), Length: size, Digest: digest,
			Region: s.config.Settings.Region,
		}
	}
	metrics.GetOrRegisterTimer("service", s.config.Metrics).Update(now - started)
	return s.part(r.call.key, &wire.Part{Body: &wire.Part_End{End: end}})
}

// Drain stops taking new work and returns when nothing is in flight or the
// context ends; it reports how many attempts were left.
func (s *Sidecar) Drain(ctx context.Context) int {
	s.mu.Lock()
	s.step(stage.Event{Kind: stage.Stop})
	s.mu.Unlock()
	s.nudge.Give()
	select {
	case <-s.idle:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	load := s.desk.Load()
	return load.InFlight + load.Queued
}

// Load is the sidecar's own load.
func (s *Sidecar) Load() tanagerroad.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.desk.Load()
}

// Ready reports whether the backend server is there to be used.
func (s *Sidecar) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.desk.State() == tanagerroad.Serving
}

// metricName turns a reason into a metric's name.
func metricName(reason string) string {
	return strings.ReplaceAll(strings.SplitN(reason, ":", 2)[0], " ", "-")
}
