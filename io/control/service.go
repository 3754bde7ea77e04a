// Package control is the door of a control instance towards entries and
// sidecars, and the client that those use: changes and claims for the quorum,
// and one watch stream over which revisions, the directory of backend servers
// and the quarantine reach them.
package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"tanagerroad"
	"tanagerroad/core/directory"
	"tanagerroad/core/event"
	"tanagerroad/core/registry"
	"tanagerroad/core/roster"
	"tanagerroad/core/wire"
	"tanagerroad/io/peer"
	"tanagerroad/io/quorum"
	"tanagerroad/io/signal"
)

// Times of a watch.
const (
	batchEvery   = 100 * time.Millisecond // changes within it travel together
	beatEvery    = time.Second            // an empty update shows that the instance lives
	expireEvery  = 250 * time.Millisecond
	forgetAfter  = 30 * time.Second // a process not heard for so long leaves the status
	fullEvery    = 30 * time.Second // the whole directory, against lost deltas
	readPatience = 2 * time.Second
)

type process struct {
	notice *wire.Notice
	heard  time.Duration
}

// Service implements the control door.
type Service struct {
	wire.UnimplementedControlServer
	quorum *quorum.Quorum
	clock  tanagerroad.Clock
	logger *zap.Logger

	mu        sync.Mutex
	directory *directory.Directory
	roster    *roster.Roster // backend servers that announce themselves to control instances
	processes map[string]*process
	wake      *signal.Signal
	leaving   context.Context
	Leave     func() // ends all watches, so that their processes go elsewhere
}

// NewService returns the door and the function that ends its housekeeping.
func NewService(q *quorum.Quorum, clock tanagerroad.Clock, logger *zap.Logger) (*Service, func()) {
	s := &Service{
		quorum: q, clock: clock, logger: logger,
		directory: directory.New(directory.DefaultConfig()),
		roster:    roster.New(roster.DefaultConfig()),
		processes: map[string]*process{},
		wake:      signal.New(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.leaving, s.Leave = context.WithCancel(ctx)
	go func() {
		ticker := time.NewTicker(expireEvery)
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
			// The channel is taken before watchers are woken, so that no
			// change falls between.
			changed := q.News()
			s.wake.Give()
			select {
			case <-ctx.Done():
			case <-changed:
			}
		}
	}()
	return s, cancel
}

func (s *Service) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	before := s.directory.Sequence()
	lapsed, suspect := s.directory.Expire(now)
	if len(lapsed) > 0 {
		event.LeaseLapsed.Log(s.logger, zap.Strings("servers", lapsed), zap.Bool("suspect-ourselves", suspect))
	}
	silent := s.roster.Expire(now, here)
	for _, id := range silent {
		event.ServerSilent.Log(s.logger, zap.String("server", id))
	}
	if s.directory.Sequence() != before || len(silent) > 0 {
		s.wake.Give()
	}
	for id, p := range s.processes {
		if now-p.heard > forgetAfter {
			delete(s.processes, id)
		}
	}
}

// here is the source of what backend servers say to this instance itself.
const here = "here"

// Announced takes what a backend server says to this instance.
func (s *Service) Announced(a tanagerroad.Announcement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.roster.Apply(s.clock.Now(), here, a) {
		event.ServerAnnounced.Log(s.logger, zap.String("server", a.ID), zap.String("pool", a.Pool), zap.String("address", a.Address),
			zap.String("state", string(a.State)), zap.Uint64("sequence", a.Sequence), zap.Int64("born", a.StartMillis))
		s.wake.Give()
	}
}

// Told takes what another control instance has heard, so that the last word of
// a backend server outlives the instance that it was said to.
func (s *Service) Told(update *wire.Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range update.GetAnnounced() {
		if s.roster.Apply(s.clock.Now(), "", peer.AnnouncementFromWire(a)) {
			s.wake.Give()
		}
	}
}

// Propose carries a command to the quorum.
func (s *Service) Propose(ctx context.Context, command *wire.Command) (*wire.Outcome, error) {
	return s.quorum.Propose(ctx, command)
}

// Read answers from the registry once a quorum has confirmed it.
func (s *Service) Read(ctx context.Context, request *wire.ReadRequest) (*wire.ReadReply, error) {
	if request.GetWhat() == readNewest {
		return s.newest(request.GetRevision()), nil
	}
	ctx, cancel := context.WithTimeout(ctx, readPatience)
	defer cancel()
	reply := &wire.ReadReply{Kind: "ok"}
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
	if ok {
		return reply, nil
	}
	view := s.quorum.View()
	if view.Leader != "" && view.Role != "leader" {
		return &wire.ReadReply{Kind: registry.Redirect, Leader: view.Leader}, nil
	}
	return &wire.ReadReply{Kind: registry.NoQuorum}, nil
}

// readNewest asks for the revision that an instance holds, confirmed or not.
const readNewest = "newest"

func (s *Service) newest(known uint64) *wire.ReadReply {
	reply := &wire.ReadReply{Kind: "ok"}
	if r := s.quorum.View().Revision; r.GetNumber() > known {
		reply.Revision = r
	}
	return reply
}

// Status says what this instance sees.
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
			HeardMillis: (now - p.heard).Milliseconds(),
		})
	}
	return reply, nil
}

// Watch hears an entry or a sidecar and tells it what is new.
func (s *Service) Watch(stream grpc.BidiStreamingServer[wire.Notice, wire.Update]) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	told := s.hear(first, nil)
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	defer context.AfterFunc(s.leaving, cancel)()
	go func() {
		defer cancel()
		for {
			notice, err := stream.Recv()
			if err != nil {
				return
			}
			told = s.hear(notice, told)
		}
	}()
	w := &watcher{
		revision: first.GetRevision(), directory: first.GetWantDirectory(),
		roster: first.GetWantRoster(), catalog: first.GetCatalog(),
	}
	for {
		update, wake := s.news(w)
		if err := stream.Send(update); err != nil {
			return err
		}
		if !wait(ctx, wake) {
			return nil
		}
	}
}

// wait returns after a beat, or a batch's time after news; false when the
// watch has ended.
func wait(ctx context.Context, wake <-chan struct{}) bool {
	beat := time.NewTimer(beatEvery)
	defer beat.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-beat.C:
		return true
	case <-wake:
	}
	batch := time.NewTimer(batchEvery)
	defer batch.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-batch.C:
		return true
	}
}

// hear takes a notice. told is the server that this watch announced last; it
// returns what it is now.
func (s *Service) hear(notice *wire.Notice, told *wire.Server) *wire.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.processes[notice.GetProcess()] = &process{notice, now}
	server := notice.GetServer()
	if notice.GetRenew() && told != nil {
		server = told
		server.Sequence++
	}
	if server != nil && s.directory.Renew(now, peer.ServerFromWire(server)) {
		s.wake.Give()
	}
	return server
}

// watcher is what one watch has been told.
type watcher struct {
	directory  bool
	revision   uint64
	quarantine uint64
	sequence   uint64
	fullAt     time.Duration
	told       bool

	roster    bool
	catalog   uint64
	announced uint64 // sequence of the roster
	gateways  []string
	instances []string
}

// rosterNews adds what a gateway, or another control instance, has not been
// told of.
func (s *Service) rosterNews(w *watcher, view quorum.View, update *wire.Update) {
	if c := view.Catalog; c.GetVersion() > w.catalog {
		update.Catalog, w.catalog = c, c.GetVersion()
	}
	update.Whole = w.announced == 0
	entries, sequence := s.roster.Since(here, w.announced)
	w.announced = sequence
	for _, e := range entries {
		a := peer.AnnouncementToWire(e.Announcement)
		a.Heard = e.Received
		update.Announced = append(update.Announced, a)
	}
	if gateways := s.gateways(); !slices.Equal(gateways, w.gateways) {
		update.Gateways, w.gateways = gateways, gateways
	}
	if len(view.Instances) > 0 && !slices.Equal(view.Instances, w.instances) {
		update.Instances, w.instances = view.Instances, view.Instances
	}
}

// gatewayLapse is the silence after which a gateway is no neighbour any more.
const gatewayLapse = 3 * time.Second

func (s *Service) gateways() []string {
	var out []string
	for _, p := range s.processes {
		if p.notice.GetAddress() != "" && s.clock.Now()-p.heard < gatewayLapse {
			out = append(out, p.notice.GetAddress())
		}
	}
	slices.Sort(out)
	return out
}

// news returns what the watcher has not been told, and the channel that closes
// when there is more.
func (s *Service) news(w *watcher) (*wire.Update, <-chan struct{}) {
	wake := s.wake.Changed()
	view := s.quorum.View()
	s.mu.Lock()
	defer s.mu.Unlock()
	update := &wire.Update{Leader: view.Leader, Sequence: s.directory.Sequence()}
	if view.Revision.GetNumber() > w.revision {
		update.Revision = view.Revision
		w.revision = view.Revision.GetNumber()
	}
	if view.Quarantine.GetVersion() != w.quarantine || !w.told {
		update.Quarantine = view.Quarantine
		w.quarantine = view.Quarantine.GetVersion()
	}
	w.told = true
	if w.roster {
		s.rosterNews(w, view, update)
	}
	if !w.directory {
		return update, wake
	}
	now := s.clock.Now()
	if w.sequence == 0 || now-w.fullAt > fullEvery {
		w.sequence, w.fullAt = 0, now
	}
	delta := s.directory.ChangesSince(w.sequence)
	w.sequence = delta.Sequence
	update.Full, update.Removed = delta.Full, delta.Removed
	for _, server := range delta.Servers {
		update.Servers = append(update.Servers, peer.ServerToWire(server))
	}
	return update, wake
}
