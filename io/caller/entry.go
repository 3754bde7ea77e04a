// Package caller is the entry: the door that callers knock at. It owns each
// request until its one final answer. What a request does next is decided by
// core/request, which backend server serves it by core/router; this package
// carries that out over HTTP towards callers and gRPC towards sidecars.
//
// The protocol towards callers is documented in docs/CALLERS.md.
package caller

import (
	"context"
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

// Config is what an entry needs.
type Config struct {
	Settings settings.Entry
	Clock    tanagerroad.Clock
	Logger   *zap.Logger
	Links    *peer.Links
	Metrics  metrics.Registry
	Trace    *trace.Writer // nil: nothing is recorded
}

// Entry serves callers.
type Entry struct {
	config  Config
	control *control.Client
	nudge   *signal.Signal
	ctx     context.Context
	group   sync.WaitGroup // watches and what outlives its request

	mu       sync.Mutex // guards the router and what follows
	router   *router.Router
	view     *directory.View
	places   map[string]tanagerroad.Place // of servers, by id
	costs    map[string]float64           // of a second, by pool
	revision uint64
	index    uint64
	asked    bool // enough control instances were asked for the newest revision
	runs     map[*run]bool
	stopping bool
}

// New starts an entry. The returned function ends its watches and waits for
// what outlives its request.
func New(config Config) (*Entry, func(), error) {
	r := config.Settings.Routing
	routerConfig := router.Config{
		Place: config.Settings.Place(), Policy: r.Policy, MaxInFlight: config.Settings.Caller.MaxInFlight,
		RetryRatio: r.RetryRatio, RetryBurst: r.RetryBurst,
	}
	decisions, err := router.New(routerConfig)
	if err != nil {
		return nil, nil, err
	}
	config.Trace.Begin(trace.Router, config.Settings.Process, routerConfig)
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{
		config: config, nudge: signal.New(), ctx: ctx,
		control: control.NewClient(config.Links, config.Settings.Control, config.Logger),
		router:  decisions, view: directory.NewView(), places: map[string]tanagerroad.Place{},
		costs: map[string]float64{}, runs: map[*run]bool{},
	}
	watcher := control.Watcher{
		Client: e.control, Notice: e.notice, Every: noticeEvery, Nudge: e.nudge, Take: e.takeUpdate,
	}
	e.group.Go(func() { watcher.Watch(ctx, config.Settings.Control) })
	e.group.Go(e.keepNewest)
	return e, func() {
		cancel()
		e.group.Wait()
	}, nil
}

// noticeEvery is how often an entry tells its control instance that it lives.
const noticeEvery = time.Second

// Times of asking for the newest revision.
const (
	askNewestEvery = 5 * time.Second
	askNewestAgain = 200 * time.Millisecond // until a majority has answered
	askNewestBound = 2 * time.Second        // after it the entry serves with what it knows
)

// keepNewest asks all control instances for the newest revision, at the start and
// then now and then: the one that is watched may be cut off from the others
// without knowing it, and an entry that restarts must not fall back behind what
// is in force.
func (e *Entry) keepNewest() {
	started := e.config.Clock.Now()
	for e.ctx.Err() == nil {
		highest, answered := e.control.Newest(e.ctx, e.Revision())
		e.mu.Lock()
		if highest != nil {
			e.takeRevision(highest)
		}
		late := e.config.Clock.Now()-started > askNewestBound
		e.asked = e.asked || late || 2*answered > len(e.config.Settings.Control)
		pause := askNewestEvery
		if !e.asked {
			pause = askNewestAgain
		}
		e.mu.Unlock()
		select {
		case <-e.ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (e *Entry) notice() *wire.Notice {
	e.mu.Lock()
	defer e.mu.Unlock()
	set := e.config.Settings
	return &wire.Notice{
		Process: set.Process, Role: set.Role, Zone: set.Zone, Region: set.Region,
		Revision: e.revision, Index: e.index, WantDirectory: true,
	}
}

// takeUpdate puts what a control instance says in force.
func (e *Entry) takeUpdate(u *wire.Update) {
	if u.GetLeader() != "" {
		e.control.SetLeader(u.GetLeader())
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if u.GetRevision() != nil {
		e.takeRevision(u.GetRevision())
	}
	if q := u.GetQuarantine(); q != nil {
		e.decide(router.Event{Kind: router.Quarantine, FingerprintStates: verdicts(q)})
	}
	if u.GetFull() || len(u.GetServers())+len(u.GetRemoved()) > 0 {
		e.takeDirectory(u)
	}
}

func verdicts(q *wire.Quarantine) map[uint64]string {
	known := map[uint64]string{}
	for _, c := range q.GetConvictions() {
		known[c.GetFingerprint()] = router.Suspect
		if c.GetConvicted() {
			known[c.GetFingerprint()] = router.Convicted
		}
	}
	return known
}

// takeRevision puts a later revision of the tables in force. An earlier one,
// from an instance that lags, never takes its place.
func (e *Entry) takeRevision(r *wire.Revision) {
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
		e.costs[name] = pool.Cost
	}
	e.decide(router.Event{Kind: router.Tables, Tables: tables})
	event.RevisionInForce.Log(e.config.Logger, zap.Uint64("revision", e.revision), zap.Uint64("index", e.index))
	e.nudge.Give()
}

func (e *Entry) takeDirectory(u *wire.Update) {
	e.view.Apply(peer.DeltaFromWire(u))
	servers := e.view.Servers()
	for _, s := range servers {
		e.places[s.ID] = s.Place
	}
	e.decide(router.Event{Kind: router.Servers, Servers: servers})
	if len(u.GetServers())+len(u.GetRemoved()) == 0 {
		return
	}
	event.DirectoryChanged.Log(e.config.Logger, zap.Int("servers", len(servers)), zap.Uint64("sequence", u.GetSequence()),
		zap.Int("changed", len(u.GetServers())), zap.Strings("removed", u.GetRemoved()))
}

// decide asks the router. The caller holds the lock.
func (e *Entry) decide(ev router.Event) router.Verdict {
	now := e.config.Clock.Now()
	verdict := e.router.Step(now, ev)
	if e.config.Trace != nil {
		e.config.Trace.Step(trace.Router, e.config.Settings.Process, now, ev, verdict)
	}
	return verdict
}

func (e *Entry) ask(ev router.Event) router.Verdict {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.decide(ev)
}

// Ready reports whether requests can be served.
func (e *Entry) Ready() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.revision > 0 && e.asked && !e.stopping
}

// Revision is the number of the revision in force here.
func (e *Entry) Revision() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.revision
}

// Servers is the number of backend servers known here.
func (e *Entry) Servers() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.view.Servers())
}

// Admission is the number of requests admitted and not ended, and its limit.
func (e *Entry) Admission() (now, most int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.router.InFlight()
}

// InFlight is the number of requests without their final answer.
func (e *Entry) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.runs)
}

// Leave makes the entry unready, for the balancer to see, while it still
// serves.
func (e *Entry) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopping = true
}

// EndAll answers truthfully all requests that are still in flight, as at their
// deadline.
func (e *Entry) EndAll() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	for r := range e.runs {
		r.post(request.Event{Kind: request.Timer, Name: "deadline"})
	}
	return len(e.runs)
}

func (e *Entry) place(server string) tanagerroad.Place {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.places[server]
}

// countRequest counts by route and workspace. Callers may name any workspace, so
// those that the tables do not are counted together.
func (e *Entry) countRequest(config request.Config, what string) {
	workspace := config.Workspace
	e.mu.Lock()
	listed := e.router.HasWorkspace(workspace)
	e.mu.Unlock()
	if !listed {
		workspace = "unlisted"
	}
	e.count("requests."+config.Route.Name+"."+workspace+"."+what, 1)
}

func (e *Entry) count(name string, n int64) {
	metrics.GetOrRegisterCounter(name, e.config.Metrics).Inc(n)
}

// spend adds the cost of one call to that of its stage.
func (e *Entry) spend(stage, pool string, took time.Duration) {
	gauge := metrics.GetOrRegisterGaugeFloat64("cost."+stage, e.config.Metrics)
	e.mu.Lock()
	defer e.mu.Unlock()
	gauge.Update(gauge.Value() + e.costs[pool]*took.Seconds())
}
