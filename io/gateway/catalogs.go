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
	"tanagerroad/io/signal"
)

// catalogQueue holds the configurations that are still to be applied: the newest of each
// control instance. To decode one takes long on a small machine, and every control instance
// sends each version, so they are applied one at a time.
type catalogQueue struct {
	offered *signal.Signal

	mu     sync.Mutex
	newest map[string]*wire.Catalog // by address of the control instance
}

// newCatalogQueue returns a queue whose configurations are applied to the gateway, and a
// function that waits until that ends with the gateway.
func newCatalogQueue(g *Gateway) (*catalogQueue, func()) {
	q := &catalogQueue{offered: signal.New(), newest: map[string]*wire.Catalog{}}
	var group sync.WaitGroup
	group.Go(func() {
		for g.ctx.Err() == nil {
			offered := q.offered.Changed()
			address, c := q.take()
			if c == nil {
				select {
				case <-g.ctx.Done():
				case <-offered:
				}
				continue
			}
			g.applyCatalog(address, c)
		}
	})
	return q, group.Wait
}

// offer adds the newest configuration of a control instance. It does not block.
func (q *catalogQueue) offer(address string, c *wire.Catalog) {
	q.mu.Lock()
	q.newest[address] = c
	q.mu.Unlock()
	q.offered.Broadcast()
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

// applyCatalog applies a configuration if it is newer than the one in force. Only the
// goroutine of the queue calls it.
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
	if current := g.catalog.Load(); current != nil && current.Version >= parsed.Version {
		return
	}
	next := catalog.New(parsed)
	g.catalog.Store(next)
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
