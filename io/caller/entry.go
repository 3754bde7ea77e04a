// Package caller implements the entry, the process that accepts callers' HTTP
// requests. An entry owns each request until it has given exactly one final
// answer. The state machine in core/request decides what a request does next, and
// core/router decides on admission and chooses the backend server for each stage.
// This package carries out their decisions: HTTP towards callers, gRPC towards the
// sidecars beside the backend servers.
//
// The protocol for callers is documented in docs/CALLERS.md.
package caller

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"tanagerroad"
	"tanagerroad/core/directory"
	"tanagerroad/core/event"
	"tanagerroad/core/request"
	"tanagerroad/core/router"
	"tanagerroad/core/settings"
	"tanagerroad/core/table"
	"tanagerroad/core/trace"
	"tanagerroad/core/wire"
	"tanagerroad/io/control"
	"tanagerroad/io/peer"
	"tanagerroad/io/signal"
)

// Config holds the settings and dependencies of an entry.
type Config struct {
	Settings settings.Entry
	Clock    tanagerroad.Clock
	Logger   *zap.Logger
	Conns    *peer.ConnPool
	Metrics  metrics.Registry
	Trace    *trace.Writer // nil disables recording
}

// Entry serves callers' requests. It is safe for concurrent use.
type Entry struct {
	config    Config
	control   *control.Client
	noticeDue *signal.Signal // makes the watch send a notice immediately
	ctx       context.Context
	group     sync.WaitGroup // background goroutines, some of which outlive their request

	mu              sync.Mutex // guards the fields below
	router          *router.Router
	view            *directory.View
	places          map[string]listedPlace // of backend servers, by id; of those that were removed the latest stay
	updates         uint64                 // directory updates so far
	costPerSecond   map[string]float64     // of running a call, by pool
	revision        uint64                 // of the tables in force
	index           uint64                 // of the quorum's log entry for that revision
	revisionChecked bool                   // a majority reported its newest revision, or pollStartTimeout has passed
	executions      map[*execution]bool    // in flight
	draining        bool                   // the entry reports that it is not ready
}

// New starts an entry. The returned function stops its background goroutines and
// waits for them.
func New(config Config) (*Entry, func(), error) {
	r := config.Settings.Routing
	routerConfig := router.Config{
		Policy: r.Policy, MaxInFlight: config.Settings.Caller.MaxInFlight,
		RetryRatio: r.RetryRatio, RetryBurst: r.RetryBurst,
	}
	entryRouter, err := router.New(routerConfig)
	if err != nil {
		return nil, nil, err
	}
	config.Trace.Begin(trace.Router, config.Settings.Process, routerConfig)
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{
		config: config, noticeDue: signal.New(), ctx: ctx,
		control: control.NewClient(config.Conns, config.Settings.Control, config.Logger),
		router:  entryRouter, view: directory.NewView(), places: map[string]listedPlace{},
		costPerSecond: map[string]float64{}, executions: map[*execution]bool{},
	}
	watcher := control.Watcher{
		Client: e.control, NewNotice: e.newNotice, NoticeInterval: noticeInterval, NoticeDue: e.noticeDue, HandleUpdate: e.applyUpdate,
	}
	e.group.Go(func() { watcher.Watch(ctx, config.Settings.Control) })
	e.group.Go(e.pollRevision)
	return e, func() {
		cancel()
		e.group.Wait()
	}, nil
}

// noticeInterval is the time between an entry's notices to its control instance,
// which serve as heartbeats.
const noticeInterval = time.Second

// Timing of pollRevision.
const (
	pollInterval      = 5 * time.Second
	pollRetryInterval = 200 * time.Millisecond // until a majority of the control instances has answered
	pollStartTimeout  = 2 * time.Second        // after which the entry serves with the revision that it has
)

// pollRevision queries all control instances for the newest revision, at the start
// and every pollInterval. Watching a single instance is not enough: it may be cut
// off from the others without detecting it, and a restarted entry must not serve
// with a revision older than the one in force.
func (e *Entry) pollRevision() {
	started := e.config.Clock.Now()
	for e.ctx.Err() == nil {
		highest, answered := e.control.NewestRevision(e.ctx, e.Revision())
		e.mu.Lock()
		if highest != nil {
			e.applyRevision(highest)
		}
		timedOut := e.config.Clock.Now()-started > pollStartTimeout
		e.revisionChecked = e.revisionChecked || timedOut || 2*answered > len(e.config.Settings.Control)
		pause := pollInterval
		if !e.revisionChecked {
			pause = pollRetryInterval
		}
		e.mu.Unlock()
		select {
		case <-e.ctx.Done():
		case <-time.After(pause):
		}
	}
}

// newNotice returns the entry's next notice to its control instance.
func (e *Entry) newNotice() *wire.Notice {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.config.Settings
	return &wire.Notice{
		Process: s.Process, Role: s.Role, Zone: s.Zone, Region: s.Region,
		Revision: e.revision, Index: e.index, WantDirectory: true,
	}
}

// applyUpdate applies an update from a control instance.
func (e *Entry) applyUpdate(u *wire.Update) {
	if u.GetLeader() != "" {
		e.control.SetLeader(u.GetLeader())
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if u.GetRevision() != nil {
		e.applyRevision(u.GetRevision())
	}
	if q := u.GetQuarantine(); q != nil {
		e.stepRouterLocked(router.Event{Kind: router.Quarantine, FingerprintStates: fingerprintStates(q)})
	}
	if u.GetFull() || len(u.GetServers())+len(u.GetRemoved()) > 0 {
		e.applyDirectory(u)
	}
}

// fingerprintStates returns the state of each request fingerprint in quarantine,
// router.Suspect or router.Convicted.
func fingerprintStates(q *wire.Quarantine) map[uint64]string {
	states := map[uint64]string{}
	for _, c := range q.GetConvictions() {
		states[c.GetFingerprint()] = router.Suspect
		if c.GetConvicted() {
			states[c.GetFingerprint()] = router.Convicted
		}
	}
	return states
}

// applyRevision puts a newer revision of the tables in force. It ignores an older
// one, which a lagging instance may send. e.mu must be held.
func (e *Entry) applyRevision(r *wire.Revision) {
	if r.GetNumber() <= e.revision {
		return
	}
	tables, findings := table.Parse("routes.json", r.GetRoutes(), "pools.json", r.GetPools())
	if len(findings) > 0 {
		event.UnexpectedEvent.Log(e.config.Logger, zap.Uint64("revision", r.GetNumber()), zap.Error(findings))
		return
	}
	e.revision, e.index = r.GetNumber(), r.GetIndex()
	for name, pool := range tables.Pools {
		e.costPerSecond[name] = pool.Cost
	}
	e.stepRouterLocked(router.Event{Kind: router.Tables, Tables: tables})
	event.RevisionInForce.Log(e.config.Logger, zap.Uint64("revision", e.revision), zap.Uint64("index", e.index))
	e.noticeDue.Broadcast()
}

// listedPlace is the place of a backend server and the number of the directory update that
// listed it last.
type listedPlace struct {
	tanagerroad.Place
	listed uint64
}

// maxGonePlaces is how many places of removed backend servers are kept for calls that are
// still in flight there.
const maxGonePlaces = 1024

// recordPlaces records the places of the listed backend servers, and drops those of the
// servers that have been gone for longest. e.mu must be held.
func (e *Entry) recordPlaces(servers []tanagerroad.Server) {
	e.updates++
	for _, s := range servers {
		e.places[s.ID] = listedPlace{s.Place, e.updates}
	}
	if len(e.places) <= len(servers)+maxGonePlaces {
		return
	}
	ids := slices.SortedFunc(maps.Keys(e.places), func(a, b string) int { return cmp.Compare(e.places[a].listed, e.places[b].listed) })
	for _, id := range ids[:maxGonePlaces/2] {
		delete(e.places, id)
	}
}

// applyDirectory applies the directory part of an update. e.mu must be held.
func (e *Entry) applyDirectory(u *wire.Update) {
	e.view.Apply(peer.DeltaFromWire(u))
	servers := e.view.Servers()
	e.recordPlaces(servers)
	e.stepRouterLocked(router.Event{Kind: router.Servers, Servers: servers})
	if len(u.GetServers())+len(u.GetRemoved()) == 0 {
		return
	}
	event.DirectoryChanged.Log(e.config.Logger, zap.Int("servers", len(servers)), zap.Uint64("sequence", u.GetSequence()),
		zap.Int("changed", len(u.GetServers())), zap.Strings("removed", u.GetRemoved()))
}

// stepRouterLocked passes an event to the router and records it in the trace. e.mu
// must be held.
func (e *Entry) stepRouterLocked(ev router.Event) router.Verdict {
	now := e.config.Clock.Now()
	verdict := e.router.Step(now, ev)
	if e.config.Trace != nil {
		e.config.Trace.Step(trace.Router, e.config.Settings.Process, now, ev, verdict)
	}
	return verdict
}

// stepRouter is stepRouterLocked for use without e.mu held.
func (e *Entry) stepRouter(ev router.Event) router.Verdict {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stepRouterLocked(ev)
}

// recordLeave records what a sidecar said in an answer, if it leaves.
func (e *Entry) recordLeave(l *wire.Leaving) {
	if l == nil {
		return
	}
	leaving := router.Leaving{Server: l.GetServer(), Generation: l.GetGeneration(), Sequence: l.GetSequence()}
	if e.stepRouter(router.Event{Kind: router.RecordLeave, Leaving: &leaving}).OK {
		e.incCounter("servers.departing", 1)
		event.ServerDeparting.Log(e.config.Logger, zap.String("server", leaving.Server), zap.Uint64("start", leaving.Generation), zap.Uint64("sequence", leaving.Sequence))
	}
}

// Ready reports whether the entry can serve requests: it has tables, has checked
// that they are the newest or timed out doing so, and is not stopping.
func (e *Entry) Ready() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.revision > 0 && e.revisionChecked && !e.draining
}

// Revision returns the number of the revision in force at this entry, or 0 if
// there is none.
func (e *Entry) Revision() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.revision
}

// ServerCount returns the number of backend servers in this entry's directory.
func (e *Entry) ServerCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.view.Servers())
}

// Admission returns the number of requests that are admitted and have not ended,
// and the current limit on them.
func (e *Entry) Admission() (inFlight, limit int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.router.InFlight()
}

// InFlight returns the number of admitted requests without a final answer.
func (e *Entry) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.executions)
}

// StartDrain makes the entry report that it is not ready, so that the load
// balancer stops sending it requests. The entry still serves those that arrive.
func (e *Entry) StartDrain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
}

// EndAll ends all requests in flight as if their deadline had passed: each gets
// the answer that its state allows. It returns the number of requests.
func (e *Entry) EndAll() int {
	e.mu.Lock()
	executions := slices.Collect(maps.Keys(e.executions))
	e.mu.Unlock()
	for _, x := range executions { // post may wait for an execution that waits for the lock
		x.post(request.Event{Kind: request.Timer, Name: "deadline"})
	}
	return len(executions)
}

// serverPlace returns the availability zone and region of a backend server.
func (e *Entry) serverPlace(server string) tanagerroad.Place {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.places[server].Place
}

// countRequest counts a request by route, workspace and outcome. Callers may send
// any workspace name, so workspaces that the tables do not list are counted as
// one.
func (e *Entry) countRequest(config request.Config, outcome string) {
	workspace := config.Workspace
	e.mu.Lock()
	listed := e.router.HasWorkspace(workspace)
	e.mu.Unlock()
	if !listed {
		workspace = "unlisted"
	}
	e.incCounter("requests."+config.Route.Name+"."+workspace+"."+outcome, 1)
}

// incCounter adds n to a counter of the metrics registry.
func (e *Entry) incCounter(name string, n int64) {
	metrics.GetOrRegisterCounter(name, e.config.Metrics).Inc(n)
}

// addCost adds the cost of one call to the total of its stage.
func (e *Entry) addCost(stage, pool string, took time.Duration) {
	gauge := metrics.GetOrRegisterGaugeFloat64("cost."+stage, e.config.Metrics)
	e.mu.Lock()
	defer e.mu.Unlock()
	gauge.Update(gauge.Value() + e.costPerSecond[pool]*took.Seconds())
}
