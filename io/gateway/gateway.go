// Package gateway serves callers' HTTP requests, in the formats of the
// deployment's Dialect, and forwards them to backend servers. For each request it
// finds the route, runs the route's stages, chooses a backend server, retries
// where that is safe, and returns exactly one answer.
//
// The work of a stage is divided into pieces, and the backend servers that execute them
// into shards. One gateway, the owner of a shard, batches the pieces of all requests in
// the shard and sends them to its backend servers (pieceBatcher). The other gateways
// submit their stages to it (ownerClient). Every gateway can be an owner.
//
// A backend server keeps the result of a piece in memory and returns a handle for
// it. Later stages, or the request itself, read the result by its handle. Results
// that will not be read again are released, and the owner asks the backend servers
// to free them.
package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"tanagerroad"
	"tanagerroad/core/catalog"
	"tanagerroad/core/event"
	"tanagerroad/core/fleet"
	"tanagerroad/core/limit"
	"tanagerroad/core/owner"
	"tanagerroad/core/quantile"
	"tanagerroad/core/quarantine"
	"tanagerroad/core/roster"
	"tanagerroad/core/settings"
	"tanagerroad/core/wire"
	"tanagerroad/io/control"
	"tanagerroad/io/http1"
	"tanagerroad/io/peer"
	"tanagerroad/io/signal"
)

// drainAcceptTime is how long a draining gateway accepts new requests on open
// connections. Later requests might not finish before the process exits.
const drainAcceptTime = 2200 * time.Millisecond

// housekeepingInterval is the interval of the housekeeping loop.
const housekeepingInterval = 500 * time.Millisecond

// freezeThreshold is the pause between two runs of the housekeeping loop above
// which the process is assumed to have been frozen, as when its machine was
// suspended.
const freezeThreshold = housekeepingInterval + ownerTimeout

// Config holds the settings and dependencies of a gateway.
type Config struct {
	Settings settings.Gateway
	Dialect  tanagerroad.Dialect
	Clock    tanagerroad.Clock
	Logger   *zap.Logger
	Conns    *peer.ConnPool
	Metrics  metrics.Registry
}

// Gateway serves callers' requests. It also batches the pieces of stages for all
// gateways while they choose it as the owner.
type Gateway struct {
	wire.UnimplementedGatewayServer
	config        Config
	client        *http1.Client
	control       *control.Client
	owners        *ownerClient
	origins       *originRecorder
	crashReports  *crashReporter
	ctx           context.Context
	noticeDue     *signal.Signal // makes the watches send a notice immediately
	draining      atomic.Bool
	drainingSince atomic.Int64 // time at which draining began, as a time.Duration of the clock
	inFlight      atomic.Int64
	regions       map[string]string             // by zone
	catalog       atomic.Pointer[catalog.Index] // configuration in force; nil before the first
	catalogs      *catalogQueue                 // newer configurations
	meters        meters

	batchersMu sync.Mutex               // guards batchers
	batchers   map[string]*pieceBatcher // by shard

	mu             sync.Mutex // guards the fields down to stopMu
	roster         *roster.Roster
	fleet          *fleet.Fleet
	quarantine     *quarantine.View
	broken         map[serverStart]*brokenAttempts // attempts that ended with their connections, until that is reported
	unconfirmed    map[serverStart]*brokenAttempts // those at servers that accept connections
	survivalTimer  *time.Timer                     // calls checkSurvival; nil if no run has ended
	bases          map[string]string               // base version of each pool, see package origin
	baseChanges    uint64                          // of bases
	retryBudgets   map[string]*limit.Budget        // by pool
	requestTimes   map[string]*quantile.Estimate   // from the end of the stages to the answer, by route
	sources        map[string]*source              // control instances, by address
	gateways       []tanagerroad.Gateway           // all gateways, including this one
	formerGateways []tanagerroad.Gateway           // the latest list that had others; it outlasts the control instances
	rosterComplete bool                            // a source has sent its complete roster
	evacuations    evacuations

	seeds     []string // addresses of control instances, from the settings
	instances []string // addresses of control instances, from their updates
	watches   *control.WatchSet

	stopMu       sync.Mutex                            // guards cancels and allCancelled
	cancels      map[*exchange]context.CancelCauseFunc // of the parsed requests in flight
	allCancelled bool                                  // EndAll was called
}

// New returns a gateway that watches the control instances, and a function that
// stops the watches and the housekeeping.
func New(config Config) (*Gateway, func()) {
	client, closeClient := http1.New()
	ctx, cancel := context.WithCancel(context.Background())
	regions := map[string]string{config.Settings.Zone: config.Settings.Region}
	for _, z := range config.Settings.Zones {
		regions[z.Zone] = z.Region
	}
	g := &Gateway{
		config: config, client: client, ctx: ctx, noticeDue: signal.New(),
		control: control.NewClient(config.Conns, config.Settings.Control, config.Logger),
		roster:  roster.New(roster.DefaultConfig()), fleet: fleet.New(regions),
		quarantine: quarantine.NewView(quarantine.DefaultConfig().Duration), broken: map[serverStart]*brokenAttempts{}, unconfirmed: map[serverStart]*brokenAttempts{},
		retryBudgets: map[string]*limit.Budget{}, requestTimes: map[string]*quantile.Estimate{}, sources: map[string]*source{},
		batchers: map[string]*pieceBatcher{}, regions: regions,
		meters:  newMeters(config.Metrics),
		seeds:   config.Settings.Control,
		cancels: map[*exchange]context.CancelCauseFunc{},
	}
	g.evacuations.hold = config.Settings.EvacuationHold.Std()
	g.gateways = []tanagerroad.Gateway{g.self()}
	g.fleet.SetBalance(config.Settings.Placing.Balance)
	g.fleet.SetGateways(g.self().Address, addresses(g.gateways))
	g.owners = newOwnerClient(g)
	origins, closeOrigins := newOriginRecorder(g)
	g.origins = origins
	crashReports, closeCrashReports := newCrashReporter(g)
	g.crashReports = crashReports
	catalogs, awaitCatalogs := newCatalogQueue(g)
	g.catalogs = catalogs
	watches, closeWatches := control.NewWatchSet(g.watcher)
	g.watches = watches
	g.mu.Lock()
	g.updateWatches()
	g.mu.Unlock()
	housekeepingDone := make(chan struct{})
	go func() {
		defer close(housekeepingDone)
		ticker := time.NewTicker(housekeepingInterval)
		defer ticker.Stop()
		lastRun := g.now()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				frozen := g.now()-lastRun > freezeThreshold
				if frozen {
					g.owners.markDisrupted(g.now()) // other gateways may have chosen another owner
				}
				g.housekeep()
				if frozen {
					g.mu.Lock()
					g.applyRoster(g.now()) // servers that may have become cold meanwhile are paced
					g.mu.Unlock()
				}
				lastRun = g.now()
			}
		}
	}()
	return g, func() {
		cancel()
		closeWatches()
		closeOrigins()
		closeCrashReports()
		awaitCatalogs()
		<-housekeepingDone
		closeClient()
	}
}

func (g *Gateway) now() time.Duration { return g.config.Clock.Now() }

// self returns this gateway's description of itself to other gateways.
func (g *Gateway) self() tanagerroad.Gateway {
	s := g.config.Settings
	return tanagerroad.Gateway{Address: s.Peer.AdvertisedAddress(), Zone: s.Zone, Capacity: owner.Capacity(s.Capacity.Processor, s.Capacity.LinkMbps)}
}

// addresses returns the addresses of gateways.
func addresses(gateways []tanagerroad.Gateway) []string {
	out := make([]string, len(gateways))
	for i, g := range gateways {
		out[i] = g.Address
	}
	return out
}

// Ready reports whether the load balancer should send new connections here.
func (g *Gateway) Ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.draining.Load() && g.rosterComplete && g.evacuations.settled(g.now()) && g.catalog.Load() != nil
}

// StartDrain starts draining: the gateway reports that it is not ready,
// withdraws its address from the other gateways, and asks callers to close their
// connections.
func (g *Gateway) StartDrain() {
	g.drainingSince.Store(int64(g.now()))
	g.draining.Store(true)
	g.noticeDue.Broadcast()
}

// errStopping is the error of a request that EndAll has ended.
var errStopping = errors.New("this gateway is stopping")

// EndAll cancels the requests in flight and returns their number. Each is answered
// according to whether it may have run. Requests whose body is still being read
// are not counted, and end once it is read.
func (g *Gateway) EndAll() int {
	g.stopMu.Lock()
	defer g.stopMu.Unlock()
	g.allCancelled = true
	for _, cancel := range g.cancels {
		cancel(errStopping)
	}
	return len(g.cancels)
}

// track registers the cancel function of an exchange for EndAll.
func (g *Gateway) track(x *exchange, cancel context.CancelCauseFunc) {
	g.stopMu.Lock()
	defer g.stopMu.Unlock()
	g.cancels[x] = cancel
	if g.allCancelled {
		cancel(errStopping)
	}
}

// untrack unregisters an exchange.
func (g *Gateway) untrack(x *exchange) {
	g.stopMu.Lock()
	defer g.stopMu.Unlock()
	delete(g.cancels, x)
}

// InFlight returns the number of requests in flight.
func (g *Gateway) InFlight() int { return int(g.inFlight.Load()) }

// ServerCount returns the number of usable backend servers.
func (g *Gateway) ServerCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fleet.Len()
}

// CatalogVersion returns the version of the configuration in force, or 0 if there
// is none.
func (g *Gateway) CatalogVersion() uint64 {
	if index := g.catalog.Load(); index != nil {
		return index.Version
	}
	return 0
}

// ReadyHandler returns the handler for the load balancer's readiness checks.
func (g *Gateway) ReadyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path != g.config.Dialect.Paths().Ready:
			http.NotFound(w, r)
		case !g.Ready():
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		default:
			w.WriteHeader(http.StatusOK)
		}
	})
}

// retryBudget returns the pool's retry budget, which is this gateway's share of
// the setting. g.mu must be held.
func (g *Gateway) retryBudget(pool string) *limit.Budget {
	budget, ok := g.retryBudgets[pool]
	if !ok {
		limits := g.config.Settings.Placing
		budget = limit.NewBudget(limits.RetryRatio, max(1, limits.RetrySlack/float64(len(g.gateways))))
		g.retryBudgets[pool] = budget
	}
	return budget
}

// heed records what a backend server said about itself in an answer: that it leaves, or
// that it wants no requests for a time.
func (g *Gateway) heed(server tanagerroad.Announcement, reply tanagerroad.ResponseHeaders) {
	if reply.Server != "" && reply.Server != server.ID {
		return
	}
	if reply.Leaving {
		g.heedDeparture(server)
	}
	if reply.RetryAfter > 0 || reply.InvalidRetryAfter != "" {
		g.heedPause(server, reply)
	}
	g.heedLimit(server, reply)
}

func (g *Gateway) heedDeparture(server tanagerroad.Announcement) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if g.roster.RecordDeparture(now, server.ID, server.StartMillis) {
		g.applyRoster(now)
		g.meters.count("servers.departing")
		event.ServerDeparting.Log(g.config.Logger, zap.String("server", server.ID), zap.String("pool", server.Pool), zap.Int64("start", server.StartMillis))
	}
}

func (g *Gateway) heedPause(server tanagerroad.Announcement, reply tanagerroad.ResponseHeaders) {
	g.mu.Lock()
	now := g.now()
	until := now
	if reply.RetryAfter > 0 {
		until = g.fleet.RecordPause(now, server, reply.RetryAfter)
	}
	g.mu.Unlock()
	if until > now {
		for _, b := range g.allBatchers() {
			b.pause(server, until)
		}
	}
	g.meters.count("servers.paused")
	event.ServerPaused.Log(g.config.Logger, zap.String("server", server.ID), zap.String("pool", server.Pool),
		zap.Duration("asked", reply.RetryAfter), zap.Duration("until-end", until-now), zap.String("invalid", reply.InvalidRetryAfter))
}

// heedLimit records the limit that a backend server named in an answer, or that it named
// none. An answer that rejects a request may leave it out.
func (g *Gateway) heedLimit(server tanagerroad.Announcement, reply tanagerroad.ResponseHeaders) {
	if reply.Limit == 0 && reply.InvalidLimit == "" && reply.NotRun {
		return
	}
	g.mu.Lock()
	changed := g.recordLimit(fleet.ServerLimit{ID: server.ID, StartMillis: server.StartMillis, PerSecond: reply.Limit, HeardAt: g.now(), Own: true})
	g.mu.Unlock()
	if changed {
		g.noticeDue.Broadcast()
	}
	if changed || reply.InvalidLimit != "" {
		g.meters.count("servers.limited")
		event.ServerLimited.Log(g.config.Logger, zap.String("server", server.ID), zap.String("pool", server.Pool),
			zap.Float64("limit", reply.Limit), zap.String("invalid", reply.InvalidLimit))
	}
}

// pauseLeft returns how long the backend server at an address wants no more requests.
func (g *Gateway) pauseLeft(address string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	return max(0, g.fleet.AddressPausedUntil(now, address)-now)
}

// isLimited reports whether the backend server at an address named a limit, or is cold.
func (g *Gateway) isLimited(address string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fleet.AddressLimited(address) || g.fleet.AddressCold(g.now(), address)
}

// errServerUnavailable is the error of a request that was not sent since its backend
// server leaves or wants no requests.
var errServerUnavailable = errors.New("the backend server has meanwhile said that it wants no requests")

// checkServer returns errServerUnavailable if an answer to another request has said that
// the chosen backend server leaves, or that it wants no requests now, or fewer. It returns
// evacuatedError if the server's zone is evacuated.
func (g *Gateway) checkServer(choice fleet.Choice) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.evacuations.view.Active(choice.Zone) {
		g.meters.count("servers.evacuated")
		return evacuatedError{}
	}
	if g.roster.HasDeparted(choice.ID, choice.StartMillis) || !g.fleet.Allow(g.now(), choice) {
		return errServerUnavailable
	}
	return nil
}

// housekeep drops the gateways and announcements reported by control instances that
// have become silent, and removes expired state. It runs every housekeepingInterval.
func (g *Gateway) housekeep() {
	g.mu.Lock()
	now := g.now()
	rosterChanged := false
	for address, s := range g.sources {
		if s.connected && now-s.updatedAt > g.config.Settings.SourceTimeout.Std() {
			s.connected = false
			g.roster.Retain(address, nil)
			rosterChanged = true
			event.SourceLost.Log(g.config.Logger, zap.String("source", address), zap.Duration("silent", now-s.updatedAt))
		}
	}
	g.updateGateways(now)
	g.roster.Expire(now, "")
	g.quarantine.Expire(now)
	g.fleet.ExpireLimits(now)
	g.fleet.ExpireCold(now)
	if rosterChanged || g.evacuations.settles(now) {
		g.applyRoster(now)
	}
	usable := map[string]bool{}
	for _, a := range g.roster.Usable() {
		usable[a.Address] = true
	}
	g.mu.Unlock()
	g.client.PruneIdle(usable)
	for _, b := range g.allBatchers() {
		b.housekeep()
	}
}
