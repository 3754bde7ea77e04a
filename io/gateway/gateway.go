// Package gateway takes callers' HTTP requests in the dialect of the place and
// passes them on to backend servers: it finds the route, has the stages made
// that come first, places the request, and passes the one answer back.
package gateway

import (
	"context"
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
	"tanagerroad/core/roster"
	"tanagerroad/core/settings"
	"tanagerroad/core/wire"
	"tanagerroad/io/control"
	"tanagerroad/io/http1"
	"tanagerroad/io/peer"
	"tanagerroad/io/signal"
)

// lastWork is how long a gateway that leaves takes new requests on open
// connections; one that came later might not end before the process does.
const lastWork = 2200 * time.Millisecond

// tendEvery is the time between rounds of housekeeping.
const tendEvery = 500 * time.Millisecond

// standstill is a pause between those rounds in which this gateway did nothing,
// as when its machine freezes.
const standstill = tendEvery + ownerSilence

// Config is what a gateway needs.
type Config struct {
	Settings settings.Gateway
	Dialect  tanagerroad.Dialect
	Clock    tanagerroad.Clock
	Logger   *zap.Logger
	Links    *peer.Links
	Metrics  metrics.Registry
}

// Gateway is one gateway.
type Gateway struct {
	wire.UnimplementedGatewayServer
	config  Config
	client  *http1.Client
	control *control.Client
	shop    *workshop
	owners  *owners
	ctx     context.Context
	nudge   *signal.Signal
	leaving atomic.Bool
	leftAt  atomic.Int64 // when it began to leave, on the clock
	flight  atomic.Int64
	catalog atomic.Pointer[catalog.Index]
	meters  meters

	mu       sync.Mutex
	roster   *roster.Roster
	fleet    *fleet.Fleet
	budgets  map[string]*limit.Budget // by pool
	sources  map[string]*source       // control instances, by address
	gateways []string                 // peer addresses, this one included
	whole    bool                     // some source has told all that it hears

	seeds     []string // control instances that the settings name
	instances []string // control instances that they themselves name
	watches   *control.Watches

	stopMu  sync.Mutex
	ending  map[*exchange]func() // of what is in flight
	stopped bool                 // what is in flight is ended
}

// New starts a gateway's watches. The returned function ends them.
func New(config Config) (*Gateway, func()) {
	client, closeClient := http1.New()
	ctx, cancel := context.WithCancel(context.Background())
	regions := map[string]string{config.Settings.Zone: config.Settings.Region}
	for _, z := range config.Settings.Zones {
		regions[z.Zone] = z.Region
	}
	g := &Gateway{
		config: config, client: client, ctx: ctx, nudge: signal.New(),
		control: control.NewClient(config.Links, config.Settings.Control, config.Logger),
		roster:  roster.New(roster.DefaultConfig()), fleet: fleet.New(regions),
		budgets: map[string]*limit.Budget{}, sources: map[string]*source{},
		gateways: []string{config.Settings.Peer.AdvertisedAddress()},
		meters:   newMeters(config.Metrics),
		seeds:    config.Settings.Control,
		ending:   map[*exchange]func(){},
	}
	g.shop = newWorkshop(g)
	g.owners = newOwners(g)
	watches, closeWatches := control.NewWatches(g.watch)
	g.watches = watches
	g.mu.Lock()
	g.watchAll()
	g.mu.Unlock()
	tended := make(chan struct{})
	go func() {
		defer close(tended)
		ticker := time.NewTicker(tendEvery)
		defer ticker.Stop()
		tended := g.now()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				if now := g.now(); now-tended > standstill {
					g.owners.disturbed(now) // others may have lost this gateway
				}
				g.tend()
				tended = g.now()
			}
		}
	}()
	return g, func() {
		cancel()
		closeWatches()
		<-tended
		closeClient()
	}
}

func (g *Gateway) now() time.Duration { return g.config.Clock.Now() }

// Ready reports whether new connections should come here.
func (g *Gateway) Ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.leaving.Load() && g.whole && g.catalog.Load() != nil
}

// Leave says that the gateway takes no new connections: it tells the balancer,
// and asks callers to close theirs.
func (g *Gateway) Leave() {
	g.leftAt.Store(int64(g.now()))
	g.leaving.Store(true)
	g.nudge.Give()
}

// EndAll ends what is in flight with the answer that is true of it, and returns
// how much that was.
func (g *Gateway) EndAll() int {
	g.stopMu.Lock()
	defer g.stopMu.Unlock()
	g.stopped = true
	for _, end := range g.ending {
		end()
	}
	return len(g.ending)
}

// begin notes how an exchange can be ended.
func (g *Gateway) begin(x *exchange, end func()) {
	g.stopMu.Lock()
	defer g.stopMu.Unlock()
	g.ending[x] = end
	if g.stopped {
		end()
	}
}

func (g *Gateway) ended(x *exchange) {
	g.stopMu.Lock()
	defer g.stopMu.Unlock()
	delete(g.ending, x)
}

// InFlight is the number of requests without a final answer.
func (g *Gateway) InFlight() int { return int(g.flight.Load()) }

// Servers is the number of backend servers that may be used.
func (g *Gateway) Servers() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fleet.Len()
}

// Version is the configuration in force; 0 when there is none.
func (g *Gateway) Version() uint64 {
	if x := g.catalog.Load(); x != nil {
		return x.Version
	}
	return 0
}

// ReadyHandler answers the balancer.
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

// budget is the pool's budget of attempts beyond the first. The caller holds
// the lock.
func (g *Gateway) budget(pool string) *limit.Budget {
	b, ok := g.budgets[pool]
	if !ok {
		p := g.config.Settings.Placing
		b = limit.NewBudget(p.RetryRatio, max(1, p.RetrySlack/float64(len(g.gateways))))
		g.budgets[pool] = b
	}
	return b
}

// tend drops what has lapsed.
func (g *Gateway) tend() {
	g.mu.Lock()
	now := g.now()
	moved := false
	for address, s := range g.sources {
		if s.connected && now-s.heard > g.config.Settings.SourceTimeout.D() {
			s.connected, s.gateways = false, nil
			g.roster.Retain(address, nil)
			moved = true
			event.SourceLost.Log(g.config.Logger, zap.String("source", address), zap.Duration("silent", now-s.heard))
		}
	}
	g.gatewaysMoved(now)
	g.roster.Expire(now, "")
	if moved {
		g.rosterMoved(now)
	}
	addresses := map[string]bool{}
	for _, a := range g.roster.Usable() {
		addresses[a.Address] = true
	}
	g.mu.Unlock()
	g.client.Retain(addresses)
	g.shop.tend()
}
