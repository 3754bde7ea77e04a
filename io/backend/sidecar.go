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
	"tanagerroad/core/quarantine"
	"tanagerroad/core/registry"
	"tanagerroad/core/router"
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

// Config holds the settings and dependencies of a sidecar.
type Config struct {
	Settings settings.Sidecar
	Clock    tanagerroad.Clock
	Logger   *zap.Logger
	Conns    *peer.ConnPool
	Metrics  metrics.Registry
	Bus      *bus.Bus
	Trace    *trace.Writer // nil: no trace is recorded
}

// Topics on the sidecar's bus.
const (
	TopicAnnounced bus.Topic[Announcement] = "announced"
	TopicCrash     bus.Topic[CrashReport]  = "crash"
)

// CrashReport is published for each request that was running when the backend
// server crashed, and for a suspected request that has been cleared.
type CrashReport struct {
	Fingerprint uint64           `json:"fingerprint"`
	Route       string           `json:"route"`
	Alone       bool             `json:"alone"`    // nothing else ran at the same time
	ID          string           `json:"id"`       // unique, so that a report sent twice counts once
	Cleared     bool             `json:"harmless"` // not a crash: a suspected request ran alone without one
	Start       int64            `json:"start"`    // generation of the backend server that crashed
	Prefix      quarantine.Cause `json:"prefix"`   // zero: the input is short
	Flowed      bool             `json:"flowed"`   // a part of the answer had arrived
}

// Sidecar runs attempts on one backend server, serves their results to entries and
// announces the server to the control instances. It implements the gRPC service
// Sidecar.
type Sidecar struct {
	wire.UnimplementedSidecarServer
	config     Config
	generation uint64 // identifies this start of the sidecar
	client     *client
	control    *control.Client
	noticeDue  *signal.Signal // requests a notice to every control instance now
	idle       chan struct{}  // closed when the sidecar has drained
	idleOnce   sync.Once
	ctx        context.Context // done when the sidecar stops
	goroutines sync.WaitGroup

	mu               sync.Mutex // guards the fields below
	scheduler        *stage.Scheduler
	records          map[tanagerroad.AttemptKey]*record
	announced        Announcement                // the latest; zero before the first
	announcedAt      time.Duration               // when the latest announcement arrived
	lastState        tanagerroad.ServerState     // state at the latest tick
	lastStateSince   time.Duration               // when lastState last changed
	noticeRepeatedAt time.Duration               // when repeatStateChange last requested a notice
	sequence         uint64                      // of the latest notice that describes the backend server
	revision         uint64                      // number of the revision in force
	index            uint64                      // log index of the revision
	quarantine       map[uint64]*wire.Conviction // by fingerprint
	limit            float64                     // attempts a second that the backend server takes; 0: any number
	onceRetention    time.Duration               // of attempts that must not be repeated
}

// New starts a sidecar. The returned function stops it and aborts the calls that
// are still running; call Drain first for a graceful shutdown.
func New(config Config) (*Sidecar, func(), error) {
	q := config.Settings.Queue
	// Each start has a higher generation, so that a message from this process
	// is never taken for one from its predecessor.
	generation := uint64(config.Clock.Wall().UnixMicro())
	schedulerConfig := stage.Config{
		Generation: generation, MaxQueued: q.MaxQueued, Retention: q.Retention.Std(), OnceRetention: q.OnceRetention.Std(),
		MaxRetainedBytes: int(q.MaxRetainedBytes), MaxRetainedOnce: q.MaxRetainedOnce, AdaptiveLimit: q.AdaptiveLimit,
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Sidecar{
		config: config, generation: generation, noticeDue: signal.New(), idle: make(chan struct{}), ctx: ctx,
		control:   control.NewClient(config.Conns, config.Settings.Control, config.Logger),
		scheduler: stage.NewScheduler(schedulerConfig), records: map[tanagerroad.AttemptKey]*record{},
		quarantine: map[uint64]*wire.Conviction{}, onceRetention: schedulerConfig.OnceRetention,
	}
	config.Trace.Begin(trace.Stage, config.Settings.Process, schedulerConfig)
	err := errors.Join(bus.Subscribe(config.Bus, TopicAnnounced, s.applyAnnouncement), bus.Subscribe(config.Bus, TopicCrash, s.reportCrash))
	if err != nil {
		cancel()
		return nil, nil, fmt.Errorf("sidecar: %w", err)
	}
	s.watchControlInstances()
	s.goroutines.Go(s.tickLoop)
	return s, func() {
		cancel()
		s.goroutines.Wait()
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.client != nil {
			s.client.close()
		}
	}, nil
}

// watchControlInstances opens a watch to every control instance, so that each
// instance has a complete directory without the others.
func (s *Sidecar) watchControlInstances() {
	watcher := control.Watcher{
		Client: s.control, NewNotice: s.newNotice, NoticeInterval: s.config.Settings.RenewInterval.Std(), NoticeDue: s.noticeDue, HandleUpdate: s.applyUpdate,
	}
	for _, address := range s.config.Settings.Control {
		s.goroutines.Go(func() { watcher.Watch(s.ctx, []string{address}) })
	}
}

// newNotice returns the notice to send to a control instance: the revision in force
// and, once the backend server has announced itself, its description under the next
// sequence number, which renews its lease.
func (s *Sidecar) newNotice() *wire.Notice {
	s.mu.Lock()
	defer s.mu.Unlock()
	config := s.config.Settings
	n := &wire.Notice{
		Process: config.Process, Role: config.Role, Zone: config.Zone, Region: config.Region, Revision: s.revision, Index: s.index,
	}
	if s.announced.Pool != "" {
		s.sequence++
		n.Server = peer.ServerToWire(tanagerroad.Server{
			ID: config.Process, Pool: s.announced.Pool, Kind: s.announced.Kind, Models: s.announced.Models,
			Capacity: s.announced.Capacity, Address: config.Peer.AdvertisedAddress(), Place: config.Place(),
			Generation: s.generation, Sequence: s.sequence, State: s.scheduler.State(), Load: s.scheduler.Load(s.config.Clock.Now()),
		})
	}
	return n
}

// applyUpdate handles an update from a control instance.
func (s *Sidecar) applyUpdate(u *wire.Update) {
	if u.GetLeader() != "" {
		s.control.SetLeader(u.GetLeader())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := u.GetRevision(); r.GetNumber() > s.revision {
		s.revision, s.index = r.GetNumber(), r.GetIndex()
		event.RevisionInForce.Log(s.config.Logger, zap.Uint64("revision", s.revision))
		s.noticeDue.Broadcast()
	}
	if retention := time.Duration(u.GetRetentionMillis()) * time.Millisecond; retention > s.onceRetention {
		event.RetentionRaised.Log(s.config.Logger, zap.Duration("from", s.onceRetention), zap.Duration("to", retention))
		s.onceRetention = retention
		s.step(stage.Event{Kind: stage.Retain, Retention: retention})
	}
	if u.GetQuarantine() != nil {
		clear(s.quarantine)
		for _, c := range u.GetQuarantine().GetConvictions() {
			s.quarantine[c.GetFingerprint()] = c
		}
	}
}

// tickInterval is the time between checks of the announcement timeout and of the
// scheduler's deadlines and retention times.
const tickInterval = 100 * time.Millisecond

// tickLoop calls tick at every interval until the sidecar stops.
func (s *Sidecar) tickLoop() {
	ticker := time.NewTicker(tickInterval)
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

// tick marks the backend server as down if its announcements have stopped, and
// otherwise advances the scheduler.
func (s *Sidecar) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Clock.Now()
	if s.client != nil {
		s.client.pruneIdle()
	}
	if s.announced.Pool != "" && now-s.announcedAt > s.config.Settings.Backend.AnnouncementTimeout.Std() && s.scheduler.State() != tanagerroad.Down {
		event.BackendSilent.Log(s.config.Logger, zap.Duration("for", now-s.announcedAt))
		s.step(stage.Event{Kind: stage.Announce, State: tanagerroad.Down, Start: s.announced.Generation})
		s.noticeDue.Broadcast()
		return
	}
	s.step(stage.Event{Kind: stage.Tick})
	s.repeatStateChange(now)
}

// repeatStateChange sends additional notices for some time after the server's state
// changed, because a notice may be lost. The caller holds the lock.
func (s *Sidecar) repeatStateChange(now time.Duration) {
	if state := s.scheduler.State(); state != s.lastState {
		s.lastState, s.lastStateSince = state, now
	}
	if now-s.lastStateSince < directory.AnnounceRepeatPeriod && now-s.noticeRepeatedAt >= directory.AnnounceRepeatInterval {
		s.noticeRepeatedAt = now
		s.noticeDue.Broadcast()
	}
}

// step passes an event to the scheduler, records it in the trace, performs the
// resulting actions and returns them. The caller holds the lock.
func (s *Sidecar) step(e stage.Event) []stage.Action {
	now := s.config.Clock.Now()
	actions := s.scheduler.Step(now, e)
	if s.config.Trace != nil && (e.Kind != stage.Tick || len(actions) > 0) {
		s.config.Trace.Step(trace.Stage, s.config.Settings.Process, now, e, actions)
	}
	for _, a := range actions {
		s.perform(now, a)
	}
	return actions
}

// perform executes one action of the scheduler. The caller holds the lock.
func (s *Sidecar) perform(now time.Duration, a stage.Action) {
	r := s.records[a.Key]
	switch a.Kind {
	case stage.Start:
		s.logPlacement(a, "start")
		s.goroutines.Go(func() { s.runAttempt(r) })
		r.mu.Lock()
		r.started = now
		r.mu.Unlock()
	case stage.Reject:
		s.logPlacement(a, "turn-away")
		s.incCounter("refused." + metricName(a.Reason))
		if r != nil {
			r.close(s.lastPart(a.Key, &wire.Part{Body: &wire.Part_NotRun{NotRun: &wire.NotRun{
				Reason: a.Reason, RetryAfterMillis: a.RetryAfter.Milliseconds(), Load: peer.LoadToWire(s.scheduler.Load(now)), Paused: a.Paused,
			}}}))
		}
	case stage.ReportOutcome:
		if r != nil {
			r.close(s.lastPart(a.Key, &wire.Part{Body: &wire.Part_Failed{Failed: &wire.Failed{
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
		s.logPlacement(a, "queued")
	case stage.Unexpected:
		event.UnexpectedEvent.Log(s.config.Logger, zap.Stringer("attempt", a.Key), zap.String("finding", a.Reason))
		s.incCounter("unexpected")
	case stage.Idle:
		s.idleOnce.Do(func() { close(s.idle) })
	}
}

// logPlacement logs whether an attempt was started, queued or rejected.
func (s *Sidecar) logPlacement(a stage.Action, placement string) {
	load := s.scheduler.Load(s.config.Clock.Now())
	var id string
	if r := s.records[a.Key]; r != nil {
		id = r.call.requestID
	}
	event.Placed.Log(s.config.Logger,
		zap.String("request", id), zap.String("execution", a.Key.Request), zap.Int("stage", a.Key.Stage), zap.Int("attempt", a.Key.Attempt),
		zap.String("placement", placement), zap.String("reason", a.Reason), zap.Duration("waited", a.QueueTime),
		zap.Int("in-flight", load.InFlight), zap.Int("queued", load.Queued), zap.Int("limit", load.Limit))
}

// lastPart sets the key of the last part of an attempt and, if no new work is taken here,
// says so. The caller holds the lock.
func (s *Sidecar) lastPart(key tanagerroad.AttemptKey, p *wire.Part) *wire.Part {
	p.Key = peer.KeyToWire(key)
	if s.scheduler.State() != tanagerroad.Serving && s.sequence > 0 {
		p.Leaving = &wire.Leaving{Server: s.config.Settings.Process, Generation: s.generation, Sequence: s.sequence}
	}
	return p
}

// publishCrash publishes a crash report, or the clearing of a suspected request, on
// the bus. The caller holds the lock.
func (s *Sidecar) publishCrash(r *record, a stage.Action) {
	report := CrashReport{
		Fingerprint: a.Fingerprint, Alone: a.Alone, Cleared: a.Kind == stage.ClearSuspect,
		ID: fmt.Sprintf("%s/%d/%s", s.config.Settings.Process, s.generation, a.Key),
	}
	if r != nil {
		report.Route, report.Start = r.request.GetRoute(), int64(s.announced.Generation)
		report.Prefix, report.Flowed = prefixOf(r.request), r.size() > 0
	}
	if report.Cleared {
		s.afterSurvival(func() { s.publish(report) })
		return
	}
	// Publish waits for the handlers, and they must not wait for the lock that the
	// caller holds.
	s.goroutines.Go(func() { s.publish(report) })
}

func (s *Sidecar) publish(report CrashReport) {
	if err := bus.Publish(s.config.Bus, TopicCrash, report); err != nil {
		event.BusFailed.Log(s.config.Logger, zap.Error(err))
	}
}

// afterSurvival calls f if the backend server outlives what has just ended there. The
// caller holds the lock.
func (s *Sidecar) afterSurvival(f func()) {
	start := s.announced.Generation
	s.goroutines.Go(func() {
		timer := time.NewTimer(quarantine.SurvivalTime)
		defer timer.Stop()
		select {
		case <-s.ctx.Done():
			return
		case <-timer.C:
		}
		s.mu.Lock()
		survived := s.announced.Generation == start && s.scheduler.State() != tanagerroad.Down
		s.mu.Unlock()
		if survived {
			f()
		}
	})
}

// prefixOf returns the cause that an attempt shares with all whose inputs begin alike.
func prefixOf(request *wire.RunRequest) quarantine.Cause {
	return quarantine.PrefixCause(router.PrefixDigest(request.GetInput()))
}

// reportPrefix reports a crash of the backend server with what the request has in common
// with others.
func (s *Sidecar) reportPrefix(c CrashReport) {
	err := s.control.ReportCrash(s.ctx, &wire.CrashReport{
		Server: s.config.Settings.Process, Start: c.Start,
		Suspects: []*wire.CrashSuspect{{
			Begun: !c.Flowed, Flowed: c.Flowed,
			Causes: []*wire.Cause{quarantine.DifferentRequest(c.Fingerprint).ToWire(), c.Prefix.ToWire()},
		}},
	})
	if err != nil {
		event.ReportFailed.Log(s.config.Logger, zap.Error(err))
	}
}

// clearPrefix takes what a completed request has in common with others out of the
// quarantine, if it is there. The caller holds the lock.
func (s *Sidecar) clearPrefix(r *record) {
	if len(s.quarantine) == 0 {
		return
	}
	prefix := prefixOf(r.request).Fingerprint
	if s.quarantine[prefix] == nil {
		return
	}
	delete(s.quarantine, prefix) // until the next update: once is enough
	s.afterSurvival(func() {
		if err := s.control.ClearCauses(s.ctx, []uint64{prefix}); err != nil {
			event.ReportFailed.Log(s.config.Logger, zap.Error(err))
		}
	})
}

// crashReportTimeout bounds the attempts to commit a crash report to the replicated
// log.
const crashReportTimeout = 10 * time.Second

// reportCrash proposes a crash report for the control instances' replicated log, so
// that the request is suspected everywhere. For a cleared request it proposes to
// lift the suspicion.
func (s *Sidecar) reportCrash(c CrashReport) {
	ctx, cancel := context.WithTimeout(s.ctx, crashReportTimeout)
	defer cancel()
	command := &wire.Command{Body: &wire.Command_Crash{Crash: &wire.Crash{
		Fingerprint: c.Fingerprint, Route: c.Route, Alone: c.Alone, Report: c.ID,
	}}}
	if c.Cleared {
		command = &wire.Command{Body: &wire.Command_Lift{Lift: &wire.Lift{Fingerprint: c.Fingerprint, SuspectOnly: true}}}
	} else {
		event.BackendCrashed.Log(s.config.Logger, zap.Uint64("fingerprint", c.Fingerprint), zap.String("route", c.Route), zap.Bool("alone", c.Alone))
		s.incCounter("crashes")
		if c.Prefix.Fingerprint != 0 {
			s.goroutines.Go(func() { s.reportPrefix(c) })
		}
	}
	if _, err := s.control.Propose(ctx, command); err != nil {
		event.BusFailed.Log(s.config.Logger, zap.String("topic", string(TopicCrash)), zap.Error(err))
	}
}

func (s *Sidecar) incCounter(name string) {
	metrics.GetOrRegisterCounter(name, s.config.Metrics).Inc(1)
}

// runAttempt sends one call to the backend server and passes its outcome to the
// scheduler.
func (s *Sidecar) runAttempt(r *record) {
	s.mu.Lock()
	client := s.client
	ctx, cancel := context.WithCancel(s.ctx)
	r.cancel, r.call.start = cancel, s.announced.Generation
	s.mu.Unlock()
	defer cancel()
	deliver := r.appendAndNotify
	if r.call.kind == table.Service {
		deliver = r.appendData // a service's result is one chunk; the final part, which follows at once, wakes the watchers
	}
	result := client.run(ctx, r.call, deliver)
	if ctx.Err() != nil && !r.call.atMostOnce {
		client.cancel(r.call)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handleOutcome(r, result)
}

// handleOutcome passes the outcome of a call to the scheduler and closes the record.
// The caller holds the lock.
func (s *Sidecar) handleOutcome(r *record, result outcome) {
	key := r.call.key
	if s.scheduler.StateOf(key) != stage.Running {
		return // already cancelled, or ended by the backend server's crash
	}
	event.AttemptEndedAtSidecar.Log(s.config.Logger, zap.Stringer("attempt", key), zap.Int("fate", int(result.kind)), zap.String("reason", result.reason))
	if result.serverDown {
		s.handleServerExit(key, result)
		return
	}
	switch result.kind {
	case completed:
		s.clearPrefix(r)
		s.step(stage.Event{Kind: stage.Finish, Key: key, Bytes: r.size()})
		r.close(s.endPart(r))
	case notRun:
		s.step(stage.Event{Kind: stage.Refuse, Key: key})
	case failed:
		s.failAttempt(r, stage.Fail, result.reason)
	case indeterminate:
		kind := stage.Fail
		if r.call.atMostOnce {
			kind = stage.LoseContact
		}
		s.failAttempt(r, kind, result.reason)
	}
}

// handleServerExit handles the end of the backend server's process, which was
// noticed when the call with the given key failed. If that call never reached the
// server, it did not run; all other running calls are suspected of having crashed
// the server. The caller holds the lock.
func (s *Sidecar) handleServerExit(key tanagerroad.AttemptKey, result outcome) {
	planned := s.scheduler.State() == tanagerroad.Leaving
	s.step(stage.Event{Kind: stage.Announce, State: tanagerroad.Down, Start: s.announced.Generation})
	if result.kind == notRun {
		s.step(stage.Event{Kind: stage.Refuse, Key: key})
	}
	s.step(stage.Event{Kind: stage.Crash, Planned: planned})
	s.noticeDue.Broadcast()
}

// failAttempt closes the record with a failure and passes an event of the given kind
// to the scheduler. The caller holds the lock.
func (s *Sidecar) failAttempt(r *record, kind, reason string) {
	r.close(s.lastPart(r.call.key, &wire.Part{Body: &wire.Part_Failed{Failed: &wire.Failed{
		Reason: reason, Unknown: kind == stage.LoseContact,
	}}}))
	s.step(stage.Event{Kind: kind, Key: r.call.key, Bytes: r.size()})
}

// endPart returns the final part of a completed attempt. A result larger than the
// request's keep_above stays here and the part carries a reference to it. The caller
// holds the lock.
func (s *Sidecar) endPart(r *record) *wire.Part {
	now := s.config.Clock.Now()
	size, digest := uint64(r.size()), r.digest()
	r.mu.Lock()
	started := r.started
	r.mu.Unlock()
	end := &wire.End{
		Length: size, Digest: digest, Load: peer.LoadToWire(s.scheduler.Load(now)),
		ServiceMicros: (now - started).Microseconds(), QueueMicros: (started - r.arrived).Microseconds(),
	}
	if threshold := r.request.GetKeepAbove(); threshold > 0 && size > threshold {
		end.Kept = &wire.Reference{
			Key: r.request.GetKey(), Address: s.config.Settings.Peer.AdvertisedAddress(), Length: size, Digest: digest,
			Region: s.config.Settings.Region,
		}
	}
	metrics.GetOrRegisterTimer("service", s.config.Metrics).Update(now - started)
	return s.lastPart(r.call.key, &wire.Part{Body: &wire.Part_End{End: end}})
}

// Drain rejects new attempts and waits until none is in flight or queued, or the
// context is done. It returns the number of attempts still in flight or queued.
func (s *Sidecar) Drain(ctx context.Context) int {
	s.mu.Lock()
	s.step(stage.Event{Kind: stage.Stop})
	s.mu.Unlock()
	s.noticeDue.Broadcast()
	s.seal(ctx)
	select {
	case <-s.idle:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	load := s.scheduler.Load(s.config.Clock.Now())
	return load.InFlight + load.Queued
}

// Times of sealing.
const (
	sealTimeout  = 2 * time.Second // for the claims that are bound to this start to be settled
	sealInterval = 50 * time.Millisecond
)

// seal has the quorum bind no more claims to this start of the sidecar, and waits until
// those that are bound to it are settled or moved: the next start could not say whether
// their attempts ran.
func (s *Sidecar) seal(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, sealTimeout)
	defer cancel()
	command := &wire.Command{Body: &wire.Command_Seal{Seal: &wire.Seal{Server: s.config.Settings.Process, Generation: s.generation}}}
	for {
		outcome, err := s.control.Propose(ctx, command)
		bound := outcome.GetBound()
		event.Sealed.Log(s.config.Logger, zap.String("outcome", outcome.GetKind()), zap.Int("bound", len(bound)), zap.Error(err))
		if err != nil || outcome.GetKind() != registry.Accepted || len(bound) == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(sealInterval):
		}
	}
}

// Load returns the sidecar's current load.
func (s *Sidecar) Load() tanagerroad.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.Load(s.config.Clock.Now())
}

// Ready reports whether the backend server is serving and the sidecar is not
// draining.
func (s *Sidecar) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.State() == tanagerroad.Serving
}

// metricName returns the metric name for a reason: the text before the first colon,
// with spaces replaced by hyphens.
func metricName(reason string) string {
	return strings.ReplaceAll(strings.SplitN(reason, ":", 2)[0], " ", "-")
}
