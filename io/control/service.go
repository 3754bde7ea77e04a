// Package control contains the gRPC service that a control instance offers to
// entries, gateways and sidecars, and its client. Clients propose commands, such as
// table changes and claims, read from the registry, and keep a watch stream open. On
// the stream they send notices about themselves and receive updates: revisions of the
// tables, the quarantine, the backend servers, and the gateways' configuration (the
// catalog).
package control

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"tanagerroad"
	"tanagerroad/core/directory"
	"tanagerroad/core/event"
	"tanagerroad/core/fleet"
	"tanagerroad/core/origin"
	"tanagerroad/core/registry"
	"tanagerroad/core/replica"
	"tanagerroad/core/roster"
	"tanagerroad/core/wire"
	"tanagerroad/io/peer"
	"tanagerroad/io/quorum"
	"tanagerroad/io/signal"
)

// Times of the service.
const (
	batchDelay         = 100 * time.Millisecond // delay after a change, to send further changes with it
	heartbeatInterval  = time.Second            // between updates; an empty one shows that the instance is alive
	expireInterval     = 250 * time.Millisecond
	baseAbsence        = time.Minute      // without a backend server of a pool's base version, before the base moves on; longer than any stream
	baseChangeTimeout  = 2 * time.Second  // for the commit of a new base version
	processRetention   = 30 * time.Second // since its last notice, before a process is removed from the status
	fullUpdateInterval = 30 * time.Second // between updates with the whole directory, in case a delta was lost
	readTimeout        = 2 * time.Second
)

// process is the latest notice of a process that watches this instance, and when it
// arrived.
type process struct {
	notice     *wire.Notice
	lastNotice time.Duration
}

// Service implements the control service of a control instance.
type Service struct {
	wire.UnimplementedControlServer
	quorum *quorum.Quorum
	clock  tanagerroad.Clock
	logger *zap.Logger

	startedAt time.Duration

	mu             sync.Mutex           // guards the fields down to gatewayVersion
	directory      *directory.Directory // backend servers, from the notices of their sidecars
	roster         *roster.Roster       // backend servers that announce themselves to control instances
	processes      map[string]*process
	limits         fleet.Limits // that gateways reported
	base           *origin.Base
	poolsVersion   uint64                         // of the configuration whose pools the roster knows
	departureCount uint64                         // of the registry's departures that the roster has
	gateways       map[string]tanagerroad.Gateway // live gateways, by address; nil: not known yet
	gatewaysAt     time.Duration                  // when gateways was computed
	gatewayVersion uint64                         // counts the changes of gateways
	updated        *signal.Signal                 // wakes all watches to send an update
	watchCtx       context.Context
	EndWatches     func() // cancels watchCtx and so ends all watches; their clients then connect to other instances
}

// NewService returns a service, and a function that stops its background work and ends
// all watches.
func NewService(q *quorum.Quorum, clock tanagerroad.Clock, logger *zap.Logger) (*Service, func()) {
	s := &Service{
		quorum: q, clock: clock, logger: logger,
		directory: directory.New(directory.DefaultConfig()),
		roster:    roster.New(roster.DefaultConfig()),
		processes: map[string]*process{},
		limits:    fleet.Limits{},
		base:      origin.NewBase(baseAbsence),
		updated:   signal.New(),
		startedAt: clock.Now(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.watchCtx, s.EndWatches = context.WithCancel(ctx)
	go func() {
		ticker := time.NewTicker(expireInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				s.expire()
			}
		}
	}()
	go func() {
		for ctx.Err() == nil {
			// Get the channel before waking the watches, so that no change
			// between the two is missed.
			changed := q.Changed()
			s.applyPools()
			s.applyDepartures()
			s.updated.Broadcast()
			select {
			case <-ctx.Done():
			case <-changed:
			}
		}
	}()
	return s, cancel
}

// expire marks as lapsed the backend servers whose lease has run out and those that no
// longer announce themselves to this instance, and removes processes that have sent no
// notice for processRetention.
func (s *Service) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	before := s.directory.Sequence()
	lapsed, massLapse := s.directory.Expire(now)
	if len(lapsed) > 0 {
		event.LeaseLapsed.Log(s.logger, zap.Strings("servers", lapsed), zap.Bool("suspect-ourselves", massLapse))
	}
	s.limits.Expire(now)
	s.moveBases(now)
	silent := s.roster.Expire(now, thisInstance)
	for _, id := range silent {
		event.ServerSilent.Log(s.logger, zap.String("server", id))
	}
	if s.directory.Sequence() != before || len(silent) > 0 {
		s.updated.Broadcast()
	}
	for id, p := range s.processes {
		if now-p.lastNotice > processRetention {
			delete(s.processes, id)
		}
	}
}

// moveBases proposes the changes of base versions, if this instance leads; only its watch
// since it was elected counts. The caller holds s.mu.
func (s *Service) moveBases(now time.Duration) {
	view := s.quorum.View()
	if view.Role != replica.Leader {
		s.base.Forget()
		return
	}
	if len(view.Bases) == 0 {
		return
	}
	entries, _ := s.roster.Since(thisInstance, 0)
	known := make([]tanagerroad.Announcement, len(entries))
	for i, e := range entries {
		known[i] = e.Announcement
	}
	for _, c := range s.base.Observe(now, view.Bases, known) {
		go func() {
			ctx, cancel := context.WithTimeout(s.watchCtx, baseChangeTimeout)
			defer cancel()
			outcome, err := s.quorum.Propose(ctx, &wire.Command{Body: &wire.Command_ChangeBase{ChangeBase: &wire.ChangeBase{Pool: c.Pool, From: c.From, To: c.To}}})
			event.BaseChanged.Log(s.logger, zap.String("pool", c.Pool), zap.String("from", c.From), zap.String("to", c.To),
				zap.String("outcome", outcome.GetKind()), zap.Error(err))
		}()
	}
}

// thisInstance is the roster's source for announcements that this instance received
// itself.
const thisInstance = "here"

// Where an announcement came from, for the log.
const (
	fromServer   = "server"
	fromPeer     = "peer"
	fromRegistry = "registry"
)

// recordAnnouncement records an announcement that a backend server sent to this
// instance, and returns it with the start that it is of.
func (s *Service) recordAnnouncement(a tanagerroad.Announcement) tanagerroad.Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	a = s.roster.NameStart(s.clock.Wall().UnixMilli(), a)
	if s.applyAnnouncement(fromServer, a) {
		s.updated.Broadcast()
	} else if s.roster.Suspend(thisInstance, a) {
		event.ServerSuspended.Log(s.logger, zap.String("server", a.ID), zap.String("state", string(a.State)), zap.Int64("born", a.StartMillis))
		s.updated.Broadcast()
	}
	return a
}

// ApplyPeerUpdate records the announcements that another control instance has received,
// so that the latest one of a backend server survives the loss of the instance that
// received it.
func (s *Service) ApplyPeerUpdate(update *wire.Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range update.GetAnnounced() {
		if s.applyAnnouncement(fromPeer, peer.AnnouncementFromWire(a)) {
			s.updated.Broadcast()
		}
	}
}

// applyAnnouncement applies an announcement to the roster and reports whether anything
// changed. It logs each change that was received here, or that takes a backend server out of
// use. The caller holds s.mu.
func (s *Service) applyAnnouncement(from string, a tanagerroad.Announcement) bool {
	source := ""
	if from == fromServer {
		source = thisInstance
	}
	if !s.roster.Apply(s.clock.Now(), source, a) {
		if known, ok := s.roster.Outdated(a); ok {
			event.AnnouncementOutdated.Log(s.logger, zap.String("server", a.ID), zap.String("state", string(a.State)), zap.Int64("born", a.StartMillis),
				zap.String("known-state", string(known.State)), zap.Int64("known-born", known.StartMillis), zap.String("from", from))
		}
		return false
	}
	if from == fromServer || a.State != tanagerroad.Serving {
		event.ServerAnnounced.Log(s.logger, zap.String("server", a.ID), zap.String("pool", a.Pool), zap.String("address", a.Address),
			zap.String("state", string(a.State)), zap.Uint64("sequence", a.Sequence), zap.Int64("born", a.StartMillis), zap.String("from", from))
	}
	return true
}

// Propose appends a command to the replicated log and returns its outcome.
func (s *Service) Propose(ctx context.Context, command *wire.Command) (*wire.Outcome, error) {
	return s.quorum.Propose(ctx, command)
}

// Read returns the current revision, or the one that is asked for, with the quarantine
// and the catalog, once a quorum has confirmed that this instance leads. The reply's
// kind is "missing" if there is no such revision. If request.What is "log", the reply
// also has the recent changes. If it is readNewest, the reply comes at once, without a
// quorum.
func (s *Service) Read(ctx context.Context, request *wire.ReadRequest) (*wire.ReadReply, error) {
	if request.GetWhat() == readNewest {
		return s.newestRevision(request.GetRevision()), nil
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	reply := &wire.ReadReply{Kind: "ok"}
	if request.GetWhat() == readOrigin {
		return s.confirmedReply(reply, s.quorum.Read(ctx, func(r *registry.Registry) {
			reply.Software = r.Origins().Software(request.GetPool(), request.GetStream())
			reply.Recorded = r.Origins().IsRecorded(request.GetPool(), request.GetStream())
		})), nil
	}
	if request.GetWhat() == readEvacuations {
		return s.confirmedReply(reply, s.quorum.Read(ctx, func(r *registry.Registry) { reply.Evacuations, _ = r.Evacuations() })), nil
	}
	ok := s.quorum.Read(ctx, func(r *registry.Registry) {
		reply.Revision = r.CurrentRevision()
		reply.Quarantine = r.Quarantine()
		reply.Catalog = r.Catalog()
		if request.GetWhat() == "log" {
			reply.Changes = r.Changes()
		}
		if n := request.GetRevision(); n > 0 {
			reply.Revision = r.Revision(n)
		}
	})
	if ok && reply.GetRevision() == nil {
		return &wire.ReadReply{Kind: "missing"}, nil
	}
	return s.confirmedReply(reply, ok), nil
}

// confirmedReply returns the reply if a quorum has confirmed it, else why not.
func (s *Service) confirmedReply(reply *wire.ReadReply, confirmed bool) *wire.ReadReply {
	if confirmed {
		return reply
	}
	view := s.quorum.View()
	if view.Leader != "" && view.Role != "leader" {
		return &wire.ReadReply{Kind: registry.Redirect, Leader: view.Leader}
	}
	return &wire.ReadReply{Kind: registry.NoQuorum}
}

// readOrigin is the What of a ReadRequest for the software version at which a stream
// began.
const readOrigin = "origin"

// readNewest is the What of a ReadRequest for an instance's current revision, whether
// or not a quorum confirms it.
const readNewest = "newest"

// newestRevision returns this instance's revision if its number is above known.
func (s *Service) newestRevision(known uint64) *wire.ReadReply {
	reply := &wire.ReadReply{Kind: "ok"}
	if r := s.quorum.View().Revision; r.GetNumber() > known {
		reply.Revision = r
	}
	return reply
}

// Status returns this instance's role, its view of the cluster, and the processes that
// watch it.
func (s *Service) Status(context.Context, *wire.StatusRequest) (*wire.StatusReply, error) {
	view := s.quorum.View()
	reply := &wire.StatusReply{
		Id: view.ID, Role: view.Role, Term: view.Term, Commit: view.Commit,
		Revision: view.Revision.GetNumber(), Leader: view.Leader, Members: view.Members,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	reply.Servers = uint32(s.directory.Len())
	for id, p := range s.processes {
		reply.Processes = append(reply.Processes, &wire.ProcessStatus{
			Process: id, Role: p.notice.GetRole(), Zone: p.notice.GetZone(), Revision: p.notice.GetRevision(),
			HeardMillis: (now - p.lastNotice).Milliseconds(),
		})
	}
	return reply, nil
}

// Watch receives notices from an entry, a gateway, a sidecar or another control
// instance, and sends it updates.
func (s *Service) Watch(stream grpc.BidiStreamingServer[wire.Notice, wire.Update]) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	announced := s.applyNotice(first, nil)
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	defer context.AfterFunc(s.watchCtx, cancel)()
	go func() {
		defer cancel()
		for {
			notice, err := stream.Recv()
			if err != nil {
				return
			}
			announced = s.applyNotice(notice, announced)
		}
	}()
	w := &watchState{
		revisionNumber: first.GetRevision(), wantDirectory: first.GetWantDirectory(),
		wantRoster: first.GetWantRoster(), catalogVersion: first.GetCatalog(),
	}
	for {
		update, changed := s.nextUpdate(w)
		if err := stream.Send(update); err != nil {
			return err
		}
		if !waitForUpdate(ctx, changed) {
			return nil
		}
	}
}

// waitForUpdate returns true when the next update is due: after heartbeatInterval, or
// batchDelay after a change. It returns false when ctx has ended.
func waitForUpdate(ctx context.Context, changed <-chan struct{}) bool {
	heartbeat := time.NewTimer(heartbeatInterval)
	defer heartbeat.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-heartbeat.C:
		return true
	case <-changed:
	}
	batch := time.NewTimer(batchDelay)
	defer batch.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-batch.C:
		return true
	}
}

// applyNotice records a notice and renews the lease of its backend server. announced is
// the server that this watch announced last, which a renewal refers to; applyNotice
// returns its new value, nil if the notice has no server.
func (s *Service) applyNotice(notice *wire.Notice, announced *wire.Server) *wire.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.processes[notice.GetProcess()] = &process{notice, now}
	for _, l := range notice.GetLimits() {
		if s.limits.Record(peer.LimitFromWire(now, l)) {
			s.updated.Broadcast()
		}
	}
	server := notice.GetServer()
	if notice.GetRenew() && announced != nil {
		server = announced
		server.Sequence++
	}
	if server != nil && s.directory.Renew(now, peer.ServerFromWire(server)) {
		s.updated.Broadcast()
	}
	return server
}

// watchState is what the client of one watch asked for, and what it has been sent so
// far.
type watchState struct {
	wantDirectory     bool
	revisionNumber    uint64
	quarantineVersion uint64
	directorySequence uint64
	lastFullUpdate    time.Duration
	quarantineSent    bool

	wantRoster     bool
	catalogVersion uint64
	rosterSequence uint64
	gateways       map[string]tanagerroad.Gateway // by address
	gatewayVersion uint64                         // of gateways
	instances      []string
	baseChange     uint64
	evacChange     uint64 // of evacuations
}

// addRosterChanges adds what a gateway or another control instance has not been sent:
// the catalog, announcements, and the addresses of gateways and control instances.
func (s *Service) addRosterChanges(w *watchState, view quorum.View, update *wire.Update) {
	if c := view.Catalog; c.GetVersion() > w.catalogVersion {
		update.Catalog, w.catalogVersion = c, c.GetVersion()
	}
	update.Whole = w.rosterSequence == 0
	entries, sequence := s.roster.Since(thisInstance, w.rosterSequence)
	w.rosterSequence = sequence
	for _, e := range entries {
		a := peer.AnnouncementToWire(e.Announcement)
		a.Heard = e.Received
		update.Announced = append(update.Announced, a)
	}
	if update.GetWhole() {
		w.gateways = nil
	}
	s.addGatewayChanges(w, update)
	now := s.clock.Now()
	for _, l := range s.limits.All() {
		update.Limits = append(update.Limits, peer.LimitToWire(now, l))
	}
	if view.BaseChange != w.baseChange {
		update.Bases, update.BaseChanges, w.baseChange = view.Bases, view.BaseChange, view.BaseChange
	}
	addEvacuations(w, view, update)
	if len(view.Instances) > 0 && !slices.Equal(view.Instances, w.instances) {
		update.Instances, w.instances = view.Instances, view.Instances
	}
}

// gatewayTimeout is the time since its last notice after which a gateway is no longer
// listed in updates.
const gatewayTimeout = 3 * time.Second

// addGatewayChanges adds the gateways that have changed. With hundreds of them, a list
// of all would be most of an update's bytes. The caller holds s.mu.
func (s *Service) addGatewayChanges(w *watchState, update *wire.Update) {
	live := s.liveGateways()
	if w.gatewayVersion == s.gatewayVersion && !update.GetWhole() {
		return
	}
	for address, g := range live {
		if w.gateways[address] != g {
			update.GatewaysChanged = append(update.GatewaysChanged, peer.GatewayToWire(g))
		}
	}
	for address := range w.gateways {
		if _, ok := live[address]; !ok {
			update.GatewaysGone = append(update.GatewaysGone, address)
		}
	}
	slices.SortFunc(update.GetGatewaysChanged(), func(a, b *wire.GatewayInfo) int { return cmp.Compare(a.GetAddress(), b.GetAddress()) })
	slices.Sort(update.GetGatewaysGone())
	w.gateways, w.gatewayVersion = live, s.gatewayVersion
}

// liveGateways returns the gateways whose notices are recent, by address, and counts up
// gatewayVersion if they have changed. The map is shared and must not be changed. The
// caller holds s.mu.
func (s *Service) liveGateways() map[string]tanagerroad.Gateway {
	now := s.clock.Now()
	if s.gateways != nil && now-s.gatewaysAt < batchDelay {
		return s.gateways
	}
	live := map[string]tanagerroad.Gateway{}
	for _, p := range s.processes {
		if address := p.notice.GetAddress(); address != "" && now-p.lastNotice < gatewayTimeout {
			live[address] = tanagerroad.Gateway{Address: address, Zone: p.notice.GetZone(), Capacity: p.notice.GetCapacity()}
		}
	}
	if s.gatewaysAt = now; s.gateways == nil || !maps.Equal(live, s.gateways) {
		s.gateways = live
		s.gatewayVersion++
	}
	return s.gateways
}

// nextUpdate returns what the watch has not been sent yet, and a channel that closes at
// the next change.
func (s *Service) nextUpdate(w *watchState) (*wire.Update, <-chan struct{}) {
	changed := s.updated.Changed()
	view := s.quorum.View()
	s.mu.Lock()
	defer s.mu.Unlock()
	update := &wire.Update{Leader: view.Leader, Sequence: s.directory.Sequence(), RetentionMillis: view.Retention.Milliseconds()}
	if view.Revision.GetNumber() > w.revisionNumber {
		update.Revision = view.Revision
		w.revisionNumber = view.Revision.GetNumber()
	}
	if view.Quarantine.GetVersion() != w.quarantineVersion || !w.quarantineSent {
		update.Quarantine = view.Quarantine
		w.quarantineVersion = view.Quarantine.GetVersion()
	}
	w.quarantineSent = true
	if w.wantRoster {
		s.addRosterChanges(w, view, update)
	}
	if !w.wantDirectory {
		return update, changed
	}
	now := s.clock.Now()
	if w.directorySequence == 0 || now-w.lastFullUpdate > fullUpdateInterval {
		w.directorySequence, w.lastFullUpdate = 0, now
	}
	delta := s.directory.ChangesSince(w.directorySequence)
	w.directorySequence = delta.Sequence
	update.Full, update.Removed = delta.Full, delta.Removed
	for _, server := range delta.Servers {
		update.Servers = append(update.Servers, peer.ServerToWire(server))
	}
	return update, changed
}
