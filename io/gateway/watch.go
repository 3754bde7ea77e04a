package gateway

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"tanagerroad/core/catalog"
	"tanagerroad/core/event"
	"tanagerroad/core/roster"
	"tanagerroad/core/wire"
	"tanagerroad/io/control"
	"tanagerroad/io/peer"
	"tanagerroad/io/registrar"
)

// noticeEvery is how often a gateway tells a control instance that it lives.
const noticeEvery = time.Second

// source is one control instance as this gateway hears it.
type source struct {
	heard     time.Duration
	connected bool
	gateways  []string
}

// watch is the watch at one control instance.
func (g *Gateway) watch(address string) control.Watcher {
	return control.Watcher{
		Client: g.control, Every: noticeEvery, Nudge: g.nudge, Notice: g.notice,
		Take: func(update *wire.Update) { g.take(address, update) },
	}
}

// watchAll keeps a watch at each control instance that the settings or the
// instances themselves name: backend servers announce themselves to any of
// them. The caller holds the lock.
func (g *Gateway) watchAll() {
	all := slices.Concat(g.seeds, g.instances)
	slices.Sort(all)
	all = slices.Compact(all)
	for _, address := range all {
		if g.sources[address] == nil {
			g.sources[address] = &source{heard: g.now()}
		}
	}
	g.control.SetAddresses(all)
	stopped := g.watches.Set(all)
	for _, address := range stopped {
		delete(g.sources, address)
		g.roster.Retain(address, nil)
	}
	if len(stopped) > 0 {
		g.rosterMoved(g.now())
	}
}

// Reconfigure takes what may change while the gateway runs: the control
// instances that the settings name.
func (g *Gateway) Reconfigure(control []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seeds = control
	g.watchAll()
}

func (g *Gateway) notice() *wire.Notice {
	s := g.config.Settings
	notice := &wire.Notice{
		Process: s.Process, Role: s.Role, Zone: s.Zone, Region: s.Region, WantRoster: true, Catalog: g.Version(),
	}
	if !g.leaving.Load() {
		notice.Address = s.Peer.AdvertisedAddress()
	}
	return notice
}

// take applies what a control instance says.
func (g *Gateway) take(address string, update *wire.Update) {
	if c := update.GetCatalog(); c != nil {
		g.takeCatalog(address, c)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	s := g.sources[address]
	if s == nil {
		return // it is not watched any more
	}
	if !s.connected {
		event.SourceConnected.Log(g.config.Logger, zap.String("source", address), zap.Duration("silent", now-s.heard))
	}
	s.heard, s.connected = now, true
	g.whole = g.whole || update.GetWhole()
	if len(update.GetInstances()) > 0 && !slices.Equal(update.GetInstances(), g.instances) {
		g.instances = update.GetInstances()
		g.watchAll()
	}
	if len(update.GetGateways()) > 0 {
		s.gateways = update.GetGateways()
		g.gatewaysMoved(now)
	}
	if len(update.GetAnnounced()) == 0 && !update.GetWhole() {
		return
	}
	heard := map[string]bool{}
	for _, a := range update.GetAnnounced() {
		said := peer.AnnouncementFromWire(a)
		by := ""
		if a.GetHeard() {
			by = address
			heard[said.ID] = true
		} else {
			g.roster.Lapse(address, said.ID)
		}
		g.roster.Apply(now, by, said)
	}
	if update.GetWhole() {
		g.roster.Retain(address, heard)
	}
	g.rosterMoved(now)
	event.RosterChanged.Log(g.config.Logger, zap.String("source", address), zap.Int("announced", len(update.GetAnnounced())),
		zap.Int("usable", g.fleet.Len()), zap.Uint64("version", g.fleet.Version()))
}

// rosterMoved hands the usable backend servers on. The caller holds the lock.
func (g *Gateway) rosterMoved(now time.Duration) {
	g.fleet.Update(g.roster.Usable())
	g.shop.update(now, g.fleet.Pool)
}

// gatewaysMoved takes the gateways that the sources name. The caller holds the
// lock.
func (g *Gateway) gatewaysMoved(now time.Duration) {
	var lists []roster.PeerList
	for _, s := range g.sources {
		lists = append(lists, roster.PeerList{ReceivedAt: s.heard, Gateways: s.gateways})
	}
	all := roster.Peers(now, g.config.Settings.Peer.AdvertisedAddress(), lists)
	if !slices.Equal(all, g.gateways) {
		g.gateways = all
		g.owners.know(now, all)
		clear(g.budgets) // their shares have changed
	}
}

// takeCatalog puts a configuration in force, unless a newer one is.
func (g *Gateway) takeCatalog(address string, c *wire.Catalog) {
	if c.GetVersion() <= g.Version() {
		return
	}
	document, err := registrar.Document(c)
	if err != nil {
		event.CatalogUnreadable.Log(g.config.Logger, zap.Uint64("version", c.GetVersion()), zap.Error(err))
		return
	}
	parsed, err := g.config.Dialect.Catalog(document)
	if err != nil {
		event.CatalogUnreadable.Log(g.config.Logger, zap.Uint64("version", c.GetVersion()), zap.Error(err))
		return
	}
	next := catalog.New(parsed)
	for {
		held := g.catalog.Load()
		if held != nil && held.Version >= next.Version {
			return
		}
		if g.catalog.CompareAndSwap(held, next) {
			break
		}
	}
	event.CatalogInForce.Log(g.config.Logger, zap.Uint64("version", next.Version), zap.String("source", address),
		zap.Int("routes", len(next.Routes)), zap.Int("pools", len(next.Pools)), zap.Int("workspaces", len(next.Workspaces)))
	g.nudge.Give()
}
