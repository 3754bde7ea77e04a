package gateway

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"tanagerroad"
	"tanagerroad/core/event"
	"tanagerroad/core/fleet"
	"tanagerroad/core/roster"
	"tanagerroad/core/shard"
	"tanagerroad/core/wire"
	"tanagerroad/io/control"
	"tanagerroad/io/peer"
)

// noticeInterval is the interval of the notices to each control instance, which
// serve as heartbeats.
const noticeInterval = time.Second

// source is a control instance that sends updates to this gateway.
type source struct {
	updatedAt time.Duration                  // time of its latest update; before the first, of the watch's start
	connected bool                           // false before the first update, and while it is silent for too long
	gateways  map[string]tanagerroad.Gateway // connected to it, by address
}

// watcher returns the watcher of one control instance.
func (g *Gateway) watcher(address string) control.Watcher {
	return control.Watcher{
		Client: g.control, NoticeInterval: noticeInterval, NoticeDue: g.noticeDue, NewNotice: g.newNotice,
		HandleUpdate: func(update *wire.Update) { g.applyUpdate(address, update) },
	}
}

// updateWatches starts and stops watches, so that exactly the control instances
// listed in the settings or by the instances themselves are watched. All of them
// are needed, since a backend server may announce itself to any one. g.mu must be
// held.
func (g *Gateway) updateWatches() {
	all := slices.Concat(g.seeds, g.instances)
	slices.Sort(all)
	all = slices.Compact(all)
	for _, address := range all {
		if g.sources[address] == nil {
			g.sources[address] = &source{updatedAt: g.now(), gateways: map[string]tanagerroad.Gateway{}}
		}
	}
	g.control.SetAddresses(all)
	stopped := g.watches.SetAddresses(all)
	for _, address := range stopped {
		delete(g.sources, address)
		g.roster.Retain(address, nil)
	}
	if len(stopped) > 0 {
		g.applyRoster(g.now())
	}
}

// SetControlAddresses replaces the addresses of control instances that come from
// the settings, the only setting that may change while the gateway runs.
func (g *Gateway) SetControlAddresses(addresses []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seeds = addresses
	g.updateWatches()
}

// newNotice returns the message that is sent to the control instances.
func (g *Gateway) newNotice() *wire.Notice {
	s := g.config.Settings
	notice := &wire.Notice{
		Process: s.Process, Role: s.Role, Zone: s.Zone, Region: s.Region, WantRoster: true, Catalog: g.CatalogVersion(),
		Limits: g.ownLimits(), Capacity: g.self().Capacity,
	}
	if !g.draining.Load() {
		notice.Address = s.Peer.AdvertisedAddress()
	}
	return notice
}

// applyUpdate applies an update from a control instance.
func (g *Gateway) applyUpdate(address string, update *wire.Update) {
	if c := update.GetCatalog(); c != nil {
		g.catalogs.offer(address, c)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	s := g.sources[address]
	if s == nil {
		return // no longer watched
	}
	if !s.connected {
		event.SourceConnected.Log(g.config.Logger, zap.String("source", address), zap.Duration("silent", now-s.updatedAt))
	}
	s.updatedAt, s.connected = now, true
	if q := update.GetQuarantine(); q != nil {
		g.applyQuarantine(q)
	}
	if update.GetBaseChanges() > g.baseChanges {
		g.baseChanges, g.bases = update.GetBaseChanges(), map[string]string{}
		for _, b := range update.GetBases() {
			g.bases[b.GetPool()] = b.GetSoftware()
		}
	}
	evacuationsChanged := g.applyEvacuations(now, update)
	g.rosterComplete = g.rosterComplete || update.GetWhole()
	if len(update.GetInstances()) > 0 && !slices.Equal(update.GetInstances(), g.instances) {
		g.instances = update.GetInstances()
		g.updateWatches()
	}
	if update.GetWhole() {
		s.gateways = map[string]tanagerroad.Gateway{}
	}
	for _, info := range update.GetGatewaysChanged() {
		s.gateways[info.GetAddress()] = peer.GatewayFromWire(info)
	}
	for _, gone := range update.GetGatewaysGone() {
		delete(s.gateways, gone)
	}
	if update.GetWhole() || len(update.GetGatewaysChanged()) > 0 || len(update.GetGatewaysGone()) > 0 {
		g.updateGateways(now)
	}
	for _, l := range update.GetLimits() {
		g.recordLimit(peer.LimitFromWire(now, l))
	}
	if len(update.GetAnnounced()) == 0 && !update.GetWhole() {
		if evacuationsChanged {
			g.applyRoster(now)
		}
		return
	}
	received := map[string]bool{}
	for _, a := range update.GetAnnounced() {
		announcement := peer.AnnouncementFromWire(a)
		receiver := "" // empty if the source forwarded the announcement: that is no sign of life
		if a.GetHeard() {
			receiver = address
			received[announcement.ID] = true
		} else {
			g.roster.Lapse(address, announcement.ID)
		}
		g.roster.Apply(now, receiver, announcement)
	}
	if update.GetWhole() {
		g.roster.Retain(address, received)
	}
	g.applyRoster(now)
	event.RosterChanged.Log(g.config.Logger, zap.String("source", address), zap.Int("announced", len(update.GetAnnounced())),
		zap.Int("usable", g.fleet.Len()), zap.Uint64("version", g.fleet.Version()))
}

// ownLimits returns what backend servers said about their limits in answers to this
// gateway.
func (g *Gateway) ownLimits() []*wire.ServerLimit {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []*wire.ServerLimit
	for _, l := range g.fleet.OwnLimits() {
		out = append(out, peer.LimitToWire(g.now(), l))
	}
	return out
}

// recordLimit records what a backend server said about its limit, to this gateway or
// another one. It reports whether that differs from what was known before. g.mu must be
// held.
func (g *Gateway) recordLimit(l fleet.ServerLimit) bool {
	changed := g.fleet.RecordLimit(l)
	if changed {
		for _, b := range g.allBatchers() {
			b.limit(l)
		}
	}
	return changed
}

// applyRoster passes a changed roster on to the fleet and the pools. g.mu must be
// held.
func (g *Gateway) applyRoster(now time.Duration) {
	g.fleet.Update(g.withoutEvacuated(now, g.roster.Usable()))
	g.updateCold(now)
	g.confirmCrashes(now)
	g.divide(now)
}

// divide divides the backend servers that execute pieces into shards anew. g.mu must be
// held.
func (g *Gateway) divide(now time.Duration) {
	index := g.catalog.Load()
	if index == nil {
		return
	}
	var pools []shard.Pool
	for _, p := range index.Pools {
		if p.Pieces != nil {
			pools = append(pools, shard.Pool{Name: p.Name, Traits: *p.Pieces, Servers: g.fleet.Pool(p.Name)})
		}
	}
	g.owners.setPlan(now, shard.NewPlan(g.regions, pools))
	for _, b := range g.allBatchers() {
		b.setServers(now)
	}
}

// updateGateways recomputes the list of gateways from the lists of all sources.
// g.mu must be held.
func (g *Gateway) updateGateways(now time.Duration) {
	var lists []roster.PeerList
	for _, s := range g.sources {
		lists = append(lists, roster.PeerList{ReceivedAt: s.updatedAt, Gateways: slices.Collect(maps.Values(s.gateways))})
	}
	all := roster.Peers(now, g.self(), lists)
	if !slices.Equal(all, g.gateways) {
		g.gateways = all
		if len(all) > 1 {
			g.formerGateways = all
		}
		g.fleet.SetGateways(g.self().Address, addresses(all))
		g.owners.setGateways(now, all)
		clear(g.retryBudgets) // each gateway's share depends on their number
	}
}
