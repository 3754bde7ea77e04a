package gateway

import (
	"maps"
	"sync"

	"go.uber.org/zap"

	"tanagerroad/core/catalog"
	"tanagerroad/core/event"
	"tanagerroad/core/quantile"
	"tanagerroad/core/wire"
	"tanagerroad/io/registrar"
)

// catalogQueue holds the configurations that are still to be applied: the newest of each
// control instance. To decode one takes long on a small machine, and every control instance
// sends each version.
type catalogQueue struct {
	mu      sync.Mutex
	newest  map[string]*wire.Catalog // by address of the control instance
	offered chan struct{}            // holds one value after an offer
}

func newCatalogQueue() *catalogQueue {
	return &catalogQueue{newest: map[string]*wire.Catalog{}, offered: make(chan struct{}, 1)}
}

// offer adds the newest configuration of a control instance. It does not block.
func (q *catalogQueue) offer(address string, c *wire.Catalog) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.newest[address] = c
	select {
	case q.offered <- struct{}{}:
	default:
	}
}

// take removes and returns the newest configuration, and the address of its control instance,
// or nil. Those of other instances stay, since this one may be unreadable.
func (q *catalogQueue) take() (address string, c *wire.Catalog) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for a, other := range q.newest {
		if c == nil || other.GetVersion() > c.GetVersion() {
			address, c = a, other
		}
	}
	delete(q.newest, address)
	return address, c
}

// applyCatalogs applies the configurations that are offered, one at a time, until the gateway
// stops.
func (g *Gateway) applyCatalogs() {
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-g.catalogs.offered:
		}
		for address, c := g.catalogs.take(); c != nil; address, c = g.catalogs.take() {
			g.applyCatalog(address, c)
		}
	}
}

// applyCatalog applies a configuration if it is newer than the one in force.
func (g *Gateway) applyCatalog(address string, c *wire.Catalog) {
	if c.GetVersion() <= g.CatalogVersion() {
		return
	}
	document, err := registrar.CatalogDocument(c)
	if err != nil {
		event.CatalogUnreadable.Log(g.config.Logger, zap.Uint64("version", c.GetVersion()), zap.Error(err))
		return
	}
	parsed, err := g.config.Dialect.DecodeCatalog(document)
	if err != nil {
		event.CatalogUnreadable.Log(g.config.Logger, zap.Uint64("version", c.GetVersion()), zap.Error(err))
		return
	}
	next := catalog.New(parsed)
	for {
		current := g.catalog.Load()
		if current != nil && current.Version >= next.Version {
			return
		}
		if g.catalog.CompareAndSwap(current, next) {
			break
		}
	}
	routeNames := make(map[string]bool, len(next.Routes))
	for i := range next.Routes {
		routeNames[next.Routes[i].Name] = true
	}
	g.mu.Lock()
	g.fleet.SetPools(next.Pools)
	maps.DeleteFunc(g.requestTimes, func(route string, _ *quantile.Estimate) bool { return !routeNames[route] })
	if g.roster.SetPools(catalog.PoolNames(next.Catalog)) {
		g.applyRoster(g.now())
	} else {
		g.divide(g.now())
	}
	g.mu.Unlock()
	event.CatalogInForce.Log(g.config.Logger, zap.Uint64("version", next.Version), zap.String("source", address),
		zap.Int("routes", len(next.Routes)), zap.Int("pools", len(next.Pools)), zap.Int("workspaces", len(next.Workspaces)))
	g.logUnknownRegions(next.Version, catalog.UnknownRegions(parsed, g.regions))
	g.noticeDue.Broadcast()
}
